"""Finds runs that go on for longer than those under which workers crashed.

A task that runs for long would otherwise collect crashes that it didn't cause. A
task that crashes its workers may do so at different ages of its runs, so a run
shows that its task isn't to blame only once it has outlived the ages at all
crashes that count, and `MIN_AGE_MS`. The age at an earlier crash than the last
one counts up to `MAX_EARLIER_AGE_MS`: a task may have run for days before.

The age counts from the first report to this leader that lists the run, up to
the agent's newest view of the worker.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import jobs
from bamboorouter.state import given_up_runs
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs

# Longer than most tasks that end take.
MIN_AGE_MS: Final = 10_000
MAX_EARLIER_AGE_MS: Final = 30_000


class CrashSurvival:
    """Ages of the runs of suspects, as this leader has observed them."""

    def __init__(self) -> None:
        # Times in ms at which the runs were first seen on their workers.
        self._since_ms: dict[jobs.RunKey, int] = {}

    def reset(self) -> None:
        """Forgets all observations, as after an election."""
        self._since_ms.clear()

    def survivors(
        self,
        workers: Iterable[worker_table.LiveWorker],
        state: stepped_jobs.SteppedJobs,
    ) -> tuple[jobs.RunId, ...]:
        """Returns the runs whose tasks are cleared.

        Args:
            workers: Workers that reported to this leader.
            state: The replicated jobs.
        """
        observed = [
            (run, _age_to_outlive_ms(task), worker.observed_ms())
            for worker in workers
            for run in worker.report.runs
            if run.running
            and (task := state.task(run.task)) is not None
            and _is_suspect(task, run.attempt)
        ]
        self._since_ms = {
            (run.task, run.attempt): self._since_ms.get(
                (run.task, run.attempt), observed_ms
            )
            for run, _, observed_ms in observed
        }
        return tuple(
            jobs.RunId(task=run.task, attempt=run.attempt)
            for run, age_to_outlive_ms, observed_ms in observed
            if observed_ms - self._since_ms[run.task, run.attempt]
            > age_to_outlive_ms
        )


def log_cleared(runs: Iterable[jobs.RunId], *, term: int) -> None:
    """Logs and counts tasks that are cleared.

    Args:
        runs: The runs that went on.
        term: Term of this leader.
    """
    for run in runs:
        metrics.CRASH_SUSPECTS.labels("cleared").inc()
        events.log(
            events.CRASH_SUSPECT_CLEARED,
            task=str(run.task),
            attempt=run.attempt,
            term=term,
        )


def _is_suspect(task: job_records.Task, attempt: int) -> bool:
    return bool(
        task.crashes and task.status == "assigned" and task.attempt == attempt
    )


def _age_to_outlive_ms(task: job_records.Task) -> int:
    earlier_ms = given_up_runs.longest_crash_age_ms(task)
    return max(
        task.crash_age_ms, min(earlier_ms, MAX_EARLIER_AGE_MS), MIN_AGE_MS
    )
