"""Guards against calls that disturb each other on the shared control link."""

import asyncio
import socket
import unittest

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.transport import link

CALLS = 32
CALL_TIMEOUT_MS = 3000


def _reserve(number: int) -> messages.Reserve:
    return messages.Reserve(
        key=str(number), fingerprint=1, attempt="a", service="s", entry="e"
    )


class ControlClientTest(unittest.IsolatedAsyncioTestCase):
    """Many concurrent calls of one client."""

    async def asyncSetUp(self) -> None:
        self.replies = 0
        self.leader = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._lead
        )
        self.follower = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._follow
        )

    async def asyncTearDown(self) -> None:
        await self.leader.close()
        await self.follower.close()

    async def _lead(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        if isinstance(message, messages.Recorded):
            return None
        await asyncio.sleep(0.02)
        self.replies += 1
        return messages.ReservationReply(state="granted")

    async def _follow(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        # Answers spread over time, so that some calls still wait here when
        # the first one has been redirected.
        if isinstance(message, messages.Reserve):
            await asyncio.sleep(0.002 * int(message.key))
        return messages.Redirect(leader=f"127.0.0.1:{self.leader.port}")

    def _client(self, *ports: int) -> control_client.ControlClient:
        return control_client.ControlClient(
            addresses=tuple(f"127.0.0.1:{port}" for port in ports),
            time=clock.SystemClock(),
        )

    async def _calls(self, client: control_client.ControlClient) -> int:
        replies = await asyncio.gather(
            *(
                client.call(_reserve(n), timeout_ms=CALL_TIMEOUT_MS)
                for n in range(CALLS)
            )
        )
        return len(replies)

    async def test_redirected_calls_share_the_link_to_the_leader(self) -> None:
        """Each redirected call used to close the link of all others."""
        client = self._client(self.follower.port)
        self.assertEqual(await self._calls(client), CALLS)
        self.assertEqual(self.replies, CALLS)
        await client.close()

    async def test_unanswered_call_keeps_the_link_of_the_others(self) -> None:
        client = self._client(self.leader.port)
        unanswered = asyncio.create_task(
            client.call(messages.Recorded(sequence=1), timeout_ms=1200)
        )
        deadline = asyncio.get_running_loop().time() + 1.1
        links: set[int] = set()
        while asyncio.get_running_loop().time() < deadline:
            await client.call(_reserve(0), timeout_ms=CALL_TIMEOUT_MS)
            links.update(id(each) for each in self.leader.links)
        self.assertEqual(len(links), 1)
        unanswered.cancel()
        await client.close()


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """A refusal is an answer only if nothing else may still happen."""

    async def test_refusal_after_an_unanswered_sending_is_no_answer(
        self,
    ) -> None:
        """The first sending may be carried out after the second's refusal."""
        sendings = 0

        async def lead(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            nonlocal sendings
            del message, peer
            sendings += 1
            if sendings == 1:
                await asyncio.sleep(CALL_TIMEOUT_MS)
            return messages.ReservationReply(state="refused")

        server = await link.serve_links(host="127.0.0.1", port=0, handler=lead)
        self.addAsyncCleanup(server.close)
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{server.port}",),
            time=clock.SystemClock(),
            attempt_timeout_ms=100,
        )
        self.addAsyncCleanup(client.close)

        def refuses(answer: messages.Message) -> bool:
            return (
                isinstance(answer, messages.ReservationReply)
                and answer.state == "refused"
            )

        with self.assertRaises(errors.UnknownResultError):
            await client.call(
                _reserve(0), timeout_ms=CALL_TIMEOUT_MS, is_refusal=refuses
            )
        answer = await client.call(
            _reserve(0), timeout_ms=CALL_TIMEOUT_MS, is_refusal=refuses
        )
        self.assertTrue(refuses(answer))


class NoLeaderTest(unittest.IsolatedAsyncioTestCase):
    """How long a call waits while no leader can be found."""

    UNSENT_MS = 300

    def _client(self, port: int) -> control_client.ControlClient:
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{port}",),
            time=clock.SystemClock(),
            attempt_timeout_ms=200,
        )
        self.addAsyncCleanup(client.close)
        return client

    async def _call(self, client: control_client.ControlClient) -> float:
        """Makes a call that is sent to nobody; returns its seconds."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        with self.assertRaises(errors.NotSentError):
            await client.call(
                _reserve(0),
                timeout_ms=CALL_TIMEOUT_MS,
                first_send_timeout_ms=self.UNSENT_MS,
            )
        return loop.time() - began

    async def test_call_that_finds_no_leader_ends_early(self) -> None:
        async def follow(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del message, peer
            return messages.Redirect(leader="")

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=follow
        )
        self.addAsyncCleanup(server.close)
        took_s = await self._call(self._client(server.port))
        self.assertGreaterEqual(took_s, clock.seconds(self.UNSENT_MS))
        self.assertLess(took_s, 1.0)

    async def test_calls_do_not_wait_for_each_others_attempts(self) -> None:
        """Replicas without power answer nothing; each attempt times out."""
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        client = self._client(silent.getsockname()[1])
        took_s = await asyncio.gather(
            *(self._call(client) for _ in range(CALLS))
        )
        self.assertLess(max(took_s), 1.0)

    async def test_call_that_was_sent_is_not_called_unsent(self) -> None:
        async def keep_silent(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del message, peer
            await asyncio.sleep(CALL_TIMEOUT_MS)
            return None

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=keep_silent
        )
        self.addAsyncCleanup(server.close)
        with self.assertRaises(errors.RequestTimeoutError):
            await self._client(server.port).call(
                _reserve(0),
                timeout_ms=900,
                first_send_timeout_ms=self.UNSENT_MS,
            )
