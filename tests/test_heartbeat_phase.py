"""Tests that agents send their heartbeats at the same times.

The leader reads heartbeats that arrive together in few wake-ups. Guards against
agents that drift apart and against two heartbeats in quick succession.
"""

import unittest

from bamboorouter.coordination.requests import heartbeat_phase

PERIOD_MS = 1000


class WaitTest(unittest.TestCase):
    """The wait until the next common time of heartbeats."""

    def test_all_agents_meet_at_a_multiple_of_the_period(self) -> None:
        for answered_ms in range(5000, 7000, 37):
            wait = heartbeat_phase.wait_ms(
                period_ms=PERIOD_MS, leader_ms=answered_ms, elapsed_ms=50
            )
            self.assertEqual((answered_ms + 50 + wait) % PERIOD_MS, 0)
            self.assertGreaterEqual(wait, PERIOD_MS // 2)
            self.assertLess(wait, 3 * PERIOD_MS // 2)
