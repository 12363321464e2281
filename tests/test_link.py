"""Tests requests and replies on a shared link.

Guards against a reply that reaches the wrong request.
"""

import asyncio
import unittest

import websockets.asyncio.server

from bamboorouter import errors
from bamboorouter.protocol import messages
from bamboorouter.transport import link


async def _echo(
    message: messages.Message, peer: link.Link
) -> messages.Message | None:
    del peer
    if not isinstance(message, messages.Reserve):
        return None
    # Later requests are answered first.
    await asyncio.sleep(0.05 - int(message.attempt) / 1000)
    return messages.ReservationReply(state="done", attempt=message.attempt)


def _reserve(number: int) -> messages.Reserve:
    return messages.Reserve(
        key="k", fingerprint=1, attempt=str(number), service="s", entry="e"
    )


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent, unanswered and malformed messages on a link."""

    async def asyncSetUp(self) -> None:
        self.server = await link.serve_links(
            host="127.0.0.1", port=0, handler=_echo
        )
        self.link = await link.open_link(
            address=f"127.0.0.1:{self.server.port}"
        )

    async def asyncTearDown(self) -> None:
        await self.link.close()
        await self.server.close()

    async def test_crossing_replies_reach_their_requests(self) -> None:
        replies = await asyncio.gather(
            *(
                self.link.request(_reserve(n), timeout_ms=2000)
                for n in range(20)
            )
        )
        attempts = [
            reply.attempt
            for reply in replies
            if isinstance(reply, messages.ReservationReply)
        ]
        self.assertEqual(attempts, [str(n) for n in range(20)])

    async def test_missing_reply_times_out_with_step_and_peer(self) -> None:
        with self.assertRaises(errors.RequestTimeoutError) as caught:
            await self.link.request(
                messages.Recorded(sequence=1), timeout_ms=50
            )
        self.assertEqual(caught.exception.step, "Recorded")
        self.assertEqual(caught.exception.peer, self.link.peer)

    async def test_closed_link_fails_waiting_requests(self) -> None:
        pending = asyncio.create_task(
            self.link.request(messages.Recorded(sequence=1), timeout_ms=5000)
        )
        await asyncio.sleep(0.05)
        await self.server.close()
        with self.assertRaises(errors.LinkClosedError):
            await pending

    async def test_garbage_closes_only_its_own_link(self) -> None:
        url = f"ws://127.0.0.1:{self.server.port}/link"
        async with websockets.asyncio.client.connect(url) as socket:
            await socket.send(b"\xff\x00garbage")
            await asyncio.wait_for(socket.wait_closed(), 2)
        reply = await self.link.request(_reserve(1), timeout_ms=1000)
        self.assertIsInstance(reply, messages.ReservationReply)
