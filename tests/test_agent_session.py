"""Guards against runs that an agent's session starts twice or loses."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import cast
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import agent_session
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import incarnation_check
from bamboorouter.coordination.workers import run_lease
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import fake_worker
from tests import job_builders as make
from tests import replica_site

# The longest lease that the fake worker accepts.
LONGEST_LEASE_MS = 6000


class AgentSessionCase(unittest.IsolatedAsyncioTestCase):
    """A session of an agent with a fake worker and a fake leader."""

    async def asyncSetUp(self) -> None:
        self.worker = fake_worker.FakeWorker()
        self.leader = fake_worker.FakeLeaderClient()
        self.link = mock.Mock(closed=asyncio.Event())
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)

    def new_session(
        self, time: clock.Clock | None = None
    ) -> agent_session.AgentSession:
        session = agent_session.AgentSession(
            worker="agent-1",
            client=cast(control_client.ControlClient, self.leader),
            ports=self.worker,
            time=time or clock.SystemClock(),
            max_lease_ms=LONGEST_LEASE_MS,
        )
        session.start()
        self.addAsyncCleanup(session.stop)
        return session

    async def until(self, condition: Callable[[], Any]) -> None:
        await replica_site.wait_until(condition, timeout_s=fake_worker.WAIT_S)

    def reachable(self) -> bool:
        return bool(self.leader.reports) and self.leader.reports[-1].reachable

    async def order(self, orders: job_messages.RunOrders) -> None:
        await self.session.handle_message(orders, self.link)

    def outcomes(self) -> list[str]:
        """Returns the outcomes of all ends that the leader has received."""
        return [end.how for end in self.leader.ends]


class AgentSessionTest(AgentSessionCase):
    """Tests the session of an agent with a fake worker and a fake leader."""

    async def test_end_is_acknowledged_only_after_the_leader_has_it(
        self,
    ) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.finish(make.ref(), "done")
        await self.until(lambda: self.worker.acknowledged == 1)
        self.assertEqual(self.outcomes(), ["done"])

    async def test_repeated_order_starts_one_run(self) -> None:
        for _ in range(3):
            await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.worker.starts), 1)

    async def test_order_carried_out_without_an_answer_is_found(self) -> None:
        self.worker.unanswered = 1
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(
            lambda: any(run.running for run in self.leader.reports[-1].runs)
        )
        self.assertEqual(self.outcomes(), [])

    async def test_order_carried_out_late_is_fenced_off(self) -> None:
        """Guards against a run that starts after it was reported rejected."""
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.worker.execute_delayed()
        self.assertEqual(self.worker.running, {})

    async def test_order_that_was_not_delivered_is_given_back_at_once(
        self,
    ) -> None:
        """No connection was opened, so the worker can't execute it later."""
        reports = len(self.leader.reports)
        self.worker.refused = 1
        self.worker.unanswered_polls = 5
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.assertFalse(
            all(report.reachable for report in self.leader.reports[reports:])
        )
        self.assertEqual(self.worker.starts, [])
        # The worker answers the next poll.
        await self.until(self.reachable)
        await self.order(fake_worker.start_orders(make.ref(index=1)))
        await self.until(lambda: self.worker.running)

    async def test_report_tells_the_age_of_a_view_of_an_unreachable_worker(
        self,
    ) -> None:
        """Guards against runs of a crashed worker that seem to go on."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(
            lambda: any(run.running for run in self.leader.reports[-1].runs)
        )
        self.worker.unanswered_polls = 1_000_000
        await asyncio.sleep(0.1)
        self.worker.refused = 1
        await self.order(fake_worker.start_orders(make.ref(index=1)))
        await self.until(lambda: not self.reachable())
        (run,) = self.leader.reports[-1].runs
        self.assertTrue(run.running)
        self.assertGreater(self.leader.reports[-1].view_age_ms, 90)

    async def test_order_without_an_answer_is_not_given_back_before_a_poll(
        self,
    ) -> None:
        """Guards against a second run of an order that is executed late."""
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        self.worker.unanswered_polls = 3
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.unanswered_polls < 3)
        self.assertEqual(self.outcomes(), [])
        await self.until(lambda: self.outcomes() == ["rejected"])

    async def test_order_that_was_given_up_is_not_carried_out_again(
        self,
    ) -> None:
        """Guards against executing an order that a partition has delayed.

        The leader sent the order again on a new link; the agent reported that
        copy as rejected, and the run was started elsewhere before the first
        copy arrived.
        """
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        await self.until(lambda: not self.session.held.ends)
        await self.order(fake_worker.start_orders(make.ref()))
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.starts, [])

    async def test_stopped_before_it_was_sent_is_not_sent(self) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        await asyncio.sleep(0.05)
        self.assertEqual(self.worker.starts, [])

    async def test_silent_worker_loses_its_runs_after_its_lease(self) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.silent = True
        time = clock.SystemClock()
        await replica_site.wait_until(lambda: self.outcomes() == ["lost"])
        # The fake worker and the agent use the same clock.
        self.assertGreater(time.now(), self.worker.lease_end_ms)

    async def start_paused_run(self) -> None:
        """Starts a run, then pauses the agent for longer than its lease.

        The pause falls into a poll that gets no answer. The run ends meanwhile.
        """
        await self.session.stop()
        self.leader.reports.clear()
        time = clock.ManualClock(monotonic_ms=100_000)
        self.session = self.new_session(time)
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        paused = asyncio.Event()

        async def poll_during_pause(**_: Any) -> worker_port.WorkerView:
            time.advance(2 * self.leader.lease_ms)
            self.worker.finish(make.ref(), "done")
            patched.stop()
            paused.set()
            raise worker_port.NoAnswerError(
                text="no answer", step="test", peer="worker"
            )

        patched = mock.patch.object(
            self.worker, "poll", side_effect=poll_during_pause
        )
        patched.start()
        await asyncio.wait_for(paused.wait(), fake_worker.WAIT_S)

    async def test_paused_agent_polls_before_it_reports_runs_as_lost(
        self,
    ) -> None:
        """Guards against repeating a run that ended while its agent was paused.

        The agent reported the run as lost because its lease had expired, and
        learned the end from the next poll. Found by the soak test with seed
        9104.
        """
        await self.start_paused_run()
        await self.until(self.outcomes)
        self.assertEqual(self.outcomes(), ["done"])

    async def test_paused_agent_of_a_new_leader_polls_before_it_reports(
        self,
    ) -> None:
        await self.start_paused_run()
        self.leader.knows_session = False
        await self.until(self.outcomes)
        self.assertEqual(self.outcomes(), ["done"])

    async def test_paused_agent_reports_lost_runs_of_a_silent_worker(
        self,
    ) -> None:
        await self.start_paused_run()
        self.worker.ends.clear()
        self.worker.silent = True
        await self.until(self.outcomes)
        self.assertEqual(self.outcomes(), ["lost"])

    async def restart_with_manual_clock(self) -> clock.ManualClock:
        """Replaces the agent process; returns the clock of the new one."""
        await self.session.stop()
        self.leader.reports.clear()
        time = clock.ManualClock(monotonic_ms=100_000)
        self.session = self.new_session(time)
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)
        return time

    async def start_run(self) -> None:
        """Starts the first attempt of a run and waits until it is reported."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(self.reported_running)

    def reported_running(self) -> bool:
        """Returns whether the last report lists a run as running."""
        reports = self.leader.reports
        return bool(reports) and any(run.running for run in reports[-1].runs)

    async def test_run_that_was_given_up_as_lost_is_stopped_on_order(
        self,
    ) -> None:
        """Guards against a run that goes on after its job was cancelled."""
        time = await self.restart_with_manual_clock()
        await self.start_run()
        self.worker.silent = True
        time.advance(2 * LONGEST_LEASE_MS)
        await self.until(lambda: self.outcomes() == ["lost"])
        self.worker.silent = False
        await self.until(self.reported_running)
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.until(lambda: not self.worker.running)

    async def test_run_that_was_given_up_as_rejected_is_stopped_on_order(
        self,
    ) -> None:
        """Guards against a run that goes on beside the task's next attempt."""
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.worker.execute_delayed(ignore_token=True)
        await self.until(self.reported_running)
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.until(lambda: not self.worker.running)

    async def test_stop_of_a_run_that_was_given_up_is_not_forgotten(
        self,
    ) -> None:
        """Guards against a run that goes on after its end was committed.

        The leader no longer orders a run to stop whose end it has.
        """
        time = await self.restart_with_manual_clock()
        await self.start_run()
        self.worker.silent = True
        time.advance(2 * LONGEST_LEASE_MS)
        await self.until(lambda: self.outcomes() == ["lost"])
        await self.order(fake_worker.stop_orders(make.ref()))
        self.worker.silent = False
        await self.until(lambda: not self.worker.running)

    async def test_stop_is_sent_again_after_an_unexpected_error(self) -> None:
        """Guards against a run that is never stopped after an error."""
        await self.start_run()
        with mock.patch.object(
            self.worker, "stop", side_effect=ValueError("unexpected")
        ) as stop:
            await self.order(fake_worker.stop_orders(make.ref()))
            await self.until(lambda: stop.called)
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.until(lambda: not self.worker.running)

    async def test_stop_without_effect_is_sent_again(self) -> None:
        """Guards against a run that goes on after an acknowledged stop."""
        await self.start_run()
        self.worker.ignored_stops = 1
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.until(lambda: not self.worker.ignored_stops)
        await self.until(lambda: not self.worker.running)

    async def test_restarted_agent_waits_for_the_lease_of_its_predecessor(
        self,
    ) -> None:
        """Guards against giving up runs whose lease the agent doesn't know."""
        await self.start_run()
        # The new process grants no lease of its own.
        self.leader.lease_ms = 0
        time = await self.restart_with_manual_clock()
        await self.until(self.reported_running)
        self.worker.silent = True
        time.advance(LONGEST_LEASE_MS - 1)
        polls = len(self.worker.cursors)
        await self.until(lambda: len(self.worker.cursors) > polls + 2)
        self.assertEqual(self.session.held.ends, [])
        self.assertEqual(self.outcomes(), [])
        # The worker's clock may be slow.
        time.advance(LONGEST_LEASE_MS // 20)
        await self.until(lambda: self.outcomes() == ["lost"])

    async def test_unconfirmed_end_of_a_run_that_is_listed_is_withdrawn(
        self,
    ) -> None:
        """Guards against starting a run again that was wrongly given up."""
        time = await self.restart_with_manual_clock()
        await self.start_run()
        self.leader.silent = True
        self.worker.silent = True
        time.advance(2 * LONGEST_LEASE_MS)
        await self.until(lambda: self.session.held.ends)
        self.worker.silent = False
        await self.until(lambda: self.session.held.runs)
        self.leader.reports.clear()
        self.leader.silent = False
        await self.until(self.reported_running)
        self.assertEqual(self.outcomes(), [])

    async def test_new_life_loses_the_runs_of_the_earlier_one(self) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.running.clear()
        self.worker.incarnation = "w1@2"
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: self.outcomes() == ["lost"])
        self.assertEqual(self.leader.reports[-1].life, "w1@2")

    async def test_ends_of_a_new_life_are_heard_after_its_session_opens_late(
        self,
    ) -> None:
        """Guards against ends that are ignored as those of an earlier life.

        The new life announced itself again while the leader didn't answer.
        Found by the soak test with seed 9104.
        """
        await self.start_run()
        self.worker.finish(make.ref(), "done")
        await self.until(lambda: self.worker.acknowledged == 1)
        self.leader.silent = True
        self.worker.restart("w1@2")
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: self.leader.failed_session_requests)
        self.session.announce(
            fake_worker.announcement(started_ms=2, sequence=2)
        )
        self.leader.silent = False
        await self.until(lambda: self.leader.reports[-1].life == "w1@2")
        await self.order(
            fake_worker.start_orders(make.ref("b"), incarnation="w1@2")
        )
        await self.until(lambda: self.worker.running)
        self.worker.finish(make.ref("b"), "done")
        await self.until(lambda: self.worker.acknowledged == 1)
        self.assertEqual(self.outcomes(), ["done", "done"])

    async def test_new_life_runs_no_order_of_the_earlier_one(self) -> None:
        """Guards against a run that starts twice when its worker restarts.

        All incarnations of a worker share its name. Before the agent knew of
        the new incarnation, that incarnation received and executed a start
        order for the earlier one. The run was counted as lost and started a
        second time. Found by the soak test with seed 1.
        """
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.incarnation = "w1@2"
        self.worker.token = 0
        self.leader.has_earlier_runs = True
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: len(self.leader.opened_sessions) == 2)
        self.assertEqual(self.worker.running, {})
        (end,) = self.leader.opened_sessions[-1].ends
        self.assertEqual((end.task, end.how), (make.ref(), "stopped"))
        self.assertTrue(self.leader.opened_sessions[-1].fenced)

    async def test_session_that_was_superseded_while_it_was_fenced_is_not_used(
        self,
    ) -> None:
        """Guards against a late request that ends runs of a newer session."""
        before = self.leader.session_requests
        self.worker.incarnation = "w1@2"
        self.leader.has_earlier_runs = True
        self.leader.superseded_offers = 1
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(lambda: len(self.leader.opened_sessions) == 2)
        # The second offer is the third of four requests.
        self.assertEqual(self.leader.opened_sessions[-1].fence, before + 3)
        self.assertEqual(self.leader.session_requests, before + 4)

    async def test_order_of_an_earlier_life_that_is_not_fenced_is_stopped(
        self,
    ) -> None:
        """Guards against a run that nobody can stop after a restart.

        The leader opens the session at once if it knows of no run on the
        earlier incarnation. Until the first poll, the new incarnation executes
        orders for the earlier one.
        """
        await self.start_run()
        self.worker.incarnation = "w1@2"
        self.worker.token = 0
        self.session.announce(fake_worker.announcement(started_ms=2))
        await self.until(
            lambda: self.leader.reports[-1].life == "w1@2"
            and self.reported_running()
        )
        await self.order(
            fake_worker.stop_orders(make.ref(), incarnation="w1@2")
        )
        await self.until(lambda: not self.worker.running)
        await self.until(lambda: self.outcomes()[-1] == "stopped")

    async def test_new_life_is_told_no_numbers_of_the_earlier_one(self) -> None:
        """Guards against losing the end of a run when its worker restarts.

        A poll reached the new incarnation and acknowledged ends up to a number
        of the earlier one, so the new incarnation dropped an end that nobody
        had recorded. Found by the soak test with seed 7.
        """
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.worker.finish(make.ref(), "done")
        await self.until(lambda: self.worker.acknowledged == 1)
        # Ends are acknowledged only once; the next poll acknowledges none.
        await self.until(lambda: self.worker.cursors[-1] == ("w1@1", 0))
        self.worker.incarnation = "w1@2"
        await self.until(
            lambda: [name for name, _ in self.worker.cursors].count("w1@2") > 3
        )
        sent = {cursor for name, cursor in self.worker.cursors if "@2" in name}
        self.assertEqual(sent, {0})

    async def test_announcement_of_another_writer_takes_no_runs_away(
        self,
    ) -> None:
        """Guards against reporting runs as lost while their worker answers.

        Another process may announce itself to the agent as a new incarnation.
        The runs would then be started a second time.
        """
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.session.announce(fake_worker.announcement(id="w9", started_ms=2))
        await asyncio.sleep(0.1)
        self.assertEqual(self.outcomes(), [])
        self.assertEqual(self.leader.reports[-1].life, "w1@1")

    async def test_announcement_of_another_writer_and_a_lost_poll_end_nothing(
        self,
    ) -> None:
        """Guards against replacing a worker that is silent for a moment."""
        await self.start_run()
        self.worker.unanswered_polls = incarnation_check.MAX_POLLS
        self.session.announce(fake_worker.announcement(id="w9", started_ms=2))
        await self.until(lambda: not self.worker.unanswered_polls)
        await asyncio.sleep(0.3)
        self.assertEqual(self.outcomes(), [])
        self.assertEqual(self.leader.session_requests, 1)

    async def test_worker_that_left_loses_its_runs(self) -> None:
        """Guards against waiting for the lease of a worker that has left."""
        await self.start_run()
        self.session.leave("w1", started_ms=1)
        self.worker.silent = True
        await self.until(lambda: self.outcomes() == ["lost"])

    async def test_worker_that_leaves_keeps_its_runs_while_it_answers(
        self,
    ) -> None:
        """Guards against repeating runs after a delayed departure."""
        await self.start_run()
        self.session.leave("w1")
        await self.until(lambda: self.leader.reports[-1].draining)
        await self.order(fake_worker.start_orders(make.ref("b")))
        await self.until(lambda: self.outcomes() == ["rejected"])
        # A newer announcement shows that the departure was delayed.
        self.session.announce(fake_worker.announcement(sequence=2))
        await self.until(lambda: not self.leader.reports[-1].draining)
        self.worker.unanswered_polls = incarnation_check.MAX_POLLS
        await self.until(lambda: not self.worker.unanswered_polls)
        await self.until(self.reachable)
        self.assertEqual(self.outcomes(), ["rejected"])
        self.assertTrue(self.reported_running())

    async def test_departure_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.session.leave("w1", started_ms=0)
        await asyncio.sleep(0.05)
        self.assertFalse(self.leader.reports[-1].draining)

    async def test_session_goes_on_after_an_unexpected_error(self) -> None:
        """Guards against a session loop that ends if a port can't be opened."""
        self.worker.incarnation = "w1@2"
        # The first port is the one that checks the current incarnation.
        ports = [self.worker.open(fake_worker.announcement())]

        def open_port(_: worker_port.Announcement) -> worker_port.WorkerPort:
            if ports:
                return ports.pop()
            raise ValueError("port out of range")

        with mock.patch.object(
            self.worker, "open", side_effect=open_port
        ) as opened:
            self.session.announce(fake_worker.announcement(started_ms=2))
            await self.until(lambda: opened.call_count > 1)
            await asyncio.sleep(0.05)
        await self.until(lambda: self.leader.reports[-1].life == "w1@2")

    async def test_delayed_announcement_of_an_earlier_life_is_ignored(
        self,
    ) -> None:
        self.session.announce(fake_worker.announcement(started_ms=0))
        await asyncio.sleep(0.05)
        self.assertEqual(self.leader.session_requests, 1)

    async def test_draining_worker_starts_nothing(self) -> None:
        self.session.announce(
            fake_worker.announcement(sequence=2, draining=True)
        )
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.assertEqual(self.worker.starts, [])

    async def test_orders_of_an_earlier_leader_are_ignored(self) -> None:
        await self.order(fake_worker.start_orders(make.ref("new"), term=3))
        await self.order(fake_worker.start_orders(make.ref("old"), term=2))
        await self.until(lambda: self.worker.running)
        await asyncio.sleep(0.05)
        self.assertEqual(set(self.worker.running), {make.ref("new")})

    async def test_stop_that_comes_before_its_start_prevents_it(self) -> None:
        await self.order(fake_worker.stop_orders(make.ref()))
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.assertEqual(self.worker.starts, [])

    async def test_restarted_agent_finds_the_runs_of_its_predecessor(
        self,
    ) -> None:
        """Guards against starting a run again that is still running."""
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        await self.session.stop()
        self.leader.reports.clear()
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(
            lambda: self.leader.reports
            and any(run.running for run in self.leader.reports[-1].runs)
        )
        self.assertEqual(len(self.worker.starts), 1)
        self.assertEqual(self.outcomes(), [])

    async def test_agent_that_was_paused_starts_nothing_on_its_old_grant(
        self,
    ) -> None:
        """Guards against executing orders after a pause beyond the lease."""
        await self.session.stop()
        self.leader.reports.clear()
        time = clock.ManualClock(monotonic_ms=100_000)
        self.session = self.new_session(time)
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)
        # The agent handles an order after its lease has expired.
        time.advance(self.leader.lease_ms + 1)
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.outcomes() == ["rejected"])
        self.assertEqual(self.worker.starts, [])

    async def test_no_lease_is_granted_after_the_end_of_the_leaders(
        self,
    ) -> None:
        """Guards against a start while the leader may start the run again."""
        session = self.session.session
        assert session is not None
        await self.session.stop()
        session.grant_end_ms = 106_000
        for now, granted in ((105_999, True), (106_000, False)):
            session.answered_ms = now
            session.lease = run_lease.RunLease(longest_ms=LONGEST_LEASE_MS)
            session.lease.record_clock(worker_ms=1000, received_ms=100_000)
            self.assertEqual(session.lease_until(now) is not None, granted)

    async def test_end_that_could_not_be_read_is_not_acknowledged(
        self,
    ) -> None:
        """Guards against a run that is done and is started again."""
        for job in ("a", "b"):
            await self.order(fake_worker.start_orders(make.ref(job)))
        await self.until(lambda: len(self.worker.running) == 2)
        poll = self.worker.poll
        unread = 2

        async def misread(**fields: Any) -> worker_port.WorkerView:
            nonlocal unread
            view = await poll(**fields)
            if not view.ended or not unread:
                return view
            unread -= 1
            return dataclasses.replace(
                view, ended=view.ended[1:], complete=False, unread_ends=True
            )

        with mock.patch.object(self.worker, "poll", misread):
            # The pending poll is still answered by the other method.
            await asyncio.sleep(2 * fake_worker.ANSWER_DELAY_S)
            for job in ("a", "b"):
                self.worker.finish(make.ref(job), "done")
            await self.until(lambda: self.worker.acknowledged == 2)
        self.assertEqual(self.outcomes(), ["done", "done"])

    async def test_end_that_is_never_read_holds_up_no_others(self) -> None:
        """Guards against a list that is full of ends."""
        for _ in range(held_runs.MAX_UNREAD_VIEWS):
            self.session.held.reconcile(
                worker_port.WorkerView(
                    clock_ms=1,
                    running=(),
                    ended=(
                        worker_port.EndedRow(
                            number=2,
                            end=jobs.RunEnd(
                                task=make.ref(), attempt=1, how="done"
                            ),
                        ),
                    ),
                    complete=False,
                    unread_ends=True,
                ),
                token=1,
                sent_ms=0,
            )
            self.session.held.confirm(self.session.held.ends)
        self.assertEqual(self.session.held.acknowledgeable_end(), 2)

    async def test_no_lease_is_granted_while_the_clock_is_in_doubt(
        self,
    ) -> None:
        """Guards against runs that outlive the leader's lease.

        The worker was suspended, so that its clock is behind.
        """
        session = self.session.session
        assert session is not None
        await self.session.stop()
        session.grant_end_ms = 110_000
        session.lease = run_lease.RunLease(longest_ms=LONGEST_LEASE_MS)
        session.lease.record_clock(worker_ms=1000, received_ms=100_000)
        for now, granted in ((105_000, False), (105_100, True)):
            session.answered_ms = now
            session.lease.record_clock(
                worker_ms=1010 + now - 105_000, received_ms=now
            )
            until_ms = session.lease_until(now)
            self.assertEqual(until_ms is not None, granted)
        assert until_ms is not None
        self.assertLessEqual(until_ms, 1110 + 110_000 - 105_100)

    async def test_end_that_can_not_be_taken_causes_no_burst_of_polls(
        self,
    ) -> None:
        """Guards against an agent that polls without a pause.

        A worker answers at once while it lists ends.
        """
        views = [
            worker_port.WorkerView(
                clock_ms=1, running=(), ended=(), complete=False
            )
        ]
        polls = 0

        async def poll(**_: Any) -> worker_port.WorkerView:
            nonlocal polls
            polls += 1
            await asyncio.sleep(0)
            return dataclasses.replace(
                views[0], clock_ms=self.worker.time.now()
            )

        with mock.patch.object(self.worker, "poll", poll):
            await asyncio.sleep(0.5)
        self.assertLess(polls, 20)

    async def test_unknown_session_is_opened_again(self) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        self.leader.knows_session = False
        await self.until(lambda: self.leader.session_requests == 2)
        await self.until(lambda: self.reachable() and self.leader.knows_session)
        self.assertEqual(self.outcomes(), [])


class StartOrderEndTest(AgentSessionCase):
    """A start order that arrives late starts nothing; leases are longer."""

    async def restart_agent(self) -> None:
        """Replaces the agent process; the worker holds no lease."""
        await self.session.stop()
        self.leader.reports.clear()
        self.worker.lease_end_ms = 0
        self.session = self.new_session()
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)

    async def test_order_that_arrives_late_is_rejected(self) -> None:
        """Guards against starts over a capacity that has shrunk meanwhile.

        No poll with a higher token reaches the worker before the order.
        """
        time = clock.ManualClock(monotonic_ms=100_000)
        self.worker.time = time
        await self.restart_agent()
        self.worker.unanswered = 1
        self.worker.executes_unanswered = False
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.delayed)
        (order,) = self.worker.delayed
        # An order that is answered in time isn't late.
        self.assertGreater(order.until_ms - time.now(), 1000)
        time.advance(1500)
        self.worker.execute_delayed(ignore_token=True)
        self.assertEqual(self.worker.starts, [])

    async def test_first_start_of_a_session_finds_a_long_lease(self) -> None:
        """Guards against runs that expire after the first failed polls."""
        leases: list[int] = []
        start = self.worker.start

        async def record(order: worker_port.StartRun) -> None:
            await start(order)
            leases.append(self.worker.lease_end_ms - self.worker.time.now())

        # The long poll that was sent before the first grant is under way.
        poll = self.worker.poll

        async def poll_slowly(**fields: Any) -> worker_port.WorkerView:
            view = await poll(**fields)
            await asyncio.sleep(fields["wait_ms"] / 1000)
            return view

        with (
            mock.patch.object(self.worker, "poll", side_effect=poll_slowly),
            mock.patch.object(self.worker, "start", side_effect=record),
        ):
            await self.restart_agent()
            await self.order(
                fake_worker.start_orders(*(make.ref(job) for job in "abc"))
            )
            await self.until(lambda: len(self.worker.running) == 3)
        self.assertEqual(len(leases), 3)
        self.assertGreater(min(leases), 5000)

    async def test_polls_grant_a_longer_lease_than_starts(self) -> None:
        await self.order(fake_worker.start_orders(make.ref()))
        await self.until(lambda: self.worker.running)
        polls = len(self.worker.cursors)
        await self.until(lambda: len(self.worker.cursors) > polls + 2)
        (order,) = self.worker.starts
        now = self.worker.time.now()
        self.assertGreater(self.worker.lease_end_ms - now, 5000)
        self.assertLess(order.until_ms, now + 2000)

    async def test_late_order_is_sent_again_with_a_newer_end(self) -> None:
        """The agent may have been paused between two polls and the order."""
        ends: list[int] = []
        polls: list[int] = []
        start = self.worker.start

        async def reject_first(order: worker_port.StartRun) -> None:
            ends.append(order.until_ms)
            polls.append(len(self.worker.cursors))
            if len(ends) == 1:
                raise worker_port.RejectedError(
                    reason="late", step="test", peer="worker"
                )
            await start(order)

        with mock.patch.object(self.worker, "start", side_effect=reject_first):
            await self.order(fake_worker.start_orders(make.ref()))
            await self.until(lambda: self.worker.running)
        self.assertEqual(len(ends), 2)
        self.assertGreater(ends[1], ends[0])
        self.assertGreater(polls[1], polls[0])
        self.assertEqual(self.outcomes(), [])

    async def test_late_order_is_sent_again_during_a_long_poll(self) -> None:
        """Guards against giving back a run because the known clock is behind.

        The last answer was processed late, and the next poll waits for an end.
        """
        behind = [1900]
        poll, now = self.worker.poll, self.worker.time.now
        waiting, go_on = asyncio.Event(), asyncio.Event()

        async def poll_slowly(**fields: Any) -> worker_port.WorkerView:
            if fields["wait_ms"] and len(self.worker.cursors) > polls + 2:
                waiting.set()
                await go_on.wait()
            return await poll(**fields)

        polls = len(self.worker.cursors)
        self.worker.time = mock.Mock(now=lambda: now() - behind[0])
        with mock.patch.object(self.worker, "poll", side_effect=poll_slowly):
            await asyncio.wait_for(waiting.wait(), fake_worker.WAIT_S)
            behind[0] = 0
            await self.order(fake_worker.start_orders(make.ref()))
            await self.until(lambda: self.worker.running or self.outcomes())
            go_on.set()
        self.assertEqual(self.outcomes(), [])


class RunLeaseTest(unittest.TestCase):
    """Tests that a lease expires on the worker before it does on the agent."""

    def test_slow_worker_clock_ends_the_lease_in_time(self) -> None:
        lease = run_lease.RunLease(longest_ms=1000)
        lease.record_clock(worker_ms=1000, received_ms=50_000)
        until = lease.end_on_worker(56_000)
        assert until is not None
        # Real time until a clock that is 2 % slow reaches the end of the lease.
        real_ms = (until - 1000) / 0.98
        self.assertLessEqual(real_ms, 6000)
        self.assertFalse(lease.expired(int(50_000 + real_ms)))
        self.assertTrue(lease.expired(56_000 + run_lease.STOP_MARGIN_MS + 1))

    def test_lease_of_an_earlier_agent_process_is_awaited(self) -> None:
        lease = run_lease.RunLease(longest_ms=10_000)
        self.assertFalse(lease.expired(50_000))
        lease.record_clock(worker_ms=1000, received_ms=50_000)
        # The lease may be counted on a clock that is 2 % slow.
        self.assertFalse(lease.expired(50_000 + int(10_000 / 0.98)))
        # Later answers don't extend the lease.
        lease.record_clock(worker_ms=6000, received_ms=55_000)
        longest_ms = int(10_000 / run_lease.MIN_CLOCK_RATE)
        self.assertTrue(
            lease.expired(50_000 + longest_ms + run_lease.STOP_MARGIN_MS + 1)
        )

    def test_lease_in_the_past_is_not_given(self) -> None:
        lease = run_lease.RunLease(longest_ms=1000)
        self.assertIsNone(lease.end_on_worker(1000))
        lease.record_clock(worker_ms=1000, received_ms=50_000)
        self.assertIsNone(lease.end_on_worker(49_000))

    def test_one_wrong_clock_changes_no_lease(self) -> None:
        """Guards against runs of a silent worker that are never given up."""
        lease = run_lease.RunLease(longest_ms=10_000)
        lease.record_clock(worker_ms=1000, received_ms=50_000)
        lease.record_clock(worker_ms=1500, received_ms=50_500)
        for wrong_ms in (3_600_000, 0):
            lease.record_clock(worker_ms=wrong_ms, received_ms=51_000)
            until = lease.end_on_worker(57_000)
            assert until is not None
            self.assertLessEqual(until, 8000)
            self.assertGreater(until, 7000)
            lease.record_clock(worker_ms=2500, received_ms=51_500)
        self.assertTrue(lease.expired(51_500 + 11_000))

    def test_lease_that_ended_before_an_answer_in_doubt_is_not_given(
        self,
    ) -> None:
        """Guards against a start on a grant that ended during a pause."""
        lease = run_lease.RunLease(longest_ms=10_000)
        lease.record_clock(worker_ms=1000, received_ms=50_000)
        lease.record_clock(worker_ms=1010, received_ms=56_001)
        self.assertTrue(lease.in_doubt)
        self.assertIsNone(lease.end_on_worker(56_000))

    def test_wrong_first_clock_is_corrected(self) -> None:
        lease = run_lease.RunLease(longest_ms=10_000)
        lease.record_clock(worker_ms=3_600_000, received_ms=50_000)
        lease.end_on_worker(56_000)
        for elapsed_ms in (500, 600, 700):
            lease.record_clock(
                worker_ms=1000 + elapsed_ms, received_ms=50_000 + elapsed_ms
            )
        until = lease.end_on_worker(56_700)
        assert until is not None
        self.assertLessEqual(until, 7700)
        self.assertTrue(lease.expired(50_700 + 11_000))

    def test_clock_that_has_jumped_is_taken_from_two_answers(self) -> None:
        """Guards against leases that end while the worker answers."""
        for jumped_ms in (20_000, -20_000):
            with self.subTest(jumped_ms):
                lease = run_lease.RunLease(longest_ms=10_000)
                lease.record_clock(worker_ms=30_000, received_ms=50_000)
                lease.end_on_worker(56_000)
                for elapsed_ms in (500, 600):
                    lease.record_clock(
                        worker_ms=30_000 + jumped_ms + elapsed_ms,
                        received_ms=50_000 + elapsed_ms,
                    )
                until = lease.end_on_worker(56_600)
                assert until is not None
                self.assertGreater(until, 30_000 + jumped_ms + 6000)
                self.assertTrue(lease.expired(50_600 + 11_000))


if __name__ == "__main__":
    unittest.main()
