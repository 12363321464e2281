"""Guards against control replicas that stay out after their disk was full."""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import resource
import tempfile
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import options
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.roles import control
from bamboorouter.transport import files
from devtools import site
from tests import full_disk
from tests import replica_site
from tests import site_case

TIMEOUT_MS = 8000
# A disk that has room again must serve within this time.
RECOVERY_S = 8.0
FULL_S = 1.5
SHEET = """revision,{revision}
kind,name,owner,urgency,place,processors,memory_mb,count,idempotent
service,web,guild,0,1,1,100,1,no
"""


class FullDisksTest(unittest.IsolatedAsyncioTestCase):
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

    async def assert_recovered(self) -> None:
        await self.change()
        await replica_site.wait_until(
            lambda: all(self.follows(role) for role in self.roles),
            timeout_s=RECOVERY_S,
        )

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
