"""Determines the capacity of a worker on which the leader decides.

The capacity of a worker may shrink and grow while it runs. Two places have it:

* The newest report has the one that the worker announced last. A leader that
  was just elected doesn't have it yet, and other replicas never have it.
* The replicated state has the one with which the agent's session was opened,
  against which each replica checks assignments.

The lower amount of each resource counts. A shrunk worker thus gets no runs that
exceed its room although nothing is committed, and no assignment is proposed
that the state machine refuses. If a capacity exceeds that of the session, the
agent opens a new session with it.
"""

from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.state import resource_math
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
    if incarnation.room == report.room:
        # Almost always, and in each pass.
        return report.room
    return resource_math.lowest(incarnation.room, report.room)


def largest_room(
    state: stepped_jobs.SteppedJobs,
    report: job_messages.WorkerReport,
    reported: common.Resources,
) -> common.Resources:
    """Returns the largest known amount of each resource of an incarnation.

    A leader that was elected after a worker has shrunk knows the earlier
    capacity from the session only.

    Args:
        state: The replicated jobs.
        report: Newest report of the worker.
        reported: The largest amounts that this leader has got in reports.
    """
    incarnation = state.incarnations.get(report.worker)
    if incarnation is None or incarnation.life != report.life:
        return reported
    return resource_math.highest(incarnation.room, reported)
