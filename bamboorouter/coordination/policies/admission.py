"""Early refusal of requests that can't start before their deadline.

`EarlyRefusal` estimates the wait from the requests of the team that go first,
the time requests take, and the team's part of the places. `AdmitAll` is
the plain baseline: it refuses only when the queue is full.
"""

from collections.abc import Sequence
from typing import Final
from typing import Protocol

from bamboorouter.coordination.policies import fairness

# A run rarely takes longer than its mean and this many mean deviations.
RUN_DEVIATIONS: Final = 4.0


class AdmissionPolicy(Protocol):
    """Estimates how long an arriving request would wait."""

    def expected_wait_ms(
        self,
        line: fairness.Line,
        lines: Sequence[fairness.Line],
        *,
        limit: int,
    ) -> float:
        """Returns the expected wait of the next request of a line, in ms.

        Args:
            line: Line that the request would join.
            lines: All lines with waiting requests.
            limit: Requests of the service that may be in progress at once.
        """
        ...

    def allowed_wait_ms(self, line: fairness.Line, *, left_ms: int) -> float:
        """Returns the longest expected wait that is admitted, in ms.

        Args:
            line: Line that the request would join.
            left_ms: Time to the deadline.
        """
        ...


class EarlyRefusal:
    """Expects waits from queue lengths and smoothed request times."""

    def expected_wait_ms(
        self,
        line: fairness.Line,
        lines: Sequence[fairness.Line],
        *,
        limit: int,
    ) -> float:
        """Returns ahead * time of a request / connections of the team."""
        shares = {other.team: other.share for other in lines if other.waiting}
        shares[line.team] = line.share
        part = max(line.share, 1) / max(sum(shares.values()), 1)
        rank = (line.urgency, line.place)
        ahead_ms = line.held_ms + sum(
            other.waiting * other.held_ms
            for other in lines
            if other.team == line.team and (other.urgency, other.place) <= rank
        )
        return ahead_ms / max(limit * part, 1.0)

    def allowed_wait_ms(self, line: fairness.Line, *, left_ms: int) -> float:
        """Returns what the request's own run and a margin leave.

        The wait is a sum of times that vary as much as the run itself.
        """
        run_ms = line.held_ms + RUN_DEVIATIONS * line.deviation_ms
        variation = line.deviation_ms / max(line.held_ms, 1.0)
        return (left_ms - run_ms) / (1 + variation)


class AdmitAll:
    """The baseline: expects no wait."""

    def expected_wait_ms(
        self,
        line: fairness.Line,
        lines: Sequence[fairness.Line],
        *,
        limit: int,
    ) -> float:
        """Returns 0."""
        del line, lines, limit
        return 0.0

    def allowed_wait_ms(self, line: fairness.Line, *, left_ms: int) -> float:
        """Returns the time to the deadline."""
        del line
        return left_ms
