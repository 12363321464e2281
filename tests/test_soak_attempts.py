"""Tests the soak test's checks of failures and crashes by tasks."""

import asyncio
from collections.abc import Callable
import random
from typing import Any
import unittest
from unittest import mock

import aiohttp

from devtools import soak_attempts
from devtools import soak_checks
from devtools import soak_jobs
from devtools import soak_worker
from tests import soak_case

TASK = soak_case.TASK
OTHER = "5c0e.0.0.1"
BODY = {"spec": "500 100 300", "phases": [{"count": 2, "cpu": 500}]}


class AttemptsCase(unittest.TestCase):
    """A job with two tasks."""

    def setUp(self) -> None:
        self.history = soak_checks.History(clock=lambda: 0.0)
        self.attempt = 0
        self.submit(BODY)

    def submit(self, body: dict[str, Any]) -> None:
        self.history.record_submission("5c0e", body)
        self.history.record_submission_status("5c0e", 200)

    def start(self, task: str = TASK, *, late: bool = False) -> None:
        self.attempt += 1
        self.history.record_start(
            task,
            "worker-1@7",
            attempt=self.attempt,
            spec="500 100 300",
            free=0,
            late=late,
        )

    def end(self, how: str, task: str = TASK) -> None:
        self.history.record_end(task, "worker-1@7", self.attempt, how)

    def acknowledge(
        self, attempt: int, how: str = "failed", *, lease_expired: bool = False
    ) -> None:
        self.history.record_acknowledgement(
            TASK, attempt, how, lease_expired=lease_expired
        )

    def fail_run(self, *, acknowledged: bool = True) -> None:
        self.start()
        self.end("failed")
        if acknowledged:
            self.acknowledge(self.attempt)

    def crash(self, by: str = TASK) -> None:
        self.start()
        self.history.record_crash("worker-1@7", by=by)
        self.end("lost")

    def read(self, state: str) -> None:
        self.history.record_state("5c0e", 200, state, accepted=True)

    def repeat(self, count: int, function: Callable[[], None]) -> None:
        for _ in range(count):
            function()


class FailureTest(AttemptsCase):
    """A task isn't started after its last failure was acknowledged."""

    def test_start_after_the_last_attempt(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS, self.fail_run)
        self.assertEqual(self.history.violations, [])
        self.start()
        self.assertEqual(len(self.history.violations), 1)

    def test_failure_that_is_acknowledged_after_the_start(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS - 1, self.fail_run)
        self.fail_run(acknowledged=False)
        last = self.attempt
        self.start()
        self.assertEqual(self.history.violations, [])
        self.acknowledge(last)
        self.assertEqual(len(self.history.violations), 1)

    def test_failure_after_the_last_start(self) -> None:
        """Two copies overlap, which another check reports."""
        self.repeat(soak_attempts.MAX_ATTEMPTS - 1, self.fail_run)
        self.start()
        self.start()
        self.history.violations.clear()
        self.history.record_end(TASK, "worker-1@7", self.attempt - 1, "failed")
        self.acknowledge(self.attempt - 1)
        self.assertEqual(self.history.violations, [])

    def test_failure_whose_end_was_lost_does_not_count(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS - 1, self.fail_run)
        self.fail_run(acknowledged=False)
        self.fail_run()
        self.assertEqual(self.history.violations, [])

    def test_failure_before_the_lease_expired_does_not_count(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS - 1, self.fail_run)
        self.fail_run(acknowledged=False)
        self.acknowledge(self.attempt, lease_expired=True)
        self.start()
        self.assertEqual(self.history.violations, [])

    def test_failures_of_another_task_do_not_count(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS, self.fail_run)
        self.start(OTHER)
        self.assertEqual(self.history.violations, [])

    def test_task_that_lasts_has_no_limit(self) -> None:
        phases = [{"count": 2, "cpu": 500, "longRunning": True}]
        self.history = soak_checks.History(clock=lambda: 0.0)
        self.submit({**BODY, "phases": phases})
        self.repeat(soak_attempts.MAX_ATTEMPTS + 3, self.fail_run)
        self.assertEqual(self.history.violations, [])
        self.read("failed")
        self.assertEqual(len(self.history.violations), 1)

    def crash_lasting_task(self, crashes: int) -> None:
        phases = [{"count": 1, "cpu": 500, "longRunning": True}]
        self.history = soak_checks.History(clock=lambda: 0.0)
        self.submit({**BODY, "phases": phases})
        self.repeat(crashes, self.crash)

    def test_lasting_job_that_is_reported_as_failed_need_not_run(self) -> None:
        """Two workers crashed under its task."""
        self.crash_lasting_task(soak_attempts.SUSPICIOUS_CRASHES)
        self.read("failed")
        self.history.check_lasting_jobs()
        self.assertEqual(self.history.violations, [])

    def test_lasting_job_that_fails_without_being_reported_must_run(
        self,
    ) -> None:
        self.crash_lasting_task(soak_attempts.SUSPICIOUS_CRASHES)
        self.history.check_lasting_jobs()
        self.assertEqual(len(self.history.violations), 1)

    def test_lasting_job_that_fails_after_one_crash_is_a_violation(
        self,
    ) -> None:
        self.crash_lasting_task(soak_attempts.SUSPICIOUS_CRASHES - 1)
        self.read("failed")
        self.history.check_lasting_jobs()
        self.assertEqual(len(self.history.violations), 1)

    def test_failed_job(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS, self.fail_run)
        self.read("failed")
        self.assertEqual(self.history.violations, [])

    def test_failed_job_without_enough_failures(self) -> None:
        self.repeat(soak_attempts.MAX_ATTEMPTS - 1, self.fail_run)
        self.start(OTHER)
        self.end("failed", OTHER)
        self.read("failed")
        self.assertEqual(len(self.history.violations), 1)


class CrashTest(AttemptsCase):
    """A task that crashes its workers is given up."""

    def test_third_start_after_three_crashes(self) -> None:
        self.repeat(soak_attempts.MAX_CRASHES + 2, self.crash)
        self.assertEqual(self.history.violations, [])
        self.start()
        self.assertEqual(len(self.history.violations), 1)

    def test_late_starts_count(self) -> None:
        self.repeat(soak_attempts.MAX_CRASHES, self.crash)
        for _ in range(soak_attempts.MAX_STARTS_AFTER_CRASHES):
            self.start(late=True)
            self.end("stopped")
        self.assertEqual(len(self.history.violations), 1)

    def test_crashes_for_another_reason_do_not_count(self) -> None:
        for _ in range(soak_attempts.MAX_CRASHES + 3):
            self.crash("")
            self.crash(OTHER)
        self.assertEqual(self.history.violations, [])

    def test_failed_job_after_two_crashes(self) -> None:
        self.repeat(2, lambda: self.crash(""))
        self.read("failed")
        self.assertEqual(self.history.violations, [])

    def test_failed_job_after_one_crash(self) -> None:
        self.crash()
        self.read("failed")
        self.assertEqual(len(self.history.violations), 1)

    def test_failed_job_after_crashes_under_two_tasks(self) -> None:
        self.crash()
        self.start(OTHER)
        self.history.record_crash("worker-1@7")
        self.end("lost", OTHER)
        self.read("failed")
        self.assertEqual(len(self.history.violations), 1)

    def test_failed_job_after_crashes_of_other_workers(self) -> None:
        self.start()
        for worker in ("worker-2@7", "worker-1@8"):
            self.history.record_crash(worker)
        self.read("failed")
        self.assertEqual(len(self.history.violations), 1)

    def test_runs_of_others_are_counted(self) -> None:
        self.start(OTHER)
        self.crash()
        counts = self.history.counts
        self.assertEqual(counts["crashes by tasks"], 1)
        self.assertEqual(counts["other runs lost in crashes by tasks"], 1)


class SpecTest(unittest.TestCase):
    """A specification may give one task a trouble."""

    def test_only_the_task_named_has_the_trouble(self) -> None:
        spec = "500 100 300 crash 0.1 25"
        first, second, step = (
            soak_jobs.parse_spec(spec, f"5c0e.0.{task}")
            for task in ("0.0", "0.1", "1.1")
        )
        self.assertEqual((second.trouble, second.run_s), ("crash", 0.025))
        for other in (first, step):
            self.assertEqual((other.trouble, other.run_s), ("", 0.3))

    def test_trouble_is_of_a_task_of_the_job(self) -> None:
        rng = random.Random(1)
        for _ in range(100):
            body = soak_jobs.random_job(rng)
            soak_jobs.add_trouble(rng, body, soak_jobs.FAIL)
            tasks = [
                f"5c0e.0.{step}.{index}"
                for step, fields in enumerate(body["phases"])
                for index in range(fields["count"])
            ]
            troubles = [
                soak_jobs.parse_spec(body["spec"], task).trouble
                for task in tasks
            ]
            self.assertEqual(troubles.count(soak_jobs.FAIL), 1)


class CrashingWorkerTest(soak_case.WorkerCase):
    """A task may crash the simulated worker."""

    spec = "500 100 300 crash 0.0 50"

    async def test_worker_is_down_and_comes_back_empty(self) -> None:
        with mock.patch.object(soak_worker, "DOWN_S", (0.4, 0.4)):
            await self.start(spec=self.spec)
            await asyncio.sleep(0.2)
            with self.assertRaises(aiohttp.ClientError):
                await self.call("pace")
            self.assertEqual(
                self.history.calm_since_s("worker-1"), float("inf")
            )
            await asyncio.sleep(0.5)
        self.assertEqual(await self.lists(), ([], []))
        self.assertEqual(self.history.counts["crashes by tasks"], 1)
        self.assertEqual(self.history.counts["ended lost"], 1)
        self.assertLess(self.history.calm_since_s("worker-1"), float("inf"))

    async def test_run_that_is_stopped_in_time_crashes_nothing(self) -> None:
        await self.start(spec="500 100 300 crash 0.0 1500")
        await self.stop()
        await asyncio.sleep(1.6)
        self.assertEqual(self.history.counts["crashes by tasks"], 0)
        self.assertEqual(self.history.counts["ended stopped"], 1)

    async def test_task_fails(self) -> None:
        await self.start(spec="500 100 300 fail 0.0 20")
        _, finished = await self.lists(waitMs=2000)
        self.assertEqual(finished, [[1, TASK, 1, "failed", ""]])


if __name__ == "__main__":
    unittest.main()
