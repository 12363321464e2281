"""Guards P4 to P8 on whole sites of processes.

Callers send keyed requests of a service that must not repeat them. The journal
of the workers shows which keys reached an upstream, and how often.
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
SERVED_S = 15.0
CALLERS = 8
# An upstream that leaves gets no new work after a few seconds.
LEAVING_S = 3.0
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

    async def serve(self, command: str, count: int = 3) -> None:
        await self.operator.submit(
            1,
            site_case.service_row("entries", count, command, idempotent=False),
        )
        served = await self.callers.wait_until_served("entries", SERVED_S)
        self.assertTrue(served)

    def send_for(self, seconds: float) -> asyncio.Task[list[demo_callers.Sent]]:
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

    def check(self, sent: Iterable[demo_callers.Sent]) -> None:
        """Asserts P4, P5 and P6."""
        runs = self.runs_by_key()
        self.assertEqual(journal.repeated_requests(self.site.records()), {})
        for each in sent:
            self.assertTrue(each.own_answer, each)
            if each.outcome == "not_run":
                self.assertEqual(runs[each.key], 0, each)
            if each.outcome == "completed":
                self.assertEqual(runs[each.key], 1, each)

    async def test_faults_of_all_parts(self) -> None:
        await self.serve("serve time=20ms")
        sending = self.send_for(18)
        chance = random.Random(SEED)
        faults = [
            self.kill_agent,
            self.kill_vm,
            self.pause_vm,
            self.reset_links,
            self.cut_entry,
            self.kill_leader,
            self.kill_entry,
        ]
        chance.shuffle(faults)
        for fault in faults:
            number = chance.randint(1, len(SHAPE.vms))
            await fault(number, chance.uniform(0.5, 2))
        sent = await sending
        self.check(sent)
        outcomes = collections.Counter(each.outcome for each in sent)
        self.assertGreater(outcomes["completed"], len(sent) // 2, outcomes)
        lost = [each for each in sent if each.outcome in ("none", "unknown")]
        await self.callers.resend("entries", lost)
        self.check(sent)
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
        del number
        await self.site.kill("entry-2")
        await asyncio.sleep(pause_s)

    async def test_graceful_stops_cut_off_no_request(self) -> None:
        await self.serve("serve time=300ms")
        sending = self.send_for(6)
        await asyncio.sleep(1)
        await self.site.stop("agent-1")
        await self.site.stop("entry-1")
        sent = await sending
        self.check(sent)
        runs = self.runs_by_key()
        begun = [each for each in sent if runs[each.key]]
        self.assertGreater(len(begun), CALLERS)
        for each in begun:
            self.assertEqual(each.outcome, "completed", each)

    async def test_drained_upstream_gets_no_new_work(self) -> None:
        await self.serve("serve time=5ms", count=2)
        sending = self.send_for(2 * LEAVING_S)
        # The other instance has to be able to take over.
        await self.wait_for(
            lambda: len(self.tasks_that_served()) == 2,
            "both instances serve",
            within_s=SERVED_S,
        )
        run = next(run for run in self.site.runs() if run.state == "running")
        drained_ms = self.site.records()[-1]["mono_ms"]
        reply = await self.operator.call("drain", target=run.task)
        self.assertTrue(reply.ok, reply)
        sent = await sending
        self.check(sent)
        late = [
            record
            for record in self.site.records()
            if record["event"] == "request"
            and record["task"] == run.task
            and record["mono_ms"] > drained_ms + 1000 * LEAVING_S
        ]
        self.assertEqual(late, [])
        outcomes = collections.Counter((e.outcome, e.code) for e in sent)
        self.assertEqual(set(outcomes), {("completed", "")}, outcomes)
