"""Tracks the state of the runs of a worker on its agent.

A run is held from its first order, or from the first view that lists it, to its
end. It is given up if the agent infers the end. The phase of a run is:

* queued: the start order has not been sent;
* starting: the start order has not been answered;
* uncertain: the outcome of the start order is unknown;
* running: the worker lists the run.

An uncertain run is resolved by a view of the worker that was requested later
and with a higher fencing token. The worker rejects the older order from then
on, so a run that isn't listed in the view will never start.

Views may arrive out of order. A view that was requested after the newest one had
arrived is newer; the worker's clock orders all others of an incarnation. A wrong
clock thus hides no view that is requested later. An older view only contributes
ends, which are numbered. So does a view with an incomplete list of ends, apart
from the runs that it lists.

A run that the worker lists is held, also if the agent had inferred its end. The
inferred end is withdrawn unless the leader has confirmed it already; then the
leader orders the run to stop. See `ended_runs`.

A stop order holds until the run has ended. The worker acknowledges it before
the run ends; if the worker lists the run for longer than a stop takes, the
order is due again.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.workers import end_numbers
from bamboorouter.coordination.workers import ended_runs
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import resource_math

Phase = Literal["queued", "starting", "uncertain", "running"]
# One view without a running run is no proof: if it and the view that lists the
# run have the same time in ms, their order is unknown.
LOST_AFTER_MISSED_VIEWS: Final = 2
MAX_UNREAD_VIEWS: Final = 5
# A worker stops a run within 0.9 s.
STOP_DURATION_MS: Final = 1000


@dataclasses.dataclass(kw_only=True, eq=False)
class HeldRun:
    """A run and its state.

    Attributes:
        task: Task of the run.
        attempt: Attempt number.
        order: Start order; None if the run was found on the worker or a stop
            order arrived first.
        phase: Phase of the run.
        since_ms: Start of the phase, in ms on the agent's clock.
        token: Fencing token of the newest start order; -1 if none was sent.
        stop_ordered: Whether the run must be stopped.
        stopping: Whether a stop order is being sent to the worker.
        stop_acknowledged_ms: Time at which the worker has acknowledged the
            newest stop order, in ms on the agent's clock; None if it hasn't.
        listed_ms: Time at which the newest view that lists the run was
            requested, in ms on the agent's clock; 0 if there is none.
        row: Last row of the run in a view of the worker; None if there is none.
        missed: Successive views that didn't list the run while it was running.
        pace: Last ordered speed, in percent of full speed.
        stop_reserves: What the run reserves on the worker according to its
            stop order; None if unknown.
        started: Whether the worker has answered the start order or listed the
            run. Unlike the phase, it outlasts the session.
    """

    task: jobs.TaskRef
    attempt: int
    order: job_messages.StartOrder | None
    phase: Phase
    since_ms: int
    token: int = -1
    stop_ordered: bool = False
    stopping: bool = False
    stop_acknowledged_ms: int | None = None
    listed_ms: int = 0
    row: worker_port.RunningRow | None = None
    missed: int = 0
    pace: int = 100
    stop_reserves: common.Resources | None = None
    started: bool = False

    def reserves(self) -> common.Resources | None:
        """Returns what the run reserves on the worker; None if unknown."""
        if self.order is None:
            return self.stop_reserves
        return resource_math.reserved(self.order.need, fills=self.order.fills)

    def stop_due(self) -> bool:
        """Returns whether a stop order must be sent to the worker."""
        return (
            self.stop_ordered
            and not self.stopping
            and (
                self.stop_acknowledged_ms is None
                or self.listed_ms - self.stop_acknowledged_ms > STOP_DURATION_MS
            )
        )

    def report(self) -> job_messages.HeldRun:
        """Returns the run's entry in a report to the leader."""
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
    """An end of a run that the leader hasn't confirmed.

    Attributes:
        number: Number of the end in the worker's incarnation; 0 if the worker
            didn't list the end or listed it in an earlier incarnation.
        end: The end.
        inferred: Whether the agent inferred the end.
    """

    number: int
    end: jobs.RunEnd
    inferred: bool = False


class HeldRuns:
    """All runs of one worker.

    Attributes:
        runs: Runs by task and attempt.
        ends: Ends that the leader hasn't confirmed, in order.
        last_confirmed_end: Highest number of an end that the leader has
            confirmed and that may be acknowledged.
        end_numbers: Numbers of the ends that the worker has listed.
        unsettled: Whether the newest view lists ends, or isn't complete. The
            worker then answers the next poll without delay.
        newest_view_ms: Time of the newest view of the incarnation, in ms on the
            worker's clock.
        newest_view_received_ms: Time at which that view arrived, in ms on the
            agent's clock.
        ended: Runs that have ended. A copy of a start order may arrive after
            its run was declared lost and the task was restarted on another
            worker; it must not be executed then.
        clock: Source of time.
    """

    def __init__(self, *, worker: str, time: clock.Clock) -> None:
        self.runs: dict[jobs.RunKey, HeldRun] = {}
        self.ends: list[PendingEnd] = []
        self.last_confirmed_end = 0
        self.end_numbers = end_numbers.EndNumbers()
        # Confirmed ends that may not be acknowledged yet.
        self._confirmed: set[int] = set()
        self.newest_view_ms = 0
        self.newest_view_received_ms = 0
        self.unsettled = False
        # Number of successive views with ends that couldn't be read.
        self._unread_views = 0
        self.ended = ended_runs.EndedRuns(worker=worker)
        self.clock = time

    def add_order(
        self, order: job_messages.StartOrder, now: int
    ) -> HeldRun | None:
        """Adds a start order; returns the run if it is new.

        An existing run keeps its phase and gets the order.
        """
        key = (order.task, order.attempt)
        existing = self.runs.get(key)
        if existing is not None:
            existing.order = order
        if existing is not None or self.ended.forbids_start(key):
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

    def add_stop(self, order: job_messages.StopOrder, now: int) -> None:
        """Adds a stop order.

        A run that was not sent to the worker ends immediately. An unknown run
        is added, so that a delayed start order for it is not executed. A run
        that was given up is stopped if the worker lists it.
        """
        key = (order.task, order.attempt)
        run = self.runs.get(key)
        if run is not None and run.phase == "queued":
            self.end(run, "rejected", "never_sent")
        elif run is not None:
            run.stop_ordered = True
            run.stop_reserves = order.reserves or run.stop_reserves
        elif key in self.ended.listed:
            self.ended.log_stop_not_sent(key, "ended")
        elif key in self.ended.inferred:
            self.ended.inferred[key].stop_ordered = True
            self.ended.log_stop_not_sent(key, "given_up")
        else:
            self.runs[key] = HeldRun(
                task=order.task,
                attempt=order.attempt,
                order=None,
                phase="uncertain",
                since_ms=now,
                stop_ordered=True,
                stop_reserves=order.reserves,
            )

    def take_due_stops(self) -> list[HeldRun]:
        """Returns the runs to which a stop order must be sent now."""
        due = [run for run in self.runs.values() if run.stop_due()]
        for run in due:
            run.stopping = True
        return due

    def begin_session(self, now: int) -> None:
        """Marks the outcome of orders of an earlier session as unknown."""
        for run in self.runs.values():
            run.phase = "uncertain"
            run.since_ms = now
            run.stopping = False
            run.stop_acknowledged_ms = None

    def end(
        self,
        run: HeldRun,
        how: jobs.RunOutcome,
        evidence: ended_runs.Evidence,
        **fields: object,
    ) -> None:
        """Ends a run that the worker hasn't listed as ended.

        Args:
            run: The run.
            how: Outcome for the leader.
            evidence: Reason for the conclusion.
            **fields: Details of the evidence, for the log.
        """
        if self.runs.pop((run.task, run.attempt), None) is not run:
            return
        self.ended.add_inferred(
            (run.task, run.attempt),
            ended_runs.InferredEnd(
                how=how,
                evidence=evidence,
                at_ms=self.clock.now(),
                stop_ordered=run.stop_ordered,
            ),
            token=run.token,
            phase=run.phase,
            **fields,
        )
        checkpoint = run.row.checkpoint if run.row is not None else ""
        self.ends.append(
            PendingEnd(
                number=0,
                inferred=True,
                end=jobs.RunEnd(
                    task=run.task,
                    attempt=run.attempt,
                    how=how,
                    checkpoint=checkpoint,
                    started=run.started,
                ),
            )
        )

    def end_all(
        self,
        how: jobs.RunOutcome,
        evidence: ended_runs.Evidence,
        **fields: object,
    ) -> int:
        """Ends all runs; returns their number."""
        runs = list(self.runs.values())
        for run in runs:
            self.end(run, how, evidence, **fields)
        return len(runs)

    def begin_incarnation(self) -> None:
        """Forgets what holds for one incarnation: its ends and their numbers."""
        self.ended.begin_incarnation()
        self.ends = [
            dataclasses.replace(pending, number=0) for pending in self.ends
        ]
        self.last_confirmed_end = 0
        self.end_numbers = end_numbers.EndNumbers()
        self._confirmed.clear()
        self.newest_view_ms = 0
        self.newest_view_received_ms = 0

    def started(self) -> tuple[jobs.RunId, ...]:
        """Returns the runs whose start the worker has confirmed."""
        return tuple(
            jobs.RunId(task=run.task, attempt=run.attempt)
            for run in self.runs.values()
            if run.started
        )

    def view_age_ms(self, now: int) -> int:
        """Returns the age in ms of the newest view; 0 before the first one.

        Args:
            now: Current time in ms on the agent's clock.
        """
        received_ms = self.newest_view_received_ms
        return now - received_ms if received_ms else 0

    def confirm(self, confirmed: Iterable[PendingEnd]) -> None:
        """Removes ends that the leader has confirmed."""
        done = {id(pending) for pending in confirmed}
        self._confirmed |= {p.number for p in self.ends if id(p) in done}
        self.ends = [p for p in self.ends if id(p) not in done]
        self._update_last_confirmed()

    def _update_last_confirmed(self) -> None:
        usable = set(filter(self.end_numbers.may_acknowledge, self._confirmed))
        self.last_confirmed_end = max(self.last_confirmed_end, *usable, 0)
        self._confirmed -= usable

    def acknowledgeable_end(self) -> int:
        """Returns the number up to which ends may be acknowledged.

        An acknowledgement covers all lower numbers, also those of ends that
        couldn't be read. They are asked for again first, but not for ever,
        because the worker lists a limited number of ends.
        """
        if 0 < self._unread_views < MAX_UNREAD_VIEWS:
            return 0
        return self.last_confirmed_end

    def reconcile(
        self, view: worker_port.WorkerView, *, token: int, sent_ms: int
    ) -> bool:
        """Updates the runs from a view; returns whether a run ended.

        Args:
            view: View of the worker.
            token: Fencing token of the poll that returned the view.
            sent_ms: Time at which the poll was sent, in ms on the agent's
                clock.
        """
        last_end = self.ends[-1:]
        if not self._add_ends(view.ended):
            events.log(
                events.ANNOUNCEMENT_REFUSED,
                worker=self.ended.worker,
                error="numbers of ends are far above the others",
                highest=self.end_numbers.highest,
                **self.ended.log_fields,
            )
            view = dataclasses.replace(view, complete=False)
        self.unsettled = bool(view.ended) or not view.complete
        self._unread_views = self._unread_views + 1 if view.unread_ends else 0
        if (
            view.clock_ms >= self.newest_view_ms
            or sent_ms > self.newest_view_received_ms
        ):
            self.newest_view_ms = view.clock_ms
            self.newest_view_received_ms = self.clock.now()
            self._update_runs(view, token=token, sent_ms=sent_ms)
        return bool(self.ends) and self.ends[-1:] != last_end

    def _update_runs(
        self, view: worker_port.WorkerView, *, token: int, sent_ms: int
    ) -> None:
        listed = {(row.task, row.attempt): row for row in view.running}
        for key, row in listed.items():
            self._update_running(key, row, token, sent_ms)
        if not view.complete:
            return
        for key, run in list(self.runs.items()):
            if key not in listed and run.since_ms <= sent_ms:
                self._update_missing(run, token, sent_ms)

    def _add_ends(self, rows: Iterable[worker_port.EndedRow]) -> bool:
        """Adds new ends; returns whether all ends of the list are known."""
        new, all_known = self.end_numbers.take_new(rows)
        self._update_last_confirmed()
        for row in new:
            key = (row.end.task, row.end.attempt)
            self.runs.pop(key, None)
            self.ended.add_listed(key)
            self._drop_inferred_end(key)
            self.ends.append(PendingEnd(number=row.number, end=row.end))
        return all_known

    def _update_running(
        self,
        key: jobs.RunKey,
        row: worker_port.RunningRow,
        token: int,
        sent_ms: int,
    ) -> None:
        if key in self.ended.listed:
            return
        run = self.runs.get(key)
        if run is None:
            inferred = self.ended.withdraw(
                key, token=token, sent_ms=sent_ms, now=self.clock.now()
            )
            self._drop_inferred_end(key)
            run = self.runs[key] = HeldRun(
                task=row.task,
                attempt=row.attempt,
                order=None,
                phase="running",
                since_ms=sent_ms,
                stop_ordered=inferred is not None and inferred.stop_ordered,
            )
        run.started = True
        if run.phase != "running":
            run.phase = "running"
            run.since_ms = sent_ms
        run.missed = 0
        run.listed_ms = sent_ms
        run.row = row

    def _drop_inferred_end(self, key: jobs.RunKey) -> None:
        """Removes an inferred end that the leader hasn't confirmed."""
        self.ends = [
            pending
            for pending in self.ends
            if not pending.inferred
            or (pending.end.task, pending.end.attempt) != key
        ]

    def _update_missing(self, run: HeldRun, token: int, sent_ms: int) -> None:
        if run.phase == "uncertain" and token > run.token:
            self.end(
                run,
                "rejected",
                "not_in_fenced_view",
                view_token=token,
                view_sent_ms=sent_ms,
            )
        elif run.phase == "running":
            run.missed += 1
            if run.missed >= LOST_AFTER_MISSED_VIEWS:
                self.end(
                    run,
                    "lost",
                    "no_longer_listed",
                    view_token=token,
                    view_sent_ms=sent_ms,
                )
