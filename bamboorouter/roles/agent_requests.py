"""Runs callers' requests on the upstreams of the agent's VM.

Each `Dispatch` passes the final admission checks before it is sent: digest,
known upstream, not leaving, confirmed route, free connection, deadline. Only
these checks, and a failure to connect to the upstream, give the outcome
`not_run`. Once bytes may have reached the upstream, the outcome is `completed`
(a whole response), `failed` (a malformed, oversized or incomplete response) or
`unknown` (no response, so it is unclear whether the upstream acted).
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import secrets
from typing import Final

import aiohttp
import xxhash
import yarl

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import options
from bamboorouter.coordination.requests import priority_semaphore
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# A route is confirmed if the entry or this agent had contact with a leader
# within this time.
ROUTE_CONFIRMATION_MS: Final = 5_000
CONNECT_TIMEOUT_MS: Final = 1_000
# The control group keeps each reservation for 24 h. The agent only has to
# recognize a dispatch that a faulty entry delivers twice.
MAX_REMEMBERED_RESERVATIONS: Final = 4_096
# Weight of a new sample in the moving average of latencies.
LATENCY_WEIGHT: Final = 0.1
# Number of requests that may wait for a free connection, for each connection of
# the limit.
_QUEUE_SLOTS_PER_CONNECTION: Final = 1

# aiohttp retries all other methods by itself after a lost connection.
_METHODS_WITHOUT_LIBRARY_RETRY: Final = frozenset({"POST", "PATCH"})
_SUPPRESSED_AUTO_HEADERS: Final = ("Accept", "Accept-Encoding", "User-Agent")


@dataclasses.dataclass(kw_only=True)
class UpstreamState:
    """State and counters of one upstream.

    Attributes:
        upstream: The upstream as last announced.
        in_progress: Number of requests in progress.
        latency_ms: Moving average of request durations in ms; 0 before the
            first.
        answered: Number of requests whose outcome wasn't `not_run`.
    """

    upstream: common.Upstream
    in_progress: int = 0
    latency_ms: float = 0.0
    answered: int = 0

    def observe(self, elapsed_ms: float) -> None:
        """Counts one request and adds its duration to the moving average."""
        self.answered += 1
        if self.latency_ms == 0.0:
            self.latency_ms = elapsed_ms
        self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms)


class AgentRequests:
    """Runs dispatched requests on the upstreams of this VM.

    Attributes:
        settings: Section [agent] of the settings.
        clock: Source of time.
        states: Announced upstreams by ID.
        leaving: IDs of upstreams that accept no new requests.
    """

    def __init__(
        self,
        *,
        settings: options.AgentOptions,
        time: clock.Clock,
        contact_age_ms: Callable[[], int | None],
    ) -> None:
        self.settings = settings
        self.clock = time
        self.states: dict[str, UpstreamState] = {}
        self.leaving: set[str] = set()
        self._contact_age_ms = contact_age_ms
        self._entries: set[link.Link] = set()
        # Only for AgentWelcome; heartbeats contain `AgentRole.incarnation`.
        self._incarnation = secrets.randbits(48)
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._semaphore = priority_semaphore.PrioritySemaphore(
            limit=settings.connections,
            queue_limit=settings.connections * _QUEUE_SLOTS_PER_CONNECTION,
            time=time,
        )
        self._reservations: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            # Cookies belong to callers; a shared jar would mix them up.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SUPPRESSED_AUTO_HEADERS,
        )

    async def handle(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        """Handles AgentHello and Dispatch.

        Args:
            message: A message from an entry.
            peer: The link on which the message arrived.

        Returns:
            The reply, or None for any other message.
        """
        if isinstance(message, messages.Dispatch):
            self._open_requests += 1
            self._idle.clear()
            try:
                return await self._admit_and_run(message)
            finally:
                self._open_requests -= 1
                if self._open_requests == 0:
                    self._idle.set()
        if isinstance(message, messages.AgentHello):
            return self._welcome(peer)
        return None

    def set_upstreams(self, upstreams: list[common.Upstream]) -> None:
        """Replaces the announced upstreams; requests in progress continue."""
        known = self.states
        self.states = {
            upstream.id: known.get(upstream.id)
            or UpstreamState(upstream=upstream)
            for upstream in upstreams
        }
        for upstream in upstreams:
            self.states[upstream.id].upstream = upstream

    def set_leaving(self, ids: Iterable[str]) -> None:
        """Refuses new requests for exactly these upstreams.

        The refusal is in force when this returns. All connected entries are
        also notified, which spares them refused attempts. A notification lists
        all leaving upstreams, so that an upstream missing from it accepts
        requests again.
        """
        before, self.leaving = self.leaving, set(ids)
        if self.leaving != before:
            push = messages.Leaving(upstreams=tuple(sorted(self.leaving)))
            for peer in self._entries:
                task = asyncio.create_task(_try_push(peer, push))
                _BACKGROUND_TASKS.add(task)
                task.add_done_callback(_BACKGROUND_TASKS.discard)

    def in_progress(self) -> dict[str, int]:
        """Returns the number of requests in progress by upstream ID."""
        return {key: state.in_progress for key, state in self.states.items()}

    def answered(self) -> dict[str, int]:
        """Returns the number of answered requests by upstream ID."""
        return {key: state.answered for key, state in self.states.items()}

    def latency_ms(self) -> dict[str, float]:
        """Returns the average request duration in ms by upstream ID."""
        return {key: state.latency_ms for key, state in self.states.items()}

    async def drain(self) -> None:
        """Waits until no request is in progress or waiting.

        Call `set_leaving` first; this method doesn't refuse new requests.
        """
        await self._idle.wait()

    async def stop(self) -> None:
        """Closes the HTTP client."""
        if self._session is not None:
            await self._session.close()

    def _welcome(self, peer: link.Link) -> messages.AgentWelcome:
        self._entries = {
            entry for entry in self._entries if not entry.closed.is_set()
        }
        self._entries.add(peer)
        return messages.AgentWelcome(
            worker=self.settings.advertise,
            incarnation=self._incarnation,
            leaving=tuple(sorted(self.leaving)),
        )

    async def _admit_and_run(
        self, dispatch: messages.Dispatch
    ) -> messages.Answer:
        """Runs the final admission checks, then the request."""
        if xxhash.xxh3_64_intdigest(dispatch.body) != dispatch.digest:
            events.log(events.DISPATCH_DAMAGED, request=dispatch.request_id)
            return _refusal(dispatch, error_texts.BAD_DIGEST)
        code = self._refusal_code(dispatch)
        if code:
            return _refusal(dispatch, code)
        deadline = self.clock.now() + dispatch.deadline_ms
        # The baseline policies ignore urgency.
        plain = self.settings.policies == "plain"
        code = await self._semaphore.enter(
            urgency=0 if plain else dispatch.urgency,
            wait_ms=dispatch.deadline_ms,
        )
        if code:
            return _refusal(dispatch, code)
        try:
            # The upstream may have begun to leave while the request waited.
            code = self._refusal_code(dispatch)
            if code:
                return _refusal(dispatch, code)
            return await self._run(dispatch, deadline)
        finally:
            self._semaphore.leave()

    def _refusal_code(self, dispatch: messages.Dispatch) -> str:
        state = self.states.get(dispatch.upstream)
        if state is None or state.upstream.service != dispatch.service:
            return error_texts.NO_UPSTREAM
        if state.upstream.leaving or dispatch.upstream in self.leaving:
            return error_texts.DRAINING
        if not self._route_confirmed(dispatch.route_age_ms):
            return error_texts.UNCONFIRMED_ROUTE
        return error_texts.DEADLINE if dispatch.deadline_ms <= 0 else ""

    def _route_confirmed(self, route_age_ms: int) -> bool:
        if self.settings.unconfirmed_routes == "serve":
            return True
        agent_age_ms = self._contact_age_ms()
        ages = (
            [route_age_ms]
            if agent_age_ms is None
            else [route_age_ms, agent_age_ms]
        )
        return min(ages) <= ROUTE_CONFIRMATION_MS

    async def _run(
        self, dispatch: messages.Dispatch, deadline: int
    ) -> messages.Answer:
        if not self._record_start(dispatch):
            return _undetermined(
                dispatch, "the reserved request was already started"
            )
        state = self.states[dispatch.upstream]
        state.in_progress += 1
        started = self.clock.now()
        try:
            answer = await self._run_on_upstream(dispatch, state, deadline)
            if answer.outcome == "not_run" and dispatch.reservation:
                self._reservations.pop(dispatch.reservation, None)
            if answer.outcome != "not_run":
                state.observe(self.clock.now() - started)
            return answer
        finally:
            state.in_progress -= 1

    def _record_start(self, dispatch: messages.Dispatch) -> bool:
        """Records that a reserved request starts.

        Returns:
            Whether it may run: False if its reservation was started before.
        """
        if not dispatch.reservation:
            return True
        if dispatch.reservation in self._reservations:
            events.log(
                events.RESERVATION_REPEATED,
                request=dispatch.request_id,
                first=self._reservations[dispatch.reservation],
            )
            return False
        self._reservations[dispatch.reservation] = dispatch.request_id
        if len(self._reservations) > MAX_REMEMBERED_RESERVATIONS:
            self._reservations.popitem(last=False)
        return True

    async def _run_on_upstream(
        self,
        dispatch: messages.Dispatch,
        state: UpstreamState,
        deadline: int,
    ) -> messages.Answer:
        """Sends the request, with one retry if it has no reservation.

        An upstream may close an idle connection just as a request is sent on
        it. A request without a reservation is idempotent and is retried once
        on another connection.
        """
        sent_before = False
        # With a reservation, the first attempt is also the last.
        for is_last_attempt in (bool(dispatch.reservation), True):
            remaining_ms = max(deadline - self.clock.now(), 1)
            try:
                return await self._send(dispatch, state, remaining_ms)
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
            ) as err:
                if not sent_before:
                    return _refusal(dispatch, error_texts.NO_UPSTREAM, str(err))
                return _undetermined(dispatch, str(err))
            except TimeoutError:
                return _undetermined(
                    dispatch, "no response before the deadline"
                )
            except (aiohttp.ServerDisconnectedError, OSError) as err:
                sent_before = True
                if is_last_attempt:
                    return _undetermined(dispatch, str(err) or "disconnected")
            except (aiohttp.ClientError, ValueError) as err:
                return _bad_response(dispatch, repr(err))
        raise AssertionError("unreachable")

    async def _send(
        self,
        dispatch: messages.Dispatch,
        state: UpstreamState,
        remaining_ms: int,
    ) -> messages.Answer:
        assert self._session is not None
        url = yarl.URL(
            state.upstream.url.rstrip("/") + dispatch.target, encoded=True
        )
        async with self._session.request(
            dispatch.method,
            url,
            headers=list(dispatch.headers),
            data=dispatch.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=clock.seconds(remaining_ms),
                sock_connect=clock.seconds(CONNECT_TIMEOUT_MS),
                ceil_threshold=math.inf,
            ),
            middlewares=_middlewares(dispatch),
        ) as response:
            body = await self._read(response)
            if body is None:
                return _bad_response(
                    dispatch, "the response exceeds the size limit"
                )
            headers = tuple(
                (name.decode(), value.decode())
                for name, value in response.raw_headers
            )
            return messages.Answer(
                request_id=dispatch.request_id,
                outcome="completed",
                status=response.status,
                headers=headers,
                body=body,
                digest=xxhash.xxh3_64_intdigest(body),
                in_progress=state.in_progress,
            )

    async def _read(self, response: aiohttp.ClientResponse) -> bytes | None:
        """Returns the whole body, or None if it exceeds the limit."""
        limit = self.settings.max_answer_bytes
        content_length = response.content_length
        if content_length is not None and content_length <= limit:
            return await response.read()
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > limit:
                response.close()
                return None
        return bytes(body)


class _SendOnceMiddleware:
    """Client middleware that sends a request at most once.

    aiohttp retries GET, PUT and DELETE by itself after a lost connection,
    which would run a reserved request twice.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise aiohttp.ServerDisconnectedError
        self._sent = True
        return await handler(request)


def _middlewares(
    dispatch: messages.Dispatch,
) -> tuple[aiohttp.ClientMiddlewareType, ...]:
    if dispatch.method in _METHODS_WITHOUT_LIBRARY_RETRY:
        return ()
    return (_SendOnceMiddleware(),)


_BACKGROUND_TASKS: Final[set[asyncio.Task[None]]] = set()


async def _try_push(peer: link.Link, message: messages.Message) -> None:
    try:
        async with asyncio.timeout(clock.seconds(CONNECT_TIMEOUT_MS)):
            await peer.push(message)
    except (errors.LinkClosedError, TimeoutError):
        # The entry gets the same information from a refusal or the leader.
        pass


def _refusal(
    dispatch: messages.Dispatch, code: str, detail: str = ""
) -> messages.Answer:
    text = error_texts.text_for(
        code, service=dispatch.service, urgency=dispatch.urgency
    )
    return messages.Answer(
        request_id=dispatch.request_id,
        outcome="not_run",
        code=code,
        text=f"{text}: {detail}" if detail else text,
    )


def _undetermined(dispatch: messages.Dispatch, detail: str) -> messages.Answer:
    return messages.Answer(
        request_id=dispatch.request_id,
        outcome="unknown",
        code=error_texts.NO_ANSWER,
        text=error_texts.text_for(error_texts.NO_ANSWER, detail=detail),
    )


def _bad_response(dispatch: messages.Dispatch, detail: str) -> messages.Answer:
    events.log(
        events.UPSTREAM_GARBAGE,
        request=dispatch.request_id,
        upstream=dispatch.upstream,
        error=detail,
    )
    return messages.Answer(
        request_id=dispatch.request_id,
        outcome="failed",
        status=502,
        code=error_texts.BAD_ANSWER,
        text=error_texts.text_for(error_texts.BAD_ANSWER, detail=detail),
    )
