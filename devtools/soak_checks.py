"""Records the observations of a soak test and checks its invariants.

The simulated callers, workers and operator report what they sent and received.
The system's own logs are not used.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import time
from typing import Any
from typing import Final

from devtools import soak_attempts

# Statuses that guarantee that the job never runs.
REFUSALS: Final = (429, 503)
OK: Final = 200
NO_SUCH_JOB: Final = 410
NOT_FOUND: Final = (404, NO_SUCH_JOB)
FINAL_STATES: Final = ("done", "failed", "cancelled")
# Known state of a job whose cancelling was acknowledged.
CANCELLING: Final = "cancelling"

# Bounds of the platform. They hold for time without a fault of a control
# replica, of the worker or of its agent; a fault counts for `CONTACT_S` more.
CANCEL_S: Final = 3.0
STOP_S: Final = 0.9
DRAIN_S: Final = 2.0
CONTACT_S: Final = 3.0
# A fault of one control replica counts for the whole group.
_CORE: Final = "control"


@dataclasses.dataclass(kw_only=True)
class _Job:
    """What the callers know about a job.

    Attributes:
        body: Body of its submissions.
        statuses: HTTP statuses of its submissions; 0 for no response.
        state: Final state that a caller has read; empty if none.
        cancel_sent: Whether a caller has sent a cancellation.
        cancelled_s: Time of the first acknowledgement of a cancellation; None
            if there is none.
    """

    body: dict[str, Any]
    statuses: list[int] = dataclasses.field(default_factory=list)
    state: str = ""
    cancel_sent: bool = False
    cancelled_s: float | None = None

    def accepted(self) -> bool:
        return OK in self.statuses

    def refused(self) -> bool:
        answered = bool(self.statuses)
        return answered and all(s in REFUSALS for s in self.statuses)

    def lasting(self) -> bool:
        return any(s.get("longRunning") for s in self.body["phases"])

    def steps(self, name: str) -> list[set[str]]:
        """Returns the tasks of each step."""
        return [
            {f"{name}.0.{step}.{index}" for index in range(fields["count"])}
            for step, fields in enumerate(self.body["phases"])
        ]


@dataclasses.dataclass(kw_only=True)
class _Run:
    """A run on a worker.

    Attributes:
        start_s: Time of its start.
        late: Whether the worker carried the order out late.
        reported: Whether it was reported to run on after a cancellation.
    """

    start_s: float
    late: bool
    reported: bool = False


class History:
    """Observations of a soak; checks each one when it is recorded.

    Attributes:
        violations: Descriptions of the violated invariants.
        counts: Number of observations by kind.
        lines: All observations in order, with the Unix time in s.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        service_of: Callable[[str], str] | None = None,
    ) -> None:
        """Creates an empty history.

        Args:
            clock: Returns the time in s.
            service_of: Returns the service whose workers may run a job; None if
                all workers may.
        """
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.lines: list[str] = []
        self._clock = clock
        self._service_of = service_of
        self._jobs: dict[str, _Job] = {}
        # Runs by task, and by worker incarnation and attempt.
        self._running: dict[str, dict[tuple[str, int], _Run]] = {}
        self._attempts: collections.defaultdict[
            str, soak_attempts.TaskAttempts
        ] = collections.defaultdict(soak_attempts.TaskAttempts)
        # Number of starts of a task when an attempt ended with "done", by task
        # and attempt.
        self._starts_until_done: dict[tuple[str, int], int] = {}
        self._acknowledged: set[str] = set()
        self._started_jobs: set[str] = set()
        self._done_tasks: set[str] = set()
        self._version = 0
        # Time of the first acknowledgement, by draining worker incarnation.
        self._draining_s: dict[str, float] = {}
        # Number of current faults and end of the last one, by place.
        self._faults: collections.Counter[str] = collections.Counter()
        self._last_fault_end_s: dict[str, float] = {}

    # --- Faults --------------------------------------------------------------

    def record_fault_start(self, target: str) -> None:
        """Records that a fault of a process or worker begins."""
        self._log(f"fault of {target} begins")
        self._faults[_place(target)] += 1

    def record_fault_end(self, target: str) -> None:
        """Records that a fault of a process or worker is over."""
        self._log(f"fault of {target} ends")
        self._faults[_place(target)] -= 1
        self._last_fault_end_s[_place(target)] = self._clock()

    def record_stall(self) -> None:
        """Records that the soak's own process, and so each worker, stalled."""
        self.counts["stalls of the soak"] += 1
        self.record_fault_start(_CORE)
        self.record_fault_end(_CORE)

    def calm_since_s(self, worker: str, *, core: bool = True) -> float:
        """Returns since when no fault affects a worker; infinity if one does.

        Args:
            worker: Name of the worker or of one of its incarnations.
            core: Whether faults of control replicas affect it.
        """
        places = [_CORE] * core + [worker.partition("@")[0]]
        if any(self._faults[place] for place in places):
            return math.inf
        return max(
            self._last_fault_end_s.get(place, -math.inf) + CONTACT_S
            for place in places
        )

    # --- Callers -------------------------------------------------------------

    def record_submission(self, job: str, body: dict[str, Any]) -> None:
        """Records that a job is about to be submitted."""
        self._log(f"{job} is submitted: {body}")
        self._jobs.setdefault(job, _Job(body=body))

    def record_submission_status(self, job: str, status: int) -> None:
        """Records the status of a submission; 0 if there was no response."""
        self._log(f"{job}: submission answered {status}")
        self.counts[f"submission answered {status}"] += 1
        self._jobs[job].statuses.append(status)

    def record_cancellation(self, job: str) -> None:
        """Records that a job is about to be cancelled."""
        self._log(f"{job} is cancelled")
        self._jobs[job].cancel_sent = True

    def record_cancellation_status(
        self, job: str, status: int, *, accepted: bool
    ) -> None:
        """Records the status of a cancellation; 0 if there was no response.

        Args:
            job: Name of the job.
            status: HTTP status.
            accepted: Whether the job was accepted before the cancellation was
                sent.
        """
        self._log(f"{job}: cancellation answered {status}")
        self.counts[f"cancellation answered {status}"] += 1
        acknowledged = status in (OK, NO_SUCH_JOB)
        if acknowledged and self._jobs[job].cancelled_s is None:
            self._jobs[job].cancelled_s = self._clock()
        if status in NOT_FOUND and accepted:
            self._add_violation(
                f"cancelling the accepted {job} is answered with {status}"
            )

    def is_accepted(self, job: str) -> bool:
        """Returns whether a submission of a job was accepted."""
        return self._jobs[job].accepted()

    def known_state(self, job: str) -> str:
        """Returns what callers know about the state of a job.

        Returns:
            The final state that one has read; otherwise `CANCELLING` if a
            cancellation was acknowledged; otherwise an empty string.
        """
        known = self._jobs[job]
        if known.state or known.cancelled_s is None:
            return known.state
        return CANCELLING

    def record_state(
        self,
        job: str,
        status: int,
        state: str,
        *,
        accepted: bool,
        known: str = "",
    ) -> None:
        """Records the response to a query for the state of a job.

        Args:
            job: Name of the job.
            status: HTTP status.
            state: State in the response.
            accepted: Whether the job was accepted before the query was sent.
            known: Result of `known_state` before the query was sent.
        """
        self._log(f"{job}: state {status} {state}")
        if accepted and status in NOT_FOUND:
            self._add_violation(f"accepted {job} is answered with {status}")
        if status != OK:
            return
        if known == CANCELLING and state not in FINAL_STATES:
            self._add_violation(
                f"{job} is reported as {state} although it was cancelled"
            )
        if known in FINAL_STATES and state != known:
            self._add_violation(f"{job} is reported as {state} after {known}")
        if state == "done":
            self._check_done(job)
        if (state == "failed" and not self._may_fail(job)) or (
            state == "cancelled" and not self._jobs[job].cancel_sent
        ):
            self._add_violation(f"{job} is reported as {state} without a cause")
        if state in FINAL_STATES:
            if state != self._jobs[job].state:
                self.counts[f"jobs {state}"] += 1
            self._jobs[job].state = state

    def _may_fail(self, job: str) -> bool:
        tasks = set().union(*self._jobs[job].steps(job))
        return any(self._attempts[task].may_fail() for task in tasks)

    def _check_done(self, job: str) -> None:
        if any(
            runs
            for task, runs in self._running.items()
            if task.startswith(f"{job}.")
        ):
            self._add_violation(f"{job} is reported as done while it runs")
        tasks = set().union(*self._jobs[job].steps(job))
        if missing := sorted(tasks - self._done_tasks):
            self._add_violation(
                f"{job} is reported as done without {', '.join(missing)}"
            )

    def open_jobs(self) -> list[str]:
        """Returns accepted jobs that must end and of which no end was seen.

        A job that lasts must end only if it was cancelled.
        """
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted()
            and not job.state
            and (job.cancel_sent or not job.lasting())
        ]

    def lasting_jobs(self) -> list[str]:
        """Returns accepted jobs that must run now and last.

        Nobody has cancelled them, and they weren't reported as failed.
        """
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted()
            and job.lasting()
            and not job.cancel_sent
            and job.state != "failed"
        ]

    def newest_accepted_job(self) -> str | None:
        """Returns the job that was submitted last, of those accepted."""
        accepted = (n for n, job in self._jobs.items() if job.accepted())
        return next(reversed(list(accepted)), None)

    def unfinished_jobs(self) -> list[str]:
        """Returns submitted jobs whose end nobody has seen or ordered."""
        return [
            name
            for name, job in self._jobs.items()
            if not job.state and not job.cancel_sent
        ]

    def ended_jobs(self) -> frozenset[str]:
        """Returns the jobs that callers know to have ended."""
        return frozenset(
            name
            for name, job in self._jobs.items()
            if job.state or job.cancelled_s is not None
        )

    def record_pending(
        self, service: str, pending: int, *, ended: frozenset[str]
    ) -> None:
        """Records how many jobs of the queue of a service are pending.

        Args:
            service: The service.
            pending: Number of jobs that were accepted and haven't begun.
            ended: Jobs known to have ended before the number was requested.
        """
        assert self._service_of is not None
        limit = sum(
            name not in ended and self._service_of(name) == service
            for name in self._jobs
        )
        self.counts["pending jobs read"] += 1
        if pending > limit:
            self._add_violation(
                f"{pending} jobs of {service} are pending, of {limit} that"
                " haven't ended"
            )

    def record_foreign_call(self, method: str, job: str, status: int) -> None:
        """Records a call for a job at a queue to which it doesn't belong."""
        self._log(f"{method} of {job} at another queue answered {status}")
        self.counts[f"{method} at another queue answered {status}"] += 1
        if status == OK:
            self._add_violation(f"{method} of {job} succeeds at another queue")

    def unanswered_cancellations(self) -> list[str]:
        """Returns accepted jobs whose cancelling was not acknowledged."""
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted() and job.cancel_sent and job.cancelled_s is None
        ]

    def missing_tasks(self) -> list[str]:
        """Returns the tasks of `lasting_jobs` that aren't running."""
        return [
            task
            for name in self.lasting_jobs()
            for task in sorted(set().union(*self._jobs[name].steps(name)))
            if not self._running.get(task)
        ]

    # --- Workers -------------------------------------------------------------

    def record_start(
        self,
        task: str,
        worker: str,
        *,
        attempt: int,
        spec: str,
        free: int,
        late: bool = False,
        service: str = "",
    ) -> None:
        """Records the start of a task.

        Args:
            task: Name of the task.
            worker: Name of the worker incarnation.
            attempt: Attempt number.
            spec: Specification in the order.
            free: Unreserved capacity of the worker after the start, the minimum
                of all resources; negative if the worker is overcommitted.
                Runs that are being stopped occupy their capacity.
            late: Whether the worker carried the order out late.
            service: Service of the worker; empty if it doesn't matter.
        """
        self._log(f"{task} attempt {attempt} starts on {worker}, late: {late}")
        self.counts["starts"] += 1
        self.counts["starts late"] += late
        name = task.partition(".")[0]
        self._started_jobs.add(name)
        job = self._jobs.get(name)
        self._attempts[task].lasting = job is not None and job.lasting()
        self._check_attempts(task, self._attempts[task].record_start())
        if job is None:
            self._add_violation(f"{task} was started but never submitted")
        else:
            self._check_start(task, job, spec)
            self._check_cancelled_start(task, job, worker, late)
            self._check_service(task, worker, service)
        if not late:
            self._check_draining(task, worker)
        if free < 0:
            self._add_violation(
                f"{task} exceeds the capacity of {worker} by {-free}"
            )
        runs = self._running.setdefault(task, {})
        if runs:
            self._add_violation(f"{task} runs on {worker} and on {list(runs)}")
        if task in self._acknowledged:
            self._add_violation(
                f"{task} was started after its acknowledged end"
            )
        runs[worker, attempt] = _Run(start_s=self._clock(), late=late)

    def _check_start(self, task: str, job: _Job, spec: str) -> None:
        if job.state == "done":
            self._add_violation(f"{task} was started after its job was done")
        if spec != job.body["spec"]:
            self._add_violation(f"{task} was started with another spec: {spec}")
        steps = job.steps(task.partition(".")[0])
        number = next((n for n, s in enumerate(steps) if task in s), None)
        if number is None:
            self._add_violation(f"{task} isn't a task of its job")
            return
        for earlier in job.body["phases"][number].get("after", ()):
            if not steps[earlier] <= self._done_tasks:
                self._add_violation(
                    f"{task} was started before step {earlier} was done"
                )

    def _check_service(self, task: str, worker: str, service: str) -> None:
        if self._service_of is None or not service:
            return
        wanted = self._service_of(task.partition(".")[0])
        if service != wanted:
            self._add_violation(
                f"{task} of {wanted} was started on {worker} of {service}"
            )

    def _check_cancelled_start(
        self, task: str, job: _Job, worker: str, late: bool
    ) -> None:
        if job.cancelled_s is None or late:
            return
        now = self._clock()
        self.counts["starts of a cancelled job"] += 1
        after_s = now - job.cancelled_s
        if after_s > CANCEL_S and now >= self.calm_since_s(worker):
            self._add_violation(
                f"{task} was started on {worker} {after_s:.2f} s after its job"
                " was cancelled"
            )

    def _check_attempts(self, task: str, problem: str) -> None:
        if problem:
            self._add_violation(f"{task} {problem}")

    def record_capacity(self, worker: str, millicores: int) -> None:
        """Records that the capacity of a worker changes."""
        self._log(f"{worker} has a capacity of {millicores}")

    def record_draining(self, worker: str) -> None:
        """Records that an announcement of draining was acknowledged."""
        self._log(f"{worker} drains")
        self._draining_s.setdefault(worker, self._clock())

    def _check_draining(self, task: str, worker: str) -> None:
        now = self._clock()
        after_s = now - self._draining_s.get(worker, math.inf)
        if after_s > DRAIN_S and now >= self.calm_since_s(worker, core=False):
            self._add_violation(
                f"{task} was started on {worker} {after_s:.2f} s after its"
                " draining was acknowledged"
            )

    def record_odd_announcement(self, worker: str, kind: str) -> None:
        """Records that an odd announcement of a worker is about to be sent."""
        self._log(f"{worker} is announced with an odd {kind}")
        self.counts["odd announcements"] += 1

    def record_crash(self, worker: str, *, by: str = "") -> None:
        """Records a crash of a worker, before the ends of its runs.

        Args:
            worker: Name of the worker incarnation.
            by: Task that causes the crash; empty for another reason.
        """
        self._log(f"{worker} crashes: {by}")
        beneath = [
            task
            for task, runs in self._running.items()
            if any(w == worker for w, _ in runs)
        ]
        for task in beneath:
            self._attempts[task].crashes_beneath += 1
        if by:
            self.counts["crashes by tasks"] += 1
            self.counts["other runs lost in crashes by tasks"] += (
                len(beneath) - 1
            )
            self._attempts[by].crashes += 1

    def record_end(
        self, task: str, worker: str, attempt: int, how: str
    ) -> None:
        """Records the end of a run."""
        self._log(f"{task} attempt {attempt} ends on {worker}: {how}")
        self.counts[f"ended {how}"] += 1
        self._running.get(task, {}).pop((worker, attempt), None)
        if how == "failed":
            self._attempts[task].record_failure(attempt)
        if how == "done":
            self._starts_until_done[task, attempt] = self._attempts[task].starts
            self._done_tasks.add(task)

    def record_acknowledgement(
        self, task: str, attempt: int, how: str, *, lease_expired: bool
    ) -> None:
        """Records that the system acknowledged the end of a run to its worker.

        A run whose end was lost in a crash of the worker may be repeated, and
        so may one whose end the worker couldn't report before its lease
        expired: the system can't tell it from a run that the expiry stopped.
        Any other run whose end "done" was acknowledged must be the last of its
        task.

        Args:
            task: Name of the task.
            attempt: Attempt that ended.
            how: How the run ended.
            lease_expired: Whether the worker's lease expired between the end
                and its acknowledgement.
        """
        self._log(
            f"{task} attempt {attempt}: end {how} acknowledged, lease expired:"
            f" {lease_expired}"
        )
        if how == "failed" and not lease_expired:
            attempts = self._attempts[task]
            problem = attempts.record_acknowledged_failure(attempt)
            self._check_attempts(task, problem)
        if how != "done":
            return
        started_again = (
            self._attempts[task].starts > self._starts_until_done[task, attempt]
        )
        if lease_expired:
            self.counts["repeated after an expired lease"] += started_again
            return
        self._acknowledged.add(task)
        if started_again:
            self._add_violation(
                f"{task} was started after its acknowledged end"
            )

    def cancelled_runs(self) -> list[str]:
        """Returns the running tasks of jobs whose cancelling was acknowledged.

        Adds a violation for each run that goes on beyond the bounds.
        """
        now = self._clock()
        tasks = []
        for task, runs in self._running.items():
            job = self._jobs.get(task.partition(".")[0])
            if job is None or job.cancelled_s is None:
                continue
            for (worker, attempt), run in runs.items():
                tasks.append(task)
                since_s = max(job.cancelled_s, self.calm_since_s(worker))
                if run.late:
                    since_s = max(since_s, run.start_s + CONTACT_S)
                if now - since_s <= CANCEL_S + STOP_S or run.reported:
                    continue
                run.reported = True
                self._add_violation(
                    f"{task} attempt {attempt} runs on {worker}"
                    f" {now - job.cancelled_s:.2f} s after its job was"
                    f" cancelled, {now - since_s:.2f} s of them without a fault"
                )
        return tasks

    # --- Operator ------------------------------------------------------------

    def record_configuration(self, version: int) -> None:
        """Records an acknowledged configuration."""
        self.counts["configurations acknowledged"] += 1
        self._version = max(self._version, version)

    def acknowledged_version(self) -> int:
        """Returns the highest acknowledged version."""
        return self._version

    def record_configuration_read(self, version: int, *, at_least: int) -> None:
        """Records a successful read of the configuration.

        Args:
            version: Version that was read.
            at_least: Highest version acknowledged before the read was sent.
        """
        self.counts["configurations read"] += 1
        if version < at_least:
            self._add_violation(
                f"version {version} was read after {at_least} was acknowledged"
            )

    def record_recovery(
        self, what: str, after_s: float, *, limit_s: float
    ) -> None:
        """Records the end of the attempts to read something after a loss.

        Args:
            what: What was read.
            after_s: Time in s since the loss stopped counting or, for the final
                fault, since it began.
            limit_s: Limit in s; a later end isn't a success in time.
        """
        self._log(f"{what}: read until {after_s:.2f} s")
        self.counts["reads after losses"] += 1
        if after_s > limit_s:
            self._add_violation(f"{what} wasn't readable within {limit_s} s")

    def record_disk_use(self, used_mb: float, *, disk_mb: int) -> None:
        """Records the size of the largest data folder."""
        if used_mb > disk_mb:
            self._add_violation(f"{used_mb:.1f} MB on a disk of {disk_mb} MB")

    # --- End -----------------------------------------------------------------

    def check_lasting_jobs(self) -> None:
        """Checks that all tasks run that last until their job is cancelled."""
        for task in self.missing_tasks():
            self._add_violation(f"{task} isn't running although it lasts")

    def finish(self) -> None:
        """Checks the invariants that can only be checked at the end."""
        for name, job in self._jobs.items():
            if job.refused() and name in self._started_jobs:
                self._add_violation(f"{name} was always refused but ran")
        for name in self.open_jobs():
            self._add_violation(f"accepted {name} was never done")
        for name in self.unanswered_cancellations():
            self._add_violation(f"cancelling {name} was never acknowledged")

    def _log(self, line: str) -> None:
        self.lines.append(f"{time.time():.3f} {line}")

    def _add_violation(self, text: str) -> None:
        self._log(f"VIOLATION {text}")
        self.violations.append(text)


def _place(target: str) -> str:
    """Returns the worker of an agent, `_CORE` for a control replica."""
    role, _, number = target.partition("-")
    if role == "control":
        return _CORE
    return f"worker-{number}" if role == "agent" else target
