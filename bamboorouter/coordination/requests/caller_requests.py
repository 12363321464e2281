"""A caller's request and what the caller gets for it."""

import dataclasses
from typing import Final

import xxhash

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter.protocol import common

Headers = tuple[tuple[str, str], ...]

# HTTP statuses of answers that don't come from an upstream.
STATUSES: Final[dict[str, int]] = {
    error_texts.BAD_REQUEST: 400,
    error_texts.KEY_REQUIRED: 400,
    error_texts.KEY_MALFORMED: 400,
    error_texts.NO_SUCH_SERVICE: 404,
    error_texts.BODY_NOT_KEPT: 409,
    error_texts.BODY_TOO_LARGE: 413,
    error_texts.KEY_REUSED: 422,
    error_texts.QUEUE_FULL: 429,
    error_texts.BAD_ANSWER: 502,
    error_texts.NO_ANSWER: 504,
    error_texts.NOT_RECORDED: 504,
    error_texts.OTHER_ATTEMPT: 504,
    error_texts.KEY_EXPIRED: 504,
}
OTHER_REFUSAL_STATUS: Final = 503
RETRYABLE_STATUSES: Final = (429, 503)
MIN_RETRY_AFTER_MS: Final = 1_000


@dataclasses.dataclass(kw_only=True, slots=True)
class CallerRequest:
    """A request as it was received completely.

    Attributes:
        request_id: "<entry incarnation>-<counter>".
        row: Row of the service.
        method: HTTP method.
        target: Path below the service, with the query string.
        headers: Headers without those of the hop.
        body: Whole body.
        deadline: Monotonic time by which the caller wants an answer.
        key: Idempotency key; empty if the service is idempotent.
    """

    request_id: str
    row: common.SheetRow
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: clock.Millis
    key: str = ""

    def fingerprint(self) -> int:
        """Returns the xxh3-64 of service, method, target and body."""
        state = xxhash.xxh3_64()
        for part in (self.row.name, self.method, self.target):
            state.update(part.encode() + b"\0")
        state.update(self.body)
        return state.intdigest()


@dataclasses.dataclass(kw_only=True, slots=True)
class Reply:
    """What the caller gets.

    Attributes:
        outcome: Outcome of the request.
        status: HTTP status.
        headers: Headers of the upstream's answer.
        body: Body of the upstream's answer.
        code: Code from `error_texts` if the answer isn't an upstream's.
        text: Explanation for people.
        retry_after_ms: When another try may succeed; 0 if not known.
    """

    outcome: common.Outcome
    status: int
    headers: Headers = ()
    body: bytes = b""
    code: str = ""
    text: str = ""
    retry_after_ms: int = 0


def digest(body: bytes) -> int:
    """Returns the xxh3-64 of a body."""
    return xxhash.xxh3_64_intdigest(body)


def error_reply(
    outcome: common.Outcome,
    code: str,
    *,
    text: str = "",
    retry_after_ms: int = 0,
    **values: object,
) -> Reply:
    """Returns a reply that doesn't come from an upstream.

    Args:
        outcome: Outcome of the request.
        code: Code from `error_texts`.
        text: Explanation; that of the code if empty.
        retry_after_ms: When another try may succeed.
        **values: Values for the text of the code.
    """
    status = STATUSES.get(code, OTHER_REFUSAL_STATUS)
    if status in RETRYABLE_STATUSES:
        retry_after_ms = max(retry_after_ms, MIN_RETRY_AFTER_MS)
    return Reply(
        outcome=outcome,
        status=status,
        code=code,
        text=text or error_texts.text_for(code, **values),
        retry_after_ms=retry_after_ms,
    )
