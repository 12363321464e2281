"""Moves tasks off drained workers and replaces outdated instances.

An instance of a service is replaced by one that is started first, as soon as
there is room; the old one is stopped once the new one answers. Batch tasks of
a drained worker are evicted by checkpoint. An instance whose command or size
differs from the sheet in force is replaced the same way, one of each service
at a time; if there is no room for a second one, it is stopped first.
"""

from typing import Final

from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import plan

# An instance that announces no upstream counts as up after this time.
UP_AFTER_MS: Final = 5000
NO_ROOM_MS: Final = 10_000
LOOK_AGAIN_MS: Final = 1000


class Moves:
    """Decides what to move.

    Attributes:
        registry: What agents last reported.
        leases: Leases of live assignments.
        under_way: Whether something remains to be moved.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        lease_table: leases.LeaseTable,
    ) -> None:
        self.registry = registry
        self.leases = lease_table
        self.under_way = False
        self._looked_at: tuple[int, int] = (-1, 0)

    def due(self, state: machine.Machine, wall_ms: int) -> bool:
        """Whether it is time to look again: after changes, else each second."""
        revision, looked_at = self._looked_at
        return (
            state.config_revision != revision
            or abs(wall_ms - looked_at) >= LOOK_AGAIN_MS
        )

    def decide(
        self,
        state: machine.Machine,
        wall_ms: int,
    ) -> list[commands.Command]:
        """Returns replacements and evictions."""
        self._looked_at = (state.config_revision, wall_ms)
        self.under_way = False
        found: list[commands.Command] = []
        for target in state.workers.drains:
            for task in state.assignments.worker_tasks(target):
                self.under_way = True
                found.extend(self._move(task, state, wall_ms, "worker drained"))
        for name in list(state.plan.services):
            outdated = self._outdated(name, state)
            if outdated is not None:
                self.under_way = True
                found.extend(self._move(outdated, state, wall_ms, "new sheet"))
        return found

    def _outdated(
        self, service: str, state: machine.Machine
    ) -> assignments.Task | None:
        """Returns the instance to replace next; the one under way first.

        An instance whose replacement began under a drain that has ended is
        replaced as well.
        """
        spec = plan.spec_digest(state.plan.services[service])
        known = state.assignments.tasks
        outdated = [
            task
            for task in state.assignments.tasks_of_row(service)
            if task.live
            and not task.stopping
            and (task.spec != spec or task.replacement in known)
            and task.worker not in state.workers.drains
        ]
        return min(
            outdated,
            key=lambda task: (
                task.replacement not in known,
                task.number,
            ),
            default=None,
        )

    def _move(
        self,
        task: assignments.Task,
        state: machine.Machine,
        wall_ms: int,
        reason: str,
    ) -> list[commands.Command]:
        if task.status != "assigned" or task.stopping:
            return []
        evict = commands.EvictTask(
            task=task.task, epoch=task.epoch, reason=reason
        )
        if task.kind == "batch":
            return [evict]
        successor = state.assignments.tasks.get(task.replacement)
        if successor is not None:
            waited_ms = wall_ms - successor.submitted_ms
            no_room = successor.status == "pending" and waited_ms >= NO_ROOM_MS
            stop_first = no_room and task.worker not in state.workers.drains
            ready = stop_first or self._up(successor, wall_ms)
            return [evict] if ready else []
        return [
            commands.ReplaceInstance(
                task=task.task, epoch=task.epoch, reason=reason
            )
        ]

    def _up(self, task: assignments.Task, wall_ms: int) -> bool:
        """Whether an instance answers requests."""
        lease = self.leases.by_epoch.get(task.epoch)
        report = self.registry.reports.get(task.worker)
        if not task.live or lease is None or not lease.reported:
            return False
        if wall_ms - task.assigned_ms >= UP_AFTER_MS:
            return True
        name = f"{task.task}@{task.epoch}"
        return report is not None and any(
            upstream.id == name and not upstream.leaving
            for upstream in report.heartbeat.upstreams
        )
