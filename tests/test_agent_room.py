"""Guards against runs that an agent starts beyond its worker's capacity."""

import itertools
from typing import Any
from unittest import mock

import msgspec

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.workers import agent_session
from bamboorouter.coordination.workers import incarnation_check
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs
from tests import fake_worker
from tests import job_builders as make
from tests import test_agent_session

A, B, C = (make.ref(job) for job in "abc")
SMALL = make.need(1000, 1000)
HOUR_MS = 3_600_000
LARGE = make.need(128_000, 500_000)


class AgentRoomCase(test_agent_session.AgentSessionCase):
    """A session of an agent whose worker's capacity changes."""

    sequence = 1

    async def asyncSetUp(self) -> None:
        # Only reports that are due at once are sent.
        patcher = mock.patch.object(agent_session, "REPORT_PERIOD_MS", HOUR_MS)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    def announce(
        self, capacity: common.Resources, *, sequence: int | None = None
    ) -> None:
        """Announces a capacity, by default with the next sequence number."""
        self.sequence += 1
        self.session.announce(
            fake_worker.announcement(
                sequence=self.sequence if sequence is None else sequence,
                capacity=capacity,
            )
        )

    async def order_starts(
        self,
        *tasks: jobs.TaskRef,
        need: common.Resources,
        fills: bool = False,
    ) -> None:
        """Orders the first attempts of tasks of one size in one message."""
        orders = fake_worker.start_orders(*tasks)
        starts = tuple(
            msgspec.structs.replace(order, need=need, fills=fills)
            for order in orders.starts
        )
        await self.order(msgspec.structs.replace(orders, starts=starts))

    async def order_stop(
        self, task: jobs.TaskRef, reserves: common.Resources | None = None
    ) -> None:
        orders = fake_worker.stop_orders(task)
        stops = tuple(
            msgspec.structs.replace(order, reserves=reserves)
            for order in orders.stops
        )
        await self.order(msgspec.structs.replace(orders, stops=stops))

    async def until_running(self, *tasks: jobs.TaskRef) -> None:
        await self.until(lambda: set(self.worker.running) == set(tasks))

    async def until_ended(self, *outcomes: str) -> None:
        await self.until(lambda: self.outcomes() == list(outcomes))

    async def until_held(self, task: jobs.TaskRef, phase: str) -> None:
        await self.until(
            lambda: (
                (run := self.session.held.runs.get((task, 1))) is not None
                and run.phase == phase
            )
        )

    async def restart_agent(self) -> None:
        """Replaces the agent process; the worker's runs continue."""
        await self.session.stop()
        self.leader.reports.clear()
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)

    async def until_reported(self, capacity: common.Resources) -> None:
        await self.until(lambda: self.leader.reports[-1].room == capacity)

    def reported_rooms(self) -> list[common.Resources]:
        return [report.room for report in self.leader.reports]


class AnnouncementTest(AgentRoomCase):
    """The newest announced capacity is reported at once."""

    async def test_changed_capacity_is_reported_at_once(self) -> None:
        for capacity in (SMALL, LARGE):
            self.announce(capacity)
            await self.until_reported(capacity)

    async def test_change_is_logged_with_both_amounts(self) -> None:
        with mock.patch.object(events, "log") as log:
            for capacity in (make.CAPACITY, SMALL, SMALL):
                self.announce(capacity)
        changes = [
            (call.kwargs["before"], call.kwargs["now"])
            for call in log.call_args_list
            if call.args[0] is events.WORKER_CAPACITY_CHANGED
        ]
        self.assertEqual(changes, [(make.CAPACITY, SMALL)])

    async def test_late_announcement_of_an_earlier_capacity_is_ignored(
        self,
    ) -> None:
        self.announce(SMALL, sequence=4)
        self.announce(make.CAPACITY, sequence=3)
        await self.until_reported(SMALL)
        self.announce(LARGE, sequence=5)
        await self.until_reported(LARGE)
        self.assertEqual(
            [room for room, _ in itertools.groupby(self.reported_rooms())],
            [make.CAPACITY, SMALL, LARGE],
        )


class LastCheckTest(AgentRoomCase):
    """No start order that exceeds the announced capacity is sent."""

    async def test_start_beyond_a_shrunk_capacity_is_not_sent(self) -> None:
        self.announce(SMALL)
        with mock.patch.object(events, "log") as log:
            await self.order_starts(A, need=make.need(8000, 500))
            await self.until_ended("rejected")
        self.assertEqual(self.worker.starts, [])
        (given_up,) = (
            call.kwargs
            for call in log.call_args_list
            if call.args[0] is events.RUN_GIVEN_UP
        )
        self.assertEqual(
            (given_up["evidence"], given_up["shortage"]),
            ("never_sent", "processors"),
        )

    async def test_start_within_a_grown_capacity_is_sent(self) -> None:
        self.announce(LARGE)
        await self.order_starts(A, need=make.need(100_000, 400_000))
        await self.until_running(A)

    async def test_each_resource_counts(self) -> None:
        await self.order_starts(A, need=make.need(1000, 250_001))
        await self.until_ended("rejected")
        await self.order_starts(
            B, need=common.Resources(millicores=1, accelerators=1)
        )
        await self.until_ended("rejected", "rejected")
        self.assertEqual(self.worker.starts, [])

    async def test_orders_that_arrive_together_are_checked_one_by_one(
        self,
    ) -> None:
        await self.order_starts(A, B, need=make.need(40_000, 1000))
        await self.until_ended("rejected")
        await self.until_running(A)

    async def test_run_that_is_being_stopped_counts_until_it_ends(self) -> None:
        await self.order_starts(A, need=make.need(40_000, 1000))
        await self.until_running(A)
        self.worker.ignored_stops = 1
        await self.order_stop(A)
        await self.order_starts(B, need=make.need(40_000, 1000))
        await self.until_ended("rejected")
        self.worker.finish(A, "stopped")
        await self.until_ended("rejected", "stopped")
        await self.order_starts(C, need=make.need(40_000, 1000))
        await self.until_running(C)

    async def test_order_without_an_answer_counts(self) -> None:
        self.worker.unanswered = 1
        # No view resolves the order meanwhile.
        self.worker.unanswered_polls = 10
        await self.order_starts(A, need=make.need(40_000, 1000))
        await self.until_held(A, "uncertain")
        await self.order_starts(B, need=make.need(40_000, 1000))
        await self.until_ended("rejected")
        self.assertEqual([order.task for order in self.worker.starts], [A])

    async def test_best_effort_run_reserves_memory_only(self) -> None:
        whole = make.need(64_000, 100_000)
        await self.order_starts(A, need=whole)
        await self.until_running(A)
        await self.order_starts(B, need=whole, fills=True)
        await self.until_running(A, B)
        await self.order_starts(C, need=whole, fills=True)
        await self.until_ended("rejected")

    async def test_capacity_that_shrinks_before_an_order_is_repeated(
        self,
    ) -> None:
        start, late = self.worker.start, [True]

        async def reject_first(order: worker_port.StartRun) -> None:
            if late:
                late.clear()
                self.announce(SMALL)
                raise worker_port.RejectedError(
                    reason="late", step="test", peer="worker"
                )
            await start(order)

        with mock.patch.object(self.worker, "start", side_effect=reject_first):
            await self.order_starts(A, need=make.need(8000, 1000))
            await self.until_ended("rejected")
        self.assertEqual(self.worker.starts, [])


class LateAnnouncementTest(AgentRoomCase):
    """Guards against starts on a capacity that an agent has read late.

    Announcements wait while an agent is paused, and the worker may shrink
    meanwhile.
    """

    def announce_earlier(self, age_ms: int, **fields: Any) -> None:
        """Handles an announcement that the worker sent some time ago."""
        self.sequence += 1
        self.session.announce(
            fake_worker.announcement(
                sequence=self.sequence,
                clock_ms=self.worker.time.now() - age_ms,
                **fields,
            )
        )

    async def until_reachable(self, reachable: bool) -> None:
        await self.until(lambda: self.leader.reports[-1].reachable == reachable)

    async def test_nothing_starts_on_a_capacity_that_was_read_late(
        self,
    ) -> None:
        self.announce_earlier(4000, capacity=LARGE)
        await self.until_reachable(False)
        await self.order_starts(A, need=make.need(1000, 1000))
        await self.until_ended("rejected")
        self.assertEqual(self.worker.starts, [])

    async def test_next_announcement_is_reported_at_once(self) -> None:
        self.announce_earlier(4000)
        await self.until_reachable(False)
        self.announce_earlier(0)
        await self.until_reachable(True)
        await self.order_starts(A, need=make.need(1000, 1000))
        await self.until_running(A)

    async def test_capacity_expires_without_another_announcement(self) -> None:
        self.announce_earlier(0)
        await self.until_reachable(True)
        with mock.patch.object(
            worker_session.Session,
            "latest_worker_ms",
            lambda *_: clock.SystemClock().now() + 4000,
        ):
            await self.order_starts(A, need=make.need(1000, 1000))
            await self.until_ended("rejected")

    async def test_one_lost_announcement_changes_nothing(self) -> None:
        self.announce_earlier(2 * worker_session.ANNOUNCE_INTERVAL_MS - 500)
        await self.order_starts(A, need=make.need(1000, 1000))
        await self.until_running(A)

    async def test_announcement_of_unknown_age_counts(self) -> None:
        self.announce(SMALL)
        await self.order_starts(A, need=make.need(1000, 500))
        await self.until_running(A)


class FoundRunTest(AgentRoomCase):
    """A restarted agent counts the runs that it finds on the worker."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.until_running(A)
        await self.restart_agent()
        await self.until_held(A, "running")

    async def test_nothing_starts_beside_a_run_of_unknown_size(self) -> None:
        await self.order_starts(B, need=make.need())
        await self.until_ended("rejected")
        self.assertEqual(set(self.worker.running), {A})

    async def test_repeated_order_tells_the_size(self) -> None:
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.order_starts(B, need=make.need(56_000, 1000))
        await self.until_running(A, B)
        await self.order_starts(C, need=make.need())
        await self.until_ended("rejected")

    async def test_stop_order_tells_the_size(self) -> None:
        self.worker.ignored_stops = 1
        await self.order_stop(A, reserves=make.need(8000, 1000))
        await self.order_starts(B, need=make.need(56_000, 1000))
        await self.until_running(A, B)
        await self.order_starts(C, need=make.need())
        await self.until_ended("rejected")


class TakeoverTest(AgentRoomCase):
    """A successor that shrinks while the agent checks it has shrunk."""

    async def test_announcement_during_the_check_counts(self) -> None:
        """Guards against starts over a capacity that shrank seconds before.

        The check lasts until the worker answers, and the next announcement
        arrives up to 1.5 s after it.
        """
        polls: list[int] = []
        poll = self.worker.poll

        async def poll_once_shrunk(**fields: Any) -> worker_port.WorkerView:
            if fields["expected"] == "w1@2":
                polls.append(1)
                if len(polls) == 1:
                    self.announce_successor(SMALL, 2)
                    # A late copy of the first announcement.
                    self.announce_successor(make.CAPACITY, 1)
            return await poll(**fields)

        self.worker.incarnation, self.worker.token = "w1@2", 0
        self.worker.silent = True
        with (
            mock.patch.object(
                self.worker, "poll", side_effect=poll_once_shrunk
            ),
            mock.patch.object(incarnation_check, "POLL_PAUSE_MS", 1),
        ):
            self.announce_successor(make.CAPACITY, 1)
            await self.until(lambda: polls)
            self.worker.silent = False
            await self.until(lambda: self.leader.reports[-1].life == "w1@2")
        self.assertEqual(self.leader.opened_sessions[-1].room, SMALL)
        self.assertEqual(self.reported_rooms()[-1], SMALL)

    def announce_successor(
        self, capacity: common.Resources, sequence: int
    ) -> None:
        self.session.announce(
            fake_worker.announcement(
                started_ms=2, sequence=sequence, capacity=capacity
            )
        )


class SessionOpeningTest(AgentRoomCase):
    """A capacity that changes while a session is opened counts at once."""

    async def test_first_report_has_the_newest_capacity(self) -> None:
        self.leader.silent = True
        failed = self.leader.failed_session_requests
        await self.session.stop()
        self.leader.reports.clear()
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.until(lambda: self.leader.failed_session_requests > failed)
        self.announce(SMALL)
        self.leader.silent = False
        await self.until(self.reachable)
        self.assertEqual(set(self.reported_rooms()), {SMALL})
        await self.order_starts(A, need=make.need(8000, 500))
        await self.until_ended("rejected")
        self.assertEqual(self.worker.starts, [])
