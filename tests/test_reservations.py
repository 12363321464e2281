"""Guards against non-idempotent requests that run more than once (P6)."""

import asyncio
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bamboorouter import error_texts
from bamboorouter.protocol import messages
from bamboorouter.transport import link
from tests import request_site


class ReservedRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests with an idempotency key on two VMs."""

    async def asyncSetUp(self) -> None:
        self.run_count = 0
        self.delay_s = 0.0
        self.drop_connection = False
        self.vms = [
            request_site.Vm(name=name, service="entries", handler=self._serve)
            for name in ("w1", "w2")
        ]
        self.site = request_site.Site(
            services=[request_site.service("entries", idempotent=False)],
            vms=self.vms,
        )
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.run_count += 1
        number = self.run_count
        await asyncio.sleep(self.delay_s)
        if self.drop_connection:
            assert request.transport is not None
            request.transport.abort()
        size = int(request.headers.get("X-Size", "0"))
        return web.Response(
            text=f"slot {number}" + "x" * size, headers={"X-Slot": str(number)}
        )

    async def _send_request(
        self,
        key: str,
        *,
        method: str = "POST",
        body: bytes = b"a",
        **headers: str,
    ) -> tuple[int, str, str]:
        async with self.site.client.request(
            method,
            f"{self.site.url}/entries/enter",
            data=body,
            headers={"Idempotency-Key": key}
            | {name.replace("_", "-"): text for name, text in headers.items()},
        ) as answer:
            outcome = answer.headers["Bamboorouter-Outcome"]
            return answer.status, outcome, await answer.text()

    def _requests_seen(self) -> int:
        return sum(len(vm.received) for vm in self.vms)

    async def test_key_is_required_and_checked(self) -> None:
        """Guards against running a request whose key isn't a UUID version 7."""
        wrong = "7b6d5c4e-0000-4000-8000-000000000000"
        self.assertEqual(
            (await self._send_request(wrong))[:2], (400, "not_run")
        )
        url = f"{self.site.url}/entries/enter"
        answer = await self.site.client.post(url)
        self.assertEqual(answer.status, 400)
        self.assertEqual(self._requests_seen(), 0)

    async def test_resend_gets_the_first_answer(self) -> None:
        """Guards against a second run and against a different answer."""
        key = request_site.key(1)
        first = await self._send_request(key)
        self.assertEqual(first, (200, "completed", "slot 1"))
        self.assertEqual(await self._send_request(key.upper()), first)
        self.assertEqual(
            (await self._send_request(key, body=b"b"))[:2], (422, "not_run")
        )
        self.assertEqual(self._requests_seen(), 1)

    async def test_outcome_is_committed_before_the_answer(self) -> None:
        """Guards against an answer whose outcome a crash of the entry loses."""
        key = request_site.key(2)
        await self._send_request(key)
        outcome = self.site.leader.reservations[key].outcome
        assert outcome is not None
        self.assertEqual(
            (outcome.outcome, outcome.body), ("completed", b"slot 1")
        )

    async def test_large_answer_is_kept_as_digest(self) -> None:
        """Guards against unbounded outcomes in the replicated log."""
        key = request_site.key(3)
        status, _, text = await self._send_request(key, X_Size="5000")
        self.assertEqual((status, len(text)), (200, 5006))
        outcome = self.site.leader.reservations[key].outcome
        assert outcome is not None
        self.assertEqual((outcome.body, outcome.body_kept), (b"", False))
        status, result, _ = await self._send_request(key, X_Size="5000")
        self.assertEqual((status, result), (409, "completed"))
        self.assertEqual(self._requests_seen(), 1)

    async def test_concurrent_attempts_share_one_run(self) -> None:
        """Guards against several runs of concurrent attempts."""
        self.delay_s = 0.3
        key = request_site.key(4)
        answers = await asyncio.gather(
            *(self._send_request(key) for _ in range(20))
        )
        self.assertEqual(set(answers), {(200, "completed", "slot 1")})
        self.assertEqual(self._requests_seen(), 1)

    async def test_waiting_attempt_ends_at_its_deadline(self) -> None:
        """Guards against waiting for another attempt beyond the deadline."""
        self.delay_s = 1.0
        key = request_site.key(5)
        first = asyncio.create_task(self._send_request(key))
        await request_site.eventually(self._requests_seen)
        second = await self._send_request(key, Bamboorouter_Deadline_Ms="300")
        self.assertEqual(second[:2], (504, "unknown"))
        self.assertEqual((await first)[2], "slot 1")

    async def test_lost_answer_is_unknown_and_not_repeated(self) -> None:
        """Guards against retries by the agent's HTTP client or the entry.

        By default, aiohttp retries idempotent methods such as GET and PUT.
        """
        self.drop_connection = True
        for number, method in enumerate(("GET", "PUT", "DELETE", "POST"), 10):
            key = request_site.key(number)
            status, outcome, _ = await self._send_request(key, method=method)
            self.assertEqual((status, outcome), (504, "unknown"))
            retried = await self._send_request(key, method=method)
            self.assertEqual(retried[:2], (504, "unknown"))
        self.assertEqual(self._requests_seen(), 4)

    async def test_refused_attempt_frees_the_key(self) -> None:
        """Guards against a key that stays reserved after a refusal."""
        for vm in self.vms:
            vm.requests.set_leaving([f"{vm.name}-up"])
        key = request_site.key(20)
        self.assertEqual((await self._send_request(key))[:2], (503, "not_run"))
        for vm in self.vms:
            vm.requests.set_leaving([])
        for state in self.site.entry.table.routes.values():
            state.load.refused_until_ms = 0
        self.assertEqual((await self._send_request(key))[1], "completed")

    async def test_silent_leader_means_not_run(self) -> None:
        """Guards against dispatch without a committed reservation."""
        self.site.leader.silent = (messages.Reserve,)
        status, outcome, _ = await self._send_request(
            request_site.key(21), Bamboorouter_Deadline_Ms="300"
        )
        self.assertEqual((status, outcome), (503, "not_run"))
        self.assertEqual(self._requests_seen(), 0)

    async def test_unrecorded_outcome_is_unknown_until_recorded(self) -> None:
        """Guards against an answer whose outcome isn't committed."""
        self.site.leader.silent = (messages.RecordOutcome,)
        key = request_site.key(22)
        status, outcome, _ = await self._send_request(
            key, Bamboorouter_Deadline_Ms="300"
        )
        self.assertEqual((status, outcome), (504, "unknown"))
        self.site.leader.silent = ()
        retried = await self._send_request(key)
        self.assertEqual(retried, (200, "completed", "slot 1"))
        self.assertEqual(self._requests_seen(), 1)

    async def test_agent_starts_a_reservation_once(self) -> None:
        """Guards against running a dispatch that is delivered twice."""
        vm = self.vms[0]
        dispatch = messages.Dispatch(
            request_id="1-1",
            service="entries",
            upstream="w1-up",
            method="POST",
            target="/",
            headers=(),
            body=b"",
            digest=0x2D06800538D394C2,  # xxh3-64 of the empty body.
            deadline_ms=2000,
            urgency=1,
            team="guild",
            reservation=request_site.key(23),
        )
        peer = mock.Mock()
        answers = [await vm.requests.handle(dispatch, peer) for _ in range(2)]
        outcomes = [
            answer.outcome
            for answer in answers
            if isinstance(answer, messages.Answer)
        ]
        self.assertEqual(outcomes, ["completed", "unknown"])
        self.assertEqual(len(vm.received), 1)

    async def test_caller_that_leaves_finds_the_outcome(self) -> None:
        """Guards against a run cancelled when its caller disconnects."""
        self.delay_s = 0.3
        key = request_site.key(24)
        with self.assertRaises(TimeoutError):
            async with (
                aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(total=0.1)
                ) as caller,
                caller.post(
                    f"{self.site.url}/entries/enter",
                    data=b"a",
                    headers={"Idempotency-Key": key},
                ),
            ):
                pass
        self.assertEqual((await self._send_request(key))[2], "slot 1")
        self.assertEqual(self._requests_seen(), 1)


class _BusyLeader(request_site.FakeLeader):
    """Leaves the first reservation unanswered and refuses the next attempts.

    Attributes:
        busy: Whether attempts to reserve are refused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.busy = False
        self._reserved = False

    async def handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        if not self.busy or not isinstance(message, messages.Reserve):
            return await super().handle(message, peer)
        if self._reserved:
            return messages.Refusal(code=error_texts.LOG_BUSY, text="busy")
        self._reserved = True
        await super().handle(message, peer)
        return None


class RefusedReservationTest(unittest.IsolatedAsyncioTestCase):
    """A reservation that is refused after an attempt without an answer."""

    async def test_key_is_free_again(self) -> None:
        """Guards against a key that is held by a request that never runs."""

        async def serve(_: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text="slot")

        site = request_site.Site(
            services=[request_site.service("entries", idempotent=False)],
            vms=[request_site.Vm(name="w1", service="entries", handler=serve)],
        )
        leader = _BusyLeader()
        leader.services = site.leader.services
        site.leader = leader
        await site.start()
        self.addAsyncCleanup(site.stop)
        key = request_site.key(30)

        async def send() -> tuple[int, str]:
            async with site.client.post(
                f"{site.url}/entries/enter",
                data=b"a",
                headers={"Idempotency-Key": key},
            ) as answer:
                return answer.status, answer.headers["Bamboorouter-Outcome"]

        leader.busy = True
        self.assertEqual(await send(), (503, "not_run"))
        leader.busy = False
        await request_site.eventually(
            lambda: leader.reservations[key].outcome is not None
        )
        self.assertEqual(await send(), (200, "completed"))
