"""Chooses the upstream for a request.

`TwoChoices` samples two usable upstreams at random and takes the one with the
lower product of latency and load (power of two choices). Random sampling keeps
entries with similar data from all sending to the same upstream.
`LeastOutstanding` is the baseline policy.
"""

from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Final
from typing import Protocol

LATENCY_WEIGHT: Final = 0.2
# The latency of an upstream without requests decays with this half-life, so
# that an upstream that was slow is tried again.
LATENCY_HALF_LIFE_MS: Final = 5_000
# Latency differences below this are scheduler noise.
LATENCY_FLOOR_MS: Final = 0.5
OTHER_ZONE_FACTOR: Final = 1.2
EJECT_AFTER_FAILURES: Final = 3
FIRST_EJECTION_MS: Final = 1_000
LONGEST_EJECTION_MS: Final = 30_000
# Upstreams sampled to find two usable ones without checking all upstreams.
_SAMPLE_SIZE: Final = 4


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class AgentLoad:
    """Load of one agent as seen by this entry.

    Attributes:
        connections: Maximum number of concurrent requests that the worker of
            the agent accepts.
        outstanding: Requests of this entry in progress at the agent.
        unreachable_until_ms: Time until which the agent counts as unreachable.
    """

    connections: int
    outstanding: int = 0
    unreachable_until_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class UpstreamLoad:
    """Load and health of one upstream.

    Attributes:
        upstream: Upstream ID.
        zone: Availability zone.
        agent: Load of its agent, shared by all upstreams of the VM.
        outstanding: Requests of this entry in progress at the upstream.
        reported: Requests of all entries in progress at the upstream, as last
            reported by the agent or the leader.
        latency_ms: Moving average of the latency, in ms.
        sampled_ms: Time of the last latency sample, in ms.
        failures: Failures since the last success.
        ejected_until_ms: Time at which the outlier ejection ends, in ms.
        leaving: Whether the leader reports the upstream as leaving.
        refused_until_ms: Time until which the upstream counts as leaving
            because its agent announced it or refused a request as draining, in
            ms.
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
    """Chooses upstreams of a service and tracks their latency and failures."""

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the upstream for a request; None if none accepts requests.

        Args:
            loads: Load of each upstream of the service.
            tried: IDs of the upstreams that were tried for the request before.
            now_ms: Current time, in ms.
        """
        ...

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Records a complete answer."""
        ...

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Records a failure; returns whether the upstream was ejected."""
        ...


def accepts_requests(
    load: UpstreamLoad, *, tried: frozenset[str], now_ms: int
) -> bool:
    """Returns whether an upstream may get a request, healthy or not."""
    return (
        not load.leaving
        and load.refused_until_ms <= now_ms
        and load.upstream not in tried
    )


class TwoChoices:
    """Power of two choices over latency and load.

    An upstream is ejected after repeated failures, with exponential backoff.
    After the ejection it gets one request at a time until one succeeds. If
    no upstream is usable, ejections are ignored, because the failures then
    don't indicate a single faulty upstream.

    Attributes:
        zone: Availability zone of the entry.
    """

    def __init__(self, *, zone: str, draw: random.Random) -> None:
        self.zone = zone
        self._random = draw

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the better of two randomly sampled usable upstreams."""
        pair = self._sample_pair(loads, tried, now_ms)
        if len(pair) == 2:
            first, second = pair
            if self._score(second, now_ms) < self._score(first, now_ms):
                return second
            return first
        return pair[0] if pair else None

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Ends an ejection and records a latency sample."""
        load.failures = 0
        load.ejected_until_ms = 0
        if load.sampled_ms == 0:
            load.latency_ms = elapsed_ms
        latency = _decayed(load, now_ms)
        load.latency_ms = latency + LATENCY_WEIGHT * (elapsed_ms - latency)
        load.sampled_ms = now_ms

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Counts a failure; ejects the upstream after several in a row."""
        load.failures += 1
        excess_failures = load.failures - EJECT_AFTER_FAILURES
        if excess_failures < 0 or load.ejected_until_ms > now_ms:
            return False
        load.ejected_until_ms = now_ms + min(
            FIRST_EJECTION_MS << min(excess_failures, 10), LONGEST_EJECTION_MS
        )
        return True

    def _sample_pair(
        self,
        loads: Sequence[UpstreamLoad],
        tried: frozenset[str],
        now_ms: int,
    ) -> list[UpstreamLoad]:
        """Returns up to two different upstreams, sampled at random."""
        if len(loads) > _SAMPLE_SIZE:
            sampled = [
                load
                for load in self._random.sample(loads, _SAMPLE_SIZE)
                if _usable(load, tried, now_ms)
            ]
            if len(sampled) >= 2:
                return sampled[:2]
        usable = [load for load in loads if _usable(load, tried, now_ms)]
        if not usable:
            usable = [
                load
                for load in loads
                if accepts_requests(load, tried=tried, now_ms=now_ms)
            ]
        if len(usable) <= 2:
            return usable
        return self._random.sample(usable, 2)

    def _score(self, load: UpstreamLoad, now_ms: int) -> float:
        latency = max(_decayed(load, now_ms), LATENCY_FLOOR_MS)
        factor = 1.0 if load.zone == self.zone else OTHER_ZONE_FACTOR
        return latency * factor * (max(load.outstanding, load.reported) + 1)


class LeastOutstanding:
    """Baseline policy: the upstream with the fewest requests in progress."""

    def choose(
        self,
        loads: Sequence[UpstreamLoad],
        *,
        tried: frozenset[str],
        now_ms: int,
    ) -> UpstreamLoad | None:
        """Returns the first upstream with the fewest requests in progress."""
        usable = [
            load
            for load in loads
            if accepts_requests(load, tried=tried, now_ms=now_ms)
        ]
        return min(usable, key=lambda load: load.outstanding, default=None)

    def succeeded(
        self, load: UpstreamLoad, *, elapsed_ms: float, now_ms: int
    ) -> None:
        """Ignores the latency."""

    def failed(self, load: UpstreamLoad, *, now_ms: int) -> bool:
        """Ignores the failure."""
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
    return accepts_requests(load, tried=tried, now_ms=now_ms)


def _decayed(load: UpstreamLoad, now_ms: int) -> float:
    """Returns the latency with decay; a decay of up to 8.3 % is ignored."""
    age = now_ms - load.sampled_ms
    if age < LATENCY_HALF_LIFE_MS // 8:
        return load.latency_ms
    return load.latency_ms * math.exp2(-age / LATENCY_HALF_LIFE_MS)
