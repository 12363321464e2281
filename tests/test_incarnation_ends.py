"""Tests how the leader tells a crash of a worker from its departure.

Guards against taking a drained worker for one that a task has crashed.
"""

import asyncio
import unittest
from unittest import mock

from bamboorouter import events
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from tests import fake_worker
from tests import job_builders as make
from tests import test_agent_session
from tests import test_job_dispatcher


class RestartCase(test_agent_session.AgentSessionCase):
    """A session of an agent whose worker restarts."""

    async def restart(self) -> job_messages.OpenWorkerSession:
        """Restarts the worker; returns the request to open a session."""
        self.worker.silent = True
        await asyncio.sleep(0.15)
        self.worker.silent = False
        self.worker.restart("w1@2")
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: self.leader.opened_sessions[-1].life == "w1@2")
        return self.leader.opened_sessions[-1]


class ReportedEndTest(RestartCase):
    """What an agent tells of an incarnation that is over."""

    async def test_first_session_replaces_no_incarnation(self) -> None:
        self.assertEqual(self.leader.opened_sessions[0].previous, "")

    async def test_incarnation_that_says_nothing_has_not_left(self) -> None:
        request = await self.restart()
        self.assertEqual(request.previous, "w1@1")
        self.assertFalse(request.previous_left)
        self.assertGreater(request.silent_ms, 0)

    async def test_silence_counts_from_the_first_unanswered_poll(self) -> None:
        session = self.session.session
        assert session is not None
        await self.session.stop()
        session.silent_since_ms = None
        self.assertEqual(session.silent_ms(5000), 0)
        session.record_failed_poll(5000)
        session.record_failed_poll(5100)
        self.assertEqual(session.silent_ms(5300), 300)

    async def test_incarnation_that_drained_has_left(self) -> None:
        self.session.announce(
            fake_worker.announcement(sequence=2, draining=True)
        )
        self.assertTrue((await self.restart()).previous_left)

    async def test_incarnation_that_announced_its_end_has_left(self) -> None:
        self.session.leave("w1", started_ms=1)
        self.assertTrue((await self.restart()).previous_left)

    async def test_unconfirmed_ends_come_with_the_request(self) -> None:
        """Guards against a second run of a task that the worker completed."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.leader.silent = True
        self.worker.finish(make.ref(), "done")
        await self.until(lambda: self.session.held.ends)
        self.worker.restart("w1@2")
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: self.leader.failed_session_requests)
        self.leader.silent = False
        await self.until(lambda: self.leader.opened_sessions[-1].life == "w1@2")
        (end,) = self.leader.opened_sessions[-1].ends
        self.assertEqual((end.task, end.how), (make.ref(), "done"))

    async def test_session_that_is_opened_again_replaces_no_incarnation(
        self,
    ) -> None:
        self.leader.knows_session = False
        await self.until(lambda: len(self.leader.opened_sessions) == 2)
        self.assertEqual(self.leader.opened_sessions[1].previous, "")


class ConfirmedStartTest(RestartCase):
    """Which runs an agent names as started, with a request or an end."""

    async def test_answered_start_is_confirmed(self) -> None:
        """The worker crashes before it lists the run."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        request = await self.restart()
        self.assertEqual(
            request.started, (jobs.RunId(task=make.ref(), attempt=1),)
        )

    async def test_start_without_an_answer_is_not_confirmed(self) -> None:
        """The worker has crashed, but the agent's connection is still open."""
        self.worker.silent = True
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.session.held.runs)
        request = await self.restart()
        self.assertEqual(self.worker.starts, [])
        self.assertEqual(request.started, ())

    async def test_listed_run_is_confirmed_in_later_sessions(self) -> None:
        """The agent finds the run, and opens a session again."""
        self.worker.running[make.ref()] = 1
        await self.until(lambda: self.session.held.runs)
        self.leader.knows_session = False
        await self.until(lambda: len(self.leader.opened_sessions) == 2)
        self.leader.knows_session = True
        request = await self.restart()
        self.assertEqual(
            request.started, (jobs.RunId(task=make.ref(), attempt=1),)
        )

    async def test_lost_run_had_started(self) -> None:
        """The worker no longer lists a run whose start it has answered."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.running.clear()
        await self.until(lambda: self.leader.ends)
        self.assertEqual(
            [(end.how, end.started) for end in self.leader.ends],
            [("lost", True)],
        )


class LoggedEndTest(test_job_dispatcher.DispatcherCase):
    """How the leader decides and logs the end of an incarnation."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patcher = mock.patch.object(events, "log")
        self.log_event = patcher.start()
        self.addCleanup(patcher.stop)
        self.agent = await self.connect_agent()

    async def reopen(self, life: str = "w1@2", **fields: object) -> None:
        await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(
                worker="w1",
                life=life,
                room=make.CAPACITY,
                **fields,  # type: ignore[arg-type]
            )
        )

    def logged(self) -> list[tuple[object, object]]:
        """Returns how which incarnations ended."""
        return [
            (call.kwargs["life"], call.kwargs["how"])
            for call in self.log_event.call_args_list
            if call.args[0] is events.INCARNATION_ENDED
        ]

    async def test_agent_that_saw_the_crash_is_believed(self) -> None:
        await self.reopen(previous="w1@1", silent_ms=3000)
        self.assertEqual(self.logged(), [("w1@1", "crashed")])

    async def test_agent_that_saw_the_worker_leave_is_believed(self) -> None:
        await self.reopen(previous="w1@1", previous_left=True)
        self.assertEqual(self.logged(), [("w1@1", "left")])

    async def test_last_report_decides_if_the_agent_was_restarted(
        self,
    ) -> None:
        await self.reopen()
        self.assertEqual(self.logged(), [("w1@1", "crashed")])

    async def test_last_report_of_a_draining_worker_shows_that_it_left(
        self,
    ) -> None:
        await self.report(self.agent, draining=True)
        await self.reopen()
        self.assertEqual(self.logged(), [("w1@1", "left")])

    async def test_end_is_unknown_to_a_new_leader_and_a_new_agent(
        self,
    ) -> None:
        self.dispatcher.table.reset(self.time.now())
        await self.reopen()
        self.assertEqual(self.logged(), [("w1@1", "unknown")])

    async def test_agent_that_missed_an_incarnation_does_not_decide(
        self,
    ) -> None:
        self.dispatcher.table.reset(self.time.now())
        await self.reopen(previous="w1@0", previous_left=True)
        self.assertEqual(self.logged(), [("w1@1", "unknown")])

    async def test_report_of_an_earlier_incarnation_does_not_decide(
        self,
    ) -> None:
        await self.reopen("w1@2", previous="w1@1")
        await self.reopen("w1@3")
        self.assertEqual(
            self.logged(), [("w1@1", "crashed"), ("w1@2", "unknown")]
        )

    async def crash_after_start(self, silent_ms: int) -> job_records.Task:
        """Returns a task whose worker is back 3 s after the start."""
        await self.submit("a")
        await self.until(self.agent.started)
        self.time.advance(3000)
        await self.reopen(previous="w1@1", silent_ms=silent_ms)
        task = self.log.machine.stepped.task(make.ref())
        assert task is not None
        return task

    async def test_age_at_a_crash_excludes_the_time_of_the_restart(
        self,
    ) -> None:
        task = await self.crash_after_start(silent_ms=2900)
        self.assertEqual((task.crashes, task.early_crashes), (1, 1))
        self.assertEqual(task.crash_age_ms, 100)
        self.assertTrue(task.given_up[0].dated)

    async def test_age_at_a_crash_is_that_at_its_discovery_if_unknown(
        self,
    ) -> None:
        for silent_ms in (0, -1):
            with self.subTest(silent_ms=silent_ms):
                await self.asyncSetUp()
                task = await self.crash_after_start(silent_ms)
                self.assertEqual((task.crashes, task.early_crashes), (1, 0))
                self.assertEqual(task.crash_age_ms, 3000)
                self.assertFalse(task.given_up[0].dated)

    async def test_session_with_the_same_incarnation_ends_nothing(self) -> None:
        await self.reopen("w1@1")
        self.assertEqual(self.logged(), [])

    async def test_end_that_comes_with_the_request_is_no_loss(self) -> None:
        await self.submit("a")
        await self.until(self.agent.started)
        await self.reopen(
            previous="w1@1", ends=self.run_ends(make.ref(), "done")
        )
        await self.settle()
        job = self.log.machine.stepped.jobs["a"]
        self.assertEqual((job.state(), job.tasks[0, 0][0].crashes), ("done", 0))

    def confirmed(self) -> tuple[int, int]:
        """Returns the crashes of the job's task: all and confirmed ones."""
        task = self.log.machine.stepped.task(make.ref())
        assert task is not None
        return (task.crashes, task.confirmed_crashes)

    async def assign(self, *, listed: bool) -> tuple[jobs.RunId, ...]:
        """Assigns a run, which the agent reports; returns its ID."""
        await self.submit("a")
        await self.until(self.agent.started)
        held = job_messages.HeldRun(task=make.ref(), attempt=1, running=listed)
        await self.report(self.agent, runs=(held,))
        return (jobs.RunId(task=make.ref(), attempt=1),)

    async def test_agent_confirms_the_start(self) -> None:
        """A leader that was just elected has no report."""
        started = await self.assign(listed=False)
        self.dispatcher.table.reset(self.time.now())
        await self.reopen(previous="w1@1", started=started)
        self.assertEqual(self.confirmed(), (1, 1))

    async def test_last_report_confirms_the_start_if_the_agent_was_restarted(
        self,
    ) -> None:
        await self.assign(listed=True)
        await self.reopen()
        self.assertEqual(self.confirmed(), (1, 1))

    async def test_start_that_nobody_has_seen_is_not_confirmed(self) -> None:
        await self.assign(listed=False)
        await self.reopen(previous="w1@1")
        self.assertEqual(self.confirmed(), (1, 0))

    async def test_runs_of_an_incarnation_that_was_missed_confirm_nothing(
        self,
    ) -> None:
        started = await self.assign(listed=False)
        await self.reopen(previous="w1@0", started=started)
        self.assertEqual(self.confirmed(), (1, 0))

    async def test_run_whose_lease_expired_was_listed(self) -> None:
        await self.assign(listed=True)
        await self.pass_time(
            worker_table.LEASE_MS + worker_table.LEASE_ALLOWANCE_MS
        )
        await self.until(lambda: not self.log.machine.stepped.on_worker["w1"])
        self.dispatcher.table.reset(self.time.now())
        await self.reopen(previous="w1@1")
        self.assertEqual(self.confirmed(), (1, 1))

    async def test_session_that_is_not_opened_ends_nothing(self) -> None:
        await self.submit("a")
        await self.until(self.agent.started)
        await self.reopen(previous="w1@1", fenced=False)
        self.assertEqual(self.logged(), [])
        await self.reopen(previous="w1@1", fenced=True)
        self.assertEqual(self.logged(), [("w1@1", "crashed")])


if __name__ == "__main__":
    unittest.main()
