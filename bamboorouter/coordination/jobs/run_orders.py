"""Orders agents to start and stop runs, as the replicated state demands.

Orders are pushed as soon as a decision is committed. An order may get lost: the
comparison of the agent's next report with the replicated state then finds it
missing, and the answer to the report contains it. Orders are idempotent.
"""

import asyncio
from collections.abc import Iterable
import itertools
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.jobs import live_capacities
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.jobs import stop_orders
from bamboorouter.coordination.jobs import worker_capacities
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import pacing
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.transport import link

PUSH_TIMEOUT_MS: Final = 500


class RunOrderSender:
    """Sends orders to the agents while this replica leads.

    Attributes:
        log: The replicated log.
        table: Workers that reported to this leader.
        capacities: Capacities of these workers.
        superseded: Superseded runs that may run although they aren't reported.
        interference: How much best-effort images slow down serving images.
        advice: Tickets for starts of advised steps.
        stops: Stops that were ordered.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        table: worker_table.WorkerTable,
        capacities: live_capacities.LiveCapacities,
        superseded: worker_capacities.SupersededRuns,
        interference: image_interference.ImageInterference,
        advice: start_advice.StartAdvice,
        stops: stop_orders.StopTracker,
    ) -> None:
        self.log = log
        self.table = table
        self.capacities = capacities
        self.superseded = superseded
        self.interference = interference
        self.advice = advice
        self.stops = stops
        self._pushes: set[asyncio.Task[None]] = set()

    def missing_orders(
        self, report: job_messages.WorkerReport
    ) -> job_messages.RunOrders:
        """Returns the orders by which the agent reaches the replicated state.

        The agent gets start orders for assigned runs that it doesn't hold, once
        they fit beside the runs that are still to stop, and stop orders for
        runs that aren't assigned to it or no longer fit its worker. If the job
        of an assigned run has ended, a stop order replaces the start order, so
        that a delayed start order isn't executed.
        """
        state = self.log.machine.stepped
        assigned = state.on_worker.get(report.worker, {})
        held = {(run.task, run.attempt) for run in report.runs if run.ordered}
        missing = [
            (ref, task)
            for ref, task in assigned.items()
            if (ref, task.attempt) not in held and task.life == report.life
        ]
        decided = worker_capacities.decide_missing(
            state,
            report,
            self.superseded.tasks(report.worker),
            [ref for ref, _ in missing if state.jobs[ref.job].active()],
        )
        stops = [
            *(
                stop_orders.missing_stop(state, ref, "job_ended")
                for ref, _ in missing
                if not state.jobs[ref.job].active()
            ),
            *(
                stop_orders.missing_stop(state, ref, "no_room")
                for ref in decided.withdrawn
            ),
            *stop_orders.unassigned_stops(state, report),
        ]
        term = self.log.term()
        self.stops.record(report.worker, stops, term=term)
        self.stops.check_report(report, term=term)
        return job_messages.RunOrders(
            term=term,
            life=report.life,
            starts=tuple(self._start_order(ref) for ref in decided.starts),
            stops=tuple(stop.order() for stop in stops),
        )

    def push_starts(self, runs: Iterable[jobs.RunStart]) -> None:
        """Pushes the start orders of runs that were just assigned."""
        state = self.log.machine.stepped
        by_worker = sorted(
            # The state may have changed while the assignments were committed.
            (run for run in runs if state.must_run(run)),
            key=lambda run: run.worker,
        )
        for name, group in itertools.groupby(
            by_worker, key=lambda run: run.worker
        ):
            worker = self.table.workers.get(name)
            if worker is not None and self.capacities.has_room_to_start(
                worker.report
            ):
                self._push(
                    worker.source,
                    job_messages.RunOrders(
                        term=self.log.term(),
                        life=worker.report.life,
                        starts=tuple(
                            self._start_order(run.task) for run in group
                        ),
                    ),
                )

    def push_stops(
        self,
        worker: worker_table.LiveWorker,
        stops: list[stop_orders.Stop],
    ) -> None:
        """Pushes the stop orders that were not pushed recently."""
        name, term = worker.report.worker, self.log.term()
        self.stops.record(name, stops, term=term)
        due = self.stops.due(name, stops)
        if due:
            self._push(
                worker.source,
                job_messages.RunOrders(
                    term=term,
                    life=worker.report.life,
                    stops=tuple(stop.order() for stop in due),
                ),
            )

    def _start_order(self, ref: jobs.TaskRef) -> job_messages.StartOrder:
        state = self.log.machine.stepped
        job = state.jobs[ref.job]
        task = job.tasks[ref.occurrence, ref.step][ref.index]
        step = job.spec.steps[ref.step]
        return job_messages.StartOrder(
            task=ref,
            attempt=task.attempt,
            spec=job.spec.spec,
            checkpoint=task.checkpoint,
            fills=step.fills,
            target_ms=step.target_ms,
            need=step.need,
            image=step.image,
            percent=self._initial_pace_percent(task.worker, step),
            ticket=(
                self.advice.ticket(ref, task.life) if job.queue.advised else ""
            ),
        )

    def _initial_pace_percent(self, worker: str, step: jobs.Step) -> int:
        """Returns the initial pace of an assigned task in percent.

        Only best-effort tasks start below full speed.
        """
        capacity = self.capacities.for_placement(worker) if step.fills else None
        if capacity is None:
            return pacing.FULL_PERCENT
        return pacing.initial_percent(
            pacing.speed_fraction(
                own_utilization,
                self.interference.added_utilization(image, capacity.loads),
            )
            for image, own_utilization in capacity.serving
        )

    def _push(self, source: link.Link, orders: job_messages.RunOrders) -> None:
        task = asyncio.create_task(_push(source, orders))
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)


async def _push(source: link.Link, orders: job_messages.RunOrders) -> None:
    try:
        async with asyncio.timeout(clock.seconds(PUSH_TIMEOUT_MS)):
            await source.push(orders)
    except (errors.LinkClosedError, TimeoutError) as err:
        # The comparison with the agent's next report finds the missing orders.
        events.log(
            events.ORDERS_NOT_SENT,
            peer=source.peer,
            starts=len(orders.starts),
            stops=len(orders.stops),
            error=repr(err),
        )
