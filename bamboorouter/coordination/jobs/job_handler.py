"""Handles job calls of callers and operators on the leader.

An ID belongs to the job that was accepted first under it. A job that another
queue has under the same ID isn't visible to the callers of a queue: they can
neither read nor cancel it, and their submission is refused.

All answers are read from the replicated state under a valid leader lease.
Reads are therefore linearizable: an answer reflects everything acknowledged
before, and a committed configuration change applies to every later call.
"""

from typing import Final

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import job_proposals
from bamboorouter.coordination.jobs import recent_submissions
from bamboorouter.coordination.log import replicated_log
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import value_limits
from bamboorouter.state import job_records

_WITHDRAWN: Final = admission.Refusal(
    reason="it was cancelled before it arrived", retry_after_ms=0
)
_ID_IN_USE: Final = admission.Refusal(
    reason="another queue has a job with its ID", retry_after_ms=0
)

# Configuration version before the first configuration; versions start at 0.
UNCONFIGURED: Final = -1


class JobHandler:
    """Submits, reads and cancels jobs, and updates the configuration.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        admission: Decides whether a job is accepted.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        admission_policy: admission.Admission,
    ) -> None:
        self.log = log
        self.clock = time
        self.admission = admission_policy
        self._recent = recent_submissions.RecentSubmissions()

    async def submit(
        self, message: job_messages.SubmitSteps
    ) -> job_messages.JobAnswer:
        """Accepts or refuses a job.

        Raises:
            NotLeaderError: Nothing was committed.
            RefusedError: Nothing was committed.
            UnknownResultError: The job may be committed later.
        """
        found = self._find_queue(message.host, message.path)
        if isinstance(found, job_messages.JobAnswer):
            return found
        queue, job_id = found
        if not _is_valid_id(job_id):
            return job_messages.JobAnswer(outcome="no_queue")
        state = self.log.machine.stepped
        self._recent.enter_term(self.log.term())
        if job_id not in state.jobs and self._recent.is_being_withdrawn(
            (queue.key, job_id)
        ):
            # A further proposal shows what became of the pending ones.
            await self._commit_cancellation(job_id, queue)
        if self._is_taken(queue, job_id):
            return self._refuse(job_id, queue, _ID_IN_USE)
        if job_id not in state.jobs and job_id in state.withdrawn:
            return self._refuse(job_id, queue, _WITHDRAWN)
        if job_id not in state.jobs and not self._recent.is_pending(
            (queue.key, job_id)
        ):
            refusal = self._check_admission(job_id, queue, message.spec)
            if refusal is not None:
                return self._refuse(job_id, queue, refusal)
        result = await self._accept(
            job_commands.AcceptSteps(
                job=job_id,
                queue=queue.name,
                spec=message.spec,
                key=self._key_of(queue, job_id),
            )
        )
        if result.code == error_texts.JOB_ID_IN_USE:
            return self._refuse(job_id, queue, _ID_IN_USE)
        if not result.ok:
            return job_messages.JobAnswer(outcome="no_queue")
        events.log(
            events.JOB_ACCEPTED,
            job=job_id,
            queue=queue.name,
            host=queue.host,
            prefix=queue.prefix,
            version=state.version(),
            new=result.data["new"],
            tasks=sum(step.count for step in message.spec.steps),
            term=self.log.term(),
        )
        return self._job_answer(queue, job_id)

    def read(self, message: job_messages.ReadJob) -> job_messages.JobAnswer:
        """Returns the state of a job or the length of a queue."""
        found = self._find_queue(message.host, message.path)
        if isinstance(found, job_messages.JobAnswer):
            return found
        queue, job_id = found
        if job_id:
            return self._job_answer(queue, job_id)
        waiting = self.log.machine.stepped.waiting_jobs(queue.key)
        return job_messages.JobAnswer(outcome="ok", waiting=waiting)

    async def cancel(
        self, message: job_messages.CancelJobSteps
    ) -> job_messages.JobAnswer:
        """Cancels a job; an unknown job is refused if it is submitted later.

        Raises:
            NotLeaderError: Nothing was committed.
            RefusedError: Nothing was committed.
            UnknownResultError: The job may be cancelled later.
        """
        found = self._find_queue(message.host, message.path)
        if isinstance(found, job_messages.JobAnswer):
            return found
        queue, job_id = found
        if not _is_valid_id(job_id):
            return job_messages.JobAnswer(outcome="no_job")
        if self._is_taken(queue, job_id):
            # Replicas of earlier versions would cancel the other queue's job.
            return job_messages.JobAnswer(outcome="no_job")
        self._recent.enter_term(self.log.term())
        await self._commit_cancellation(job_id, queue)
        return self._job_answer(queue, job_id)

    async def configure(
        self, message: job_messages.OfferConfiguration
    ) -> job_messages.CurrentConfiguration:
        """Commits a configuration if it is newer than the one in force.

        Replicas of earlier versions find the queue of a job by its name, so
        the names are made unique.

        Returns:
            The version in force.

        Raises:
            NotLeaderError: Nothing was committed.
            UnknownResultError: The configuration may be committed later.
        """
        offered = message.configuration.version
        if offered > self.log.machine.stepped.version():
            await job_proposals.propose(
                self.log,
                job_commands.PutConfiguration(
                    configuration=message.configuration.with_unique_names()
                ),
            )
        answer = self.configuration(with_document=False)
        events.log(
            events.CONFIGURATION_OFFERED,
            version=offered,
            in_force=answer.version,
            term=self.log.term(),
        )
        return answer

    def configuration(
        self, *, with_document: bool
    ) -> job_messages.CurrentConfiguration:
        """Returns the configuration in force.

        Args:
            with_document: Whether to include the configuration document.
        """
        state = self.log.machine.stepped
        document = b""
        if with_document and state.configuration is not None:
            document = state.configuration.document
        return job_messages.CurrentConfiguration(
            version=state.version(), document=document
        )

    async def _commit_cancellation(
        self, job_id: str, queue: jobs.QueueSettings
    ) -> None:
        """Commits that a job is cancelled or, if it isn't known, withdrawn.

        Changes nothing if another queue has the ID.

        If the result is unknown, the withdrawal remains pending in this term.

        Raises:
            NotLeaderError: Nothing was committed.
            RefusedError: Nothing was committed.
            UnknownResultError: The job may be cancelled later.
        """
        key = self._key_of(queue, job_id)
        term = self._recent.begin_withdrawal((key, job_id))
        try:
            result = await job_proposals.propose(
                self.log,
                job_commands.CancelSteps(job=job_id, withdraw=True, key=key),
            )
        except (errors.NotLeaderError, errors.RefusedError):
            self._recent.end_withdrawal((key, job_id), term)
            raise
        self._recent.end_withdrawal((key, job_id), term)
        if result.code == error_texts.NO_SUCH_JOB:
            return
        if not result.ok:
            raise errors.RefusedError(
                code=result.code, text=result.text, step="cancel"
            )
        events.log(
            events.JOB_CANCELLED,
            job=job_id,
            state=result.data["state"],
            term=self.log.term(),
        )

    def _refuse(
        self,
        job_id: str,
        queue: jobs.QueueSettings,
        refusal: admission.Refusal,
    ) -> job_messages.JobAnswer:
        events.log(
            events.JOB_REFUSED,
            job=job_id,
            queue=queue.name,
            host=queue.host,
            prefix=queue.prefix,
            version=self.log.machine.stepped.version(),
            reason=refusal.reason,
            wait_ms=refusal.wait_ms,
            retry_after_ms=refusal.retry_after_ms,
            term=self.log.term(),
        )
        return job_messages.JobAnswer(
            outcome="refused",
            retry_after_ms=refusal.retry_after_ms,
            reason=refusal.reason,
        )

    def _check_admission(
        self, job_id: str, queue: jobs.QueueSettings, spec: jobs.JobSpec
    ) -> admission.Refusal | None:
        """Returns the refusal of a new job; None if it is accepted.

        A recent refusal of the same job applies again.
        """
        now = self.clock.now()
        refusal = self._recent.refusal((queue.key, job_id), now)
        if refusal is None:
            refusal = self.admission.check(
                self.log.machine.stepped, queue, spec
            )
            if refusal is not None:
                self._recent.add_refusal((queue.key, job_id), refusal, now)
        return refusal

    async def _accept(
        self, command: job_commands.AcceptSteps
    ) -> commands.Result:
        """Commits a job.

        If the result is unknown, the job remains pending: it isn't refused in
        this term, because its proposal may still be committed.

        Raises:
            NotLeaderError: Nothing was committed.
            RefusedError: Nothing was committed.
            UnknownResultError: The job may be committed later.
        """
        assert command.key is not None
        job = (command.key, command.job)
        already_pending = self._recent.is_pending(job)
        self._recent.add_pending(job)
        try:
            result = await job_proposals.propose(self.log, command)
        except (errors.NotLeaderError, errors.RefusedError):
            if not already_pending:
                self._recent.remove_pending(job)
            raise
        self._recent.remove_pending(job)
        return result

    def _find_queue(
        self, host: str, path: str
    ) -> tuple[jobs.QueueSettings, str] | job_messages.JobAnswer:
        """Finds the queue and the job ID for a path.

        Returns:
            The queue and the job ID, which is empty if the path is that of the
            queue; the answer to the caller if there is no such queue.
        """
        configuration = self.log.machine.stepped.configuration
        if configuration is None:
            return job_messages.JobAnswer(outcome="unconfigured")
        found = configuration.match(host, path)
        return found or job_messages.JobAnswer(outcome="no_queue")

    def _job_of(
        self, queue: jobs.QueueSettings, job_id: str
    ) -> job_records.Job | None:
        """Returns the job of a queue; None if there is none.

        While a configuration that an earlier version has committed gives
        several queues the same name, a job may have been accepted for any of
        them, and is shown in each.
        """
        state = self.log.machine.stepped
        job = state.jobs.get(job_id)
        if job is None or job.queue.key == queue.key:
            return job
        configuration = state.configuration
        if (
            configuration is not None
            and job.queue.name == queue.name
            and configuration.queue(job.queue.key) == job.queue
        ):
            return job
        return None

    def _is_taken(self, queue: jobs.QueueSettings, job_id: str) -> bool:
        """Whether another queue has a job with an ID."""
        return (
            job_id in self.log.machine.stepped.jobs
            and self._job_of(queue, job_id) is None
        )

    def _key_of(self, queue: jobs.QueueSettings, job_id: str) -> jobs.QueueKey:
        """Returns the queue for which the state keeps a caller's job."""
        job = self._job_of(queue, job_id)
        return queue.key if job is None else job.queue.key

    def _job_answer(
        self, queue: jobs.QueueSettings, job_id: str
    ) -> job_messages.JobAnswer:
        job = self._job_of(queue, job_id)
        if job is None:
            return job_messages.JobAnswer(outcome="no_job")
        return job_messages.JobAnswer(outcome="ok", state=job.state())


def _is_valid_id(job_id: str) -> bool:
    return 0 < len(job_id) <= value_limits.MAX_JOB_ID_CHARACTERS
