"""Guards against a replicated log that loses or doesn't commit entries."""

import asyncio
import pathlib
import tempfile
import unittest

from tests import list_machine
from tests import replica_site


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    """Replicas over real links on loopback."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        self.nodes: list[replica_site.Node] = []

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes))

    async def start(self, count: int) -> replica_site.Node:
        self.nodes = replica_site.make_nodes(self.path, count)
        await asyncio.gather(*(node.start() for node in self.nodes))
        return await replica_site.leader_of(self.nodes)

    async def commit(self, node: replica_site.Node, *jobs: str) -> None:
        results = await asyncio.gather(
            *(
                node.replica.propose(list_machine.cancel(job), timeout_ms=5000)
                for job in jobs
            )
        )
        self.assertTrue(all(result.ok for result in results))

    async def test_single_replica_keeps_commits_over_a_restart(self) -> None:
        leader = await self.start(1)
        await self.commit(leader, "a", "b")
        await leader.stop()
        await leader.start()
        await replica_site.leader_of(self.nodes)
        await self.commit(leader, "c")
        self.assertEqual(leader.machine.jobs, ["a", "b", "c"])

    async def test_three_replicas_apply_the_same_commands(self) -> None:
        leader = await self.start(3)
        await self.commit(leader, *(str(n) for n in range(100)))
        await replica_site.until(
            lambda: all(len(n.machine.jobs) == 100 for n in self.nodes)
        )
        for node in self.nodes:
            self.assertEqual(node.machine.jobs, leader.machine.jobs)
        chains = {node.replica.log.last_chain for node in self.nodes}
        self.assertEqual(len(chains), 1)

    async def test_stopping_leader_hands_over(self) -> None:
        leader = await self.start(3)
        await self.commit(leader, "a")
        await leader.stop()
        self.nodes.remove(leader)
        # Shorter than any election timeout: only a transfer is that fast.
        successor = await replica_site.leader_of(self.nodes, timeout_s=0.8)
        await self.commit(successor, "b")
        self.assertEqual(successor.machine.jobs, ["a", "b"])
