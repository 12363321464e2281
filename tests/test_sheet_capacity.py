"""Guards against tasks of the sheet beyond a capacity that has changed.

An agent of the sheet reads its worker's capacity from its settings, so that it
changes only with a restart of the agent. The leader takes the second heartbeat
of a new incarnation as proof that it is the current one. Until then, the last
check of the agent holds.
"""

import unittest

from bamboorouter.coordination.requests import task_leases
from bamboorouter.protocol import messages
from tests import control_fakes as fakes
from tests import fake_leader
from tests import machine_commands as make
from tests import test_scheduler

NOW = 1000
LEASE_MS = 10_000


class ChangedCapacityTest(test_scheduler.SchedulerCase):
    """The leader decides on the capacity in the newest heartbeat."""

    async def restart(self, agent: fakes.FakeAgent, processors: int) -> None:
        """Restarts an agent with another capacity; its tasks go on."""
        agent.fields["incarnation"] += 1
        agent.fields["capacity"] = make.capacity(processors)
        agent.link = object()
        for _ in range(2):
            await agent.send_heartbeat()

    async def test_shrunk_worker_gets_no_further_task(self) -> None:
        agent = self.agent("w1", processors=4)
        self.log.apply(make.sheet(1, make.row("job", count=2)))
        await self.exchange_heartbeats(agent)
        await self.restart(agent, 2)
        self.log.apply(make.sheet(2, make.row("job", count=4)))
        await self.exchange_heartbeats(agent)
        self.assertEqual(agent.running(), {"job/0", "job/1"})

    async def test_service_and_large_task_skip_a_shrunk_worker(self) -> None:
        shrunk, other = self.agent("w1", processors=8), self.agent("w2")
        await self.exchange_heartbeats(shrunk, other)
        await self.restart(shrunk, 1)
        self.log.apply(
            make.sheet(
                1,
                make.service("web", millicores=2000),
                make.row("job", millicores=2000),
            )
        )
        await self.exchange_heartbeats(shrunk, other)
        self.assertEqual(shrunk.running(), set())
        self.assertEqual(other.running(), {"web/0", "job/0"})

    async def test_grown_worker_is_filled(self) -> None:
        agent = self.agent("w1", processors=1)
        self.log.apply(make.sheet(1, make.row("job", count=4)))
        await self.exchange_heartbeats(agent)
        self.assertEqual(len(agent.running()), 1)
        await self.restart(agent, 4)
        await self.exchange_heartbeats(agent)
        self.assertEqual(len(agent.running()), 4)


class LastCheckTest(unittest.TestCase):
    """A restarted agent checks start orders against its own settings."""

    def test_start_that_was_assigned_before_is_refused(self) -> None:
        ledger = task_leases.TaskLedger(capacity=make.capacity(2))
        ledger.adopt(
            task_leases.HeldTask(
                task="found/0",
                epoch=1,
                kind="batch",
                need=make.need(1),
                stop_deadline_ms=NOW + LEASE_MS,
            )
        )
        outcomes = [
            ledger.admit(
                messages.StartOrder(
                    task=f"job/{index}",
                    epoch=2,
                    kind="batch",
                    lease_ms=LEASE_MS,
                    need=make.need(1),
                    row=fake_leader.row("job"),
                    resume_from="",
                ),
                sent=NOW,
                now=NOW,
            )
            for index in range(2)
        ]
        self.assertEqual(outcomes, ["start", "refused"])
