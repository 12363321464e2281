"""Tests which reported ends of runs change a task.

Guards against a task that runs again after its success was acknowledged.
"""

import unittest

from bamboorouter import errors
from bamboorouter.coordination.jobs import worker_capacities
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import job_builders as make
from tests import test_job_dispatcher


class LateEndTest(test_job_dispatcher.DispatcherCase):
    """A run that was given up turns out to have completed or failed."""

    async def give_up_first_run(self, *steps: jobs.Step) -> None:
        """Gives up the first attempt, on w1, and assigns the second, to w2."""
        self.first = await self.connect_agent("w1")
        await self.submit("a", *steps)
        await self.until(self.first.started)
        await self.report(self.first, draining=True)
        await self.report(
            self.first,
            draining=True,
            ends=tuple(
                end
                for task in self.first.started()
                for end in self.run_ends(task, "lost")
            ),
        )
        self.second = await self.connect_agent("w2")
        await self.until(self.second.started)

    async def report_success(self, attempt: int = 1) -> None:
        reply = await self.report(
            self.first,
            draining=True,
            ends=self.run_ends(make.ref(), "done", attempt),
        )
        self.assertTrue(reply.known)

    def job_state(self) -> str:
        return self.log.machine.stepped.jobs["a"].state()

    async def end_second_run(self, how: jobs.RunOutcome) -> None:
        await self.report(
            self.second, ends=self.run_ends(make.ref(), how, attempt=2)
        )
        self.time.advance(worker_table.LEASE_MS // 9)
        await self.report(self.second)
        await self.settle()

    async def test_task_does_not_run_again_after_an_acknowledged_success(
        self,
    ) -> None:
        await self.give_up_first_run()
        await self.report_success()
        await self.end_second_run("lost")
        self.assertEqual(self.second.started(), [make.ref()])
        self.assertEqual(self.job_state(), "done")

    async def test_next_attempt_is_stopped_at_once(self) -> None:
        await self.give_up_first_run()
        await self.report_success()
        await self.until(self.second.stopped)
        reply = await self.report(
            self.second, runs=(self.held_run(make.ref(), attempt=2),)
        )
        self.assertEqual(
            reply.orders.stops,
            (job_messages.StopOrder(task=make.ref(), attempt=2),),
        )

    async def test_superseded_run_takes_its_room_until_its_end_is_reported(
        self,
    ) -> None:
        """Guards against a start beside a run whose order is under way."""
        whole_worker = make.step(need=make.need(64_000, 1000))
        await self.give_up_first_run(whole_worker)
        await self.report_success()
        await self.submit("b", whole_worker)
        # This report was sent before the start order arrived.
        await self.report(self.second)
        await self.settle()
        self.assertEqual(self.second.started(), [make.ref()])
        await self.report(
            self.second, ends=self.run_ends(make.ref(), "stopped", attempt=2)
        )
        await self.until(lambda: self.second.has_started(2))

    async def test_room_of_a_superseded_run_that_is_never_reported_is_freed(
        self,
    ) -> None:
        whole_worker = make.step(need=make.need(64_000, 1000))
        await self.give_up_first_run(whole_worker)
        await self.report_success()
        await self.submit("b", whole_worker)
        await self.pass_time(worker_capacities.MAX_UNREPORTED_MS)
        await self.report(self.second)
        await self.until(lambda: self.second.has_started(2))

    async def test_success_counts_after_the_next_attempt_was_lost_too(
        self,
    ) -> None:
        await self.give_up_first_run()
        await self.report(self.second, draining=True)
        await self.end_second_run("lost")
        await self.report_success()
        self.assertEqual(self.job_state(), "done")

    async def test_success_after_that_of_the_next_attempt_changes_nothing(
        self,
    ) -> None:
        await self.give_up_first_run()
        await self.end_second_run("done")
        await self.report_success()
        self.assertEqual(self.log.machine.stepped.jobs["a"].open_tasks, 0)

    async def test_success_of_a_cancelled_job_starts_nothing(self) -> None:
        await self.give_up_first_run()
        await self.cancel("a")
        await self.report_success()
        await self.end_second_run("stopped")
        self.assertEqual(self.job_state(), "cancelled")
        self.assertEqual(self.second.started(), [make.ref()])

    async def test_success_with_an_unknown_result_counts_once(self) -> None:
        await self.give_up_first_run(make.step(), make.step())
        self.log.lose_results = 1
        with self.assertRaises(errors.UnknownResultError):
            await self.report_success()
        await self.report_success()
        self.assertEqual(self.log.machine.stepped.jobs["a"].open_tasks, 1)

    async def test_success_of_one_member_completes_its_gang(self) -> None:
        await self.give_up_first_run(make.step(2, gang=True))
        await self.report_success()
        self.assertEqual(self.job_state(), "done")

    async def test_lasting_task_goes_on_after_an_earlier_run_ended(
        self,
    ) -> None:
        await self.give_up_first_run(make.step(lasting=True))
        await self.report_success()
        self.assertEqual(self.job_state(), "running")
        await self.settle()
        self.assertEqual(self.second.stopped(), [])

    async def test_late_failure_counts_towards_the_attempts(self) -> None:
        """Two attempts are allowed, and both failed."""
        await self.give_up_first_run()
        await self.report(
            self.first, draining=True, ends=self.run_ends(make.ref(), "failed")
        )
        await self.end_second_run("failed")
        self.assertEqual(self.second.started(), [make.ref()])
        self.assertEqual(self.job_state(), "failed")


if __name__ == "__main__":
    unittest.main()
