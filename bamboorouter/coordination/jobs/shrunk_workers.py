"""Chooses the runs that leave a worker whose capacity has shrunk.

If a worker's runs reserve more than it has, all of them are delayed, or its
memory runs out. Stopping a run costs its caller the work since the last
checkpoint and a wait for another worker. A run therefore leaves only if all of
this holds; otherwise it goes on:

* Its worker has been over its capacity for `MIN_EXCESS_MS`, since it may grow
  again soon.
* It reserves some of a resource that is exceeded.
* It resumes from a checkpoint. Gangs and tasks that last are left out: the
  whole gang would restart, and the users of a lasting task would miss it.
* Another worker has room for it now.

The runs that were assigned last leave first, and only until the others fit. The
choice is made anew in each pass. A run that is being stopped takes its room
until it has ended, so that no further run is chosen in its place.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.jobs import worker_rooms
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from bamboorouter.state import resource_math
from bamboorouter.state import stepped_jobs

# Workers announce their capacity every 1.5 s.
MIN_EXCESS_MS: Final = 2000


class ShrunkWorkers:
    """Workers whose runs reserve more than their capacity.

    Attributes:
        clock: Source of time.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self._since_ms: dict[str, int] = {}

    def reset(self) -> None:
        """Forgets all workers, as after an election."""
        self._since_ms.clear()

    def runs_to_move(
        self,
        state: stepped_jobs.SteppedJobs,
        reports: Iterable[job_messages.WorkerReport],
        usable: Callable[[], Sequence[run_placement.WorkerCapacity]],
    ) -> dict[str, set[jobs.RunKey]]:
        """Returns the runs that leave their worker, by worker.

        Args:
            state: The replicated jobs.
            reports: Newest report of each worker.
            usable: Returns the capacities of the workers that may get runs.
        """
        rooms = _exceeded_rooms(state, reports)
        self._update(state, rooms)
        now = self.clock.now()
        due = {
            worker: room
            for worker, room in rooms.items()
            if now - self._since_ms[worker] >= MIN_EXCESS_MS
        }
        if not due:
            return {}
        others = [worker for worker in usable() if worker.name not in rooms]
        return {
            worker: _choose(state, worker, room, others)
            for worker, room in due.items()
        }

    def _update(
        self,
        state: stepped_jobs.SteppedJobs,
        rooms: dict[str, common.Resources],
    ) -> None:
        now = self.clock.now()
        for worker in rooms.keys() - self._since_ms.keys():
            events.log(
                events.WORKER_OVERCOMMITTED,
                worker=worker,
                room=rooms[worker],
                used=state.used_on(worker),
                runs=len(state.on_worker[worker]),
            )
        self._since_ms = {
            worker: self._since_ms.get(worker, now) for worker in rooms
        }


def _exceeded_rooms(
    state: stepped_jobs.SteppedJobs,
    reports: Iterable[job_messages.WorkerReport],
) -> dict[str, common.Resources]:
    """Returns the capacities that are exceeded by assigned runs, by worker."""
    return {
        report.worker: room
        for report in reports
        if state.on_worker.get(report.worker)
        and (room := worker_rooms.current_room(state, report)) is not None
        and not stepped_jobs.fits(state.used_on(report.worker), room)
    }


def _choose(
    state: stepped_jobs.SteppedJobs,
    worker: str,
    room: common.Resources,
    others: Sequence[run_placement.WorkerCapacity],
) -> set[jobs.RunKey]:
    """Returns the runs that leave one worker; reserves room on others."""
    chosen: set[jobs.RunKey] = set()
    used = state.used_on(worker)
    for ref, task in reversed(state.on_worker[worker].items()):
        if stepped_jobs.fits(used, room):
            break
        step = state.step(ref)
        left = resource_math.minus(used, stepped_jobs.reserved(step))
        if (
            not _may_leave(state, ref)
            or not _relieves(used, left, room)
            or not _reserve_elsewhere(state, ref, task, others)
        ):
            continue
        chosen.add((ref, task.attempt))
        used = left
    return chosen


def _may_leave(state: stepped_jobs.SteppedJobs, ref: jobs.TaskRef) -> bool:
    step = state.step(ref)
    return (
        state.jobs[ref.job].active()
        and step.checkpoints
        and not step.gang
        and not step.lasting
    )


def _relieves(
    used: common.Resources, left: common.Resources, room: common.Resources
) -> bool:
    """Whether less of an exceeded resource is used without a run."""
    return any(
        before > after and before > available
        for before, after, available in (
            (used.millicores, left.millicores, room.millicores),
            (used.memory_mb, left.memory_mb, room.memory_mb),
            (used.accelerators, left.accelerators, room.accelerators),
        )
    )


def _reserve_elsewhere(
    state: stepped_jobs.SteppedJobs,
    ref: jobs.TaskRef,
    task: job_records.Task,
    others: Sequence[run_placement.WorkerCapacity],
) -> bool:
    """Adds a run to a worker that suits it; returns whether there is one."""
    job = state.jobs[ref.job]
    if job.queue.advised:
        # Which other workers may run it isn't known.
        return False
    row = job.tasks[ref.occurrence, ref.step]
    ready = run_placement.ReadyTask(
        ref=ref,
        attempt=task.attempt + 1,
        step=state.step(ref),
        service=job.queue.service,
        failed_on=frozenset(),
        tasks_by_worker=collections.Counter(
            other.worker for other in row if other.status == "assigned"
        ),
    )
    found = next(
        (other for other in others if run_placement.suits(ready, other)), None
    )
    if found is None:
        return False
    found.add(ready.step)
    return True
