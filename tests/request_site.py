"""Runs a leader, agents, upstreams and an entry for tests of the request path.

The leader is a fake behind real links. The entry, the agents' handling of
requests and the upstreams' HTTP servers are real.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time
from typing import Any
import uuid

import aiohttp
from aiohttp import web

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import options
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.roles import agent_requests
from bamboorouter.roles import entry
from bamboorouter.transport import link

HOST = "127.0.0.1"


def service(name: str, **changes: Any) -> common.SheetRow:
    """Returns a service's row with a deadline of 5 s, changed by `changes`."""
    values: dict[str, Any] = {
        "owner": "guild",
        "urgency": 1,
        "place": 1,
        "millicores": 100,
        "memory_mb": 100,
        "deadline_ms": 5_000,
    } | changes
    return common.SheetRow(kind="service", name=name, **values)


@dataclasses.dataclass(kw_only=True)
class Reservation:
    """A reservation of an idempotency key.

    Attributes:
        fingerprint: Fingerprint of the request.
        attempt: Attempt that holds the key.
        outcome: Recorded outcome of the request; None until it is recorded.
    """

    fingerprint: int
    attempt: str
    outcome: messages.RecordOutcome | None = None


class FakeLeader:
    """Answers the calls of entries in place of the leader.

    Attributes:
        revision: Revision of the services.
        epoch: Epoch of the routes.
        version: Version of the routes.
        services: Current rows of services.
        routes: Current routes; `Site.publish` increments their version.
        calls: All received messages, in order.
        silent: Types of messages that get no answer.
        reservations: Reservations by idempotency key.
        server: Link server; None until it is started.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.epoch = 7
        self.version = 1
        self.services: tuple[common.SheetRow, ...] = ()
        self.routes: tuple[messages.Route, ...] = ()
        self.calls: list[messages.Message] = []
        self.silent: tuple[type, ...] = ()
        self.reservations: dict[str, Reservation] = {}
        self.server: link.LinkServer | None = None

    async def start(self) -> str:
        """Starts the link server and returns its address."""
        self.server = await link.serve_links(
            host=HOST, port=0, handler=self.handle
        )
        return f"{HOST}:{self.server.port}"

    async def handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        """Answers one message."""
        del peer
        self.calls.append(message)
        if isinstance(message, self.silent):
            return None
        if isinstance(message, messages.EntryPoll):
            return self.update(message.revision)
        if isinstance(message, messages.Reserve):
            return self._reserve(message)
        if isinstance(message, messages.RecordOutcome):
            return self._record(message)
        if isinstance(message, messages.RequestRecords):
            return messages.Recorded(sequence=message.sequence)
        return messages.Refusal(
            code="test", text="unsupported by the fake leader"
        )

    def update(self, revision: int) -> messages.EntryUpdate:
        """Returns a full update for an entry.

        Args:
            revision: Revision of the services that the entry already has.
        """
        return messages.EntryUpdate(
            revision=self.revision,
            route_epoch=self.epoch,
            route_version=self.version,
            full=True,
            services=self.services if revision != self.revision else None,
            routes=self.routes,
        )

    def records(self) -> list[messages.RequestRecord]:
        """Returns all received request records, without resent batches."""
        batches = {
            call.sequence: call.records
            for call in self.calls
            if isinstance(call, messages.RequestRecords)
        }
        return [record for batch in batches.values() for record in batch]

    def _reserve(self, call: messages.Reserve) -> messages.ReservationReply:
        reservation = self.reservations.get(call.key)
        released = (
            reservation
            and reservation.outcome
            and reservation.outcome.outcome == "not_run"
        )
        if reservation is None or released:
            self.reservations[call.key] = Reservation(
                fingerprint=call.fingerprint, attempt=call.attempt
            )
            return messages.ReservationReply(state="granted")
        if reservation.fingerprint != call.fingerprint:
            return messages.ReservationReply(
                state="refused", code=error_texts.KEY_REUSED
            )
        if reservation.outcome is not None:
            return _done(reservation.outcome)
        same = reservation.attempt == call.attempt
        return messages.ReservationReply(
            state="granted" if same else "in_progress",
            attempt=reservation.attempt,
        )

    def _record(
        self, call: messages.RecordOutcome
    ) -> messages.ReservationReply:
        reservation = self.reservations.get(call.key)
        if reservation is None:
            return messages.ReservationReply(state="refused", code="no_key")
        if reservation.outcome is None and reservation.attempt == call.attempt:
            reservation.outcome = call
        return _done(reservation.outcome or call)


def _done(outcome: messages.RecordOutcome) -> messages.ReservationReply:
    return messages.ReservationReply(
        state="done",
        outcome=outcome.outcome,
        status=outcome.status,
        headers=outcome.headers,
        body=outcome.body,
        digest=outcome.digest,
        body_kept=outcome.body_kept,
        attempt=outcome.attempt,
    )


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Vm:
    """A VM with an agent's request handling and an aiohttp upstream.

    Attributes:
        name: Name of the VM; the ID of its upstream is "<name>-up".
        service: Service of the upstream.
        handler: Handles the requests that reach the upstream.
        contact_age_ms: Time in ms since the agent's last contact with a leader;
            None if there was none.
        silent: Whether the agent answers no messages, as over a broken link.
        received: Requests that reached the upstream, as "METHOD target".
        settings: Settings of the agent.
        requests: The agent's request handling.
        server: Link server of the agent; None until it is started.
        upstream_url: Base URL of the upstream; if set before the start, no
            aiohttp upstream is started.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        handler: Handler,
        connections: int = 64,
    ) -> None:
        self.name = name
        self.service = service
        self.handler = handler
        self.contact_age_ms: int | None = 0
        self.silent = False
        self.received: list[str] = []
        self.settings = options.AgentOptions(
            advertise=f"{name}:1", connections=connections
        )
        self.requests = agent_requests.AgentRequests(
            settings=self.settings,
            time=clock.SystemClock(),
            contact_age_ms=lambda: self.contact_age_ms,
        )
        self.server: link.LinkServer | None = None
        self.upstream_url = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Starts the upstream and the agent."""
        if not self.upstream_url:
            self._runner = web.ServerRunner(web.Server(self._serve))
            await self._runner.setup()
            await web.TCPSite(self._runner, HOST, 0).start()
            port = self._runner.addresses[0][1]
            self.upstream_url = f"http://{HOST}:{port}"
        await self.requests.start()
        self.requests.set_upstreams([self.upstream()])
        self.server = await link.serve_links(
            host=HOST, port=0, handler=self._handle
        )

    async def stop(self) -> None:
        """Stops the agent and the upstream."""
        if self.server is not None:
            await self.server.close()
        await self.requests.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def upstream(self, *, leaving: bool = False) -> common.Upstream:
        """Returns the upstream as the agent announces it."""
        return common.Upstream(
            id=f"{self.name}-up",
            service=self.service,
            url=self.upstream_url,
            leaving=leaving,
        )

    def route(self, **changes: Any) -> messages.Route:
        """Returns the route to the upstream, changed by `changes`."""
        assert self.server is not None
        values: dict[str, Any] = {
            "agent": f"{HOST}:{self.server.port}",
            "zone": "zone-1",
            "leaving": False,
            "connections": 64,
        } | changes
        return messages.Route(
            upstream=f"{self.name}-up",
            service=self.service,
            worker=self.name,
            rack="rack-1",
            in_progress=0,
            latency_ms=0.0,
            **values,
        )

    async def _handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        if self.silent:
            return None
        return await self.requests.handle(message, peer)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.received.append(f"{request.method} {request.raw_path}")
        return await self.handler(request)


class RawUpstream:
    """A TCP server that answers each connection with fixed bytes.

    Attributes:
        answer: Bytes sent in response to the first bytes of a request, after
            which the connection is closed.
        connections: Number of connections on which data was received.
    """

    def __init__(self, *, answer: bytes) -> None:
        self.answer = answer
        self.connections = 0
        self._server: asyncio.Server

    async def start(self) -> str:
        """Starts the server and returns its base URL."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"http://{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stops the server."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await reader.read(4096):
            self.connections += 1
            writer.write(self.answer)
        writer.close()


class Site:
    """A fake leader, VMs with upstreams, and an entry.

    Attributes:
        leader: The fake leader.
        vms: The VMs.
        settings: Settings of the entry.
        entry: The entry role under test.
        client: HTTP client of the caller.
        url: Base URL of the entry.
    """

    def __init__(
        self,
        *,
        services: Sequence[common.SheetRow],
        vms: Sequence[Vm],
        settings: options.EntryOptions | None = None,
    ) -> None:
        self.leader = FakeLeader()
        self.leader.services = tuple(services)
        self.vms = list(vms)
        self.settings = settings or options.EntryOptions()
        self.entry: entry.EntryRole
        self.client: aiohttp.ClientSession
        self.url = ""

    async def start(self) -> None:
        """Starts all parts and waits until the entry is ready."""
        address = await self.leader.start()
        for vm in self.vms:
            await vm.start()
        self.leader.routes = tuple(vm.route() for vm in self.vms)
        self.entry = entry.EntryRole(
            process=options.ProcessOptions(
                name="entry-1",
                zone="zone-1",
                roles=("entry",),
                control=(address,),
            ),
            settings=self.settings,
        )
        await self.entry.start()
        self.url = f"http://{self.entry.addresses['entry.listen']}"
        self.client = aiohttp.ClientSession(auto_decompress=False)
        await eventually(self.entry.ready)

    async def stop(self) -> None:
        """Stops all parts."""
        await self.client.close()
        await self.entry.stop()
        for vm in self.vms:
            await vm.stop()
        if self.leader.server is not None:
            await self.leader.server.close()

    async def publish(self, *routes: messages.Route) -> None:
        """Publishes routes and waits until the entry has applied them."""
        self.leader.routes = routes
        self.leader.version += 1
        version = self.leader.version
        await eventually(lambda: self.entry.table.route_version == version)


def key(number: int) -> str:
    """Returns a version 7 UUID with the current minute as its timestamp.

    Within a minute, equal numbers give equal keys.
    """
    stamp = int(time.time() * 1000) // 60_000 * 60_000
    value = (stamp << 80) | (7 << 76) | (2 << 62) | number
    return str(uuid.UUID(int=value))


async def eventually(
    condition: Callable[[], object], *, timeout_s: float = 5.0
) -> None:
    """Waits until a condition holds.

    Args:
        condition: The condition, polled every 10 ms.
        timeout_s: Maximum waiting time in seconds.

    Raises:
        TimeoutError: The condition didn't hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
