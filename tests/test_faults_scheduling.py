"""Tests evictions and drains that the leader decides.

Starts whole sites of processes; one leader is killed right after the change
that requires evictions. The journal of the workers shows what ran. Guards
against overcommitted workers (P1), a task that runs in two places (P2) and
evicted tasks that are lost or resume twice (P3).
"""

from devtools import journal
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=2, controls=3, entries=0)
# Urgent tasks start within 3.2 s, after a failover of up to 3 s.
URGENT_START_TIMEOUT_S = 6.2
START_TIMEOUT_S = 10.0
END_TIMEOUT_S = 60.0
JOBS = 8


class SchedulingFaultsTest(site_case.SiteTestCase):
    """Evictions and drains with real agents and workers."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)

    def running(
        self, task_prefix: str, worker_prefix: str = ""
    ) -> list[journal.Run]:
        return [
            run
            for run in self.site.runs()
            if run.state == "running"
            and run.task.startswith(task_prefix)
            and run.writer.startswith(worker_prefix)
        ]

    def tasks_in_state(self, state: str) -> list[str]:
        return [r.task for r in self.site.runs() if r.state == state]

    async def wait_all_finished(self) -> None:
        await self.wait_for(
            lambda: len(set(self.tasks_in_state("finished"))) == JOBS,
            "all batch tasks finished",
            within_s=END_TIMEOUT_S,
        )
        self.assertEqual(len(self.tasks_in_state("finished")), JOBS)
        self.assert_task_invariants(self.site)

    async def test_evicted_work_resumes_although_the_leader_is_killed(
        self,
    ) -> None:
        jobs = site_case.job_row("match", JOBS, "run 5s")
        await self.operator.submit(1, jobs)
        await self.wait_for(
            lambda: len(self.running("match")) == JOBS,
            "batch tasks fill both VMs",
            within_s=START_TIMEOUT_S,
        )
        leader = await self.operator.leader()
        await self.operator.submit(2, site_case.service_row("entries", 2), jobs)
        await self.site.kill(leader)
        await self.wait_for(
            lambda: len(self.running("entries")) == 2,
            "both instances of the service run",
            within_s=URGENT_START_TIMEOUT_S,
        )
        self.assertEqual(len(self.tasks_in_state("evicted")), 2)
        await self.wait_all_finished()
        resumed = [r.task for r in self.site.runs() if r.resume_from]
        self.assertEqual(
            sorted(resumed), sorted(self.tasks_in_state("evicted"))
        )

    async def test_drained_vm_is_emptied_without_a_gap(self) -> None:
        await self.operator.submit(
            1,
            site_case.service_row("entries", 2),
            site_case.job_row("match", JOBS, "run 5s"),
        )
        await self.wait_for(
            lambda: len(self.running("entries")) == 2,
            "the service runs",
            within_s=START_TIMEOUT_S,
        )
        await self.operator.call("drain", target="agent-1", on=True)
        min_running = 2

        def drained() -> bool:
            nonlocal min_running
            min_running = min(min_running, len(self.running("entries")))
            return not self.running("", "worker-1")

        await self.wait_for(drained, "the VM is empty", within_s=END_TIMEOUT_S)
        self.assertEqual(min_running, 2)
        self.assertEqual(len(self.running("entries", "worker-2")), 2)
        await self.operator.call("drain", target="agent-1", on=False)
        await self.wait_all_finished()
