"""The leader's loop: assigns waiting tasks and ends expired assignments.

It sleeps until something happens that may change a decision (a task ended, a
worker or job appeared, a drain ended) or until the next deadline (a lease, a
retry, the end of a quarantine). Every decision is committed before anyone is
told of it. All soft state is rebuilt when the replica begins to lead.
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
from bamboorouter.coordination.scheduling import faults
from bamboorouter.coordination.scheduling import heartbeats
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import measurements
from bamboorouter.coordination.scheduling import moves
from bamboorouter.coordination.scheduling import pressure
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import messages

PROPOSE_TIMEOUT_MS: Final = 2000
# Passes that follow each other faster share one log entry instead.
PASS_PAUSE_MS: Final = 20
# A heartbeat that reported an end waits this long for the next assignments,
# so that its answer can carry their start orders.
PASS_WAIT_MS: Final = 200
MAX_SLEEP_MS: Final = 5000
RELIEF_PERIOD_MS: Final = 1000
# A worker that refused a start holds something the leader doesn't know.
REFUSED_PAUSE_MS: Final = 2000
# After an election, and when the first workers of a site appear, most workers
# are heard within this time; assigning earlier would fill the first ones.
SETTLE_MS: Final = 1200
# While tasks wait, workers that fall silent or come back are noticed.
WAITING_SLEEP_MS: Final = 1000


class Scheduler:
    """Decides while its replica leads.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        registry: What agents last reported.
        leases: Leases of live assignments.
        throttles: Which tasks are to be throttled.
        planner: Plans the assignments of a pass.
        measurements: What late usage reports taught.
        pressure: Decides which batch tasks give way.
        moves: Moves tasks off drained workers.
        faults: Finds jobs and workers at fault.
        heartbeats: Reads heartbeats and builds the answers.
        waiting_reasons: Why rows wait, from the last pass.
        settle_ms: How long assignments wait for all workers to be heard.
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
        self.throttles = heartbeats.Throttles()
        self.measurements = measurements.Measurements(
            size=policies.sizes,
            disturb=policies.interference,
            throttles=self.throttles,
        )
        self.planner = assignment_planner.AssignmentPlanner(
            registry=self.registry,
            order=policies.order,
            place=policies.placement,
            size=policies.sizes,
            measured=self.measurements,
        )
        self.pressure = pressure.Pressure(
            policy=policies.eviction,
            measured=self.measurements,
            lease_table=self.leases,
            throttles=self.throttles,
        )
        self.moves = moves.Moves(
            registry=self.registry, lease_table=self.leases
        )
        self.faults = faults.Faults(
            policy=policies.fault_attribution,
            planner=self.planner,
            lease_table=self.leases,
        )
        self.heartbeats = heartbeats.HeartbeatHandler(
            registry=self.registry,
            lease_table=self.leases,
            throttles=self.throttles,
            at_fault=self.faults.at_fault,
        )
        self.waiting_reasons: dict[str, str] = {}
        self.settle_ms = settle_ms
        self._settled_at = 0
        self._expected: set[str] = set()
        self._relieved = 0
        self._wake = asyncio.Event()
        self._pass_done = asyncio.Event()
        self._leads_term: int | None = None
        self._retry_at: int | None = None
        self._loop: asyncio.Task[None] | None = None
        self._subscription: reactivex.abc.DisposableBase | None = None

    def start(self) -> None:
        """Begins to follow leadership; the loop decides while it lasts."""
        self._subscription = self.log.leadership.subscribe(self._lead)
        self._loop = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops deciding."""
        if self._subscription is not None:
            self._subscription.dispose()
        if self._loop is not None:
            self._loop.cancel()
            await asyncio.gather(self._loop, return_exceptions=True)

    def wake(self) -> None:
        """Asks for a pass soon."""
        self._wake.set()

    async def heartbeat(
        self, message: messages.Heartbeat, source: object
    ) -> messages.HeartbeatReply | None:
        """Answers an agent.

        Args:
            message: The heartbeat.
            source: Link on which it arrived.

        Returns:
            The answer; None if this replica may not decide now.
        """
        state = self.log.machine
        if not state.workers.by_name:
            self._settled_at = self.clock.now() + self.settle_ms
        before = self._room_hint(message.worker)
        found = self.heartbeats.read(message, state, self.clock.now(), source)
        if found is None:
            return messages.HeartbeatReply(
                sequence=message.sequence,
                leader_term=self.log.term(),
                revision=state.config_revision,
            )
        self._learn(message)
        if found:
            await self.propose(found)
            await self._pass()
        elif self._room_hint(message.worker) != before:
            self.wake()
        if not self.log.lease_valid():
            return None
        return self.heartbeats.reply(
            message, state, self.clock.now(), self.log.term()
        )

    def _learn(self, message: messages.Heartbeat) -> None:
        now = self.clock.now()
        self.measurements.observe(
            message, self.log.machine, now, self.clock.wall()
        )
        if any(
            report.state == "stopped"
            and report.detail == error_texts.NO_CAPACITY
            for report in message.tasks
        ):
            self.planner.paused[message.worker] = now + REFUSED_PAUSE_MS
        slow = self.measurements.slowdown(message.worker, now)
        if (
            slow >= eviction.SLOWDOWN_THRESHOLD
            and now - self._relieved >= RELIEF_PERIOD_MS
        ):
            self.wake()

    def _room_hint(self, worker: str) -> tuple[bool, int]:
        """Returns what decides about room on a worker beside assignments."""
        report = self.registry.reports.get(worker)
        orphans = len(report.orphans) if report is not None else 0
        now = self.clock.now()
        return self.registry.takes_tasks(worker, now), orphans

    async def propose(
        self, found: Iterable[commands.Command]
    ) -> list[commands.Result | None]:
        """Commits commands together.

        Returns:
            Their results; None where nothing was proposed or the result is
            unknown.
        """
        return await asyncio.gather(*(self._propose(c) for c in found))

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
        self._note(command, result)
        return result

    def _note(self, command: commands.Command, result: commands.Result) -> None:
        """Follows a committed command in the soft state."""
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
                self.faults.registered_at = self.clock.now()
            case commands.EndTask() | commands.ConfirmEviction():
                if isinstance(command, commands.EndTask):
                    self.faults.observe(
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
                self._note_assignment(command, result)

    def _count_end(
        self, command: commands.EndTask | commands.ConfirmEviction
    ) -> None:
        row = self.log.machine.plan.row(command.task.rpartition("/")[0])
        if row is not None:
            outcome = getattr(command, "outcome", "evicted")
            kind = "service" if row.kind == "service" else "batch"
            metrics.TASKS_ENDED.labels(kind, row.owner, outcome).inc()

    def _note_assignment(
        self, command: commands.Assign, result: commands.Result
    ) -> None:
        task = self.log.machine.assignments.tasks.get(command.task)
        epoch = result.data["epoch"]
        if task is None or task.epoch != epoch or not task.live:
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

    def _lead(self, leadership: replicated_log.Leadership) -> None:
        metrics.LEADS.set(int(leadership.leads))
        leads_term = leadership.term if leadership.leads else None
        if leads_term is not None and leads_term != self._leads_term:
            self._take_over()
        self._leads_term = leads_term
        self._wake.set()

    def _take_over(self) -> None:
        """Rebuilds the soft state: all leases count as granted now."""
        now = self.clock.now()
        self._settled_at = now + self.settle_ms
        self._expected = set(self.log.machine.workers.by_name)
        self.registry.reset(now)
        self.leases.reset()
        self.throttles.wanted.clear()
        self.throttles.resuming.clear()
        self.waiting_reasons.clear()
        self.measurements.reset()
        self.pressure.reset()
        self.planner.paused.clear()
        self.planner.failures.clear()
        self.faults.take_over(self.log.machine, now)
        self._track_all(granted=True)
        events.log(
            events.SCHEDULER_LEADS,
            term=self.log.term(),
            assignments=len(self.leases.by_epoch),
            waiting=self.log.machine.assignments.waiting(),
        )

    def _untracked(self) -> bool:
        """Whether an assignment exists whose result this leader missed."""
        on_worker = self.log.machine.assignments.on_worker
        live = sum(len(tasks) for tasks in on_worker.values())
        return live != len(self.leases.by_epoch)

    def _track_all(self, *, granted: bool) -> None:
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
            if self._leads_term is None or not self.log.lease_valid():
                continue
            try:
                more = await self.decide()
            except Exception as err:  # pylint: disable=broad-except
                # A leader that decides nothing any more is worse than one
                # whose pass failed; the next pass starts from the state.
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
        """Returns the time until the next deadline."""
        limit = MAX_SLEEP_MS
        if (
            self.log.machine.assignments.pending
            or self.leases.ungranted
            or self.throttles.wanted
            or self.moves.under_way
        ):
            limit = WAITING_SLEEP_MS
        times = [limit]
        if not self._settled():
            times.append(self._settled_at - self.clock.now())
        deadline = self.leases.next_deadline()
        if deadline is not None:
            times.append(deadline - self.clock.now())
        if self._retry_at is not None:
            times.append(self._retry_at - self.clock.wall())
        return max(min(times), 1)

    async def _pass(self) -> None:
        """Waits for the next pass to end, within a limit."""
        done = self._pass_done
        self.wake()
        try:
            async with asyncio.timeout(clock.seconds(PASS_WAIT_MS)):
                await done.wait()
        except TimeoutError:
            pass

    async def decide(self) -> bool:
        """Makes one pass; returns whether another one is due at once."""
        if self._untracked():
            self._track_all(granted=False)
        await self.propose(self._expired())
        if not self._settled():
            return False
        state = self.log.machine
        now, wall_ms = self.clock.now(), self.clock.wall()
        plan = self.planner.plan(state, now, wall_ms)
        await self.propose(plan.assignments)
        self.waiting_reasons = {
            item.row.name: item.reason for item in plan.unplaced
        }
        self._retry_at = plan.retry_at
        found = [
            *self.faults.decide(state, plan, now, wall_ms),
            *self.pressure.make_room(plan, state, now, wall_ms),
            *self._relief(now, wall_ms),
        ]
        if self.moves.due(state, wall_ms):
            found.extend(self._forgotten(now))
            found.extend(self.moves.decide(state, wall_ms))
        await self.propose(found)
        replaced = any(isinstance(c, commands.ReplaceInstance) for c in found)
        return plan.more or replaced

    def _forgotten(self, now: clock.Millis) -> list[commands.ForgetWorker]:
        state = self.log.machine
        gone = self.registry.gone(state.workers.by_name, now)
        for worker in gone:
            self.registry.reports.pop(worker, None)
        return [
            commands.ForgetWorker(worker=worker)
            for worker in gone
            if worker not in state.assignments.on_worker
        ]

    def _relief(
        self, now: clock.Millis, wall_ms: int
    ) -> list[commands.EvictTask]:
        if now - self._relieved < RELIEF_PERIOD_MS:
            return []
        self._relieved = now
        return self.pressure.relieve(self.log.machine, now, wall_ms)

    def _settled(self) -> bool:
        """Whether workers were given the time to be heard."""
        if self.clock.now() >= self._settled_at:
            return True
        heard = self.registry.reports.keys()
        return bool(self._expected) and self._expected <= heard

    def _expired(self) -> list[commands.EndTask]:
        """Returns the ends of assignments whose worker is silent."""
        now = self.clock.now()
        found = self.leases.expired(now)
        for epoch in self.leases.ungranted:
            lease = self.leases.by_epoch[epoch]
            if not self.registry.alive(lease.worker, now):
                found.append(lease)
        return [
            commands.EndTask(
                task=lease.task,
                epoch=lease.epoch,
                outcome="lease_expired",
                checkpoint=lease.checkpoint,
                detail=f"worker {lease.worker} is silent",
            )
            for lease in found
        ]
