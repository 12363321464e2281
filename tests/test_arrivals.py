"""Tests requests that wait in the sockets of a suspended entry.

The entry reads them once it is resumed. It counted their deadlines from then
on, and carried out calls whose callers had given up and acted on it.
"""

import asyncio
import time
import unittest

import aiohttp
from aiohttp import web

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.protocol import operator_http
from bamboorouter.roles import operator_api
from bamboorouter.transport import arrivals
from bamboorouter.transport import link
from tests import platform_site
from tests import replica_site
from tests import request_site
from tests import virtual_time

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import caller_api  # isort: skip
import http_server  # isort: skip

START_MS = 50_000
SUSPENSION_MS = 3500
DEADLINE_MS = 3000


class ArrivalTimesTest(unittest.IsolatedAsyncioTestCase):
    """Arrival times on a clock that the test advances."""

    async def asyncSetUp(self) -> None:
        self.time = clock.ManualClock(monotonic_ms=START_MS)
        self.arrivals = arrivals.ArrivalTimes(time=self.time)
        self.arrivals.start()
        self.addCleanup(self.arrivals.stop)

    def run_loop(self, ms: int) -> None:
        """Advances the clock while the loop is observed."""
        for _ in range(ms // arrivals.OBSERVATION_PERIOD_MS):
            self.time.advance(arrivals.OBSERVATION_PERIOD_MS)
            self.arrivals.observe()

    def age_ms(self) -> int:
        return self.time.now() - self.arrivals.arrival_ms()

    def test_request_of_a_running_process_has_just_arrived(self) -> None:
        self.run_loop(10_000)
        self.assertEqual(self.age_ms(), 0)
        self.time.advance(arrivals.MAX_GAP_MS)
        self.assertEqual(self.age_ms(), 0)

    def test_request_read_after_a_suspension_is_as_old_as_that(self) -> None:
        """Whether the request or the observation comes first."""
        for observed_first in (False, True):
            with self.subTest(observed_first=observed_first):
                self.run_loop(1000)
                self.time.advance(SUSPENSION_MS)
                if observed_first:
                    self.arrivals.observe()
                self.assertEqual(self.age_ms(), SUSPENSION_MS)
                self.run_loop(arrivals.BACKLOG_MS)

    def test_backlog_is_read_for_a_while(self) -> None:
        self.time.advance(SUSPENSION_MS)
        self.run_loop(arrivals.BACKLOG_MS - 100)
        self.assertEqual(self.age_ms(), SUSPENSION_MS + 400)
        self.run_loop(200)
        self.assertEqual(self.age_ms(), 0)

    def test_second_suspension_does_not_rejuvenate_the_backlog(self) -> None:
        self.time.advance(SUSPENSION_MS)
        self.run_loop(100)
        self.time.advance(SUSPENSION_MS)
        self.assertEqual(self.age_ms(), 2 * SUSPENSION_MS + 100)

    def test_process_that_is_not_observed_knows_no_suspension(self) -> None:
        self.arrivals.stop()
        self.time.advance(SUSPENSION_MS)
        self.assertEqual(self.age_ms(), 0)


class SuspendedEntryTest(virtual_time.VirtualTimeCase):
    """Calls to an entry whose loop stands still while they arrive.

    Attributes:
        received: Messages that the leader has got.
    """

    async def asyncSetUp(self) -> None:
        self.received: list[messages.Message] = []
        leader = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._answer
        )
        self.addAsyncCleanup(leader.close)
        self.time = clock.ManualClock(monotonic_ms=START_MS)
        self.client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{leader.port}",), time=self.time
        )
        self.addAsyncCleanup(self.client.close)
        self.arrivals = arrivals.ArrivalTimes(time=self.time)
        self.arrivals.start()
        self.addCleanup(self.arrivals.stop)

    async def _answer(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        self.received.append(message)
        if isinstance(message, messages.OperatorCall):
            return messages.OperatorReply(ok=True)
        return job_messages.JobAnswer(outcome="ok", state="queued")

    async def _serve(self, handler: http_server.Handler) -> str:
        address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=address, routes=[("POST", "/{path:.*}", handler)]
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        return address

    async def test_submission_is_not_handed_in_after_its_deadline(self) -> None:
        """Guards against work whose caller gave up long ago."""
        handler = caller_api.CallerHandler(
            client=self.client, time=self.time, arrival_times=self.arrivals
        )
        address = await self._serve(handler.submit)
        statuses = []
        for suspension_ms in (SUSPENSION_MS, DEADLINE_MS - 1000):
            self.arrivals.observe()
            self.time.advance(suspension_ms)
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{address}/forms/00aa",
                    json={"spec": "w", "phases": [{"count": 1, "cpu": 5}]},
                    headers={
                        "Host": platform_site.HOST,
                        "Deadline-Ms": str(DEADLINE_MS),
                    },
                ) as response,
            ):
                statuses.append(response.status)
            self.time.advance(arrivals.MAX_GAP_MS)
            self.arrivals.observe()
            self.time.advance(arrivals.BACKLOG_MS)
        self.assertEqual(statuses, [503, 200])
        self.assertEqual(len(self.received), 1)

    async def test_operator_call_is_not_made_after_its_timeout(self) -> None:
        """Guards against a call that is carried out after a later one."""
        runner = web.AppRunner(
            operator_api.make_application(self.client, self.arrivals)
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        answers = []
        for suspension_ms in (operator_api.CALL_TIMEOUT_MS, 1000):
            self.time.advance(suspension_ms)
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"{url}{operator_http.PATH_PREFIX}submit_job",
                    json={"operation_id": "a", "operator": "kim"},
                ) as response,
            ):
                body = await response.json()
                answers.append((response.status, body["code"]))
            self.time.advance(arrivals.BACKLOG_MS)
            self.arrivals.observe()
        self.assertEqual(
            answers,
            [
                (operator_http.STATUS_NOT_DONE, error_texts.READ_TOO_LATE),
                (operator_http.STATUS_DONE, ""),
            ],
        )
        self.assertEqual(len(self.received), 1)


class SuspendedCallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Requests to an entry whose loop really stands still."""

    async def test_request_is_not_run_after_its_deadline(self) -> None:
        ran: list[str] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            ran.append(request.path)
            return web.Response()

        site = request_site.Site(
            services=[request_site.service("quotes")],
            vms=[request_site.Vm(name="w1", service="quotes", handler=serve)],
        )
        await site.start()
        self.addAsyncCleanup(site.stop)
        host, _, port = site.entry.addresses["entry.listen"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.3)
        writer.write(
            b"GET /quotes/late HTTP/1.1\r\nHost: desk\r\n"
            b"Bamboorouter-Deadline-Ms: 800\r\n\r\n"
        )
        # Entry, VMs and caller share this loop, which stands still as a
        # suspended process does.
        time.sleep(1.0)  # noqa: ASYNC251
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
        self.assertIn(b"Bamboorouter-Outcome: not_run", head)
        self.assertEqual(ran, [])


if __name__ == "__main__":
    unittest.main()
