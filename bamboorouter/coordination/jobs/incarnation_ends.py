"""Decides how an earlier incarnation of a worker has ended.

A worker that crashes says nothing; a new incarnation announces itself later. A
worker that is asked to leave drains first or announces its end. The agent of
the worker has seen which of both happened, unless its process was restarted
meanwhile. Then the newest report that the leader has of the incarnation decides.

Only a run whose start the worker has confirmed can have crashed it for certain.
The agent tells which of the runs that it holds are; the newest report adds those
that it lists as running.

Neither a partition, nor an expired lease, nor a lost machine ends an
incarnation: only a session with another incarnation proves that it is over.
"""

from typing import Final
from typing import Literal

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
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
    started = table.listed_runs(message.worker, current.life)
    known = table.workers.get(message.worker)
    if message.previous == current.life:
        how = "left" if message.previous_left else "crashed"
        silent_ms = max(0, message.silent_ms)
        started |= {(run.task, run.attempt) for run in message.started}
    elif known is not None and known.report.life == current.life:
        how = "left" if known.report.draining else "crashed"
    return job_commands.IncarnationEnd(
        life=current.life,
        how=how,
        over_ms=wall_ms - silent_ms,
        dated=silent_ms > 0,
        started=tuple(
            jobs.RunId(task=task, attempt=attempt)
            for task, attempt in sorted(started)
        ),
    )


def log_end(
    message: job_messages.OpenWorkerSession,
    end: job_commands.IncarnationEnd,
    result: commands.Result,
    *,
    term: int,
) -> None:
    """Logs and counts the end of an incarnation and what follows from it.

    Args:
        message: Request of an agent to open a session.
        end: The end.
        result: Result of the command that opened the session.
        term: Term of this leader.
    """
    if not end.life or not result.data["opened"]:
        return
    metrics.INCARNATIONS_ENDED.labels(end.how).inc()
    events.log(
        events.INCARNATION_ENDED,
        worker=message.worker,
        life=end.life,
        how=end.how,
        next_life=message.life,
        lost=result.data["lost"],
        silent_ms=message.silent_ms,
        term=term,
    )
    worker: dict[str, object] = {"worker": message.worker, "life": end.life}
    for task, crashes, confirmed in result.data["suspects"]:
        metrics.CRASH_SUSPECTS.labels("suspects").inc()
        events.log(
            events.CRASH_SUSPECTED,
            task=task,
            crashes=crashes,
            confirmed=confirmed,
            term=term,
            **worker,
        )
    log_given_up(result, term=term, **worker)


def log_given_up(
    result: commands.Result, *, term: int, **fields: object
) -> None:
    """Logs and counts the tasks that a command has given up.

    Args:
        result: Result of the command.
        term: Term of this leader.
        **fields: What else is known, for the log.
    """
    for task, crashes, confirmed in result.data["given_up"]:
        metrics.CRASH_SUSPECTS.labels("given_up").inc()
        events.log(
            events.CRASHING_TASK_GIVEN_UP,
            task=task,
            crashes=crashes,
            confirmed=confirmed,
            term=term,
            **fields,
        )
