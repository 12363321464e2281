"""The agent role: one process on each upstream VM.

It reports to the leader by heartbeats, one in flight at a time, each with all
tasks and upstreams of the VM, and carries out the answers. The tasks are kept
by `agent_tasks`, callers' requests by `agent_requests`, and announcements of
upstreams by `agent_local`.
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

# A heartbeat carries the state at its sending, so it is replaced by a newer one
# rather than repeated for long.
HEARTBEAT_TIMEOUT_MS: Final = 1000
# Changes are reported at once, but not more often than this.
MIN_PERIOD_MS: Final = 50
CONTACT_MS: Final = 5000
INCARNATION_BITS: Final = 53


class AgentRole:
    """Runs the agent role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [agent] of the settings.
        addresses: Bound addresses by name.
        incarnation: Random number of this run.
        applied_revision: Highest configuration revision seen.
        leaving: Whether a graceful stop began.
        tasks: The task side.
        requests: The request side.
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
        self._told = asyncio.Event()
        self._drained: frozenset[str] = frozenset()
        self._worker_drained = False
        self._wake = asyncio.Event()
        self._heart: asyncio.Task[None] | None = None
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
            on_change=self._changed,
        )
        host, _, port = settings.local.rpartition(":")
        self._local = agent_local.AgentLocal(
            host=host,
            port=int(port),
            time=self._clock,
            in_progress=self.requests.in_progress,
            on_change=self._changed,
        )

    async def start(self) -> None:
        """Binds all addresses and starts work."""
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
            self.tasks.worker_answered.set()
        self._heart = supervision.start(self._beat)

    async def stop(self) -> None:
        """Stops gracefully: requests are finished, tasks go on.

        Heartbeats report the upstreams as leaving and go on until the last
        request is answered. The worker holds the tasks for the rest of their
        leases or until the next run of the agent.
        """
        self.leaving = True
        self._changed()
        await self._report_leaving()
        await self.requests.drain()
        if self._heart is not None:
            self._heart.cancel()
            await asyncio.gather(self._heart, return_exceptions=True)
        await self.tasks.close()
        await self._local.close()
        await self.requests.stop()
        if self._server is not None:
            await self._server.close()
        await self._client.close()

    def ready(self) -> bool:
        """Whether the worker has answered and a leader was heard lately."""
        age = self._client.contact_age_ms()
        return (
            self.tasks.worker_answered.is_set()
            and age is not None
            and age < CONTACT_MS
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

    def _changed(self) -> None:
        """Passes upstreams on to the request side and reports soon."""
        upstreams = self._upstreams()
        self.requests.set_upstreams(upstreams)
        self.requests.set_leaving(
            {upstream.id for upstream in upstreams if upstream.leaving}
        )
        self._wake.set()

    def _upstreams(self) -> list[common.Upstream]:
        in_progress = self.requests.in_progress()
        latency_ms = self.requests.latency_ms()
        answered = self.requests.answered()
        all_leave = self.leaving or self._worker_drained
        return [
            msgspec.structs.replace(
                upstream,
                leaving=all_leave
                or upstream.leaving
                or upstream.id in self._drained,
                in_progress=in_progress.get(upstream.id, 0),
                latency_ms=latency_ms.get(upstream.id, 0.0),
                answered=answered.get(upstream.id, 0),
            )
            for upstream in (*self.tasks.upstreams(), *self._local.upstreams())
        ]

    async def _beat(self) -> None:
        await self.tasks.worker_answered.wait()
        while True:
            self._wake.clear()
            leader_ms = await self._exchange()
            await asyncio.sleep(clock.seconds(MIN_PERIOD_MS))
            left = heartbeat_phase.wait_ms(
                period_ms=self.settings.heartbeat_ms,
                leader_ms=leader_ms,
                elapsed_ms=MIN_PERIOD_MS,
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock.seconds(left)):
                    await self._wake.wait()

    async def _exchange(self) -> int:
        """Sends one heartbeat and carries out the answer.

        Returns:
            The leader's monotonic time in ms when it answered; the agent's
            own time without an answer.
        """
        self.tasks.check_leases()
        heartbeat = self._heartbeat()
        try:
            reply = await self._client.call(
                heartbeat, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
        except errors.RequestTimeoutError as err:
            events.log(events.LEADER_UNREACHABLE, error=str(err))
            return self._clock.now()
        sent = self._client.last_contact_ms
        if isinstance(reply, messages.HeartbeatReply) and sent is not None:
            if heartbeat.leaving:
                self._told.set()
            self._apply(reply, sent)
            return reply.leader_ms
        return self._clock.now()

    def _heartbeat(self) -> messages.Heartbeat:
        self._sequence += 1
        capacity = self.tasks.ledger.capacity
        return messages.Heartbeat(
            agent=self.process.name,
            worker=self.process.name,
            incarnation=self.incarnation,
            sequence=self._sequence,
            address=self._advertised(),
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

    def _apply(self, reply: messages.HeartbeatReply, sent: int) -> None:
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
            self._changed()

    async def _report_leaving(self) -> None:
        """Waits a moment until a heartbeat that says so was answered."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(HEARTBEAT_TIMEOUT_MS)):
                await self._told.wait()

    def _advertised(self) -> str:
        return self.settings.advertise or self.addresses["agent.listen"]

    def _local_host(self) -> str:
        return self.settings.local.rpartition(":")[0]
