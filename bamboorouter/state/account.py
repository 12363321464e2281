"""Explains decisions from the account, which is the replicated log itself.

An `Explainer` is fed every entry in order and keeps only what concerns its
subject: a task, a job or service, a worker or upstream, an idempotency key or
a request ID. It follows the plan in force, so that each decision is shown with
the owner, urgency and place that held when it was made. Whether the state
machine refused a command is known from a replay, whose results the caller
passes; without them only repeated calls, sheets and assignments are
recognised.
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

# A job may have thousands of tasks; an answer must fit into one frame.
FIRST_RECORDS: Final = 200
LAST_RECORDS: Final = 200

_COMMAND_BATCH: Final = 0


class Applier(Protocol):
    """Replays entries; `machine.Machine` implements it."""

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
        batch: Its commands.
        results: Results of applying them; None if they were not replayed.
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
        text: The record for people.
        fields: Values by name.
    """

    index: int
    wall_ms: int
    what: str
    text: str
    fields: dict[str, Any] = {}


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What the account says about a subject.

    Attributes:
        subject: What was asked about.
        found: Whether the account mentions it.
        replayed: Whether refused commands were told apart by a replay.
        first_index: First index that was read.
        last_index: Last index that was read.
        records: The first and last records in the order of the log.
        omitted: Number of records between the first and the last ones.
        before: Other subject that the order was asked for; empty if none.
        order: Why the subject was decided before or after `before`.
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
        """Returns the explanation for an operator's answer."""
        data: dict[str, Any] = msgspec.to_builtins(self)
        return data


def read_entry(
    entry: messages.LogEntry, applier: Applier | None = None
) -> AccountEntry | None:
    """Decodes an entry of the log.

    Args:
        entry: The entry.
        applier: A state machine that has applied all entries before.

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
        before: Another subject to compare the order with.
        applier: An empty state machine for the replay, if the entries start
            at index 1.

    Returns:
        What the account says.
    """
    explainer = Explainer(subject=subject, before=before)
    for entry in entries:
        decoded = read_entry(entry, applier)
        if decoded is not None:
            explainer.feed(decoded)
    return explainer.explanation()


class Explainer:
    """Collects what concerns one subject.

    Attributes:
        subject: What was asked about.
        before: Another subject to compare the order with; may be empty.
    """

    def __init__(self, *, subject: str, before: str = "") -> None:
        self.subject = subject
        self.before = before
        self._plan = account_records.Plan()
        self._first: list[Record] = []
        self._last: collections.deque[Record] = collections.deque(
            maxlen=LAST_RECORDS
        )
        self._total = 0
        self._replayed = True
        self._indexes = (0, 0)
        self._marks = account_order.Marks(names=(subject, before))

    def feed(self, entry: AccountEntry) -> None:
        """Takes the next entry."""
        self._indexes = (self._indexes[0] or entry.index, entry.index)
        self._replayed = self._replayed and entry.results is not None
        results = entry.results or itertools.repeat(None)
        for command, result in zip(entry.batch.commands, results, strict=False):
            if not self._plan.follow(command, result):
                continue
            for name in filter(None, (self.subject, self.before)):
                self._note(name, entry, command, result)

    def explanation(self) -> Explanation:
        """Returns what was found so far."""
        order = ""
        if self.before:
            order = account_order.compare(
                self._marks, self.subject, self.before
            )
        return Explanation(
            subject=self.subject,
            found=self._total > 0,
            replayed=self._replayed,
            first_index=self._indexes[0],
            last_index=self._indexes[1],
            records=(*self._first, *self._last),
            omitted=self._total - len(self._first) - len(self._last),
            before=self.before,
            order=order,
        )

    def _note(
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
                self._marks.note(
                    name, entry.index, what, command, self._plan.rows
                )
            if name == self.subject:
                self._keep(
                    Record(
                        index=entry.index,
                        wall_ms=entry.batch.wall_ms,
                        what=what,
                        text=text,
                        fields=fields,
                    )
                )

    def _keep(self, record: Record) -> None:
        self._total += 1
        if len(self._first) < FIRST_RECORDS:
            self._first.append(record)
        else:
            self._last.append(record)
