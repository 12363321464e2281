"""Tests the record of runs that were given up.

Guards against a failure that is reported late and doesn't count towards the
attempts of its task (rule BUDGET), or counts twice.
"""

import dataclasses
from typing import Any
import unittest

import cbor2

from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.state import given_up_runs
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs
from tests import job_builders as make

LIMIT = given_up_runs.MAX_RUNS_PER_TASK


def restored(state: stepped_jobs.SteppedJobs) -> stepped_jobs.SteppedJobs:
    """Returns the state from a snapshot of `state`."""
    copy = stepped_jobs.SteppedJobs()
    copy.restore(cbor2.loads(cbor2.dumps(state.snapshot())))
    return copy


class GivenUpCase(unittest.TestCase):
    """A job with one task, two attempts and two workers."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.open_session()
        self.jobs.open_session("w2", "w2@1")
        self.jobs.accept("a")

    def end(
        self, how: jobs.RunOutcome, attempt: int = 1, *, tracked: bool = True
    ) -> int:
        """Ends a run; returns the number of ends that changed the state."""
        result = self.jobs.state.end(
            job_commands.EndRuns(
                ends=(jobs.RunEnd(task=make.ref(), attempt=attempt, how=how),),
                tracked=tracked,
            )
        )
        return int(result.data["changed"])

    def give_up(self, attempt: int = 1, how: jobs.RunOutcome = "lost") -> None:
        self.assertTrue(self.jobs.start(make.ref(), attempt=attempt))
        self.assertEqual(self.end(how, attempt), 1)

    def start_next(self, attempt: int = 2) -> bool:
        return self.jobs.start(
            make.ref(), attempt=attempt, worker="w2", incarnation="w2@1"
        )

    @property
    def task(self) -> Any:
        """The record of the task."""
        return self.jobs.task(make.ref())

    def job_state(self) -> str:
        return self.jobs.state.jobs["a"].state()


class LateEndTest(GivenUpCase):
    """A run is given up, and its worker lists its end later."""

    def test_late_failure_counts_once(self) -> None:
        self.give_up()
        self.assertTrue(self.start_next())
        self.assertEqual(self.end("failed"), 1)
        self.assertEqual(self.end("failed"), 0)
        self.assertEqual(self.task.failures, 1)
        self.assertEqual((self.task.status, self.task.attempt), ("assigned", 2))

    def test_late_failures_use_up_the_attempts(self) -> None:
        self.give_up()
        self.give_up(2)
        self.end("failed", 2)
        self.assertEqual(self.job_state(), "running")
        self.end("failed", 1)
        self.assertEqual(self.job_state(), "failed")
        self.assertFalse(self.start_next(3))

    def test_last_late_failure_leaves_the_current_run_its_room(self) -> None:
        """The current attempt runs until it is stopped."""
        self.give_up()
        self.give_up(2)
        self.assertTrue(self.start_next(3))
        self.end("failed", 1)
        self.end("failed", 2)
        self.assertEqual(self.job_state(), "failed")
        self.assertEqual(self.jobs.state.used_on("w2"), make.need())
        self.end("stopped", 3)
        self.assertEqual(self.jobs.state.used_on("w2").millicores, 0)
        self.assertEqual(self.job_state(), "failed")

    def test_failure_of_a_run_that_was_rejected_counts(self) -> None:
        self.give_up(how="rejected")
        self.end("failed")
        self.assertEqual(self.task.failures, 1)

    def test_other_late_end_counts_nothing_and_resolves_the_run(self) -> None:
        self.give_up()
        self.assertEqual(self.end("lapsed"), 1)
        self.assertEqual(self.task.failures, 0)
        self.assertEqual(self.end("failed"), 0)

    def test_late_success_resolves_the_run(self) -> None:
        self.give_up()
        self.assertEqual(self.end("done"), 1)
        self.assertEqual(self.job_state(), "done")
        self.assertEqual(self.task.given_up, ())
        self.assertEqual(self.end("failed"), 0)

    def test_late_failure_after_the_job_ended_changes_nothing(self) -> None:
        self.give_up()
        self.start_next()
        self.end("done", 2)
        self.end("failed")
        self.assertEqual(self.job_state(), "done")
        self.assertEqual(self.task.failures, 0)

    def test_late_failure_of_a_cancelled_job_leaves_it_cancelled(self) -> None:
        self.give_up()
        self.give_up(2)
        self.jobs.state.cancel(job_commands.CancelSteps(job="a"))
        self.end("failed", 1)
        self.end("failed", 2)
        self.assertEqual(self.job_state(), "cancelled")

    def test_run_that_is_given_up_again_stays_recorded(self) -> None:
        """Its worker hasn't listed an end; a failure counts later."""
        self.give_up()
        self.start_next()
        self.assertEqual(self.end("lost"), 0)
        self.assertEqual(self.end("rejected"), 0)
        self.end("failed")
        self.assertEqual(self.task.failures, 1)

    def kept(self) -> list[int]:
        """Returns the attempts whose records are kept."""
        return [run.attempt for run in self.task.given_up]

    def test_oldest_and_newest_lost_runs_are_kept(self) -> None:
        """Some workers are back after a long time, others never."""
        for attempt in range(1, LIMIT + 4):
            self.give_up(attempt)
        half = LIMIT // 2
        self.assertEqual(
            self.kept(),
            [*range(1, half + 1), *range(LIMIT + 4 - half, LIMIT + 4)],
        )

    def test_rejections_displace_no_lost_runs(self) -> None:
        self.give_up()
        for attempt in range(2, 3 * given_up_runs.MAX_RUNS_PER_TASK):
            self.give_up(attempt, "rejected")
        self.assertEqual(
            len(self.task.given_up), given_up_runs.MAX_RUNS_PER_TASK
        )
        self.assertEqual(self.end("failed", 1), 1)

    def test_rejected_runs_displace_no_lost_run(self) -> None:
        """Starts may be rejected often while a crashed worker restarts."""
        self.give_up()
        for attempt in range(2, LIMIT + 4):
            self.give_up(attempt, how="rejected")
        self.assertEqual(self.kept(), [1, *range(5, LIMIT + 4)])

    def test_lost_runs_displace_rejected_ones_first(self) -> None:
        self.give_up(how="rejected")
        for attempt in range(2, LIMIT + 2):
            self.give_up(attempt)
        self.give_up(LIMIT + 2, how="rejected")
        self.assertEqual(self.kept(), list(range(2, LIMIT + 2)))

    def test_lasting_task_has_no_limit(self) -> None:
        self.jobs.accept("b", make.step(lasting=True))
        for attempt in (1, 2):
            self.assertTrue(self.jobs.start(make.ref("b"), attempt=attempt))
            for how in ("lost", "failed"):
                self.jobs.state.end(
                    job_commands.EndRuns(
                        ends=(
                            jobs.RunEnd(
                                task=make.ref("b"),
                                attempt=attempt,
                                how=how,
                            ),
                        ),
                        tracked=True,
                    )
                )
        self.assertEqual(self.jobs.state.jobs["b"].state(), "running")

    def test_failures_of_a_gang_add_up(self) -> None:
        self.jobs.accept("g", make.step(2, gang=True))
        members = [make.ref("g", index=index) for index in range(2)]
        self.jobs.state.start(
            job_commands.StartRuns(
                runs=tuple(
                    jobs.RunStart(task=ref, worker="w1", life="w1@1", attempt=1)
                    for ref in members
                )
            )
        )
        for how in ("lost", "failed"):
            self.jobs.state.end(
                job_commands.EndRuns(
                    ends=tuple(
                        jobs.RunEnd(
                            task=ref,
                            attempt=1,
                            how=how,
                        )
                        for ref in members
                    ),
                    tracked=True,
                )
            )
        self.assertEqual(self.jobs.state.jobs["g"].state(), "failed")

    def test_forgotten_job_leaves_no_record(self) -> None:
        self.give_up()
        self.jobs.state.cancel(job_commands.CancelSteps(job="a"))
        self.jobs.state.forget(job_commands.ForgetSteps(jobs=("a",)))
        self.assertEqual(self.end("failed"), 0)
        self.assertEqual(self.jobs.state.given_up.tasks, {})

    def test_resolved_run_leaves_no_record(self) -> None:
        self.give_up()
        self.end("lapsed")
        self.assertEqual(self.jobs.state.given_up.tasks, {})


class TaskFieldsTest(unittest.TestCase):
    """Tasks of a snapshot have all fields in the order of their definition."""

    def test_fields_of_tasks_are_those_of_earlier_versions(self) -> None:
        """Guards against snapshots that replicas of other versions misread."""
        run = job_records.GivenUpRun(
            attempt=3, worker="w1", life="w1@1", assigned_ms=5, lost=True
        )
        tasks = [
            job_records.Task(),
            job_records.Task(status="assigned", worker="w2", given_up=(run,)),
        ]
        job = job_records.Job(
            id="a",
            sequence=1,
            queue=make.queue(),
            spec=jobs.JobSpec(spec="work", steps=(make.step(2),)),
            accepted_ms=7,
            tasks={(0, 0): tasks},
            open_tasks=2,
        )
        stored = cbor2.loads(cbor2.dumps(job_records.job_to_lists(job)))
        fields = [dataclasses.astuple(task) for task in tasks]
        self.assertEqual(stored[-1], [[0, 0, cbor2.loads(cbor2.dumps(fields))]])
        self.assertEqual(job_records.job_from_lists(stored).tasks, job.tasks)


class CompatibilityTest(GivenUpCase):
    """Snapshots and commands of earlier versions keep their meaning."""

    def test_record_survives_a_snapshot(self) -> None:
        self.give_up()
        copy = restored(self.jobs.state)
        self.assertEqual(copy.snapshot(), self.jobs.state.snapshot())
        self.jobs.state = copy
        self.end("failed")
        self.assertEqual(self.task.failures, 1)

    def test_snapshot_of_the_earlier_version_is_restored(self) -> None:
        """Its tasks are lists of the first six fields."""
        self.jobs.start(make.ref())
        plain = cbor2.loads(cbor2.dumps(self.jobs.state.snapshot()))
        (job,) = plain[4]
        for *_, tasks in job[9]:
            tasks[:] = [fields[:6] for fields in tasks]
        self.assertEqual(
            job[9], [[0, 0, [["assigned", 1, 0, "w1", "w1@1", ""]]]]
        )
        self.jobs.state = stepped_jobs.SteppedJobs()
        self.jobs.state.restore(plain)
        self.assertEqual(
            (self.task.status, self.task.given_up), ("assigned", ())
        )
        self.end("lost")
        self.end("failed")
        self.assertEqual(self.task.failures, 1)

    def test_snapshot_with_other_fields_is_refused(self) -> None:
        plain = cbor2.loads(cbor2.dumps(self.jobs.state.snapshot()))
        (job,) = plain[4]
        for *_, tasks in job[9]:
            tasks[:] = [fields[:7] for fields in tasks]
        with self.assertRaises(ValueError):
            stepped_jobs.SteppedJobs().restore(plain)

    def test_ends_of_an_earlier_leader_have_the_earlier_effect(self) -> None:
        self.jobs.start(make.ref())
        self.end("lost", tracked=False)
        self.assertEqual(self.task.given_up, ())
        self.start_next()
        self.assertEqual(self.end("failed", tracked=False), 0)

    def test_commands_of_the_earlier_version_are_decoded(self) -> None:
        """They are arrays without the fields that were added."""
        earlier = {
            job_commands.EndRuns: [24, []],
            job_commands.StartRuns: [23, []],
            job_commands.OpenSession: [25, "w1", "w1@1", [1, 1, 0, 0], True],
        }
        for kind, plain in earlier.items():
            batch = commands.BATCH_CODEC.decode(
                cbor2.dumps([1_700_000_000_000, [plain]])
            )
            self.assertIsInstance(batch.commands[0], kind)


if __name__ == "__main__":
    unittest.main()
