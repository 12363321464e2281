"""Records of the log on disk.

A record is a head (marker, length of the body, xxh3-64 of the body) and a body
(term, index, kind, chain hash, payload). The chain hash is SHA-256 over the
hash of the record before and everything this record states, so that no record
can be changed or left out without changing all hashes after it.
"""

import dataclasses
import hashlib
import struct
from typing import Final

import xxhash

from bamboorouter.protocol import messages

ENTRY_MARK: Final = b"BRL1"
SEGMENT_MARK: Final = b"BRS1"
FIRST_CHAIN: Final = bytes(32)
CHAIN_BYTES: Final = 32

_HEAD: Final = struct.Struct(">4sIQ")
_BODY: Final = struct.Struct(">QQB32s")
_SEGMENT: Final = struct.Struct(">QQ32s")
_LINKED: Final = struct.Struct(">QQB")
ENTRY_OVERHEAD_BYTES: Final = _HEAD.size + _BODY.size
SEGMENT_HEAD_BYTES: Final = _HEAD.size + _SEGMENT.size


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry with its chain hash.

    Attributes:
        entry: The entry.
        chain: Chain hash, 32 bytes.
    """

    entry: messages.LogEntry
    chain: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Base:
    """The position before the first entry of a log or segment.

    Attributes:
        index: Index of the entry before; 0 if there is none.
        term: Term of the entry before.
        chain: Chain hash of the entry before.
    """

    index: int = 0
    term: int = 0
    chain: bytes = FIRST_CHAIN


def chain_after(previous: bytes, entry: messages.LogEntry) -> bytes:
    """Returns the chain hash of an entry that follows `previous`."""
    digest = hashlib.sha256(previous)
    digest.update(_LINKED.pack(entry.term, entry.index, entry.kind))
    digest.update(entry.payload)
    return digest.digest()


def pack_entry(stored: StoredEntry) -> bytes:
    """Returns the record of an entry."""
    entry = stored.entry
    body = (
        _BODY.pack(entry.term, entry.index, entry.kind, stored.chain)
        + entry.payload
    )
    return _pack(ENTRY_MARK, body)


def parse_entry(data: bytes, offset: int) -> tuple[StoredEntry, int] | None:
    """Reads the record at an offset.

    Returns:
        The entry and the offset after it; None if no whole, undamaged record
        starts there.
    """
    body = _parse(ENTRY_MARK, data, offset)
    if body is None or len(body) < _BODY.size:
        return None
    term, index, kind, chain = _BODY.unpack_from(body)
    entry = messages.LogEntry(
        term=term, index=index, kind=kind, payload=body[_BODY.size :]
    )
    return StoredEntry(entry, chain), offset + _HEAD.size + len(body)


def pack_segment_head(base: Base) -> bytes:
    """Returns the record that starts a segment."""
    body = _SEGMENT.pack(base.index, base.term, base.chain)
    return _pack(SEGMENT_MARK, body)


def parse_segment_head(data: bytes) -> Base | None:
    """Reads the head of a segment; None if it is damaged or incomplete."""
    body = _parse(SEGMENT_MARK, data, 0)
    if body is None or len(body) != _SEGMENT.size:
        return None
    index, term, chain = _SEGMENT.unpack(body)
    return Base(index=index, term=term, chain=chain)


def find_entry(data: bytes, offset: int) -> int | None:
    """Returns the offset of the next undamaged record at or after `offset`."""
    position = data.find(ENTRY_MARK, offset)
    while position >= 0:
        if parse_entry(data, position) is not None:
            return position
        position = data.find(ENTRY_MARK, position + 1)
    return None


def _pack(mark: bytes, body: bytes) -> bytes:
    checksum = xxhash.xxh3_64_intdigest(body)
    return _HEAD.pack(mark, len(body), checksum) + body


def _parse(mark: bytes, data: bytes, offset: int) -> bytes | None:
    if offset + _HEAD.size > len(data):
        return None
    found, length, checksum = _HEAD.unpack_from(data, offset)
    start = offset + _HEAD.size
    if found != mark or start + length > len(data):
        return None
    body = bytes(data[start : start + length])
    return body if xxhash.xxh3_64_intdigest(body) == checksum else None


def is_incomplete(data: bytes) -> bool:
    """Whether the bytes are the start of a record that is longer than they."""
    if len(data) < _HEAD.size:
        return True
    mark, length, _ = _HEAD.unpack_from(data)
    marks = (ENTRY_MARK, SEGMENT_MARK)
    return mark in marks and _HEAD.size + length > len(data)
