"""Tests the checks of the soak test and runs it briefly with fixed seeds.

Each seed that has failed stays here as a regression test.
"""

import asyncio
import collections
import contextlib
import json
from typing import Any
import unittest
from unittest import mock

import aiohttp

from devtools import soak_checks
from devtools import soak_schedule
from devtools import soak_worker
from tests import soak_case

TASK = soak_case.TASK
LASTING = soak_case.LASTING
BODY = {"spec": "500 100 300", "phases": [{"count": 1, "cpu": 500}]}
TWO_STEPS = {
    "spec": "500 100 300",
    "phases": [{"count": 2}, {"count": 1, "after": [0]}],
}


def _request(path: str, **body: Any) -> bytes:
    """Returns the bytes of a call to a worker."""
    content = json.dumps({"fencingToken": 1, **body})
    return (
        f"POST /-/{path} HTTP/1.1\r\nHost: worker\r\n"
        "Expect-Instance: i-worker-1\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n{content}"
    ).encode()


class ChecksTest(unittest.TestCase):
    """Each violation of a guarantee is detected."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.history = soak_checks.History(clock=lambda: self.now_s)
        self.submit("5c0e", BODY)

    def submit(self, job: str, body: dict[str, Any], status: int = 200) -> None:
        self.history.record_submission(job, body)
        self.history.record_submission_status(job, status)

    def start(
        self,
        worker: str = "worker-1@7",
        *,
        task: str = TASK,
        attempt: int = 1,
        spec: str = "500 100 300",
        free: int = 0,
        late: bool = False,
    ) -> None:
        self.history.record_start(
            task, worker, attempt=attempt, spec=spec, free=free, late=late
        )

    def end(
        self,
        how: str = "done",
        *,
        worker: str = "worker-1@7",
        task: str = TASK,
        attempt: int = 1,
    ) -> None:
        self.history.record_end(task, worker, attempt, how)

    def cancel(self, status: int = 200, *, accepted: bool = True) -> None:
        self.history.record_cancellation("5c0e")
        self.history.record_cancellation_status(
            "5c0e", status, accepted=accepted
        )

    def fault(self, target: str) -> None:
        self.history.record_fault_start(target)
        self.history.record_fault_end(target)

    def read(self, state: str, known: str | None = None) -> None:
        if known is None:
            known = self.history.known_state("5c0e")
        self.history.record_state(
            "5c0e", 200, state, accepted=True, known=known
        )

    def acknowledge(self, attempt: int, *, lease_expired: bool = False) -> None:
        self.history.record_acknowledgement(
            TASK, attempt, "done", lease_expired=lease_expired
        )

    def violation_count(self) -> int:
        return len(self.history.violations)

    def test_nothing_is_broken_by_a_plain_run(self) -> None:
        self.start()
        self.end()
        self.acknowledge(1)
        self.read("done")
        self.history.finish()
        self.assertEqual(self.history.violations, [])

    def test_two_runs_at_once(self) -> None:
        self.start()
        self.start("worker-2@7", attempt=2)
        self.assertEqual(self.violation_count(), 1)

    def test_start_after_an_acknowledged_end(self) -> None:
        self.start()
        self.end()
        self.acknowledge(1)
        self.start()
        self.assertEqual(self.violation_count(), 1)

    def test_start_after_an_end_that_is_acknowledged_later(self) -> None:
        self.start()
        self.end()
        self.start("worker-2@7", attempt=2)
        self.acknowledge(1)
        self.assertEqual(self.violation_count(), 1)

    def test_end_that_was_lost_in_a_crash_may_be_repeated(self) -> None:
        self.start()
        self.end()
        self.start("worker-2@7", attempt=2)
        self.end(worker="worker-2@7", attempt=2)
        self.acknowledge(2)
        self.assertEqual(self.history.violations, [])

    def test_end_before_the_lease_expired_may_be_repeated(self) -> None:
        """Reproduces seed 9104: cuts and a freeze for longer than a lease."""
        self.start()
        self.end()
        self.start("worker-2@7", attempt=2)
        self.acknowledge(1, lease_expired=True)
        self.assertEqual(self.history.violations, [])
        self.assertEqual(
            self.history.counts["repeated after an expired lease"], 1
        )

    def test_repeated_end_counts_once_it_is_acknowledged(self) -> None:
        self.start()
        self.end()
        self.start("worker-2@7", attempt=2)
        self.acknowledge(1, lease_expired=True)
        self.end(worker="worker-2@7", attempt=2)
        self.acknowledge(2)
        self.start("worker-3@7", attempt=3)
        self.assertEqual(self.violation_count(), 1)

    def test_worker_over_its_room(self) -> None:
        self.start(free=-1)
        self.assertEqual(self.violation_count(), 1)

    def test_task_that_nobody_submitted(self) -> None:
        self.start(task="other.0.0.0")
        self.assertEqual(self.violation_count(), 1)

    def test_refused_job_that_runs(self) -> None:
        self.submit("no", BODY, 429)
        self.start(task="no.0.0.0")
        self.end(task="no.0.0.0")
        self.start()
        self.end()
        self.read("done")
        self.history.finish()
        self.assertEqual(self.violation_count(), 1)

    def test_accepted_job_that_is_lost(self) -> None:
        """Expects a violation for the status 410 and one for the open job."""
        self.history.record_state("5c0e", 410, "", accepted=True)
        self.history.finish()
        self.assertEqual(self.violation_count(), 2)

    def test_query_that_was_sent_before_the_job_was_accepted(self) -> None:
        self.history.record_state("5c0e", 410, "", accepted=False)
        self.assertEqual(self.violation_count(), 0)

    def test_job_shown_done_while_it_runs(self) -> None:
        """Expects a violation for the run and one for the task without end."""
        self.start()
        self.read("done")
        self.assertEqual(self.violation_count(), 2)

    def test_configuration_that_goes_back(self) -> None:
        self.history.record_configuration(4)
        self.history.record_configuration_read(
            3, at_least=self.history.acknowledged_version()
        )
        self.assertEqual(self.violation_count(), 1)

    def test_two_attempts_at_once_on_one_worker(self) -> None:
        self.start()
        self.start(attempt=2)
        self.assertEqual(self.violation_count(), 1)

    def test_run_that_a_crash_ended_may_be_repeated(self) -> None:
        self.start()
        self.end("lost")
        self.start("worker-1@8", attempt=2)
        self.assertEqual(self.history.violations, [])

    def test_run_with_another_spec(self) -> None:
        self.start(spec="500 100 301")
        self.assertEqual(self.violation_count(), 1)

    def test_run_of_a_task_beyond_those_submitted(self) -> None:
        self.start(task="5c0e.0.0.1")
        self.assertEqual(self.violation_count(), 1)

    def test_step_that_starts_before_the_earlier_one_is_done(self) -> None:
        self.submit("7f", TWO_STEPS)
        self.start(task="7f.0.0.0")
        self.end(task="7f.0.0.0")
        self.start(task="7f.0.1.0")
        self.assertEqual(self.violation_count(), 1)

    def test_step_that_starts_after_the_earlier_one(self) -> None:
        self.submit("7f", TWO_STEPS)
        for task in ("7f.0.0.0", "7f.0.0.1"):
            self.start(task=task)
            self.end(task=task)
        self.start(task="7f.0.1.0")
        self.assertEqual(self.history.violations, [])

    # --- Cancellations -------------------------------------------------------

    def run_on(self, from_s: float, to_s: float) -> list[str]:
        """Returns the violations found while the time passes."""
        for tenths in range(int(from_s * 10), int(to_s * 10)):
            self.now_s = tenths / 10
            self.history.cancelled_runs()
        return self.history.violations

    def test_run_that_goes_on_after_its_job_was_cancelled(self) -> None:
        self.start()
        self.cancel()
        self.assertEqual(self.run_on(0, 3.9), [])
        self.assertEqual(len(self.run_on(3.9, 9)), 1)

    def test_run_that_is_stopped_after_its_job_was_cancelled(self) -> None:
        self.start()
        self.cancel()
        self.run_on(0, 3.8)
        self.end("stopped")
        self.assertEqual(self.run_on(3.8, 20), [])
        self.read("cancelled")
        self.history.finish()
        self.assertEqual(self.history.violations, [])

    def test_run_that_goes_on_although_the_answer_to_the_cancel_is_lost(
        self,
    ) -> None:
        self.start()
        self.cancel(0)
        self.assertEqual(self.run_on(0, 20), [])

    def test_faults_extend_the_time_to_stop_a_run(self) -> None:
        for target in ("agent-1", "worker-1", "control-2"):
            with self.subTest(target):
                self.setUp()
                self.start()
                self.cancel()
                self.run_on(0, 2)
                self.fault(target)
                # The fault counts for 3 s more.
                self.assertEqual(self.run_on(2, 8.8), [])
                self.assertEqual(len(self.run_on(8.8, 12)), 1)

    def test_faults_elsewhere_do_not_extend_the_time_to_stop(self) -> None:
        for target in ("agent-2", "worker-11", "entry-1"):
            with self.subTest(target):
                self.setUp()
                self.start()
                self.cancel()
                self.run_on(0, 2)
                self.fault(target)
                self.assertEqual(len(self.run_on(2, 5)), 1)

    def test_run_is_allowed_while_a_fault_lasts(self) -> None:
        self.history.record_fault_start("agent-1")
        self.start()
        self.cancel()
        self.assertEqual(self.run_on(0, 30), [])

    def test_run_that_was_started_late_has_time_from_its_start(self) -> None:
        self.cancel()
        self.now_s = 10.0
        self.start(late=True)
        self.assertEqual(self.run_on(10, 16.8), [])
        self.assertEqual(len(self.run_on(16.8, 20)), 1)

    def test_start_after_the_job_was_cancelled(self) -> None:
        self.cancel()
        self.now_s = 3.1
        self.start()
        self.assertEqual(self.violation_count(), 1)

    def test_start_of_a_job_that_was_unknown_when_it_was_cancelled(
        self,
    ) -> None:
        """A submission that arrives later must not be accepted."""
        self.cancel(410, accepted=False)
        self.now_s = 3.1
        self.start()
        self.assertEqual(self.violation_count(), 1)

    def test_start_soon_after_the_job_was_cancelled(self) -> None:
        self.cancel()
        self.now_s = 2.9
        self.start()
        self.assertEqual(self.history.violations, [])

    def test_start_soon_after_a_fault(self) -> None:
        self.cancel()
        self.now_s = 3.1
        self.fault("agent-1")
        self.now_s = 6.0
        self.start()
        self.assertEqual(self.history.violations, [])

    def test_cancelled_job_that_is_shown_as_running(self) -> None:
        self.cancel()
        self.read("running")
        self.assertEqual(self.violation_count(), 1)

    def test_state_that_was_asked_for_before_the_cancellation(self) -> None:
        known = self.history.known_state("5c0e")
        self.cancel()
        self.read("running", known)
        self.assertEqual(self.history.violations, [])

    def test_final_state_that_changes(self) -> None:
        self.cancel()
        self.read("cancelled")
        self.read("failed")
        self.assertEqual(self.violation_count(), 2)

    def test_job_that_was_done_before_its_cancellation(self) -> None:
        self.start()
        self.end()
        self.cancel()
        self.read("done")
        self.read("done")
        self.assertEqual(self.history.violations, [])

    def test_job_shown_as_cancelled_that_nobody_cancelled(self) -> None:
        self.read("cancelled")
        self.assertEqual(self.violation_count(), 1)

    def test_cancellation_of_an_accepted_job_that_is_not_found(self) -> None:
        self.cancel(410)
        self.assertEqual(self.violation_count(), 1)

    def test_cancellation_that_overtakes_the_submission(self) -> None:
        self.cancel(410, accepted=False)
        self.assertEqual(self.history.violations, [])

    def test_cancellation_that_is_never_acknowledged(self) -> None:
        self.cancel(0)
        self.read("cancelled")
        self.history.finish()
        self.assertEqual(self.violation_count(), 1)

    def test_lasting_job_whose_task_does_not_run(self) -> None:
        self.submit("7f", LASTING)
        self.history.check_lasting_jobs()
        self.assertEqual(self.violation_count(), 1)

    def test_lasting_job_whose_task_runs(self) -> None:
        self.submit("7f", LASTING)
        self.start(task="7f.0.0.0", spec="500 100 0")
        self.history.check_lasting_jobs()
        self.start()
        self.end()
        self.read("done")
        self.history.finish()
        self.assertEqual(self.history.violations, [])


class WorkerTest(soak_case.WorkerCase):
    """The simulated worker follows the platform's specification."""

    async def test_stale_token_and_other_instance_have_no_effect(self) -> None:
        self.assertEqual(await self.start(fencingToken=3), (200, ""))
        self.assertEqual(await self.start(2), (409, "fence"))
        self.assertEqual(await self.stop(), 409)
        status, _ = await self.call("hold", instance="i-other", ackCursor=0)
        self.assertEqual(status, 421)
        running, _ = await self.lists(fencingToken=3)
        self.assertEqual(running, [[TASK, 1, "", 50, 0]])

    async def test_start_that_is_repeated_is_carried_out_once(self) -> None:
        self.assertEqual(await self.start(), (200, ""))
        self.assertEqual(await self.start(), (200, ""))
        self.assertEqual(self.history.counts["starts"], 1)

    async def test_run_that_was_stopped_before_its_start_is_rejected(
        self,
    ) -> None:
        self.assertEqual(await self.stop(4), 200)
        self.assertEqual(await self.start(3), (409, "old"))
        self.assertEqual(await self.start(4), (409, "old"))
        self.assertEqual(await self.start(5), (200, ""))

    async def test_stop_keeps_the_room_until_the_end_is_listed(self) -> None:
        await self.start()
        await self.stop()
        running, finished = await self.lists(waitMs=2000)
        self.assertEqual(
            (running, finished), ([], [[1, TASK, 1, "stopped", ""]])
        )
        _, finished = await self.lists()
        self.assertEqual(len(finished), 1)
        _, finished = await self.lists(ackCursor=1)
        self.assertEqual(finished, [])
        self.assertEqual(await self.start(), (409, "old"))

    async def test_lease_is_bounded_and_never_shortened(self) -> None:
        _, answer = await self.call("pace")
        self.assertEqual((await self.start(untilMs=1)), (409, "late"))
        await self.call("hold", ackCursor=0, untilMs=answer["clockMs"] + 900)
        self.assertEqual(await self.start(), (200, ""))
        await self.call("hold", ackCursor=0, untilMs=1)
        await asyncio.sleep(1.2)
        running, _ = await self.lists()
        self.assertEqual(len(running), 1)
        _, answer = await self.call("hold", ackCursor=0, untilMs=10**9)
        self.assertLessEqual(
            self.worker.lease_end_ms(),
            answer["clockMs"] + soak_worker.MAX_LEASE_MS,
        )

    async def test_lease_that_expires_ends_all_runs(self) -> None:
        _, answer = await self.call("pace")
        await self.start(untilMs=answer["clockMs"] + 200)
        _, finished = await self.lists(waitMs=2000)
        self.assertEqual(finished, [[1, TASK, 1, "lapsed", ""]])

    async def test_crash_forgets_everything(self) -> None:
        await self.start(fencingToken=9)
        self.worker.crash()
        running, finished = await self.lists(fencingToken=0)
        self.assertEqual((running, finished), ([], []))
        self.assertEqual(await self.start(), (200, ""))
        self.assertEqual(self.history.violations, [])

    async def test_crash_ends_open_connections(self) -> None:
        """A call that has arrived is carried out before the crash or never."""
        _, answer = await self.call("pace")
        until_ms = answer["clockMs"] + 5000
        for turns in range(20):
            with self.subTest(turns=turns):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.port
                )
                writer.write(_request("pace"))
                self.assertIn(b" 200 ", await reader.readline())
                writer.write(
                    _request(
                        "run-start",
                        task=TASK,
                        attempt=1,
                        spec="500 100 0",
                        untilMs=until_ms,
                    )
                )
                for _ in range(turns):
                    await asyncio.sleep(0)
                self.worker.crash()
                async with asyncio.timeout(1.0):
                    with contextlib.suppress(ConnectionError):
                        await reader.read()
                writer.close()
                self.assertEqual(await self.lists(), ([], []))
        self.assertEqual(self.history.violations, [])

    async def test_late_call_with_a_stale_token_has_no_effect(self) -> None:
        for token, starts in ((1, 1), (2, 0)):
            with (
                self.subTest(token=token),
                mock.patch.multiple(
                    soak_worker,
                    LATE_PROBABILITY=1.0,
                    AT_ONCE_PROBABILITY=0.0,
                    LATE_S=(0.3, 0.3),
                    UNANSWERED_S=0.1,
                ),
            ):
                self.worker.crash()
                self.history.counts.clear()
                _, answer = await self.call("pace")
                self.worker.late_enabled = 1
                with self.assertRaises(aiohttp.ClientError):
                    await self.call(
                        "run-start",
                        task=TASK,
                        attempt=1,
                        spec="500 100 0",
                        untilMs=answer["clockMs"] + 5000,
                    )
                self.worker.late_enabled = 0
                self.assertEqual(self.worker.late_orders, 1)
                await self.lists(fencingToken=token)
                await asyncio.sleep(0.5)
                self.assertEqual(self.history.counts["starts late"], starts)


class ScheduleTest(unittest.TestCase):
    """A seed determines the schedule of faults."""

    def test_seed_decides_the_schedule(self) -> None:
        first, second, other = (
            soak_schedule.schedule(
                seed, seconds=30, controls=3, entries=2, workers=4
            )
            for seed in (7, 7, 8)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)
        self.assertGreater(len(first), 10)

    def test_series_leave_the_other_faults_as_they_are(self) -> None:
        plain, with_series, repeated = (
            soak_schedule.schedule(
                9104,
                seconds=30,
                controls=3,
                entries=2,
                workers=12,
                series=series,
            )
            for series in (False, True, True)
        )
        self.assertEqual(with_series, repeated)
        self.assertEqual(
            [fault for fault in with_series if fault in plain], plain
        )
        self.assertIn("late", {fault.kind for fault in with_series})

    def test_freezes_leave_the_other_faults_as_they_are(self) -> None:
        plain, with_freezes = (
            soak_schedule.schedule(
                9104,
                seconds=30,
                controls=3,
                entries=2,
                workers=6,
                freezes=freezes,
            )
            for freezes in (False, True)
        )
        self.assertEqual(
            [fault for fault in with_freezes if fault in plain], plain
        )
        kinds = collections.Counter(fault.kind for fault in with_freezes)
        self.assertEqual(kinds.most_common(1)[0][0], "freeze")


class SeededRunTest(soak_case.SeededRunCase):
    """Real processes violate no guarantee under injected faults."""

    def test_seed_1(self) -> None:
        """Guards against a task that runs twice.

        A restarted worker ran an order for its former incarnation, although the
        leader had already started the task elsewhere.
        """
        self.run_soak(1, seconds=10.0)

    def test_seed_7(self) -> None:
        """Guards against a lost end of a run.

        A restarted worker dropped the end of a run on an acknowledgement
        for an end of its former incarnation that had the same number.
        """
        self.run_soak(7, seconds=11.0)

    def test_seed_9104(self) -> None:
        """Guards against repeating runs that ended while their agent paused.

        The agent counted them as lost from the clock alone, although its
        worker answered and listed their ends.
        """
        self.run_soak(9104, seconds=15.0, workers=6)

    def test_cancelled_jobs_and_late_orders(self) -> None:
        """Guards against a run that goes on after its job was cancelled."""
        history = self.run_soak(4213, groups=frozenset({"cancellations"}))
        self.assertGreater(history.counts["cancellation answered 200"], 5)
        self.assertGreater(history.counts["fault late"], 0)
        self.assertGreater(history.counts["fault restart_then_cut"], 0)


if __name__ == "__main__":
    unittest.main()
