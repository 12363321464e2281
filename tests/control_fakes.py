"""A log that applies at once, and agents, for tests of the leader."""

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
    """A replica that leads alone and applies each command at once.

    Attributes:
        machine: The state.
        clock: Source of wall time for batches.
        valid: What `lease_valid` returns.
        lose_results: Number of next proposals whose result is lost although
            they are applied.
        postpones: Whether proposals time out and are applied only by
            `apply_postponed`.
        history: All applied commands with their results.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.machine = machine.Machine()
        self.clock = time
        self.valid = True
        self.lose_results = 0
        self.postpones = False
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
        """Whether this replica may decide."""
        return self.valid

    def term(self) -> int:
        """Returns the current term."""
        return self._leadership.value.term

    def leader_address(self) -> str:
        """Returns the address of the leader."""
        return self._leadership.value.leader_address

    async def propose(
        self, command: commands.Command, *, timeout_ms: int
    ) -> commands.Result:
        """Applies a command."""
        del timeout_ms
        if not self.valid:
            raise errors.NotLeaderError(leader="", step="propose")
        await asyncio.sleep(0)
        if self.postpones:
            self._postponed.append(command)
            raise errors.UnknownResultError(text="late", step="propose")
        result = self.apply(command)
        if self.lose_results:
            self.lose_results -= 1
            raise errors.UnknownResultError(text="lost", step="propose")
        return result

    def apply_postponed(self) -> None:
        """Applies what timed out while `postpones` was set."""
        self.postpones = False
        for command in self._postponed:
            self.apply(command)
        self._postponed.clear()

    def apply(self, command: commands.Command) -> commands.Result:
        """Applies a command without a proposal, as another leader would."""
        batch = commands.CommandBatch(
            wall_ms=self.clock.wall(), commands=(command,)
        )
        index = self.machine.applied_index + 1
        result = self.machine.apply(index, batch)[0]
        self.history.append((command, result))
        self._applied.on_next(index)
        return result

    def elect_again(self) -> None:
        """Begins a new term, as after a failover to this replica."""
        term = self.term() + 1
        for leads in (False, True):
            self._leadership.on_next(
                replicated_log.Leadership(
                    leads=leads, term=term, leader_address="me"
                )
            )

    def outcomes(self, task: str) -> list[str]:
        """Returns the outcomes of the committed ends of a task."""
        return [
            command.outcome
            for command, result in self.history
            if isinstance(command, commands.EndTask)
            and command.task == task
            and result.ok
        ]


@dataclasses.dataclass(kw_only=True)
class HeldTask:
    """A task that a fake agent runs."""

    epoch: int
    lease_end_ms: int
    state: Any = "running"
    checkpoint: str = ""
    resume_from: str = ""


class FakeAgent:
    """An agent whose worker obeys at once.

    Attributes:
        name: Name of agent and worker.
        tasks: Held tasks by ID.
        orders: All orders received.
        fields: Fields of the next heartbeats.
        next_checkpoint: Checkpoint that an eviction takes.
        link: Stands for the open link; replaced when an answer is lost.
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
                )
                for name, held in self.tasks.items()
            ),
            **self.fields,
        }
        return messages.Heartbeat(**fields)

    async def send_heartbeat(
        self, *, lose_reply: bool = False
    ) -> messages.HeartbeatReply:
        """Sends a heartbeat and carries out the answer."""
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
        """Applies an answer; leases count from `sent`."""
        for renewal in reply.renewals:
            held = self.tasks.get(renewal.task)
            if held is not None and held.epoch == renewal.epoch:
                held.lease_end_ms = sent + renewal.term_ms
        for order in reply.orders:
            self._obey(order)
        for start in reply.starts:
            current = self.tasks.get(start.task)
            if current is None or current.epoch < start.epoch:
                self.tasks[start.task] = HeldTask(
                    epoch=start.epoch,
                    lease_end_ms=sent + start.lease_ms,
                    resume_from=start.resume_from,
                )

    def expire(self) -> None:
        """Stops tasks whose lease ended."""
        now = self._leader.clock.now()
        for held in self.tasks.values():
            if held.state == "running" and held.lease_end_ms <= now:
                held.state = "stopped"

    def running(self) -> set[str]:
        """Returns the tasks that run now."""
        self.expire()
        return {n for n, held in self.tasks.items() if held.state == "running"}

    def _obey(self, order: messages.TaskOrder) -> None:
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
