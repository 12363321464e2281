"""Which waiting task is placed next.

Rows of the sheet wait, not single tasks: all tasks of a row are alike. The
product takes the most urgent rows first, among them the team that uses least
of its share, and within the team the lowest place in line. The plain baseline
takes rows in the order of their submission.
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
        place: Place in line.
        submitted_ms: Wall time of the submission.
    """

    row: str
    team: str
    urgency: int
    place: int
    submitted_ms: int


class RowQueue(Protocol):
    """Waiting rows in the order in which they are to be served."""

    def head(self) -> WaitingRow | None:
        """Returns the row to serve next; None if none is left."""
        ...

    def served(self, amount: float) -> None:
        """Notes that a task of the head was placed.

        Args:
            amount: Part of all resources that the task takes.
        """
        ...

    def drop(self) -> None:
        """Removes the head: nothing more of it can be placed now."""
        ...

    def share(self, team: str) -> float:
        """Returns the part of its share that a team uses."""
        ...


class TaskOrder(Protocol):
    """Makes queues of waiting rows."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue.

        Args:
            rows: All rows with waiting tasks.
            used: Part of all resources that each team uses.
            shares: Weight of each team.
        """
        ...


class FairOrder:
    """Most urgent first, then fair by team share, then by place."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue."""
        return _FairQueue(rows=rows, used=used, shares=shares)


class SubmissionOrder:
    """First come, first served."""

    def queue(
        self,
        rows: Sequence[WaitingRow],
        used: Mapping[str, float],
        shares: Mapping[str, int],
    ) -> RowQueue:
        """Returns a queue."""
        return _PlainQueue(rows=rows, used=used, shares=shares)


class _PlainQueue:

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

    def served(self, amount: float) -> None:
        team = self._rows[-1].team
        self._used[team] = self._used.get(team, 0.0) + amount

    def drop(self) -> None:
        self._rows.pop()

    def share(self, team: str) -> float:
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
        # Rows of each urgency and team, lowest place last.
        self._lines: dict[int, dict[str, list[WaitingRow]]] = {}
        for row in sorted(rows, key=_place, reverse=True):
            teams = self._lines.setdefault(row.urgency, {})
            teams.setdefault(row.team, []).append(row)
        self._urgencies = sorted(self._lines, reverse=True)
        self._head: WaitingRow | None = None

    def head(self) -> WaitingRow | None:
        if self._head is None and self._urgencies:
            teams = self._lines[self._urgencies[-1]]
            team = min(teams, key=lambda name: (self.share(name), name))
            self._head = teams[team][-1]
        return self._head

    def served(self, amount: float) -> None:
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
        teams = self._lines[urgency]
        teams[team].pop()
        if not teams[team]:
            del teams[team]
        if not teams:
            self._urgencies.pop()

    def share(self, team: str) -> float:
        return self._used.get(team, 0.0) / self._shares.get(team, 1)


def _place(row: WaitingRow) -> tuple[int, int, str]:
    return row.place, row.submitted_ms, row.row
