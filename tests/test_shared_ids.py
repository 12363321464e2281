"""Tests callers of two queues who choose the same ID for their jobs.

The second job was answered as accepted and never ran; its callers saw the state
of the other queue's job and could cancel it (incident inc-shared-ids).
"""

import unittest
from unittest import mock

from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.coordination.jobs import admission
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import machine
from tests import job_builders as make
from tests import test_job_dispatcher

FORMS = make.queue()
REELS = make.queue(name="reels", prefix="/reels/")
# Tag and fields of a `CancelSteps` of versions without queue keys.
FIELDS_BEFORE = 3


class SharedIdCase(test_job_dispatcher.DispatcherCase):
    """Two queues of one service."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(2, FORMS, REELS)
            )
        )

    async def submit_to(
        self, queue: jobs.QueueSettings, job: str = "a"
    ) -> job_messages.JobAnswer:
        return await self.job_handler.submit(
            job_messages.SubmitSteps(
                host=queue.host,
                path=f"{queue.prefix}{job}",
                spec=jobs.JobSpec(spec=queue.prefix, steps=(make.step(),)),
            )
        )

    async def cancel_at(self, queue: jobs.QueueSettings) -> str:
        answer = await self.job_handler.cancel(
            job_messages.CancelJobSteps(
                host=queue.host, path=f"{queue.prefix}a"
            )
        )
        return answer.outcome

    def read_at(self, queue: jobs.QueueSettings) -> job_messages.JobAnswer:
        return self.job_handler.read(
            job_messages.ReadJob(host=queue.host, path=f"{queue.prefix}a")
        )

    def replace_leader(self) -> None:
        """Elects a replica that starts from a snapshot."""
        snapshot = self.log.machine.snapshot()
        self.log.machine = machine.Machine()
        self.log.machine.restore(snapshot)
        self.log.elect_again()


class SubmissionTest(SharedIdCase):
    """An ID belongs to the queue that has accepted it first."""

    async def test_second_queue_refuses_the_id(self) -> None:
        """Guards against a job that is accepted and never runs."""
        self.assertEqual((await self.submit_to(FORMS)).outcome, "ok")
        answer = await self.submit_to(REELS)
        self.assertEqual(answer.outcome, "refused")
        self.assertEqual(answer.retry_after_ms, 0)
        self.assertIn("another queue", answer.reason)
        self.assertEqual(self.log.machine.stepped.jobs["a"].queue, FORMS)

    async def test_later_leader_refuses_the_id_too(self) -> None:
        """Guards against a resend that another leader accepts."""
        await self.submit_to(FORMS)
        self.replace_leader()
        self.assertEqual((await self.submit_to(REELS)).outcome, "refused")
        self.assertEqual((await self.submit_to(FORMS)).outcome, "ok")

    async def test_ended_job_keeps_its_id(self) -> None:
        await self.submit_to(FORMS)
        await self.cancel_at(FORMS)
        self.assertEqual((await self.submit_to(REELS)).outcome, "refused")
        self.assertEqual(self.read_at(REELS).outcome, "no_job")

    async def test_forgotten_id_may_be_used_by_another_queue(self) -> None:
        await self.submit_to(FORMS)
        await self.cancel_at(FORMS)
        self.log.apply(job_commands.ForgetSteps(jobs=("a",)))
        self.assertEqual((await self.submit_to(REELS)).outcome, "ok")
        self.assertEqual(self.log.machine.stepped.jobs["a"].queue, REELS)

    async def test_id_that_another_queue_takes_meanwhile_is_refused(
        self,
    ) -> None:
        """Guards against two proposals of one ID that are both confirmed."""
        self.log.postpones = True
        for queue in (FORMS, REELS):
            with self.assertRaises(errors.UnknownResultError):
                await self.submit_to(queue)
        self.log.apply_postponed()
        _, result = self.log.history[-1]
        self.assertEqual(result.code, error_texts.JOB_ID_IN_USE)
        self.assertEqual((await self.submit_to(FORMS)).outcome, "ok")
        self.assertEqual((await self.submit_to(REELS)).outcome, "refused")

    async def test_id_that_is_taken_during_the_proposal_is_refused(
        self,
    ) -> None:
        """Guards against a confirmation of a command that was refused."""
        taken = commands.Result(ok=False, code=error_texts.JOB_ID_IN_USE)
        with mock.patch.object(self.log, "propose", return_value=taken):
            answer = await self.submit_to(REELS)
        self.assertEqual(answer.outcome, "refused")

    async def test_refusal_in_one_queue_does_not_hold_in_another(
        self,
    ) -> None:
        """Guards against a job that is refused for the work of another."""
        refusal = admission.Refusal(reason="overload", retry_after_ms=9_000)
        with mock.patch.object(
            self.job_handler.admission, "check", return_value=refusal
        ):
            self.assertEqual((await self.submit_to(FORMS)).outcome, "refused")
        self.assertEqual((await self.submit_to(REELS)).outcome, "ok")

    async def test_job_that_is_pending_in_one_queue_is_checked_in_another(
        self,
    ) -> None:
        """Guards against a job that is accepted without a check."""
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit_to(FORMS)
        refusal = admission.Refusal(reason="overload", retry_after_ms=9_000)
        with mock.patch.object(
            self.job_handler.admission, "check", return_value=refusal
        ):
            self.assertEqual((await self.submit_to(REELS)).outcome, "refused")


class ForeignCallTest(SharedIdCase):
    """Callers of a queue neither see nor change the job of another one."""

    async def test_state_is_not_shown(self) -> None:
        """Guards against the state of another queue's job."""
        await self.submit_to(FORMS)
        self.assertEqual(
            self.read_at(REELS), job_messages.JobAnswer(outcome="no_job")
        )
        self.assertEqual(self.read_at(FORMS).state, "queued")

    async def test_job_is_not_cancelled(self) -> None:
        """Guards against a cancellation by the callers of another queue."""
        await self.submit_to(FORMS)
        self.assertEqual(await self.cancel_at(REELS), "no_job")
        self.assertEqual(self.read_at(FORMS).state, "queued")
        self.assertEqual(await self.cancel_at(FORMS), "ok")
        self.assertEqual(self.read_at(FORMS).state, "cancelled")

    async def test_job_that_is_accepted_meanwhile_is_not_cancelled(
        self,
    ) -> None:
        """Guards against a cancellation that was proposed before the job."""
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit_to(FORMS)
        with self.assertRaises(errors.UnknownResultError):
            await self.cancel_at(REELS)
        self.log.apply_postponed()
        self.assertEqual(self.read_at(FORMS).state, "queued")
        self.assertEqual(await self.cancel_at(REELS), "no_job")

    async def test_withdrawal_of_an_unconfirmed_job_of_another_queue(
        self,
    ) -> None:
        """Guards against a cancellation that isn't answered."""
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit_to(FORMS)
        self.log.postpones = False
        original = self.log.propose

        async def propose_after_the_job(
            command: commands.Command, *, timeout_ms: int
        ) -> commands.Result:
            self.log.apply_postponed()
            return await original(command, timeout_ms=timeout_ms)

        with mock.patch.object(self.log, "propose", propose_after_the_job):
            self.assertEqual(await self.cancel_at(REELS), "no_job")
        self.assertEqual(self.read_at(FORMS).state, "queued")


class EarlierVersionsTest(SharedIdCase):
    """Entries of versions that went by the ID alone, and their jobs."""

    async def test_command_without_a_key_cancels_any_job(self) -> None:
        await self.submit_to(FORMS)
        self.log.apply(job_commands.CancelSteps(job="a", withdraw=True))
        self.assertEqual(self.read_at(FORMS).state, "cancelled")

    async def test_entry_of_an_earlier_version_is_decoded(self) -> None:
        batch = commands.CommandBatch(
            wall_ms=0,
            commands=(
                job_commands.CancelSteps(job="a", withdraw=True, key=FORMS.key),
            ),
        )
        wall_ms, (command,) = commands.BATCH_CODEC.to_plain(batch)
        decoded = commands.BATCH_CODEC.from_plain(
            [wall_ms, [command[:FIELDS_BEFORE]]]
        )
        self.assertEqual(
            decoded.commands,
            (job_commands.CancelSteps(job="a", withdraw=True),),
        )

    async def test_job_under_an_ambiguous_name_is_shown_in_both_queues(
        self,
    ) -> None:
        """Guards against a lost job that an earlier version has accepted."""
        reels = make.queue(prefix="/reels/")
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(3, FORMS, reels)
            )
        )
        self.log.apply(
            job_commands.AcceptSteps(
                job="a",
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
            )
        )
        for queue in (FORMS, reels):
            self.assertEqual(self.read_at(queue).state, "queued")
            self.assertEqual((await self.submit_to(queue)).outcome, "ok")
        self.assertEqual(await self.cancel_at(reels), "ok")
        self.assertEqual(self.read_at(FORMS).state, "cancelled")

    async def test_exchanged_names_show_no_foreign_job(self) -> None:
        """Guards against a job that its callers see in the wrong queue."""
        await self.submit_to(FORMS)
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(
                    3,
                    make.queue(name="reels"),
                    make.queue(prefix="/reels/", name="forms"),
                )
            )
        )
        self.assertEqual(self.read_at(REELS).outcome, "no_job")
        self.assertEqual(self.read_at(FORMS).state, "queued")


if __name__ == "__main__":
    unittest.main()
