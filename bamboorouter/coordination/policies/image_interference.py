"""Learns how much tasks that fill disturb tasks that serve users.

Answers this load: tasks that fill share workers with tasks that serve, and
some pairs of images get along while others multiply the tail latency, by
amounts that are seen only in late and rough figures.

Tail latency is read as utilization of a queue: latency = base / (1 - u). The
utilization u of a serving task is its own load, which changes slowly, plus a
weight for each filling image times the share of the worker's processors that
the image uses. Between two figures of the same task the own load hardly
changes, so the difference of u is explained by the difference of the filling
loads. One normalized step of least mean squares is made for each difference.
Weights are never negative: filling work doesn't make another task faster.
"""

from collections.abc import Mapping
import dataclasses
from typing import Final

from bamboorouter.protocol import jobs

# An unloaded serving task's latency as a share of its bound. Lower figures
# than that are taken as they are.
BASE_SHARE: Final = 1 / 6
# Above this utilization figures hardly depend on it any more.
SATURATED: Final = 0.93
# Weight for each tenth of a worker of a pair that was never seen together; a
# harmful pair has about twice as much, so that it is tried with care.
FIRST_WEIGHT: Final = 0.06
# Below this weight a pair is taken as not disturbing.
HARMLESS_WEIGHT: Final = 0.03
STEP: Final = 0.3
# Differences of less than this many load units say nothing.
LEAST_DIFFERENCE: Final = 0.15

# A weight is worth recording again once it has changed by this much; figures
# are rough by more.
LEAST_CHANGE: Final = 0.01

# Share of a worker's processors that one unit of load stands for.
LOAD_UNIT: Final = 0.1
# Own utilization of a serving task of which nothing is known yet.
USUAL_OWN: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One figure of a serving task.

    Attributes:
        image: What it runs.
        utilization: Its utilization.
        loads: Load units that each filling image uses beside it.
    """

    image: str
    utilization: float
    loads: Mapping[str, float]


class ImageInterference:
    """The learned weights."""

    def __init__(self) -> None:
        self._weights: dict[jobs.ImagePair, float] = {}

    def restore(self, weights: Mapping[jobs.ImagePair, float]) -> None:
        """Replaces what was learned."""
        self._weights = dict(weights)

    def changed_since(
        self, recorded: Mapping[jobs.ImagePair, float]
    ) -> dict[jobs.ImagePair, float]:
        """Returns the weights that differ from the recorded ones."""
        return {
            pair: round(weight, 3)
            for pair, weight in self._weights.items()
            if abs(weight - recorded.get(pair, FIRST_WEIGHT)) >= LEAST_CHANGE
        }

    def note(self, before: Figure, after: Figure) -> None:
        """Learns from two successive figures of one serving task."""
        loads = {
            filling: after.loads.get(filling, 0.0)
            - before.loads.get(filling, 0.0)
            for filling in {*before.loads, *after.loads}
        }
        size = sum(load * load for load in loads.values())
        if size < LEAST_DIFFERENCE**2 or before.utilization >= SATURATED:
            return
        expected = sum(
            self.weight(after.image, filling) * load
            for filling, load in loads.items()
        )
        seen = min(after.utilization, SATURATED) - before.utilization
        error = seen - expected
        if after.utilization >= SATURATED and error < 0:
            # It may be as much as expected; the figure can't show it.
            return
        for filling, load in loads.items():
            weight = self.weight(after.image, filling)
            # The pair learned about last is the last to be forgotten.
            self._weights.pop((after.image, filling), None)
            self._weights[after.image, filling] = max(
                0.0, weight + STEP * error * load / (size + LEAST_DIFFERENCE)
            )
        while len(self._weights) > jobs.MAX_DISTURBANCES:
            del self._weights[next(iter(self._weights))]

    def weight(self, serving: str, filling: str) -> float:
        """Returns what one load unit of an image adds to a utilization."""
        return self._weights.get((serving, filling), FIRST_WEIGHT)

    def added(self, serving: str, loads: Mapping[str, float]) -> float:
        """Returns what filling loads add to the utilization of an image."""
        return sum(
            self.weight(serving, filling) * load
            for filling, load in loads.items()
        )


def utilization(latency_ms: float, target_ms: float) -> float:
    """Returns the utilization that a tail latency stands for."""
    share = latency_ms / target_ms
    if share <= BASE_SHARE:
        return 0.0
    return 1 - BASE_SHARE / share


def load_units(millicores: int, room_millicores: int) -> float:
    """Returns processor time of a worker in load units."""
    return millicores / max(1, room_millicores) / LOAD_UNIT
