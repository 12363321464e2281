"""Guards against automatic membership changes that cost a group votes."""

import unittest

from bamboorouter.coordination.log import member_views
from bamboorouter.coordination.policies import member_repair
from bamboorouter.protocol import membership


def member(
    name: str,
    *,
    address: str = "",
    voter: bool = True,
    silent_ms: int = 0,
    caught_up: bool = True,
    answered: bool = True,
) -> member_repair.MemberView:
    return member_repair.MemberView(
        id=name,
        address=address or name,
        voter=voter,
        silent_ms=silent_ms,
        caught_up=caught_up,
        answered=answered,
    )


def change(*members: member_repair.MemberView, tolerated: int = 1) -> str:
    """Returns the next change as "action member"; empty for none."""
    repair = member_repair.next_change(members, tolerated=tolerated)
    return "" if repair is None else f"{repair.action} {repair.member}"


LOST_SILENT_MS = member_repair.LOST_AFTER_MS + 1
AT_RISK_SILENT_MS = member_repair.AT_RISK_AFTER_MS + 1
FORGOTTEN_SILENT_MS = member_repair.FORGET_AFTER_MS + 1


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

    def test_silent_voter_is_replaced_only_by_a_ready_learner(self) -> None:
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
        self.assertEqual(change(*voters, member("d", voter=False)), "promote d")

    def test_successor_votes_before_the_silent_voter_is_demoted(self) -> None:
        """Guards against a disk lost while two of three voters are left."""
        silent = member("c", silent_ms=AT_RISK_SILENT_MS)
        group = [member("a"), member("b"), silent]
        learner = member("e", voter=False)
        self.assertEqual(
            change(*group, member("d", voter=False), learner), "promote d"
        )
        self.assertEqual(change(*group, member("d"), learner), "demote c")
        self.assertEqual(change(*group, member("d")), "demote c")

    def test_number_of_voters_is_odd_again_after_a_short_silence(self) -> None:
        """Guards against four voters, of which no half is a majority."""
        group = [member("a"), member("b", silent_ms=30)]
        returned = member("c", silent_ms=200)
        self.assertEqual(change(*group, returned, member("d")), "demote c")
        unheard = member("c", silent_ms=200, answered=False)
        self.assertEqual(change(*group, unheard, member("d")), "")
        slow = member("c", silent_ms=member_repair.ANSWERS_WITHIN_MS + 1)
        self.assertEqual(change(*group, slow, member("d")), "")
        self.assertEqual(change(*group, returned, member("d"), tolerated=2), "")
        # The successor of a wiped third replica hasn't joined yet.
        self.assertEqual(change(*group), "")

    def test_learner_that_never_answered_is_not_promoted(self) -> None:
        """Guards against a vote for a replica that may not be running."""
        silent = member("c", silent_ms=AT_RISK_SILENT_MS)
        learner = member("d", voter=False, answered=False)
        self.assertEqual(change(member("a"), member("b"), silent, learner), "")

    def test_one_of_two_voters_demotes_nobody(self) -> None:
        silent = member("b", silent_ms=LOST_SILENT_MS)
        self.assertEqual(change(member("a"), silent), "")

    def test_vote_is_reassigned_before_one_more_loss_ends_the_group(
        self,
    ) -> None:
        """Guards against a lost voter that keeps its vote for 10 s."""
        silent = member("c", silent_ms=AT_RISK_SILENT_MS)
        ready = member("d", voter=False)
        self.assertEqual(
            change(member("a"), member("b"), silent, ready), "promote d"
        )

    def test_voter_that_isnt_needed_keeps_its_vote_for_longer(self) -> None:
        voters = [member(name) for name in "abcd"]
        ready = member("f", voter=False)
        for silent_ms, expected in (
            (AT_RISK_SILENT_MS, ""),
            (LOST_SILENT_MS, "promote f"),
        ):
            silent = member("e", silent_ms=silent_ms)
            self.assertEqual(
                change(*voters, silent, ready, tolerated=2), expected
            )
        second = member("d", silent_ms=AT_RISK_SILENT_MS)
        first = member("e", silent_ms=AT_RISK_SILENT_MS + 1)
        self.assertEqual(
            change(*voters[:3], second, first, ready, tolerated=2), "promote f"
        )
        self.assertEqual(
            change(*voters[:3], second, first, member("f"), tolerated=2),
            "demote e",
        )

    def test_short_silence_costs_no_vote(self) -> None:
        voters = [
            member("a"),
            member("b"),
            member("c", silent_ms=member_repair.AT_RISK_AFTER_MS),
        ]
        self.assertEqual(change(*voters, member("d", voter=False)), "")

    def test_demoted_replica_is_promoted_again_when_a_vote_is_missing(
        self,
    ) -> None:
        demoted = member("c", voter=False, silent_ms=LOST_SILENT_MS)
        voters = [member("a"), member("b"), member("d")]
        self.assertEqual(change(*voters, demoted), "")
        returned = member("c", voter=False)
        self.assertEqual(change(*voters, returned), "")
        lost = member("d", silent_ms=LOST_SILENT_MS)
        self.assertEqual(change(*voters[:2], lost, returned), "promote c")
        self.assertEqual(change(*voters[:2], lost, member("c")), "demote d")
        lost = member("d", voter=False, silent_ms=LOST_SILENT_MS)
        self.assertEqual(change(*voters[:2], lost, returned), "promote c")

    def test_lost_learner_is_removed_in_the_end(self) -> None:
        """Guards against a list of members that grows with each loss."""
        voters = [member(name) for name in "abc"]
        for silent_ms, expected in (
            (FORGOTTEN_SILENT_MS - 1, ""),
            (FORGOTTEN_SILENT_MS, "remove d"),
        ):
            learner = member("d", voter=False, silent_ms=silent_ms)
            self.assertEqual(change(*voters, learner), expected)

    def test_larger_group_gets_more_voters(self) -> None:
        learners = [member(name, voter=False) for name in "de"]
        voters = [member(name) for name in "abc"]
        self.assertEqual(change(*voters, *learners, tolerated=2), "promote d")
        self.assertEqual(change(*voters, *learners, tolerated=1), "")


class MemberViewsTest(unittest.TestCase):
    """Silence counts from the election and from the joining of a member."""

    def test_new_learner_isnt_taken_for_a_lost_one(self) -> None:
        """Guards against removing a learner before its first answer."""
        views = member_views.MemberViews()
        voter = membership.Member(id="a", address="a", voter=True)
        learner = membership.Member(id="b", address="b", voter=False)
        never_ms = 1 << 60
        views.compute(
            [voter],
            term=1,
            lag={},
            silent_ms={},
            former_leader_silent_ms={},
            now=0,
        )
        for now, silent_ms in ((90_000, 0), (90_250, 250)):
            computed = views.compute(
                [voter, learner],
                term=1,
                lag={"b": 5},
                silent_ms={"b": never_ms + now},
                former_leader_silent_ms={},
                now=now,
            )
            self.assertEqual(computed[1].silent_ms, silent_ms)
        elected = views.compute(
            [voter, learner],
            term=2,
            lag={"b": 0},
            silent_ms={"b": never_ms},
            former_leader_silent_ms={},
            now=95_000,
        )
        self.assertEqual(elected[1].silent_ms, 0)

    def test_former_leader_is_silent_since_its_last_message(self) -> None:
        """Guards against a repair that waits as if the leader had just gone."""
        views = member_views.MemberViews()
        members = [
            membership.Member(id=name, address=name, voter=True)
            for name in "abc"
        ]
        never_ms = 1 << 60
        for now, silent_ms in (
            (5000, {"a": 0, "b": 0, "c": 0}),
            (5250, {"a": 0, "b": 250, "c": 250}),
            (5500, {"a": 0, "b": 1900, "c": 500}),
        ):
            computed = views.compute(
                members,
                term=2,
                lag={},
                silent_ms={"b": never_ms, "c": never_ms},
                former_leader_silent_ms={"b": 1400 + now - 5000},
                now=now,
            )
            self.assertEqual({v.id: v.silent_ms for v in computed}, silent_ms)
        answered = views.compute(
            members,
            term=2,
            lag={},
            silent_ms={"b": 30, "c": 30},
            former_leader_silent_ms={"b": 1900},
            now=5500,
        )
        self.assertEqual(answered[1].silent_ms, 30)

    def test_leader_elected_again_remembers_who_was_silent(self) -> None:
        """Guards against a lost voter that an election makes look answering."""
        views = member_views.MemberViews()
        members = [
            membership.Member(id=name, address=name, voter=True)
            for name in "abc"
        ]
        never_ms = 1 << 60

        def silences(
            now: int, term: int, former: dict[str, int], **silent_ms: int
        ) -> list[int]:
            computed = views.compute(
                members,
                term=term,
                lag={},
                silent_ms=silent_ms,
                former_leader_silent_ms=former,
                now=now,
            )
            return [view.silent_ms for view in computed]

        self.assertEqual(silences(1000, 2, {}, b=20, c=20), [0, 0, 0])
        self.assertEqual(silences(2000, 2, {}, b=20, c=1020), [0, 20, 1020])
        never = {"b": never_ms, "c": never_ms}
        self.assertEqual(silences(6000, 4, {}, **never), [0, 0, 0])
        self.assertEqual(silences(6600, 4, {}, b=20, c=never_ms), [0, 20, 5620])
        # Another leader that was followed meanwhile may have heard them.
        self.assertEqual(silences(9000, 6, {"b": 900}, **never), [0, 0, 0])
        self.assertEqual(
            silences(9600, 6, {"b": 1500}, **never), [0, 1500, 600]
        )


if __name__ == "__main__":
    unittest.main()
