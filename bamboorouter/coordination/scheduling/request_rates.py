"""Tells services that are slow by their own load from disturbed ones.

Agents count the answers of each upstream. The rate of a service is compared
with its usual one, which follows the rate slowly. A service that answers far
more than usual is slow because of its requests; a service that is disturbed by
batch work answers as many as usual, or fewer.
"""

import dataclasses
import math
from typing import Final

from bamboorouter import clock
from bamboorouter.protocol import messages

# A shorter window counts too few answers of a quiet service.
WINDOW_MS: Final = 1_000
RATE_TIME_MS: Final = 2_000
# Longer than a flood's first minutes, shorter than the change over a day.
USUAL_TIME_MS: Final = 1_800_000
FLOOD_FACTOR: Final = 2.0
# Below this rate the factor is reached by chance.
MIN_FLOOD_RATE: Final = 5.0
# Usage reports are late, so a flood counts for some time after its end.
HOLD_MS: Final = 5_000


@dataclasses.dataclass(kw_only=True)
class _UpstreamRate:
    """Answers of one upstream.

    Attributes:
        service: Its service.
        answered: Answers counted at the start of the window.
        since: Monotonic time in ms at which the window started.
        rate: Smoothed answers a second.
    """

    service: str
    answered: int
    since: int
    rate: float | None = None


class RequestRates:
    """Answers a second of all services."""

    def __init__(self) -> None:
        self._upstreams: dict[str, _UpstreamRate] = {}
        self._usual: dict[str, float] = {}
        self._flooded_at: dict[str, int] = {}

    def observe(self, heartbeat: messages.Heartbeat, now: clock.Millis) -> None:
        """Counts the answers in a heartbeat."""
        for upstream in heartbeat.upstreams:
            known = self._upstreams.get(upstream.id)
            if known is None or upstream.answered < known.answered:
                self._upstreams[upstream.id] = _UpstreamRate(
                    service=upstream.service,
                    answered=upstream.answered,
                    since=now,
                )
            elif now - known.since >= WINDOW_MS:
                self._close_window(known, upstream.answered, now)

    def flooded(self, service: str, now: clock.Millis) -> bool:
        """Whether a service answers, or just answered, far more than usual."""
        at = self._flooded_at.get(service)
        return at is not None and now - at < HOLD_MS

    def forget_old(self, now: int) -> None:
        """Drops upstreams that were not reported for a while."""
        for name, known in list(self._upstreams.items()):
            if now - known.since > HOLD_MS:
                del self._upstreams[name]

    def _close_window(
        self, known: _UpstreamRate, answered: int, now: int
    ) -> None:
        elapsed_ms = now - known.since
        rate = (answered - known.answered) * clock.MS_PER_SECOND / elapsed_ms
        if known.rate is None:
            known.rate = rate
        known.rate += _weight(elapsed_ms, RATE_TIME_MS) * (rate - known.rate)
        known.answered, known.since = answered, now
        self._compare(known.service, elapsed_ms, now)

    def _compare(self, service: str, elapsed_ms: int, now: int) -> None:
        upstreams = [
            known
            for known in self._upstreams.values()
            if known.service == service
        ]
        if any(known.rate is None for known in upstreams):
            return
        total = sum(known.rate or 0.0 for known in upstreams)
        usual = self._usual.setdefault(service, total)
        # Each upstream's window moves the usual rate by its part.
        weight = _weight(elapsed_ms, USUAL_TIME_MS) / len(upstreams)
        self._usual[service] = usual + weight * (total - usual)
        if total > max(FLOOD_FACTOR * usual, MIN_FLOOD_RATE):
            self._flooded_at[service] = now


def _weight(elapsed_ms: int, time_ms: int) -> float:
    return 1.0 - math.exp(-elapsed_ms / time_ms)
