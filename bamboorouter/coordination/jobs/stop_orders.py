"""Decides which runs of a worker must stop, and tracks stops that are overdue.

A run must stop in two cases:

* It isn't assigned to its worker: its job has ended or is unknown, or its task
  is waiting or assigned under another attempt or to another worker. Each reply
  to a report that lists such a run orders its stop.
* It is assigned, but its job has ended, its gang is incomplete, its worker is
  draining, or it is to be moved. The order is pushed, and repeated until the
  end of the run is committed.

A run that was not started yet is withdrawn by the same order if the capacity of
its worker has shrunk below what it needs.

The decisions are functions of the replicated state and a report. `StopTracker`
logs each stop once with its reason, and logs again if the run is still reported
long after it must have stopped.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

# A stop order is pushed again if the end isn't reported by then. A stop takes
# 0.9 s.
STOP_RESEND_MS: Final = 1000
# By then a run that was ordered to stop is no longer reported, even if the
# order was lost once.
STOP_OVERDUE_MS: Final = 5000
# A run that isn't ordered to stop any more is forgotten after this time.
RETENTION_MS: Final = 10_000

StopReason = Literal[
    "job_ended",
    "job_unknown",
    "not_assigned",
    "gang_incomplete",
    "draining",
    "move",
    "no_room",
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stop:
    """A run that must stop.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        reason: Why it must stop.
        assigned_attempt: Attempt that is assigned instead; 0 if there is none.
        assigned_worker: Worker of that attempt; empty if there is none.
        reserves: What the run reserves on its worker; None if unknown or if
            its agent has the start order.
    """

    task: jobs.TaskRef
    attempt: int
    reason: StopReason
    assigned_attempt: int = 0
    assigned_worker: str = ""
    reserves: common.Resources | None = None

    def order(self) -> job_messages.StopOrder:
        """Returns the order to send."""
        return job_messages.StopOrder(
            task=self.task, attempt=self.attempt, reserves=self.reserves
        )


# --- Decisions ---------------------------------------------------------------


def unassigned_runs(
    state: stepped_jobs.SteppedJobs, report: job_messages.WorkerReport
) -> list[job_messages.HeldRun]:
    """Returns the reported runs that aren't assigned to their worker."""
    assigned = state.on_worker.get(report.worker, {})
    return [
        run
        for run in report.runs
        if run.task not in assigned or assigned[run.task].attempt != run.attempt
    ]


def tasks_still_running(
    state: stepped_jobs.SteppedJobs,
    reports: Iterable[job_messages.WorkerReport],
) -> set[jobs.TaskRef]:
    """Returns the tasks with a reported run that isn't assigned.

    The other tasks of a gang are included, since all of it starts together.
    Reports from earlier incarnations of workers are ignored.
    """
    current = (
        report
        for report in reports
        if (incarnation := state.incarnations.get(report.worker)) is not None
        and incarnation.life == report.life
    )
    return {
        member
        for report in current
        for run in unassigned_runs(state, report)
        if state.task(run.task) is not None
        for member, _ in state.group_of(run.task)
    }


def unassigned_stops(
    state: stepped_jobs.SteppedJobs, report: job_messages.WorkerReport
) -> list[Stop]:
    """Returns the stops of reported runs that aren't assigned there."""
    return [
        _unassigned_stop(state, run) for run in unassigned_runs(state, report)
    ]


def assigned_stops(
    state: stepped_jobs.SteppedJobs,
    worker: str,
    *,
    draining: bool,
    to_move: Collection[jobs.RunKey],
) -> list[Stop]:
    """Returns the stops of runs that are assigned to a worker.

    Args:
        state: The replicated jobs.
        worker: Name of the worker.
        draining: Whether the worker is draining.
        to_move: Runs that are to be moved to another worker.
    """
    reasons = (
        (ref, task.attempt, _stop_reason(state, ref, draining=draining))
        for ref, task in state.on_worker.get(worker, {}).items()
    )
    return [
        Stop(task=ref, attempt=attempt, reason=reason or "move")
        for ref, attempt, reason in reasons
        if reason is not None or (ref, attempt) in to_move
    ]


def missing_stop(
    state: stepped_jobs.SteppedJobs, ref: jobs.TaskRef, reason: StopReason
) -> Stop:
    """Returns the stop of an assigned run that its agent doesn't hold."""
    task = state.task(ref)
    assert task is not None
    return Stop(
        task=ref,
        attempt=task.attempt,
        reason=reason,
        reserves=stepped_jobs.reserved(state.step(ref)),
    )


def superseded_stop(end: jobs.RunEnd) -> Stop:
    """Returns the stop of a run whose task an earlier attempt has completed."""
    return Stop(task=end.task, attempt=end.attempt, reason="not_assigned")


def _unassigned_stop(
    state: stepped_jobs.SteppedJobs, run: job_messages.HeldRun
) -> Stop:
    task = state.task(run.task)
    if task is None:
        return Stop(task=run.task, attempt=run.attempt, reason="job_unknown")
    assigned = task.status == "assigned"
    reserves = stepped_jobs.reserved(state.step(run.task))
    active = state.jobs[run.task.job].active()
    return Stop(
        task=run.task,
        attempt=run.attempt,
        reason="not_assigned" if active else "job_ended",
        assigned_attempt=task.attempt if assigned else 0,
        assigned_worker=task.worker if assigned else "",
        reserves=None if run.ordered else reserves,
    )


def _stop_reason(
    state: stepped_jobs.SteppedJobs, ref: jobs.TaskRef, *, draining: bool
) -> StopReason | None:
    """Returns why an assigned run must be stopped; None if it may continue.

    On a draining worker, long-running tasks and tasks with checkpoints are
    stopped to be resumed on another worker; other tasks may finish in time.
    The rest of a gang is stopped if a member is gone, because the remaining
    runs would only wait for it.
    """
    if not state.jobs[ref.job].active():
        return "job_ended"
    if state.gang_incomplete(ref):
        return "gang_incomplete"
    step = state.step(ref)
    if draining and (step.lasting or step.checkpoints):
        return "draining"
    return None


# --- Orders that were sent ---------------------------------------------------


@dataclasses.dataclass(kw_only=True, slots=True)
class _OrderedStop:
    """Times of the stop orders for one run, monotonic in ms.

    Attributes:
        since_ms: First order.
        needed_ms: Last time at which the run had to stop.
        pushed_ms: Last pushed order; None if none was pushed.
        logged_ms: Last line in the log that the stop is overdue; None before
            the first.
    """

    since_ms: int
    needed_ms: int
    pushed_ms: int | None = None
    logged_ms: int | None = None


class StopTracker:
    """Stops that were ordered.

    Attributes:
        clock: Source of time.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self._ordered: dict[tuple[str, jobs.TaskRef, int], _OrderedStop] = {}
        self._cleaned_ms = 0

    def reset(self) -> None:
        """Forgets all orders, as after an election."""
        self._ordered.clear()

    def record(self, worker: str, stops: Iterable[Stop], *, term: int) -> None:
        """Records stops that are ordered now, and logs the new ones.

        Args:
            worker: Name of the worker.
            stops: The stops.
            term: Term of this leader.
        """
        now = self.clock.now()
        for stop in stops:
            key = (worker, stop.task, stop.attempt)
            ordered = self._ordered.get(key)
            if ordered is not None:
                ordered.needed_ms = now
                continue
            self._ordered[key] = _OrderedStop(since_ms=now, needed_ms=now)
            metrics.STOPS_ORDERED.labels(stop.reason).inc()
            events.log(
                events.RUN_STOP_ORDERED,
                task=str(stop.task),
                attempt=stop.attempt,
                worker=worker,
                reason=stop.reason,
                assigned_attempt=stop.assigned_attempt,
                assigned_worker=stop.assigned_worker,
                term=term,
            )

    def due(self, worker: str, stops: Iterable[Stop]) -> list[Stop]:
        """Returns the recorded stops to push now, and counts them as pushed.

        Args:
            worker: Name of the worker.
            stops: Stops that were passed to `record`.
        """
        now = self.clock.now()
        due = []
        for stop in stops:
            ordered = self._ordered[worker, stop.task, stop.attempt]
            pushed_ms = ordered.pushed_ms
            if pushed_ms is None or now - pushed_ms >= STOP_RESEND_MS:
                ordered.pushed_ms = now
                due.append(stop)
        return due

    def check_report(
        self, report: job_messages.WorkerReport, *, term: int
    ) -> None:
        """Logs the reported runs whose stop is overdue.

        Args:
            report: The newest report of a worker.
            term: Term of this leader.
        """
        now = self.clock.now()
        self._discard_old(now)
        for run in report.runs:
            ordered = self._ordered.get((report.worker, run.task, run.attempt))
            if ordered is None or now - ordered.since_ms < STOP_OVERDUE_MS:
                continue
            if ordered.logged_ms is None:
                metrics.STOPS_OVERDUE.inc()
            elif now - ordered.logged_ms < STOP_OVERDUE_MS:
                continue
            ordered.logged_ms = now
            events.log(
                events.RUN_STOP_OVERDUE,
                task=str(run.task),
                attempt=run.attempt,
                worker=report.worker,
                running=run.running,
                ordered_ms_ago=now - ordered.since_ms,
                view_age_ms=report.view_age_ms,
                term=term,
            )

    def _discard_old(self, now: int) -> None:
        if now - self._cleaned_ms < STOP_RESEND_MS:
            return
        self._cleaned_ms = now
        self._ordered = {
            key: ordered
            for key, ordered in self._ordered.items()
            if now - ordered.needed_ms < RETENTION_MS
        }
