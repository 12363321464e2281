"""Makes room for urgent work and relieves services that are slowed down.

Builds the plain inputs of the eviction policy and turns its choices into
commands and orders. A task that is being evicted or stopped counts as room
that will soon be free, so that nothing more is evicted for the same need.
"""

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
from bamboorouter.state import ledger
from bamboorouter.state import machine

# Rows and tasks of each for which room is made in one pass.
MAX_ROWS: Final = 8
MAX_TASKS: Final = 8
_LONG_AGO: Final = -(10**9)


class Pressure:
    """Decides which batch tasks give way.

    Attributes:
        policy: The eviction policy.
        measurements: Late measurements.
        leases: Leases, with the time of the last checkpoint.
        throttles: Which tasks are throttled.
    """

    def __init__(
        self,
        *,
        policy: eviction.Eviction,
        measured: measurements.Measurements,
        lease_table: leases.LeaseTable,
        throttles: heartbeats.Throttles,
    ) -> None:
        self.policy = policy
        self.measurements = measured
        self.leases = lease_table
        self.throttles = throttles
        self._evicted_at: dict[str, int] = {}
        self._stepped_at: dict[str, int] = {}

    def reset(self) -> None:
        """Forgets all pauses, for a replica that begins to lead."""
        self._evicted_at.clear()
        self._stepped_at.clear()

    def make_room(
        self,
        plan: assignment_planner.Plan,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> list[commands.EvictTask]:
        """Returns evictions for tasks that found no room in a pass."""
        wanting = [
            item
            for item in plan.unplaced[:MAX_ROWS]
            if not item.held_back and state.workers.can_ever_run(item.need)
        ]
        if not wanting:
            return []
        rooms = {
            candidate.worker: self._room(candidate, state, now, wall_ms)
            for candidate in plan.candidates
        }
        found: list[commands.EvictTask] = []
        for item in wanting:
            waiting = len(state.assignments.pending.get(item.row.name, ()))
            for _ in range(min(waiting, MAX_TASKS)):
                if not self._find_room(item, rooms, found, now):
                    break
        return found

    def relieve(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> list[commands.EvictTask]:
        """Throttles or resumes tasks; returns evictions that are needed."""
        self.measurements.forget_old(now)
        throttled = {
            self.leases.by_epoch[epoch].worker
            for epoch in self.throttles.wanted
            if epoch in self.leases.by_epoch
        }
        found: list[commands.EvictTask] = []
        for worker in throttled | set(self.measurements.slow_workers(now)):
            known = state.workers.by_name.get(worker)
            if known is None:
                continue
            candidate = placement.Candidate(
                worker=worker,
                zone=known.zone,
                rack=known.rack,
                capacity=known.capacity,
                free=ledger.NOTHING,
            )
            room = self._room(candidate, state, now, wall_ms)
            step = self.policy.relieve(room)
            if step is not None:
                found.extend(self._take_step(worker, step, now))
        return found

    def _take_step(
        self, worker: str, step: eviction.ReliefAction, now: clock.Millis
    ) -> list[commands.EvictTask]:
        self._stepped_at[worker] = now
        epoch = step.victim.epoch
        if step.action == "throttle":
            self.throttles.throttle(epoch, now)
            return []
        if step.action == "resume":
            self.throttles.resume(epoch)
            return []
        self._evicted_at[worker] = now
        return [
            commands.EvictTask(
                task=step.victim.task,
                epoch=epoch,
                reason="slows a service down although it is throttled",
            )
        ]

    def _find_room(
        self,
        item: assignment_planner.Unplaced,
        rooms: dict[str, eviction.WorkerLoad],
        found: list[commands.EvictTask],
        now: clock.Millis,
    ) -> bool:
        """Reserves room for one task; returns whether there will be some."""
        for room in rooms.values():
            if ledger.fits(item.need, room.free):
                rooms[room.worker] = _changed(
                    room, free=ledger.minus(room.free, item.need)
                )
                return True
        kind: common.TaskKind = (
            "service" if item.row.kind == "service" else "batch"
        )
        request = eviction.CapacityRequest(
            kind=kind, urgency=item.row.urgency, need=item.need
        )
        choice = self.policy.choose_victim(request, list(rooms.values()))
        if choice is None:
            return False
        room, victim = choice
        found.append(
            commands.EvictTask(
                task=victim.task,
                epoch=victim.epoch,
                reason=f"makes room for {item.task}",
            )
        )
        self._evicted_at[room.worker] = now
        free = ledger.minus(ledger.plus(room.free, victim.need), item.need)
        rooms[room.worker] = _changed(
            room,
            free=free,
            victims=[v for v in room.victims if v is not victim],
            since_eviction_ms=0,
        )
        return True

    def _room(
        self,
        candidate: placement.Candidate,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
    ) -> eviction.WorkerLoad:
        tasks = state.assignments.worker_tasks(candidate.worker)
        leaving = [t for t in tasks if t.stopping or t.status == "evicting"]
        free = ledger.total([candidate.free, *(t.need for t in leaving)])
        name = candidate.worker
        return eviction.WorkerLoad(
            worker=name,
            slots=candidate.capacity.slots,
            free=free,
            service_slots=sum(task.kind == "service" for task in tasks),
            victims=[
                self._victim(task, state, now, wall_ms)
                for task in tasks
                if task.kind == "batch" and task not in leaving
            ],
            since_eviction_ms=now - self._evicted_at.get(name, _LONG_AGO),
            since_relief_ms=now - self._stepped_at.get(name, _LONG_AGO),
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
        since = self.throttles.wanted.get(task.epoch)
        age_ms = max(0, wall_ms - task.assigned_ms)
        return eviction.Victim(
            task=task.task,
            epoch=task.epoch,
            urgency=row.urgency if row is not None else 9,
            need=task.need,
            lost_ms=now - lease.checkpoint_at if lease is not None else age_ms,
            age_ms=age_ms,
            evictions=task.evictions,
            cost=(
                self.measurements.cost_on(row, task.worker, state)
                if row is not None
                else 0
            ),
            throttled_ms=None if since is None else now - since,
        )


def _changed(
    room: eviction.WorkerLoad, **fields: object
) -> eviction.WorkerLoad:
    return dataclasses.replace(room, **fields)  # type: ignore[arg-type]
