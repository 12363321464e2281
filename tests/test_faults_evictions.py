"""Tests failures during an eviction on whole sites of processes.

An evicted task must resume exactly once, from the checkpoint that its eviction
saved (P3), and must never run in two places (P2).
"""

import asyncio

from devtools import journal
from tests import site_case
from tests import task_faults_case


class EvictionFaultsTest(task_faults_case.TaskFaultsCase):
    """Failures during an eviction.

    A paused worker or VM delays an eviction between its entry in the replicated
    log and its confirmation.
    """

    async def begin_eviction(self, *, pause_agent: bool) -> int:
        """Drains a VM whose worker is paused; returns the number of the VM."""
        await self.submit("run 8s")
        await self.wait_all_running()
        number = self.busiest_vm()
        self.site.freeze(f"worker-{number}")
        if pause_agent:
            self.site.freeze(f"agent-{number}")
        reply = await self.operator.call("drain", target=f"agent-{number}")
        self.assertTrue(reply.ok, reply)
        async with asyncio.timeout(task_faults_case.START_TIMEOUT_S):
            while True:
                if (await self.operator.status()).tasks["evicting"]:
                    return number
                await asyncio.sleep(site_case.POLL_S)

    def evicted(self) -> list[journal.Run]:
        return [run for run in self.batch_runs() if run.state == "evicted"]

    async def check_evictions(self, *, min_count: int = 1) -> None:
        await self.wait_all_finished()
        evicted = self.evicted()
        self.assertGreaterEqual(len(evicted), min_count)
        resumed = [run.resume_from for run in self.batch_runs()]
        for run in evicted:
            self.assertEqual(resumed.count(run.checkpoint), 1, run)

    async def test_leader_killed_before_its_order_arrives(self) -> None:
        number = await self.begin_eviction(pause_agent=True)
        await self.site.kill(await self.operator.leader())
        self.site.thaw_vm(number)
        await self.check_evictions()

    async def test_paused_leader_during_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        leader = await self.operator.leader()
        self.site.freeze(leader)
        self.site.thaw(f"worker-{number}")
        await asyncio.sleep(task_faults_case.SERVICE_LEASE_S)
        self.site.thaw(leader)
        await self.check_evictions()

    async def test_agent_killed_before_it_reports_the_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        # Lets the agent receive the eviction order; the cut then holds back the
        # agent's confirmation.
        await asyncio.sleep(task_faults_case.PAUSE_S)
        self.site.cut(f"agent-{number}")
        self.site.thaw(f"worker-{number}")
        await self.wait_for(
            self.evicted, "eviction", within_s=task_faults_case.START_TIMEOUT_S
        )
        await self.site.kill(f"agent-{number}")
        # Drops the killed agent's last messages, which the cut delayed.
        self.site.reset_links(f"agent-{number}")
        self.site.heal()
        await self.site.restart(f"agent-{number}")
        await self.check_evictions()

    async def test_vm_killed_during_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        await self.site.kill_vm(number)
        await self.site.restart_vm(number)
        # The paused worker may be killed before it ends a run as evicted.
        await self.check_evictions(min_count=0)
