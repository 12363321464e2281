"""The runs that an agent has orders for, and what became of them.

A run is queued until its start order is sent, starting until it is answered,
uncertain while nobody knows whether the worker has it, and running once the
worker lists it. An uncertain run is settled by a view of the worker that was
asked for later and with a higher fencing token: the worker then carries the
older order out no more, so a run that isn't listed will never be.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs

Phase = Literal["queued", "starting", "uncertain", "running"]
# A view may have been overtaken by a later one, so one is no proof.
VIEWS_WITHOUT_RUN: Final = 2
# More than a worker ends while an order may be held up.
REMEMBERED_TASKS: Final = 10_000


@dataclasses.dataclass(kw_only=True, eq=False)
class HeldRun:
    """One run.

    Attributes:
        task: The task.
        attempt: Number of the start.
        order: The start order; None if the run was found on the worker or a
            stop order came first.
        phase: What is known about it.
        since_ms: When the phase began, on the agent's clock.
        token: Fencing token of its newest start order; -1 if there was none.
        stopping: Whether it is to be stopped.
        row: What the worker listed last.
        pace: Share of its speed that it was last told to work at, in percent.
        missed: Views in a row that didn't list the run while it was running.
    """

    task: jobs.TaskRef
    attempt: int
    order: job_messages.StartOrder | None
    phase: Phase
    since_ms: int
    token: int = -1
    stopping: bool = False
    row: worker_port.RunningRow | None = None
    missed: int = 0
    pace: int = 100

    def report(self) -> job_messages.HeldRun:
        """Returns what the leader is told."""
        if self.row is None:
            return job_messages.HeldRun(
                task=self.task,
                attempt=self.attempt,
                ordered=self.order is not None,
            )
        return job_messages.HeldRun(
            task=self.task,
            attempt=self.attempt,
            running=True,
            checkpoint=self.row.checkpoint,
            progress=self.row.progress,
            pace=self.pace,
            figure=self.row.figure,
            ordered=self.order is not None,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingEnd:
    """An end that the leader hasn't confirmed.

    Attributes:
        number: Its number in the worker's life; 0 if the worker didn't list
            it.
        end: The end.
    """

    number: int
    end: jobs.RunEnd


class HeldRuns:
    """All runs of one worker.

    Attributes:
        runs: Runs by task and attempt.
        ends: Ends that the leader hasn't confirmed, in order.
        acknowledged: Ends of the worker up to this number are confirmed.
        seen: Ends of the worker up to this number were taken note of.
        over: Highest attempt of each task that has ended here. A copy of an
            order may be held up until its run was given up and the task was
            started elsewhere; it must not be carried out then.
    """

    def __init__(self) -> None:
        self.runs: dict[jobs.RunKey, HeldRun] = {}
        self.ends: list[PendingEnd] = []
        self.acknowledged = 0
        self.seen = 0
        self.over: dict[jobs.TaskRef, int] = {}

    def add_order(
        self, order: job_messages.StartOrder, now: int
    ) -> HeldRun | None:
        """Takes a start order; returns None if the run is known."""
        key = (order.task, order.attempt)
        known = self.runs.get(key)
        if known is not None:
            known.order = order
        if known is not None or self._has_ended(key):
            return None
        run = HeldRun(
            task=order.task,
            attempt=order.attempt,
            order=order,
            phase="queued",
            since_ms=now,
        )
        self.runs[key] = run
        return run

    def add_stop(
        self, order: job_messages.StopOrder, now: int
    ) -> HeldRun | None:
        """Takes a stop order; returns the run if it must be stopped now.

        A run that was not sent to the worker ends here. An unknown one is
        kept, so that a start order that comes late is not carried out.
        """
        key = (order.task, order.attempt)
        if self._has_ended(key):
            return None
        run = self.runs.get(key)
        if run is None:
            run = self.runs[key] = HeldRun(
                task=order.task,
                attempt=order.attempt,
                order=None,
                phase="uncertain",
                since_ms=now,
            )
        elif run.phase == "queued":
            self.end(run, "rejected")
            return None
        if run.stopping:
            return None
        run.stopping = True
        return run

    def end(self, run: HeldRun, how: jobs.RunOutcome) -> None:
        """Ends a run that the worker doesn't list as ended."""
        if self.runs.pop((run.task, run.attempt), None) is not run:
            return
        self._remember((run.task, run.attempt))
        checkpoint = run.row.checkpoint if run.row is not None else ""
        self.ends.append(
            PendingEnd(
                number=0,
                end=jobs.RunEnd(
                    task=run.task,
                    attempt=run.attempt,
                    how=how,
                    checkpoint=checkpoint,
                ),
            )
        )

    def end_all(self, how: jobs.RunOutcome) -> int:
        """Ends all runs; returns how many there were."""
        runs = list(self.runs.values())
        for run in runs:
            self.end(run, how)
        return len(runs)

    def begin_life(self) -> None:
        """Forgets the numbers of ends, which begin anew with each life."""
        self.ends = [
            dataclasses.replace(pending, number=0) for pending in self.ends
        ]
        self.acknowledged = 0
        self.seen = 0

    def confirm(self, confirmed: Iterable[PendingEnd]) -> None:
        """Removes ends that the leader has committed."""
        done = {id(pending) for pending in confirmed}
        self.acknowledged = max(
            self.acknowledged,
            max(
                (p.number for p in self.ends if id(p) in done),
                default=0,
            ),
        )
        self.ends = [p for p in self.ends if id(p) not in done]

    def settle(
        self, view: worker_port.WorkerView, *, token: int, sent_ms: int
    ) -> bool:
        """Takes a view of the worker; returns whether a run ended.

        Args:
            view: The view.
            token: Fencing token with which it was asked for.
            sent_ms: When it was asked for, on the agent's clock.
        """
        ends_before = len(self.ends)
        self._note_ends(view.ended)
        listed = {(row.task, row.attempt): row for row in view.running}
        for key, row in listed.items():
            self._note_running(key, row, sent_ms)
        for key, run in list(self.runs.items()):
            if key not in listed and run.since_ms <= sent_ms:
                self._note_missing(run, token)
        return len(self.ends) > ends_before

    def _note_ends(self, rows: Iterable[worker_port.EndedRow]) -> None:
        for row in sorted(rows, key=lambda row: row.number):
            if row.number <= self.seen:
                continue
            self.seen = row.number
            self.runs.pop((row.end.task, row.end.attempt), None)
            self._remember((row.end.task, row.end.attempt))
            self.ends.append(PendingEnd(number=row.number, end=row.end))

    def _note_running(
        self, key: jobs.RunKey, row: worker_port.RunningRow, sent_ms: int
    ) -> None:
        run = self.runs.get(key)
        if run is None:
            # Also one that was given up: the leader has it stopped.
            run = self.runs[key] = HeldRun(
                task=row.task,
                attempt=row.attempt,
                order=None,
                phase="running",
                since_ms=sent_ms,
            )
        if run.phase != "running":
            run.phase = "running"
            run.since_ms = sent_ms
        run.missed = 0
        run.row = row

    def _note_missing(self, run: HeldRun, token: int) -> None:
        if run.phase == "uncertain" and token > run.token:
            self.end(run, "rejected")
        elif run.phase == "running":
            run.missed += 1
            if run.missed >= VIEWS_WITHOUT_RUN:
                self.end(run, "lost")

    def _remember(self, key: jobs.RunKey) -> None:
        task, attempt = key
        highest = max(attempt, self.over.pop(task, 0))
        self.over[task] = highest
        while len(self.over) > REMEMBERED_TASKS:
            del self.over[next(iter(self.over))]

    def _has_ended(self, key: jobs.RunKey) -> bool:
        task, attempt = key
        return attempt <= self.over.get(task, 0)
