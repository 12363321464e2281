"""Guards against wrong replacements, evictions, failures and quarantines."""

from bamboorouter import error_texts
from bamboorouter.coordination.scheduling import fault_detector
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from tests import control_fakes as fakes
from tests import machine_commands as make
from tests import test_scheduler


class RoomTest(test_scheduler.SchedulerCase):
    """Services take capacity from batch tasks, which resume later."""

    async def test_service_gets_room_and_the_evicted_task_resumes(
        self,
    ) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(make.sheet(1, make.row("job", count=4)))
        await self.exchange_heartbeats(agent)
        # With the latest checkpoint, job/2 loses the least work by an eviction,
        # which saves another checkpoint, "c1".
        agent.tasks["job/2"].checkpoint = "fresh"
        await self.exchange_heartbeats(agent, beats=1)
        self.log.apply(
            make.sheet(2, make.service("web"), make.row("job", count=4))
        )
        await self.exchange_heartbeats(agent, beats=4)
        self.assertIn("web/0", agent.running())
        evicted = [o.task for o in agent.orders if o.action == "evict"]
        self.assertEqual(evicted, ["job/2"])
        task = self.log.machine.assignments.tasks["job/2"]
        self.assertEqual((task.status, task.resume_from), ("pending", "c1"))
        agent.tasks["job/0"].state = "finished"
        await self.exchange_heartbeats(agent)
        self.assertEqual(agent.tasks["job/2"].resume_from, "c1")

    async def test_slow_service_throttles_before_it_evicts(self) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(make.sheet(1, make.service("web"), make.row("noisy")))
        await self.exchange_heartbeats(agent)
        actions: list[str] = []
        for latency_ms in [10] * 3 + [50] * 30:
            usage = common.Usage(
                task="web/0",
                epoch=agent.tasks["web/0"].epoch,
                millicores=500,
                memory_mb=50,
                latency_ms=latency_ms,
            )
            agent.fields["usage"] = (usage,)
            agent.orders.clear()
            await self.exchange_heartbeats(agent, beats=1)
            actions += [o.action for o in agent.orders if o.task == "noisy/0"]
        distinct_actions = list(
            dict.fromkeys(a for a in actions if a != "resume")
        )
        self.assertEqual(distinct_actions[:2], ["throttle", "evict"])


class ApartTest(test_scheduler.SchedulerCase):
    """Unmeasured tasks start one at a time next to services with callers."""

    async def test_unknown_class_waits_until_it_was_measured(self) -> None:
        """Guards against starting many tasks before their effect is measured.

        The usage of the first task is reported after the task has ended.
        """
        agent = self.agent("w1", processors=64)
        await agent.send_heartbeat()
        self.log.apply(make.sheet(1, make.service("web", millicores=10)))
        await self.exchange_heartbeats(agent)
        agent.fields["usage"] = (self._usage(agent, "web/0"),)
        await self.exchange_heartbeats(agent, beats=1)
        agent.fields["usage"] = ()
        self.log.apply(
            make.sheet(
                2,
                make.service("web", millicores=10),
                make.row("job", count=4, millicores=10),
            )
        )
        await self.exchange_heartbeats(agent)
        self.assertEqual(agent.running(), {"web/0", "job/0"})
        usage = self._usage(agent, "job/0")
        agent.tasks["job/0"].state = "finished"
        await self.exchange_heartbeats(agent)
        self.assertEqual(agent.running(), {"web/0", "job/1"})
        agent.fields["usage"] = (usage,) * 10
        await self.exchange_heartbeats(agent)
        self.assertEqual(agent.running(), {"web/0", "job/1", "job/2", "job/3"})

    def _usage(self, agent: fakes.FakeAgent, task: str) -> common.Usage:
        return common.Usage(
            task=task,
            epoch=agent.tasks[task].epoch,
            millicores=10,
            memory_mb=50,
            latency_ms=10 if task.startswith("web") else 0,
        )


class ShareTest(test_scheduler.SchedulerCase):
    """While both kinds wait, each has a minimum share of a worker's slots."""

    async def test_waiting_kinds_share_the_slots(self) -> None:
        agent = self.agent("w1", processors=64)
        await agent.send_heartbeat()
        self.log.apply(
            make.sheet(
                1,
                make.service("web", count=20, millicores=10),
                make.row("job", count=20, millicores=10),
            )
        )
        await self.exchange_heartbeats(agent)
        services = [n for n in agent.running() if n.startswith("web")]
        # Of the worker's 8 slots, batch tasks get at least a fifth: 2.
        self.assertEqual((len(services), len(agent.running())), (6, 8))

    async def test_both_kinds_run_where_a_worker_has_one_slot(self) -> None:
        agents = [self.agent("w1"), self.agent("w2")]
        for agent in agents:
            agent.fields["capacity"] = make.capacity(slots=1)
            await agent.send_heartbeat()
        self.log.apply(
            make.sheet(
                1, make.service("web", count=2), make.row("job", count=2)
            )
        )
        await self.exchange_heartbeats(*agents)
        self.assertEqual(sum(len(agent.running()) for agent in agents), 2)


class MoveTest(test_scheduler.SchedulerCase):
    """Instances of a service are replaced without an interruption."""

    def announce_upstreams(self, agent: fakes.FakeAgent) -> None:
        """Announces the upstreams of the agent's running services."""
        agent.fields["upstreams"] = tuple(
            common.Upstream(
                id=f"{name}@{agent.tasks[name].epoch}", service="web", url="u"
            )
            for name in agent.running()
            if name.startswith("web")
        )

    async def test_service_starts_elsewhere_before_it_stops(self) -> None:
        first, second = self.agent("w1"), self.agent("w2", processors=1)
        self.log.apply(make.sheet(1, make.service("web"), make.row("job")))
        await self.exchange_heartbeats(first)
        self.log.apply(
            commands.SetDrain(
                operation_id="d", operator="o", target="w1", draining=True
            )
        )
        await self.exchange_heartbeats(first)
        # Without another worker the service keeps running; batch is evicted.
        self.assertEqual(first.running(), {"web/0"})
        for _ in range(6):
            await self.exchange_heartbeats(first, second, beats=1)
            self.announce_upstreams(first)
            self.announce_upstreams(second)
            running_tasks = [*first.running(), *second.running()]
            self.assertTrue(
                any(name.startswith("web") for name in running_tasks)
            )
        self.assertEqual(first.running(), set())
        self.assertEqual(second.running(), {"web/1"})

    async def test_changed_service_is_replaced_one_by_one(self) -> None:
        agent = self.agent("w1", processors=8)
        self.log.apply(make.sheet(1, make.service("web", count=3)))
        await self.exchange_heartbeats(agent)
        self.log.apply(
            make.sheet(2, make.service("web", count=3, command="new"))
        )
        for _ in range(20):
            await self.exchange_heartbeats(agent, beats=1)
            self.announce_upstreams(agent)
            self.assertIn(len(agent.running()), (3, 4))
        specs = {
            task.spec for task in self.log.machine.assignments.tasks.values()
        }
        self.assertEqual((len(agent.running()), len(specs)), (3, 1))


class VerdictTest(test_scheduler.SchedulerCase):
    """Jobs that can't run fail; workers that fail all tasks are quarantined."""

    async def test_job_larger_than_every_worker_is_given_up(self) -> None:
        self.log.apply(make.sheet(1, make.row("huge", millicores=99_000)))
        agent = self.agent("w1")
        await self.exchange_heartbeats(agent)
        self.assertEqual(self.status("huge/0"), "pending")
        await self.exchange_heartbeats(agent, beats=10)
        job = self.log.machine.plan.jobs["huge"]
        self.assertEqual(
            (job.verdict, job.code), ("failed", error_texts.JOB_CANNOT_RUN)
        )

    async def test_failing_job_ends_and_failing_worker_is_quarantined(
        self,
    ) -> None:
        agents = [self.agent(f"w{n}", processors=2) for n in range(4)]
        rows = [make.row(f"job-{c}", count=2) for c in "abcdefghijkl"]
        self.log.apply(make.sheet(1, make.row("bad"), *rows))
        failing_agent = agents[3]
        for _ in range(40):
            await self.exchange_heartbeats(*agents, beats=1)
            for agent in agents:
                for name, task in agent.tasks.items():
                    task_fails = name == "bad/0" or agent is failing_agent
                    if task.state == "running":
                        task.state = "failed" if task_fails else "finished"
        self.assertEqual(self.status("bad/0"), "failed")
        quarantined = {
            command.worker
            for command, result in self.log.history
            if isinstance(command, commands.Quarantine) and result.ok
        }
        self.assertEqual(quarantined, {"w3"})
        for row in rows:
            job = self.log.machine.plan.jobs[row.name]
            self.assertEqual((job.finished, job.verdict), (2, ""))

    async def test_probe_decides_after_a_quarantine(self) -> None:
        agent = self.agent("w1", processors=4)
        others = [self.agent(f"w{n}", processors=1) for n in (2, 3, 4)]
        await self.exchange_heartbeats(agent, *others)
        until_ms = self.clock.wall() + 60_000
        self.log.apply(
            commands.Quarantine(worker="w1", until_ms=until_ms, reason="r")
        )
        self.log.apply(make.sheet(1, make.row("job", count=8)))
        await self.exchange_heartbeats(agent, *others)
        self.assertEqual(agent.running(), set())
        self.clock.advance(60_000)
        await self.exchange_heartbeats(agent, *others)
        self.assertEqual(len(agent.running()), 1)
        probe = agent.tasks[next(iter(agent.running()))]
        probe.state = "failed"
        await self.exchange_heartbeats(agent, *others)
        worker = self.log.machine.workers.by_name["w1"]
        # The second quarantine takes 120 s, twice as long as the first one.
        self.assertGreater(
            worker.quarantined_until_ms, self.clock.wall() + 110_000
        )
        self.clock.advance(120_000)
        await self.exchange_heartbeats(agent, *others)
        probe = agent.tasks[next(iter(agent.running()))]
        probe.state = "finished"
        await self.exchange_heartbeats(agent, *others)
        self.assertEqual(worker.quarantines, 0)
        self.assertEqual(len(agent.running()), 4)

    async def test_service_that_never_begins_is_no_successful_probe(
        self,
    ) -> None:
        """Guards against a faulty worker that gets tasks like any other."""
        agent = self.agent("w1", processors=4)
        others = [self.agent(f"w{n}", processors=1) for n in (2, 3, 4)]
        await self.exchange_heartbeats(agent, *others)
        self.log.apply(
            commands.Quarantine(
                worker="w1", until_ms=self.clock.wall() + 1000, reason="r"
            )
        )
        self.clock.advance(1000)
        agent.begins_tasks = False
        self.log.apply(make.sheet(1, make.service("web", millicores=2000)))
        await self.exchange_heartbeats(agent, *others)
        probe = agent.tasks["web/0"]
        worker = self.log.machine.workers.by_name["w1"]
        for started, quarantines in ((False, 1), (True, 0)):
            probe.started = started
            for _ in range(2 * fault_detector.SERVICE_PROBE_MS // 1000):
                self.clock.advance(1000)
                await self.exchange_heartbeats(agent, *others, beats=1)
            self.assertEqual(worker.quarantines, quarantines)
