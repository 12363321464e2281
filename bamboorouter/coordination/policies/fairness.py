"""Order in which waiting requests start.

`WeightedFair` first keeps the minimum shares of the two kinds of work, then
gives each team starts in proportion to its share, and within a team goes by
urgency and queue position. The share of a team without waiting work goes to
the others. `FirstCome` is the plain baseline.

The algorithm is start-time fair queueing: each start is charged its expected
time divided by the team's share; the team with the lowest account is next, and
a team that comes back starts at the current virtual time, so that it can't
save up.
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
class Line:
    """Waiting requests of one service.

    Attributes:
        service: Name of the service.
        team: Team that owns the service.
        share: Weight of the team.
        urgency: 0 (most urgent) to 9.
        place: Queue position among services of the same urgency.
        waiting: Number of waiting requests.
        oldest: Arrival number of the request that waits longest.
        in_progress: Started requests.
        held_ms: Smoothed time from the start of a request to its end.
        deviation_ms: Smoothed distance of single times from `held_ms`.
    """

    service: str
    team: str
    share: int
    urgency: int
    place: int
    waiting: int = 0
    oldest: int = 0
    in_progress: int = 0
    held_ms: float = 0.0
    deviation_ms: float = 0.0

    def latency_critical(self) -> bool:
        """Whether the service counts as latency-critical work."""
        return self.urgency <= LAST_LATENCY_CRITICAL_URGENCY


@dataclasses.dataclass(kw_only=True, slots=True)
class Busy:
    """Requests in progress by kind.

    Attributes:
        latency_critical: Requests of latency-critical services.
        batch: Requests of other services.
        limit: Requests that may be in progress at once.
    """

    latency_critical: int = 0
    batch: int = 0
    limit: int = 0


class FairnessPolicy(Protocol):
    """Decides whose waiting request starts next."""

    def choose(self, lines: Sequence[Line], busy: Busy) -> Line:
        """Returns one of the lines; each has at least one request."""
        ...

    def started(self, line: Line) -> None:
        """Notes a start, whether the request waited or not."""
        ...


class WeightedFair:
    """Minimum shares, then team shares, then urgency and queue position."""

    def __init__(self) -> None:
        self._virtual_ms = 0.0
        self._finish_ms: dict[str, float] = {}

    def choose(self, lines: Sequence[Line], busy: Busy) -> Line:
        """Returns the line that is next under the shares."""
        return min(
            _owed_minimum(lines, busy),
            key=lambda line: (
                self._account(line),
                line.urgency,
                line.place,
                line.oldest,
            ),
        )

    def started(self, line: Line) -> None:
        """Charges the team for one start."""
        start = self._account(line)
        cost = max(line.held_ms, MIN_COST_MS) / max(line.share, 1)
        self._virtual_ms = max(self._virtual_ms, start)
        self._finish_ms[line.team] = start + cost

    def _account(self, line: Line) -> float:
        return max(self._finish_ms.get(line.team, 0.0), self._virtual_ms)


class FirstCome:
    """The baseline: first come, first served."""

    def choose(self, lines: Sequence[Line], busy: Busy) -> Line:
        """Returns the line whose oldest request waits longest."""
        del busy
        return min(lines, key=lambda line: line.oldest)

    def started(self, line: Line) -> None:
        """Keeps no accounts."""


def _owed_minimum(lines: Sequence[Line], busy: Busy) -> Sequence[Line]:
    """Narrows the lines to a kind of work that is below its minimum share."""
    urgent = [line for line in lines if line.latency_critical()]
    if not urgent or len(urgent) == len(lines):
        return lines
    if busy.latency_critical < MIN_LATENCY_CRITICAL_SHARE * busy.limit:
        return urgent
    if busy.batch < MIN_BATCH_SHARE * busy.limit:
        return [line for line in lines if not line.latency_critical()]
    return lines
