"""Tests changes of the configuration while control replicas fail.

Starts whole sites of processes and crashes or isolates replicas. Guards against
an acknowledged change that is reverted on any process (P9), and against
decisions of a replica without a quorum, by which a task could run twice (P2).
"""

import asyncio
import contextlib

from bamboorouter import errors
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=2, controls=3, entries=1)
REVISION_METRIC = "bamboorouter_applied_revision"
# Target for the time in which every process applies a change.
APPLY_TIMEOUT_S = 13.0
START_TIMEOUT_S = 10.0
ISOLATION_S = 8.0
SAMPLE_INTERVAL_S = 0.25
CHANGE_COUNT = 300
CONCURRENT_CHANGES = 20


class RevisionMonitor:
    """Samples the configuration revision that each process applies.

    Attributes:
        reverts: Description of each decrease of a process's revision.
        last: Last revision seen, by process name and ID.
    """

    def __init__(self, running: site.Site) -> None:
        self.site = running
        self.reverts: list[str] = []
        self.last: dict[tuple[str, int], float] = {}

    async def sample(self) -> dict[str, float]:
        """Returns the revision of each running daemon."""
        revisions: dict[str, float] = {}
        for name, managed in self.site.processes.items():
            if managed.frozen or not managed.running:
                continue
            if "health" not in managed.addresses or managed.process is None:
                continue
            value = await self.site.metric(name, REVISION_METRIC)
            if value is None:
                continue
            key = (name, managed.process.pid)
            if value < self.last.get(key, 0):
                self.reverts.append(f"{name}: {self.last[key]} to {value}")
            self.last[key] = value
            revisions[name] = value
        return revisions

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            await self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class ControlFaultsTest(site_case.SiteTestCase):
    """Failures and isolation of control replicas."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)
        self.monitor = RevisionMonitor(self.site)
        monitor_task = asyncio.create_task(self.monitor.run())
        self.addAsyncCleanup(self.stop_monitor, monitor_task)

    async def stop_monitor(self, monitor_task: asyncio.Task[None]) -> None:
        monitor_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await monitor_task

    async def submit(self, revision: int, count: int) -> int:
        return await self.operator.submit(
            revision, site_case.service_row("entries", count)
        )

    async def wait_until_applied(
        self, revision: int, *, replicas: bool = True
    ) -> None:
        """Waits until all processes apply a configuration revision.

        Args:
            revision: Configuration revision.
            replicas: Whether to wait for the control replicas, too; if not,
                only for agents and entries.
        """
        async with asyncio.timeout(APPLY_TIMEOUT_S):
            while True:
                revisions = await self.monitor.sample()
                status = await self.operator.status()
                daemons = [
                    name
                    for name, managed in self.site.processes.items()
                    if managed.running and name.startswith(("agent", "entry"))
                ]
                lagging = [n for n in daemons if revisions.get(n, 0) < revision]
                if not lagging and (not replicas or status.in_force(revision)):
                    break
                await asyncio.sleep(site_case.POLL_S)
        self.assertEqual(self.monitor.reverts, [])

    async def wait_instances(self, count: int) -> None:
        await self.wait_for(
            lambda: sum(r.state == "running" for r in self.site.runs())
            == count,
            f"{count} instances run",
            within_s=START_TIMEOUT_S,
        )
        self.assert_task_invariants(self.site)

    async def test_isolated_leader_decides_nothing(self) -> None:
        await self.wait_until_applied(await self.submit(1, 2))
        await self.wait_instances(2)
        old_leader = await self.operator.leader()
        # Agents still reach the old leader; the other replicas don't.
        for name in self.site.control_addresses:
            if name != old_leader:
                self.site.cut_between(old_leader, name)
        # The operator is still connected to the old leader.
        revision = await self.submit(2, 3)
        await self.wait_instances(3)
        await self.site.restart("entry-1")
        await self.wait_until_applied(revision, replicas=False)
        await asyncio.sleep(ISOLATION_S / 2)
        self.assertNotEqual(await self.operator.leader(), old_leader)
        self.site.heal()
        await self.wait_until_applied(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)

    async def test_leader_cut_off_for_long_catches_up(self) -> None:
        await self.wait_until_applied(await self.submit(1, 1))
        old_leader = await self.operator.leader()
        self.site.cut(old_leader)
        revision = 0
        for number in range(2, 8):
            revision = await self.submit(number, 1 + number % 3)
        await asyncio.sleep(ISOLATION_S)
        self.site.heal()
        await self.wait_until_applied(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 7)
        await self.wait_instances(2)

    async def test_second_replica_lost_right_after_a_repair(self) -> None:
        await self.wait_until_applied(await self.submit(1, 1))
        lost = await self.operator.leader()
        await self.site.kill(lost)
        self.site.delete_data_folder(lost)
        await self.site.restart(lost)
        await self.replace_member(lost)
        next_lost = await self.operator.leader()
        await self.site.kill(next_lost)
        revision = await self.submit(2, 2)
        await self.site.restart(next_lost)
        await self.wait_until_applied(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)
        await self.wait_instances(2)

    async def test_folder_lost_while_another_replica_is_behind(self) -> None:
        await self.wait_until_applied(await self.submit(1, 1))
        leader = await self.operator.leader()
        lost, lagging = (
            name for name in self.site.control_addresses if name != leader
        )
        self.site.cut(lagging)
        revision = await self.submit(2, 2)
        await self.site.kill(lost)
        self.site.delete_data_folder(lost)
        await self.site.restart(lost)
        await self.site.kill(leader)
        self.site.heal()
        # The leader is down and `lost` has a new identity, so that no majority
        # is left that knows revision 2.
        with self.assertRaises(errors.RequestTimeoutError):
            await self.operator.status()
        await self.site.restart(leader)
        await self.replace_member(lost)
        await self.wait_until_applied(revision)
        self.assertEqual((await self.operator.status()).sheet_revision, 2)
        await self.wait_instances(2)

    async def replace_member(self, name: str) -> None:
        """Replaces the old identity of a restarted replica by its new one."""
        address = self.site.control_addresses[name]
        members = await self.operator.members()
        old_id = next(m["replica"] for m in members if m["address"] == address)
        new_id = self.site.replica_id(name)
        self.assertNotEqual(old_id, new_id)
        for action, replica in (
            ("add_learner", new_id),
            ("promote", new_id),
            ("remove", old_id),
        ):
            await self.change_members(action, replica, address)

    async def change_members(
        self, action: str, replica: str, address: str
    ) -> None:
        """Repeats a membership change until it is accepted."""
        async with asyncio.timeout(APPLY_TIMEOUT_S):
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
        for first in range(0, CHANGE_COUNT, CONCURRENT_CHANGES):
            replies = await asyncio.gather(
                *(
                    self.operator.call(
                        "drain",
                        target=f"upstream-{number // 2}",
                        on=number % 2 == 0,
                    )
                    for number in range(first, first + CONCURRENT_CHANGES)
                )
            )
            revision = max(int(r.data["config_revision"]) for r in replies)
        for name in self.site.control_addresses:
            await self.site.kill(name)
        for name in self.site.control_addresses:
            await self.site.restart(name)
        await self.wait_until_applied(revision)
        status = await self.operator.status()
        self.assertGreaterEqual(status.config_revision, revision)
        self.assertEqual(status.sheet_revision, 1)
        self.assert_task_invariants(self.site)
