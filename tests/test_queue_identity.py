"""Tests that a queue is identified by its host and prefix, not by its name.

Work of a queue ran on the service of another queue of the same name, because
the leader proposed only the name and the state machine took the first queue
that had it (incident inc-queue-names).
"""

import pathlib
import tempfile
from typing import Any
import unittest

from bamboorouter import errors
from bamboorouter.protocol import commands
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import account_jobs
from bamboorouter.state import machine
from tests import job_builders as make
from tests import platform_site
from tests import test_job_dispatcher

FORMS = make.queue()
REELS = make.queue(prefix="/reels/", service="reel-desk", max_attempts=5)
# The same queues after their names were exchanged.
RENAMED_FORMS = make.queue(name="reels")
RENAMED_REELS = make.queue(prefix="/reels/", service="reel-desk", name="forms")

# Tag and fields of an `AcceptSteps` of versions that found a queue by its name.
FIELDS_BEFORE = 4


def accept(
    job: str, queue: jobs.QueueSettings, *, by_name: bool = False
) -> job_commands.AcceptSteps:
    """Returns the command that accepts a job.

    Args:
        job: ID of the job.
        queue: Queue of the job.
        by_name: Whether a leader of an earlier version proposes it.
    """
    return job_commands.AcceptSteps(
        job=job,
        queue=queue.name,
        spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
        key=None if by_name else queue.key,
    )


def put(
    version: int, *queues: jobs.QueueSettings
) -> job_commands.PutConfiguration:
    """Returns the command that puts a configuration in force."""
    return job_commands.PutConfiguration(
        configuration=make.configuration(version, *queues)
    )


class SubmissionTest(test_job_dispatcher.DispatcherCase):
    """A submission goes to the queue that its host and path select."""

    async def configure(
        self, version: int, *queues: jobs.QueueSettings
    ) -> None:
        await self.job_handler.configure(
            job_messages.OfferConfiguration(
                configuration=make.configuration(version, *queues)
            )
        )

    async def submit_to(self, prefix: str, job: str) -> str:
        answer = await self.job_handler.submit(
            job_messages.SubmitSteps(
                host="desk.example",
                path=f"{prefix}{job}",
                spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
            )
        )
        return answer.outcome

    def pending(self, prefix: str) -> int:
        return self.job_handler.read(
            job_messages.ReadJob(host="desk.example", path=prefix)
        ).waiting

    def service_of(self, job: str) -> str:
        return self.log.machine.stepped.jobs[job].queue.service

    async def test_job_runs_on_the_service_of_its_own_queue(self) -> None:
        """Guards against work on the service of a queue of the same name."""
        await self.configure(2, FORMS, REELS)
        await self.submit_to("/reels/", "a")
        await self.submit_to("/forms/", "b")
        self.assertEqual(self.service_of("a"), "reel-desk")
        self.assertEqual(self.service_of("b"), "desk")
        job = self.log.machine.stepped.jobs["a"]
        self.assertEqual(job.queue.max_attempts, REELS.max_attempts)

    async def test_worker_of_another_service_gets_no_order(self) -> None:
        """Guards against orders to the workers of a queue of the same name."""
        agent = await self.connect_agent()
        await self.configure(2, FORMS, REELS)
        await self.submit_to("/reels/", "a")
        await self.submit_to("/forms/", "b")
        await self.until(agent.started)
        await self.settle()
        self.assertEqual(agent.started(), [make.ref("b")])

    async def test_pending_jobs_are_counted_for_each_queue(self) -> None:
        """Guards against a count of the jobs of all queues of one name."""
        await self.configure(2, FORMS, REELS)
        await self.submit_to("/reels/", "a")
        await self.submit_to("/reels/", "b")
        await self.submit_to("/forms/", "c")
        self.assertEqual(self.pending("/reels/"), 2)
        self.assertEqual(self.pending("/forms/"), 1)

    async def test_pending_jobs_stay_counted_after_names_are_exchanged(
        self,
    ) -> None:
        """Guards against pending jobs that move to another queue's count."""
        reels = make.queue(prefix="/reels/", service="reel-desk", name="reels")
        await self.configure(2, FORMS, reels)
        await self.submit_to("/reels/", "a")
        await self.submit_to("/reels/", "b")
        await self.submit_to("/forms/", "c")
        await self.configure(3, RENAMED_REELS, RENAMED_FORMS)
        self.assertEqual(self.pending("/reels/"), 2)
        self.assertEqual(self.pending("/forms/"), 1)
        self.assertEqual(self.service_of("a"), "reel-desk")

    async def test_names_exchanged_before_the_job_is_applied(self) -> None:
        """Guards against a job that follows a name to another queue."""
        reels = make.queue(prefix="/reels/", service="reel-desk", name="reels")
        await self.configure(2, FORMS, reels)
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit_to("/reels/", "a")
        self.log.apply(put(3, RENAMED_FORMS, RENAMED_REELS))
        self.log.apply_postponed()
        self.assertEqual(self.service_of("a"), "reel-desk")

    async def test_queue_removed_before_the_job_is_applied(self) -> None:
        """Guards against a job of a removed queue in one of its name."""
        await self.configure(2, FORMS, REELS)
        self.log.postpones = True
        with self.assertRaises(errors.UnknownResultError):
            await self.submit_to("/reels/", "a")
        self.log.apply(put(3, FORMS))
        self.log.apply_postponed()
        self.assertEqual(self.log.machine.stepped.jobs, {})
        self.assertEqual(await self.submit_to("/reels/", "a"), "no_queue")

    async def test_order_of_the_queues_does_not_matter(self) -> None:
        """Guards against jobs that go to whichever queue is listed first."""
        await self.configure(2, FORMS, REELS)
        await self.submit_to("/forms/", "a")
        await self.configure(3, REELS, FORMS)
        await self.submit_to("/forms/", "b")
        await self.submit_to("/reels/", "c")
        self.assertEqual(
            [self.service_of(job) for job in "abc"],
            ["desk", "desk", "reel-desk"],
        )

    async def test_queues_of_other_hosts_differ(self) -> None:
        """Guards against a queue that is identified by its prefix alone."""
        other = make.queue(host="reel.example", service="reel-desk")
        await self.configure(2, FORMS, other)
        await self.submit_to("/forms/", "a")
        self.assertEqual(self.service_of("a"), "desk")
        self.assertEqual(self.pending("/forms/"), 1)

    async def test_admission_expects_the_run_times_of_its_own_queue(
        self,
    ) -> None:
        """Guards against target times learned from a queue of the same name.

        A long critical path of the other queue raised the target time of the
        job, so that it was accepted although it would complete too late.
        """
        await self.connect_agent()
        await self.configure(
            2, FORMS, make.queue(prefix="/reels/", target_ms=10**6)
        )
        long_step = make.step(count=100, estimate_ms=100_000)
        for job in ("a", "b"):
            answer = await self.job_handler.submit(
                job_messages.SubmitSteps(
                    host="desk.example",
                    path=f"/reels/{job}",
                    spec=jobs.JobSpec(spec="work", steps=(long_step,)),
                )
            )
            self.assertEqual(answer.outcome, "ok")
        self.assertEqual(await self.submit_to("/forms/", "c"), "refused")

    async def test_job_goes_to_its_queue_under_a_stored_configuration(
        self,
    ) -> None:
        """Guards a configuration that an earlier version has stored."""
        self.log.apply(put(2, FORMS, REELS))
        snapshot = self.log.machine.snapshot()
        self.log.machine = machine.Machine()
        self.log.machine.restore(snapshot)
        await self.submit_to("/reels/", "a")
        self.assertEqual(self.service_of("a"), "reel-desk")


class EarlierVersionsTest(unittest.TestCase):
    """Entries and snapshots of versions that found a queue by its name."""

    def setUp(self) -> None:
        self.machine = machine.Machine()
        self.index = 0

    def apply(self, command: commands.Command) -> commands.Result:
        """Applies a command as it is decoded from the log."""
        self.index += 1
        batch = commands.CommandBatch(wall_ms=0, commands=(command,))
        return self.machine.apply(self.index, batch)[0]

    def test_command_without_a_key_takes_the_first_queue_of_its_name(
        self,
    ) -> None:
        """Guards against replicas that apply an earlier entry differently."""
        self.apply(put(1, FORMS, REELS))
        self.assertTrue(self.apply(accept("a", REELS, by_name=True)).ok)
        self.assertEqual(self.machine.stepped.jobs["a"].queue.service, "desk")

    def test_entry_of_an_earlier_version_is_decoded(self) -> None:
        """New fields come last; an entry of an earlier version lacks them."""
        batch = commands.CommandBatch(wall_ms=0, commands=(accept("a", FORMS),))
        wall_ms, (command,) = commands.BATCH_CODEC.to_plain(batch)
        earlier = command[:FIELDS_BEFORE]
        self.assertEqual(earlier[1:3], ["a", "forms"])
        decoded = commands.BATCH_CODEC.from_plain([wall_ms, [earlier]])
        self.assertEqual(decoded.commands, (accept("a", FORMS, by_name=True),))

    def test_job_without_a_matching_queue_is_refused(self) -> None:
        self.apply(put(1, FORMS))
        for by_name in (False, True):
            unknown = make.queue(name="other", prefix="/other/")
            result = self.apply(accept("a", unknown, by_name=by_name))
            self.assertFalse(result.ok)
        self.assertEqual(self.machine.stepped.jobs, {})

    def test_jobs_in_a_snapshot_keep_their_queues(self) -> None:
        """Guards against jobs that change queues when a replica restarts."""
        self.apply(put(1, FORMS, REELS))
        self.apply(accept("a", REELS))
        self.apply(accept("b", FORMS, by_name=True))
        self.apply(put(2, RENAMED_REELS, RENAMED_FORMS))
        restored = machine.Machine()
        restored.restore(self.machine.snapshot())
        state = restored.stepped
        self.assertEqual(state.jobs["a"].queue, REELS)
        self.assertEqual(state.jobs["b"].queue, FORMS)
        self.assertEqual(state.waiting_jobs(REELS.key), 1)
        self.assertEqual(state.waiting_jobs(FORMS.key), 1)


class UniqueNamesTest(test_job_dispatcher.DispatcherCase):
    """Replicas of earlier versions find the same queues by name."""

    async def committed(self, *queues: jobs.QueueSettings) -> Any:
        """Returns a configuration as the leader commits it."""
        offered = make.configuration(2, *queues)
        await self.job_handler.configure(
            job_messages.OfferConfiguration(configuration=offered)
        )
        configuration = self.log.machine.stepped.configuration
        assert configuration is not None
        self.assertEqual(configuration.document, offered.document)
        return configuration

    async def test_each_queue_has_a_name_of_its_own(self) -> None:
        """Guards against replicas of two versions that choose two queues."""
        third = make.queue(name="third", prefix="/third/")
        configuration = await self.committed(FORMS, REELS, third)
        for queue in configuration.queues:
            self.assertIs(configuration.first_queue_named(queue.name), queue)
        self.assertEqual(
            [queue.key for queue in configuration.queues],
            [FORMS.key, REELS.key, third.key],
        )

    async def test_unique_names_are_kept(self) -> None:
        reels = make.queue(prefix="/reels/", name="reels")
        configuration = await self.committed(FORMS, reels)
        self.assertEqual(configuration.queues, (FORMS, reels))


class AccountTest(unittest.TestCase):
    """The account tells queues of the same name apart."""

    def test_account_names_host_and_prefix(self) -> None:
        (record,) = account_jobs.describe("a", accept("a", REELS), None)
        _, text, fields = record
        self.assertIn("desk.example/reels/", text)
        self.assertEqual(fields["prefix"], "/reels/")

    def test_command_of_an_earlier_version_has_only_a_name(self) -> None:
        command = accept("a", REELS, by_name=True)
        (record,) = account_jobs.describe("a", command, None)
        self.assertEqual(record[2], {"job": "a", "queue": "forms"})


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Routes of one name through all roles of the platform."""

    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = platform_site.PlatformSite(path=pathlib.Path(folder))
        self.addAsyncCleanup(self.site.close)
        await self.site.start()

    async def test_work_runs_on_the_service_of_its_route(self) -> None:
        """Guards against work of a route on the service of another one."""
        document = platform_site.configuration()
        (forms,) = document["routes"]
        reels = {**forms, "pathPrefix": "/reels/", "service": "reel-desk"}
        document["routes"] = [forms, reels]
        document["services"].append({"name": "reel-desk"})

        async def configured() -> bool:
            return await self.put(document) == 200

        await self.site.wait_until(configured)
        self.site.worker.service = "reel-desk"

        async def announced() -> bool:
            return await self.site.announce() == 200

        await self.site.wait_until(announced)
        body = {"spec": "work", "phases": [{"count": 1, "cpu": 500}]}
        for path in ("/forms/00000000000000aa", "/reels/00000000000000bb"):
            status, _ = await self.site.call_as_caller("POST", path, body)
            self.assertEqual(status, 200)

        async def done() -> bool:
            _, answer = await self.site.call_as_caller(
                "GET", "/reels/00000000000000bb"
            )
            return bool(answer and answer.get("state") == "done")

        await self.site.wait_until(done)
        self.assertEqual(
            self.site.worker.started, [("00000000000000bb.0.0.0", 1)]
        )
        _, forms_queue = await self.site.call_as_caller("GET", "/forms/")
        self.assertEqual(forms_queue, {"pending": 1})
        _, reels_queue = await self.site.call_as_caller("GET", "/reels/")
        self.assertEqual(reels_queue, {"pending": 0})
        _, read = await self.site.call_as_operator("GET")
        self.assertEqual(read, document)

    async def put(self, document: dict[str, Any]) -> int:
        """Sends a configuration; returns the status."""
        status, _ = await self.site.call_as_operator("PUT", document)
        return status


if __name__ == "__main__":
    unittest.main()
