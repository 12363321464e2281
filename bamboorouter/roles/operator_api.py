"""HTTP interface for operators, served by an entry.

Each call is forwarded to the leader as an `OperatorCall`. The HTTP status
tells the operator's program whether the operation was performed (200), refused
(409), certainly not performed (400, 503) or possibly performed (504). The last
also holds if an attempt had no answer and a later one was refused: a change has
one result for its operation ID, but a refusal before it is proposed is true of
one attempt only.
"""

import asyncio
import functools
from typing import Final
from typing import get_args

from aiohttp import web
import msgspec

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.scheduling import explanations
from bamboorouter.protocol import json_body
from bamboorouter.protocol import messages
from bamboorouter.protocol import operator_http
from bamboorouter.transport import arrivals

# Failover takes up to 3 s, and a call that arrives meanwhile should succeed.
CALL_TIMEOUT_MS: Final = 5_000
# An explanation may have to read the whole account.
EXPLAIN_TIMEOUT_MS: Final = 30_000

PENDING_POLL_PERIOD_MS: Final = 100

_OPERATIONS: Final = frozenset(get_args(operator_http.Operation))
_READING_OPERATIONS: Final = frozenset({"status", "explain"})
# Refusals after which the same call may succeed.
_TRANSIENT_CODES: Final = frozenset(
    {
        error_texts.NOT_READY,
        error_texts.LOG_BUSY,
        error_texts.MEMBERS_BUSY,
        error_texts.STATE_FULL,
    }
)


class OperatorApi:
    """Handles operators' calls.

    Attributes:
        client: The entry's connection to the leader.
        arrivals: Arrival times of requests.
    """

    def __init__(
        self,
        *,
        client: control_client.ControlClient,
        arrival_times: arrivals.ArrivalTimes | None = None,
    ) -> None:
        self.client = client
        self.arrivals = arrival_times or arrivals.ArrivalTimes(
            time=client.clock
        )

    async def call(self, request: web.Request) -> web.Response:
        """Forwards a call to the leader and returns the leader's reply."""
        arrival_ms = self.arrivals.arrival_ms()
        operation = request.match_info["operation"]
        if operation not in _OPERATIONS:
            return _error_response(
                404, f"operation {operation!r} does not exist"
            )
        try:
            body = json_body.decode(
                await request.read(), operator_http.CallBody
            )
        except msgspec.DecodeError as err:
            return _error_response(operator_http.STATUS_MALFORMED, str(err))
        if problem := json_body.find_unsendable(body.arguments):
            return _error_response(operator_http.STATUS_MALFORMED, problem)
        return await self._forward(operation, body, arrival_ms)

    async def _forward(
        self,
        operation: str,
        body: operator_http.CallBody,
        arrival_ms: clock.Millis,
    ) -> web.Response:
        call = messages.OperatorCall(
            operation=operation,
            operation_id=body.operation_id,
            operator=body.operator,
            arguments=body.arguments,
        )
        timeout_ms = (
            EXPLAIN_TIMEOUT_MS if operation == "explain" else CALL_TIMEOUT_MS
        )
        deadline = clock.Millis(arrival_ms + timeout_ms)
        if deadline <= self.client.clock.now():
            # The operator's program no longer waits, and later calls of it may
            # have been carried out.
            return _error_response(
                operator_http.STATUS_NOT_DONE,
                error_texts.text_for(error_texts.READ_TOO_LATE),
                code=error_texts.READ_TOO_LATE,
            )
        try:
            reply = await self._call_leader(call, deadline)
        except errors.RouterError as err:
            events.log(
                events.OPERATOR_CALL_UNANSWERED,
                operation=operation,
                operation_id=body.operation_id,
                operator=body.operator,
                error=str(err),
            )
            return _json_response(
                operator_http.STATUS_UNKNOWN,
                operator_http.ReplyBody(
                    ok=False,
                    code=error_texts.RESULT_UNKNOWN,
                    text=error_texts.text_for(error_texts.RESULT_UNKNOWN),
                ),
            )
        return self._to_response(call, reply)

    async def _call_leader(
        self, call: messages.OperatorCall, deadline: clock.Millis
    ) -> messages.Message:
        """Repeats a call until the reply is no longer pending.

        The leader replies "pending" while it still prepares an explanation.

        Raises:
            RequestTimeoutError: No leader replied in time.
            UnknownResultError: The call was refused, but an earlier attempt may
                have been executed.
        """
        while True:
            remaining = deadline - self.client.clock.now()
            reply = await self.client.call(
                call,
                timeout_ms=max(remaining, 0),
                is_refusal=functools.partial(_is_refusal, call),
            )
            if not (
                isinstance(reply, messages.OperatorReply)
                and reply.data.get(explanations.PENDING)
            ):
                return reply
            await asyncio.sleep(clock.seconds(PENDING_POLL_PERIOD_MS))

    def _to_response(
        self, call: messages.OperatorCall, reply: messages.Message
    ) -> web.Response:
        if isinstance(reply, messages.OperatorReply):
            events.log(
                events.OPERATOR_CALL,
                operation=call.operation,
                operation_id=call.operation_id,
                operator=call.operator,
                ok=reply.ok,
                code=reply.code,
            )
            status = (
                operator_http.STATUS_DONE
                if reply.ok
                else operator_http.STATUS_REFUSED
            )
            body = operator_http.ReplyBody(
                ok=reply.ok, code=reply.code, text=reply.text, data=reply.data
            )
            return _json_response(status, body)
        if isinstance(reply, messages.Refusal):
            body = operator_http.ReplyBody(
                ok=False, code=reply.code, text=reply.text
            )
            return _json_response(_refusal_status(reply.code), body)
        raise errors.ProtocolError(
            text=f"unexpected {type(reply).__name__}", step="operator call"
        )


def make_application(
    client: control_client.ControlClient,
    arrival_times: arrivals.ArrivalTimes | None = None,
) -> web.Application:
    """Builds the application that an entry serves on its operator address.

    Args:
        client: The entry's connection to the leader.
        arrival_times: Arrival times of requests.

    Returns:
        The application, which the calling code has to run and stop.
    """
    application = web.Application(client_max_size=operator_http.MAX_BODY_BYTES)
    api = OperatorApi(client=client, arrival_times=arrival_times)
    application.router.add_post(
        operator_http.PATH_PREFIX + "{operation}", api.call
    )
    return application


def _is_refusal(call: messages.OperatorCall, reply: messages.Message) -> bool:
    """Whether a reply says that a change wasn't proposed."""
    return call.operation not in _READING_OPERATIONS and isinstance(
        reply, messages.Refusal
    )


def _refusal_status(code: str) -> int:
    """Returns the HTTP status of a refusal.

    Only `STATUS_NOT_DONE` says that the same call may succeed later.
    """
    if code in _TRANSIENT_CODES:
        return operator_http.STATUS_NOT_DONE
    return operator_http.STATUS_REFUSED


def _json_response(status: int, body: operator_http.ReplyBody) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _error_response(
    status: int, text: str, *, code: str = error_texts.CALL_MALFORMED
) -> web.Response:
    return _json_response(
        status, operator_http.ReplyBody(ok=False, code=code, text=text)
    )
