"""Decides which reported ends of runs change the replicated jobs.

Only the end of a task's current attempt changes the task, with two exceptions. A
run that was given up may have ended otherwise, and its end is reported after
the next attempt was assigned. The report is acknowledged, so it has to count:

* If the run completed, the task must not run again: the success counts as that
  of the current attempt, which must stop. A lasting task has no success; it
  runs on.
* Any other end that a worker lists resolves the record of the run; a failure
  counts towards the attempts (see `given_up_runs`).
"""

import dataclasses

import msgspec

from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveEnd:
    """A reported end that changes a task.

    Attributes:
        reported: The end as it was reported.
        committed: The end to commit, under the current attempt of the task.
        superseded_worker: Worker of the current attempt if that must stop;
            empty if it needn't.
    """

    reported: jobs.RunEnd
    committed: jobs.RunEnd
    superseded_worker: str = ""


def effective_end(
    state: stepped_jobs.SteppedJobs, end: jobs.RunEnd
) -> EffectiveEnd | None:
    """Returns the end to commit for a reported one; None if it has no effect.

    Args:
        state: The replicated jobs.
        end: End of a run as its agent reported it.
    """
    task = state.task(end.task)
    if task is None or task.status not in ("waiting", "assigned"):
        return None
    if task.status == "assigned" and task.attempt == end.attempt:
        return EffectiveEnd(reported=end, committed=end)
    succeeded = end.how == "done" and not state.step(end.task).lasting
    if succeeded and end.attempt <= task.attempt:
        return EffectiveEnd(
            reported=end,
            committed=msgspec.structs.replace(end, attempt=task.attempt),
            superseded_worker=task.worker if task.status == "assigned" else "",
        )
    if state.resolves_given_up_run(end):
        return EffectiveEnd(reported=end, committed=end)
    return None
