"""Detects straggler workers, on which tasks are slow or make no progress.

For seconds, a worker may take several times as long as others or make no
progress at all, while its reported state looks normal and tasks with tight
targets accumulate on it. Declared run times are inaccurate, so one slow task is
weak evidence. A worker counts as slow if the median slowness of its running
tasks is far above both 1 (as declared) and the median of all workers.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import statistics
from typing import Final

# Younger tasks may not show any progress yet.
MIN_AGE_MS: Final = 500
MIN_RUNS: Final = 3
# Must exceed 3: the declared run times of all tasks of a job may be too low by
# the same factor, up to 3.
SLOW_FACTOR: Final = 4.0
# Progress in percent below which restarting a task on another worker is faster
# than finishing it on a slow worker.
RESTART_BELOW_PERCENT: Final = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunProgress:
    """Progress of a running task that isn't throttled.

    Attributes:
        age_ms: Time since the assignment, in ms.
        progress: Completed work, in percent.
        estimate_ms: Declared run time, in ms.
    """

    age_ms: int
    progress: int
    estimate_ms: int

    def slowness(self) -> float:
        """Returns the projected run time divided by the declared one."""
        fraction = max(self.progress, 1) / 100
        return self.age_ms / fraction / max(1, self.estimate_ms)


def median_slowness(runs: Iterable[RunProgress]) -> float | None:
    """Returns the median slowness of runs; None with too few of them."""
    known = [run.slowness() for run in runs if run.age_ms >= MIN_AGE_MS]
    return statistics.median(known) if len(known) >= MIN_RUNS else None


def slow_workers(by_worker: Mapping[str, float]) -> frozenset[str]:
    """Returns workers far slower than declared and than the median worker."""
    if len(by_worker) <= 1:
        return frozenset()
    baseline = max(1.0, statistics.median(by_worker.values()))
    return frozenset(
        worker
        for worker, slowness in by_worker.items()
        if slowness > SLOW_FACTOR * baseline
    )
