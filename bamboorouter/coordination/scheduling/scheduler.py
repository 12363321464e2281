"""Runs the scheduling loop of the leader.

The loop assigns waiting tasks, ends expired assignments, and decides on
evictions, migrations and quarantines. It sleeps until an event may change a
decision (a task ended, a worker or job was added, a drain ended) or until the
next deadline (a lease, a retry, the end of a quarantine). Every decision is
committed before an agent or entry learns of it. All soft state is rebuilt when
the replica becomes leader.
"""

import asyncio
from collections.abc import Iterable
from typing import Final

import reactivex.abc

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import supervision
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import bundle
from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.scheduling import assignment_planner
from bamboorouter.coordination.scheduling import eviction_planner
from bamboorouter.coordination.scheduling import fault_detector
from bamboorouter.coordination.scheduling import heartbeats
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import measurements
from bamboorouter.coordination.scheduling import migrations
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import messages
from bamboorouter.state import machine
from bamboorouter.state import sheet_crashes

PROPOSE_TIMEOUT_MS: Final = 2000
# Pause between passes, so that changes in quick succession are handled by one
# pass and share one log entry.
PASS_PAUSE_MS: Final = 20
# A heartbeat that reported the end of a task waits this long for the next pass,
# so that its reply can carry start orders for the new assignments.
PASS_WAIT_MS: Final = 200
MAX_SLEEP_MS: Final = 5000
RELIEF_PERIOD_MS: Final = 1000
# A worker that refuses a start for lack of capacity holds a task unknown to the
# leader. No task is assigned to the worker for this time.
REFUSED_START_PAUSE_MS: Final = 2000
# After an election, and when the first workers of a site register, most workers
# send a heartbeat within this time. Assigning tasks earlier would fill up the
# first workers.
SETTLE_MS: Final = 1200
# While tasks wait, the loop wakes up this often to notice workers that became
# silent or reachable again.
WAITING_SLEEP_MS: Final = 1000


class Scheduler:
    """Makes all scheduling decisions while its replica is leader.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        registry: Last heartbeat of each agent.
        leases: Leases of live assignments.
        throttles: Tasks that are throttled.
        planner: Plans the assignments of a pass.
        measurements: Sizes and interference learned from usage reports.
        eviction_planner: Plans evictions and throttling.
        migrations: Plans migrations off drained workers and replacements of
            outdated instances.
        fault_detector: Detects faulty jobs and workers.
        heartbeats: Processes heartbeats and builds the replies.
        waiting_reasons: By row, why its tasks wait, from the last pass.
        settle_ms: Longest time in ms for which assignments are delayed after an
            election, so that all workers can send a heartbeat first.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        service_lease_ms: int,
        batch_lease_ms: int,
        settle_ms: int = SETTLE_MS,
        policies: bundle.Policies | None = None,
    ) -> None:
        policies = policies or bundle.product()
        self.log = log
        self.clock = time
        self.registry = worker_registry.WorkerRegistry()
        self.leases = leases.LeaseTable(
            service_ms=service_lease_ms, batch_ms=batch_lease_ms
        )
        self.throttles = heartbeats.ThrottleTable()
        self.measurements = measurements.Measurements(
            size_estimates=policies.sizes,
            interference_model=policies.interference,
            throttles=self.throttles,
        )
        self.planner = assignment_planner.AssignmentPlanner(
            registry=self.registry,
            order_policy=policies.order,
            placement_policy=policies.placement,
            size_estimates=policies.sizes,
            usage_measurements=self.measurements,
        )
        self.eviction_planner = eviction_planner.EvictionPlanner(
            policy=policies.eviction,
            usage_measurements=self.measurements,
            lease_table=self.leases,
            throttles=self.throttles,
        )
        self.migrations = migrations.MigrationPlanner(
            registry=self.registry, lease_table=self.leases
        )
        self.fault_detector = fault_detector.FaultDetector(
            policy=policies.fault_attribution,
            planner=self.planner,
            lease_table=self.leases,
        )
        self.heartbeats = heartbeats.HeartbeatHandler(
            registry=self.registry,
            lease_table=self.leases,
            throttles=self.throttles,
            no_retry_reason=self.fault_detector.no_retry_reason,
        )
        self.waiting_reasons: dict[str, str] = {}
        self.settle_ms = settle_ms
        self._settled_ms = 0
        self._expected_workers: set[str] = set()
        self._relieved_ms = 0
        self._wake = asyncio.Event()
        self._pass_done = asyncio.Event()
        self._leading_term: int | None = None
        self._retry_at_ms: int | None = None
        self._loop: asyncio.Task[None] | None = None
        self._subscription: reactivex.abc.DisposableBase | None = None

    def start(self) -> None:
        """Subscribes to leadership changes and starts the loop."""
        self._subscription = self.log.leadership.subscribe(
            self._leadership_changed
        )
        self._loop = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops the loop."""
        if self._subscription is not None:
            self._subscription.dispose()
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def wake(self) -> None:
        """Requests a pass as soon as possible."""
        self._wake.set()

    async def heartbeat(
        self, message: messages.Heartbeat, source: object
    ) -> messages.HeartbeatReply | None:
        """Processes a heartbeat of an agent.

        Args:
            message: The heartbeat.
            source: Link on which the heartbeat arrived.

        Returns:
            The reply; None if this replica holds no valid leader lease.
        """
        state = self.log.machine
        if not state.workers.by_name:
            self._settled_ms = self.clock.now() + self.settle_ms
        former_availability = self._availability(message.worker)
        changes = self.heartbeats.process(
            message, state, self.clock.now(), self.clock.wall(), source
        )
        if changes is None:
            return messages.HeartbeatReply(
                sequence=message.sequence,
                leader_term=self.log.term(),
                revision=state.config_revision,
            )
        self._record_usage(message)
        if changes:
            await self.propose(changes)
            await self._wait_for_pass()
        elif self._availability(message.worker) != former_availability:
            self.wake()
        if not self.log.lease_valid():
            return None
        return self.heartbeats.reply(
            message, state, self.clock.now(), self.log.term()
        )

    def _record_usage(self, message: messages.Heartbeat) -> None:
        now = self.clock.now()
        self.measurements.observe(
            message, self.log.machine, now, self.clock.wall()
        )
        if any(
            task_state.state == "stopped"
            and task_state.detail == error_texts.NO_CAPACITY
            for task_state in message.tasks
        ):
            self.planner.paused_until_ms[message.worker] = (
                now + REFUSED_START_PAUSE_MS
            )
        slowdown = self.measurements.slowdown(message.worker, now)
        if (
            slowdown >= eviction.SLOWDOWN_THRESHOLD
            and now - self._relieved_ms >= RELIEF_PERIOD_MS
        ):
            self.wake()

    def _availability(self, worker: str) -> tuple[bool, int]:
        """Returns the soft state that affects the free capacity of a worker.

        A pass is due if this changes, even if no assignment changes.

        Returns:
            Whether the worker accepts tasks, and its number of orphaned tasks.
        """
        report = self.registry.reports.get(worker)
        orphans = len(report.orphans) if report is not None else 0
        now = self.clock.now()
        return self.registry.accepts_tasks(worker, now), orphans

    async def propose(
        self, proposals: Iterable[commands.Command]
    ) -> list[commands.Result | None]:
        """Proposes commands concurrently.

        Args:
            proposals: The commands.

        Returns:
            Their results in the same order; None where the command was not
            proposed or its result is unknown.
        """
        return await asyncio.gather(*(self._propose(c) for c in proposals))

    async def _propose(
        self, command: commands.Command
    ) -> commands.Result | None:
        try:
            result = await self.log.propose(
                command, timeout_ms=PROPOSE_TIMEOUT_MS
            )
        except errors.NotLeaderError:
            return None
        except (errors.UnknownResultError, errors.RefusedError) as err:
            events.log(
                events.DECISION_UNKNOWN,
                command=type(command).__name__,
                error=str(err),
            )
            return None
        self._apply_result(command, result)
        return result

    def _apply_result(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        """Updates the soft state, log and metrics for a committed command."""
        if not result.ok:
            events.log(
                events.DECISION_REFUSED,
                command=type(command).__name__,
                code=result.code,
                text=result.text,
            )
            return
        match command:
            case commands.RegisterWorker():
                self.fault_detector.registered_ms = self.clock.now()
            case commands.EndTask() | commands.ConfirmEviction():
                if isinstance(command, commands.EndTask):
                    _log_crash(command, self.log.machine)
                    if result.data.get("state") == sheet_crashes.CRASH_COUNTED:
                        # The end itself was recorded earlier.
                        return
                    self.fault_detector.observe(
                        command, self.log.machine, self.clock.now()
                    )
                self.leases.drop(command.epoch)
                self.throttles.drop(command.epoch)
                events.log(
                    events.TASK_ENDED,
                    task=command.task,
                    epoch=command.epoch,
                    outcome=getattr(command, "outcome", "evicted"),
                    state=result.data.get("state"),
                )
                self._count_end(command)
            case commands.Assign():
                self._record_assignment(command, result)

    def _count_end(
        self, command: commands.EndTask | commands.ConfirmEviction
    ) -> None:
        row = self.log.machine.plan.row(command.task.rpartition("/")[0])
        if row is not None:
            outcome = getattr(command, "outcome", "evicted")
            kind = "service" if row.kind == "service" else "batch"
            metrics.TASKS_ENDED.labels(kind, row.owner, outcome).inc()

    def _record_assignment(
        self, command: commands.Assign, result: commands.Result
    ) -> None:
        task = self.log.machine.assignments.tasks.get(command.task)
        epoch = result.data["epoch"]
        if task is None or task.epoch != epoch or not task.live:
            # The assignment has already ended.
            return
        if epoch not in self.leases.by_epoch:
            self.leases.track(
                task=command.task,
                epoch=epoch,
                kind=task.kind,
                worker=command.worker,
                now=self.clock.now(),
            )
        row = self.log.machine.plan.row(task.row)
        if row is not None:
            waited_ms = task.assigned_ms - max(task.submitted_ms, task.ended_ms)
            metrics.TASK_WAIT_SECONDS.labels(
                task.kind, row.owner, str(row.urgency)
            ).observe(clock.seconds(waited_ms))
        events.log(
            events.TASK_ASSIGNED,
            task=command.task,
            epoch=epoch,
            worker=command.worker,
        )

    def _leadership_changed(
        self, leadership: replicated_log.Leadership
    ) -> None:
        metrics.LEADS.set(int(leadership.leads))
        leading_term = leadership.term if leadership.leads else None
        if leading_term is not None and leading_term != self._leading_term:
            self._take_over()
        self._leading_term = leading_term
        self._wake.set()

    def _take_over(self) -> None:
        """Rebuilds the soft state, with all leases counted as granted now."""
        now = self.clock.now()
        self._settled_ms = now + self.settle_ms
        self._expected_workers = set(self.log.machine.workers.by_name)
        self.registry.reset(now)
        self.leases.reset()
        self.throttles.throttled_since_ms.clear()
        self.throttles.resumes_left.clear()
        self.waiting_reasons.clear()
        self.measurements.reset()
        self.eviction_planner.reset()
        self.planner.paused_until_ms.clear()
        self.planner.failures.clear()
        self.heartbeats.crash_attribution.reset()
        self.fault_detector.take_over(self.log.machine, now)
        self._track_all(granted=True)
        events.log(
            events.SCHEDULER_LEADS,
            term=self.log.term(),
            assignments=len(self.leases.by_epoch),
            waiting=self.log.machine.assignments.waiting_count(),
        )

    def _has_untracked_assignment(self) -> bool:
        """Whether the numbers of live assignments and of leases differ.

        They do if a command was committed but its result was not received.
        """
        on_worker = self.log.machine.assignments.on_worker
        live = sum(len(tasks) for tasks in on_worker.values())
        return live != len(self.leases.by_epoch)

    def _track_all(self, *, granted: bool) -> None:
        """Adds missing leases of live assignments and drops those of ended ones.

        Args:
            granted: Whether a former leader made the assignments, so that their
                leases count as granted now.
        """
        now = self.clock.now()
        live = [
            task
            for task in self.log.machine.assignments.tasks.values()
            if task.live
        ]
        self.leases.keep_only(task.epoch for task in live)
        for task in live:
            if task.epoch in self.leases.by_epoch:
                continue
            lease = self.leases.track(
                task=task.task,
                epoch=task.epoch,
                kind=task.kind,
                worker=task.worker,
                now=now,
            )
            if granted:
                lease.inherited = True
                self.leases.grant(lease, now)

    async def _run(self) -> None:
        while True:
            await self._sleep()
            self._wake.clear()
            if self._leading_term is None or not self.log.lease_valid():
                continue
            try:
                more = await self.run_pass()
            except Exception as err:  # pylint: disable=broad-except
                # The loop must survive a failed pass, or the leader would make
                # no more decisions. The next pass starts from the replicated
                # state.
                events.log(events.PASS_FAILED, error=repr(err))
                more = False
            done, self._pass_done = self._pass_done, asyncio.Event()
            done.set()
            if more:
                self._wake.set()
            await asyncio.sleep(clock.seconds(PASS_PAUSE_MS))

    async def _sleep(self) -> None:
        try:
            async with asyncio.timeout(clock.seconds(self.sleep_ms())):
                await self._wake.wait()
        except TimeoutError:
            pass

    def sleep_ms(self) -> int:
        """Returns the time in ms until the next deadline, at least 1."""
        limit = MAX_SLEEP_MS
        if (
            self.log.machine.assignments.pending
            or self.leases.ungranted
            or self.throttles.throttled_since_ms
            or self.migrations.in_progress
        ):
            limit = WAITING_SLEEP_MS
        times = [limit]
        if not self._is_settled():
            times.append(self._settled_ms - self.clock.now())
        deadline = self.leases.next_deadline()
        if deadline is not None:
            times.append(deadline - self.clock.now())
        if self._retry_at_ms is not None:
            times.append(self._retry_at_ms - self.clock.wall())
        return max(min(times), 1)

    async def _wait_for_pass(self) -> None:
        """Requests a pass and waits up to `PASS_WAIT_MS` for its end."""
        done = self._pass_done
        self.wake()
        try:
            async with asyncio.timeout(clock.seconds(PASS_WAIT_MS)):
                await done.wait()
        except TimeoutError:
            pass

    async def run_pass(self) -> bool:
        """Runs one pass; returns whether another one is due immediately."""
        if self._has_untracked_assignment():
            self._track_all(granted=False)
        await self.propose(self._expired_assignments())
        if not self._is_settled():
            return False
        state = self.log.machine
        now, wall_ms = self.clock.now(), self.clock.wall()
        plan = self.planner.plan(state, now, wall_ms)
        await self.propose(plan.assignments)
        self.waiting_reasons = {
            item.row.name: item.reason for item in plan.unplaced
        }
        self._retry_at_ms = plan.retry_at_ms
        # Time has passed, and the state may have changed, during the commit.
        now, wall_ms = self.clock.now(), self.clock.wall()
        candidates = (
            self.planner.candidates(state, now, wall_ms)
            if plan.unplaced
            else []
        )
        followups = [
            *self.fault_detector.decide(state, plan, now, wall_ms),
            *self.eviction_planner.make_room(
                plan, candidates, state, now, wall_ms
            ),
            *self._relieve_services(now, wall_ms),
        ]
        if self.migrations.due(state, wall_ms):
            followups.extend(self._forget_workers(now))
            followups.extend(self.migrations.decide(state, wall_ms))
        await self.propose(followups)
        replaced = any(
            isinstance(c, commands.ReplaceInstance) for c in followups
        )
        return plan.limit_reached or replaced

    def _forget_workers(self, now: clock.Millis) -> list[commands.ForgetWorker]:
        state = self.log.machine
        long_silent = self.registry.long_silent(state.workers.by_name, now)
        for worker in long_silent:
            self.registry.reports.pop(worker, None)
        return [
            commands.ForgetWorker(worker=worker)
            for worker in long_silent
            if worker not in state.assignments.on_worker
        ]

    def _relieve_services(
        self, now: clock.Millis, wall_ms: int
    ) -> list[commands.EvictTask]:
        if now - self._relieved_ms < RELIEF_PERIOD_MS:
            return []
        self._relieved_ms = now
        return self.eviction_planner.relieve(self.log.machine, now, wall_ms)

    def _is_settled(self) -> bool:
        """Whether the settle time is over, so that tasks may be assigned.

        It ends early once all workers known at the election have sent a
        heartbeat.
        """
        if self.clock.now() >= self._settled_ms:
            return True
        heard_workers = self.registry.reports.keys()
        return (
            bool(self._expected_workers)
            and self._expected_workers <= heard_workers
        )

    def _expired_assignments(self) -> list[commands.EndTask]:
        """Returns commands that end expired assignments.

        An assignment expires with its lease or, if the lease was never granted,
        when its worker becomes silent.
        """
        now = self.clock.now()
        expired = self.leases.expired(now)
        for epoch in self.leases.ungranted:
            lease = self.leases.by_epoch[epoch]
            if not self.registry.alive(lease.worker, now):
                expired.append(lease)
        return [
            commands.EndTask(
                task=lease.task,
                epoch=lease.epoch,
                outcome="lease_expired",
                checkpoint=lease.checkpoint,
                detail=f"worker {lease.worker} is silent",
                started=lease.granted_ms is not None,
            )
            for lease in expired
        ]


def _log_crash(command: commands.EndTask, state: machine.Machine) -> None:
    """Logs the crash of a worker under a task, if the command counts one."""
    task = state.assignments.tasks.get(command.task)
    if command.crash is None or task is None:
        return
    events.log(
        events.TASK_CRASH_COUNTED,
        task=command.task,
        epoch=command.epoch,
        outcome=command.outcome,
        crashes=task.crashes,
        early=task.early_crashes,
        age_ms=command.crash.age_ms,
        confirmed=command.crash.confirmed,
    )
