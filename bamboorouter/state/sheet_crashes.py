"""Counts the crashes of workers under the tasks of the sheet.

A task may crash each worker that starts it. Everything that ran on a worker
when it crashed is a suspect, so each task keeps the ages of its runs at the
crashes under it. A run that goes on for long clears them: workers also crash by
themselves.
"""

from typing import Final
import zlib

from bamboorouter.protocol import commands
from bamboorouter.state import assignments
from bamboorouter.state import crash_conviction

# Two periods of a heartbeat: the age of a run at a crash is known from the last
# heartbeat before it.
EARLY_CRASH_MS: Final = 2000
# Ages beyond these tell nothing more about a task.
MAX_AGES: Final = 8
# A service that crashes its workers may expire on several before the first of
# them is back.
MAX_EXPIRED: Final = 8
# A run clears the crashes under its task once it is twice as old as the run at
# the last crash, within these bounds.
MIN_CLEARING_AGE_MS: Final = assignments.LONG_RUN_MS
MAX_CLEARING_AGE_MS: Final = 600_000
# Delay before a suspect is started again, doubled for each further crash, and
# its upper bound by kind.
RETRY_BACKOFF_MS: Final = 2000
MAX_RETRY_BACKOFF_MS: Final = {"service": 60_000, "batch": 600_000}
# State in the result of a command that only counted a crash.
CRASH_COUNTED: Final = "crash_counted"


def record_end(
    task: assignments.Task, command: commands.EndTask, now_ms: int
) -> None:
    """Records what the end of a live run tells about a crash of its worker.

    Args:
        task: The task, before its assignment is released.
        command: The end.
        now_ms: Wall time of the batch in ms since the epoch.
    """
    if command.crash is not None:
        count(task, command.crash)
        task.detail = command.detail
    elif command.outcome == "lease_expired":
        if command.started:
            run = assignments.ExpiredRun(
                epoch=task.epoch,
                worker=task.worker,
                assigned_ms=task.assigned_ms,
            )
            task.expired = (*task.expired[-MAX_EXPIRED + 1 :], run)
    elif command.outcome != "lost":
        clear_after(task, now_ms - task.assigned_ms)


def count_late(
    tasks: assignments.Assignments, command: commands.EndTask
) -> commands.Result | None:
    """Counts the crash of a worker under a run whose lease had expired.

    Returns:
        The result; None if the command doesn't name such a run.
    """
    task = tasks.tasks.get(command.task)
    if task is None or command.crash is None:
        return None
    kept = tuple(run for run in task.expired if run.epoch != command.epoch)
    if len(kept) == len(task.expired):
        return None
    task.expired = kept
    count(task, command.crash)
    return commands.Result(ok=True, data={"state": CRASH_COUNTED})


def count(task: assignments.Task, crash: commands.TaskCrash) -> None:
    """Counts the crash of a worker under a run of a task."""
    clear_after(task, crash.age_ms)
    task.crashes += 1
    task.early_crashes += crash.age_ms <= EARLY_CRASH_MS
    earlier = task.crash_ages_ms[-MAX_AGES + 1 :]
    task.crash_ages_ms = (*earlier, crash.age_ms)


def clear_after(task: assignments.Task, age_ms: int) -> None:
    """Clears the crashes of a task if a run reached an age that does so.

    Args:
        task: The task.
        age_ms: Age of the run in ms.
    """
    if clears(task, age_ms):
        task.crashes = task.early_crashes = 0
        task.crash_ages_ms = ()


def clears(task: assignments.Task, age_ms: int) -> bool:
    """Returns whether a run of an age clears the crashes under its task."""
    last_age_ms = task.crash_ages_ms[-1] if task.crash_ages_ms else 0
    clearing_age_ms = max(
        MIN_CLEARING_AGE_MS, min(2 * last_age_ms, MAX_CLEARING_AGE_MS)
    )
    return age_ms >= clearing_age_ms


def is_suspect(task: assignments.Task, wall_ms: int) -> bool:
    """Returns whether a task may crash its worker.

    Args:
        task: The task.
        wall_ms: Wall time in ms since the epoch.
    """
    if not task.crashes:
        return False
    age_ms = wall_ms - task.assigned_ms if task.live else 0
    return crash_conviction.suspicion(task) > 0 and not clears(task, age_ms)


def retry_delay_ms(task: assignments.Task) -> int:
    """Returns how long a task waits after the last crash under it, in ms.

    The delays of two tasks differ, so that tasks which were on the same worker
    don't start together again.
    """
    suspicion = crash_conviction.suspicion(task)
    if not suspicion:
        return 0
    delay_ms = RETRY_BACKOFF_MS << min(suspicion - 1, 16)
    percent = zlib.crc32(f"{task.task} {task.epoch}".encode()) % 100
    delay_ms += delay_ms * percent // 100
    return min(delay_ms, MAX_RETRY_BACKOFF_MS[task.kind])
