"""Guards against replicas that never return to their group."""

import asyncio
import types
from typing import cast
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
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
    """Records the join requests.

    Attributes:
        sent: The messages.
        fails: Whether no leader answers.
    """

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []
        self.fails = False

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        del timeout_ms
        self.sent.append(message)
        if self.fails:
            raise errors.RequestTimeoutError(text="no leader", step="join")
        return message

    def tried_addresses(self) -> tuple[str, ...]:
        return ("a:1", "b:1")

    async def close(self) -> None:
        pass


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """A replica asks to join if the group may have forgotten it."""

    async def asyncSetUp(self) -> None:
        self.clock = _FixedClock()
        self.client = _Client()
        self.heard_ms = 0
        member = membership.Member(id="c", address="c:1", voter=False)
        self.learner = types.SimpleNamespace(
            engine=types.SimpleNamespace(id="c"),
            settings=types.SimpleNamespace(group="main", bootstrap=()),
            address="c:1",
            lease_valid=lambda: False,
            leader_address=lambda: "a:1",
            leader_contact_ms=lambda: self.heard_ms,
            members=lambda: (member,),
        )
        self.repair = self_repair.SelfRepair(
            local_replica=cast(replica.Replica, self.learner),
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

    async def delayed_line(self) -> dict[str, object]:
        """Returns the fields of the first `repair_delayed` line."""
        with mock.patch.object(events, "log") as log:
            self.repair.start()
            await replica_site.wait_until(lambda: log.called)
        self.assertEqual(log.call_args.args, (events.REPAIR_DELAYED,))
        fields = dict(log.call_args.kwargs)
        del fields["error"]
        return fields

    async def test_delayed_join_of_a_member_names_cause_and_addresses(
        self,
    ) -> None:
        self.client.fails = True
        self.clock.now_ms = NO_LEADER_MS + 1
        self.assertEqual(
            await self.delayed_line(),
            {
                "replica": "c",
                "cause": "no_leader",
                "silent_ms": NO_LEADER_MS + 1,
                "tried": ("a:1", "b:1"),
            },
        )

    async def test_delayed_join_of_a_new_replica_names_its_cause(self) -> None:
        self.client.fails = True
        self.learner.members = lambda: ()
        self.assertEqual(
            await self.delayed_line(),
            {
                "replica": "c",
                "cause": "not_a_member",
                "silent_ms": 0,
                "tried": ("a:1", "b:1"),
            },
        )

    async def test_delayed_change_names_the_change(self) -> None:
        async def refuse(replica_id: str) -> None:
            del replica_id
            raise errors.NotLeaderError(leader="", step="remove")

        # A later member uses the address of the first one.
        self.learner.members = lambda: tuple(
            membership.Member(id=member, address="c:1", voter=False)
            for member in ("b", "c")
        )
        self.learner.lease_valid = lambda: True
        self.learner.term = lambda: 1
        self.learner.status = lambda: types.SimpleNamespace(
            term=1, lag={"b": 0}, silent_ms={"b": 0}
        )
        self.learner.remove = refuse
        with mock.patch.object(events, "log") as log:
            self.repair.start()
            await replica_site.wait_until(lambda: log.call_count >= 2)
        self.assertEqual(log.call_args_list[0].args, (events.MEMBERS_REPAIRED,))
        self.assertEqual(log.call_args_list[1].args, (events.REPAIR_DELAYED,))
        fields = log.call_args_list[1].kwargs
        self.assertEqual(
            (fields["cause"], fields["action"], fields["member"]),
            ("change", "remove", "b"),
        )


if __name__ == "__main__":
    unittest.main()
