"""Guards against control replicas whose data fills their disk."""

import asyncio
import random
import unittest
from unittest import mock

from absl import logging

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import options
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import engine
from bamboorouter.coordination.log import proposals
from bamboorouter.coordination.log import replica
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import machine
from tests import job_builders
from tests import memory_folder
from tests import replica_site

MB = 1024 * 1024
# The smallest disk of a core machine, and what the platform's adapter makes of it.
DISK_BYTES = 128 * MB
RETENTION_BYTES = DISK_BYTES // 4
DOCUMENT_BYTES = 370_000
SNAPSHOT_ENTRIES = 4000
SMALL_DISK_MB = 8
MEASURE_PERIOD_MS = 100
RETRY_PAUSE_S = 0.05


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

    def test_full_disk_of_an_earlier_version_gets_free(self) -> None:
        """Guards against a replica that needs free space to make any.

        Opening a folder copied the newest segment and the vote, and segments
        were removed only after a new entry had been synced.
        """
        for snapshot_entries in (20, 45):
            with self.subTest(snapshot_entries=snapshot_entries):
                replica = Replica(
                    limits=engine.Limits(
                        snapshot_entries=snapshot_entries // 4, segment_bytes=MB
                    ),
                    disk_bytes=16 * MB,
                )
                while replica.put_configuration(100_000):
                    pass
                self.assertIn("No space left", str(replica.engine.failure))
                version = replica.engine.machine.stepped.version()
                replica.folder.capacity_bytes = replica.folder.used_bytes()
                replica.limits = engine.Limits.within(
                    4 * MB, snapshot_entries=SNAPSHOT_ENTRIES
                )
                replica.open()
                replica.lead()
                self.assertIsNone(replica.engine.failure)
                self.assertGreaterEqual(
                    replica.engine.machine.stepped.version(), version
                )
                for _ in range(100):
                    self.assertTrue(replica.put_configuration(100_000))
                self.assertLess(replica.engine.log.total_bytes, 4 * MB)


class StateBoundTest(unittest.IsolatedAsyncioTestCase):
    """What would make snapshots too large for the disk is refused in time."""

    async def asyncSetUp(self) -> None:
        verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, verbosity)
        self.folder = memory_folder.MemoryFolder()
        self.folder.capacity_bytes = SMALL_DISK_MB * MB
        period = mock.patch.object(
            engine, "MEASURE_PERIOD_MS", MEASURE_PERIOD_MS
        )
        period.start()
        self.addCleanup(period.stop)
        address = f"127.0.0.1:{replica_site.free_port()}"
        self.replica = replica.Replica(
            process=options.ProcessOptions(
                name="control", zone="a", roles=("control",)
            ),
            settings=options.ControlOptions(
                data_dir="unused",
                bootstrap=(address,),
                snapshot_entries=SNAPSHOT_ENTRIES,
                retention_mb=SMALL_DISK_MB // 4,
                disk_mb=SMALL_DISK_MB,
            ),
            folder=self.folder,
            machine=machine.Machine(),
            time=clock.SystemClock(),
        )
        await self.replica.start(address, last_leader_contact_ms=0)
        self.addAsyncCleanup(self.replica.stop)
        await replica_site.wait_until(self.replica.lease_valid)
        self.number = 0
        await self.propose(
            job_commands.PutConfiguration(
                configuration=jobs.Configuration(
                    version=1,
                    queues=(job_builders.queue(),),
                    services=(jobs.ServiceSettings(name="desk"),),
                )
            )
        )

    async def propose(self, command: commands.Command) -> commands.Result:
        return await self.replica.propose(command, timeout_ms=5000)

    async def accept(self, *, tasks: int, spec: str) -> bool:
        """Submits a job; returns whether it was accepted."""
        self.number += 1
        command = job_commands.AcceptSteps(
            job=f"job-{self.number}",
            queue=job_builders.queue().name,
            spec=jobs.JobSpec(spec=spec, steps=(job_builders.step(tasks),)),
        )
        try:
            result = await self.propose(command)
        except errors.RefusedError as err:
            self.assertEqual(err.code, error_texts.STATE_FULL)
            return False
        self.assertTrue(result.ok, result)
        return True

    async def fill(self, *, tasks: int, spec: str) -> int:
        """Submits jobs until the state is full; returns the accepted ones."""
        accepted = refused = 0
        while refused * RETRY_PAUSE_S < 3 * MEASURE_PERIOD_MS / 1000:
            if await self.accept(tasks=tasks, spec=spec):
                accepted += 1
                refused = 0
            else:
                refused += 1
                await asyncio.sleep(RETRY_PAUSE_S)
            self.assertIsNone(self.replica.engine.failure)
        return accepted

    async def forget_all(self) -> None:
        """Cancels and removes all jobs, which is possible at any time."""
        known = tuple(self.replica.machine.stepped.jobs)
        for job in known:
            result = await self.propose(job_commands.CancelSteps(job=job))
            self.assertTrue(result.ok)
        await self.propose(job_commands.ForgetSteps(jobs=known))
        self.assertFalse(self.replica.machine.stepped.jobs)

    async def test_jobs_dont_fill_the_disk(self) -> None:
        """Guards against snapshots that find no room and halt each replica.

        Jobs with long texts, and jobs whose tasks take far more than the job.
        """
        for tasks, spec in ((1, "x" * 30_000), (2500, "short")):
            with self.subTest(tasks=tasks):
                accepted = await self.fill(tasks=tasks, spec=spec)
                self.assertGreater(accepted, 2)
                await self.forget_all()
                self.assertGreater(
                    await self.fill(tasks=tasks, spec=spec), accepted // 2
                )
                await self.forget_all()
        self.assertLess(self.folder.largest_bytes, SMALL_DISK_MB * MB)

    async def test_command_that_doesnt_fit_into_a_segment_is_refused(
        self,
    ) -> None:
        large = job_commands.PutConfiguration(
            configuration=jobs.Configuration(
                version=2, document=b"x" * (SMALL_DISK_MB * MB // 32)
            )
        )
        with self.assertRaises(errors.RefusedError) as refused:
            await self.propose(large)
        self.assertEqual(refused.exception.code, error_texts.COMMAND_TOO_LARGE)
        self.assertIn("262144", refused.exception.text)
        self.assertEqual(self.replica.machine.stepped.version(), 1)


class ProposalQueueTest(unittest.IsolatedAsyncioTestCase):
    """The queue of proposals is bounded in bytes."""

    async def test_queue_takes_no_more_than_its_bytes(self) -> None:
        queue = proposals.Proposals(batch_limit=256, batch_bytes=MB)
        command = job_commands.CancelSteps(job="a")
        size = 3 * MB

        def proposal() -> proposals.PendingProposal:
            return proposals.PendingProposal(
                command=command,
                size=size,
                result=asyncio.get_running_loop().create_future(),
            )

        while not queue.is_full(proposal()):
            queue.add(proposal())
        self.assertLessEqual(queue.queued_bytes, proposals.QUEUE_BYTES)
        queue.appended(1, queue.next_batch())
        queue.applied(1, [commands.Result(ok=True)])
        self.assertTrue(queue.withdraw(queue.queue[0]))
        remaining = len(queue.queue)
        self.assertEqual(queue.queued_bytes, remaining * size)
        self.assertEqual(queue.growth_bytes, remaining * size)
        failed = list(queue.queue)
        queue.fail_all(leader="")
        self.assertTrue(all(p.result.exception() for p in failed))
        self.assertEqual((queue.queued_bytes, queue.growth_bytes), (0, 0))


if __name__ == "__main__":
    unittest.main()
