"""A worker and a leader for tests of an agent's session, in one process."""

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
PAUSE_S = 0.005


class FakeWorker:
    """One life of a worker, and the ports to it.

    Attributes:
        running: Running runs by task, with their attempt.
        ends: Ends that were not acknowledged.
        token: Highest fencing token seen.
        acknowledged: Ends up to this number may be forgotten.
        until_ms: End of the lease on its clock.
        silent: Whether it answers nothing.
        unanswered: How many start orders it leaves unanswered from now on.
        carries_out: Whether it carries unanswered orders out at once.
        delayed: Unanswered start orders that it hasn't carried out.
        starts: All start orders that it has carried out.
        life: The life that answers.
        cursors: Acknowledged numbers of all looks, with the life they reached.
    """

    def __init__(self) -> None:
        self.life = "w1@1"
        self.cursors: list[tuple[str, int]] = []
        self._opened = ""
        self.running: dict[jobs.TaskRef, int] = {}
        self.ends: list[worker_port.EndedRow] = []
        self.token = 0
        self.acknowledged = 0
        self.until_ms = 0
        self.silent = False
        self.unanswered = 0
        self.carries_out = True
        self.delayed: list[worker_port.StartRun] = []
        self.starts: list[worker_port.StartRun] = []
        self._time = clock.SystemClock()
        self._count = 0

    def open(
        self, announcement: worker_port.Announcement
    ) -> worker_port.WorkerPort:
        self._opened = announcement.incarnation
        return self

    def finish(self, task: jobs.TaskRef, how: jobs.RunOutcome) -> None:
        """Ends a run."""
        self._count += 1
        attempt = self.running.pop(task)
        end = jobs.RunEnd(task=task, attempt=attempt, how=how)
        self.ends.append(worker_port.EndedRow(number=self._count, end=end))

    def carry_out_delayed(self) -> None:
        """Carries out what was left unanswered, unless it is fenced off."""
        for order in self.delayed:
            if order.token >= self.token:
                self._run(order)
        self.delayed.clear()

    async def start(self, order: worker_port.StartRun) -> None:
        self._answer()
        if self.unanswered:
            self.unanswered -= 1
            if self.carries_out:
                self._run(order)
            else:
                self.delayed.append(order)
            raise self._no_answer()
        self._check(order.token)
        self._run(order)

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        self._answer()
        self._check(token)
        if self.running.get(task) == attempt:
            self.finish(task, "stopped")

    async def pace(
        self, task: jobs.TaskRef, attempt: int, *, percent: int, token: int
    ) -> None:
        self._answer()

    async def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> worker_port.WorkerView:
        await asyncio.sleep(PAUSE_S)
        self.cursors.append((self.life, acknowledged))
        self._answer()
        if self._opened != self.life:
            raise worker_port.IncarnationMismatchError(
                text=self.life, step="test", peer="worker"
            )
        self._check(token)
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.ends = [row for row in self.ends if row.number > acknowledged]
        self.until_ms = max(self.until_ms, until_ms or 0)
        return worker_port.WorkerView(
            clock_ms=self._time.now(),
            running=tuple(
                worker_port.RunningRow(
                    task=task,
                    attempt=attempt,
                    checkpoint="",
                    progress=50,
                    figure=0,
                )
                for task, attempt in self.running.items()
            ),
            ended=tuple(self.ends),
        )

    async def close(self) -> None:
        pass

    def _run(self, order: worker_port.StartRun) -> None:
        self.running[order.task] = order.attempt
        self.starts.append(order)

    def _check(self, token: int) -> None:
        if token < self.token:
            raise worker_port.RejectedError(
                reason="fence", step="test", peer="worker"
            )
        self.token = token

    def _answer(self) -> None:
        if self.silent:
            raise self._no_answer()

    def _no_answer(self) -> worker_port.NoAnswerError:
        return worker_port.NoAnswerError(
            text="no answer", step="test", peer="worker"
        )


class FakeLeaderClient:
    """Answers what an agent sends to the leader.

    Attributes:
        reports: All reports.
        ends: All ends that were reported, in order.
        lease_ms: Lease that each answer grants.
        sessions: Number of sessions opened.
        knows: Whether the leader knows the newest session.
        has_runs: Whether it knows of runs on an earlier life.
        begun: All calls that began a session.
    """

    def __init__(self) -> None:
        self.reports: list[job_messages.WorkerReport] = []
        self.ends: list[jobs.RunEnd] = []
        self.lease_ms = 6000
        self.sessions = 0
        self.knows = True
        self.has_runs = False
        self.begun: list[job_messages.OpenWorkerSession] = []

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        await asyncio.sleep(PAUSE_S)
        if isinstance(message, job_messages.OpenWorkerSession):
            self.sessions += 1
            if self.has_runs and not message.fenced:
                return job_messages.WorkerSession(
                    number=self.sessions, opened=False
                )
            self.knows = True
            self.begun.append(message)
            return job_messages.WorkerSession(number=self.sessions)
        if not isinstance(message, job_messages.WorkerReport):
            raise errors.ProtocolError(text="unexpected", step="test")
        self.reports.append(message)
        self.ends.extend(message.ends)
        return job_messages.WorkerReply(
            known=self.knows,
            lease_ms=self.lease_ms,
            orders=job_messages.RunOrders(term=1, life=message.life),
        )


def announcement(**fields: Any) -> worker_port.Announcement:
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


def start_orders(
    *tasks: jobs.TaskRef, term: int = 1, life: str = "w1@1", attempt: int = 1
) -> job_messages.RunOrders:
    return job_messages.RunOrders(
        term=term,
        life=life,
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


def stop_orders(*tasks: jobs.TaskRef) -> job_messages.RunOrders:
    return job_messages.RunOrders(
        term=1,
        life="w1@1",
        stops=tuple(
            job_messages.StopOrder(task=task, attempt=1) for task in tasks
        ),
    )
