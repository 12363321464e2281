"""Guards against a group that ends for good when its members are replaced."""

import functools
import itertools
import math
import random
import unittest

from absl import logging

from tests import membership_simulation as simulation

SEEDS = range(6)
SUCCESSOR_AFTER_MS = 1000
# Time after which a machine that was replaced no longer counts as lost.
CATCH_UP_MS = 4000
# Voters that are frozen or cut off lose their votes in this time, in ms.
SILENT_MS = range(1200, 2401, 50)
# So does a single one of five, after 3 s.
SINGLE_SILENT_MS = range(2900, 3901, 100)
# A loss that starts then ends the count of the one before.
IN_TURN_MS = range(5200, 6201, 100)
FAULT_MS = 20_000
# A successor that starts first takes over within CATCH_UP_MS of its start.
PLANNED_REPAIR_MS = CATCH_UP_MS - SUCCESSOR_AFTER_MS
DOWN_MS = 500
COMMIT_MS = 40


class ReplacedMembersTest(unittest.TestCase):
    """Simulated groups whose members are lost one after the other."""

    def setUp(self) -> None:
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def replace_in_turn(
        self, group: simulation.RepairSimulation, *, count: int, gap_ms: float
    ) -> None:
        for _ in range(count):
            group.replace(
                group.oldest(), moved=True, after_ms=SUCCESSOR_AFTER_MS
            )
            group.run_for(gap_ms)

    def test_group_outlives_replacements_at_other_addresses(self) -> None:
        """Guards against a lost voter that keeps its vote for 10 s.

        Three of four machines are replaced 8.5 s apart. The second one that
        had a vote is lost before the vote of the first has been reassigned.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=4, tolerated=1
                )
                self.replace_in_turn(group, count=4, gap_ms=8500)
                self.assertGreaterEqual(group.voters_lost, 2)
                self.assertTrue(group.settle())

    def test_group_outlives_replacements_that_count_as_lost_in_turn(
        self,
    ) -> None:
        """Each machine is lost just after the previous one stops counting."""
        gap_ms = SUCCESSOR_AFTER_MS + CATCH_UP_MS + 200
        for size, tolerated in ((4, 1), (5, 2), (6, 2)):
            for seed in SEEDS:
                with self.subTest(size=size, seed=seed):
                    group = simulation.RepairSimulation(
                        seed=seed, size=size, tolerated=tolerated
                    )
                    self.replace_in_turn(group, count=2 * size, gap_ms=gap_ms)
                    self.assertTrue(group.settle())

    def test_group_outlives_pairs_of_losses(self) -> None:
        """Guards against lost voters that still count when a pair is lost."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=6, tolerated=2
                )
                for _ in range(3):
                    for _ in range(2):
                        group.replace(
                            group.oldest(),
                            moved=True,
                            after_ms=SUCCESSOR_AFTER_MS,
                        )
                    group.run_for(SUCCESSOR_AFTER_MS + CATCH_UP_MS + 2200)
                self.assertTrue(group.settle())

    def test_group_outlives_mixed_losses(self) -> None:
        """Replicas are replaced, wiped, frozen, cut off and killed in turn."""
        for seed in range(40):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                size, tolerated = rng.choice(((4, 1), (5, 2), (6, 2)))
                group = simulation.RepairSimulation(
                    seed=seed, size=size, tolerated=tolerated
                )
                for _ in range(8):
                    slot = rng.randrange(size)
                    lost_ms = rng.uniform(500, 4000)
                    rng.choice(
                        (
                            functools.partial(
                                group.replace,
                                slot,
                                moved=True,
                                after_ms=lost_ms,
                            ),
                            functools.partial(
                                group.replace,
                                slot,
                                moved=False,
                                after_ms=lost_ms,
                            ),
                            functools.partial(group.freeze, slot, lost_ms),
                            functools.partial(group.cut, slot, lost_ms),
                            functools.partial(group.kill, slot, lost_ms),
                        )
                    )()
                    group.run_for(
                        lost_ms + CATCH_UP_MS + rng.uniform(500, 1500)
                    )
                self.assertTrue(group.settle())

    def lose_voters(
        self,
        group: simulation.RepairSimulation,
        *,
        silent: set[int],
        leader_too: bool,
    ) -> None:
        """Wipes as many answering voters as tolerated; stops all replicas."""
        leader = group.leader()
        self.assertIsNotNone(leader)
        answering = sorted(
            group.voters() - silent,
            key=lambda slot: (slot == leader) != leader_too,
        )
        group.lose_power_and_disks(
            answering[: group.tolerated], down_ms=DOWN_MS
        )

    def lose_voters_after_silence(
        self, *, size: int, tolerated: int, silent: int, silent_ms: range
    ) -> None:
        """Freezes or cuts off voters, then loses other voters' disks."""
        for (seed, after_ms), cut, leader_too in itertools.product(
            enumerate(silent_ms), (False, True), (False, True)
        ):
            with self.subTest(
                seed=seed, after_ms=after_ms, cut=cut, leader_too=leader_too
            ):
                group = simulation.RepairSimulation(
                    seed=seed, size=size, tolerated=tolerated
                )
                followers = sorted(group.voters() - {group.leader()})
                slots = set(followers[:silent])
                for slot in slots:
                    (group.cut if cut else group.freeze)(slot, FAULT_MS)
                group.run_for(after_ms)
                self.lose_voters(group, silent=slots, leader_too=leader_too)
                self.assertTrue(group.settle())

    def test_group_of_four_outlives_a_lost_disk_between_two_changes(
        self,
    ) -> None:
        """Guards against a group that ends between two membership changes.

        A voter that was only frozen or cut off had lost its vote, and no
        learner had it yet, when a disk was lost and all others lost power.
        """
        self.lose_voters_after_silence(
            size=4, tolerated=1, silent=1, silent_ms=SILENT_MS
        )

    def test_group_of_five_outlives_lost_disks_after_silence(self) -> None:
        self.lose_voters_after_silence(
            size=5, tolerated=2, silent=2, silent_ms=SILENT_MS[::2]
        )

    def test_group_of_six_outlives_lost_disks_between_two_changes(
        self,
    ) -> None:
        """Guards against a group that ends between two membership changes."""
        for silent, silent_ms in ((1, SINGLE_SILENT_MS), (2, SILENT_MS)):
            self.lose_voters_after_silence(
                size=6, tolerated=2, silent=silent, silent_ms=silent_ms
            )

    def test_group_outlives_lost_disks_after_a_replacement_in_turn(
        self,
    ) -> None:
        """A disk is lost just after the replacement before stops counting."""
        for size, tolerated in ((4, 1), (5, 2), (6, 2)):
            for (seed, after_ms), leader_too in itertools.product(
                enumerate(IN_TURN_MS), (False, True)
            ):
                with self.subTest(
                    size=size,
                    seed=seed,
                    after_ms=after_ms,
                    leader_too=leader_too,
                ):
                    group = simulation.RepairSimulation(
                        seed=seed, size=size, tolerated=tolerated
                    )
                    self.replace_in_turn(group, count=2, gap_ms=after_ms)
                    self.lose_voters(group, silent=set(), leader_too=leader_too)
                    self.assertTrue(group.settle())

    def test_group_outlives_a_demotion_that_only_the_demoted_keeps(
        self,
    ) -> None:
        """Guards against a group whose newest log is on a learner only."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=4, tolerated=1
                )
                leader = group.leader()
                assert leader is not None
                demoted = min(group.voters() - {leader})
                group.promote_all()
                group.run_for(COMMIT_MS)
                self.assertEqual(len(group.voters()), 4)
                for other in set(range(4)) - {leader, demoted}:
                    group.cut_link(leader, other, FAULT_MS)
                group.demote(demoted)
                group.run_for(COMMIT_MS)
                group.lose_power_and_disks([leader], down_ms=DOWN_MS)
                self.assertTrue(group.settle())

    def lost_slot(
        self, group: simulation.RepairSimulation, *, role: str
    ) -> int:
        return next(
            slot for slot in range(len(group.nodes)) if group.role(slot) == role
        )

    def test_votes_move_on_while_entries_are_always_in_flight(self) -> None:
        """Guards against a learner that never counts as caught up.

        Some entries are always in flight, so that it nearly always lacks some.
        """
        for (size, tolerated), role, seed in itertools.product(
            ((3, 1), (4, 1), (6, 2)), ("follower", "leader"), SEEDS
        ):
            with self.subTest(size=size, role=role, seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=size, tolerated=tolerated, saturated=True
                )
                # The learners that stand by have joined.
                self.assertLess(group.repaired_after_ms(CATCH_UP_MS), math.inf)
                group.replace(
                    self.lost_slot(group, role=role),
                    moved=True,
                    after_ms=SUCCESSOR_AFTER_MS,
                )
                limit_ms = SUCCESSOR_AFTER_MS + CATCH_UP_MS
                self.assertLessEqual(
                    group.repaired_after_ms(2 * limit_ms), limit_ms
                )

    def test_votes_of_a_lost_leader_move_on_at_once(self) -> None:
        """Guards against silence that counts from the next election only.

        The followers know how long the leader has been silent before that.
        """
        for (size, tolerated), seed in itertools.product(
            ((4, 1), (6, 2)), range(12)
        ):
            with self.subTest(size=size, seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=size, tolerated=tolerated
                )
                group.replace(
                    self.lost_slot(group, role="leader"),
                    moved=True,
                    after_ms=SUCCESSOR_AFTER_MS,
                )
                self.assertLessEqual(
                    group.repaired_after_ms(2 * PLANNED_REPAIR_MS),
                    PLANNED_REPAIR_MS,
                )

    def test_votes_move_on_in_time_to_a_successor_that_starts_first(
        self,
    ) -> None:
        """Guards against a planned replacement that still counts as a loss."""
        for (size, tolerated), role, seed in itertools.product(
            ((3, 1), (4, 1), (5, 2)), ("follower", "leader"), range(6)
        ):
            with self.subTest(size=size, role=role, seed=seed):
                group = simulation.RepairSimulation(
                    seed=seed, size=size, tolerated=tolerated
                )
                group.plan_replacement(
                    self.lost_slot(group, role=role),
                    notice_ms=SUCCESSOR_AFTER_MS,
                )
                self.assertLessEqual(
                    group.repaired_after_ms(2 * PLANNED_REPAIR_MS),
                    PLANNED_REPAIR_MS,
                )

    def test_frozen_voter_is_a_member_again_when_it_answers(self) -> None:
        group = simulation.RepairSimulation(seed=1, size=4, tolerated=1)
        frozen = next(
            slot for slot in range(4) if group.role(slot) == "follower"
        )
        group.freeze(frozen, 5000)
        group.run_for(4900)
        self.assertEqual(group.voters() & {frozen}, set())
        self.assertEqual(len(group.voters()), 3)
        group.run_for(1500)
        self.assertTrue(group.has_log(frozen))
        other = next(iter(group.voters()))
        group.replace(other, moved=True, after_ms=60_000)
        group.run_for(5000)
        self.assertIn(frozen, group.voters())
        self.assertTrue(group.serves())


if __name__ == "__main__":
    unittest.main()
