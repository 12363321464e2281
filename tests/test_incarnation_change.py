"""Guards against taking a new incarnation of a worker for the earlier one."""

import asyncio

from bamboorouter import clock
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from tests import fake_worker
from tests import job_builders as make
from tests import test_agent_session


class SlowLeaderClient(fake_worker.FakeLeaderClient):
    """A leader that answers requests to open a session late.

    Attributes:
        waiting: Whether a request waits.
        answers: Set to answer requests to open a session.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waiting = False
        self.answers = asyncio.Event()
        self.answers.set()

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        if isinstance(message, job_messages.OpenWorkerSession):
            self.waiting = not self.answers.is_set()
            await self.answers.wait()
        return await super().call(message, timeout_ms=timeout_ms)


class IncarnationChangeTest(test_agent_session.AgentSessionCase):
    """The worker restarts while a session with it is being opened."""

    async def test_worker_that_restarts_during_an_election_loses_its_runs(
        self,
    ) -> None:
        """The leader answers for the incarnation from before the restart."""
        await self.session.stop()
        leader = self.leader = SlowLeaderClient()
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)
        await self.order(fake_worker.start_orders(make.ref("a")))
        await self.until(lambda: self.worker.running)
        self.worker.finish(make.ref("a"), "done")
        await self.until(lambda: self.worker.acknowledged == 1)
        await self.order(fake_worker.start_orders(make.ref("b")))
        await self.until(lambda: self.worker.running)
        # A new leader doesn't know the session.
        leader.answers.clear()
        leader.knows_session = False
        await self.until(lambda: leader.waiting)
        self.worker.restart("w1@2")
        self.worker.time = clock.ManualClock(monotonic_ms=1)
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(
            lambda: self.session.incarnation.announcement is not None
            and self.session.incarnation.announcement.incarnation == "w1@2"
        )
        leader.answers.set()
        await self.until(lambda: leader.reports[-1].life == "w1@2")
        await self.until(self.reachable)
        await self.until(lambda: not self.session.held.runs)
        self.assertEqual(self.outcomes(), ["done", "lost"])
        await self.order(
            fake_worker.start_orders(make.ref("c"), incarnation="w1@2")
        )
        await self.until(lambda: self.worker.running)
        self.worker.finish(make.ref("c"), "done")
        await self.until(lambda: self.outcomes() == ["done", "lost", "done"])
