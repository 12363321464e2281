"""Decides which tasks are given up because they crash their workers.

All tasks that ran on a worker when it crashed are suspects, since the crash
doesn't tell which of them caused it. A task is given up

* after its second early crash, if no run of another job started as recently: a
  worker rarely crashes by itself just after the start of a suspect;
* after its third crash, if no task of another job there was as suspicious;
* after its fourth crash, unless a task of another job there was more suspicious
  and had as many crashes;
* after its fifth crash in any case.

A task that crashes each worker when it starts is as suspicious as any, or has
more crashes than any if its starts are delayed, so that their crashes aren't
early. So it is started at most four times, or five times if one of the crashes
isn't known. One start more is possible if two such tasks meet again and again.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter.protocol import jobs
from bamboorouter.state import job_records

MIN_EARLY_CRASHES: Final = 2
MIN_CRASHES: Final = 3
MIN_CRASHES_IF_TIED: Final = 4
MAX_CRASHES: Final = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashedTask:
    """A task that had a run on a worker when it crashed.

    Attributes:
        ref: The task.
        crashes: Number of crashes under it, with this one.
        early: Number of these that came soon after the assignment.
        early_now: Whether this one did.
    """

    ref: jobs.TaskRef
    crashes: int
    early: int
    early_now: bool

    def rank(self) -> tuple[int, int]:
        """Returns how suspicious the task is; higher is more so."""
        return (self.early, self.crashes)


def suspicion(task: job_records.Task) -> int:
    """Returns the number of crashes that a task may have caused.

    One crash that wasn't early doesn't count: workers crash by themselves.
    """
    return max(task.early_crashes, task.crashes - 1, 0)


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
    if task.crashes >= MAX_CRASHES:
        return True
    if task.crashes >= MIN_CRASHES_IF_TIED:
        most_crashes = max((other.crashes for other in others), default=0)
        return task.rank() >= highest or task.crashes > most_crashes
    if task.crashes >= MIN_CRASHES:
        return task.rank() > highest
    return task.early >= MIN_EARLY_CRASHES and not any(
        other.early_now for other in others
    )
