"""Carries out the leader's orders on the worker.

An order that wasn't answered may still be executed seconds later. The agent
then increments its fencing token and polls again: the worker rejects orders
with older tokens from then on, so the runs it lists are authoritative.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.workers import ended_runs
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import start_room
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session
from bamboorouter.protocol import jobs

MAX_START_ATTEMPTS: Final = 4
ORDER_RETRY_PAUSE_MS: Final = 50


class OrderExecution:
    """Sends start and stop orders and speeds to one worker.

    Attributes:
        worker: Name of the worker, the same for all its incarnations.
        clock: Source of time.
        held: Runs of the worker and their state.
    """

    def __init__(
        self,
        *,
        worker: str,
        time: clock.Clock,
        held: held_runs.HeldRuns,
        session: Callable[[], worker_session.Session | None],
        poll: Callable[[worker_session.Session], Coroutine[Any, Any, None]],
        request_report: Callable[[], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        """Creates the state of a worker without orders.

        Args:
            worker: Name of the worker, the same for all its incarnations.
            time: Source of time.
            held: Runs of the worker and their state.
            session: Returns the current session.
            poll: Polls the worker at once.
            request_report: Requests a report to the leader.
            spawn: Starts an order in the background.
        """
        self.worker = worker
        self.clock = time
        self.held = held
        self._session = session
        self._poll = poll
        self._request_report = request_report
        self._spawn = spawn
        # Held while the lease is renewed for start orders that wait for it.
        self._renewal = asyncio.Lock()

    async def start(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Sends a start order until its outcome is known.

        If the outcome remains uncertain, a poll determines it.
        """
        key = (run.task, run.attempt)
        shortage = ""
        evidence: ended_runs.Evidence = "never_sent"
        for _ in range(MAX_START_ATTEMPTS):
            await self._renew_before_start(session)
            if self.held.runs.get(key) is not run:
                return
            until_ms = session.start_until(self.clock.now())
            if (
                session.announcement.draining
                or until_ms is None
                or run.stop_ordered
            ):
                break
            shortage = self._find_shortage(session, run)
            if shortage:
                break
            token = session.token
            run.phase, run.token = "starting", token
            run.since_ms = self.clock.now()
            try:
                await session.port.start(_start_message(run, until_ms, token))
            except worker_port.RejectedError as err:
                self._log_failed_order(run, err)
                evidence = "order_rejected"
                if err.reason == "old":
                    # This attempt or a later one has ended on the worker.
                    self._resolve_by_poll(session, run)
                    return
                # The next attempt has a higher token or a later end.
                if err.reason not in ("fence", "late"):
                    break
                if err.reason == "late":
                    # The known clock of the worker may be behind.
                    await self._poll(session)
                await asyncio.sleep(clock.seconds(ORDER_RETRY_PAUSE_MS))
                if err.reason == "fence" and session.token == token:
                    session.token += 1
                continue
            except worker_port.NotDeliveredError as err:
                # Every earlier order was rejected, so none may be executed.
                self._log_failed_order(run, err)
                evidence = "not_delivered"
                # Further orders wait until the worker answers a poll.
                session.mark_unreachable()
                break
            except errors.RouterError as err:
                self._log_failed_order(run, err)
                self._resolve_by_poll(session, run)
                return
            run.started = True
            if run.phase == "starting":
                run.phase = "running"
                run.since_ms = self.clock.now()
            events.log(
                events.RUN_STARTED,
                task=str(run.task),
                attempt=run.attempt,
                worker=self.worker,
                token=token,
                until_ms=until_ms,
                percent=run.order.percent if run.order else None,
            )
            await self._set_initial_speed(session, run)
            return
        self.held.end(run, "rejected", evidence, shortage=shortage)
        self._request_report()

    def _find_shortage(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> str:
        """Returns why a run may not fit the worker; empty if it fits."""
        if session.announcement_expired(self.clock.now()):
            return start_room.UNKNOWN_CAPACITY
        return start_room.find_shortage(
            run, self.held.runs.values(), session.announcement.capacity
        )

    async def _renew_before_start(
        self, session: worker_session.Session
    ) -> None:
        """Grants the worker a lease that outlasts a start order sent now.

        A start order ends too soon to be the lease of its run. Polls grant a
        longer one, except before the first grant of the leader.
        """
        async with self._renewal:
            until_ms = session.start_until(self.clock.now())
            if until_ms is not None and session.needs_renewal(until_ms):
                await self._poll(session)

    async def _set_initial_speed(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Sets the ordered initial speed of a run that has just started."""
        if run.order is None or run.order.percent == run.pace:
            return
        await self._set_speed(
            session,
            run.task,
            run.attempt,
            run.order.percent,
        )

    def _resolve_by_poll(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Marks a run as uncertain and polls the worker to resolve it."""
        if run.phase == "starting":
            run.phase = "uncertain"
            run.since_ms = self.clock.now()
        session.token = max(session.token, run.token + 1)
        self._spawn(self._poll(session))

    def send_due_stops(self, session: worker_session.Session) -> None:
        """Sends the stop orders that the worker hasn't got."""
        for run in self.held.take_due_stops():
            if run.stop_acknowledged_ms is not None:
                events.log(
                    events.STOP_REPEATED,
                    task=str(run.task),
                    attempt=run.attempt,
                    worker=self.worker,
                    acknowledged_ms=run.stop_acknowledged_ms,
                )
            self._spawn(self._stop_on_worker(session, run))

    async def _stop_on_worker(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Sends a stop order until the worker acknowledges it."""
        key = (run.task, run.attempt)
        try:
            while self.held.runs.get(key) is run and self._session() is session:
                try:
                    await session.port.stop(
                        run.task, run.attempt, token=session.token
                    )
                except errors.RouterError as err:
                    self._log_failed_order(run, err)
                    await asyncio.sleep(clock.seconds(ORDER_RETRY_PAUSE_MS))
                    continue
                run.since_ms = run.stop_acknowledged_ms = self.clock.now()
                break
        finally:
            run.stopping = False
        await self._poll(session)

    def _log_failed_order(
        self, run: held_runs.HeldRun, err: errors.RouterError
    ) -> None:
        events.log(
            events.ORDER_FAILED,
            task=str(run.task),
            attempt=run.attempt,
            worker=self.worker,
            token=run.token,
            error=str(err),
        )

    def adjust_speeds(self, session: worker_session.Session) -> None:
        """Sets the speeds that the session's pacer decides on."""
        serving, changes = session.speed_changes(
            self.held.runs.values(), self.clock.now()
        )
        if not changes:
            return
        events.log(
            events.PACE_CHANGED,
            worker=self.worker,
            latencies=[
                (run.image, run.latency_ms, run.target_ms) for run in serving
            ],
            runs=[
                (str(run.task), run.image, round(run.used, 2), run.percent)
                for run in changes
            ],
        )
        for change in changes:
            self._spawn(
                self._set_speed(
                    session, change.task, change.attempt, change.percent
                )
            )

    async def _set_speed(
        self,
        session: worker_session.Session,
        task: jobs.TaskRef,
        attempt: int,
        percent: int,
    ) -> None:
        try:
            await session.port.pace(
                task, attempt, percent=percent, token=session.token
            )
        except errors.RouterError as err:
            # `run.pace` stays the same, so the pacer decides anew after a poll.
            events.log(events.ORDER_FAILED, task=str(task), error=str(err))
            return
        run = self.held.runs.get((task, attempt))
        if run is not None:
            run.pace = percent


def _start_message(
    run: held_runs.HeldRun, until_ms: int, token: int
) -> worker_port.StartRun:
    if run.order is None:
        raise ValueError("a run without a start order can't be started")
    return worker_port.StartRun(
        task=run.task,
        attempt=run.attempt,
        spec=run.order.spec,
        checkpoint=run.order.checkpoint,
        until_ms=until_ms,
        token=token,
        ticket=run.order.ticket,
    )
