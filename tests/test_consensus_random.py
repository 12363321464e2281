"""Guards against lost or differing entries, two leaders and stale reads.

The failing seed stands in the message; `Simulation(seed=...)` repeats it.
"""

import unittest

from absl import logging

from tests import consensus_simulation as simulation

DURATION_MS = 60_000
SEEDS = range(8)


class RandomScheduleTest(unittest.TestCase):
    """Random faults, several seeds."""

    def setUp(self) -> None:
        before = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, before)

    def test_promises_hold_under_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = simulation.Simulation(seed=seed)
                world.run(DURATION_MS)
                print(
                    f"seed {seed}: {world.steps} steps,"
                    f" {len(world.acknowledged)} acknowledged,"
                    f" {world.replaced} replaced, {world.faults}"
                )
                self.assertGreater(len(world.acknowledged), 100)
