"""Learns which batch classes slow down which services.

The latency of a service is compared with its baseline latency, a moving average
that follows lower values quickly and higher values slowly. The excess is
attributed to the batch classes that ran on the same worker. A class gets a
larger part the more excess was attributed to it before, and the fewer harmless
measurements it has. A pair is classified as harmful above one score and as
harmless below a lower one; this hysteresis keeps single delayed measurements
from moving tasks back and forth. `NoInterference` is the baseline policy: it
learns only the baseline latencies.
"""

from collections.abc import Collection
import dataclasses
from typing import Final
from typing import Protocol

# Weight of a new sample in the moving average of a pair's score.
SCORE_WEIGHT: Final = 0.2
# Scores above which a pair becomes harmful, and up to which it becomes harmless
# again. A score of 1 is an excess as large as the baseline latency.
HARMFUL_SCORE: Final = 0.5
HARMLESS_SCORE: Final = 0.2
MIN_SAMPLES: Final = 5
# Weights in the baseline latency of a sample below it and of one above it.
FALLING_WEIGHT: Final = 0.3
RISING_WEIGHT: Final = 0.01
# Weight at which an excess is attributed to a pair without samples.
INITIAL_SUSPICION: Final = 0.1
MAX_PAIRS: Final = 5000


class Interference(Protocol):
    """Learns which pairs of a service and a batch class interfere."""

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Learns from one latency measurement.

        Args:
            service: Job class of the service.
            latency_ms: Latency of the service, in ms.
            beside: Job classes of the batch tasks on the same worker.
        """
        ...

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns a latency as a multiple of the baseline latency."""
        ...

    def cost(self, service: str, batch: str) -> int:
        """Returns the excess latency of a harmful pair; 0 for other pairs.

        The unit is a thousandth of the baseline latency.
        """
        ...

    def partners(self, name: str) -> set[str]:
        """Returns the classes that form a harmful pair with a class."""
        ...


class NoInterference:
    """Baseline policy: assumes that no pair interferes."""

    def __init__(self) -> None:
        self._base: dict[str, float] = {}

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Updates only the baseline latency of the service."""
        del beside
        _update_baseline(self._base, service, latency_ms)

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns a latency as a multiple of the baseline latency."""
        return latency_ms / self._base.get(service, latency_ms)

    def cost(self, service: str, batch: str) -> int:
        """Returns 0."""
        del service, batch
        return 0

    def partners(self, name: str) -> set[str]:
        """Returns an empty set."""
        del name
        return set()


@dataclasses.dataclass(kw_only=True)
class _Pair:
    """Statistics of a service and a batch class on the same worker.

    Attributes:
        score: Moving average of the excess latency attributed to the pair.
        samples: Number of measurements.
        harmless_samples: Measurements with an excess below `HARMLESS_SCORE`.
        harmful: Whether the pair is classified as harmful.
    """

    score: float = 0.0
    samples: int = 0
    harmless_samples: int = 0
    harmful: bool = False

    def suspicion(self) -> float:
        """Returns the weight at which an excess is attributed to the pair.

        A class that often ran on the same worker with little excess latency
        gets a lower weight than a new one.
        """
        return self.score + INITIAL_SUSPICION / (1 + self.harmless_samples)


class LearnedInterference:
    """Attributes excess latency to batch classes on the same worker."""

    def __init__(self) -> None:
        self._base: dict[str, float] = {}
        self._pairs: dict[tuple[str, str], _Pair] = {}
        # Index of harmful pairs: placement reads it far more often than pairs
        # change.
        self._partners: dict[str, set[str]] = {}

    def observe(
        self, service: str, latency_ms: float, beside: Collection[str]
    ) -> None:
        """Learns from one latency measurement."""
        if latency_ms <= 0:
            return
        _update_baseline(self._base, service, latency_ms)
        excess = max(0.0, self.slowdown(service, latency_ms) - 1)
        pairs = [self._pair(service, batch) for batch in beside]
        total_suspicion = sum(pair.suspicion() for pair in pairs)
        for batch, pair in zip(beside, pairs, strict=True):
            was_harmful = pair.harmful
            attributed = excess * pair.suspicion() / total_suspicion
            pair.score += SCORE_WEIGHT * (attributed - pair.score)
            pair.samples += 1
            pair.harmless_samples += excess < HARMLESS_SCORE
            limit = HARMLESS_SCORE if pair.harmful else HARMFUL_SCORE
            pair.harmful = pair.samples >= MIN_SAMPLES and pair.score > limit
            if pair.harmful != was_harmful:
                self._index_pair(service, batch, harmful=pair.harmful)

    def slowdown(self, service: str, latency_ms: float) -> float:
        """Returns a latency as a multiple of the baseline latency."""
        base = self._base.get(service)
        return latency_ms / base if base else 1.0

    def cost(self, service: str, batch: str) -> int:
        """Returns the excess latency of a harmful pair; 0 for other pairs."""
        pair = self._pairs.get((service, batch))
        return int(1000 * pair.score) if pair and pair.harmful else 0

    def partners(self, name: str) -> set[str]:
        """Returns the classes that form a harmful pair with a class."""
        return self._partners.get(name, set())

    def _index_pair(self, service: str, batch: str, *, harmful: bool) -> None:
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
                self._index_pair(*oldest, harmful=False)
        return pair


def _update_baseline(
    bases: dict[str, float], service: str, latency_ms: float
) -> None:
    if latency_ms <= 0:
        return
    base = bases.get(service, latency_ms)
    weight = FALLING_WEIGHT if latency_ms < base else RISING_WEIGHT
    bases[service] = base + weight * (latency_ms - base)
