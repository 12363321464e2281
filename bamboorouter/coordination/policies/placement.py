"""Chooses the worker on which a task of the sheet is placed.

`SpreadPlacement` spreads the instances of a service over availability zones,
then over racks. It keeps workers with accelerators for tasks that need them,
avoids workers with high learned interference, and packs batch tasks by best
fit. A task that may crash its worker is placed beside the fewest others. `FewestTasksPlacement` is the baseline policy: it takes the worker with the
most free slots.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import resource_math

# Successive failures after which a worker is used only if no other one fits.
SUSPECT_AFTER_FAILURES: Final = 2
# Number of suitable workers that are compared for a batch task. Comparing all
# 550 workers for each of 44 starts per second costs more than the better fit
# gains.
MAX_BATCH_CANDIDATES: Final = 16


@dataclasses.dataclass(kw_only=True)
class Candidate:
    """A worker that accepts tasks.

    Attributes:
        worker: Name of the worker.
        zone: Availability zone of the worker.
        rack: Rack of the worker.
        capacity: Total resources.
        free: Unreserved resources.
        batch_slots: Slots that batch tasks hold.
        service_slots: Slots that services hold.
        probe_only: Whether the worker gets only one task, as a health probe.
        failures: Failures since a task last finished on the worker.
        suspects: Tasks on the worker that may crash it.
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
    suspects: int = 0

    @property
    def tasks(self) -> int:
        """Number of tasks on the worker, which a crash would end."""
        return self.batch_slots + self.service_slots


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """A task to place.

    Attributes:
        kind: "service" or "batch".
        need: Resources that the task reserves.
        in_zone: Live instances of the same service by zone.
        in_rack: Live instances of the same service by (zone, rack).
        on_worker: Live instances of the same service by worker.
        avoid: Workers on which the task failed or from which it is moved.
        interference: Learned excess latency by worker, in thousandths of the
            baseline latency; 0 if missing.
        suspect: Whether the task may crash its worker.
    """

    kind: common.TaskKind
    need: common.Resources
    in_zone: Mapping[str, int]
    in_rack: Mapping[tuple[str, str], int]
    on_worker: Mapping[str, int]
    avoid: frozenset[str] = frozenset()
    interference: Mapping[str, int] = dataclasses.field(default_factory=dict)
    suspect: bool = False


class Placement(Protocol):
    """Chooses a worker for a task."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free resources; None without one."""
        ...


class SpreadPlacement:
    """Spreads services and packs batch tasks.

    Attributes:
        offset: Index of the worker at which the search for a batch task
            begins; it advances, so that successive tasks compare different
            workers.
    """

    def __init__(self) -> None:
        self.offset = 0

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free resources; None without one."""
        if request.kind == "service":
            return _choose_spread(request, candidates)
        found = self._sample_for_batch(request, candidates)
        return min(found, key=lambda c: _batch_cost(request, c), default=None)

    def _sample_for_batch(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        found: list[Candidate] = []
        fallback: list[Candidate] = []
        count = len(candidates)
        for step in range(count):
            candidate = candidates[(self.offset + step) % count]
            if not resource_math.fits(request.need, candidate.free):
                continue
            if _is_fallback(request, candidate):
                fallback.append(candidate)
                continue
            found.append(candidate)
            if len(found) == MAX_BATCH_CANDIDATES and not request.suspect:
                self.offset = (self.offset + step) % count
                break
        return found or fallback


class FewestTasksPlacement:
    """Baseline policy: takes the worker with the most free slots."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Returns a worker with enough free resources; None without one."""
        found = (
            c for c in candidates if resource_math.fits(request.need, c.free)
        )
        return min(found, key=lambda c: (-c.free.slots, c.worker), default=None)


def _is_fallback(request: PlacementRequest, candidate: Candidate) -> bool:
    return (
        candidate.worker in request.avoid
        or candidate.failures >= SUSPECT_AFTER_FAILURES
        or candidate.suspects > 0
        or _wastes_accelerators(request, candidate)
        or request.interference.get(candidate.worker, 0) > 0
    )


def _wastes_accelerators(
    request: PlacementRequest, candidate: Candidate
) -> bool:
    """Returns whether a worker has accelerators that the task doesn't need."""
    return candidate.capacity.accelerators > 0 and not request.need.accelerators


def _choose_spread(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Returns the best of the workers that fit; None if there is none.

    The criteria are in descending order of importance: each one only decides
    among the workers that are equal in all earlier ones.
    """
    found = [c for c in candidates if resource_math.fits(request.need, c.free)]
    criteria: tuple[Callable[[Candidate], int], ...] = (
        lambda c: c.worker in request.avoid,
        lambda c: c.failures >= SUSPECT_AFTER_FAILURES,
        lambda c: c.suspects,
        lambda c: request.in_zone.get(c.zone, 0),
        lambda c: request.in_rack.get((c.zone, c.rack), 0),
        lambda c: request.on_worker.get(c.worker, 0),
        lambda c: c.tasks if request.suspect else 0,
        lambda c: _wastes_accelerators(request, c),
        lambda c: request.interference.get(c.worker, 0),
        lambda c: -c.free.millicores,
    )
    for criterion in criteria:
        if len(found) < 2:
            break
        costs = [criterion(candidate) for candidate in found]
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
    """Returns the sort key of best fit, by the scarcest remaining resource."""
    free, need, capacity = candidate.free, request.need, candidate.capacity
    remaining = min(
        (free.millicores - need.millicores) / max(capacity.millicores, 1),
        (free.memory_mb - need.memory_mb) / max(capacity.memory_mb, 1),
    )
    return (
        candidate.worker in request.avoid,
        candidate.failures >= SUSPECT_AFTER_FAILURES,
        candidate.suspects,
        candidate.tasks if request.suspect else 0,
        _wastes_accelerators(request, candidate),
        request.interference.get(candidate.worker, 0),
        remaining,
        candidate.worker,
    )
