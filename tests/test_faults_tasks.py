"""Tests running tasks while agents, VMs and leaders fail.

Starts whole sites of processes. The journal of the workers shows whether a VM
was overcommitted (P1), a task ran in two places at once (P2), or a task ran
again after it finished or resumed from another checkpoint than its last (P3).
"""

import asyncio
import random

from tests import task_faults_case

SEED = 20261204


class TaskFaultsTest(task_faults_case.TaskFaultsCase):
    """Failures while tasks start and run."""

    async def test_paused_vm_runs_nothing_after_its_lease(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest_vm()
        self.site.freeze_vm(number)
        count = len(self.site.runs())
        await self.wait_for(
            lambda: len(self.site.runs()) > count,
            "a task was replaced",
            within_s=task_faults_case.START_TIMEOUT_S,
        )
        await asyncio.sleep(task_faults_case.BATCH_LEASE_S)
        self.site.thaw_vm(number)
        await self.wait_all_finished()

    async def test_paused_agent_does_not_let_its_tasks_go_on(self) -> None:
        await self.submit("run 12s")
        await self.wait_all_running()
        number = self.busiest_vm()
        self.site.freeze(f"agent-{number}")
        await asyncio.sleep(task_faults_case.BATCH_LEASE_S + 2)
        self.site.thaw(f"agent-{number}")
        await self.wait_all_finished()

    async def test_restarted_agent_does_not_repeat_its_tasks(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest_vm()
        # The agent starts while the worker can't report its running tasks.
        self.site.freeze(f"worker-{number}")
        await self.site.restart(f"agent-{number}")
        await asyncio.sleep(task_faults_case.PAUSE_S)
        self.site.thaw(f"worker-{number}")
        await self.wait_all_finished()
        self.assertEqual(len(self.batch_runs()), task_faults_case.BATCH_TASKS)

    async def test_killed_vm_is_replaced_and_comes_back(self) -> None:
        await self.submit()
        await self.wait_all_running()
        number = self.busiest_vm()
        await self.site.kill_vm(number)
        await self.wait_for(
            lambda: len(self.running(task="entries")) == 2,
            "the service is replaced",
            within_s=task_faults_case.SERVICE_LEASE_S
            + task_faults_case.START_TIMEOUT_S,
        )
        await self.site.restart_vm(number)
        await self.wait_all_finished()

    async def test_leader_killed_while_tasks_start(self) -> None:
        leader = await self.operator.leader()
        await self.submit("run 3s")
        await self.wait_for(
            self.site.records,
            "the first task starts",
            within_s=task_faults_case.START_TIMEOUT_S,
        )
        await self.wait_for(
            self.running,
            "a task runs",
            within_s=task_faults_case.START_TIMEOUT_S,
        )
        await self.site.kill(leader)
        await self.wait_all_finished()
        self.assertEqual(len(self.batch_runs()), task_faults_case.BATCH_TASKS)

    async def test_paused_leader_decides_nothing_when_it_continues(
        self,
    ) -> None:
        leader = await self.operator.leader()
        await self.submit("run 3s")
        await self.wait_for(
            self.running,
            "a task runs",
            within_s=task_faults_case.START_TIMEOUT_S,
        )
        self.site.freeze(leader)
        await asyncio.sleep(task_faults_case.SERVICE_LEASE_S + 1)
        self.site.thaw(leader)
        await self.wait_all_finished()

    async def test_two_failures_at_once(self) -> None:
        """Each round cuts off the leader, kills a VM and pauses another."""
        rng = random.Random(SEED)
        await self.submit("run 15s")
        await self.wait_all_running()
        for _ in range(2):
            leader = await self.operator.leader()
            first, second = rng.sample(
                range(1, len(task_faults_case.SHAPE.vms) + 1), 2
            )
            self.site.cut(leader)
            await self.site.kill_vm(first)
            self.site.freeze_vm(second)
            # Long enough for an election and for the leases of services to
            # end, so that the remaining VM takes over the service and, in
            # some rounds, the batch tasks.
            await asyncio.sleep(
                rng.uniform(
                    task_faults_case.BATCH_LEASE_S,
                    task_faults_case.BATCH_LEASE_S + 3,
                )
            )
            self.site.heal()
            self.site.thaw_vm(second)
            await self.site.restart_vm(first)
        await self.wait_all_finished()
