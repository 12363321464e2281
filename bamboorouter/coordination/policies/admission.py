"""Early refusal of requests that can't start before their deadline.

`EarlyRefusal` estimates the wait from the requests of the team that go first,
the time requests take, and the team's part of the connections. `AdmitAll` is
the plain baseline: it refuses only when the queue is full.
"""

from collections.abc import Sequence
from typing import Protocol

from bamboorouter.coordination.policies import fairness


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
