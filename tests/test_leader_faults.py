"""Guards against P1, P2 and P3 breaking under faults that come together.

Random schedules over one leader and several agents: lost, late and repeated
heartbeats, silent and restarted workers, failovers, lost results of decisions,
changes of the plan, drains, evictions and clocks that run 2 % apart. After
each step no task runs in two places and no worker holds more than it has; when
the faults end, all work ends.
"""

import logging
import random
import unittest

from absl import logging as absl_logging

from bamboorouter import clock
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import resource_math
from tests import control_fakes as fakes
from tests import machine_commands as make

AGENTS = 5
STEPS = 250
SEEDS = 8
SERVICE_LEASE_MS = 4000
BATCH_LEASE_MS = 12_000
CAPACITY = make.capacity(3, slots=4)


class FaultyAgent(fakes.FakeAgent):
    """An agent with a clock of its own and a faulty network.

    Attributes:
        skew: Lease term by its clock, in parts of the true time.
        silent_until: Time until which nothing reaches it.
        needs: Reserved resources by task.
        old: Heartbeats that may arrive late, each the last one on its link,
            because the next one is only sent after an answer.
    """

    def __init__(
        self, name: str, *, leader: scheduler.Scheduler, skew: float
    ) -> None:
        super().__init__(name, leader=leader, zone=name[-1])
        self.fields["capacity"] = CAPACITY
        self.skew = skew
        self.silent_until = 0
        self.needs: dict[str, common.Resources] = {}
        self.old: list[tuple[messages.Heartbeat, object]] = []

    def apply_reply(self, reply: messages.HeartbeatReply, sent: int) -> None:
        before = {name: held.lease_end_ms for name, held in self.tasks.items()}
        super().apply_reply(reply, sent)
        for start in reply.starts:
            self.needs[start.task] = start.need
        for name, held in self.tasks.items():
            if held.lease_end_ms != before.get(name):
                held.lease_end_ms = sent + int(
                    (held.lease_end_ms - sent) * self.skew
                )

    def restart(self, rng: random.Random, *, reboot: bool) -> None:
        """Starts again; a reboot loses all tasks."""
        self.keep_late(self.message())
        self.fields["incarnation"] = rng.getrandbits(50)
        if reboot:
            self.tasks.clear()

    def keep_late(self, heartbeat: messages.Heartbeat) -> None:
        """Lets a heartbeat without an answer arrive later."""
        self.old = [*self.old[-5:], (heartbeat, self.link)]
        self.link = object()

    def used(self) -> common.Resources:
        """Returns what the running tasks reserve."""
        return resource_math.total(self.needs[name] for name in self.running())


class FaultScheduleTest(unittest.IsolatedAsyncioTestCase):
    """Random schedules."""

    def setUp(self) -> None:
        # Lost results are expected here and would fill the output.
        self.addCleanup(
            absl_logging.set_verbosity, absl_logging.get_verbosity()
        )
        absl_logging.set_verbosity(absl_logging.ERROR)
        logging.captureWarnings(True)

    async def test_promises_hold_under_random_faults(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.run_seed(seed)

    async def run_seed(self, seed: int) -> None:
        rng = random.Random(seed)
        self.clock = clock.ManualClock(wall_ms=make.WALL_MS)
        self.log = fakes.FakeLog(time=self.clock)
        self.leader = scheduler.Scheduler(
            log=self.log,
            time=self.clock,
            service_lease_ms=SERVICE_LEASE_MS,
            batch_lease_ms=BATCH_LEASE_MS,
            settle_ms=0,
        )
        self.leader.start()
        self.agents = [
            FaultyAgent(
                f"w{n}", leader=self.leader, skew=rng.uniform(0.98, 1.02)
            )
            for n in range(AGENTS)
        ]
        try:
            for step in range(STEPS):
                await self.step(rng, step)
                self.check()
            await self.recover(rng)
        finally:
            await self.leader.stop()

    async def step(self, rng: random.Random, step: int) -> None:
        self.clock.advance(rng.randrange(0, 600))
        self.check()
        agent = rng.choice(self.agents)
        roll = rng.random()
        if step % 50 == 0:
            self.submit(rng)
        elif roll < 0.6:
            await self.beat(agent, rng)
        elif roll < 0.68:
            self.progress(agent, rng)
        elif roll < 0.74:
            agent.silent_until = self.clock.now() + rng.randrange(20_000)
        elif roll < 0.80:
            agent.restart(rng, reboot=rng.random() < 0.5)
        elif roll < 0.85 and agent.old:
            late = agent.old.pop(rng.randrange(len(agent.old)))
            await self.leader.heartbeat(*late)
        elif roll < 0.89:
            self.log.lose_results = rng.randrange(3)
        elif roll < 0.92:
            self.log.elect_again()
        elif roll < 0.96:
            self.operate(rng)
        else:
            await self.leader.run_pass()

    async def beat(self, agent: FaultyAgent, rng: random.Random) -> None:
        if self.clock.now() < agent.silent_until:
            return
        agent.expire()
        sent = self.clock.now()
        heartbeat = agent.message()
        reply = await self.leader.heartbeat(heartbeat, agent.link)
        self.clock.advance(rng.choice((0, 0, 100, 700)))
        agent.expire()
        if reply is not None and rng.random() < 0.8:
            agent.apply_reply(reply, sent)
        else:
            agent.keep_late(heartbeat)

    def progress(self, agent: FaultyAgent, rng: random.Random) -> None:
        for name in sorted(agent.running()):
            held = agent.tasks[name]
            held.checkpoint = f"{name}:{rng.randrange(10**6)}"
            if rng.random() < 0.5 and not name.startswith("web"):
                held.state = rng.choice(("finished", "finished", "failed"))

    def submit(self, rng: random.Random) -> None:
        revision = self.log.machine.plan.revision + 1
        rows = [
            make.service("web", count=rng.randrange(1, 5)),
            *(
                make.row(
                    f"job{revision}-{n}",
                    count=rng.randrange(1, 4),
                    urgency=rng.randrange(1, 9),
                    millicores=rng.choice((500, 1000, 2000)),
                )
                for n in range(3)
            ),
        ]
        self.log.apply(make.sheet(revision, *rows))

    def operate(self, rng: random.Random) -> None:
        operation = str(rng.getrandbits(60))
        jobs = sorted(self.log.machine.plan.jobs)
        live = [
            task
            for task in self.log.machine.assignments.tasks.values()
            if task.live
        ]
        kind = rng.randrange(3)
        if kind == 0 and jobs:
            self.log.apply(
                commands.CancelJob(
                    operation_id=operation, operator="o", job=rng.choice(jobs)
                )
            )
        elif kind == 1:
            self.log.apply(
                commands.SetDrain(
                    operation_id=operation,
                    operator="o",
                    target=rng.choice(self.agents).name,
                    draining=rng.random() < 0.4,
                )
            )
        elif live:
            task = rng.choice(live)
            if task.kind == "batch":
                self.log.apply(
                    commands.EvictTask(
                        task=task.task, epoch=task.epoch, reason="test"
                    )
                )

    def check(self) -> None:
        running = [name for agent in self.agents for name in agent.running()]
        self.assertEqual(len(running), len(set(running)), "P2")
        for agent in self.agents:
            self.assertTrue(resource_math.fits(agent.used(), CAPACITY), "P1")

    async def recover(self, rng: random.Random) -> None:
        """Ends all faults and lets the work end."""
        for agent in self.agents:
            agent.silent_until = 0
            self.log.apply(
                commands.SetDrain(
                    operation_id=str(rng.getrandbits(60)),
                    operator="o",
                    target=agent.name,
                    draining=False,
                )
            )
        self.log.lose_results = 0
        for _ in range(300):
            self.clock.advance(1000)
            # The loop sleeps in real time, which the manual clock outruns.
            await self.leader.run_pass()
            for agent in self.agents:
                await agent.send_heartbeat()
                for name in agent.running():
                    if not name.startswith("web"):
                        agent.tasks[name].state = "finished"
                self.check()
            open_tasks = sum(
                job.open_tasks for job in self.log.machine.plan.jobs.values()
            )
            count = self.log.machine.plan.services["web"].count
            web = [
                name
                for agent in self.agents
                for name in agent.running()
                if name.startswith("web")
            ]
            if not open_tasks and len(web) == count:
                break
        self.assertEqual((open_tasks, len(web)), (0, count))
        for task in self.log.machine.assignments.tasks.values():
            self.assertLessEqual(
                self.log.outcomes(task.task).count("finished"), 1, "P3"
            )


if __name__ == "__main__":
    unittest.main()
