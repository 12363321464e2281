"""Processes the heartbeats of agents on the leader and builds the replies.

A heartbeat lists all tasks that the agent holds. The leader first commits the
ends of tasks, then replies with lease renewals for tasks whose epoch is
current, start orders for assignments that the agent doesn't hold yet, and stop
orders for running tasks without a current assignment. A reported end that is
committed, or that belongs to an old epoch, is acknowledged by a "forget" order.

An epoch is started at most once. If the agent doesn't hold an assignment that a
former leader may have ordered it to start, or that a former incarnation of the
agent may have started, the assignment is ended: no other start order is sent.

An agent processes one heartbeat at a time and drops replies to older ones. An
assignment that is missing from a heartbeat newer than the one whose reply
carried its start order is therefore not held by the agent.
"""

from collections.abc import Callable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter.coordination.policies import crash_attribution
from bamboorouter.coordination.scheduling import crash_evidence
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import assignments
from bamboorouter.state import machine

# A "resume" order is not acknowledged, so it is sent this many times.
RESUME_REPEATS: Final = 3

Action = Literal["evict", "stop", "throttle", "resume", "forget"]


@dataclasses.dataclass(kw_only=True)
class ThrottleTable:
    """Tasks that are throttled, by the epoch of their assignment.

    Attributes:
        throttled_since_ms: Monotonic time in ms since which each task is
            throttled.
        resumes_left: Number of "resume" orders still to be sent to each task.
    """

    throttled_since_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    resumes_left: dict[int, int] = dataclasses.field(default_factory=dict)

    def throttle(self, epoch: int, now: clock.Millis) -> None:
        """Throttles a task from now on."""
        self.resumes_left.pop(epoch, None)
        self.throttled_since_ms[epoch] = now

    def resume(self, epoch: int) -> None:
        """Ends the throttling of a task."""
        self.throttled_since_ms.pop(epoch, None)
        self.resumes_left[epoch] = RESUME_REPEATS

    def drop(self, epoch: int) -> None:
        """Discards the state of a task that ended."""
        self.throttled_since_ms.pop(epoch, None)
        self.resumes_left.pop(epoch, None)

    def action(self, epoch: int) -> Action | None:
        """Returns the order to send to a running task, or None.

        Each call that returns "resume" uses up one of the repetitions.
        """
        if epoch in self.throttled_since_ms:
            return "throttle"
        remaining = self.resumes_left.get(epoch, 0)
        if not remaining:
            return None
        if remaining == 1:
            del self.resumes_left[epoch]
        else:
            self.resumes_left[epoch] = remaining - 1
        return "resume"


class HeartbeatHandler:
    """Processes heartbeats and builds the replies.

    Attributes:
        registry: Last heartbeat of each agent.
        leases: Leases of live assignments.
        throttles: Tasks that are throttled.
        crash_attribution: Decides which tasks are given up because they crash
            their workers.
        no_retry_reason: Returns why a task that failed on its current worker
            must not be retried; empty if it may be retried.
    """

    def __init__(
        self,
        *,
        registry: worker_registry.WorkerRegistry,
        lease_table: leases.LeaseTable,
        throttles: ThrottleTable,
        no_retry_reason: Callable[[assignments.Task], str] = lambda task: "",
    ) -> None:
        self.registry = registry
        self.leases = lease_table
        self.throttles = throttles
        self.no_retry_reason = no_retry_reason
        self.crash_attribution = crash_attribution.CrashAttribution()

    def process(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        wall_ms: int,
        source: object,
    ) -> list[commands.Command] | None:
        """Records a heartbeat and returns the commands that follow from it.

        Args:
            heartbeat: The heartbeat.
            state: The replicated state.
            now: Monotonic time in ms.
            wall_ms: Wall time in ms since the epoch.
            source: Link on which the heartbeat arrived.

        Returns:
            Commands to commit before the reply is built; None if the heartbeat
            is outdated and is to be answered by an empty reply.
        """
        known = self.registry.reports.get(heartbeat.worker)
        former = known.former if known is not None else None
        freshness = self.registry.accept(heartbeat, now, source)
        if freshness == "stale":
            return None
        changes: list[commands.Command] = []
        if _registration_changed(heartbeat, state):
            changes.append(_registration(heartbeat))
        orphans: list[common.TaskState] = []
        for task_state in heartbeat.tasks:
            task = current_task(state, heartbeat.worker, task_state)
            if task is None:
                if task_state.state == "running":
                    orphans.append(task_state)
                elif _finished_while_pending(state, task_state):
                    changes.append(_reported_finish(task_state))
                continue
            self._update_lease(task, task_state, heartbeat.incarnation, now)
            if task_state.state != "running":
                changes.append(self._end_command(task, task_state))
        report = self.registry.reports[heartbeat.worker]
        report.orphans = tuple(orphans)
        if freshness == "new" and heartbeat.worker_ready:
            changes.extend(self._end_unheld(heartbeat, state))
        return crash_evidence.Evidence(
            heartbeat=heartbeat,
            former=report.former,
            replaced_now=report.former is not former,
            state=state,
            leases=self.leases.by_epoch,
            attribution=self.crash_attribution,
            now=now,
            wall_ms=wall_ms,
        ).added_to(changes)

    def reply(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
        term: int,
    ) -> messages.HeartbeatReply:
        """Builds the reply and grants the leases that it carries.

        This replica must hold a valid leader lease when this is called.

        Args:
            heartbeat: The heartbeat to reply to.
            state: The replicated state.
            now: Monotonic time in ms.
            term: Term in which this replica leads.
        """
        renewals: list[messages.Renewal] = []
        orders: list[messages.TaskOrder] = []
        for task_state in heartbeat.tasks:
            task = current_task(state, heartbeat.worker, task_state)
            action = self._next_action(task, task_state)
            if task is not None and task_state.state == "running":
                renewals.append(self._renew(task, now))
            if action is not None:
                orders.append(
                    messages.TaskOrder(
                        task=task_state.task,
                        epoch=task_state.epoch,
                        action=action,
                    )
                )
        drains = state.workers.drains
        return messages.HeartbeatReply(
            sequence=heartbeat.sequence,
            leader_term=term,
            revision=state.config_revision,
            renewals=tuple(renewals),
            starts=tuple(self._start_orders(heartbeat, state, now)),
            orders=tuple(orders),
            drained=tuple(
                upstream.id
                for upstream in heartbeat.upstreams
                if upstream_drained(state, upstream.id)
            ),
            worker_drained=heartbeat.worker in drains,
            leader_ms=now,
        )

    def _update_lease(
        self,
        task: assignments.Task,
        task_state: common.TaskState,
        incarnation: int,
        now: clock.Millis,
    ) -> None:
        lease = self._lease_of(task, now)
        if (
            not lease.reported
            and task.epoch not in self.throttles.throttled_since_ms
        ):
            # A former leader may have throttled the task. This leader can't
            # know whether it did and therefore resumes the task.
            self.throttles.resume(task.epoch)
        lease.reported = True
        lease.reported_by = incarnation
        if task_state.started and lease.begun_ms is None:
            lease.begun_ms = now
        if task_state.checkpoint and task_state.checkpoint != lease.checkpoint:
            lease.checkpoint = task_state.checkpoint
            lease.checkpoint_at_ms = now

    def _end_command(
        self, task: assignments.Task, task_state: common.TaskState
    ) -> commands.Command:
        """Returns the command that records the reported end of a task."""
        if task_state.state in ("evicted", "stopped"):
            if task.status == "evicting":
                return commands.ConfirmEviction(
                    task=task.task,
                    epoch=task.epoch,
                    checkpoint=task_state.checkpoint,
                )
            return _reported_end(task, task_state, "stopped")
        if task_state.state == "failed" and task.kind == "batch":
            reason = self.no_retry_reason(task)
            if reason:
                return _reported_end(task, task_state, "given_up", reason)
        return _reported_end(task, task_state, task_state.state)

    def _end_unheld(
        self, heartbeat: messages.Heartbeat, state: machine.Machine
    ) -> list[commands.Command]:
        """Returns commands that end assignments that the agent doesn't hold.

        An assignment that only waits for its start order isn't ended.
        """
        held = {
            (task_state.task, task_state.epoch)
            for task_state in heartbeat.tasks
        }
        ends: list[commands.Command] = []
        for task in state.assignments.worker_tasks(heartbeat.worker):
            if (task.task, task.epoch) in held:
                continue
            lease = self.leases.by_epoch.get(task.epoch)
            if lease is None:
                continue
            if lease.reported:
                ends.append(_end_task(task, "lost", lease, "lost by worker"))
            elif self._start_not_accepted(lease, heartbeat):
                if not lease.may_start_in(heartbeat.incarnation):
                    ends.append(
                        _end_task(task, "lost", lease, "agent restarted")
                    )
                elif _start_cancelled(task, heartbeat):
                    ends.append(
                        _end_task(task, "stopped", lease, "not started")
                    )
        return ends

    def _start_not_accepted(
        self, lease: leases.Lease, heartbeat: messages.Heartbeat
    ) -> bool:
        """Whether the agent has certainly not accepted any start order so far.

        The assignment is missing from the heartbeat. If this leader sent the
        start order to the same incarnation, a heartbeat newer than the one
        whose reply carried the order proves this. Otherwise a former leader may
        have ordered the start, or a former incarnation may have received the
        order, and the heartbeat must be proven recent.
        """
        if lease.start_heartbeat is not None:
            incarnation, sequence = lease.start_heartbeat
            if incarnation == heartbeat.incarnation:
                return sequence < heartbeat.sequence
        return self.registry.reports[heartbeat.worker].proven_recent

    def _next_action(
        self, task: assignments.Task | None, task_state: common.TaskState
    ) -> Action | None:
        if task is None:
            return "stop" if task_state.state == "running" else "forget"
        if task_state.state != "running":
            return None
        if task.stopping:
            return "stop"
        if task.status == "evicting":
            return "stop" if task.kind == "service" else "evict"
        return self.throttles.action(task.epoch)

    def _renew(
        self, task: assignments.Task, now: clock.Millis
    ) -> messages.Renewal:
        lease = self._lease_of(task, now)
        self.leases.grant(lease, now)
        return messages.Renewal(
            task=task.task, epoch=task.epoch, term_ms=lease.term_ms
        )

    def _start_orders(
        self,
        heartbeat: messages.Heartbeat,
        state: machine.Machine,
        now: clock.Millis,
    ) -> list[messages.StartOrder]:
        if not heartbeat.worker_ready or heartbeat.leaving:
            return []
        held = {
            (task_state.task, task_state.epoch)
            for task_state in heartbeat.tasks
        }
        starts: list[messages.StartOrder] = []
        for task in state.assignments.worker_tasks(heartbeat.worker):
            row = state.plan.row(task.row)
            if (task.task, task.epoch) in held or row is None:
                continue
            if task.status != "assigned" or task.stopping:
                continue
            lease = self._lease_of(task, now)
            if not lease.may_start_in(heartbeat.incarnation):
                continue
            self.leases.grant(lease, now)
            lease.start_heartbeat = (heartbeat.incarnation, heartbeat.sequence)
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

    def _lease_of(
        self, task: assignments.Task, now: clock.Millis
    ) -> leases.Lease:
        """Returns the lease of a live assignment, creating it if missing.

        The lease is missing if the assignment was committed but its result
        didn't reach this leader. No order was sent under it in that case.
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
    state: machine.Machine, worker: str, task_state: common.TaskState
) -> assignments.Task | None:
    """Returns the task if a reported state belongs to its current assignment.

    None if the agent reports a former assignment or an unknown task.
    """
    task = state.assignments.tasks.get(task_state.task)
    if task is None or not task.live or task.epoch != task_state.epoch:
        return None
    return task if task.worker == worker else None


def upstream_drained(state: machine.Machine, upstream: str) -> bool:
    """Whether an upstream, or the service task behind it, is drained."""
    drains = state.workers.drains
    return upstream in drains or upstream.partition("@")[0] in drains


def _end_task(
    task: assignments.Task, outcome: str, lease: leases.Lease, detail: str
) -> commands.EndTask:
    return commands.EndTask(
        task=task.task,
        epoch=task.epoch,
        outcome=outcome,
        checkpoint=lease.checkpoint,
        detail=detail,
    )


def _finished_while_pending(
    state: machine.Machine, task_state: common.TaskState
) -> bool:
    """Whether a batch task that waits for a retry is reported as finished.

    The leader may have ended the assignment, for example because the lease
    expired, although the task had finished. As long as the task isn't assigned
    again, the report is accepted, so that the work isn't repeated.
    """
    task = state.assignments.tasks.get(task_state.task)
    return (
        task is not None
        and task_state.state == "finished"
        and (task.kind, task.status) == ("batch", "pending")
        and task.epoch == task_state.epoch
    )


def _reported_finish(task_state: common.TaskState) -> commands.EndTask:
    return commands.EndTask(
        task=task_state.task,
        epoch=task_state.epoch,
        outcome="finished",
        checkpoint=task_state.checkpoint,
        detail=task_state.detail,
    )


def _reported_end(
    task: assignments.Task,
    task_state: common.TaskState,
    outcome: str,
    detail: str = "",
) -> commands.EndTask:
    return commands.EndTask(
        task=task.task,
        epoch=task.epoch,
        outcome=outcome,
        checkpoint=task_state.checkpoint,
        detail=detail or task_state.detail,
    )


def _start_cancelled(
    task: assignments.Task, heartbeat: messages.Heartbeat
) -> bool:
    """Whether an assignment gets no start order because it is being ended.

    The agent never holds such a task, so it won't report its end.
    """
    return bool(task.stopping or task.status == "evicting" or heartbeat.leaving)


def _registration_changed(
    heartbeat: messages.Heartbeat, state: machine.Machine
) -> bool:
    # An agent without a worker reports no capacity and isn't registered.
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
