"""Guards against lost work, and endless moves, when a capacity shrinks."""

from bamboorouter import events
from bamboorouter.coordination.jobs import shrunk_workers
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import job_builders as make
from tests import test_job_dispatcher
from tests import test_stop_orders

NEED = make.need(8000, 8000)
ROOM_FOR_TWO = make.need(16_000, 16_000)
STEP_MS = 500


class ShrunkWorkersTest(test_stop_orders.StopOrdersCase):
    """Runs leave a shrunk worker only if that costs their caller little."""

    async def start_runs(
        self, count: int = 3, **fields: object
    ) -> test_job_dispatcher.FakeAgent:
        """Starts a job whose tasks all run on the first worker."""
        step = make.step(count, need=NEED, **{"checkpoints": True, **fields})
        self.refs = [make.ref(index=index) for index in range(count)]
        agent = await self.connect_agent("w1")
        await self.submit("a", step)
        await self.until(lambda: agent.has_started(count))
        return agent

    async def keep_reporting(
        self,
        agent: test_job_dispatcher.FakeAgent,
        room: common.Resources,
        *others: test_job_dispatcher.FakeAgent,
        ms: int = shrunk_workers.MIN_EXCESS_MS,
    ) -> None:
        """Reports the runs of a worker, and other workers, for some time."""
        runs = tuple(
            job_messages.HeldRun(
                task=ref, attempt=1, running=True, checkpoint="c1"
            )
            for ref in self.refs
        )
        for _ in range(0, ms + 1, STEP_MS):
            await self.report(agent, room=room, runs=runs)
            for other in others:
                await self.report(other)
            await self.pass_time(STEP_MS)

    async def test_newest_runs_leave_until_the_others_fit(self) -> None:
        agent = await self.start_runs()
        other = await self.connect_agent("w2")
        await self.keep_reporting(agent, ROOM_FOR_TWO, other)
        self.assertEqual(set(agent.stopped()), {self.refs[2]})
        self.assertEqual(self.stop_reasons(), ["move"])
        (fields,) = self.logged_fields(events.WORKER_OVERCOMMITTED)
        self.assertEqual(
            (fields["worker"], fields["room"]), ("w1", ROOM_FOR_TWO)
        )
        await self.report(
            agent,
            room=ROOM_FOR_TWO,
            ends=(
                jobs.RunEnd(
                    task=self.refs[2],
                    attempt=1,
                    how="stopped",
                    checkpoint="c2",
                ),
            ),
        )
        await self.until(other.started)
        (start,) = (s for orders in other.orders for s in orders.starts)
        self.assertEqual((start.task, start.checkpoint), (self.refs[2], "c2"))

    async def test_worker_that_grows_back_soon_keeps_its_runs(self) -> None:
        agent = await self.start_runs()
        other = await self.connect_agent("w2")
        short_ms = shrunk_workers.MIN_EXCESS_MS // 2 - STEP_MS
        for room in (ROOM_FOR_TWO, make.CAPACITY) * 4:
            await self.keep_reporting(agent, room, other, ms=short_ms)
        self.assertEqual(agent.stopped(), [])

    async def test_runs_go_on_if_no_other_worker_has_room(self) -> None:
        agent = await self.start_runs()
        await self.keep_reporting(agent, ROOM_FOR_TWO)
        self.assertEqual(agent.stopped(), [])

    async def test_no_more_runs_leave_than_fit_elsewhere(self) -> None:
        agent = await self.start_runs(8)
        other = await self.connect_agent("w2")
        self.accept_busy(other)
        await self.keep_reporting(agent, make.need(), other)
        self.assertEqual(set(agent.stopped()), {self.refs[7]})

    def accept_busy(self, agent: test_job_dispatcher.FakeAgent) -> None:
        """Assigns to a worker what leaves it room for one more run."""
        busy = make.Jobs()
        busy.state = self.log.machine.stepped
        busy.accept("b", make.step(need=make.need(50_000, 1000), lasting=True))
        self.assertTrue(
            busy.start(
                make.ref("b"), worker=agent.name, incarnation=f"{agent.name}@1"
            )
        )

    async def test_runs_that_would_lose_work_go_on(self) -> None:
        for number, fields in enumerate(
            ({"checkpoints": False}, {"gang": True}, {"lasting": True})
        ):
            with self.subTest(fields=fields):
                if number:
                    await self.asyncSetUp()
                agent = await self.start_runs(**fields)
                other = await self.connect_agent("w2")
                await self.keep_reporting(agent, ROOM_FOR_TWO, other)
                self.assertEqual(agent.stopped(), [])

    async def test_best_effort_run_leaves_only_for_its_memory(self) -> None:
        agent = await self.start_runs(fills=True)
        other = await self.connect_agent("w2")
        await self.keep_reporting(agent, make.need(1000, 24_000), other)
        self.assertEqual(agent.stopped(), [])
        await self.keep_reporting(agent, make.need(1000, 16_000), other)
        self.assertEqual(set(agent.stopped()), {self.refs[2]})

    async def test_run_that_reserves_no_processors_frees_none(self) -> None:
        agent = await self.start_runs(lasting=True)
        await self.submit(
            "b", make.step(need=make.need(), fills=True, checkpoints=True)
        )
        await self.until(lambda: agent.has_started(4))
        self.refs.append(make.ref("b"))
        other = await self.connect_agent("w2")
        await self.keep_reporting(agent, make.need(16_000, 64_000), other)
        self.assertEqual(agent.stopped(), [])
