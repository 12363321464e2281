"""Remembers which runs of a worker have ended, and on what evidence.

The worker lists the end of a run with a number. The agent infers an end from
other evidence, which may turn out to be wrong: the worker may list the run
later. Both kinds are kept, so that a copy of a start order that arrives after
its run was given up is not executed.
"""

import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.protocol import jobs

# "never_sent": no start order was sent to the worker.
# "order_rejected": the worker rejected each start order.
# "not_in_fenced_view": a view that was requested with a higher fencing token
#     than the start order doesn't list the run.
# "no_longer_listed": successive views don't list a run that was running.
# "lease_expired": the worker doesn't answer, and its lease has expired.
# "incarnation_replaced": another incarnation of the worker has answered.
# "worker_left": the worker announced its end.
Evidence = Literal[
    "never_sent",
    "order_rejected",
    "not_in_fenced_view",
    "no_longer_listed",
    "lease_expired",
    "incarnation_replaced",
    "worker_left",
]

# More than the tasks that end on a worker while an order may be delayed.
MAX_ENDED_TASKS: Final = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class InferredEnd:
    """An end that the worker hasn't listed.

    Attributes:
        how: Outcome that was reported to the leader.
        evidence: Reason for the conclusion.
        at_ms: Time of the conclusion, in ms on the agent's clock.
    """

    how: jobs.RunOutcome
    evidence: Evidence
    at_ms: int


class EndedRuns:
    """Ended runs of one worker.

    Attributes:
        worker: Name of the worker.
        log_fields: Fields that identify the session in log lines.
        inferred: Inferred ends by run, oldest first; bounded.
        highest: Highest ended attempt by task, oldest first; bounded.
    """

    def __init__(self, *, worker: str) -> None:
        self.worker = worker
        self.log_fields: dict[str, object] = {}
        self.inferred: dict[jobs.RunKey, InferredEnd] = {}
        self.highest: dict[jobs.TaskRef, int] = {}

    def add_listed(self, key: jobs.RunKey) -> None:
        """Records an end that the worker has listed."""
        self.inferred.pop(key, None)
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
        if len(self.inferred) > MAX_ENDED_TASKS:
            del self.inferred[next(iter(self.inferred))]
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

    def log_listed_again(
        self, key: jobs.RunKey, *, token: int, sent_ms: int, now: int
    ) -> None:
        """Logs that the worker lists a run that counted as ended.

        Args:
            key: The run.
            token: Fencing token of the poll that returned the view.
            sent_ms: Time at which the poll was sent, in ms on the agent's
                clock.
            now: Current time in ms on the agent's clock.
        """
        end = self.inferred.get(key)
        task, attempt = key
        evidence = end.evidence if end else "listed"
        events.log(
            events.RUN_LISTED_AGAIN,
            task=str(task),
            attempt=attempt,
            worker=self.worker,
            how=end.how if end else "",
            evidence=evidence,
            ended_age_ms=now - end.at_ms if end else None,
            view_token=token,
            view_age_ms=now - sent_ms,
            **self.log_fields,
        )
        metrics.RUNS_LISTED_AGAIN.labels(evidence).inc()

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
        if len(self.highest) > MAX_ENDED_TASKS:
            del self.highest[next(iter(self.highest))]
