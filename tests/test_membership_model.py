"""Guards against membership changes that lose entries or elect two leaders.

Searches every order of elections, late messages, changes and losses within small
bounds. `python -m tests.test_membership_model REPLICAS TOLERATED TERMS CHANGES
LOSSES [WIPED]` searches other bounds and prints the number of states.
"""

import dataclasses
import sys
import unittest
from unittest import mock

from bamboorouter.coordination.log import membership as membership_changes
from bamboorouter.protocol import membership
from tests import membership_model

# Each with two terms, so that a deposed leader's messages arrive late.
FROZEN_OR_CUT = membership_model.Bounds(
    replicas=4, tolerated=1, terms=2, changes=1, losses=0
)
REPLACED = membership_model.Bounds(
    replicas=3, tolerated=1, terms=2, changes=1, losses=1
)
TWO_CHANGES = membership_model.Bounds(
    replicas=3, tolerated=1, terms=1, changes=3, losses=1
)
# Disks are lost at any moment while other voters are frozen or cut off.
WIPED = (
    membership_model.Bounds(
        replicas=4, tolerated=1, terms=1, changes=1, losses=0, wiped=1
    ),
    membership_model.Bounds(
        replicas=3, tolerated=1, terms=2, changes=1, losses=0, wiped=1
    ),
)
# The only copy of a change is on the demoted replica.
WIPED_WHILE_DEMOTED = membership_model.Bounds(
    replicas=4, tolerated=1, terms=1, changes=2, losses=0, wiped=1
)
# A deposed leader keeps a promotion that isn't committed. This takes longer than
# all other searches together.
WIPED_WHILE_PROMOTED = membership_model.Bounds(
    replicas=4, tolerated=1, terms=2, changes=1, losses=0, wiped=1
)


class MembershipModelTest(unittest.TestCase):
    """Every state within the bounds keeps what is committed."""

    def test_every_order_of_changes_and_elections_is_safe(self) -> None:
        for bounds in (FROZEN_OR_CUT, REPLACED, TWO_CHANGES):
            with self.subTest(bounds=bounds):
                states = membership_model.search(bounds)
                print(f"{bounds}: {states} states")
                self.assertGreater(states, 5000)

    def test_change_before_an_entry_of_the_own_term_is_caught(self) -> None:
        """The search sees two lists whose majorities don't overlap."""
        may_change = mock.patch.object(
            membership_model.LeaderView, "may_change_members", lambda _: True
        )
        with may_change, self.assertRaises(membership_model.ViolationError):
            membership_model.search(
                dataclasses.replace(FROZEN_OR_CUT, changes=2)
            )

    def test_vote_taken_before_it_is_reassigned_is_caught(self) -> None:
        """The search sees a group that ends between two changes."""

        def demote(
            term: int,
            leader: membership_model.Leader,
            silent: set[str],
            bounds: membership_model.Bounds,
        ) -> membership.Members | None:
            del term, bounds  # Not needed.
            formed = leader.log[0][1]
            if formed is None or len(silent) != 1:
                return None
            return membership_changes.without_vote(
                formed.members, replica_id=next(iter(silent))
            )

        taken = mock.patch.object(membership_model, "_repaired", demote)
        with taken, self.assertRaises(membership_model.EndedError):
            membership_model.search(WIPED[0])

    def test_group_outlives_lost_disks_between_changes(self) -> None:
        """Guards against a group that ends when a disk is lost between changes.

        The first change took the vote of a replica that was only frozen or cut
        off. A majority of the remaining voters was short of one disk then.
        """
        for bounds in WIPED:
            with self.subTest(bounds=bounds):
                states = membership_model.search(bounds)
                print(f"{bounds}: {states} states")
                self.assertGreater(states, 1000)

    def test_group_outlives_a_demotion_that_only_the_demoted_keeps(
        self,
    ) -> None:
        """Guards against a group that ends with its newest log on a learner.

        The demoted replica alone has received its demotion when the leader's
        disk is lost. It doesn't campaign, and no voter has a log as new.
        """
        states = membership_model.search(WIPED_WHILE_DEMOTED)
        print(f"{WIPED_WHILE_DEMOTED}: {states} states")
        self.assertGreater(states, 1000)

    def test_group_outlives_a_promotion_that_a_deposed_leader_keeps(
        self,
    ) -> None:
        """Guards against a group that ends with its newest log on a learner.

        A deposed leader needs the vote of the learner that it promoted. Only
        the learner has an entry of the next leader, whose disk is lost.
        """
        states = membership_model.search(WIPED_WHILE_PROMOTED)
        print(f"{WIPED_WHILE_PROMOTED}: {states} states")
        self.assertGreater(states, 1000)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        numbers = [int(number) for number in sys.argv[1:]]
        names = [f.name for f in dataclasses.fields(membership_model.Bounds)]
        wanted = membership_model.Bounds(
            **dict(zip(names, numbers, strict=False))
        )
        print(wanted, membership_model.search(wanted), "states")
    else:
        unittest.main()
