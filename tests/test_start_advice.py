"""Tests steps whose starts need a ticket from an external service."""

import asyncio
from collections.abc import Sequence
import json
import unittest

from aiohttp import web

from bamboorouter import errors
from bamboorouter.coordination.jobs import admission
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.coordination.jobs import job_handler
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.policies import advised_starts
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.protocol import value_limits
from tests import job_builders as make
from tests import platform_site
from tests import test_job_dispatcher
from tests import virtual_time

import advice_http  # isort: skip

# Imported because it adds the adapter's folder to sys.path.
del platform_site

KEY: advised_starts.StepKey = ("a", 0, 0)


def advised_step(waiting: int, **fields: object) -> advised_starts.AdvisedStep:
    return advised_starts.AdvisedStep(
        key=KEY,
        task=make.ready(of=make.step(waiting, **fields)),
        waiting=waiting,
    )


class QuestionTest(unittest.TestCase):
    """Requests name few workers, and only while tickets are needed."""

    def setUp(self) -> None:
        self.cache = advised_starts.TicketCache()
        self.workers = [
            make.worker_capacity(f"w{n:03}", millicores=10_000 + n)
            for n in range(160)
        ]

    def ask(self, waiting: int, now: int = 0) -> list[str]:
        """Returns the incarnations named in the next request, in order."""
        request = self.cache.next_request(
            [advised_step(waiting)], self.workers, now
        )
        return [] if request is None else list(request.incarnations)

    def answer(self, incarnations: Sequence[str], *allowed: str) -> None:
        self.cache.record_answer(
            advised_starts.AdviceRequest(
                key=KEY, incarnations=tuple(incarnations)
            ),
            {
                incarnation: f"ticket of {incarnation}"
                for incarnation in allowed
            },
            until_ms=3000,
        )

    def test_wide_step_on_a_large_fleet_asks_for_part_of_it(self) -> None:
        """A step of 39 tasks on 160 workers takes several limited requests."""
        first = self.ask(39)
        self.assertEqual(len(first), advised_starts.MAX_WORKERS_PER_REQUEST)
        self.assertEqual(first[0], "w159@1")
        self.answer(first, *first[:10])
        second = self.ask(39)
        self.assertEqual(set(first) & set(second), set())

    def test_nobody_is_asked_once_enough_workers_are_allowed(self) -> None:
        first = self.ask(3)
        self.answer(first, *first[:3])
        self.assertEqual(self.ask(3), [])
        self.assertEqual(len(self.cache.tickets(KEY, 0)), 3)

    def test_ended_ticket_is_asked_for_again_and_a_refusal_is_not(self) -> None:
        incarnations = [worker.incarnation for worker in self.workers]
        self.answer(incarnations, *incarnations[:2])
        near_expiry_ms = 3000 - advised_starts.TICKET_MARGIN_MS
        self.assertEqual(self.cache.tickets(KEY, near_expiry_ms), {})
        self.assertEqual(
            self.ask(5, now=near_expiry_ms), [incarnations[1], incarnations[0]]
        )

    def test_rejected_start_makes_its_ticket_void(self) -> None:
        first = self.ask(1)
        self.answer(first, first[0])
        self.cache.expire_ticket(KEY, first[0])
        self.assertEqual(self.ask(1)[0], first[0])

    def test_workers_that_do_not_suit_are_not_asked_about(self) -> None:
        full = make.worker_capacity("w1", used_millicores=64_000)
        request = self.cache.next_request([advised_step(1)], [full], 0)
        self.assertIsNone(request)


class FakeAdviceSource:
    """Grants tickets for some workers.

    Attributes:
        allowed: Incarnations that may run every step.
        failures_left: Number of requests that still fail with `error`.
        valid_ms: Validity of the tickets, in ms.
        unread: Incarnations whose rows can't be read.
        failing_job: Job about which each request fails with `error`.
        requests: Incarnations named in each request.
        error: Exception raised for a failed request.
    """

    def __init__(self, *allowed: str) -> None:
        self.allowed = allowed
        self.failures_left = 0
        self.valid_ms = 3000
        self.unread: set[str] = set()
        self.failing_job = ""
        self.requests: list[tuple[str, ...]] = []
        self.error: Exception = errors.RequestTimeoutError(
            text="busy", step="advise"
        )

    async def ask(
        self, key: advised_starts.StepKey, incarnations: Sequence[str]
    ) -> start_advice.Advice:
        self.requests.append(tuple(incarnations))
        await asyncio.sleep(0)
        if self.failures_left:
            self.failures_left -= 1
            raise self.error
        if key[0] == self.failing_job:
            raise self.error
        return start_advice.Advice(
            tickets={
                incarnation: "t-1"
                for incarnation in incarnations
                if incarnation in self.allowed
                and incarnation not in self.unread
            },
            valid_ms=self.valid_ms,
            complete=self.unread.isdisjoint(incarnations),
        )


class AdvisedJobTest(
    virtual_time.VirtualTimeCase, test_job_dispatcher.DispatcherCase
):
    """Jobs of an advised queue start on allowed workers, with a ticket."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.dispatcher.stop()
        self.source = FakeAdviceSource("w2@1")
        self.dispatcher = dispatcher.JobDispatcher(
            log=self.log,
            time=self.time,
            table=worker_table.WorkerTable(),
            advice=self.source,
        )
        self.job_handler = job_handler.JobHandler(
            log=self.log,
            time=self.time,
            admission_policy=admission.Admission(
                worker_capacities=self.dispatcher.capacities.reported,
                has_advice_source=True,
            ),
        )
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(2, make.queue(advised=True))
            )
        )
        self.dispatcher.start()
        self.addAsyncCleanup(self.dispatcher.stop)

    async def test_tasks_start_only_on_allowed_workers(self) -> None:
        refused, allowed = await self.connect_agent(
            "w1"
        ), await self.connect_agent("w2")
        self.assertEqual(await self.submit("a", make.step(3)), "ok")
        await self.until(lambda: len(allowed.started()) == 3)
        self.assertEqual(refused.started(), [])
        tickets = {
            order.ticket for sent in allowed.orders for order in sent.starts
        }
        self.assertEqual(tickets, {"t-1"})

    async def test_busy_service_is_asked_again(self) -> None:
        self.source.failures_left = 2
        agent = await self.connect_agent("w2")
        await self.submit("a")
        await self.until(agent.started)
        self.assertEqual(len(self.source.requests), 3)

    async def test_unexpected_error_is_not_repeated_at_once(self) -> None:
        self.source.failures_left = 1000
        self.source.error = KeyError("worker")
        await self.connect_agent("w2")
        await self.submit("a")
        await asyncio.sleep(0.3)
        # Retries are delayed by 50, 100 and 200 ms.
        self.assertLessEqual(len(self.source.requests), 3)
        self.assertGreater(len(self.source.requests), 1)

    async def test_tickets_without_validity_are_not_asked_for_at_once(
        self,
    ) -> None:
        """Guards against requests without a pause."""
        self.source.valid_ms = 0
        await self.connect_agent("w2")
        await self.submit("a")
        await asyncio.sleep(0.3)
        self.assertLessEqual(len(self.source.requests), 3)
        self.assertGreater(len(self.source.requests), 1)

    async def test_worker_whose_row_can_not_be_read_is_asked_about_again(
        self,
    ) -> None:
        """Guards against a step that never starts: no other worker may."""
        self.source.unread = {"w2@1"}
        agent = await self.connect_agent("w2")
        await self.submit("a")
        await self.until(lambda: len(self.source.requests) == 2)
        self.source.unread = set()
        await self.until(agent.started)

    async def test_step_with_invalid_answers_does_not_hold_up_others(
        self,
    ) -> None:
        self.source.failing_job = "a"
        self.source.error = errors.ProtocolError(text="odd", step="advise")
        agent = await self.connect_agent("w2")
        await self.submit("a")
        await self.submit("b")
        await self.until(agent.started)
        self.assertEqual(agent.started(), [make.ref("b")])

    async def test_rejected_start_is_asked_for_again(self) -> None:
        agent = await self.connect_agent("w2")
        await self.submit("a")
        await self.until(agent.started)
        await self.report(agent, ends=self.run_ends(make.ref(), "rejected"))
        self.time.advance(dispatcher.MAX_PASS_INTERVAL_MS)
        await self.report(agent)
        await self.until(lambda: agent.has_started(2))
        self.assertEqual(len(self.source.requests), 2)

    async def test_other_queues_do_not_wait_for_advice(self) -> None:
        self.source.failures_left = 1000
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(
                    3,
                    make.queue(advised=True),
                    make.queue(name="plain", prefix="/plain/"),
                )
            )
        )
        agent = await self.connect_agent("w2")
        await self.submit("a")
        self.log.apply(
            job_commands.AcceptSteps(
                job="b",
                queue="plain",
                spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
            )
        )
        self.dispatcher.wake()
        await self.until(agent.started)
        self.assertEqual(agent.started(), [make.ref("b")])


class AdviceHttpTest(unittest.IsolatedAsyncioTestCase):
    """HttpAdviceSource follows the platform's protocol."""

    async def asyncSetUp(self) -> None:
        self.status = 200
        self.document: dict[str, object] = {
            "allowed": [["i-2", "t-2"], ["i-9", "t-9"]],
            "validMs": 3000,
        }
        self.bodies: list[object] = []
        application = web.Application()
        application.router.add_post("/-/advise", self.answer)
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        self.source = advice_http.HttpAdviceSource(address=f"127.0.0.1:{port}")

    async def answer(self, request: web.Request) -> web.Response:
        self.bodies.append(json.loads(await request.read()))
        return web.json_response(self.document, status=self.status)

    async def test_tickets_come_back_by_life(self) -> None:
        """The protocol names workers by instance, the advice by incarnation."""
        advice = await self.source.ask(("5c0e", 0, 1), ["i-1@5", "i-2@6"])
        self.assertEqual(
            self.bodies, [{"phase": "5c0e.0.1", "workers": ["i-1", "i-2"]}]
        )
        self.assertEqual(advice.tickets, {"i-2@6": "t-2"})
        self.assertEqual(advice.valid_ms, 3000)

    async def test_odd_rows_are_skipped(self) -> None:
        self.document["allowed"] = [
            ["i-1", 7],
            ["i-2"],
            7,
            ["i-3", "t-3"],
            ["i-4", "x" * (value_limits.MAX_TEXT_CHARACTERS + 1)],
        ]
        advice = await self.source.ask(
            KEY, [f"i-{number}@5" for number in range(1, 5)]
        )
        self.assertEqual(advice.tickets, {"i-3@5": "t-3"})
        self.assertFalse(advice.complete)

    async def test_validity_out_of_range_is_an_error(self) -> None:
        """Guards against tickets that never expire."""
        for valid_ms in (10**30, 10**400, -1, None, 1.5):
            self.document["validMs"] = valid_ms
            with (
                self.subTest(str(valid_ms)[:5]),
                self.assertRaises(errors.ProtocolError),
            ):
                await self.source.ask(KEY, ["i-2@5"])

    async def test_busy_and_absent_service_are_errors(self) -> None:
        self.status = 429
        with self.assertRaises(errors.RouterError):
            await self.source.ask(KEY, ["i-1@5"])
        absent = advice_http.HttpAdviceSource(address="127.0.0.1:1")
        with self.assertRaises(errors.RouterError):
            await absent.ask(KEY, ["i-1@5"])


if __name__ == "__main__":
    unittest.main()
