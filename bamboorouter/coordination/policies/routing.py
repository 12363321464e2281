"""Choice of the upstream for a request.

`TwoChoices` draws two usable upstreams at random and takes the one with the
lower product of latency and load. Random pairs keep many entries with similar
data from all sending to the upstream that looks best. `LeastOutstanding` is
the plain baseline.
"""

from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Final
from typing import Protocol

LATENCY_WEIGHT: Final = 0.2
# An upstream that gets no requests is judged by ever older data; halving its
# latency lets a once slow upstream be tried again.
LATENCY_HALF_LIFE_MS: Final = 5_000
# Below this, differences of latency are noise of the scheduler.
LATENCY_FLOOR_MS: Final = 0.5
OTHER_ZONE_FACTOR: Final = 1.2
EJECT_AFTER_FAILURES: Final = 3
FIRST_EJECTION_MS: Final = 1_000
LONGEST_EJECTION_MS: Final = 30_000
_DRAWS: Final = 4


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class AgentLoad:
    """Load of one agent as this entry sees it.

    Attributes:
        connections: Requests that the worker takes at once.
        outstanding: Requests of this entry in progress there.
        unreachable_until_ms: No link can be opened before this time.
    """

    connections: int
    outstanding: int = 0
    unreachable_until_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class UpstreamLoad:
    """What a routing policy knows about one upstream.

    Attributes:
        upstream: Upstream ID.
        zone: Availability zone.
        agent: Load of its agent, shared by all upstreams of the VM.
        outstanding: Requests of this entry in progress.
        reported: Requests in progress from all entries as last reported.
        latency_ms: Smoothed latency of answers.
        sampled_ms: Time of the last answer.
        failures: Failures since the last success.
        ejected_until_ms: After repeated failures, no request before this.
        leaving: Whether the leader reports it as leaving.
        refused_until_ms: Its agent reported it as leaving; valid until then.
    """

    upstream: str
    zone: str
    agent: AgentLoad
    outstanding: int = 0
    reported: int = 0
    latency_ms: float = 0.0
    sampled_ms: int = 0
    failures: int = 0
    ejected_until_ms: int = 0
    leaving: bool = False
    refused_until_ms: int = 0


class RoutingPolicy(Protocol):
    """Chooses among the upstreams of a service and learns from answers."""

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the upstream for one request; None if none takes work."""
        ...

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Notes a whole answer."""
        ...

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Notes a failure; returns whether the upstream was ejected."""
        ...


def takes_work(
    load: UpstreamLoad, *, tried: frozenset[str], now_ms: int
) -> bool:
    """Whether an upstream may be given a request at all."""
    return (
        not load.leaving
        and load.refused_until_ms <= now_ms
        and load.upstream not in tried
    )


class TwoChoices:
    """Power of two choices over latency and load.

    An upstream that failed repeatedly is ejected for a growing time. After
    that it gets one request at a time until one succeeds. If all upstreams
    are ejected, the ejection is ignored, because then it says nothing about
    a single upstream.

    Attributes:
        zone: Availability zone of the entry.
    """

    def __init__(self, *, zone: str, draw: random.Random) -> None:
        self.zone = zone
        self._draw = draw

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the better of two random usable upstreams."""
        pair = self._draw_pair(loads, tried, now_ms)
        if len(pair) == 2:
            first, second = pair
            if self._score(second, now_ms) < self._score(first, now_ms):
                return second
            return first
        return pair[0] if pair else None

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Ends an ejection and adds a sample of the latency."""
        load.failures = 0
        load.ejected_until_ms = 0
        if load.sampled_ms == 0:
            load.latency_ms = elapsed_ms
        latency = _decayed(load, now_ms)
        load.latency_ms = latency + LATENCY_WEIGHT * (elapsed_ms - latency)
        load.sampled_ms = now_ms

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Counts a failure; ejects after several in a row."""
        load.failures += 1
        over = load.failures - EJECT_AFTER_FAILURES
        if over < 0 or load.ejected_until_ms > now_ms:
            return False
        load.ejected_until_ms = now_ms + min(
            FIRST_EJECTION_MS << min(over, 10), LONGEST_EJECTION_MS
        )
        return True

    def _draw_pair(
        self,
        loads: Sequence[UpstreamLoad],
        tried: frozenset[str],
        now_ms: int,
    ) -> list[UpstreamLoad]:
        """Returns up to two different upstreams, drawn at random."""
        if len(loads) > _DRAWS:
            drawn = [
                load
                for load in self._draw.sample(loads, _DRAWS)
                if _usable(load, tried, now_ms)
            ]
            if len(drawn) >= 2:
                return drawn[:2]
        usable = [load for load in loads if _usable(load, tried, now_ms)]
        if not usable:
            usable = [
                load
                for load in loads
                if takes_work(load, tried=tried, now_ms=now_ms)
            ]
        if len(usable) <= 2:
            return usable
        return self._draw.sample(usable, 2)

    def _score(self, load: UpstreamLoad, now_ms: int) -> float:
        latency = max(_decayed(load, now_ms), LATENCY_FLOOR_MS)
        factor = 1.0 if load.zone == self.zone else OTHER_ZONE_FACTOR
        return latency * factor * (max(load.outstanding, load.reported) + 1)


class LeastOutstanding:
    """The baseline: the first upstream with the fewest requests."""

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the first upstream with the fewest requests."""
        usable = [
            load
            for load in loads
            if takes_work(load, tried=tried, now_ms=now_ms)
        ]
        return min(usable, key=lambda load: load.outstanding, default=None)

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Learns nothing."""

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Learns nothing."""
        return False


def _usable(load: UpstreamLoad, tried: frozenset[str], now_ms: int) -> bool:
    if load.agent.unreachable_until_ms > now_ms:
        return False
    if load.agent.outstanding >= load.agent.connections:
        return False
    if load.failures >= EJECT_AFTER_FAILURES and (
        load.ejected_until_ms > now_ms or load.outstanding > 0
    ):
        return False
    return takes_work(load, tried=tried, now_ms=now_ms)


def _decayed(load: UpstreamLoad, now_ms: int) -> float:
    age = now_ms - load.sampled_ms
    if age < LATENCY_HALF_LIFE_MS // 8:
        return load.latency_ms
    return load.latency_ms * math.exp2(-age / LATENCY_HALF_LIFE_MS)
