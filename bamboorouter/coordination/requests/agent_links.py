"""Links of an entry to agents.

A link is opened when the first request needs it and is kept open. While
requests wait on a link that delivers nothing, a probe checks it; an unanswered
probe closes the link, which ends its waiting requests before their deadline.
After a failure the agent is left alone for a growing, randomised time.
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
SILENCE_MS: Final = 500
PROBE_TIMEOUT_MS: Final = 500
# Within this time a running process reads what has arrived.
READ_GRACE_MS: Final = 50
FIRST_PAUSE_MS: Final = 100
LONGEST_PAUSE_MS: Final = 5_000


class NotSentError(errors.LinkClosedError):
    """There is no open link to the agent; nothing was sent."""


@dataclasses.dataclass(kw_only=True, eq=False)
class _Peer:
    """State of the link to one agent.

    Attributes:
        open: The open link; None while closed.
        opening: Shared by all requests that wait for the link.
        pause_ms: Length of the last pause after a failure; 0 after a success.
        retry_at_ms: No new attempt before this time.
        waiting: Requests that wait for an answer.
        heard_ms: Time of the last answer, or of the first waiting request.
    """

    open: link.Link | None = None
    opening: asyncio.Task[None] | None = None
    pause_ms: int = 0
    retry_at_ms: int = 0
    waiting: int = 0
    heard_ms: int = 0


class AgentLinks:
    """Keeps one link to each agent.

    Attributes:
        name: Name of the entry, sent in AgentHello.
        zone: Availability zone of the entry.
        table: Gets the news that upstreams leave and agents are unreachable.
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
        self._probes: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts to check silent links."""
        self._checker = supervision.start(self._check_links)

    async def close(self) -> None:
        """Closes all links."""
        if self._checker is not None:
            self._checker.cancel()
        for task in self._probes:
            task.cancel()
        opened = [peer.open for peer in self._peers.values() if peer.open]
        await asyncio.gather(*(peer.close() for peer in opened))

    async def ensure(self, address: str, *, timeout_ms: int) -> None:
        """Returns once a link to an agent is open.

        Raises:
            NotSentError: The agent can't be reached.
        """
        peer = self._peers.setdefault(address, _Peer())
        if peer.open is not None and not peer.open.closed.is_set():
            return
        if self.clock.now() < peer.retry_at_ms:
            raise NotSentError(
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
            raise NotSentError(
                text="agent can't be reached", step="open link", peer=address
            )

    async def request(
        self, address: str, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a request on the open link to an agent.

        Raises:
            NotSentError: The link closed before anything was sent.
            LinkClosedError: The link closed; the agent may have acted.
            RequestTimeoutError: No answer in time; the agent may have acted.
        """
        peer = self._peers.get(address)
        current = peer.open if peer is not None else None
        if peer is None or current is None or current.closed.is_set():
            raise NotSentError(
                text="link closed", step="dispatch", peer=address
            )
        if peer.waiting == 0:
            peer.heard_ms = self.clock.now()
        peer.waiting += 1
        try:
            reply = await current.request(message, timeout_ms=timeout_ms)
            peer.heard_ms = self.clock.now()
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
            await self._greet(opened)
        except errors.RouterError:
            self._pause(address, peer)
            return
        finally:
            peer.opening = None
        peer.open = opened
        peer.pause_ms = 0
        events.log(events.AGENT_REACHED, peer=address)

    async def _greet(self, opened: link.Link) -> None:
        hello = messages.AgentHello(entry=self.name, zone=self.zone)
        try:
            welcome = await opened.request(hello, timeout_ms=OPEN_TIMEOUT_MS)
        except errors.RouterError:
            await opened.close()
            raise
        if isinstance(welcome, messages.AgentWelcome):
            self.table.mark_leaving(opened.peer, welcome.leaving)

    def _pause(self, address: str, peer: _Peer) -> None:
        peer.pause_ms = min(
            max(peer.pause_ms * 2, FIRST_PAUSE_MS), LONGEST_PAUSE_MS
        )
        pause = int(peer.pause_ms * (0.5 + random.random() / 2))
        peer.retry_at_ms = self.clock.now() + pause
        agent = self.table.agent_load(address)
        if agent is not None:
            agent.unreachable_until_ms = peer.retry_at_ms

    async def _handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        if isinstance(message, messages.Leaving):
            self.table.mark_leaving(peer.peer, message.upstreams)
        return None

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(CHECK_PERIOD_MS))
            now = self.clock.now()
            for address, peer in list(self._peers.items()):
                if peer.waiting and now - peer.heard_ms > SILENCE_MS:
                    peer.heard_ms = now
                    self._spawn(self._probe(address, peer))
                elif not peer.waiting and not self.table.agent_load(address):
                    self._forget(address, peer)

    def _forget(self, address: str, peer: _Peer) -> None:
        """Closes the link to an agent that no route names any more."""
        if peer.opening is None:
            del self._peers[address]
            if peer.open is not None:
                self._spawn(peer.open.close())

    async def _probe(self, address: str, peer: _Peer) -> None:
        """Closes a link whose agent doesn't answer a greeting."""
        current = peer.open
        if current is None or current.closed.is_set():
            return
        hello = messages.AgentHello(entry=self.name, zone=self.zone)
        received = current.received
        try:
            await current.request(hello, timeout_ms=PROBE_TIMEOUT_MS)
        except errors.RouterError as err:
            # If this process stood still, what has arrived is read only now.
            await asyncio.sleep(clock.seconds(READ_GRACE_MS))
            if current.received > received and not current.closed.is_set():
                return
            events.log(events.AGENT_AVOIDED, peer=address, error=str(err))
            if peer.open is current:
                peer.open = None
            self._pause(address, peer)
            await current.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)
