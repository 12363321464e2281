"""The entry's side of requests that must not be repeated.

The idempotency key is reserved with the control group before the request is
dispatched, and its outcome is committed before the caller is answered. A
request whose outcome can't be committed in time is answered `unknown`; the
commit is still tried for a while, so that a later attempt finds the outcome.
"""

import asyncio
import re
from typing import Final

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.requests import caller_requests
from bamboorouter.coordination.requests import request_records
from bamboorouter.protocol import messages

KEPT_BODY_BYTES: Final = 4_096
# Even when the deadline is over, one failover of the leader isn't waited for,
# but a commit under load is.
MIN_RECORD_MS: Final = 1_000
LATE_RECORD_MS: Final = 60_000
MAX_LATE_RECORDS: Final = 1_000

_KEY_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class InProgressError(Exception):
    """Another attempt holds the reservation and has no outcome yet."""


def normalize_key(text: str) -> str:
    """Returns a UUID version 7 in lower case; empty if it isn't one."""
    key = text.strip().strip('"').lower()
    return key if _KEY_PATTERN.fullmatch(key) else ""


class Reservations:
    """Reserves keys and records outcomes through the leader.

    Attributes:
        entry: Name of the entry.
        leader: Commits reservations and outcomes.
        clock: Source of time.
    """

    def __init__(
        self, *, entry: str, leader: request_records.Leader, time: clock.Clock
    ) -> None:
        self.entry = entry
        self.leader = leader
        self.clock = time
        self._late: set[asyncio.Task[None]] = set()

    async def reserve(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply | None:
        """Reserves the key of a request.

        Returns:
            None if the request may be dispatched; otherwise what the caller
            gets instead.

        Raises:
            InProgressError: Another attempt has no outcome yet.
        """
        call = messages.Reserve(
            key=request.key,
            fingerprint=request.fingerprint(),
            attempt=request.request_id,
            service=request.row.name,
            entry=self.entry,
        )
        left = request.deadline - self.clock.now()
        try:
            reply = await self.leader.call(call, timeout_ms=left)
        except errors.RequestTimeoutError:
            # The reservation may be committed. The request wasn't dispatched,
            # and recording that frees the key for another attempt.
            refusal = caller_requests.error_reply(
                "not_run", error_texts.NOT_READY
            )
            self._record_late(request, refusal)
            return refusal
        if not isinstance(reply, messages.ReservationReply):
            return caller_requests.error_reply("not_run", error_texts.NOT_READY)
        if reply.state == "granted":
            return None
        if reply.state == "in_progress":
            raise InProgressError
        return _first_outcome(reply)

    async def record(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> caller_requests.Reply:
        """Commits the outcome of a reserved request.

        Returns:
            The reply that the caller gets: the given one once it is committed
            or if the request was not run, otherwise `unknown`.
        """
        left = max(request.deadline - self.clock.now(), MIN_RECORD_MS)
        try:
            answer = await self.leader.call(
                _outcome_message(request, reply), timeout_ms=left
            )
        except errors.RequestTimeoutError:
            self._record_late(request, reply)
            if reply.outcome == "not_run":
                return reply
            return self._not_recorded(request, "no leader")
        if not isinstance(answer, messages.ReservationReply):
            return self._not_recorded(request, type(answer).__name__)
        if answer.state != "done" or answer.attempt != request.request_id:
            return self._not_recorded(request, answer.code or answer.state)
        return reply

    async def stop(self, *, timeout_ms: int) -> None:
        """Waits for late commits, within a time limit."""
        if self._late:
            await asyncio.wait(self._late, timeout=clock.seconds(timeout_ms))
        for task in self._late:
            task.cancel()

    def _not_recorded(
        self, request: caller_requests.CallerRequest, reason: str
    ) -> caller_requests.Reply:
        events.log(
            events.OUTCOME_NOT_RECORDED,
            request=request.request_id,
            key=request.key,
            reason=reason,
        )
        return caller_requests.error_reply("unknown", error_texts.NOT_RECORDED)

    def _record_late(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> None:
        if len(self._late) >= MAX_LATE_RECORDS:
            return
        task = asyncio.create_task(
            self._call_late(_outcome_message(request, reply))
        )
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _call_late(self, message: messages.RecordOutcome) -> None:
        try:
            await self.leader.call(message, timeout_ms=LATE_RECORD_MS)
        except errors.RouterError as err:
            events.log(
                events.OUTCOME_NOT_RECORDED,
                request=message.attempt,
                key=message.key,
                reason=str(err),
            )


def _outcome_message(
    request: caller_requests.CallerRequest, reply: caller_requests.Reply
) -> messages.RecordOutcome:
    header_bytes = sum(len(n) + len(v) for n, v in reply.headers)
    kept = len(reply.body) + header_bytes <= KEPT_BODY_BYTES
    return messages.RecordOutcome(
        key=request.key,
        attempt=request.request_id,
        outcome=reply.outcome,
        status=reply.status,
        headers=reply.headers if kept else (),
        body=reply.body if kept else b"",
        digest=caller_requests.digest(reply.body),
        body_kept=kept,
    )


def _first_outcome(
    reply: messages.ReservationReply,
) -> caller_requests.Reply:
    """Returns what a resend gets: the first outcome or a refusal."""
    if reply.state == "refused":
        expired = reply.code == error_texts.KEY_EXPIRED
        return caller_requests.error_reply(
            "unknown" if expired else "not_run", reply.code
        )
    if reply.outcome in ("unknown", "not_run"):
        return caller_requests.error_reply(
            reply.outcome,
            error_texts.NO_ANSWER,
            detail="recorded for the first attempt",
        )
    if reply.outcome == "failed":
        return caller_requests.error_reply(
            "failed",
            error_texts.BAD_ANSWER,
            detail="recorded for the first attempt",
        )
    if not reply.body_kept:
        return caller_requests.error_reply(
            "completed", error_texts.BODY_NOT_KEPT
        )
    return caller_requests.Reply(
        outcome="completed",
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
    )
