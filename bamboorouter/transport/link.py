"""Implements links between processes: CBOR messages over a websocket.

Each frame is one CBOR array [kind, id, message]. Both sides send requests and
pushes on the same link. A reply carries the ID of its request; a push has no
reply. A reply that arrives after its request timed out is dropped. A frame that
can't be decoded closes the link.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging as std_logging
from typing import Any
from typing import Final

import cbor2
import websockets.asyncio.client
import websockets.asyncio.connection
import websockets.asyncio.server
import websockets.datastructures
import websockets.exceptions
import websockets.http11

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.protocol import codec
from bamboorouter.protocol import messages
from bamboorouter.transport import connecting

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
# Limits how long opening a link may take, and closing it as well.
OPEN_TIMEOUT_MS: Final = 1000
# Half of the library's write limit of 32 KiB. While more than the limit is
# buffered, a send waits until the peer reads.
MAX_IMMEDIATE_WRITE_BYTES: Final = 16 * 1024
LINK_PATH: Final = "/link"

_REQUEST: Final = 0
_REPLY: Final = 1
_PUSH: Final = 2

_BYTES_SENT: Final = metrics.LINK_BYTES.labels("sent")
_BYTES_RECEIVED: Final = metrics.LINK_BYTES.labels("received")
_FRAMES_SENT: Final = metrics.LINK_FRAMES.labels("sent")
_FRAMES_RECEIVED: Final = metrics.LINK_FRAMES.labels("received")

Handler = Callable[
    [messages.Message, "Link"], Awaitable[messages.Message | None]
]


class Link:
    """One open websocket to a peer.

    Attributes:
        peer: Address of the other side.
        handler: Called for each request and push of the peer.
        closed: Event that is set when the link is closed.
        frames_received: Number of frames received.
        receive_task: Task that receives frames; None if the peer opened the
            link.
    """

    def __init__(
        self,
        *,
        socket: websockets.asyncio.connection.Connection,
        peer: str,
        handler: Handler,
    ) -> None:
        self.peer = peer
        self.handler = handler
        self.closed = asyncio.Event()
        self.frames_received = 0
        self.receive_task: asyncio.Task[None] | None = None
        self._socket = socket
        self._next_id = 0
        self._pending: dict[int, asyncio.Future[messages.Message]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()

    async def request(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a request and waits for its reply.

        Args:
            message: The request.
            timeout_ms: How long to wait for the reply, in ms.

        Returns:
            The reply.

        Raises:
            LinkClosedError: The link was closed before the reply arrived; the
                peer may have processed the request.
            RequestTimeoutError: No reply arrived in time; the peer may have
                processed the request.
        """
        if self.closed.is_set():
            raise self._closed_error()
        self._next_id += 1
        request_id = self._next_id
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.Message] = loop.create_future()
        self._pending[request_id] = future
        deadline = loop.time() + clock.seconds(timeout_ms)
        timer = loop.call_at(deadline, _time_out, future)
        try:
            frame = _encode_frame(_REQUEST, request_id, message)
            if self._sends_immediately(frame):
                await self._send(frame)
            else:
                async with asyncio.timeout_at(deadline):
                    await self._send(frame)
            return await future
        except TimeoutError as err:
            raise errors.RequestTimeoutError(
                text=f"no reply within {timeout_ms} ms",
                step=type(message).__name__,
                peer=self.peer,
            ) from err
        finally:
            timer.cancel()
            self._pending.pop(request_id, None)
            if future.done() and not future.cancelled():
                # The link may have closed while the request was sent. An
                # exception that is never retrieved would be logged by asyncio.
                future.exception()

    async def push(self, message: messages.Message) -> None:
        """Sends a message that has no reply.

        Raises:
            LinkClosedError: The link is closed.
        """
        await self._send(_encode_frame(_PUSH, 0, message))

    async def run(self) -> None:
        """Receives frames until the link is closed.

        A frame that can't be decoded is logged and closes the link. This method
        raises no error, neither then nor when the peer closes the link.
        """
        try:
            async for frame in self._socket:
                self._receive(frame)
        except websockets.exceptions.ConnectionClosed:
            pass
        except errors.ProtocolError as err:
            events.log(events.LINK_REFUSED, peer=self.peer, error=str(err))
        finally:
            await self._shut_down()

    async def close(self) -> None:
        """Closes the link; pending requests raise LinkClosedError."""
        await self._shut_down()

    async def _shut_down(self) -> None:
        if self.closed.is_set():
            return
        self.closed.set()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._closed_error())
        with contextlib.suppress(Exception):
            async with asyncio.timeout(clock.seconds(OPEN_TIMEOUT_MS)):
                await self._socket.close()

    def _closed_error(self) -> errors.LinkClosedError:
        return errors.LinkClosedError(
            text="link closed", step="link", peer=self.peer
        )

    def _sends_immediately(self, frame: bytes) -> bool:
        """Whether a frame can be sent without waiting for the peer to read.

        Such a send needs no timeout of its own. Setting up a timeout would cost
        more than the rest of the request.
        """
        queued = self._socket.transport.get_write_buffer_size()
        return queued + len(frame) <= MAX_IMMEDIATE_WRITE_BYTES

    async def _send(self, frame: bytes) -> None:
        _BYTES_SENT.inc(len(frame))
        _FRAMES_SENT.inc()
        try:
            await self._socket.send(frame)
        except websockets.exceptions.ConnectionClosed as err:
            raise self._closed_error() from err

    def _receive(self, frame: Any) -> None:
        self.frames_received += 1
        _BYTES_RECEIVED.inc(len(frame))
        _FRAMES_RECEIVED.inc()
        kind, request_id, message = _decode_frame(frame)
        if kind == _REPLY:
            future = self._pending.get(request_id)
            if future is not None and not future.done():
                future.set_result(message)
            return
        task = asyncio.create_task(self._handle(kind, request_id, message))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _handle(
        self, kind: int, request_id: int, message: messages.Message
    ) -> None:
        try:
            reply = await self.handler(message, self)
            if kind == _REQUEST and reply is not None:
                await self._send(_encode_frame(_REPLY, request_id, reply))
        except errors.LinkClosedError:
            pass
        except Exception as err:  # pylint: disable=broad-except
            # An exception in a handler must not close the link, which other
            # requests share. The request times out on the peer.
            events.log(
                events.HANDLER_FAILED,
                peer=self.peer,
                message=type(message).__name__,
                error=repr(err),
            )


def _time_out(future: "asyncio.Future[messages.Message]") -> None:
    if not future.done():
        future.set_exception(TimeoutError())


def _encode_frame(
    kind: int, request_id: int, message: messages.Message
) -> bytes:
    return cbor2.dumps([kind, request_id, messages.CODEC.to_plain(message)])


def _decode_frame(frame: Any) -> tuple[int, int, messages.Message]:
    if not isinstance(frame, bytes):
        raise errors.ProtocolError(
            text="frame is text, not binary", step="decode frame"
        )
    fields = codec.loads_untagged(frame)
    if (
        not isinstance(fields, list)
        or len(fields) != 3
        or not isinstance(fields[0], int)
        or not isinstance(fields[1], int)
    ):
        raise errors.ProtocolError(
            text="frame is not [kind, id, message]", step="decode frame"
        )
    return fields[0], fields[1], messages.CODEC.from_plain(fields[2])


async def reject_message(
    message: messages.Message, link: Link
) -> messages.Message | None:
    """Rejects every message; for a side that expects none from its peer.

    Raises:
        ProtocolError: Always.
    """
    raise errors.ProtocolError(
        text=f"unexpected message of type {type(message).__name__}",
        step="handle",
        peer=link.peer,
    )


async def open_link(
    *,
    address: str,
    handler: Handler = reject_message,
    timeout_ms: int = OPEN_TIMEOUT_MS,
) -> Link:
    """Opens a link to a peer.

    Args:
        address: Address of the peer as "IP:port".
        handler: Called for each request and push of the peer.
        timeout_ms: How long to wait for the connection, in ms.

    Returns:
        The open link, which already receives frames.

    Raises:
        LinkClosedError: The peer can't be reached.
    """
    try:
        async with asyncio.timeout(clock.seconds(timeout_ms)):
            connection = await connecting.open_connection(address)
            socket = await websockets.asyncio.client.connect(
                f"ws://{address}{LINK_PATH}",
                sock=connection,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                open_timeout=None,
                close_timeout=clock.seconds(OPEN_TIMEOUT_MS),
                ping_interval=None,
                proxy=None,
            )
    except (
        OSError,
        TimeoutError,
        ValueError,  # The address is malformed.
        websockets.exceptions.WebSocketException,
    ) as err:
        raise errors.LinkClosedError(
            text=str(err) or type(err).__name__, step="open link", peer=address
        ) from err
    link = Link(socket=socket, peer=address, handler=handler)
    link.receive_task = asyncio.create_task(link.run())
    return link


PageSource = Callable[[str], tuple[int, str, bytes] | None]


class LinkServer:
    """Accepts links and serves plain HTTP GET requests on the same port.

    Attributes:
        port: Port on which the server listens.
        links: All open links.
    """

    def __init__(
        self,
        *,
        server: websockets.asyncio.server.Server,
        links: set[Link],
    ) -> None:
        self.port: int = next(iter(server.sockets)).getsockname()[1]
        self.links = links
        self._server = server

    async def close_links(self) -> None:
        """Closes all links; new ones are still accepted."""
        await asyncio.gather(*(link.close() for link in list(self.links)))

    async def close(self) -> None:
        """Stops listening and closes all links."""
        self._server.close(close_connections=False)
        await self.close_links()
        await self._server.wait_closed()


async def serve_links(
    *,
    host: str,
    port: int,
    handler: Handler,
    pages: PageSource | None = None,
) -> LinkServer:
    """Starts a server that accepts links.

    Args:
        host: IP address to bind.
        port: Port to bind; 0 lets the kernel choose a free port.
        handler: Called for each request and push of a peer.
        pages: Returns status, content type and body for the path of a plain
            HTTP GET request, or None if there is no such page. Processes
            without an HTTP library serve health and metrics this way.

    Returns:
        The running server.
    """
    links: set[Link] = set()

    async def accept(
        socket: websockets.asyncio.server.ServerConnection,
    ) -> None:
        address = socket.remote_address
        link = Link(
            socket=socket, peer=f"{address[0]}:{address[1]}", handler=handler
        )
        links.add(link)
        try:
            await link.run()
        finally:
            links.discard(link)

    def answer_page(
        socket: websockets.asyncio.server.ServerConnection,
        request: websockets.http11.Request,
    ) -> websockets.http11.Response | None:
        del socket
        if request.path == LINK_PATH:
            return None
        page = pages(request.path) if pages is not None else None
        status, content_type, body = page or (404, "text/plain", b"not found")
        headers = websockets.datastructures.Headers(
            {
                "Content-Type": content_type,
                "Content-Length": str(len(body)),
                "Connection": "close",
            }
        )
        return websockets.http11.Response(status, "", headers, body)

    server = await websockets.asyncio.server.serve(
        accept,
        host,
        port,
        compression=None,
        max_size=MAX_FRAME_BYTES,
        ping_interval=None,
        close_timeout=clock.seconds(OPEN_TIMEOUT_MS),
        process_request=answer_page,
        logger=_quiet_logger(),
    )
    return LinkServer(server=server, links=links)


def _quiet_logger() -> std_logging.Logger:
    """Returns a logger that drops the connection messages of the library."""
    logger = std_logging.getLogger("bamboorouter.websockets")
    logger.setLevel(std_logging.CRITICAL)
    return logger
