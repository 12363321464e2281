"""Guards against two runs of a task that the leader knows of."""

from tests import job_builders as make
from tests import test_stop_orders


class ReportedRunsTest(test_stop_orders.StopOrdersCase):
    """A run that was given up comes back before its task is assigned again."""

    async def test_task_waits_for_an_earlier_run_that_is_reported(self) -> None:
        first = await self.start_on("w1", "a")
        await self.report(
            first, draining=True, ends=self.run_ends(make.ref(), "lost")
        )
        reply = await self.report(
            first, draining=True, runs=(self.held_run(make.ref()),)
        )
        self.assertEqual(self.reply_stops(reply), [(make.ref(), 1)])
        # The run hasn't stopped yet when another worker has room for the task.
        second = await self.connect_agent("w2")
        await self.settle()
        self.assertEqual(second.started(), [])
        await self.report(first, draining=True)
        await self.until(second.started)
