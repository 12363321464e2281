"""Reservations of idempotency keys.

A key is a UUID version 7. It is retained for 24 h from its timestamp; a
request with an expired key is answered `unknown` and not dispatched. The
current time is the highest wall time of all applied batches, so that a leader
whose clock is behind cannot reserve an expired key again.

A reservation may arrive after the outcome of its attempt if a link holds it
back. An attempt that was recorded as not run is therefore never granted, and
the outcome is also recorded if the key isn't reserved yet.
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
# Maximum clock skew of a caller: a key further in the future would be retained
# for too long.
MAX_CLOCK_SKEW_MS: Final = 10 * 60 * 1000
# Limit of all stored bodies together; a control replica has 32 MB of memory in
# all. Beyond the limit, the oldest answers keep only status and digest, as do
# answers above `MAX_BODY_BYTES`.
MAX_STORED_BYTES: Final = 8 * 1024 * 1024
_TIMESTAMP_SHIFT: Final = 80
# Fingerprint of a record whose request isn't known.
_UNKNOWN_FINGERPRINT: Final = 0


class KeyRecord(msgspec.Struct, array_like=True, kw_only=True):
    """Reservation of one key and its recorded answer.

    Attributes:
        key: The key in canonical text form.
        created_ms: Timestamp in the key, in ms since the epoch.
        fingerprint: Digest of the request's service, method, target and body;
            0 if only the outcome of an attempt that didn't run is known.
        attempt: Attempt that holds the reservation.
        outcome: Recorded outcome; empty while in progress.
        status: HTTP status of the answer.
        headers: Headers of the answer.
        body: Body of the answer; empty if it is not stored.
        digest: xxh3-64 of the body of the answer.
        body_kept: Whether `body` is the whole body of the answer.
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
    """Returns the timestamp of a key in ms since the epoch.

    Returns:
        The timestamp; None if the key is not a UUID version 7 in canonical
        form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if str(parsed) != key or parsed.version != 7:
        return None
    return parsed.int >> _TIMESTAMP_SHIFT


class RequestKeys:
    """All reservations that have not expired.

    Attributes:
        records: Records by key, in the order of first reservation.
        stored_bytes: Total size of all stored bodies in bytes.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.stored_bytes = 0
        self._expiry_heap: list[tuple[int, str]] = []
        self._keys_with_body: dict[str, None] = {}

    def reserve(
        self, command: commands.ReserveRequest, now_ms: int
    ) -> commands.Result:
        """Reserves a key for one attempt.

        Returns:
            A result whose data holds "state" and, if it is "done", the
            recorded answer.
        """
        self._drop_expired(now_ms)
        record = self.records.get(command.key)
        if record is not None:
            return self._reserve_again(record, command)
        refusal = _key_refusal(command.key, len(self.records), now_ms)
        if refusal is not None:
            return refusal
        record = self._add(command.key, command.attempt, command.fingerprint)
        return _state_result("granted", record)

    def record(
        self, command: commands.RecordRequestOutcome, now_ms: int
    ) -> commands.Result:
        """Records the answer to the attempt that holds the reservation."""
        self._drop_expired(now_ms)
        record = self.records.get(command.key)
        if record is None:
            if command.outcome != "not_run" or _key_refusal(
                command.key, len(self.records), now_ms
            ):
                return _expired_result()
            record = self._add(
                command.key, command.attempt, _UNKNOWN_FINGERPRINT
            )
        if record.attempt != command.attempt:
            return commands.Result(
                ok=False,
                code=error_texts.STALE_ATTEMPT,
                text=error_texts.text_for(
                    error_texts.STALE_ATTEMPT, attempt=command.attempt
                ),
                data=_record_data("refused", record),
            )
        if not record.outcome:
            self._store(record, command)
        return _state_result("done", record)

    def snapshot(self) -> list[Any]:
        """Returns all records in order, as plain data."""
        records = list(self.records.values())
        return [
            msgspec.to_builtins(records, builtin_types=(bytes,)),
            list(self._keys_with_body),
        ]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all records with those in a snapshot."""
        records, with_body = plain
        converted = msgspec.convert(records, list[KeyRecord])
        self.records = {record.key: record for record in converted}
        self._expiry_heap = [(r.created_ms, r.key) for r in converted]
        heapq.heapify(self._expiry_heap)
        self._keys_with_body = dict.fromkeys(with_body)
        self.stored_bytes = sum(len(r.body) for r in converted)

    def _add(self, key: str, attempt: str, fingerprint: int) -> KeyRecord:
        """Adds and returns the record of a valid key."""
        created_ms = key_time_ms(key)
        assert created_ms is not None
        record = KeyRecord(
            key=key,
            created_ms=created_ms,
            fingerprint=fingerprint,
            attempt=attempt,
        )
        self.records[key] = record
        heapq.heappush(self._expiry_heap, (created_ms, key))
        return record

    def _reserve_again(
        self, record: KeyRecord, command: commands.ReserveRequest
    ) -> commands.Result:
        if record.fingerprint not in (
            _UNKNOWN_FINGERPRINT,
            command.fingerprint,
        ):
            return _refused(error_texts.KEY_REUSED)
        if record.outcome == "not_run" and record.attempt != command.attempt:
            # The request was not run, so a new attempt may run it.
            self._discard_body(record)
            record.fingerprint = command.fingerprint
            record.attempt = command.attempt
            record.outcome = ""
            return _state_result("granted", record)
        if record.outcome:
            return _state_result("done", record)
        # An attempt repeats its reservation only if the reply was lost, and it
        # dispatches nothing before it has a reply, so it is granted again.
        granted = record.attempt == command.attempt
        return _state_result("granted" if granted else "in_progress", record)

    def _store(
        self, record: KeyRecord, command: commands.RecordRequestOutcome
    ) -> None:
        store_body = command.body_kept and len(command.body) <= MAX_BODY_BYTES
        record.outcome = command.outcome
        record.status = command.status
        record.headers = command.headers
        record.digest = command.digest
        record.body = command.body if store_body else b""
        record.body_kept = store_body
        if record.body:
            self.stored_bytes += len(record.body)
            self._keys_with_body[record.key] = None
        while self.stored_bytes > MAX_STORED_BYTES:
            oldest = self.records[next(iter(self._keys_with_body))]
            self._discard_body(oldest)
            oldest.body_kept = False

    def _discard_body(self, record: KeyRecord) -> None:
        self.stored_bytes -= len(record.body)
        self._keys_with_body.pop(record.key, None)
        record.body = b""

    def _drop_expired(self, now_ms: int) -> None:
        while (
            self._expiry_heap
            and now_ms - self._expiry_heap[0][0] >= RETENTION_MS
        ):
            _, key = heapq.heappop(self._expiry_heap)
            record = self.records.pop(key)
            self._discard_body(record)


def _record_data(state: str, record: KeyRecord) -> dict[str, Any]:
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


def _key_refusal(
    key: str, known_keys: int, now_ms: int
) -> commands.Result | None:
    """Returns why a key can't be added; None if it can.

    Args:
        key: The key.
        known_keys: Number of recorded keys.
        now_ms: Highest wall time of all applied batches, in ms.
    """
    created_ms = key_time_ms(key)
    if created_ms is None or created_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return _refused(error_texts.KEY_MALFORMED)
    if now_ms - created_ms >= RETENTION_MS:
        return _expired_result()
    if known_keys >= MAX_KEYS:
        return _refused(error_texts.KEY_TABLE_FULL)
    return None


def _state_result(state: str, record: KeyRecord) -> commands.Result:
    return commands.Result(ok=True, data=_record_data(state, record))


def _expired_result() -> commands.Result:
    data = {"state": "done", "outcome": "unknown", "body_kept": False}
    return commands.Result(ok=True, data=data)


def _refused(code: str) -> commands.Result:
    return commands.Result(
        ok=False,
        code=code,
        text=error_texts.text_for(code),
        data={"state": "refused"},
    )
