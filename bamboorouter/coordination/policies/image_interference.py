"""Learns how much best-effort images slow down latency-sensitive images.

Best-effort tasks (steps with `fills`) share workers with serving tasks (steps
with `target_ms`). Some pairs of images don't interfere, while others multiply
the tail latency of the serving task. The only evidence is tail latencies that
are delayed and noisy.

A tail latency is converted to the utilization u of a queue by
latency = base / (1 - u). The utilization of a serving task is modelled as its
own utilization, which changes slowly, plus, for each best-effort image, a
weight times the share of the worker's processors that the image uses, in load
units. The own utilization hardly changes between two successive samples of a
task, so the change of u is attributed to the change of the best-effort loads,
by one step of normalized least mean squares (NLMS). Weights are never negative:
best-effort work doesn't make another task faster.
"""

from collections.abc import Mapping
import dataclasses
from typing import Final

from bamboorouter.protocol import jobs

# Latency of an unloaded serving task as a share of its target latency. Lower
# latencies count as zero utilization.
BASE_LATENCY_SHARE: Final = 1 / 6
# Above this utilization a measured latency hardly depends on it any more.
SATURATED_UTILIZATION: Final = 0.93
# Initial weight, per load unit, of a pair that was never measured. It is about
# half the weight of a harmful pair, so that new pairs are tried cautiously.
INITIAL_WEIGHT: Final = 0.06
# Below this weight a pair counts as not interfering.
HARMLESS_WEIGHT: Final = 0.03
# Step size of the NLMS update.
LEARNING_RATE: Final = 0.3
# Changes of less than this many load units are within the noise.
MIN_LOAD_CHANGE: Final = 0.15

# A weight is recorded again once it has changed by this much, which is less
# than the noise of the measurements.
MIN_WEIGHT_CHANGE: Final = 0.01

# Share of a worker's processors per load unit.
LOAD_UNIT_SHARE: Final = 0.1
# Own utilization that is assumed for a serving task without measurements.
DEFAULT_OWN_UTILIZATION: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UtilizationSample:
    """One utilization sample of a serving task.

    Attributes:
        image: Image of the task.
        utilization: Utilization of the task, from its tail latency.
        loads: Load units that each best-effort image uses on the same worker.
    """

    image: str
    utilization: float
    loads: Mapping[str, float]


class ImageInterference:
    """Learns a weight for each pair of a serving and a best-effort image."""

    def __init__(self) -> None:
        self._weights: dict[jobs.ImagePair, float] = {}

    def restore(self, weights: Mapping[jobs.ImagePair, float]) -> None:
        """Replaces all weights by recorded ones."""
        self._weights = dict(weights)

    def changed_since(
        self, recorded: Mapping[jobs.ImagePair, float]
    ) -> dict[jobs.ImagePair, float]:
        """Returns the weights that differ from the recorded ones, rounded."""
        return {
            pair: round(weight, 3)
            for pair, weight in self._weights.items()
            if abs(weight - recorded.get(pair, INITIAL_WEIGHT))
            >= MIN_WEIGHT_CHANGE
        }

    def learn(
        self, before: UtilizationSample, after: UtilizationSample
    ) -> None:
        """Updates weights from two successive samples of one serving task."""
        changes = {
            best_effort: after.loads.get(best_effort, 0.0)
            - before.loads.get(best_effort, 0.0)
            for best_effort in {*before.loads, *after.loads}
        }
        squared_change = sum(change * change for change in changes.values())
        if (
            squared_change < MIN_LOAD_CHANGE**2
            or before.utilization >= SATURATED_UTILIZATION
        ):
            return
        expected = sum(
            self.weight(after.image, best_effort) * change
            for best_effort, change in changes.items()
        )
        observed = (
            min(after.utilization, SATURATED_UTILIZATION) - before.utilization
        )
        error = observed - expected
        if after.utilization >= SATURATED_UTILIZATION and error < 0:
            # The true utilization may be higher than a saturated latency shows.
            return
        for best_effort, change in changes.items():
            weight = self.weight(after.image, best_effort)
            # Reinserted at the end, so that the least recently updated pairs
            # are evicted first.
            self._weights.pop((after.image, best_effort), None)
            self._weights[after.image, best_effort] = max(
                0.0,
                weight
                + LEARNING_RATE
                * error
                * change
                / (squared_change + MIN_LOAD_CHANGE),
            )
        while len(self._weights) > jobs.MAX_DISTURBANCES:
            del self._weights[next(iter(self._weights))]

    def weight(self, serving: str, best_effort: str) -> float:
        """Returns the utilization that a load unit adds to `serving`."""
        return self._weights.get((serving, best_effort), INITIAL_WEIGHT)

    def added_utilization(
        self, serving: str, loads: Mapping[str, float]
    ) -> float:
        """Returns the utilization that best-effort loads add to an image."""
        return sum(
            self.weight(serving, best_effort) * load
            for best_effort, load in loads.items()
        )


def utilization(latency_ms: float, target_ms: float) -> float:
    """Returns the utilization of a serving task from its tail latency."""
    share = latency_ms / target_ms
    if share <= BASE_LATENCY_SHARE:
        return 0.0
    return 1 - BASE_LATENCY_SHARE / share


def load_units(millicores: int, worker_millicores: int) -> float:
    """Converts millicores to load units of a worker."""
    return millicores / max(1, worker_millicores) / LOAD_UNIT_SHARE
