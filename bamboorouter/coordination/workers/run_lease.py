"""Converts the lease of a worker's runs between two clocks.

The worker measures leases on its own clock, which may be slower than the
agent's. The conversion assumes the slowest permitted clock: a lease ends on the
worker no later than the agent intends, and the agent considers a lease expired
only once the slowest clock has passed its end.

An earlier agent process may have granted a lease too. It ends no later than the
longest lease that a worker accepts, counted from the first answer of the
worker, because orders of the earlier process are rejected from then on. The
same holds for a process whose own orders were rejected in favour of another.

Both clocks advance alike. An answer whose clock doesn't fit the earlier ones is
wrong, was processed late, or tells that the worker or this machine was
suspended. It counts only if the next answer agrees with it. Until then the
earlier clock is used and no lease is granted: if the worker was suspended, its
clock is behind, and a lease would end too late.
"""

import math
from typing import Final

# A worker's clock may be 2 % slow; 0.5 % is added for the agent's clock.
MIN_CLOCK_RATE: Final = 0.975
# Longest lease that a worker accepts, unless the settings give another one.
MAX_WORKER_LEASE_MS: Final = 10_000
# Allowed difference between the advances of both clocks, besides their rates: an
# answer may be processed late.
MAX_CLOCK_DEVIATION_MS: Final = 2000
MAX_RATE_DEVIATION: Final = 0.05
# Time that the worker needs to stop all runs after the lease has expired.
STOP_MARGIN_MS: Final = 150


class RunLease:
    """Converts between the clocks of an agent and of its worker.

    Attributes:
        longest_ms: Longest lease that the worker accepts, in ms on its clock.
    """

    def __init__(self, *, longest_ms: int) -> None:
        self.longest_ms = longest_ms
        self._worker_ms = 0
        self._received_ms: int | None = None
        self._until_ms = 0
        # Time on the worker's clock and of receipt of the answer in doubt.
        self._doubtful: tuple[int, int] | None = None

    @property
    def in_doubt(self) -> bool:
        """Returns whether the next answer decides on the worker's clock."""
        return self._doubtful is not None

    def record_clock(self, *, worker_ms: int, received_ms: int) -> None:
        """Records the worker's clock from an answer.

        Args:
            worker_ms: Time on the worker's clock, in ms.
            received_ms: Time of the answer on the agent's clock, in ms.
        """
        answer = (worker_ms, received_ms)
        if self._received_ms is None:
            self._until_ms = worker_ms + self.longest_ms
        elif not _agree((self._worker_ms, self._received_ms), answer):
            if self._doubtful is None or not _agree(self._doubtful, answer):
                self._doubtful = answer
                return
            # Whatever was granted, the worker has shortened.
            self._until_ms = worker_ms + self.longest_ms
        self._doubtful = None
        self._worker_ms = worker_ms
        self._received_ms = received_ms

    def invalidate(self) -> None:
        """Forgets the lease, because another agent process may have granted one.

        The next answer of the worker counts as its first one.
        """
        self._received_ms = None
        self._doubtful = None

    def end_on_worker(self, end_ms: int) -> int | None:
        """Returns the end of a lease on the worker's clock.

        Args:
            end_ms: Latest end of the lease, in ms on the agent's clock.

        Returns:
            The end in ms; None if the worker's clock is unknown or the end has
            passed.
        """
        if self._received_ms is None:
            return None
        # Time has passed until an answer in doubt as well.
        _, newest_ms = self._doubtful or (self._worker_ms, self._received_ms)
        if end_ms <= newest_ms:
            return None
        worker_left_ms = (end_ms - self._received_ms) * MIN_CLOCK_RATE
        until_ms = self._worker_ms + int(worker_left_ms)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def end_ms(self) -> int | None:
        """Returns when all granted leases have expired for certain.

        They have when they have expired on the slowest permitted clock.

        Returns:
            The time in ms on the agent's clock; None if the worker's clock is
            unknown.
        """
        if self._received_ms is None:
            return None
        longest_ms = (self._until_ms - self._worker_ms) / MIN_CLOCK_RATE
        return self._received_ms + math.ceil(longest_ms) + STOP_MARGIN_MS

    def expired(self, now_ms: int) -> bool:
        """Returns whether all granted leases have expired for certain.

        Nothing is certain before the worker's first answer.
        """
        end_ms = self.end_ms()
        return end_ms is not None and now_ms > end_ms


def _agree(earlier: tuple[int, int], later: tuple[int, int]) -> bool:
    """Returns whether both clocks have advanced alike between two answers."""
    worker_elapsed_ms = later[0] - earlier[0]
    elapsed_ms = later[1] - earlier[1]
    allowed_ms = MAX_CLOCK_DEVIATION_MS + MAX_RATE_DEVIATION * elapsed_ms
    return abs(worker_elapsed_ms - elapsed_ms) <= allowed_ms
