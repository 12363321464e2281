"""Defines the interface to the data folder and implements it on disk.

All durable data is written through `Folder`, so that tests can replace the disk
by an implementation that loses unsynced data, runs out of space or fails.
"""

import contextlib
import errno
import os
import pathlib
from typing import Final
from typing import Protocol

from bamboorouter import errors

_TEMPORARY_SUFFIX: Final = ".new"


class Folder(Protocol):
    """Files of one data folder, by name.

    Errors of the disk are raised as StorageError.
    """

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        ...

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        ...

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Reads `size` bytes from `offset`, or fewer at the end of the file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, created if missing; durable only after `sync`."""
        ...

    def sync(self, name: str) -> None:
        """Makes appended data and the directory entry of a file durable."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and durably."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""
        ...

    def remove(self, name: str, *, durable: bool = True) -> None:
        """Removes a file; unless `durable`, a crash may undo the removal."""
        ...

    def release(self, name: str) -> None:
        """Releases the handle of a file that is no longer appended to."""
        ...

    def remove_temporary(self) -> None:
        """Removes what interrupted or failed replacements have left over."""
        ...

    def close(self) -> None:
        """Releases all handles; every later write raises StorageError."""
        ...


class DiskFolder:
    """A data folder on disk.

    Attributes:
        path: Path of the folder.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self.path = path
        self._handles: dict[str, int] = {}
        # Names of new files whose directory entry is not durable yet.
        self._unsynced_names: set[str] = set()
        self._closed = False
        try:
            path.mkdir(parents=True, exist_ok=True)
        except OSError as err:
            raise self._error("open folder", "", err) from err

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        try:
            return sorted(
                entry.name
                for entry in self.path.iterdir()
                if entry.is_file() and entry.suffix != _TEMPORARY_SUFFIX
            )
        except OSError as err:
            raise self._error("list files", "", err) from err

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        try:
            return (self.path / name).read_bytes()
        except OSError as err:
            raise self._error("read file", name, err) from err

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        try:
            return (self.path / name).stat().st_size
        except OSError as err:
            raise self._error("read file size", name, err) from err

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Reads `size` bytes from `offset`, or fewer at the end of the file."""
        try:
            with open(self.path / name, "rb", buffering=0) as file:
                file.seek(offset)
                return file.read(size) or b""
        except OSError as err:
            raise self._error("read file", name, err) from err

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, created if missing; durable only after `sync`."""
        try:
            handle = self._handle(name)
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
        except OSError as err:
            raise self._error("append to file", name, err) from err

    def sync(self, name: str) -> None:
        """Makes appended data and the directory entry of a file durable."""
        try:
            os.fdatasync(self._handle(name))
            if name in self._unsynced_names:
                self._sync_folder()
                self._unsynced_names.discard(name)
        except OSError as err:
            raise self._error("sync file", name, err) from err

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and durably."""
        temporary_path = self.path / f"{name}{_TEMPORARY_SUFFIX}"
        try:
            self._require_open()
            self._close_handle(name)
            with open(temporary_path, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary_path.replace(self.path / name)
            self._sync_folder()
        except OSError as err:
            # A full disk needs the room of the incomplete file.
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise self._error("replace file", name, err) from err

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes, durably."""
        try:
            handle = self._handle(name)
            os.ftruncate(handle, size)
            os.fsync(handle)
        except OSError as err:
            raise self._error("truncate file", name, err) from err

    def remove(self, name: str, *, durable: bool = True) -> None:
        """Removes a file; unless `durable`, a crash may undo the removal."""
        try:
            self._require_open()
            self._close_handle(name)
            (self.path / name).unlink()
            if durable:
                self._sync_folder()
        except OSError as err:
            raise self._error("remove file", name, err) from err

    def release(self, name: str) -> None:
        """Releases the handle of a file that is no longer appended to."""
        try:
            self._close_handle(name)
        except OSError as err:
            raise self._error("close file", name, err) from err

    def remove_temporary(self) -> None:
        """Removes what interrupted or failed replacements have left over."""
        try:
            for entry in self.path.iterdir():
                if entry.suffix == _TEMPORARY_SUFFIX:
                    entry.unlink()
        except OSError as err:
            raise self._error("remove temporary files", "", err) from err

    def close(self) -> None:
        """Releases all handles; every later write raises StorageError."""
        self._closed = True
        for name in list(self._handles):
            # Nothing depends on unsynced data of a closed folder.
            with contextlib.suppress(OSError):
                self._close_handle(name)

    def _require_open(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, "the folder is closed")

    def _handle(self, name: str) -> int:
        self._require_open()
        handle = self._handles.get(name)
        if handle is None:
            path = self.path / name
            if not path.exists():
                self._unsynced_names.add(name)
            handle = os.open(
                path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
            )
            self._handles[name] = handle
        return handle

    def _close_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _error(self, step: str, name: str, err: OSError) -> errors.StorageError:
        return errors.StorageError(
            text=err.strerror or str(err),
            step=step,
            peer=str(self.path / name),
        )
