"""Defines a fake leader that sends the orders given by a test of the agent."""

import asyncio
from collections.abc import Callable

from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.transport import link

WAIT_S = 10.0


def row(
    name: str, *, kind: str = "job", command: str = "", millicores: int = 1000
) -> common.SheetRow:
    """Returns the row of a job, or of a service if `kind` isn't "job"."""
    return common.SheetRow(
        kind="job" if kind == "job" else "service",
        name=name,
        owner="team",
        urgency=5,
        place=1,
        millicores=millicores,
        memory_mb=500,
        command=command,
    )


class FakeLeader:
    """Answers heartbeats with prepared orders.

    Attributes:
        starts: Start orders by task; each is sent until the task is reported.
        orders: Other orders; each is sent while its task and epoch are
            reported.
        renews: Whether the leases of running tasks are renewed.
        answers: Whether heartbeats are answered.
        term_ms: Duration of leases in ms; unrelated to the leader's term.
        revision: Revision in the answers.
        drained: IDs of drained upstreams.
        heartbeats: All received heartbeats.
    """

    def __init__(self) -> None:
        self.starts: dict[str, messages.StartOrder] = {}
        self.orders: list[messages.TaskOrder] = []
        self.renews = True
        self.answers = True
        self.term_ms = 10_000
        self.revision = 1
        self.drained: tuple[str, ...] = ()
        self.heartbeats: list[messages.Heartbeat] = []
        self._server: link.LinkServer | None = None
        self._heartbeat_received = asyncio.Event()

    @property
    def address(self) -> str:
        """Returns the address of the server."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.port}"

    @property
    def last(self) -> messages.Heartbeat:
        """Returns the latest heartbeat."""
        return self.heartbeats[-1]

    async def start(self) -> None:
        self._server = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._handle
        )

    async def close(self) -> None:
        if self._server is not None:
            await self._server.close()

    def assign(
        self,
        task: str,
        epoch: int,
        *,
        kind: common.TaskKind = "batch",
        command: str = "never",
        millicores: int = 1000,
        resume_from: str = "",
    ) -> None:
        """Adds an order to start a task, which needs 500 MB and one slot.

        By default, the task runs until it is stopped (command "never").
        """
        self.starts[task] = messages.StartOrder(
            task=task,
            epoch=epoch,
            kind=kind,
            lease_ms=self.term_ms,
            need=common.Resources(
                millicores=millicores, memory_mb=500, slots=1
            ),
            row=row(
                task.rpartition("/")[0],
                kind="service" if kind == "service" else "job",
                command=command,
                millicores=millicores,
            ),
            resume_from=resume_from,
        )

    def order(self, task: str, epoch: int, action: str) -> None:
        """Adds an order other than a start, such as "stop" or "evict"."""
        self.orders.append(
            messages.TaskOrder(
                task=task,
                epoch=epoch,
                action=action,  # type: ignore[arg-type]
            )
        )

    def state(self, task: str) -> common.TaskState | None:
        """Returns the state of a task in the latest heartbeat."""
        states = self.last.tasks if self.heartbeats else ()
        return next((state for state in states if state.task == task), None)

    def upstream(self, service: str) -> common.Upstream | None:
        """Returns the first upstream of a service in the latest heartbeat."""
        upstreams = self.last.upstreams if self.heartbeats else ()
        return next((up for up in upstreams if up.service == service), None)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds, checking it after each heartbeat."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                self._heartbeat_received.clear()
                await self._heartbeat_received.wait()

    async def wait_for_state(self, task: str, state: str) -> common.TaskState:
        """Waits until a task is reported in a state."""

        def reached() -> bool:
            found = self.state(task)
            return found is not None and found.state == state

        await self.wait_until(reached)
        found = self.state(task)
        assert found is not None
        return found

    async def _handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        if not isinstance(message, messages.Heartbeat) or not self.answers:
            return None
        self.heartbeats.append(message)
        self._heartbeat_received.set()
        reported = {(state.task, state.epoch) for state in message.tasks}
        starts = [
            order
            for order in self.starts.values()
            if (order.task, order.epoch) not in reported
        ]
        self.starts = {order.task: order for order in starts}
        return messages.HeartbeatReply(
            sequence=message.sequence,
            leader_term=1,
            revision=self.revision,
            renewals=self._renewals(message),
            starts=tuple(starts),
            orders=tuple(
                order
                for order in self.orders
                if (order.task, order.epoch) in reported
            ),
            drained=self.drained,
        )

    def _renewals(
        self, heartbeat: messages.Heartbeat
    ) -> tuple[messages.Renewal, ...]:
        if not self.renews:
            return ()
        return tuple(
            messages.Renewal(
                task=state.task, epoch=state.epoch, term_ms=self.term_ms
            )
            for state in heartbeat.tasks
            if state.state == "running"
        )
