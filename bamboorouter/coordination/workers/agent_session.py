"""An agent's work for its worker: sessions, leases, orders and reports.

One session binds the agent to one life of its worker. Its number, given by the
leader, begins the fencing tokens, so that orders of an earlier agent process
are void. Three loops run: one keeps a look at the worker open and so learns
ends at once and extends the lease; one reports to the leader, whose answers
extend what may be granted to the worker; one opens a new session when the
worker's life changes.

An order without an answer may be carried out seconds later. The agent then
raises its token and looks again: the worker accepts nothing older any more, and
its list is the truth.
"""

import asyncio
from collections.abc import Coroutine
import contextlib
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.policies import pacing
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import run_lease
from bamboorouter.coordination.workers import session_opening
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# The leader counts a worker as silent after 2.5 s.
REPORT_PERIOD_MS: Final = 1000
REPORT_TIMEOUT_MS: Final = 3000
# Ends that arrive together share one report.
REPORT_PAUSE_MS: Final = 3
LOOK_WAIT_MS: Final = 500
LOOK_PAUSE_MS: Final = 100
# A confirmation takes two hops and a commit.
CONFIRM_MS: Final = 150
SESSION_PAUSE_MS: Final = 100
START_ATTEMPTS: Final = 4
RETRY_PAUSE_MS: Final = 50
# An older announcement counts only once the newer life is silent this long.
SILENT_LIFE_MS: Final = 5000


class AgentSession:
    """Runs the sessions of one agent.

    Attributes:
        worker: Name of the worker; stays the same over its lives.
        client: Calls the leader.
        ports: Opens the way to the worker.
        clock: Source of time.
        held: Runs that it has orders for.
        session: The current session; None without one.
    """

    def __init__(
        self,
        *,
        worker: str,
        client: control_client.ControlClient,
        ports: worker_port.WorkerPorts,
        time: clock.Clock,
    ) -> None:
        self.worker = worker
        self.client = client
        self.ports = ports
        self.clock = time
        self.held = held_runs.HeldRuns()
        self.session: worker_session.Session | None = None
        self._announced: worker_port.Announcement | None = None
        self._changed = asyncio.Event()
        self._report_due = asyncio.Event()
        self._confirmed = asyncio.Event()
        self._sequence = 0
        self._term = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._claim: asyncio.Task[None] | None = None
        self._runner: asyncio.Task[None] | None = None

    # --- Interface -----------------------------------------------------------

    def start(self) -> None:
        """Begins to wait for the worker's announcements."""
        self._runner = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops; runs go on until their lease ends or another process comes."""
        tasks = [*self._tasks, *([self._runner] if self._runner else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.port.close()

    def announce(self, announcement: worker_port.Announcement) -> None:
        """Takes an announcement of the worker."""
        known = self._announced
        if known is None:
            self._serve_life(announcement)
            return
        if not self._is_newer(announcement, known):
            return
        if known.life != announcement.life:
            if self._claim is None:
                self._claim = self._spawn(self._check_claim(announcement))
            return
        self._announced = announcement
        if self.session is not None:
            self.session.announcement = announcement
        if known.draining != announcement.draining:
            events.log(
                events.WORKER_DRAINING,
                worker=self.worker,
                life=announcement.life,
                draining=announcement.draining,
            )
            self._report_due.set()

    async def _check_claim(
        self, announcement: worker_port.Announcement
    ) -> None:
        """Serves another life of the worker once the present one is silent.

        The announcement may come from another writer, and giving up runs of a
        life that still answers would have them started a second time.
        """
        try:
            session = self.session
            if session is not None and await self._look(session, 0):
                events.log(
                    events.ANNOUNCEMENT_REFUSED,
                    worker=self.worker,
                    life=announcement.life,
                    error=f"{session.announcement.life} still answers",
                )
            else:
                self._serve_life(announcement)
        finally:
            self._claim = None

    def _serve_life(self, announcement: worker_port.Announcement) -> None:
        events.log(
            events.WORKER_LIFE_CHANGED,
            worker=self.worker,
            life=announcement.life,
            before=self._announced.life if self._announced else "",
        )
        self._announced = announcement
        self._changed.set()

    def leave(self, worker_id: str) -> None:
        """Takes note that a life of the worker has ended."""
        if self._announced is None or self._announced.id != worker_id:
            return
        events.log(
            events.WORKER_LEFT, worker=self.worker, life=self._announced.life
        )
        self._announced = None
        self._changed.set()

    async def take_orders(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Takes what the leader pushes on the link of the client."""
        if not isinstance(message, job_messages.RunOrders):
            return await link.reject_message(message, source)
        if not source.closed.is_set():
            self._carry_out(message)
        return None

    def _is_newer(
        self,
        announcement: worker_port.Announcement,
        known: worker_port.Announcement,
    ) -> bool:
        if announcement.life == known.life:
            return announcement.sequence >= known.sequence
        if announcement.born_ms > known.born_ms:
            return True
        # Its clock may have been set back in between.
        session = self.session
        return (
            session is None
            or self.clock.now() - session.answered_ms > SILENT_LIFE_MS
        )

    # --- Sessions ------------------------------------------------------------

    async def _run(self) -> None:
        # After an error the announced life may not be served yet.
        self._changed.set()
        while True:
            await self._changed.wait()
            self._changed.clear()
            announcement = self._announced
            if announcement is None:
                await self._report_loss()
                continue
            session = await self._open(announcement)
            if session is None:
                self._changed.set()
                await asyncio.sleep(clock.seconds(SESSION_PAUSE_MS))
                continue
            await self._serve(session)

    async def _report_loss(self) -> None:
        """Tells the leader that the worker's runs ended with its life."""
        session = self.session
        lost = self.held.end_all("lost")
        if session is None or not (lost or self.held.ends):
            return
        try:
            await self._report_once(session)
        except errors.RouterError as err:
            events.log(events.REPORT_FAILED, worker=self.worker, error=str(err))

    async def _open(
        self, announcement: worker_port.Announcement
    ) -> worker_session.Session | None:
        """Opens a session with the announced life; None if it failed."""
        former = self.session
        lease = run_lease.RunLease()
        if former is not None:
            await former.port.close()
            former.doubt()
            if former.announcement.life == announcement.life:
                lease = former.lease
        port = self.ports.open(announcement)
        try:
            number = await session_opening.agree_on_session(
                worker=self.worker,
                announcement=announcement,
                client=self.client,
                port=port,
            )
        except errors.RouterError as err:
            events.log(
                events.SESSION_FAILED, worker=self.worker, error=str(err)
            )
            await port.close()
            return None
        if former is not None and former.announcement.life != announcement.life:
            self.held.end_all("lost")
        self.held.begin_life()
        self.session = None
        return worker_session.Session(
            announcement=self._announced or announcement,
            number=number,
            port=port,
            token=session_opening.first_token(number),
            lease=lease,
            pacer=pacing.Pacer(),
        )

    async def _serve(self, session: worker_session.Session) -> None:
        """Runs a session until the worker's life or the session changes."""
        self.session = session
        for run in list(self.held.runs.values()):
            # Nobody knows what became of orders of an earlier session.
            run.phase = "uncertain"
            run.since_ms = self.clock.now()
        loops = [
            asyncio.create_task(self._look_loop(session)),
            asyncio.create_task(self._report_loop(session)),
        ]
        waiting = asyncio.create_task(self._changed.wait())
        try:
            await asyncio.wait(
                [*loops, waiting], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (*loops, waiting):
                task.cancel()
            results = await asyncio.gather(
                *loops, waiting, return_exceptions=True
            )
            for result in results:
                if isinstance(result, Exception):
                    events.log(
                        events.SESSION_FAILED,
                        worker=self.worker,
                        error=repr(result),
                    )
        self._changed.set()

    # --- Looks at the worker -------------------------------------------------

    async def _look_loop(self, session: worker_session.Session) -> None:
        wait_ms = 0
        while True:
            answered = await self._look(session, wait_ms)
            wait_ms = LOOK_WAIT_MS if answered else 0
            if not answered:
                self._give_up_if_silent(session)
                await asyncio.sleep(clock.seconds(LOOK_PAUSE_MS))
            elif self.held.ends:
                # An end that isn't acknowledged is told again at once.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(clock.seconds(CONFIRM_MS)):
                        await self._confirmed.wait()

    async def _look(
        self, session: worker_session.Session, wait_ms: int
    ) -> bool:
        """Asks the worker what it runs; returns whether it answered."""
        sent = self.clock.now()
        token = session.token
        acknowledged = session.to_acknowledge(self.held.acknowledged)
        session.sure = False
        try:
            view = await session.port.look(
                token=token,
                acknowledged=acknowledged,
                until_ms=session.until(sent),
                wait_ms=wait_ms,
            )
        except worker_port.RejectedError as err:
            if err.reason == "fence" and session.token == token:
                # A delayed call of this session's own carried a higher one.
                session.token += 1
            return False
        except worker_port.OtherLifeError:
            # What is sent from now on would reach that life.
            session.doubt()
            return False
        except errors.RouterError:
            session.token = max(session.token, token + 1)
            return False
        now = self.clock.now()
        session.lease.note_clock(worker_ms=view.clock_ms, received_ms=now)
        if not session.reachable(now):
            self._report_due.set()
        session.answered_ms = now
        session.sure = True
        session.acknowledged = max(session.acknowledged, acknowledged)
        if self.held.settle(view, token=token, sent_ms=sent):
            self._confirmed.clear()
            self._report_due.set()
        self._pace(session)
        return True

    def _give_up_if_silent(self, session: worker_session.Session) -> None:
        """Counts all runs as lost once the worker's lease has ended."""
        now = self.clock.now()
        if self.held.runs and session.lease.ended(now):
            lost = self.held.end_all("lost")
            events.log(
                events.WORKER_LOST,
                worker=self.worker,
                life=session.announcement.life,
                runs=lost,
                silent_ms=now - session.answered_ms,
            )
            self._report_due.set()

    def _pace(self, session: worker_session.Session) -> None:
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
                self._pace_one(
                    session, change.task, change.attempt, change.percent
                )
            )

    async def _pace_one(
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
            # It is tried again after the next look.
            events.log(events.ORDER_FAILED, task=str(task), error=str(err))
            return
        run = self.held.runs.get((task, attempt))
        if run is not None:
            run.pace = percent

    # --- Orders --------------------------------------------------------------

    def _carry_out(self, orders: job_messages.RunOrders) -> None:
        session = self.session
        if orders.term < self._term or session is None:
            return
        self._term = orders.term
        if orders.life != session.announcement.life or not session.answered_ms:
            # Before the first look nobody knows what the worker runs.
            return
        now = self.clock.now()
        for order in orders.starts:
            run = self.held.add_order(order, now)
            if run is not None:
                self._spawn(self._start(session, run))
        for stop in orders.stops:
            run = self.held.add_stop(stop, now)
            if run is not None:
                self._spawn(self._stop(session, run))
            else:
                self._report_due.set()

    async def _start(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Sends a start order until its fate is known or left to a look."""
        key = (run.task, run.attempt)
        for _ in range(START_ATTEMPTS):
            if self.held.runs.get(key) is not run:
                return
            until_ms = session.until(self.clock.now())
            if session.announcement.draining or until_ms is None:
                break
            token = session.token
            run.phase, run.token = "starting", token
            run.since_ms = self.clock.now()
            try:
                await session.port.start(_start_run(run, until_ms, token))
            except worker_port.RejectedError as err:
                self._log_failed(run, err)
                if err.reason == "old":
                    self._doubt(session, run)
                    return
                if err.reason not in ("fence", "late"):
                    break
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
                if err.reason == "fence" and session.token == token:
                    session.token += 1
                continue
            except errors.RouterError as err:
                self._log_failed(run, err)
                self._doubt(session, run)
                return
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
            await self._begin_slowly(session, run)
            return
        self.held.end(run, "rejected")
        self._report_due.set()

    async def _begin_slowly(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Slows a run that has just started, if that was ordered."""
        if run.order is None or run.order.percent == run.pace:
            return
        await self._pace_one(
            session,
            run.task,
            run.attempt,
            run.order.percent,
        )

    def _doubt(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Has a look settle whether the worker has a run."""
        if run.phase == "starting":
            run.phase = "uncertain"
            run.since_ms = self.clock.now()
        session.token = max(session.token, run.token + 1)
        self._spawn(self._look_again(session))

    async def _look_again(self, session: worker_session.Session) -> None:
        await self._look(session, 0)

    async def _stop(
        self, session: worker_session.Session, run: held_runs.HeldRun
    ) -> None:
        """Sends a stop order until the worker has taken it."""
        key = (run.task, run.attempt)
        while key in self.held.runs and self.session is session:
            try:
                await session.port.stop(
                    run.task, run.attempt, token=session.token
                )
                break
            except errors.RouterError as err:
                self._log_failed(run, err)
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
        run.since_ms = self.clock.now()
        run.stopping = False
        await self._look_again(session)

    def _log_failed(
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

    # --- Reports -------------------------------------------------------------

    async def _report_loop(self, session: worker_session.Session) -> None:
        while True:
            await asyncio.sleep(clock.seconds(REPORT_PAUSE_MS))
            self._report_due.clear()
            try:
                if not await self._report_once(session):
                    return
            except errors.RouterError as err:
                events.log(
                    events.REPORT_FAILED, worker=self.worker, error=str(err)
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock.seconds(REPORT_PERIOD_MS)):
                    await self._report_due.wait()

    async def _report_once(self, session: worker_session.Session) -> bool:
        """Sends a report; returns whether the session is still current.

        Raises:
            RouterError: No leader answered.
        """
        sent = self.clock.now()
        ends = list(self.held.ends)
        reply = await self.client.call(
            self._report(session, sent, ends), timeout_ms=REPORT_TIMEOUT_MS
        )
        if not isinstance(reply, job_messages.WorkerReply):
            raise errors.ProtocolError(
                text=f"unexpected {type(reply).__name__}",
                step="report",
                peer=self.worker,
            )
        if not reply.known:
            events.log(
                events.SESSION_ENDED, worker=self.worker, session=session.number
            )
            return False
        session.grant_end_ms = max(session.grant_end_ms, sent + reply.lease_ms)
        session.weights = {
            (pair.serving, pair.filling): pair.weight
            for pair in reply.disturbances
        }
        self.held.confirm(ends)
        self._confirmed.set()
        self._carry_out(reply.orders)
        return True

    def _report(
        self,
        session: worker_session.Session,
        now: int,
        ends: list[held_runs.PendingEnd],
    ) -> job_messages.WorkerReport:
        self._sequence += 1
        said = session.announcement
        return job_messages.WorkerReport(
            worker=self.worker,
            life=said.life,
            session=session.number,
            sequence=self._sequence,
            service=said.service,
            zone=said.zone,
            labels=said.labels,
            rack=said.rack,
            room=said.room,
            draining=said.draining,
            reachable=session.reachable(now),
            runs=tuple(run.report() for run in self.held.runs.values()),
            ends=tuple(pending.end for pending in ends),
            view_age_ms=now - session.answered_ms if session.answered_ms else 0,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.log(
                events.SESSION_FAILED,
                worker=self.worker,
                error=repr(task.exception()),
            )


def _start_run(
    run: held_runs.HeldRun, until_ms: int, token: int
) -> worker_port.StartRun:
    if run.order is None:
        raise ValueError("a run without an order can't be started")
    return worker_port.StartRun(
        task=run.task,
        attempt=run.attempt,
        spec=run.order.spec,
        checkpoint=run.order.checkpoint,
        until_ms=until_ms,
        token=token,
        ticket=run.order.ticket,
    )
