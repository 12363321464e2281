"""Dispatches the tasks of multi-step jobs to workers, on the leader.

A dispatch pass runs after each change and at least every
`MAX_PASS_INTERVAL_MS`. It marks runs as lost whose worker's lease has expired,
assigns ready tasks, commits the assignments in one command and only then has
`run_orders` push the orders to the agents.
"""

import asyncio
import contextlib
from typing import Final

import reactivex.abc

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import supervision
from bamboorouter.coordination.jobs import incarnation_ends
from bamboorouter.coordination.jobs import job_proposals
from bamboorouter.coordination.jobs import live_capacities
from bamboorouter.coordination.jobs import observation_recorder
from bamboorouter.coordination.jobs import ready_tasks
from bamboorouter.coordination.jobs import run_ends
from bamboorouter.coordination.jobs import run_measurements
from bamboorouter.coordination.jobs import run_monitor
from bamboorouter.coordination.jobs import run_orders
from bamboorouter.coordination.jobs import shrunk_workers
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.jobs import stop_orders
from bamboorouter.coordination.jobs import worker_capacities
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.transport import link

# Bounds the delay in handling expired leases and due times, which raise no
# event.
MAX_PASS_INTERVAL_MS: Final = 200
# Batches changes that arrive together into one pass.
PASS_BATCHING_MS: Final = 3
# Well below `worker_table.MAX_OBSERVATION_GAP_MS`.
OBSERVATION_PERIOD_MS: Final = 100
# Ended jobs can be read for at least this long, and withdrawn ones are refused.
ENDED_JOB_RETENTION_MS: Final = 600_000
# Keeps a command well below the maximum size of a log entry, and a pass short.
MAX_RUNS_PER_PASS: Final = 256
# Bounds the retries if tasks are assigned again while their ends are committed.
MAX_END_PROPOSALS: Final = 3


class JobDispatcher:
    """Assigns tasks to workers while this replica leads.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        table: Workers that reported to this leader.
        run_monitor: Failures, rejections and speeds of runs.
        interference: How much best-effort images slow down serving images.
        measurements: Utilization of serving runs as measured by workers.
        observations: Replicates observations for later leaders.
        advice: Asks the advice service where advised steps may run.
        stops: Stops that were ordered.
        superseded: Superseded runs that may run although they aren't reported.
        capacities: Capacities of the workers, for admission and placement.
        orders: Sends orders to the agents.
        shrunk: Workers whose runs reserve more than their capacity.
        placement: Chooses workers for ready tasks.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        table: worker_table.WorkerTable,
        advice: start_advice.AdviceSource | None = None,
    ) -> None:
        self.log = log
        self.clock = time
        self.table = table
        self.run_monitor = run_monitor.RunMonitor(time=time)
        self.interference = image_interference.ImageInterference()
        self.measurements = run_measurements.RunMeasurements(
            interference=self.interference
        )
        self.placement: run_placement.RunPlacement = (
            run_placement.MostHeadroomPlacement(interference=self.interference)
        )
        self.observations = observation_recorder.ObservationRecorder(
            log=log, time=time, table=table, interference=self.interference
        )
        self._wake = asyncio.Event()
        self.advice = start_advice.StartAdvice(
            source=advice, time=time, on_answer=self._wake.set
        )
        self.stops = stop_orders.StopTracker(time=time)
        self.superseded = worker_capacities.SupersededRuns()
        self.capacities = live_capacities.LiveCapacities(
            log=log,
            time=time,
            table=table,
            superseded=self.superseded,
            monitor=self.run_monitor,
            measurements=self.measurements,
        )
        self.orders = run_orders.RunOrderSender(
            log=log,
            table=table,
            capacities=self.capacities,
            superseded=self.superseded,
            interference=self.interference,
            advice=self.advice,
            stops=self.stops,
        )
        self.shrunk = shrunk_workers.ShrunkWorkers(time=time)
        self._ended_ms: dict[str, int] = {}
        self._subscriptions: list[reactivex.abc.DisposableBase] = []
        self._loops: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Subscribes to leadership changes and starts the dispatch loop."""
        self._subscriptions = [
            self.log.leadership.subscribe(self._on_leadership_change),
            self.log.applied.subscribe(lambda _: self._wake.set()),
        ]
        self._loops = [
            supervision.start(self._run_loop),
            supervision.start(self._observe_loop),
        ]

    async def stop(self) -> None:
        """Stops the dispatch loop and cancels a pending advice request."""
        for subscription in self._subscriptions:
            subscription.dispose()
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self.advice.stop()

    def wake(self) -> None:
        """Requests a dispatch pass."""
        self._wake.set()

    # --- Reports -------------------------------------------------------------

    async def report(
        self, report: job_messages.WorkerReport, source: link.Link
    ) -> job_messages.WorkerReply:
        """Handles a periodic report of an agent.

        Args:
            report: State of the worker and its runs, and ended runs.
            source: Link on which the report arrived.

        Returns:
            The renewed lease, and orders that the agent doesn't have yet.

        Raises:
            NotLeaderError: This replica doesn't hold the leader lease; the
                report is to be sent again.
            UnknownResultError: The ends of the runs may be committed later.
        """
        self.observations.restore()
        state = self.log.machine.stepped
        incarnation = state.incarnations.get(report.worker)
        current = (
            incarnation is not None
            and incarnation.session == report.session
            and incarnation.life == report.life
        )
        now = self._observe()
        if not current or not self.table.update(report, source, now):
            return self._reply(report, known=False)
        self.superseded.update(report, now)
        self.measurements.update(report, state, now)
        self.run_monitor.record_report(report, state)
        await self._commit_ends(report.ends, report.worker, report.life)
        self._require_lease("report")
        return self._reply(report, known=True)

    async def open_session(
        self, message: job_messages.OpenWorkerSession
    ) -> job_messages.WorkerSession:
        """Opens a session with an incarnation of a worker.

        Args:
            message: The incarnation, its capacity and its ended runs.

        Returns:
            The session number, and whether the session is open. If it isn't,
            runs are still assigned to an earlier incarnation. The agent then
            uses the number to make the worker reject orders for that
            incarnation, and asks again.

        Raises:
            NotLeaderError: Nothing was committed.
            UnknownResultError: The session may be opened later.
        """
        await self._commit_ends(message.ends, message.worker, message.life)
        end = incarnation_ends.incarnation_end(
            message,
            self.log.machine.stepped,
            self.table,
            wall_ms=self.clock.wall(),
        )
        result = await job_proposals.propose(
            self.log,
            job_commands.OpenSession(
                worker=message.worker,
                life=message.life,
                room=message.room,
                fenced=self._is_fenced(message),
                ended=end,
            ),
        )
        events.log(
            events.SESSION_OPENED,
            worker=message.worker,
            life=message.life,
            session=result.data["session"],
            lost=result.data["lost"],
            opened=result.data["opened"],
            term=self.log.term(),
        )
        incarnation_ends.log_end(message, end, result, term=self.log.term())
        return job_messages.WorkerSession(
            number=result.data["session"], opened=result.data["opened"]
        )

    def _is_fenced(self, message: job_messages.OpenWorkerSession) -> bool:
        """Whether the runs that the message would end are fenced off.

        A session that was opened after the fencing token was offered has higher
        tokens: a late message doesn't fence off its runs.
        """
        current = self.log.machine.stepped.incarnations.get(message.worker)
        superseded = (
            current is not None
            and current.life != message.life
            and 0 < message.fence <= current.session
        )
        return message.fenced and not superseded

    def _reply(
        self, report: job_messages.WorkerReport, *, known: bool
    ) -> job_messages.WorkerReply:
        orders = job_messages.RunOrders(term=self.log.term(), life=report.life)
        if known:
            orders = self.orders.missing_orders(report)
        return job_messages.WorkerReply(
            known=known,
            lease_ms=worker_table.LEASE_MS,
            orders=orders,
            disturbances=self.measurements.weights(report.worker),
        )

    # --- Loop ----------------------------------------------------------------

    def _on_leadership_change(
        self, leadership: replicated_log.Leadership
    ) -> None:
        if leadership.leads:
            self.table.reset(self.clock.now())
            self.run_monitor.reset()
            self.stops.reset()
            self.superseded.reset()
            self.shrunk.reset()
            self.measurements.reset()
            self.advice.reset()
            self._ended_ms.clear()
            self._wake.set()

    async def _run_loop(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock.seconds(MAX_PASS_INTERVAL_MS)):
                    await self._wake.wait()
            await asyncio.sleep(clock.seconds(PASS_BATCHING_MS))
            self._wake.clear()
            if not self.log.lease_valid():
                continue
            try:
                await self._run_pass()
            except errors.RouterError as err:
                events.log(
                    events.JOB_DECISION_NOT_COMMITTED,
                    error=str(err),
                    term=self.log.term(),
                )
            except Exception as err:  # pylint: disable=broad-except
                # An unexpected error in one pass must not end the loop.
                events.log(events.DISPATCH_FAILED, error=repr(err))

    async def _observe_loop(self) -> None:
        # A pass may wait for commits, while reports are still received.
        while True:
            self._observe()
            await asyncio.sleep(clock.seconds(OBSERVATION_PERIOD_MS))

    def _observe(self) -> clock.Millis:
        """Records that reports can be received now; returns the time in ms."""
        now = self.clock.now()
        gap_ms = self.table.observe(now) if self.log.lease_valid() else 0
        if gap_ms:
            events.log(
                events.WORKERS_NOT_OBSERVED,
                gap_ms=gap_ms,
                unobserved_ms=self.table.unobserved_ms,
                term=self.log.term(),
            )
        return now

    async def _run_pass(self) -> None:
        self.observations.restore()
        await self.observations.record()
        self._require_lease("expire leases")
        await self._expire_leases()
        self._require_lease("start runs")
        await self._start_ready()
        self._require_lease("stop runs")
        self._order_stops()
        await self._forget_ended()

    def _require_lease(self, step: str) -> None:
        """Checks that this replica still leads after a wait for a commit.

        Raises:
            NotLeaderError: This replica doesn't hold the leader lease.
        """
        if not self.log.lease_valid():
            raise errors.NotLeaderError(leader="", step=step)

    async def _expire_leases(self) -> None:
        state = self.log.machine.stepped
        for worker, tasks in list(state.on_worker.items()):
            now = self._observe()
            lease_end_ms = self.table.lease_end_ms(worker)
            if not tasks or now < lease_end_ms:
                continue
            listed = self.table.listed_runs(
                worker, state.incarnations[worker].life
            )
            ends = [
                jobs.RunEnd(
                    task=ref,
                    attempt=task.attempt,
                    how="lost",
                    started=(ref, task.attempt) in listed,
                )
                for ref, task in tasks.items()
            ]
            events.log(
                events.LEASES_EXPIRED,
                worker=worker,
                runs=len(ends),
                lease_end_ms=lease_end_ms,
                now_ms=now,
                unobserved_ms=self.table.unobserved_ms,
                term=self.log.term(),
            )
            result = await job_proposals.propose(
                self.log,
                job_commands.EndRuns(ends=tuple(ends), tracked=True),
            )
            incarnation_ends.log_given_up(
                result, worker=worker, term=self.log.term()
            )

    async def _start_ready(self) -> None:
        state = self.log.machine.stepped
        ready = ready_tasks.ready_tasks(
            state,
            wall_ms=self.clock.wall(),
            failed_on=self.run_monitor.failed_on,
            overdue=self.run_monitor.overdue_jobs(state),
        )
        ready = [
            task for task in ready if not self.run_monitor.in_backoff(task.ref)
        ]
        if not ready:
            return
        still_running = self._tasks_still_running()
        ready = [task for task in ready if task.ref not in still_running]
        positions = {
            task.ref: position for position, task in enumerate(ready, 1)
        }
        capacities = self.capacities.usable()
        ready = self._with_allowed_workers(ready, capacities)
        placements = self.placement.place(
            ready, capacities, stop_after=MAX_RUNS_PER_PASS
        )
        runs = tuple(
            jobs.RunStart(
                task=placement.task.ref,
                worker=placement.worker.name,
                life=placement.worker.incarnation,
                attempt=placement.task.attempt,
                waiting=len(ready),
                place=positions[placement.task.ref],
            )
            for placement in placements
        )
        if not runs:
            return
        result = await job_proposals.propose(
            self.log,
            job_commands.StartRuns(runs=runs, at_ms=self.clock.wall()),
        )
        refused = set(result.data["refused"])
        started = [
            run for number, run in enumerate(runs) if number not in refused
        ]
        for run in started:
            self.run_monitor.record_assignment(run)
            events.log(
                events.RUN_ASSIGNED,
                task=str(run.task),
                attempt=run.attempt,
                worker=run.worker,
                life=run.life,
                waiting=run.waiting,
                place=run.place,
                term=self.log.term(),
            )
        self._require_lease("push starts")
        self.orders.push_starts(started)

    def _tasks_still_running(self) -> set[jobs.TaskRef]:
        """Returns the tasks of which a worker may still run an earlier attempt.

        A run that is reported but isn't assigned is over once the lease of its
        worker has ended.
        """
        now = self.clock.now()
        return stop_orders.tasks_still_running(
            self.log.machine.stepped,
            [
                worker.report
                for name, worker in self.table.workers.items()
                if now < self.table.lease_end_ms(name)
            ],
        )

    def _with_allowed_workers(
        self,
        ready: list[run_placement.ReadyTask],
        capacities: list[run_placement.WorkerCapacity],
    ) -> list[run_placement.ReadyTask]:
        """Returns the tasks, with the allowed workers set on advised ones."""
        advised = [task for task in ready if task.advised]
        if not advised:
            return ready
        jobs_by_id = self.log.machine.stepped.jobs
        self.advice.forget_ended(
            frozenset(
                job_id for job_id, job in jobs_by_id.items() if job.active()
            )
        )
        self.advice.request_advice(advised, capacities)
        return [
            self.advice.with_tickets(task) if task.advised else task
            for task in ready
        ]

    def _order_stops(self) -> None:
        """Orders stops of runs that must end or move to another worker."""
        state = self.log.machine.stepped
        now = self.clock.now()
        leaving = self.shrunk.runs_to_move(
            state,
            (worker.report for worker in self.table.workers.values()),
            self.capacities.usable,
        )
        for name, tasks in state.on_worker.items():
            worker = self.table.workers.get(name)
            if worker is None or not tasks:
                continue
            to_move: set[jobs.RunKey] = set()
            if not worker.silent(now):
                to_move = self.run_monitor.runs_to_move(worker.report, state)
                to_move |= leaving.get(name, set())
            stops = stop_orders.assigned_stops(
                state, name, draining=worker.report.draining, to_move=to_move
            )
            self.orders.push_stops(worker, stops)

    async def _forget_ended(self) -> None:
        state = self.log.machine.stepped
        now = self.clock.now()
        ended = {
            job_id for job_id, job in state.jobs.items() if not job.active()
        }
        ended.update(state.withdrawn.ids())
        self._ended_ms = {
            job_id: self._ended_ms.get(job_id, now) for job_id in ended
        }
        old = tuple(
            job_id
            for job_id, since in self._ended_ms.items()
            if now - since > ENDED_JOB_RETENTION_MS
        )
        if old:
            await job_proposals.propose(
                self.log, job_commands.ForgetSteps(jobs=old)
            )

    # --- Ended runs ----------------------------------------------------------

    async def _commit_ends(
        self, ends: tuple[jobs.RunEnd, ...], worker: str, incarnation: str
    ) -> None:
        """Commits the ends of runs that change the replicated state.

        Raises:
            NotLeaderError: Nothing was committed.
            UnknownResultError: The ends may not be committed.
        """
        state = self.log.machine.stepped
        for _ in range(MAX_END_PROPOSALS):
            effective = [
                found
                for end in ends
                if (found := run_ends.effective_end(state, end)) is not None
            ]
            if not effective:
                return
            result = await job_proposals.propose(
                self.log,
                job_commands.EndRuns(
                    ends=tuple(end.committed for end in effective),
                    tracked=True,
                ),
            )
            incarnation_ends.log_given_up(
                result, worker=worker, term=self.log.term()
            )
            for end in effective:
                self._record_end(end, worker, incarnation)
        raise errors.UnknownResultError(
            text="tasks were assigned again meanwhile", step="end runs"
        )

    def _record_end(
        self, end: run_ends.EffectiveEnd, worker: str, incarnation: str
    ) -> None:
        reported = end.reported
        if reported.how == "rejected":
            self.advice.record_rejection(reported.task, incarnation)
        events.log(
            events.RUN_ENDED,
            task=str(reported.task),
            attempt=reported.attempt,
            how=reported.how,
            worker=worker,
            life=incarnation,
            current_attempt=end.committed.attempt,
            term=self.log.term(),
        )
        metrics.RUNS_ENDED.labels(reported.how).inc()
        self.run_monitor.record_end(reported, worker)
        superseded = self.table.workers.get(end.superseded_worker)
        if superseded is not None:
            stop = stop_orders.superseded_stop(end.committed)
            self.superseded.add(
                end.superseded_worker,
                (stop.task, stop.attempt),
                self.clock.now(),
            )
            self.orders.push_stops(superseded, [stop])
