"""Guards against processes that know only replicas that were replaced.

Processes read the addresses of some control replicas from their settings, and the
settings of a running process don't change when these replicas are replaced.
"""

import asyncio
import itertools

from tests import test_platform

# test_platform adds the adapter's folder to sys.path, so it is imported first.
import control_node  # isort: skip

FIRST_SUCCESSOR = 11
ANNOUNCE_INTERVAL_S = 1.0


class ReplacedSeedsTest(test_platform.WholePathCase):
    """All first replicas are replaced by others at new addresses."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.assertEqual(await self.site.announce(), 200)
        announcer = asyncio.create_task(self.announce_forever())
        self.addCleanup(announcer.cancel)
        await self.site.call_as_caller("POST", "/forms/00aa", test_platform.JOB)
        await self.site.wait_until(lambda: self.job_done("00aa"))

    async def announce_forever(self) -> None:
        for seq in itertools.count(2):
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.site.announce(seq=seq)

    async def job_done(self, job: str) -> bool:
        _, body = await self.site.call_as_caller("GET", f"/forms/{job}")
        return bool(body == {"state": "done"})

    def leads(self, ip: str) -> bool:
        role = self.site.control[ip]
        assert isinstance(role, control_node.ControlNode)
        return (
            role.replica is not None
            and role.replica.replica is not None
            and role.replica.replica.lease_valid()
        )

    async def voters_run(self) -> bool:
        """Returns whether all voters in the leader's list are running."""
        replicas = [
            role.replica.replica
            for role in self.site.control.values()
            if isinstance(role, control_node.ControlNode)
            and role.replica is not None
            and role.replica.replica is not None
        ]
        running = {replica.engine.id for replica in replicas}
        leader = next((r for r in replicas if r.lease_valid()), None)
        if leader is None:
            return False
        voters = {member.id for member in leader.members() if member.voter}
        return len(voters) == test_platform.VOTERS and voters <= running

    async def replace_all(self) -> None:
        """Replaces the followers one by one, and the leader last."""
        first = sorted(self.site.control, key=self.leads)
        for number, ip in enumerate(first, start=FIRST_SUCCESSOR):
            await self.site.control.pop(ip).stop()
            await self.site.start_control(
                f"127.0.1.{number}",
                bootstrap=False,
                seeds=self.site.control_addresses(),
            )
            await self.site.wait_until(self.voters_run)

    async def test_work_runs_after_all_seeds_were_replaced(self) -> None:
        """Guards against an agent that never finds the next leader."""
        await self.replace_all()
        status, _ = await self.site.call_as_caller(
            "POST", "/forms/00bb", test_platform.JOB
        )
        self.assertEqual(status, 200)
        await self.site.wait_until(lambda: self.job_done("00bb"))

    async def test_successors_serve_the_configuration(self) -> None:
        """Guards against a control VM whose seeds are gone, and its replica not.

        Each successor starts with the replicas of that time as seeds. The first
        one outlives them all.
        """
        await self.replace_all()
        (eldest, *others) = list(self.site.control)
        for number, ip in enumerate(others, start=2 * FIRST_SUCCESSOR):
            await self.site.control.pop(ip).stop()
            await self.site.start_control(
                f"127.0.1.{number}",
                bootstrap=False,
                seeds=self.site.control_addresses(),
            )
            await self.site.wait_until(self.voters_run)
        status, _ = await self.site.call_as_operator("GET", ip=eldest)
        self.assertEqual(status, 200)
