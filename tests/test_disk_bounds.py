"""Guards against control replicas whose data fills their disk."""

import random
import unittest

from absl import logging

from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import engine
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import machine
from tests import memory_folder

MB = 1024 * 1024
# The smallest disk of a core machine, and what the platform's adapter makes of it.
DISK_BYTES = 128 * MB
RETENTION_BYTES = DISK_BYTES // 4
DOCUMENT_BYTES = 370_000
SNAPSHOT_ENTRIES = 4000


class _Host:
    """Discards messages; the only voter needs none."""

    def __init__(self) -> None:
        self.sync_requested = False

    def post(self, envelope: core_state.Envelope) -> None:
        del envelope

    def request_sync(self) -> None:
        self.sync_requested = True

    def applied_entry(self, index: int, results: list[commands.Result]) -> None:
        del index, results


class Replica:
    """A group of one replica on a disk of limited size.

    Attributes:
        folder: The data folder.
        engine: The running replica.
        version: Version of the newest configuration.
    """

    def __init__(self, *, limits: engine.Limits, disk_bytes: int) -> None:
        self.folder = memory_folder.MemoryFolder()
        self.folder.capacity_bytes = disk_bytes
        self.limits = limits
        self.version = 0
        self._host = _Host()
        self.open()
        member = membership.Member(id=self.engine.id, address="a:1", voter=True)
        self.engine.form(membership.Members(members=(member,)), 0)
        self.lead()

    def open(self) -> None:
        """Opens the folder as a restarted process does."""
        self.engine = engine.Engine(
            folder=self.folder,
            machine=machine.Machine(),
            host=self._host,
            group="main",
            address="a:1",
            rng=random.Random(5),
            now=0,
            last_leader_contact_ms=0,
            limits=self.limits,
        )

    def lead(self) -> None:
        """Wins the election and applies the log."""
        self.engine.step(lambda: self.engine.core.tick(10_000))
        self._finish()

    def put_configuration(self, size: int) -> bool:
        """Commits a configuration; returns whether the replica still runs."""
        self.version += 1
        command = job_commands.PutConfiguration(
            configuration=jobs.Configuration(
                version=self.version, document=b"x" * size
            )
        )
        return self.commit(command)

    def commit(self, *batch: commands.Command) -> bool:
        """Commits commands; returns whether the replica still runs."""
        payload = commands.BATCH_CODEC.encode(
            commands.CommandBatch(wall_ms=0, commands=batch)
        )
        self.engine.step(
            lambda: self.engine.core.propose(
                messages.KIND_COMMANDS, payload, 10_000
            )
        )
        self._finish()
        return self.engine.failure is None

    def _finish(self) -> None:
        while True:
            if self._host.sync_requested:
                self._host.sync_requested = False
                self.engine.sync(10_000)
            elif not self.engine.apply(128):
                return


class DiskBoundsTest(unittest.TestCase):
    """Log and snapshots keep their bound in bytes."""

    def setUp(self) -> None:
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)

    def test_large_configurations_dont_fill_the_disk(self) -> None:
        """Guards against snapshots that are due by the number of entries only.

        Some 350 changes of a configuration of 370 KB filled the disks of all
        replicas long before 4,000 entries had been applied.
        """
        replica = Replica(
            limits=engine.Limits.within(
                RETENTION_BYTES, snapshot_entries=SNAPSHOT_ENTRIES
            ),
            disk_bytes=DISK_BYTES,
        )
        for change in range(2000):
            self.assertTrue(
                replica.put_configuration(DOCUMENT_BYTES),
                f"change {change}: {replica.engine.failure}",
            )
            self.assertLessEqual(
                replica.engine.log.total_bytes, RETENTION_BYTES
            )
            if change % 100 == 99:
                print(
                    f"{change + 1} changes: {replica.folder.used_bytes()} bytes"
                )
        replica.open()
        replica.lead()
        self.assertEqual(replica.engine.machine.stepped.version(), 2000)

    def test_log_of_every_size_keeps_its_bound(self) -> None:
        """Documents of 1 KB to 3 MB, on disks of 16 MB to 128 MB."""
        for disk_mb, size in (
            (16, 1000),
            (16, 300_000),
            (64, 1_000_000),
            (128, 3_000_000),
        ):
            with self.subTest(disk_mb=disk_mb, size=size):
                retention = disk_mb * MB // 4
                replica = Replica(
                    limits=engine.Limits.within(
                        retention, snapshot_entries=SNAPSHOT_ENTRIES
                    ),
                    disk_bytes=disk_mb * MB,
                )
                for _ in range(
                    3 * disk_mb * MB // size if size > 1000 else 9000
                ):
                    self.assertTrue(
                        replica.put_configuration(size), replica.engine.failure
                    )
                    self.assertLessEqual(
                        replica.engine.log.total_bytes, retention
                    )


if __name__ == "__main__":
    unittest.main()
