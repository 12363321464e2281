"""Manages the links from one replica to the others.

Messages are pushed without acknowledgement. They are lost if a queue is full, a
link breaks or a member is unreachable, and the protocol retransmits them. A link
is used only after the peer returned the expected replica ID, so that a replica
with a new data folder never receives messages meant for its predecessor.
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
# A link on which nothing arrives for this long is replaced, because a connection
# may drop data without an error.
SILENCE_TIMEOUT_MS: Final = 2000

_MAX_PENDING_REPLIES: Final = 64


class Peers:
    """Sends messages from a replica to the others.

    Requests use links that this replica dials. Replies use the link on which
    the request arrived, because a replica that isn't a member yet knows no
    addresses.
    """

    def __init__(
        self,
        *,
        group: str,
        handler: link.Handler,
        on_lost: Callable[[str], None],
        time: clock.Clock,
    ) -> None:
        """Creates an object without links; they are opened when first used.

        Args:
            group: Name of the group.
            handler: Handles the messages that arrive on dialled links.
            on_lost: Called with the ID of a replica when messages to it may have
                been lost.
            time: Source of time.
        """
        self._group = group
        self._handler = handler
        self._on_lost = on_lost
        self._clock = time
        self._peers: dict[str, Peer] = {}
        self._reply_links: dict[str, link.Link] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_sender(
        self, message: messages.Message, source: link.Link
    ) -> None:
        """Records the link for replies to the sender of a request."""
        match message:
            case messages.VoteRequest():
                self._reply_links[message.candidate] = source
            case messages.AppendRequest() | messages.SnapshotRequest():
                self._reply_links[message.leader] = source

    def post(
        self, envelope: core_state.Envelope, members: membership.Members
    ) -> None:
        """Sends a message.

        Args:
            envelope: The message and its destination.
            members: Members in force, with their addresses.
        """
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

    def close_removed(self, members: membership.Members) -> None:
        """Closes the links to replicas that are no longer members."""
        for replica_id in list(self._peers):
            if members.find(replica_id) is None:
                self._spawn(self._peers.pop(replica_id).close())

    async def wait_sent(self) -> None:
        """Waits until all queued requests are sent or dropped."""
        await asyncio.gather(*(p.wait_sent() for p in self._peers.values()))

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
        reply_link = self._reply_links.get(envelope.to)
        if reply_link is None or reply_link.closed.is_set():
            self._reply_links.pop(envelope.to, None)
        elif len(self._tasks) < _MAX_PENDING_REPLIES:
            self._spawn(_push(reply_link, envelope.message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _push(reply_link: link.Link, message: messages.Message) -> None:
    try:
        async with asyncio.timeout(clock.seconds(SILENCE_TIMEOUT_MS)):
            await reply_link.push(message)
    except (errors.RouterError, TimeoutError):
        # The leader detects a lost reply and retransmits.
        return


class Peer:
    """Sends messages to one replica, in order.

    Attributes:
        id: ID of the replica.
        address: Address at which the replica is dialled.
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
        self._last_received_ms = 0
        self._reported_replaced = False
        self._queue: asyncio.Queue[messages.Message] = asyncio.Queue(
            QUEUE_LIMIT
        )
        self._closing: set[asyncio.Task[None]] = set()
        self._task = supervision.start(self._run)

    def send(self, message: messages.Message) -> None:
        """Queues a message; drops it and the whole queue if the queue is full."""
        if self._queue.full():
            self._drop_queued()
            return
        self._queue.put_nowait(message)

    async def wait_sent(self) -> None:
        """Waits until all queued messages are sent or dropped."""
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
                self._discard_link()
                self._drop_queued()
                await asyncio.sleep(clock.seconds(RECONNECT_PAUSE_MS))
                # Also drops what was queued during the pause; the protocol
                # retransmits it.
                self._drop_queued()
            finally:
                self._queue.task_done()

    async def _send(self, message: messages.Message) -> None:
        current = self._link
        if current is None or current.closed.is_set():
            current = self._link = await self._open()
        elif self._clock.now() - self._last_received_ms > SILENCE_TIMEOUT_MS:
            raise errors.LinkClosedError(
                text=f"no message received for {SILENCE_TIMEOUT_MS} ms",
                step="replicate",
                peer=self.address,
            )
        async with asyncio.timeout(clock.seconds(SILENCE_TIMEOUT_MS)):
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
            self._verify_identity(identity)
        except errors.RouterError:
            self._close_later(opened)
            raise
        self._last_received_ms = self._clock.now()
        return opened

    def _verify_identity(self, identity: messages.Message) -> None:
        if not isinstance(identity, messages.Identity):
            raise errors.ProtocolError(
                text="the peer did not reply with an identity",
                step="open link",
                peer=self.address,
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
            text=f"expected replica {self.id}, found {identity.replica}",
            step="open link",
            peer=self.address,
        )

    async def _receive(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        self._last_received_ms = self._clock.now()
        return await self._handler(message, source)

    def _discard_link(self) -> None:
        if self._link is not None:
            self._close_later(self._link)
            self._link = None

    def _close_later(self, discarded: link.Link) -> None:
        task = asyncio.create_task(discarded.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _drop_queued(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()
            self._queue.task_done()
        self._on_lost(self.id)
