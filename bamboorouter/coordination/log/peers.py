"""Links from one replica to the others.

Messages are pushed and may be lost: a full queue, a broken link or a member
that can't be reached drops them, and the protocol sends again. A link is used
only after the other side named the expected replica ID, so that a replica with
a new data folder never gets messages meant for its predecessor.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.log import core_state
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.transport import link

QUEUE_LIMIT: Final = 64
RECONNECT_PAUSE_MS: Final = 200
# A link that swallows data without an error is replaced after this silence.
SILENCE_MS: Final = 2000

_REPLIES_UNDER_WAY: Final = 64


class Peers:
    """Sends messages of a replica to the others.

    Requests go over links that this replica dials. Replies go back over the
    link on which the request came, because a replica that isn't a member yet
    knows no addresses.
    """

    def __init__(
        self,
        *,
        group: str,
        handler: link.Handler,
        on_lost: Callable[[str], None],
        time: clock.Clock,
    ) -> None:
        self._group = group
        self._handler = handler
        self._on_lost = on_lost
        self._clock = time
        self._peers: dict[str, Peer] = {}
        self._routes: dict[str, link.Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def heard(self, message: messages.Message, source: link.Link) -> None:
        """Notes on which link the sender of a request gets its replies."""
        match message:
            case messages.VoteRequest():
                self._routes[message.candidate] = source
            case messages.AppendRequest() | messages.SnapshotRequest():
                self._routes[message.leader] = source

    def post(
        self, envelope: core_state.Envelope, members: membership.Members
    ) -> None:
        """Sends a message; `members` gives the addresses."""
        match envelope.message:
            case (
                messages.VoteReply()
                | messages.AppendReply()
                | messages.SnapshotReply()
            ):
                self._reply(envelope)
            case _:
                peer = self._peer(members.find(envelope.to))
                if peer is not None:
                    peer.send(envelope.message)

    def keep_only(self, members: membership.Members) -> None:
        """Closes links to replicas that are no members any more."""
        for replica_id in list(self._peers):
            if members.find(replica_id) is None:
                self._spawn(self._peers.pop(replica_id).close())

    async def drained(self) -> None:
        """Waits until all queued requests were sent or dropped."""
        await asyncio.gather(*(p.drained() for p in self._peers.values()))

    async def close(self) -> None:
        """Closes all links."""
        await asyncio.gather(*(p.close() for p in self._peers.values()))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _peer(self, member: membership.Member | None) -> "Peer | None":
        if member is None:
            return None
        peer = self._peers.get(member.id)
        if peer is None:
            peer = self._peers[member.id] = Peer(
                replica_id=member.id,
                address=member.address,
                group=self._group,
                handler=self._handler,
                on_lost=self._on_lost,
                time=self._clock,
            )
        return peer

    def _reply(self, envelope: core_state.Envelope) -> None:
        route = self._routes.get(envelope.to)
        if route is None or route.closed.is_set():
            self._routes.pop(envelope.to, None)
        elif len(self._tasks) < _REPLIES_UNDER_WAY:
            self._spawn(_push(route, envelope.message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _push(route: link.Link, message: messages.Message) -> None:
    try:
        async with asyncio.timeout(clock.seconds(SILENCE_MS)):
            await route.push(message)
    except (errors.RouterError, TimeoutError):
        # A lost reply shows at the leader, which sends again.
        return


class Peer:
    """Sends messages to one replica, in order.

    Attributes:
        id: ID of the replica.
        address: Where it is dialled.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        address: str,
        group: str,
        handler: link.Handler,
        on_lost: Callable[[str], None],
        time: clock.Clock,
    ) -> None:
        self.id = replica_id
        self.address = address
        self._group = group
        self._handler = handler
        self._on_lost = on_lost
        self._clock = time
        self._link: link.Link | None = None
        self._heard_ms = 0
        self._reported_replaced = False
        self._queue: asyncio.Queue[messages.Message] = asyncio.Queue(
            QUEUE_LIMIT
        )
        self._closing: set[asyncio.Task[None]] = set()
        self._task = supervision.start(self._run)

    def send(self, message: messages.Message) -> None:
        """Queues a message; drops it if the queue is full."""
        if self._queue.full():
            self._drop_all()
            return
        self._queue.put_nowait(message)

    async def drained(self) -> None:
        """Waits until all queued messages were sent or dropped."""
        await self._queue.join()

    async def close(self) -> None:
        """Stops sending and closes the link."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            await self._link.close()

    async def _run(self) -> None:
        while True:
            message = await self._queue.get()
            try:
                await self._send(message)
            except (errors.RouterError, TimeoutError):
                self._abandon()
                self._drop_all()
                await asyncio.sleep(clock.seconds(RECONNECT_PAUSE_MS))
                self._drop_all()
            finally:
                self._queue.task_done()

    async def _send(self, message: messages.Message) -> None:
        current = self._link
        if current is None or current.closed.is_set():
            current = self._link = await self._open()
        elif self._clock.now() - self._heard_ms > SILENCE_MS:
            raise errors.LinkClosedError(
                text=f"silent for {SILENCE_MS} ms",
                step="replicate",
                peer=self.address,
            )
        async with asyncio.timeout(clock.seconds(SILENCE_MS)):
            await current.push(message)

    async def _open(self) -> link.Link:
        opened = await link.open_link(
            address=self.address, handler=self._receive
        )
        try:
            identity = await opened.request(
                messages.Identify(group=self._group),
                timeout_ms=link.OPEN_TIMEOUT_MS,
            )
            self._check(identity)
        except errors.RouterError:
            self._close_later(opened)
            raise
        self._heard_ms = self._clock.now()
        return opened

    def _check(self, identity: messages.Message) -> None:
        if not isinstance(identity, messages.Identity):
            raise errors.ProtocolError(
                text="no identity", step="open link", peer=self.address
            )
        if identity.replica == self.id:
            self._reported_replaced = False
            return
        if not self._reported_replaced:
            self._reported_replaced = True
            events.log(
                events.PEER_REPLACED,
                address=self.address,
                expected=self.id,
                found=identity.replica,
            )
        raise errors.LinkClosedError(
            text=f"replica {identity.replica} answers for {self.id}",
            step="open link",
            peer=self.address,
        )

    async def _receive(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        self._heard_ms = self._clock.now()
        return await self._handler(message, source)

    def _abandon(self) -> None:
        if self._link is not None:
            self._close_later(self._link)
            self._link = None

    def _close_later(self, abandoned: link.Link) -> None:
        task = asyncio.create_task(abandoned.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _drop_all(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()
            self._queue.task_done()
        self._on_lost(self.id)
