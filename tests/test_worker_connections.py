"""Tests that calls for an incarnation of a worker reach no other incarnation.

The worker is an HTTP server on a loopback address. Its next incarnation has the
same address and ID, as if the process had crashed and started again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from bamboorouter import errors
from bamboorouter.coordination.workers import worker_port
from devtools import proxy
from tests import fake_worker
from tests import platform_site
from tests import replica_site

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import wire  # isort: skip
import worker_http  # isort: skip

del platform_site
TASK = "5c0e.0.1.17"
WORKER_ID = "w1"
# Time after which a message that was held up has arrived.
ARRIVAL_S = 0.2
SILENCE_S = 10.0
# Limit for calls that must not wait for a timeout; less than `LONG_TIMEOUT_MS`.
PROMPT_S = 2.5
LONG_TIMEOUT_MS = 3000
Call = Callable[[worker_port.WorkerPort], Awaitable[object]]


class Incarnation:
    """An incarnation of a worker, and the calls that it has carried out.

    Attributes:
        born_ms: Start of the incarnation.
        calls: Path and body of all calls.
        accepted: Number of connections.
        token: Highest fencing token received.
        ended: Set to answer the polls that wait for an end.
        silent_connections: Number of upcoming connections over which no call is
            carried out or answered.
        closes: Whether each connection is closed after the first answer.
    """

    def __init__(self, *, born_ms: int) -> None:
        self.born_ms = born_ms
        self.calls: list[tuple[str, dict[str, Any]]] = []
        self.accepted = 0
        self.token = 0
        self.ended = asyncio.Event()
        self.silent_connections = 0
        self.closes = False
        self._connections: set[Any] = set()
        self._silent: set[Any] = set()
        application = web.Application()
        application.router.add_post("/{path:.*}", self._answer)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0
        )

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, host, int(port), reuse_address=True, backlog=64
        )
        await site.start()

    async def crash(self) -> None:
        """Resets all connections and stops listening."""
        self.ended.set()
        self.break_connections()
        await self._runner.cleanup()

    def break_connections(self) -> None:
        server = self._runner.server
        for connection in server.connections if server is not None else ():
            if connection.transport is not None:
                connection.transport.abort()

    def effects(self) -> list[tuple[str, dict[str, Any]]]:
        """Returns the calls other than polls without any effect."""
        return [
            (path, body)
            for path, body in self.calls
            if path != wire.HOLD_PATH
            or body["ackCursor"]
            or body.get("untilMs") is not None
        ]

    def polls(self) -> list[dict[str, Any]]:
        """Returns the bodies of the polls without any effect."""
        effects = self.effects()
        return [call[1] for call in self.calls if call not in effects]

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if request.protocol not in self._connections:
            self._connections.add(request.protocol)
            self.accepted += 1
            if self.silent_connections:
                self.silent_connections -= 1
                self._silent.add(request.protocol)
        if request.protocol in self._silent:
            await asyncio.sleep(SILENCE_S)
        if body["fencingToken"] < self.token:
            return web.json_response(
                {"clockMs": 1, "reason": "fence"}, status=409
            )
        self.token = body["fencingToken"]
        self.calls.append((request.path, body))
        if "waitMs" in body:
            await self.ended.wait()
        lists = (
            {"born": self.born_ms, "running": [], "finished": []}
            if request.path == wire.HOLD_PATH
            else {}
        )
        answer = web.json_response({"clockMs": 1, **lists})
        if self.closes:
            answer.force_close()
        return answer


async def start_run(port: worker_port.WorkerPort, token: int = 7) -> None:
    await port.start(
        worker_port.StartRun(
            task=wire.decode_task(TASK),
            attempt=1,
            spec="work",
            checkpoint="",
            until_ms=5000,
            token=token,
        )
    )


async def stop_run(port: worker_port.WorkerPort, token: int = 7) -> None:
    await port.stop(wire.decode_task(TASK), 1, token=token)


async def pace_run(port: worker_port.WorkerPort) -> None:
    await port.pace(wire.decode_task(TASK), 1, percent=50, token=7)


async def acknowledge(port: worker_port.WorkerPort) -> None:
    await port.poll(token=7, acknowledged=12, until_ms=None, wait_ms=0)


async def grant_lease(port: worker_port.WorkerPort) -> None:
    await port.poll(token=7, acknowledged=0, until_ms=5000, wait_ms=0)


async def look(
    port: worker_port.WorkerPort, token: int = 7, wait_ms: int = 0
) -> None:
    await port.poll(token=token, acknowledged=0, until_ms=None, wait_ms=wait_ms)


CALLS: dict[str, Call] = {
    "start": start_run,
    "stop": stop_run,
    "pace": pace_run,
    "acknowledgement": acknowledge,
    "lease": grant_lease,
}


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """A worker and ports to its incarnations.

    Attributes:
        timeout_ms: Timeout of a call.
    """

    timeout_ms = LONG_TIMEOUT_MS

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(
            worker_http, "ANSWER_TIMEOUT_MS", self.timeout_ms
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.address = f"127.0.0.1:{replica_site.free_port()}"
        self.worker = await self.begin(born_ms=1)

    async def begin(self, *, born_ms: int) -> Incarnation:
        """Starts an incarnation at the worker's address."""
        incarnation = Incarnation(born_ms=born_ms)
        await incarnation.start(self.address)
        self.addAsyncCleanup(incarnation.crash)
        return incarnation

    async def replace(self) -> Incarnation:
        """Replaces the incarnation by the next one, and returns it."""
        await self.worker.crash()
        self.worker = await self.begin(born_ms=self.worker.born_ms + 1)
        return self.worker

    def open(
        self, address: str = "", *, born_ms: int = 1
    ) -> worker_port.WorkerPort:
        port = worker_http.HttpWorkerPortFactory().open(
            fake_worker.announcement(
                id=WORKER_ID,
                address=address or self.address,
                started_ms=born_ms,
            )
        )
        self.addAsyncCleanup(port.close)
        return port

    async def reach(self, call: Call, port: worker_port.WorkerPort) -> None:
        """Repeats a call until the current incarnation has received one."""
        async with asyncio.timeout(10.0):
            while not self.worker.calls:
                await _try(call, port)

    async def open_proxy(self) -> proxy.FaultProxy:
        """Returns a proxy in front of the worker."""
        link = proxy.FaultProxy()
        link.target = self.address
        await link.start()
        self.addAsyncCleanup(link.close)
        return link


class ReplacedIncarnationTest(ConnectionCase):
    """Calls for an incarnation whose successor has its address and ID."""

    async def test_call_after_a_crash(self) -> None:
        for name, call in CALLS.items():
            with self.subTest(name):
                port = self.open(born_ms=self.worker.born_ms)
                await call(port)
                self.assertEqual(len(self.worker.effects()), 1)
                successor = await self.replace()
                # The first call may be sent before the reset arrives.
                await _try(call, port)
                for _ in range(2):
                    with self.assertRaises(
                        worker_port.IncarnationMismatchError
                    ):
                        await call(port)
                self.assertEqual(successor.effects(), [])
                self.assertGreater(len(successor.polls()), 0)

    async def test_first_call_of_a_port(self) -> None:
        successor = await self.replace()
        for name, call in CALLS.items():
            with self.subTest(name):
                with self.assertRaises(worker_port.IncarnationMismatchError):
                    await call(self.open())
                self.assertEqual(successor.effects(), [])


class DelayedCallTest(ConnectionCase):
    """Calls that are under way while the incarnation is replaced."""

    timeout_ms = 500

    async def test_link_that_delays_messages(self) -> None:
        """Some calls are sent before the crash, some after it."""
        link = await self.open_proxy()
        port = self.open(link.address)
        for call in CALLS.values():
            await _try(call, port)
        link.gate("", "to_target").delay_ms = 100
        calls = []
        for number in range(20):
            calls += [
                asyncio.create_task(_try(call, port)) for call in CALLS.values()
            ]
            if number == 5:
                await self.replace()
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)
        await asyncio.sleep(ARRIVAL_S)
        await self.reach(start_run, port)
        self.assertEqual(self.worker.effects(), [])

    async def test_link_that_is_cut(self) -> None:
        """A cut connection is accepted; its bytes arrive after the cut."""
        for name, call in CALLS.items():
            for connected in (False, True):
                with self.subTest(name, connected=connected):
                    await self.worker.crash()
                    self.worker = await self.begin(born_ms=1)
                    link = await self.open_proxy()
                    port = self.open(link.address)
                    if connected:
                        await _try(call, port)
                    link.cut("to_target", "from_target")
                    with self.assertRaises(worker_port.NoAnswerError):
                        await call(port)
                    await self.replace()
                    link.heal()
                    await asyncio.sleep(ARRIVAL_S)
                    await self.reach(call, port)
                    self.assertEqual(self.worker.effects(), [])


class VerificationTest(ConnectionCase):
    """Which polls verify a connection, and what they may change."""

    async def test_poll_before_an_order_has_the_token_of_the_order(
        self,
    ) -> None:
        await stop_run(self.open(), token=9)
        self.assertEqual(
            self.worker.calls,
            [
                (wire.HOLD_PATH, {"fencingToken": 9, "ackCursor": 0}),
                (
                    wire.STOP_PATH,
                    {"task": TASK, "attempt": 1, "fencingToken": 9},
                ),
            ],
        )

    async def test_order_with_a_stale_token_is_rejected(self) -> None:
        await look(self.open(), token=8)
        with self.assertRaises(worker_port.RejectedError) as raised:
            await start_run(self.open(), token=7)
        self.assertEqual(raised.exception.reason, "fence")
        self.assertEqual((self.worker.effects(), self.worker.token), ([], 8))

    async def test_connection_with_a_rejected_poll_is_not_verified(
        self,
    ) -> None:
        """A rejection doesn't tell which incarnation has answered."""
        for connected in (False, True):
            with self.subTest(connected=connected):
                self.worker.token = 0
                port = self.open(born_ms=self.worker.born_ms)
                if connected:
                    await start_run(port)
                successor = await self.replace()
                await asyncio.sleep(ARRIVAL_S)
                successor.token = 8
                with self.assertRaises(worker_port.RejectedError):
                    await look(port, token=7)
                with self.assertRaises(worker_port.IncarnationMismatchError):
                    await start_run(port, token=8)
                self.assertEqual(successor.effects(), [])

    async def test_connection_that_the_worker_has_closed(self) -> None:
        """The order is sent over a new connection to the same incarnation."""
        port = self.open()
        await start_run(port)
        self.worker.break_connections()
        await asyncio.sleep(0.05)
        await stop_run(port)
        self.assertEqual(
            [path for path, _ in self.worker.calls],
            [wire.HOLD_PATH, wire.START_PATH, wire.HOLD_PATH, wire.STOP_PATH],
        )

    async def test_worker_that_closes_each_connection(self) -> None:
        """Guards against a worker that gets no orders at all."""
        self.worker.closes = True
        port = self.open()
        await start_run(port)
        await acknowledge(port)
        self.assertEqual(
            [path for path, _ in self.worker.effects()],
            [wire.START_PATH, wire.HOLD_PATH],
        )
        successor = await self.replace()
        successor.closes = True
        with self.assertRaises(worker_port.IncarnationMismatchError):
            await start_run(port)
        self.assertEqual(successor.effects(), [])

    async def test_closed_port_sends_nothing(self) -> None:
        for used in (False, True):
            with self.subTest(used=used):
                self.worker.calls.clear()
                port = self.open()
                if used:
                    await start_run(port)
                await port.close()
                for call in (*CALLS.values(), look):
                    with self.assertRaises(worker_port.NoAnswerError):
                        await call(port)
                self.assertEqual(len(self.worker.effects()), int(used))


class CostTest(ConnectionCase):
    """Number of connections and polls."""

    async def test_no_poll_precedes_an_order_on_a_verified_connection(
        self,
    ) -> None:
        port = self.open()
        await look(port)
        for _ in range(20):
            await start_run(port)
        self.assertEqual(
            (len(self.worker.polls()), self.worker.accepted), (1, 1)
        )

    async def test_connections_of_many_calls_at_once(self) -> None:
        port = self.open()
        poll = asyncio.create_task(look(port, wait_ms=500))
        await asyncio.gather(*(start_run(port) for _ in range(40)))
        self.assertFalse(poll.done())
        self.worker.ended.set()
        await poll
        for _ in range(10):
            await asyncio.gather(stop_run(port), pace_run(port), look(port))
        self.assertLessEqual(self.worker.accepted, worker_http.CONNECTIONS)
        # The long poll, those for two more connections, and ten of the test.
        self.assertEqual(len(self.worker.polls()), 1 + 2 + 10)
        self.assertEqual(len(self.worker.effects()), 60)


class SilentConnectionTest(ConnectionCase):
    """Connections that are accepted and never answered."""

    async def test_calls_pass_over_the_other_connections(self) -> None:
        """Two silent connections leave one for polls and orders."""
        port = self.open()
        await look(port)
        self.worker.silent_connections = 2
        poll = asyncio.create_task(grant_lease(port))
        silent = [asyncio.create_task(_try(stop_run, port)) for _ in range(2)]
        await poll
        async with asyncio.timeout(PROMPT_S):
            for call in CALLS.values():
                await call(port)
        self.assertEqual(await asyncio.gather(*silent), [False, False])
        # The verified connection is preferred to opening new ones.
        accepted, polls = self.worker.accepted, len(self.worker.polls())
        await start_run(port)
        self.assertEqual(
            (self.worker.accepted, len(self.worker.polls())), (accepted, polls)
        )

    async def test_silent_connections_are_replaced(self) -> None:
        """Three silent connections delay calls for one timeout at most."""
        self.worker.silent_connections = worker_http.CONNECTIONS
        port = self.open()
        self.assertEqual(
            await asyncio.gather(
                *(_try(stop_run, port) for _ in range(worker_http.CONNECTIONS))
            ),
            [False] * worker_http.CONNECTIONS,
        )
        async with asyncio.timeout(PROMPT_S):
            await asyncio.gather(stop_run(port), grant_lease(port), look(port))
        self.assertEqual(len(self.worker.effects()), 2)


async def _try(call: Call, port: worker_port.WorkerPort) -> bool:
    """Returns whether a call succeeds."""
    with contextlib.suppress(errors.RouterError):
        await call(port)
        return True
    return False


if __name__ == "__main__":
    unittest.main()
