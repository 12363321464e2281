"""Tests what the leader answers when the result of a proposal is unknown."""

from typing import cast
import unittest

from bamboorouter import clock
from bamboorouter.coordination.jobs import job_leader
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import self_repair
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
        return ()


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
