"""The agent role: one process on each upstream VM.

The agent sends heartbeats to the leader, one in flight at a time. Each contains
all tasks and upstreams of the VM, and the reply contains the leader's orders.
`agent_tasks` manages the tasks, `agent_requests` runs callers' requests, and
`agent_local` accepts announcements of upstreams on the same VM.
"""

import asyncio
import contextlib
import random
from typing import Final

import msgspec

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter import supervision
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.requests import heartbeat_phase
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.roles import agent_local
from bamboorouter.roles import agent_requests
from bamboorouter.roles import agent_tasks
from bamboorouter.roles import worker_client
from bamboorouter.transport import link

# Short, because a heartbeat describes the state at the time of sending: a newer
# one is of more use than a retry.
HEARTBEAT_TIMEOUT_MS: Final = 1000
# Lower bound on the time between heartbeats that report changes early.
MIN_HEARTBEAT_PERIOD_MS: Final = 50
# The agent isn't ready if its last contact with a leader is this long ago.
MAX_LEADER_SILENCE_MS: Final = 5000
INCARNATION_BITS: Final = 53


class AgentRole:
    """Runs the agent role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [agent] of the settings.
        addresses: Bound addresses by name.
        incarnation: Random number that identifies this run of the process.
        applied_revision: Highest configuration revision received.
        leaving: Whether a graceful stop began.
        tasks: Tasks of the VM and their leases.
        requests: Callers' requests on the VM's upstreams.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.AgentOptions,
        worker: worker_client.Worker | None = None,
    ) -> None:
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}
        self.incarnation = random.getrandbits(INCARNATION_BITS)
        self.applied_revision = 0
        self.leaving = False
        self._clock = clock.SystemClock()
        self._sequence = 0
        self._leaving_reported = asyncio.Event()
        self._drained: frozenset[str] = frozenset()
        self._worker_drained = False
        self._heartbeat_due = asyncio.Event()
        self._heartbeat_loop: asyncio.Task[None] | None = None
        self._server: link.LinkServer | None = None
        self._client = control_client.ControlClient(
            addresses=process.control, time=self._clock
        )
        self.requests = agent_requests.AgentRequests(
            settings=settings,
            time=self._clock,
            contact_age_ms=self._client.contact_age_ms,
        )
        self.tasks = agent_tasks.AgentTasks(
            settings=settings,
            time=self._clock,
            worker=worker
            or worker_client.HttpWorker(url=settings.worker, time=self._clock),
            in_progress=self.requests.in_progress,
            on_change=self._on_change,
        )
        host, _, port = settings.local.rpartition(":")
        self._local = agent_local.AgentLocal(
            host=host,
            port=int(port),
            time=self._clock,
            in_progress=self.requests.in_progress,
            on_change=self._on_change,
        )

    async def start(self) -> None:
        """Binds all addresses and starts the background loops."""
        await self.requests.start()
        host, _, port = self.settings.listen.rpartition(":")
        self._server = await link.serve_links(
            host=host, port=int(port), handler=self._handle
        )
        await self._local.start()
        self.addresses = {
            "agent.listen": f"{host}:{self._server.port}",
            "agent.local": f"{self._local_host()}:{self._local.port}",
        }
        if self.settings.worker:
            await self.tasks.start()
        else:
            # Without a worker there is no answer that heartbeats and `ready`
            # would have to wait for.
            self.tasks.worker_answered.set()
        self._heartbeat_loop = supervision.start(self._send_heartbeats)

    async def stop(self) -> None:
        """Stops gracefully: requests complete and tasks keep running.

        Heartbeats report the upstreams as leaving and continue until the last
        request is answered. The worker stops the tasks when their leases end,
        unless the agent is restarted before that and renews the leases.
        """
        self.leaving = True
        self._on_change()
        await self._wait_leaving_reported()
        await self.requests.drain()
        if self._heartbeat_loop is not None:
            self._heartbeat_loop.cancel()
            await asyncio.gather(self._heartbeat_loop, return_exceptions=True)
        await self.tasks.close()
        await self._local.close()
        await self.requests.stop()
        if self._server is not None:
            await self._server.close()
        await self._client.close()

    def ready(self) -> bool:
        """Whether the agent can serve.

        The worker has answered since the start, a leader replied recently, and
        no graceful stop has begun.
        """
        age = self._client.contact_age_ms()
        return (
            self.tasks.worker_answered.is_set()
            and age is not None
            and age < MAX_LEADER_SILENCE_MS
            and not self.leaving
        )

    async def _handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        self.tasks.check_leases()
        reply: messages.Message | None = await self.requests.handle(
            message, peer
        )
        return reply

    def _on_change(self) -> None:
        """Updates the upstreams of `requests` and triggers a heartbeat."""
        upstreams = self._upstreams()
        self.requests.set_upstreams(upstreams)
        self.requests.set_leaving(
            {upstream.id for upstream in upstreams if upstream.leaving}
        )
        self._heartbeat_due.set()

    def _upstreams(self) -> list[common.Upstream]:
        in_progress = self.requests.in_progress()
        latency_ms = self.requests.latency_ms()
        answered = self.requests.answered()
        all_leaving = self.leaving or self._worker_drained
        return [
            msgspec.structs.replace(
                upstream,
                leaving=all_leaving
                or upstream.leaving
                or upstream.id in self._drained,
                in_progress=in_progress.get(upstream.id, 0),
                latency_ms=latency_ms.get(upstream.id, 0.0),
                answered=answered.get(upstream.id, 0),
            )
            for upstream in (*self.tasks.upstreams(), *self._local.upstreams())
        ]

    async def _send_heartbeats(self) -> None:
        await self.tasks.worker_answered.wait()
        while True:
            self._heartbeat_due.clear()
            leader_ms = await self._exchange_heartbeat()
            await asyncio.sleep(clock.seconds(MIN_HEARTBEAT_PERIOD_MS))
            remaining_ms = heartbeat_phase.wait_ms(
                period_ms=self.settings.heartbeat_ms,
                leader_ms=leader_ms,
                elapsed_ms=MIN_HEARTBEAT_PERIOD_MS,
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock.seconds(remaining_ms)):
                    await self._heartbeat_due.wait()

    async def _exchange_heartbeat(self) -> int:
        """Sends one heartbeat and applies the reply.

        Returns:
            The leader's monotonic time in ms at its reply; without a reply,
            the agent's monotonic time.
        """
        self.tasks.check_leases()
        heartbeat = self._make_heartbeat()
        try:
            reply = await self._client.call(
                heartbeat, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
        except errors.RequestTimeoutError as err:
            events.log(events.LEADER_UNREACHABLE, error=str(err))
            return self._clock.now()
        # `last_contact_ms` is the time at which the answered call was sent.
        sent = self._client.last_contact_ms
        if isinstance(reply, messages.HeartbeatReply) and sent is not None:
            if heartbeat.leaving:
                self._leaving_reported.set()
            self._apply_reply(reply, sent)
            return reply.leader_ms
        return self._clock.now()

    def _make_heartbeat(self) -> messages.Heartbeat:
        self._sequence += 1
        capacity = self.tasks.ledger.capacity
        return messages.Heartbeat(
            agent=self.process.name,
            worker=self.process.name,
            incarnation=self.incarnation,
            sequence=self._sequence,
            address=self._advertised_address(),
            zone=self.process.zone,
            rack=self.process.rack,
            capacity=capacity if self.settings.worker else common.Resources(),
            connections=self.settings.connections,
            tasks=self.tasks.ledger.report(),
            upstreams=tuple(self._upstreams()),
            usage=self.tasks.take_usage(),
            applied_revision=self.applied_revision,
            leaving=self.leaving or self._worker_drained,
        )

    def _apply_reply(self, reply: messages.HeartbeatReply, sent: int) -> None:
        self.tasks.apply(reply, sent=sent)
        self.applied_revision = max(self.applied_revision, reply.revision)
        metrics.APPLIED_REVISION.set(self.applied_revision)
        drained = frozenset(reply.drained)
        if (drained, reply.worker_drained) != (
            self._drained,
            self._worker_drained,
        ):
            self._drained = drained
            self._worker_drained = reply.worker_drained
            self._on_change()

    async def _wait_leaving_reported(self) -> None:
        """Waits until a heartbeat with `leaving` is answered, or a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(HEARTBEAT_TIMEOUT_MS)):
                await self._leaving_reported.wait()

    def _advertised_address(self) -> str:
        return self.settings.advertise or self.addresses["agent.listen"]

    def _local_host(self) -> str:
        return self.settings.local.rpartition(":")[0]
