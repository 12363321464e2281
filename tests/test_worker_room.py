"""Guards against starts beyond a capacity that changes while a worker runs."""

import unittest
from unittest import mock

import msgspec

from bamboorouter import events
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import run_monitor
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs
from tests import job_builders as make
from tests import test_job_dispatcher
from tests import test_stop_orders

SMALL = make.need(1000, 1000)
LARGE = make.need(128_000, 500_000)
TASK_8000 = make.step(need=make.need(8000, 1000))
TASK_65000 = make.step(need=make.need(65_000, 1000))


class WorkerRoomCase(test_stop_orders.StopOrdersCase):
    """A dispatcher whose workers report changed capacities."""

    async def report_room(
        self,
        agent: test_job_dispatcher.FakeAgent,
        room: common.Resources,
        *tasks: jobs.TaskRef,
    ) -> job_messages.WorkerReply:
        """Reports a capacity, and the first attempts of running tasks."""
        return await self.report(
            agent, room=room, runs=tuple(map(self.held_run, tasks))
        )

    async def open_anew(
        self, agent: test_job_dispatcher.FakeAgent, room: common.Resources
    ) -> None:
        """Opens another session with the same incarnation, as for a growth."""
        session = await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(
                worker=agent.name,
                life=f"{agent.name}@1",
                room=room,
                fenced=False,
            )
        )
        self.assertTrue(session.opened)
        agent.session = session.number

    async def grow(
        self,
        agent: test_job_dispatcher.FakeAgent,
        room: common.Resources,
        *tasks: jobs.TaskRef,
    ) -> job_messages.WorkerReply:
        """Reports a growth, and opens a session with it, as an agent does."""
        await self.report_room(agent, room, *tasks)
        await self.open_anew(agent, room)
        return await self.report_room(agent, room, *tasks)

    def accept(self, job: str, *steps: jobs.Step) -> None:
        """Accepts a job without a check whether it fits a worker."""
        self.log.apply(
            job_commands.AcceptSteps(
                job=job,
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=steps or (make.step(),)),
            )
        )

    def replicated_room(self, worker: str = "w1") -> common.Resources:
        return self.log.machine.stepped.incarnations[worker].room


class ShrunkRoomTest(WorkerRoomCase):
    """No start brings a worker over its newest reported capacity."""

    async def test_shrunk_worker_gets_no_task_beyond_its_room(self) -> None:
        busy = await self.start_on(
            "w2", "a", make.step(need=make.need(64_000, 1000))
        )
        shrunk = await self.connect_agent("w1")
        await self.report_room(shrunk, SMALL)
        await self.report(busy, runs=(self.held_run(make.ref()),))
        await self.submit("b", TASK_8000)
        await self.settle()
        self.assertEqual(shrunk.started(), [])
        await self.report_room(shrunk, make.CAPACITY)
        await self.until(shrunk.started)

    async def test_task_goes_to_the_worker_that_has_room_for_it(self) -> None:
        shrunk = await self.connect_agent("w1")
        await self.report_room(shrunk, SMALL)
        other = await self.connect_agent("w2")
        await self.submit("a", TASK_8000)
        await self.until(other.started)
        self.assertEqual(shrunk.started(), [])

    async def test_room_that_shrinks_in_one_resource_only_counts(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, make.need(128_000, 500))
        self.accept("a")
        await self.settle()
        self.assertEqual(agent.started(), [])

    async def test_start_that_no_longer_fits_is_placed_elsewhere(self) -> None:
        """The room shrinks between the assignment and the order."""
        shrunk = await self.connect_agent("w1")
        await self.submit("a", TASK_8000)
        await self.until(shrunk.started)
        other = await self.connect_agent("w2")
        # The pushed order was lost: the report doesn't list the run.
        reply = await self.report_room(shrunk, SMALL)
        self.assertEqual(reply.orders.starts, ())
        self.assertEqual(self.reply_stops(reply), [(make.ref(), 1)])
        self.assertEqual(self.stop_reasons(), ["no_room"])
        await self.report(
            shrunk, room=SMALL, ends=self.run_ends(make.ref(), "rejected")
        )
        self.time.advance(run_monitor.REJECTION_BACKOFF_MS)
        self.dispatcher.wake()
        await self.until(other.started)
        self.assertEqual(len(shrunk.started()), 1)

    async def test_room_that_shrinks_during_the_commit_counts(self) -> None:
        agent = await self.connect_agent("w1")
        propose = self.log.propose

        async def shrink_after_assignment(
            command: commands.Command, *, timeout_ms: int
        ) -> commands.Result:
            result = await propose(command, timeout_ms=timeout_ms)
            if isinstance(command, job_commands.StartRuns):
                await self.report_room(agent, SMALL)
            return result

        with mock.patch.object(self.log, "propose", shrink_after_assignment):
            await self.submit("a", TASK_8000)
            await self.until(self.stop_reasons)
            await self.settle()
        self.assertEqual(self.stop_reasons(), ["no_room"])
        self.assertEqual(agent.started(), [])

    async def test_start_that_still_fits_is_repeated(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a", make.step(3, need=make.need(8000, 1000)))
        await self.until(lambda: agent.has_started(3))
        first, second, third = (make.ref(index=index) for index in range(3))
        reply = await self.report_room(agent, make.need(20_000, 9000), second)
        self.assertEqual([start.task for start in reply.orders.starts], [first])
        self.assertEqual(self.reply_stops(reply), [(third, 1)])

    async def test_run_that_is_being_stopped_counts_in_a_shrunk_room(
        self,
    ) -> None:
        agent = await self.start_on("w1", "a", TASK_8000)
        await self.cancel("a")
        await self.report(agent, ends=self.run_ends(make.ref(), "lost"))
        room = make.need(12_000, 9000)
        await self.report_room(agent, room, make.ref("a"))
        self.accept("b", TASK_8000)
        await self.settle()
        self.assertEqual(agent.started(), [make.ref("a")])
        await self.report_room(agent, room)
        await self.until(lambda: agent.has_started(2))

    async def test_runs_beyond_a_shrunk_room_go_on(self) -> None:
        agent = await self.start_on("w1", "a", TASK_8000)
        reply = await self.report_room(agent, SMALL, make.ref())
        await self.settle()
        self.assertEqual(self.reply_stops(reply), [])
        self.assertEqual(agent.stopped(), [])

    async def test_order_is_repeated_for_a_run_that_is_on_the_worker(
        self,
    ) -> None:
        """A restarted agent needs the orders of the runs that it finds."""
        agent = await self.start_on("w1", "a", TASK_8000)
        found = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, ordered=False
        )
        reply = await self.report(agent, room=SMALL, runs=(found,))
        self.assertEqual(
            [start.task for start in reply.orders.starts], [make.ref()]
        )
        self.assertEqual(self.reply_stops(reply), [])

    async def test_stop_tells_the_size_of_a_run_without_an_order(self) -> None:
        await self.start_on("w1", "a", TASK_8000)
        other = await self.connect_agent("w2")
        for ordered, reserves in ((False, TASK_8000.need), (True, None)):
            found = job_messages.HeldRun(
                task=make.ref(), attempt=1, running=True, ordered=ordered
            )
            reply = await self.report(other, runs=(found,))
            self.assertEqual(
                [stop.reserves for stop in reply.orders.stops], [reserves]
            )

    async def test_filling_task_skips_a_worker_that_is_over_its_room(
        self,
    ) -> None:
        """Serving tasks usually leave processor time there, but no room."""
        serving = make.step(
            image="desk",
            target_ms=100,
            lasting=True,
            need=make.need(60_000, 1000),
        )
        shrunk = await self.start_on("w1", "a", serving)
        await self.report_room(shrunk, make.need(58_000, 250_000), make.ref())
        other = await self.connect_agent("w2")
        await self.report_room(other, make.need(9000, 250_000))
        await self.submit(
            "b", make.step(fills=True, image="x", need=make.need(8000, 1000))
        )
        await self.until(other.started)
        self.assertEqual(shrunk.started(), [make.ref()])

    async def test_worker_without_any_room_gets_nothing(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, common.Resources())
        self.accept("a", make.step(image="x", target_ms=100))
        self.accept("b", make.step(image="y", fills=True))
        await self.settle()
        self.assertEqual(agent.started(), [])


class GrownRoomTest(WorkerRoomCase):
    """A grown capacity is used soon."""

    async def test_grown_worker_gets_a_task_of_its_new_size(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, LARGE)
        # The job is accepted before the session has been opened anew.
        self.assertEqual(await self.submit("a", TASK_65000), "ok")
        await self.open_anew(agent, LARGE)
        await self.report_room(agent, LARGE)
        await self.until(agent.started)

    async def test_worker_that_grows_back_gets_tasks_again(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, SMALL)
        await self.settle()
        await self.report_room(agent, make.CAPACITY)
        await self.submit("a", TASK_8000)
        await self.until(agent.started)

    async def test_job_that_fitted_before_a_worker_shrank_waits(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, SMALL)
        self.assertEqual(await self.submit("a", TASK_8000), "ok")
        await self.settle()
        self.assertEqual(agent.started(), [])
        await self.report_room(agent, make.CAPACITY)
        await self.until(agent.started)

    async def test_job_that_fitted_before_an_election_waits(self) -> None:
        """Guards against refused jobs after a worker and a leader fail.

        The new leader knows no capacity of before but that of the session.
        """
        agent = await self.connect_agent()
        await self.report_room(agent, SMALL)
        self.log.elect_again()
        await self.report_room(agent, SMALL)
        self.time.advance(worker_table.SILENT_MS)
        await self.report_room(agent, SMALL)
        self.assertEqual(await self.submit("a", TASK_8000), "ok")
        self.assertEqual(await self.submit("b", TASK_65000), "refused")
        await self.settle()
        self.assertEqual(agent.started(), [])
        await self.report_room(agent, make.CAPACITY)
        await self.until(agent.started)

    async def test_new_incarnation_has_not_had_the_capacity_of_an_earlier_one(
        self,
    ) -> None:
        agent = await self.connect_agent()
        session = await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(worker="w1", life="w1@2", room=SMALL)
        )
        agent.session = session.number
        await self.report(agent, life="w1@2", room=SMALL)
        answer = await self.job_handler.submit(self.submission("a", TASK_8000))
        self.assertEqual(answer.outcome, "refused")
        self.assertGreater(answer.retry_after_ms, 0)

    async def test_retry_is_not_put_off_for_long_while_capacity_is_low(
        self,
    ) -> None:
        agent = await self.connect_agent()
        # A single long job counts as an outlier and refuses no other.
        for ahead in ("a", "d"):
            await self.submit(ahead, make.step(64, estimate_ms=10_000))
        for job, room in (("b", make.need()), ("c", common.Resources())):
            await self.report_room(agent, room)
            answer = await self.job_handler.submit(self.submission(job))
            self.assertEqual(answer.outcome, "refused")
            self.assertLessEqual(
                answer.retry_after_ms,
                admission.MAX_RETRY_MS * (1 + admission.RETRY_JITTER),
            )


class ReplicatedRoomTest(WorkerRoomCase):
    """The room of the session is replicated; every replica checks against it.

    Builds that don't know of changing capacities apply the same commands.
    """

    async def test_reports_change_no_replicated_room(self) -> None:
        agent = await self.connect_agent()
        for room in (SMALL, LARGE, make.CAPACITY):
            await self.report_room(agent, room)
            await self.settle()
            self.assertEqual(self.replicated_room(), make.CAPACITY)
        applied = {type(command) for command, _ in self.log.history}
        self.assertEqual(
            applied,
            {job_commands.PutConfiguration, job_commands.OpenSession},
        )

    async def test_both_directions_are_replicated_with_the_session(
        self,
    ) -> None:
        agent = await self.connect_agent()
        for room in (SMALL, LARGE):
            await self.open_anew(agent, room)
            self.assertEqual(self.replicated_room(), room)

    async def test_no_assignment_is_refused_before_the_session_is_opened_anew(
        self,
    ) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, LARGE)
        self.accept("a", TASK_65000)
        await self.settle()
        self.assertEqual(agent.started(), [])
        self.assertNotIn(
            job_commands.StartRuns,
            {type(command) for command, _ in self.log.history},
        )
        await self.open_anew(agent, LARGE)
        await self.report_room(agent, LARGE)
        await self.until(agent.started)

    async def test_room_of_an_earlier_session_is_not_used(self) -> None:
        """The session was opened anew; a report of before arrives late."""
        agent = await self.connect_agent()
        await self.report_room(agent, SMALL)
        late = agent.report(room=SMALL)
        await self.grow(agent, LARGE)
        reply = await self.dispatcher.report(late, agent.link)
        self.assertFalse(reply.known)
        await self.settle()
        self.assertEqual(self.replicated_room(), LARGE)
        self.accept("a", TASK_65000)
        await self.until(agent.started)

    async def test_new_leader_uses_the_smaller_of_both_rooms(self) -> None:
        agent = await self.connect_agent()
        self.log.elect_again()
        await self.report_room(agent, SMALL)
        await self.submit("a", TASK_8000)
        await self.settle()
        self.assertEqual(agent.started(), [])

    async def test_new_leader_uses_a_growth_that_the_last_one_only_knew(
        self,
    ) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, LARGE)
        self.log.elect_again()
        await self.grow(agent, LARGE)
        self.accept("a", TASK_65000)
        await self.until(agent.started)
        self.assertEqual(self.replicated_room(), LARGE)

    async def test_new_leader_uses_a_growth_that_was_committed(self) -> None:
        agent = await self.connect_agent()
        await self.open_anew(agent, LARGE)
        self.log.elect_again()
        await self.report_room(agent, LARGE)
        self.accept("a", TASK_65000)
        await self.until(agent.started)

    async def test_session_opened_anew_keeps_the_runs(self) -> None:
        agent = await self.start_on("w1", "a", TASK_8000)
        reply = await self.grow(agent, LARGE, make.ref())
        await self.settle()
        self.assertTrue(reply.known)
        self.assertEqual((reply.orders.starts, reply.orders.stops), ((), ()))
        task = self.log.machine.stepped.task(make.ref())
        assert task is not None
        self.assertEqual((task.status, task.attempt), ("assigned", 1))
        self.assertEqual(agent.started(), [make.ref()])
        self.assertEqual(agent.stopped(), [])
        self.assertEqual(self.logged_fields(events.INCARNATION_ENDED), [])

    async def test_order_that_was_lost_beside_a_growth_is_repeated(
        self,
    ) -> None:
        agent = await self.start_on("w1", "a", TASK_8000)
        reply = await self.grow(agent, LARGE)
        self.assertEqual(
            [(start.task, start.attempt) for start in reply.orders.starts],
            [(make.ref(), 1)],
        )

    async def test_new_leader_waits_for_a_report(self) -> None:
        agent = await self.connect_agent()
        await self.report_room(agent, SMALL)
        self.log.elect_again()
        await self.submit("a", TASK_8000)
        await self.pass_time(worker_table.SILENT_MS)
        self.assertEqual(agent.started(), [])


class SessionRoomTest(unittest.TestCase):
    """The state machine checks against the room of the newest session."""

    def setUp(self) -> None:
        self.jobs = make.Jobs()
        self.jobs.open_session()

    def open_anew(self, room: common.Resources) -> commands.Result:
        return self.jobs.state.open_session(
            job_commands.OpenSession(
                worker="w1", life="w1@1", room=room, fenced=False
            )
        )

    def test_assignments_are_checked_against_the_room_of_the_session(
        self,
    ) -> None:
        self.jobs.accept("a", TASK_65000)
        self.jobs.accept("b", TASK_8000)
        self.assertFalse(self.jobs.start(make.ref("a")))
        self.open_anew(LARGE)
        self.assertTrue(self.jobs.start(make.ref("a")))
        self.open_anew(SMALL)
        self.assertFalse(self.jobs.start(make.ref("b")))
        self.assertEqual(self.jobs.task(make.ref("a")).status, "assigned")

    def test_session_opened_anew_ends_no_run_and_counts_no_crash(self) -> None:
        self.jobs.accept("a", TASK_8000)
        self.assertTrue(self.jobs.start(make.ref("a")))
        before = self.jobs.state.snapshot()
        used = self.jobs.state.used_on("w1")
        for room in (LARGE, SMALL):
            result = self.open_anew(room)
            self.assertEqual(
                {
                    name: result.data[name]
                    for name in ("opened", "lost", "suspects", "given_up")
                },
                {"opened": True, "lost": 0, "suspects": [], "given_up": []},
            )
        after = self.jobs.state.snapshot()
        # The jobs with their tasks.
        self.assertEqual(after[4], before[4])
        self.assertEqual(self.jobs.state.used_on("w1"), used)
        self.assertEqual(self.jobs.task(make.ref("a")).crashes, 0)

    def test_room_of_the_session_is_part_of_a_snapshot(self) -> None:
        self.open_anew(SMALL)
        restored = stepped_jobs.SteppedJobs()
        restored.restore(self.jobs.state.snapshot())
        self.assertEqual(restored.incarnations["w1"].room, SMALL)

    def test_noted_checkpoints_change_no_room(self) -> None:
        """Not even with the rooms that an unreleased build has recorded."""
        room = msgspec.to_builtins(SMALL)
        entries: tuple[list[object], ...] = (
            [[]],
            [[], []],
            [[], [], [["w1", "w1@1", room]]],
        )
        for fields in entries:
            command = msgspec.convert(
                [27, *fields], job_commands.NoteCheckpoints
            )
            self.jobs.state.note_checkpoints(command)
            self.assertEqual(
                self.jobs.state.incarnations["w1"].room, make.CAPACITY
            )
