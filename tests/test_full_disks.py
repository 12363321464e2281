"""Guards against control replicas that stay out after their disk was full."""

import asyncio
from collections.abc import Iterator
import contextlib
import math
import pathlib
import resource
import tempfile
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter.coordination.log import engine
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.roles import control
from bamboorouter.transport import files
from devtools import site
from tests import full_disk
from tests import list_machine
from tests import replica_site
from tests import site_case
from tests import virtual_time

TIMEOUT_MS = 8000
# A disk that has room again must serve within this time.
RECOVERY_S = 8.0
FULL_S = 1.5
SHEET = """revision,{revision}
kind,name,owner,urgency,place,processors,memory_mb,count,idempotent
service,web,guild,0,1,1,100,1,no
"""


class FullDisksCase(unittest.IsolatedAsyncioTestCase):
    """Three control roles of which at most one disk is full at any time."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        self.disks = full_disk.Disks()
        patch = mock.patch.object(files, "DiskFolder", self.disks.open)
        patch.start()
        self.addCleanup(patch.stop)
        self.addresses = tuple(
            f"127.0.0.1:{replica_site.free_port()}" for _ in range(3)
        )
        self.snapshot_entries = 4096
        self.roles = [self.make_role(address) for address in self.addresses]
        self.revision = 0
        self.client = control_client.ControlClient(
            addresses=self.addresses, time=clock.SystemClock()
        )

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await asyncio.gather(*(role.stop() for role in self.roles))

    def data_dir(self, address: str) -> pathlib.Path:
        return self.path / address.rpartition(":")[2]

    def make_role(self, address: str) -> control.ControlRole:
        return control.ControlRole(
            process=options.ProcessOptions(
                name="control", zone="a", roles=("control",)
            ),
            settings=options.ControlOptions(
                listen=address,
                data_dir=str(self.data_dir(address)),
                bootstrap=self.addresses,
                snapshot_entries=self.snapshot_entries,
            ),
        )

    async def start(self) -> None:
        await asyncio.gather(*(role.start() for role in self.roles))
        await self.change()

    async def change(self) -> None:
        """Changes the configuration, as an operator would."""
        self.revision += 1
        call = messages.OperatorCall(
            operation="submit_sheet",
            operation_id=f"sheet-{self.revision}",
            operator="planner",
            arguments={"csv": SHEET.format(revision=self.revision)},
        )
        reply = await self.client.call(call, timeout_ms=TIMEOUT_MS)
        assert isinstance(reply, messages.OperatorReply), reply
        self.assertTrue(reply.ok, reply.text)

    async def change_repeatedly(self, count: int) -> None:
        for _ in range(count):
            await self.change()

    def follows(self, role: control.ControlRole) -> bool:
        """Whether a replica takes part and has applied the newest change."""
        opened = role.replica
        return (
            opened is not None
            and not opened.status().halted
            and bool(opened.leader_address())
            and opened.machine.config_revision >= self.revision
        )

    def opened(self, role: control.ControlRole) -> replica.Replica:
        assert role.replica is not None
        return role.replica

    async def elect(self, role: control.ControlRole) -> None:
        """Makes a replica the leader, for which another one has to vote."""
        candidate = self.opened(role)
        message = messages.TimeoutNow(
            group="main", term=candidate.status().term
        )
        if not candidate.lease_valid():
            now = clock.SystemClock().now()
            candidate.engine.step(
                lambda: candidate.engine.core.receive(message, now)
            )
        await replica_site.wait_until(candidate.lease_valid)

    async def fill(self, role: control.ControlRole) -> None:
        """Lets changes run into a full disk, then makes room again."""
        path = self.data_dir(role.settings.listen)
        before = self.disks.refused.get(path, 0)
        self.disks.full.add(path)
        changes = asyncio.create_task(self.change_repeatedly(3))
        await asyncio.sleep(FULL_S)
        self.disks.full.discard(path)
        self.assertGreater(self.disks.refused.get(path, 0), before)
        await changes

    async def assert_fails(self, role: control.ControlRole) -> None:
        """Waits until a replica is out, and makes room again."""
        path = self.data_dir(role.settings.listen)
        change = asyncio.create_task(self.change())
        await replica_site.wait_until(lambda: role.replica is None)
        await change
        self.disks.full.discard(path)

    async def assert_recovered(self) -> None:
        await self.change()
        await replica_site.wait_until(
            lambda: all(self.follows(role) for role in self.roles),
            timeout_s=RECOVERY_S,
        )


class HaltedLeaderTest(virtual_time.VirtualTimeCase, FullDisksCase):
    """Calls at a leader whose disk is full."""

    async def asyncSetUp(self) -> None:
        self.patch_system_clock()
        await super().asyncSetUp()

    async def test_calls_at_a_leader_with_a_full_disk_end_at_once(self) -> None:
        """Guards against callers that wait for a halted leader."""
        await self.start()
        role = self.roles[0]
        await self.elect(role)
        leader = self.opened(role)
        self.disks.full.add(self.data_dir(self.addresses[0]))
        with self.assertRaises(errors.UnknownResultError):
            async with asyncio.timeout(0.5):
                await leader.propose(
                    list_machine.cancel("a"), timeout_ms=TIMEOUT_MS
                )
        self.assertFalse(leader.lease_valid())
        with self.assertRaises(errors.NotLeaderError):
            await leader.propose(
                list_machine.cancel("b"), timeout_ms=TIMEOUT_MS
            )
        self.disks.full.clear()
        await self.assert_recovered()


class FullDisksTest(FullDisksCase):
    """Replicas that take part again after their disk was full."""

    async def test_changes_are_accepted_after_each_disk_was_full(self) -> None:
        await self.start()
        for role in self.roles:
            await self.fill(role)
            await self.assert_recovered()

    async def test_changes_are_accepted_after_each_leader_was_full(
        self,
    ) -> None:
        """While one leader is out, the other two have to vote for each other."""
        await self.start()
        for role in self.roles:
            await self.elect(role)
            await self.fill(role)
            await self.assert_recovered()

    async def test_disk_full_at_the_first_start_delays_the_group(self) -> None:
        """Guards against a process that ends or stays out after its start."""
        path = self.data_dir(self.addresses[2])
        self.disks.full.add(path)
        await asyncio.gather(*(role.start() for role in self.roles))
        self.assertIsNone(self.roles[2].replica)
        self.assertFalse(self.roles[2].ready())
        self.assertEqual(halted_metric(), 1)
        self.disks.full.discard(path)
        await self.assert_recovered()
        self.assertEqual(halted_metric(), 0)

    async def test_disk_full_at_a_restart_delays_only_its_replica(self) -> None:
        await self.start()
        await self.roles[0].stop()
        self.disks.full.add(self.data_dir(self.addresses[0]))
        self.roles[0] = self.make_role(self.addresses[0])
        await self.roles[0].start()
        self.assertIsNone(self.roles[0].replica)
        await self.change()
        self.disks.full.clear()
        await self.assert_recovered()

    async def test_disk_that_is_full_again_while_it_is_reopened(self) -> None:
        await self.start()
        role = self.roles[0]
        path = self.data_dir(self.addresses[0])
        self.disks.full.add(path)
        await self.change()
        await replica_site.wait_until(lambda: role.replica is None)
        # Opening writes twice, so the disk is full again in between, before
        # the first entry, or before the second one.
        for writes in (1, 2, 3):
            refused = self.disks.refused[path]
            self.disks.writes_left[path] = writes
            async with asyncio.timeout(2 * RECOVERY_S):
                while (
                    self.disks.refused[path] == refused
                    or self.disks.writes_left[path]
                ):
                    await self.change()
                    await asyncio.sleep(0.1)
        self.disks.full.clear()
        await self.assert_recovered()

    async def test_unexpected_errors_while_reopening_are_survived(self) -> None:
        """Guards against a recovery that ends with an error of another kind."""
        await self.start()
        role = self.roles[0]
        self.disks.full.add(self.data_dir(self.addresses[0]))
        failing = mock.AsyncMock(side_effect=RuntimeError("unexpected"))
        with mock.patch.object(replica.Replica, "start", failing):
            await self.assert_fails(role)
            await replica_site.wait_until(lambda: failing.await_count > 2)
        await self.assert_recovered()

    async def test_replica_that_cannot_be_stopped_delays_but_writes_nothing(
        self,
    ) -> None:
        """Guards against an endless wait, and two replicas on one folder."""
        await self.start()
        role = self.roles[0]
        failed = self.opened(role)
        self.disks.full.add(self.data_dir(self.addresses[0]))
        never = asyncio.Event()

        async def hang() -> None:
            while not never.is_set():
                with contextlib.suppress(asyncio.CancelledError):
                    await never.wait()

        assert role.instance is not None
        with mock.patch.object(role.instance, "stop", hang):
            await self.assert_fails(role)
            await self.assert_recovered()
            with self.assertRaisesRegex(errors.StorageError, "closed"):
                failed.log.folder.append("log-1", b"late")
            never.set()
        await failed.stop()

    async def test_snapshot_that_finds_no_room_is_taken_later(self) -> None:
        self.snapshot_entries = 20
        self.roles = [self.make_role(address) for address in self.addresses]
        await self.start()
        role = self.roles[0]
        failed = self.opened(role)
        path = self.data_dir(self.addresses[0])
        self.disks.full_for = "snapshot-"
        self.disks.full.add(path)
        async with asyncio.timeout(20):
            while path not in self.disks.refused:
                await self.change()
        # The role may have opened the next replica already.
        await replica_site.wait_until(lambda: role.replica is not failed)
        self.assertTrue(failed.status().halted)
        with self.assertRaisesRegex(errors.StorageError, "closed"):
            failed.log.folder.append("log-1", b"late")
        self.disks.full.clear()
        await self.assert_recovered()
        # The reopened replica draws another interval, which may be longer.
        longest = math.ceil(
            self.snapshot_entries
            * (1 + engine.SNAPSHOT_JITTER)
            * engine.LEADER_INTERVAL_FACTOR
        )
        while self.opened(role).status().applied < longest:
            await self.change()
            await replica_site.wait_until(lambda: self.follows(role))
        await replica_site.wait_until(
            lambda: any(path.glob("snapshot-*[0-9]")), timeout_s=RECOVERY_S
        )
        self.assertEqual(list(path.glob("*.new")), [])


def halted_metric() -> float:
    (family,) = metrics.REPLICA_HALTED.collect()
    (sample,) = family.samples
    return float(sample.value)


class FullDiskOfProcessesTest(site_case.SiteTestCase):
    """Control processes that can't write to any file for a while."""

    @contextlib.contextmanager
    def full_disk(self, running: site.Site, name: str) -> Iterator[None]:
        """Limits the size of all files that a process writes to 0 bytes."""
        process = running.processes[name].process
        assert process is not None
        limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, limits[1]))
        yield
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)

    async def test_changes_are_accepted_after_all_disks_were_full_in_turn(
        self,
    ) -> None:
        running = await self.start_site(site.small_shape(controls=3))
        operator = await self.start_operator(running)
        row = site_case.service_row("entries", 1)
        await operator.submit(1, row)
        for revision, name in enumerate(running.control_addresses, start=2):
            with self.full_disk(running, name):
                await operator.submit(revision, row)
                await asyncio.sleep(FULL_S)
            await asyncio.sleep(RECOVERY_S)
        revision = await operator.submit(5, row)
        async with asyncio.timeout(RECOVERY_S):
            while True:
                if (await operator.status()).in_force(revision):
                    break
                await asyncio.sleep(site_case.POLL_S)
        members = await operator.members()
        self.assertEqual([m["silent"] for m in members], [False] * 3)


if __name__ == "__main__":
    unittest.main()
