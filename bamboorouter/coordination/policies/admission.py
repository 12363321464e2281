"""Early refusal of requests that can't start before their deadline.

`EarlyRefusal` estimates the queueing delay from the requests of the team that
are served earlier, the mean time of a request, and the team's fair share of the
concurrency limit. `AdmitAll` is the baseline policy: it admits every request,
so that requests are refused only when the queue is full.
"""

from collections.abc import Sequence
from typing import Final
from typing import Protocol

from bamboorouter.coordination.policies import fairness

# Mean deviations added to the mean time of a request; few requests take longer.
DEVIATION_MARGIN: Final = 4.0


class AdmissionPolicy(Protocol):
    """Estimates the queueing delay of requests and limits it at admission."""

    def expected_wait_ms(
        self,
        queue: fairness.ServiceQueue,
        queues: Sequence[fairness.ServiceQueue],
        *,
        limit: int,
    ) -> float:
        """Returns the expected wait of the next request of a queue, in ms.

        Args:
            queue: Queue that the request would join.
            queues: All queues with waiting requests.
            limit: Concurrency limit of the service.
        """
        ...

    def allowed_wait_ms(
        self, queue: fairness.ServiceQueue, *, remaining_ms: int
    ) -> float:
        """Returns the longest expected wait that is admitted, in ms.

        Args:
            queue: Queue that the request would join.
            remaining_ms: Time to the deadline, in ms.
        """
        ...


class EarlyRefusal:
    """Estimates waits from queue lengths and smoothed request times."""

    def expected_wait_ms(
        self,
        queue: fairness.ServiceQueue,
        queues: Sequence[fairness.ServiceQueue],
        *,
        limit: int,
    ) -> float:
        """Returns the expected wait of the next request of a queue, in ms.

        It is the work queued ahead plus one mean request time, divided by the
        team's part of the limit.
        """
        shares = {other.team: other.share for other in queues if other.waiting}
        shares[queue.team] = queue.share
        team_fraction = max(queue.share, 1) / max(sum(shares.values()), 1)
        priority = (queue.urgency, queue.place)
        queued_work_ms = queue.mean_duration_ms + sum(
            other.waiting * other.mean_duration_ms
            for other in queues
            if other.team == queue.team
            and (other.urgency, other.place) <= priority
        )
        return queued_work_ms / max(limit * team_fraction, 1.0)

    def allowed_wait_ms(
        self, queue: fairness.ServiceQueue, *, remaining_ms: int
    ) -> float:
        """Returns the time to the deadline less the request's own time, in ms.

        The result is divided by 1 + the coefficient of variation, because the
        wait is a sum of request times that vary as much as the request itself.
        """
        request_ms = (
            queue.mean_duration_ms + DEVIATION_MARGIN * queue.deviation_ms
        )
        variation = queue.deviation_ms / max(queue.mean_duration_ms, 1.0)
        return (remaining_ms - request_ms) / (1 + variation)


class AdmitAll:
    """Baseline policy: expects no wait and admits every request."""

    def expected_wait_ms(
        self,
        queue: fairness.ServiceQueue,
        queues: Sequence[fairness.ServiceQueue],
        *,
        limit: int,
    ) -> float:
        """Returns 0."""
        del queue, queues, limit
        return 0.0

    def allowed_wait_ms(
        self, queue: fairness.ServiceQueue, *, remaining_ms: int
    ) -> float:
        """Returns the time to the deadline."""
        del queue
        return remaining_ms
