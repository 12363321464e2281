"""Binary format of the records of the log on disk.

A record consists of a header (magic number, length of the body, xxh3-64 of the
body) and a body (term, index, kind, chain hash, payload). The chain hash is
SHA-256 over the chain hash of the previous record and all other fields of the
body, so that changing or removing a record changes all later hashes.
"""

import dataclasses
import hashlib
import struct
from typing import Final

import xxhash

from bamboorouter.protocol import messages

ENTRY_MAGIC: Final = b"BRL1"
SEGMENT_MAGIC: Final = b"BRS1"
# Chain hash before the first record.
FIRST_CHAIN: Final = bytes(32)
CHAIN_BYTES: Final = 32

_HEADER: Final = struct.Struct(">4sIQ")
_BODY: Final = struct.Struct(">QQB32s")
_SEGMENT: Final = struct.Struct(">QQ32s")
_CHAINED: Final = struct.Struct(">QQB")
ENTRY_OVERHEAD_BYTES: Final = _HEADER.size + _BODY.size
SEGMENT_HEADER_BYTES: Final = _HEADER.size + _SEGMENT.size


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """A log entry with its chain hash.

    Attributes:
        entry: The entry.
        chain: Chain hash of the entry, `CHAIN_BYTES` long.
    """

    entry: messages.LogEntry
    chain: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogPosition:
    """A position in the log directly after an entry.

    Attributes:
        index: Index of the entry; 0 for the position before the first one.
        term: Term of the entry.
        chain: Chain hash of the entry.
    """

    index: int = 0
    term: int = 0
    chain: bytes = FIRST_CHAIN


def chain_after(previous: bytes, entry: messages.LogEntry) -> bytes:
    """Returns the chain hash of an entry.

    Args:
        previous: Chain hash of the preceding entry.
        entry: The entry.
    """
    digest = hashlib.sha256(previous)
    digest.update(_CHAINED.pack(entry.term, entry.index, entry.kind))
    digest.update(entry.payload)
    return digest.digest()


def pack_entry(stored: StoredEntry) -> bytes:
    """Encodes an entry as a record."""
    entry = stored.entry
    body = (
        _BODY.pack(entry.term, entry.index, entry.kind, stored.chain)
        + entry.payload
    )
    return _pack(ENTRY_MAGIC, body)


def parse_entry(data: bytes, offset: int) -> tuple[StoredEntry, int] | None:
    """Decodes the record at an offset.

    Returns:
        The entry and the offset after it; None if no complete, undamaged
        record starts at the offset.
    """
    body = _parse(ENTRY_MAGIC, data, offset)
    if body is None or len(body) < _BODY.size:
        return None
    term, index, kind, chain = _BODY.unpack_from(body)
    entry = messages.LogEntry(
        term=term, index=index, kind=kind, payload=body[_BODY.size :]
    )
    return StoredEntry(entry, chain), offset + _HEADER.size + len(body)


def pack_segment_header(base: LogPosition) -> bytes:
    """Encodes the header record of a segment."""
    body = _SEGMENT.pack(base.index, base.term, base.chain)
    return _pack(SEGMENT_MAGIC, body)


def parse_segment_header(data: bytes) -> LogPosition | None:
    """Decodes the header of a segment; None if damaged or incomplete."""
    body = _parse(SEGMENT_MAGIC, data, 0)
    if body is None or len(body) != _SEGMENT.size:
        return None
    index, term, chain = _SEGMENT.unpack(body)
    return LogPosition(index=index, term=term, chain=chain)


def find_entry(data: bytes, offset: int) -> int | None:
    """Returns the offset of the next undamaged record at or after `offset`."""
    position = data.find(ENTRY_MAGIC, offset)
    while position >= 0:
        if parse_entry(data, position) is not None:
            return position
        position = data.find(ENTRY_MAGIC, position + 1)
    return None


def _pack(magic: bytes, body: bytes) -> bytes:
    checksum = xxhash.xxh3_64_intdigest(body)
    return _HEADER.pack(magic, len(body), checksum) + body


def _parse(magic: bytes, data: bytes, offset: int) -> bytes | None:
    if offset + _HEADER.size > len(data):
        return None
    found, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    if found != magic or start + length > len(data):
        return None
    body = bytes(data[start : start + length])
    return body if xxhash.xxh3_64_intdigest(body) == checksum else None


def is_incomplete(data: bytes) -> bool:
    """Whether the data may be the start of a record that is truncated."""
    if len(data) < _HEADER.size:
        return True
    magic, length, _ = _HEADER.unpack_from(data)
    magics = (ENTRY_MAGIC, SEGMENT_MAGIC)
    return magic in magics and _HEADER.size + length > len(data)
