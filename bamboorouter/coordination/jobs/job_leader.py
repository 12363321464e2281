"""Handles the messages about jobs and workers that only a leader may answer."""

from typing import Final

import msgspec

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.coordination.jobs import job_handler
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import self_repair
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.transport import link

CALLS: Final = (
    job_messages.SubmitSteps,
    job_messages.ReadJob,
    job_messages.CancelJobSteps,
    job_messages.OfferConfiguration,
    job_messages.ReadConfiguration,
    job_messages.OpenWorkerSession,
    job_messages.WorkerReport,
    job_messages.JoinGroup,
)


class JobLeader:
    """Serves jobs, workers and joining replicas on the leader.

    Attributes:
        replica: This process's replica of the log.
        dispatcher: Assigns tasks to workers.
        job_handler: Handles job calls of callers and operators.
        repair: Adds joining replicas to the group and replaces lost ones.
    """

    def __init__(
        self,
        *,
        local_replica: replica.Replica,
        time: clock.Clock,
        repair: self_repair.SelfRepair,
        advice: start_advice.AdviceSource | None = None,
    ) -> None:
        self.replica = local_replica
        self.dispatcher = dispatcher.JobDispatcher(
            log=local_replica,
            time=time,
            table=worker_table.WorkerTable(),
            advice=advice,
        )
        self.job_handler = job_handler.JobHandler(
            log=local_replica,
            time=time,
            admission_policy=admission.Admission(
                worker_capacities=self.dispatcher.capacities.reported,
                largest_capacities=self.dispatcher.capacities.largest,
                has_advice_source=advice is not None,
            ),
        )
        self.repair = repair

    def start(self) -> None:
        """Starts the dispatcher, which is active while this replica leads."""
        self.dispatcher.start()

    async def stop(self) -> None:
        """Stops the dispatcher."""
        await self.dispatcher.stop()

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles a message.

        Args:
            message: One of `CALLS`.
            source: Link on which the message arrived.

        Returns:
            The answer; a redirect if this replica doesn't hold the leader lease
            or the result of a proposal isn't known.

        Raises:
            ProtocolError: The message isn't one of `CALLS`.
        """
        if not self.replica.lease_valid():
            return self.redirect()
        try:
            return await self._answer(message, source)
        except errors.NotLeaderError:
            return self.redirect()
        except errors.UnknownResultError:
            # The redirected caller resends the call; all calls are idempotent.
            return self.redirect(result_unknown=True)
        except errors.RefusedError as err:
            return messages.Refusal(code=err.code, text=err.text)

    def redirect(self, *, result_unknown: bool = False) -> messages.Redirect:
        """Returns a redirect to the leader.

        The leader is left empty if it isn't known or if this replica believes
        itself to be the leader.

        Args:
            result_unknown: Whether the call was proposed.
        """
        leader = self.replica.leader_address()
        return messages.Redirect(
            leader="" if leader == self.replica.address else leader,
            replicas=self._addresses(),
            result_unknown=result_unknown,
        )

    def _addresses(self) -> tuple[str, ...]:
        return tuple(member.address for member in self.replica.members())

    async def _answer(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        match message:
            case job_messages.WorkerReport():
                reply = await self.dispatcher.report(message, source)
                return self._with_new_members(reply, message.members_index)
            case job_messages.SubmitSteps():
                return await self.job_handler.submit(message)
            case job_messages.ReadJob():
                return self.job_handler.read(message)
            case job_messages.CancelJobSteps():
                return await self.job_handler.cancel(message)
            case job_messages.OfferConfiguration():
                return await self.job_handler.configure(message)
            case job_messages.ReadConfiguration():
                return self._configuration(message)
            case job_messages.OpenWorkerSession():
                return await self.dispatcher.open_session(message)
            case job_messages.JoinGroup():
                await self.repair.handle_join(message)
                return job_messages.JoinAnswer(replicas=self._addresses())
        raise errors.ProtocolError(
            text=f"unexpected {type(message).__name__}",
            step="handle",
            peer=source.peer,
        )

    def _with_new_members(
        self, reply: job_messages.WorkerReply, known_index: int
    ) -> job_messages.WorkerReply:
        """Adds the replicas' addresses unless the agent knows this list."""
        members_index = self.replica.members_index()
        if members_index == known_index:
            return reply
        return msgspec.structs.replace(
            reply, replicas=self._addresses(), members_index=members_index
        )

    def _configuration(
        self, message: job_messages.ReadConfiguration
    ) -> job_messages.CurrentConfiguration:
        current = self.job_handler.configuration(
            with_document=message.with_document
        )
        return job_messages.CurrentConfiguration(
            version=current.version,
            document=current.document,
            replicas=self._addresses(),
        )
