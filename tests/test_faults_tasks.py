"""Guards P1, P2 and P3 against failing agents, VMs and leaders.

Whole sites run as processes. The journal of the workers shows whether a task
ran in two places at once, ran again after it finished, resumed from another
checkpoint than the last one, or took more than its VM has.
"""

import asyncio
import random

from devtools import journal
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=3, controls=3, entries=0)
BATCH_LEASE_S = SHAPE.batch_lease_ms / 1000
SERVICE_LEASE_S = SHAPE.service_lease_ms / 1000
# Urgent work starts within 3.2 s; a lease and its allowance may come first.
START_S = 10.0
END_S = 40.0
PAUSE_S = 1.5
JOBS = 6
SEED = 20261204


class TaskFaultsCase(site_case.SiteTestCase):
    """A site with a service and a batch job."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)

    async def submit(self, command: str = "run 6s") -> None:
        await self.operator.submit(
            1,
            site_case.service_row("entries", 2),
            site_case.job_row("match", JOBS, command),
        )

    def running(self, worker: str = "", task: str = "") -> list[journal.Run]:
        return [
            run
            for run in self.site.runs()
            if run.state == "running"
            and run.writer.startswith(worker)
            and run.task.startswith(task)
        ]

    def batch_runs(self) -> list[journal.Run]:
        return [r for r in self.site.runs() if r.task.startswith("match")]

    def finished(self) -> set[str]:
        runs = self.site.runs()
        return {run.task for run in runs if run.state == "finished"}

    async def wait_all_running(self) -> None:
        await self.wait_for(
            lambda: len(self.running()) == JOBS + 2,
            "all tasks run",
            within_s=START_S,
        )

    async def wait_all_finished(self) -> None:
        await self.wait_for(
            lambda: len(self.finished()) == JOBS,
            "all batch tasks finished",
            within_s=END_S,
        )
        await self.wait_for(
            lambda: len(self.running(task="entries")) == 2,
            "both instances of the service run",
            within_s=START_S,
        )
        self.assert_tasks_sound(self.site)

    def busiest(self) -> int:
        """Returns the number of the VM with the most running tasks."""
        numbers = range(1, len(SHAPE.vms) + 1)
        return max(numbers, key=lambda n: len(self.running(f"worker-{n}")))


class TaskFaultsTest(TaskFaultsCase):
    """Failures while tasks start and run."""

    async def test_paused_vm_runs_nothing_after_its_lease(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest()
        self.site.freeze_vm(number)
        count = len(self.site.runs())
        await self.wait_for(
            lambda: len(self.site.runs()) > count,
            "a task was replaced",
            within_s=START_S,
        )
        await asyncio.sleep(BATCH_LEASE_S)
        self.site.thaw_vm(number)
        await self.wait_all_finished()

    async def test_paused_agent_does_not_let_its_tasks_go_on(self) -> None:
        await self.submit("run 20s")
        await self.wait_all_running()
        number = self.busiest()
        self.site.freeze(f"agent-{number}")
        await asyncio.sleep(BATCH_LEASE_S + START_S / 2)
        self.site.thaw(f"agent-{number}")
        await self.wait_all_finished()

    async def test_restarted_agent_does_not_repeat_its_tasks(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest()
        # The agent starts while the worker doesn't tell what runs.
        self.site.freeze(f"worker-{number}")
        await self.site.restart(f"agent-{number}")
        await asyncio.sleep(PAUSE_S)
        self.site.thaw(f"worker-{number}")
        await self.wait_all_finished()
        self.assertEqual(len(self.batch_runs()), JOBS)

    async def test_killed_vm_is_replaced_and_comes_back(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest()
        await self.site.kill_vm(number)
        await self.wait_for(
            lambda: len(self.running(task="entries")) == 2,
            "the service is replaced",
            within_s=SERVICE_LEASE_S + START_S,
        )
        await self.site.restart_vm(number)
        await self.wait_all_finished()

    async def test_leader_killed_while_tasks_start(self) -> None:
        leader = await self.operator.leader()
        await self.submit("run 3s")
        await self.wait_for(
            self.site.records, "the first task starts", within_s=START_S
        )
        await self.wait_for(self.running, "a task runs", within_s=START_S)
        await self.site.kill(leader)
        await self.wait_all_finished()
        self.assertEqual(len(self.batch_runs()), JOBS)

    async def test_paused_leader_decides_nothing_when_it_continues(
        self,
    ) -> None:
        leader = await self.operator.leader()
        await self.submit("run 3s")
        await self.wait_for(self.running, "a task runs", within_s=START_S)
        self.site.freeze(leader)
        await asyncio.sleep(SERVICE_LEASE_S + 1)
        self.site.thaw(leader)
        await self.wait_all_finished()

    async def test_two_failures_at_once(self) -> None:
        """Each seeded round breaks two parts and repairs them."""
        chance = random.Random(SEED)
        await self.submit("run 15s")
        await self.wait_all_running()
        for _ in range(2):
            leader = await self.operator.leader()
            first, second = chance.sample(range(1, len(SHAPE.vms) + 1), 2)
            self.site.cut(leader)
            await self.site.kill_vm(first)
            self.site.freeze_vm(second)
            await asyncio.sleep(chance.uniform(2, SERVICE_LEASE_S + 1))
            self.site.heal()
            self.site.thaw_vm(second)
            await self.site.restart_vm(first)
        await self.wait_all_finished()


class EvictionFaultsTest(TaskFaultsCase):
    """Failures during an eviction.

    A paused worker, or a paused VM, holds the eviction up between its logged
    intent and its confirmation.
    """

    async def begin_eviction(self, *, pause_agent: bool) -> int:
        """Drains a VM whose worker is paused; returns its number."""
        await self.submit("run 8s")
        await self.wait_all_running()
        number = self.busiest()
        self.site.freeze(f"worker-{number}")
        if pause_agent:
            self.site.freeze(f"agent-{number}")
        reply = await self.operator.call("drain", target=f"agent-{number}")
        self.assertTrue(reply.ok, reply)
        async with asyncio.timeout(START_S):
            while True:
                if (await self.operator.status()).tasks["evicting"]:
                    return number
                await asyncio.sleep(site_case.POLL_S)

    def evicted(self) -> list[journal.Run]:
        return [run for run in self.batch_runs() if run.state == "evicted"]

    async def check_evicted(self, *, at_least: int = 1) -> None:
        await self.wait_all_finished()
        evicted = self.evicted()
        self.assertGreaterEqual(len(evicted), at_least)
        resumed = [run.resume_from for run in self.batch_runs()]
        for run in evicted:
            self.assertEqual(resumed.count(run.checkpoint), 1, run)

    async def test_leader_killed_before_its_order_arrives(self) -> None:
        number = await self.begin_eviction(pause_agent=True)
        await self.site.kill(await self.operator.leader())
        self.site.thaw_vm(number)
        await self.check_evicted()

    async def test_paused_leader_during_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        leader = await self.operator.leader()
        self.site.freeze(leader)
        self.site.thaw(f"worker-{number}")
        await asyncio.sleep(SERVICE_LEASE_S)
        self.site.thaw(leader)
        await self.check_evicted()

    async def test_agent_killed_before_it_reports_the_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        # The order has arrived; its confirmation does not.
        await asyncio.sleep(PAUSE_S)
        self.site.cut(f"agent-{number}")
        self.site.thaw(f"worker-{number}")
        await self.wait_for(self.evicted, "eviction", within_s=START_S)
        await self.site.kill(f"agent-{number}")
        self.site.heal()
        await self.site.restart(f"agent-{number}")
        await self.check_evicted()

    async def test_vm_killed_during_eviction(self) -> None:
        number = await self.begin_eviction(pause_agent=False)
        await self.site.kill_vm(number)
        await self.site.restart_vm(number)
        await self.check_evicted(at_least=0)
