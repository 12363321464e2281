"""Finds workers on which work goes on slowly or stands still.

Answers this load: some workers take several times as long as others, or make
no progress at all, for seconds, and look as good as the rest while tasks with
short goals pile up on them. Declared run times are far off, so a single slow
task says little; a worker counts as slow if the median of its running tasks is
far slower than declared and than the median of all workers.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import statistics
from typing import Final

# A task that has just started shows no progress yet.
LEAST_AGE_MS: Final = 500
LEAST_RUNS: Final = 3
# Declared times of a job's tasks are wrong together, by factors of up to 3.
SLOW_FACTOR: Final = 4.0
# What is left of a task on a slow worker takes longer than a new start
# elsewhere as long as its progress is below this.
RESCUE_PROGRESS: Final = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunProgress:
    """A running task that works at full speed.

    Attributes:
        age_ms: Time since it was assigned.
        progress: Share of its work that is done, in percent.
        estimate_ms: Declared run time.
    """

    age_ms: int
    progress: int
    estimate_ms: int

    def slowness(self) -> float:
        """Returns how many times as long as declared it seems to take."""
        part = max(self.progress, 1) / 100
        return self.age_ms / part / max(1, self.estimate_ms)


def slowness(runs: Iterable[RunProgress]) -> float | None:
    """Returns the median slowness of a worker's tasks; None if unknown."""
    known = [run.slowness() for run in runs if run.age_ms >= LEAST_AGE_MS]
    return statistics.median(known) if len(known) >= LEAST_RUNS else None


def slow_workers(by_worker: Mapping[str, float]) -> frozenset[str]:
    """Returns workers that are far slower than declared and than the rest."""
    if len(by_worker) <= 1:
        return frozenset()
    usual = max(1.0, statistics.median(by_worker.values()))
    return frozenset(
        worker
        for worker, slowness in by_worker.items()
        if slowness > SLOW_FACTOR * usual
    )
