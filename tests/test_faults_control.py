"""Guards P9 and P2 against failing and isolated control replicas.

What an operator was told is in force stays in force, on every process, and a
replica without a quorum decides nothing.
"""

import asyncio
import contextlib

from bamboorouter import errors
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=2, controls=3, entries=1)
METRIC = "bamboorouter_applied_revision"
# The target: a change is in force everywhere within 13 s.
IN_FORCE_S = 13.0
START_S = 10.0
ISOLATED_S = 8.0
SAMPLE_S = 0.25
CHANGES = 300
CHANGES_AT_ONCE = 20


class RevisionWatch:
    """Samples the revision that each process applies.

    Attributes:
        reverts: Processes that applied a lower revision than before.
        last: Last revision seen by process name and ID.
    """

    def __init__(self, running: site.Site) -> None:
        self.site = running
        self.reverts: list[str] = []
        self.last: dict[tuple[str, int], float] = {}

    async def sample(self) -> dict[str, float]:
        """Reads all running daemons once."""
        found: dict[str, float] = {}
        for name, managed in self.site.processes.items():
            if managed.frozen or not managed.running:
                continue
            if "health" not in managed.addresses or managed.process is None:
                continue
            value = await self.site.metric(name, METRIC)
            if value is None:
                continue
            key = (name, managed.process.pid)
            if value < self.last.get(key, 0):
                self.reverts.append(f"{name}: {self.last[key]} to {value}")
            self.last[key] = value
            found[name] = value
        return found

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            await self.sample()
            await asyncio.sleep(SAMPLE_S)


class ControlFaultsTest(site_case.SiteTestCase):
    """Failures of control replicas."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)
        self.watch = RevisionWatch(self.site)
        watching = asyncio.create_task(self.watch.run())
        self.addAsyncCleanup(self.end, watching)

    async def end(self, watching: asyncio.Task[None]) -> None:
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching

    async def submit(self, revision: int, count: int) -> int:
        return await self.operator.submit(
            revision, site_case.service_row("entries", count)
        )

    async def wait_in_force(
        self, revision: int, *, replicas: bool = True
    ) -> None:
        """Waits until all agents, entries and replicas apply the revision."""
        async with asyncio.timeout(IN_FORCE_S):
            while True:
                found = await self.watch.sample()
                status = await self.operator.status()
                daemons = [
                    name
                    for name, managed in self.site.processes.items()
                    if managed.running and name.startswith(("agent", "entry"))
                ]
                behind = [n for n in daemons if found.get(n, 0) < revision]
                if not behind and (not replicas or status.in_force(revision)):
                    break
                await asyncio.sleep(site_case.POLL_S)
        self.assertEqual(self.watch.reverts, [])

    async def wait_instances(self, count: int) -> None:
        await self.wait_for(
            lambda: sum(r.state == "running" for r in self.site.runs())
            == count,
            f"{count} instances run",
            within_s=START_S,
        )
        self.assert_task_invariants(self.site)

    async def test_isolated_leader_decides_nothing(self) -> None:
        await self.wait_in_force(await self.submit(1, 2))
        await self.wait_instances(2)
        old = await self.operator.leader()
        # Agents still reach the old leader, the other replicas don't.
        for name in self.site.control_addresses:
            if name != old:
                self.site.cut_between(old, name)
        # The operator's link leads to the old leader.
        revision = await self.submit(2, 3)
        await self.wait_instances(3)
        await self.site.restart("entry-1")
        await self.wait_in_force(revision, replicas=False)
        await asyncio.sleep(ISOLATED_S / 2)
        self.assertNotEqual(await self.operator.leader(), old)
        self.site.heal()
        await self.wait_in_force(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)

    async def test_leader_cut_off_for_long_catches_up(self) -> None:
        await self.wait_in_force(await self.submit(1, 1))
        old = await self.operator.leader()
        self.site.cut(old)
        revision = 0
        for number in range(2, 8):
            revision = await self.submit(number, 1 + number % 3)
        await asyncio.sleep(ISOLATED_S)
        self.site.heal()
        await self.wait_in_force(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 7)
        await self.wait_instances(2)

    async def test_second_replica_lost_right_after_a_repair(self) -> None:
        await self.wait_in_force(await self.submit(1, 1))
        lost = await self.operator.leader()
        await self.site.kill(lost)
        self.site.lose_folder(lost)
        await self.site.restart(lost)
        await self.replace(lost)
        next_lost = await self.operator.leader()
        await self.site.kill(next_lost)
        revision = await self.submit(2, 2)
        await self.site.restart(next_lost)
        await self.wait_in_force(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)
        await self.wait_instances(2)

    async def test_folder_lost_while_another_replica_is_behind(self) -> None:
        await self.wait_in_force(await self.submit(1, 1))
        leader = await self.operator.leader()
        lost, behind = (
            name for name in self.site.control_addresses if name != leader
        )
        self.site.cut(behind)
        revision = await self.submit(2, 2)
        await self.site.kill(lost)
        self.site.lose_folder(lost)
        await self.site.restart(lost)
        await self.site.kill(leader)
        self.site.heal()
        # No majority is left that knows revision 2.
        with self.assertRaises(errors.RequestTimeoutError):
            await self.operator.status()
        await self.site.restart(leader)
        await self.replace(lost)
        await self.wait_in_force(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)
        await self.wait_instances(2)

    async def replace(self, name: str) -> None:
        """Puts a replica with a new identity in the place of its old one."""
        address = self.site.control_addresses[name]
        members = await self.operator.members()
        old = next(m["replica"] for m in members if m["address"] == address)
        new = self.site.replica_id(name)
        self.assertNotEqual(old, new)
        for action, replica in (
            ("add_learner", new),
            ("promote", new),
            ("remove", old),
        ):
            await self.change(action, replica, address)

    async def change(self, action: str, replica: str, address: str) -> None:
        """Repeats a change of members until it is accepted."""
        async with asyncio.timeout(IN_FORCE_S):
            while True:
                reply = await self.operator.call(
                    "members", action=action, replica=replica, address=address
                )
                if reply.ok:
                    return
                await asyncio.sleep(site_case.POLL_S)

    async def test_restart_after_hundreds_of_changes(self) -> None:
        await self.submit(1, 2)
        await self.wait_instances(2)
        revision = 0
        for first in range(0, CHANGES, CHANGES_AT_ONCE):
            replies = await asyncio.gather(
                *(
                    self.operator.call(
                        "drain",
                        target=f"upstream-{number // 2}",
                        on=number % 2 == 0,
                    )
                    for number in range(first, first + CHANGES_AT_ONCE)
                )
            )
            revision = max(int(r.data["config_revision"]) for r in replies)
        for name in self.site.control_addresses:
            await self.site.kill(name)
        for name in self.site.control_addresses:
            await self.site.restart(name)
        await self.wait_in_force(revision)
        status = await self.operator.status()
        self.assertGreaterEqual(status.config_revision, revision)
        self.assertEqual(status.sheet_revision, 1)
        self.assert_task_invariants(self.site)
