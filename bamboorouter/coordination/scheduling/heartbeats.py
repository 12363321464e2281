"""The leader's side of an agent's heartbeat.

A heartbeat lists everything the agent holds. The leader first commits what
ended, then answers with renewals for tasks whose epoch is current, start
orders for assignments the agent doesn't hold yet, and stop orders for running
tasks without a current assignment. An end that is recorded, or that concerns
an old epoch, is acknowledged by "forget".

An epoch is started at most once. So an assignment that the agent doesn't hold
is ended, not ordered again, if a former leader or a former run of the agent
may have started it.

An agent handles one heartbeat at a time and drops answers to older ones. So an
assignment that is missing from a heartbeat newer than the one whose answer
carried its start order is not held by the agent.
"""

from collections.abc import Callable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import assignments
from bamboorouter.state import machine

# A "resume" order has no confirmation, so it is repeated this often.
RESUME_REPEATS: Final = 3

Action = Literal["evict", "stop", "throttle", "resume", "forget"]


@dataclasses.dataclass(kw_only=True)
class Throttles:
    """Which tasks are to be throttled.

    Attributes:
        wanted: Epochs of throttled tasks, with the monotonic time in ms since
            which they are.
        resuming: Repetitions left of "resume" orders by epoch.
    """

    wanted: dict[int, int] = dataclasses.field(default_factory=dict)
    resuming: dict[int, int] = dataclasses.field(default_factory=dict)

    def throttle(self, epoch: int, now: clock.Millis) -> None:
        """Begins to throttle a task."""
        self.resuming.pop(epoch, None)
        self.wanted[epoch] = now

    def resume(self, epoch: int) -> None:
        """Ends the throttling of a task."""
        self.wanted.pop(epoch, None)
        self.resuming[epoch] = RESUME_REPEATS

    def drop(self, epoch: int) -> None:
        """Forgets a task that ended."""
        self.wanted.pop(epoch, None)
        self.resuming.pop(epoch, None)

    def action(self, epoch: int) -> Action | None:
        """Returns the order that a running task gets with this answer."""
        if epoch in self.wanted:
            return "throttle"
        left = self.resuming.get(epoch, 0)
        if not left:
            return None
        if left == 1:
            del self.resuming[epoch]
        else:
            self.resuming[epoch] = left - 1
        return "resume"


class HeartbeatHandler:
    """Reads heartbeats and builds the answers.

    Attributes:
        registry: What agents last reported.
        leases: Leases of live assignments.
        throttles: Which tasks are to be throttled.
        at_fault: Returns why a task that failed once more, on this worker, is
            not to be repeated; empty if it is.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        lease_table: leases.LeaseTable,
        throttles: Throttles,
        at_fault: Callable[[assignments.Task], str] = lambda task: "",
    ) -> None:
        self.registry = registry
        self.leases = lease_table
        self.throttles = throttles
        self.at_fault = at_fault

    def read(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        source: object,
    ) -> list[commands.Command] | None:
        """Takes over a heartbeat.

        Args:
            heartbeat: The heartbeat.
            state: The replicated state.
            now: Monotonic time in ms.
            source: Link on which it arrived.

        Returns:
            What is to be committed before the answer; None if the heartbeat
            is outdated and gets an empty answer.
        """
        freshness = self.registry.accept(heartbeat, now, source)
        if freshness == "stale":
            return None
        found: list[commands.Command] = []
        if _changed_worker(heartbeat, state):
            found.append(_registration(heartbeat))
        orphans: list[common.TaskState] = []
        for report in heartbeat.tasks:
            task = current_task(state, heartbeat.worker, report)
            if task is None:
                if report.state == "running":
                    orphans.append(report)
                elif _finished_late(state, report):
                    found.append(_reported_finish(report))
                continue
            self._note(task, report, now)
            if report.state != "running":
                found.append(self._ending(task, report))
        self.registry.reports[heartbeat.worker].orphans = tuple(orphans)
        if freshness == "new" and heartbeat.worker_ready:
            found.extend(self._missing(heartbeat, state))
        return found

    def reply(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        term: int,
    ) -> messages.HeartbeatReply:
        """Builds the answer and grants the leases it carries.

        The caller must hold a valid leader lease at this moment.
        """
        renewals: list[messages.Renewal] = []
        orders: list[messages.TaskOrder] = []
        for report in heartbeat.tasks:
            task = current_task(state, heartbeat.worker, report)
            action = self._action(task, report)
            if task is not None and report.state == "running":
                renewals.append(self._renew(task, now))
            if action is not None:
                orders.append(
                    messages.TaskOrder(
                        task=report.task, epoch=report.epoch, action=action
                    )
                )
        drains = state.workers.drains
        return messages.HeartbeatReply(
            sequence=heartbeat.sequence,
            leader_term=term,
            revision=state.config_revision,
            renewals=tuple(renewals),
            starts=tuple(self._starts(heartbeat, state, now)),
            orders=tuple(orders),
            drained=tuple(
                upstream.id
                for upstream in heartbeat.upstreams
                if upstream_drained(state, upstream.id)
            ),
            worker_drained=heartbeat.worker in drains,
            leader_ms=now,
        )

    def _note(
        self,
        task: assignments.Task,
        report: common.TaskState,
        now: clock.Millis,
    ) -> None:
        lease = self._lease(task, now)
        if not lease.reported and task.epoch not in self.throttles.wanted:
            # A former leader may have throttled the task.
            self.throttles.resume(task.epoch)
        lease.reported = True
        if report.checkpoint and report.checkpoint != lease.checkpoint:
            lease.checkpoint = report.checkpoint
            lease.checkpoint_at = now

    def _ending(
        self, task: assignments.Task, report: common.TaskState
    ) -> commands.Command:
        """Returns the command that records a reported end."""
        if report.state in ("evicted", "stopped"):
            if task.status == "evicting":
                return commands.ConfirmEviction(
                    task=task.task,
                    epoch=task.epoch,
                    checkpoint=report.checkpoint,
                )
            return _reported_end(task, report, "stopped")
        if report.state == "failed" and task.kind == "batch":
            reason = self.at_fault(task)
            if reason:
                return _reported_end(task, report, "given_up", reason)
        return _reported_end(task, report, report.state)

    def _missing(
        self, heartbeat: messages.Heartbeat, state: machine.Machine
    ) -> list[commands.Command]:
        """Ends assignments that the agent certainly doesn't hold."""
        held = {(report.task, report.epoch) for report in heartbeat.tasks}
        found: list[commands.Command] = []
        for task in state.assignments.worker_tasks(heartbeat.worker):
            if (task.task, task.epoch) in held:
                continue
            lease = self.leases.by_epoch.get(task.epoch)
            if lease is None:
                continue
            if lease.reported:
                found.append(_end(task, "lost", lease, "lost by worker"))
            elif self._not_held(lease, heartbeat):
                if not lease.may_start_in(heartbeat.incarnation):
                    found.append(_end(task, "lost", lease, "agent restarted"))
                elif _unwanted(task, heartbeat):
                    found.append(_end(task, "stopped", lease, "not started"))
        return found

    def _not_held(
        self, lease: leases.Lease, heartbeat: messages.Heartbeat
    ) -> bool:
        """Whether no start order for a missing task can have been accepted.

        A former leader, or an answer to a former run of the agent, may have
        ordered the start; then the heartbeat must be proven to be recent.
        """
        if lease.granted_in is not None:
            incarnation, sequence = lease.granted_in
            if incarnation == heartbeat.incarnation:
                return sequence < heartbeat.sequence
        return self.registry.reports[heartbeat.worker].proven

    def _action(
        self, task: assignments.Task | None, report: common.TaskState
    ) -> Action | None:
        if task is None:
            return "stop" if report.state == "running" else "forget"
        if report.state != "running":
            return None
        if task.stopping:
            return "stop"
        if task.status == "evicting":
            return "stop" if task.kind == "service" else "evict"
        return self.throttles.action(task.epoch)

    def _renew(
        self, task: assignments.Task, now: clock.Millis
    ) -> messages.Renewal:
        lease = self._lease(task, now)
        self.leases.grant(lease, now)
        return messages.Renewal(
            task=task.task, epoch=task.epoch, term_ms=lease.term_ms
        )

    def _starts(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
    ) -> list[messages.StartOrder]:
        if not heartbeat.worker_ready or heartbeat.leaving:
            return []
        held = {(report.task, report.epoch) for report in heartbeat.tasks}
        starts: list[messages.StartOrder] = []
        for task in state.assignments.worker_tasks(heartbeat.worker):
            row = state.plan.row(task.row)
            if (task.task, task.epoch) in held or row is None:
                continue
            if task.status != "assigned" or task.stopping:
                continue
            lease = self._lease(task, now)
            if not lease.may_start_in(heartbeat.incarnation):
                continue
            self.leases.grant(lease, now)
            lease.granted_in = (heartbeat.incarnation, heartbeat.sequence)
            starts.append(
                messages.StartOrder(
                    task=task.task,
                    epoch=task.epoch,
                    kind=task.kind,
                    lease_ms=lease.term_ms,
                    need=task.need,
                    row=row,
                    resume_from=task.assigned_from,
                )
            )
        return starts

    def _lease(self, task: assignments.Task, now: clock.Millis) -> leases.Lease:
        """Returns the lease of a live assignment.

        It is missing if the result of the assignment was lost after it was
        proposed; then no order was sent under it yet.
        """
        lease = self.leases.by_epoch.get(task.epoch)
        if lease is None:
            lease = self.leases.track(
                task=task.task,
                epoch=task.epoch,
                kind=task.kind,
                worker=task.worker,
                now=now,
            )
        return lease


def current_task(
    state: machine.Machine, worker: str, report: common.TaskState
) -> assignments.Task | None:
    """Returns the task if the report concerns its current assignment."""
    task = state.assignments.tasks.get(report.task)
    if task is None or not task.live or task.epoch != report.epoch:
        return None
    return task if task.worker == worker else None


def upstream_drained(state: machine.Machine, upstream: str) -> bool:
    """Whether an upstream, or the service task behind it, is drained."""
    drains = state.workers.drains
    return upstream in drains or upstream.partition("@")[0] in drains


def _end(
    task: assignments.Task, outcome: str, lease: leases.Lease, detail: str
) -> commands.EndTask:
    return commands.EndTask(
        task=task.task,
        epoch=task.epoch,
        outcome=outcome,
        checkpoint=lease.checkpoint,
        detail=detail,
    )


def _finished_late(state: machine.Machine, report: common.TaskState) -> bool:
    """Whether a task that waits again is reported as finished."""
    task = state.assignments.tasks.get(report.task)
    return (
        task is not None
        and report.state == "finished"
        and (task.kind, task.status) == ("batch", "pending")
        and task.epoch == report.epoch
    )


def _reported_finish(report: common.TaskState) -> commands.EndTask:
    return commands.EndTask(
        task=report.task,
        epoch=report.epoch,
        outcome="finished",
        checkpoint=report.checkpoint,
        detail=report.detail,
    )


def _reported_end(
    task: assignments.Task,
    report: common.TaskState,
    outcome: str,
    detail: str = "",
) -> commands.EndTask:
    return commands.EndTask(
        task=task.task,
        epoch=task.epoch,
        outcome=outcome,
        checkpoint=report.checkpoint,
        detail=detail or report.detail,
    )


def _unwanted(task: assignments.Task, heartbeat: messages.Heartbeat) -> bool:
    """Whether no start order is sent any more."""
    return bool(task.stopping or task.status == "evicting" or heartbeat.leaving)


def _changed_worker(
    heartbeat: messages.Heartbeat, state: machine.Machine
) -> bool:
    if not heartbeat.capacity.slots:
        return False
    worker = state.workers.by_name.get(heartbeat.worker)
    return worker is None or (
        (worker.zone, worker.rack, worker.capacity)
        != (heartbeat.zone, heartbeat.rack, heartbeat.capacity)
    )


def _registration(heartbeat: messages.Heartbeat) -> commands.RegisterWorker:
    return commands.RegisterWorker(
        worker=heartbeat.worker,
        zone=heartbeat.zone,
        rack=heartbeat.rack,
        capacity=heartbeat.capacity,
    )
