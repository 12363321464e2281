"""Plans assignments for one pass of the leader.

A pass looks at the waiting rows in the order of the task-order policy and
places one task after the other on what is free after all earlier ones. Free is
what the machine has not reserved, less what stray tasks hold on the worker
until their stop is confirmed. A row that can't be placed is left out for the
rest of the pass, together with rows that need at least as much.
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
from bamboorouter.state import ledger
from bamboorouter.state import machine

# More would keep the loop of the leader busy for too long at 550 workers; the
# next pass follows at once.
MAX_ASSIGNMENTS: Final = 128
MAX_PASSED_OVER: Final = 8
HELD_BACK_REASON: Final = (
    "one at a time beside services, because its class slows them down or is"
    " not known yet"
)
# A task that failed waits this long, doubled for each further failure.
RETRY_MS: Final = 500
MAX_RETRY_MS: Final = 60_000
# Slots of a worker that each kind keeps while both wait, in percent.
MIN_SHARE_PERCENT: Final = {"service": 30, "batch": 20}

_OTHER_KIND: Final = {"service": "batch", "batch": "service"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unplaced:
    """A row of which no task could be placed.

    Attributes:
        row: The row.
        task: Its first waiting task.
        need: What a task needs.
        reason: Why it waits, for people.
        held_back: Whether it waits although there is room.
    """

    row: common.SheetRow
    task: str
    need: common.Resources
    reason: str
    held_back: bool = False


@dataclasses.dataclass(kw_only=True)
class Plan:
    """Result of one pass.

    Attributes:
        assignments: Commands to propose.
        unplaced: Rows that wait, in order.
        candidates: Workers that take tasks, with what is left free; none if
            nothing waits.
        more: Whether the pass ended at `MAX_ASSIGNMENTS`.
        retry_at: Wall time in ms at which a failed task may run again.
    """

    assignments: list[commands.Assign] = dataclasses.field(default_factory=list)
    unplaced: list[Unplaced] = dataclasses.field(default_factory=list)
    candidates: list[placement.Candidate] = dataclasses.field(
        default_factory=list
    )
    more: bool = False
    retry_at: int | None = None


class AssignmentPlanner:
    """Plans passes.

    Attributes:
        registry: What agents last reported.
        order: Task-order policy.
        placement: Placement policy.
        sizes: Size estimates.
        measurements: What was learned from late measurements.
        failures: Failures on each worker since a task last finished there.
        paused: Monotonic time in ms until which a worker that refused a start
            gets nothing.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        order: task_order.TaskOrder,
        place: placement.Placement,
        size: sizes.Sizes,
        measured: measurements.Measurements,
    ) -> None:
        self.registry = registry
        self.order = order
        self.placement = place
        self.sizes = size
        self.measurements = measured
        self.failures: collections.Counter[str] = collections.Counter()
        self.paused: dict[str, int] = {}

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
        _Pass(self, state, wall_ms, result).run()
        return result

    def candidates(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> list[placement.Candidate]:
        """Returns all workers that take tasks now, with what is free."""
        found: list[placement.Candidate] = []
        for worker in state.workers.by_name.values():
            if worker.name in state.workers.drains:
                continue
            if worker.quarantined_until_ms > wall_ms:
                continue
            if self.paused.get(worker.name, 0) > now:
                continue
            if not self.registry.takes_tasks(worker.name, now):
                continue
            tasks = state.assignments.worker_tasks(worker.name)
            proven = not worker.quarantines
            if not proven and _on_probation(worker.quarantined_until_ms, tasks):
                continue
            free = self._free(state, worker.name, worker.capacity)
            if free is None:
                continue
            services = sum(task.kind == "service" for task in tasks)
            found.append(
                placement.Candidate(
                    worker=worker.name,
                    zone=worker.zone,
                    rack=worker.rack,
                    capacity=worker.capacity,
                    free=free,
                    batch_slots=len(tasks) - services,
                    service_slots=services,
                    probe_only=not proven,
                    failures=self.failures[worker.name],
                )
            )
        return found

    def need(
        self, row: common.SheetRow, state: machine.Machine
    ) -> common.Resources:
        """Returns what to reserve: the estimate, if any worker can hold it."""
        need = self.sizes.need(row)
        if state.workers.can_ever_run(need):
            return need
        return ledger.declared(row)

    def request(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
        state: machine.Machine,
        planned: Iterable[str] = (),
    ) -> placement.PlacementRequest:
        """Returns the inputs of a placement decision.

        Args:
            row: Row of the task.
            task: The task to place.
            need: What it needs.
            state: The replicated state.
            planned: Workers of instances of the row planned in this pass.
        """
        zones: collections.Counter[str] = collections.Counter()
        racks: collections.Counter[tuple[str, str]] = collections.Counter()
        on_worker: collections.Counter[str] = collections.Counter()
        if task.kind == "service":
            instances = [
                other.worker
                for other in state.assignments.rows_tasks(row.name)
                if other.live and not other.stopping and not other.replacement
            ]
            for name in (*instances, *planned):
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
            interference=self.measurements.costs(row, state),
        )

    def _free(
        self,
        state: machine.Machine,
        worker: str,
        capacity: common.Resources,
    ) -> common.Resources | None:
        """Returns what is free; None while a task of unknown size runs."""
        free = ledger.minus(capacity, state.assignments.used_on(worker))
        for stray in self.registry.reports[worker].orphans:
            row = state.plan.row(stray.task.rpartition("/")[0])
            if row is None:
                return None
            free = ledger.minus(free, self.sizes.need(row))
        return free


class _Pass:
    """One pass over the waiting rows."""

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
        self.waiting = state.assignments.waiting()
        self.taken: collections.Counter[str] = collections.Counter()
        self.planned: dict[str, list[str]] = {}
        self.passed_over: list[tuple[str, str]] = []
        self.hopeless: list[tuple[str, common.Resources]] = []
        self.held_back: set[str] = set()
        self.total = ledger.total(
            worker.capacity for worker in state.workers.by_name.values()
        )
        rows = self._waiting_rows()
        # Work that no worker can hold must not keep slots from other work.
        kinds = {
            row.kind
            for row in rows
            if state.workers.can_ever_run(ledger.declared(row))
        }
        self.both_wait = len(kinds) == 2
        self.queue = planner.order.queue(
            [_waiting_row(state, row) for row in rows],
            self._used_by_team(),
            state.plan.shares(),
        )

    def run(self) -> None:
        """Places tasks until nothing more fits."""
        while (head := self.queue.head()) is not None:
            if len(self.result.assignments) >= MAX_ASSIGNMENTS:
                self.result.more = True
                return
            self._serve(head)

    def _serve(self, head: task_order.WaitingRow) -> None:
        row = self.state.plan.row(head.row)
        task = self._next_task(head.row)
        if row is None or task is None:
            self.queue.drop()
            return
        need = self.planner.need(row, self.state)
        chosen = self._choose(row, task, need)
        if chosen is None:
            self._leave(row, task, need)
            return
        self.result.assignments.append(self._assign(task, chosen, need, head))
        self._take(task, chosen, need)
        self.queue.charge(self._part(need))

    def _next_task(self, row: str) -> assignments.Task | None:
        """Returns the first task of a row that may start now."""
        waiting = self.state.assignments.pending.get(row, {})
        for position, name in enumerate(waiting):
            if position < self.taken[row]:
                continue
            task = self.state.assignments.tasks[name]
            ready_at = retry_at(task)
            if ready_at <= self.wall_ms:
                return task
            # Later tasks of the row may be ready; this one is passed by.
            self.taken[row] = position + 1
            earliest = self.result.retry_at
            self.result.retry_at = min(earliest or ready_at, ready_at)
        return None

    def _choose(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
    ) -> placement.Candidate | None:
        if any(
            kind == task.kind and ledger.fits(smaller, need)
            for kind, smaller in self.hopeless
        ):
            return None
        allowed: Sequence[placement.Candidate] = self.candidates
        if self.both_wait:
            allowed = [c for c in allowed if _within_share(c, task.kind)]
        roomy = allowed
        kept_apart = self.planner.measurements.apart(row)
        if kept_apart:
            allowed = [
                c
                for c in allowed
                if not self.apart[kept_apart, c.worker]
                or not self.planner.measurements.serves(c.worker)
            ]
        planned = self.planned.get(row.name, ())
        request = self.planner.request(row, task, need, self.state, planned)
        chosen = self.planner.placement.choose(request, allowed)
        if chosen is None and len(allowed) < len(roomy):
            self.held_back.add(row.name)
        elif chosen is None:
            self.hopeless.append((task.kind, need))
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
                passed_over=tuple(self.passed_over),
                share=int(1000 * self.queue.share(head.team)),
            ),
        )

    def _take(
        self,
        task: assignments.Task,
        chosen: placement.Candidate,
        need: common.Resources,
    ) -> None:
        self.taken[task.row] += 1
        if task.kind == "service":
            self.planned.setdefault(task.row, []).append(chosen.worker)
        chosen.free = ledger.minus(chosen.free, need)
        if task.kind == "service":
            chosen.service_slots += 1
        else:
            chosen.batch_slots += 1
            row = self.state.plan.row(task.row)
            if row is not None:
                self._note_apart(row, chosen.worker)
        if chosen.probe_only:
            self.candidates.remove(chosen)

    def _leave(
        self,
        row: common.SheetRow,
        task: assignments.Task,
        need: common.Resources,
    ) -> None:
        held_back = row.name in self.held_back
        reason = HELD_BACK_REASON if held_back else self._reason(need)
        self.result.unplaced.append(
            Unplaced(
                row=row,
                task=task.task,
                need=need,
                reason=reason,
                held_back=held_back,
            )
        )
        if len(self.passed_over) < MAX_PASSED_OVER:
            self.passed_over.append((task.task, reason))
        self.queue.drop()

    def _reason(self, need: common.Resources) -> str:
        if not self.state.workers.by_name:
            return "no worker is known"
        if not self.candidates:
            return "no worker takes tasks"
        if not self.state.workers.can_ever_run(need):
            return "larger than any worker"
        lacking = {
            name
            for candidate in self.candidates
            if (name := ledger.missing(need, candidate.free))
        }
        if not lacking:
            return "slots are kept for the other kind of work"
        return "no worker has enough free: " + ", ".join(sorted(lacking))

    def _note_apart(self, row: common.SheetRow, worker: str) -> None:
        kept_apart = self.planner.measurements.apart(row)
        if kept_apart:
            self.apart[kept_apart, worker] += 1

    @functools.cached_property
    def apart(self) -> collections.Counter[tuple[str, str]]:
        """Returns the number of tasks to be kept apart, by set and worker."""
        found: collections.Counter[tuple[str, str]] = collections.Counter()
        for name in self.state.assignments.used_by_row:
            row = self.state.plan.row(name)
            kept_apart = row and self.planner.measurements.apart(row)
            if not kept_apart:
                continue
            found.update(
                (kept_apart, task.worker)
                for task in self.state.assignments.rows_tasks(name)
                if task.live
            )
        return found

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
                used[row.owner] += self._part(amount)
        return used

    def _part(self, amount: common.Resources) -> float:
        """Returns the largest part of any resource that an amount takes."""
        return max(
            amount.millicores / max(self.total.millicores, 1),
            amount.memory_mb / max(self.total.memory_mb, 1),
            amount.accelerators / max(self.total.accelerators, 1),
            amount.slots / max(self.total.slots, 1),
        )


def retry_at(task: assignments.Task) -> int:
    """Returns the wall time in ms before which a failed task waits."""
    if not task.failures:
        return 0
    doublings = min(task.failures - 1, 16)
    return task.ended_ms + min(RETRY_MS << doublings, MAX_RETRY_MS)


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


def _within_share(candidate: placement.Candidate, kind: str) -> bool:
    """Whether one more task of a kind leaves the other kind its minimum.

    Each kind may hold one task, so that both can run on a worker of one slot.
    """
    slots = candidate.capacity.slots
    kept = -(-slots * MIN_SHARE_PERCENT[_OTHER_KIND[kind]] // 100)
    held = (
        candidate.service_slots if kind == "service" else candidate.batch_slots
    )
    return held + 1 <= max(1, slots - kept)


def _on_probation(until_ms: int, tasks: Sequence[assignments.Task]) -> bool:
    """Whether a worker after a quarantine has its probe already."""
    return any(task.assigned_ms >= until_ms for task in tasks)
