"""Decides which tasks are given up because they crash their workers.

All tasks that ran on a worker when it crashed are suspects, since the crash
doesn't tell which of them caused it. Workers also crash by themselves, but
rarely just after the start of the same task, or at the same age of its runs. A
crash is confirmed if the worker neither drained nor left, and had confirmed the
start of the run; otherwise the start order may not have been carried out, or
the end of the worker may not have been a crash. All numbers but the last are
numbers of confirmed crashes. A task is given up

* after two early crashes, if no run of another job started as recently there;
* after three crashes with two early ones, if no task of another job there was
  as suspicious;
* after four crashes that include two early ones or came at the same age, unless
  a task of another job there was more suspicious and had as many crashes;
* after five crashes in any case, confirmed or not;
* if a run of it is lost after four crashes. Whether the worker of that run has
  crashed as well is known only when it is back, and until then the task would
  be started again.

So a task that crashes each worker when it starts is started at most four times,
or five times if one of the crashes isn't known or starts weren't answered. If starts are
delayed, no crash is early, and a bystander with an early one is more suspicious.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Protocol

from bamboorouter.protocol import jobs

MIN_EARLY_CRASHES: Final = 2
MIN_CRASHES: Final = 3
MIN_CRASHES_IF_TIED: Final = 4
MAX_CRASHES: Final = 5
# Ages at crashes that differ by less count as the same. The bounds of the ages
# include the time until a crash is noticed.
SAME_AGE_MS: Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashedTask:
    """A task that had a run on a worker when it crashed.

    Attributes:
        ref: The task.
        crashes: Number of confirmed crashes under it, with this one.
        early: Number of these that came soon after the assignment.
        early_now: Whether this one did, confirmed or not.
        age_spread_ms: Difference between the ages of its runs at the confirmed
            crashes.
        unconfirmed: Number of its other crashes.
        confirmed_now: Whether this crash is confirmed.
    """

    ref: jobs.TaskRef
    crashes: int
    early: int
    early_now: bool
    age_spread_ms: int = 0
    unconfirmed: int = 0
    confirmed_now: bool = True

    @property
    def total(self) -> int:
        """Number of all crashes, confirmed or not."""
        return self.crashes + self.unconfirmed

    def rank(self) -> tuple[int, int]:
        """Returns how suspicious the task is; higher is more so."""
        return (self.early, self.crashes)


class CrashCounts(Protocol):
    """Counts of the crashes under a task.

    Attributes:
        crashes: Number of crashes, confirmed or not.
        early_crashes: Number of these that came soon after the assignment.
    """

    crashes: int
    early_crashes: int


def suspicion(task: CrashCounts) -> int:
    """Returns the number of crashes that a task may have caused.

    One crash that wasn't early doesn't count: workers crash by themselves.
    Crashes that aren't confirmed count, since placement gives no task up.
    """
    return max(task.early_crashes, task.crashes - 1, 0)


def may_start_again(task: CrashCounts) -> bool:
    """Returns whether a task may be started after a run of it was lost."""
    return task.crashes + 1 < MAX_CRASHES


def convicted(tasks: Iterable[CrashedTask]) -> list[CrashedTask]:
    """Returns the tasks to give up after a crash.

    Args:
        tasks: All tasks that had a run on the worker.
    """
    suspects = list(tasks)
    return [task for task in suspects if _is_convicted(task, suspects)]


def _is_convicted(task: CrashedTask, suspects: list[CrashedTask]) -> bool:
    # Tasks of one job fail together.
    others = [other for other in suspects if other.ref.job != task.ref.job]
    highest = max((other.rank() for other in others), default=(0, 0))
    if task.total >= MAX_CRASHES:
        return True
    if not task.confirmed_now:
        return False
    often_early = task.early >= MIN_EARLY_CRASHES
    if task.crashes >= MIN_CRASHES_IF_TIED:
        same_age = task.age_spread_ms < SAME_AGE_MS
        most_crashes = max((other.crashes for other in others), default=0)
        stands_out = task.rank() >= highest or task.crashes > most_crashes
        return (often_early or same_age) and stands_out
    if task.crashes >= MIN_CRASHES:
        return often_early and task.rank() > highest
    return often_early and not any(other.early_now for other in others)
