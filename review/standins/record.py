"""Writes what happened in a case to its `record.txt`."""

import pathlib
import time


class Record:
    """The record of one run of a case.

    Attributes:
        path: The file.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self.path = path
        self._began_s = time.monotonic()
        path.write_text("")

    def write(self, text: str) -> None:
        """Adds a line with the time since the beginning in s."""
        since_s = time.monotonic() - self._began_s
        with self.path.open("a") as file:
            file.write(f"{since_s:8.3f} {text}\n")
