"""Tests requests while parts of a site fail or shut down.

Callers send keyed requests to a service that isn't idempotent. The journal of
the workers shows which keys reached an upstream, and how often. Guards against
mixed-up answers (P4), false outcomes (P5), a request that runs twice (P6), new
requests for a leaving upstream (P7) and a graceful shutdown that interrupts
requests (P8).
"""

import asyncio
import collections
from collections.abc import Iterable
import random

import aiohttp

from devtools import demo_callers
from devtools import journal
from devtools import site
from tests import site_case

SHAPE = site.small_shape(vms=3, controls=3, entries=2)
SERVE_TIMEOUT_S = 15.0
CALLERS = 8
# An upstream may get new requests for this time after its drain order.
DRAIN_DELAY_S = 3.0
SEED = 4121


class RequestFaultsTest(site_case.SiteTestCase):
    """Failures while callers send requests."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.callers = demo_callers.Callers(
            entries=tuple(
                self.site.address(f"entry-{number}", "entry.listen")
                for number in range(1, SHAPE.entries + 1)
            ),
            session=session,
        )

    async def start_service(self, command: str, count: int = 3) -> None:
        await self.operator.submit(
            1,
            site_case.service_row("entries", count, command, idempotent=False),
        )
        served = await self.callers.wait_until_served(
            "entries", SERVE_TIMEOUT_S
        )
        self.assertTrue(served)

    def start_sending(
        self, seconds: float
    ) -> asyncio.Task[list[demo_callers.SentRequest]]:
        return asyncio.create_task(
            self.callers.steady(
                "entries", keyed=True, callers=CALLERS, seconds=seconds
            )
        )

    def tasks_that_served(self) -> set[str]:
        return {
            record["task"]
            for record in self.site.records()
            if record["event"] == "request"
        }

    def runs_by_key(self) -> collections.Counter[str]:
        return collections.Counter(
            record["key"]
            for record in self.site.records()
            if record["event"] == "request"
        )

    def check_requests(self, sent: Iterable[demo_callers.SentRequest]) -> None:
        """Asserts that requests were answered correctly and ran at most once.

        Each answer has to belong to its request (P4), the outcome has to be
        true (P5) and no request may run twice (P6).
        """
        runs = self.runs_by_key()
        self.assertEqual(journal.repeated_requests(self.site.records()), {})
        for each in sent:
            self.assertTrue(each.answer_matches, each)
            if each.outcome == "not_run":
                self.assertEqual(runs[each.key], 0, each)
            if each.outcome == "completed":
                self.assertEqual(runs[each.key], 1, each)

    async def test_faults_of_all_parts(self) -> None:
        await self.start_service("serve time=20ms")
        sending = self.start_sending(18)
        rng = random.Random(SEED)
        faults = [
            self.kill_agent,
            self.kill_vm,
            self.pause_vm,
            self.reset_links,
            self.cut_entry,
            self.kill_leader,
            self.kill_entry,
        ]
        rng.shuffle(faults)
        for fault in faults:
            number = rng.randint(1, len(SHAPE.vms))
            await fault(number, rng.uniform(0.5, 2))
        sent = await sending
        self.check_requests(sent)
        outcomes = collections.Counter(each.outcome for each in sent)
        self.assertGreater(outcomes["completed"], len(sent) // 2, outcomes)
        unresolved = [
            each for each in sent if each.outcome in ("none", "unknown")
        ]
        await self.callers.resend("entries", unresolved)
        self.check_requests(sent)
        self.assert_task_invariants(self.site)

    async def kill_agent(self, number: int, pause_s: float) -> None:
        await self.site.kill(f"agent-{number}")
        await asyncio.sleep(pause_s)
        await self.site.restart(f"agent-{number}")

    async def kill_vm(self, number: int, pause_s: float) -> None:
        await self.site.kill_vm(number)
        await asyncio.sleep(pause_s)
        await self.site.restart_vm(number)

    async def pause_vm(self, number: int, pause_s: float) -> None:
        self.site.freeze_vm(number)
        await asyncio.sleep(pause_s)
        self.site.thaw_vm(number)

    async def reset_links(self, number: int, pause_s: float) -> None:
        for _ in range(5):
            self.site.reset_links(f"agent-{number}")
            await asyncio.sleep(pause_s / 5)

    async def cut_entry(self, number: int, pause_s: float) -> None:
        self.site.cut_between("entry-1", f"agent-{number}")
        await asyncio.sleep(pause_s)
        self.site.heal()

    async def kill_leader(self, number: int, pause_s: float) -> None:
        del number
        leader = await self.operator.leader()
        await self.site.kill(leader)
        await asyncio.sleep(pause_s)
        await self.site.restart(leader)

    async def kill_entry(self, number: int, pause_s: float) -> None:
        """Kills one of the two entries for the rest of the test."""
        del number
        await self.site.kill("entry-2")
        await asyncio.sleep(pause_s)

    async def test_graceful_stops_cut_off_no_request(self) -> None:
        await self.start_service("serve time=300ms")
        sending = self.start_sending(6)
        await asyncio.sleep(1)
        await self.site.stop("agent-1")
        await self.site.stop("entry-1")
        sent = await sending
        self.check_requests(sent)
        runs = self.runs_by_key()
        started = [each for each in sent if runs[each.key]]
        self.assertGreater(len(started), CALLERS)
        for each in started:
            self.assertEqual(each.outcome, "completed", each)

    async def test_drained_upstream_gets_no_new_work(self) -> None:
        await self.start_service("serve time=5ms", count=2)
        sending = self.start_sending(2 * DRAIN_DELAY_S)
        # The instance that is not drained has to be able to take over.
        await self.wait_for(
            lambda: len(self.tasks_that_served()) == 2,
            "both instances serve",
            within_s=SERVE_TIMEOUT_S,
        )
        run = next(run for run in self.site.runs() if run.state == "running")
        drained_ms = self.site.records()[-1]["mono_ms"]
        reply = await self.operator.call("drain", target=run.task)
        self.assertTrue(reply.ok, reply)
        sent = await sending
        self.check_requests(sent)
        late_records = [
            record
            for record in self.site.records()
            if record["event"] == "request"
            and record["task"] == run.task
            and record["mono_ms"] > drained_ms + 1000 * DRAIN_DELAY_S
        ]
        self.assertEqual(late_records, [])
        outcomes = collections.Counter((e.outcome, e.code) for e in sent)
        self.assertEqual(set(outcomes), {("completed", "")}, outcomes)
