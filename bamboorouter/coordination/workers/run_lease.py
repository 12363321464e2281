"""The lease that a worker's runs hold, on two clocks.

The worker measures leases on its own clock, which may be slower than the
agent's. A lease is converted such that it ends on the worker no later than the
agent means, and an ended lease is believed only when the slowest clock allowed
has passed it.
"""

from typing import Final

# A worker's clock may lag by 2 %; another half percent for the agent's own.
SLOWEST_CLOCK: Final = 0.975
# Stopping everything takes the worker a moment after the end of the lease.
STOP_MARGIN_MS: Final = 150


class RunLease:
    """Converts between the clocks of an agent and of its worker."""

    def __init__(self) -> None:
        self._worker_ms = 0
        self._received_ms: int | None = None
        self._until_ms = 0

    def note_clock(self, *, worker_ms: int, received_ms: int) -> None:
        """Takes note of the worker's clock as told in an answer."""
        self._worker_ms = worker_ms
        self._received_ms = received_ms

    def until(self, end_ms: int) -> int | None:
        """Returns the end of a lease on the worker's clock.

        Args:
            end_ms: When it must have ended, on the agent's clock.

        Returns:
            The time to send; None if the worker's clock isn't known or the
            end has passed.
        """
        if self._received_ms is None or end_ms <= self._received_ms:
            return None
        left_ms = (end_ms - self._received_ms) * SLOWEST_CLOCK
        until_ms = self._worker_ms + int(left_ms)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def ended(self, now_ms: int) -> bool:
        """Whether every lease that was sent has ended for certain."""
        if self._received_ms is None:
            return True
        longest = (self._until_ms - self._worker_ms) / SLOWEST_CLOCK
        return now_ms > self._received_ms + longest + STOP_MARGIN_MS
