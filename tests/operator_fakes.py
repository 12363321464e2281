"""Defines a fake leader and fake entries for tests of the operator tools."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.roles import operator_api
from bamboorouter.transport import link


class FakeLeader:
    """Answers operator calls; a retried call gets the original answer.

    Attributes:
        replies: Queued replies by operation; the last one is used repeatedly.
        received: All calls, including retries.
        executed: All calls, excluding retries.
        answer: Function that answers all calls instead of `replies`; None to
            use `replies`.
    """

    def __init__(self) -> None:
        self.replies: dict[str, list[messages.Message]] = {}
        self.received: list[messages.OperatorCall] = []
        self.executed: list[messages.OperatorCall] = []
        self.answer: (
            Callable[[messages.OperatorCall], Awaitable[messages.Message]]
            | None
        ) = None
        self._first_replies: dict[str, messages.Message] = {}
        self._server: link.LinkServer | None = None

    async def start(self) -> str:
        """Starts the server and returns its address."""
        self._server = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._handle
        )
        return f"127.0.0.1:{self._server.port}"

    async def stop(self) -> None:
        """Stops the server."""
        if self._server is not None:
            await self._server.close()

    def prepare(self, operation: str, **fields: Any) -> None:
        """Queues a reply to an operation.

        Args:
            operation: Name of the operation.
            **fields: Fields of the reply; `ok` is true by default.
        """
        reply = messages.OperatorReply(**{"ok": True, **fields})
        self.replies.setdefault(operation, []).append(reply)

    async def _handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        assert isinstance(message, messages.OperatorCall)
        self.received.append(message)
        if self.answer is not None:
            return await self.answer(message)
        if message.operation_id not in self._first_replies:
            self.executed.append(message)
            replies = self.replies[message.operation]
            reply = replies.pop(0) if len(replies) > 1 else replies[0]
            self._first_replies[message.operation_id] = reply
        return self._first_replies[message.operation_id]


class FakeEntry:
    """An entry that serves only the operator API.

    Attributes:
        lose_answers: Whether the entry aborts the connection instead of
            answering after the leader has answered.
    """

    def __init__(self, *, lose_answers: bool = False) -> None:
        self.lose_answers = lose_answers
        self._client: control_client.ControlClient | None = None
        self._runner: web.AppRunner | None = None

    async def start(self, leader: str) -> str:
        """Starts the server and returns its address.

        Args:
            leader: Address of the leader.
        """
        self._client = control_client.ControlClient(
            addresses=(leader,), time=clock.SystemClock()
        )
        application = operator_api.make_application(self._client)
        application.middlewares.append(self._lose_answer)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stops the server."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._client is not None:
            await self._client.close()

    @web.middleware
    async def _lose_answer(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        answer: web.StreamResponse = await handler(request)
        if self.lose_answers and request.transport is not None:
            request.transport.abort()
        return answer


async def unused_address() -> str:
    """Returns an address on which no server listens."""
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return f"127.0.0.1:{port}"
