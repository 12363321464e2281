"""Guards against mixing up the incarnations of a worker on its agent."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import cast
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import agent_session
from tests import fake_worker
from tests import job_builders as make
from tests import replica_site


class AgentIncarnationsTest(unittest.IsolatedAsyncioTestCase):
    """Tests an agent whose worker restarts under the same name."""

    async def asyncSetUp(self) -> None:
        self.worker = fake_worker.FakeWorker()
        self.leader = fake_worker.FakeLeaderClient()
        self.session = agent_session.AgentSession(
            worker="agent-1",
            client=cast(control_client.ControlClient, self.leader),
            ports=self.worker,
            time=clock.SystemClock(),
        )
        self.session.start()
        self.addAsyncCleanup(self.session.stop)
        self.session.announce(fake_worker.announcement())
        await self.until(lambda: self.leader.reports)

    async def until(self, condition: Callable[[], Any]) -> None:
        await replica_site.wait_until(condition, timeout_s=fake_worker.WAIT_S)

    async def run_task(self, name: str, incarnation: str) -> None:
        """Runs a task until its end is listed."""
        task = make.ref(name)
        link = mock.Mock(closed=asyncio.Event())
        await self.session.handle_message(
            fake_worker.start_orders(task, incarnation=incarnation), link
        )
        await self.until(lambda: task in self.worker.running)
        await self.until(
            lambda: any(r.running for r in self.leader.reports[-1].runs)
        )
        self.worker.finish(task, "done")

    async def test_end_after_a_session_that_could_not_be_opened_at_once(
        self,
    ) -> None:
        """Guards against repeating a run whose end was ignored.

        Each incarnation numbers its ends from 1. An announcement that arrived
        while the session with a new incarnation could not be opened made the
        numbers of the earlier one go on. Found by the soak test with seed 9104.
        """
        await self.run_task("a", "w1@1")
        await self.until(lambda: self.leader.ends)
        self.leader.silent = True
        self.worker.restart("w1@2")
        requests = len(self.worker.cursors)
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: len(self.worker.cursors) > requests)
        for sequence in range(2, 12):
            await asyncio.sleep(0.05)
            self.session.announce(
                fake_worker.announcement(started_ms=2, sequence=sequence)
            )
        self.leader.silent = False
        await self.until(lambda: self.leader.reports[-1].life == "w1@2")
        await self.run_task("b", "w1@2")
        await self.until(lambda: len(self.leader.ends) == 2)
        self.assertEqual([end.how for end in self.leader.ends], ["done"] * 2)


if __name__ == "__main__":
    unittest.main()
