"""Slows filling tasks down while they disturb a task that serves users.

Answers this load: filling tasks share a worker with a task whose tail latency
has a bound, and how much they disturb it changes within seconds. Tail latency grows
without limit as the load nears what the worker can bear, so the filling tasks
that are known to disturb most are slowed well before the bound, and the more
the nearer it is; well below it they get speed back in steps. A task that stays
over its bound for long has all filling tasks stopped, whatever is known about
them. The figure is a rough one of the last half second, so each
change is followed by a pause.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.protocol import jobs

# Shares of the bound from which on filling tasks keep a part of their speed.
SLOW_STEPS: Final = ((2.0, 0.0), (1.0, 0.25), (0.8, 0.5), (0.65, 0.75))
# Below this share of the bound they get speed back.
FREE_SHARE: Final = 0.5
FULL_PERCENT: Final = 100
# Below this a task is stopped entirely; it would hardly make progress.
LEAST_PERCENT: Final = 20
RAISE_PERCENT: Final = 25
# Filling tasks within this share of the most disturbing one are slowed too.
BLAME_SHARE: Final = 0.4
# The worker's figure covers the last 500 ms and a change takes 100 ms.
SETTLE_MS: Final = 600
# Users are harmed after 4 s over the bound; a stop takes effect within 0.6 s.
STOP_ALL_MS: Final = 1500

# Returns how much a filling image (second) disturbs a serving one (first).
Blame = Callable[[str, str], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServingRun:
    """A run that serves users.

    Attributes:
        image: What it runs.
        latency_ms: Its tail latency.
        target_ms: The bound.
    """

    image: str
    latency_ms: int
    target_ms: int

    def share(self) -> float:
        """Returns the latency as a share of the bound."""
        return self.latency_ms / self.target_ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class FillingRun:
    """A run that uses processor time that others leave.

    Attributes:
        task: The task.
        attempt: Number of the start.
        image: What it runs.
        millicores: Processor time that it asks for.
        percent: Share of its speed at which it works.
    """

    task: jobs.TaskRef
    attempt: int
    image: str
    millicores: int
    percent: int


class Pacer:
    """Sets the speed of the filling runs of one worker."""

    def __init__(self) -> None:
        self._settled_ms = 0
        self._over_since_ms: int | None = None

    def decide(
        self,
        *,
        serving: Sequence[ServingRun],
        filling: Sequence[FillingRun],
        blame: Blame,
        now: int,
    ) -> list[FillingRun]:
        """Returns the filling runs whose speed is to change, at that speed."""
        worst = max(serving, key=ServingRun.share, default=None)
        share = 0.0 if worst is None else worst.share()
        if share < 1:
            self._over_since_ms = None
        elif self._over_since_ms is None:
            self._over_since_ms = now
        if now < self._settled_ms:
            return []
        changes: list[FillingRun] = []
        if self._over_for(now) >= STOP_ALL_MS:
            changes = [dataclasses.replace(run, percent=0) for run in filling]
        elif worst is not None and (kept := _kept(share)) is not None:
            changes = _slowed(worst.image, filling, blame, kept)
        elif share < FREE_SHARE:
            changes = [_raised(run) for run in filling]
        before = {(run.task, run.attempt): run.percent for run in filling}
        changes = [
            run
            for run in changes
            if run.percent != before[run.task, run.attempt]
        ]
        if changes:
            self._settled_ms = now + SETTLE_MS
        return changes

    def _over_for(self, now: int) -> int:
        return 0 if self._over_since_ms is None else now - self._over_since_ms


def _kept(share: float) -> float | None:
    """Returns the part of their speed that filling tasks keep."""
    return next((kept for least, kept in SLOW_STEPS if share >= least), None)


def _slowed(
    serving: str, filling: Sequence[FillingRun], blame: Blame, kept: float
) -> list[FillingRun]:
    """Returns those that disturb most at a part of their speed."""
    blames = [
        blame(serving, run.image) * run.millicores * run.percent
        for run in filling
    ]
    most = max(blames, default=0.0)
    return [
        _at_part(run, kept)
        for run, amount in zip(filling, blames, strict=True)
        if run.percent and amount >= most * BLAME_SHARE
    ]


def _at_part(run: FillingRun, kept: float) -> FillingRun:
    percent = int(run.percent * kept)
    return dataclasses.replace(
        run, percent=percent if percent >= LEAST_PERCENT else 0
    )


def _raised(run: FillingRun) -> FillingRun:
    percent = min(FULL_PERCENT, run.percent + RAISE_PERCENT)
    return dataclasses.replace(run, percent=percent)
