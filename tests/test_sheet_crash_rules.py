"""Guards the rules for tasks of the sheet that crash their workers.

The replicated count, the delay and the place of the next start, and the
decision which task is given up.
"""

from typing import Any
from typing import Final
import unittest

import cbor2

from bamboorouter.coordination.policies import crash_attribution
from bamboorouter.coordination.policies import placement
from bamboorouter.coordination.scheduling import assignment_planner
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import account_records
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import sheet_crashes
from tests import machine_commands as make

KINDS: Final[tuple[common.TaskKind, ...]] = ("batch", "service")


def crash(age_ms: int = 1000) -> commands.TaskCrash:
    """Returns the evidence of a crash."""
    return commands.TaskCrash(age_ms=age_ms, confirmed=True)


class MachineTest(unittest.TestCase):
    """The replicated count is the same after snapshots and old log entries."""

    def setUp(self) -> None:
        self.apply = make.Applier()
        self.apply(make.register("w1"))
        self.apply(make.sheet(1, make.row("job"), make.service("web")))

    def task(self, name: str = "job/0") -> assignments.Task:
        return self.apply.machine.assignments.tasks[name]

    def end(self, name: str = "job/0", **fields: Any) -> commands.Result:
        """Assigns a task and ends its run."""
        self.apply(make.assign(name, "w1"))
        return self.end_run(name, self.task(name).epoch, **fields)

    def end_run(self, name: str, epoch: int, **fields: Any) -> commands.Result:
        return self.apply(
            commands.EndTask(
                task=name, epoch=epoch, **{"outcome": "lost", **fields}
            )
        )

    def test_crash_is_recorded_and_the_task_waits(self) -> None:
        for age_ms in (1000, 5000):
            self.end(crash=crash(age_ms), detail="w1 crashed")
        task = self.task()
        self.assertEqual((task.crashes, task.early_crashes), (2, 1))
        self.assertEqual(task.crash_ages_ms, (1000, 5000))
        self.assertEqual((task.status, task.detail), ("pending", "w1 crashed"))
        self.assertEqual(task.failures, 0)

    def test_task_that_is_given_up_has_failed(self) -> None:
        self.end(outcome="given_up", crash=crash(), detail="crashes")
        self.assertEqual(self.task().status, "failed")
        self.assertEqual(self.task().detail, "crashes")

    def test_service_is_never_given_up(self) -> None:
        self.end("web/0", outcome="given_up", crash=crash())
        self.assertEqual(self.task("web/0").status, "pending")

    def test_only_the_last_ages_are_kept(self) -> None:
        for age_ms in range(12):
            self.end(crash=crash(age_ms))
        self.assertEqual(self.task().crash_ages_ms, tuple(range(4, 12)))
        self.assertEqual(self.task().crashes, 12)

    def test_run_clears_the_crashes_by_the_word_of_its_worker(self) -> None:
        cases = (
            ({"outcome": "stopped"}, 60_000, 0),
            ({"outcome": "failed"}, 60_000, 0),
            ({"outcome": "stopped"}, 59_999, 1),
            # Nobody knows how long these runs went on.
            ({"outcome": "lost"}, 60_000, 1),
            ({"outcome": "lease_expired"}, 60_000, 1),
            ({"crash": crash(60_000)}, 90_000, 1),
            ({"crash": crash(59_999)}, 90_000, 2),
        )
        for fields, after_ms, expected in cases:
            with self.subTest(fields=fields, after_ms=after_ms):
                self.setUp()
                self.end(crash=crash(10_000))
                self.apply(make.assign("job/0", "w1"))
                self.apply.wall_ms += after_ms
                self.end_run("job/0", self.task().epoch, **fields)
                task = self.task()
                self.assertEqual(task.crashes, expected)
                self.assertEqual(len(task.crash_ages_ms), expected)

    def test_eviction_after_a_long_run_clears_the_crashes(self) -> None:
        self.end(crash=crash())
        self.apply(make.assign("job/0", "w1"))
        self.apply.wall_ms += 60_000
        epoch = self.task().epoch
        self.apply(commands.EvictTask(task="job/0", epoch=epoch, reason="r"))
        self.apply(
            commands.ConfirmEviction(task="job/0", epoch=epoch, checkpoint="c")
        )
        self.assertEqual(self.task().crashes, 0)

    def test_age_that_clears_grows_with_the_last_one_to_a_bound(self) -> None:
        for last_ms, clearing_ms in (
            (1000, 60_000),
            (40_000, 80_000),
            (59_000, 118_000),
            (10**6, 600_000),
        ):
            with self.subTest(last_ms=last_ms):
                self.setUp()
                self.end(crash=crash(last_ms))
                task = self.task()
                self.assertFalse(sheet_crashes.clears(task, clearing_ms - 1))
                self.assertTrue(sheet_crashes.clears(task, clearing_ms))

    def test_crash_of_an_expired_run_counts_once(self) -> None:
        self.end(outcome="lease_expired", started=True)
        epoch = self.task().epoch
        self.apply(make.assign("job/0", "w1"))
        late = {"outcome": "crashed", "crash": crash()}
        self.assertFalse(self.end_run("job/0", epoch - 1, **late).ok)
        self.assertTrue(self.end_run("job/0", epoch, **late).ok)
        self.assertFalse(self.end_run("job/0", epoch, **late).ok)
        task = self.task()
        self.assertEqual((task.status, task.crashes), ("assigned", 1))

    def test_expired_run_that_may_not_have_started_leaves_no_record(
        self,
    ) -> None:
        self.end(outcome="lease_expired")
        self.assertEqual(self.task().expired, ())

    def test_few_expired_runs_are_kept(self) -> None:
        for _ in range(12):
            self.end(outcome="lease_expired", started=True)
        kept = [run.epoch for run in self.task().expired]
        self.assertEqual(kept, list(range(5, 13)))

    def test_snapshot_holds_the_counts(self) -> None:
        self.end(crash=crash())
        self.end("web/0", outcome="lease_expired", started=True)
        restored = machine.Machine()
        restored.restore(self.apply.machine.snapshot())
        self.assertEqual(
            restored.assignments.tasks, self.apply.machine.assignments.tasks
        )
        self.assertEqual(restored.assignments.tasks["job/0"].crashes, 1)

    def test_snapshot_of_an_earlier_version_is_restored(self) -> None:
        self.end(outcome="failed")
        plain = cbor2.loads(self.apply.machine.snapshot())
        earlier_fields = assignments.Task.__struct_fields__.index("spec") + 1
        _, tasks, _, _ = plain[5]
        tasks[:] = [task[:earlier_fields] for task in tasks]
        restored = machine.Machine()
        restored.restore(cbor2.dumps(plain))
        self.assertEqual(
            restored.assignments.tasks, self.apply.machine.assignments.tasks
        )

    def test_log_entry_of_an_earlier_version_changes_nothing_new(self) -> None:
        """Such an `EndTask` ends with its detail."""
        for outcome in ("lost", "lease_expired", "stopped"):
            self.apply(make.assign("job/0", "w1"))
            batch = commands.CommandBatch(
                wall_ms=self.apply.wall_ms,
                commands=(
                    commands.EndTask(
                        task="job/0",
                        epoch=self.task().epoch,
                        outcome=outcome,
                        detail="d",
                    ),
                ),
            )
            plain = cbor2.loads(commands.BATCH_CODEC.encode(batch))
            command = plain[-1][0]
            self.assertEqual(command[5:], ["d", None, False])
            del command[6:]
            decoded = commands.BATCH_CODEC.decode(cbor2.dumps(plain))
            index = self.apply.machine.applied_index + 1
            self.assertTrue(self.apply.machine.apply(index, decoded)[0].ok)
        task = self.task()
        self.assertEqual((task.crashes, task.expired, task.detail), (0, (), ""))


class DelayTest(unittest.TestCase):
    """Suspects wait before they are started again."""

    def task(self, *ages_ms: int, **fields: Any) -> assignments.Task:
        task = assignments.Task(
            **{
                "task": "job/0",
                "row": "job",
                "kind": "batch",
                "submitted_ms": 0,
                "ended_ms": 1000,
                **fields,
            }
        )
        for age_ms in ages_ms:
            sheet_crashes.count(task, crash(age_ms))
        return task

    def test_first_crash_delays_only_if_it_was_early(self) -> None:
        self.assertEqual(assignment_planner.retry_at_ms(self.task(2001)), 0)
        self.assertGreaterEqual(
            assignment_planner.retry_at_ms(self.task(2000)), 3000
        )

    def test_delay_doubles_up_to_its_bound(self) -> None:
        for kind, bound_ms in (("service", 60_000), ("batch", 600_000)):
            for count in range(1, 40):
                with self.subTest(kind=kind, count=count):
                    task = self.task(*[9000] * (count + 1), kind=kind)
                    delay_ms = sheet_crashes.retry_delay_ms(task)
                    least_ms = min(2000 << (count - 1), bound_ms)
                    self.assertGreaterEqual(delay_ms, least_ms)
                    self.assertLessEqual(delay_ms, min(2 * least_ms, bound_ms))

    def test_delays_of_tasks_and_starts_differ(self) -> None:
        delays = {
            sheet_crashes.retry_delay_ms(
                self.task(0, task=f"job/{number}", epoch=epoch)
            )
            for number in range(4)
            for epoch in range(4)
        }
        self.assertGreater(len(delays), 12)

    def test_longer_of_two_delays_holds(self) -> None:
        task = self.task(0, failures=6)
        self.assertEqual(assignment_planner.retry_at_ms(task), 1000 + 16_000)
        task = self.task(0, 0, 0, 0, failures=1)
        self.assertGreaterEqual(
            assignment_planner.retry_at_ms(task), 1000 + 16_000
        )

    def test_run_that_goes_on_is_no_suspect(self) -> None:
        task = self.task(0, status="assigned", assigned_ms=5000)
        self.assertTrue(sheet_crashes.is_suspect(task, 64_999))
        self.assertFalse(sheet_crashes.is_suspect(task, 65_000))
        waiting = self.task(0)
        self.assertTrue(sheet_crashes.is_suspect(waiting, 10**9))
        self.assertFalse(sheet_crashes.is_suspect(self.task(2001), 0))


class PlacementTest(unittest.TestCase):
    """Suspects are placed beside few tasks, and others away from them."""

    def choose(
        self, kind: common.TaskKind, *, suspect: bool, **counts: dict[str, Any]
    ) -> str:
        candidates = [
            placement.Candidate(
                worker=name,
                zone="a",
                rack="r",
                capacity=make.capacity(),
                free=make.capacity(),
                **fields,
            )
            for name, fields in counts.items()
        ]
        request = placement.PlacementRequest(
            kind=kind,
            need=make.need(),
            in_zone={},
            in_rack={},
            on_worker={},
            suspect=suspect,
        )
        chosen = placement.SpreadPlacement().choose(request, candidates)
        assert chosen is not None
        return chosen.worker

    def test_suspect_goes_where_fewest_tasks_run(self) -> None:
        workers = {
            "w0": {"service_slots": 2},
            "w1": {"batch_slots": 2},
            "w2": {"service_slots": 1},
            "w3": {"batch_slots": 1, "service_slots": 1},
        }
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.assertEqual(
                    self.choose(kind, suspect=True, **workers), "w2"
                )
                self.assertEqual(
                    self.choose(kind, suspect=False, **workers), "w0"
                )

    def test_all_tasks_avoid_workers_with_suspects(self) -> None:
        some = {"w1": {"suspects": 1}, "w2": {"batch_slots": 3}}
        all_of_them = {"w1": {"suspects": 2}, "w2": {"suspects": 1}}
        many = {f"w{n:02}": {"suspects": 1} for n in range(20)}
        many["w19"] = {}
        for workers, expected in (
            (some, "w2"),
            (all_of_them, "w2"),
            (many, "w19"),
        ):
            for kind in KINDS:
                for suspect in (False, True):
                    with self.subTest(kind=kind, suspect=suspect):
                        chosen = self.choose(kind, suspect=suspect, **workers)
                        self.assertEqual(chosen, expected)

    def test_suspect_is_compared_with_all_workers(self) -> None:
        workers = {f"w{n:02}": {"batch_slots": 1} for n in range(30)}
        workers["w29"] = {}
        self.assertEqual(self.choose("batch", suspect=True, **workers), "w29")


class AttributionTest(unittest.TestCase):
    """Only a task that stands out is given up."""

    def setUp(self) -> None:
        self.attribution = crash_attribution.CrashAttribution()

    def suspect(
        self, task: str, *ages_ms: int, batch: bool = True
    ) -> crash_attribution.Suspect:
        return crash_attribution.Suspect(
            task=task, batch=batch, ages_ms=ages_ms
        )

    def decide(
        self,
        *suspects: crash_attribution.Suspect,
        earlier: int = 4,
        now: int = 0,
    ) -> set[str]:
        """Returns the tasks that are given up after earlier crashes."""
        for _ in range(earlier):
            self.attribution.given_up(
                [self.suspect(each.task, 0) for each in suspects], now
            )
        return self.attribution.given_up(suspects, now)

    def test_fifth_crash_at_the_same_age(self) -> None:
        killer = self.suspect("a/0", 9000, 8000, 7000, 8000, 10_000)
        self.assertEqual(self.decide(killer), {"a/0"})
        fewer = self.suspect("a/0", *killer.ages_ms[1:])
        self.assertEqual(self.decide(fewer), set())
        service = self.suspect("a/0", *killer.ages_ms, batch=False)
        self.assertEqual(self.decide(service), set())

    def test_ages_that_differ(self) -> None:
        for ages, expected in (
            ((0, 0, 0, 0, 3000), {"a/0"}),
            ((0, 0, 0, 0, 3001), set()),
            ((3001, 0, 0, 0, 0), set()),
            ((9000, 3001, 1, 1, 1, 1, 1), {"a/0"}),
            ((36_000, 39_990, 40_000, 36_000, 36_000), {"a/0"}),
            ((35_999, 39_990, 40_000, 36_000, 36_000), set()),
        ):
            with self.subTest(ages=ages):
                self.assertEqual(
                    self.decide(self.suspect("a/0", *ages)), expected
                )

    def test_rivals(self) -> None:
        killer = self.suspect("a/0", 0, 0, 0, 0, 0)
        for rival, expected in (
            ((0, 0, 0, 0), {"a/0"}),
            ((9000, 0, 0, 0, 0), {"a/0"}),
            ((0, 0, 0, 0, 0), set()),
            ((9000, 0, 0, 0, 0, 0), set()),
        ):
            for batch in (False, True):
                with self.subTest(rival=rival, batch=batch):
                    other = self.suspect("b/0", *rival, batch=batch)
                    given_up = self.decide(killer, other)
                    self.assertEqual(given_up & {"a/0"}, expected)

    def test_eighth_crash_in_any_case(self) -> None:
        ages = (0, 0, 0, 0, 0, 0, 0, 0)
        pair = [self.suspect("a/0", *ages), self.suspect("b/0", *ages)]
        self.assertEqual(self.decide(*pair, earlier=0), {"a/0", "b/0"})
        self.setUp()
        for fewer in (ages[1:], (9000, *ages[1:])):
            pair = [self.suspect(name, *fewer) for name in ("a/0", "b/0")]
            self.assertEqual(self.decide(*pair), set())

    def test_crashes_without_the_task(self) -> None:
        killer = self.suspect("a/0", 0, 0, 0, 0, 0)
        for others, expected in ((5, {"a/0"}), (6, set())):
            with self.subTest(others=others):
                self.setUp()
                for _ in range(others):
                    self.attribution.given_up([self.suspect("b/0", 0)], 1)
                self.assertEqual(self.decide(killer, now=1), expected)

    def test_old_crashes_are_forgotten(self) -> None:
        killer = self.suspect("a/0", 0, 0, 0, 0, 0)
        for _ in range(20):
            self.attribution.given_up([self.suspect("b/0", 0)], 0)
        kept_ms = crash_attribution.REMEMBERED_MS
        self.assertEqual(self.decide(killer, now=kept_ms), set())
        self.assertEqual(
            self.decide(killer, earlier=0, now=kept_ms + 1), {"a/0"}
        )

    def test_leader_judges_after_some_crashes(self) -> None:
        killer = self.suspect("a/0", 0, 0, 0, 0, 0)
        self.assertEqual(self.decide(killer, earlier=1), set())
        self.assertEqual(self.decide(killer, earlier=0), {"a/0"})
        self.attribution.reset()
        self.assertEqual(self.decide(killer, earlier=1), set())


class AccountTest(unittest.TestCase):
    """A late crash is a record of its own and ends no assignment."""

    def test_late_crash(self) -> None:
        plan = account_records.PlanTracker()
        late = commands.EndTask(
            task="job/0", epoch=1, outcome="crashed", crash=crash()
        )
        again = make.assign("job/0", "w2")
        self.assertTrue(plan.apply(make.assign("job/0", "w1"), None))
        self.assertTrue(plan.apply(late, None))
        self.assertFalse(plan.apply(again, None))
        [(what, text, fields)] = account_records.describe(
            "job/0", late, plan, None
        )
        self.assertEqual((what, text), ("crashed", "job/0 epoch 1: crashed"))
        self.assertEqual(fields["crash"], {"age_ms": 1000, "confirmed": True})
