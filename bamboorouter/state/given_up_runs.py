"""Records the runs of tasks that were given up.

A run is given up if it ends without the word of its worker: as lost, or as
rejected. Its worker may still list how it ended. Such an end counts once and
removes the record; a failure counts towards the attempts of the task. Each task
keeps its newest records only.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

from bamboorouter.protocol import jobs
from bamboorouter.state import job_records

MAX_RUNS_PER_TASK: Final = 4

TaskRecord = tuple[jobs.TaskRef, job_records.Task]


class GivenUpRuns:
    """Finds the tasks with runs that were given up on an incarnation."""

    def __init__(self) -> None:
        # Tasks by reference, by worker and incarnation.
        self._tasks: dict[
            tuple[str, str], dict[jobs.TaskRef, job_records.Task]
        ] = {}

    def restore(self, records: Iterable[TaskRecord]) -> None:
        """Replaces the index with one of the tasks in a snapshot."""
        self._tasks = {}
        for ref, task in records:
            for run in task.given_up:
                self._tasks.setdefault((run.worker, run.life), {})[ref] = task

    def forget(self, records: Iterable[TaskRecord]) -> None:
        """Removes the tasks of a job."""
        for ref, task in records:
            for run in task.given_up:
                self._unlink(ref, run)

    def add(
        self, ref: jobs.TaskRef, task: job_records.Task, *, lost: bool
    ) -> None:
        """Records that the newest attempt of a task is given up.

        Args:
            ref: Reference of the task.
            task: The task.
            lost: Whether the run may have been on its worker.
        """
        run = job_records.GivenUpRun(
            attempt=task.attempt,
            worker=task.worker,
            life=task.life,
            assigned_ms=task.assigned_ms,
            lost=lost,
        )
        self._replace(ref, task, (*task.given_up, run)[-MAX_RUNS_PER_TASK:])

    def resolve(
        self, ref: jobs.TaskRef, task: job_records.Task, attempt: int
    ) -> bool:
        """Removes the record of a run whose worker has listed its end.

        Returns:
            Whether there was a record.
        """
        found = find_run(task, attempt)
        if found is None:
            return False
        self._replace(
            ref, task, tuple(run for run in task.given_up if run is not found)
        )
        return True

    def _replace(
        self,
        ref: jobs.TaskRef,
        task: job_records.Task,
        runs: tuple[job_records.GivenUpRun, ...],
    ) -> None:
        for run in task.given_up:
            self._unlink(ref, run)
        task.given_up = runs
        for run in runs:
            self._tasks.setdefault((run.worker, run.life), {})[ref] = task

    def _unlink(self, ref: jobs.TaskRef, run: job_records.GivenUpRun) -> None:
        tasks = self._tasks.get((run.worker, run.life), {})
        tasks.pop(ref, None)
        if not tasks:
            self._tasks.pop((run.worker, run.life), None)


def find_run(
    task: job_records.Task, attempt: int
) -> job_records.GivenUpRun | None:
    """Returns the record of a run of a task that was given up, if any."""
    found: Iterator[job_records.GivenUpRun] = (
        run for run in task.given_up if run.attempt == attempt
    )
    return next(found, None)
