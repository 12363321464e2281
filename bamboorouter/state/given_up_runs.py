"""Records the runs of tasks that were given up, and the crashes under them.

A run is given up if it ends without the word of its worker: as lost, or as
rejected. Its worker may still list how it ended. Such an end counts once and
removes the record: a failure counts towards the attempts of the task, and any
end shows that the run didn't end by a crash.

If the incarnation of a worker crashes, each task that had a lost run there gets
one crash, however many runs it lost there. A crash is early if the run was
assigned shortly before: a task that crashes its workers does so when it starts,
and few others start at the same time. A crash is confirmed if the worker had
confirmed the start of a run there: an order that wasn't answered may have been
carried out, but a worker that had crashed before leaves it unanswered as well.

Each task keeps few records. A crash counts only once a new incarnation appears,
and until then many other runs may be given up. So the records of rejected runs
are dropped first, then those whose crash is counted. Of the others, the oldest
and the newest are kept: a worker may be back after a long time, or never.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
from typing import Final

from bamboorouter.protocol import jobs
from bamboorouter.state import job_records

MAX_RUNS_PER_TASK: Final = 8
# Includes the delays until the start is ordered and the crash is noticed.
EARLY_CRASH_MS: Final = 250
# Age of a run at a crash if its start isn't known: too long for any conclusion.
UNKNOWN_AGE_MS: Final = 60_000

TaskRecord = tuple[jobs.TaskRef, job_records.Task]


class GivenUpRuns:
    """Finds the tasks with runs that were given up on an incarnation.

    Attributes:
        tasks: Tasks by reference, by worker and incarnation.
    """

    def __init__(self) -> None:
        self.tasks: dict[
            tuple[str, str], dict[jobs.TaskRef, job_records.Task]
        ] = {}

    def restore(self, records: Iterable[TaskRecord]) -> None:
        """Replaces the index with one of the tasks in a snapshot."""
        self.tasks = {}
        for ref, task in records:
            for run in task.given_up:
                self.tasks.setdefault((run.worker, run.life), {})[ref] = task

    def forget(self, records: Iterable[TaskRecord]) -> None:
        """Removes the tasks of a job."""
        for ref, task in records:
            for run in task.given_up:
                self._unlink(ref, run)

    def add(
        self,
        ref: jobs.TaskRef,
        task: job_records.Task,
        *,
        lost: bool,
        started: bool,
    ) -> None:
        """Records that the newest attempt of a task is given up.

        Args:
            ref: Reference of the task.
            task: The task.
            lost: Whether the run may have been on its worker.
            started: Whether the worker had confirmed its start.
        """
        run = job_records.GivenUpRun(
            attempt=task.attempt,
            worker=task.worker,
            life=task.life,
            assigned_ms=task.assigned_ms,
            lost=lost,
            started=started,
        )
        self._replace(ref, task, _bounded((*task.given_up, run)))

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
        _uncount(task, found)
        self._replace(
            ref, task, tuple(run for run in task.given_up if run is not found)
        )
        return True

    def clear_crashes(self, ref: jobs.TaskRef, task: job_records.Task) -> None:
        """Clears the crashes of a task, and the records that they rest on."""
        task.crashes = task.early_crashes = task.crash_age_ms = 0
        task.confirmed_crashes = task.confirmed_early_crashes = 0
        self._replace(
            ref, task, tuple(run for run in task.given_up if not counts(run))
        )

    def count_crash(
        self,
        worker: str,
        life: str,
        *,
        over_ms: int,
        started: Iterable[jobs.RunId] = (),
        proven: bool = True,
        dated: bool = True,
    ) -> list[TaskRecord]:
        """Counts the crash of an incarnation for the tasks with lost runs.

        Args:
            worker: Name of the worker.
            life: ID of the incarnation.
            over_ms: Wall time in ms by which it was over.
            started: Runs there whose start is confirmed, beside those whose
                records say so.
            proven: Whether the incarnation has crashed for certain. If not, no
                crash is confirmed.
            dated: Whether `over_ms` is close to its end.

        Returns:
            The tasks, in the order of their references.
        """
        counted = []
        confirmed = {(run.task, run.attempt) for run in started}
        for ref, task in sorted(self.tasks.get((worker, life), {}).items()):
            new = [
                run
                for run in task.given_up
                if _is_on(run, worker, life) and run.lost and not counts(run)
            ]
            if not new:
                continue
            task.crash_age_ms = max(_age_ms(run, over_ms) for run in new)
            # One record stands for the crash, so that it is revoked only once.
            known = [
                run
                for run in new
                if proven and (run.started or (ref, run.attempt) in confirmed)
            ]
            kept = (known or new)[-1]
            crash = dataclasses.replace(
                kept,
                crash_age_ms=task.crash_age_ms,
                started=bool(known),
                dated=dated,
            )
            _count(task, crash, 1)
            self._replace(
                ref,
                task,
                tuple(
                    crash if run is kept else run
                    for run in task.given_up
                    if run is kept or run not in new
                ),
            )
            counted.append((ref, task))
        return counted

    def revoke_crash(self, worker: str, life: str) -> None:
        """Takes the crash of an incarnation back that turns out to go on."""
        for ref, task in sorted(self.tasks.get((worker, life), {}).items()):
            for run in task.given_up:
                if _is_on(run, worker, life):
                    _uncount(task, run)
            self._replace(
                ref,
                task,
                tuple(
                    dataclasses.replace(run, crash_age_ms=job_records.NO_CRASH)
                    if _is_on(run, worker, life)
                    else run
                    for run in task.given_up
                ),
            )

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
            self.tasks.setdefault((run.worker, run.life), {})[ref] = task

    def _unlink(self, ref: jobs.TaskRef, run: job_records.GivenUpRun) -> None:
        tasks = self.tasks.get((run.worker, run.life), {})
        tasks.pop(ref, None)
        if not tasks:
            self.tasks.pop((run.worker, run.life), None)


def counts(run: job_records.GivenUpRun) -> bool:
    """Returns whether a run stands for a crash that counts for its task."""
    return run.crash_age_ms != job_records.NO_CRASH


def crash_age_spread_ms(task: job_records.Task) -> int:
    """Returns how far the ages at the confirmed crashes under a task differ.

    Ages that are only bounded don't tell a difference.
    """
    runs = [run for run in task.given_up if counts(run) and run.started]
    if len(runs) < task.confirmed_crashes:
        # Records were dropped.
        return UNKNOWN_AGE_MS
    ages = [run.crash_age_ms for run in runs if run.dated]
    return max(ages, default=0) - min(ages, default=0)


def longest_crash_age_ms(task: job_records.Task) -> int:
    """Returns the highest age of a run at a crash that counts for its task.

    Crashes whose records were dropped are left out.
    """
    return max(
        (run.crash_age_ms for run in task.given_up if counts(run)), default=0
    )


def crashed_early(task: job_records.Task) -> bool:
    """Returns whether the last crash under a task came soon after its start."""
    return task.crash_age_ms <= EARLY_CRASH_MS


def crash_confirmed(task: job_records.Task, worker: str, life: str) -> bool:
    """Returns whether the counted crash of an incarnation is confirmed."""
    return any(
        run.started
        for run in task.given_up
        if _is_on(run, worker, life) and counts(run)
    )


def find_run(
    task: job_records.Task, attempt: int
) -> job_records.GivenUpRun | None:
    """Returns the record of a run of a task that was given up, if any."""
    found: Iterator[job_records.GivenUpRun] = (
        run for run in task.given_up if run.attempt == attempt
    )
    return next(found, None)


def _bounded(
    runs: tuple[job_records.GivenUpRun, ...],
) -> tuple[job_records.GivenUpRun, ...]:
    """Returns the records without the least useful one if there are too many.

    Args:
        runs: At most one record too many, oldest first.
    """
    if len(runs) <= MAX_RUNS_PER_TASK:
        return runs
    dropped = next(
        itertools.chain(
            (run for run in runs if not run.lost),
            (run for run in runs if counts(run)),
        ),
        runs[len(runs) // 2],
    )
    return tuple(run for run in runs if run is not dropped)


def _uncount(task: job_records.Task, run: job_records.GivenUpRun) -> None:
    """Takes back the crash that a run stands for, if any."""
    if counts(run):
        _count(task, run, -1)


def _count(
    task: job_records.Task, run: job_records.GivenUpRun, by: int
) -> None:
    """Adds the crash that a run stands for to those of its task, `by` times."""
    early = by * (run.crash_age_ms <= EARLY_CRASH_MS)
    task.crashes = max(0, task.crashes + by)
    task.early_crashes = max(0, task.early_crashes + early)
    if run.started:
        task.confirmed_crashes = max(0, task.confirmed_crashes + by)
        task.confirmed_early_crashes = max(
            0, task.confirmed_early_crashes + early
        )


def _is_on(run: job_records.GivenUpRun, worker: str, life: str) -> bool:
    return (run.worker, run.life) == (worker, life)


def _age_ms(run: job_records.GivenUpRun, over_ms: int) -> int:
    """Returns the age of a run at a crash, by the clocks of the leaders."""
    age_ms = over_ms - run.assigned_ms
    # The wall clocks of two leaders may differ a little. Otherwise a clock was
    # set back, or the worker was already over at the assignment.
    if not run.assigned_ms or age_ms < -EARLY_CRASH_MS:
        return UNKNOWN_AGE_MS
    return max(0, age_ms)
