"""Tests jobs that are cancelled before their submission arrives.

A caller that gets no answer from a suspended entry cancels its job at another
one. The submission reaches the leader once the entry is resumed; the job ran
although its cancellation had been acknowledged.
"""

import unittest

import cbor2

from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.protocol import codec
from bamboorouter.protocol import job_commands
from bamboorouter.state import machine
from bamboorouter.state import withdrawn_jobs
from tests import job_builders as make
from tests import test_job_dispatcher

# Fields of a snapshot that versions without withdrawn jobs read.
FIELDS_BEFORE = 9


class LateSubmissionTest(test_job_dispatcher.DispatcherCase):
    """The leader refuses a job that was cancelled before it arrived."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.connect_agent()

    async def test_submission_after_its_cancellation_is_refused(self) -> None:
        """Guards against a job that runs after its cancellation was answered."""
        self.assertEqual(await self.cancel("a"), "no_job")
        answer = await self.job_handler.submit(self.submission("a"))
        self.assertEqual(
            (answer.outcome, answer.retry_after_ms), ("refused", 0)
        )
        self.assertEqual(self.log.machine.stepped.jobs, {})
        self.assertEqual(await self.submit("b"), "ok")

    async def test_later_leader_refuses_the_submission_too(self) -> None:
        """Guards against a late submission that reaches the next leader."""
        await self.cancel("a")
        snapshot = self.log.machine.snapshot()
        self.log.machine = machine.Machine()
        self.log.machine.restore(snapshot)
        self.log.elect_again()
        self.assertEqual(await self.submit("a"), "refused")

    async def test_submission_during_an_unconfirmed_withdrawal_is_refused(
        self,
    ) -> None:
        """Guards against a job that is accepted after its withdrawal commits."""
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.cancel("a")
        with self.assertRaises(errors.UnknownResultError):
            await self.submit("a")
        self.log.apply_postponed()
        self.assertEqual(await self.submit("a"), "refused")
        self.assertEqual(self.log.machine.stepped.jobs, {})

    async def test_withdrawal_that_was_not_proposed_refuses_nothing(
        self,
    ) -> None:
        self.log.has_lease = False
        with self.assertRaises(errors.NotLeaderError):
            await self.cancel("a")
        self.log.has_lease = True
        self.assertEqual(await self.submit("a"), "ok")

    async def test_withdrawal_of_an_earlier_term_is_not_pending(self) -> None:
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.cancel("a")
        self.log.postpones = False
        self.log.elect_again()
        self.assertEqual(await self.submit("a"), "ok")

    async def test_queue_is_not_withdrawn_as_a_job(self) -> None:
        self.assertEqual(await self.cancel(""), "no_job")
        self.assertEqual(list(self.log.machine.stepped.withdrawn.ids()), [])

    async def test_withdrawal_is_kept_as_long_as_an_ended_job(self) -> None:
        await self.cancel("a")
        await self.pass_time(1000)
        self.time.advance(dispatcher.ENDED_JOB_RETENTION_MS - 1000)
        await self.settle()
        self.assertIn("a", self.log.machine.stepped.withdrawn)
        self.time.advance(1000)
        await self.settle()
        self.assertNotIn("a", self.log.machine.stepped.withdrawn)

    async def test_cancellation_that_can_not_be_recorded_is_not_acknowledged(
        self,
    ) -> None:
        for number in range(withdrawn_jobs.MAX_WITHDRAWN_JOBS):
            self.log.machine.stepped.withdrawn.add(f"{number:x}")
        with self.assertRaises(errors.RefusedError) as raised:
            await self.cancel("late")
        self.assertEqual(raised.exception.code, error_texts.TOO_MANY_WITHDRAWN)
        self.assertEqual(await self.cancel("0"), "no_job")
        self.assertEqual(await self.submit("late"), "ok")


class MixedVersionsTest(unittest.TestCase):
    """Replicas with and without withdrawn jobs agree on the accepted ones."""

    def test_cancellation_by_an_earlier_version_records_nothing(self) -> None:
        state = make.Jobs().state
        result = state.cancel(job_commands.CancelSteps(job="a"))
        self.assertFalse(result.ok)
        self.assertNotIn("a", state.withdrawn)

    def test_job_accepted_by_an_earlier_version_is_accepted_here(self) -> None:
        accepted = make.Jobs()
        accepted.state.cancel(job_commands.CancelSteps(job="a", withdraw=True))
        accepted.accept("a")
        self.assertIn("a", accepted.state.jobs)
        self.assertNotIn("a", accepted.state.withdrawn)

    def test_snapshot_differs_only_by_further_fields(self) -> None:
        """Earlier versions ignore them; a snapshot of theirs has none."""
        original = machine.Machine()
        original.stepped.withdrawn.add("a")
        fields = codec.loads(original.snapshot())
        self.assertEqual(
            fields[:FIELDS_BEFORE],
            codec.loads(machine.Machine().snapshot())[:FIELDS_BEFORE],
        )
        self.assertGreater(len(fields), FIELDS_BEFORE)
        original.restore(cbor2.dumps(fields[:FIELDS_BEFORE]))
        self.assertEqual(list(original.stepped.withdrawn.ids()), [])


if __name__ == "__main__":
    unittest.main()
