"""Verifies the account on disk and reports changed and missing records.

Unlike opening the log, verification continues after a fault and does not write
to the files. On its own it cannot detect that the newest records were removed,
or that all chain hashes after a changed record were recomputed. Comparing the
log with the index and chain hash of a record that were stored elsewhere
detects both.
"""

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import Final
from typing import Literal

import msgspec

from bamboorouter.state import records

MAX_FAULTS: Final = 100

FaultKind = Literal["changed", "missing", "misplaced", "other_head"]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault in the account.

    Attributes:
        kind: "changed" or "missing" for records that were changed or removed,
            "misplaced" for a record out of order, "other_head" for a record
            whose chain hash differs from the one known from outside the log.
        first_index: Index of the first affected record.
        last_index: Index of the last affected record.
        file: Name of the segment file; empty if no file is affected.
        offset: Offset in the file in bytes.
        text: Human-readable description of the fault.
    """

    kind: FaultKind
    first_index: int
    last_index: int
    file: str
    offset: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownRecord:
    """Expected chain hash of a record, from a source outside the log.

    Attributes:
        index: Index of the record.
        chain: Chain hash of the record in hex.
    """

    index: int
    chain: str


class Verification(msgspec.Struct, kw_only=True):
    """Result of a verification.

    Attributes:
        first_index: Index of the oldest record; if it is above 1, older ones
            were removed by retention.
        last_index: Index of the newest record.
        head: Chain hash of the newest record in hex.
        records: Number of undamaged records.
        faults: Faults that were found, at most `MAX_FAULTS`.
        tail_bytes: Size in bytes of an incomplete record at the end of the
            log, which was never acknowledged.
    """

    first_index: int = 0
    last_index: int = 0
    head: str = ""
    records: int = 0
    faults: list[Fault] = []
    tail_bytes: int = 0

    def plain(self) -> dict[str, Any]:
        """Returns the result as plain data."""
        data: dict[str, Any] = msgspec.to_builtins(self)
        return data


def verify(
    segments: Iterable[tuple[str, bytes]], *, known: Iterable[KnownRecord] = ()
) -> Verification:
    """Verifies all segments of a log.

    Args:
        segments: Name and content of each segment, oldest first.
        known: Records whose chain hashes are known from outside the log.

    Returns:
        The result; the account is undamaged if `faults` is empty.
    """
    checker = _Checker(known={record.index: record.chain for record in known})
    previous: tuple[str, bytes] | None = None
    for segment in segments:
        if previous is not None:
            checker.check_segment(*previous, newest=False)
        previous = segment
    if previous is not None:
        checker.check_segment(*previous, newest=True)
    return checker.finish()


class _Checker:
    """Verifies the records of one segment after another.

    Attributes:
        result: Result for all segments so far.
    """

    def __init__(self, *, known: dict[int, str]) -> None:
        self.result = Verification()
        self._known = known
        self._next_index = 0
        self._chain: bytes | None = None
        self._damage_start: tuple[str, int] | None = None

    def check_segment(self, name: str, data: bytes, *, newest: bool) -> None:
        """Verifies one segment.

        Args:
            name: File name.
            data: Content of the file.
            newest: Whether it is the newest segment, which a crash may have
                left incomplete.
        """
        position = self._check_segment_header(name, data, newest=newest)
        while position < len(data):
            parsed = records.parse_entry(data, position)
            if parsed is not None:
                self._check_entry(name, position, parsed[0])
                position = parsed[1]
                continue
            found = records.find_entry(data, position + 1)
            if found is None and newest and _maybe_torn(data, position):
                self.result.tail_bytes = len(data) - position
                return
            self._damage_start = self._damage_start or (name, position)
            self._chain = None
            position = len(data) if found is None else found

    def finish(self) -> Verification:
        """Returns the result after all segments were verified."""
        if self._damage_start is not None:
            self._report_damage(self._next_index)
        last = self.result.last_index
        for index in sorted(self._known):
            if index > last:
                self._report(
                    "missing",
                    (last + 1, index),
                    ("", 0),
                    f"records {last + 1} to {index} are missing: record"
                    f" {index} is expected",
                )
        return self.result

    def _check_segment_header(
        self, name: str, data: bytes, *, newest: bool
    ) -> int:
        base = records.parse_segment_header(data)
        if base is None:
            if (
                newest
                and _maybe_torn(data, 0)
                and records.find_entry(data, 0) is None
            ):
                self.result.tail_bytes = len(data)
                return len(data)
            text = f"the header of {name} was changed"
            index = max(self._next_index, 1)
            self._report("changed", (index, index), (name, 0), text)
            # The chain hash in the header is not needed: each record holds
            # its own.
            return records.SEGMENT_HEADER_BYTES
        if self._next_index == 0:
            self._next_index = base.index + 1
            self._chain = base.chain
        self._check_position(name, 0, base.index + 1)
        if self._chain not in (None, base.chain):
            self._report(
                "changed",
                (base.index, base.index),
                (name, 0),
                f"the header of {name} does not match the chain hash of record"
                f" {base.index}",
            )
        self._chain = base.chain
        return records.SEGMENT_HEADER_BYTES

    def _check_entry(
        self, name: str, offset: int, stored: records.StoredEntry
    ) -> None:
        index = stored.entry.index
        self._check_position(name, offset, index)
        if self._chain is not None:
            expected = records.chain_after(self._chain, stored.entry)
            if expected != stored.chain:
                self._report(
                    "changed",
                    (index, index),
                    (name, offset),
                    f"record {index} does not match the chain hash of record"
                    f" {index - 1}: record {index} was changed, or record"
                    f" {index - 1} was changed together with its hash",
                )
        self._check_known(name, offset, stored)
        self._chain = stored.chain
        self._next_index = index + 1
        self.result.records += 1
        self.result.first_index = self.result.first_index or index
        self.result.last_index = index
        self.result.head = stored.chain.hex()

    def _check_position(self, name: str, offset: int, index: int) -> None:
        """Reports a record with an unexpected index, or damage before it."""
        if self._damage_start is not None and index >= self._next_index:
            self._report_damage(max(index - 1, self._next_index))
        elif index > self._next_index > 0:
            span = (self._next_index, index - 1)
            text = (
                f"{_span_text(span)} missing before offset {offset} of {name}"
            )
            self._report("missing", span, (name, offset), text)
            self._chain = None
        elif index < self._next_index:
            self._report(
                "misplaced",
                (index, index),
                (name, offset),
                f"found record {index} instead of record {self._next_index}",
            )
            self._chain = None
        self._next_index = index

    def _check_known(
        self, name: str, offset: int, stored: records.StoredEntry
    ) -> None:
        index = stored.entry.index
        chain = self._known.get(index)
        if chain is not None and chain != stored.chain.hex():
            self._report(
                "other_head",
                (index, index),
                (name, offset),
                f"the chain hash of record {index} differs from the expected"
                " one: this or an older record was changed",
            )

    def _report_damage(self, last_index: int) -> None:
        """Reports damage that starts at `_damage_start`, if there is any.

        Args:
            last_index: Index of the last record that the damage affects.
        """
        if self._damage_start is None:
            return
        start, self._damage_start = self._damage_start, None
        span = (max(self._next_index, 1), max(self._next_index, last_index))
        text = f"{_span_text(span)} changed at offset {start[1]} of {start[0]}"
        self._report("changed", span, start, text)

    def _report(
        self,
        kind: FaultKind,
        span: tuple[int, int],
        location: tuple[str, int],
        text: str,
    ) -> None:
        if len(self.result.faults) < MAX_FAULTS:
            self.result.faults.append(
                Fault(
                    kind=kind,
                    first_index=span[0],
                    last_index=span[1],
                    file=location[0],
                    offset=location[1],
                    text=text,
                )
            )


def _span_text(span: tuple[int, int]) -> str:
    first, last = span
    if first == last:
        return f"record {first} is"
    return f"records {first} to {last} are"


def _maybe_torn(data: bytes, position: int) -> bool:
    """Whether the rest of the newest segment may result from a crash.

    A crash leaves a record that is shorter than the length in its header, or
    zeros where the file system had not yet written data. A complete record
    with a wrong checksum was changed.
    """
    rest = data[position:]
    return not rest.strip(b"\0") or records.is_incomplete(rest)
