"""Tests when the leader believes that an earlier incarnation is fenced off.

Guards against a late message that has the runs of a newer incarnation, which
go on, started a second time.
"""

import unittest

from bamboorouter.protocol import job_messages
from tests import job_builders as make
from tests import test_job_dispatcher


class SessionFencingTest(test_job_dispatcher.DispatcherCase):
    """A worker restarts while its runs are assigned."""

    async def open(
        self, incarnation: int, *, fence: int = 0
    ) -> job_messages.WorkerSession:
        return await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(
                worker="w1",
                life=f"w1@{incarnation}",
                room=make.CAPACITY,
                fenced=bool(fence),
                fence=fence,
            )
        )

    async def run_on(self, incarnation: int, job: str, session: int) -> None:
        """Starts a job on an incarnation that has a session."""
        agent = test_job_dispatcher.FakeAgent("w1")
        agent.session = session
        await self.report(agent, life=f"w1@{incarnation}")
        await self.submit(job)
        await self.until(agent.started)

    def running_lives(self) -> set[str]:
        tasks = self.log.machine.stepped.on_worker["w1"]
        return {task.life for task in tasks.values()}

    async def test_late_copy_of_a_fenced_request_gives_up_no_newer_run(
        self,
    ) -> None:
        first = await self.open(1)
        await self.run_on(1, "a", first.number)
        offered = await self.open(2)
        self.assertFalse(offered.opened)
        second = await self.open(2, fence=offered.number)
        self.assertTrue(second.opened)
        await self.cancel("a")
        third = await self.open(3)
        await self.run_on(3, "b", third.number)
        late = await self.open(2, fence=offered.number)
        self.assertFalse(late.opened)
        self.assertEqual(self.running_lives(), {"w1@3"})

    async def test_incarnation_that_is_fenced_off_anew_gets_its_session(
        self,
    ) -> None:
        first = await self.open(1)
        await self.run_on(1, "a", first.number)
        for incarnation in (2, 1):
            offered = await self.open(incarnation)
            opened = await self.open(incarnation, fence=offered.number)
            self.assertTrue(opened.opened)
            await self.run_on(incarnation, f"b{incarnation}", opened.number)
        self.assertEqual(self.running_lives(), {"w1@1"})


if __name__ == "__main__":
    unittest.main()
