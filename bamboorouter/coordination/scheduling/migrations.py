"""Migrates tasks off drained workers and replaces outdated instances.

A service instance is migrated make-before-break: a replacement is started as
soon as a worker has room, and the old instance is stopped once the replacement
serves requests. Batch tasks on a drained worker are evicted with a checkpoint.
An instance whose command or size differs from the sheet in force is replaced in
the same way, one instance of each service at a time. If no worker has room for
the replacement of an outdated instance, the old instance is stopped first.
"""

from typing import Final

from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import plan

# An instance that announces no upstream counts as serving after this time.
ASSUMED_SERVING_MS: Final = 5000
# After this time without room for its replacement, an outdated instance is
# stopped first.
NO_ROOM_TIMEOUT_MS: Final = 10_000
DECISION_PERIOD_MS: Final = 1000


class MigrationPlanner:
    """Plans replacements of service instances and evictions for migrations.

    Attributes:
        registry: Last heartbeat of each agent.
        leases: Leases of live assignments.
        in_progress: Whether a task remains to be migrated.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        lease_table: leases.LeaseTable,
    ) -> None:
        self.registry = registry
        self.leases = lease_table
        self.in_progress = False
        # Configuration revision and wall time in ms of the last decisions.
        self._last_decision: tuple[int, int] = (-1, 0)

    def due(self, state: machine.Machine, wall_ms: int) -> bool:
        """Whether to call `decide`: after a change, else each second."""
        revision, decided_ms = self._last_decision
        return (
            state.config_revision != revision
            or abs(wall_ms - decided_ms) >= DECISION_PERIOD_MS
        )

    def decide(
        self,
        state: machine.Machine,
        wall_ms: int,
    ) -> list[commands.Command]:
        """Returns the replacements and evictions that are due.

        Args:
            state: The replicated state.
            wall_ms: Wall time in ms.
        """
        self._last_decision = (state.config_revision, wall_ms)
        self.in_progress = False
        decisions: list[commands.Command] = []
        for target in state.workers.drains:
            for task in state.assignments.worker_tasks(target):
                self.in_progress = True
                decisions.extend(
                    self._migrate(task, state, wall_ms, "worker drained")
                )
        for name in list(state.plan.services):
            outdated = self._next_outdated(name, state)
            if outdated is not None:
                self.in_progress = True
                decisions.extend(
                    self._migrate(outdated, state, wall_ms, "new sheet")
                )
        return decisions

    def _next_outdated(
        self, service: str, state: machine.Machine
    ) -> assignments.Task | None:
        """Returns the instance of a service to replace next, or None.

        An instance whose replacement already exists comes first. This includes
        an instance whose replacement was begun by a drain that has since ended.
        """
        spec = plan.spec_digest(state.plan.services[service])
        tasks = state.assignments.tasks
        outdated = [
            task
            for task in state.assignments.tasks_of_row(service)
            if task.live
            and not task.stopping
            and (task.spec != spec or task.replacement in tasks)
            and task.worker not in state.workers.drains
        ]
        return min(
            outdated,
            key=lambda task: (
                task.replacement not in tasks,
                task.number,
            ),
            default=None,
        )

    def _migrate(
        self,
        task: assignments.Task,
        state: machine.Machine,
        wall_ms: int,
        reason: str,
    ) -> list[commands.Command]:
        if task.status != "assigned" or task.stopping:
            return []
        # For a service instance this is an order to stop.
        evict = commands.EvictTask(
            task=task.task, epoch=task.epoch, reason=reason
        )
        if task.kind == "batch":
            return [evict]
        replacement = state.assignments.tasks.get(task.replacement)
        if replacement is not None:
            waited_ms = wall_ms - replacement.submitted_ms
            no_room = (
                replacement.status == "pending"
                and waited_ms >= NO_ROOM_TIMEOUT_MS
            )
            stop_first = no_room and task.worker not in state.workers.drains
            ready = stop_first or self._is_serving(replacement, wall_ms)
            return [evict] if ready else []
        return [
            commands.ReplaceInstance(
                task=task.task, epoch=task.epoch, reason=reason
            )
        ]

    def _is_serving(self, task: assignments.Task, wall_ms: int) -> bool:
        """Whether an instance serves requests.

        An instance that its agent has reported does so if it announces an
        upstream, or once it has been assigned for `ASSUMED_SERVING_MS`.
        """
        lease = self.leases.by_epoch.get(task.epoch)
        report = self.registry.reports.get(task.worker)
        if not task.live or lease is None or not lease.reported:
            return False
        if wall_ms - task.assigned_ms >= ASSUMED_SERVING_MS:
            return True
        name = f"{task.task}@{task.epoch}"
        return report is not None and any(
            upstream.id == name and not upstream.leaving
            for upstream in report.heartbeat.upstreams
        )
