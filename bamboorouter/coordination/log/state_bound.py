"""Estimates how commands grow the state, so that its snapshots fit on the disk.

The disk has to hold the log, the two newest snapshots and one that is being
written. Commands that make the state larger are refused in time; all others, such
as cancellations and ends of runs, are always proposed, because they are needed to
make it smaller again.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands

# Snapshots on the disk while one is being written.
_SNAPSHOTS: Final = 3
# Size of a task in a snapshot, with a worker, a checkpoint and some failures.
TASK_BYTES: Final = 160
_GROWING: Final = (
    commands.AcceptSheet,
    commands.SubmitJob,
    job_commands.AcceptSteps,
    job_commands.PutConfiguration,
)


def max_state_bytes(
    *, disk_bytes: int, retention_bytes: int, segment_bytes: int
) -> int:
    """Returns the largest size of a snapshot that always finds room."""
    return max(0, disk_bytes - retention_bytes - segment_bytes) // _SNAPSHOTS


def grows_state(command: commands.Command) -> bool:
    """Whether a command is refused if the state would become too large."""
    return isinstance(command, _GROWING)


def added_bytes(command: commands.Command, *, size: int) -> int:
    """Returns about how much a command adds to a snapshot at most, in bytes.

    Args:
        command: The command.
        size: Encoded size of the command in bytes.
    """
    return size + TASK_BYTES * _created_tasks(command)


def added_by_batch(batch: Iterable[commands.Command], *, size: int) -> int:
    """Returns about how much a log entry adds to a snapshot at most."""
    return size + TASK_BYTES * sum(map(_created_tasks, batch))


def _created_tasks(command: commands.Command) -> int:
    if not isinstance(command, job_commands.AcceptSteps):
        return 0
    steps = command.spec.steps
    return max(1, command.spec.repeats) * sum(step.count for step in steps)
