"""Guards outcomes while upstreams leave, links break and peers fall silent."""

import asyncio
import collections
import random
import time
import unittest

from aiohttp import web

from bamboorouter.coordination.requests import agent_links
from tests import request_site


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Two services, one idempotent, on three VMs each."""

    async def asyncSetUp(self) -> None:
        self.draw = random.Random(17)
        self.runs: collections.Counter[str] = collections.Counter()
        self.faults = False
        self.vms = [
            request_site.Vm(
                name=f"{name}-{number}", service=name, handler=self._serve
            )
            for name in ("prism", "entries")
            for number in range(3)
        ]
        self.site = request_site.Site(
            services=[
                request_site.service("prism"),
                request_site.service("entries", idempotent=False),
            ],
            vms=self.vms,
        )
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        number = request.raw_path.removeprefix("/")
        self.runs[number] += 1
        await asyncio.sleep(self.draw.random() / 50)
        if self.faults and self.draw.random() < 0.05:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(text=f"answer {number}")

    async def _ask(
        self, service: str, number: int, deadline_ms: int = 3000
    ) -> tuple[str, str, str]:
        headers = {"Bamboorouter-Deadline-Ms": str(deadline_ms)}
        if service == "entries":
            headers["Idempotency-Key"] = request_site.key(number)
        async with self.site.client.post(
            f"{self.site.url}/{service}/{number}", headers=headers
        ) as answer:
            return (
                answer.headers["Bamboorouter-Outcome"],
                answer.headers.get("Bamboorouter-Code", ""),
                await answer.text(),
            )

    async def test_outcomes_hold_under_random_faults(self) -> None:
        """Guards against false outcomes (P4, P5, P6).

        While requests run, links are cut, upstreams leave and come back, and
        upstreams drop connections. Then each outcome is compared with what
        the upstreams saw.
        """
        self.faults = True
        stop = asyncio.Event()
        disturbing = asyncio.create_task(self._disturb(stop))
        results: dict[int, tuple[str, str, str]] = {}

        async def caller(numbers: range) -> None:
            for number in numbers:
                service = "entries" if number % 2 else "prism"
                results[number] = await self._ask(service, number)
                if results[number][0] == "not_run":
                    await asyncio.sleep(0.1)

        await asyncio.gather(
            *(caller(range(n, n + 40)) for n in range(0, 1200, 40))
        )
        stop.set()
        await disturbing
        outcomes = collections.Counter(r[0] for r in results.values())
        print(
            collections.Counter(
                (r[0], r[1], r[2][:150] if r[0] != "completed" else "")
                for r in results.values()
            ).most_common(25)
        )
        self.assertGreater(outcomes["completed"], 600, outcomes)
        self.assertGreater(outcomes["unknown"], 0, "no fault had an effect")
        for number, (outcome, _, text) in results.items():
            runs = self.runs[str(number)]
            if number % 2:
                self.assertLessEqual(runs, 1, "non-idempotent ran twice")
            if outcome == "not_run":
                self.assertEqual(runs, 0, "not_run was run")
            if outcome == "completed":
                self.assertGreaterEqual(runs, 1)
                self.assertEqual(text, f"answer {number}")

    async def _disturb(self, stop: asyncio.Event) -> None:
        draw = random.Random(23)
        while not stop.is_set():
            await asyncio.sleep(0.02)
            vm = draw.choice(self.vms)
            if draw.random() < 0.5:
                assert vm.server is not None
                for peer in list(vm.server.links):
                    await peer.close()
            elif vm.requests.leaving:
                vm.requests.set_leaving([])
            elif not vm.name.endswith("-2"):
                # One upstream of each service stays, so that requests have
                # somewhere to go.
                vm.requests.set_leaving([vm.upstream().id])

    async def test_leaving_upstream_gets_no_new_work(self) -> None:
        """Guards against new work after the agent knows (P7).

        The entry's routes still name the upstream as available.
        """
        leaving, *others = self.vms[:3]
        await asyncio.gather(*(self._ask("prism", n) for n in range(30)))
        leaving.requests.set_leaving([leaving.upstream().id])
        before = len(leaving.received)
        answers = await asyncio.gather(
            *(self._ask("prism", n) for n in range(30))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        self.assertEqual(len(leaving.received), before)
        for vm in others:
            vm.requests.set_leaving([vm.upstream().id])
        outcome, code, _ = await self._ask("prism", 99)
        self.assertEqual(outcome, "not_run")
        self.assertIn(code, ("draining", "no_upstream"))

    async def test_route_that_leaves_gets_no_new_work(self) -> None:
        """Guards against routing to what the leader reports as leaving."""
        leaving = self.vms[0]
        await self.site.publish(
            leaving.route(leaving=True), *(vm.route() for vm in self.vms[1:])
        )
        await asyncio.gather(*(self._ask("prism", n) for n in range(30)))
        self.assertEqual(leaving.received, [])

    async def test_unconfirmed_routes_are_refused(self) -> None:
        """Guards against work on routes that nobody has confirmed for 5 s."""
        client = self.site.entry.client
        client.contact_age_ms = lambda: 5_001  # type: ignore[method-assign]
        outcome, _, _ = await self._ask("prism", 1)
        self.assertEqual(outcome, "completed", "the agent has contact")
        for vm in self.vms:
            vm.contact_age_ms = 5_001
        outcome, code, _ = await self._ask("prism", 2)
        self.assertEqual((outcome, code), ("not_run", "unconfirmed_route"))
        client.contact_age_ms = lambda: 4_000  # type: ignore[method-assign]
        outcome, _, _ = await self._ask("prism", 3)
        self.assertEqual(outcome, "completed", "the entry has contact")

    async def test_silent_agent_is_avoided_and_found_again(self) -> None:
        """Guards against requests that wait on a silent link.

        Idempotent requests go on elsewhere within their deadline; after the
        agent answers again it gets work again.
        """
        silent = self.vms[0]
        await asyncio.gather(*(self._ask("prism", n) for n in range(10)))
        silent.silent = True
        answers = await asyncio.gather(
            *(self._ask("prism", n, 4000) for n in range(10))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        started = time.monotonic()
        answers = await asyncio.gather(
            *(self._ask("prism", n) for n in range(10))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        self.assertLess(time.monotonic() - started, 3.0)
        silent.silent = False
        before = len(silent.received)
        for number in range(400):
            await self._ask("prism", number)
            if len(silent.received) > before:
                return
            await asyncio.sleep(0.02)
        self.fail("the agent that answers again got no work")

    async def test_silent_agent_leaves_reserved_requests_unknown(
        self,
    ) -> None:
        """Guards against a second run when the first may have happened."""
        for vm in self.vms[3:]:
            await self._ask("entries", self.vms.index(vm))
            vm.silent = True
        started = time.monotonic()
        outcome, _, _ = await self._ask("entries", 50, 4000)
        self.assertIn(outcome, ("unknown", "not_run"))
        self.assertLess(time.monotonic() - started, 4.0)
        self.assertEqual(self.runs["50"], 0)

    async def test_lost_vm_costs_no_idempotent_request(self) -> None:
        """Guards against errors while a lost VM is still in the routes."""
        lost = self.vms[0]
        await asyncio.gather(*(self._ask("prism", n) for n in range(10)))
        await lost.stop()
        answers = [await self._ask("prism", n) for n in range(100)]
        self.assertEqual({a[0] for a in answers}, {"completed"})

    async def test_probe_constants_fit_the_shortest_deadlines(self) -> None:
        """Guards against probes that take longer than urgent work may."""
        self.assertLess(
            agent_links.CHECK_PERIOD_MS
            + agent_links.SILENCE_MS
            + agent_links.PROBE_TIMEOUT_MS
            + agent_links.READ_GRACE_MS,
            3_200,
        )
