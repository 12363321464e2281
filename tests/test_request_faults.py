"""Tests outcomes while upstreams leave, links break and peers are silent."""

import asyncio
import collections
import random
import unittest
from unittest import mock

from aiohttp import web

from bamboorouter import error_texts
from bamboorouter.coordination.requests import agent_links
from bamboorouter.coordination.requests import request_dispatch
from tests import request_site
from tests import virtual_time


class FaultCase(unittest.IsolatedAsyncioTestCase):
    """Two services, one idempotent, on three VMs each."""

    async def asyncSetUp(self) -> None:
        self.rng = random.Random(17)
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
        await asyncio.sleep(self.rng.random() / 50)
        if self.faults and self.rng.random() < 0.05:
            assert request.transport is not None
            request.transport.abort()
        return web.Response(text=f"answer {number}")

    async def _send_request(
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


class SilentAgentTest(virtual_time.VirtualTimeCase, FaultCase):
    """Agents that answer nothing on an open link."""

    async def asyncSetUp(self) -> None:
        self.patch_system_clock()
        await super().asyncSetUp()

    async def test_silent_agent_is_avoided_and_found_again(self) -> None:
        """Guards against requests that wait on a silent link.

        Idempotent requests are retried at other agents within their deadline;
        once the agent answers again, it gets requests again.
        """
        silent = self.vms[0]
        await asyncio.gather(
            *(self._send_request("prism", n) for n in range(10))
        )
        silent.silent = True
        answers = await asyncio.gather(
            *(self._send_request("prism", n, 4000) for n in range(10))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        loop = asyncio.get_running_loop()
        started = loop.time()
        answers = await asyncio.gather(
            *(self._send_request("prism", n) for n in range(10))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        self.assertLess(loop.time() - started, 3.0)
        silent.silent = False
        before = len(silent.received)
        for number in range(400):
            await self._send_request("prism", number)
            if len(silent.received) > before:
                return
            await asyncio.sleep(0.02)
        self.fail("the agent got no requests after it answered again")

    async def test_silent_agent_leaves_reserved_requests_unknown(
        self,
    ) -> None:
        """Guards against a retry when the first attempt may have run."""
        for vm in self.vms[3:]:
            await self._send_request("entries", self.vms.index(vm))
            vm.silent = True
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome, _, _ = await self._send_request("entries", 50, 4000)
        self.assertIn(outcome, ("unknown", "not_run"))
        self.assertLess(loop.time() - started, 4.0)
        self.assertEqual(self.runs["50"], 0)


class FaultTest(FaultCase):
    """Upstreams that leave, links that break, and errors in the entry."""

    async def test_outcomes_hold_under_random_faults(self) -> None:
        """Guards against false outcomes (P4, P5, P6).

        While requests run, links are cut, upstreams leave and return, and
        upstreams drop connections. Then each outcome is compared with the
        number of runs that the upstreams counted.
        """
        self.faults = True
        stop = asyncio.Event()
        fault_task = asyncio.create_task(self._inject_faults(stop))
        results: dict[int, tuple[str, str, str]] = {}

        async def send_requests(numbers: range) -> None:
            for number in numbers:
                service = "entries" if number % 2 else "prism"
                results[number] = await self._send_request(service, number)
                if results[number][0] == "not_run":
                    await asyncio.sleep(0.1)

        await asyncio.gather(
            *(send_requests(range(n, n + 40)) for n in range(0, 1200, 40))
        )
        stop.set()
        await fault_task
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
                self.assertLessEqual(
                    runs, 1, "a non-idempotent request ran twice"
                )
            if outcome == "not_run":
                self.assertEqual(
                    runs, 0, "a request reported as not_run was run"
                )
            if outcome == "completed":
                self.assertGreaterEqual(runs, 1)
                self.assertEqual(text, f"answer {number}")

    async def _inject_faults(self, stop: asyncio.Event) -> None:
        rng = random.Random(23)
        while not stop.is_set():
            await asyncio.sleep(0.02)
            vm = rng.choice(self.vms)
            if rng.random() < 0.5:
                assert vm.server is not None
                for peer in list(vm.server.links):
                    await peer.close()
            elif vm.requests.leaving:
                vm.requests.set_leaving([])
            elif not vm.name.endswith("-2"):
                # One upstream of each service stays, to run requests.
                vm.requests.set_leaving([vm.upstream().id])

    async def test_leaving_upstream_gets_no_new_work(self) -> None:
        """Guards against new requests to an upstream that leaves (P7).

        The agent already knows that the upstream leaves; the routes at the
        entry still list it as available.
        """
        leaving, *others = self.vms[:3]
        await asyncio.gather(
            *(self._send_request("prism", n) for n in range(30))
        )
        leaving.requests.set_leaving([leaving.upstream().id])
        before = len(leaving.received)
        answers = await asyncio.gather(
            *(self._send_request("prism", n) for n in range(30))
        )
        self.assertEqual({a[0] for a in answers}, {"completed"})
        self.assertEqual(len(leaving.received), before)
        for vm in others:
            vm.requests.set_leaving([vm.upstream().id])
        outcome, code, _ = await self._send_request("prism", 99)
        self.assertEqual(outcome, "not_run")
        self.assertIn(code, ("draining", "no_upstream"))

    async def test_route_that_leaves_gets_no_new_work(self) -> None:
        """Guards against requests on a route that the leader marks leaving."""
        leaving = self.vms[0]
        await self.site.publish(
            leaving.route(leaving=True), *(vm.route() for vm in self.vms[1:])
        )
        await asyncio.gather(
            *(self._send_request("prism", n) for n in range(30))
        )
        self.assertEqual(leaving.received, [])

    async def test_unconfirmed_routes_are_refused(self) -> None:
        """Guards against requests on routes not confirmed for 5 s."""
        client = self.site.entry.client
        client.contact_age_ms = lambda: 5_001  # type: ignore[method-assign]
        outcome, _, _ = await self._send_request("prism", 1)
        self.assertEqual(
            outcome, "completed", "the agent has contact with the leader"
        )
        for vm in self.vms:
            vm.contact_age_ms = 5_001
        outcome, code, _ = await self._send_request("prism", 2)
        self.assertEqual((outcome, code), ("not_run", "unconfirmed_route"))
        client.contact_age_ms = lambda: 4_000  # type: ignore[method-assign]
        outcome, _, _ = await self._send_request("prism", 3)
        self.assertEqual(
            outcome, "completed", "the entry has contact with the leader"
        )

    async def test_internal_error_ends_the_reservation_as_unknown(
        self,
    ) -> None:
        """Guards against a key that stays reserved for its whole retention."""
        headers = {"Idempotency-Key": request_site.key(60)}
        url = f"{self.site.url}/entries/60"
        with mock.patch.object(
            request_dispatch.RequestDispatcher,
            "_attempt",
            side_effect=RuntimeError("unexpected"),
        ):
            first = await self.site.client.post(url, headers=headers)
        self.assertEqual(first.headers["Bamboorouter-Outcome"], "unknown")
        (reservation,) = self.site.leader.reservations.values()
        assert reservation.outcome is not None
        self.assertEqual(reservation.outcome.outcome, "unknown")
        again = await self.site.client.post(url, headers=headers)
        self.assertEqual(again.headers["Bamboorouter-Outcome"], "unknown")
        self.assertNotEqual(
            again.headers["Bamboorouter-Code"], error_texts.OTHER_ATTEMPT
        )
        self.assertEqual(self.runs["60"], 0)

    async def test_lost_vm_costs_no_idempotent_request(self) -> None:
        """Guards against failed requests while routes still name a lost VM."""
        lost = self.vms[0]
        await asyncio.gather(
            *(self._send_request("prism", n) for n in range(10))
        )
        await lost.stop()
        answers = [await self._send_request("prism", n) for n in range(100)]
        self.assertEqual({a[0] for a in answers}, {"completed"})

    async def test_probe_constants_fit_the_shortest_deadlines(self) -> None:
        """Guards against detecting a silent agent too late for urgent work.

        Urgent work has 3.2 s.
        """
        self.assertLess(
            agent_links.CHECK_PERIOD_MS
            + agent_links.SILENCE_MS
            + agent_links.PROBE_TIMEOUT_MS
            + agent_links.READ_GRACE_MS,
            3_200,
        )
