"""Tests which jobs count as begun.

A job counted as begun as soon as a task was assigned. If the worker was lost or
rejected the start, the job waited again, but the length of its queue left it
out and its state was shown as running.
"""

import unittest

import cbor2

from bamboorouter.coordination.jobs import observation_recorder
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.protocol import codec
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from bamboorouter.state import machine
from bamboorouter.state import stepped_jobs
from tests import job_builders as make
from tests import test_job_dispatcher

# Fields of a snapshot that versions without begun jobs write.
FIELDS_BEFORE = 9


class BegunJobsTest(test_job_dispatcher.DispatcherCase):
    """What the leader tells callers about the length of a queue."""

    def state(self, job: str = "a") -> str:
        return self.log.machine.stepped.jobs[job].state()

    async def test_job_whose_worker_is_lost_before_the_start_waits(
        self,
    ) -> None:
        """Guards against a queue that seems empty while its jobs wait."""
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        await self.pass_time(
            worker_table.LEASE_MS + worker_table.LEASE_ALLOWANCE_MS + 1
        )
        self.assertEqual(self.log.machine.stepped.on_worker["w1"], {})
        self.assertEqual((self.waiting(), self.state()), (1, "queued"))

    async def test_job_whose_start_was_rejected_waits(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        await self.report(agent, ends=self.run_ends(make.ref(), "rejected"))
        self.assertEqual((self.waiting(), self.state()), (1, "queued"))

    async def test_job_that_has_begun_does_not_wait_after_its_loss(
        self,
    ) -> None:
        agent = await self.connect_agent()
        await self.submit("a")
        await self.until(agent.started)
        await self.report(agent, runs=(self.held_run(make.ref()),))
        await self.pass_time(
            worker_table.LEASE_MS + worker_table.LEASE_ALLOWANCE_MS + 1
        )
        self.assertEqual(self.log.machine.stepped.on_worker["w1"], {})
        self.assertEqual((self.waiting(), self.state()), (0, "running"))

    async def test_later_leader_knows_which_jobs_have_begun(self) -> None:
        """Guards against a state that goes back after an election."""
        agent = await self.connect_agent()
        for job in ("a", "b"):
            await self.submit(job)
        await self.until(lambda: agent.has_started(2))
        await self.report(agent, runs=(self.held_run(make.ref("a")),))
        await self.pass_time(observation_recorder.RECORD_PERIOD_MS)
        snapshot = self.log.machine.snapshot()
        self.log.machine = machine.Machine()
        self.log.machine.restore(snapshot)
        self.log.elect_again()
        self.assertEqual(
            (self.state("a"), self.state("b"), self.waiting()),
            ("running", "queued", 1),
        )

    async def test_each_job_is_recorded_once(self) -> None:
        agent = await self.connect_agent()
        await self.submit("a", make.step(2))
        await self.until(lambda: agent.has_started(2))
        for _ in range(3):
            await self.report(
                agent,
                runs=tuple(
                    self.held_run(make.ref(index=index)) for index in (0, 1)
                ),
            )
            await self.pass_time(observation_recorder.RECORD_PERIOD_MS)
        recorded = [
            command.begun
            for command, _ in self.log.history
            if isinstance(command, job_commands.NoteCheckpoints)
        ]
        self.assertEqual(recorded, [("a",)])

    async def test_checkpoints_and_begun_jobs_share_a_command(self) -> None:
        """Guards against a second commit, for which the starts would wait."""
        agent = await self.connect_agent()
        await self.submit("a", make.step(checkpoints=True))
        await self.until(agent.started)
        run = job_messages.HeldRun(
            task=make.ref(), attempt=1, running=True, checkpoint="half"
        )
        await self.report(agent, runs=(run,))
        await self.pass_time(observation_recorder.RECORD_PERIOD_MS)
        recorded = [
            (command.begun, [c.value for c in command.checkpoints])
            for command, _ in self.log.history
            if isinstance(command, job_commands.NoteCheckpoints)
        ]
        self.assertEqual(recorded, [(("a",), ["half"])])


class EvidenceTest(unittest.TestCase):
    """Which commands show that a worker has begun a job."""

    def begun_after(self, end: jobs.RunEnd) -> bool:
        state = make.Jobs()
        state.open_session()
        state.accept("a")
        state.start(make.ref())
        state.state.end(job_commands.EndRuns(ends=(end,), tracked=True))
        return state.state.jobs["a"].begun

    def test_end_that_a_worker_lists_shows_a_start(self) -> None:
        outcomes: tuple[jobs.RunOutcome, ...] = (
            "done",
            "failed",
            "stopped",
            "lapsed",
            "broken",
            "alone",
        )
        for how in outcomes:
            with self.subTest(how):
                end = jobs.RunEnd(task=make.ref(), attempt=1, how=how)
                self.assertTrue(self.begun_after(end))

    def test_lost_run_shows_a_start_only_if_it_was_confirmed(self) -> None:
        for started in (False, True):
            end = jobs.RunEnd(
                task=make.ref(), attempt=1, how="lost", started=started
            )
            self.assertEqual(self.begun_after(end), started)

    def test_session_names_the_runs_that_had_started(self) -> None:
        for started in ((), (jobs.RunId(task=make.ref(), attempt=1),)):
            state = make.Jobs()
            state.open_session()
            state.accept("a")
            state.start(make.ref())
            state.state.open_session(
                job_commands.OpenSession(
                    worker="w1",
                    life="w1@2",
                    room=make.CAPACITY,
                    ended=job_commands.IncarnationEnd(
                        life="w1@1", how="crashed", started=started
                    ),
                )
            )
            self.assertEqual(state.state.jobs["a"].begun, bool(started))


class SnapshotTest(unittest.TestCase):
    """Snapshots of versions that record assignments instead of starts."""

    def setUp(self) -> None:
        self.machine = machine.Machine()
        accepted = make.Jobs()
        self.machine.stepped = accepted.state
        accepted.open_session()
        for job in ("assigned", "ended", "waiting"):
            accepted.accept(job)
        for job in ("assigned", "ended"):
            accepted.start(make.ref(job))
        accepted.end(make.ref("ended"), "failed")

    def restored(self, fields: list[object]) -> stepped_jobs.SteppedJobs:
        restored = machine.Machine()
        restored.restore(cbor2.dumps(fields))
        return restored.stepped

    def test_assigned_job_of_an_earlier_version_has_not_begun(self) -> None:
        """Guards against a wrong mark that an upgrade would keep."""
        fields = codec.loads(self.machine.snapshot())
        earlier = self.restored(fields[:FIELDS_BEFORE])
        self.assertEqual(
            [job.id for job in earlier.jobs.values() if job.begun], ["ended"]
        )

    def test_earlier_version_reads_whether_a_task_was_assigned(self) -> None:
        started = {
            job.id: job_records.job_to_lists(job)[7]
            for job in self.machine.stepped.jobs.values()
        }
        self.assertEqual(
            started, {"assigned": True, "ended": True, "waiting": False}
        )

    def test_begun_jobs_are_restored(self) -> None:
        self.machine.stepped.note_checkpoints(
            job_commands.NoteCheckpoints(
                checkpoints=(), begun=("assigned", "unknown")
            )
        )
        restored = self.restored(codec.loads(self.machine.snapshot()))
        self.assertEqual(
            [job.id for job in restored.jobs.values() if job.begun],
            ["assigned", "ended"],
        )


if __name__ == "__main__":
    unittest.main()
