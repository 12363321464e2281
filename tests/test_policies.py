"""Tests the policies for size, interference, eviction, faults and order."""

import unittest

from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.policies import fault_attribution
from bamboorouter.coordination.policies import interference
from bamboorouter.coordination.policies import sizes
from bamboorouter.coordination.policies import task_order
from tests import machine_commands as make


class SizesTest(unittest.TestCase):
    """Estimates move from the declared to the measured size."""

    def test_estimate_moves_with_the_number_of_measurements(self) -> None:
        learned = sizes.LearnedSizes()
        row = make.row("match-17", millicores=1000, memory_mb=1000)
        self.assertEqual(learned.need(row).millicores, 1000)
        for _ in range(5):
            learned.observe(row, millicores=3000, memory_mb=500)
        # The measured size has a weight of n / (n + 5), here one half. Jobs of
        # one class share their estimate.
        sibling = make.row("match-18", millicores=1000, memory_mb=1000)
        self.assertEqual(learned.need(sibling).millicores, 2000)
        # Measured memory counts with a margin of 10 %: (1000 + 550) / 2.
        self.assertEqual(learned.need(sibling).memory_mb, 775)
        other = make.row("grind-1", millicores=1000)
        self.assertEqual(learned.need(other).millicores, 1000)

    def test_quiet_service_keeps_its_declared_size(self) -> None:
        """Low usage in the past doesn't bound the future load of a service."""
        learned = sizes.LearnedSizes()
        row = make.service("web", millicores=4000)
        for _ in range(40):
            learned.observe(row, millicores=10, memory_mb=10)
        self.assertEqual(learned.need(row).millicores, 4000)


class InterferenceTest(unittest.TestCase):
    """Only the class that causes a slowdown has a cost.

    Hysteresis keeps a single high measurement from changing a cost.
    """

    def test_disturbing_class_is_told_from_a_bystander(self) -> None:
        learned = interference.LearnedInterference()
        for _ in range(20):
            learned.observe("web", 10, ["quiet"])
            learned.observe("web", 40, ["noisy", "quiet"])
        self.assertGreater(learned.cost("web", "noisy"), 1000)
        self.assertEqual(learned.cost("web", "quiet"), 0)

    def test_new_class_is_suspected_before_a_proven_one(self) -> None:
        """Guards against blaming a proven class for a new class's slowdown."""
        learned = interference.LearnedInterference()
        for _ in range(20):
            learned.observe("web", 10, ["usual"])
        for _ in range(20):
            learned.observe("web", 30, ["usual", "new"])
        self.assertGreater(learned.cost("web", "new"), 0)
        self.assertEqual(learned.cost("web", "usual"), 0)

    def test_one_high_measurement_changes_nothing(self) -> None:
        learned = interference.LearnedInterference()
        for _ in range(10):
            learned.observe("web", 10, ["job"])
        learned.observe("web", 30, ["job"])
        self.assertEqual(learned.cost("web", "job"), 0)


def victim(task: str, **fields: int) -> eviction.Victim:
    values: dict[str, int] = {
        "epoch": 1,
        "urgency": 7,
        "lost_ms": 1000,
        "age_ms": 5000,
        **fields,
    }
    return eviction.Victim(task=task, need=make.need(2), **values)


def worker_load(
    *victims: eviction.Victim, **fields: float
) -> eviction.WorkerLoad:
    values: dict[str, float] = {
        "service_slots": 0,
        "since_eviction_ms": 10**6,
        **fields,
    }
    return eviction.WorkerLoad(
        worker="w1",
        slots=8,
        free=make.need(1),
        victims=victims,
        **values,  # type: ignore[arg-type]
    )


class EvictionTest(unittest.TestCase):
    """LeastLossEviction limits its rate and the work that is lost."""

    policy = eviction.LeastLossEviction()
    request = eviction.CapacityRequest(
        kind="service", urgency=0, need=make.need(3)
    )

    def test_least_work_is_lost_and_pauses_are_kept(self) -> None:
        costly, cheap = victim("a/0", lost_ms=9000), victim("b/0", lost_ms=10)
        chosen = self.policy.choose_victim(
            self.request, [worker_load(costly, cheap)]
        )
        assert chosen is not None
        self.assertEqual(chosen[1].task, "b/0")
        # A worker has at most one eviction in 30 s.
        recent = worker_load(costly, cheap, since_eviction_ms=29_999)
        self.assertIsNone(self.policy.choose_victim(self.request, [recent]))

    def test_no_task_as_urgent_and_no_useless_eviction(self) -> None:
        equal = worker_load(victim("a/0", urgency=0))
        self.assertIsNone(self.policy.choose_victim(self.request, [equal]))
        large = eviction.CapacityRequest(
            kind="service", urgency=0, need=make.need(4)
        )
        self.assertIsNone(
            self.policy.choose_victim(large, [worker_load(victim("a/0"))])
        )

    def test_throttling_comes_first_and_ends_when_it_helped(self) -> None:
        decisions = [
            self.policy.relieve(
                worker_load(victim("a/0", cost=9), slowdown=3.0)
            ),
            self.policy.relieve(
                worker_load(victim("a/0", throttled_ms=9_999), slowdown=3.0)
            ),
            self.policy.relieve(
                worker_load(victim("a/0", throttled_ms=10_000), slowdown=3.0)
            ),
            self.policy.relieve(
                worker_load(victim("a/0", throttled_ms=5_000), slowdown=1.2)
            ),
        ]
        actions = [
            decision.action if decision else None for decision in decisions
        ]
        self.assertEqual(actions, ["throttle", None, "evict", "resume"])


class BlameTest(unittest.TestCase):
    """Results elsewhere tell whether a job or a worker causes failures."""

    def setUp(self) -> None:
        self.policy = fault_attribution.CrossJobAttribution()

    def observe(
        self, job: str, worker: str, finished: bool, at: int = 0
    ) -> None:
        self.policy.observe(
            fault_attribution.Outcome(
                job=job, worker=worker, finished=finished, at_ms=at
            )
        )

    def test_job_that_fails_where_others_finish_is_at_fault(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.observe("good", worker, True)
            self.observe("bad", worker, False)
        self.assertTrue(self.policy.job_at_fault("bad"))
        self.assertFalse(self.policy.job_at_fault("good"))
        self.assertFalse(self.policy.worker_at_fault("w1"))

    def test_worker_that_fails_what_finishes_elsewhere_is_at_fault(
        self,
    ) -> None:
        for job in ("a", "b", "c"):
            self.observe(job, "black-hole", False)
            self.assertFalse(self.policy.worker_at_fault("black-hole"))
            self.observe(job, "w1", True)
        self.assertTrue(self.policy.worker_at_fault("black-hole"))
        for job in ("a", "b", "c"):
            self.assertFalse(self.policy.job_at_fault(job))
        self.policy.clear_failures("black-hole")
        self.assertFalse(self.policy.worker_at_fault("black-hole"))

    def test_failures_are_forgotten(self) -> None:
        for worker in ("w1", "w2", "w3"):
            self.observe("good", worker, True)
            self.observe("bad", worker, False)
        self.observe("good", "w1", True, at=fault_attribution.REMEMBERED_MS + 1)
        self.assertFalse(self.policy.job_at_fault("bad"))


class TaskOrderTest(unittest.TestCase):
    """Orders by urgency, then the team furthest below its share, then place."""

    def test_teams_take_turns_by_share(self) -> None:
        rows = [
            task_order.WaitingRow(
                row=f"{team}{place}",
                team=team,
                urgency=5,
                place=place,
                submitted_ms=0,
            )
            for team in "ab"
            for place in (2, 1)
        ]
        queue = task_order.FairOrder().queue(rows, {}, {"a": 3, "b": 1})
        served = []
        for _ in range(8):
            head = queue.head()
            assert head is not None
            served.append(head.row)
            queue.charge(0.1)
        self.assertEqual(served.count("a1"), 6)
        self.assertEqual(served.count("b1"), 2)
        queue.head()
        queue.drop()
        self.assertTrue(queue.head())
