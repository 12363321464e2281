"""Tests the leader's decisions on jobs with steps.

Guards against lost orders, a task that is restarted while its previous run may
continue, and wrong refusals of jobs.
"""

import asyncio
from collections.abc import Callable
import functools
from typing import Any
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.coordination.jobs import job_handler
from bamboorouter.coordination.jobs import observation_recorder
from bamboorouter.coordination.jobs import recent_submissions
from bamboorouter.coordination.jobs import run_monitor
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import control_fakes
from tests import job_builders as make
from tests import replica_site

WAIT_S = 5.0


class FakeAgent:
    """An agent as the leader sees it.

    Attributes:
        name: Name of the agent's worker.
        session: Number of the worker's session.
        sequence: Sequence number of the last report.
        orders: All orders pushed to the agent.
        link: Link on which the agent reports.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.session = 0
        self.sequence = 0
        self.orders: list[job_messages.RunOrders] = []
        self.link = mock.Mock(closed=asyncio.Event(), push=self._push)

    async def _push(self, orders: job_messages.RunOrders) -> None:
        self.orders.append(orders)

    def started(self) -> list[jobs.TaskRef]:
        """Returns the tasks of all pushed start orders."""
        return [s.task for orders in self.orders for s in orders.starts]

    def has_started(self, count: int) -> bool:
        return len(self.started()) == count

    def stopped(self) -> list[jobs.TaskRef]:
        """Returns the tasks of all pushed stop orders."""
        return [s.task for orders in self.orders for s in orders.stops]

    def report(self, **fields: Any) -> job_messages.WorkerReport:
        self.sequence += 1
        values = {
            "worker": self.name,
            "life": f"{self.name}@1",
            "session": self.session,
            "sequence": self.sequence,
            "service": "desk",
            "zone": "z1",
            "labels": ("a",),
            "rack": "r1",
            "room": make.CAPACITY,
            "draining": False,
            "reachable": True,
            "runs": (),
            "ends": (),
            **fields,
        }
        return job_messages.WorkerReport(**values)


class DispatcherCase(unittest.IsolatedAsyncioTestCase):
    """A dispatcher with a log that applies each command at once."""

    async def asyncSetUp(self) -> None:
        self.time = clock.ManualClock(monotonic_ms=100_000)
        self.log = control_fakes.FakeLog(time=self.time)
        self.dispatcher = dispatcher.JobDispatcher(
            log=self.log, time=self.time, table=worker_table.WorkerTable()
        )
        self.job_handler = job_handler.JobHandler(
            log=self.log,
            time=self.time,
            admission_policy=admission.Admission(
                worker_capacities=self.dispatcher.capacities.reported,
                largest_capacities=self.dispatcher.capacities.largest,
            ),
        )
        self.log.apply(
            job_commands.PutConfiguration(configuration=make.configuration())
        )
        self.dispatcher.start()
        # The leader treats its table of workers as complete from now on.
        self.time.advance(worker_table.SILENT_MS)
        self.addAsyncCleanup(self.dispatcher.stop)

    async def connect_agent(self, name: str = "w1") -> FakeAgent:
        agent = FakeAgent(name)
        session = await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(
                worker=name, life=f"{name}@1", room=make.CAPACITY
            )
        )
        agent.session = session.number
        await self.report(agent)
        return agent

    async def report(
        self, agent: FakeAgent, **fields: Any
    ) -> job_messages.WorkerReply:
        reply = await self.dispatcher.report(agent.report(**fields), agent.link)
        self.dispatcher.wake()
        return reply

    async def submit(self, job: str, *steps: jobs.Step) -> str:
        answer = await self.job_handler.submit(self.submission(job, *steps))
        return answer.outcome

    def submission(
        self, job: str, *steps: jobs.Step
    ) -> job_messages.SubmitSteps:
        return job_messages.SubmitSteps(
            host="desk.example",
            path=f"/forms/{job}",
            spec=jobs.JobSpec(spec="work", steps=steps or (make.step(),)),
        )

    async def cancel(self, job: str) -> str:
        answer = await self.job_handler.cancel(
            job_messages.CancelJobSteps(
                host="desk.example", path=f"/forms/{job}"
            )
        )
        return answer.outcome

    def waiting(self) -> int:
        """Returns the length of the queue that callers are told."""
        return self.job_handler.read(
            job_messages.ReadJob(host="desk.example", path="/forms/")
        ).waiting

    async def until(self, condition: Callable[[], Any]) -> None:
        await replica_site.wait_until(condition, timeout_s=WAIT_S)

    async def settle(self) -> None:
        """Lets the dispatcher make some passes."""
        for _ in range(3):
            self.dispatcher.wake()
            await asyncio.sleep(0.01)

    async def pass_time(self, ms: int) -> None:
        """Lets time pass for a leader that isn't paused."""
        while ms > 0:
            step_ms = min(ms, worker_table.MAX_OBSERVATION_GAP_MS)
            self.time.advance(step_ms)
            await self.settle()
            ms -= step_ms

    def held_run(self, task: jobs.TaskRef, attempt: int = 1) -> Any:
        return job_messages.HeldRun(task=task, attempt=attempt, running=True)

    def run_ends(
        self, task: jobs.TaskRef, how: jobs.RunOutcome, attempt: int = 1
    ) -> tuple[jobs.RunEnd, ...]:
        return (jobs.RunEnd(task=task, attempt=attempt, how=how),)


class OrdersTest(DispatcherCase):
    """Orders reach the agent, also if a push or a result is lost."""

    async def test_order_is_pushed_once_the_decision_is_committed(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        job = self.log.machine.stepped.jobs["a"]
        self.assertTrue(job.assigned())
        self.assertEqual(job.state(), "queued")

    async def test_lost_order_comes_with_the_next_report(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        reply = await self.report(agent)
        self.assertEqual([s.task for s in reply.orders.starts], [make.ref()])
        reply = await self.report(agent, runs=(self.held_run(make.ref()),))
        self.assertEqual(reply.orders.starts, ())

    async def test_decision_with_a_lost_result_is_ordered_later(self) -> None:
        agent = await self.connect_agent()
        # The results of the submission and of the assignment are lost.
        self.log.lose_results = 2
        await self.assert_result_unknown(self.submit("a"))
        await self.settle()
        reply = await self.report(agent)
        self.assertEqual([s.task for s in reply.orders.starts], [make.ref()])

    async def assert_result_unknown(self, call: Any) -> None:
        with self.assertRaises(errors.UnknownResultError):
            await call

    async def test_rejected_start_is_repeated_after_growing_pauses(
        self,
    ) -> None:
        """Guards against a loop of orders that a worker keeps rejecting."""
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        for attempt in (1, 2):
            await self.report(
                agent, ends=self.run_ends(make.ref(), "rejected", attempt)
            )
            await self.settle()
            self.assertEqual(len(agent.started()), attempt)
            self.time.advance(run_monitor.REJECTION_BACKOFF_MS * attempt)
            self.dispatcher.wake()
            await self.until(functools.partial(agent.has_started, attempt + 1))

    async def test_run_that_is_not_assigned_is_stopped(self) -> None:
        agent = await self.connect_agent()
        reply = await self.report(
            agent, runs=(self.held_run(make.ref("gone")),)
        )
        self.assertEqual(
            [stop.task for stop in reply.orders.stops], [make.ref("gone")]
        )

    async def test_cancelled_job_is_stopped_and_starts_nothing(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a", make.step(2))
        await self.until(lambda: len(agent.started()) == 2)
        await self.job_handler.cancel(
            job_messages.CancelJobSteps(host="desk.example", path="/forms/a")
        )
        await self.until(lambda: len(agent.stopped()) == 2)
        await self.report(agent, ends=self.run_ends(make.ref(), "stopped"))
        await self.settle()
        self.assertEqual(len(agent.started()), 2)

    async def test_report_of_an_earlier_session_changes_nothing(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        await self.connect_agent()
        reply = await self.report(agent, ends=self.run_ends(make.ref(), "done"))
        self.assertFalse(reply.known)
        self.assertEqual(self.log.machine.stepped.jobs["a"].state(), "queued")


class LossTest(DispatcherCase):
    """A task is restarted only if its previous run has certainly ended."""

    async def test_silent_agent_loses_its_runs_after_the_lease(self) -> None:
        first = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(first.started)
        second = await self.connect_agent("w2")
        await self.pass_time(worker_table.LEASE_MS)
        await self.report(second)
        await self.settle()
        self.assertEqual(second.started(), [])
        self.time.advance(worker_table.LEASE_ALLOWANCE_MS + 1)
        await self.report(second)
        await self.until(second.started)

    async def test_progress_outlives_the_worker_and_the_leader(self) -> None:
        """Reproduces a power loss on all machines."""
        agent = await self.connect_agent("w1")
        await self.submit("a", make.step(checkpoints=True))
        await self.until(agent.started)
        run = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, checkpoint="half"
        )
        await self.report(agent, runs=(run,))
        self.time.advance(observation_recorder.RECORD_PERIOD_MS)
        await self.report(agent, runs=(run,))
        await self.settle()
        self.log.elect_again()
        await self.dispatcher.open_session(
            job_messages.OpenWorkerSession(
                worker="w1", life="w1@2", room=make.CAPACITY
            )
        )
        second = await self.connect_agent("w2")
        await self.until(second.started)
        (start,) = second.orders[0].starts
        self.assertEqual((start.attempt, start.checkpoint), (2, "half"))

    async def test_what_was_learned_about_images_outlives_the_leader(
        self,
    ) -> None:
        """Reproduces a rolling restart of the replicas at high load."""
        await self.settle()
        samples = [
            image_interference.UtilizationSample(
                image="site", utilization=utilization, loads={"batch": load}
            )
            for utilization, load in ((0.3, 0.0), (0.7, 2.0))
        ]
        self.dispatcher.interference.learn(*samples)
        learned_weight = self.dispatcher.interference.weight("site", "batch")
        self.time.advance(observation_recorder.RECORD_PERIOD_MS)
        await self.settle()
        new_leader = dispatcher.JobDispatcher(
            log=self.log, time=self.time, table=worker_table.WorkerTable()
        )
        agent = FakeAgent("w1")
        await new_leader.report(agent.report(), agent.link)
        self.assertNotAlmostEqual(
            learned_weight, image_interference.INITIAL_WEIGHT, places=2
        )
        self.assertAlmostEqual(
            new_leader.interference.weight("site", "batch"),
            learned_weight,
            places=3,
        )

    async def test_new_leader_waits_for_leases_of_the_earlier_one(
        self,
    ) -> None:
        first = await self.connect_agent("w1")
        await self.submit("a")
        await self.until(first.started)
        self.time.advance(worker_table.LEASE_MS)
        self.log.elect_again()
        second = await self.connect_agent("w2")
        await self.settle()
        self.assertEqual(second.started(), [])
        await self.pass_time(
            worker_table.LEASE_MS + worker_table.LEASE_ALLOWANCE_MS + 1
        )
        await self.report(second)
        await self.until(second.started)

    async def test_without_a_valid_lease_nothing_is_decided(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        self.log.has_lease = False
        self.time.advance(10 * worker_table.LEASE_MS)
        await self.settle()
        self.assertEqual(len(self.log.machine.stepped.on_worker["w1"]), 1)

    async def test_draining_worker_gives_up_what_can_go_on_elsewhere(
        self,
    ) -> None:
        agent = await self.connect_agent()
        checkpointing = make.step(checkpoints=True)
        lasting = make.step(lasting=True)
        await self.submit("a", checkpointing, make.step(), lasting)
        await self.until(lambda: len(agent.started()) == 3)
        await self.report(
            agent,
            draining=True,
            runs=tuple(self.held_run(make.ref(step=s)) for s in range(3)),
        )
        await self.until(lambda: len(agent.stopped()) == 2)
        self.assertEqual(
            sorted(agent.stopped()), [make.ref(step=0), make.ref(step=2)]
        )

    async def test_worker_whose_agent_was_frozen_does_not_count_as_slow(
        self,
    ) -> None:
        """Guards against moving runs that progressed while unobserved."""
        agents = [await self.connect_agent(name) for name in ("w1", "w2", "w3")]
        first = agents[0]
        await self.submit("a", make.step(12))
        await self.until(lambda: sum(len(a.started()) for a in agents) == 12)
        self.time.advance(500)
        for agent in agents:
            await self.report(agent, runs=self.half_done_runs(agent))
        # The first agent freezes, then reports what it saw before.
        self.time.advance(2000)
        stale_runs = self.half_done_runs(first)
        await self.report(first, runs=stale_runs, view_age_ms=2000)
        await self.settle()
        self.assertEqual(first.stopped(), [])
        # Runs that make no progress while they are observed are moved.
        self.time.advance(dispatcher.MAX_PASS_INTERVAL_MS)
        await self.report(first, runs=stale_runs)
        await self.until(first.stopped)

    def half_done_runs(
        self, agent: FakeAgent
    ) -> tuple[job_messages.HeldRun, ...]:
        return tuple(
            job_messages.HeldRun(
                task=task, attempt=1, running=True, progress=50
            )
            for task in agent.started()
        )

    async def test_slowed_run_goes_on_elsewhere(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a", make.step(checkpoints=True, fills=True))
        await self.until(agent.started)
        other_agent = await self.connect_agent("w2")
        slow_run = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, pace=10
        )
        self.time.advance(dispatcher.MAX_PASS_INTERVAL_MS)
        await self.report(agent, runs=(slow_run,))
        await self.settle()
        self.assertEqual(agent.stopped(), [])
        self.time.advance(run_monitor.MIN_SLOW_MS)
        await self.report(other_agent)
        await self.report(agent, runs=(slow_run,))
        await self.until(agent.stopped)
        self.assertEqual(agent.stopped(), [make.ref()])


class DeskTest(DispatcherCase):
    """Answers to calls on jobs, queues and configurations."""

    async def test_job_is_one_job_however_often_it_is_sent(self) -> None:
        await self.connect_agent()
        for _ in range(3):
            self.assertEqual(await self.submit("a"), "ok")
        self.assertEqual(self.log.machine.stepped.accepted_count, 1)

    async def test_job_that_fits_no_worker_is_refused(self) -> None:
        await self.connect_agent()
        oversized_step = make.step(need=common.Resources(millicores=65_000))
        self.assertEqual(await self.submit("a", oversized_step), "refused")
        self.assertEqual(self.log.machine.stepped.jobs, {})
        # An accepted job is never refused when it is sent again.
        await self.submit("b")
        self.assertEqual(await self.submit("b", oversized_step), "ok")

    async def test_queue_that_needs_advice_is_refused(self) -> None:
        """Workers reject starts without a ticket: the job would never run."""
        await self.connect_agent()
        await self.job_handler.configure(
            job_messages.OfferConfiguration(
                configuration=make.configuration(2, make.queue(advised=True))
            )
        )
        self.assertEqual(await self.submit("a"), "refused")
        self.assertEqual(self.log.machine.stepped.jobs, {})

    async def test_flood_is_refused_once_it_would_end_too_late(self) -> None:
        """Reproduces an unbounded flood of heavy jobs."""
        await self.connect_agent()
        heavy_step = make.step(
            64, estimate_ms=2000, need=make.need(1000, 1000), fills=True
        )
        outcomes = [await self.submit(f"{n:x}", heavy_step) for n in range(20)]
        # The target is 2 * 2 s + 250 ms, and each job occupies the worker for
        # 2 s. A result is useful until three times the target.
        self.assertEqual(outcomes[:7], ["ok"] * 7)
        self.assertEqual(set(outcomes[7:]), {"refused"})
        answer = await self.job_handler.submit(
            self.submission("ff", heavy_step)
        )
        # By then enough work is done for a new job to meet its target. A random
        # factor of up to 1.5 spreads the retries.
        self.assertGreaterEqual(answer.retry_after_ms, 14_000 - 4250)
        self.assertLessEqual(answer.retry_after_ms, 1.5 * 14_000)

    async def test_new_leader_refuses_nothing_before_it_knows_the_workers(
        self,
    ) -> None:
        """Reproduces the first second after a power loss on all machines."""
        agents = [await self.connect_agent(f"w{number}") for number in range(4)]
        heavy_step = make.step(64, estimate_ms=2000, fills=True)
        for number in range(7):
            await self.submit(f"{number:x}", heavy_step)
        self.log.elect_again()
        await self.report(agents[0])
        self.assertEqual(await self.submit("aa", heavy_step), "ok")
        oversized_step = make.step(need=common.Resources(millicores=65_000))
        self.assertEqual(await self.submit("bb", oversized_step), "ok")
        self.time.advance(worker_table.SILENT_MS)
        await self.report(agents[0])
        self.assertEqual(await self.submit("cc", heavy_step), "refused")
        self.assertEqual(await self.submit("dd", oversized_step), "refused")

    async def test_burst_that_can_be_served_late_is_accepted(self) -> None:
        """Reproduces a burst of twice the usual load beside lasting tasks.

        One job declares far too short an estimate and must not be refused for
        it.
        """
        await self.connect_agent()
        lasting = make.step(4, lasting=True, need=make.need(13_000, 1000))
        await self.submit("aa", lasting)
        heavy_step = make.step(
            16, estimate_ms=4000, need=make.need(4000, 1000), fills=True
        )
        outcomes = [await self.submit(f"{n:x}", heavy_step) for n in range(4)]
        underestimated_step = make.step(
            16, estimate_ms=300, need=make.need(4000, 1000), fills=True
        )
        outcomes.append(await self.submit("bb", underestimated_step))
        self.assertEqual(set(outcomes), {"ok"})

    async def test_job_whose_proposal_is_under_way_is_not_refused(
        self,
    ) -> None:
        """An entry resends a job while its first proposal may still commit."""
        await self.connect_agent()
        heavy_step = make.step(64, estimate_ms=60_000, fills=True)
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit("a", heavy_step)
        self.log.postpones = False
        outcomes = [await self.submit(f"f{n}", heavy_step) for n in range(10)]
        self.assertIn("refused", outcomes)
        self.log.has_lease = False
        with self.assertRaises(errors.NotLeaderError):
            await self.submit("a", heavy_step)
        self.log.has_lease = True
        self.assertEqual(await self.submit("a", heavy_step), "ok")
        self.log.apply_postponed()
        self.assertEqual(await self.submit("a", heavy_step), "ok")

    async def test_refused_proposal_doesnt_remain_under_way(self) -> None:
        """Guards against a job that evades the admission when it is resent."""
        await self.connect_agent()
        heavy_step = make.step(64, estimate_ms=60_000, fills=True)
        refusal = errors.RefusedError(code="log_busy", text="", step="propose")
        with (
            mock.patch.object(self.log, "propose", side_effect=refusal),
            self.assertRaises(errors.RefusedError),
        ):
            await self.submit("a", heavy_step)
        outcomes = [await self.submit(f"f{n}", heavy_step) for n in range(10)]
        self.assertIn("refused", outcomes)
        self.assertEqual(await self.submit("a", heavy_step), "refused")

    async def test_job_is_cancelled_while_its_proposal_is_under_way(
        self,
    ) -> None:
        """Guards against a job that runs after its cancellation was answered."""
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit("a")
        with self.assertRaises(errors.UnknownResultError):
            await self.cancel("a")
        self.log.apply_postponed()
        job = self.log.machine.stepped.jobs["a"]
        self.assertEqual(job.state(), "cancelled")

    async def test_cancelled_job_whose_proposal_was_lost_is_unknown(
        self,
    ) -> None:
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit("a")
        self.log.postpones = False
        answer = await self.job_handler.cancel(
            job_messages.CancelJobSteps(host="desk.example", path="/forms/a")
        )
        self.assertEqual(answer.outcome, "no_job")

    async def test_refusal_holds_while_copies_may_arrive(self) -> None:
        """A copy of a refused job may arrive after the load has dropped."""
        await self.connect_agent()
        for estimate_ms in (5000, 200):
            heavy_step = make.step(64, estimate_ms=estimate_ms, fills=True)
            load_jobs = [f"{estimate_ms}{n:x}" for n in range(12)]
            for job in load_jobs:
                await self.submit(job, heavy_step)
            late_job = f"{estimate_ms}ff"
            answer = await self.job_handler.submit(
                self.submission(late_job, heavy_step)
            )
            self.assertEqual(answer.outcome, "refused")
            for job in load_jobs:
                await self.cancel(job)
            held_ms = min(
                recent_submissions.MAX_DUPLICATE_DELAY_MS, answer.retry_after_ms
            )
            self.time.advance(held_ms - 1)
            repeated = await self.job_handler.submit(
                self.submission(late_job, heavy_step)
            )
            self.assertEqual(repeated.outcome, "refused")
            self.assertEqual(
                repeated.retry_after_ms, answer.retry_after_ms - held_ms + 1
            )
            self.time.advance(1)
            self.assertEqual(await self.submit(late_job, heavy_step), "ok")
            await self.cancel(late_job)

    async def test_flood_refuses_nothing_that_lasts(self) -> None:
        await self.connect_agent()
        heavy_step = make.step(64, estimate_ms=60_000, fills=True)
        for number in range(5):
            await self.submit(f"{number:x}", heavy_step)
        self.assertEqual(await self.submit("aa", make.step(lasting=True)), "ok")

    async def test_unknown_queue_and_job_are_told_apart(self) -> None:
        def read(path: str) -> str:
            return self.job_handler.read(
                job_messages.ReadJob(host="desk.example", path=path)
            ).outcome

        self.assertEqual(read("/other/a"), "no_queue")
        self.assertEqual(read("/forms/a"), "no_job")
        self.assertEqual(read("/forms/"), "ok")

    async def test_length_of_a_queue_counts_jobs_without_a_start(self) -> None:
        await self.submit("a")
        await self.submit("b")
        self.assertEqual(self.waiting(), 2)
        agent = await self.connect_agent()
        await self.until(lambda: len(agent.started()) == 2)
        # The orders may still be rejected or get lost.
        self.assertEqual(self.waiting(), 2)
        await self.report(agent, runs=(self.held_run(make.ref("a")),))
        await self.pass_time(observation_recorder.RECORD_PERIOD_MS)
        self.assertEqual(self.waiting(), 1)
        await self.report(agent, ends=self.run_ends(make.ref("b"), "done"))
        self.assertEqual(self.waiting(), 0)

    async def test_older_configuration_is_acknowledged_and_ignored(
        self,
    ) -> None:
        for version in (5, 3, 5):
            answer = await self.job_handler.configure(
                job_messages.OfferConfiguration(
                    configuration=make.configuration(version)
                )
            )
            self.assertEqual(answer.version, 5)
        current = self.job_handler.configuration(with_document=True)
        self.assertEqual(current.document, b"version 5")


if __name__ == "__main__":
    unittest.main()
