"""Which batch task gives way, to make room or to relieve a slow service.

The product makes room only for services, or for work that is much more urgent,
by the one task whose eviction loses the least work, at most once per worker in
30 s, and leaves each kind its minimum share of slots. A slow service is
relieved by throttling first; only if that doesn't help is a task evicted. The
plain baseline evicts the task that started last, at once.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Literal
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import resource_math

EVICTION_PAUSE_MS: Final = 30_000
URGENCY_GAP: Final = 3
SERVICE_SLOTS_PERCENT: Final = 30
BATCH_SLOTS_PERCENT: Final = 20
SLOW: Final = 2.0
RELIEVED: Final = 1.3
# Measurements are late; one must arrive before the next step is judged.
STEP_PAUSE_MS: Final = 4000
THROTTLE_TRIAL_MS: Final = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Victim:
    """A batch task that may give way.

    Attributes:
        task: Task ID.
        epoch: Epoch of its assignment.
        urgency: Its urgency.
        need: What its eviction frees.
        lost_ms: Work since its last checkpoint, in ms.
        age_ms: Time since its assignment.
        evictions: How often it was evicted before.
        cost: Learned harm to the services beside it.
        throttled_ms: How long it has been throttled; None if it is not.
    """

    task: str
    epoch: int
    urgency: int
    need: common.Resources
    lost_ms: int
    age_ms: int
    evictions: int = 0
    cost: int = 0
    throttled_ms: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerRoom:
    """A worker on which room could be made.

    Attributes:
        worker: Name.
        slots: Slots it has.
        free: What is free or soon will be.
        service_slots: Slots that services hold.
        victims: Batch tasks on it.
        since_eviction_ms: Time since its last eviction.
        since_step_ms: Time since the last step to relieve a service.
        slowdown: Largest sustained slowdown of a service on it.
    """

    worker: str
    slots: int
    free: common.Resources
    service_slots: int
    victims: Sequence[Victim]
    since_eviction_ms: int
    since_step_ms: int = STEP_PAUSE_MS
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoomRequest:
    """A task that found no room."""

    kind: common.TaskKind
    urgency: int
    need: common.Resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A change of one task to relieve a service."""

    victim: Victim
    action: Literal["throttle", "resume", "evict"]


class Eviction(Protocol):
    """Chooses what gives way."""

    def make_room(
        self, request: RoomRequest, workers: Sequence[WorkerRoom]
    ) -> tuple[WorkerRoom, Victim] | None:
        """Returns the task to evict, or None if the request has to wait."""
        ...

    def relieve(self, worker: WorkerRoom) -> Step | None:
        """Returns the next step on a worker, or None."""
        ...


class LeastLossEviction:
    """The product's choice."""

    def make_room(
        self, request: RoomRequest, workers: Sequence[WorkerRoom]
    ) -> tuple[WorkerRoom, Victim] | None:
        """Returns the task to evict, or None if the request has to wait."""
        gap = 1 if request.kind == "service" else URGENCY_GAP
        found = [
            (worker, victim)
            for worker in workers
            if worker.since_eviction_ms >= EVICTION_PAUSE_MS
            and _share_allows(worker, request)
            for victim in worker.victims
            if victim.urgency >= request.urgency + gap
            and resource_math.fits(
                request.need, resource_math.plus(worker.free, victim.need)
            )
        ]
        return min(found, key=lambda pair: _loss(pair[1]), default=None)

    def relieve(self, worker: WorkerRoom) -> Step | None:
        """Returns the next step on a worker, or None."""
        if worker.since_step_ms < STEP_PAUSE_MS:
            return None
        throttled = [v for v in worker.victims if v.throttled_ms is not None]
        if worker.slowdown < RELIEVED and throttled:
            harmless = min(throttled, key=_harm)
            return Step(victim=harmless, action="resume")
        if worker.slowdown < SLOW:
            return None
        others = [v for v in worker.victims if v.throttled_ms is None]
        if others:
            return Step(victim=max(others, key=_harm), action="throttle")
        tried = [
            v for v in throttled if (v.throttled_ms or 0) >= THROTTLE_TRIAL_MS
        ]
        if not tried or worker.since_eviction_ms < EVICTION_PAUSE_MS:
            return None
        return Step(victim=min(tried, key=_loss), action="evict")


class LastStartedEviction:
    """The plain baseline."""

    def make_room(
        self, request: RoomRequest, workers: Sequence[WorkerRoom]
    ) -> tuple[WorkerRoom, Victim] | None:
        """Returns the task to evict, or None if the request has to wait."""
        found = [
            (worker, victim)
            for worker in workers
            for victim in worker.victims
            if victim.urgency > request.urgency
            and resource_math.fits(
                request.need, resource_math.plus(worker.free, victim.need)
            )
        ]
        return min(found, key=lambda pair: pair[1].age_ms, default=None)

    def relieve(self, worker: WorkerRoom) -> Step | None:
        """Returns the next step on a worker, or None."""
        if worker.slowdown < SLOW or worker.since_step_ms < STEP_PAUSE_MS:
            return None
        last = min(worker.victims, key=lambda v: v.age_ms, default=None)
        return Step(victim=last, action="evict") if last is not None else None


def _loss(victim: Victim) -> tuple[int, int, str]:
    lost = victim.lost_ms * max(victim.need.millicores, 1)
    return lost, victim.evictions, victim.task


def _harm(victim: Victim) -> tuple[int, int, int]:
    return victim.cost, victim.urgency, victim.need.millicores


def _share_allows(worker: WorkerRoom, request: RoomRequest) -> bool:
    """Whether batch keeps its minimum, or services lack theirs."""
    if request.kind == "batch":
        return True
    batch_left = len(worker.victims) - 1
    lacks = worker.service_slots * 100 < SERVICE_SLOTS_PERCENT * worker.slots
    return lacks or batch_left * 100 >= BATCH_SLOTS_PERCENT * worker.slots
