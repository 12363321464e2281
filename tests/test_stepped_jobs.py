"""Tests the replicated state of jobs with steps."""

import unittest

import cbor2

from bamboorouter.protocol import codec
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.state import machine
from bamboorouter.state import stepped_jobs
from tests import job_builders as make


class AssignmentTest(unittest.TestCase):
    """A task is assigned once, in order of steps and within capacity."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.open_session()

    def test_task_runs_once_at_a_time(self) -> None:
        self.jobs.accept("a")
        self.jobs.open_session("w2", "w2@1")
        self.assertTrue(self.jobs.start(make.ref()))
        self.assertFalse(
            self.jobs.start(
                make.ref(), attempt=2, worker="w2", incarnation="w2@1"
            )
        )

    def test_step_waits_for_all_tasks_of_earlier_steps(self) -> None:
        self.jobs.accept("a", make.step(2), make.step(after=(0,)))
        second = make.ref(step=1)
        self.jobs.start(make.ref(index=0))
        self.jobs.end(make.ref(index=0), "done")
        self.assertFalse(self.jobs.start(second))
        self.jobs.start(make.ref(index=1))
        self.jobs.end(make.ref(index=1), "done")
        self.assertTrue(self.jobs.start(second))

    def test_worker_is_not_given_more_than_it_has(self) -> None:
        big = make.step(2, need=make.need(millicores=40_000))
        self.jobs.accept("a", big)
        self.assertTrue(self.jobs.start(make.ref(index=0)))
        self.assertFalse(self.jobs.start(make.ref(index=1)))
        # The capacity is released only when the end is recorded.
        self.jobs.end(make.ref(index=0), "stopped")
        self.assertTrue(self.jobs.start(make.ref(index=1)))

    def test_filling_task_takes_memory_but_no_processor_time(self) -> None:
        best_effort = make.step(
            3, fills=True, need=make.need(millicores=60_000, memory_mb=100_000)
        )
        self.jobs.accept("a", best_effort)
        started = [self.jobs.start(make.ref(index=i)) for i in range(3)]
        self.assertEqual(started, [True, True, False])

    def test_order_for_an_earlier_life_of_the_worker_is_refused(self) -> None:
        self.jobs.accept("a")
        self.jobs.open_session(incarnation="w1@2")
        self.assertFalse(self.jobs.start(make.ref(), incarnation="w1@1"))

    def test_cancelled_job_starts_nothing(self) -> None:
        self.jobs.accept("a")
        self.jobs.state.cancel(job_commands.CancelSteps(job="a"))
        self.assertFalse(self.jobs.start(make.ref()))
        self.assertEqual(self.jobs.state.jobs["a"].state(), "cancelled")


class EndTest(unittest.TestCase):
    """Only the end of the latest attempt changes a task."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.open_session()
        self.jobs.accept("a")

    def test_failed_runs_are_repeated_until_the_limit(self) -> None:
        for attempt in (1, 2):
            self.assertTrue(self.jobs.start(make.ref(), attempt=attempt))
            self.jobs.end(make.ref(), "failed", attempt=attempt)
        self.assertFalse(self.jobs.start(make.ref(), attempt=3))
        self.assertEqual(self.jobs.state.jobs["a"].state(), "failed")

    def test_lost_and_stopped_runs_do_not_count_as_failed(self) -> None:
        ends: list[jobs.RunOutcome] = ["lost", "stopped", "lapsed"]
        for attempt, how in enumerate(ends, 1):
            self.assertTrue(self.jobs.start(make.ref(), attempt=attempt))
            self.jobs.end(make.ref(), how, attempt=attempt)
        self.assertEqual(self.jobs.state.jobs["a"].state(), "running")
        self.assertTrue(self.jobs.start(make.ref(), attempt=4))

    def test_repeated_end_changes_nothing(self) -> None:
        self.jobs.start(make.ref())
        self.assertEqual(self.jobs.end(make.ref(), "failed"), 1)
        self.assertEqual(self.jobs.end(make.ref(), "failed"), 0)
        self.assertEqual(self.jobs.task(make.ref()).failures, 1)

    def test_run_given_up_as_lost_may_still_be_done(self) -> None:
        self.jobs.start(make.ref())
        self.jobs.end(make.ref(), "lost")
        self.assertEqual(self.jobs.end(make.ref(), "done"), 1)
        self.assertEqual(self.jobs.state.jobs["a"].state(), "done")
        self.assertFalse(self.jobs.start(make.ref(), attempt=2))

    def test_done_of_an_earlier_start_does_not_end_a_later_one(self) -> None:
        self.jobs.start(make.ref())
        self.jobs.end(make.ref(), "lost")
        self.jobs.start(make.ref(), attempt=2)
        self.assertEqual(self.jobs.end(make.ref(), "done"), 0)
        self.assertEqual(self.jobs.task(make.ref()).status, "assigned")

    def test_new_life_of_a_worker_loses_its_runs(self) -> None:
        self.jobs.start(make.ref())
        self.jobs.end(make.ref(), "stopped", checkpoint="half")
        self.jobs.start(make.ref(), attempt=2)
        self.jobs.open_session(incarnation="w1@2")
        task = self.jobs.task(make.ref())
        self.assertEqual((task.status, task.checkpoint), ("waiting", "half"))
        self.assertEqual(self.jobs.state.used_on("w1").millicores, 0)

    def test_new_life_loses_no_runs_before_they_are_fenced_off(self) -> None:
        self.jobs.start(make.ref())
        command = job_commands.OpenSession(
            worker="w1", life="w1@2", room=make.CAPACITY, fenced=False
        )
        result = self.jobs.state.open_session(command)
        self.assertFalse(result.data["opened"])
        self.assertEqual(self.jobs.task(make.ref()).status, "assigned")
        self.assertEqual(self.jobs.state.incarnations["w1"].life, "w1@1")
        self.jobs.end(make.ref(), "stopped")
        result = self.jobs.state.open_session(command)
        self.assertTrue(result.data["opened"])

    def test_new_session_with_the_same_life_keeps_its_runs(self) -> None:
        self.jobs.start(make.ref())
        self.jobs.open_session(incarnation="w1@1")
        self.assertEqual(self.jobs.task(make.ref()).status, "assigned")

    def test_lasting_task_is_started_again_however_it_ended(self) -> None:
        self.jobs.accept("b", make.step(lasting=True))
        ends: list[jobs.RunOutcome] = ["done", "failed", "failed", "lost"]
        for attempt, how in enumerate(ends, 1):
            self.assertTrue(self.jobs.start(make.ref("b"), attempt=attempt))
            self.jobs.end(make.ref("b"), how, attempt=attempt)
        self.assertEqual(self.jobs.state.jobs["b"].state(), "running")


class GangTest(unittest.TestCase):
    """Tasks of a gang start, end and fail together."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.open_session("w1", "w1@1", make.need(2000, 2000))
        self.jobs.open_session("w2", "w2@1", make.need(2000, 2000))
        self.jobs.accept(
            "a",
            make.step(3, gang=True, checkpoints=True),
            make.step(after=(0,)),
        )

    def start(self, *workers: str, attempt: int = 1) -> bool:
        """Assigns the tasks in order; returns whether this was accepted."""
        result = self.jobs.state.start(
            job_commands.StartRuns(
                runs=tuple(
                    jobs.RunStart(
                        task=make.ref(index=index),
                        worker=worker,
                        life=f"{worker}@1",
                        attempt=attempt,
                    )
                    for index, worker in enumerate(workers)
                )
            )
        )
        refused = result.data["refused"]
        self.assertIn(len(refused), (0, len(workers)))
        return not refused

    def statuses(self) -> list[str]:
        return [self.jobs.task(make.ref(index=n)).status for n in range(3)]

    def test_tasks_are_assigned_all_or_none(self) -> None:
        self.assertFalse(self.start("w1", "w2"))
        self.assertFalse(self.start("w1", "w1", "w1"))
        self.assertEqual(self.statuses(), ["waiting"] * 3)
        self.assertEqual(self.jobs.state.used_on("w1").millicores, 0)
        self.assertTrue(self.start("w1", "w1", "w2"))
        self.assertEqual(self.jobs.state.used_on("w1").millicores, 2000)

    def test_gang_does_not_start_again_before_all_its_runs_ended(self) -> None:
        self.start("w1", "w1", "w2")
        self.jobs.end(make.ref(index=0), "lost")
        self.assertTrue(self.jobs.state.gang_incomplete(make.ref(index=1)))
        self.assertFalse(self.start("w1", "w1", "w2", attempt=2))
        self.jobs.end(make.ref(index=1), "broken")
        self.jobs.end(make.ref(index=2), "broken")
        self.assertTrue(self.start("w1", "w2", "w2", attempt=2))

    def test_one_done_task_stands_for_all(self) -> None:
        self.start("w1", "w1", "w2")
        self.assertEqual(self.jobs.end(make.ref(index=2), "done"), 1)
        self.assertEqual(self.statuses(), ["done"] * 3)
        self.assertEqual(self.jobs.state.used_on("w1").millicores, 0)
        self.assertEqual(self.jobs.end(make.ref(index=0), "done"), 0)
        self.assertEqual(self.jobs.state.jobs["a"].open_tasks, 1)
        self.assertTrue(self.jobs.start(make.ref(step=1)))

    def test_progress_of_one_task_is_progress_of_all(self) -> None:
        self.start("w1", "w1", "w2")
        self.jobs.end(make.ref(index=1), "stopped", checkpoint="half")
        self.assertEqual(self.jobs.task(make.ref(index=2)).checkpoint, "half")

    def test_failures_of_all_tasks_count_together(self) -> None:
        self.start("w1", "w1", "w2")
        self.jobs.end(make.ref(index=0), "failed")
        self.jobs.end(make.ref(index=1), "broken")
        self.jobs.end(make.ref(index=2), "broken")
        self.assertEqual(self.jobs.state.jobs["a"].state(), "running")
        self.start("w1", "w1", "w2", attempt=2)
        self.jobs.end(make.ref(index=2), "failed", attempt=2)
        self.assertEqual(self.jobs.state.jobs["a"].state(), "failed")


class ConfigurationTest(unittest.TestCase):
    """The highest version is in force, in whatever order versions arrive."""

    def setUp(self) -> None:
        self.state = stepped_jobs.SteppedJobs()

    def put(self, version: int, host: str) -> None:
        self.state.put_configuration(
            job_commands.PutConfiguration(
                configuration=make.configuration(version, make.queue(host=host))
            )
        )

    def test_older_and_equal_versions_change_nothing(self) -> None:
        self.put(7, "new")
        self.put(5, "old")
        self.put(7, "other")
        assert self.state.configuration is not None
        self.assertEqual(self.state.configuration.version, 7)
        self.assertEqual(self.state.configuration.queues[0].host, "new")

    def test_longest_prefix_wins(self) -> None:
        match = make.configuration(
            1,
            make.queue(name="short", prefix="/a/"),
            make.queue(name="long", prefix="/a/b/"),
        ).match("desk.example", "/a/b/id")
        assert match is not None
        self.assertEqual((match[0].name, match[1]), ("long", "id"))

    def test_job_keeps_the_settings_under_which_it_was_accepted(self) -> None:
        accepted_jobs = make.Jobs()
        accepted_jobs.open_session()
        accepted_jobs.accept("a")
        accepted_jobs.state.put_configuration(
            job_commands.PutConfiguration(
                configuration=make.configuration(2, make.queue(name="other"))
            )
        )
        self.assertTrue(accepted_jobs.start(make.ref()))


class DisturbanceTest(unittest.TestCase):
    """Learned interference of images is stored up to a limit."""

    def test_pairs_noted_least_recently_are_forgotten_first(self) -> None:
        state = stepped_jobs.SteppedJobs()
        for first in (0, 1, 0):
            state.note_disturbances(
                job_commands.NoteDisturbances(
                    disturbances=tuple(
                        jobs.Disturbance(
                            serving=f"s{number}", filling="f", weight=0.5
                        )
                        for number in range(
                            first, first + jobs.MAX_DISTURBANCES
                        )
                    )
                )
            )
        self.assertEqual(len(state.disturbances), jobs.MAX_DISTURBANCES)
        last = f"s{jobs.MAX_DISTURBANCES}"
        self.assertNotIn((last, "f"), state.disturbances)
        restored = stepped_jobs.SteppedJobs()
        restored.restore(state.snapshot())
        self.assertEqual(restored.disturbances, state.disturbances)

    def test_snapshot_from_before_disturbances_is_read(self) -> None:
        restored = stepped_jobs.SteppedJobs()
        # All fields but the last, the disturbances.
        restored.restore(make.Jobs().state.snapshot()[:5])
        self.assertEqual(restored.disturbances, {})


class SnapshotTest(unittest.TestCase):
    """A restored state equals the original."""

    def test_snapshot_restores_jobs_runs_and_room(self) -> None:
        accepted_jobs = make.Jobs()
        accepted_jobs.open_session()
        accepted_jobs.accept("a", make.step(2), make.step(after=(0,)))
        accepted_jobs.start(make.ref(index=0))
        accepted_jobs.start(make.ref(index=1))
        accepted_jobs.end(make.ref(index=1), "stopped", checkpoint="half")
        original = machine.Machine()
        original.stepped.restore(accepted_jobs.state.snapshot())
        restored = machine.Machine()
        restored.restore(original.snapshot())
        self.assertEqual(
            codec.loads(restored.snapshot()), codec.loads(original.snapshot())
        )
        self.assertEqual(restored.stepped.used_on("w1"), make.need())
        task = restored.stepped.task(make.ref(index=1))
        assert task is not None
        self.assertEqual(task.checkpoint, "half")

    def test_snapshot_from_before_jobs_with_steps_is_read(self) -> None:
        # All fields but the last, the jobs with steps.
        fields = codec.loads(machine.Machine().snapshot())[:8]
        restored = machine.Machine()
        restored.restore(cbor2.dumps(fields))
        self.assertEqual(restored.stepped.jobs, {})

    def test_snapshot_from_before_jobs_with_steps_replaces_all_jobs(
        self,
    ) -> None:
        """A replica that is behind may get the snapshot of an older leader."""
        accepted_jobs = make.Jobs()
        accepted_jobs.open_session()
        accepted_jobs.accept("a", make.step())
        accepted_jobs.start(make.ref(index=0))
        empty = machine.Machine().snapshot()
        restored = machine.Machine()
        restored.stepped.restore(accepted_jobs.state.snapshot())
        restored.restore(cbor2.dumps(codec.loads(empty)[:8]))
        self.assertEqual(codec.loads(restored.snapshot()), codec.loads(empty))
        self.assertEqual(restored.stepped.used_on("w1"), common.Resources())


if __name__ == "__main__":
    unittest.main()
