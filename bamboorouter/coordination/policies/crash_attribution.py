"""Decides which batch tasks of the sheet are given up for crashing their workers.

Everything that ran on a worker when it crashed is a suspect, and workers also
crash by themselves. A task that crashes its workers does so at the same age of
each run, and has been on most of the workers that crashed; a bystander has met
its crashes at different ages, because suspects are started after delays that
differ. So a task is given up

* after five crashes at the same age, if no other task on the last of these
  workers has as many at the same age, and the task was on at least half of the
  workers that crashed within `REMEMBERED_MS`;
* after eight crashes at the same age in any case.

A task with crashes at different ages is only delayed and placed apart.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter.state import crash_conviction

MIN_CRASHES: Final = crash_conviction.MAX_CRASHES
MAX_CRASHES: Final = 8
# Ages at crashes that differ by less, or by less than a tenth, are the same: a
# start order waits for a heartbeat, and the last contact before a crash is as
# old as one.
SAME_AGE_MS: Final = 3000
_SAME_AGE_DIVISOR: Final = 10
REMEMBERED_MS: Final = 600_000
# Crashes that a leader has seen before it judges by their shares.
MIN_OBSERVED: Final = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspect:
    """A task that had a run on a worker when it crashed.

    Attributes:
        task: ID of the task.
        batch: Whether it is a batch task.
        ages_ms: Ages of its runs at the crashes under it, in ms, with this one
            last.
    """

    task: str
    batch: bool
    ages_ms: tuple[int, ...]

    def same_age(self, count: int) -> bool:
        """Returns whether the last `count` crashes came at the same age."""
        ages = self.ages_ms[-count:]
        if len(ages) < count:
            return False
        bound_ms = max(SAME_AGE_MS, max(ages) // _SAME_AGE_DIVISOR)
        return max(ages) - min(ages) <= bound_ms


class CrashAttribution:
    """Remembers the crashes that a leader has seen, and judges by them."""

    def __init__(self) -> None:
        # Time in ms, and the tasks on the worker, of each crash.
        self._crashes: collections.deque[tuple[int, frozenset[str]]] = (
            collections.deque()
        )

    def reset(self) -> None:
        """Forgets all crashes when this replica becomes leader."""
        self._crashes.clear()

    def given_up(self, suspects: Iterable[Suspect], now: int) -> set[str]:
        """Records a crash and returns the tasks that aren't started again.

        Args:
            suspects: All tasks on the worker that crashed.
            now: Monotonic time in ms.
        """
        everyone = list(suspects)
        names = frozenset(suspect.task for suspect in everyone)
        self._crashes.append((now, names))
        while now - self._crashes[0][0] > REMEMBERED_MS:
            self._crashes.popleft()
        return {
            suspect.task
            for suspect in everyone
            if suspect.batch and self._is_given_up(suspect, everyone)
        }

    def _is_given_up(
        self, suspect: Suspect, everyone: Iterable[Suspect]
    ) -> bool:
        if suspect.same_age(MAX_CRASHES):
            return True
        count = len(suspect.ages_ms)
        rivals = (
            other
            for other in everyone
            if other is not suspect and len(other.ages_ms) >= count
        )
        return (
            suspect.same_age(MIN_CRASHES)
            and not any(other.same_age(MIN_CRASHES) for other in rivals)
            and self._on_most_crashed_workers(suspect.task)
        )

    def _on_most_crashed_workers(self, task: str) -> bool:
        present = sum(task in names for _, names in self._crashes)
        total = len(self._crashes)
        return total >= MIN_OBSERVED and 2 * present >= total
