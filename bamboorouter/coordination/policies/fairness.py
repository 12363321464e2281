"""Chooses the order in which queued requests start.

`WeightedFair` first enforces the minimum shares of latency-critical and batch
work. It then serves teams in proportion to their shares, and orders the queues
of a team by urgency and queue position. The share of a team without queued
requests is divided among the others. `FirstCome` is the baseline policy.

The algorithm is start-time fair queueing: each started request is charged its
expected time divided by the team's share, and the team with the lowest start
tag is next. The start tag of a team that was idle is at least the current
virtual time, so that idle teams don't accumulate credit.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

LAST_LATENCY_CRITICAL_URGENCY: Final = 4
MIN_LATENCY_CRITICAL_SHARE: Final = 0.3
MIN_BATCH_SHARE: Final = 0.2
MIN_COST_MS: Final = 1.0


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class ServiceQueue:
    """Queue of the requests of one service.

    Attributes:
        service: Name of the service.
        team: Team that owns the service.
        share: Weight of the team.
        urgency: 0 (most urgent) to 9.
        place: Queue position among services of the same urgency.
        waiting: Number of waiting requests.
        oldest: Arrival number of the oldest waiting request.
        in_progress: Number of requests in progress.
        mean_duration_ms: Moving average of the time from the start of a request
            to its end, in ms.
        deviation_ms: Moving average of the absolute deviation from
            `mean_duration_ms`, in ms.
    """

    service: str
    team: str
    share: int
    urgency: int
    place: int
    waiting: int = 0
    oldest: int = 0
    in_progress: int = 0
    mean_duration_ms: float = 0.0
    deviation_ms: float = 0.0

    def latency_critical(self) -> bool:
        """Returns whether the service counts as latency-critical work."""
        return self.urgency <= LAST_LATENCY_CRITICAL_URGENCY


@dataclasses.dataclass(kw_only=True, slots=True)
class InProgressCounts:
    """Requests in progress by kind.

    Attributes:
        latency_critical: Requests of latency-critical services.
        batch: Requests of other services.
        limit: Concurrency limit.
    """

    latency_critical: int = 0
    batch: int = 0
    limit: int = 0


class FairnessPolicy(Protocol):
    """Decides which service starts its next queued request."""

    def choose(
        self, queues: Sequence[ServiceQueue], counts: InProgressCounts
    ) -> ServiceQueue:
        """Returns the queue to serve; each has at least one waiting request."""
        ...

    def started(self, queue: ServiceQueue) -> None:
        """Records the start of a request, whether it waited or not."""
        ...


class WeightedFair:
    """Minimum shares, then team shares, then urgency and queue position."""

    def __init__(self) -> None:
        self._virtual_ms = 0.0
        self._finish_tag_ms: dict[str, float] = {}

    def choose(
        self, queues: Sequence[ServiceQueue], counts: InProgressCounts
    ) -> ServiceQueue:
        """Returns the queue with the lowest start tag among eligible ones."""
        return min(
            _below_minimum_share(queues, counts),
            key=lambda queue: (
                self._start_tag(queue),
                queue.urgency,
                queue.place,
                queue.oldest,
            ),
        )

    def started(self, queue: ServiceQueue) -> None:
        """Charges the team for one request."""
        start_tag = self._start_tag(queue)
        cost = max(queue.mean_duration_ms, MIN_COST_MS) / max(queue.share, 1)
        self._virtual_ms = max(self._virtual_ms, start_tag)
        self._finish_tag_ms[queue.team] = start_tag + cost

    def _start_tag(self, queue: ServiceQueue) -> float:
        return max(self._finish_tag_ms.get(queue.team, 0.0), self._virtual_ms)


class FirstCome:
    """Baseline policy: first come, first served."""

    def choose(
        self, queues: Sequence[ServiceQueue], counts: InProgressCounts
    ) -> ServiceQueue:
        """Returns the queue with the oldest waiting request."""
        del counts
        return min(queues, key=lambda queue: queue.oldest)

    def started(self, queue: ServiceQueue) -> None:
        """Does nothing: starts aren't charged."""


def _below_minimum_share(
    queues: Sequence[ServiceQueue], counts: InProgressCounts
) -> Sequence[ServiceQueue]:
    """Returns the queues of a kind of work below its minimum share, or all."""
    critical = [queue for queue in queues if queue.latency_critical()]
    if not critical or len(critical) == len(queues):
        return queues
    if counts.latency_critical < MIN_LATENCY_CRITICAL_SHARE * counts.limit:
        return critical
    if counts.batch < MIN_BATCH_SHARE * counts.limit:
        return [queue for queue in queues if not queue.latency_critical()]
    return queues
