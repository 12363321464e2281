"""Estimates when requests have arrived at a process that may be suspended.

While a process is suspended, requests wait in its sockets. Once it is resumed,
it reads them as if they had just arrived, although their callers may have given
up long ago and acted on it. The event loop is therefore observed periodically. A
request that is read soon after a gap between two observations may have arrived
at any time since the first of them, so that time counts as its arrival.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import events
from bamboorouter import supervision

OBSERVATION_PERIOD_MS: Final = 100
# Longer than the loop is busy with any one message.
MAX_GAP_MS: Final = 500
# Time after a gap within which the requests that waited meanwhile are read.
BACKLOG_MS: Final = 500


class ArrivalTimes:
    """Observes the event loop of a process that serves requests.

    Attributes:
        clock: Source of time, which keeps running during a suspension.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self._observed_ms: clock.Millis | None = None
        self._gap_start_ms = clock.Millis(0)
        self._backlog_end_ms = 0
        self._observer: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to observe the loop; before, requests arrive when read."""
        self._observed_ms = self.clock.now()
        self._observer = supervision.start(self._observe_periodically)

    def stop(self) -> None:
        """Stops to observe the loop."""
        self._observed_ms = None
        if self._observer is not None:
            self._observer.cancel()

    def arrival_ms(self) -> clock.Millis:
        """Returns the earliest arrival of a request that was just read.

        Returns:
            A monotonic time in ms.
        """
        now = self.clock.now()
        self.observe()
        return self._gap_start_ms if now < self._backlog_end_ms else now

    def observe(self) -> None:
        """Records that the loop runs now."""
        before, now = self._observed_ms, self.clock.now()
        if before is None:
            return
        self._observed_ms = now
        if now - before <= MAX_GAP_MS:
            return
        events.log(events.LOOP_SUSPENDED, gap_ms=now - before)
        # Requests of an earlier gap may not have been read yet.
        if before >= self._backlog_end_ms:
            self._gap_start_ms = before
        self._backlog_end_ms = now + BACKLOG_MS

    async def _observe_periodically(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(clock.seconds(OBSERVATION_PERIOD_MS))
