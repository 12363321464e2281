"""Whether a task, a job or a worker is at fault for failures.

A task is at fault if it failed on three workers on which other jobs finished;
a job is at fault if that holds for its tasks together and none of them ever
finished. A worker is at fault if three jobs failed on it that finished elsewhere. Outcomes
of the past are forgotten after a while. The plain baseline blames the job
after three failures, wherever they happened.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Protocol

WITNESSES: Final = 3
MAX_OUTCOMES: Final = 4000
REMEMBERED_MS: Final = 3600 * 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a task ended.

    Attributes:
        job: Its job.
        worker: Its worker.
        finished: Whether it finished; else it failed.
        at_ms: When it ended.
    """

    job: str
    worker: str
    finished: bool
    at_ms: int


class Blame(Protocol):
    """Judges jobs and workers by the outcomes of tasks."""

    def observe(self, outcome: Outcome) -> None:
        """Takes note of an outcome."""
        ...

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Returns why a task is at fault; empty if it is not.

        Args:
            job: Its job.
            failed_on: Workers on which it failed.
        """
        ...

    def job_at_fault(self, job: str) -> str:
        """Returns why a job is at fault; empty if it is not."""
        ...

    def worker_at_fault(self, worker: str) -> str:
        """Returns why a worker is at fault; empty if it is not."""
        ...

    def acquit(self, worker: str) -> None:
        """Forgets failures on a worker, once it was dealt with."""
        ...


class WitnessBlame:
    """The product's judgement."""

    def __init__(self) -> None:
        self._outcomes: collections.deque[Outcome] = collections.deque()
        self._by_job: dict[str, collections.Counter[tuple[str, bool]]] = {}
        self._by_worker: dict[str, collections.Counter[tuple[str, bool]]] = {}

    def observe(self, outcome: Outcome) -> None:
        """Takes note of an outcome."""
        self._outcomes.append(outcome)
        self._count(outcome, 1)
        while self._outcomes and (
            len(self._outcomes) > MAX_OUTCOMES
            or outcome.at_ms - self._outcomes[0].at_ms > REMEMBERED_MS
        ):
            self._count(self._outcomes.popleft(), -1)

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Returns why a task is at fault; empty if it is not."""
        found = sorted(
            worker
            for worker in set(failed_on)
            if self._others_finished_on(worker, job)
        )
        if len(found) < WITNESSES:
            return ""
        names = ", ".join(found[:WITNESSES])
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
        if len(failed) < WITNESSES:
            return ""
        names = ", ".join(sorted(failed)[:WITNESSES])
        return f"{names} failed on it and finished elsewhere"

    def acquit(self, worker: str) -> None:
        """Forgets failures on a worker, once it was dealt with."""
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


class CountBlame:
    """The plain baseline: three failures of a job, wherever."""

    def __init__(self) -> None:
        self._failures: collections.Counter[str] = collections.Counter()

    def observe(self, outcome: Outcome) -> None:
        """Takes note of an outcome."""
        if not outcome.finished:
            self._failures[outcome.job] += 1

    def task_at_fault(self, job: str, failed_on: Iterable[str]) -> str:
        """Never blames a single task."""
        del job, failed_on
        return ""

    def job_at_fault(self, job: str) -> str:
        """Returns why a job is at fault; empty if it is not."""
        count = self._failures[job]
        return f"failed {count} times" if count >= WITNESSES else ""

    def worker_at_fault(self, worker: str) -> str:
        """Never blames a worker."""
        del worker
        return ""

    def acquit(self, worker: str) -> None:
        """Does nothing."""


def remembered(
    failed_on: Iterable[tuple[str, Iterable[str]]], at_ms: int
) -> list[Outcome]:
    """Returns failures that the replicated state remembers, for a new leader.

    Args:
        failed_on: Jobs with the workers on which they failed.
        at_ms: The present.
    """
    return [
        Outcome(job=job, worker=worker, finished=False, at_ms=at_ms)
        for job, workers in failed_on
        for worker in workers
    ]
