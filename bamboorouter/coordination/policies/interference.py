"""Which batch classes slow which services down.

Latency of a service is compared with its undisturbed latency, which follows
low values quickly and high ones slowly. The excess is attributed to the batch
classes that ran beside it, in proportion to what is known against each. A pair
counts as harmful above one score and as harmless again below a lower one, so
that single late measurements don't move tasks to and fro. The plain baseline
learns nothing.
"""

from collections.abc import Collection
import dataclasses
from typing import Final
from typing import Protocol

WEIGHT: Final = 0.2
HARMFUL: Final = 0.5
HARMLESS: Final = 0.2
MIN_SAMPLES: Final = 5
FOLLOW_DOWN: Final = 0.3
FOLLOW_UP: Final = 0.01
# A share for classes against which nothing is known yet.
SUSPICION: Final = 0.1
MAX_PAIRS: Final = 5000


class Interference(Protocol):
    """Learns what disturbs whom."""

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Learns from a late measurement.

        Args:
            service: Class of the service.
            latency_ms: Its latency.
            beside: Batch classes that ran on the same worker.
        """
        ...

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns latency in multiples of the undisturbed latency."""
        ...

    def cost(self, service: str, batch: str) -> int:
        """Returns the excess latency of a harmful pair in thousandths."""
        ...

    def partners(self, name: str) -> set[str]:
        """Returns the classes that form a harmful pair with a class."""
        ...


class NoInterference:
    """Assumes that nothing disturbs anything."""

    def __init__(self) -> None:
        self._base: dict[str, float] = {}

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Keeps the undisturbed latency only."""
        del beside
        _follow(self._base, service, latency_ms)

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns latency in multiples of the undisturbed latency."""
        return latency_ms / self._base.get(service, latency_ms)

    def cost(self, service: str, batch: str) -> int:
        """Returns 0."""
        del service, batch
        return 0

    def partners(self, name: str) -> set[str]:
        """Returns no classes."""
        del name
        return set()


@dataclasses.dataclass(kw_only=True)
class _Pair:
    score: float = 0.0
    samples: int = 0
    harmful: bool = False


class LearnedInterference:
    """The product's learning."""

    def __init__(self) -> None:
        self._base: dict[str, float] = {}
        self._pairs: dict[tuple[str, str], _Pair] = {}
        # Placement asks for partners far more often than pairs change.
        self._partners: dict[str, set[str]] = {}

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Learns from a late measurement."""
        if latency_ms <= 0:
            return
        _follow(self._base, service, latency_ms)
        excess = max(0.0, self.slowdown(service, latency_ms) - 1)
        pairs = [self._pair(service, batch) for batch in beside]
        known = sum(pair.score + SUSPICION for pair in pairs)
        for batch, pair in zip(beside, pairs, strict=True):
            before = pair.harmful
            part = excess * (pair.score + SUSPICION) / known
            pair.score += WEIGHT * (part - pair.score)
            pair.samples += 1
            limit = HARMLESS if pair.harmful else HARMFUL
            pair.harmful = pair.samples >= MIN_SAMPLES and pair.score > limit
            if pair.harmful != before:
                self._note(service, batch, harmful=pair.harmful)

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns latency in multiples of the undisturbed latency."""
        base = self._base.get(service)
        return latency_ms / base if base else 1.0

    def cost(self, service: str, batch: str) -> int:
        """Returns the excess latency of a harmful pair in thousandths."""
        pair = self._pairs.get((service, batch))
        return int(1000 * pair.score) if pair and pair.harmful else 0

    def partners(self, name: str) -> set[str]:
        """Returns the classes that form a harmful pair with a class."""
        return self._partners.get(name, set())

    def _note(self, service: str, batch: str, *, harmful: bool) -> None:
        for name, other in ((service, batch), (batch, service)):
            partners = self._partners.setdefault(name, set())
            if harmful:
                partners.add(other)
            else:
                partners.discard(other)
            if not partners:
                del self._partners[name]

    def _pair(self, service: str, batch: str) -> _Pair:
        pair = self._pairs.pop((service, batch), None) or _Pair()
        self._pairs[service, batch] = pair
        while len(self._pairs) > MAX_PAIRS:
            oldest = next(iter(self._pairs))
            if self._pairs.pop(oldest).harmful:
                self._note(*oldest, harmful=False)
        return pair


def _follow(bases: dict[str, float], service: str, latency_ms: float) -> None:
    if latency_ms <= 0:
        return
    base = bases.get(service, latency_ms)
    weight = FOLLOW_DOWN if latency_ms < base else FOLLOW_UP
    bases[service] = base + weight * (latency_ms - base)
