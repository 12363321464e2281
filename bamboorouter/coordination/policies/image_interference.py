"""Learns which images disturb which, from late and rough figures.

Answers this load: tasks that fill share workers with tasks that serve users,
and some pairs of images get along while others multiply the tail latency. The
risk that a serving image is over its bound is modelled as a logistic function
of the processor time that each filling image uses beside it. One step of
stochastic gradient descent with a step size for each weight (AdaGrad) is made
for each figure, so a pair is known after a handful of them. Weights are never
negative: filling work doesn't make another task faster.
"""

from collections.abc import Mapping
import math
from typing import Final

# A pair that was never seen together counts as rather harmful, so that new
# images are tried beside few others first.
FIRST_WEIGHT: Final = 0.8
# Without filling work beside it a serving task is over its bound this seldom.
FIRST_RISK: Final = 0.09
# Over this share of the bound a figure counts as too high.
HIGH_SHARE: Final = 0.8
STEP: Final = 1.0
OWN_STEP: Final = 0.3
# Keeps the first steps of a weight from being too large.
DAMPING: Final = 0.3

# Share of a worker's processors that one unit of load stands for.
LOAD_UNIT: Final = 0.1


class ImageInterference:
    """The learned risks."""

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._weights: dict[tuple[str, str], float] = {}
        self._squares: dict[tuple[str, str], float] = {}

    def note(
        self, serving: str, share: float, loads: Mapping[str, float]
    ) -> None:
        """Learns from one figure.

        Args:
            serving: Image of the task that serves users.
            share: Its tail latency as a share of its bound.
            loads: Load units that each filling image uses beside it.
        """
        error = self.risk(serving, loads) - float(share > HIGH_SHARE)
        self._own[serving] = self._own_of(serving) - OWN_STEP * error
        for filling, load in loads.items():
            pair = (serving, filling)
            gradient = error * load
            squares = self._squares.get(pair, 0.0) + gradient * gradient
            step = STEP * gradient / math.sqrt(DAMPING + squares)
            self._squares[pair] = squares
            self._weights[pair] = max(0.0, self.weight(*pair) - step)

    def risk(self, serving: str, loads: Mapping[str, float]) -> float:
        """Returns the risk, 0 to 1, that a serving image is over its bound."""
        total = self._own_of(serving) + sum(
            self.weight(serving, filling) * load
            for filling, load in loads.items()
        )
        return 1 / (1 + math.exp(-total))

    def weight(self, serving: str, filling: str) -> float:
        """Returns how much a filling image disturbs a serving one."""
        return self._weights.get((serving, filling), FIRST_WEIGHT)

    def _own_of(self, serving: str) -> float:
        first = math.log(FIRST_RISK / (1 - FIRST_RISK))
        return self._own.get(serving, first)


def load_units(millicores: int, room_millicores: int) -> float:
    """Returns processor time of a worker in load units."""
    return millicores / max(1, room_millicores) / LOAD_UNIT
