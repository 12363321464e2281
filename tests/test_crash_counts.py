"""Tests how the replicated state counts crashes of workers under a task.

Guards against a task that is started again and again because a crash under it
isn't counted (rule BUDGET), and against one that is given up for a crash that
was none.
"""

import random
from typing import Literal
import unittest

import cbor2

from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.state import crash_conviction
from bamboorouter.state import given_up_runs
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs
from tests import job_builders as make

How = Literal["crashed", "left", "unknown"]
EARLY_MS = given_up_runs.EARLY_CRASH_MS
START_MS = 1_700_000_000_000
_OTHER_ENDS: tuple[jobs.RunOutcome, ...] = ("rejected", "stopped", "lapsed")


class CrashCase(unittest.TestCase):
    """Workers whose incarnations are replaced.

    Attributes:
        jobs: The replicated state.
        now_ms: Wall time of the leader.
        opened: Result of the newest session.
    """

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.now_ms = START_MS
        self._numbers: dict[str, int] = {}
        for worker in ("w1", "w2", "w3", "w4", "w5"):
            self.open(worker)
        self.jobs.accept("a")

    @property
    def state(self) -> stepped_jobs.SteppedJobs:
        """The replicated jobs."""
        return self.jobs.state

    def life(self, worker: str) -> str:
        """Returns the newest incarnation of a worker."""
        return f"{worker}@{self._numbers[worker]}"

    def open(
        self,
        worker: str,
        how: How | None = "crashed",
        *,
        life: str = "",
        age_ms: int = 50,
        started: bool = True,
        dated: bool = True,
    ) -> job_commands.OpenSession:
        """Opens a session with a new incarnation, or with `life`.

        Args:
            worker: Name of the worker.
            how: How the earlier one ended; None from an earlier leader.
            life: The incarnation.
            age_ms: Time from the last start to the end of the earlier one.
            started: Whether the starts of its runs are confirmed.
            dated: Whether the time of its end is known.

        Returns:
            The command.
        """
        before = self.state.incarnations.get(worker)
        if not life:
            self._numbers[worker] = self._numbers.get(worker, 0) + 1
        ended = job_commands.IncarnationEnd()
        if before is not None and how is not None:
            ended = job_commands.IncarnationEnd(
                life=before.life,
                how=how,
                over_ms=self.now_ms + age_ms,
                started=self.runs_on(worker) if started else (),
                dated=dated,
            )
        command = job_commands.OpenSession(
            worker=worker,
            life=life or self.life(worker),
            room=make.CAPACITY,
            ended=ended,
        )
        self.opened = self.state.open_session(command)
        return command

    def runs_on(self, worker: str) -> tuple[jobs.RunId, ...]:
        """Returns the runs that are assigned to a worker."""
        return tuple(
            jobs.RunId(task=ref, attempt=task.attempt)
            for ref, task in self.state.on_worker.get(worker, {}).items()
        )

    def start(
        self, task: jobs.TaskRef | None = None, worker: str = "w1"
    ) -> int:
        """Starts the next attempt of a task; returns its number."""
        ref = task or make.ref()
        attempt = self.jobs.task(ref).attempt + 1
        result = self.state.start(
            job_commands.StartRuns(
                runs=(
                    jobs.RunStart(
                        task=ref,
                        worker=worker,
                        life=self.life(worker),
                        attempt=attempt,
                    ),
                ),
                at_ms=self.now_ms,
            )
        )
        self.assertEqual(result.data["refused"], [])
        return attempt

    def end(
        self,
        how: jobs.RunOutcome,
        attempt: int,
        task: jobs.TaskRef | None = None,
        *,
        started: bool = True,
    ) -> None:
        self.state.end(
            job_commands.EndRuns(
                ends=(
                    jobs.RunEnd(
                        task=task or make.ref(),
                        attempt=attempt,
                        how=how,
                        started=started,
                    ),
                ),
                tracked=True,
            )
        )

    def crash(
        self,
        *tasks: jobs.TaskRef,
        worker: str = "w1",
        age_ms: int = 50,
        started: bool = True,
        dated: bool = True,
    ) -> None:
        """Starts tasks on a worker, which then crashes."""
        for task in tasks or (make.ref(),):
            self.start(task, worker)
        self.open(worker, age_ms=age_ms, started=started, dated=dated)

    def task(self, ref: jobs.TaskRef | None = None) -> job_records.Task:
        return self.jobs.task(ref or make.ref())

    def crashes(self, ref: jobs.TaskRef | None = None) -> int:
        return self.task(ref).crashes

    def job_state(self, job: str = "a") -> str:
        return self.state.jobs[job].state()


class CountTest(CrashCase):
    """What counts as a crash under a task."""

    def test_crash_of_the_worker_of_a_run_counts(self) -> None:
        self.crash()
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 1))
        self.assertEqual(self.task().status, "waiting")

    def test_end_of_a_worker_that_left_does_not_count(self) -> None:
        self.start()
        self.open("w1", "left")
        self.assertEqual(self.crashes(), 0)

    def test_end_that_nobody_knows_confirms_no_crash(self) -> None:
        """A new agent reports it to a new leader."""
        self.start()
        self.open("w1", "unknown")
        self.assertEqual(
            (self.crashes(), self.task().confirmed_crashes), (1, 0)
        )

    def test_ends_that_nobody_knows_leave_no_start_beyond_the_fifth(
        self,
    ) -> None:
        """Guards against starts for ever beside killed agents and leaders."""
        for worker in ("w1", "w2"):
            self.start(worker=worker)
            self.open(worker, "unknown")
        for worker in ("w3", "w4"):
            self.crash(worker=worker, started=False)
            self.assertEqual(self.job_state(), "running")
        self.crash(worker="w5", started=False)
        self.assertEqual(self.job_state(), "failed")

    def crash_four_times(self) -> None:
        """Lets four workers crash at different ages, without confirmations."""
        for number, worker in enumerate(("w1", "w2", "w3", "w4")):
            self.crash(worker=worker, age_ms=2000 * number, started=False)
        self.assertEqual(self.job_state(), "queued")

    def test_run_that_is_lost_after_four_crashes_is_not_started_again(
        self,
    ) -> None:
        """Guards against a sixth start before the fifth worker is back."""
        self.crash_four_times()
        self.end("lost", self.start(worker="w5"))
        self.assertEqual(self.job_state(), "failed")

    def test_run_that_is_lost_after_three_crashes_is_started_again(
        self,
    ) -> None:
        for number, worker in enumerate(("w1", "w2", "w3")):
            self.crash(worker=worker, age_ms=2000 * number, started=False)
        self.end("lost", self.start(worker="w4"))
        self.assertEqual(self.job_state(), "running")

    def test_end_that_is_not_lost_after_four_crashes_gives_nothing_up(
        self,
    ) -> None:
        for how in _OTHER_ENDS:
            with self.subTest(how):
                self.setUp()
                self.crash_four_times()
                self.end(how, self.start(worker="w5"))
                self.assertEqual(self.job_state(), "running")

    def test_worker_that_left_after_four_crashes_gives_nothing_up(
        self,
    ) -> None:
        self.crash_four_times()
        self.start(worker="w5")
        self.open("w5", "left")
        self.assertEqual(self.job_state(), "running")

    def test_session_with_the_same_incarnation_counts_nothing(self) -> None:
        self.start()
        self.open("w1", life=self.life("w1"))
        self.assertEqual((self.crashes(), self.task().status), (0, "assigned"))

    def test_repeated_command_counts_once(self) -> None:
        self.start()
        command = self.open("w1")
        self.state.open_session(command)
        self.assertEqual(self.crashes(), 1)

    def test_run_whose_lease_expired_before_the_crash_is_known_counts(
        self,
    ) -> None:
        self.start()
        self.end("lost", 1)
        self.assertEqual(self.crashes(), 0)
        self.start(worker="w2")
        self.open("w1")
        self.assertEqual(self.crashes(), 1)
        self.assertEqual(self.task().status, "assigned")

    def test_several_runs_on_one_incarnation_count_once(self) -> None:
        for attempt in (1, 2):
            self.start()
            self.end("lost", attempt)
        self.start()
        self.open("w1")
        self.assertEqual(self.crashes(), 1)

    def test_several_runs_on_one_incarnation_are_taken_back_at_once(
        self,
    ) -> None:
        first = self.life("w1")
        self.start()
        self.end("lost", 1)
        self.crash()
        self.assertEqual(len(self.task().given_up), 1)
        self.open("w1", "unknown", life=first)
        self.assertEqual(self.crashes(), 0)

    def test_oldest_of_several_runs_tells_the_age_at_a_crash(self) -> None:
        """Its order may have been carried out last."""
        self.start()
        self.end("lost", 1)
        self.now_ms += EARLY_MS
        self.crash()
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 0))

    def test_crash_of_an_incarnation_that_went_on_counts_once(self) -> None:
        for how in ("unknown", None):
            with self.subTest(how=how):
                self.setUp()
                first = self.life("w1")
                self.crash()
                self.open("w1", how, life=first)
                self.open("w1")
                self.assertEqual(self.crashes(), 1)

    def test_late_crash_that_is_taken_back_leaves_the_early_one(self) -> None:
        self.crash()
        second = self.life("w2")
        self.crash(worker="w2", age_ms=EARLY_MS + 1)
        self.open("w2", "unknown", life=second)
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 1))

    def test_run_that_was_rejected_does_not_count(self) -> None:
        self.start()
        self.end("rejected", 1)
        self.open("w1")
        self.assertEqual(self.crashes(), 0)

    def test_run_that_was_lost_before_rejected_ones_counts(self) -> None:
        self.start()
        self.end("lost", 1)
        for attempt in range(2, 2 + given_up_runs.MAX_RUNS_PER_TASK):
            self.start(worker="w2")
            self.end("rejected", attempt)
        self.open("w1")
        self.assertEqual(self.crashes(), 1)

    def test_record_of_a_counted_crash_displaces_no_other(self) -> None:
        self.crash()
        for attempt in range(2, 2 + given_up_runs.MAX_RUNS_PER_TASK):
            self.start(worker="w2")
            self.end("lost", attempt)
        kept = [run.attempt for run in self.task().given_up]
        self.assertEqual(
            kept, list(range(2, 2 + given_up_runs.MAX_RUNS_PER_TASK))
        )
        self.assertEqual(self.crashes(), 1)

    def test_run_whose_end_is_listed_did_not_crash_its_worker(self) -> None:
        self.start()
        self.end("lost", 1)
        self.end("lapsed", 1)
        self.open("w1")
        self.assertEqual(self.crashes(), 0)

    def test_end_that_is_listed_after_the_crash_takes_it_back(self) -> None:
        self.crash()
        self.end("failed", 1)
        self.assertEqual((self.crashes(), self.task().early_crashes), (0, 0))
        self.assertEqual(self.task().failures, 1)

    def test_crash_is_taken_back_if_the_incarnation_goes_on(self) -> None:
        first = self.life("w1")
        self.crash()
        self.open("w1", "unknown", life=first)
        self.assertEqual((self.crashes(), self.task().early_crashes), (0, 0))

    def test_crash_with_an_unknown_start_is_not_early(self) -> None:
        self.jobs.start(make.ref(), incarnation=self.life("w1"))
        self.open("w1")
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 0))

    def test_crash_before_the_start_by_another_clock_is_not_early(
        self,
    ) -> None:
        self.crash(age_ms=-60_000)
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 0))

    def test_crash_before_the_start_is_not_early(self) -> None:
        """The wall clock was set back, or the run was assigned too late."""
        self.crash(age_ms=-EARLY_MS - 1)
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 0))

    def test_clocks_of_two_leaders_may_differ_a_little(self) -> None:
        self.crash(age_ms=-EARLY_MS)
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 1))

    def test_crash_of_an_old_run_is_not_early(self) -> None:
        self.crash(age_ms=EARLY_MS + 1)
        self.assertEqual((self.crashes(), self.task().early_crashes), (1, 0))

    def test_task_that_is_done_is_not_a_suspect(self) -> None:
        self.crash()
        self.start(worker="w2")
        self.end("lost", 2)
        self.end("done", 2)
        self.open("w2")
        self.assertEqual(self.job_state(), "done")

    def test_forgotten_task_is_not_a_suspect(self) -> None:
        self.start()
        self.end("lost", 1)
        self.state.cancel(job_commands.CancelSteps(job="a"))
        self.state.forget(job_commands.ForgetSteps(jobs=("a",)))
        self.open("w1")
        self.assertEqual(self.state.jobs, {})

    def test_session_of_an_earlier_leader_counts_nothing(self) -> None:
        self.start()
        self.open("w1", None)
        self.assertEqual((self.crashes(), self.task().given_up), (0, ()))


class SurvivalTest(CrashCase):
    """Crashes that don't count any more."""

    def clear(self, attempt: int) -> None:
        self.state.note_checkpoints(
            job_commands.NoteCheckpoints(
                checkpoints=(),
                cleared=(jobs.RunId(task=make.ref(), attempt=attempt),),
            )
        )

    def test_run_that_goes_on_clears_its_task(self) -> None:
        self.crash()
        attempt = self.start(worker="w2")
        self.clear(attempt)
        self.assertEqual((self.crashes(), self.task().early_crashes), (0, 0))
        self.open("w2")
        self.assertEqual(self.crashes(), 1)

    def test_crash_that_is_not_known_yet_counts_after_clearing(self) -> None:
        self.crash()
        self.start(worker="w2")
        self.end("lost", 2)
        self.clear(self.start(worker="w3"))
        self.open("w2")
        self.assertEqual(self.crashes(), 1)

    def test_other_attempt_clears_nothing(self) -> None:
        self.crash()
        self.clear(1)
        self.start(worker="w2")
        self.clear(1)
        self.assertEqual(self.crashes(), 1)

    def test_cleared_crash_is_not_taken_back_again(self) -> None:
        self.crash()
        self.clear(self.start(worker="w2"))
        self.open("w2")
        self.end("lapsed", 1)
        self.assertEqual(self.crashes(), 1)


class GivenUpTest(CrashCase):
    """When a job fails because of crashes."""

    def test_second_early_crash_without_other_starts_is_enough(self) -> None:
        self.crash()
        self.assertEqual(self.job_state(), "running")
        self.crash(worker="w2")
        self.assertEqual(self.job_state(), "failed")

    def crash_at_ages(self, *ages_ms: int) -> None:
        """Crashes the workers of the task in turn."""
        for number, age_ms in enumerate(ages_ms, 1):
            self.crash(worker=f"w{number}", age_ms=age_ms)

    def test_three_crashes_long_after_the_start_are_not_enough(self) -> None:
        self.crash_at_ages(2000, 2000, 2000)
        self.assertEqual(self.job_state(), "running")

    def test_four_crashes_at_the_same_age_are_enough(self) -> None:
        self.crash_at_ages(2000, 2900, 2100, 2500)
        self.assertEqual(self.job_state(), "failed")

    def test_four_crashes_at_any_age_are_not_enough(self) -> None:
        """Guards against giving up jobs when many workers crash."""
        self.crash_at_ages(100, 2000, 900, 500)
        self.assertEqual(self.job_state(), "running")

    def test_ages_that_are_not_known_tell_no_difference(self) -> None:
        """Restarted agents don't know when their workers crashed."""
        self.crash_at_ages(600, 1100)
        self.crash(worker="w3", age_ms=3000, dated=False)
        self.assertEqual(self.job_state(), "running")
        self.crash(worker="w4", age_ms=9000, dated=False)
        self.assertEqual(self.job_state(), "failed")

    def test_five_crashes_are_enough(self) -> None:
        self.crash_at_ages(100, 2000, 900, 500, 3000)
        self.assertEqual(self.job_state(), "failed")

    def test_two_early_crashes_among_three_are_enough(self) -> None:
        """The age at one of them is overestimated."""
        self.crash_at_ages(50, 3000, 50)
        self.assertEqual(self.job_state(), "failed")

    def test_other_recent_start_leaves_open_who_is_to_blame(self) -> None:
        self.jobs.accept("b")
        self.crash()
        self.crash(make.ref(), make.ref("b"), worker="w2")
        self.assertEqual(self.job_state(), "running")
        self.crash(worker="w3")
        self.assertEqual(self.job_state(), "failed")
        self.assertEqual(self.job_state("b"), "running")

    def test_task_of_an_ended_job_leaves_open_who_is_to_blame(self) -> None:
        """The runs of an ended job go on until they are stopped."""
        for end in ("cancelled", "failed"):
            with self.subTest(end=end):
                self.setUp()
                self.jobs.accept("b", make.step(2))
                killer = make.ref("b")
                self.crash(make.ref(), killer)
                self.start(killer, "w2")
                self.start(make.ref(), "w2")
                if end == "cancelled":
                    self.state.cancel(job_commands.CancelSteps(job="b"))
                else:
                    other = make.ref("b", index=1)
                    self.crash(other, worker="w3")
                    self.crash(other, worker="w4")
                self.assertEqual(self.job_state("b"), end)
                self.open("w2")
                self.assertEqual(self.task().early_crashes, 2)
                self.assertEqual(self.job_state(), "running")
                self.assertEqual(self.job_state("b"), end)

    def test_task_that_is_done_is_no_excuse(self) -> None:
        self.jobs.accept("b")
        other = make.ref("b")
        self.crash()
        for ref in (make.ref(), other):
            self.start(ref, "w2")
        self.end("lost", 1, other)
        self.end("done", self.start(other, "w3"), other)
        self.open("w2")
        self.assertEqual(self.job_state(), "failed")
        self.assertEqual(self.job_state("b"), "done")

    def test_tasks_of_one_job_are_no_excuse_for_each_other(self) -> None:
        self.jobs.accept("b", make.step(2))
        both = (make.ref("b"), make.ref("b", index=1))
        self.crash(*both)
        self.crash(*both, worker="w2")
        self.assertEqual(self.job_state("b"), "failed")

    def test_result_names_active_suspects_and_who_is_given_up(self) -> None:
        self.jobs.accept("b")
        self.jobs.accept("c")
        both = (make.ref(), make.ref("b"))
        self.crash(*both)
        self.assertEqual(self.opened.data["suspects"], [])
        self.crash(*both, make.ref("c"), worker="w2")
        self.assertEqual(
            self.opened.data["suspects"],
            [("a/0/0/0", 2, 2), ("b/0/0/0", 2, 2)],
        )
        self.assertEqual(self.opened.data["given_up"], [])
        self.start(make.ref("b"), "w3")
        self.state.cancel(job_commands.CancelSteps(job="b"))
        self.crash(worker="w4")
        self.assertEqual(self.opened.data["given_up"], [("a/0/0/0", 3, 3)])
        self.open("w3")
        self.assertEqual(self.opened.data["suspects"], [])
        self.assertEqual(self.opened.data["given_up"], [])

    def test_equal_suspects_are_given_up_after_the_fourth_crash(self) -> None:
        self.jobs.accept("b")
        for worker in ("w1", "w2", "w3"):
            self.crash(make.ref(), make.ref("b"), worker=worker)
            self.assertEqual(self.job_state(), "running")
        self.crash(make.ref(), make.ref("b"), worker="w4")
        self.assertEqual(self.job_state(), "failed")
        self.assertEqual(self.job_state("b"), "failed")

    def test_lesser_suspect_is_spared_after_its_third_crash(self) -> None:
        self.jobs.accept("b")
        late = EARLY_MS + 1
        self.crash(make.ref("b"), worker="w5", age_ms=late)
        for worker in ("w1", "w2"):
            self.start(make.ref("b"), worker)
            self.now_ms += late
            self.crash(worker=worker)
        # The crashes under "a" are early; those under "b" aren't.
        self.assertEqual(self.crashes(make.ref("b")), 3)
        self.assertEqual(self.job_state("b"), "running")

    def test_single_attempt_is_not_used_up_by_a_crash(self) -> None:
        self.jobs.state.put_configuration(
            job_commands.PutConfiguration(
                configuration=make.configuration(2, make.queue(max_attempts=1))
            )
        )
        self.jobs.accept("b")
        self.crash(make.ref("b"))
        self.assertEqual(self.job_state("b"), "running")
        self.start(make.ref("b"))
        self.end("done", 2, make.ref("b"))
        self.assertEqual(self.job_state("b"), "done")

    def test_gang_fails_with_the_member_that_crashes_its_workers(self) -> None:
        self.jobs.accept("g", make.step(2, gang=True))
        for attempt, worker in enumerate(("w1", "w2"), 1):
            runs = [
                jobs.RunStart(
                    task=make.ref("g", index=index),
                    worker=name,
                    life=self.life(name),
                    attempt=attempt,
                )
                for index, name in enumerate((worker, "w5"))
            ]
            self.state.start(
                job_commands.StartRuns(runs=tuple(runs), at_ms=self.now_ms)
            )
            self.open(worker)
            self.end("broken", attempt, make.ref("g", index=1))
        self.assertEqual(self.job_state("g"), "failed")
        self.assertEqual(self.crashes(make.ref("g", index=1)), 0)

    def test_lasting_task_is_given_up_as_well(self) -> None:
        self.jobs.accept("b", make.step(lasting=True))
        self.crash(make.ref("b"))
        self.crash(make.ref("b"), worker="w2")
        self.assertEqual(self.job_state("b"), "failed")

    def test_late_attempt_elsewhere_keeps_its_room_until_its_end(self) -> None:
        """The second crash is known only after the third start."""
        self.crash()
        self.start(worker="w2")
        self.end("lost", 2)
        attempt = self.start(worker="w3")
        self.open("w2")
        self.assertEqual(self.job_state(), "failed")
        self.assertEqual(self.task().status, "assigned")
        self.end("stopped", attempt)
        self.assertEqual(self.state.used_on("w3").millicores, 0)

    def test_cancelled_job_stays_cancelled(self) -> None:
        self.crash()
        self.start(worker="w2")
        self.state.cancel(job_commands.CancelSteps(job="a"))
        self.open("w2")
        self.assertEqual(self.job_state(), "cancelled")
        self.assertFalse(self.state.jobs["a"].failed)


class ConfirmationTest(CrashCase):
    """Crashes under orders that the worker hasn't answered.

    Guards against giving up a job for crashes before its task had started (rule
    LOST).
    """

    def confirmed(self) -> tuple[int, int, int]:
        """Returns the crashes of the task: all, confirmed, confirmed early."""
        task = self.task()
        return (
            task.crashes,
            task.confirmed_crashes,
            task.confirmed_early_crashes,
        )

    def test_unanswered_orders_convict_no_task(self) -> None:
        """One crash under the task, two before its orders were carried out."""
        self.jobs.accept("b", make.step(lasting=True))
        self.crash(make.ref("b"))
        self.crash(make.ref("b"), worker="w2", started=False)
        self.crash(make.ref("b"), worker="w3", started=False)
        self.assertEqual(self.crashes(make.ref("b")), 3)
        self.assertEqual(self.job_state("b"), "running")

    def test_fifth_crash_convicts_also_without_an_answer(self) -> None:
        states = []
        for worker in ("w1", "w2", "w3", "w4", "w5"):
            self.crash(worker=worker, started=False)
            states.append(self.job_state())
        self.assertEqual(states, [*["queued"] * 4, "failed"])

    def test_confirmed_and_other_crashes_add_up_to_five(self) -> None:
        self.crash(age_ms=EARLY_MS + 1)
        self.crash(worker="w2", age_ms=4000)
        for worker in ("w3", "w4"):
            self.crash(worker=worker, started=False)
            self.assertEqual(self.job_state(), "running")
        self.crash(worker="w5", started=False)
        self.assertEqual(self.job_state(), "failed")

    def test_crash_that_is_not_confirmed_convicts_for_no_earlier_ones(
        self,
    ) -> None:
        """Another task had started as recently at both confirmed crashes."""
        self.jobs.accept("b")
        self.crash(make.ref(), make.ref("b"))
        self.crash(make.ref(), make.ref("b"), worker="w2")
        self.crash(worker="w3", started=False)
        self.assertEqual(self.job_state(), "running")
        self.crash(worker="w4")
        self.assertEqual(self.job_state(), "failed")

    def test_four_crashes_at_one_age_count_only_if_all_are_confirmed(
        self,
    ) -> None:
        for number in range(1, 5):
            self.crash(worker=f"w{number}", age_ms=2000, started=number != 2)
        self.assertEqual(self.job_state(), "running")
        self.assertEqual(self.confirmed(), (4, 3, 0))

    def test_crash_under_an_unanswered_order_makes_a_suspect(self) -> None:
        self.crash(started=False)
        self.assertEqual(crash_conviction.suspicion(self.task()), 1)

    def test_end_tells_that_the_run_had_started(self) -> None:
        """The run is given up before the crash of its worker is known."""
        self.start()
        self.end("lost", 1, started=True)
        self.open("w1")
        self.assertEqual(self.confirmed(), (1, 1, 1))

    def test_end_of_a_run_without_an_answer_confirms_nothing(self) -> None:
        self.start()
        self.end("lost", 1, started=False)
        self.open("w1")
        self.assertEqual(self.confirmed(), (1, 0, 0))

    def test_session_completes_the_record_of_a_run_that_was_given_up(
        self,
    ) -> None:
        self.start()
        runs = self.runs_on("w1")
        self.end("lost", 1, started=False)
        before = self.life("w1")
        self.state.open_session(
            job_commands.OpenSession(
                worker="w1",
                life="w1@2",
                room=make.CAPACITY,
                ended=job_commands.IncarnationEnd(
                    life=before,
                    how="crashed",
                    over_ms=self.now_ms,
                    started=runs,
                ),
            )
        )
        self.assertEqual(self.confirmed(), (1, 1, 1))

    def test_one_of_several_runs_confirms_the_crash(self) -> None:
        self.start()
        self.end("lost", 1, started=True)
        self.start()
        self.end("lost", 2, started=False)
        self.open("w1")
        self.assertEqual(self.confirmed(), (1, 1, 1))
        self.end("failed", 1)
        self.assertEqual(self.confirmed(), (0, 0, 0))

    def test_confirmed_crash_is_taken_back_if_the_incarnation_goes_on(
        self,
    ) -> None:
        first = self.life("w1")
        self.crash()
        self.open("w1", "unknown", life=first)
        self.assertEqual(self.confirmed(), (0, 0, 0))

    def test_run_that_goes_on_clears_confirmed_crashes(self) -> None:
        self.crash()
        attempt = self.start(worker="w2")
        self.state.note_checkpoints(
            job_commands.NoteCheckpoints(
                checkpoints=(),
                cleared=(jobs.RunId(task=make.ref(), attempt=attempt),),
            )
        )
        self.assertEqual(self.confirmed(), (0, 0, 0))

    def test_result_names_confirmed_and_other_crashes(self) -> None:
        self.crash()
        self.start(worker="w2")
        result = self.state.open_session(
            job_commands.OpenSession(
                worker="w2",
                life="w2@2",
                room=make.CAPACITY,
                ended=job_commands.IncarnationEnd(
                    life="w2@1", how="crashed", over_ms=self.now_ms
                ),
            )
        )
        self.assertEqual(result.data["suspects"], [(str(make.ref()), 2, 1)])
        self.assertEqual(result.data["given_up"], [])


class SnapshotTest(CrashCase):
    """The count survives a replica."""

    def restore(self) -> None:
        """Replaces the state by one from its snapshot."""
        plain = cbor2.loads(cbor2.dumps(self.state.snapshot()))
        self.jobs.state = stepped_jobs.SteppedJobs()
        self.jobs.state.restore(plain)

    def test_restored_replica_decides_as_the_others(self) -> None:
        self.start()
        self.restore()
        self.open("w1")
        self.restore()
        self.start(worker="w2")
        self.end("lost", 2)
        self.restore()
        self.open("w2")
        self.assertEqual(self.job_state(), "failed")

    def test_snapshots_of_both_replicas_are_equal(self) -> None:
        self.crash()
        self.start(worker="w2")
        self.end("lost", 2)
        other = self.state
        self.restore()
        self.assertEqual(self.state.snapshot(), other.snapshot())
        command = self.open("w2", "left")
        other.open_session(command)
        self.assertEqual(self.state.snapshot(), other.snapshot())


class RandomCommandsTest(unittest.TestCase):
    """Replicas that restart at any time hold the same state."""

    WORKERS = ("w1", "w2", "w3")
    ENDS: tuple[jobs.RunOutcome, ...] = (
        *("lost", "lost", "rejected"),
        *("failed", "stopped", "lapsed", "done"),
    )

    def setUp(self) -> None:
        self.random = random.Random(0)
        self.lives = dict.fromkeys(self.WORKERS, 1)

    def command(
        self, state: stepped_jobs.SteppedJobs, now_ms: int
    ) -> commands.Command:
        """Returns a command that is often valid in a state."""
        ref = make.ref(
            self.random.choice("abc"), index=self.random.randrange(3)
        )
        task, worker = state.task(ref), self.random.choice(self.WORKERS)
        attempt = 0 if task is None else task.attempt
        kind = self.random.randrange(8)
        if kind < 3:
            return job_commands.StartRuns(
                runs=(
                    jobs.RunStart(
                        task=ref,
                        worker=worker,
                        life=f"{worker}@{self.lives[worker]}",
                        attempt=attempt + 1,
                    ),
                ),
                at_ms=now_ms,
            )
        if kind < 6:
            end = jobs.RunEnd(
                task=ref,
                attempt=max(1, attempt - self.random.randrange(4)),
                how=self.random.choice(self.ENDS),
                started=self.random.random() < 0.5,
            )
            return job_commands.EndRuns(ends=(end,), tracked=kind > 3)
        if kind < 7:
            return job_commands.NoteCheckpoints(
                checkpoints=(),
                cleared=(jobs.RunId(task=ref, attempt=attempt),),
            )
        before = state.incarnations[worker].life
        self.lives[worker] += self.random.choice((1, 1, 1, -1))
        return job_commands.OpenSession(
            worker=worker,
            life=f"{worker}@{self.lives[worker]}",
            room=make.CAPACITY,
            ended=job_commands.IncarnationEnd(
                life=self.random.choice((before, before, "")),
                how=self.random.choice(("crashed", "crashed", "left")),
                over_ms=now_ms + self.random.randrange(500),
                started=tuple(
                    jobs.RunId(task=ref, attempt=task.attempt)
                    for ref, task in state.on_worker.get(worker, {}).items()
                    if self.random.random() < 0.7
                ),
            ),
        )

    def test_state_from_a_snapshot_is_the_same(self) -> None:
        given_up = 0
        for _ in range(40):
            replicas = [make.Jobs().state for _ in range(2)]
            setup: list[commands.Command] = [
                job_commands.AcceptSteps(
                    job=job,
                    queue="forms",
                    spec=jobs.JobSpec(
                        spec="work", steps=(make.step(3, lasting=job == "c"),)
                    ),
                )
                for job in "abc"
            ]
            setup += [
                job_commands.OpenSession(
                    worker=worker,
                    life=f"{worker}@{self.lives[worker]}",
                    room=make.CAPACITY,
                )
                for worker in self.WORKERS
            ]
            for number in range(120):
                now_ms = START_MS + 100 * number
                command = (
                    setup[number]
                    if number < len(setup)
                    else self.command(replicas[0], now_ms)
                )
                for replica in replicas:
                    apply(replica, command)
                if number % 5 == 0:
                    plain = cbor2.loads(cbor2.dumps(replicas[1].snapshot()))
                    replicas[1] = stepped_jobs.SteppedJobs()
                    replicas[1].restore(plain)
                self.assertEqual(replicas[0].snapshot(), replicas[1].snapshot())
            given_up += sum(job.failed for job in replicas[0].jobs.values())
            for job in replicas[0].jobs.values():
                for _, task in job_records.tasks_of(job):
                    self.assertLessEqual(task.early_crashes, task.crashes)
                    self.assertLessEqual(task.confirmed_crashes, task.crashes)
                    self.assertLessEqual(
                        task.confirmed_early_crashes,
                        min(task.confirmed_crashes, task.early_crashes),
                    )
        self.assertGreater(given_up, 0)


def apply(
    state: stepped_jobs.SteppedJobs, command: commands.Command
) -> commands.Result:
    """Applies a command to the jobs."""
    if isinstance(command, job_commands.AcceptSteps):
        return state.accept(command, START_MS)
    if isinstance(command, job_commands.StartRuns):
        return state.start(command)
    if isinstance(command, job_commands.EndRuns):
        return state.end(command)
    if isinstance(command, job_commands.NoteCheckpoints):
        return state.note_checkpoints(command)
    assert isinstance(command, job_commands.OpenSession)
    return state.open_session(command)


class ConvictionTest(unittest.TestCase):
    """Limits on the starts of a task that crashes each worker."""

    def test_task_is_given_up_after_five_crashes_whatever_else(self) -> None:
        """No other task, however suspicious, may delay it further."""
        worst = crash_conviction.CrashedTask(
            ref=make.ref("b"), crashes=9, early=9, early_now=True
        )
        outcomes = []
        for crashes in range(1, 6):
            killer = crash_conviction.CrashedTask(
                ref=make.ref(), crashes=crashes, early=0, early_now=False
            )
            outcomes.append(
                killer in crash_conviction.convicted([killer, worst])
            )
        self.assertEqual(outcomes, [False] * 4 + [True])

    def test_only_runs_that_started_as_recently_are_an_excuse(self) -> None:
        killer = crash_conviction.CrashedTask(
            ref=make.ref(), crashes=2, early=2, early_now=True
        )
        for early_now in (False, True):
            other = crash_conviction.CrashedTask(
                ref=make.ref("b"), crashes=2, early=1, early_now=early_now
            )
            self.assertEqual(
                crash_conviction.convicted([killer, other]),
                [] if early_now else [killer],
            )

    def test_first_late_crash_is_no_suspicion(self) -> None:
        for crashes, early, suspicion in (
            (0, 0, 0),
            (1, 0, 0),
            (1, 1, 1),
            (2, 0, 1),
            (2, 1, 1),
            (2, 2, 2),
        ):
            task = job_records.Task(crashes=crashes, early_crashes=early)
            self.assertEqual(crash_conviction.suspicion(task), suspicion)

    def test_slow_starts_delay_no_decision_beyond_the_fourth_crash(
        self,
    ) -> None:
        """A fifth start is left for a crash that isn't known."""
        killer = crash_conviction.CrashedTask(
            ref=make.ref(), crashes=4, early=0, early_now=False
        )
        for early in (1, 2, 3):
            bystander = crash_conviction.CrashedTask(
                ref=make.ref("b"), crashes=early, early=early, early_now=True
            )
            self.assertIn(
                killer, crash_conviction.convicted([killer, bystander])
            )

    def test_lesser_suspect_is_spared_after_its_fourth_crash(self) -> None:
        killer, bystander = (
            crash_conviction.CrashedTask(
                ref=make.ref(name), crashes=4, early=early, early_now=True
            )
            for name, early in (("a", 4), ("b", 3))
        )
        self.assertEqual(
            crash_conviction.convicted([killer, bystander]), [killer]
        )


if __name__ == "__main__":
    unittest.main()
