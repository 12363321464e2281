"""Client of the operators' HTTP interface.

A call is sent to the entries in turn, with the same operation ID, until one
returns a final answer. If none does, the error states whether the operation may
have been carried out.
"""

import asyncio
from collections.abc import Mapping
import itertools
from typing import Any
from typing import Final
import uuid

import aiohttp
import msgspec

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.protocol import json_body
from bamboorouter.protocol import operator_http

# Both are longer than an entry waits for the leader (`roles.operator_api`), so
# that the entry's answer arrives before the attempt times out.
ATTEMPT_TIMEOUT_MS: Final = 7_000
EXPLAIN_ATTEMPT_TIMEOUT_MS: Final = 32_000
CONNECT_TIMEOUT_MS: Final = 1_000
RETRY_PAUSE_MS: Final = 200
# Default for a call with all its attempts; `explain` needs a longer timeout.
CALL_TIMEOUT_MS: Final = 15_000

_FINAL_STATUSES: Final = frozenset(
    (
        operator_http.STATUS_DONE,
        operator_http.STATUS_MALFORMED,
        operator_http.STATUS_REFUSED,
        404,
        413,
    )
)


def new_operation_id() -> str:
    """Returns a random operation ID."""
    return uuid.uuid4().hex


class OperatorClient:
    """Calls the leader through any of several entries.

    Attributes:
        entries: Operator addresses (IP:port) of the entries.
        operator: Name of the operator, recorded in the account (the replicated
            log as an audit trail).
        timeout_ms: Timeout in ms of a call with all its attempts.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        entries: tuple[str, ...],
        operator: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
        time: clock.Clock | None = None,
    ) -> None:
        self.entries = entries
        self.operator = operator
        self.timeout_ms = timeout_ms
        self.clock = time or clock.SystemClock()

    async def call(
        self,
        operation: operator_http.Operation,
        arguments: Mapping[str, Any],
        *,
        operation_id: str = "",
    ) -> operator_http.ReplyBody:
        """Sends a call until an entry returns a final answer.

        Args:
            operation: Name of the operation.
            arguments: Arguments of the operation by name.
            operation_id: ID of an earlier call whose answer was lost; empty
                for a new call.

        Returns:
            The leader's answer: done, or refused with a code.

        Raises:
            UnknownResultError: No final answer arrived; the operation may have
                been carried out.
            RefusedError: No entry accepted the call; nothing was changed.
        """
        operation_id = operation_id or new_operation_id()
        body = msgspec.json.encode(
            operator_http.CallBody(
                operation_id=operation_id,
                operator=self.operator,
                arguments=dict(arguments),
            )
        )
        attempts = _Attempts(operation=operation, operation_id=operation_id)
        deadline = self.clock.now() + self.timeout_ms
        async with aiohttp.ClientSession() as session:
            for attempt, entry in enumerate(itertools.cycle(self.entries)):
                if attempt and attempt % len(self.entries) == 0:
                    await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
                remaining = deadline - self.clock.now()
                if remaining <= 0:
                    break
                reply = await attempts.send(session, entry, body, remaining)
                if reply is not None:
                    return reply
        raise attempts.error()


class _Attempts:
    """The attempts of one call.

    Attributes:
        operation: Name of the operation.
        operation_id: ID of the operation, the same in all attempts.
        maybe_executed: Whether an attempt may have been carried out.
        last_code: Error code of the last failed attempt.
        last_text: Error text of the last failed attempt.
        last_entry: Address of the entry of the last attempt.
    """

    def __init__(self, *, operation: str, operation_id: str) -> None:
        self.operation = operation
        self.operation_id = operation_id
        self.maybe_executed = False
        self.last_code = error_texts.NOT_REACHED
        self.last_text = error_texts.text_for(error_texts.NOT_REACHED)
        self.last_entry = ""

    async def send(
        self,
        session: aiohttp.ClientSession,
        entry: str,
        body: bytes,
        remaining_ms: int,
    ) -> operator_http.ReplyBody | None:
        """Makes one attempt; returns a final answer or None."""
        self.last_entry = entry
        attempt_timeout_ms = (
            EXPLAIN_ATTEMPT_TIMEOUT_MS
            if self.operation == "explain"
            else ATTEMPT_TIMEOUT_MS
        )
        timeout = aiohttp.ClientTimeout(
            total=clock.seconds(min(attempt_timeout_ms, remaining_ms)),
            sock_connect=clock.seconds(CONNECT_TIMEOUT_MS),
        )
        url = f"http://{entry}{operator_http.PATH_PREFIX}{self.operation}"
        try:
            async with session.post(url, data=body, timeout=timeout) as answer:
                return self._parse_reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError as err:
            self.last_text = str(err)
        except aiohttp.ConnectionTimeoutError as err:
            self.last_text = f"cannot connect to {entry}: {err}"
        except (aiohttp.ClientError, TimeoutError, OSError) as err:
            self.maybe_executed = True
            self.last_text = str(err) or type(err).__name__
        return None

    def error(self) -> errors.RouterError:
        """Returns the error of a call without a final answer."""
        if self.maybe_executed:
            return errors.UnknownResultError(
                text=self.last_text, step=self.operation, peer=self.last_entry
            )
        return errors.RefusedError(
            code=self.last_code,
            text=self.last_text,
            step=self.operation,
            peer=self.last_entry,
        )

    def _parse_reply(
        self, status: int, body: bytes
    ) -> operator_http.ReplyBody | None:
        try:
            reply = json_body.decode(body, operator_http.ReplyBody)
        except msgspec.DecodeError:
            reply = operator_http.ReplyBody(
                ok=False,
                code=error_texts.CALL_MALFORMED,
                text=f"HTTP status {status}",
            )
        if status in _FINAL_STATUSES:
            return reply
        self.last_code, self.last_text = reply.code, reply.text
        if status != operator_http.STATUS_NOT_DONE:
            self.maybe_executed = True
        return None
