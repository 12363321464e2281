"""Tests which runs clear their tasks of crashes.

Guards against clearing a task whose run isn't known to go on, so that it is
started again and again (rule BUDGET).
"""

from typing import Any
import unittest
from unittest import mock

from bamboorouter.coordination.jobs import crash_survival
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from tests import job_builders as make
from tests import test_job_dispatcher

AGE_MS = crash_survival.MIN_AGE_MS


class CrashSurvivalTest(unittest.TestCase):
    """The reports on the run of a task under which a worker crashed."""

    def setUp(self) -> None:
        self.survival = crash_survival.CrashSurvival()
        self.jobs = make.Jobs()
        self.jobs.open_session()
        self.jobs.accept("a")
        self.assertTrue(self.jobs.start(make.ref()))
        self.task = self.jobs.task(make.ref())
        self.task.crashes = 1
        self.now = 100_000

    def cleared(
        self, after_ms: int = 0, *, attempt: int = 1, **fields: Any
    ) -> bool:
        """Returns whether a report `after_ms` later clears the task.

        Args:
            after_ms: Time since the last report.
            attempt: Attempt of the reported run.
            **fields: Other fields of the report.
        """
        self.now += after_ms
        run = job_messages.HeldRun(
            task=make.ref(),
            attempt=attempt,
            running=fields.pop("running", True),
        )
        report = test_job_dispatcher.FakeAgent("w1").report(
            runs=(run,) if fields.pop("listed", True) else (), **fields
        )
        worker = worker_table.LiveWorker(
            report=report,
            source=mock.Mock(),
            reported_ms=self.now,
            largest_room=report.room,
        )
        found = self.survival.survivors([worker], self.jobs.state)
        self.assertIn(found, ((), (jobs.RunId(task=make.ref(), attempt=1),)))
        return bool(found)

    def test_run_that_is_listed_for_long_enough_clears_its_task(self) -> None:
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS))
        self.assertTrue(self.cleared(1))

    def test_age_at_the_last_crash_must_be_exceeded(self) -> None:
        self.task.crash_age_ms = AGE_MS + 500
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS + 500))
        self.assertTrue(self.cleared(1))

    def crash_at_ages(self, *ages_ms: int) -> None:
        """Records crashes under earlier runs of the task."""
        self.task.crash_age_ms = ages_ms[-1]
        self.task.given_up = tuple(
            job_records.GivenUpRun(
                attempt=-number,
                worker=f"v{number}",
                life=f"v{number}@1",
                assigned_ms=1,
                lost=True,
                crash_age_ms=age_ms,
            )
            for number, age_ms in enumerate(ages_ms)
        )

    def test_ages_at_all_crashes_must_be_exceeded(self) -> None:
        """Guards against a task that crashes workers at different ages."""
        self.crash_at_ages(AGE_MS + 500, 2000)
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS + 500))
        self.assertTrue(self.cleared(1))

    def test_age_at_an_earlier_crash_counts_up_to_a_limit(self) -> None:
        """Otherwise a task that ran for days couldn't be cleared for days."""
        self.crash_at_ages(24 * 3_600_000, 2000)
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(crash_survival.MAX_EARLIER_AGE_MS))
        self.assertTrue(self.cleared(1))

    def test_run_that_is_not_known_to_have_started_clears_nothing(self) -> None:
        self.assertFalse(self.cleared(running=False))
        self.assertFalse(self.cleared(AGE_MS + 1, running=False))
        self.assertFalse(self.cleared())

    def test_time_after_the_newest_view_does_not_count(self) -> None:
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS + 1, view_age_ms=AGE_MS + 1))
        self.assertTrue(self.cleared())

    def test_earlier_attempt_clears_nothing(self) -> None:
        self.assertFalse(self.cleared(attempt=0))
        self.assertFalse(self.cleared(AGE_MS + 1, attempt=0))

    def test_run_that_was_not_listed_meanwhile_begins_anew(self) -> None:
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS, listed=False))
        self.assertFalse(self.cleared(1))

    def test_new_leader_begins_anew(self) -> None:
        self.assertFalse(self.cleared())
        self.survival.reset()
        self.assertFalse(self.cleared(AGE_MS + 1))

    def test_task_without_a_crash_is_not_cleared(self) -> None:
        self.task.crashes = 0
        self.assertFalse(self.cleared())
        self.assertFalse(self.cleared(AGE_MS + 1))

    def test_run_that_is_given_up_clears_nothing(self) -> None:
        self.assertFalse(self.cleared())
        self.jobs.end(make.ref(), "lost")
        self.assertFalse(self.cleared(AGE_MS + 1))


class ElectionTest(test_job_dispatcher.DispatcherCase):
    """A new leader doesn't know when the runs were listed before."""

    async def test_ages_are_forgotten_once_per_term(self) -> None:
        recorder = self.dispatcher.observations
        recorder.restore()
        with mock.patch.object(recorder.crash_survival, "reset") as reset:
            recorder.restore()
            reset.assert_not_called()
            self.log.elect_again()
            recorder.restore()
            reset.assert_called_once_with()


if __name__ == "__main__":
    unittest.main()
