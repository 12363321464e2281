"""Guards against wrong moves, evictions, verdicts and quarantines."""

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from tests import control_fakes as fakes
from tests import machine_commands as make
from tests import test_scheduler


class RoomTest(test_scheduler.SchedulerCase):
    """Urgent services get room by eviction, and nothing is lost by it."""

    async def test_service_gets_room_and_the_evicted_task_resumes(
        self,
    ) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(make.sheet(1, make.row("job", count=4)))
        await self.settle(agent)
        agent.tasks["job/2"].checkpoint = "fresh"
        await self.settle(agent, beats=1)
        self.log.apply(
            make.sheet(2, make.service("web"), make.row("job", count=4))
        )
        await self.settle(agent, beats=4)
        self.assertIn("web/0", agent.running())
        evicted = [o.task for o in agent.orders if o.action == "evict"]
        self.assertEqual(evicted, ["job/2"])
        task = self.log.machine.assignments.tasks["job/2"]
        self.assertEqual((task.status, task.resume_from), ("pending", "c1"))
        agent.tasks["job/0"].state = "finished"
        await self.settle(agent)
        self.assertEqual(agent.tasks["job/2"].resume_from, "c1")

    async def test_slow_service_throttles_before_it_evicts(self) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(make.sheet(1, make.service("web"), make.row("noisy")))
        await self.settle(agent)
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
            await self.settle(agent, beats=1)
            actions += [o.action for o in agent.orders if o.task == "noisy/0"]
        steps = list(dict.fromkeys(a for a in actions if a != "resume"))
        self.assertEqual(steps[:2], ["throttle", "evict"])


class ApartTest(test_scheduler.SchedulerCase):
    """Unknown work is tried out one by one beside services with callers."""

    async def test_unknown_class_waits_until_it_was_measured(self) -> None:
        """Guards against a wave of new tasks before their effect is known.

        The report arrives when the first task has ended.
        """
        agent = self.agent("w1", processors=64)
        await agent.send_heartbeat()
        self.log.apply(make.sheet(1, make.service("web", millicores=10)))
        await self.settle(agent)
        agent.fields["usage"] = (self._usage(agent, "web/0"),)
        await self.settle(agent, beats=1)
        agent.fields["usage"] = ()
        self.log.apply(
            make.sheet(
                2,
                make.service("web", millicores=10),
                make.row("job", count=4, millicores=10),
            )
        )
        await self.settle(agent)
        self.assertEqual(agent.running(), {"web/0", "job/0"})
        usage = self._usage(agent, "job/0")
        agent.tasks["job/0"].state = "finished"
        await self.settle(agent)
        self.assertEqual(agent.running(), {"web/0", "job/1"})
        agent.fields["usage"] = (usage,) * 10
        await self.settle(agent)
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
    """While both kinds wait, each keeps its minimum of a worker's slots."""

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
        await self.settle(agent)
        services = [n for n in agent.running() if n.startswith("web")]
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
        await self.settle(*agents)
        self.assertEqual(sum(len(agent.running()) for agent in agents), 2)


class MoveTest(test_scheduler.SchedulerCase):
    """A drained worker is emptied without a gap."""

    def serve(self, agent: fakes.FakeAgent) -> None:
        """Lets the agent announce the upstreams of its running services."""
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
        await self.settle(first)
        self.log.apply(
            commands.SetDrain(
                operation_id="d", operator="o", target="w1", draining=True
            )
        )
        await self.settle(first)
        # No other worker is known: the service keeps running, batch doesn't.
        self.assertEqual(first.running(), {"web/0"})
        for _ in range(6):
            await self.settle(first, second, beats=1)
            self.serve(first)
            self.serve(second)
            served = [*first.running(), *second.running()]
            self.assertTrue(any(name.startswith("web") for name in served))
        self.assertEqual(first.running(), set())
        self.assertEqual(second.running(), {"web/1"})

    async def test_changed_service_is_replaced_one_by_one(self) -> None:
        agent = self.agent("w1", processors=8)
        self.log.apply(make.sheet(1, make.service("web", count=3)))
        await self.settle(agent)
        self.log.apply(
            make.sheet(2, make.service("web", count=3, command="new"))
        )
        for _ in range(20):
            await self.settle(agent, beats=1)
            self.serve(agent)
            self.assertIn(len(agent.running()), (3, 4))
        specs = {
            task.spec for task in self.log.machine.assignments.tasks.values()
        }
        self.assertEqual((len(agent.running()), len(specs)), (3, 1))


class VerdictTest(test_scheduler.SchedulerCase):
    """Jobs that can't run end; workers that fail everything are avoided."""

    async def test_job_larger_than_every_worker_is_given_up(self) -> None:
        self.log.apply(make.sheet(1, make.row("huge", millicores=99_000)))
        agent = self.agent("w1")
        await self.settle(agent)
        self.assertEqual(self.status("huge/0"), "pending")
        await self.settle(agent, beats=10)
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
        bad_worker = agents[3]
        for _ in range(40):
            await self.settle(*agents, beats=1)
            for agent in agents:
                for name, held in agent.tasks.items():
                    fails = name == "bad/0" or agent is bad_worker
                    if held.state == "running":
                        held.state = "failed" if fails else "finished"
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
        await self.settle(agent, *others)
        until = self.clock.wall() + 60_000
        self.log.apply(
            commands.Quarantine(worker="w1", until_ms=until, reason="r")
        )
        self.log.apply(make.sheet(1, make.row("job", count=8)))
        await self.settle(agent, *others)
        self.assertEqual(agent.running(), set())
        self.clock.advance(60_000)
        await self.settle(agent, *others)
        self.assertEqual(len(agent.running()), 1)
        probe = agent.tasks[next(iter(agent.running()))]
        probe.state = "failed"
        await self.settle(agent, *others)
        worker = self.log.machine.workers.by_name["w1"]
        self.assertGreater(
            worker.quarantined_until_ms, self.clock.wall() + 110_000
        )
        self.clock.advance(120_000)
        await self.settle(agent, *others)
        probe = agent.tasks[next(iter(agent.running()))]
        probe.state = "finished"
        await self.settle(agent, *others)
        self.assertEqual(worker.quarantines, 0)
        self.assertEqual(len(agent.running()), 4)
