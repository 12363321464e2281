"""Tests the scheduler under random combinations of faults.

One leader and several agents run a random schedule with lost, late and repeated
heartbeats, silent and restarted agents, failovers, lost results of decisions,
new sheets, drains, evictions and clocks that are up to 2 % fast or slow. After
each step no worker may be overcommitted (P1) and no task may run in two places
(P2). Once the faults end, all work must end, and no task may finish twice (P3).
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
        skew: Length of a lease on the agent's clock, as a fraction of its
            true term.
        silent_until: Time in ms until which the agent sends no heartbeats.
        needs: Resources that each task reserves, by task ID.
        delayed: Unanswered heartbeats that may still arrive, with their links.
            Each is the last on its link, because an agent sends the next one
            only after an answer.
    """

    def __init__(
        self, name: str, *, leader: scheduler.Scheduler, skew: float
    ) -> None:
        super().__init__(name, leader=leader, zone=name[-1])
        self.fields["capacity"] = CAPACITY
        self.skew = skew
        self.silent_until = 0
        self.needs: dict[str, common.Resources] = {}
        self.delayed: list[tuple[messages.Heartbeat, object]] = []

    def apply_reply(self, reply: messages.HeartbeatReply, sent: int) -> None:
        lease_ends = {
            name: held.lease_end_ms for name, held in self.tasks.items()
        }
        super().apply_reply(reply, sent)
        for start in reply.starts:
            self.needs[start.task] = start.need
        for name, held in self.tasks.items():
            if held.lease_end_ms != lease_ends.get(name):
                held.lease_end_ms = sent + int(
                    (held.lease_end_ms - sent) * self.skew
                )

    def restart(self, rng: random.Random, *, reboot: bool) -> None:
        """Restarts the agent; a reboot of its VM also ends all tasks."""
        self.keep_for_late_delivery(self.message())
        self.fields["incarnation"] = rng.getrandbits(50)
        if reboot:
            self.tasks.clear()

    def keep_for_late_delivery(self, heartbeat: messages.Heartbeat) -> None:
        """Keeps an unanswered heartbeat for late delivery on its old link."""
        self.delayed = [*self.delayed[-5:], (heartbeat, self.link)]
        self.link = object()

    def reserved(self) -> common.Resources:
        """Returns the resources that the running tasks reserve."""
        return resource_math.total(self.needs[name] for name in self.running())


class FaultScheduleTest(unittest.IsolatedAsyncioTestCase):
    """Random schedules of work and faults."""

    def setUp(self) -> None:
        # Hides warnings about lost results, which are expected here.
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
                await self.run_step(rng, step)
                self.check_invariants()
            await self.recover(rng)
        finally:
            await self.leader.stop()

    async def run_step(self, rng: random.Random, step: int) -> None:
        self.clock.advance(rng.randrange(0, 600))
        self.check_invariants()
        agent = rng.choice(self.agents)
        roll = rng.random()
        if step % 50 == 0:
            self.submit_sheet(rng)
        elif roll < 0.6:
            await self.send_heartbeat(agent, rng)
        elif roll < 0.68:
            self.advance_tasks(agent, rng)
        elif roll < 0.74:
            agent.silent_until = self.clock.now() + rng.randrange(20_000)
        elif roll < 0.80:
            agent.restart(rng, reboot=rng.random() < 0.5)
        elif roll < 0.85 and agent.delayed:
            late_heartbeat = agent.delayed.pop(
                rng.randrange(len(agent.delayed))
            )
            await self.leader.heartbeat(*late_heartbeat)
        elif roll < 0.89:
            self.log.lose_results = rng.randrange(3)
        elif roll < 0.92:
            self.log.elect_again()
        elif roll < 0.96:
            self.apply_operation(rng)
        else:
            await self.leader.run_pass()

    async def send_heartbeat(
        self, agent: FaultyAgent, rng: random.Random
    ) -> None:
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
            agent.keep_for_late_delivery(heartbeat)

    def advance_tasks(self, agent: FaultyAgent, rng: random.Random) -> None:
        for name in sorted(agent.running()):
            held = agent.tasks[name]
            held.checkpoint = f"{name}:{rng.randrange(10**6)}"
            if rng.random() < 0.5 and not name.startswith("web"):
                held.state = rng.choice(("finished", "finished", "failed"))

    def submit_sheet(self, rng: random.Random) -> None:
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

    def apply_operation(self, rng: random.Random) -> None:
        operation = str(rng.getrandbits(60))
        jobs = sorted(self.log.machine.plan.jobs)
        live_tasks = [
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
        elif live_tasks:
            task = rng.choice(live_tasks)
            if task.kind == "batch":
                self.log.apply(
                    commands.EvictTask(
                        task=task.task, epoch=task.epoch, reason="test"
                    )
                )

    def check_invariants(self) -> None:
        running = [name for agent in self.agents for name in agent.running()]
        self.assertEqual(
            len(running), len(set(running)), "a task runs in two places (P2)"
        )
        for agent in self.agents:
            self.assertTrue(
                resource_math.fits(agent.reserved(), CAPACITY),
                "a worker is overcommitted (P1)",
            )

    async def recover(self, rng: random.Random) -> None:
        """Ends all faults and runs until all work has ended."""
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
            # The scheduler's loop sleeps in real time, slower than this clock.
            await self.leader.run_pass()
            for agent in self.agents:
                await agent.send_heartbeat()
                for name in agent.running():
                    if not name.startswith("web"):
                        agent.tasks[name].state = "finished"
                self.check_invariants()
            open_tasks = sum(
                job.open_tasks for job in self.log.machine.plan.jobs.values()
            )
            count = self.log.machine.plan.services["web"].count
            instances = [
                name
                for agent in self.agents
                for name in agent.running()
                if name.startswith("web")
            ]
            if not open_tasks and len(instances) == count:
                break
        self.assertEqual((open_tasks, len(instances)), (0, count))
        for task in self.log.machine.assignments.tasks.values():
            self.assertLessEqual(
                self.log.outcomes(task.task).count("finished"),
                1,
                "a task finished twice (P3)",
            )


if __name__ == "__main__":
    unittest.main()
