"""Computes how much of a worker's capacity is taken.

The capacity is that of `worker_rooms`, which may change while the worker runs.
Every run that a worker may still run takes capacity: the runs that are assigned
to it, the reported runs that aren't assigned to it but have not stopped yet,
and the superseded runs. The size of a run is that of its step. While a run of
unknown size is reported, because its job is unknown, its worker gets no new
runs.

If the capacity shrinks, assigned runs may no longer fit. Those that the worker
doesn't have yet are withdrawn by a stop order and placed elsewhere;
`shrunk_workers` decides on the others.

A run is superseded if an earlier attempt of its task turns out to have
succeeded. It is no longer assigned then, but its start order may be under way.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.coordination.jobs import stop_orders
from bamboorouter.coordination.jobs import worker_rooms
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import crash_conviction
from bamboorouter.state import stepped_jobs

# A start order arrives before its push times out, or not at all; the agent
# reports the run within a second.
MAX_UNREPORTED_MS: Final = 2000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MissingRuns:
    """What to order for assigned runs whose orders an agent lacks.

    Attributes:
        starts: Tasks whose start is ordered now.
        withdrawn: Tasks that no longer fit the worker and are to be placed
            elsewhere.
    """

    starts: tuple[jobs.TaskRef, ...] = ()
    withdrawn: tuple[jobs.TaskRef, ...] = ()


class SupersededRuns:
    """Superseded runs that may run although their agents don't report them."""

    def __init__(self) -> None:
        # Times in ms at which the runs were superseded, by run and by worker.
        self._runs: dict[str, dict[jobs.RunKey, int]] = collections.defaultdict(
            dict
        )

    def reset(self) -> None:
        """Forgets all runs, as after an election."""
        self._runs.clear()

    def add(self, worker: str, key: jobs.RunKey, now: int) -> None:
        """Adds a run that was superseded now, in monotonic time in ms."""
        self._runs[worker][key] = now

    def update(self, report: job_messages.WorkerReport, now: int) -> None:
        """Removes the runs that a report accounts for.

        Args:
            report: Newest report of a worker.
            now: Monotonic time in ms.
        """
        reported = {(run.task, run.attempt) for run in report.runs} | {
            (end.task, end.attempt) for end in report.ends
        }
        self._runs[report.worker] = {
            key: since
            for key, since in self._runs.pop(report.worker, {}).items()
            if key not in reported and now - since < MAX_UNREPORTED_MS
        }

    def tasks(self, worker: str) -> list[jobs.TaskRef]:
        """Returns the tasks of the runs that may run on a worker."""
        return [task for task, _ in self._runs.get(worker, {})]


def placement_capacity(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    *,
    superseded: Iterable[jobs.TaskRef],
    ejected: bool,
    own_utilization: Callable[[jobs.TaskRef], float],
) -> run_placement.WorkerCapacity | None:
    """Returns the free capacity and load of a worker for placement.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.
        superseded: Tasks of the superseded runs of the worker.
        ejected: Whether the worker gets tasks only if no other worker fits.
        own_utilization: Returns the utilization that a serving task causes.

    Returns:
        The capacity; None if it is unknown, because the report isn't from the
        current incarnation or contains a run of unknown size.
    """
    room = worker_rooms.current_room(state, report)
    if room is None:
        return None
    capacity = run_placement.WorkerCapacity(
        name=report.worker,
        incarnation=report.life,
        service=report.service,
        labels=frozenset(report.labels),
        rack=report.rack,
        millicores=room.millicores,
        memory_mb=room.memory_mb,
        accelerators=room.accelerators,
        ejected=ejected,
    )
    unassigned = _unassigned_tasks(state, report, superseded)
    if not _sizes_known(state, unassigned):
        return None
    for ref in (*state.on_worker.get(report.worker, {}), *unassigned):
        capacity.add(
            state.step(ref), own_utilization(ref), _suspicion(state, ref)
        )
    return capacity


def has_room_to_start(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    superseded: Iterable[jobs.TaskRef],
) -> bool:
    """Whether the assigned runs of a worker may all be started now.

    They may not if they don't fit beside the runs that are still to stop, or
    if the worker's capacity has shrunk.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.
        superseded: Tasks of the superseded runs of the worker.
    """
    room = worker_rooms.current_room(state, report)
    unassigned = _unassigned_tasks(state, report, superseded)
    if room is None or not _sizes_known(state, unassigned):
        return False
    return stepped_jobs.fits(
        stepped_jobs.total(
            state.used_on(report.worker), *_reserved(state, unassigned)
        ),
        room,
    )


def decide_missing(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    superseded: Iterable[jobs.TaskRef],
    missing: Sequence[jobs.TaskRef],
) -> MissingRuns:
    """Decides which of the runs whose orders an agent lacks are ordered now.

    The order of a run that the report lists is always repeated, because it
    starts nothing and tells a restarted agent what the run needs. Of the other
    runs, those that fit beside the listed assigned ones keep their worker, and
    are ordered once they also fit beside the runs that are still to stop.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.
        superseded: Tasks of the superseded runs of the worker.
        missing: Tasks of the assigned runs without an order.
    """
    room = worker_rooms.current_room(state, report)
    if room is None or not missing:
        return MissingRuns()
    assigned = state.on_worker.get(report.worker, {})
    reported = {(run.task, run.attempt) for run in report.runs}
    listed = {
        ref for ref, task in assigned.items() if (ref, task.attempt) in reported
    }
    used = stepped_jobs.total(*_reserved(state, listed))
    repeated, fitting, withdrawn = [], [], []
    for ref in missing:
        if ref in listed:
            repeated.append(ref)
            continue
        with_run = stepped_jobs.total(used, *_reserved(state, [ref]))
        if not stepped_jobs.fits(with_run, room):
            withdrawn.append(ref)
            continue
        used = with_run
        fitting.append(ref)
    unassigned = _unassigned_tasks(state, report, superseded)
    may_start = _sizes_known(state, unassigned) and stepped_jobs.fits(
        stepped_jobs.total(used, *_reserved(state, unassigned)), room
    )
    return MissingRuns(
        starts=(*repeated, *(fitting if may_start else ())),
        withdrawn=tuple(withdrawn),
    )


def _reserved(
    state: stepped_jobs.SteppedJobs, tasks: Iterable[jobs.TaskRef]
) -> Iterator[common.Resources]:
    return (stepped_jobs.reserved(state.step(task)) for task in tasks)


def _suspicion(state: stepped_jobs.SteppedJobs, ref: jobs.TaskRef) -> int:
    task = state.task(ref)
    return 0 if task is None else crash_conviction.suspicion(task)


def _sizes_known(
    state: stepped_jobs.SteppedJobs, tasks: Iterable[jobs.TaskRef]
) -> bool:
    return all(state.task(task) is not None for task in tasks)


def _unassigned_tasks(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    superseded: Iterable[jobs.TaskRef],
) -> list[jobs.TaskRef]:
    """Returns the tasks of runs that take capacity without being assigned."""
    return [
        *(run.task for run in stop_orders.unassigned_runs(state, report)),
        *superseded,
    ]
