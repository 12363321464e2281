"""Detects services that are overloaded by their own requests.

Agents count the responses of each upstream. The response rate of a service, a
moving average over a few seconds, is compared with its baseline, a moving
average over half an hour. A service whose rate is far above the baseline is
slow because of its own requests; a service that is slowed down by batch tasks
responds at its baseline rate or below.
"""

import dataclasses
import math
from typing import Final

from bamboorouter import clock
from bamboorouter.protocol import messages

# Minimum length of the window in which responses are counted. A shorter one
# holds too few responses of a service with little traffic.
WINDOW_MS: Final = 1_000
# Time constant of the moving average of the response rate.
RATE_TIME_MS: Final = 2_000
# Time constant of the baseline: longer than the first minutes of an overload,
# shorter than the daily variation.
BASELINE_TIME_MS: Final = 1_800_000
OVERLOAD_FACTOR: Final = 2.0
# In responses per second. At lower rates noise alone reaches the factor.
MIN_OVERLOAD_RATE: Final = 5.0
# Usage reports are delayed, so a service still counts as overloaded for this
# long after its rate has dropped.
OVERLOAD_HOLD_MS: Final = 5_000


@dataclasses.dataclass(kw_only=True)
class _UpstreamRate:
    """Response rate of one upstream.

    Attributes:
        service: Service of the upstream.
        answered: Response counter at the start of the window.
        window_start_ms: Monotonic time in ms at which the window started.
        rate: Moving average of responses per second; None before the first
            window ends.
    """

    service: str
    answered: int
    window_start_ms: int
    rate: float | None = None


@dataclasses.dataclass(kw_only=True)
class _Baseline:
    """Baseline of one service.

    Attributes:
        rate: Responses per second.
        updated_ms: Monotonic time in ms of the last update.
    """

    rate: float
    updated_ms: int


class RequestRates:
    """Response rates of all services."""

    def __init__(self) -> None:
        self._upstreams: dict[str, _UpstreamRate] = {}
        self._baselines: dict[str, _Baseline] = {}
        self._overloaded_at_ms: dict[str, int] = {}

    def observe(self, heartbeat: messages.Heartbeat, now: clock.Millis) -> None:
        """Updates the rates with the counters of a heartbeat."""
        for upstream in heartbeat.upstreams:
            tracked = self._upstreams.get(upstream.id)
            # The counter starts again at 0 if the agent is restarted.
            if tracked is None or upstream.answered < tracked.answered:
                self._upstreams[upstream.id] = _UpstreamRate(
                    service=upstream.service,
                    answered=upstream.answered,
                    window_start_ms=now,
                )
            elif now - tracked.window_start_ms >= WINDOW_MS:
                self._close_window(tracked, upstream.answered, now)

    def overloaded(self, service: str, now: clock.Millis) -> bool:
        """Whether a service is, or very recently was, overloaded."""
        overloaded_at_ms = self._overloaded_at_ms.get(service)
        return (
            overloaded_at_ms is not None
            and now - overloaded_at_ms < OVERLOAD_HOLD_MS
        )

    def discard_stale(self, now: int) -> None:
        """Discards what was not reported for long.

        These are upstreams after `OVERLOAD_HOLD_MS`, and the baselines of
        services after `BASELINE_TIME_MS`.
        """
        for name, tracked in list(self._upstreams.items()):
            if now - tracked.window_start_ms > OVERLOAD_HOLD_MS:
                del self._upstreams[name]
        for service, baseline in list(self._baselines.items()):
            if now - baseline.updated_ms > BASELINE_TIME_MS:
                del self._baselines[service]
        for service, at_ms in list(self._overloaded_at_ms.items()):
            if now - at_ms >= OVERLOAD_HOLD_MS:
                del self._overloaded_at_ms[service]

    def _close_window(
        self, tracked: _UpstreamRate, answered: int, now: int
    ) -> None:
        elapsed_ms = now - tracked.window_start_ms
        rate = (answered - tracked.answered) * clock.MS_PER_SECOND / elapsed_ms
        if tracked.rate is None:
            tracked.rate = rate
        tracked.rate += _weight(elapsed_ms, RATE_TIME_MS) * (
            rate - tracked.rate
        )
        tracked.answered, tracked.window_start_ms = answered, now
        self._update_baseline(tracked.service, elapsed_ms, now)

    def _update_baseline(self, service: str, elapsed_ms: int, now: int) -> None:
        upstreams = [
            tracked
            for tracked in self._upstreams.values()
            if tracked.service == service
        ]
        if any(tracked.rate is None for tracked in upstreams):
            return
        service_rate = sum(tracked.rate or 0.0 for tracked in upstreams)
        baseline = self._baselines.setdefault(
            service, _Baseline(rate=service_rate, updated_ms=now)
        )
        earlier_rate = baseline.rate
        # This runs once per window of each of the n upstreams, so each run has
        # one nth of the weight.
        weight = _weight(elapsed_ms, BASELINE_TIME_MS) / len(upstreams)
        baseline.rate += weight * (service_rate - earlier_rate)
        baseline.updated_ms = now
        if service_rate > max(
            OVERLOAD_FACTOR * earlier_rate, MIN_OVERLOAD_RATE
        ):
            self._overloaded_at_ms[service] = now


def _weight(elapsed_ms: int, time_constant_ms: int) -> float:
    """Returns the weight of a new sample in an exponential moving average."""
    return 1.0 - math.exp(-elapsed_ms / time_constant_ms)
