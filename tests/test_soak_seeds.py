"""Runs the soak test briefly with its groups of faults and fixed seeds.

Each seed that has failed stays here as a regression test.
"""

import unittest

from tests import soak_case


class GroupsTest(soak_case.SeededRunCase):
    """Real processes violate no guarantee under further groups of faults."""

    def test_tasks_that_crash_their_workers(self) -> None:
        """Guards against starting a task again that has crashed workers.

        The replicated task kept no record of the runs that were lost with
        their workers.
        """
        history = self.run_soak(
            70110, groups=frozenset({"cancellations", "crashing"})
        )
        self.assertGreater(history.counts["crashes by tasks"], 0)
        self.assertGreater(history.counts["jobs failed"], 0)

    def test_workers_that_shrink_and_grow(self) -> None:
        """Guards against starts beyond the capacity of a shrunk worker.

        Placement used the capacity with which the session was opened.
        """
        history = self.run_soak(
            70200,
            seconds=15.0,
            workers=6,
            groups=frozenset({"cancellations", "capacity"}),
        )
        self.assertGreater(history.counts["fault shrink_far"], 0)

    def test_announcements_of_other_writers(self) -> None:
        """Guards against starts on a worker whose draining was acknowledged.

        An announcement of another writer with a number far too high hid the
        true ones.
        """
        history = self.run_soak(
            70320,
            seconds=15.0,
            workers=6,
            groups=frozenset({"cancellations", "leaving", "odd"}),
        )
        self.assertGreater(history.counts["fault leave"], 0)

    def test_control_replicas_that_are_lost_for_good(self) -> None:
        """Guards against a group without a leader after lost replicas."""
        history = self.run_soak(
            80002,
            seconds=10.0,
            controls=4,
            groups=frozenset({"members", "final"}),
        )
        self.assertGreater(history.counts["fault replace"], 0)
        self.assertEqual(history.counts["fault final"], 1)
        self.assertGreater(history.counts["reads after losses"], 12)


if __name__ == "__main__":
    unittest.main()
