"""The entry role: composes the parts between callers, agents and leader.

The entry polls the leader for services and routes and takes its pushes. It is
ready once a leader has answered, because only then does it know everything
that was accepted before it started.
"""

import asyncio
import contextlib
import secrets
from typing import Final

from aiohttp import web

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import options
from bamboorouter import supervision
from bamboorouter.coordination.policies import entry_bundle
from bamboorouter.coordination.requests import admission_queue
from bamboorouter.coordination.requests import agent_links
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.requests import request_dispatch
from bamboorouter.coordination.requests import request_records
from bamboorouter.coordination.requests import reservations
from bamboorouter.coordination.requests import retry_budget
from bamboorouter.coordination.requests import route_table
from bamboorouter.protocol import messages
from bamboorouter.roles import entry_http
from bamboorouter.roles import operator_api
from bamboorouter.transport import link

POLL_PERIOD_MS: Final = 500
POLL_TIMEOUT_MS: Final = 2_000
FLUSH_TIMEOUT_MS: Final = 3_000


class EntryRole:
    """Runs the entry role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [entry] of the settings.
        addresses: Bound addresses by name.
        clock: Source of time.
        table: Services and routes in force here.
        client: Calls to the leader.
        policies: Policies of admission, fairness and routing.
        server: Server for callers.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.EntryOptions,
    ) -> None:
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.clock = clock.SystemClock()
        self.incarnation = secrets.randbits(48)
        self.table = route_table.RouteTable(time=self.clock)
        self.client = control_client.ControlClient(
            addresses=process.control, time=self.clock, handler=self._on_push
        )
        self.links = agent_links.AgentLinks(
            name=process.name,
            zone=process.zone,
            table=self.table,
            time=self.clock,
        )
        self.policies = entry_bundle.by_name(
            settings.policies, zone=process.zone
        )
        self.admission = admission_queue.AdmissionQueue(
            queue_limit=settings.queue_limit,
            limit=self._limit,
            time=self.clock,
            fairness_policy=self.policies.fairness,
            admission_policy=self.policies.admission,
        )
        self.reservations = reservations.Reservations(
            entry=process.name, leader=self.client, time=self.clock
        )
        self.recorder = request_records.RequestRecorder(
            entry=process.name,
            incarnation=self.incarnation,
            leader=self.client,
            time=self.clock,
        )
        self.server = entry_http.CallerServer(
            settings=settings,
            incarnation=self.incarnation,
            table=self.table,
            dispatcher=self._dispatcher(),
            recorder=self.recorder,
            time=self.clock,
        )
        self._poller: asyncio.Task[None] | None = None
        self._operators: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds all addresses and starts work."""
        host, port = options.split_address(self.settings.listen)
        bound = await self.server.start(host, port)
        self.addresses["entry.listen"] = f"{host}:{bound}"
        await self._serve_operators()
        self.links.start()
        self.recorder.start()
        self._poller = supervision.start(self._poll_periodically)

    async def stop(self) -> None:
        """Stops gracefully: finishes what is in progress, takes no more.

        The leader is polled until the last request is answered, because its
        routes stay in use that long.
        """
        await self.server.stop()
        await self.reservations.stop(timeout_ms=FLUSH_TIMEOUT_MS)
        await self.recorder.stop(timeout_ms=FLUSH_TIMEOUT_MS)
        if self._operators is not None:
            await self._operators.cleanup()
        if self._poller is not None:
            self._poller.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._poller
        await self.links.close()
        await self.client.close()

    def ready(self) -> bool:
        """Whether the role can do its work now."""
        return self.table.confirmed and not self.server.stopping

    def _dispatcher(self) -> request_dispatch.RequestDispatcher:
        return request_dispatch.RequestDispatcher(
            table=self.table,
            links=self.links,
            admission=self.admission,
            reservations=self.reservations,
            budget=retry_budget.RetryBudget(
                fraction=self.settings.retry_budget
            ),
            routing_policy=self.policies.routing,
            concurrency_policy=self.policies.concurrency,
            leader_contact=self.client,
            time=self.clock,
        )

    def _limit(self, service: str) -> int:
        most = min(
            self.table.connections(service), self.settings.max_in_progress
        )
        if not service:
            return most
        learned = self.policies.concurrency.limit(
            service, upstreams=len(self.table.upstream_loads(service))
        )
        return most if learned is None else min(most, learned)

    async def _serve_operators(self) -> None:
        """Serves the operators' interface."""
        self._operators = web.AppRunner(
            operator_api.make_application(client=self.client),
            access_log=None,
        )
        await self._operators.setup()
        host, port = options.split_address(self.settings.operator)
        site = web.TCPSite(self._operators, host, port)
        await site.start()
        bound = self._operators.addresses[0][1]
        self.addresses["entry.operator"] = f"{host}:{bound}"

    async def _poll_periodically(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(clock.seconds(POLL_PERIOD_MS))

    async def _poll(self) -> None:
        poll = messages.EntryPoll(
            entry=self.process.name,
            incarnation=self.incarnation,
            revision=self.table.revision if self.table.confirmed else 0,
            route_epoch=self.table.route_epoch,
            route_version=self.table.route_version,
        )
        try:
            reply = await self.client.call(poll, timeout_ms=POLL_TIMEOUT_MS)
        except errors.RequestTimeoutError as err:
            events.log(events.LEADER_SILENT, error=str(err))
            return
        if isinstance(reply, messages.EntryUpdate):
            self._apply(reply)

    async def _on_push(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        if isinstance(message, messages.EntryUpdate) and self.table.confirmed:
            self._apply(message)
        return None

    def _apply(self, update: messages.EntryUpdate) -> None:
        first = not self.table.confirmed
        if not self.table.apply(update):
            return
        if update.services is not None:
            self.admission.update_rows(self.table.services)
        else:
            self.admission.start_waiting()
        if first:
            events.log(events.ENTRY_READY, revision=self.table.revision)
