"""Guards against runs that one process of an agent gives up for another."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import cast
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import agent_session
from tests import fake_worker
from tests import job_builders as make
from tests import replica_site

LONGEST_LEASE_MS = 10_000
STEP_MS = 2000
GRANT_MS = 600_000


class TwoAgentProcessesTest(unittest.IsolatedAsyncioTestCase):
    """A second process takes over the worker, and renews its lease."""

    async def asyncSetUp(self) -> None:
        self.time = clock.ManualClock(monotonic_ms=100_000)
        self.worker = fake_worker.FakeWorker()
        # The worker measures leases on its clock.
        self.worker.time = self.time
        self.leader = self.new_leader()
        self.first = await self.start_process(self.leader)
        await self.until(lambda: self.leader.reports[-1].reachable)
        await self.first.handle_message(
            fake_worker.start_orders(make.ref()),
            mock.Mock(closed=asyncio.Event()),
        )
        await self.until(lambda: self.reported_running(self.leader))

    def new_leader(self, sessions: int = 0) -> fake_worker.FakeLeaderClient:
        leader = fake_worker.FakeLeaderClient()
        leader.lease_ms = GRANT_MS
        leader.session_requests = sessions
        return leader

    async def start_process(
        self, leader: fake_worker.FakeLeaderClient
    ) -> agent_session.AgentSession:
        process = agent_session.AgentSession(
            worker="agent-1",
            client=cast(control_client.ControlClient, leader),
            ports=self.worker,
            time=self.time,
        )
        process.start()
        self.addAsyncCleanup(process.stop)
        process.announce(fake_worker.announcement())
        await self.until(lambda: leader.reports)
        return process

    async def until(self, condition: Callable[[], Any]) -> None:
        await replica_site.wait_until(condition, timeout_s=fake_worker.WAIT_S)

    def reported_running(self, leader: fake_worker.FakeLeaderClient) -> bool:
        return any(run.running for run in leader.reports[-1].runs)

    async def take_over(
        self,
    ) -> tuple[agent_session.AgentSession, fake_worker.FakeLeaderClient]:
        """Lets a second process renew the lease for longer than the longest."""
        leader = self.new_leader(self.leader.session_requests)
        second = await self.start_process(leader)
        await self.until(lambda: self.reported_running(leader))
        for _ in range(2 * LONGEST_LEASE_MS // STEP_MS):
            self.time.advance(STEP_MS)
            await self.until(
                lambda: self.worker.lease_end_ms >= self.time.now() + STEP_MS
            )
        return second, leader

    async def test_process_that_is_fenced_off_gives_up_no_runs(self) -> None:
        """A worker that rejects a poll is not silent."""
        await self.take_over()
        polls = len(self.worker.cursors)
        await self.until(lambda: len(self.worker.cursors) > polls + 50)
        self.assertEqual(self.first.held.ends, [])
        self.assertEqual(self.leader.ends, [])

    async def test_next_session_counts_the_lease_of_the_other_process(
        self,
    ) -> None:
        """The first process was paused, not replaced."""
        earlier = self.first.session
        second, leader = await self.take_over()
        await second.stop()
        # A paused process draws no conclusions.
        self.first.held.ends.clear()
        self.leader.ends.clear()
        # The leader hasn't answered a report of the next session yet.
        self.leader.lease_ms = 0
        self.leader.session_requests = leader.session_requests
        self.leader.knows_session = False
        self.first._report_due.set()
        await self.until(
            lambda: self.first.session is not None
            and self.first.session is not earlier
            and self.first.session.answered_ms
        )
        self.worker.silent = True
        polls = len(self.worker.cursors)
        await self.until(lambda: len(self.worker.cursors) > polls + 3)
        self.assertGreater(self.worker.lease_end_ms, self.time.now())
        self.assertEqual(self.first.held.ends, [])
        self.assertEqual(self.leader.ends, [])
