"""Defines a fake worker and a fake leader for tests of an agent's session."""

import asyncio
from typing import Any

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import messages
from tests import job_builders as make

WAIT_S = 5.0
# Time until the fake worker handles a poll and the fake leader handles a call.
ANSWER_DELAY_S = 0.005


class FakeWorker:
    """A worker that receives the agent's orders and polls as method calls.

    It implements `WorkerPorts`; its ports are `FakePort`s.

    Attributes:
        incarnation: ID of the incarnation that answers.
        cursors: For each poll, the incarnation that received it and the number
            up to which it acknowledged ends; 0 if it acknowledged none.
        running: Attempts of the current runs by task.
        ends: Numbered ends of runs that are not acknowledged.
        token: Highest fencing token received.
        acknowledged: Highest acknowledged number of an end.
        lease_end_ms: End of the lease in ms on the worker's clock.
        silent: Whether the worker answers no calls.
        unanswered_polls: Number of upcoming polls without an answer.
        unanswered: Number of upcoming start orders without an answer.
        refused: Number of upcoming start orders whose connection is refused.
        executes_unanswered: Whether unanswered start orders are executed
            immediately; otherwise only by `execute_delayed`.
        ignored_stops: Number of upcoming stop orders that are acknowledged, but
            not executed.
        delayed: Unanswered start orders that were not executed.
        starts: All executed start orders.
        time: Clock of the worker.
    """

    def __init__(self) -> None:
        self.incarnation = "w1@1"
        self.cursors: list[tuple[str, int]] = []
        self.running: dict[jobs.TaskRef, int] = {}
        self.ends: list[worker_port.EndedRow] = []
        self.token = 0
        self.acknowledged = 0
        self.lease_end_ms = 0
        self.silent = False
        self.unanswered_polls = 0
        self.unanswered = 0
        self.refused = 0
        self.executes_unanswered = True
        self.ignored_stops = 0
        self.delayed: list[worker_port.StartRun] = []
        self.starts: list[worker_port.StartRun] = []
        self.time: clock.Clock = clock.SystemClock()
        self._last_number = 0

    def open(
        self, announcement: worker_port.Announcement
    ) -> worker_port.WorkerPort:
        return FakePort(self, announcement.incarnation)

    def finish(self, task: jobs.TaskRef, outcome: jobs.RunOutcome) -> None:
        """Ends the run of a task; the end is kept until it is acknowledged."""
        self._last_number += 1
        attempt = self.running.pop(task)
        end = jobs.RunEnd(task=task, attempt=attempt, how=outcome)
        self.ends.append(
            worker_port.EndedRow(number=self._last_number, end=end)
        )

    def restart(self, incarnation: str) -> None:
        """Begins an incarnation that knows nothing of the earlier one."""
        self.incarnation = incarnation
        self.running.clear()
        self.ends.clear()
        self.token = self.acknowledged = self._last_number = 0

    def execute_delayed(self, *, ignore_token: bool = False) -> None:
        """Executes the delayed orders.

        Args:
            ignore_token: Whether orders that were fenced off are executed too.
        """
        for order in self.delayed:
            if self._is_late(order):
                continue
            if ignore_token or order.token >= self.token:
                self._start_run(order)
        self.delayed.clear()

    async def start(self, order: worker_port.StartRun) -> None:
        self._check_silent()
        if self.refused:
            self.refused -= 1
            raise worker_port.NotDeliveredError(
                text="refused", step="test", peer="worker"
            )
        if self.unanswered:
            self.unanswered -= 1
            if self.executes_unanswered:
                self._start_run(order)
            else:
                self.delayed.append(order)
            raise self._no_answer_error()
        self._check_token(order.token)
        if self._is_late(order):
            raise worker_port.RejectedError(
                reason="late", step="test", peer="worker"
            )
        self._start_run(order)

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        self._check_silent()
        self._check_token(token)
        if self.ignored_stops:
            self.ignored_stops -= 1
        elif self.running.get(task) == attempt:
            self.finish(task, "stopped")

    async def pace(
        self, task: jobs.TaskRef, attempt: int, *, percent: int, token: int
    ) -> None:
        self._check_silent()

    async def poll(
        self,
        *,
        expected: str,
        token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> worker_port.WorkerView:
        await asyncio.sleep(ANSWER_DELAY_S)
        self.cursors.append((self.incarnation, acknowledged))
        self._check_silent()
        if self.unanswered_polls:
            self.unanswered_polls -= 1
            raise self._no_answer_error()
        if expected != self.incarnation:
            raise worker_port.IncarnationMismatchError(
                text=self.incarnation, step="test", peer="worker"
            )
        self._check_token(token)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ends = [row for row in self.ends if row.number > acknowledged]
        self.lease_end_ms = max(self.lease_end_ms, until_ms or 0)
        return worker_port.WorkerView(
            clock_ms=self.time.now(),
            running=tuple(
                running_row(task, attempt)
                for task, attempt in self.running.items()
            ),
            ended=tuple(self.ends),
        )

    def _is_late(self, order: worker_port.StartRun) -> bool:
        return order.until_ms <= self.time.now()

    def _start_run(self, order: worker_port.StartRun) -> None:
        self.lease_end_ms = max(self.lease_end_ms, order.until_ms)
        self.running[order.task] = order.attempt
        self.starts.append(order)

    def _check_token(self, token: int) -> None:
        if token < self.token:
            raise worker_port.RejectedError(
                reason="fence", step="test", peer="worker"
            )
        self.token = token

    def _check_silent(self) -> None:
        if self.silent:
            raise self._no_answer_error()

    def _no_answer_error(self) -> worker_port.NoAnswerError:
        return worker_port.NoAnswerError(
            text="no answer", step="test", peer="worker"
        )


class FakePort:
    """A port to one incarnation of a fake worker.

    Attributes:
        worker: The fake worker.
        incarnation: ID of the incarnation that the port was opened for.
    """

    def __init__(self, worker: FakeWorker, incarnation: str) -> None:
        self.worker = worker
        self.incarnation = incarnation

    async def start(self, order: worker_port.StartRun) -> None:
        await self.worker.start(order)

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        await self.worker.stop(task, attempt, token=token)

    async def pace(
        self, task: jobs.TaskRef, attempt: int, *, percent: int, token: int
    ) -> None:
        await self.worker.pace(task, attempt, percent=percent, token=token)

    async def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> worker_port.WorkerView:
        return await self.worker.poll(
            expected=self.incarnation,
            token=token,
            acknowledged=acknowledged,
            until_ms=until_ms,
            wait_ms=wait_ms,
        )

    async def close(self) -> None:
        pass


class LearnedReplicas:
    """Stores the addresses of replicas as `ControlClient` does."""

    def __init__(self) -> None:
        self.learned_replicas: tuple[str, ...] = ()
        self.members_index = 0

    def learn_replicas(
        self, replicas: tuple[str, ...], *, members_index: int = 0
    ) -> None:
        if replicas:
            self.learned_replicas = replicas
            self.members_index = members_index


class FakeLeaderClient(LearnedReplicas):
    """Answers an agent's calls in place of the leader.

    Attributes:
        reports: All received reports.
        ends: All reported ends of runs, in order.
        lease_ms: Duration in ms of the lease that each answer grants.
        silent: Whether the leader receives and answers no calls.
        session_requests: Number of requests to open a session.
        knows_session: Whether the leader knows the latest session.
        has_earlier_runs: Whether the leader knows of runs on an earlier
            incarnation; requests that don't fence them are then refused.
        failed_session_requests: Number of requests to open a session that were
            not answered.
        superseded_offers: Number of upcoming fenced requests that are answered
            with a new offer.
        opened_sessions: Requests whose session was opened.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[job_messages.WorkerReport] = []
        self.ends: list[jobs.RunEnd] = []
        self.lease_ms = 6000
        self.silent = False
        self.session_requests = 0
        self.knows_session = True
        self.has_earlier_runs = False
        self.superseded_offers = 0
        self.failed_session_requests = 0
        self.opened_sessions: list[job_messages.OpenWorkerSession] = []

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        await asyncio.sleep(ANSWER_DELAY_S)
        if self.silent:
            self.failed_session_requests += isinstance(
                message, job_messages.OpenWorkerSession
            )
            raise errors.RequestTimeoutError(text="no answer", step="test")
        if isinstance(message, job_messages.OpenWorkerSession):
            self.session_requests += 1
            if self.has_earlier_runs and not message.fenced:
                return job_messages.WorkerSession(
                    number=self.session_requests, opened=False
                )
            if message.fenced and self.superseded_offers:
                self.superseded_offers -= 1
                return job_messages.WorkerSession(
                    number=self.session_requests, opened=False
                )
            self.knows_session = True
            self.opened_sessions.append(message)
            return job_messages.WorkerSession(number=self.session_requests)
        if not isinstance(message, job_messages.WorkerReport):
            raise errors.ProtocolError(text="unexpected message", step="test")
        self.reports.append(message)
        self.ends.extend(message.ends)
        return job_messages.WorkerReply(
            known=self.knows_session,
            lease_ms=self.lease_ms,
            orders=job_messages.RunOrders(term=1, life=message.life),
        )


def announcement(**fields: Any) -> worker_port.Announcement:
    """Returns an announcement of the first incarnation, changed by `fields`."""
    values = {
        "id": "w1",
        "started_ms": 1,
        "sequence": 1,
        "address": "127.0.0.1:1",
        "service": "desk",
        "zone": "z1",
        "labels": ("a",),
        "rack": "r1",
        "capacity": make.CAPACITY,
        "draining": False,
        **fields,
    }
    return worker_port.Announcement(**values)


def running_row(task: jobs.TaskRef, attempt: int) -> worker_port.RunningRow:
    """Returns the row of a running run."""
    return worker_port.RunningRow(
        task=task, attempt=attempt, checkpoint="", progress=50, figure=0
    )


def start_orders(
    *tasks: jobs.TaskRef,
    term: int = 1,
    incarnation: str = "w1@1",
    attempt: int = 1,
) -> job_messages.RunOrders:
    """Returns orders to start a run of each task."""
    return job_messages.RunOrders(
        term=term,
        life=incarnation,
        starts=tuple(
            job_messages.StartOrder(
                task=task,
                attempt=attempt,
                spec="work",
                checkpoint="",
                fills=False,
                target_ms=0,
                need=make.need(),
            )
            for task in tasks
        ),
    )


def stop_orders(
    *tasks: jobs.TaskRef, incarnation: str = "w1@1"
) -> job_messages.RunOrders:
    """Returns orders to stop the first attempt of each task."""
    return job_messages.RunOrders(
        term=1,
        life=incarnation,
        stops=tuple(
            job_messages.StopOrder(task=task, attempt=1) for task in tasks
        ),
    )
