"""The plan in force: services, jobs and recorded answers to operators.

A new sheet replaces all services, but only adds or updates jobs. A job that is
missing from the new sheet continues until its tasks have ended. The names of
ended jobs are remembered, so that a sheet that still lists such a job does not
run it again.
"""

from typing import Any
from typing import Final
from typing import Literal
import zlib

import msgspec

from bamboorouter.protocol import commands
from bamboorouter.protocol import common

# Answers to operator calls that are kept for resent calls; far more than can be
# resent after a lost answer.
MAX_OPERATIONS: Final = 4096
MAX_SHEETS: Final = 64
# Three days of jobs at the target rate of 2,800 jobs a day.
MAX_ENDED_JOBS: Final = 8_400
# Ended jobs whose tasks are kept; they are used by the status call only.
MAX_ENDED_WITH_TASKS: Final = 100


class Job(msgspec.Struct, array_like=True, kw_only=True):
    """A batch job.

    Attributes:
        row: Row of the sheet that declares it.
        submitted_ms: Wall time of its acceptance in ms since the epoch.
        open_tasks: Number of tasks that are not in a final state.
        finished: Number of finished tasks.
        failed: Number of failed tasks.
        cancelled: Number of cancelled tasks.
        verdict: "cancelled" or "failed" after the job as a whole was
            cancelled or failed; empty otherwise.
        code: Error code that goes with `verdict`.
        reason: Human-readable reason that goes with `verdict`.
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
    """An accepted sheet and the answer to its submission.

    Attributes:
        revision: Revision of the sheet.
        digest: SHA-256 of the sheet.
        answer: Answer that was returned.
    """

    revision: int
    digest: str
    answer: commands.Result


class Plan:
    """Services, jobs and recorded answers.

    Attributes:
        revision: Revision of the sheet in force; 0 before the first.
        config_revision: Counter incremented by each accepted configuration
            change.
        services: Service rows by name.
        jobs: Jobs by name, ended ones included.
        ended: Names of ended jobs, oldest first.
        sheets: The last accepted sheets by revision.
        operations: Digest of the call and its first answer, by operation ID.
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
        """Returns the row of a service or job; None if there is none."""
        job = self.jobs.get(name)
        return job.row if job is not None else self.services.get(name)

    def team_weights(self) -> dict[str, int]:
        """Returns the weight of each team, the highest `share` of its rows."""
        rows = [
            *self.services.values(),
            *(
                job.row
                for name, job in self.jobs.items()
                if name not in self.ended
            ),
        ]
        shares: dict[str, int] = {}
        for row in rows:
            shares[row.owner] = max(row.share, shares.get(row.owner, 0))
        return shares

    def record_answer(
        self, operation_id: str, digest: int, answer: commands.Result
    ) -> None:
        """Records the first answer to an operation for resent calls."""
        if not operation_id:
            return
        self.operations[operation_id] = (digest, answer)
        while len(self.operations) > MAX_OPERATIONS:
            del self.operations[next(iter(self.operations))]

    def record_sheet(
        self, command: commands.AcceptSheet, answer: commands.Result
    ) -> None:
        """Records an accepted sheet and the answer to its submission."""
        self.sheets[command.revision] = AcceptedSheet(
            revision=command.revision, digest=command.digest, answer=answer
        )
        while len(self.sheets) > MAX_SHEETS:
            del self.sheets[next(iter(self.sheets))]

    def end_job(self, name: str) -> list[str]:
        """Records that a job has ended.

        Removes the oldest ended jobs beyond `MAX_ENDED_JOBS`.

        Returns:
            Names of jobs whose tasks are to be removed: the removed jobs, and
            the newest ended job beyond `MAX_ENDED_WITH_TASKS`.
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
        """Returns the whole plan as plain data."""
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
        """Replaces the plan with the one in a snapshot."""
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


def spec_digest(row: common.SheetRow) -> int:
    """Returns a digest of the settings that are fixed while a task runs."""
    parts = (row.millicores, row.memory_mb, row.accelerators, row.command)
    return zlib.crc32(repr(parts).encode())


def _plain(value: Any) -> Any:
    return msgspec.to_builtins(value, builtin_types=(bytes,))
