"""Guards against membership changes that lose entries or elect two leaders.

Searches every order of elections, late messages, changes and losses within small
bounds. `python -m tests.test_membership_model REPLICAS TOLERATED TERMS CHANGES
LOSSES` searches other bounds and prints the number of states.
"""

import dataclasses
import sys
import unittest
from unittest import mock

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


if __name__ == "__main__":
    if len(sys.argv) > 1:
        numbers = [int(number) for number in sys.argv[1:]]
        names = [f.name for f in dataclasses.fields(membership_model.Bounds)]
        wanted = membership_model.Bounds(
            **dict(zip(names, numbers, strict=True))
        )
        print(wanted, membership_model.search(wanted), "states")
    else:
        unittest.main()
