"""Decides whether a task, a job or a worker causes failures.

A task is at fault if it failed on three workers on which other jobs finished.
A job is at fault if that holds for its tasks together and none of its tasks
ever finished. A worker is at fault if three jobs failed on it that finished on
other workers. Outcomes older than `REMEMBERED_MS` are ignored. The baseline
policy blames a job after three failures on any workers.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Protocol

# Workers, jobs or failures that are needed as evidence of a fault.
MIN_EVIDENCE: Final = 3
MAX_OUTCOMES: Final = 4000
REMEMBERED_MS: Final = 3600 * 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """The outcome of one task.

    Attributes:
        job: Job of the task.
        worker: Worker that ran the task.
        finished: Whether the task finished; False means that it failed.
        at_ms: End of the task, in ms.
    """

    job: str
    worker: str
    finished: bool
    at_ms: int


class FaultAttribution(Protocol):
    """Attributes failures to tasks, jobs or workers."""

    def observe(self, outcome: Outcome) -> None:
        """Records the outcome of a task."""
        ...

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Returns why a task is at fault; empty if it is not.

        Args:
            job: Job of the task.
            failed_on: Workers on which the task failed.
        """
        ...

    def job_at_fault(self, job: str) -> str:
        """Returns why a job is at fault; empty if it is not."""
        ...

    def worker_at_fault(self, worker: str) -> str:
        """Returns why a worker is at fault; empty if it is not."""
        ...

    def clear_failures(self, worker: str) -> None:
        """Drops the recorded failures of a worker that is quarantined."""
        ...


class CrossJobAttribution:
    """Compares the outcomes of a job or a worker with those of others."""

    def __init__(self) -> None:
        self._outcomes: collections.deque[Outcome] = collections.deque()
        # Outcomes by job, counted by (worker, finished), and by worker, counted
        # by (job, finished).
        self._by_job: dict[str, collections.Counter[tuple[str, bool]]] = {}
        self._by_worker: dict[str, collections.Counter[tuple[str, bool]]] = {}

    def observe(self, outcome: Outcome) -> None:
        """Records the outcome of a task."""
        self._outcomes.append(outcome)
        self._count(outcome, 1)
        while self._outcomes and (
            len(self._outcomes) > MAX_OUTCOMES
            or outcome.at_ms - self._outcomes[0].at_ms > REMEMBERED_MS
        ):
            self._count(self._outcomes.popleft(), -1)

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Returns why a task is at fault; empty if it is not."""
        evidence = sorted(
            worker
            for worker in set(failed_on)
            if self._others_finished_on(worker, job)
        )
        if len(evidence) < MIN_EVIDENCE:
            return ""
        names = ", ".join(evidence[:MIN_EVIDENCE])
        return f"failed on {names}, where other jobs finished"

    def job_at_fault(self, job: str) -> str:
        """Returns why a job is at fault; empty if it is not."""
        outcomes = self._by_job.get(job, collections.Counter())
        if any(finished for _, finished in outcomes):
            return ""
        return self.task_at_fault(job, (worker for worker, _ in outcomes))

    def worker_at_fault(self, worker: str) -> str:
        """Returns why a worker is at fault; empty if it is not."""
        outcomes = self._by_worker.get(worker, collections.Counter())
        failed = {
            job
            for job, finished in outcomes
            if not finished and self._finished_elsewhere(job, worker)
        }
        if len(failed) < MIN_EVIDENCE:
            return ""
        names = ", ".join(sorted(failed)[:MIN_EVIDENCE])
        return f"{names} failed on this worker and finished on others"

    def clear_failures(self, worker: str) -> None:
        """Drops the recorded failures of a worker that is quarantined."""
        kept = [
            outcome
            for outcome in self._outcomes
            if outcome.worker != worker or outcome.finished
        ]
        for outcome in self._outcomes:
            if outcome.worker == worker and not outcome.finished:
                self._count(outcome, -1)
        self._outcomes = collections.deque(kept)

    def _others_finished_on(self, worker: str, job: str) -> bool:
        return any(
            finished and other != job
            for other, finished in self._by_worker.get(worker, ())
        )

    def _finished_elsewhere(self, job: str, worker: str) -> bool:
        return any(
            finished and other != worker
            for other, finished in self._by_job.get(job, ())
        )

    def _count(self, outcome: Outcome, change: int) -> None:
        pairs = (
            (self._by_job, outcome.job, outcome.worker),
            (self._by_worker, outcome.worker, outcome.job),
        )
        for index, name, other in pairs:
            counts = index.setdefault(name, collections.Counter())
            counts[other, outcome.finished] += change
            if not counts[other, outcome.finished]:
                del counts[other, outcome.finished]
            if not counts:
                del index[name]


class FailureCountAttribution:
    """Baseline policy: blames a job after three failures on any workers."""

    def __init__(self) -> None:
        self._failures: collections.Counter[str] = collections.Counter()

    def observe(self, outcome: Outcome) -> None:
        """Records the outcome of a task."""
        if not outcome.finished:
            self._failures[outcome.job] += 1

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Returns an empty string: single tasks are never blamed."""
        del job, failed_on
        return ""

    def job_at_fault(self, job: str) -> str:
        """Returns why a job is at fault; empty if it is not."""
        count = self._failures[job]
        return f"failed {count} times" if count >= MIN_EVIDENCE else ""

    def worker_at_fault(self, worker: str) -> str:
        """Returns an empty string: workers are never blamed."""
        del worker
        return ""

    def clear_failures(self, worker: str) -> None:
        """Does nothing: failures are not counted by worker."""


def replicated_failures(
    failed_on: Iterable[tuple[str, Iterable[str]]], at_ms: int
) -> list[Outcome]:
    """Returns the failures in the replicated state, to initialize a new leader.

    Args:
        failed_on: Pairs of a job and the workers on which it failed.
        at_ms: Current time, in ms; used as the time of all outcomes.
    """
    return [
        Outcome(job=job, worker=worker, finished=False, at_ms=at_ms)
        for job, workers in failed_on
        for worker in workers
    ]
