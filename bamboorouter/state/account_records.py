"""Describes the commands of the log that concern a subject of the account.

A subject is a task, a job or service, a worker or upstream, an idempotency key
or a request ID. Each description has a human-readable text and fields with the
same values by name.
"""

import datetime
from typing import Any

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import account_jobs


class PlanTracker:
    """Tracks the plan in force while the log is read.

    Attributes:
        revision: Revision of the sheet in force.
        rows: Rows by name. Jobs of earlier sheets are kept, because their
            tasks may still run.
        assigned: IDs of the tasks that are assigned to a worker.
        operations: Operation IDs of the operator calls read so far.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, common.SheetRow] = {}
        self.assigned: set[str] = set()
        self.operations: set[str] = set()

    def apply(
        self, command: commands.Command, result: commands.Result | None
    ) -> bool:
        """Applies the next command.

        A repeated command gets the answer of the first one and changes
        nothing; it is not shown. A refused command changes nothing, but is
        shown.

        Returns:
            Whether the command is to be shown.
        """
        operation_id = getattr(command, "operation_id", "")
        if operation_id in self.operations:
            # A resent call is not shown; a different call that reuses the ID
            # was refused and is shown.
            return (
                result is not None
                and result.code == error_texts.OPERATION_REUSED
            )
        if operation_id:
            self.operations.add(operation_id)
        if result is not None and not result.ok:
            return True
        match command:
            case commands.AcceptSheet():
                if self.revision and command.revision != self.revision + 1:
                    return False
                self.revision = command.revision
                self.rows = {
                    name: row
                    for name, row in self.rows.items()
                    if row.kind != "service"
                }
                self.rows.update((row.name, row) for row in command.rows)
            case commands.SubmitJob():
                self.rows[command.row.name] = command.row
            case commands.Assign():
                if result is None and command.task in self.assigned:
                    return False
                self.assigned.add(command.task)
            case commands.EndTask(outcome="crashed"):
                # The assignment ended earlier; the task may run elsewhere.
                pass
            case commands.EndTask() | commands.ConfirmEviction():
                self.assigned.discard(command.task)
            case commands.RecordRequests():
                return result is None or not result.data.get("repeated")
        return True


# Kind, text and fields of a record.
Description = tuple[str, str, dict[str, Any]]


def describe(
    name: str,
    command: commands.Command,
    plan: PlanTracker,
    result: commands.Result | None,
) -> list[Description]:
    """Describes what a command decides about a subject.

    Args:
        name: The subject.
        command: The command.
        plan: The plan in force after the command.
        result: Result of the command; None if it was not replayed.

    Returns:
        Kind, text and fields of each record; usually none or one.
    """
    match command:
        case commands.AcceptSheet():
            return _describe_sheet(name, command)
        case commands.SubmitJob() if row_of(name) == command.row.name:
            text = f"added by {command.operator}: {_describe_row(command.row)}"
            return [("job_added", text, _row_fields(command.row))]
        case commands.CancelJob() if row_of(name) == command.job:
            text = f"cancelled by {command.operator}"
            return [("job_cancelled", text, {"operator": command.operator})]
        case commands.FailJob() if row_of(name) == command.job:
            text = f"failed ({command.code}): {command.reason}"
            failure = {"code": command.code, "reason": command.reason}
            return [("job_given_up", text, failure)]
        case commands.SetDrain() if name == command.target:
            what = "drained" if command.draining else "drain_ended"
            author = {"operator": command.operator}
            return [(what, f"{what} by {command.operator}", author)]
        case commands.RegisterWorker() if name == command.worker:
            return [_describe_worker(command)]
        case commands.Quarantine() if name == command.worker:
            until = _utc_text(command.until_ms // 1000)
            text = f"in quarantine until {until}: {command.reason}"
            fields = {"until_ms": command.until_ms, "reason": command.reason}
            return [("quarantined", text, fields)]
        case commands.RecordRequests():
            return _describe_requests(name, command)
        case commands.ReserveRequest() | commands.RecordRequestOutcome():
            return _describe_reservation(name, command, result)
        case commands.Assign():
            return _describe_assignment(name, command, plan, result)
        case (
            commands.EndTask()
            | commands.EvictTask()
            | commands.ConfirmEviction()
            | commands.ReplaceInstance()
        ):
            return _describe_task(name, command)
    return account_jobs.describe(name, command, result)


def row_of(name: str) -> str:
    """Returns the row name in a task ID; a row name is returned unchanged."""
    return name.partition("/")[0]


def _utc_text(second: int) -> str:
    moment = datetime.datetime.fromtimestamp(second, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _concerns(name: str, task: str) -> bool:
    return name in (task, row_of(task))


def _row_fields(row: common.SheetRow) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.structs.asdict(row)
    return fields


def _describe_row(row: common.SheetRow) -> str:
    return (
        f"{row.kind} of team {row.owner}, urgency {row.urgency}, place"
        f" {row.place}, count {row.count}, {row.millicores / 1000:g}"
        f" processors, {row.memory_mb} MB, {row.accelerators} accelerators"
    )


def _describe_sheet(
    name: str, command: commands.AcceptSheet
) -> list[Description]:
    origin = f"sheet revision {command.revision} by {command.operator}"
    return [
        (
            "sheet_accepted",
            f"{origin}: {_describe_row(row)}",
            {
                "revision": command.revision,
                "operator": command.operator,
                "digest": command.digest,
                **_row_fields(row),
            },
        )
        for row in command.rows
        if row.name == row_of(name)
    ]


def _describe_worker(command: commands.RegisterWorker) -> Description:
    capacity = command.capacity
    text = (
        f"registered in zone {command.zone}, rack {command.rack}:"
        f" {capacity.millicores / 1000:g} processors, {capacity.memory_mb} MB,"
        f" {capacity.accelerators} accelerators, {capacity.slots} slots"
    )
    fields = {"zone": command.zone, "rack": command.rack}
    return ("worker_registered", text, fields)


def _describe_assignment(
    name: str,
    command: commands.Assign,
    plan: PlanTracker,
    result: commands.Result | None,
) -> list[Description]:
    if not _concerns(name, command.task) and name != command.worker:
        return []
    reason = command.reason
    passed_over = ", ".join(
        f"{task} ({why})" for task, why in reason.passed_over
    )
    text = (
        f"{command.task} assigned to {command.worker} under sheet revision"
        f" {reason.revision}; {reason.waiting} waited; passed over:"
        f" {passed_over or 'none'}"
    )
    row = plan.rows.get(row_of(command.task))
    fields: dict[str, Any] = {
        "task": command.task,
        "worker": command.worker,
        **msgspec.to_builtins(msgspec.structs.asdict(reason)),
        **({"epoch": result.data.get("epoch")} if result else {}),
    }
    if row is not None:
        text += (
            f"; team {row.owner} (weighted dominant share {reason.share}/1000),"
            f" urgency {row.urgency}, place {row.place}"
        )
        fields["owner"] = row.owner
        fields["urgency"] = row.urgency
        fields["place"] = row.place
    return [("assigned", text, fields)]


def _describe_task(
    name: str,
    command: (
        commands.EndTask
        | commands.EvictTask
        | commands.ConfirmEviction
        | commands.ReplaceInstance
    ),
) -> list[Description]:
    if not _concerns(name, command.task):
        return []
    subject = f"{command.task} epoch {command.epoch}"
    fields: dict[str, Any] = msgspec.structs.asdict(command)
    match command:
        case commands.EvictTask():
            text = f"{subject}: eviction ordered: {command.reason}"
            return [("eviction_ordered", text, fields)]
        case commands.ReplaceInstance():
            text = f"{subject}: replacement ordered: {command.reason}"
            return [("replacement_ordered", text, fields)]
        case commands.ConfirmEviction():
            last = command.checkpoint or "none"
            return [
                ("evicted", f"{subject}: stopped, checkpoint {last}", fields)
            ]
        case commands.EndTask():
            detail = f": {command.detail}" if command.detail else ""
            if command.crash is not None:
                fields["crash"] = msgspec.structs.asdict(command.crash)
            what = "crashed" if command.outcome == "crashed" else "ended"
            return [(what, f"{subject}: {command.outcome}{detail}", fields)]
    return []


def _describe_reservation(
    name: str,
    command: commands.ReserveRequest | commands.RecordRequestOutcome,
    result: commands.Result | None,
) -> list[Description]:
    if name not in (command.key, command.attempt):
        return []
    fields: dict[str, Any] = {"key": command.key, "attempt": command.attempt}
    if isinstance(command, commands.ReserveRequest):
        fields |= {"service": command.service, "entry": command.entry}
        state = str(result.data.get("state", "")) if result else ""
        text = (
            f"attempt {command.attempt} of entry {command.entry} asked to"
            f" reserve key {command.key} for service {command.service}"
            + (f": {state}" if state else "")
        )
        if state:
            fields["state"] = state
        granted = state in ("", "granted")
        return [("reserved" if granted else "asked_again", text, fields)]
    fields |= {"outcome": command.outcome, "status": command.status}
    text = (
        f"attempt {command.attempt} with key {command.key}: outcome"
        f" {command.outcome}, status {command.status}"
    )
    return [("outcome", text, fields)]


def _describe_requests(
    name: str, command: commands.RecordRequests
) -> list[Description]:
    records = (
        msgspec.convert(plain, messages.RequestRecord)
        for plain in command.records
        if name in plain
    )
    return [
        (
            "requests",
            f"entry {command.entry}, {_utc_text(record.second)}:"
            f" {record.count}"
            f" requests of service {record.service}, team {record.team},"
            f" urgency {record.urgency}: {record.outcome}"
            + (f" ({record.code})" if record.code else ""),
            {"entry": command.entry, **msgspec.structs.asdict(record)},
        )
        for record in records
        if name in (record.request_id, record.service)
    ]
