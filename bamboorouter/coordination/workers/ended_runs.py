"""Remembers which runs of a worker have ended, and on what evidence.

An end that the worker lists with a number is final for the incarnation: a row
that still lists the run as running is older than the end.

An end that the agent infers from other evidence may be wrong or early. If the
worker lists such a run, the run is on the worker: the inferred end is
withdrawn, and the run is held and stopped like any other.

After an end of either kind, the run and earlier attempts of its task are never
started, because a copy of a start order may arrive late.
"""

import dataclasses
from typing import Any
from typing import Final
from typing import Literal

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.protocol import jobs

# "never_sent": no start order was sent to the worker.
# "not_delivered": no connection for the start order could be opened.
# "order_rejected": the worker rejected each start order.
# "not_in_fenced_view": a view that was requested with a higher fencing token
#     than the start order doesn't list the run.
# "no_longer_listed": successive views don't list a run that was running.
# "lease_expired": the worker doesn't answer, and its lease has expired.
# "incarnation_replaced": another incarnation of the worker has answered.
# "worker_left": the worker announced its end.
Evidence = Literal[
    "never_sent",
    "not_delivered",
    "order_rejected",
    "not_in_fenced_view",
    "no_longer_listed",
    "lease_expired",
    "incarnation_replaced",
    "worker_left",
]

# More than the tasks that end on a worker while an order may be delayed.
MAX_ENDED_TASKS: Final = 10_000


@dataclasses.dataclass(kw_only=True)
class InferredEnd:
    """An end that the worker hasn't listed.

    Attributes:
        how: Outcome that was reported to the leader.
        evidence: Reason for the conclusion.
        at_ms: Time of the conclusion, in ms on the agent's clock.
        stop_ordered: Whether the leader has ordered the run to stop, which then
            happens once the worker lists it.
    """

    how: jobs.RunOutcome
    evidence: Evidence
    at_ms: int
    stop_ordered: bool


class EndedRuns:
    """Ended runs of one worker.

    Attributes:
        worker: Name of the worker.
        log_fields: Fields that identify the session in log lines.
        listed: Runs whose end the current incarnation has listed, oldest
            first; bounded.
        inferred: Inferred ends that were not withdrawn, by run, oldest first;
            bounded.
        highest: Highest ended attempt by task, oldest first; bounded. It is
            kept for later incarnations, because an earlier incarnation may
            turn out to be the current one.
    """

    def __init__(self, *, worker: str) -> None:
        self.worker = worker
        self.log_fields: dict[str, object] = {}
        self.listed: dict[jobs.RunKey, None] = {}
        self.inferred: dict[jobs.RunKey, InferredEnd] = {}
        self.highest: dict[jobs.TaskRef, int] = {}

    def begin_incarnation(self) -> None:
        """Forgets the ends that an earlier incarnation has listed."""
        self.listed.clear()

    def add_listed(self, key: jobs.RunKey) -> None:
        """Records an end that the worker has listed."""
        self.inferred.pop(key, None)
        self.listed[key] = None
        _drop_oldest(self.listed)
        self._raise_highest(key)

    def add_inferred(
        self,
        key: jobs.RunKey,
        end: InferredEnd,
        *,
        token: int,
        **fields: object,
    ) -> None:
        """Records and logs an end that the agent has inferred.

        Args:
            key: The run.
            end: The end.
            token: Fencing token of the newest start order; -1 if none was sent.
            **fields: The evidence, for the log.
        """
        self.inferred.pop(key, None)
        self.inferred[key] = end
        _drop_oldest(self.inferred)
        self._raise_highest(key)
        task, attempt = key
        events.log(
            events.RUN_GIVEN_UP,
            task=str(task),
            attempt=attempt,
            worker=self.worker,
            how=end.how,
            evidence=end.evidence,
            token=token,
            **self.log_fields,
            **fields,
        )
        metrics.RUNS_GIVEN_UP.labels(end.evidence).inc()

    def withdraw(
        self, key: jobs.RunKey, *, token: int, sent_ms: int, now: int
    ) -> InferredEnd | None:
        """Withdraws and logs the inferred end of a run that the worker lists.

        Args:
            key: The run.
            token: Fencing token of the poll that returned the view.
            sent_ms: Time at which the poll was sent, in ms on the agent's
                clock.
            now: Current time in ms on the agent's clock.

        Returns:
            The end; None if there was none.
        """
        end = self.inferred.pop(key, None)
        if end is None:
            return None
        task, attempt = key
        events.log(
            events.RUN_LISTED_AGAIN,
            task=str(task),
            attempt=attempt,
            worker=self.worker,
            how=end.how,
            evidence=end.evidence,
            ended_age_ms=now - end.at_ms,
            view_token=token,
            view_age_ms=now - sent_ms,
            **self.log_fields,
        )
        metrics.RUNS_LISTED_AGAIN.labels(end.evidence).inc()
        return end

    def log_stop_not_sent(self, key: jobs.RunKey, reason: str) -> None:
        """Logs that a stop order isn't sent to the worker."""
        task, attempt = key
        events.log(
            events.STOP_NOT_SENT,
            task=str(task),
            attempt=attempt,
            worker=self.worker,
            reason=reason,
            **self.log_fields,
        )

    def forbids_start(self, key: jobs.RunKey) -> bool:
        """Returns whether this attempt or a later one has ended."""
        task, attempt = key
        return attempt <= self.highest.get(task, 0)

    def _raise_highest(self, key: jobs.RunKey) -> None:
        task, attempt = key
        self.highest[task] = max(attempt, self.highest.pop(task, 0))
        _drop_oldest(self.highest)


def _drop_oldest(ended: dict[Any, Any]) -> None:
    if len(ended) > MAX_ENDED_TASKS:
        del ended[next(iter(ended))]
