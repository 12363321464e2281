"""Chooses batch tasks to evict for other tasks or to throttle for services.

`LeastLossEviction` evicts a batch task for a service that is more urgent, or
for a batch task that is at least `URGENCY_GAP` levels more urgent. It evicts
the one task whose eviction loses the least work, at most one per worker within
30 s, and preserves the minimum share of slots of each kind. A slowed-down
service is relieved by throttling batch tasks first; a task is evicted only if
throttling didn't help. `LastStartedEviction` is the baseline policy: it evicts
the task that started last, without throttling it first.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Literal
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import resource_math

MIN_EVICTION_INTERVAL_MS: Final = 30_000
URGENCY_GAP: Final = 3
SERVICE_SLOTS_PERCENT: Final = 30
BATCH_SLOTS_PERCENT: Final = 20
# Multiples of the baseline latency above which a service is relieved, and
# below which a throttled task is resumed.
SLOWDOWN_THRESHOLD: Final = 2.0
RECOVERY_THRESHOLD: Final = 1.3
# Latency measurements are delayed; one must arrive after each change before the
# next change is chosen.
MIN_RELIEF_INTERVAL_MS: Final = 4000
# Time after which throttling a task counts as not having helped.
THROTTLE_TRIAL_MS: Final = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Victim:
    """A batch task that may be throttled or evicted.

    Attributes:
        task: Task ID.
        epoch: Epoch of the task's assignment.
        urgency: 0 (most urgent) to 9.
        need: Resources that the eviction frees.
        lost_ms: Work since the last checkpoint, in ms.
        age_ms: Time since the assignment, in ms.
        evictions: Number of earlier evictions of the task.
        cost: Learned excess latency of the services on the same worker, in
            thousandths of their baseline latency.
        throttled_ms: Time since the task was throttled, in ms; None if it
            isn't throttled.
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
class WorkerLoad:
    """A worker on which tasks may be throttled or evicted.

    Attributes:
        worker: Name of the worker.
        slots: Total number of slots.
        free: Resources that are free or about to become free.
        service_slots: Slots that services hold.
        victims: Batch tasks on the worker.
        since_eviction_ms: Time since the last eviction, in ms.
        since_relief_ms: Time since the last change to relieve a service, in ms.
        slowdown: Largest sustained slowdown of a service on the worker, as a
            multiple of its baseline latency.
    """

    worker: str
    slots: int
    free: common.Resources
    service_slots: int
    victims: Sequence[Victim]
    since_eviction_ms: int
    since_relief_ms: int = MIN_RELIEF_INTERVAL_MS
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CapacityRequest:
    """A task that fits on no worker.

    Attributes:
        kind: "service" or "batch".
        urgency: 0 (most urgent) to 9.
        need: Resources that the task reserves.
    """

    kind: common.TaskKind
    urgency: int
    need: common.Resources


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReliefAction:
    """A change of one batch task to relieve a service.

    Attributes:
        victim: The task.
        action: What to do with the task.
    """

    victim: Victim
    action: Literal["throttle", "resume", "evict"]


class Eviction(Protocol):
    """Chooses batch tasks to throttle, resume or evict."""

    def choose_victim(
        self, request: CapacityRequest, workers: Sequence[WorkerLoad]
    ) -> tuple[WorkerLoad, Victim] | None:
        """Returns the task to evict and its worker; None if there is none."""
        ...

    def relieve(self, worker: WorkerLoad) -> ReliefAction | None:
        """Returns the next change on a worker; None if none is due."""
        ...


class LeastLossEviction:
    """Evicts the task that loses the least work, and throttles first."""

    def choose_victim(
        self, request: CapacityRequest, workers: Sequence[WorkerLoad]
    ) -> tuple[WorkerLoad, Victim] | None:
        """Returns the task to evict and its worker; None if there is none."""
        min_gap = 1 if request.kind == "service" else URGENCY_GAP
        found = [
            (worker, victim)
            for worker in workers
            if worker.since_eviction_ms >= MIN_EVICTION_INTERVAL_MS
            and _minimum_shares_allow(worker, request)
            for victim in worker.victims
            if victim.urgency >= request.urgency + min_gap
            and resource_math.fits(
                request.need, resource_math.plus(worker.free, victim.need)
            )
        ]
        return min(found, key=lambda pair: _loss_key(pair[1]), default=None)

    def relieve(self, worker: WorkerLoad) -> ReliefAction | None:
        """Returns the next change on a worker; None if none is due."""
        if worker.since_relief_ms < MIN_RELIEF_INTERVAL_MS:
            return None
        throttled = [v for v in worker.victims if v.throttled_ms is not None]
        if worker.slowdown < RECOVERY_THRESHOLD and throttled:
            least_harmful = min(throttled, key=_harm_key)
            return ReliefAction(victim=least_harmful, action="resume")
        if worker.slowdown < SLOWDOWN_THRESHOLD:
            return None
        unthrottled = [v for v in worker.victims if v.throttled_ms is None]
        if unthrottled:
            return ReliefAction(
                victim=max(unthrottled, key=_harm_key), action="throttle"
            )
        throttled_long = [
            v for v in throttled if (v.throttled_ms or 0) >= THROTTLE_TRIAL_MS
        ]
        if (
            not throttled_long
            or worker.since_eviction_ms < MIN_EVICTION_INTERVAL_MS
        ):
            return None
        return ReliefAction(
            victim=min(throttled_long, key=_loss_key), action="evict"
        )


class LastStartedEviction:
    """Baseline policy: evicts the task that started last."""

    def choose_victim(
        self, request: CapacityRequest, workers: Sequence[WorkerLoad]
    ) -> tuple[WorkerLoad, Victim] | None:
        """Returns the task to evict and its worker; None if there is none."""
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

    def relieve(self, worker: WorkerLoad) -> ReliefAction | None:
        """Returns the next change on a worker; None if none is due."""
        if (
            worker.slowdown < SLOWDOWN_THRESHOLD
            or worker.since_relief_ms < MIN_RELIEF_INTERVAL_MS
        ):
            return None
        last = min(worker.victims, key=lambda v: v.age_ms, default=None)
        return (
            ReliefAction(victim=last, action="evict")
            if last is not None
            else None
        )


def _loss_key(victim: Victim) -> tuple[int, int, str]:
    lost = victim.lost_ms * max(victim.need.millicores, 1)
    return lost, victim.evictions, victim.task


def _harm_key(victim: Victim) -> tuple[int, int, int]:
    return victim.cost, victim.urgency, victim.need.millicores


def _minimum_shares_allow(worker: WorkerLoad, request: CapacityRequest) -> bool:
    """Returns whether the minimum shares of slots allow an eviction.

    A batch task may always replace another one. A service may if services are
    below their minimum share, or if batch tasks keep theirs.
    """
    if request.kind == "batch":
        return True
    batch_left = len(worker.victims) - 1
    below_minimum = (
        worker.service_slots * 100 < SERVICE_SLOTS_PERCENT * worker.slots
    )
    return (
        below_minimum or batch_left * 100 >= BATCH_SLOTS_PERCENT * worker.slots
    )
