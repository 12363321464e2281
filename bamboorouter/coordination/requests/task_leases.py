"""Tracks the tasks on a VM, their leases and their goals.

The ledger does no I/O. It is updated with the orders of the leader and the
reports of the worker, and the agent carries out the goal of each task. A lease
is measured from the sending of the answered heartbeat. A task must have ended
`STOP_MARGIN_MS` before its lease does, and the agent begins to stop it
`STOP_LEAD_MS` earlier. The worker enforces the same deadline independently.

A task uses capacity until the worker confirms its end, no matter who started
it.

The agent may infer an end that the worker hasn't reported, for example if the
worker no longer lists the task. Such an end is withdrawn if the worker lists the
task as running. The task is then stopped, because the leader may have been told
of the end.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

# The leader waits for the lease term plus 500 ms and 2 %. Together with this
# margin, that covers clock drift and the duration of a stop.
STOP_MARGIN_MS: Final = 1000
# Time for a stop order to reach the worker and for its confirmation.
STOP_LEAD_MS: Final = 250
# Number of tasks whose latest epoch is stored, so that orders with lower epochs
# are refused also after the task was forgotten.
MAX_STORED_EPOCHS: Final = 4096

TaskEnd = Literal["finished", "failed", "evicted", "stopped"]
TaskGoal = Literal["run", "evict", "stop", "expire"]
Admission = Literal["start", "known", "stale", "later", "expired", "refused"]


@dataclasses.dataclass(kw_only=True)
class HeldTask:
    """A task on this VM.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        kind: "service" or "batch".
        need: Reserved resources.
        stop_deadline_ms: Monotonic time in ms by which the task must have
            ended.
        state: "running" until the worker confirms the end.
        goal: State that the agent has to reach: "run", or a way to end the
            task.
        order: The start order; None for a task that was found on the worker.
        started: Whether the worker confirmed the start.
        checkpoint: Last checkpoint that the worker confirmed.
        detail: Reason for the end.
        end_inferred: Whether the agent inferred the end.
        url: Base URL of a service task once it runs.
        throttled: Whether the leader ordered throttling.
        throttle_applied: Whether the worker confirmed the throttling.
    """

    task: str
    epoch: int
    kind: common.TaskKind
    need: common.Resources
    stop_deadline_ms: int
    state: Literal["running", "finished", "failed", "evicted", "stopped"] = (
        "running"
    )
    goal: TaskGoal = "run"
    order: messages.StartOrder | None = None
    started: bool = False
    checkpoint: str = ""
    detail: str = ""
    end_inferred: bool = False
    url: str = ""
    throttled: bool = False
    throttle_applied: bool = False

    @property
    def ended(self) -> bool:
        """Whether the worker confirmed the end."""
        return self.state != "running"

    @property
    def row_name(self) -> str:
        """Name of the sheet row that the task belongs to."""
        return self.task.rpartition("/")[0]

    def end(
        self,
        state: TaskEnd,
        *,
        checkpoint: str,
        detail: str,
        inferred: bool = False,
    ) -> None:
        """Records the end unless one is already recorded.

        Args:
            state: How the task ended.
            checkpoint: Last checkpoint; empty if there is no new one.
            detail: Reason for the end.
            inferred: Whether the agent inferred the end.
        """
        if self.ended:
            return
        self.state = state
        self.checkpoint = checkpoint or self.checkpoint
        self.detail = detail or self.detail
        self.end_inferred = inferred

    def withdraw_inferred_end(self) -> bool:
        """Marks a task with an inferred end as running and to be stopped.

        Returns:
            Whether the task had an inferred end.
        """
        if not self.ended or not self.end_inferred:
            return False
        self.state = "running"
        self.end_inferred = False
        self.started = True
        self.goal = "stop"
        return True

    def set_goal(self, goal: TaskGoal, detail: str) -> bool:
        """Sets the goal of a running task; returns whether it changed.

        An ordered stop replaces an eviction, because the task won't be resumed
        afterwards. The end of the lease doesn't replace an eviction, which
        already stops the task.
        """
        replaces = self.goal == "run" or (self.goal, goal) == ("evict", "stop")
        if self.ended or not replaces:
            return False
        self.goal = goal
        self.detail = detail
        return True


class TaskLedger:
    """All tasks on one VM.

    Attributes:
        capacity: Capacity of the VM.
        tasks: The tasks by ID; ended tasks are kept until the leader
            acknowledges them.
    """

    def __init__(self, *, capacity: common.Resources) -> None:
        self.capacity = capacity
        self.tasks: dict[str, HeldTask] = {}
        self._epochs: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def admit(
        self, order: messages.StartOrder, *, sent: int, now: int
    ) -> Admission:
        """Decides on a start order.

        Args:
            order: The order.
            sent: Monotonic time in ms at which the answered heartbeat was
                sent.
            now: Monotonic time in ms.

        Returns:
            "start" (the task was added and must be started), "known" (the task
            is already held with this epoch), "stale" (a higher epoch was seen,
            or the task was forgotten with this epoch), "later" (an older epoch
            is being stopped first), "expired" (too little time is left under
            the lease) or "refused" (no capacity; the task was added as
            stopped, so that its end is reported to the leader).
        """
        if order.epoch < self._epochs.get(order.task, 0):
            return "stale"
        held = self.tasks.get(order.task)
        if held is not None and held.epoch == order.epoch:
            return "known"
        if held is not None and not held.ended:
            held.set_goal("stop", error_texts.STALE_EPOCH)
            return "later"
        if order.epoch == self._epochs.get(order.task):
            return "stale"
        stop_deadline_ms = sent + order.lease_ms - STOP_MARGIN_MS
        if stop_deadline_ms - STOP_LEAD_MS <= now:
            return "expired"
        fits = self.fits(order.need)
        held = HeldTask(
            task=order.task,
            epoch=order.epoch,
            kind=order.kind,
            need=order.need,
            stop_deadline_ms=stop_deadline_ms,
            order=order,
        )
        self._add(held)
        if not fits:
            held.end("stopped", checkpoint="", detail=error_texts.NO_CAPACITY)
            held.checkpoint = order.resume_from
            return "refused"
        return "start"

    def adopt(self, held: HeldTask) -> None:
        """Adds a task that was found running on the worker."""
        self._add(held)

    def renew(self, renewal: messages.Renewal, *, sent: int) -> bool:
        """Renews a lease.

        Args:
            renewal: The renewal.
            sent: Monotonic time in ms at which the answered heartbeat was
                sent.

        Returns:
            Whether the renewal applies to a running task.
        """
        held = self.tasks.get(renewal.task)
        if held is None or held.epoch != renewal.epoch:
            return False
        if held.ended or held.goal == "expire":
            return False
        stop_deadline_ms = sent + renewal.term_ms - STOP_MARGIN_MS
        held.stop_deadline_ms = max(held.stop_deadline_ms, stop_deadline_ms)
        return True

    def expire(self, now: int) -> list[HeldTask]:
        """Sets the goal "expire" on running tasks whose lease ends.

        Args:
            now: Monotonic time in ms.

        Returns:
            The tasks whose goal changed.
        """
        due = (
            held
            for held in self.running()
            if now >= held.stop_deadline_ms - STOP_LEAD_MS
        )
        return [held for held in due if held.set_goal("expire", "lease_ended")]

    def apply_order(self, order: messages.TaskOrder) -> HeldTask | None:
        """Applies an order to stop, evict, throttle, resume or forget a task.

        Returns:
            The task if the order must still be carried out on the worker.
        """
        held = self.tasks.get(order.task)
        if held is None or held.epoch != order.epoch:
            return None
        if order.action == "forget":
            return self._forget(held)
        if order.action in ("throttle", "resume"):
            throttled = order.action == "throttle"
            changed = held.throttled != throttled and not held.ended
            held.throttled = throttled
            return held if changed else None
        goal: TaskGoal = "evict" if order.action == "evict" else "stop"
        return held if held.set_goal(goal, f"ordered_{goal}") else None

    def running(self) -> Iterator[HeldTask]:
        """Returns an iterator over the tasks whose end isn't confirmed."""
        return (held for held in self.tasks.values() if not held.ended)

    def used(self) -> common.Resources:
        """Returns the resources reserved by all tasks that have not ended."""
        return total(held.need for held in self.running())

    def fits(self, need: common.Resources) -> bool:
        """Whether a task fits into the capacity left by tasks not yet ended."""
        used = total([need, *(held.need for held in self.running())])
        return (
            used.millicores <= self.capacity.millicores
            and used.memory_mb <= self.capacity.memory_mb
            and used.accelerators <= self.capacity.accelerators
            and used.slots <= self.capacity.slots
        )

    def report(self) -> tuple[common.TaskState, ...]:
        """Returns the state of all held tasks for the heartbeat."""
        return tuple(
            common.TaskState(
                task=held.task,
                epoch=held.epoch,
                state=held.state,
                checkpoint=held.checkpoint,
                detail=held.detail if held.ended else "",
                started=held.started,
            )
            for held in self.tasks.values()
        )

    def _add(self, held: HeldTask) -> None:
        self.tasks[held.task] = held
        self._epochs[held.task] = held.epoch
        self._epochs.move_to_end(held.task)
        while len(self._epochs) > MAX_STORED_EPOCHS:
            oldest = next(iter(self._epochs))
            if oldest in self.tasks:
                self._epochs.move_to_end(oldest)
            else:
                del self._epochs[oldest]

    def _forget(self, held: HeldTask) -> HeldTask | None:
        if not held.ended:
            return None
        del self.tasks[held.task]
        return held


def total(needs: Iterable[common.Resources]) -> common.Resources:
    """Returns the sum of resources; each task takes at least one slot."""
    amounts = list(needs)
    return common.Resources(
        millicores=sum(need.millicores for need in amounts),
        memory_mb=sum(need.memory_mb for need in amounts),
        accelerators=sum(need.accelerators for need in amounts),
        slots=sum(max(need.slots, 1) for need in amounts),
    )


def capacity_of(
    *, processors: int, memory_mb: int, accelerators: int, slots: int
) -> common.Resources:
    """Returns the capacity of a VM from its settings."""
    return common.Resources(
        millicores=processors * clock.MS_PER_SECOND,
        memory_mb=memory_mb,
        accelerators=accelerators,
        slots=slots,
    )
