"""What the leader learns from late usage reports.

Sizes are learned from tasks that are not throttled. Latency of a service is
compared with its undisturbed latency, and the batch tasks that ran beside it
when it was measured are the suspects.
"""

import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination import heartbeats
from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.policies import interference
from bamboorouter.coordination.policies import sizes
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import machine

# Older measurements say nothing about the present.
RECENT_MS: Final = 10_000
# A single high value may be chance.
SUSTAINED: Final = 2


@dataclasses.dataclass(kw_only=True)
class _Slowdown:
    """How slow one service task is.

    Attributes:
        value: Latency in multiples of the undisturbed one.
        slow: Successive measurements at which it was slow.
        at: Monotonic time in ms of the last measurement.
    """

    value: float = 1.0
    slow: int = 0
    at: int = 0


class Measurements:
    """Late measurements of all workers.

    Attributes:
        sizes: Learns sizes.
        interference: Learns who disturbs whom.
        throttles: Which tasks are throttled.
    """

    def __init__(
        self,
        *,
        size: sizes.Sizes,
        disturb: interference.Interference,
        throttles: heartbeats.Throttles,
    ) -> None:
        self.sizes = size
        self.interference = disturb
        self.throttles = throttles
        self._slowdowns: dict[str, dict[str, _Slowdown]] = {}

    def reset(self) -> None:
        """Forgets the present state, but not what was learned."""
        self._slowdowns.clear()

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> None:
        """Learns from the measurements in a heartbeat."""
        for usage in heartbeat.usage:
            task = state.assignments.tasks.get(usage.task)
            row = state.plan.row(usage.task.rpartition("/")[0])
            if task is None or row is None or task.epoch != usage.epoch:
                continue
            if task.worker != heartbeat.worker:
                continue
            if usage.epoch not in self.throttles.wanted:
                self.sizes.observe(
                    row,
                    millicores=usage.millicores,
                    memory_mb=usage.memory_mb,
                )
            if task.kind == "service" and usage.latency_ms > 0:
                beside = self._beside(
                    state, heartbeat.worker, wall_ms - usage.age_ms
                )
                self._observe_latency(heartbeat, usage, row, beside, now)

    def slowdown(self, worker: str, now: int) -> float:
        """Returns the largest sustained slowdown of a service on a worker."""
        found = [
            item.value
            for item in self._slowdowns.get(worker, {}).values()
            if now - item.at < RECENT_MS
            and (item.slow >= SUSTAINED or item.value < eviction.SLOW)
        ]
        return max(found, default=1.0)

    def slow_workers(self, now: int) -> list[str]:
        """Returns workers on which a service is slow."""
        return [
            worker
            for worker in self._slowdowns
            if self.slowdown(worker, now) >= eviction.SLOW
        ]

    def forget_old(self, now: int) -> None:
        """Drops measurements that are no longer recent."""
        for worker, items in list(self._slowdowns.items()):
            for task in [t for t, i in items.items() if now - i.at > RECENT_MS]:
                del items[task]
            if not items:
                del self._slowdowns[worker]

    def costs(
        self, row: common.SheetRow, state: machine.Machine
    ) -> dict[str, int]:
        """Returns the learned harm of placing a row, by worker.

        Workers without harm are left out.
        """
        own = sizes.job_class(row)
        partners = self.interference.partners(own)
        found: dict[str, int] = {}
        if not partners:
            return found
        for name in state.assignments.used_by_row:
            other = state.plan.row(name)
            if other is None or other.kind == row.kind:
                continue
            theirs = sizes.job_class(other)
            if theirs not in partners:
                continue
            pair = (own, theirs) if row.kind == "service" else (theirs, own)
            cost = self.interference.cost(*pair)
            for task in state.assignments.rows_tasks(name):
                if task.live:
                    found[task.worker] = found.get(task.worker, 0) + cost
        return found

    def cost_on(
        self, row: common.SheetRow, worker: str, state: machine.Machine
    ) -> int:
        """Returns the learned harm of a batch row to services on a worker."""
        own = sizes.job_class(row)
        return sum(
            self.interference.cost(sizes.job_class(service), own)
            for task in state.assignments.worker_tasks(worker)
            if (service := state.plan.services.get(task.row)) is not None
        )

    def _observe_latency(
        self,
        heartbeat: messages.Heartbeat,
        usage: common.Usage,
        row: common.SheetRow,
        beside: set[str],
        now: int,
    ) -> None:
        name = sizes.job_class(row)
        self.interference.observe(name, usage.latency_ms, beside)
        items = self._slowdowns.setdefault(heartbeat.worker, {})
        item = items.setdefault(usage.task, _Slowdown())
        item.value = self.interference.slowdown(name, usage.latency_ms)
        item.slow = item.slow + 1 if item.value >= eviction.SLOW else 0
        item.at = now

    def _beside(
        self, state: machine.Machine, worker: str, measured_ms: int
    ) -> set[str]:
        """Returns the classes of batch tasks that ran at that wall time."""
        rows = (
            state.plan.row(task.row)
            for task in state.assignments.worker_tasks(worker)
            if task.kind == "batch" and task.assigned_ms <= measured_ms
        )
        return {sizes.job_class(row) for row in rows if row is not None}
