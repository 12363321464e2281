"""Determines the capacity of a worker on which the leader decides.

The capacity of a worker may shrink and grow while it runs. Two places have it:

* The newest report has the one that the worker announced last. A leader that
  was just elected doesn't have it yet, and other replicas never have it.
* The replicated state has the one that was committed last, against which each
  replica checks assignments.

The leader commits each capacity that differs from the replicated one. Until
then, the lower amount of each resource counts: a shrunk worker gets no runs
that exceed its room although the change isn't committed, and no assignment is
proposed that the state machine refuses because the growth isn't committed.
"""

from collections.abc import Iterable

from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs


def current_room(
    state: stepped_jobs.SteppedJobs, report: job_messages.WorkerReport
) -> common.Resources | None:
    """Returns the capacity on which to decide.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.

    Returns:
        The capacity; None if the report isn't from the current incarnation.
    """
    incarnation = state.incarnations.get(report.worker)
    if incarnation is None or incarnation.life != report.life:
        return None
    replicated, reported = incarnation.room, report.room
    return common.Resources(
        millicores=min(replicated.millicores, reported.millicores),
        memory_mb=min(replicated.memory_mb, reported.memory_mb),
        accelerators=min(replicated.accelerators, reported.accelerators),
        slots=min(replicated.slots, reported.slots),
    )


def changed_rooms(
    state: stepped_jobs.SteppedJobs,
    reports: Iterable[job_messages.WorkerReport],
) -> tuple[jobs.WorkerRoom, ...]:
    """Returns the reported capacities that differ from the replicated ones.

    Reports of earlier sessions are left out: the current session may have been
    opened with a newer capacity.

    Args:
        state: The replicated jobs.
        reports: Newest report of each worker.
    """
    return tuple(
        jobs.WorkerRoom(
            worker=report.worker, life=report.life, room=report.room
        )
        for report in reports
        if (incarnation := state.incarnations.get(report.worker)) is not None
        and (incarnation.life, incarnation.session)
        == (report.life, report.session)
        and incarnation.room != report.room
    )
