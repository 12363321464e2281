"""Snapshots of the state machine on disk.

A file holds a checksum of the rest, the length of the header, the header
(position and members) and the encoded state. The state is stored without a
second encoding, which would need as much memory again.

The two newest snapshots are kept, so that a damaged one can be skipped if the
log still starts at or before the position of the older one.
"""

import dataclasses
import re
import struct
from typing import Final

import cbor2
import msgspec
import xxhash

from bamboorouter import errors
from bamboorouter import events
from bamboorouter.protocol import codec
from bamboorouter.protocol import value_limits
from bamboorouter.state import records
from bamboorouter.transport import files

_PREFIX: Final = "snapshot-"
_NAME_PATTERN: Final = re.compile(rf"{_PREFIX}[0-9]{{20}}")
_RETAINED_SNAPSHOTS: Final = 2
_CHECKSUM_BYTES: Final = 8
_LENGTH: Final = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The state after an entry was applied.

    Attributes:
        position: Index, term and chain hash of the entry.
        members: Encoded members of the group as of the entry.
        data: Encoded state of the state machine.
    """

    position: records.LogPosition
    members: bytes
    data: bytes


class _Header(msgspec.Struct, array_like=True):
    index: value_limits.Serial
    term: value_limits.Serial
    chain: bytes
    members: bytes


class SnapshotStore:
    """Reads and writes snapshots.

    Attributes:
        folder: The data folder.
        position: Position of the newest snapshot; None if there is none.
    """

    def __init__(self, *, folder: files.Folder) -> None:
        self.folder = folder
        self.position: records.LogPosition | None = None

    def save(self, snapshot: Snapshot) -> None:
        """Writes a snapshot durably and removes all but the newest two."""
        position = snapshot.position
        header = cbor2.dumps(
            [position.index, position.term, position.chain, snapshot.members]
        )
        checksum = xxhash.xxh3_64(_LENGTH.pack(len(header)))
        checksum.update(header)
        checksum.update(snapshot.data)
        content = (
            checksum.digest(),
            _LENGTH.pack(len(header)),
            header,
            snapshot.data,
        )
        name = f"{_PREFIX}{position.index:020d}"
        self.folder.replace(name, b"".join(content))
        self.position = position
        for old in self._names()[:-_RETAINED_SNAPSHOTS]:
            # Not durable: a file that reappears after a crash is removed with
            # the next snapshot.
            self.folder.remove(old, durable=False)

    def load(self) -> Snapshot | None:
        """Returns the newest undamaged snapshot; None if there is none."""
        for name in reversed(self._names()):
            snapshot = _parse(self.folder.read(name))
            if snapshot is not None:
                self.position = snapshot.position
                return snapshot
            events.log(events.SNAPSHOT_SKIPPED, file=name)
        return None

    def oldest_index(self) -> int:
        """Returns the index of the oldest stored snapshot; 0 without any."""
        names = self._names()
        return int(names[0].removeprefix(_PREFIX)) if names else 0

    def _names(self) -> list[str]:
        return [
            name
            for name in self.folder.names()
            if _NAME_PATTERN.fullmatch(name)
        ]


def _parse(data: bytes) -> Snapshot | None:
    view = memoryview(data)
    header_start = _CHECKSUM_BYTES + _LENGTH.size
    if (
        len(data) < header_start
        or xxhash.xxh3_64_digest(view[_CHECKSUM_BYTES:])
        != data[:_CHECKSUM_BYTES]
    ):
        return None
    (length,) = _LENGTH.unpack_from(data, _CHECKSUM_BYTES)
    try:
        plain = codec.loads(data[header_start : header_start + length])
        header = msgspec.convert(plain, _Header)
    except (errors.ProtocolError, msgspec.ValidationError):
        return None
    return Snapshot(
        position=records.LogPosition(
            index=header.index, term=header.term, chain=header.chain
        ),
        members=header.members,
        data=bytes(view[header_start + length :]),
    )
