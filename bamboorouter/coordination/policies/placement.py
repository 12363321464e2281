"""Which worker a task is placed on.

The product spreads instances of a service over zones, then racks, keeps
accelerators for tasks that need them, avoids workers where the learned
interference is high, and packs batch tasks tightly. The plain baseline takes
the worker with the fewest tasks.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import resource_math

# A worker that fails this often in a row gets tasks only if no other has room.
SUSPICIOUS_FAILURES: Final = 2
# Batch tasks take the best of this many workers with room; looking at all 550
# for each of 44 starts a second costs more than the better fit is worth.
BATCH_CHOICES: Final = 16


@dataclasses.dataclass(kw_only=True)
class Candidate:
    """A worker that takes tasks.

    Attributes:
        worker: Name.
        zone: Availability zone.
        rack: Rack.
        capacity: What it has.
        free: What is not reserved.
        batch_slots: Slots that batch tasks hold.
        service_slots: Slots that services hold.
        probe_only: Whether it gets only one task, to prove itself.
        failures: Failures on it since a task last finished.
    """

    worker: str
    zone: str
    rack: str
    capacity: common.Resources
    free: common.Resources
    batch_slots: int = 0
    service_slots: int = 0
    probe_only: bool = False
    failures: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """A task to place.

    Attributes:
        kind: "service" or "batch".
        need: What it needs.
        in_zone: Live instances of the same service by zone.
        in_rack: Live instances of the same service by (zone, rack).
        on_worker: Live instances of the same service by worker.
        avoid: Workers on which the task failed, or is being moved from.
        interference: Learned cost on a worker, in thousandths; missing is 0.
    """

    kind: common.TaskKind
    need: common.Resources
    in_zone: Mapping[str, int]
    in_rack: Mapping[tuple[str, str], int]
    on_worker: Mapping[str, int]
    avoid: frozenset[str] = frozenset()
    interference: Mapping[str, int] = dataclasses.field(default_factory=dict)


class Placement(Protocol):
    """Chooses a worker."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free, or None if there is none."""
        ...


class SpreadPlacement:
    """The product's placement.

    Attributes:
        offset: Where the search for batch tasks begins, so that successive
            tasks look at different workers.
    """

    def __init__(self) -> None:
        self.offset = 0

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free, or None if there is none."""
        if request.kind == "service":
            return _choose_spread(request, candidates)
        found = self._some(request, candidates)
        return min(found, key=lambda c: _batch_cost(request, c), default=None)

    def _some(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        found: list[Candidate] = []
        spare: list[Candidate] = []
        count = len(candidates)
        for step in range(count):
            candidate = candidates[(self.offset + step) % count]
            if not resource_math.fits(request.need, candidate.free):
                continue
            if _unwanted(request, candidate):
                spare.append(candidate)
                continue
            found.append(candidate)
            if len(found) == BATCH_CHOICES:
                self.offset = (self.offset + step) % count
                break
        return found or spare


class FewestTasksPlacement:
    """Takes the worker with the most free slots, whatever else it has."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free, or None if there is none."""
        found = (
            c for c in candidates if resource_math.fits(request.need, c.free)
        )
        return min(found, key=lambda c: (-c.free.slots, c.worker), default=None)


def _unwanted(request: PlacementRequest, candidate: Candidate) -> bool:
    return (
        candidate.worker in request.avoid
        or candidate.failures >= SUSPICIOUS_FAILURES
        or _wastes(request, candidate)
        or request.interference.get(candidate.worker, 0) > 0
    )


def _wastes(request: PlacementRequest, candidate: Candidate) -> bool:
    """Whether the task would take room beside accelerators it doesn't need."""
    return candidate.capacity.accelerators > 0 and not request.need.accelerators


def _choose_spread(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Narrows the workers with room down, the most important reason first."""
    found = [c for c in candidates if resource_math.fits(request.need, c.free)]
    reasons: tuple[Callable[[Candidate], int], ...] = (
        lambda c: c.worker in request.avoid,
        lambda c: c.failures >= SUSPICIOUS_FAILURES,
        lambda c: request.in_zone.get(c.zone, 0),
        lambda c: request.in_rack.get((c.zone, c.rack), 0),
        lambda c: request.on_worker.get(c.worker, 0),
        lambda c: _wastes(request, c),
        lambda c: request.interference.get(c.worker, 0),
        lambda c: -c.free.millicores,
    )
    for reason in reasons:
        if len(found) < 2:
            break
        costs = [reason(candidate) for candidate in found]
        least = min(costs)
        found = [
            candidate
            for candidate, cost in zip(found, costs, strict=True)
            if cost == least
        ]
    return found[0] if found else None


def _batch_cost(
    request: PlacementRequest, candidate: Candidate
) -> tuple[object, ...]:
    """Orders by the tightest fit, measured by the scarcest resource left."""
    free, need, capacity = candidate.free, request.need, candidate.capacity
    left = min(
        (free.millicores - need.millicores) / max(capacity.millicores, 1),
        (free.memory_mb - need.memory_mb) / max(capacity.memory_mb, 1),
    )
    return (
        candidate.worker in request.avoid,
        candidate.failures >= SUSPICIOUS_FAILURES,
        _wastes(request, candidate),
        request.interference.get(candidate.worker, 0),
        left,
        candidate.worker,
    )
