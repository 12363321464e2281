"""Guards against scheduling decisions that violate a guarantee.

The violations are overcommitment (P1), a task that runs in two places (P2),
evicted work that is lost or resumed twice (P3) and accepted changes that revert
(P9). Heartbeats are lost, late or repeated, and leaders change.
"""

import unittest

from bamboorouter import clock
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from tests import control_fakes as fakes
from tests import machine_commands as make

# The leader waits this long after the end of a lease: 500 ms, and 2 % of the
# lease term for clock drift.
CLOCK_ALLOWANCE_MS = 500 + fakes.SERVICE_LEASE_MS // 50


class SchedulerCase(unittest.IsolatedAsyncioTestCase):
    """A scheduler on a fake log that applies each command immediately."""

    settle_ms = 0

    async def asyncSetUp(self) -> None:
        self.clock = clock.ManualClock(wall_ms=make.WALL_MS)
        self.log = fakes.FakeLog(time=self.clock)
        self.leader = self.make_leader()
        self.leader.start()

    async def asyncTearDown(self) -> None:
        await self.leader.stop()

    def make_leader(self) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            log=self.log,
            time=self.clock,
            service_lease_ms=fakes.SERVICE_LEASE_MS,
            batch_lease_ms=fakes.BATCH_LEASE_MS,
            settle_ms=self.settle_ms,
        )

    def agent(self, name: str, **fields: object) -> fakes.FakeAgent:
        return fakes.FakeAgent(name, leader=self.leader, **fields)  # type: ignore[arg-type]

    def task(self, name: str) -> object:
        return self.log.machine.assignments.tasks[name]

    def status(self, name: str) -> str:
        task = self.log.machine.assignments.tasks.get(name)
        return task.status if task is not None else "removed"

    def worker_of(self, name: str) -> str:
        """Returns the worker that a task is assigned to."""
        return self.log.machine.assignments.tasks[name].worker

    async def exchange_heartbeats(
        self, *agents: fakes.FakeAgent, beats: int = 3
    ) -> None:
        """Runs rounds of heartbeats and leader passes, one a second."""
        for _ in range(beats):
            self.clock.advance(1000)
            for agent in agents:
                await agent.send_heartbeat()
            await self.leader.run_pass()


class AssignmentTest(SchedulerCase):
    """Waiting tasks are assigned to workers within their capacity."""

    async def test_tasks_start_and_fill_no_worker_beyond_capacity(
        self,
    ) -> None:
        first, second = self.agent("w1"), self.agent("w2")
        self.log.apply(make.sheet(1, make.row("job", count=12)))
        await self.exchange_heartbeats(first, second)
        self.assertEqual((len(first.running()), len(second.running())), (4, 4))
        reason = self.leader.waiting_reasons["job"]
        self.assertIn("processors", reason)

    async def test_urgent_rows_go_first_then_teams_below_their_share(
        self,
    ) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(
            make.sheet(
                1,
                make.row("late", urgency=7, owner="a", count=4),
                make.row("rich", urgency=5, owner="a", place=1, count=4),
                make.row("poor", urgency=5, owner="b", place=9, count=4),
                make.row("now", urgency=1, owner="a", place=9, count=2),
            )
        )
        await self.exchange_heartbeats(agent)
        rows = sorted(name.partition("/")[0] for name in agent.running())
        # Row "now" uses 2 of 4 processors for team a, so team b is next.
        self.assertEqual(rows, ["now", "now", "poor", "poor"])
        assigned = [
            command
            for command, _ in self.log.history
            if isinstance(command, commands.Assign)
        ]
        self.assertEqual(assigned[0].reason.waiting, 14)

    async def test_instances_spread_over_zones_then_racks(self) -> None:
        agents = [
            self.agent(f"w{zone}{rack}{n}", zone=zone, rack=rack)
            for zone in "ab"
            for rack in ("r1", "r2")
            for n in range(2)
        ]
        for agent in agents:
            await agent.send_heartbeat()
        self.log.apply(make.sheet(1, make.service("web", count=4)))
        await self.leader.run_pass()
        places = [
            (worker.zone, worker.rack)
            for number in range(4)
            if (name := self.worker_of(f"web/{number}"))
            for worker in [self.log.machine.workers.by_name[name]]
        ]
        self.assertEqual(len(set(places)), 4)

    async def test_worker_that_is_gone_for_a_day_is_forgotten(self) -> None:
        absent, present = self.agent("w1", processors=8), self.agent("w2")
        await self.exchange_heartbeats(absent, present)
        self.clock.advance(24 * 3600 * 1000 - 3000)
        await self.exchange_heartbeats(present)
        names = list(self.log.machine.workers.by_name)
        self.assertEqual(names, ["w2"])
        await self.exchange_heartbeats(absent, present)
        self.assertEqual(len(self.log.machine.workers.by_name), 2)

    async def test_stray_task_counts_until_it_is_gone(self) -> None:
        agent = self.agent("w1", processors=4)
        unassigned = fakes.HeldTask(epoch=99, lease_end_ms=10**9)
        agent.tasks["job/0"] = unassigned
        agent.tasks["foreign/0"] = fakes.HeldTask(epoch=98, lease_end_ms=10**9)
        self.log.apply(make.sheet(1, make.row("job", count=4)))
        reply = await agent.send_heartbeat()
        self.assertEqual(
            [(o.task, o.epoch, o.action) for o in reply.orders],
            [("job/0", 99, "stop"), ("foreign/0", 98, "stop")],
        )
        self.assertEqual(reply.starts, ())
        await self.exchange_heartbeats(agent)
        self.assertEqual(len(agent.running()), 4)


class SettlingTest(SchedulerCase):
    """A new leader waits for the known workers before it assigns tasks.

    Otherwise the first worker with a heartbeat would get all waiting tasks.
    """

    settle_ms = 1200

    async def test_new_leader_waits_for_the_known_workers(self) -> None:
        agents = [self.agent(name, zone=name) for name in ("w1", "w2")]
        for agent in agents:
            await agent.send_heartbeat()
        self.clock.advance(1200)
        self.log.apply(make.sheet(1, make.service("web", count=2)))
        self.log.elect_again()
        await agents[0].send_heartbeat()
        await self.leader.run_pass()
        self.assertEqual(self.status("web/0"), "pending")
        await agents[1].send_heartbeat()
        await self.leader.run_pass()
        workers = {self.worker_of(f"web/{number}") for number in range(2)}
        self.assertEqual(workers, {"w1", "w2"})

    async def test_new_leader_does_not_wait_long_for_a_lost_worker(
        self,
    ) -> None:
        self.log.apply(make.register("gone"))
        self.log.apply(make.sheet(1, make.service("web")))
        self.log.elect_again()
        agent = self.agent("w1")
        self.clock.advance(1200)
        await agent.send_heartbeat()
        self.assertEqual(self.worker_of("web/0"), "w1")


class EvictionTest(SchedulerCase):
    """No more tasks are evicted than make room."""

    async def test_room_that_is_freed_during_a_pass_evicts_no_further_task(
        self,
    ) -> None:
        """The second eviction of two ends while a pass commits assignments."""
        agents = [self.agent("w1"), self.agent("w2")]
        job = make.row("job", count=8)
        self.log.apply(make.sheet(1, job))
        await self.exchange_heartbeats(*agents)
        self.log.apply(make.sheet(2, job, make.service("web", count=2)))
        first, second = (
            self.log.machine.assignments.worker_tasks(agent.name)[0]
            for agent in agents
        )
        for task in (first, second):
            self.log.apply(
                commands.EvictTask(
                    task=task.task, epoch=task.epoch, reason="makes room"
                )
            )
        self.log.elect_again()
        for agent in agents:
            await agent.send_heartbeat()
        confirmations = [
            commands.ConfirmEviction(
                task=task.task, epoch=task.epoch, checkpoint="c1"
            )
            for task in (first, second)
        ]
        self.log.apply(confirmations[0])
        self.log.followed_by[commands.Assign] = confirmations[1]
        for _ in range(2):
            await self.leader.run_pass()
        evicted = [
            command.task
            for command, _ in self.log.history
            if isinstance(command, commands.EvictTask)
        ]
        self.assertEqual(evicted, [first.task, second.task])
        workers = {self.worker_of(f"web/{number}") for number in range(2)}
        self.assertEqual(workers, {"w1", "w2"})


class LeaseTest(SchedulerCase):
    """A task is reassigned only once it can't run anywhere else (P2)."""

    async def start_service(self) -> tuple[fakes.FakeAgent, fakes.FakeAgent]:
        self.log.apply(make.sheet(1, make.service("web")))
        agent, other = self.agent("w1"), self.agent("w2")
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        self.assertEqual(agent.running(), {"web/0"})
        return agent, other

    async def test_silent_worker_loses_its_task_after_term_and_allowance(
        self,
    ) -> None:
        agent, other = await self.start_service()
        granted = self.clock.now()
        limit = granted + fakes.SERVICE_LEASE_MS + CLOCK_ALLOWANCE_MS
        while self.clock.now() < limit - 1:
            step = min(1000, limit - 1 - self.clock.now())
            self.clock.advance(step)
            await other.send_heartbeat()
            await self.leader.run_pass()
            self.assertEqual(self.worker_of("web/0"), "w1")
        self.clock.advance(1)
        await self.leader.run_pass()
        await other.send_heartbeat()
        self.assertEqual(self.log.outcomes("web/0"), ["lease_expired"])
        self.assertEqual(agent.running(), set())
        self.assertEqual(other.running(), {"web/0"})

    async def test_lost_answer_counts_as_a_grant(self) -> None:
        agent, other = await self.start_service()
        self.clock.advance(5000)
        await agent.send_heartbeat(lose_reply=True)
        self.clock.advance(fakes.SERVICE_LEASE_MS + CLOCK_ALLOWANCE_MS - 1)
        await other.send_heartbeat()
        self.assertEqual(self.worker_of("web/0"), "w1")

    async def test_new_leader_counts_all_leases_from_its_election(
        self,
    ) -> None:
        _, other = await self.start_service()
        self.clock.advance(fakes.SERVICE_LEASE_MS)
        self.log.elect_again()
        self.clock.advance(fakes.SERVICE_LEASE_MS + CLOCK_ALLOWANCE_MS - 1)
        await other.send_heartbeat()
        await self.leader.run_pass()
        self.assertEqual(self.worker_of("web/0"), "w1")
        self.clock.advance(1)
        await self.leader.run_pass()
        self.assertEqual(self.log.outcomes("web/0"), ["lease_expired"])

    async def test_returning_worker_is_told_to_stop_the_old_epoch(
        self,
    ) -> None:
        agent, other = await self.start_service()
        agent.tasks["web/0"].lease_end_ms = 10**9  # The agent's clock is wrong.
        self.clock.advance(fakes.SERVICE_LEASE_MS + CLOCK_ALLOWANCE_MS)
        await self.leader.run_pass()
        await other.send_heartbeat()
        reply = await agent.send_heartbeat()
        self.assertEqual(reply.renewals, ())
        self.assertEqual([o.action for o in reply.orders], ["stop"])

    async def test_assignment_that_was_never_sent_moves_at_once(self) -> None:
        agent, other = self.agent("w1"), self.agent("w2")
        await agent.send_heartbeat()
        self.log.apply(make.sheet(1, make.service("web")))
        await self.leader.run_pass()
        self.assertEqual(self.worker_of("web/0"), "w1")
        self.clock.advance(3000)
        await other.send_heartbeat()
        await self.leader.run_pass()
        await other.send_heartbeat()
        self.assertEqual(other.running(), {"web/0"})

    async def test_no_lease_is_granted_without_a_valid_leader_lease(
        self,
    ) -> None:
        agent, _ = await self.start_service()
        self.log.has_lease = False
        self.assertIsNone(
            await self.leader.heartbeat(agent.message(), agent.link)
        )

    async def test_old_and_repeated_heartbeats_grant_and_end_nothing(
        self,
    ) -> None:
        self.log.apply(make.sheet(1, make.service("web")))
        agent = self.agent("w1")
        early, link = agent.message(), agent.link
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        reply = await self.leader.heartbeat(early, link)
        assert reply is not None
        self.assertEqual((reply.renewals, reply.starts), ((), ()))
        agent.fields["incarnation"], agent.link = 2, object()
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        reply = await self.leader.heartbeat(early, link)
        assert reply is not None
        self.assertEqual((reply.renewals, reply.starts), ((), ()))
        self.assertEqual(self.status("web/0"), "assigned")

    async def test_start_order_is_repeated_until_the_agent_reports_it(
        self,
    ) -> None:
        self.log.apply(make.sheet(1, make.service("web")))
        agent = self.agent("w1")
        first = await agent.send_heartbeat(lose_reply=True)
        second = await agent.send_heartbeat()
        third = await agent.send_heartbeat()
        self.assertEqual(first.starts, second.starts)
        self.assertEqual(len(third.starts), 0)

    async def test_task_missing_after_it_was_reported_is_lost_at_once(
        self,
    ) -> None:
        agent, _ = await self.start_service()
        agent.tasks.clear()
        reply = await agent.send_heartbeat()
        self.assertEqual(self.log.outcomes("web/0"), ["lost"])
        self.assertEqual([s.task for s in reply.starts], ["web/0"])

    async def test_lost_result_of_an_assignment_starts_it_only_once(
        self,
    ) -> None:
        agent, other = self.agent("w1"), self.agent("w2")
        await agent.send_heartbeat()
        await other.send_heartbeat()
        self.log.apply(make.sheet(1, make.service("web")))
        self.log.lose_results = 1
        await self.exchange_heartbeats(agent, other)
        running = [*agent.running(), *other.running()]
        self.assertEqual(running, ["web/0"])


class LateHeartbeatTest(SchedulerCase):
    """Late heartbeats of a former incarnation end no task (P2)."""

    async def test_new_leader_ends_nothing_by_a_late_heartbeat(self) -> None:
        agent = self.agent("w1")
        late, late_link = agent.message(), agent.link
        agent.fields["incarnation"], agent.link = 2, object()
        self.log.apply(make.sheet(1, make.row("job", count=2)))
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        evicted = agent.tasks["job/1"]
        self.log.apply(
            commands.EvictTask(task="job/1", epoch=evicted.epoch, reason="r")
        )
        self.log.elect_again()
        # The late heartbeat lists neither task: it was sent before they
        # started.
        await self.leader.heartbeat(late, late_link)
        await agent.send_heartbeat()
        await self.leader.heartbeat(late, late_link)
        ends = self.log.outcomes("job/0") + self.log.outcomes("job/1")
        self.assertEqual(ends, [])
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        self.assertEqual(self.log.outcomes("job/0"), [])
        self.assertIn("job/0", agent.running())

    async def test_epoch_is_not_started_again_by_a_later_leader(self) -> None:
        agent = self.agent("w1")
        self.log.apply(make.sheet(1, make.row("job")))
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        first = agent.tasks["job/0"].epoch
        agent.tasks["job/0"].state = "stopped"
        late, late_link = agent.message(), agent.link
        agent.fields["incarnation"], agent.link = 2, object()
        agent.tasks.clear()
        self.log.elect_again()
        starts = [
            s.epoch
            for _ in range(3)
            for s in (await agent.send_heartbeat()).starts
        ]
        self.assertNotIn(first, starts)
        await self.leader.heartbeat(late, late_link)
        self.assertEqual(self.status("job/0"), "assigned")
        self.assertEqual(agent.running(), {"job/0"})

    async def test_restarted_agent_is_believed_after_its_first_answer(
        self,
    ) -> None:
        """Guards against tasks ended by a heartbeat that may be outdated.

        Only a second heartbeat on the same link proves that an incarnation is
        the current one.
        """
        agent = self.agent("w1")
        self.log.apply(make.sheet(1, make.service("web")))
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        agent.fields["incarnation"], agent.link = 2, object()
        agent.tasks.clear()
        await agent.send_heartbeat()
        self.assertEqual(self.log.outcomes("web/0"), [])
        await agent.send_heartbeat()
        self.assertEqual(self.log.outcomes("web/0"), ["lost"])


class EndingTest(SchedulerCase):
    """Ends are recorded once and acknowledged; evicted tasks resume."""

    async def run_job(self) -> fakes.FakeAgent:
        self.log.apply(make.sheet(1, make.row("job")))
        agent = self.agent("w1")
        await agent.send_heartbeat()
        await agent.send_heartbeat()
        return agent

    async def test_end_is_committed_before_it_is_acknowledged(self) -> None:
        agent = await self.run_job()
        agent.tasks["job/0"].state = "finished"
        self.log.lose_results = 1
        await agent.send_heartbeat(lose_reply=True)
        reply = await agent.send_heartbeat()
        self.assertEqual([o.action for o in reply.orders], ["forget"])
        self.assertEqual(self.log.outcomes("job/0"), ["finished"])
        self.assertEqual(agent.tasks, {})

    async def test_evicted_task_resumes_once_after_a_change_of_leader(
        self,
    ) -> None:
        agent = await self.run_job()
        epoch = agent.tasks["job/0"].epoch
        self.log.apply(
            commands.EvictTask(task="job/0", epoch=epoch, reason="test")
        )
        self.log.elect_again()
        reply = await agent.send_heartbeat()
        self.assertEqual([o.action for o in reply.orders], ["evict"])
        self.log.elect_again()
        reply = await agent.send_heartbeat()
        self.assertEqual([s.resume_from for s in reply.starts], ["c1"])
        confirmed = [
            result.ok
            for command, result in self.log.history
            if isinstance(command, commands.ConfirmEviction)
        ]
        self.assertEqual(confirmed, [True])

    async def test_lost_worker_resumes_from_the_last_reported_checkpoint(
        self,
    ) -> None:
        agent = await self.run_job()
        agent.tasks["job/0"].checkpoint = "c7"
        await agent.send_heartbeat()
        self.clock.advance(fakes.BATCH_LEASE_MS * 2)
        other = self.agent("w2")
        await self.leader.run_pass()
        reply = await other.send_heartbeat()
        self.assertEqual([s.resume_from for s in reply.starts], ["c7"])

    async def test_cancelled_task_is_stopped_and_never_finishes(self) -> None:
        agent = await self.run_job()
        self.log.apply(
            commands.CancelJob(operation_id="c", operator="o", job="job")
        )
        reply = await agent.send_heartbeat()
        self.assertEqual([o.action for o in reply.orders], ["stop"])
        agent.tasks["job/0"].state = "finished"
        await agent.send_heartbeat()
        self.assertEqual(self.status("job/0"), "cancelled")

    async def test_cancelled_task_that_never_started_frees_its_place(
        self,
    ) -> None:
        self.log.apply(make.sheet(1, make.row("job")))
        agent = self.agent("w1")
        await agent.send_heartbeat(lose_reply=True)
        self.log.apply(
            commands.CancelJob(operation_id="c", operator="o", job="job")
        )
        await agent.send_heartbeat()
        self.assertEqual(self.status("job/0"), "cancelled")

    async def test_task_that_finished_in_a_partition_does_not_run_again(
        self,
    ) -> None:
        agent = await self.run_job()
        self.clock.advance(fakes.BATCH_LEASE_MS * 2)
        await self.leader.run_pass()
        self.assertEqual(self.status("job/0"), "pending")
        agent.tasks["job/0"].state = "finished"
        reply = await agent.send_heartbeat()
        self.assertEqual(self.status("job/0"), "finished")
        self.assertEqual([o.action for o in reply.orders], ["forget"])
        self.assertEqual(reply.starts, ())

    async def test_refused_start_is_assigned_again_with_its_checkpoint(
        self,
    ) -> None:
        agent = await self.run_job()
        held = agent.tasks["job/0"]
        held.state, held.checkpoint = "stopped", "c3"
        await agent.send_heartbeat()
        task = self.log.machine.assignments.tasks["job/0"]
        self.assertEqual(task.assigned_from, "c3")
        self.assertIsInstance(task.need, common.Resources)
