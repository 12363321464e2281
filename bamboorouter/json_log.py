"""Writes events as JSON, one object per line, without blocking.

A slow or closed reader must not block the process. Lines that don't fit into the
pipe are kept in a bounded buffer; lines that don't fit into the buffer are
dropped and counted. An event that exceeds the rate limit is counted instead of
written. Both counts are logged: dropped lines once the buffer has drained to
half, suppressed lines with the first event of a later second.
"""

from collections.abc import Mapping
import os
from typing import Any
from typing import Final

from absl import logging
import msgspec

from bamboorouter import clock
from bamboorouter import events

# A few seconds of lines at the highest rate that the limit below allows.
BUFFER_BYTES: Final = 256 * 1024
# Lines of one event per second; further ones in that second are only counted.
LINES_PER_SECOND: Final = 200

_LEVELS: Final = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.FATAL: "fatal",
}


class JsonLog:
    """Writes events to a file descriptor; `write` is a sink of `events`.

    Attributes:
        process: Name of the process, included in each line.
        dropped: Number of lines dropped since the last LINES_DROPPED event.
    """

    def __init__(
        self, *, descriptor: int, process: str, time: clock.Clock
    ) -> None:
        self.process = process
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = time
        self._pending = bytearray()
        self._second = 0
        self._counts: dict[int, int] = {}
        os.set_blocking(descriptor, False)

    def write(self, event: events.Event, fields: Mapping[str, object]) -> None:
        """Writes an event unless it exceeds the rate limit."""
        now = self._clock.now()
        if now // clock.MS_PER_SECOND != self._second:
            self._start_second(now // clock.MS_PER_SECOND)
        count = self._counts.get(event.number, 0) + 1
        self._counts[event.number] = count
        if count <= LINES_PER_SECOND:
            self._enqueue(self._line(event, fields))

    def _start_second(self, second: int) -> None:
        suppressed = {
            number: count - LINES_PER_SECOND
            for number, count in self._counts.items()
            if count > LINES_PER_SECOND
        }
        self._second = second
        self._counts = {}
        for number, count in suppressed.items():
            self._enqueue(
                self._line(
                    events.LINES_LEFT_OUT, {"of_event": number, "count": count}
                )
            )

    def _line(self, event: events.Event, fields: Mapping[str, object]) -> bytes:
        line: dict[str, Any] = {
            "wall_ms": self._clock.wall(),
            "clock_ms": self._clock.now(),
            "process": self.process,
            "event": event.number,
            "name": event.name,
            "level": _LEVELS[event.level],
            **fields,
        }
        return msgspec.json.encode(line, enc_hook=str) + b"\n"

    def _enqueue(self, line: bytes) -> None:
        if self.dropped and len(self._pending) < BUFFER_BYTES // 2:
            dropped, self.dropped = self.dropped, 0
            self._pending += self._line(
                events.LINES_DROPPED, {"count": dropped}
            )
        if len(self._pending) + len(line) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            # The rest is written with the next line.
            return
        except OSError:
            # The reader is gone; the process continues without a log.
            self._pending.clear()
