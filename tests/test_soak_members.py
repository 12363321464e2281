"""Tests losses of control replicas in the soak test."""

import itertools
import unittest

from devtools import soak_checks
from devtools import soak_members
from devtools import soak_schedule
from tests import soak_case

SEEDS = range(200)


def _schedule(
    seed: int, *, controls: int = 3, mixed: bool = True, final: bool = True
) -> list[soak_schedule.Fault]:
    return soak_members.schedule(
        seed, controls=controls, seconds=40.0, mixed=mixed, final=final
    )


def _overlaps(
    faults: list[soak_schedule.Fault],
) -> list[tuple[soak_schedule.Fault, soak_schedule.Fault]]:
    """Returns losses of disks of which both count at some moment."""
    kinds = (*soak_members.DISK_LOSSES, soak_members.FINAL)
    lost = [fault for fault in faults if fault.kind in kinds]
    return [
        (earlier, later)
        for earlier, later in itertools.pairwise(lost)
        if later.at_s
        <= soak_members.restarted_s(earlier) + soak_members.COUNTS_S
    ]


class ScheduleTest(unittest.TestCase):
    """Schedules stay within what the group tolerates."""

    def test_never_two_disks_are_lost_at_a_time(self) -> None:
        for controls in (3, 4):
            for mixed in (False, True):
                for seed in SEEDS:
                    with self.subTest(
                        controls=controls, mixed=mixed, seed=seed
                    ):
                        faults = _schedule(seed, controls=controls, mixed=mixed)
                        self.assertEqual(_overlaps(faults), [])

    def test_replacements_are_close_to_each_other(self) -> None:
        for seed in SEEDS:
            *replaced, final = _schedule(seed, mixed=False)
            self.assertEqual(len(replaced), soak_members.REPLACEMENTS)
            times = [fault.at_s for fault in (*replaced, final)]
            for earlier_s, later_s in zip(times, times[1:], strict=False):
                self.assertGreaterEqual(later_s - earlier_s, 5.2)
                self.assertLessEqual(later_s - earlier_s, 6.5)

    def test_each_replica_is_replaced(self) -> None:
        for controls in (3, 4):
            for seed in SEEDS:
                faults = _schedule(seed, controls=controls, mixed=False)
                targets = {fault.target for fault in faults[:controls]}
                self.assertEqual(len(targets), controls)

    def test_final_fault_follows_a_freeze_of_another_replica(self) -> None:
        for seed in SEEDS:
            frozen, final = _schedule(seed, controls=4)[-2:]
            self.assertEqual(
                (frozen.kind, final.kind), ("freeze", soak_members.FINAL)
            )
            self.assertNotEqual(frozen.target, final.target)
            self.assertLess(final.at_s, frozen.end_s())
            self.assertLessEqual(0.3, final.at_s - frozen.at_s)
            self.assertLessEqual(final.at_s - frozen.at_s, 2.5)

    def test_every_kind_of_loss_is_drawn(self) -> None:
        kinds = {fault.kind for seed in SEEDS for fault in _schedule(seed)}
        self.assertEqual(kinds, {*soak_members.MIXED_KINDS, soak_members.FINAL})

    def test_other_faults_end_before_the_final_fault(self) -> None:
        for seed in SEEDS:
            losses = _schedule(seed)
            others = soak_schedule.schedule(
                seed,
                seconds=60.0,
                controls=3,
                entries=2,
                workers=4,
                series=True,
                capacity=True,
            )
            merged = soak_members.merge(losses, others)
            self.assertEqual(
                [f for f in merged if f.target.startswith("control")], losses
            )
            self.assertEqual(merged, sorted(merged, key=lambda f: f.at_s))
            late = [
                fault
                for fault in merged
                if fault.end_s() > losses[-1].at_s
                and fault not in losses
                and fault.kind not in soak_schedule.CAPACITY_SHARES
            ]
            self.assertEqual(late, [])


class ChecksTest(unittest.TestCase):
    """Violations after a loss are detected."""

    def setUp(self) -> None:
        self.history = soak_checks.History(clock=lambda: 0.0)

    def test_limit_for_reading_after_a_loss(self) -> None:
        self.history.record_recovery("the configuration", 12.0, limit_s=12.0)
        self.assertEqual(self.history.violations, [])
        self.history.record_recovery("the configuration", 12.1, limit_s=12.0)
        self.assertEqual(len(self.history.violations), 1)

    def test_data_beyond_the_disk(self) -> None:
        self.history.record_disk_use(24.0, disk_mb=24)
        self.assertEqual(self.history.violations, [])
        self.history.record_disk_use(24.1, disk_mb=24)
        self.assertEqual(len(self.history.violations), 1)

    def test_job_that_was_accepted_last(self) -> None:
        self.assertIsNone(self.history.newest_accepted_job())
        for job, status in (("a", 200), ("b", 200), ("c", 503)):
            self.history.record_submission(job, soak_case.LASTING)
            self.history.record_submission_status(job, status)
        self.assertEqual(self.history.newest_accepted_job(), "b")


if __name__ == "__main__":
    unittest.main()
