"""Limits how many requests of a service may be in progress at once.

Requests beyond the capacity of the upstreams would queue there, where the
entry's fairness and early refusal don't apply. `LatencyLimit` adapts the limit
to the point at which this queueing begins (additive increase, multiplicative
decrease). The limit rises by one per round trip while it is in use, and falls
in proportion when the smoothed latency exceeds twice the baseline latency. The
baseline latency is the lowest mean over a one-second window within the last
minute. An unused limit is no evidence of the capacity of the upstreams, so it
decays; otherwise a later burst of requests would be admitted in full.

`ConnectionLimit` is the baseline policy: connections are the only limit.
"""

import collections
import dataclasses
from typing import Final
from typing import Protocol

INITIAL_LIMIT_PER_UPSTREAM: Final = 64.0
# Latency may also rise because requests become more expensive. Without this
# minimum such a mix would be served almost one request at a time.
MIN_LIMIT_PER_UPSTREAM: Final = 16.0
MAX_LIMIT_PER_UPSTREAM: Final = 1024.0
LATENCY_TOLERANCE: Final = 2.0
# Latencies of a few ms vary by this much with process scheduling.
JITTER_MS: Final = 20.0
LATENCY_WEIGHT: Final = 0.1
MIN_DECREASE_FACTOR: Final = 0.5
UNUSED_DECAY_FACTOR: Final = 0.5
WINDOW_MS: Final = 1_000
WINDOWS: Final = 60
MIN_SAMPLES: Final = 5


class ConcurrencyPolicy(Protocol):
    """Limits the requests in progress of each service."""

    def limit(self, service: str, *, upstreams: int) -> int | None:
        """Returns the limit; None if only connections limit requests."""
        ...

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Records the latency of an answer or of a request that timed out.

        Args:
            service: Name of the service.
            elapsed_ms: Time since the request was sent to the upstream, in ms.
            in_progress: Requests of the service in progress, including this.
            now_ms: Current time, in ms.
        """
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class _Service:
    """Latency statistics and limit of one service.

    Attributes:
        limit: Concurrency limit.
        upstreams: Number of upstreams that the limit was scaled to.
        latency_ms: Moving average of the latency, in ms.
        means_ms: Mean latencies of the last windows, in ms.
        window_ms: Start time of the current window, in ms.
        total_ms: Sum of latencies in the current window, in ms.
        samples: Number of latencies in the current window.
        peak_in_progress: Peak of requests in progress in the current window.
        decreased_ms: Time of the last decrease of the limit, in ms.
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
    peak_in_progress: int = 0
    decreased_ms: int = 0


class LatencyLimit:
    """Adapts the concurrency limit of each service to its latency.

    Attributes:
        min_limit: Minimum limit per upstream after a decrease for high latency.
        min_unused_limit: Minimum limit per upstream after the decay of an
            unused limit.
    """

    def __init__(
        self,
        *,
        min_limit: float = MIN_LIMIT_PER_UPSTREAM,
        min_unused_limit: float = MIN_LIMIT_PER_UPSTREAM,
    ) -> None:
        self.min_limit = min_limit
        self.min_unused_limit = min_unused_limit
        self._services: dict[str, _Service] = {}

    def limit(self, service: str, *, upstreams: int) -> int:
        """Returns the limit; 0 without upstreams."""
        state = self._services.get(service)
        if state is None:
            if not upstreams:
                return 0
            state = self._services[service] = _Service(
                limit=INITIAL_LIMIT_PER_UPSTREAM * upstreams,
                upstreams=upstreams,
            )
        if upstreams != state.upstreams and upstreams:
            state.limit *= upstreams / state.upstreams
            state.upstreams = upstreams
        return int(state.limit)

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Records the latency of an answer or of a request that timed out."""
        state = self._services.get(service)
        if state is None:
            return
        _record_sample(
            state, elapsed_ms, in_progress, now_ms, self.min_unused_limit
        )
        if not state.latency_ms:
            state.latency_ms = elapsed_ms
        state.latency_ms += LATENCY_WEIGHT * (elapsed_ms - state.latency_ms)
        if not state.means_ms:
            return
        allowed = LATENCY_TOLERANCE * min(state.means_ms) + JITTER_MS
        if state.latency_ms > allowed:
            _decrease(state, allowed, now_ms, self.min_limit)
        elif 2 * in_progress > state.limit:
            highest = MAX_LIMIT_PER_UPSTREAM * state.upstreams
            state.limit = min(state.limit + 1 / state.limit, highest)


class ConnectionLimit:
    """Baseline policy: connections are the only limit."""

    def limit(self, service: str, *, upstreams: int) -> int | None:
        """Returns None."""
        del service, upstreams
        return None

    def observe(
        self, service: str, *, elapsed_ms: float, in_progress: int, now_ms: int
    ) -> None:
        """Ignores the latency."""


def _record_sample(
    state: _Service,
    elapsed_ms: float,
    in_progress: int,
    now_ms: int,
    min_unused_limit: float,
) -> None:
    """Records a sample; at the end of a window, decays an unused limit."""
    state.peak_in_progress = max(state.peak_in_progress, in_progress)
    state.total_ms += elapsed_ms
    state.samples += 1
    if now_ms - state.window_ms < WINDOW_MS or state.samples < MIN_SAMPLES:
        return
    state.means_ms.append(state.total_ms / state.samples)
    if 2 * state.peak_in_progress < state.limit:
        decayed = max(
            UNUSED_DECAY_FACTOR * state.limit, 2 * state.peak_in_progress
        )
        floor = min_unused_limit * state.upstreams
        state.limit = min(state.limit, max(decayed, floor))
    state.peak_in_progress = 0
    state.window_ms = now_ms
    state.total_ms = 0.0
    state.samples = 0


def _decrease(
    state: _Service, allowed: float, now_ms: int, min_limit: float
) -> None:
    """Lowers the limit, at most once per round trip (one smoothed latency)."""
    if now_ms - state.decreased_ms < state.latency_ms:
        return
    state.decreased_ms = now_ms
    factor = max(allowed / state.latency_ms, MIN_DECREASE_FACTOR)
    state.limit = max(state.limit * factor, min_limit * state.upstreams)
