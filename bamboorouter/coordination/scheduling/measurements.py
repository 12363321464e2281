"""What the leader learns from late usage reports.

Sizes are learned from tasks that are not throttled. Latency of a service is
compared with its undisturbed latency, and the batch tasks that ran beside it
when it was measured are the suspects; a service that is slow by a flood of its
own requests says nothing about them. Reports are late, so a task may have
ended before its report arrives; where tasks ran is therefore kept for a while.
"""

import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.policies import interference
from bamboorouter.coordination.policies import sizes
from bamboorouter.coordination.scheduling import heartbeats
from bamboorouter.coordination.scheduling import request_rates
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import machine

# Older measurements say nothing about the present.
RECENT_MS: Final = 10_000
# Reports of tasks that ended longer ago are dropped.
KEPT_RUNS_MS: Final = 20_000
# Where a task runs is looked at once per heartbeat.
SEEN_PERIOD_MS: Final = 1_000
# A single high value may be chance.
SUSTAINED: Final = 2
# Measurements after which the effect of a class is known.
PROVEN_SAMPLES: Final = 10
LAST_URGENT: Final = 4
HARMFUL: Final = "harmful"


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


@dataclasses.dataclass(kw_only=True)
class _PastRun:
    """A batch task on a worker.

    Attributes:
        row: Row of the task.
        assigned_ms: Wall time of its assignment.
        seen_ms: Wall time at which it was last known to be there.
    """

    row: common.SheetRow
    assigned_ms: int
    seen_ms: int


class Measurements:
    """Late measurements of all workers.

    Attributes:
        sizes: Learns sizes.
        interference: Learns who disturbs whom.
        throttles: Which tasks are throttled.
        request_rates: Which services are flooded.
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
        self.request_rates = request_rates.RequestRates()
        self._slowdowns: dict[str, dict[str, _Slowdown]] = {}
        # By worker and epoch.
        self._past_runs: dict[str, dict[int, _PastRun]] = {}

    def reset(self) -> None:
        """Forgets the present state, but not what was learned."""
        self._slowdowns.clear()
        self._past_runs.clear()

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> None:
        """Learns from the measurements in a heartbeat."""
        self._note_runs(heartbeat.worker, state, wall_ms)
        self.request_rates.observe(heartbeat, now)
        for usage in heartbeat.usage:
            row = self._row(heartbeat.worker, usage, state)
            if row is None:
                continue
            if usage.epoch not in self.throttles.wanted:
                self.sizes.observe(
                    row,
                    millicores=usage.millicores,
                    memory_mb=usage.memory_mb,
                )
            if row.kind != "service" or usage.latency_ms <= 0:
                continue
            if not self.request_rates.flooded(row.name, now):
                beside = self._beside(heartbeat.worker, wall_ms - usage.age_ms)
                self._observe_latency(heartbeat, usage, row, beside, now)

    def slowdown(self, worker: str, now: int) -> float:
        """Returns the largest sustained slowdown of a service on a worker."""
        found = [
            item.value
            for item in self._slowdowns.get(worker, {}).values()
            if now - item.at < RECENT_MS
            and (
                item.slow >= SUSTAINED
                or item.value < eviction.SLOWDOWN_THRESHOLD
            )
        ]
        return max(found, default=1.0)

    def slow_workers(self, now: int) -> list[str]:
        """Returns workers on which a service is slow."""
        return [
            worker
            for worker in self._slowdowns
            if self.slowdown(worker, now) >= eviction.SLOWDOWN_THRESHOLD
        ]

    def forget_old(self, now: int) -> None:
        """Drops measurements that are no longer recent."""
        self.request_rates.forget_old(now)
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

    def apart(self, row: common.SheetRow) -> str:
        """Returns the name of a set of tasks to be kept apart beside services.

        Classes that are known to slow services down form one set; a class of
        which too little was measured to tell is a set of its own. Empty for
        other work and for urgent work, which isn't held back.
        """
        if row.kind == "service" or row.urgency <= LAST_URGENT:
            return ""
        name = sizes.job_class(row)
        if self.interference.partners(name):
            return HARMFUL
        unknown = self.sizes.measured(row) < PROVEN_SAMPLES
        return name if unknown else ""

    def serves(self, worker: str) -> bool:
        """Whether services with callers were measured there recently."""
        return bool(self._slowdowns.get(worker))

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
        item.slow = (
            item.slow + 1 if item.value >= eviction.SLOWDOWN_THRESHOLD else 0
        )
        item.at = now

    def _note_runs(
        self, worker: str, state: machine.Machine, wall_ms: int
    ) -> None:
        """Notes which batch tasks are on a worker now."""
        runs = self._past_runs.setdefault(worker, {})
        for task in state.assignments.worker_tasks(worker):
            row = state.plan.row(task.row)
            if task.kind == "service" or row is None:
                continue
            run = runs.get(task.epoch)
            if run is None:
                runs[task.epoch] = _PastRun(
                    row=row, assigned_ms=task.assigned_ms, seen_ms=wall_ms
                )
            else:
                run.seen_ms = wall_ms
        for epoch, run in list(runs.items()):
            if wall_ms - run.seen_ms > KEPT_RUNS_MS:
                del runs[epoch]

    def _row(
        self, worker: str, usage: common.Usage, state: machine.Machine
    ) -> common.SheetRow | None:
        """Returns the row of a reported task that is or was on the worker."""
        task = state.assignments.tasks.get(usage.task)
        if task and (task.epoch, task.worker) == (usage.epoch, worker):
            return state.plan.row(task.row)
        run = self._past_runs.get(worker, {}).get(usage.epoch)
        return run.row if run is not None else None

    def _beside(self, worker: str, measured_ms: int) -> set[str]:
        """Returns the classes of batch tasks that ran at that wall time."""
        return {
            sizes.job_class(run.row)
            for run in self._past_runs.get(worker, {}).values()
            if run.assigned_ms <= measured_ms <= run.seen_ms + SEEN_PERIOD_MS
        }
