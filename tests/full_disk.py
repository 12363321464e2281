"""Defines data folders on disk whose writes can be made to fail.

The folders replace `files.DiskFolder` in the product's own code.
"""

import errno
import os
import pathlib

from bamboorouter import errors
from bamboorouter.transport import files


class Disks:
    """The disks of several replicas.

    Attributes:
        full: Data folders whose disk is full.
        full_for: Start of the names of the files that don't fit; empty for all.
        writes_left: Number of writes that still fit on a full disk.
        refused: Number of writes that each data folder refused.
    """

    def __init__(self) -> None:
        self.full: set[pathlib.Path] = set()
        self.full_for = ""
        self.writes_left: dict[pathlib.Path, int] = {}
        self.refused: dict[pathlib.Path, int] = {}

    def refuses(self, path: pathlib.Path, name: str) -> bool:
        """Counts a write; returns whether it finds no room."""
        if path not in self.full or not name.startswith(self.full_for):
            return False
        left = self.writes_left.get(path, 0)
        self.writes_left[path] = max(0, left - 1)
        return left == 0

    def open(self, *, path: pathlib.Path) -> "DiskFolder":
        """Opens a data folder in place of `files.DiskFolder`."""
        return DiskFolder(path=path, disks=self)


class DiskFolder(files.DiskFolder):
    """A folder that writes half of the data and then fails on a full disk.

    Attributes:
        disks: The disks, of which some are full.
    """

    def __init__(self, *, path: pathlib.Path, disks: Disks) -> None:
        super().__init__(path=path)
        self.disks = disks

    def append(self, name: str, data: bytes) -> None:
        if self.disks.refuses(self.path, name):
            super().append(name, data[: len(data) // 2])
            raise self._full("append to file", name)
        super().append(name, data)

    def replace(self, name: str, data: bytes) -> None:
        if self.disks.refuses(self.path, name):
            (self.path / f"{name}.new").write_bytes(data[: len(data) // 2])
            raise self._full("replace file", name)
        super().replace(name, data)

    def _full(self, step: str, name: str) -> errors.StorageError:
        self.disks.refused[self.path] = self.disks.refused.get(self.path, 0) + 1
        error = errors.StorageError(
            text=os.strerror(errno.ENOSPC), step=step, peer=name
        )
        error.__cause__ = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return error
