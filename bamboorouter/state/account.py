"""Explains decisions from the account, which is the replicated log itself.

An `Explainer` reads every entry in order and collects the records about its
subject: a task, a job or service, a worker or upstream, an idempotency key or
a request ID. It tracks the plan in force, so that each decision is shown with
the owner, urgency and place at the time of the decision. Whether the state
machine refused a command is known only from a replay of the log, whose results
the caller passes. Without a replay, refused commands are shown like accepted
ones; only repeated operator calls, sheets and assignments are recognised and
left out.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any
from typing import Final
from typing import Protocol

import msgspec

from bamboorouter.protocol import commands
from bamboorouter.protocol import messages
from bamboorouter.state import account_order
from bamboorouter.state import account_records

# Limits of the records in an answer, which must fit into one frame; a job may
# have thousands of tasks.
FIRST_RECORDS: Final = 200
LAST_RECORDS: Final = 200

# Value of `LogEntry.kind` for an entry that holds a batch of commands.
_COMMAND_BATCH: Final = 0


class Applier(Protocol):
    """Replays log entries; implemented by `machine.Machine`."""

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        """Applies an entry and returns a result for each command."""
        ...


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccountEntry:
    """One decoded entry of the log.

    Attributes:
        index: Index of the entry.
        batch: Commands of the entry.
        results: Result of each command; None if the entry was not replayed.
    """

    index: int
    batch: commands.CommandBatch
    results: Sequence[commands.Result] | None = None


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """One decision that concerns the subject.

    Attributes:
        index: Index of the log entry.
        wall_ms: Wall time of the leader in ms since the epoch.
        what: Kind of the record in snake case.
        text: Human-readable text of the record.
        fields: Values of the record by name.
    """

    index: int
    wall_ms: int
    what: str
    text: str
    fields: dict[str, Any] = {}


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """All recorded decisions about a subject.

    Attributes:
        subject: Subject of the query.
        found: Whether the account holds a record about the subject.
        replayed: Whether refused commands are known from a replay.
        first_index: Index of the first entry that was read.
        last_index: Index of the last entry that was read.
        records: The first `FIRST_RECORDS` and the last `LAST_RECORDS` records
            in the order of the log.
        omitted: Number of records between the first and the last ones.
        before: Subject to compare the order of decisions with; empty if none.
        order: Why the subject was decided before or after `before`; empty if
            there is none to compare with.
    """

    subject: str
    found: bool
    replayed: bool
    first_index: int
    last_index: int
    records: tuple[Record, ...]
    omitted: int = 0
    before: str = ""
    order: str = ""

    def plain(self) -> dict[str, Any]:
        """Returns the explanation as plain data for an operator reply."""
        data: dict[str, Any] = msgspec.to_builtins(self)
        return data


def read_entry(
    entry: messages.LogEntry, applier: Applier | None = None
) -> AccountEntry | None:
    """Decodes a log entry and replays it if an applier is given.

    Args:
        entry: The entry.
        applier: A state machine that has applied all preceding entries.

    Returns:
        The decoded entry; None if it holds no commands.

    Raises:
        ProtocolError: The payload is not a batch of commands.
    """
    if entry.kind != _COMMAND_BATCH:
        return None
    batch = commands.BATCH_CODEC.decode(entry.payload)
    results = None if applier is None else applier.apply(entry.index, batch)
    return AccountEntry(index=entry.index, batch=batch, results=results)


def explain(
    entries: Iterable[messages.LogEntry],
    *,
    subject: str,
    before: str = "",
    applier: Applier | None = None,
) -> Explanation:
    """Reads the account and explains a subject.

    Args:
        entries: All entries in order.
        subject: Task, job, service, worker, upstream, key or request ID.
        before: Another subject to compare the order of decisions with.
        applier: An empty state machine for the replay; must be None unless
            the entries start at index 1.

    Returns:
        The explanation.
    """
    explainer = Explainer(subject=subject, before=before)
    for entry in entries:
        decoded = read_entry(entry, applier)
        if decoded is not None:
            explainer.feed(decoded)
    return explainer.explanation()


class Explainer:
    """Collects the records about one subject.

    Attributes:
        subject: Subject of the query.
        before: Another subject to compare the order of decisions with; empty
            if none.
    """

    def __init__(self, *, subject: str, before: str = "") -> None:
        self.subject = subject
        self.before = before
        self._plan = account_records.PlanTracker()
        self._first: list[Record] = []
        self._last: collections.deque[Record] = collections.deque(
            maxlen=LAST_RECORDS
        )
        self._record_count = 0
        self._replayed = True
        self._index_range = (0, 0)
        self._histories = account_order.SubjectHistories(
            names=(subject, before)
        )

    def feed(self, entry: AccountEntry) -> None:
        """Reads the next entry of the log."""
        self._index_range = (self._index_range[0] or entry.index, entry.index)
        self._replayed = self._replayed and entry.results is not None
        results = entry.results or itertools.repeat(None)
        for command, result in zip(entry.batch.commands, results, strict=False):
            if not self._plan.apply(command, result):
                continue
            for name in filter(None, (self.subject, self.before)):
                self._add_command(name, entry, command, result)

    def explanation(self) -> Explanation:
        """Returns the explanation from all entries read so far."""
        order = ""
        if self.before:
            order = account_order.compare(
                self._histories, self.subject, self.before
            )
        return Explanation(
            subject=self.subject,
            found=self._record_count > 0,
            replayed=self._replayed,
            first_index=self._index_range[0],
            last_index=self._index_range[1],
            records=(*self._first, *self._last),
            omitted=self._record_count - len(self._first) - len(self._last),
            before=self.before,
            order=order,
        )

    def _add_command(
        self,
        name: str,
        entry: AccountEntry,
        command: commands.Command,
        result: commands.Result | None,
    ) -> None:
        refused = result is not None and not result.ok
        for what, text, fields in account_records.describe(
            name, command, self._plan, result
        ):
            if result is not None and refused:
                what, text = "refused", f"{text}; refused: {result.text}"
                fields = {**fields, "code": result.code}
            else:
                self._histories.add(
                    name, entry.index, what, command, self._plan.rows
                )
            if name == self.subject:
                self._add_record(
                    Record(
                        index=entry.index,
                        wall_ms=entry.batch.wall_ms,
                        what=what,
                        text=text,
                        fields=fields,
                    )
                )

    def _add_record(self, record: Record) -> None:
        self._record_count += 1
        if len(self._first) < FIRST_RECORDS:
            self._first.append(record)
        else:
            self._last.append(record)
