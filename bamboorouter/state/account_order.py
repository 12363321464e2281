"""Explains why one subject of the account was decided before another.

The order of decisions is the order of the log. The ground that the scheduler
recorded with the earlier decision is named first; otherwise the declared
values that held at that moment are compared, and nothing else is inferred.
"""

from collections.abc import Mapping
import dataclasses
from typing import Final

from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import account_records

_DECISIONS: Final = ("assigned", "reserved", "requests")
_SUBMISSIONS: Final = ("sheet_accepted", "job_added")


@dataclasses.dataclass(kw_only=True)
class Mark:
    """When a subject was submitted and first decided.

    Attributes:
        submitted: Index of the first record that names it in the plan.
        decided: Index of its first decision; 0 if there is none.
        position: Position among all decisions noted.
        reason: Inputs of the decision, if it was an assignment.
        rows: Rows of the plan when it was decided.
    """

    submitted: int = 0
    decided: int = 0
    position: int = 0
    reason: commands.AssignReason | None = None
    rows: dict[str, common.SheetRow] = dataclasses.field(default_factory=dict)


class Marks:
    """The marks of all subjects that are compared.

    Attributes:
        by_name: Marks by subject.
    """

    def __init__(self, *, names: tuple[str, ...]) -> None:
        self.by_name = {name: Mark() for name in names if name}
        self._decisions = 0

    def note(
        self,
        name: str,
        index: int,
        what: str,
        command: commands.Command,
        rows: Mapping[str, common.SheetRow],
    ) -> None:
        """Takes a record about a subject."""
        mark = self.by_name[name]
        if what in _SUBMISSIONS and not mark.submitted:
            mark.submitted = index
        if what in _DECISIONS and not mark.decided:
            self._decisions += 1
            mark.decided, mark.position = index, self._decisions
            mark.rows = {
                other: rows[account_records.row_of(other)]
                for other in self.by_name
                if account_records.row_of(other) in rows
            }
            if isinstance(command, commands.Assign):
                mark.reason = command.reason


def compare(marks: Marks, subject: str, other: str) -> str:
    """Returns why `subject` was decided before or after `other`."""
    for name in (subject, other):
        mark = marks.by_name[name]
        if not mark.decided and not mark.submitted:
            return f"the account does not mention {name}"
    decided = sorted(
        (name for name in (subject, other) if marks.by_name[name].decided),
        key=lambda name: marks.by_name[name].position,
    )
    if not decided:
        return f"neither {subject} nor {other} has been decided"
    winner = decided[0]
    loser = other if winner == subject else subject
    first, second = marks.by_name[winner], marks.by_name[loser]
    when = (
        f"then {loser} (index {second.decided})"
        if second.decided
        else f"{loser} has not been decided"
    )
    ground = _ground(winner, loser, first, second)
    return (
        f"{winner} was decided first (index {first.decided}), {when}: {ground}"
    )


def _ground(winner: str, loser: str, first: Mark, second: Mark) -> str:
    if second.submitted > first.decided:
        return f"{loser} was submitted later (index {second.submitted})"
    if first.reason is None:
        return "requests are decided in the order in which they arrive"
    for task, why in first.reason.passed_over:
        if loser in (task, account_records.row_of(task)):
            return f"{task} was passed over at that moment: {why}"
    return _declared(winner, loser, first)


def _declared(winner: str, loser: str, first: Mark) -> str:
    """Compares what the sheet declared when the first was decided."""
    ahead, behind = first.rows.get(winner), first.rows.get(loser)
    if ahead is None or behind is None:
        return "the account holds no declared values to compare"
    if ahead.name == behind.name:
        return "both belong to the same job"
    if ahead.urgency != behind.urgency:
        relation = "more" if ahead.urgency < behind.urgency else "less"
        text = (
            f"{winner} is {relation} urgent ({ahead.urgency} against"
            f" {behind.urgency})"
        )
    elif ahead.owner == behind.owner and ahead.place != behind.place:
        text = (
            f"equal urgency; {winner} has place {ahead.place}, {loser} has"
            f" place {behind.place}"
        )
    else:
        text = "equal urgency and place"
    if ahead.owner != behind.owner:
        share = first.reason.share if first.reason else 0
        text += (
            f"; team {ahead.owner} has weight {ahead.share} and recorded share"
            f" {share}/1000, team {behind.owner} has weight {behind.share}"
        )
    waiting = first.reason.waiting if first.reason else 0
    return f"{text}; {waiting} tasks waited"
