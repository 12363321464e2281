"""Capacity of a simulated worker that shrinks and grows while it runs.

More capacity counts at once, less only `SHRINK_S` later: a start may be on its
way that was decided before the worker announced the change. For an order that
is carried out late, the capacity in force when it may have been given counts.
"""

from collections.abc import Callable
import time
from typing import Final

# Time of 3 s and one interval between announcements.
SHRINK_S: Final = 3.5


class Capacity:
    """Capacity over time.

    Attributes:
        full: Capacity without a fault.
        current: Capacity that the worker announces.
    """

    def __init__(
        self, *, full: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.full = full
        self.current = full
        self._clock = clock
        # Earlier capacities, each with the time at which it was replaced.
        self._earlier: list[tuple[float, int]] = []

    def change(self, capacity: int) -> None:
        """Changes the capacity."""
        self._earlier.append((self._clock(), self.current))
        self.current = capacity

    def forget(self) -> None:
        """Forgets earlier capacities, for a new incarnation."""
        self._earlier.clear()

    def limit(self, late_s: float = 0.0) -> int:
        """Returns the capacity that the started tasks must not exceed.

        Args:
            late_s: Time in s by which the order may be late.
        """
        since_s = self._clock() - SHRINK_S - late_s
        earlier = [c for end_s, c in self._earlier if end_s > since_s]
        return max(self.current, *earlier, 0)
