"""Reserves idempotency keys for requests that must not be executed twice.

The entry reserves the idempotency key with the control group before it
dispatches a request, and commits the outcome before it answers the caller. If
the outcome can't be committed in time, the caller gets `unknown`. The commit is
then retried in the background, so that a later attempt finds the outcome.
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

# Maximum size of the headers and body of an answer that is stored for resends.
MAX_STORED_ANSWER_BYTES: Final = 4_096
# Minimum time for committing an outcome, also after the deadline: long enough
# for a commit under load, but not for a failover of the leader.
MIN_COMMIT_TIMEOUT_MS: Final = 1_000
BACKGROUND_COMMIT_TIMEOUT_MS: Final = 60_000
MAX_BACKGROUND_COMMITS: Final = 1_000

_KEY_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class InProgressError(Exception):
    """Another attempt holds the reservation and is still in progress."""


def normalize_key(text: str) -> str:
    """Returns a UUID version 7 in lower case; empty if the text isn't one."""
    key = text.strip().strip('"').lower()
    return key if _KEY_PATTERN.fullmatch(key) else ""


class Reservations:
    """Reserves keys and records outcomes through the leader.

    Attributes:
        entry: Name of the entry.
        leader: Client for calls to the leader, which commits reservations and
            outcomes.
        clock: Source of time.
    """

    def __init__(
        self, *, entry: str, leader: request_records.Leader, time: clock.Clock
    ) -> None:
        self.entry = entry
        self.leader = leader
        self.clock = time
        self._background_commits: set[asyncio.Task[None]] = set()

    async def reserve(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.Reply | None:
        """Reserves the idempotency key of a request.

        Returns:
            None if the request may be dispatched; otherwise the reply to the
            caller.

        Raises:
            InProgressError: Another attempt is still in progress.
        """
        call = messages.Reserve(
            key=request.key,
            fingerprint=request.fingerprint(),
            attempt=request.request_id,
            service=request.row.name,
            entry=self.entry,
        )
        timeout_ms = request.deadline - self.clock.now()
        try:
            reply = await self.leader.call(
                call, timeout_ms=timeout_ms, is_refusal=_is_refusal
            )
        except (errors.RequestTimeoutError, errors.UnknownResultError):
            # The reservation may be committed. Recording that the request
            # wasn't dispatched releases the key for another attempt.
            refusal = caller_requests.error_reply(
                "not_run", error_texts.NOT_READY
            )
            self._commit_in_background(request, refusal)
            return refusal
        if not isinstance(reply, messages.ReservationReply):
            return caller_requests.error_reply("not_run", error_texts.NOT_READY)
        if reply.state == "granted":
            return None
        if reply.state == "in_progress":
            raise InProgressError
        return _recorded_reply(reply)

    async def record(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> caller_requests.Reply:
        """Commits the outcome of a reserved request.

        Returns:
            The reply to the caller: the given one if it was committed or the
            request wasn't run, otherwise `unknown`.
        """
        timeout_ms = max(
            request.deadline - self.clock.now(), MIN_COMMIT_TIMEOUT_MS
        )
        try:
            answer = await self.leader.call(
                _outcome_message(request, reply), timeout_ms=timeout_ms
            )
        except errors.RequestTimeoutError:
            self._commit_in_background(request, reply)
            if reply.outcome == "not_run":
                return reply
            return self._not_recorded(request, "no leader")
        if not isinstance(answer, messages.ReservationReply):
            return self._not_recorded(request, type(answer).__name__)
        if answer.state != "done" or answer.attempt != request.request_id:
            return self._not_recorded(request, answer.code or answer.state)
        return reply

    async def stop(self, *, timeout_ms: int) -> None:
        """Waits for background commits within a time limit in ms."""
        if self._background_commits:
            await asyncio.wait(
                self._background_commits, timeout=clock.seconds(timeout_ms)
            )
        for task in self._background_commits:
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

    def _commit_in_background(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> None:
        if len(self._background_commits) >= MAX_BACKGROUND_COMMITS:
            return
        task = asyncio.create_task(
            self._commit_outcome(_outcome_message(request, reply))
        )
        self._background_commits.add(task)
        task.add_done_callback(self._background_commits.discard)

    async def _commit_outcome(self, message: messages.RecordOutcome) -> None:
        try:
            await self.leader.call(
                message, timeout_ms=BACKGROUND_COMMIT_TIMEOUT_MS
            )
        except errors.RouterError as err:
            events.log(
                events.OUTCOME_NOT_RECORDED,
                request=message.attempt,
                key=message.key,
                reason=str(err),
            )


def _is_refusal(reply: messages.Message) -> bool:
    """Whether a reply says that a reservation wasn't proposed."""
    return not isinstance(reply, messages.ReservationReply)


def _outcome_message(
    request: caller_requests.CallerRequest, reply: caller_requests.Reply
) -> messages.RecordOutcome:
    header_bytes = sum(len(n) + len(v) for n, v in reply.headers)
    body_kept = len(reply.body) + header_bytes <= MAX_STORED_ANSWER_BYTES
    return messages.RecordOutcome(
        key=request.key,
        attempt=request.request_id,
        outcome=reply.outcome,
        status=reply.status,
        headers=reply.headers if body_kept else (),
        body=reply.body if body_kept else b"",
        digest=caller_requests.digest(reply.body),
        body_kept=body_kept,
    )


def _recorded_reply(
    reply: messages.ReservationReply,
) -> caller_requests.Reply:
    """Returns the reply to a resend: the recorded outcome or a refusal."""
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
