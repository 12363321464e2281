"""Tests what callers are told if an attempt of the entry had no answer.

The entry resends a call that the leader doesn't answer in time. The first
attempt may have been carried out although the second one is denied, for example
because the queue was removed between them: the caller of an accepted job was
told that its queue doesn't exist.
"""

import asyncio
import unittest

import aiohttp

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.transport import link
from tests import platform_site
from tests import replica_site
from tests import virtual_time

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import caller_api  # isort: skip
import configuration_api  # isort: skip
import http_server  # isort: skip
import wire  # isort: skip

JOB = {"spec": "work", "phases": [{"count": 1, "cpu": 500}]}
ATTEMPT_TIMEOUT_MS = 100
_NOT_CONFIRMED = "no leader confirmed the configuration"


class UnansweredAttemptTest(virtual_time.VirtualTimeCase):
    """A leader that leaves the first attempts of a call unanswered.

    Attributes:
        answer: Answer to the later attempts.
        unanswered: Number of attempts that are still left unanswered.
    """

    async def asyncSetUp(self) -> None:
        self.answer: messages.Message = job_messages.JobAnswer(outcome="ok")
        self.unanswered = 0
        leader = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._answer
        )
        self.addAsyncCleanup(leader.close)
        time = virtual_time.VirtualTimeClock()
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{leader.port}",),
            time=time,
            attempt_timeout_ms=ATTEMPT_TIMEOUT_MS,
        )
        self.addAsyncCleanup(client.close)
        handler = caller_api.CallerHandler(client=client, time=time)
        configurations = configuration_api.ConfigurationHandler(client=client)
        self.address = f"127.0.0.1:{replica_site.free_port()}"
        server = http_server.HttpServer(
            address=self.address,
            routes=[
                ("POST", "/{path:.*}", handler.submit),
                ("GET", "/{path:.*}", handler.read),
                ("DELETE", "/{path:.*}", handler.cancel),
                ("PUT", wire.CONFIGURATION_PATH, configurations.put),
            ],
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def _answer(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del message, peer
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(clock.seconds(2 * ATTEMPT_TIMEOUT_MS))
        return self.answer

    async def statuses(
        self, method: str, answer: messages.Message
    ) -> tuple[int, int]:
        """Returns the status for the first and for the second attempt."""
        found = []
        for unanswered in (0, 1):
            self.answer, self.unanswered = answer, unanswered
            found.append(await self.send(method))
        return found[0], found[1]

    async def send(self, method: str) -> int:
        """Sends a job or, with PUT, a configuration; returns the status."""
        bodies = {"POST": JOB, "PUT": platform_site.configuration()}
        path = "/forms/00aa" if method != "PUT" else wire.CONFIGURATION_PATH
        async with self.session.request(
            method,
            f"http://{self.address}{path}",
            json=bodies.get(method),
            headers={"Host": platform_site.HOST},
        ) as response:
            self.error = await response.json()
            self.headers = response.headers
            return response.status

    async def test_accepted_job_is_not_denied_by_a_later_attempt(self) -> None:
        """Guards against an accepted job that is reported as never run."""
        refusal = messages.Refusal(code="log_busy", text="busy")
        for answer, status in (
            (job_messages.JobAnswer(outcome="no_queue"), 404),
            (job_messages.JobAnswer(outcome="no_job"), 410),
            (job_messages.JobAnswer(outcome="refused"), 429),
            (job_messages.JobAnswer(outcome="unconfigured"), 503),
            (refusal, 503),
        ):
            with self.subTest(answer=answer):
                self.assertEqual(
                    await self.statuses("POST", answer), (status, 504)
                )

    async def test_cancellation_is_not_denied_by_a_later_attempt(self) -> None:
        """Guards against a cancelled job whose caller is told otherwise."""
        for outcome, statuses in (
            ("no_queue", (404, 504)),
            ("unconfigured", (503, 504)),
            # These say, like the first attempt, that the job doesn't run.
            ("no_job", (410, 410)),
            ("ok", (200, 200)),
        ):
            with self.subTest(outcome=outcome):
                answer = job_messages.JobAnswer(outcome=outcome)  # type: ignore[arg-type]
                self.assertEqual(
                    await self.statuses("DELETE", answer), statuses
                )

    async def test_what_is_too_large_to_store_is_refused_with_its_size(
        self,
    ) -> None:
        """Guards against retries of a call that can never be carried out."""
        text = "5000000 bytes were to be stored, but the limit is 4194304 bytes"
        refusal = messages.Refusal(code="command_too_large", text=text)
        self.assertEqual(await self.statuses("POST", refusal), (413, 504))
        self.assertEqual(await self.statuses("PUT", refusal), (413, 503))
        self.assertEqual(self.error, {"error": _NOT_CONFIRMED})
        self.unanswered = 0
        await self.send("PUT")
        self.assertEqual(self.error, {"error": text})

    async def test_configuration_that_is_refused_for_now_may_be_sent_again(
        self,
    ) -> None:
        self.answer = messages.Refusal(code="log_busy", text="busy")
        self.assertEqual(await self.send("PUT"), 503)
        self.assertEqual(self.error, {"error": "busy"})
        self.assertTrue(self.headers["Retry-After"])

    async def test_refusal_says_why(self) -> None:
        """Guards against a caller who can't tell what to change."""
        reason = "another queue has a job with its ID"
        self.answer = job_messages.JobAnswer(outcome="refused", reason=reason)
        self.assertEqual(await self.send("POST"), 429)
        self.assertEqual(self.error, {"error": reason})
        self.assertNotIn("Retry-After", self.headers)

    async def test_read_is_answered_by_any_attempt(self) -> None:
        for outcome, status in (("no_queue", 404), ("unconfigured", 503)):
            with self.subTest(outcome=outcome):
                answer = job_messages.JobAnswer(outcome=outcome)  # type: ignore[arg-type]
                self.assertEqual(
                    await self.statuses("GET", answer), (status, status)
                )


if __name__ == "__main__":
    unittest.main()
