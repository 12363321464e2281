"""Defines a fake replicated log and fake agents for tests of the leader."""

import asyncio
import dataclasses
from typing import Any

import reactivex
from reactivex import subject

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import machine
from tests import machine_commands as make

SERVICE_LEASE_MS = 10_000
BATCH_LEASE_MS = 600_000


class FakeLog:
    """A log with one replica, which applies each command immediately.

    Attributes:
        machine: The replicated state.
        clock: Clock for the wall time of batches.
        has_lease: Whether the replica holds a valid leader lease.
        lose_results: Number of upcoming proposals that are applied but fail
            with an unknown result.
        postpones: Whether proposals fail with an unknown result and are applied
            only by `apply_postponed`.
        followed_by: By type of command, a command that shares the entry of the
            next proposal of that type.
        history: All applied commands with their results.
        applied: Index of each applied entry.
        leadership: Current leadership and its changes.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.machine = machine.Machine()
        self.clock = time
        self.has_lease = True
        self.lose_results = 0
        self.postpones = False
        self.followed_by: dict[type, commands.Command] = {}
        self._postponed: list[commands.Command] = []
        self.history: list[tuple[commands.Command, commands.Result]] = []
        self._applied = subject.Subject[int]()
        self._leadership = subject.BehaviorSubject(
            replicated_log.Leadership(leads=True, term=1, leader_address="me")
        )
        self.applied: reactivex.Observable[int] = self._applied
        self.leadership: reactivex.Observable[replicated_log.Leadership] = (
            self._leadership
        )

    def lease_valid(self) -> bool:
        """Returns whether the replica holds a valid leader lease."""
        return self.has_lease

    def term(self) -> int:
        """Returns the current term."""
        return self._leadership.value.term

    def leader_address(self) -> str:
        """Returns the address of the leader."""
        return self._leadership.value.leader_address

    async def propose(
        self, command: commands.Command, *, timeout_ms: int
    ) -> commands.Result:
        """Applies a command.

        Raises:
            NotLeaderError: The lease is not valid.
            UnknownResultError: The result is lost, or the command is postponed.
        """
        del timeout_ms
        if not self.has_lease:
            raise errors.NotLeaderError(leader="", step="propose")
        await asyncio.sleep(0)
        if self.postpones:
            self._postponed.append(command)
            raise errors.UnknownResultError(text="late", step="propose")
        result = self.apply(command)
        if type(command) in self.followed_by:
            self.apply(self.followed_by.pop(type(command)))
        if self.lose_results:
            self.lose_results -= 1
            raise errors.UnknownResultError(text="lost", step="propose")
        return result

    def apply_postponed(self) -> None:
        """Applies the postponed commands and stops postponing."""
        self.postpones = False
        for command in self._postponed:
            self.apply(command)
        self._postponed.clear()

    def apply(self, command: commands.Command) -> commands.Result:
        """Applies a command as if another leader had proposed it."""
        batch = commands.CommandBatch(
            wall_ms=self.clock.wall(), commands=(command,)
        )
        index = self.machine.applied_index + 1
        result = self.machine.apply(index, batch)[0]
        self.history.append((command, result))
        self._applied.on_next(index)
        return result

    def elect_again(self) -> None:
        """Elects this replica again in a new term."""
        term = self.term() + 1
        for leads in (False, True):
            self._leadership.on_next(
                replicated_log.Leadership(
                    leads=leads, term=term, leader_address="me"
                )
            )

    def outcomes(self, task: str) -> list[str]:
        """Returns the outcome of each accepted `EndTask` of a task."""
        return [
            command.outcome
            for command, result in self.history
            if isinstance(command, commands.EndTask)
            and command.task == task
            and result.ok
        ]


@dataclasses.dataclass(kw_only=True)
class HeldTask:
    """A task on a fake agent.

    Attributes:
        epoch: Epoch of the assignment.
        lease_end_ms: End of the lease in ms on the leader's clock.
        state: Reported state.
        checkpoint: Reported checkpoint.
        resume_from: Checkpoint from which the task was started.
        detail: Reported detail.
        started: Whether the worker has confirmed the start.
    """

    epoch: int
    lease_end_ms: int
    state: Any = "running"
    checkpoint: str = ""
    resume_from: str = ""
    detail: str = ""
    started: bool = True


class FakeAgent:
    """An agent whose worker executes orders immediately.

    Attributes:
        name: Name of the agent and of its worker.
        tasks: Tasks by ID.
        orders: All received orders.
        fields: Additional fields of heartbeats.
        next_checkpoint: Checkpoint that evicted tasks report.
        begins_tasks: Whether the worker confirms the start of new tasks.
        link: Identity of the open link; replaced when a reply is lost.
    """

    def __init__(
        self,
        name: str,
        *,
        leader: scheduler.Scheduler,
        processors: int = 4,
        zone: str = "a",
        rack: str = "r1",
    ) -> None:
        self.name = name
        self.tasks: dict[str, HeldTask] = {}
        self.orders: list[messages.TaskOrder] = []
        self.next_checkpoint = "c1"
        self.begins_tasks = True
        self.link = object()
        self.fields: dict[str, Any] = {
            "incarnation": 1,
            "capacity": make.capacity(processors),
            "zone": zone,
            "rack": rack,
        }
        self._leader = leader
        self._sequence = 0

    def message(self) -> messages.Heartbeat:
        """Returns the next heartbeat."""
        self._sequence += 1
        fields: dict[str, Any] = {
            "agent": self.name,
            "worker": self.name,
            "sequence": self._sequence,
            "address": f"{self.name}:1",
            "connections": 64,
            "tasks": tuple(
                common.TaskState(
                    task=name,
                    epoch=held.epoch,
                    state=held.state,
                    checkpoint=held.checkpoint,
                    detail=held.detail,
                    started=held.started,
                )
                for name, held in self.tasks.items()
            ),
            **self.fields,
        }
        return messages.Heartbeat(**fields)

    async def send_heartbeat(
        self, *, lose_reply: bool = False
    ) -> messages.HeartbeatReply:
        """Sends a heartbeat and applies the reply.

        Args:
            lose_reply: Whether the link breaks before the reply arrives.

        Returns:
            The leader's reply.
        """
        self.expire()
        sent = self._leader.clock.now()
        reply = await self._leader.heartbeat(self.message(), self.link)
        assert reply is not None
        if lose_reply:
            self.link = object()
        else:
            self.apply_reply(reply, sent)
        return reply

    def apply_reply(self, reply: messages.HeartbeatReply, sent: int) -> None:
        """Applies a reply to a heartbeat.

        Args:
            reply: The reply.
            sent: Time in ms at which the heartbeat was sent; leases are
                counted from it.
        """
        for renewal in reply.renewals:
            held = self.tasks.get(renewal.task)
            if held is not None and held.epoch == renewal.epoch:
                held.lease_end_ms = sent + renewal.term_ms
        for order in reply.orders:
            self._execute(order)
        for start in reply.starts:
            current = self.tasks.get(start.task)
            if current is None or current.epoch < start.epoch:
                self.tasks[start.task] = HeldTask(
                    epoch=start.epoch,
                    lease_end_ms=sent + start.lease_ms,
                    resume_from=start.resume_from,
                    started=self.begins_tasks,
                )

    def expire(self) -> None:
        """Stops tasks whose lease has expired."""
        now = self._leader.clock.now()
        for held in self.tasks.values():
            if held.state == "running" and held.lease_end_ms <= now:
                held.state = "stopped"

    def running(self) -> set[str]:
        """Returns the IDs of the running tasks."""
        self.expire()
        return {n for n, held in self.tasks.items() if held.state == "running"}

    def _execute(self, order: messages.TaskOrder) -> None:
        self.orders.append(order)
        held = self.tasks.get(order.task)
        if held is None or held.epoch != order.epoch:
            return
        if order.action == "forget":
            del self.tasks[order.task]
        elif held.state == "running" and order.action == "evict":
            held.state, held.checkpoint = "evicted", self.next_checkpoint
        elif held.state == "running" and order.action == "stop":
            held.state = "stopped"
