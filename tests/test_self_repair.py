"""Guards against replicas that never return to their group."""

import asyncio
import types
from typing import cast
import unittest

from bamboorouter import clock
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import self_repair
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from tests import replica_site

NO_LEADER_MS = self_repair.NO_LEADER_TIMEOUT_MS


class _FixedClock:
    """A clock that stands still until it is set."""

    def __init__(self) -> None:
        self.now_ms = 0

    def now(self) -> clock.Millis:
        return clock.Millis(self.now_ms)

    def wall(self) -> clock.Millis:
        return clock.Millis(self.now_ms)


class _Client:
    """Records the join requests."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        del timeout_ms
        self.sent.append(message)
        return message

    async def close(self) -> None:
        pass


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """A replica asks to join if the group may have forgotten it."""

    async def asyncSetUp(self) -> None:
        self.clock = _FixedClock()
        self.client = _Client()
        self.heard_ms = 0
        member = membership.Member(id="c", address="c:1", voter=False)
        learner = types.SimpleNamespace(
            engine=types.SimpleNamespace(id="c"),
            settings=types.SimpleNamespace(group="main", bootstrap=()),
            address="c:1",
            lease_valid=lambda: False,
            leader_address=lambda: "a:1",
            leader_contact_ms=lambda: self.heard_ms,
            members=lambda: (member,),
        )
        self.repair = self_repair.SelfRepair(
            local_replica=cast(replica.Replica, learner),
            client=cast(control_client.ControlClient, self.client),
            time=self.clock,
            tolerated_losses=1,
        )

    async def asyncTearDown(self) -> None:
        await self.repair.stop()

    async def test_learner_that_was_removed_meanwhile_joins_again(self) -> None:
        """Guards against waiting for a leader that has forgotten the learner.

        A learner has no election timeout, so it still knows the leader that it
        heard before it was frozen.
        """
        self.clock.now_ms = NO_LEADER_MS + 1
        self.repair.start()
        await replica_site.wait_until(lambda: bool(self.client.sent))
        self.assertIsInstance(self.client.sent[0], job_messages.JoinGroup)

    async def test_member_that_hears_the_leader_doesnt_ask(self) -> None:
        self.clock.now_ms = 10 * NO_LEADER_MS
        self.heard_ms = self.clock.now_ms - NO_LEADER_MS
        self.repair.start()
        await asyncio.sleep(2 * self_repair.CHECK_PERIOD_MS / 1000)
        self.assertEqual(self.client.sent, [])


if __name__ == "__main__":
    unittest.main()
