"""Slows filling tasks down while they disturb a task that serves users.

Answers this load: filling tasks share a worker with a task whose tail latency
has a bound, and how much they disturb it changes within seconds. Above a share
of the bound all filling tasks of the worker are slowed by half; well below it
they are given back some speed, so that the load settles near the bound without
crossing it. The figure is a rough one of the last half second, so a change is
followed by a pause.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter.protocol import jobs

# Slow down at this share of the bound, speed up below the lower one.
SLOW_SHARE: Final = 0.9
FREE_SHARE: Final = 0.7
FULL_PERCENT: Final = 100
# Below this a task is stopped entirely; it would hardly make progress.
LEAST_PERCENT: Final = 12
RAISE_PERCENT: Final = 25
# The worker's figure covers the last 500 ms and a change takes 100 ms.
SETTLE_MS: Final = 600


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServingRun:
    """A run that serves users.

    Attributes:
        latency_ms: Its tail latency.
        target_ms: The bound.
    """

    latency_ms: int
    target_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class FillingRun:
    """A run that uses processor time that others leave.

    Attributes:
        task: The task.
        attempt: Number of the start.
        percent: Share of its speed at which it works.
    """

    task: jobs.TaskRef
    attempt: int
    percent: int


class Pacer:
    """The speed of all filling runs of one worker.

    Attributes:
        percent: The share of their speed at which they may work.
    """

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._settled_ms = 0

    def decide(
        self,
        *,
        serving: Iterable[ServingRun],
        filling: Iterable[FillingRun],
        now: int,
    ) -> list[FillingRun]:
        """Returns the filling runs whose speed is to change, at that speed."""
        worst = max(
            (run.latency_ms / run.target_ms for run in serving), default=0.0
        )
        if now >= self._settled_ms:
            self._adjust(worst, now)
        return [
            dataclasses.replace(run, percent=self.percent)
            for run in filling
            if run.percent != self.percent
        ]

    def _adjust(self, worst: float, now: int) -> None:
        before = self.percent
        if worst >= SLOW_SHARE:
            halved = self.percent // 2
            self.percent = halved if halved >= LEAST_PERCENT else 0
        elif worst < FREE_SHARE:
            self.percent = min(FULL_PERCENT, self.percent + RAISE_PERCENT)
        if self.percent != before:
            self._settled_ms = now + SETTLE_MS
