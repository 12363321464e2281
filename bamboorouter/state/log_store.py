"""The log on disk: segments of checksummed, hash-chained records.

Entries are appended to the newest segment; older segments are sealed and never
change. `append` stages records in memory, `write` writes them to the file and
`sync` makes them durable, so that a leader can replicate entries before its
own disk has synced them.

Opening verifies every record. An incomplete record at the very end of the log
was never acknowledged and is truncated. Damage in a sealed segment, or damage
that is followed by an undamaged record, raises an error that names file and
offset, because acknowledged entries may be missing.

Before the first write, `make_durable` replaces the newest segment by a copy that is
synced. The process
that wrote it may have ended before its sync, or the sync may have failed. After
a failed sync the kernel may regard the data as written: a read returns it, and
the next sync of the file succeeds, but a power failure loses it.
"""

import array
import bisect
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Final

from bamboorouter import errors
from bamboorouter import events
from bamboorouter.protocol import messages
from bamboorouter.state import records
from bamboorouter.transport import files

SEGMENT_BYTES: Final = 4 * 1024 * 1024
# Recent entries are cached for replication; older ones are read from the files.
RECENT_ENTRIES: Final = 256
RECENT_BYTES: Final = 256 * 1024
# Entries between two offsets of the sparse index; bounds its memory as well as
# the scan from an indexed offset to an entry.
OFFSET_INTERVAL: Final = 128
_READ_BYTES: Final = 256 * 1024
_PREFIX: Final = "log-"


def stored_bytes(folder: files.Folder) -> int:
    """Returns the size of all segments in a folder, without opening them."""
    return sum(
        folder.size(name) for name in folder.names() if name.startswith(_PREFIX)
    )


@dataclasses.dataclass(kw_only=True)
class _Segment:
    """One file of the log.

    Attributes:
        name: File name.
        base: Position before the first entry.
        size: Size of the undamaged records in bytes, including staged ones.
        count: Number of entries.
        offsets: Sparse index: offset of every `OFFSET_INTERVAL`th entry in
            bytes.
    """

    name: str
    base: records.LogPosition
    size: int = records.SEGMENT_HEADER_BYTES
    count: int = 0
    offsets: "array.array[int]" = dataclasses.field(
        default_factory=lambda: array.array("Q")
    )

    @property
    def last_index(self) -> int:
        return self.base.index + self.count

    def add(self, size: int) -> None:
        if self.count % OFFSET_INTERVAL == 0:
            self.offsets.append(self.size)
        self.count += 1
        self.size += size

    def truncate_to(self, *, count: int, size: int) -> None:
        self.count = count
        self.size = size
        del self.offsets[-(-count // OFFSET_INTERVAL) :]


class LogStore:
    """The log entries of one replica.

    Attributes:
        folder: The data folder.
        base: Position before the first stored entry.
        last_index: Index of the newest entry, including staged ones.
        last_term: Term of the newest entry.
        last_chain: Chain hash of the newest entry.
        synced_index: Newest index that survives a crash.
    """

    def __init__(
        self, *, folder: files.Folder, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self.folder = folder
        self.base = records.LogPosition()
        self.last_index = 0
        self.last_term = 0
        self.last_chain = records.FIRST_CHAIN
        self.synced_index = 0
        # Whether a write or sync has failed. A failed write loses the staged
        # entries and a failed sync leaves the state of the disk unknown, so a
        # later sync must not report either as durable.
        self._failed = False
        self._segment_bytes = segment_bytes
        self._segments: list[_Segment] = []
        self._recent: list[records.StoredEntry] = []
        self._recent_bytes = 0
        self._staged: list[tuple[str, bytearray]] = []
        self._last_written = ""
        self._unsynced = False
        self._open()

    @property
    def first_index(self) -> int:
        """Index of the oldest stored entry, or of the next one if empty."""
        return self.base.index + 1

    @property
    def total_bytes(self) -> int:
        """Size of all segments in bytes."""
        return sum(segment.size for segment in self._segments)

    def make_durable(self) -> None:
        """Makes all entries durable that were found when the log was opened.

        Must precede the first write.

        Raises:
            StorageError: The newest segment can't be replaced.
        """
        if self._segments:
            newest = self._segments[-1]
            data = self.folder.read(newest.name)
            self.folder.replace(newest.name, data[: newest.size])
            self._last_written = newest.name
        self.synced_index = self.last_index

    def append(self, entry: messages.LogEntry) -> None:
        """Stages an entry.

        Raises:
            ValueError: The entry does not follow the newest one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"entry {entry.index} does not follow {self.last_index}"
            )
        stored = records.StoredEntry(
            entry, records.chain_after(self.last_chain, entry)
        )
        record = records.pack_entry(stored)
        segment = self._segment_for(len(record))
        self._stage(segment.name, record)
        segment.add(len(record))
        self._cache_entry(stored, len(record))

    def write(self) -> None:
        """Writes staged entries to the files without making them durable.

        At most one write is unsynced at any time: a power failure could lose
        the earlier of two writes and keep the later one, which opening the log
        would report as damage.

        Raises:
            StorageError: This or an earlier write or sync failed; the store
                must not be used any longer.
        """
        with self._disable_on_failure():
            self._write_staged()

    @contextlib.contextmanager
    def _disable_on_failure(self) -> Iterator[None]:
        """Refuses all later writes if the body of the `with` block fails."""
        if self._failed:
            raise errors.StorageError(
                text="an earlier write or sync failed", step="append to file"
            )
        self._failed = True
        yield
        self._failed = False

    def _write_staged(self) -> None:
        staged, self._staged = self._staged, []
        for name, data in staged:
            if self._unsynced:
                self.folder.sync(self._last_written)
            if self._last_written and self._last_written != name:
                # A sealed segment must be durable before the next one exists.
                self.folder.sync(self._last_written)
                self.folder.release(self._last_written)
            self._last_written = name
            self._unsynced = True
            self.folder.append(name, bytes(data))

    def sync(self) -> None:
        """Makes all entries durable.

        Raises:
            StorageError: This or an earlier write or sync failed; the store
                must not be used any longer.
        """
        self.write()
        with self._disable_on_failure():
            if self.synced_index < self.last_index:
                self.folder.sync(self._segments[-1].name)
                self._unsynced = False
                self.synced_index = self.last_index

    def truncate(self, last_index: int) -> None:
        """Removes all entries after `last_index`, durably."""
        if last_index == self.last_index:
            return
        self.write()
        while self._segments and self._segments[-1].base.index >= last_index:
            if len(self._segments) == 1:
                break
            self.folder.remove(self._segments.pop().name)
        segment = self._segments[-1]
        self._last_written = segment.name
        kept = last_index - segment.base.index
        offset = self._entry_offset(segment, last_index + 1)
        self.folder.truncate(segment.name, offset)
        self._unsynced = False
        segment.truncate_to(count=kept, size=offset)
        self._recent = [
            stored
            for stored in self._recent
            if stored.entry.index <= last_index
        ]
        self._recent_bytes = sum(
            len(stored.entry.payload) + records.ENTRY_OVERHEAD_BYTES
            for stored in self._recent
        )
        self._set_last(last_index)
        self.synced_index = min(self.synced_index, last_index)

    def reset(self, base: records.LogPosition) -> None:
        """Removes all entries; the next one follows `base`.

        Segments are removed from the newest to the oldest, so that a crash in
        between leaves a log without gaps. Such a log ends before the position
        of the snapshot that supersedes it.
        """
        self._staged = []
        self._last_written = ""
        self._unsynced = False
        # A segment whose entries were only staged has no file.
        written = set(self.folder.names())
        while self._segments:
            name = self._segments.pop().name
            if name in written:
                self.folder.remove(name)
        self._recent = []
        self._recent_bytes = 0
        self.base = base
        self.last_index = base.index
        self.last_term = base.term
        self.last_chain = base.chain
        self.synced_index = base.index

    def remove_oldest_segment(
        self, *, max_bytes: int, covered_index: int
    ) -> bool:
        """Removes the oldest segment if the log is larger than allowed.

        Only one segment is removed by a call, because a durable removal can
        take 100 ms and blocks the replica meanwhile.

        Args:
            max_bytes: Allowed size of all segments in bytes.
            covered_index: Index of the newest entry that a restart does not
                need because a snapshot contains it; later entries are kept.

        Returns:
            Whether a segment was removed; if so, the log may still be larger
            than allowed.
        """
        # Ensures that the last written file is not the one that is removed.
        self.write()
        if (
            len(self._segments) <= 1
            or self.total_bytes <= max_bytes
            or self._segments[0].last_index > covered_index
        ):
            return False
        self.folder.remove(self._segments.pop(0).name)
        self.base = self._segments[0].base
        return True

    def term_at(self, index: int) -> int:
        """Returns the term of an entry or of the base.

        Raises:
            IndexError: The entry is not stored.
        """
        if index == self.last_index:
            return self.last_term
        if index == self.base.index:
            return self.base.term
        return self.stored_at(index).entry.term

    def position_at(self, index: int) -> records.LogPosition:
        """Returns index, term and chain hash of an entry or of the base.

        Raises:
            IndexError: The entry is not stored.
        """
        if index == self.base.index:
            return self.base
        if index == self.last_index:
            term, chain = self.last_term, self.last_chain
        else:
            stored = self.stored_at(index)
            term, chain = stored.entry.term, stored.chain
        return records.LogPosition(index=index, term=term, chain=chain)

    def stored_at(self, index: int) -> records.StoredEntry:
        """Returns one entry with its chain hash.

        Raises:
            IndexError: The entry is not stored.
        """
        if not self.first_index <= index <= self.last_index:
            raise IndexError(f"entry {index} is not stored")
        position = self._recent_position(index)
        if position is not None:
            return self._recent[position]
        return next(self._read_files(index, index))

    def read(
        self, first_index: int, *, max_bytes: int
    ) -> list[messages.LogEntry]:
        """Returns consecutive entries that start at `first_index`.

        Args:
            first_index: Index of the first entry.
            max_bytes: Limit of the total size in bytes. The first entry is
                returned even if it is larger.
        """
        entries: list[messages.LogEntry] = []
        size = 0
        position = self._recent_position(first_index)
        source = (
            iter(self._recent[position:])
            if position is not None
            else self._read_files(first_index, self.last_index)
        )
        for stored in source:
            size += len(stored.entry.payload) + records.ENTRY_OVERHEAD_BYTES
            if entries and size > max_bytes:
                break
            entries.append(stored.entry)
        return entries

    def entries(self, first_index: int) -> Iterator[records.StoredEntry]:
        """Iterates over the entries stored at the time of the call.

        Raises:
            IndexError: `first_index` was removed by retention.
        """
        if first_index < self.first_index:
            raise IndexError(f"entry {first_index} is not stored")
        self.write()
        return self._read_files(first_index, self.last_index)

    def _cache_entry(self, stored: records.StoredEntry, size: int) -> None:
        self.last_index = stored.entry.index
        self.last_term = stored.entry.term
        self.last_chain = stored.chain
        self._recent.append(stored)
        self._recent_bytes += size
        if (
            len(self._recent) > 2 * RECENT_ENTRIES
            or self._recent_bytes > 2 * RECENT_BYTES
        ):
            self._trim_cache()

    def _trim_cache(self) -> None:
        """Drops the older half of the cached entries, but never the newest."""
        kept = self._recent[max(1, len(self._recent) // 2) :]
        self._recent = kept or self._recent[-1:]
        self._recent_bytes = sum(
            len(stored.entry.payload) + records.ENTRY_OVERHEAD_BYTES
            for stored in self._recent
        )

    def _recent_position(self, index: int) -> int | None:
        if not self._recent:
            return None
        position = index - self._recent[0].entry.index
        return position if 0 <= position < len(self._recent) else None

    def _segment_for(self, size: int) -> _Segment:
        if self._segments and (
            self._segments[-1].size + size <= self._segment_bytes
            or self._segments[-1].count == 0
        ):
            return self._segments[-1]
        base = records.LogPosition(
            index=self.last_index, term=self.last_term, chain=self.last_chain
        )
        segment = _Segment(name=f"{_PREFIX}{base.index + 1:020d}", base=base)
        self._segments.append(segment)
        self._staged.append(
            (segment.name, bytearray(records.pack_segment_header(base)))
        )
        return segment

    def _stage(self, name: str, record: bytes) -> None:
        if not self._staged or self._staged[-1][0] != name:
            self._staged.append((name, bytearray()))
        self._staged[-1][1].extend(record)

    def _set_last(self, index: int) -> None:
        if index == self.base.index:
            self.last_index = index
            self.last_term = self.base.term
            self.last_chain = self.base.chain
            return
        stored = self.stored_at(index)
        self.last_index = index
        self.last_term = stored.entry.term
        self.last_chain = stored.chain

    def _segment_position(self, index: int) -> int:
        """Returns the position of the segment that holds `index`."""
        return (
            bisect.bisect_left(
                self._segments, index, key=lambda segment: segment.base.index
            )
            - 1
        )

    def _entry_offset(self, segment: _Segment, index: int) -> int:
        """Returns the offset of an entry in bytes, or where it would start."""
        number = index - segment.base.index - 1
        if number >= segment.count:
            return segment.size
        block = number // OFFSET_INTERVAL
        offset = segment.offsets[block]
        data = self._read_block(segment, offset, block)
        position = 0
        for _ in range(number % OFFSET_INTERVAL):
            parsed = records.parse_entry(data, position)
            if parsed is None:
                raise _damage_error(segment.name, offset + position)
            position = parsed[1]
        return offset + position

    def _read_block(self, segment: _Segment, offset: int, block: int) -> bytes:
        """Reads from `offset` to the end of a block of the sparse index."""
        offsets = segment.offsets
        end = offsets[block + 1] if block + 1 < len(offsets) else segment.size
        return self.folder.read_at(segment.name, offset, end - offset)

    def _read_files(
        self, first_index: int, last_index: int
    ) -> Iterator[records.StoredEntry]:
        if first_index > last_index:
            return
        # Staged entries are not in a file yet.
        self.write()
        for segment in self._segments[self._segment_position(first_index) :]:
            if segment.base.index >= last_index:
                return
            start = (
                max(0, first_index - segment.base.index - 1) // OFFSET_INTERVAL
            )
            yield from (
                stored
                for stored in self._read_segment(segment, start)
                if first_index <= stored.entry.index <= last_index
            )

    def _read_segment(
        self, segment: _Segment, block: int
    ) -> Iterator[records.StoredEntry]:
        """Yields the entries from a block of the sparse index on."""
        while block < len(segment.offsets):
            offset = segment.offsets[block]
            data = self._read_block(segment, offset, block)
            position = 0
            while position < len(data):
                parsed = records.parse_entry(data, position)
                if parsed is None:
                    raise _damage_error(segment.name, offset + position)
                stored, position = parsed
                yield stored
            block += 1

    def _open(self) -> None:
        names = [
            name for name in self.folder.names() if name.startswith(_PREFIX)
        ]
        for position, name in enumerate(names):
            newest = position == len(names) - 1
            data = self.folder.read(name)
            self._open_segment(name, data, newest=newest)

    def _open_segment(self, name: str, data: bytes, *, newest: bool) -> None:
        base = records.parse_segment_header(data)
        if base is None:
            self._remove_headerless_segment(name, data, newest=newest)
            return
        if not self._segments:
            self.base = base
            self.last_index = base.index
            self.last_term = base.term
            self.last_chain = base.chain
        elif base.index != self.last_index or base.chain != self.last_chain:
            raise _damage_error(
                name, 0, "does not continue the previous segment"
            )
        segment = _Segment(name=name, base=base)
        self._segments.append(segment)
        self._verify_segment(segment, data, newest=newest)

    def _remove_headerless_segment(
        self, name: str, data: bytes, *, newest: bool
    ) -> None:
        """Removes the newest segment if a crash interrupted its creation.

        Raises:
            StorageError: The segment is not the newest one, or it holds
                undamaged records.
        """
        if not newest or records.find_entry(data, 0) is not None:
            raise _damage_error(name, 0)
        events.log(events.TORN_TAIL_CUT, file=name, offset=0, removed=len(data))
        self.folder.remove(name)

    def _verify_segment(
        self, segment: _Segment, data: bytes, *, newest: bool
    ) -> None:
        position = segment.size
        while position < len(data):
            parsed = records.parse_entry(data, position)
            if parsed is None:
                self._check_torn_tail(segment, data, position, newest=newest)
                return
            stored, end = parsed
            if (
                stored.entry.index != self.last_index + 1
                or records.chain_after(self.last_chain, stored.entry)
                != stored.chain
            ):
                raise _damage_error(
                    segment.name, position, "breaks the hash chain"
                )
            segment.add(end - position)
            self._cache_entry(stored, end - position)
            position = end

    def _check_torn_tail(
        self, segment: _Segment, data: bytes, position: int, *, newest: bool
    ) -> None:
        """Logs an incomplete record at the end of the log.

        Raises:
            StorageError: The record isn't the last one of the log.
        """
        if not newest or records.find_entry(data, position + 1) is not None:
            raise _damage_error(segment.name, position)
        events.log(
            events.TORN_TAIL_CUT,
            file=segment.name,
            offset=position,
            removed=len(data) - position,
        )


def _damage_error(
    name: str, offset: int, text: str = "is damaged"
) -> errors.StorageError:
    return errors.StorageError(
        text=f"the record at offset {offset} of {name} {text}",
        step="open log",
        peer=name,
    )
