"""Guards against automatic membership changes that cost a group votes."""

import unittest

from bamboorouter.coordination.policies import member_repair


def member(
    name: str,
    *,
    address: str = "",
    voter: bool = True,
    silent_ms: int = 0,
    caught_up: bool = True,
) -> member_repair.MemberView:
    return member_repair.MemberView(
        id=name,
        address=address or name,
        voter=voter,
        silent_ms=silent_ms,
        caught_up=caught_up,
    )


def change(*members: member_repair.MemberView, tolerated: int = 1) -> str:
    """Returns the next change as "action member"; empty for none."""
    repair = member_repair.next_change(members, tolerated=tolerated)
    return "" if repair is None else f"{repair.action} {repair.member}"


LOST_SILENT_MS = member_repair.LOST_AFTER_MS + 1


class MemberRepairTest(unittest.TestCase):
    """One change at a time, and only if it costs no needed vote."""

    def test_number_of_voters_is_odd_and_bears_the_losses(self) -> None:
        voter_counts = [
            member_repair.wanted_voters(members, tolerated)
            for members, tolerated in ((4, 1), (5, 2), (8, 2), (4, 2), (1, 1))
        ]
        self.assertEqual(voter_counts, [3, 5, 5, 3, 1])

    def test_voters_that_the_tolerated_losses_need_are_counted(self) -> None:
        voters = [member("a"), member("b"), member("c")]
        learner = member("d", voter=False)
        self.assertEqual(member_repair.missing_voters(voters, 1), 0)
        self.assertEqual(member_repair.missing_voters([*voters, learner], 2), 2)

    def test_replica_with_a_lost_folder_is_replaced(self) -> None:
        group = [member("a"), member("b"), member("c", address="x")]
        successor = member("c2", address="x", voter=False, caught_up=False)
        self.assertEqual(change(*group, successor), "remove c")
        self.assertEqual(change(*group[:2], successor), "")
        ready = member("c2", address="x", voter=False)
        self.assertEqual(change(*group[:2], ready), "promote c2")

    def test_silent_voter_is_removed_only_for_a_ready_learner(self) -> None:
        silent = member("c", silent_ms=LOST_SILENT_MS)
        voters = [member("a"), member("b"), silent]
        self.assertEqual(change(*voters), "")
        self.assertEqual(
            change(*voters, member("d", voter=False, caught_up=False)), ""
        )
        self.assertEqual(
            change(*voters, member("d", voter=False, silent_ms=LOST_SILENT_MS)),
            "",
        )
        self.assertEqual(change(*voters, member("d", voter=False)), "remove c")

    def test_short_silence_costs_no_vote(self) -> None:
        voters = [member("a"), member("b"), member("c", silent_ms=5000)]
        self.assertEqual(change(*voters, member("d", voter=False)), "")

    def test_larger_group_gets_more_voters(self) -> None:
        learners = [member(name, voter=False) for name in "de"]
        voters = [member(name) for name in "abc"]
        self.assertEqual(change(*voters, *learners, tolerated=2), "promote d")
        self.assertEqual(change(*voters, *learners, tolerated=1), "")


if __name__ == "__main__":
    unittest.main()
