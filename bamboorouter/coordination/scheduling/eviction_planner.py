"""Plans preemption for urgent tasks and relief of slowed-down services.

The planner builds the inputs of the eviction policy and turns the decisions of
the policy into commands and throttling orders. The resources of a task that is
being evicted or stopped count as free already, so that no further task is
evicted for the same need.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.policies import placement
from bamboorouter.coordination.scheduling import assignment_planner
from bamboorouter.coordination.scheduling import heartbeats
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import measurements
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import resource_math

# Limits for one pass: rows for which tasks are preempted, and tasks per row.
MAX_ROWS_PER_PASS: Final = 8
MAX_TASKS_PER_ROW: Final = 8
# Stands for the last eviction or relief step on a worker that had none. It is
# so long ago that no pause of the policy applies.
_NEVER_MS: Final = -(10**9)


class EvictionPlanner:
    """Plans which batch tasks are evicted, throttled or resumed.

    Attributes:
        policy: The eviction policy.
        measurements: Usage measurements.
        leases: Leases, which hold the time of the last checkpoint.
        throttles: Tasks that are throttled.
    """

    def __init__(
        self,
        *,
        policy: eviction.Eviction,
        usage_measurements: measurements.Measurements,
        lease_table: leases.LeaseTable,
        throttles: heartbeats.ThrottleTable,
    ) -> None:
        self.policy = policy
        self.measurements = usage_measurements
        self.leases = lease_table
        self.throttles = throttles
        self._last_eviction_ms: dict[str, int] = {}
        self._last_step_ms: dict[str, int] = {}

    def reset(self) -> None:
        """Discards the times of past evictions and steps after an election."""
        self._last_eviction_ms.clear()
        self._last_step_ms.clear()

    def make_room(
        self,
        plan: assignment_planner.Plan,
        candidates: Iterable[placement.Candidate],
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> list[commands.EvictTask]:
        """Returns evictions that make room for tasks that a pass left unplaced.

        Args:
            plan: Result of the pass.
            candidates: Workers that accept tasks, with their free capacity in
                `state`. Those of the plan won't do: tasks may have ended while
                its assignments were committed.
            state: The replicated state.
            now: Monotonic time in ms.
            wall_ms: Wall time in ms.
        """
        unplaced = [
            item
            for item in plan.unplaced[:MAX_ROWS_PER_PASS]
            if not item.blocked_by_isolation
            and state.workers.can_ever_run(item.need)
        ]
        if not unplaced:
            return []
        loads = {
            candidate.worker: self._worker_load(candidate, state, now, wall_ms)
            for candidate in candidates
        }
        evictions: list[commands.EvictTask] = []
        for item in unplaced:
            waiting = len(state.assignments.pending.get(item.row.name, ()))
            for _ in range(min(waiting, MAX_TASKS_PER_ROW)):
                if not self._reserve_room(item, loads, evictions, now):
                    break
        return evictions

    def relieve(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> list[commands.EvictTask]:
        """Takes the next step of relief on each worker that needs one.

        These are the workers with a slow service or with throttled tasks. Tasks
        are throttled or resumed directly.

        Args:
            state: The replicated state.
            now: Monotonic time in ms.
            wall_ms: Wall time in ms.

        Returns:
            Evictions of tasks that slow down a service despite throttling.
        """
        self.measurements.discard_stale(now, wall_ms)
        throttled = {
            self.leases.by_epoch[epoch].worker
            for epoch in self.throttles.throttled_since_ms
            if epoch in self.leases.by_epoch
        }
        evictions: list[commands.EvictTask] = []
        for worker in throttled | set(self.measurements.slow_workers(now)):
            registered = state.workers.by_name.get(worker)
            if registered is None:
                continue
            # Relief doesn't depend on free capacity.
            candidate = placement.Candidate(
                worker=worker,
                zone=registered.zone,
                rack=registered.rack,
                capacity=registered.capacity,
                free=resource_math.NO_RESOURCES,
            )
            load = self._worker_load(candidate, state, now, wall_ms)
            step = self.policy.relieve(load)
            if step is not None:
                evictions.extend(self._take_step(worker, step, now))
        return evictions

    def _take_step(
        self, worker: str, step: eviction.ReliefAction, now: clock.Millis
    ) -> list[commands.EvictTask]:
        self._last_step_ms[worker] = now
        epoch = step.victim.epoch
        if step.action == "throttle":
            self.throttles.throttle(epoch, now)
            return []
        if step.action == "resume":
            self.throttles.resume(epoch)
            return []
        self._last_eviction_ms[worker] = now
        return [
            commands.EvictTask(
                task=step.victim.task,
                epoch=epoch,
                reason="slows a service down although it is throttled",
            )
        ]

    def _reserve_room(
        self,
        item: assignment_planner.UnplacedRow,
        loads: dict[str, eviction.WorkerLoad],
        evictions: list[commands.EvictTask],
        now: clock.Millis,
    ) -> bool:
        """Reserves room for one task, evicting another task if necessary.

        Args:
            item: Row of the task.
            loads: Workers with their expected free capacity; updated.
            evictions: Evictions of this pass; an eviction is appended.
            now: Monotonic time in ms.

        Returns:
            Whether room was found.
        """
        for load in loads.values():
            if resource_math.fits(item.need, load.free):
                loads[load.worker] = _replace_fields(
                    load, free=resource_math.minus(load.free, item.need)
                )
                return True
        kind: common.TaskKind = (
            "service" if item.row.kind == "service" else "batch"
        )
        request = eviction.CapacityRequest(
            kind=kind, urgency=item.row.urgency, need=item.need
        )
        choice = self.policy.choose_victim(request, list(loads.values()))
        if choice is None:
            return False
        load, victim = choice
        evictions.append(
            commands.EvictTask(
                task=victim.task,
                epoch=victim.epoch,
                reason=f"makes room for {item.task}",
            )
        )
        self._last_eviction_ms[load.worker] = now
        free = resource_math.minus(
            resource_math.plus(load.free, victim.need), item.need
        )
        loads[load.worker] = _replace_fields(
            load,
            free=free,
            victims=[v for v in load.victims if v is not victim],
            since_eviction_ms=0,
        )
        return True

    def _worker_load(
        self,
        candidate: placement.Candidate,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> eviction.WorkerLoad:
        tasks = state.assignments.worker_tasks(candidate.worker)
        ending = [t for t in tasks if t.stopping or t.status == "evicting"]
        free = resource_math.total([candidate.free, *(t.need for t in ending)])
        name = candidate.worker
        return eviction.WorkerLoad(
            worker=name,
            slots=candidate.capacity.slots,
            free=free,
            service_slots=sum(task.kind == "service" for task in tasks),
            victims=[
                self._victim(task, state, now, wall_ms)
                for task in tasks
                if task.kind == "batch" and task not in ending
            ],
            since_eviction_ms=now - self._last_eviction_ms.get(name, _NEVER_MS),
            since_relief_ms=now - self._last_step_ms.get(name, _NEVER_MS),
            slowdown=self.measurements.slowdown(name, now),
        )

    def _victim(
        self,
        task: assignments.Task,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> eviction.Victim:
        row = state.plan.row(task.row)
        lease = self.leases.by_epoch.get(task.epoch)
        throttled_since_ms = self.throttles.throttled_since_ms.get(task.epoch)
        age_ms = max(0, wall_ms - task.assigned_ms)
        # A task whose row is unknown counts as least urgent (9).
        return eviction.Victim(
            task=task.task,
            epoch=task.epoch,
            urgency=row.urgency if row is not None else 9,
            need=task.need,
            lost_ms=now - lease.checkpoint_at_ms
            if lease is not None
            else age_ms,
            age_ms=age_ms,
            evictions=task.evictions,
            cost=(
                self.measurements.interference_cost_on(row, task.worker, state)
                if row is not None
                else 0
            ),
            throttled_ms=None
            if throttled_since_ms is None
            else now - throttled_since_ms,
        )


def _replace_fields(
    load: eviction.WorkerLoad, **fields: object
) -> eviction.WorkerLoad:
    return dataclasses.replace(load, **fields)  # type: ignore[arg-type]
