"""The plan in force: services, jobs, and the answers given to operators.

A sheet replaces the services. Jobs are only added or changed by it: one that
is missing from a new sheet goes on until its tasks ended, and the name of an
ended job stays known, so a sheet that still lists it doesn't run it again.
"""

from typing import Any
from typing import Final
from typing import Literal
import zlib

import msgspec

from bamboorouter.protocol import commands
from bamboorouter.protocol import common

# Answers to operators; far more than can be resent after a lost answer.
MAX_OPERATIONS: Final = 4096
MAX_SHEETS: Final = 64
# 3 days of jobs at the target of 2,800 a day.
MAX_ENDED_JOBS: Final = 8_400
# Tasks of ended jobs are kept for status only.
MAX_ENDED_WITH_TASKS: Final = 100


class Job(msgspec.Struct, array_like=True, kw_only=True):
    """A batch job.

    Attributes:
        row: Its row.
        submitted_ms: Wall time of its acceptance.
        open_tasks: Tasks without a final state.
        finished: Finished tasks.
        failed: Failed tasks.
        cancelled: Cancelled tasks.
        verdict: "cancelled" or "failed" once decided; empty otherwise.
        code: Code of the reason of the verdict.
        reason: Reason of the verdict, for people.
    """

    row: common.SheetRow
    submitted_ms: int
    open_tasks: int = 0
    finished: int = 0
    failed: int = 0
    cancelled: int = 0
    verdict: Literal["", "cancelled", "failed"] = ""
    code: str = ""
    reason: str = ""

    def count(self, status: Literal["finished", "failed", "cancelled"]) -> None:
        """Counts a task that reached a final state."""
        self.open_tasks -= 1
        setattr(self, status, getattr(self, status) + 1)


class AcceptedSheet(msgspec.Struct, array_like=True, kw_only=True):
    """A sheet that was accepted, with the answer it got."""

    revision: int
    digest: str
    answer: commands.Result


class Plan:
    """Services, jobs and answers.

    Attributes:
        revision: Revision of the sheet in force; 0 before the first.
        config_revision: Raised by each accepted change of configuration.
        services: Service rows by name.
        jobs: Jobs by name, ended ones included.
        ended: Names of ended jobs, oldest first.
        sheets: The last accepted sheets by revision.
        operations: First answers by operation ID, with the digest of the
            call.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.config_revision = 0
        self.services: dict[str, common.SheetRow] = {}
        self.jobs: dict[str, Job] = {}
        self.ended: dict[str, None] = {}
        self.sheets: dict[int, AcceptedSheet] = {}
        self.operations: dict[str, tuple[int, commands.Result]] = {}

    @property
    def digest(self) -> str:
        """SHA-256 of the sheet in force; empty before the first."""
        sheet = self.sheets.get(self.revision)
        return sheet.digest if sheet is not None else ""

    def row(self, name: str) -> common.SheetRow | None:
        """Returns the row of a service or job."""
        job = self.jobs.get(name)
        return job.row if job is not None else self.services.get(name)

    def shares(self) -> dict[str, int]:
        """Returns the weight of each team: the largest of its rows."""
        rows = [
            *self.services.values(),
            *(j.row for n, j in self.jobs.items() if n not in self.ended),
        ]
        shares: dict[str, int] = {}
        for row in rows:
            shares[row.owner] = max(row.share, shares.get(row.owner, 0))
        return shares

    def remember(
        self, operation_id: str, digest: int, answer: commands.Result
    ) -> None:
        """Keeps the first answer of an operation."""
        if not operation_id:
            return
        self.operations[operation_id] = (digest, answer)
        while len(self.operations) > MAX_OPERATIONS:
            del self.operations[next(iter(self.operations))]

    def remember_sheet(
        self, command: commands.AcceptSheet, answer: commands.Result
    ) -> None:
        """Keeps revision, digest and answer of an accepted sheet."""
        self.sheets[command.revision] = AcceptedSheet(
            revision=command.revision, digest=command.digest, answer=answer
        )
        while len(self.sheets) > MAX_SHEETS:
            del self.sheets[next(iter(self.sheets))]

    def end_job(self, name: str) -> list[str]:
        """Notes that a job ended.

        Returns:
            Names of jobs whose tasks need no longer be kept.
        """
        self.ended[name] = None
        names = list(self.ended)
        surplus = names[: max(0, len(names) - MAX_ENDED_JOBS)]
        for old in surplus:
            del self.ended[old]
            del self.jobs[old]
        position = len(names) - MAX_ENDED_WITH_TASKS - 1
        return [*surplus, *([names[position]] if position >= 0 else [])]

    def snapshot(self) -> list[Any]:
        """Returns the whole plan."""
        return [
            self.revision,
            self.config_revision,
            _plain(list(self.services.values())),
            _plain(list(self.jobs.values())),
            list(self.ended),
            _plain(list(self.sheets.values())),
            [
                [key, digest, _plain(answer)]
                for key, (digest, answer) in self.operations.items()
            ],
        ]

    def restore(self, plain: list[Any]) -> None:
        """Replaces the plan by that of a snapshot."""
        revision, config_revision, services, jobs, ended, sheets, answers = (
            plain
        )
        self.revision = revision
        self.config_revision = config_revision
        rows = msgspec.convert(services, list[common.SheetRow])
        self.services = {row.name: row for row in rows}
        converted = msgspec.convert(jobs, list[Job])
        self.jobs = {job.row.name: job for job in converted}
        self.ended = dict.fromkeys(ended)
        accepted = msgspec.convert(sheets, list[AcceptedSheet])
        self.sheets = {sheet.revision: sheet for sheet in accepted}
        self.operations = {
            key: (digest, msgspec.convert(answer, commands.Result))
            for key, digest, answer in answers
        }


def spec_of(row: common.SheetRow) -> int:
    """Returns a digest of what a running task can't change any more."""
    parts = (row.millicores, row.memory_mb, row.accelerators, row.command)
    return zlib.crc32(repr(parts).encode())


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value, builtin_types=(bytes,))
