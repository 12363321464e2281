"""Tests that the launcher kills, stops, restarts and freezes processes.

One agent, worker and entry run as processes; the leader is a fake.
"""

import asyncio
import os
import signal

import aiohttp

from devtools import simulated_tasks
from devtools import site
from devtools import worker
from tests import fake_leader
from tests import site_case

SHAPE = site.small_shape(vms=1, controls=0, entries=1)


class SiteTest(site_case.SiteTestCase):
    """A site with an agent, a worker and an entry."""

    async def asyncSetUp(self) -> None:
        self.leader = fake_leader.FakeLeader()
        self.leader.term_ms = SHAPE.service_lease_ms
        await self.leader.start()
        self.addAsyncCleanup(self.leader.close)
        self.site = await self.start_site(
            SHAPE, external_control=(self.leader.address,)
        )
        self.leader.assign("entries/0", 1, kind="service")
        self.leader.assign("match/0", 2)
        await self.leader.wait_for_state("match/0", "running")

    async def test_killed_agent_finds_its_tasks_again(self) -> None:
        await self.site.wait_ready(["agent-1"])
        await self.site.kill("agent-1")
        self.leader.heartbeats.clear()
        await self.site.restart("agent-1")
        await self.leader.wait_until(lambda: bool(self.leader.heartbeats))
        first = {state.task for state in self.leader.heartbeats[0].tasks}
        self.assertEqual(first, {"entries/0", "match/0"})
        self.assertEqual(len(self.site.runs()), 2)

    async def test_killed_worker_loses_its_tasks(self) -> None:
        await self.site.kill("worker-1")
        await self.site.restart("worker-1")
        lost = await self.leader.wait_for_state("match/0", "stopped")
        self.assertEqual(lost.detail, "lost_by_worker")
        self.assertEqual({r.state for r in self.site.runs()}, {"killed"})

    async def test_stopped_agent_leaves_tasks_to_the_worker(self) -> None:
        await self.site.stop("agent-1")
        self.assertTrue(self.leader.last.leaving)
        upstream = self.leader.upstream("entries")
        assert upstream is not None
        self.assertTrue(upstream.leaving)
        self.assertEqual({r.state for r in self.site.runs()}, {"running"})
        async with (
            aiohttp.ClientSession() as session,
            session.post(upstream.url, data=b"x") as answer,
        ):
            self.assertEqual(await answer.read(), b"x")

    async def test_paused_vm_does_nothing_after_its_lease(self) -> None:
        self.site.freeze_vm(1)
        frozen_ms = worker.now_ms()
        await asyncio.sleep(SHAPE.service_lease_ms / 1000)
        self.site.thaw_vm(1)
        await self.leader.wait_for_state("match/0", "stopped")
        for run in self.site.runs():
            self.assertEqual(run.state, "stopped")
            self.assertLess(run.end_ms, frozen_ms + simulated_tasks.TICK_MS)

    async def test_signal_that_ended_a_paused_worker_is_reported(self) -> None:
        self.site.freeze_vm(1)
        process = self.site.processes["worker-1"].process
        assert process is not None
        os.kill(process.pid, signal.SIGKILL)
        await process.wait()
        with self.assertRaisesRegex(
            site.SiteError, r"worker-1 isn't running \(process \d+ .* SIGKILL"
        ):
            self.site.thaw_vm(1)
