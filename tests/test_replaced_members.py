"""Guards against a group that ends for good when its members are replaced."""

import functools
import random
import unittest

from absl import logging

from tests import membership_simulation as simulation

SEEDS = range(6)
SUCCESSOR_AFTER_MS = 1000
# Time after which a machine that was replaced no longer counts as lost.
CATCH_UP_MS = 4000


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
