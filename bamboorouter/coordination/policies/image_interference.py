"""Learns how much best-effort images slow down latency-sensitive images.

Best-effort tasks (steps with `fills`) share workers with serving tasks (steps
with `target_ms`). Some pairs of images don't interfere, while others multiply
the tail latency of the serving task. The only evidence is tail latencies that
are delayed and noisy.

A tail latency is converted to the utilization u of a queue by
latency = base / (1 - u). The utilization of a serving task is modelled as its
own utilization plus, for each best-effort image, a weight times the share of
the worker's processors that the image uses, in load units. Two samples with the
same own utilization are compared, so that the difference of u is attributed to
the difference of the best-effort loads. Each weight has a variance, and one
step of a Kalman filter with a diagonal covariance matrix changes a weight more
the less is known about it. Weights are never negative: best-effort work doesn't
make another task faster.
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
# Standard deviation of the weight of a pair that was never measured.
INITIAL_DEVIATION: Final = 0.06
# Standard deviation of a weight that an earlier leader has learned.
RESTORED_DEVIATION: Final = 0.03
# Lowest standard deviation; weights may change over time.
MIN_DEVIATION: Final = 0.01
# Standard deviation of the difference of two measured utilizations.
NOISE_DEVIATION: Final = 0.07
# Differences of less than this many load units are within the noise.
MIN_LOAD_DIFFERENCE: Final = 0.15

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
        self._variances: dict[jobs.ImagePair, float] = {}

    def restore(self, weights: Mapping[jobs.ImagePair, float]) -> None:
        """Replaces all weights by recorded ones."""
        self._weights = dict(weights)
        self._variances = dict.fromkeys(weights, RESTORED_DEVIATION**2)

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
        self, reference: UtilizationSample, sample: UtilizationSample
    ) -> None:
        """Updates weights from two samples with the same own utilization.

        Args:
            reference: Sample of the same task at another time, or of another
                task with the same image and the same share of the requests.
            sample: Sample that is compared with the reference.
        """
        differences = {
            best_effort: sample.loads.get(best_effort, 0.0)
            - reference.loads.get(best_effort, 0.0)
            for best_effort in {*reference.loads, *sample.loads}
        }
        squared_difference = sum(load * load for load in differences.values())
        if (
            squared_difference < MIN_LOAD_DIFFERENCE**2
            or reference.utilization >= SATURATED_UTILIZATION
        ):
            return
        expected = sum(
            self.weight(sample.image, best_effort) * load
            for best_effort, load in differences.items()
        )
        observed = (
            min(sample.utilization, SATURATED_UTILIZATION)
            - reference.utilization
        )
        error = observed - expected
        if sample.utilization >= SATURATED_UTILIZATION and error < 0:
            # The true utilization may be higher than a saturated latency shows.
            return
        self._correct(sample.image, differences, error)

    def _correct(
        self, serving: str, differences: Mapping[str, float], error: float
    ) -> None:
        """Distributes an error among the weights by their variance."""
        variances = {
            best_effort: self._variances.get(
                (serving, best_effort), INITIAL_DEVIATION**2
            )
            for best_effort in differences
        }
        total = NOISE_DEVIATION**2 + sum(
            variances[best_effort] * load * load
            for best_effort, load in differences.items()
        )
        for best_effort, load in differences.items():
            gain = variances[best_effort] * load / total
            weight = max(0.0, self.weight(serving, best_effort) + gain * error)
            # Reinserted at the end, so that the least recently updated pairs
            # are evicted first.
            pair = (serving, best_effort)
            self._weights.pop(pair, None)
            self._weights[pair] = weight
            self._variances[pair] = max(
                MIN_DEVIATION**2, variances[best_effort] * (1 - gain * load)
            )
        while len(self._weights) > jobs.MAX_DISTURBANCES:
            oldest = next(iter(self._weights))
            del self._weights[oldest]
            self._variances.pop(oldest, None)

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
    """Converts millicores to load units of a worker.

    A run that began before the worker's capacity shrank may use more than the
    worker has now; it counts as a load of the whole worker.
    """
    share = min(1.0, millicores / max(1, worker_millicores))
    return share / LOAD_UNIT_SHARE
