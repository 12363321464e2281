"""Plans assignments for one pass of the leader.

A pass visits the waiting rows in the order of the task-order policy and places
their tasks one at a time, each on the capacity that all earlier placements left
free. The free capacity of a worker is its capacity less the reservations in the
replicated state, less the estimated size of orphaned tasks until their stop is
confirmed. An orphaned task runs on the worker without a current assignment. If
a task can't be placed, the rest of its row is skipped for this pass. Tasks of
the same kind that need at least as much are skipped too, unless isolation (see
`Measurements.isolation_group`) excluded a worker for the task.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import functools
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination.policies import placement
from bamboorouter.coordination.policies import sizes
from bamboorouter.coordination.policies import task_order
from bamboorouter.coordination.scheduling import measurements
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import resource_math
from bamboorouter.state import sheet_crashes

# More assignments would block the leader's event loop for too long at 550
# workers. A pass that reaches the limit is followed by another one immediately.
MAX_ASSIGNMENTS: Final = 128
# Limits the size of `AssignReason.passed_over`, which is part of each command.
MAX_SKIPPED_REPORTED: Final = 8
ISOLATION_REASON: Final = (
    "only one such task at a time may run on a worker with services, because"
    " its class slows services down or its effect is not known yet"
)
# Backoff before a failed task is retried, doubled for each further failure.
RETRY_BACKOFF_MS: Final = 500
MAX_RETRY_BACKOFF_MS: Final = 60_000
# Percentage of a worker's slots reserved for each kind while tasks of both
# kinds are waiting.
RESERVED_SLOTS_PERCENT: Final = {"service": 30, "batch": 20}

_OTHER_KIND: Final = {"service": "batch", "batch": "service"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnplacedRow:
    """A row of which no task could be placed.

    Attributes:
        row: The row.
        task: ID of its first waiting task.
        need: Resources that one task needs.
        reason: Why the row waits, as text for operators.
        blocked_by_isolation: Whether isolation excluded a worker for the task,
            because a task of the same group runs there beside services (see
            `Measurements.isolation_group`).
    """

    row: common.SheetRow
    task: str
    need: common.Resources
    reason: str
    blocked_by_isolation: bool = False


@dataclasses.dataclass(kw_only=True)
class Plan:
    """Result of one pass.

    Attributes:
        assignments: Commands to propose.
        unplaced: Rows that keep waiting, in the order of the queue.
        candidates: Workers that accept tasks, with the capacity that the pass
            left free; empty if no task is waiting.
        limit_reached: Whether the pass stopped at `MAX_ASSIGNMENTS`.
        retry_at_ms: Earliest wall time in ms at which a failed task may be
            retried; None if no task is in backoff.
    """

    assignments: list[commands.Assign] = dataclasses.field(default_factory=list)
    unplaced: list[UnplacedRow] = dataclasses.field(default_factory=list)
    candidates: list[placement.Candidate] = dataclasses.field(
        default_factory=list
    )
    limit_reached: bool = False
    retry_at_ms: int | None = None


class AssignmentPlanner:
    """Plans which waiting tasks are assigned to which workers.

    Attributes:
        registry: Last heartbeat of each agent.
        order: Task-order policy.
        placement: Placement policy.
        sizes: Size estimates.
        measurements: Interference learned from usage reports.
        failures: Number of failures on each worker since a task last finished
            there.
        paused_until_ms: By worker that refused a start for lack of capacity,
            the monotonic time in ms until which it is assigned no tasks.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        order_policy: task_order.TaskOrder,
        placement_policy: placement.Placement,
        size_estimates: sizes.Sizes,
        usage_measurements: measurements.Measurements,
    ) -> None:
        self.registry = registry
        self.order = order_policy
        self.placement = placement_policy
        self.sizes = size_estimates
        self.measurements = usage_measurements
        self.failures: collections.Counter[str] = collections.Counter()
        self.paused_until_ms: dict[str, int] = {}

    def plan(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> Plan:
        """Plans the assignments of one pass.

        Args:
            state: The replicated state.
            now: Monotonic time in ms.
            wall_ms: Wall time in ms.
        """
        if not state.assignments.pending:
            return Plan()
        result = Plan(candidates=self.candidates(state, now, wall_ms))
        _PlanningPass(self, state, wall_ms, result).run()
        return result

    def candidates(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> list[placement.Candidate]:
        """Returns all workers that accept tasks, with their free capacity."""
        available: list[placement.Candidate] = []
        for worker in state.workers.by_name.values():
            if worker.name in state.workers.drains:
                continue
            if worker.quarantined_until_ms > wall_ms:
                continue
            if self.paused_until_ms.get(worker.name, 0) > now:
                continue
            if not self.registry.accepts_tasks(worker.name, now):
                continue
            tasks = state.assignments.worker_tasks(worker.name)
            # `quarantines` is reset to 0 by a successful probe.
            is_trusted = not worker.quarantines
            if not is_trusted and _has_probe_task(
                worker.quarantined_until_ms, tasks
            ):
                continue
            free = self._free(state, worker.name, worker.capacity)
            if free is None:
                continue
            services = sum(task.kind == "service" for task in tasks)
            available.append(
                placement.Candidate(
                    worker=worker.name,
                    zone=worker.zone,
                    rack=worker.rack,
                    capacity=worker.capacity,
                    free=free,
                    batch_slots=len(tasks) - services,
                    service_slots=services,
                    probe_only=not is_trusted,
                    failures=self.failures[worker.name],
                    suspects=sum(
                        sheet_crashes.is_suspect(task, wall_ms)
                        for task in tasks
                    ),
                )
            )
        return available

    def need(
        self, row: common.SheetRow, state: machine.Machine
    ) -> common.Resources:
        """Returns the resources to reserve for a task of a row.

        This is the estimated size if any worker is large enough for it, else
        the declared size.
        """
        need = self.sizes.need(row)
        if state.workers.can_ever_run(need):
            return need
        return resource_math.declared(row)

    def request(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
        state: machine.Machine,
        planned_workers: Iterable[str] = (),
    ) -> placement.PlacementRequest:
        """Returns the inputs of a placement decision.

        Args:
            row: Row of the task.
            task: The task to place.
            need: Resources that the task needs.
            state: The replicated state.
            planned_workers: Workers to which this pass has already assigned
                instances of the row.
        """
        zones: collections.Counter[str] = collections.Counter()
        racks: collections.Counter[tuple[str, str]] = collections.Counter()
        on_worker: collections.Counter[str] = collections.Counter()
        if task.kind == "service":
            instances = [
                other.worker
                for other in state.assignments.tasks_of_row(row.name)
                if other.live and not other.stopping and not other.replacement
            ]
            for name in (*instances, *planned_workers):
                worker = state.workers.by_name[name]
                zones[worker.zone] += 1
                racks[worker.zone, worker.rack] += 1
                on_worker[name] += 1
        return placement.PlacementRequest(
            kind=task.kind,
            need=need,
            in_zone=zones,
            in_rack=racks,
            on_worker=on_worker,
            avoid=frozenset(task.failed_on),
            interference=self.measurements.interference_costs(row, state),
            suspect=bool(sheet_crashes.retry_delay_ms(task)),
        )

    def _free(
        self,
        state: machine.Machine,
        worker: str,
        capacity: common.Resources,
    ) -> common.Resources | None:
        """Returns a worker's capacity less reservations and orphaned tasks.

        None while an orphaned task of unknown size runs on the worker.
        """
        free = resource_math.minus(capacity, state.assignments.used_on(worker))
        for orphan in self.registry.reports[worker].orphans:
            row = state.plan.row(orphan.task.rpartition("/")[0])
            if row is None:
                return None
            free = resource_math.minus(free, self.sizes.need(row))
        return free


class _PlanningPass:
    """State of one pass over the waiting rows.

    Attributes:
        planner: The planner.
        state: The replicated state.
        wall_ms: Wall time in ms.
        result: Result of the pass; updated.
        candidates: Candidates of the result.
        waiting: Number of tasks that wait at the start of the pass.
        next_position: By row, how many of its waiting tasks the pass has
            assigned or found to be in backoff.
        planned_workers: By service, the workers that the pass has assigned its
            instances to.
        skipped: Task and reason of the first rows that were skipped.
        unplaceable: Kind and need of tasks for which no worker has room.
        blocked_by_isolation: Names of rows that were not placed after
            isolation had excluded a worker.
        total: Total capacity of all workers.
        both_kinds_wait: Whether services and batch tasks are waiting, so that
            slots are reserved for each kind.
        queue: Rows that were not skipped, in the order of the policy.
    """

    def __init__(
        self,
        planner: AssignmentPlanner,
        state: machine.Machine,
        wall_ms: int,
        result: Plan,
    ) -> None:
        self.planner = planner
        self.state = state
        self.wall_ms = wall_ms
        self.result = result
        self.candidates = result.candidates
        self.waiting = state.assignments.waiting_count()
        self.next_position: collections.Counter[str] = collections.Counter()
        self.planned_workers: dict[str, list[str]] = {}
        self.skipped: list[tuple[str, str]] = []
        self.unplaceable: list[tuple[str, common.Resources]] = []
        self.blocked_by_isolation: set[str] = set()
        self.total = resource_math.total(
            worker.capacity for worker in state.workers.by_name.values()
        )
        rows = self._waiting_rows()
        # A row that is larger than every worker can't be placed, so that no
        # slots need to be reserved for its kind.
        kinds = {
            row.kind
            for row in rows
            if state.workers.can_ever_run(resource_math.declared(row))
        }
        self.both_kinds_wait = len(kinds) == 2
        self.queue = planner.order.queue(
            [_waiting_row(state, row) for row in rows],
            self._used_by_team(),
            state.plan.team_weights(),
        )

    def run(self) -> None:
        """Places tasks until the queue is empty or the limit is reached."""
        while (head := self.queue.head()) is not None:
            if len(self.result.assignments) >= MAX_ASSIGNMENTS:
                self.result.limit_reached = True
                return
            self._place_next(head)

    def _place_next(self, head: task_order.WaitingRow) -> None:
        row = self.state.plan.row(head.row)
        task = self._next_task(head.row)
        if row is None or task is None:
            self.queue.drop()
            return
        need = self.planner.need(row, self.state)
        chosen = self._choose_worker(row, task, need)
        if chosen is None:
            self._skip(row, task, need)
            return
        self.result.assignments.append(self._assign(task, chosen, need, head))
        self._reserve(task, chosen, need)
        self.queue.charge(self._dominant_share(need))

    def _next_task(self, row: str) -> assignments.Task | None:
        """Returns the first waiting task of a row that isn't in backoff."""
        waiting = self.state.assignments.pending.get(row, {})
        for position, name in enumerate(waiting):
            if position < self.next_position[row]:
                continue
            task = self.state.assignments.tasks[name]
            ready_at_ms = retry_at_ms(task)
            if ready_at_ms <= self.wall_ms:
                return task
            # The task is in backoff, but later tasks of the row may be ready.
            self.next_position[row] = position + 1
            earliest = self.result.retry_at_ms
            self.result.retry_at_ms = min(earliest or ready_at_ms, ready_at_ms)
        return None

    def _choose_worker(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
    ) -> placement.Candidate | None:
        if any(
            kind == task.kind and resource_math.fits(smaller, need)
            for kind, smaller in self.unplaceable
        ):
            return None
        allowed: Sequence[placement.Candidate] = self.candidates
        if self.both_kinds_wait:
            allowed = [
                c for c in allowed if _leaves_reserved_slots(c, task.kind)
            ]
        before_isolation = allowed
        group = self.planner.measurements.isolation_group(row)
        if group:
            allowed = [
                c
                for c in allowed
                if not self.isolated_tasks[group, c.worker]
                or not self.planner.measurements.has_measured_services(c.worker)
            ]
        planned_workers = self.planned_workers.get(row.name, ())
        request = self.planner.request(
            row, task, need, self.state, planned_workers
        )
        chosen = self.planner.placement.choose(request, allowed)
        if chosen is None and len(allowed) < len(before_isolation):
            self.blocked_by_isolation.add(row.name)
        elif chosen is None:
            self.unplaceable.append((task.kind, need))
        return chosen

    def _assign(
        self,
        task: assignments.Task,
        chosen: placement.Candidate,
        need: common.Resources,
        head: task_order.WaitingRow,
    ) -> commands.Assign:
        return commands.Assign(
            task=task.task,
            worker=chosen.worker,
            need=need,
            reason=commands.AssignReason(
                revision=self.state.plan.revision,
                waiting=self.waiting - len(self.result.assignments),
                passed_over=tuple(self.skipped),
                share=int(1000 * self.queue.normalized_usage(head.team)),
            ),
        )

    def _reserve(
        self,
        task: assignments.Task,
        chosen: placement.Candidate,
        need: common.Resources,
    ) -> None:
        self.next_position[task.row] += 1
        if task.kind == "service":
            self.planned_workers.setdefault(task.row, []).append(chosen.worker)
        chosen.free = resource_math.minus(chosen.free, need)
        if task.kind == "service":
            chosen.service_slots += 1
        else:
            chosen.batch_slots += 1
            row = self.state.plan.row(task.row)
            if row is not None:
                self._count_isolated_task(row, chosen.worker)
        if chosen.probe_only:
            self.candidates.remove(chosen)
        chosen.suspects += sheet_crashes.is_suspect(task, self.wall_ms)

    def _skip(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
    ) -> None:
        blocked_by_isolation = row.name in self.blocked_by_isolation
        reason = (
            ISOLATION_REASON
            if blocked_by_isolation
            else self._waiting_reason(need)
        )
        self.result.unplaced.append(
            UnplacedRow(
                row=row,
                task=task.task,
                need=need,
                reason=reason,
                blocked_by_isolation=blocked_by_isolation,
            )
        )
        if len(self.skipped) < MAX_SKIPPED_REPORTED:
            self.skipped.append((task.task, reason))
        self.queue.drop()

    def _waiting_reason(self, need: common.Resources) -> str:
        if not self.state.workers.by_name:
            return "no worker is known"
        if not self.candidates:
            return "no worker accepts tasks at present"
        if not self.state.workers.can_ever_run(need):
            return "larger than any worker"
        missing_resources = {
            name
            for candidate in self.candidates
            if (name := resource_math.missing(need, candidate.free))
        }
        if not missing_resources:
            return "free slots are reserved for tasks of the other kind"
        return "no worker has enough free capacity: " + ", ".join(
            sorted(missing_resources)
        )

    def _count_isolated_task(self, row: common.SheetRow, worker: str) -> None:
        group = self.planner.measurements.isolation_group(row)
        if group:
            self.isolated_tasks[group, worker] += 1

    @functools.cached_property
    def isolated_tasks(self) -> collections.Counter[tuple[str, str]]:
        """Number of live tasks by isolation group and worker."""
        task_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        for name in self.state.assignments.used_by_row:
            row = self.state.plan.row(name)
            group = row and self.planner.measurements.isolation_group(row)
            if not group:
                continue
            task_counts.update(
                (group, task.worker)
                for task in self.state.assignments.tasks_of_row(name)
                if task.live
            )
        return task_counts

    def _waiting_rows(self) -> list[common.SheetRow]:
        rows = (
            self.state.plan.row(name) for name in self.state.assignments.pending
        )
        return [row for row in rows if row is not None]

    def _used_by_team(self) -> dict[str, float]:
        used: dict[str, float] = collections.defaultdict(float)
        for name, amount in self.state.assignments.used_by_row.items():
            row = self.state.plan.row(name)
            if row is not None:
                used[row.owner] += self._dominant_share(amount)
        return used

    def _dominant_share(self, amount: common.Resources) -> float:
        """Returns the dominant share of an amount.

        This is the largest fraction that it takes of the total of any one
        resource.
        """
        return max(
            amount.millicores / max(self.total.millicores, 1),
            amount.memory_mb / max(self.total.memory_mb, 1),
            amount.accelerators / max(self.total.accelerators, 1),
            amount.slots / max(self.total.slots, 1),
        )


def retry_at_ms(task: assignments.Task) -> int:
    """Returns the wall time in ms at which the backoff of a task ends.

    0 if the task hasn't failed and isn't suspected to crash its workers.
    """
    delay_ms = sheet_crashes.retry_delay_ms(task)
    if task.failures:
        doublings = min(task.failures - 1, 16)
        delay_ms = max(
            delay_ms, min(RETRY_BACKOFF_MS << doublings, MAX_RETRY_BACKOFF_MS)
        )
    return task.ended_ms + delay_ms if delay_ms else 0


def _waiting_row(
    state: machine.Machine, row: common.SheetRow
) -> task_order.WaitingRow:
    first = next(iter(state.assignments.pending[row.name]))
    return task_order.WaitingRow(
        row=row.name,
        team=row.owner,
        urgency=row.urgency,
        place=row.place,
        submitted_ms=state.assignments.tasks[first].submitted_ms,
    )


def _leaves_reserved_slots(candidate: placement.Candidate, kind: str) -> bool:
    """Whether one more task of a kind leaves the other kind its reserved slots.

    Each kind may always hold one slot, so that tasks of either kind can run on
    a worker with a single slot.
    """
    slots = candidate.capacity.slots
    reserved = -(-slots * RESERVED_SLOTS_PERCENT[_OTHER_KIND[kind]] // 100)
    in_use = (
        candidate.service_slots if kind == "service" else candidate.batch_slots
    )
    return in_use + 1 <= max(1, slots - reserved)


def _has_probe_task(
    quarantine_ended_ms: int, tasks: Sequence[assignments.Task]
) -> bool:
    """Whether a task was assigned to a worker since its quarantine ended."""
    return any(task.assigned_ms >= quarantine_ended_ms for task in tasks)
