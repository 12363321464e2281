"""Tests the data folder on a real disk.

Guards against leftovers that keep a disk full and against writes of a replica
that has been replaced.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import os
import pathlib
import resource
import tempfile
import unittest

from bamboorouter import errors
from bamboorouter.transport import files


@contextlib.contextmanager
def file_size_limit(size: int) -> Iterator[None]:
    """Limits the size of every file that this process writes, in bytes."""
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)


class DiskFolderTest(unittest.TestCase):
    """Failed writes, leftovers and the closed folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        self.folder = files.DiskFolder(path=self.path)
        self.folder.replace("vote", b"old")
        self.folder.append("log-1", b"entry")
        self.folder.sync("log-1")

    def test_failed_replacement_keeps_the_file_and_frees_the_room(self) -> None:
        with (
            file_size_limit(1000),
            self.assertRaisesRegex(errors.StorageError, "replace") as seen,
        ):
            self.folder.replace("vote", bytes(5000))
        self.assertIsInstance(seen.exception.__cause__, OSError)
        self.assertEqual(self.folder.read("vote"), b"old")
        self.assertEqual(sorted(os.listdir(self.path)), ["log-1", "vote"])

    def test_leftover_of_a_killed_process_is_removed(self) -> None:
        (self.path / "snapshot-1.new").write_bytes(bytes(5000))
        self.assertEqual(self.folder.names(), ["log-1", "vote"])
        files.DiskFolder(path=self.path).remove_temporary()
        self.assertEqual(sorted(os.listdir(self.path)), ["log-1", "vote"])

    def test_closed_folder_refuses_all_writes(self) -> None:
        handles = len(os.listdir("/proc/self/fd"))
        self.folder.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), handles - 1)
        writes: list[Callable[[], None]] = [
            lambda: self.folder.append("log-1", b"late"),
            lambda: self.folder.sync("log-1"),
            lambda: self.folder.replace("vote", b"late"),
            lambda: self.folder.truncate("log-1", 0),
            lambda: self.folder.remove("log-1"),
        ]
        for write in writes:
            with self.assertRaisesRegex(errors.StorageError, "closed"):
                write()
        self.assertEqual(self.folder.read("log-1"), b"entry")
        self.assertEqual(self.folder.read("vote"), b"old")

    def test_errors_of_the_disk_have_one_type(self) -> None:
        """Guards against an OSError that a replica doesn't expect."""
        lost = files.DiskFolder(path=self.path / "lost")
        (self.path / "lost").rmdir()
        with self.assertRaises(errors.StorageError):
            lost.names()
        with self.assertRaises(errors.StorageError):
            lost.remove_temporary()


if __name__ == "__main__":
    unittest.main()
