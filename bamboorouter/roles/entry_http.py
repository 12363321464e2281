"""The HTTP server for callers.

A request for `/<service>/<path>` is forwarded to an upstream of the service as
`/<path>`. Requests and responses are buffered completely: a request is admitted
only once its whole body was received, and a response is sent only once it is
complete, so that a caller never receives part of one.
"""

import asyncio
import itertools
import json
import math
from typing import Final
from typing import Protocol
import urllib.parse

import aiohttp
from aiohttp import web
import multidict
import prometheus_client

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter.coordination.requests import caller_requests
from bamboorouter.coordination.requests import reservations
from bamboorouter.coordination.requests import route_table
from bamboorouter.protocol import common
from bamboorouter.transport import arrivals

DEADLINE_HEADER: Final = "Bamboorouter-Deadline-Ms"
OUTCOME_HEADER: Final = "Bamboorouter-Outcome"
REQUEST_ID_HEADER: Final = "Bamboorouter-Request-Id"
CODE_HEADER: Final = "Bamboorouter-Code"
KEY_HEADER: Final = "Idempotency-Key"

# Limit on the total size of the request bodies buffered at the same time.
MAX_HELD_BYTES: Final = 64 * 1024 * 1024
LINGERING_TIMEOUT_MS: Final = 1_000
KEEPALIVE_TIMEOUT_MS: Final = 75_000
LISTEN_BACKLOG: Final = 1_024
# After the listener is closed, requests that arrive on open connections within
# this time are still answered.
FINAL_REQUESTS_MS: Final = 500
CLOSE_TIMEOUT_MS: Final = 5_000

_HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Request headers that only the entry reads. The idempotency key isn't one of
# them: it is forwarded, so that upstreams can check it as well.
_ENTRY_REQUEST_HEADERS: Final = frozenset({DEADLINE_HEADER.lower()})
_DROPPED_HEADERS: Final = _HOP_BY_HOP_HEADERS | _ENTRY_REQUEST_HEADERS
_ENTRY_RESPONSE_HEADERS: Final = frozenset(
    name.lower() for name in (OUTCOME_HEADER, REQUEST_ID_HEADER, CODE_HEADER)
)
# Row of a request whose service isn't known, for example of a refused one.
_PLACEHOLDER_ROW: Final = common.SheetRow(
    kind="service",
    name="-",
    owner="-",
    urgency=0,
    place=0,
    millicores=0,
    memory_mb=0,
)


class Dispatcher(Protocol):
    """Runs completely received requests."""

    async def run(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply:
        """Runs a request and returns the reply for the caller."""
        ...


class Recorder(Protocol):
    """Records the outcomes of requests for the account of all decisions."""

    def add(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> None:
        """Records the outcome of a request."""
        ...


class _RefusedError(Exception):
    """A request was refused before it reached the dispatcher.

    Attributes:
        reply: Reply for the caller.
        close: Whether the connection must be closed after the reply.
    """

    def __init__(
        self, reply: caller_requests.Reply, *, close: bool = False
    ) -> None:
        super().__init__(reply.code)
        self.reply = reply
        self.close = close


class CallerServer:
    """HTTP server for callers.

    Attributes:
        settings: Section [entry] of the settings.
        incarnation: Random number that identifies this run of the process;
            part of request IDs.
        table: Services and routes in force.
        dispatcher: Runs requests.
        recorder: Records outcomes for the account.
        clock: Source of time.
        arrivals: Arrival times of requests.
        stopping: Whether the server accepts no new connections.
    """

    def __init__(
        self,
        *,
        settings: options.EntryOptions,
        incarnation: int,
        table: route_table.RouteTable,
        dispatcher: Dispatcher,
        recorder: Recorder,
        time: clock.Clock,
        arrival_times: arrivals.ArrivalTimes,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.table = table
        self.dispatcher = dispatcher
        self.recorder = recorder
        self.clock = time
        self.arrivals = arrival_times
        self.stopping = False
        self._request_id_prefix = f"{incarnation:x}-"
        self._counter = itertools.count(1)
        self._held_bytes = 0
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._observers: dict[tuple[str, ...], prometheus_client.Histogram] = {}

    async def start(self, host: str, port: int) -> int:
        """Starts to listen for callers and returns the bound port."""
        self._server = web.Server(self._handle)
        self._listener = await asyncio.get_running_loop().create_server(
            self._make_connection,
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        bound: int = self._listener.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Closes the listener and waits until all requests are answered."""
        self.stopping = True
        if self._listener is not None:
            self._listener.close()
        await asyncio.sleep(clock.seconds(FINAL_REQUESTS_MS))
        await self._idle.wait()
        if self._server is not None:
            self._server.pre_shutdown()
            await self._server.shutdown(clock.seconds(CLOSE_TIMEOUT_MS))

    def _make_connection(self) -> "_Connection":
        assert self._server is not None
        return _Connection(
            self._server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=clock.seconds(KEEPALIVE_TIMEOUT_MS),
            auto_decompress=False,
            lingering_time=clock.seconds(LINGERING_TIMEOUT_MS),
        )

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        request = self._new_request(http)
        self._open_requests += 1
        self._idle.clear()
        close = False
        try:
            reply = await self._run(http, request)
        except _RefusedError as refused:
            reply, close = refused.reply, refused.close
        except Exception as err:  # pylint: disable=broad-except
            events.log(
                events.REQUEST_FAULT,
                request=request.request_id,
                error=repr(err),
            )
            reply = caller_requests.error_reply(
                "unknown", error_texts.NO_ANSWER, detail="internal error"
            )
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()
        self._record(request, reply, started)
        response = _response(http, request.request_id, reply)
        if close or self.stopping:
            response.force_close()
        return response

    def _new_request(
        self, http: web.BaseRequest
    ) -> caller_requests.CallerRequest:
        return caller_requests.CallerRequest(
            request_id=f"{self._request_id_prefix}{next(self._counter)}",
            row=_PLACEHOLDER_ROW,
            method=http.method,
            target="",
            headers=(),
            body=b"",
            # The time of arrival, to which `_parse_head` adds the allowed time.
            deadline=self.arrivals.arrival_ms(),
        )

    async def _run(
        self, http: web.BaseRequest, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply:
        self._parse_head(http, request)
        size = self._max_body_bytes(http, request)
        self._held_bytes += size
        try:
            request.body = await self._read_body(http, request)
            return await self.dispatcher.run(request)
        finally:
            self._held_bytes -= size

    def _parse_head(
        self, http: web.BaseRequest, request: caller_requests.CallerRequest
    ) -> None:
        """Sets all fields of the request except for its body.

        Raises:
            _RefusedError: The request is invalid or the entry isn't ready.
        """
        if not self.table.confirmed:
            raise _refused_error(error_texts.NOT_READY)
        name, request.target = _split_target(http.raw_path)
        row = self.table.services.get(name)
        if row is None:
            raise _refused_error(error_texts.NO_SUCH_SERVICE, service=name)
        request.row = row
        try:
            request.headers = _forwarded_headers(http)
            request.target.encode()
        except UnicodeError:
            raise _refused_error(
                error_texts.BAD_REQUEST, detail="not UTF-8"
            ) from None
        request.deadline = clock.Millis(
            request.deadline + self._deadline_ms(http, row)
        )
        if not row.idempotent:
            request.key = _idempotency_key(http, row)

    def _deadline_ms(self, http: web.BaseRequest, row: common.SheetRow) -> int:
        deadline_ms = row.deadline_ms or self.settings.default_deadline_ms
        text = http.headers.get(DEADLINE_HEADER)
        if text is None:
            return deadline_ms
        if not text.isascii() or not text.isdigit() or len(text) > 12:
            raise _refused_error(
                error_texts.BAD_REQUEST, detail=f"{DEADLINE_HEADER}: {text!r}"
            )
        return min(deadline_ms, int(text))

    def _max_body_bytes(
        self, http: web.BaseRequest, request: caller_requests.CallerRequest
    ) -> int:
        """Returns the maximum number of bytes that the body will occupy.

        This is the Content-Length, or the size limit if there is none.

        Raises:
            _RefusedError: The body is too large, or the buffered bodies would
                exceed `MAX_HELD_BYTES`.
        """
        if not http.body_exists:
            return 0
        limit = self.settings.max_request_bytes
        content_length = http.content_length
        size = limit if content_length is None else content_length
        if size > limit:
            raise _refused_error(
                error_texts.BODY_TOO_LARGE, close=True, limit=limit
            )
        if self._held_bytes + size > MAX_HELD_BYTES:
            raise _refused_error(
                error_texts.QUEUE_FULL, close=True, urgency=request.row.urgency
            )
        return size

    async def _read_body(
        self, http: web.BaseRequest, request: caller_requests.CallerRequest
    ) -> bytes:
        """Returns the whole body.

        Raises:
            _RefusedError: The body is too large, incomplete or malformed.
        """
        if not http.body_exists:
            return b""
        limit = self.settings.max_request_bytes
        remaining_ms = max(request.deadline - self.clock.now(), 0)
        try:
            if http.content.is_eof():
                return _checked_size(http.content.read_nowait(), limit)
            async with asyncio.timeout(clock.seconds(remaining_ms)):
                return await _read_up_to(http, limit)
        except TimeoutError:
            detail = "the body did not arrive before the deadline"
        except (aiohttp.ClientError, web.RequestPayloadError, OSError) as err:
            detail = str(err) or type(err).__name__
        except aiohttp.http_exceptions.HttpProcessingError as err:
            detail = err.message
        events.log(
            events.CALLER_GARBAGE,
            request=request.request_id,
            peer=http.remote,
            error=detail,
        )
        raise _refused_error(error_texts.BAD_REQUEST, close=True, detail=detail)

    def _record(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
        started: float,
    ) -> None:
        if not request.key or reply.outcome == "not_run":
            # Any other request has a reservation and may have run. Its outcome
            # is in the replicated log already, recorded with the reservation.
            self.recorder.add(request, reply)
        row = request.row
        labels = (row.name, row.owner, str(row.urgency), reply.outcome)
        observer = self._observers.get(labels)
        if observer is None:
            observer = metrics.REQUEST_SECONDS.labels(*labels)
            self._observers[labels] = observer
        observer.observe(asyncio.get_running_loop().time() - started)
        if reply.outcome == "not_run":
            metrics.REFUSALS.labels(*labels[:3], reply.code).inc()


class _Connection(web.RequestHandler):
    """A caller's connection; answers malformed HTTP like a refused request."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that could not be parsed."""
        detail = (message or repr(exc)).splitlines()[0]
        events.log(events.CALLER_GARBAGE, peer=request.remote, error=detail)
        reply = caller_requests.error_reply(
            "not_run", error_texts.BAD_REQUEST, detail=detail
        )
        response = _response(request, "", reply)
        response.force_close()
        return response


async def _read_up_to(http: web.BaseRequest, limit: int) -> bytes:
    body = b""
    while chunk := await http.content.readany():
        body = _checked_size(body + chunk, limit)
    return body


def _checked_size(body: bytes, limit: int) -> bytes:
    if len(body) > limit:
        raise _refused_error(
            error_texts.BODY_TOO_LARGE, close=True, limit=limit
        )
    return body


def _refused_error(
    code: str, *, close: bool = False, **values: object
) -> _RefusedError:
    text = error_texts.text_for(code, **values)
    return _RefusedError(
        caller_requests.error_reply("not_run", code, text=text), close=close
    )


def _split_target(raw_path: str) -> tuple[str, str]:
    """Splits "/<service>/<path>?<query>" into service name and target."""
    path, mark, query = raw_path.partition("?")
    name, _, rest = path.lstrip("/").partition("/")
    return urllib.parse.unquote(name), f"/{rest}{mark}{query}"


def _forwarded_headers(http: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward to the upstream.

    Raises:
        UnicodeDecodeError: A header isn't UTF-8.
    """
    dropped = _DROPPED_HEADERS
    connection = http.headers.get("Connection")
    if connection:
        dropped |= {name.strip().lower() for name in connection.split(",")}
    pairs = ((n.decode(), v.decode()) for n, v in http.raw_headers)
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _idempotency_key(http: web.BaseRequest, row: common.SheetRow) -> str:
    text = http.headers.get(KEY_HEADER)
    if text is None:
        raise _refused_error(error_texts.KEY_REQUIRED, service=row.name)
    key = reservations.normalize_key(text)
    if not key:
        raise _refused_error(error_texts.KEY_MALFORMED)
    return key


def _response(
    http: web.BaseRequest, request_id: str, reply: caller_requests.Reply
) -> web.Response:
    headers = _response_headers(reply)
    headers[OUTCOME_HEADER] = reply.outcome
    headers[REQUEST_ID_HEADER] = request_id
    body = reply.body
    if reply.code:
        headers[CODE_HEADER] = reply.code
        headers["Content-Type"] = "application/json"
        body = json.dumps(
            {"code": reply.code, "text": reply.text, "request_id": request_id}
        ).encode()
    if reply.retry_after_ms:
        headers["Retry-After"] = str(
            math.ceil(clock.seconds(reply.retry_after_ms))
        )
    if http.method == "HEAD":
        for name, value in reply.headers:
            if name.lower() == "content-length":
                headers[name] = value
        return web.Response(status=reply.status, headers=headers)
    return web.Response(status=reply.status, headers=headers, body=body)


def _response_headers(
    reply: caller_requests.Reply,
) -> multidict.CIMultiDict[str]:
    """Returns the upstream's headers to forward to the caller.

    Hop-by-hop headers and those that the entry itself sets are left out.
    """
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in reply.headers:
        lower = name.lower()
        if (
            lower not in _HOP_BY_HOP_HEADERS
            and lower not in _ENTRY_RESPONSE_HEADERS
        ):
            headers.add(name, value)
    return headers
