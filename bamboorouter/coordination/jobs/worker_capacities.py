"""Computes how much of a worker's capacity is taken.

Every run that a worker may still run takes capacity: the runs that are assigned
to it, and the reported runs that aren't assigned to it but have not stopped
yet. The size of the latter is that of their step. While a run of unknown size
is reported, because its job is unknown, its worker gets no new runs.
"""

from collections.abc import Callable

from bamboorouter.coordination.jobs import stop_orders
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs


def placement_capacity(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    *,
    ejected: bool,
    own_utilization: Callable[[jobs.TaskRef], float],
) -> run_placement.WorkerCapacity | None:
    """Returns the free capacity and load of a worker for placement.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.
        ejected: Whether the worker gets tasks only if no other worker fits.
        own_utilization: Returns the utilization that a serving task causes.

    Returns:
        The capacity; None if the report isn't from the current incarnation.
    """
    incarnation = state.incarnations.get(report.worker)
    if incarnation is None or incarnation.life != report.life:
        return None
    capacity = run_placement.WorkerCapacity(
        name=report.worker,
        incarnation=incarnation.life,
        service=report.service,
        labels=frozenset(report.labels),
        rack=report.rack,
        millicores=incarnation.room.millicores,
        memory_mb=incarnation.room.memory_mb,
        accelerators=incarnation.room.accelerators,
        ejected=ejected,
    )
    assigned = state.on_worker.get(report.worker, {})
    unassigned = (
        run.task
        for run in stop_orders.unassigned_runs(state, report)
        if state.task(run.task) is not None
    )
    for ref in (*assigned, *unassigned):
        capacity.add(state.step(ref), own_utilization(ref))
    return capacity


def runs_unknown_size(
    state: stepped_jobs.SteppedJobs, report: job_messages.WorkerReport
) -> bool:
    """Whether a worker reports a run whose size is unknown."""
    return any(
        state.task(run.task) is None
        for run in stop_orders.unassigned_runs(state, report)
    )


def has_room_to_start(
    state: stepped_jobs.SteppedJobs, report: job_messages.WorkerReport
) -> bool:
    """Whether the assigned runs of a worker may all be started now.

    They may not if they don't fit beside the runs that are still to stop.
    """
    unassigned = stop_orders.unassigned_runs(state, report)
    if not unassigned:
        return True
    incarnation = state.incarnations.get(report.worker)
    if incarnation is None or runs_unknown_size(state, report):
        return False
    return stepped_jobs.fits(
        stepped_jobs.total(
            state.used_on(report.worker),
            *(
                stepped_jobs.reserved(state.step(run.task))
                for run in unassigned
            ),
        ),
        incarnation.room,
    )
