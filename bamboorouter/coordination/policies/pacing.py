"""Sets the speed of filling tasks beside tasks that serve users.

Answers this load: filling tasks share a worker with tasks whose tail latency
has a bound, and how much they disturb it changes within seconds. What a serving
task's utilization leaves up to a limit is divided among the filling tasks that
disturb it: each is slowed by the same part, the one that its most crowded
neighbour asks for. Slower is ordered at once, faster in steps, because figures
are rough, half a second old, and latency grows without limit near saturation.
A task that stays over its bound for long has all filling tasks stopped,
whatever is known about them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import jobs

# Utilization up to which filling tasks may load a serving task. At 0.83 it
# meets its bound; its own load may rise by some hundredths between figures.
UTILIZATION_LIMIT: Final = 0.70
FULL_PERCENT: Final = 100
# Below this a task is stopped entirely; it would hardly make progress.
LEAST_PERCENT: Final = 10
RAISE_PERCENT: Final = 30
# Smaller changes aren't worth an order.
LEAST_CHANGE_PERCENT: Final = 8
# The worker's figure covers the last 500 ms and a change takes 100 ms.
SETTLE_MS: Final = 600
# Users are harmed after 4 s over the bound; a stop takes effect within 0.6 s.
STOP_ALL_MS: Final = 1500

# Returns what one load unit of a filling image (second) adds to the
# utilization of a serving one (first).
Weight = Callable[[str, str], float]


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

    def utilization(self) -> float:
        """Returns its utilization."""
        return image_interference.utilization(self.latency_ms, self.target_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FillingRun:
    """A run that uses processor time that others leave.

    Attributes:
        task: The task.
        attempt: Number of the start.
        image: What it runs.
        units: Load units that it uses at full speed.
        used: Load units that it used when the latencies were measured.
        percent: Share of its speed at which it works.
    """

    task: jobs.TaskRef
    attempt: int
    image: str
    units: float
    used: float
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
        weight: Weight,
        now: int,
    ) -> list[FillingRun]:
        """Returns the filling runs whose speed is to change, at that speed."""
        if not any(run.latency_ms > run.target_ms for run in serving):
            self._over_since_ms = None
        elif self._over_since_ms is None:
            self._over_since_ms = now
        if now < self._settled_ms:
            return []
        stopped = self._over_for(now) >= STOP_ALL_MS
        parts = [_part(run, filling, weight) for run in serving]
        changes = []
        for run in filling:
            wanted = 0 if stopped else _wanted(run, serving, parts, weight)
            percent = _stepped(run.percent, wanted)
            if percent != run.percent:
                changes.append(dataclasses.replace(run, percent=percent))
        if changes:
            self._settled_ms = now + SETTLE_MS
        return changes

    def _over_for(self, now: int) -> int:
        return 0 if self._over_since_ms is None else now - self._over_since_ms


def _part(
    serving: ServingRun, filling: Sequence[FillingRun], weight: Weight
) -> float:
    """Returns the part of their speed that its neighbours may have."""
    weights = [weight(serving.image, run.image) for run in filling]
    used = sum(w * run.used for w, run in zip(weights, filling, strict=True))
    full = sum(w * run.units for w, run in zip(weights, filling, strict=True))
    own = max(0.0, serving.utilization() - used)
    return part_of_speed(own, full)


def part_of_speed(own: float, added: float) -> float:
    """Returns the part of their speed that filling tasks may have, 0 to 1.

    Args:
        own: Utilization of a serving task without them.
        added: What they add to it at full speed.
    """
    left = UTILIZATION_LIMIT - own
    if added <= max(0.0, left):
        return 1.0
    return max(0.0, left) / added


def _wanted(
    run: FillingRun,
    serving: Sequence[ServingRun],
    parts: Sequence[float],
    weight: Weight,
) -> int:
    part = min(
        (
            part
            for other, part in zip(serving, parts, strict=True)
            if weight(other.image, run.image)
            >= image_interference.HARMLESS_WEIGHT
        ),
        default=1.0,
    )
    return percent_of(part)


def percent_of(part: float) -> int:
    """Returns a part of full speed in percent, or 0 if it is too little."""
    percent = int(part * FULL_PERCENT)
    return percent if percent >= LEAST_PERCENT else 0


def _stepped(percent: int, wanted: int) -> int:
    """Returns the next speed on the way to the wanted one."""
    if wanted > percent:
        wanted = min(wanted, percent + RAISE_PERCENT)
    small = abs(wanted - percent) < LEAST_CHANGE_PERCENT
    ends = wanted in (0, FULL_PERCENT)
    return percent if small and not ends else wanted


def begin_percent(parts: Iterable[float]) -> int:
    """Returns the speed at which a filling task begins.

    Args:
        parts: Part of its speed that each serving task of the worker bears.
    """
    return max(LEAST_PERCENT, percent_of(min(parts, default=1.0)))
