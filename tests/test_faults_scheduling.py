"""Guards P1, P2 and P3 while the leader moves and evicts work itself.

Whole sites run as processes; the leader is killed at the worst moment. The
journal of the workers shows what really ran.
"""

from devtools import journal
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=2, controls=3, entries=0)
# Urgent work starts within 3.2 s; a failover of 3 s may come first.
URGENT_START_S = 6.2
START_S = 10.0
END_S = 60.0
JOBS = 8


class SchedulingFaultsTest(site_case.SiteTestCase):
    """Evictions and drains with real agents and workers."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)

    def running(self, task: str, worker: str = "") -> list[journal.Run]:
        return [
            run
            for run in self.site.runs()
            if run.state == "running"
            and run.task.startswith(task)
            and run.writer.startswith(worker)
        ]

    def ended(self, state: str) -> list[str]:
        return [r.task for r in self.site.runs() if r.state == state]

    async def wait_all_finished(self) -> None:
        await self.wait_for(
            lambda: len(set(self.ended("finished"))) == JOBS,
            "all batch tasks finished",
            within_s=END_S,
        )
        self.assertEqual(len(self.ended("finished")), JOBS)
        self.assert_task_invariants(self.site)

    async def test_evicted_work_resumes_although_the_leader_is_killed(
        self,
    ) -> None:
        jobs = site_case.job_row("match", JOBS, "run 5s")
        await self.operator.submit(1, jobs)
        await self.wait_for(
            lambda: len(self.running("match")) == JOBS,
            "batch fills both VMs",
            within_s=START_S,
        )
        leader = await self.operator.leader()
        await self.operator.submit(2, site_case.service_row("entries", 2), jobs)
        await self.site.kill(leader)
        await self.wait_for(
            lambda: len(self.running("entries")) == 2,
            "both instances of the service got room",
            within_s=URGENT_START_S,
        )
        self.assertEqual(len(self.ended("evicted")), 2)
        await self.wait_all_finished()
        resumed = [r.task for r in self.site.runs() if r.resume_from]
        self.assertEqual(sorted(resumed), sorted(self.ended("evicted")))

    async def test_drained_vm_is_emptied_without_a_gap(self) -> None:
        await self.operator.submit(
            1,
            site_case.service_row("entries", 2),
            site_case.job_row("match", JOBS, "run 5s"),
        )
        await self.wait_for(
            lambda: len(self.running("entries")) == 2,
            "the service runs",
            within_s=START_S,
        )
        await self.operator.call("drain", target="agent-1", on=True)
        least = 2

        def emptied() -> bool:
            nonlocal least
            least = min(least, len(self.running("entries")))
            return not self.running("", "worker-1")

        await self.wait_for(emptied, "the VM is empty", within_s=END_S)
        self.assertEqual(least, 2)
        self.assertEqual(len(self.running("entries", "worker-2")), 2)
        await self.operator.call("drain", target="agent-1", on=False)
        await self.wait_all_finished()
