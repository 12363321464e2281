"""Runs test cases on an event loop whose time doesn't depend on the machine.

Timers of the code under test are as far apart as it asks for, however busy the
machine is, so that a test can assert exact bounds on waits.
"""

import asyncio
import selectors
import time
from typing import Final
import unittest
from unittest import mock

from bamboorouter import clock

# Real time for data that is under way on loopback, before timers are advanced.
SETTLE_S: Final = 0.002
# Real time after which a loop without timers is taken for a deadlock.
DEADLOCK_S: Final = 60.0


class _Selector(selectors.DefaultSelector):
    """Returns at once, and counts the time that it should have waited.

    Attributes:
        skipped_s: Sum of the skipped waits in s.
    """

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            ready = super().select(DEADLOCK_S)
            if not ready:
                raise RuntimeError("nothing is ready, and no timer is set")
            return ready
        ready = super().select(min(timeout, SETTLE_S))
        if not ready:
            self.skipped_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that skips to the next timer when nothing is ready.

    Its time is the sum of the skipped waits and of the processor time of the
    process. Waits for a processor don't count. The peers must run on the same
    loop, because the loop doesn't wait for other processes.
    """

    def __init__(self) -> None:
        self._skipping = _Selector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Returns the virtual time in s."""
        return self._skipping.skipped_s + time.process_time()


class VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates loops with virtual time."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Returns a new loop."""
        return VirtualTimeLoop()


class VirtualTimeClock:
    """Reads the time of the running loop."""

    def now(self) -> clock.Millis:
        """Returns the loop's time in ms."""
        loop_s = asyncio.get_running_loop().time()
        return clock.Millis(int(loop_s * clock.MS_PER_SECOND))

    def wall(self) -> clock.Millis:
        """Returns the machine's wall time in ms."""
        return clock.Millis(time.time_ns() // clock.NS_PER_MS)


class VirtualTimeCase(unittest.IsolatedAsyncioTestCase):
    """A test case that runs on a loop with virtual time."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        asyncio.set_event_loop_policy(VirtualTimePolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    def patch_system_clock(self) -> None:
        """Gives the loop's time to code that creates its own clock."""
        patcher = mock.patch.object(clock, "SystemClock", VirtualTimeClock)
        patcher.start()
        self.addCleanup(patcher.stop)
