"""Chooses the waiting task that is placed next.

The queue holds rows of the sheet instead of tasks, because all tasks of a row
are equal. `FairOrder` serves the most urgent rows first. Among equally urgent
rows it serves the team that uses the smallest part of its share, and within the
team the row with the lowest queue position. `SubmissionOrder` is the baseline
policy: it serves rows in the order of submission.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitingRow:
    """A row with waiting tasks.

    Attributes:
        row: Name of the row.
        team: Owner of the row.
        urgency: 0 (most urgent) to 9.
        place: Queue position.
        submitted_ms: Wall-clock time of the submission, in ms.
    """

    row: str
    team: str
    urgency: int
    place: int
    submitted_ms: int


class RowQueue(Protocol):
    """Priority queue of waiting rows."""

    def head(self) -> WaitingRow | None:
        """Returns the row to serve next; None if none is left."""
        ...

    def charge(self, amount: float) -> None:
        """Charges the team of the head for a task that was placed.

        Args:
            amount: Fraction of all resources that the task uses.
        """
        ...

    def drop(self) -> None:
        """Removes the head, of which no further task fits."""
        ...

    def normalized_usage(self, team: str) -> float:
        """Returns the resources that a team uses divided by its weight."""
        ...


class TaskOrder(Protocol):
    """Creates queues of waiting rows."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue of the rows.

        Args:
            rows: All rows with waiting tasks.
            used: Fraction of all resources that each team uses.
            shares: Weight of each team.
        """
        ...


class FairOrder:
    """Orders by urgency, then by weighted fair share, then by position."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue of the rows."""
        return _FairQueue(rows=rows, used=used, shares=shares)


class SubmissionOrder:
    """Baseline policy: first come, first served."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue of the rows."""
        return _SubmissionQueue(rows=rows, used=used, shares=shares)


class _SubmissionQueue:

    def __init__(
        self,
        *,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> None:
        self._rows = sorted(
            rows, key=lambda row: (row.submitted_ms, row.row), reverse=True
        )
        self._used = dict(used)
        self._shares = shares

    def head(self) -> WaitingRow | None:
        return self._rows[-1] if self._rows else None

    def charge(self, amount: float) -> None:
        team = self._rows[-1].team
        self._used[team] = self._used.get(team, 0.0) + amount

    def drop(self) -> None:
        self._rows.pop()

    def normalized_usage(self, team: str) -> float:
        return self._used.get(team, 0.0) / self._shares.get(team, 1)


class _FairQueue:

    def __init__(
        self,
        *,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> None:
        self._used = dict(used)
        self._shares = shares
        # Rows by urgency and team, lowest queue position last.
        self._rows_by_urgency: dict[int, dict[str, list[WaitingRow]]] = {}
        for row in sorted(rows, key=_position_key, reverse=True):
            teams = self._rows_by_urgency.setdefault(row.urgency, {})
            teams.setdefault(row.team, []).append(row)
        self._urgencies = sorted(self._rows_by_urgency, reverse=True)
        self._head: WaitingRow | None = None

    def head(self) -> WaitingRow | None:
        if self._head is None and self._urgencies:
            teams = self._rows_by_urgency[self._urgencies[-1]]
            team = min(
                teams, key=lambda name: (self.normalized_usage(name), name)
            )
            self._head = teams[team][-1]
        return self._head

    def charge(self, amount: float) -> None:
        if self._head is None:
            return
        team = self._head.team
        self._used[team] = self._used.get(team, 0.0) + amount
        self._head = None

    def drop(self) -> None:
        if self._head is None:
            return
        urgency, team = self._head.urgency, self._head.team
        self._head = None
        teams = self._rows_by_urgency[urgency]
        teams[team].pop()
        if not teams[team]:
            del teams[team]
        if not teams:
            self._urgencies.pop()

    def normalized_usage(self, team: str) -> float:
        return self._used.get(team, 0.0) / self._shares.get(team, 1)


def _position_key(row: WaitingRow) -> tuple[int, int, str]:
    return row.place, row.submitted_ms, row.row
