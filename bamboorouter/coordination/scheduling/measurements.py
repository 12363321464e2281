"""Learns task sizes and interference from delayed usage reports.

Sizes and interference are learned for classes of rows (see `sizes.job_class`).
Sizes are learned from tasks that are not throttled. The latency of a service is
compared with its undisturbed latency, and an excess is attributed to the batch
tasks that ran on the same worker when it was measured. A service that is
overloaded by its own requests is left out, because its latency says nothing
about those tasks. Reports are delayed, so a task may have ended before its
report arrives; the batch tasks of each worker are therefore remembered for some
time after they end.
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

# Older measurements don't describe the current state of a worker.
MAX_MEASUREMENT_AGE_MS: Final = 10_000
# Usage reports of tasks that ended longer ago are ignored.
RUN_RETENTION_MS: Final = 20_000
# The tasks of a worker are recorded once per heartbeat.
RECORDING_PERIOD_MS: Final = 1_000
# A single high latency may be noise.
MIN_SLOW_SAMPLES: Final = 2
# Number of measurements after which the effect of a class counts as known.
MIN_CLASS_SAMPLES: Final = 10
# Rows of this urgency or a more urgent (lower) one are never isolated.
MAX_EXEMPT_URGENCY: Final = 4
HARMFUL_GROUP: Final = "harmful"


@dataclasses.dataclass(kw_only=True)
class _Slowdown:
    """Slowdown of one service task.

    Attributes:
        ratio: Latency as a multiple of the undisturbed latency.
        slow_samples: Number of successive measurements at or above
            `eviction.SLOWDOWN_THRESHOLD`.
        measured_ms: Monotonic time in ms of the last measurement.
    """

    ratio: float = 1.0
    slow_samples: int = 0
    measured_ms: int = 0


@dataclasses.dataclass(kw_only=True)
class _BatchRun:
    """A batch task that runs or recently ran on a worker.

    Attributes:
        row: Row of the task.
        assigned_ms: Wall time in ms of its assignment.
        seen_ms: Wall time in ms of the worker's last heartbeat during the
            assignment.
    """

    row: common.SheetRow
    assigned_ms: int
    seen_ms: int


class Measurements:
    """Delayed usage measurements of all workers.

    Attributes:
        sizes: Estimates task sizes by class.
        interference: Learns which batch classes slow down which services.
        throttles: Tasks that are throttled.
        request_rates: Detects services overloaded by their own requests.
    """

    def __init__(
        self,
        *,
        size_estimates: sizes.Sizes,
        interference_model: interference.Interference,
        throttles: heartbeats.ThrottleTable,
    ) -> None:
        self.sizes = size_estimates
        self.interference = interference_model
        self.throttles = throttles
        self.request_rates = request_rates.RequestRates()
        self._slowdowns: dict[str, dict[str, _Slowdown]] = {}
        # By worker and epoch.
        self._batch_runs: dict[str, dict[int, _BatchRun]] = {}
        self._runs_discarded_ms = 0

    def reset(self) -> None:
        """Discards recent measurements; learned sizes and interference stay."""
        self._slowdowns.clear()
        self._batch_runs.clear()

    def observe(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> None:
        """Learns from the measurements in a heartbeat."""
        self._record_batch_runs(heartbeat.worker, state, wall_ms)
        self.request_rates.observe(heartbeat, now)
        for usage in heartbeat.usage:
            row = self._row(heartbeat.worker, usage, state)
            if row is None:
                continue
            if usage.epoch not in self.throttles.throttled_since_ms:
                self.sizes.observe(
                    row,
                    millicores=usage.millicores,
                    memory_mb=usage.memory_mb,
                )
            if row.kind != "service" or usage.latency_ms <= 0:
                continue
            if not self.request_rates.overloaded(row.name, now):
                co_located = self._co_located_classes(
                    heartbeat.worker, wall_ms - usage.age_ms
                )
                self._observe_latency(heartbeat, usage, row, co_located, now)

    def slowdown(self, worker: str, now: int) -> float:
        """Returns the largest sustained slowdown of a service on a worker.

        A slowdown of `eviction.SLOWDOWN_THRESHOLD` or more is sustained after
        `MIN_SLOW_SAMPLES` successive measurements; until then it is ignored.
        1.0 if nothing was measured recently.
        """
        ratios = [
            item.ratio
            for item in self._slowdowns.get(worker, {}).values()
            if now - item.measured_ms < MAX_MEASUREMENT_AGE_MS
            and (
                item.slow_samples >= MIN_SLOW_SAMPLES
                or item.ratio < eviction.SLOWDOWN_THRESHOLD
            )
        ]
        return max(ratios, default=1.0)

    def slow_workers(self, now: int) -> list[str]:
        """Returns workers on which a service has a sustained slowdown."""
        return [
            worker
            for worker in self._slowdowns
            if self.slowdown(worker, now) >= eviction.SLOWDOWN_THRESHOLD
        ]

    def discard_stale(self, now: int, wall_ms: int) -> None:
        """Discards old measurements, also of workers that are gone.

        Args:
            now: Monotonic time in ms.
            wall_ms: Wall time in ms.
        """
        self.request_rates.discard_stale(now)
        # Not in each pass, since this goes through the runs of all workers.
        if now - self._runs_discarded_ms >= RUN_RETENTION_MS:
            self._runs_discarded_ms = now
            self._discard_runs(wall_ms)
        for worker, items in list(self._slowdowns.items()):
            for task in [
                t
                for t, i in items.items()
                if now - i.measured_ms > MAX_MEASUREMENT_AGE_MS
            ]:
                del items[task]
            if not items:
                del self._slowdowns[worker]

    def interference_costs(
        self, row: common.SheetRow, state: machine.Machine
    ) -> dict[str, int]:
        """Returns the interference cost of placing a task of a row, by worker.

        The cost is in thousandths of the undisturbed latency. Workers without a
        cost are left out.
        """
        row_class = sizes.job_class(row)
        partners = self.interference.partners(row_class)
        costs: dict[str, int] = {}
        if not partners:
            return costs
        for name in state.assignments.used_by_row:
            other = state.plan.row(name)
            if other is None or other.kind == row.kind:
                continue
            other_class = sizes.job_class(other)
            if other_class not in partners:
                continue
            # The class of the service, then that of the batch task.
            pair = (
                (row_class, other_class)
                if row.kind == "service"
                else (other_class, row_class)
            )
            cost = self.interference.cost(*pair)
            for task in state.assignments.tasks_of_row(name):
                if task.live:
                    costs[task.worker] = costs.get(task.worker, 0) + cost
        return costs

    def isolation_group(self, row: common.SheetRow) -> str:
        """Returns the isolation group of a row, or an empty string.

        At most one task of a group is placed on a worker that runs services.
        All classes that are known to slow down services form one group. A class
        with too few measurements forms a group of its own. Services, urgent
        rows and classes known to be harmless belong to no group.
        """
        if row.kind == "service" or row.urgency <= MAX_EXEMPT_URGENCY:
            return ""
        name = sizes.job_class(row)
        if self.interference.partners(name):
            return HARMFUL_GROUP
        unknown = self.sizes.sample_count(row) < MIN_CLASS_SAMPLES
        return name if unknown else ""

    def has_measured_services(self, worker: str) -> bool:
        """Whether a service latency on a worker was measured recently.

        A service without requests has no latency and therefore doesn't count.
        """
        return bool(self._slowdowns.get(worker))

    def interference_cost_on(
        self, row: common.SheetRow, worker: str, state: machine.Machine
    ) -> int:
        """Returns the interference cost of a batch row on a worker.

        This is the sum over all service tasks on the worker, in thousandths of
        the undisturbed latency.
        """
        batch_class = sizes.job_class(row)
        return sum(
            self.interference.cost(sizes.job_class(service), batch_class)
            for task in state.assignments.worker_tasks(worker)
            if (service := state.plan.services.get(task.row)) is not None
        )

    def _observe_latency(
        self,
        heartbeat: messages.Heartbeat,
        usage: common.Usage,
        row: common.SheetRow,
        co_located: set[str],
        now: int,
    ) -> None:
        service_class = sizes.job_class(row)
        self.interference.observe(service_class, usage.latency_ms, co_located)
        items = self._slowdowns.setdefault(heartbeat.worker, {})
        item = items.setdefault(usage.task, _Slowdown())
        item.ratio = self.interference.slowdown(service_class, usage.latency_ms)
        item.slow_samples = (
            item.slow_samples + 1
            if item.ratio >= eviction.SLOWDOWN_THRESHOLD
            else 0
        )
        item.measured_ms = now

    def _record_batch_runs(
        self, worker: str, state: machine.Machine, wall_ms: int
    ) -> None:
        """Records which batch tasks are assigned to a worker now."""
        runs = self._batch_runs.setdefault(worker, {})
        for task in state.assignments.worker_tasks(worker):
            row = state.plan.row(task.row)
            if task.kind == "service" or row is None:
                continue
            run = runs.get(task.epoch)
            if run is None:
                runs[task.epoch] = _BatchRun(
                    row=row, assigned_ms=task.assigned_ms, seen_ms=wall_ms
                )
            else:
                run.seen_ms = wall_ms
        _discard_old_runs(runs, wall_ms)

    def _discard_runs(self, wall_ms: int) -> None:
        """Discards the old runs of all workers, and workers without runs."""
        for worker, runs in list(self._batch_runs.items()):
            _discard_old_runs(runs, wall_ms)
            if not runs:
                del self._batch_runs[worker]

    def _row(
        self, worker: str, usage: common.Usage, state: machine.Machine
    ) -> common.SheetRow | None:
        """Returns the row of a measured task.

        None if the task neither is nor recently was on the worker.
        """
        task = state.assignments.tasks.get(usage.task)
        if task and (task.epoch, task.worker) == (usage.epoch, worker):
            return state.plan.row(task.row)
        run = self._batch_runs.get(worker, {}).get(usage.epoch)
        return run.row if run is not None else None

    def _co_located_classes(self, worker: str, at_wall_ms: int) -> set[str]:
        """Returns the classes of batch tasks that ran at a wall time in ms."""
        return {
            sizes.job_class(run.row)
            for run in self._batch_runs.get(worker, {}).values()
            if run.assigned_ms
            <= at_wall_ms
            <= run.seen_ms + RECORDING_PERIOD_MS
        }


def _discard_old_runs(runs: dict[int, _BatchRun], wall_ms: int) -> None:
    """Discards the batch runs that ended too long ago to be measured."""
    for epoch, run in list(runs.items()):
        if wall_ms - run.seen_ms > RUN_RETENTION_MS:
            del runs[epoch]
