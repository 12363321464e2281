"""Manages the links of an entry to agents.

A link is opened on demand by the first request and kept open. A link on which
requests wait without receiving an answer is checked by a probe. If the probe
isn't answered, the link is closed, which fails its waiting requests before
their deadline. After a failure, the agent is avoided with exponential backoff
and jitter.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.requests import route_table
from bamboorouter.protocol import messages
from bamboorouter.transport import link

OPEN_TIMEOUT_MS: Final = 1_000
CHECK_PERIOD_MS: Final = 250
# A link on which requests wait is probed after this time without an answer.
SILENCE_MS: Final = 500
PROBE_TIMEOUT_MS: Final = 500
# Time in which this process reads data that has already arrived.
READ_GRACE_MS: Final = 50
INITIAL_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 5_000


class AgentUnavailableError(errors.LinkClosedError):
    """There is no open link to the agent; nothing was sent."""


@dataclasses.dataclass(kw_only=True, eq=False)
class _Peer:
    """State of the link to one agent.

    Attributes:
        open: The open link; None while closed.
        opening: Task that opens the link, shared by all requests that wait
            for it; None if no attempt is in progress.
        backoff_ms: Length in ms of the last backoff; 0 after a success.
        retry_at_ms: Monotonic time in ms before which no link is opened.
        waiting: Number of requests that wait for an answer.
        last_answer_ms: Monotonic time in ms of the last answer or probe, or at
            which the first waiting request was sent.
    """

    open: link.Link | None = None
    opening: asyncio.Task[None] | None = None
    backoff_ms: int = 0
    retry_at_ms: int = 0
    waiting: int = 0
    last_answer_ms: int = 0


class AgentLinks:
    """Keeps one link to each agent.

    Attributes:
        name: Name of the entry, sent in AgentHello.
        zone: Availability zone of the entry.
        table: Route table; updated when upstreams leave or an agent is
            unreachable.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        table: route_table.RouteTable,
        time: clock.Clock,
    ) -> None:
        self.name = name
        self.zone = zone
        self.table = table
        self.clock = time
        self._peers: dict[str, _Peer] = {}
        self._checker: asyncio.Task[None] | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts the periodic check of silent links."""
        self._checker = supervision.start(self._check_links)

    async def close(self) -> None:
        """Closes all links."""
        if self._checker is not None:
            self._checker.cancel()
        for task in self._background_tasks:
            task.cancel()
        opened = [peer.open for peer in self._peers.values() if peer.open]
        await asyncio.gather(*(current.close() for current in opened))

    async def ensure_open(self, address: str, *, timeout_ms: int) -> None:
        """Waits until a link to an agent is open.

        Args:
            address: Address of the agent.
            timeout_ms: Maximum wait in ms.

        Raises:
            AgentUnavailableError: The agent can't be reached or is avoided.
        """
        peer = self._peers.setdefault(address, _Peer())
        if peer.open is not None and not peer.open.closed.is_set():
            return
        if self.clock.now() < peer.retry_at_ms:
            raise AgentUnavailableError(
                text="agent is avoided after a failure",
                step="open link",
                peer=address,
            )
        if peer.opening is None:
            peer.opening = asyncio.create_task(self._open(address, peer))
        await asyncio.wait(
            [peer.opening], timeout=clock.seconds(max(timeout_ms, 0))
        )
        if peer.open is None or peer.open.closed.is_set():
            raise AgentUnavailableError(
                text="agent can't be reached", step="open link", peer=address
            )

    async def request(
        self, address: str, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a request on the open link to an agent.

        Args:
            address: Address of the agent.
            message: The request.
            timeout_ms: Maximum wait for the answer in ms.

        Returns:
            The answer of the agent.

        Raises:
            AgentUnavailableError: The link closed before the request was sent.
            LinkClosedError: The link closed; the agent may have processed the
                request.
            RequestTimeoutError: No answer in time; the agent may have processed
                the request.
        """
        peer = self._peers.get(address)
        current = peer.open if peer is not None else None
        if peer is None or current is None or current.closed.is_set():
            raise AgentUnavailableError(
                text="link closed", step="dispatch", peer=address
            )
        if peer.waiting == 0:
            peer.last_answer_ms = self.clock.now()
        peer.waiting += 1
        try:
            reply = await current.request(message, timeout_ms=timeout_ms)
            peer.last_answer_ms = self.clock.now()
            return reply
        finally:
            peer.waiting -= 1

    async def _open(self, address: str, peer: _Peer) -> None:
        try:
            opened = await link.open_link(
                address=address,
                handler=self._handle,
                timeout_ms=OPEN_TIMEOUT_MS,
            )
            await self._exchange_hello(opened)
        except errors.RouterError:
            self._back_off(address, peer)
            return
        finally:
            peer.opening = None
        peer.open = opened
        peer.backoff_ms = 0
        events.log(events.AGENT_REACHED, peer=address)

    async def _exchange_hello(self, opened: link.Link) -> None:
        hello = messages.AgentHello(entry=self.name, zone=self.zone)
        try:
            welcome = await opened.request(hello, timeout_ms=OPEN_TIMEOUT_MS)
        except errors.RouterError:
            await opened.close()
            raise
        if isinstance(welcome, messages.AgentWelcome):
            self.table.mark_leaving(opened.peer, welcome.leaving)

    def _back_off(self, address: str, peer: _Peer) -> None:
        peer.backoff_ms = min(
            max(peer.backoff_ms * 2, INITIAL_BACKOFF_MS), MAX_BACKOFF_MS
        )
        backoff = int(peer.backoff_ms * (0.5 + random.random() / 2))
        peer.retry_at_ms = self.clock.now() + backoff
        agent = self.table.agent_load(address)
        if agent is not None:
            agent.unreachable_until_ms = peer.retry_at_ms

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        if isinstance(message, messages.Leaving):
            self.table.mark_leaving(source.peer, message.upstreams)
        return None

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(CHECK_PERIOD_MS))
            now = self.clock.now()
            for address, peer in list(self._peers.items()):
                if peer.waiting and now - peer.last_answer_ms > SILENCE_MS:
                    peer.last_answer_ms = now
                    self._spawn(self._probe(address, peer))
                elif not peer.waiting and not self.table.agent_load(address):
                    self._remove_peer(address, peer)

    def _remove_peer(self, address: str, peer: _Peer) -> None:
        """Closes the link to an agent without routes."""
        if peer.opening is None:
            del self._peers[address]
            if peer.open is not None:
                self._spawn(peer.open.close())

    async def _probe(self, address: str, peer: _Peer) -> None:
        """Closes a link if its agent doesn't answer an AgentHello."""
        current = peer.open
        if current is None or current.closed.is_set():
            return
        hello = messages.AgentHello(entry=self.name, zone=self.zone)
        received = current.frames_received
        try:
            await current.request(hello, timeout_ms=PROBE_TIMEOUT_MS)
        except errors.RouterError as err:
            # If this process was suspended, an answer may have arrived but not
            # been read yet.
            await asyncio.sleep(clock.seconds(READ_GRACE_MS))
            if (
                current.frames_received > received
                and not current.closed.is_set()
            ):
                return
            events.log(events.AGENT_AVOIDED, peer=address, error=str(err))
            if peer.open is current:
                peer.open = None
            self._back_off(address, peer)
            await current.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
