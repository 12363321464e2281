"""Tests placement, order and pacing of runs, and worker health and speed."""

import itertools
import random
from typing import Any
import unittest
from unittest import mock

import msgspec

from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import job_order
from bamboorouter.coordination.policies import pacing
from bamboorouter.coordination.policies import run_placement
from bamboorouter.coordination.policies import worker_health
from bamboorouter.coordination.policies import worker_speed
from tests import job_builders as make

HEAVY = make.step(fills=True, image="heavy", need=make.need(8000, 8000))
LIGHT = make.step(fills=True, image="light", need=make.need(8000, 8000))
SERVING = make.step(
    image="desk", target_ms=100, lasting=True, need=make.need(13_000, 13_000)
)


def sample(
    utilization: float, **loads: float
) -> image_interference.UtilizationSample:
    return image_interference.UtilizationSample(
        image="desk", utilization=utilization, loads=loads
    )


def train(
    learned: image_interference.ImageInterference, **added_utilization: float
) -> None:
    """Records each image starting and ending beside a serving task."""
    for _ in range(10):
        for image, added in added_utilization.items():
            alone = sample(0.5)
            combined = sample(0.5 + added, **{image: 1.0})
            learned.learn(alone, combined)
            learned.learn(combined, alone)


class PlacementTest(unittest.TestCase):
    """Tasks are placed by headroom and away from tasks that they disturb."""

    def setUp(self) -> None:
        self.learned = image_interference.ImageInterference()
        self.policy = run_placement.MostHeadroomPlacement(
            interference=self.learned
        )
        train(self.learned, heavy=0.4, light=0.0)

    def place(
        self,
        tasks: list[run_placement.ReadyTask],
        *workers: run_placement.WorkerCapacity,
    ) -> list[str]:
        placements = self.policy.place(tasks, workers)
        return [placement.worker.name for placement in placements]

    def test_wide_step_is_spread_over_workers_and_waits_when_full(self) -> None:
        tasks = [make.ready(of=HEAVY) for _ in range(20)]
        workers = [make.worker_capacity(f"w{number}") for number in range(2)]
        placed = self.place(tasks, *workers)
        self.assertEqual(len(placed), 16)
        self.assertEqual(placed.count("w0"), 8)

    def gang(
        self, count: int, **fields: object
    ) -> list[run_placement.ReadyTask]:
        step = make.step(
            count, gang=True, need=make.need(30_000, 1000), **fields
        )
        tasks_by_worker: dict[str, int] = {}
        return [
            make.ready(
                make.ref(index=index), of=step, tasks_by_worker=tasks_by_worker
            )
            for index in range(count)
        ]

    def test_ranked_workers_are_those_that_a_full_search_finds(self) -> None:
        """Guards against ranked placement that differs from a full search.

        Placement of one task at a time considers all workers for each task.
        """
        rng = random.Random(4)
        for _ in range(60):
            state = rng.getstate()
            together = self.random_load(rng)
            rng.setstate(state)
            one_by_one = self.random_load(rng)
            placed = self.place(*together)
            placed_one_by_one = list(
                itertools.chain.from_iterable(
                    self.place([task], *one_by_one[1:])
                    for task in one_by_one[0]
                )
            )
            self.assertEqual(placed, placed_one_by_one)
            self.assertGreater(len(placed), 0)

    def test_wide_step_does_not_ask_each_worker_for_each_task(self) -> None:
        for suspects in (0, 2, 5):
            with self.subTest(suspects=suspects):
                self.place_wide_step(suspects)

    def place_wide_step(self, suspects: int) -> None:
        """Places a wide step in which `suspects` of five tasks are suspects."""
        tasks_by_worker: dict[str, int] = {}
        tasks = [
            make.ready(
                make.ref(index=n),
                of=SERVING,
                tasks_by_worker=tasks_by_worker,
                suspicion=int(n * suspects % 5 < suspects),
            )
            for n in range(100)
        ]
        workers = [make.worker_capacity(f"w{number}") for number in range(50)]
        rankings = 2 if 0 < suspects < 5 else 1
        with mock.patch.object(
            self.policy, "speed_fraction", return_value=1.0
        ) as speed_fraction:
            self.assertEqual(len(self.place(tasks, *workers)), len(tasks))
        self.assertLessEqual(
            speed_fraction.call_count, rankings * len(workers) + len(tasks)
        )

    def random_load(self, rng: random.Random) -> tuple[Any, ...]:
        """Returns ready tasks of several steps, then workers."""
        tasks = []
        for number in range(8):
            step = rng.choice((HEAVY, LIGHT, SERVING, make.step(4)))
            step = msgspec.structs.replace(
                step,
                max_per_worker=rng.choice((0, 0, 2)),
                rack_local=rng.random() < 0.2,
            )
            tasks_by_worker: dict[str, int] = {}
            tasks += [
                make.ready(
                    make.ref(f"j{number}", index=index),
                    of=step,
                    tasks_by_worker=tasks_by_worker,
                    failed_on=frozenset({"w1"} if rng.random() < 0.1 else ()),
                    overdue=index == 0 and rng.random() < 0.2,
                )
                for index in range(rng.randint(1, 9))
            ]
        workers = [
            make.worker_capacity(
                f"w{number}",
                rack=f"r{number // 3}",
                used_millicores=rng.randrange(0, 40_000, 1000),
                ejected=rng.random() < 0.2,
                serving=[("desk", 0.4)] if rng.random() < 0.5 else [],
            )
            for number in range(9)
        ]
        return (tasks, *workers)

    def test_nothing_more_is_begun_after_enough_placements(self) -> None:
        tasks = [
            make.ready(make.ref(job, index=index), of=step)
            for job in "abc"
            for step in (make.step(4),)
            for index in range(4)
        ]
        placed = self.policy.place(
            tasks, [make.worker_capacity()], stop_after=5
        )
        # A step is placed as a whole, so that a gang is never split.
        self.assertLessEqual(len(placed), 8)
        self.assertGreaterEqual(len(placed), 5)

    def test_gang_that_does_not_fit_holds_no_room(self) -> None:
        """Guards against a partly placed gang that blocks other tasks."""
        tasks = [*self.gang(5), make.ready(make.ref("b"))]
        workers = [make.worker_capacity("w1"), make.worker_capacity("w2")]
        before = [
            (worker.headroom(), worker.used_memory_mb) for worker in workers
        ]
        placements = self.policy.place(tasks, workers)
        self.assertEqual([p.task.ref.job for p in placements], ["b"])
        chosen = placements[0].worker
        chosen.remove(make.step())
        after = [
            (worker.headroom(), worker.used_memory_mb) for worker in workers
        ]
        self.assertEqual(before, after)
        self.assertEqual(sum(tasks[0].tasks_by_worker.values()), 0)

    def test_gang_of_which_a_task_can_not_start_yet_waits(self) -> None:
        self.assertEqual(
            self.place(self.gang(3)[:2], make.worker_capacity()), []
        )

    def test_gang_that_is_slower_on_several_racks_goes_on_one(self) -> None:
        workers = [
            make.worker_capacity("a1", rack="a"),
            make.worker_capacity("b1", rack="b", used_millicores=2000),
            make.worker_capacity("b2", rack="b"),
        ]
        placed = self.place(self.gang(4, rack_local=True), *workers)
        self.assertEqual({name[0] for name in placed}, {"b"})
        wide = self.place(
            self.gang(6, rack_local=True),
            *(make.worker_capacity(f"{rack}1", rack=rack) for rack in "cde"),
        )
        self.assertEqual(len(wide), 6)

    def test_tasks_that_are_slower_on_several_racks_stay_together(self) -> None:
        tasks_by_worker: dict[str, int] = {}
        step = make.step(4, rack_local=True)
        tasks = [
            make.ready(
                make.ref(index=n), of=step, tasks_by_worker=tasks_by_worker
            )
            for n in range(4)
        ]
        workers = [
            make.worker_capacity(f"{rack}1", rack=rack) for rack in "abc"
        ]
        self.assertEqual(len(set(self.place(tasks, *workers))), 1)

    def test_harmful_image_stays_away_from_serving_tasks(self) -> None:
        serving_worker = make.worker_capacity("beside")
        serving_worker.add(SERVING)
        self.assertEqual(self.place([make.ready(of=HEAVY)], serving_worker), [])
        self.assertEqual(
            self.place([make.ready(of=LIGHT)], serving_worker), ["beside"]
        )
        free = make.worker_capacity("free", used_millicores=40_000)
        self.assertEqual(
            self.place([make.ready(of=HEAVY)], serving_worker, free), ["free"]
        )

    def test_overdue_job_runs_although_it_may_disturb(self) -> None:
        """Guards against a job that never starts although there is headroom."""
        serving_worker = make.worker_capacity("beside")
        serving_worker.add(SERVING)
        overdue = make.ready(of=HEAVY, overdue=True)
        self.assertEqual(self.place([overdue], serving_worker), ["beside"])

    def test_serving_tasks_leave_a_worker_to_what_disturbs_them(self) -> None:
        workers = [make.worker_capacity(f"w{number}") for number in range(3)]
        serving = [make.ready(of=SERVING) for _ in range(8)]
        self.assertEqual(len(set(self.place(serving, *workers))), 2)
        disturbing = [make.ready(of=HEAVY) for _ in range(8)]
        self.assertEqual(len(set(self.place(disturbing, *workers))), 1)

    def test_serving_task_is_placed_whatever_fills(self) -> None:
        filled = make.worker_capacity("filled")
        for _ in range(8):
            filled.add(HEAVY)
        self.assertEqual(
            self.place([make.ready(of=SERVING)], filled), ["filled"]
        )

    def test_limit_of_tasks_on_one_worker_is_kept(self) -> None:
        apart = make.step(max_per_worker=1)
        counts: dict[str, int] = {}
        tasks = [make.ready(of=apart, tasks_by_worker=counts) for _ in range(3)]
        placed = self.place(
            tasks, make.worker_capacity("w1"), make.worker_capacity("w2")
        )
        self.assertEqual(sorted(placed), ["w1", "w2"])

    def test_label_and_service_are_kept(self) -> None:
        labelled = make.ready(of=make.step(label="gpu"))
        self.assertEqual(self.place([labelled], make.worker_capacity()), [])
        other = make.worker_capacity(service="other")
        self.assertEqual(self.place([make.ready()], other), [])

    def test_task_avoids_a_worker_on_which_it_failed(self) -> None:
        task = make.ready(failed_on=frozenset({"w1"}))
        crowded = make.worker_capacity("w2", used_millicores=60_000)
        self.assertEqual(
            self.place([task], make.worker_capacity("w1"), crowded), ["w2"]
        )
        self.assertEqual(self.place([task], make.worker_capacity("w1")), ["w1"])


class SuspectPlacementTest(unittest.TestCase):
    """Tasks under which workers crashed are kept apart, and from others."""

    def setUp(self) -> None:
        self.policy = run_placement.MostHeadroomPlacement(
            interference=image_interference.ImageInterference()
        )

    def worker(
        self, name: str, *suspicions: int, runs: int = 0
    ) -> run_placement.WorkerCapacity:
        return make.worker_capacity(
            name, suspicions=list(suspicions), runs=len(suspicions) + runs
        )

    def chosen(
        self,
        suspicion: int,
        *workers: run_placement.WorkerCapacity,
        failed_on: frozenset[str] = frozenset(),
    ) -> str:
        """Returns the worker that a task is placed on."""
        (placement,) = self.policy.place(
            [make.ready(suspicion=suspicion, failed_on=failed_on)],
            list(workers),
        )
        return placement.worker.name

    def test_suspect_goes_to_the_worker_with_the_fewest_runs(self) -> None:
        workers = [self.worker("w1", runs=3), self.worker("w2", runs=2)]
        workers[1].used_millicores = 30_000
        self.assertEqual(self.chosen(1, *workers), "w2")
        self.assertEqual(self.chosen(0, *workers), "w1")

    def test_suspect_avoids_other_suspects(self) -> None:
        workers = (self.worker("w1", 1), self.worker("w2", runs=20))
        self.assertEqual(self.chosen(1, *workers), "w2")

    def test_most_suspicious_tasks_are_kept_apart_first(self) -> None:
        workers = (self.worker("w1", 3), self.worker("w2", 2, 2, 1, 1))
        self.assertEqual(self.chosen(3, *workers), "w2")

    def test_other_task_avoids_a_worker_with_a_repeated_suspect(self) -> None:
        workers = (self.worker("w1", 2), self.worker("w2", 1))
        workers[1].used_millicores = 30_000
        self.assertEqual(self.chosen(0, *workers), "w2")

    def test_suspect_waits_for_no_better_worker(self) -> None:
        self.assertEqual(self.chosen(2, self.worker("w1", 3, runs=9)), "w1")
        self.assertEqual(self.chosen(0, self.worker("w1", 3, runs=9)), "w1")

    def test_worker_that_fails_all_runs_is_worse_than_a_suspect(self) -> None:
        workers = (self.worker("w1"), self.worker("w2", 2))
        workers[0].ejected = True
        self.assertEqual(self.chosen(1, *workers), "w2")

    def test_worker_on_which_the_task_failed_is_worse_than_a_suspect(
        self,
    ) -> None:
        """A worker that fails its runs has few of them."""
        for suspicion in (0, 1):
            chosen = self.chosen(
                suspicion,
                self.worker("w1"),
                self.worker("w2", 2, runs=9),
                failed_on=frozenset({"w1"}),
            )
            self.assertEqual(chosen, "w2")

    def test_suspects_of_one_pass_are_spread(self) -> None:
        step = make.step(4)
        counts: dict[str, int] = {}
        tasks = [
            make.ready(
                make.ref(index=index),
                of=step,
                tasks_by_worker=counts,
                suspicion=suspicion,
            )
            for index, suspicion in enumerate((1, 0, 1, 2))
        ]
        workers = [
            self.worker(f"w{number}", runs=number) for number in (1, 2, 3)
        ]
        placed = {
            placement.task.ref.index: placement.worker.name
            for placement in self.policy.place(tasks, workers)
        }
        suspects = {placed[index] for index in (0, 2, 3)}
        self.assertEqual(suspects, {"w1", "w2", "w3"})

    def test_gang_that_does_not_fit_leaves_no_suspicion(self) -> None:
        step = make.step(2, gang=True, need=make.need(40_000))
        counts: dict[str, int] = {}
        tasks = [
            make.ready(
                make.ref(index=index),
                of=step,
                tasks_by_worker=counts,
                suspicion=1,
            )
            for index in range(2)
        ]
        worker = self.worker("w1")
        self.assertEqual(self.policy.place(tasks, [worker]), [])
        self.assertEqual((worker.runs, worker.suspicions), (0, []))


class InterferenceTest(unittest.TestCase):
    """A harmful pair of images is learned from a few samples."""

    def test_harmful_pair_is_told_from_a_bystander(self) -> None:
        learned = image_interference.ImageInterference()
        train(learned, heavy=0.2, light=0.0)
        self.assertAlmostEqual(learned.weight("desk", "heavy"), 0.2, delta=0.05)
        self.assertLess(
            learned.weight("desk", "light"),
            image_interference.HARMLESS_WEIGHT,
        )

    def test_swinging_own_load_is_not_blamed_on_what_fills(self) -> None:
        learned = image_interference.ImageInterference()
        for number in range(40):
            serving_load = 0.3 + 0.2 * (number % 2)
            learned.learn(
                sample(serving_load, light=1.0),
                sample(0.8 - serving_load, light=1.0),
            )
        self.assertEqual(
            learned.weight("desk", "light"), image_interference.INITIAL_WEIGHT
        )

    def test_latency_is_read_as_utilization(self) -> None:
        # An unloaded serving task takes one sixth of its target latency.
        self.assertAlmostEqual(image_interference.utilization(100, 100), 5 / 6)
        self.assertEqual(image_interference.utilization(10, 100), 0.0)

    def test_run_on_a_shrunk_worker_is_at_most_the_load_of_all_of_it(
        self,
    ) -> None:
        """Guards against a weight of zero after a capacity has shrunk."""
        for capacity in (0, 1, 8000):
            units = image_interference.load_units(8000, capacity)
            self.assertAlmostEqual(
                units * image_interference.LOAD_UNIT_SHARE, 1.0
            )
        self.assertEqual(image_interference.load_units(0, 0), 0.0)
        learned = image_interference.ImageInterference()
        train(learned, heavy=0.2)
        before, shrunk = (
            sample(0.5, heavy=image_interference.load_units(1600, capacity))
            for capacity in (16_000, 0)
        )
        learned.learn(before, shrunk)
        self.assertGreater(
            learned.weight("desk", "heavy"), image_interference.HARMLESS_WEIGHT
        )


class JobOrderTest(unittest.TestCase):
    """Jobs that can still meet their deadline are ordered first."""

    def waiting(self, sequence: int, **fields: object) -> job_order.WaitingJob:
        values = {
            "sequence": sequence,
            "priority": 0,
            "accepted_ms": 0,
            "critical_path_ms": 1000,
            "remaining_path_ms": 1000,
            "slack": 2.0,
            "target_ms": 500,
            "work": 1_000_000_000,
            "remaining_work": 1_000_000_000,
            **fields,
        }
        return job_order.WaitingJob(**values)  # type: ignore[arg-type]

    def sequences(self, *waiting: job_order.WaitingJob) -> list[int]:
        ordered = sorted(
            waiting, key=lambda job: job_order.order_key(job, 5000)
        )
        return [job.sequence for job in ordered]

    def test_late_jobs_step_behind_those_in_time(self) -> None:
        late = self.waiting(1)
        in_time = self.waiting(2, accepted_ms=5000)
        other = self.waiting(0, accepted_ms=5000, priority=2)
        self.assertEqual(self.sequences(other, late, in_time), [2, 1, 0])

    def test_what_was_begun_is_finished_first(self) -> None:
        """Guards against deadline order: all jobs of a flood become late."""
        begun = self.waiting(1, accepted_ms=5000, remaining_work=200_000_000)
        flood = [
            self.waiting(number, accepted_ms=4000) for number in range(2, 9)
        ]
        self.assertEqual(self.sequences(*flood, begun)[0], 1)


class PacerTest(unittest.TestCase):
    """Best-effort runs share what serving tasks leave, by interference."""

    def setUp(self) -> None:
        self.pacer = pacing.Pacer()
        self.percent = {"heavy": 100, "light": 100}

    def decide(
        self,
        own_utilization: float,
        now: int,
        *,
        unknown_utilization: float = 0.0,
    ) -> dict[str, int]:
        """Runs the pacer once; returns the speed of each image in percent.

        Args:
            own_utilization: Utilization of the serving task alone.
            now: Time in ms.
            unknown_utilization: Utilization that no known weight explains.
        """
        used = {image: p / 100 for image, p in self.percent.items()}
        total = own_utilization + 0.4 * used["heavy"] + unknown_utilization
        # Inverse of image_interference.utilization for a target of 100 ms, of
        # which an unloaded serving task takes one sixth.
        latency_ms = 100 / 6 / max(0.01, 1 - total)
        changes = self.pacer.decide(
            serving=[
                pacing.ServingRun(
                    image="desk", latency_ms=int(latency_ms), target_ms=100
                )
            ],
            best_effort=[
                pacing.BestEffortRun(
                    task=make.ref(image),
                    attempt=1,
                    image=image,
                    units=1.0,
                    used=used[image],
                    percent=percent,
                )
                for image, percent in self.percent.items()
            ],
            weight=lambda _, image: 0.4 if image == "heavy" else 0.0,
            now=now,
        )
        for run in changes:
            self.percent[run.image] = run.percent
        return dict(self.percent)

    def test_only_the_harmful_image_is_slowed(self) -> None:
        decided = self.decide(0.5, 0)
        self.assertEqual(decided["light"], 100)
        headroom = pacing.UTILIZATION_LIMIT - 0.5
        # The heavy image adds 0.4 at full speed. The tolerance covers latencies
        # in whole milliseconds.
        self.assertAlmostEqual(decided["heavy"], headroom / 0.4 * 100, delta=3)

    def test_figures_from_before_a_change_cause_no_second_one(self) -> None:
        first = self.decide(0.5, 0)
        self.assertEqual(self.decide(0.7, 300), first)
        self.assertLess(self.decide(0.7, 700)["heavy"], first["heavy"])

    def test_everything_stops_when_users_wait_for_long(self) -> None:
        for now in range(0, 2500, 250):
            self.decide(0.4, now, unknown_utilization=0.6)
        self.assertEqual(self.percent, {"heavy": 0, "light": 0})

    def test_speed_comes_back_in_steps_as_the_load_falls(self) -> None:
        self.percent = {"heavy": 10, "light": 100}
        speeds = [
            self.decide(0.2, number * 700)["heavy"] for number in range(4)
        ]
        self.assertEqual(speeds, [40, 70, 100, 100])

    def test_run_begins_at_the_speed_that_its_neighbours_bear(self) -> None:
        self.assertEqual(pacing.initial_percent([]), 100)
        self.assertEqual(pacing.initial_percent([1.0, 0.45]), 45)
        self.assertEqual(
            pacing.initial_percent([0.0]), pacing.MIN_SPEED_PERCENT
        )


class WorkerSpeedTest(unittest.TestCase):
    """A slow worker is detected although run time estimates are wrong."""

    def slowness(self, *progress: int, estimate_ms: int = 1000) -> float | None:
        return worker_speed.median_slowness(
            worker_speed.RunProgress(
                age_ms=1000, progress=percent, estimate_ms=estimate_ms
            )
            for percent in progress
        )

    def slow_workers(self, **slowness: float | None) -> frozenset[str]:
        return worker_speed.slow_workers(
            {name: value for name, value in slowness.items() if value}
        )

    def test_worker_that_stands_still_is_told_from_one_slow_task(self) -> None:
        self.assertEqual(
            self.slow_workers(
                hangs=self.slowness(0, 2, 1),
                mixed=self.slowness(90, 5, 80),
                usual=self.slowness(90, 60, 80),
            ),
            {"hangs"},
        )

    def test_wrong_estimates_of_all_tasks_blame_nobody(self) -> None:
        self.assertEqual(
            self.slow_workers(
                a=self.slowness(20, 25, estimate_ms=300),
                b=self.slowness(25, 15, estimate_ms=300),
                c=self.slowness(20, 20, estimate_ms=300),
            ),
            frozenset(),
        )

    def test_one_task_says_nothing_about_its_worker(self) -> None:
        self.assertIsNone(self.slowness(1))
        self.assertIsNone(self.slowness(1, 1))


class WorkerHealthTest(unittest.TestCase):
    """A worker on which runs of several jobs fail is ejected for a while."""

    def test_failures_of_several_jobs_in_a_row_count(self) -> None:
        health = worker_health.WorkerHealth()
        for job in ("a", "b"):
            health.ended(worker="w1", job=job, failed=True, now=0)
        self.assertFalse(health.ejected("w1", 0))
        health.ended(worker="w1", job="c", failed=True, now=0)
        self.assertTrue(health.ejected("w1", 1000))
        self.assertFalse(health.ejected("w1", worker_health.EJECTION_MS))

    def test_one_job_that_always_fails_shuns_nobody(self) -> None:
        health = worker_health.WorkerHealth()
        for _ in range(10):
            health.ended(worker="w1", job="poison", failed=True, now=0)
        self.assertFalse(health.ejected("w1", 0))


if __name__ == "__main__":
    unittest.main()
