"""Defines an in-memory data folder that simulates data loss in crashes."""

import dataclasses
import random
import time

from bamboorouter import errors


@dataclasses.dataclass
class _File:
    """A file in memory.

    Attributes:
        data: Content, including unsynced writes.
        synced: Number of durable bytes; None until the directory entry of the
            file is durable.
        unsynced: Start and end offsets of each unsynced write.
        dropped: Whether a sync failed; later syncs then succeed, but don't make
            the data durable, as with the page cache of Linux.
        replaced: The durable file of the same name, if this one has replaced it
            without a sync of the folder.
    """

    data: bytearray
    synced: int | None = None
    unsynced: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    dropped: bool = False
    replaced: "_File | None" = None


class MemoryFolder:
    """Implements `files.Folder` in memory.

    Attributes:
        files: Files by name.
        free_bytes: Free disk space in bytes; None without a limit.
        capacity_bytes: Size of the disk in bytes; None without a limit.
        largest_bytes: Largest size in bytes that all files had together.
        failing_sync: Whether every sync and replacement of a file fails.
        failing_folder_sync: Whether a replacement fails after the file was
            renamed, so that a loss of power undoes it.
        lying_sync: Whether syncs succeed without making data durable.
        next_sync_s: Duration of the next sync in seconds; it blocks the caller.
    """

    def __init__(self) -> None:
        self.files: dict[str, _File] = {}
        self.free_bytes: int | None = None
        self.capacity_bytes: int | None = None
        self.largest_bytes = 0
        self.failing_sync = False
        self.failing_folder_sync = False
        self.lying_sync = False
        self.next_sync_s = 0.0

    def crash(self, rng: random.Random) -> None:
        """Truncates each file at a random offset in its unsynced data.

        A file whose directory entry isn't durable may disappear.

        Args:
            rng: Random number generator.
        """
        for name, file in list(self.files.items()):
            if file.synced is None and rng.random() < 0.5:
                del self.files[name]
                continue
            kept = rng.randint(file.synced or 0, len(file.data))
            del file.data[kept:]
            file.synced = kept

    def lose_power(self, rng: random.Random) -> None:
        """Keeps each unsynced write fully, partially or not at all.

        Unlike `crash`, it may keep a write after a lost one; the lost bytes
        then read as zeros.

        Args:
            rng: Random number generator.
        """
        for name, file in list(self.files.items()):
            if file.synced is None and rng.random() < 0.5:
                del self.files[name]
                continue
            if file.replaced is not None:
                self.files[name] = file.replaced
                continue
            end = file.synced or 0
            for start, stop in file.unsynced:
                kept = rng.choice((start, stop, rng.randint(start, stop)))
                file.data[kept:stop] = bytes(stop - kept)
                end = max(end, kept if kept > start else 0)
            del file.data[end:]
            file.synced = len(file.data)
            file.unsynced = []

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self._file(name).data)

    def size(self, name: str) -> int:
        return len(self._file(name).data)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self._file(name).data[offset : offset + size])

    def used_bytes(self) -> int:
        """Returns the size of all files in bytes."""
        return sum(len(file.data) for file in self.files.values())

    def _require_capacity(self, step: str, name: str, added: int) -> None:
        used = self.used_bytes() + added
        if self.capacity_bytes is not None and used > self.capacity_bytes:
            raise _error("No space left on device", step, name)
        self.largest_bytes = max(self.largest_bytes, used)

    def append(self, name: str, data: bytes) -> None:
        file = self.files.setdefault(name, _File(bytearray()))
        self._require_capacity("append to file", name, len(data))
        if self.free_bytes is not None and len(data) > self.free_bytes:
            # A write to a full disk may be partial.
            file.data.extend(data[: self.free_bytes])
            self.free_bytes = 0
            raise _error("No space left on device", "append to file", name)
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        file.unsynced.append((len(file.data), len(file.data) + len(data)))
        file.data.extend(data)

    def sync(self, name: str) -> None:
        if self.next_sync_s:
            time.sleep(self.next_sync_s)
            self.next_sync_s = 0.0
        file = self._file(name)
        if self.failing_sync:
            file.dropped = True
            raise _error("Input/output error", "sync file", name)
        if not self.lying_sync and not file.dropped:
            file.synced = len(file.data)
            file.unsynced = []

    def replace(self, name: str, data: bytes) -> None:
        if self.failing_sync:
            raise _error("Input/output error", "replace file", name)
        if self.free_bytes is not None and len(data) > self.free_bytes:
            raise _error("No space left on device", "replace file", name)
        # The old file exists until the new one is complete.
        self._require_capacity("replace file", name, len(data))
        old = self.files.get(name)
        self.files[name] = _File(bytearray(data), synced=len(data))
        if self.failing_folder_sync:
            self.files[name].replaced = old
            raise _error("Input/output error", "replace file", name)

    def truncate(self, name: str, size: int) -> None:
        file = self._file(name)
        del file.data[size:]
        file.synced = size
        file.unsynced = []

    def remove(self, name: str, *, durable: bool = True) -> None:
        del durable
        del self.files[name]

    def release(self, name: str) -> None:
        del name

    def remove_temporary(self) -> None:
        pass

    def close(self) -> None:
        pass

    def _file(self, name: str) -> _File:
        if name not in self.files:
            raise _error("No such file or directory", "read file", name)
        return self.files[name]


def _error(text: str, step: str, name: str) -> errors.StorageError:
    return errors.StorageError(text=text, step=step, peer=name)
