"""Reservations of idempotency keys.

A key is a UUID version 7, whose timestamp bounds its retention: it is kept for
24 h from that time and afterwards answered `unknown` without being run. Time
is the highest wall time of all applied batches, so a leader with a slow clock
can't make an expired key new again.
"""

import heapq
from typing import Any
from typing import Final
from typing import Literal
import uuid

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common

RETENTION_MS: Final = 24 * 3600 * 1000
MAX_KEYS: Final = 50_000
MAX_BODY_BYTES: Final = 4096
# Keys of callers whose clock is ahead by more would be kept for too long.
MAX_AHEAD_MS: Final = 10 * 60 * 1000
# Kept answers together; a control replica has 32 MB for everything. Beyond
# it, the oldest answers keep only status and digest, as large ones do.
MAX_KEPT_BYTES: Final = 8 * 1024 * 1024
_TIMESTAMP_SHIFT: Final = 80


class KeyRecord(msgspec.Struct, array_like=True, kw_only=True):
    """What is known about one key.

    Attributes:
        key: The key as text.
        created_ms: Timestamp within the key.
        fingerprint: Digest of service, method, target and body.
        attempt: Attempt that holds the reservation.
        outcome: Recorded outcome; empty while in progress.
        status: HTTP status of the answer.
        headers: Headers of the answer.
        body: The answer, if kept.
        digest: xxh3-64 of the answer's body.
        body_kept: Whether `body` is the whole answer.
    """

    key: str
    created_ms: int
    fingerprint: int
    attempt: str
    outcome: common.Outcome | Literal[""] = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    digest: int = 0
    body_kept: bool = True


def key_time_ms(key: str) -> int | None:
    """Returns the timestamp of a UUID version 7 in canonical form, else None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key or parsed.version != 7:
        return None
    return parsed.int >> _TIMESTAMP_SHIFT


class RequestKeys:
    """All reservations.

    Attributes:
        records: Records by key, in the order of first reservation.
        kept_bytes: Bytes of all kept answers.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.kept_bytes = 0
        self._by_age: list[tuple[int, str]] = []
        self._with_body: dict[str, None] = {}

    def reserve(
        self, command: commands.ReserveRequest, now_ms: int
    ) -> commands.Result:
        """Reserves a key for one attempt.

        Returns:
            A result whose data holds "state" and, for "done", the first
            outcome.
        """
        self._drop_expired(now_ms)
        created_ms = key_time_ms(command.key)
        if created_ms is None or created_ms > now_ms + MAX_AHEAD_MS:
            return _refused(error_texts.KEY_MALFORMED)
        record = self.records.get(command.key)
        if record is not None:
            return self._reserve_again(record, command)
        if now_ms - created_ms >= RETENTION_MS:
            return _done_unknown()
        if len(self.records) >= MAX_KEYS:
            return _refused(error_texts.KEY_TABLE_FULL)
        record = KeyRecord(
            key=command.key,
            created_ms=created_ms,
            fingerprint=command.fingerprint,
            attempt=command.attempt,
        )
        self.records[command.key] = record
        heapq.heappush(self._by_age, (created_ms, command.key))
        return _state("granted", record)

    def record(
        self, command: commands.RecordRequestOutcome, now_ms: int
    ) -> commands.Result:
        """Records the outcome of the attempt that holds the reservation."""
        self._drop_expired(now_ms)
        record = self.records.get(command.key)
        if record is None:
            return _done_unknown()
        if record.attempt != command.attempt:
            return commands.Result(
                ok=False,
                code=error_texts.STALE_ATTEMPT,
                text=error_texts.text_for(
                    error_texts.STALE_ATTEMPT, attempt=command.attempt
                ),
                data=_describe("refused", record),
            )
        if not record.outcome:
            self._store(record, command)
        return _state("done", record)

    def snapshot(self) -> list[Any]:
        """Returns all records in order."""
        records = list(self.records.values())
        return [
            msgspec.to_builtins(records, builtin_types=(bytes,)),
            list(self._with_body),
        ]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all records by those of a snapshot."""
        records, with_body = plain
        converted = msgspec.convert(records, list[KeyRecord])
        self.records = {record.key: record for record in converted}
        self._by_age = [(r.created_ms, r.key) for r in converted]
        heapq.heapify(self._by_age)
        self._with_body = dict.fromkeys(with_body)
        self.kept_bytes = sum(len(r.body) for r in converted)

    def _reserve_again(
        self, record: KeyRecord, command: commands.ReserveRequest
    ) -> commands.Result:
        if record.fingerprint != command.fingerprint:
            return _refused(error_texts.KEY_REUSED)
        if record.outcome == "not_run":
            self._forget_body(record)
            record.attempt = command.attempt
            record.outcome = ""
            return _state("granted", record)
        if record.outcome:
            return _state("done", record)
        # The same attempt asks again only if the first answer was lost, and
        # it dispatches nothing before it has an answer.
        granted = record.attempt == command.attempt
        return _state("granted" if granted else "in_progress", record)

    def _store(
        self, record: KeyRecord, command: commands.RecordRequestOutcome
    ) -> None:
        keep = command.body_kept and len(command.body) <= MAX_BODY_BYTES
        record.outcome = command.outcome
        record.status = command.status
        record.headers = command.headers
        record.digest = command.digest
        record.body = command.body if keep else b""
        record.body_kept = keep
        if record.body:
            self.kept_bytes += len(record.body)
            self._with_body[record.key] = None
        while self.kept_bytes > MAX_KEPT_BYTES:
            oldest = self.records[next(iter(self._with_body))]
            self._forget_body(oldest)
            oldest.body_kept = False

    def _forget_body(self, record: KeyRecord) -> None:
        self.kept_bytes -= len(record.body)
        self._with_body.pop(record.key, None)
        record.body = b""

    def _drop_expired(self, now_ms: int) -> None:
        while self._by_age and now_ms - self._by_age[0][0] >= RETENTION_MS:
            _, key = heapq.heappop(self._by_age)
            record = self.records.pop(key)
            self._forget_body(record)


def _describe(state: str, record: KeyRecord) -> dict[str, Any]:
    data: dict[str, Any] = {"state": state, "attempt": record.attempt}
    if state == "done":
        data.update(
            outcome=record.outcome,
            status=record.status,
            headers=record.headers,
            body=record.body,
            digest=record.digest,
            body_kept=record.body_kept,
        )
    return data


def _state(state: str, record: KeyRecord) -> commands.Result:
    return commands.Result(ok=True, data=_describe(state, record))


def _done_unknown() -> commands.Result:
    data = {"state": "done", "outcome": "unknown", "body_kept": False}
    return commands.Result(ok=True, data=data)


def _refused(code: str) -> commands.Result:
    return commands.Result(
        ok=False,
        code=code,
        text=error_texts.text_for(code),
        data={"state": "refused"},
    )
