"""Explains why one subject of the account was decided before another.

The order of decisions is the order of the log. The first of these reasons that
applies is given: the later subject was submitted after the earlier decision;
requests are decided in order of arrival; the scheduler recorded with the
earlier decision why it passed over the later subject; the rows in force at the
earlier decision differ. Nothing else is inferred.
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
class SubjectHistory:
    """Submission and first decision of a subject.

    Attributes:
        submitted: Index of the log entry that added the subject to the plan;
            0 if there is none.
        decided: Index of the log entry with the first decision about the
            subject; 0 if there is none.
        position: Position among the first decisions of all subjects.
        reason: Inputs of the decision if it was an assignment, else None.
        rows: Rows of the compared subjects at the time of the decision.
    """

    submitted: int = 0
    decided: int = 0
    position: int = 0
    reason: commands.AssignReason | None = None
    rows: dict[str, common.SheetRow] = dataclasses.field(default_factory=dict)


class SubjectHistories:
    """Histories of the subjects that are compared.

    Attributes:
        by_name: Histories by subject.
    """

    def __init__(self, *, names: tuple[str, ...]) -> None:
        self.by_name = {name: SubjectHistory() for name in names if name}
        self._decision_count = 0

    def add(
        self,
        name: str,
        index: int,
        what: str,
        command: commands.Command,
        rows: Mapping[str, common.SheetRow],
    ) -> None:
        """Adds a record about a subject.

        Args:
            name: The subject.
            index: Index of the log entry.
            what: Kind of the record.
            command: Command that the record describes.
            rows: Rows of the plan in force by name.
        """
        history = self.by_name[name]
        if what in _SUBMISSIONS and not history.submitted:
            history.submitted = index
        if what in _DECISIONS and not history.decided:
            self._decision_count += 1
            history.decided, history.position = index, self._decision_count
            history.rows = {
                subject: rows[account_records.row_of(subject)]
                for subject in self.by_name
                if account_records.row_of(subject) in rows
            }
            if isinstance(command, commands.Assign):
                history.reason = command.reason


def compare(histories: SubjectHistories, subject: str, other: str) -> str:
    """Returns why `subject` was decided before or after `other`."""
    for name in (subject, other):
        history = histories.by_name[name]
        if not history.decided and not history.submitted:
            return f"the account does not mention {name}"
    decided = sorted(
        (name for name in (subject, other) if histories.by_name[name].decided),
        key=lambda name: histories.by_name[name].position,
    )
    if not decided:
        return f"neither {subject} nor {other} has been decided"
    earlier = decided[0]
    later = other if earlier == subject else subject
    first, second = histories.by_name[earlier], histories.by_name[later]
    when = (
        f"then {later} (index {second.decided})"
        if second.decided
        else f"{later} has not been decided"
    )
    reason = _explain_order(earlier, later, first, second)
    return (
        f"{earlier} was decided first (index {first.decided}), {when}: {reason}"
    )


def _explain_order(
    earlier: str, later: str, first: SubjectHistory, second: SubjectHistory
) -> str:
    if second.submitted > first.decided:
        return f"{later} was submitted later (index {second.submitted})"
    if first.reason is None:
        return "requests are decided in the order in which they arrive"
    for task, why in first.reason.passed_over:
        if later in (task, account_records.row_of(task)):
            return f"{task} was passed over at that moment: {why}"
    return _compare_declared(earlier, later, first)


def _compare_declared(earlier: str, later: str, first: SubjectHistory) -> str:
    """Compares the rows that were in force at the earlier decision."""
    earlier_row, later_row = first.rows.get(earlier), first.rows.get(later)
    if earlier_row is None or later_row is None:
        return "the account holds no declared values to compare"
    if earlier_row.name == later_row.name:
        return "both belong to the same job"
    if earlier_row.urgency != later_row.urgency:
        relation = "more" if earlier_row.urgency < later_row.urgency else "less"
        text = (
            f"{earlier} is {relation} urgent ({earlier_row.urgency} against"
            f" {later_row.urgency})"
        )
    elif (
        earlier_row.owner == later_row.owner
        and earlier_row.place != later_row.place
    ):
        text = (
            f"equal urgency; {earlier} has place {earlier_row.place}, {later}"
            f" has place {later_row.place}"
        )
    else:
        text = "equal urgency and place"
    if earlier_row.owner != later_row.owner:
        share = first.reason.share if first.reason else 0
        text += (
            f"; team {earlier_row.owner} has weight {earlier_row.share} and"
            f" weighted dominant share {share}/1000, team {later_row.owner} has"
            f" weight {later_row.share}"
        )
    waiting = first.reason.waiting if first.reason else 0
    return f"{text}; {waiting} tasks waited"
