"""Guards against one wrong announcement that hides the true ones after it."""

import unittest

from bamboorouter.coordination.workers import announcement_order
from bamboorouter.coordination.workers import worker_port
from tests import fake_worker

HEARTBEAT_MS = 1500
# The worker's clock when it sends its first announcement.
FIRST_MS = 400_000


def announced(
    sequence: int,
    clock_ms: int | None = None,
    *,
    timed: bool = True,
    **fields: object,
) -> worker_port.Announcement:
    """Returns a true announcement, unless a clock or other fields are given."""
    if clock_ms is None and timed:
        clock_ms = FIRST_MS + HEARTBEAT_MS * (sequence - 1)
    return fake_worker.announcement(
        sequence=sequence, clock_ms=clock_ms, **fields
    )


class AnnouncementOrderTest(unittest.TestCase):
    """Announcements arrive one after another at a known time."""

    def setUp(self) -> None:
        self.order = announcement_order.AnnouncementOrder()
        self.current = announced(1)
        self.now = 0
        self.clock_known = True

    def arrive(
        self, announcement: worker_port.Announcement, after_ms: int = 0
    ) -> bool:
        """Returns whether an announcement counts, `after_ms` after the last."""
        self.now += after_ms
        contradiction = self.order.find_contradiction(
            announcement,
            self.current,
            worker_ms=FIRST_MS + self.now if self.clock_known else None,
            now=self.now,
        )
        if not contradiction:
            self.current = announcement
        return not contradiction

    def test_successive_announcements_count(self) -> None:
        for sequence in (2, 3, 5):
            self.now = HEARTBEAT_MS * (sequence - 1)
            self.assertTrue(self.arrive(announced(sequence)))
            self.assertTrue(self.arrive(announced(sequence)))

    def test_sequence_that_is_far_too_high_hides_no_later_one(self) -> None:
        for clock_known in (True, False):
            for clock_ms in (0, FIRST_MS + 10):
                with self.subTest(clock_known=clock_known, clock_ms=clock_ms):
                    self.setUp()
                    self.clock_known = clock_known
                    self.arrive(announced(10**6, clock_ms))
                    later = announced(2, draining=True)
                    self.assertTrue(self.arrive(later, HEARTBEAT_MS))
                    self.assertTrue(self.arrive(announced(3), HEARTBEAT_MS))

    def test_delayed_ones_never_count(self) -> None:
        for clock_known in (True, False):
            with self.subTest(clock_known=clock_known):
                self.setUp()
                self.clock_known = clock_known
                self.now = 5 * HEARTBEAT_MS
                self.assertTrue(self.arrive(announced(6, draining=True)))
                for sequence in (2, 3, 4, 5, 4):
                    self.assertFalse(self.arrive(announced(sequence), 900))

    def test_delayed_one_after_one_with_a_wrong_sequence(self) -> None:
        self.now = 20 * HEARTBEAT_MS
        self.arrive(announced(20))
        self.assertTrue(self.arrive(announced(10**6, FIRST_MS + self.now)))
        self.assertFalse(self.arrive(announced(5)))
        self.assertTrue(self.arrive(announced(21), HEARTBEAT_MS))

    def test_one_from_the_future_is_refused(self) -> None:
        ahead_ms = FIRST_MS + 3_600_000
        self.assertFalse(self.arrive(announced(2, ahead_ms)))
        self.assertTrue(self.arrive(announced(2), HEARTBEAT_MS))

    def test_one_from_the_future_before_the_clock_is_known(self) -> None:
        self.clock_known = False
        self.assertTrue(self.arrive(announced(10**6, FIRST_MS + 3_600_000)))
        self.clock_known = True
        self.assertTrue(self.arrive(announced(2), HEARTBEAT_MS))

    def test_wrong_service_or_address_is_refused(self) -> None:
        for fields in (
            {"service": "other"},
            {"address": "127.0.0.1:9"},
            {"labels": ("b",)},
            {"zone": "z2"},
        ):
            with self.subTest(fields):
                self.setUp()
                odd = announced(10**6, FIRST_MS + HEARTBEAT_MS, **fields)
                self.assertFalse(self.arrive(odd, HEARTBEAT_MS))
                self.assertTrue(self.arrive(announced(2)))

    def test_true_service_wins_over_a_wrong_first_one(self) -> None:
        self.current = announced(1, service="other")
        counted = [
            self.arrive(announced(sequence), HEARTBEAT_MS)
            for sequence in (2, 3, 4, 5)
        ]
        self.assertEqual(counted, [False, False, True, True])

    def test_without_clocks_a_series_wins_over_one_outlier(self) -> None:
        self.current = announced(10**6, timed=False)
        counted = [
            self.arrive(announced(sequence, timed=False), HEARTBEAT_MS)
            for sequence in (2, 3, 4, 5)
        ]
        self.assertEqual(counted, [False, False, True, True])

    def test_without_clocks_a_burst_of_delayed_ones_does_not_count(
        self,
    ) -> None:
        self.current = announced(9, timed=False)
        for sequence in (2, 3, 4, 5):
            self.assertFalse(self.arrive(announced(sequence, timed=False), 10))
        self.assertTrue(self.arrive(announced(10, timed=False), HEARTBEAT_MS))
        for sequence in (6, 7):
            self.assertFalse(
                self.arrive(announced(sequence, timed=False), HEARTBEAT_MS)
            )


if __name__ == "__main__":
    unittest.main()
