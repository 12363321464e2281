"""Tests when the leader gives up the runs of a silent worker.

Guards against a leader that was paused and takes its own pause for the silence
of the agents.
"""

import unittest
from unittest import mock

from bamboorouter import errors
from bamboorouter.coordination.jobs import observation_recorder
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from tests import job_builders as make
from tests import test_job_dispatcher

TERM_MS = worker_table.LEASE_MS + worker_table.LEASE_ALLOWANCE_MS
STEP_MS = worker_table.MAX_OBSERVATION_GAP_MS


class ObservedTimeTest(unittest.TestCase):
    """A lease counts only while the leader observes its workers."""

    def setUp(self) -> None:
        self.now = 1000
        self.table = worker_table.WorkerTable()
        self.table.reset(self.now)
        self.agent = test_job_dispatcher.FakeAgent("w1")
        self.report()

    def report(self) -> None:
        self.table.update(self.agent.report(), mock.Mock(), self.now)

    def observe(self, duration_ms: int) -> None:
        """Observes the workers without a pause."""
        end_ms = self.now + duration_ms
        while self.now < end_ms:
            self.now = min(self.now + STEP_MS, end_ms)
            self.table.observe(self.now)

    def pause(self, duration_ms: int) -> None:
        self.now += duration_ms
        self.table.observe(self.now)

    def left_ms(self, worker: str = "w1") -> int:
        return self.table.lease_end_ms(worker) - self.now

    def test_lease_of_a_silent_worker_ends_after_its_term(self) -> None:
        self.observe(TERM_MS)
        self.assertEqual(self.left_ms(), 0)
        self.assertEqual(self.left_ms("unknown"), 0)

    def test_pause_of_the_leader_does_not_count(self) -> None:
        self.observe(2000)
        self.pause(60_000)
        self.assertEqual(self.left_ms(), TERM_MS - 2000)
        self.assertEqual(self.left_ms("unknown"), TERM_MS - 2000)

    def test_repeated_pauses_leave_the_term_in_observed_time(self) -> None:
        for _ in range(TERM_MS // 1000):
            self.observe(1000)
            self.pause(5000)
        self.observe(TERM_MS % 1000)
        self.assertEqual(self.left_ms(), 0)

    def test_pause_before_a_report_does_not_count_for_it(self) -> None:
        self.pause(5000)
        self.report()
        self.assertEqual(self.left_ms(), TERM_MS)

    def test_report_that_is_read_first_after_a_pause_does_not_hide_it(
        self,
    ) -> None:
        self.observe(2000)
        other = test_job_dispatcher.FakeAgent("w2")
        self.now += 60_000
        self.table.update(other.report(), mock.Mock(), self.now)
        self.table.observe(self.now)
        self.assertEqual(self.left_ms(), TERM_MS - 2000)
        self.assertEqual(self.left_ms("w2"), TERM_MS)

    def test_election_starts_the_count_anew(self) -> None:
        self.pause(5000)
        self.now += 5000
        self.table.reset(self.now)
        self.assertEqual(self.left_ms(), TERM_MS)


class PausedLeaderTest(test_job_dispatcher.DispatcherCase):
    """A leader that was paused reads the waiting reports first."""

    async def test_paused_leader_gives_up_no_worker_whose_report_waits(
        self,
    ) -> None:
        first = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(first.started)
        self.time.advance(10 * worker_table.LEASE_MS)
        # The pass runs before the reports that wait in the sockets are read.
        await self.settle()
        reply = await self.report(first, runs=(self.held_run(make.ref()),))
        self.assertEqual(reply.orders.stops, ())
        self.assertEqual(len(self.log.machine.stepped.on_worker["w1"]), 1)

    async def test_time_without_a_leader_lease_does_not_count(self) -> None:
        """Without it, the reports of the agents are rejected."""
        first = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(first.started)
        self.log.has_lease = False
        await self.pass_time(2 * worker_table.LEASE_MS)
        self.log.has_lease = True
        await self.settle()
        self.assertEqual(len(self.log.machine.stepped.on_worker["w1"]), 1)
        await self.pass_time(TERM_MS + 1)
        self.assertEqual(len(self.log.machine.stepped.on_worker["w1"]), 0)

    async def test_worker_that_stays_silent_after_a_pause_is_given_up(
        self,
    ) -> None:
        first = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(first.started)
        self.time.advance(10 * worker_table.LEASE_MS)
        await self.settle()
        await self.pass_time(TERM_MS + 1)
        self.assertEqual(len(self.log.machine.stepped.on_worker["w1"]), 0)

    async def test_run_that_was_slow_before_a_pause_is_not_moved(self) -> None:
        agent = await self.connect_agent("w1")
        await self.submit("a", make.step(checkpoints=True, fills=True))
        await self.until(agent.started)
        slow_run = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, pace=10
        )
        await self.report(agent, runs=(slow_run,))
        await self.settle()
        self.time.advance(2 * worker_table.SILENT_MS)
        await self.settle()
        self.assertEqual(agent.stopped(), [])
        await self.report(agent, runs=(slow_run,))
        await self.until(agent.stopped)

    async def test_deposed_leader_grants_no_lease_after_a_commit(self) -> None:
        """The leader lease may end while the ends in a report are committed."""
        agent = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(agent.started)
        self.lose_lease_with(job_commands.EndRuns)
        with self.assertRaises(errors.NotLeaderError):
            await self.report(agent, ends=self.run_ends(make.ref(), "failed"))

    async def test_deposed_leader_pushes_no_orders_after_a_commit(self) -> None:
        agent = await self.connect_agent("w1")
        self.lose_lease_with(job_commands.StartRuns)
        await self.submit("a")
        await self.until(lambda: not self.log.has_lease)
        await self.settle()
        self.assertEqual(agent.orders, [])

    async def test_deposed_leader_ends_its_pass(self) -> None:
        """A pass that was paused must not act on what it knew before."""
        agent = await self.connect_agent("w1")
        await self.submit("a", make.step(checkpoints=True))
        await self.until(agent.started)
        self.lose_lease_with(job_commands.NoteCheckpoints)
        self.time.advance(observation_recorder.RECORD_PERIOD_MS)
        run = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, checkpoint="half"
        )
        await self.report(agent, draining=True, runs=(run,))
        await self.until(lambda: not self.log.has_lease)
        await self.settle()
        self.assertEqual(agent.stopped(), [])

    def lose_lease_with(self, command: type) -> None:
        """Ends the leader lease when the next command of a type is applied."""

        def on_applied(_: int) -> None:
            if isinstance(self.log.history[-1][0], command):
                self.log.has_lease = False

        self.log.applied.subscribe(on_applied)


if __name__ == "__main__":
    unittest.main()
