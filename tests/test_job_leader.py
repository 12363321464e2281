"""Tests what the leader answers when the result of a proposal is unknown."""

from typing import cast
import unittest

from bamboorouter import clock
from bamboorouter.coordination.jobs import job_leader
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import self_repair
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.transport import link
from tests import control_fakes as fakes
from tests import job_builders as make


class _FakeReplica(fakes.FakeLog):
    address = "me"

    def members(self) -> tuple[membership.Member, ...]:
        return (membership.Member(id="me", address="me", voter=True),)

    def members_index(self) -> int:
        return 7


def _report(*, members_index: int) -> job_messages.WorkerReport:
    return job_messages.WorkerReport(
        worker="w1",
        life="a",
        session=1,
        sequence=1,
        service="desk",
        zone="z1",
        labels=(),
        rack="",
        room=common.Resources(),
        draining=False,
        reachable=True,
        runs=(),
        ends=(),
        members_index=members_index,
    )


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against agents that know only replicas that were replaced."""

    async def test_report_is_answered_with_members_that_the_agent_lacks(
        self,
    ) -> None:
        leader = job_leader.JobLeader(
            local_replica=cast(
                replica.Replica, _FakeReplica(time=clock.ManualClock())
            ),
            time=clock.ManualClock(),
            repair=cast(self_repair.SelfRepair, None),
        )
        for known, replicas in ((0, ("me",)), (7, ()), (8, ("me",))):
            reply = await leader.handle(
                _report(members_index=known), cast(link.Link, None)
            )
            assert isinstance(reply, job_messages.WorkerReply)
            self.assertEqual(reply.replicas, replicas)
            if replicas:
                self.assertEqual(reply.members_index, 7)


class UnknownResultTest(unittest.IsolatedAsyncioTestCase):
    """A job was reported as never run, although its proposal was committed."""

    def setUp(self) -> None:
        self.replica = _FakeReplica(time=clock.ManualClock())
        self.replica.apply(
            job_commands.PutConfiguration(configuration=make.configuration())
        )
        self.leader = job_leader.JobLeader(
            local_replica=cast(replica.Replica, self.replica),
            time=clock.ManualClock(),
            repair=cast(self_repair.SelfRepair, None),
        )

    async def submit(self) -> messages.Message | None:
        return await self.leader.handle(
            job_messages.SubmitSteps(
                host="desk.example",
                path="/forms/a",
                spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
            ),
            cast(link.Link, None),
        )

    async def test_redirect_tells_that_the_job_may_still_be_accepted(
        self,
    ) -> None:
        self.replica.lose_results = 1
        reply = await self.submit()
        assert isinstance(reply, messages.Redirect)
        self.assertTrue(reply.result_unknown)
        self.assertIn("a", self.replica.machine.stepped.jobs)

    async def test_redirect_without_a_lease_tells_that_nothing_was_done(
        self,
    ) -> None:
        self.replica.has_lease = False
        reply = await self.submit()
        assert isinstance(reply, messages.Redirect)
        self.assertFalse(reply.result_unknown)
        self.assertNotIn("a", self.replica.machine.stepped.jobs)


if __name__ == "__main__":
    unittest.main()
