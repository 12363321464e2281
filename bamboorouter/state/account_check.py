"""Checks the account on disk and names what was changed or is missing.

Unlike opening the log, the check goes on after a fault and writes nothing. It
can't see that newest records were cut off, or that all hashes from one record
on were computed anew; a head that was kept elsewhere shows both.
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
    """Something that is wrong with the account.

    Attributes:
        kind: What is wrong.
        first_index: First record concerned.
        last_index: Last record concerned.
        file: File of the log.
        offset: Offset in the file in bytes.
        text: The fault for people.
    """

    kind: FaultKind
    first_index: int
    last_index: int
    file: str
    offset: int
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """A record that is known from elsewhere.

    Attributes:
        index: Index of the record.
        chain: Its chain hash in hex.
    """

    index: int
    chain: str


class Verification(msgspec.Struct, kw_only=True):
    """Result of a check.

    Attributes:
        first_index: Index of the oldest record; older ones were removed by
            retention if it is above 1.
        last_index: Index of the newest record.
        head: Chain hash of the newest record in hex.
        records: Number of undamaged records.
        faults: What is wrong, at most `MAX_FAULTS`.
        tail_bytes: Bytes of an incomplete record at the very end, which was
            never acknowledged.
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
    segments: Iterable[tuple[str, bytes]], *, known: Iterable[Head] = ()
) -> Verification:
    """Checks all segments of a log.

    Args:
        segments: Name and content of each segment, oldest first.
        known: Records known from elsewhere.

    Returns:
        What was found; the account is whole if `faults` is empty.
    """
    checker = _Checker(known={head.index: head.chain for head in known})
    previous: tuple[str, bytes] | None = None
    for segment in segments:
        if previous is not None:
            checker.check_segment(*previous, newest=False)
        previous = segment
    if previous is not None:
        checker.check_segment(*previous, newest=True)
    return checker.finish()


class _Checker:
    """Walks over the records.

    Attributes:
        result: What was found so far.
    """

    def __init__(self, *, known: dict[int, str]) -> None:
        self.result = Verification()
        self._known = known
        self._next = 0
        self._chain: bytes | None = None
        self._damage: tuple[str, int] | None = None

    def check_segment(self, name: str, data: bytes, *, newest: bool) -> None:
        """Checks one segment."""
        position = self._check_head(name, data, newest=newest)
        while position < len(data):
            parsed = records.parse_entry(data, position)
            if parsed is not None:
                self._check_entry(name, position, parsed[0])
                position = parsed[1]
                continue
            found = records.find_entry(data, position + 1)
            if found is None and newest and _torn(data, position):
                self.result.tail_bytes = len(data) - position
                return
            self._damage = self._damage or (name, position)
            self._chain = None
            position = len(data) if found is None else found

    def finish(self) -> Verification:
        """Returns the result after the newest segment."""
        if self._damage is not None:
            self._report_damage(self._next)
        last = self.result.last_index
        for index in sorted(self._known):
            if index > last:
                self._report(
                    "missing",
                    (last + 1, index),
                    ("", 0),
                    f"records {last + 1} to {index} are missing: record"
                    f" {index} is known from elsewhere",
                )
        return self.result

    def _check_head(self, name: str, data: bytes, *, newest: bool) -> int:
        base = records.parse_segment_head(data)
        if base is None:
            if (
                newest
                and _torn(data, 0)
                and records.find_entry(data, 0) is None
            ):
                self.result.tail_bytes = len(data)
                return len(data)
            text = f"the head of {name} was changed"
            at = max(self._next, 1)
            self._report("changed", (at, at), (name, 0), text)
            # Its hash is not needed: the records carry their own.
            return records.SEGMENT_HEAD_BYTES
        if self._next == 0:
            self._next = base.index + 1
            self._chain = base.chain
        self._check_position(name, 0, base.index + 1)
        if self._chain not in (None, base.chain):
            self._report(
                "changed",
                (base.index, base.index),
                (name, 0),
                f"the head of {name} does not follow from record {base.index}",
            )
        self._chain = base.chain
        return records.SEGMENT_HEAD_BYTES

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
                    f"record {index} does not follow from record {index - 1}:"
                    f" record {index} was changed, or record {index - 1} was"
                    " changed together with its hash",
                )
        self._check_known(name, offset, stored)
        self._chain = stored.chain
        self._next = index + 1
        self.result.records += 1
        self.result.first_index = self.result.first_index or index
        self.result.last_index = index
        self.result.head = stored.chain.hex()

    def _check_position(self, name: str, offset: int, index: int) -> None:
        """Compares the index of the next record with the expected one."""
        if self._damage is not None and index >= self._next:
            self._report_damage(max(index - 1, self._next))
        elif index > self._next > 0:
            span = (self._next, index - 1)
            text = (
                f"{_span_text(span)} missing before offset {offset} of {name}"
            )
            self._report("missing", span, (name, offset), text)
            self._chain = None
        elif index < self._next:
            self._report(
                "misplaced",
                (index, index),
                (name, offset),
                f"record {index} stands where record {self._next} belongs",
            )
            self._chain = None
        self._next = index

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
                f"record {index} has another hash than the one known from"
                " elsewhere: it or an older record was changed",
            )

    def _report_damage(self, last_index: int) -> None:
        if self._damage is None:
            return
        where, self._damage = self._damage, None
        span = (max(self._next, 1), max(self._next, last_index))
        text = f"{_span_text(span)} changed at offset {where[1]} of {where[0]}"
        self._report("changed", span, where, text)

    def _report(
        self,
        kind: FaultKind,
        span: tuple[int, int],
        where: tuple[str, int],
        text: str,
    ) -> None:
        if len(self.result.faults) < MAX_FAULTS:
            self.result.faults.append(
                Fault(
                    kind=kind,
                    first_index=span[0],
                    last_index=span[1],
                    file=where[0],
                    offset=where[1],
                    text=text,
                )
            )


def _span_text(span: tuple[int, int]) -> str:
    first, last = span
    if first == last:
        return f"record {first} is"
    return f"records {first} to {last} are"


def _torn(data: bytes, position: int) -> bool:
    """Whether a crash may have left these last bytes.

    A crash leaves a record that is shorter than its head says, or zeros that
    the file system had not replaced; a whole record with a wrong checksum was
    changed.
    """
    rest = data[position:]
    return not rest.strip(b"\0") or records.is_incomplete(rest)
