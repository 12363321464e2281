"""How many requests of a service may be in progress at once.

More requests than the upstreams work on only wait there, out of reach of the
entry's fairness and refusals. `LatencyLimit` finds the number at which waiting
begins: it is raised by one for each round of answers while it is in use, and
lowered in proportion when answers take over twice their undisturbed time. The
undisturbed time is the lowest mean over one second within the last minute. A
limit that is not in use says nothing about the upstreams; it shrinks, so that a
later flood does not find it high.
`ConnectionLimit` is the plain baseline: connections are the only limit.
"""

import collections
import dataclasses
from typing import Final
from typing import Protocol

FIRST_PER_UPSTREAM: Final = 64.0
# Slower answers may come from heavier requests instead of waiting; below this
# limit such a mix would be served almost one by one.
LOWEST_PER_UPSTREAM: Final = 16.0
HIGHEST_PER_UPSTREAM: Final = 1024.0
TOLERANCE: Final = 2.0
# Answers that take a few ms vary this much with the scheduling of processes.
JITTER_MS: Final = 20.0
LATENCY_WEIGHT: Final = 0.1
STRONGEST_CUT: Final = 0.5
UNUSED_CUT: Final = 0.5
WINDOW_MS: Final = 1_000
WINDOWS: Final = 60
MIN_SAMPLES: Final = 5


class ConcurrencyPolicy(Protocol):
    """Limits the requests in progress of each service."""

    def limit(self, service: str, *, upstreams: int) -> int | None:
        """Returns the limit; None if there is none beside connections."""
        ...

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Notes an answer, or a request that got none in time.

        Args:
            service: Name of the service.
            elapsed_ms: Time since the request was sent to the upstream.
            in_progress: Requests of the service in progress, this included.
            now_ms: Current time.
        """
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class _Service:
    """What is known about one service.

    Attributes:
        limit: Requests in progress allowed.
        upstreams: Upstreams at the last look.
        latency_ms: Smoothed time of answers.
        means_ms: Mean times of the last windows.
        window_ms: Begin of the current window.
        total_ms: Sum of times in the current window.
        samples: Answers in the current window.
        most: Most requests in progress in the current window.
        cut_ms: Time of the last cut.
    """

    limit: float
    upstreams: int
    window_ms: int = 0
    latency_ms: float = 0.0
    means_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOWS)
    )
    total_ms: float = 0.0
    samples: int = 0
    most: int = 0
    cut_ms: int = 0


class LatencyLimit:
    """Follows the latency of answers.

    Attributes:
        lowest: Lowest limit after slow answers, for each upstream.
        unused: Lowest limit of a service that doesn't use it, for each
            upstream.
    """

    def __init__(
        self,
        *,
        lowest: float = LOWEST_PER_UPSTREAM,
        unused: float = LOWEST_PER_UPSTREAM,
    ) -> None:
        self.lowest = lowest
        self.unused = unused
        self._services: dict[str, _Service] = {}

    def limit(self, service: str, *, upstreams: int) -> int:
        """Returns the limit; 0 without upstreams."""
        known = self._services.get(service)
        if known is None:
            if not upstreams:
                return 0
            known = self._services[service] = _Service(
                limit=FIRST_PER_UPSTREAM * upstreams, upstreams=upstreams
            )
        if upstreams != known.upstreams and upstreams:
            known.limit *= upstreams / known.upstreams
            known.upstreams = upstreams
        return int(known.limit)

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Notes an answer, or a request that got none in time."""
        known = self._services.get(service)
        if known is None:
            return
        _count(known, elapsed_ms, in_progress, now_ms, self.unused)
        if not known.latency_ms:
            known.latency_ms = elapsed_ms
        known.latency_ms += LATENCY_WEIGHT * (elapsed_ms - known.latency_ms)
        if not known.means_ms:
            return
        allowed = TOLERANCE * min(known.means_ms) + JITTER_MS
        if known.latency_ms > allowed:
            _cut(known, allowed, now_ms, self.lowest)
        elif 2 * in_progress > known.limit:
            highest = HIGHEST_PER_UPSTREAM * known.upstreams
            known.limit = min(known.limit + 1 / known.limit, highest)


class ConnectionLimit:
    """The baseline: no limit beside connections."""

    def limit(self, service: str, *, upstreams: int) -> int | None:
        """Returns None."""
        del service, upstreams
        return None

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Learns nothing."""


def _count(
    known: _Service,
    elapsed_ms: float,
    in_progress: int,
    now_ms: int,
    unused: float,
) -> None:
    known.most = max(known.most, in_progress)
    known.total_ms += elapsed_ms
    known.samples += 1
    if now_ms - known.window_ms < WINDOW_MS or known.samples < MIN_SAMPLES:
        return
    known.means_ms.append(known.total_ms / known.samples)
    if 2 * known.most < known.limit:
        used = max(UNUSED_CUT * known.limit, 2 * known.most)
        lowest = unused * known.upstreams
        known.limit = min(known.limit, max(used, lowest))
    known.most = 0
    known.window_ms = now_ms
    known.total_ms = 0.0
    known.samples = 0


def _cut(known: _Service, allowed: float, now_ms: int, lowest: float) -> None:
    """Lowers the limit, once for each round of answers."""
    if now_ms - known.cut_ms < known.latency_ms:
        return
    known.cut_ms = now_ms
    factor = max(allowed / known.latency_ms, STRONGEST_CUT)
    known.limit = max(known.limit * factor, lowest * known.upstreams)
