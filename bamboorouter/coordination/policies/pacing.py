"""Throttles best-effort tasks to protect serving tasks on the same worker.

Best-effort tasks (steps with `fills`) share a worker with serving tasks (steps
with `target_ms`), and their interference changes within seconds. The headroom
of a serving task is the difference between a utilization limit and its own
utilization. It is divided among the best-effort tasks that interfere with it:
all run at the same fraction of their full speed. A best-effort task gets the
lowest fraction that any of the serving tasks allows it.

Decreases take effect at once and increases in steps, because latency samples
are noisy and half a second old, and latency grows without bound near
saturation. If a serving task exceeds its target latency for `MAX_VIOLATION_MS`,
all best-effort tasks are paused, whatever their learned weights.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import jobs

# Utilization of a serving task up to which best-effort tasks may run. A task
# reaches its target latency at 0.83; its own utilization may rise by a few
# hundredths between samples.
UTILIZATION_LIMIT: Final = 0.70
FULL_PERCENT: Final = 100
# Below this speed a task would hardly make progress and is paused.
MIN_SPEED_PERCENT: Final = 10
MAX_INCREASE_PERCENT: Final = 30
# Smaller changes are not sent to the worker.
MIN_CHANGE_PERCENT: Final = 8
# A latency sample covers the last 500 ms, and a change of speed takes 100 ms.
SETTLE_MS: Final = 600
# Users are affected after 4 s above the target; a pause takes effect within
# 0.6 s.
MAX_VIOLATION_MS: Final = 1500

# Returns the utilization of a serving image (first argument) that one load unit
# of a best-effort image (second argument) adds.
Weight = Callable[[str, str], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServingRun:
    """A run of a step with a target latency.

    Attributes:
        image: Image of the run.
        latency_ms: Measured tail latency, in ms.
        target_ms: Target of the tail latency, in ms.
    """

    image: str
    latency_ms: int
    target_ms: int

    def utilization(self) -> float:
        """Returns the utilization that corresponds to the tail latency."""
        return image_interference.utilization(self.latency_ms, self.target_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class BestEffortRun:
    """A best-effort run, which uses unreserved processor time.

    Attributes:
        task: Task of the run.
        attempt: Attempt number.
        image: Image of the run.
        units: Load units that the run uses at full speed.
        used: Load units that the run used when the latencies were measured.
        percent: Speed of the run, in percent of full speed.
    """

    task: jobs.TaskRef
    attempt: int
    image: str
    units: float
    used: float
    percent: int


class Pacer:
    """Controls the speed of the best-effort runs of one worker."""

    def __init__(self) -> None:
        self._next_decision_ms = 0
        self._violation_since_ms: int | None = None

    def decide(
        self,
        *,
        serving: Sequence[ServingRun],
        best_effort: Sequence[BestEffortRun],
        weight: Weight,
        now: int,
    ) -> list[BestEffortRun]:
        """Returns the best-effort runs whose speed changes, with the new speed.

        Args:
            serving: Serving runs of the worker.
            best_effort: Best-effort runs of the worker.
            weight: Interference weight of a pair of images.
            now: Monotonic time in ms.
        """
        if not any(run.latency_ms > run.target_ms for run in serving):
            self._violation_since_ms = None
        elif self._violation_since_ms is None:
            self._violation_since_ms = now
        if now < self._next_decision_ms:
            return []
        pause_all = self._violation_ms(now) >= MAX_VIOLATION_MS
        fractions = [
            _allowed_fraction(run, best_effort, weight) for run in serving
        ]
        changes = []
        for run in best_effort:
            target = (
                0
                if pause_all
                else _target_percent(run, serving, fractions, weight)
            )
            percent = _limited_step(run.percent, target)
            if percent != run.percent:
                changes.append(dataclasses.replace(run, percent=percent))
        if changes:
            self._next_decision_ms = now + SETTLE_MS
        return changes

    def _violation_ms(self, now: int) -> int:
        return (
            0
            if self._violation_since_ms is None
            else now - self._violation_since_ms
        )


def _allowed_fraction(
    serving: ServingRun, best_effort: Sequence[BestEffortRun], weight: Weight
) -> float:
    """Returns the fraction of full speed that a serving run allows."""
    weights = [weight(serving.image, run.image) for run in best_effort]
    used = sum(
        w * run.used for w, run in zip(weights, best_effort, strict=True)
    )
    at_full_speed = sum(
        w * run.units for w, run in zip(weights, best_effort, strict=True)
    )
    own_utilization = max(0.0, serving.utilization() - used)
    return speed_fraction(own_utilization, at_full_speed)


def speed_fraction(own_utilization: float, added_utilization: float) -> float:
    """Returns the fraction of full speed for best-effort tasks, 0 to 1.

    Args:
        own_utilization: Utilization of a serving task without best-effort
            tasks.
        added_utilization: Utilization that best-effort tasks add at full speed.
    """
    headroom = UTILIZATION_LIMIT - own_utilization
    if added_utilization <= max(0.0, headroom):
        return 1.0
    return max(0.0, headroom) / added_utilization


def _target_percent(
    run: BestEffortRun,
    serving: Sequence[ServingRun],
    fractions: Sequence[float],
    weight: Weight,
) -> int:
    fraction = min(
        (
            fraction
            for other, fraction in zip(serving, fractions, strict=True)
            if weight(other.image, run.image)
            >= image_interference.HARMLESS_WEIGHT
        ),
        default=1.0,
    )
    return percent_of(fraction)


def percent_of(fraction: float) -> int:
    """Converts a fraction of full speed to percent; 0 below the minimum."""
    percent = int(fraction * FULL_PERCENT)
    return percent if percent >= MIN_SPEED_PERCENT else 0


def _limited_step(percent: int, target: int) -> int:
    """Returns the next speed on the way to the target, in percent."""
    if target > percent:
        target = min(target, percent + MAX_INCREASE_PERCENT)
    is_small = abs(target - percent) < MIN_CHANGE_PERCENT
    at_bound = target in (0, FULL_PERCENT)
    return percent if is_small and not at_bound else target


def initial_percent(fractions: Iterable[float]) -> int:
    """Returns the initial speed of a best-effort task, in percent.

    Args:
        fractions: Fraction of full speed that each serving task allows.
    """
    return max(MIN_SPEED_PERCENT, percent_of(min(fractions, default=1.0)))
