"""Guards against runs that a session opened anew for a growth ends or doubles.

A session is opened anew when its worker announces more than the capacity with
which the session was opened.
"""

import asyncio
from typing import cast
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import agent_session
from bamboorouter.coordination.workers import session_growth
from bamboorouter.coordination.workers import session_opening
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import messages
from tests import control_fakes
from tests import fake_worker
from tests import job_builders as make
from tests import replica_site
from tests import test_agent_room
from tests import test_room_random
from tests import virtual_time

A, B = (make.ref(job) for job in "ab")
SMALL = make.need(1000, 1000)
LARGE = make.need(128_000, 500_000)
TASK_LARGE = make.need(100_000, 1000)
# Longer than several polls take.
QUIET_S = 0.1
# A start that waits for the interval between two requests takes longer.
SOON_S = 0.9


class RecordingClock(clock.SystemClock):
    """Remembers the newest time that the code under test has read.

    A second reading would differ from it, and by a whole millisecond if the
    clock advances in between.

    Attributes:
        read_ms: The time in ms; 0 before the first reading.
    """

    def __init__(self) -> None:
        self.read_ms = clock.Millis(0)

    def now(self) -> clock.Millis:
        self.read_ms = super().now()
        return self.read_ms


class StrictLeader(fake_worker.FakeLeaderClient):
    """A leader that knows the newest session only.

    Attributes:
        time: Clock of the session under test.
        number: Number of the newest session.
        answers: Set while requests for sessions are answered; they are carried
            out in any case.
        lost_answers: Number of upcoming requests for sessions that are carried
            out without an answer.
        requested_ms: Times in ms of the requests for sessions, on the
            session's clock.
        refused_reports: Number of reports of earlier sessions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time = RecordingClock()
        self.number = 0
        self.answers = asyncio.Event()
        self.answers.set()
        self.lost_answers = 0
        self.requested_ms: list[int] = []
        self.refused_reports = 0

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        if isinstance(message, job_messages.OpenWorkerSession):
            self.requested_ms.append(self.time.read_ms)
            reply = await super().call(message, timeout_ms=timeout_ms)
            assert isinstance(reply, job_messages.WorkerSession)
            if reply.opened:
                self.number = reply.number
            if self.lost_answers:
                self.lost_answers -= 1
                raise errors.RequestTimeoutError(text="no answer", step="test")
            await self.answers.wait()
            return reply
        if (
            isinstance(message, job_messages.WorkerReport)
            and message.session != self.number
            and not self.silent
        ):
            await asyncio.sleep(fake_worker.ANSWER_DELAY_S)
            self.refused_reports += 1
            return job_messages.WorkerReply(
                known=False,
                lease_ms=self.lease_ms,
                orders=job_messages.RunOrders(term=1, life=message.life),
            )
        return await super().call(message, timeout_ms=timeout_ms)

    def rooms(self) -> list[common.Resources]:
        """Returns the capacities of all opened sessions, in order."""
        return [opened.room for opened in self.opened_sessions]


class SessionGrowthCase(test_agent_room.AgentRoomCase):
    """A session of an agent with a leader that knows the newest session."""

    async def asyncSetUp(self) -> None:
        self.strict_leader = StrictLeader()
        patcher = mock.patch.object(
            fake_worker, "FakeLeaderClient", lambda: self.strict_leader
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()
        self.addCleanup(self.strict_leader.answers.set)

    def new_session(
        self, time: clock.Clock | None = None
    ) -> agent_session.AgentSession:
        return super().new_session(time or self.strict_leader.time)

    async def start_run(self, task: jobs.TaskRef = A) -> None:
        await self.order_starts(task, need=make.need(8000, 1000))
        await self.until_running(task)
        await self.until_reported_running(task)

    async def until_reported_running(self, task: jobs.TaskRef) -> None:
        """Waits for another report, which lists a run as running."""
        reports = len(self.leader.reports)

        def reported() -> bool:
            self.session._report_due.set()
            return len(self.leader.reports) > reports and any(
                run.task == task and run.running
                for run in self.leader.reports[-1].runs
            )

        await self.until(reported)

    async def until_opened(self, room: common.Resources) -> None:
        """Waits until the newest session has a capacity, and was reported."""
        await self.until(
            lambda: (
                self.strict_leader.rooms()[-1] == room
                and self.leader.reports[-1].session == self.strict_leader.number
                and self.leader.reports[-1].room == room
            )
        )

    async def until_opening(self) -> None:
        """Waits until the leader has carried out another request."""
        opened = len(self.leader.opened_sessions)
        await self.until(lambda: len(self.leader.opened_sessions) > opened)

    def current_token(self) -> int:
        assert self.session.session is not None
        return self.session.session.token


class RequestTest(SessionGrowthCase):
    """Sessions are opened for growths beyond the session, and not often."""

    async def test_growth_opens_a_session_with_the_same_incarnation(
        self,
    ) -> None:
        self.announce(LARGE)
        await self.until_opened(LARGE)
        self.assertEqual(
            [
                (opened.life, opened.fenced)
                for opened in self.leader.opened_sessions
            ],
            [("w1@1", False)] * 2,
        )

    async def test_shrink_and_growth_back_open_no_session(self) -> None:
        for room in (SMALL, make.need(2000, 2000), make.CAPACITY):
            self.announce(room)
            await self.until_reported(room)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(self.strict_leader.rooms(), [make.CAPACITY])

    async def test_growth_in_any_amount_opens_a_session(self) -> None:
        with mock.patch.object(session_growth, "MIN_REQUEST_INTERVAL_MS", 0):
            for room in (
                make.need(64_001, 1000),
                make.need(1000, 250_001),
                common.Resources(accelerators=1),
            ):
                self.announce(room)
                await self.until_opened(room)
        self.assertEqual(self.leader.session_requests, 4)

    async def test_session_opened_with_less_grows_later(self) -> None:
        """The session was opened while the worker had a lower capacity."""
        self.announce(SMALL)
        self.strict_leader.number = 0
        self.session._report_due.set()
        await self.until_opened(SMALL)
        self.announce(make.CAPACITY)
        await self.until_opened(make.CAPACITY)

    async def test_growths_in_succession_open_few_sessions(self) -> None:
        opened = len(self.strict_leader.requested_ms)
        for more in range(1, 41):
            self.announce(make.need(64_000 + more, 1000))
            await asyncio.sleep(0.03)
        await self.until_opened(make.need(64_040, 1000))
        requests = self.strict_leader.requested_ms[opened:]
        for earlier, later in zip(requests, requests[1:], strict=False):
            self.assertGreaterEqual(
                later - earlier, session_growth.MIN_REQUEST_INTERVAL_MS
            )

    async def test_growth_that_has_passed_opens_no_session(self) -> None:
        self.announce(LARGE)
        await self.until_opened(LARGE)
        self.announce(make.need(128_001, 1000))
        self.announce(SMALL)
        await asyncio.sleep(
            clock.seconds(session_growth.MIN_REQUEST_INTERVAL_MS) + QUIET_S
        )
        self.assertEqual(self.strict_leader.rooms(), [make.CAPACITY, LARGE])

    async def test_request_without_an_answer_is_repeated(self) -> None:
        self.leader.silent = True
        self.announce(LARGE)
        await self.until(lambda: self.leader.failed_session_requests)
        self.leader.silent = False
        await self.until_opened(LARGE)


class RunsTest(SessionGrowthCase):
    """Runs go on beside a growth, whatever their state is."""

    async def test_run_goes_on(self) -> None:
        await self.start_run()
        reports = len(self.leader.reports)
        token = self.current_token()
        with mock.patch.object(self.worker, "stop") as stop:
            self.announce(LARGE)
            await self.until_opened(LARGE)
            await self.until_reported_running(A)
            stop.assert_not_called()
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])
        for report in self.leader.reports[reports:]:
            self.assertEqual([run.task for run in report.runs], [A])
            self.assertTrue(report.reachable)
        self.assertGreater(self.current_token(), token)
        self.assertGreaterEqual(
            self.current_token(),
            session_opening.first_token(self.strict_leader.number),
        )
        await self.until(lambda: self.worker.token == self.current_token())

    async def test_start_is_possible_at_once(self) -> None:
        self.announce(LARGE)
        await self.until_opened(LARGE)
        await self.order_starts(A, need=TASK_LARGE)
        await self.until_running(A)
        self.assertEqual(self.outcomes(), [])

    async def test_start_is_possible_while_the_request_is_under_way(
        self,
    ) -> None:
        self.strict_leader.answers.clear()
        self.announce(LARGE)
        await self.until_opening()
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.until_running(A)
        self.strict_leader.answers.set()
        await self.until_opened(LARGE)
        self.assertEqual(self.outcomes(), [])

    async def test_lease_is_renewed_while_no_leader_answers(self) -> None:
        await self.start_run()
        # The leader grants more than the worker's leases, which thus depend on
        # the polls.
        self.leader.lease_ms = 60_000
        await self.until_reported_running(A)
        self.leader.silent = True
        self.announce(LARGE)
        await self.until(lambda: self.leader.failed_session_requests)
        lease_end_ms = self.worker.lease_end_ms
        await self.until(lambda: self.worker.lease_end_ms > lease_end_ms + 200)
        self.leader.silent = False
        await self.until_opened(LARGE)
        self.assertEqual(set(self.worker.running), {A})
        self.assertEqual(self.outcomes(), [])

    async def test_start_that_is_overtaken_is_sent_again(self) -> None:
        """A poll with a newer token reaches the worker first."""
        start, arrives = self.worker.start, asyncio.Event()

        async def start_late(order: worker_port.StartRun) -> None:
            await arrives.wait()
            await start(order)

        with mock.patch.object(self.worker, "start", side_effect=start_late):
            await self.order_starts(A, need=make.need(8000, 1000))
            await self.until_held(A, "starting")
            self.announce(LARGE)
            await self.until_opened(LARGE)
            await self.until(lambda: self.worker.token == self.current_token())
            arrives.set()
            await self.until_running(A)
        await self.until_reported_running(A)
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_start_that_is_answered_late_counts(self) -> None:
        start, answered = self.worker.start, asyncio.Event()

        async def answer_late(order: worker_port.StartRun) -> None:
            await start(order)
            await answered.wait()

        with mock.patch.object(self.worker, "start", side_effect=answer_late):
            await self.order_starts(A, need=make.need(8000, 1000))
            await self.until_running(A)
            self.announce(LARGE)
            await self.until_opened(LARGE)
            answered.set()
            await self.until_reported_running(A)
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_order_that_is_carried_out_without_an_answer_is_found(
        self,
    ) -> None:
        self.worker.unanswered = 1
        self.worker.unanswered_polls = 3
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.until_held(A, "uncertain")
        self.announce(LARGE)
        await self.until_opened(LARGE)
        await self.until_reported_running(A)
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_order_that_would_be_carried_out_late_is_fenced_off(
        self,
    ) -> None:
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        self.worker.unanswered_polls = 5
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.until_held(A, "uncertain")
        self.announce(LARGE)
        await self.until_opened(LARGE)
        self.assertEqual(self.outcomes(), [])
        await self.until_ended("rejected")
        self.worker.execute_delayed()
        self.assertEqual(self.worker.running, {})

    async def test_late_order_that_is_carried_out_in_time_is_held(self) -> None:
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        self.worker.unanswered_polls = 5
        await self.order_starts(A, need=make.need(8000, 1000))
        await self.until_held(A, "uncertain")
        self.announce(LARGE)
        await self.until_opened(LARGE)
        self.worker.execute_delayed()
        await self.until_reported_running(A)
        self.assertEqual(self.outcomes(), [])

    async def test_stop_that_is_under_way_takes_effect(self) -> None:
        await self.start_run()
        self.worker.ignored_stops = 1
        await self.order_stop(A)
        self.announce(LARGE)
        await self.until_opened(LARGE)
        await self.until_ended("stopped")

    async def test_end_that_was_not_confirmed_is_reported_once(self) -> None:
        await self.start_run()
        self.strict_leader.answers.clear()
        self.announce(LARGE)
        await self.until_opening()
        self.worker.finish(A, "done")
        await self.until(lambda: self.strict_leader.refused_reports)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(self.outcomes(), [])
        self.assertEqual(self.worker.acknowledged, 0)
        self.strict_leader.answers.set()
        await self.until(lambda: self.worker.acknowledged == 1)
        self.assertEqual(self.outcomes(), ["done"])
        self.assertEqual(self.leader.session_requests, 2)


class OtherSessionsTest(SessionGrowthCase):
    """Growths beside sessions that are opened for other reasons."""

    async def test_refused_report_does_not_end_a_session_opened_anew(
        self,
    ) -> None:
        await self.start_run()
        self.strict_leader.answers.clear()
        self.announce(LARGE)
        await self.until_opening()
        self.session._report_due.set()
        await self.until(lambda: self.strict_leader.refused_reports)
        self.strict_leader.answers.set()
        await self.until_opened(LARGE)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(self.leader.session_requests, 2)
        self.assertEqual(self.outcomes(), [])

    async def test_session_whose_answer_was_lost_is_opened_again(self) -> None:
        await self.start_run()
        self.strict_leader.lost_answers = 1
        self.announce(LARGE)
        await self.until_opened(LARGE)
        await self.until_reported_running(A)
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_growth_while_a_session_is_opened_counts(self) -> None:
        await self.start_run()
        self.strict_leader.answers.clear()
        self.strict_leader.number = 0
        self.session._report_due.set()
        await self.until_opening()
        self.announce(LARGE)
        self.strict_leader.answers.set()
        await self.until_opened(LARGE)
        await self.until_reported_running(A)
        self.assertEqual(
            self.strict_leader.rooms(), [make.CAPACITY, make.CAPACITY, LARGE]
        )
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_new_incarnation_ends_the_request(self) -> None:
        await self.start_run()
        self.strict_leader.answers.clear()
        self.announce(LARGE)
        await self.until_opening()
        self.worker.restart("w1@2")
        self.session.announce(
            fake_worker.announcement(started_ms=2, capacity=SMALL)
        )
        await self.until(lambda: self.leader.opened_sessions[-1].life == "w1@2")
        self.strict_leader.answers.set()
        await self.until_opened(SMALL)
        await self.until_ended("lost")
        self.assertEqual(self.leader.reports[-1].life, "w1@2")

    async def test_session_that_is_not_opened_stops_nothing(self) -> None:
        """The leader knows of runs on another incarnation."""
        await self.start_run()
        self.leader.has_earlier_runs = True
        requests = self.leader.session_requests
        self.announce(LARGE)
        await self.until(lambda: self.leader.session_requests > requests)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(set(self.worker.running), {A})
        self.assertEqual(self.outcomes(), [])
        self.leader.has_earlier_runs = False
        await self.until_opened(LARGE)


class WholePathTest(virtual_time.VirtualTimeCase):
    """A leader, and an agent whose worker has grown."""

    async def asyncSetUp(self) -> None:
        self.time = virtual_time.VirtualTimeClock()
        self.log = control_fakes.FakeLog(time=self.time)
        self.log.apply(
            job_commands.PutConfiguration(configuration=make.configuration())
        )
        self.leader = dispatcher.JobDispatcher(
            log=self.log, time=self.time, table=worker_table.WorkerTable()
        )
        self.leader.start()
        self.addAsyncCleanup(self.leader.stop)
        self.worker = fake_worker.FakeWorker()
        self.worker.time = self.time
        client = test_room_random.LeaderClient(self.leader)
        self.session = agent_session.AgentSession(
            worker="w1",
            client=cast(control_client.ControlClient, client),
            ports=self.worker,
            time=self.time,
        )
        client.session = self.session
        self.session.start()
        self.addAsyncCleanup(self.session.stop)
        self.session.announce(fake_worker.announcement())
        self.accept(B, make.need(8000, 1000))
        await self.until_running(B)

    def accept(self, task: jobs.TaskRef, need: common.Resources) -> None:
        self.log.apply(
            job_commands.AcceptSteps(
                job=task.job,
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=(make.step(need=need),)),
            )
        )

    def grow(self) -> None:
        self.session.announce(
            fake_worker.announcement(sequence=2, capacity=LARGE)
        )

    async def until_running(
        self, *tasks: jobs.TaskRef, within_s: float = fake_worker.WAIT_S
    ) -> None:
        await replica_site.wait_until(
            lambda: set(self.worker.running) == set(tasks), timeout_s=within_s
        )

    def assert_each_started_once(self) -> None:
        state = self.log.machine.stepped
        for task in (A, B):
            record = state.task(task)
            assert record is not None
            self.assertEqual((record.status, record.attempt), ("assigned", 1))
        self.assertEqual([order.task for order in self.worker.starts], [B, A])

    async def test_task_that_fits_the_grown_worker_starts_soon(self) -> None:
        self.accept(A, TASK_LARGE)
        await asyncio.sleep(QUIET_S)
        self.grow()
        await self.until_running(A, B, within_s=SOON_S)
        self.assert_each_started_once()

    async def test_task_starts_soon_after_an_election(self) -> None:
        self.grow()
        self.log.elect_again()
        self.accept(A, TASK_LARGE)
        await self.until_running(A, B)
        self.log.elect_again()
        await asyncio.sleep(QUIET_S)
        self.assert_each_started_once()

    async def test_task_starts_soon_if_the_leader_changes_before_the_commit(
        self,
    ) -> None:
        self.accept(A, TASK_LARGE)
        self.log.has_lease = False
        self.grow()
        await asyncio.sleep(QUIET_S)
        self.log.has_lease = True
        self.log.elect_again()
        await self.until_running(A, B)
        self.assert_each_started_once()

    async def test_task_starts_soon_if_the_leader_changes_after_the_commit(
        self,
    ) -> None:
        self.log.lose_results = 1
        self.grow()
        await replica_site.wait_until(
            lambda: not self.log.lose_results, timeout_s=fake_worker.WAIT_S
        )
        self.log.elect_again()
        self.accept(A, TASK_LARGE)
        await self.until_running(A, B)
        self.assert_each_started_once()

    async def test_task_starts_soon_if_the_commit_is_late(self) -> None:
        self.accept(A, TASK_LARGE)
        self.log.postpones = True
        self.grow()
        await asyncio.sleep(QUIET_S)
        self.log.apply_postponed()
        await self.until_running(A, B)
        self.assert_each_started_once()
