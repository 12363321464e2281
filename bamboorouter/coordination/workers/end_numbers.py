"""Recognises which ends on a worker's lists are new.

A worker numbers the ends of its runs from 1 and lists those that weren't
acknowledged, at most some hundred. An acknowledgement covers all lower numbers.
A single number that is far too high must therefore neither hide the true ones
nor be acknowledged: a number far above the others counts only if successive
lists contain it. This also holds for the first numbers that a new agent sees,
because it doesn't know how many ends were acknowledged before.

A number that leaves a smaller gap counts at once, but is acknowledged only if a
later list contains it as well: a true end is listed until it is acknowledged,
and the worker would otherwise discard the ends in the gap when they occur.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter.coordination.workers import worker_port

# More than the ends of a list.
MAX_GAP: Final = 1000
# Lists in succession that must contain a number far above the others.
MIN_LISTS: Final = 3
# More than the ends that may be listed again.
MAX_REMEMBERED: Final = 10_000


class EndNumbers:
    """Numbers of the ends that one incarnation of a worker has listed.

    Attributes:
        highest: Highest number that counts; 0 if there is none.
    """

    def __init__(self) -> None:
        self.highest = 0
        # Numbers that count, and whether they may be acknowledged, oldest
        # first; bounded.
        self._known: dict[int, bool] = {}
        # Number of successive lists that contain a number in doubt.
        self._doubtful: dict[int, int] = {}

    def take_new(
        self, rows: Iterable[worker_port.EndedRow]
    ) -> tuple[list[worker_port.EndedRow], bool]:
        """Adds the numbers of a list.

        Args:
            rows: The ends that the worker lists.

        Returns:
            The new ends by number, and whether all other ends of the list are
            known.
        """
        new: list[worker_port.EndedRow] = []
        doubtful: dict[int, int] = {}
        for row in sorted(rows, key=lambda row: row.number):
            number = row.number
            if number in self._known:
                self._known[number] = True
                continue
            if number > self.highest + MAX_GAP:
                lists = self._doubtful.get(number, 0) + 1
                if lists < MIN_LISTS:
                    doubtful[number] = lists
                    continue
            self._add(number)
            new.append(row)
        self._doubtful = doubtful
        return new, not doubtful

    def may_acknowledge(self, number: int) -> bool:
        """Returns whether a number that counts may be acknowledged."""
        return self._known.get(number, False)

    def _add(self, number: int) -> None:
        self.highest = max(self.highest, number)
        self._known[number] = number == 1 or self.may_acknowledge(number - 1)
        if len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
