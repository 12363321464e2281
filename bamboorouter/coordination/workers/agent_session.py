"""Manages the sessions of an agent with its worker.

A session binds the agent to one incarnation of its worker. The leader assigns
the session number, which is the prefix of the session's fencing tokens, so that
orders of an earlier agent process are rejected. Four loops run:

* The poll loop keeps a long poll to the worker open, which reports ends of runs
  without delay and renews the lease of the runs.
* The report loop reports to the leader, whose replies extend the lease that the
  agent may grant to the worker.
* The session loop opens a new session when the worker's incarnation changes.
* The growth loop opens the session anew when the worker's capacity exceeds that
  of the session; see `session_growth`.

`announced_incarnation` decides which incarnation that is, and
`order_execution` carries out the leader's orders.
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
from bamboorouter.coordination.workers import announced_incarnation
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import order_execution
from bamboorouter.coordination.workers import run_lease
from bamboorouter.coordination.workers import session_growth
from bamboorouter.coordination.workers import session_opening
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# The leader considers a worker silent after 2.5 s without a report.
REPORT_PERIOD_MS: Final = 1000
REPORT_TIMEOUT_MS: Final = 3000
# Delay that batches ends of runs into one report.
REPORT_BATCH_MS: Final = 3
POLL_WAIT_MS: Final = 500
POLL_RETRY_PAUSE_MS: Final = 100
# A poll that doesn't wait for an end fails within 0.7 s, unless this process
# was paused meanwhile.
MAX_FAILED_POLL_MS: Final = 1000
# The leader's confirmation of an end takes two network hops and a commit.
CONFIRMATION_WAIT_MS: Final = 150
SESSION_RETRY_PAUSE_MS: Final = 100


class AgentSession:
    """Runs the sessions of one agent.

    Attributes:
        worker: Name of the worker, the same for all its incarnations.
        client: Client for calls to the leader.
        ports: Creates ports to incarnations of the worker.
        clock: Source of time.
        max_lease_ms: Longest lease that the worker accepts, in ms.
        announce_interval_ms: Time between two announcements of the worker, in
            ms.
        held: Runs of the worker and their state.
        incarnation: Current incarnation of the worker.
        session: Current session; None if there is none.
        orders: Carries out the leader's orders.
    """

    def __init__(
        self,
        *,
        worker: str,
        client: control_client.ControlClient,
        ports: worker_port.WorkerPorts,
        time: clock.Clock,
        max_lease_ms: int = run_lease.MAX_WORKER_LEASE_MS,
        announce_interval_ms: int = worker_session.ANNOUNCE_INTERVAL_MS,
    ) -> None:
        self.worker = worker
        self.client = client
        self.ports = ports
        self.clock = time
        self.max_lease_ms = max_lease_ms
        self.announce_interval_ms = announce_interval_ms
        self.held = held_runs.HeldRuns(worker=worker, time=time)
        self.session: worker_session.Session | None = None
        self.incarnation = announced_incarnation.AnnouncedIncarnation(
            worker=worker,
            ports=ports,
            time=time,
            session=lambda: self.session,
            on_incarnation=self._request_session,
            on_announcement=self._on_announcement,
            spawn=self._spawn,
        )
        self._session_due = asyncio.Event()
        self._report_due = asyncio.Event()
        self._end_confirmed = asyncio.Event()
        self._report_sequence = 0
        self._highest_term = 0
        self._background: set[asyncio.Task[None]] = set()
        self._growth = session_growth.SessionGrowth(
            worker=worker,
            client=client,
            time=time,
            on_opened=self._continue_opened_anew,
        )
        self._runner: asyncio.Task[None] | None = None
        self.orders = order_execution.OrderExecution(
            worker=worker,
            time=time,
            held=self.held,
            session=lambda: self.session,
            poll=self._poll_once,
            request_report=self._request_report,
            spawn=self._spawn,
        )

    # --- Interface -----------------------------------------------------------

    def start(self) -> None:
        """Starts the session loop, which waits for announcements."""
        self._runner = supervision.start(self._session_loop)

    async def stop(self) -> None:
        """Stops all loops and closes the connection to the worker.

        The worker's runs continue until their lease expires or another agent
        process takes over.
        """
        tasks = [*self._background, *([self._runner] if self._runner else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.port.close()

    def announce(self, announcement: worker_port.Announcement) -> None:
        """Handles an announcement of the worker."""
        self.incarnation.announce(announcement)

    def leave(self, worker_id: str, *, started_ms: int | None = None) -> None:
        """Handles a message that an incarnation of the worker ends.

        Args:
            worker_id: ID of the worker.
            started_ms: Start of the incarnation, in ms since the epoch on the
                worker's clock; None if unknown.
        """
        self.incarnation.leave(worker_id, started_ms=started_ms)

    async def handle_message(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles messages that the leader pushes on the client's link."""
        if not isinstance(message, job_messages.RunOrders):
            return await link.reject_message(message, source)
        if not source.closed.is_set():
            self._execute_orders(message)
        return None

    def _on_announcement(
        self,
        current: worker_port.Announcement,
        announcement: worker_port.Announcement,
    ) -> None:
        """Handles a newer announcement of the current incarnation."""
        if current.address != announcement.address:
            # The session has a port to the earlier address.
            self._session_due.set()
        session = self.session
        # While a session with a new incarnation is being opened, the current
        # one is still that of the earlier incarnation.
        if (
            session is not None
            and session.announcement.incarnation == announcement.incarnation
        ):
            now = self.clock.now()
            usable = session.usable(now)
            session.announcement = announcement
            if session.usable(now) != usable:
                self._report_due.set()
        if current.draining != announcement.draining:
            events.log(
                events.WORKER_DRAINING,
                worker=self.worker,
                life=announcement.incarnation,
                draining=announcement.draining,
            )
            self._report_due.set()
        if current.capacity != announcement.capacity:
            events.log(
                events.WORKER_CAPACITY_CHANGED,
                worker=self.worker,
                life=announcement.incarnation,
                before=current.capacity,
                now=announcement.capacity,
            )
            self._report_due.set()
            self._growth.check()

    # --- Sessions ------------------------------------------------------------

    def _request_session(self) -> None:
        self._session_due.set()

    async def _session_loop(self) -> None:
        # After an error the announced incarnation may have no session yet.
        self._session_due.set()
        while True:
            await self._session_due.wait()
            self._session_due.clear()
            announcement = self.incarnation.announcement
            if announcement is None:
                await self._report_lost_runs()
                continue
            session = await self._open_session(announcement)
            if session is None:
                self._session_due.set()
                await asyncio.sleep(clock.seconds(SESSION_RETRY_PAUSE_MS))
                continue
            await self._run_session(session)

    async def _report_lost_runs(self) -> None:
        """Reports all runs as lost after the worker's incarnation has ended."""
        session = self.session
        lost = self.held.end_all("lost", "worker_left")
        if session is None or not (lost or self.held.ends):
            return
        try:
            await self._report_once(session)
        except errors.RouterError as err:
            events.log(events.REPORT_FAILED, worker=self.worker, error=str(err))

    async def _open_session(
        self, announcement: worker_port.Announcement
    ) -> worker_session.Session | None:
        """Opens a session with the announced incarnation; None on failure."""
        previous = self.session
        lease = run_lease.RunLease(longest_ms=self.max_lease_ms)
        if previous is not None:
            await previous.port.close()
            previous.mark_unreachable()
            if previous.announcement.incarnation == announcement.incarnation:
                lease = previous.lease
        port = self.ports.open(announcement)
        try:
            number = await session_opening.agree_on_session(
                worker=self.worker,
                announcement=announcement,
                client=self.client,
                port=port,
                previous=lambda: session_opening.previous_incarnation(
                    previous,
                    announcement,
                    (pending.end for pending in self.held.ends),
                    self.held.started(),
                    self.clock.now(),
                ),
            )
        except errors.RouterError as err:
            events.log(
                events.SESSION_FAILED, worker=self.worker, error=str(err)
            )
            if isinstance(err, worker_port.IncarnationMismatchError):
                self.incarnation.refute(announcement)
            await port.close()
            return None
        if (
            previous is not None
            and previous.announcement.incarnation != announcement.incarnation
        ):
            self.held.end_all("lost", "incarnation_replaced")
            self.held.begin_incarnation()
        self.session = None
        return worker_session.Session(
            announcement=self.incarnation.newest(announcement),
            number=number,
            room=announcement.capacity,
            port=port,
            token=session_opening.first_token(number),
            lease=lease,
            pacer=pacing.Pacer(),
            announce_interval_ms=self.announce_interval_ms,
        )

    async def _run_session(self, session: worker_session.Session) -> None:
        """Runs the loops of a session until the session ends."""
        self.session = session
        self._set_log_fields(session)
        self.held.begin_session(self.clock.now())
        loops = [
            asyncio.create_task(self._poll_loop(session)),
            asyncio.create_task(self._report_loop(session)),
            asyncio.create_task(self._growth.run(session)),
        ]
        waiting = asyncio.create_task(self._session_due.wait())
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
        self._session_due.set()

    def _continue_opened_anew(self, session: worker_session.Session) -> None:
        """Reports the new number of a session that goes on."""
        self._set_log_fields(session)
        self._report_due.set()

    def _set_log_fields(self, session: worker_session.Session) -> None:
        self.held.ended.log_fields = {
            "life": session.announcement.incarnation,
            "session": session.number,
        }

    # --- Polls of the worker -------------------------------------------------

    async def _poll_loop(self, session: worker_session.Session) -> None:
        wait_ms = 0
        while True:
            sent_ms = self.clock.now()
            answered = await self._poll(session, wait_ms)
            wait_ms = POLL_WAIT_MS if answered else 0
            if not answered:
                self._end_runs_if_lease_expired(session, sent_ms)
                await asyncio.sleep(clock.seconds(POLL_RETRY_PAUSE_MS))
            elif session.lease.in_doubt:
                wait_ms = 0
                await asyncio.sleep(clock.seconds(POLL_RETRY_PAUSE_MS))
            elif self.held.ends:
                # The worker answers a poll immediately while it has ends that
                # aren't acknowledged, so wait for the leader's confirmation.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        clock.seconds(CONFIRMATION_WAIT_MS)
                    ):
                        await self._end_confirmed.wait()
            elif self.held.unsettled:
                # The worker lists ends that can't be acknowledged yet.
                await asyncio.sleep(clock.seconds(POLL_RETRY_PAUSE_MS))

    async def _poll(
        self, session: worker_session.Session, wait_ms: int
    ) -> bool:
        """Polls the worker for its runs; returns whether it answered."""
        sent_ms = self.clock.now()
        token = session.token
        acknowledged = session.next_acknowledged(
            self.held.acknowledgeable_end()
        )
        until_ms = session.lease_until(sent_ms)
        session.last_poll_answered = False
        try:
            view = await session.port.poll(
                token=token,
                acknowledged=acknowledged,
                until_ms=until_ms,
                wait_ms=wait_ms,
            )
        except worker_port.RejectedError as err:
            if err.reason == "fence" and session.token == token:
                # A call of another agent process had a higher token.
                session.lease.invalidate()
                session.token += 1
            return False
        except worker_port.IncarnationMismatchError:
            # Later calls would reach the other incarnation as well.
            session.mark_unreachable()
            session.record_failed_poll(self.clock.now())
            return False
        except errors.RouterError:
            session.token = max(session.token, token + 1)
            session.record_failed_poll(self.clock.now())
            return False
        if self.session is not session:
            # The view may be of an earlier incarnation.
            return False
        now = self.clock.now()
        session.view_clock_ms, session.view_requested_ms = (
            view.clock_ms,
            sent_ms,
        )
        session.lease.record_clock(worker_ms=view.clock_ms, received_ms=now)
        if session.lease.in_doubt:
            events.log(
                events.ANNOUNCEMENT_REFUSED,
                worker=self.worker,
                life=session.announcement.incarnation,
                error="the worker's clock doesn't fit its earlier answers",
                clock_ms=view.clock_ms,
                took_ms=now - sent_ms,
            )
        if not session.reachable(now):
            self._report_due.set()
        session.answered_ms = now
        session.renewed_until_ms = until_ms or session.renewed_until_ms
        session.last_poll_answered = True
        session.silent_since_ms = None
        session.acknowledged = max(session.acknowledged, acknowledged)
        if self.held.reconcile(view, token=token, sent_ms=sent_ms):
            self._end_confirmed.clear()
            self._report_due.set()
        self.orders.send_due_stops(session)
        self.orders.adjust_speeds(session)
        return True

    async def _poll_once(self, session: worker_session.Session) -> None:
        await self._poll(session, 0)

    def _end_runs_if_lease_expired(
        self, session: worker_session.Session, polled_ms: int
    ) -> None:
        """Declares all runs lost once the worker's lease has expired.

        If this process was paused, the lease may have expired although the
        worker answers, and the worker may list ends of the runs. Runs are
        therefore lost only after an unanswered poll that was sent after the
        lease had expired, and during which this process wasn't paused.

        Args:
            session: The current session.
            polled_ms: Time at which the last unanswered poll was sent, in ms
                on the agent's clock.
        """
        now = self.clock.now()
        paused = now - polled_ms > MAX_FAILED_POLL_MS
        if self.held.runs and session.lease.expired(polled_ms) and not paused:
            evidence = {
                "answered_ms": session.answered_ms,
                "polled_ms": polled_ms,
                "lease_end_ms": session.lease.end_ms(),
            }
            lost = self.held.end_all("lost", "lease_expired", **evidence)
            events.log(
                events.WORKER_LOST,
                worker=self.worker,
                life=session.announcement.incarnation,
                runs=lost,
                silent_ms=now - session.answered_ms,
                **evidence,
            )
            self._report_due.set()

    # --- Orders --------------------------------------------------------------

    def _execute_orders(self, orders: job_messages.RunOrders) -> None:
        session = self.session
        # Orders of an earlier term come from a leader that was replaced.
        if orders.term < self._highest_term or session is None:
            return
        self._highest_term = orders.term
        if (
            orders.life != session.announcement.incarnation
            or not session.answered_ms
        ):
            # The runs of the worker are unknown before the first poll.
            return
        now = self.clock.now()
        for order in orders.starts:
            run = self.held.add_order(order, now)
            if run is not None:
                self._spawn(self.orders.start(session, run))
        for stop in orders.stops:
            self.held.add_stop(stop, now)
        self.orders.send_due_stops(session)
        if self.held.ends:
            self._report_due.set()

    # --- Reports -------------------------------------------------------------

    def _request_report(self) -> None:
        self._report_due.set()

    async def _report_loop(self, session: worker_session.Session) -> None:
        while True:
            await asyncio.sleep(clock.seconds(REPORT_BATCH_MS))
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
        """Sends a report; returns whether the session is still valid.

        Raises:
            RouterError: No leader answered.
        """
        sent_ms = self.clock.now()
        number = session.number
        ends = list(self.held.ends)
        reply = await self.client.call(
            self._build_report(session, sent_ms, ends),
            timeout_ms=REPORT_TIMEOUT_MS,
        )
        if not isinstance(reply, job_messages.WorkerReply):
            raise errors.ProtocolError(
                text=f"unexpected {type(reply).__name__}",
                step="report",
                peer=self.worker,
            )
        self.client.learn_replicas(
            reply.replicas, members_index=reply.members_index
        )
        if not reply.known:
            # The leader may just have opened the session anew.
            await self._growth.wait_until_idle()
            if session.number != number:
                return True
            events.log(
                events.SESSION_ENDED, worker=self.worker, session=session.number
            )
            return False
        session.grant_end_ms = max(
            session.grant_end_ms, sent_ms + reply.lease_ms
        )
        session.weights = {
            (pair.serving, pair.filling): pair.weight
            for pair in reply.disturbances
        }
        self.held.confirm(ends)
        self._end_confirmed.set()
        self._execute_orders(reply.orders)
        return True

    def _build_report(
        self,
        session: worker_session.Session,
        now: int,
        ends: list[held_runs.PendingEnd],
    ) -> job_messages.WorkerReport:
        self._report_sequence += 1
        announced = session.announcement
        return job_messages.WorkerReport(
            worker=self.worker,
            life=announced.incarnation,
            session=session.number,
            sequence=self._report_sequence,
            service=announced.service,
            zone=announced.zone,
            labels=announced.labels,
            rack=announced.rack,
            room=announced.capacity,
            draining=announced.draining,
            reachable=session.usable(now),
            runs=tuple(run.report() for run in self.held.runs.values()),
            ends=tuple(pending.end for pending in ends),
            view_age_ms=self.held.view_age_ms(now),
            members_index=self.client.members_index,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            events.log(
                events.SESSION_FAILED,
                worker=self.worker,
                error=repr(task.exception()),
            )
