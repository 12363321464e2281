"""Tests the soak test's workers that shrink, grow, drain and leave."""

import asyncio
import math
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from devtools import soak_capacity
from devtools import soak_checks
from devtools import soak_schedule
from devtools import soak_worker
from tests import soak_case

TASK = soak_case.TASK


class CapacityTest(unittest.TestCase):
    """More capacity counts at once, less only after a while."""

    def setUp(self) -> None:
        self.now_s = 10.0
        self.capacity = soak_capacity.Capacity(
            full=8000, clock=lambda: self.now_s
        )

    def test_less_counts_after_a_while(self) -> None:
        self.capacity.change(1000)
        self.now_s += 3.4
        self.assertEqual(self.capacity.limit(), 8000)
        self.now_s += 0.2
        self.assertEqual(self.capacity.limit(), 1000)

    def test_more_counts_at_once(self) -> None:
        self.capacity.change(9000)
        self.assertEqual(self.capacity.limit(), 9000)

    def test_less_counts_after_several_changes(self) -> None:
        self.capacity.change(4000)
        self.now_s += 2.0
        self.capacity.change(1000)
        self.now_s += 1.6
        self.assertEqual(self.capacity.limit(), 4000)
        self.now_s += 2.0
        self.assertEqual(self.capacity.limit(), 1000)

    def test_late_order_may_be_older(self) -> None:
        self.capacity.change(1000)
        self.now_s += 14.0
        self.assertEqual(self.capacity.limit(12.0), 8000)
        self.assertEqual(self.capacity.limit(), 1000)

    def test_new_incarnation_has_no_earlier_capacity(self) -> None:
        self.capacity.change(1000)
        self.capacity.forget()
        self.assertEqual(self.capacity.limit(), 1000)


class DrainingTest(unittest.TestCase):
    """A start after draining was acknowledged is detected."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.history = soak_checks.History(clock=lambda: self.now_s)
        self.history.record_submission("5c0e", soak_case.LASTING)
        self.history.record_draining("worker-1@7")

    def start(
        self, after_s: float, *, worker: str = "worker-1@7", late: bool = False
    ) -> int:
        self.now_s = after_s
        self.history.record_start(
            TASK, worker, attempt=1, spec="500 100 0", free=0, late=late
        )
        return len(self.history.violations)

    def test_start_after_the_bound(self) -> None:
        self.history.record_draining("worker-1@7")
        self.assertEqual(self.start(2.1), 1)

    def test_start_within_the_bound(self) -> None:
        self.assertEqual(self.start(1.9), 0)

    def test_start_of_a_late_order(self) -> None:
        self.assertEqual(self.start(9.0, late=True), 0)

    def test_start_on_another_incarnation(self) -> None:
        self.assertEqual(self.start(9.0, worker="worker-1@8"), 0)

    def test_start_soon_after_a_fault_of_the_agent(self) -> None:
        self.history.record_fault_start("agent-1")
        self.history.record_fault_end("agent-1")
        self.assertEqual(self.start(2.9), 0)

    def test_start_beside_a_fault_of_a_replica(self) -> None:
        self.history.record_fault_start("control-1")
        self.assertEqual(self.start(2.9), 1)


class ShrunkWorkerTest(soak_case.WorkerCase):
    """The simulated worker reports starts beyond its present capacity."""

    async def test_start_beyond_the_shrunk_capacity(self) -> None:
        with mock.patch.object(soak_capacity, "SHRINK_S", 0.2):
            self.worker.add_share(0.05)
            self.assertEqual(await self.start(), (200, ""))
            self.assertEqual(self.history.violations, [])
            await self.stop()
            await self.lists(waitMs=2000)
            await asyncio.sleep(0.3)
            self.assertEqual(await self.start(2), (200, ""))
        self.assertEqual(len(self.history.violations), 1)

    async def test_run_that_is_being_stopped_counts(self) -> None:
        with mock.patch.object(soak_worker, "MAX_STOP_DURATION_S", 60.0):
            await self.start(spec="5000 100 0")
            await self.stop()
            self.worker.resize(0.5)
            self.worker.millicores.forget()
            await self.start(2, spec="500 100 0")
        capacity = [v for v in self.history.violations if "capacity" in v]
        self.assertEqual(len(capacity), 1)

    async def test_latest_of_several_changes_holds(self) -> None:
        self.worker.add_share(0.1)
        self.worker.add_share(2.0)
        self.assertEqual(self.worker.announcement()["capacity"]["cpu"], 16_000)
        self.worker.remove_share(2.0)
        self.assertEqual(self.worker.announcement()["capacity"]["cpu"], 800)
        self.worker.remove_share(0.1)
        self.assertEqual(self.worker.announcement()["capacity"]["cpu"], 8000)


class LeavingWorkerTest(soak_case.WorkerCase):
    """The simulated worker drains and leaves."""

    async def asyncSetUp(self) -> None:
        self.calls: list[tuple[str, str]] = []
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.answer)
        self.runner = web.AppRunner(application)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        await super().asyncSetUp()
        host, port = self.runner.addresses[0]
        self.worker.agent = f"{host}:{port}"

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        await self.runner.cleanup()

    async def answer(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.calls.append((request.method, body.get("state", "")))
        return web.json_response({})

    async def test_worker_drains_leaves_and_comes_back(self) -> None:
        incarnation = self.worker.incarnation
        await self.start()
        with (
            mock.patch.object(soak_worker, "ANNOUNCE_INTERVAL_S", 0.1),
            mock.patch.object(soak_worker, "DOWN_S", (0.4, 0.4)),
        ):
            await self.worker.leave(0.8)
            self.assertIn(("PUT", "draining"), self.calls)
            # An announcement may be under way while the worker deregisters.
            after = self.calls[self.calls.index(("DELETE", "")) + 1 :]
            self.assertLessEqual(set(after), {("PUT", "draining")})
            self.assertEqual(self.history.counts["ended lost"], 1)
            with self.assertRaises(aiohttp.ClientError):
                await self.call("pace")
            await asyncio.sleep(0.7)
        self.assertEqual(self.calls[-1], ("PUT", "ready"))
        self.assertNotEqual(self.worker.incarnation, incarnation)

    async def test_worker_that_crashes_while_it_drains(self) -> None:
        leaving = asyncio.create_task(self.worker.leave(0.3))
        await asyncio.sleep(0.1)
        self.worker.crash()
        await leaving
        status, _ = await self.call("pace")
        self.assertEqual(status, 200)
        self.assertNotIn(("DELETE", ""), self.calls)


class ChangeScheduleTest(unittest.TestCase):
    """The schedule of changes depends on the seed only."""

    def schedule(self, **groups: bool) -> list[soak_schedule.Fault]:
        return soak_schedule.schedule(
            9104, seconds=30, controls=3, entries=2, workers=4, **groups
        )

    def test_changes_leave_the_other_faults_as_they_are(self) -> None:
        plain = self.schedule(series=True)
        for group in ("capacity", "leave"):
            with self.subTest(group):
                changed = self.schedule(series=True, **{group: True})
                self.assertEqual(
                    changed, self.schedule(series=True, **{group: True})
                )
                self.assertEqual([f for f in changed if f in plain], plain)

    def test_one_worker_grows_for_good(self) -> None:
        faults = self.schedule(capacity=True)
        lasting = [f for f in faults if math.isinf(f.for_s)]
        self.assertEqual([f.kind for f in lasting], ["grow"])
        kinds = {f.kind for f in faults}
        self.assertLessEqual(set(soak_schedule.CAPACITY_SHARES), kinds)


if __name__ == "__main__":
    unittest.main()
