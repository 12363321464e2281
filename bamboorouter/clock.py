"""Clocks with millisecond resolution.

All durations and points in time inside the process are in milliseconds; clocks
return them as `Millis`. Leases, timeouts and queues use a monotonic clock that
keeps running while the process is stopped or the machine is suspended, so that
a lease that expires meanwhile is recognised as expired. Wall time is used only
for human-readable records, the due times of periodic jobs and retries, and the
retention of idempotency keys.
"""

import time
from typing import Final
from typing import NewType
from typing import Protocol

Millis = NewType("Millis", int)

MS_PER_SECOND: Final = 1000
NS_PER_MS: Final = 1_000_000


class Clock(Protocol):
    """Source of monotonic and wall time."""

    def now(self) -> Millis:
        """Returns monotonic time in ms, comparable only within this process."""
        ...

    def wall(self) -> Millis:
        """Returns wall time in ms since the Unix epoch."""
        ...


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> Millis:
        """Returns CLOCK_BOOTTIME in ms; CLOCK_MONOTONIC skips suspension."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)

    def wall(self) -> Millis:
        """Returns wall time in ms since the Unix epoch."""
        return Millis(time.time_ns() // NS_PER_MS)


# Monotonic time in ms when this module was imported, shortly after the process
# started and before it did any work.
PROCESS_START_MS: Final = SystemClock().now()


class ManualClock:
    """A clock for tests that advances only by calls of `advance`.

    Attributes:
        monotonic_ms: The monotonic time in ms.
        wall_ms: The wall time in ms since the Unix epoch.
    """

    def __init__(
        self, *, monotonic_ms: int = 0, wall_ms: int = 1_700_000_000_000
    ) -> None:
        self.monotonic_ms = monotonic_ms
        self.wall_ms = wall_ms

    def now(self) -> Millis:
        """Returns the monotonic time in ms."""
        return Millis(self.monotonic_ms)

    def wall(self) -> Millis:
        """Returns the wall time in ms since the Unix epoch."""
        return Millis(self.wall_ms)

    def advance(self, ms: int) -> None:
        """Advances both clocks by `ms` milliseconds."""
        self.monotonic_ms += ms
        self.wall_ms += ms


def seconds(ms: int) -> float:
    """Converts milliseconds to seconds, the unit of asyncio."""
    return ms / MS_PER_SECOND
