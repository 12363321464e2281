"""Links between processes: CBOR messages over a websocket.

Each frame is one CBOR array [kind, id, message]. Requests of both sides cross
on one link; a reply carries the ID of its request. Replies that arrive after
their request timed out are dropped. A frame that doesn't decode closes the
link.
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

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
OPEN_TIMEOUT_MS: Final = 1000
# Half of the amount at which the socket makes writers wait for the peer.
SMALL_WRITE_BYTES: Final = 16 * 1024
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
        closed: Set when the link is closed.
        received: Number of frames received.
        runner: The task that receives, if the link was dialled.
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
        self.received = 0
        self.runner: asyncio.Task[None] | None = None
        self._socket = socket
        self._next_id = 0
        self._waiting: dict[int, asyncio.Future[messages.Message]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def request(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a request and waits for its reply.

        Args:
            message: The request.
            timeout_ms: How long to wait for the reply.

        Returns:
            The reply.

        Raises:
            LinkClosedError: The link closed first; the peer may have acted.
            RequestTimeoutError: No reply in time; the peer may have acted.
        """
        if self.closed.is_set():
            raise self._closed_error()
        self._next_id += 1
        request_id = self._next_id
        loop = asyncio.get_running_loop()
        future: asyncio.Future[messages.Message] = loop.create_future()
        self._waiting[request_id] = future
        end = loop.time() + clock.seconds(timeout_ms)
        timer = loop.call_at(end, _expire, future)
        try:
            frame = _frame(_REQUEST, request_id, message)
            if self._takes_at_once(frame):
                await self._send(frame)
            else:
                async with asyncio.timeout_at(end):
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
            self._waiting.pop(request_id, None)
            if future.done() and not future.cancelled():
                # The link may have closed while the request was written;
                # unread, the error would be logged as forgotten.
                future.exception()

    async def push(self, message: messages.Message) -> None:
        """Sends a message that has no reply.

        Raises:
            LinkClosedError: The link is closed.
        """
        await self._send(_frame(_PUSH, 0, message))

    async def run(self) -> None:
        """Receives until the link closes; ends without an error."""
        try:
            async for frame in self._socket:
                self._receive(frame)
        except websockets.exceptions.ConnectionClosed:
            pass
        except errors.ProtocolError as err:
            events.log(events.LINK_REFUSED, peer=self.peer, error=str(err))
        finally:
            await self._end()

    async def close(self) -> None:
        """Closes the link; waiting requests get LinkClosedError."""
        await self._end()

    async def _end(self) -> None:
        if self.closed.is_set():
            return
        self.closed.set()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(self._closed_error())
        with contextlib.suppress(Exception):
            async with asyncio.timeout(clock.seconds(OPEN_TIMEOUT_MS)):
                await self._socket.close()

    def _closed_error(self) -> errors.LinkClosedError:
        return errors.LinkClosedError(
            text="link closed", step="link", peer=self.peer
        )

    def _takes_at_once(self, frame: bytes) -> bool:
        """Whether sending a frame can't wait for the peer to read.

        Such a send needs no time limit of its own, which costs more than the
        rest of the request.
        """
        queued = self._socket.transport.get_write_buffer_size()
        return queued + len(frame) <= SMALL_WRITE_BYTES

    async def _send(self, frame: bytes) -> None:
        _BYTES_SENT.inc(len(frame))
        _FRAMES_SENT.inc()
        try:
            await self._socket.send(frame)
        except websockets.exceptions.ConnectionClosed as err:
            raise self._closed_error() from err

    def _receive(self, frame: Any) -> None:
        self.received += 1
        _BYTES_RECEIVED.inc(len(frame))
        _FRAMES_RECEIVED.inc()
        kind, request_id, message = _decode_frame(frame)
        if kind == _REPLY:
            future = self._waiting.get(request_id)
            if future is not None and not future.done():
                future.set_result(message)
            return
        task = asyncio.create_task(self._handle(kind, request_id, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(
        self, kind: int, request_id: int, message: messages.Message
    ) -> None:
        try:
            reply = await self.handler(message, self)
            if kind == _REQUEST and reply is not None:
                await self._send(_frame(_REPLY, request_id, reply))
        except errors.LinkClosedError:
            pass
        except Exception as err:  # pylint: disable=broad-except
            # A handler's fault must not end the link of all other requests;
            # the peer's request runs into its timeout.
            events.log(
                events.HANDLER_FAILED,
                peer=self.peer,
                message=type(message).__name__,
                error=repr(err),
            )


def _expire(future: "asyncio.Future[messages.Message]") -> None:
    if not future.done():
        future.set_exception(TimeoutError())


def _frame(kind: int, request_id: int, message: messages.Message) -> bytes:
    return cbor2.dumps([kind, request_id, messages.CODEC.to_plain(message)])


def _decode_frame(frame: Any) -> tuple[int, int, messages.Message]:
    if not isinstance(frame, bytes):
        raise errors.ProtocolError(text="text frame", step="decode frame")
    plain = codec.loads(frame)
    if (
        not isinstance(plain, list)
        or len(plain) != 3
        or not isinstance(plain[0], int)
        or not isinstance(plain[1], int)
    ):
        raise errors.ProtocolError(text="not a frame", step="decode frame")
    return plain[0], plain[1], messages.CODEC.from_plain(plain[2])


async def no_requests(
    message: messages.Message, link: Link
) -> messages.Message | None:
    """Handler of a side that expects no requests from its peer."""
    raise errors.ProtocolError(
        text=f"unexpected {type(message).__name__}",
        step="handle",
        peer=link.peer,
    )


async def open_link(
    *,
    address: str,
    handler: Handler = no_requests,
    timeout_ms: int = OPEN_TIMEOUT_MS,
) -> Link:
    """Dials a peer.

    Args:
        address: IP:port of the peer.
        handler: Called for requests and pushes of the peer.
        timeout_ms: How long to wait for the connection.

    Returns:
        An open link whose `run` was started.

    Raises:
        LinkClosedError: The peer can't be reached.
    """
    try:
        socket = await websockets.asyncio.client.connect(
            f"ws://{address}{LINK_PATH}",
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=clock.seconds(timeout_ms),
            close_timeout=clock.seconds(OPEN_TIMEOUT_MS),
            ping_interval=None,
            proxy=None,
        )
    except (
        OSError,
        TimeoutError,
        ValueError,  # The address can't be read.
        websockets.exceptions.WebSocketException,
    ) as err:
        raise errors.LinkClosedError(
            text=str(err) or type(err).__name__, step="open link", peer=address
        ) from err
    link = Link(socket=socket, peer=address, handler=handler)
    link.runner = asyncio.create_task(link.run())
    return link


PageSource = Callable[[str], tuple[int, str, bytes] | None]


class LinkServer:
    """Accepts links, and answers plain HTTP GET on the same port.

    Attributes:
        port: The bound port.
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

    async def close(self) -> None:
        """Closes the port and all links."""
        self._server.close(close_connections=False)
        await asyncio.gather(*(link.close() for link in list(self.links)))
        await self._server.wait_closed()


async def serve_links(
    *,
    host: str,
    port: int,
    handler: Handler,
    pages: PageSource | None = None,
) -> LinkServer:
    """Listens for links.

    Args:
        host: IP address to bind.
        port: Port to bind; 0 lets the kernel choose.
        handler: Called for each request and push of a peer.
        pages: Returns status, content type and body for the path of a plain
            GET, or None if there is no such page. Health and metrics of a
            process without an HTTP library are served this way.

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
    """Returns a logger that drops the library's own connection lines."""
    logger = std_logging.getLogger("bamboorouter.websockets")
    logger.setLevel(std_logging.CRITICAL)
    return logger
