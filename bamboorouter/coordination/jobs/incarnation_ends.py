"""Decides how an earlier incarnation of a worker has ended.

A worker that crashes says nothing; a new incarnation announces itself later. A
worker that is asked to leave drains first or announces its end. The agent of
the worker has seen which of both happened, unless its process was restarted
meanwhile. Then the newest report that the leader has of the incarnation decides.

Neither a partition, nor an expired lease, nor a lost machine ends an
incarnation: only a session with another incarnation proves that it is over.
"""

from typing import Final
from typing import Literal

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.state import stepped_jobs

NOT_ENDED: Final = job_commands.IncarnationEnd()


def incarnation_end(
    message: job_messages.OpenWorkerSession,
    state: stepped_jobs.SteppedJobs,
    table: worker_table.WorkerTable,
    *,
    wall_ms: int,
) -> job_commands.IncarnationEnd:
    """Returns how the incarnation ended that a new session would replace.

    Args:
        message: Request of an agent to open the session.
        state: The replicated jobs.
        table: Workers that reported to this leader.
        wall_ms: Current wall time in ms since the epoch.
    """
    current = state.incarnations.get(message.worker)
    if current is None or current.life == message.life:
        return NOT_ENDED
    how: Literal["crashed", "left", "unknown"] = "unknown"
    silent_ms = 0
    known = table.workers.get(message.worker)
    if message.previous == current.life:
        how = "left" if message.previous_left else "crashed"
        silent_ms = max(0, message.silent_ms)
    elif known is not None and known.report.life == current.life:
        how = "left" if known.report.draining else "crashed"
    return job_commands.IncarnationEnd(
        life=current.life, how=how, over_ms=wall_ms - silent_ms
    )


def log_end(
    message: job_messages.OpenWorkerSession,
    end: job_commands.IncarnationEnd,
    *,
    lost: int,
    term: int,
) -> None:
    """Logs and counts the end of an incarnation.

    Args:
        message: Request of an agent that opened the new session.
        end: The end.
        lost: Number of runs that were assigned to the incarnation.
        term: Term of this leader.
    """
    if not end.life:
        return
    metrics.INCARNATIONS_ENDED.labels(end.how).inc()
    events.log(
        events.INCARNATION_ENDED,
        worker=message.worker,
        life=end.life,
        how=end.how,
        next_life=message.life,
        lost=lost,
        silent_ms=message.silent_ms,
        term=term,
    )
