"""Tasks and their assignments to workers.

A task has at most one live assignment. Each assignment gets an epoch (a
fencing token) from one counter that never repeats a value, even for a task
that is created again under the same ID. Reports that carry any other epoch
than that of the live assignment are refused, except that a batch task may be
reported finished late if it has not been assigned again since.
"""

from collections.abc import Iterable
from typing import Any
from typing import Final
from typing import Literal

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import resource_math
from bamboorouter.state import workers

TaskStatus = Literal[
    "pending", "assigned", "evicting", "finished", "failed", "cancelled"
]
Stopping = Literal["", "cancelled", "surplus"]
LIVE: Final = ("assigned", "evicting")
ENDED: Final = ("finished", "failed", "cancelled")
# Attributing failures to a task or job takes failures on three different
# workers; the names beyond three are kept for diagnosis.
MAX_FAILED_ON: Final = 8
# A failure after a run of at least this duration says little about the next
# attempt, so the failures before it no longer add to the retry backoff.
LONG_RUN_MS: Final = 60_000


class ExpiredRun(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A run whose lease expired, so that nobody has told how it ended.

    Attributes:
        epoch: Epoch of the assignment.
        worker: Worker of the assignment.
        assigned_ms: Wall time of the assignment in ms since the epoch.
    """

    epoch: int
    worker: str
    assigned_ms: int


class Task(msgspec.Struct, array_like=True, kw_only=True):
    """One instance of a service or one task of a job.

    Attributes:
        task: ID, "<row>/<number>".
        row: Name of the row of the sheet.
        kind: "service" or "batch".
        submitted_ms: Wall time of its creation in ms since the epoch.
        status: State of the task.
        epoch: Epoch of the current or last assignment; 0 before the first.
        worker: Worker of the current assignment.
        need: Reserved resources of the current assignment.
        resume_from: Checkpoint that the next assignment will resume from.
        assigned_from: Checkpoint that the current assignment resumed from.
        assigned_ms: Wall time of the current assignment in ms since the
            epoch.
        stopping: Why a live task is not to be assigned again; empty if it
            may be.
        replacement: ID of the instance that replaces this one, if any.
        failed_on: Last workers on which it failed, each once; at most
            `MAX_FAILED_ON`.
        failures: Number of failures since the last run of `LONG_RUN_MS`.
        evictions: Number of evictions.
        detail: Human-readable reason of the last failure, eviction or end.
        ended_ms: Wall time of the end of the last assignment in ms since the
            epoch.
        spec: Digest of the row's fixed settings at the last assignment.
        crashes: Number of workers that crashed under it since its last long
            run (see `sheet_crashes`).
        early_crashes: Number of these that came soon after the assignment.
        crash_ages_ms: Ages in ms of the runs at the last of these.
        expired: Last runs whose leases expired and whose ends aren't known.
    """

    task: str
    row: str
    kind: common.TaskKind
    submitted_ms: int
    status: TaskStatus = "pending"
    epoch: int = 0
    worker: str = ""
    need: common.Resources = resource_math.NO_RESOURCES
    resume_from: str = ""
    assigned_from: str = ""
    assigned_ms: int = 0
    stopping: Stopping = ""
    replacement: str = ""
    failed_on: tuple[str, ...] = ()
    failures: int = 0
    evictions: int = 0
    detail: str = ""
    ended_ms: int = 0
    spec: int = 0
    crashes: int = 0
    early_crashes: int = 0
    crash_ages_ms: tuple[int, ...] = ()
    expired: tuple[ExpiredRun, ...] = ()

    @property
    def live(self) -> bool:
        """Whether the task has a live assignment."""
        return self.status in LIVE

    @property
    def number(self) -> int:
        """Number of the task within its row."""
        return int(self.task.rpartition("/")[2])


class Assignments:
    """All tasks, with indexes for the scheduler.

    Attributes:
        tasks: Tasks by ID.
        last_epoch: Highest epoch that was ever assigned.
        pending: IDs of waiting tasks by row.
        on_worker: IDs of live tasks by worker.
        of_row: IDs of tasks by row.
        used: Reserved resources by worker.
        used_by_row: Reserved resources by row.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, Task] = {}
        self.last_epoch = 0
        self.pending: dict[str, dict[str, None]] = {}
        self.on_worker: dict[str, dict[str, None]] = {}
        self.of_row: dict[str, dict[str, None]] = {}
        self.used: dict[str, common.Resources] = {}
        self.used_by_row: dict[str, common.Resources] = {}

    def create(
        self, row: common.SheetRow, number: int, submitted_ms: int
    ) -> Task:
        """Adds a waiting task."""
        task = Task(
            task=f"{row.name}/{number}",
            row=row.name,
            kind="service" if row.kind == "service" else "batch",
            submitted_ms=submitted_ms,
        )
        self._add_task(task)
        return task

    def remove(self, task: Task) -> None:
        """Removes a task that has no live assignment."""
        del self.tasks[task.task]
        self._remove_pending(task)
        siblings = self.of_row[task.row]
        del siblings[task.task]
        if not siblings:
            del self.of_row[task.row]

    def tasks_of_row(self, row: str) -> list[Task]:
        """Returns the tasks of a row in the order of their numbers."""
        found = [self.tasks[task] for task in self.of_row.get(row, ())]
        return sorted(found, key=lambda task: task.number)

    def worker_tasks(self, worker: str) -> list[Task]:
        """Returns the live tasks of a worker."""
        return [self.tasks[task] for task in self.on_worker.get(worker, ())]

    def used_on(self, worker: str) -> common.Resources:
        """Returns the resources reserved on a worker."""
        return self.used.get(worker, resource_math.NO_RESOURCES)

    def live_task(
        self, task_id: str, epoch: int, status: Iterable[str] = LIVE
    ) -> Task | commands.Result:
        """Returns a task if `epoch` belongs to its live assignment.

        Args:
            task_id: ID of the task.
            epoch: Epoch that the report or command names.
            status: States in which the task is accepted.

        Returns:
            The task; a refusal if it is unknown, in another state, or has a
            different epoch.
        """
        task = self.tasks.get(task_id)
        if task is None:
            return workers.refused(error_texts.NO_SUCH_TASK, task=task_id)
        if task.epoch != epoch or task.status not in status:
            return workers.refused(
                error_texts.STALE_EPOCH, task=task_id, epoch=epoch
            )
        return task

    def assign(
        self,
        command: commands.Assign,
        capacity: common.Resources,
        now_ms: int,
        spec: int = 0,
    ) -> commands.Result:
        """Assigns a waiting task; it resumes from its checkpoint, if any.

        Args:
            command: The assignment.
            capacity: Capacity of the worker.
            now_ms: Wall time of the batch in ms since the epoch.
            spec: Digest of the row's fixed settings.

        Returns:
            A result whose data holds the epoch and the checkpoint to resume
            from; a refusal if the task is not waiting or does not fit.
        """
        task = self.tasks.get(command.task)
        if task is None:
            return workers.refused(error_texts.NO_SUCH_TASK, task=command.task)
        if task.status != "pending":
            return workers.refused(
                error_texts.TASK_NOT_WAITING,
                task=command.task,
                state=task.status,
            )
        used = resource_math.plus(self.used_on(command.worker), command.need)
        if not resource_math.valid_need(command.need) or not resource_math.fits(
            used, capacity
        ):
            return workers.refused(error_texts.NO_CAPACITY)
        self.last_epoch += 1
        task.status = "assigned"
        task.epoch = self.last_epoch
        task.worker = command.worker
        task.need = command.need
        task.assigned_from = task.resume_from
        task.resume_from = ""
        task.assigned_ms = now_ms
        task.spec = spec
        self._remove_pending(task)
        self.used[command.worker] = used
        self._add_row_usage(task.row, command.need)
        self.on_worker.setdefault(command.worker, {})[task.task] = None
        data = {"epoch": task.epoch, "resume_from": task.assigned_from}
        return commands.Result(ok=True, data=data)

    def release(self, task: Task, checkpoint: str, now_ms: int) -> None:
        """Ends the live assignment; the task waits again.

        Args:
            task: A live task.
            checkpoint: Newest checkpoint; if empty, the next assignment
                resumes from the same one as this assignment.
            now_ms: Wall time of the batch in ms since the epoch.
        """
        remaining = resource_math.minus(self.used[task.worker], task.need)
        siblings = self.on_worker[task.worker]
        del siblings[task.task]
        if siblings:
            self.used[task.worker] = remaining
        else:
            del self.on_worker[task.worker]
            del self.used[task.worker]
        self._add_row_usage(
            task.row, resource_math.minus(resource_math.NO_RESOURCES, task.need)
        )
        task.resume_from = checkpoint or task.assigned_from
        if task.kind == "service":
            task.resume_from = ""
        task.status = "pending"
        task.ended_ms = now_ms
        task.worker = ""
        task.need = resource_math.NO_RESOURCES
        task.assigned_from = ""
        self._add_pending(task)

    def finish(self, task: Task, status: TaskStatus) -> None:
        """Moves a waiting task to a final state."""
        task.status = status
        task.stopping = ""
        self._remove_pending(task)

    def record_failure(
        self, task: Task, worker: str, detail: str, now_ms: int
    ) -> None:
        """Records a failure of a task on a worker."""
        if now_ms - task.assigned_ms >= LONG_RUN_MS:
            task.failures = 0
        task.failures += 1
        task.detail = detail
        if worker not in task.failed_on:
            earlier = task.failed_on[-MAX_FAILED_ON + 1 :]
            task.failed_on = (*earlier, worker)

    def snapshot(self) -> list[Any]:
        """Returns the epoch counter, all tasks and the ordered indexes."""
        tasks = list(self.tasks.values())
        return [
            self.last_epoch,
            msgspec.to_builtins(tasks),
            _index_to_lists(self.pending),
            _index_to_lists(self.on_worker),
        ]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all tasks with those in a snapshot."""
        last_epoch, tasks, pending, on_worker = plain
        self.__init__()  # type: ignore[misc]
        self.last_epoch = last_epoch
        for task in msgspec.convert(tasks, list[Task]):
            self._add_task(task)
        self.pending = _index_from_lists(pending)
        self.on_worker = _index_from_lists(on_worker)
        self.used = {
            name: resource_math.total(
                self.tasks[task].need for task in task_ids
            )
            for name, task_ids in self.on_worker.items()
        }
        for task in self.tasks.values():
            if task.live:
                self._add_row_usage(task.row, task.need)

    def waiting_count(self) -> int:
        """Returns the number of waiting tasks."""
        return sum(len(tasks) for tasks in self.pending.values())

    def _add_pending(self, task: Task) -> None:
        self.pending.setdefault(task.row, {})[task.task] = None

    def _remove_pending(self, task: Task) -> None:
        waiting = self.pending.get(task.row)
        if waiting is None:
            return
        waiting.pop(task.task, None)
        if not waiting:
            del self.pending[task.row]

    def _add_row_usage(self, row: str, amount: common.Resources) -> None:
        used = resource_math.plus(
            self.used_by_row.get(row, resource_math.NO_RESOURCES), amount
        )
        self.used_by_row[row] = used
        if used == resource_math.NO_RESOURCES:
            del self.used_by_row[row]

    def _add_task(self, task: Task) -> None:
        self.tasks[task.task] = task
        self.of_row.setdefault(task.row, {})[task.task] = None
        if task.status == "pending":
            self._add_pending(task)


def _index_to_lists(index: dict[str, dict[str, None]]) -> list[Any]:
    return [[name, list(task_ids)] for name, task_ids in index.items()]


def _index_from_lists(plain: list[Any]) -> dict[str, dict[str, None]]:
    return {name: dict.fromkeys(task_ids) for name, task_ids in plain}
