"""The entry role: routes callers' requests to the agents of upstreams.

The entry gets services and routes from the leader, by polling and by pushed
updates. It becomes ready with the first reply of a leader, which covers
everything that was accepted before the entry started.
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
from bamboorouter.transport import arrivals
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
        incarnation: Random number that identifies this run of the process.
        table: Services and routes that this entry applies.
        client: Client for calls to the leader.
        links: Links to the agents.
        policies: Policies for admission, fairness, routing and concurrency.
        admission: Queue of requests that wait for admission.
        reservations: Reservations of idempotency keys at the leader.
        recorder: Sends records of requests to the leader for the account.
        arrivals: Arrival times of requests of callers and operators.
        server: HTTP server for callers.
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
            limit=self._concurrency_limit,
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
        self.arrivals = arrivals.ArrivalTimes(time=self.clock)
        self.server = entry_http.CallerServer(
            settings=settings,
            incarnation=self.incarnation,
            table=self.table,
            dispatcher=self._make_dispatcher(),
            recorder=self.recorder,
            time=self.clock,
            arrival_times=self.arrivals,
        )
        self._poll_task: asyncio.Task[None] | None = None
        self._operator_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds all addresses and starts the background work."""
        self.arrivals.start()
        host, port = options.split_address(self.settings.listen)
        bound = await self.server.start(host, port)
        self.addresses["entry.listen"] = f"{host}:{bound}"
        await self._serve_operators()
        self.links.start()
        self.recorder.start()
        self._poll_task = supervision.start(self._poll_loop)

    async def stop(self) -> None:
        """Stops gracefully: completes open requests and accepts no new ones.

        Polling continues until the last request is answered, because requests
        in progress still need current routes.
        """
        await self.server.stop()
        await self.reservations.stop(timeout_ms=FLUSH_TIMEOUT_MS)
        await self.recorder.stop(timeout_ms=FLUSH_TIMEOUT_MS)
        if self._operator_runner is not None:
            await self._operator_runner.cleanup()
        if self._poll_task is not None:
            self._poll_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._poll_task
        self.arrivals.stop()
        await self.links.close()
        await self.client.close()

    def ready(self) -> bool:
        """Whether the entry has routes from a leader and isn't stopping."""
        return self.table.confirmed and not self.server.stopping

    def _make_dispatcher(self) -> request_dispatch.RequestDispatcher:
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

    def _concurrency_limit(self, service: str) -> int:
        """Returns the limit of concurrent requests of a service.

        Args:
            service: Name of the service; empty for all services together.
        """
        static_limit = min(
            self.table.connections(service), self.settings.max_in_progress
        )
        if not service:
            return static_limit
        adaptive_limit = self.policies.concurrency.limit(
            service, upstreams=len(self.table.upstream_loads(service))
        )
        return (
            static_limit
            if adaptive_limit is None
            else min(static_limit, adaptive_limit)
        )

    async def _serve_operators(self) -> None:
        """Starts the HTTP server for operators."""
        self._operator_runner = web.AppRunner(
            operator_api.make_application(
                client=self.client, arrival_times=self.arrivals
            ),
            access_log=None,
        )
        await self._operator_runner.setup()
        host, port = options.split_address(self.settings.operator)
        site = web.TCPSite(self._operator_runner, host, port)
        await site.start()
        bound = self._operator_runner.addresses[0][1]
        self.addresses["entry.operator"] = f"{host}:{bound}"

    async def _poll_loop(self) -> None:
        while True:
            await self._poll_leader()
            await asyncio.sleep(clock.seconds(POLL_PERIOD_MS))

    async def _poll_leader(self) -> None:
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
            events.log(
                events.LEADER_SILENT,
                error=str(err),
                tried=self.client.tried_addresses(),
                contact_age_ms=self.client.contact_age_ms(),
            )
            return
        if isinstance(reply, messages.EntryUpdate):
            self._apply_update(reply)

    async def _on_push(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        if isinstance(message, messages.EntryUpdate) and self.table.confirmed:
            self._apply_update(message)
        return None

    def _apply_update(self, update: messages.EntryUpdate) -> None:
        first_update = not self.table.confirmed
        if not self.table.apply(update):
            return
        if update.services is not None:
            self.admission.update_rows(self.table.services)
        else:
            self.admission.start_waiting()
        if first_update:
            events.log(events.ENTRY_READY, revision=self.table.revision)
