"""Commands of the replicated state machine and their results.

A log entry contains one `CommandBatch`. The log is also the account, from which
operators can ask for the explanation of a decision, so some commands contain
the inputs of decisions.

The meaning of a tag must never change. Commands with tags from 20 are defined
in `job_commands`.
"""

from typing import Any
from typing import Final

from bamboorouter.protocol import base
from bamboorouter.protocol import codec
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands


class AcceptSheet(base.Wire, frozen=True, kw_only=True, tag=1):
    """Puts a sheet in force.

    Attributes:
        operation_id: Unique ID; a resent operation gets the first result.
        operator: Name of the operator.
        revision: Revision of the sheet.
        digest: SHA-256 of the sheet's bytes, in hex.
        rows: Services and jobs in the order of the sheet.
    """

    operation_id: str
    operator: str
    revision: int
    digest: str
    rows: tuple[common.SheetRow, ...]


class SubmitJob(base.Wire, frozen=True, kw_only=True, tag=2):
    """Adds one batch job to the sheet in force."""

    operation_id: str
    operator: str
    row: common.SheetRow


class CancelJob(base.Wire, frozen=True, kw_only=True, tag=3):
    """Cancels a job: ends its waiting tasks and stops its running ones."""

    operation_id: str
    operator: str
    job: str


class SetDrain(base.Wire, frozen=True, kw_only=True, tag=4):
    """Drains a worker or an upstream, or ends its drain.

    Attributes:
        operation_id: Unique ID; a resent operation gets the first result.
        operator: Name of the operator.
        target: Name of the worker or ID of the upstream.
        draining: True to begin the drain, False to end it.
    """

    operation_id: str
    operator: str
    target: str
    draining: bool


class RegisterWorker(base.Wire, frozen=True, kw_only=True, tag=5):
    """Records a worker and its capacity after its first report."""

    worker: str
    zone: str
    rack: str
    capacity: common.Resources


class AssignReason(base.Wire, frozen=True, kw_only=True):
    """Inputs of an assignment decision, for the account.

    Attributes:
        revision: Revision of the sheet.
        waiting: Number of waiting tasks.
        passed_over: First waiting tasks that were skipped, each with the
            reason.
        share: Fraction of all resources that the team used at the time of the
            decision, divided by its weight in fair sharing, in thousandths.
    """

    revision: int
    waiting: int
    passed_over: tuple[tuple[str, str], ...] = ()
    share: int = 0


class Assign(base.Wire, frozen=True, kw_only=True, tag=6):
    """Assigns a task to a worker under a new fencing epoch.

    Attributes:
        task: Task ID.
        worker: Name of the worker.
        need: Resources to reserve.
        reason: Inputs of the decision.
    """

    task: str
    worker: str
    need: common.Resources
    reason: AssignReason


class TaskCrash(base.Wire, frozen=True, kw_only=True):
    """Evidence that a worker crashed under a run of a task of the sheet.

    Attributes:
        age_ms: Time in ms from the assignment until the worker was last heard
            of.
        confirmed: Whether the worker had reported the run as running.
    """

    age_ms: int
    confirmed: bool


class EndTask(base.Wire, frozen=True, kw_only=True, tag=7):
    """Ends an assignment.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        outcome: "finished", "failed", "given_up" (failed and not retried),
            "stopped" (cancelled or drained), "lost" (the agent no longer holds
            the task), "lease_expired" (the worker stayed silent for the
            duration of the lease and a safety margin) or "crashed" (the worker
            of an assignment that had expired turned out to have crashed; the
            command only counts the crash).
        checkpoint: Checkpoint to resume from; empty if there is none.
        detail: Reason for the end, for people.
        crash: The crash of the worker by which the run ended; None if it isn't
            known to have ended that way.
        started: Whether a run whose lease expired may have been started.
    """

    task: str
    epoch: int
    outcome: str
    checkpoint: str = ""
    detail: str = ""
    crash: TaskCrash | None = None
    started: bool = False


class EvictTask(base.Wire, frozen=True, kw_only=True, tag=8):
    """Records the decision to evict a running task."""

    task: str
    epoch: int
    reason: str


class ConfirmEviction(base.Wire, frozen=True, kw_only=True, tag=9):
    """Records that an evicted task has stopped, and its checkpoint."""

    task: str
    epoch: int
    checkpoint: str


class Quarantine(base.Wire, frozen=True, kw_only=True, tag=10):
    """Quarantines a worker: it gets no new tasks for some time.

    Attributes:
        worker: Name of the worker.
        until_ms: Wall time in ms since the epoch at which the quarantine ends.
        reason: Reason for the quarantine.
    """

    worker: str
    until_ms: int
    reason: str


class ReserveRequest(base.Wire, frozen=True, kw_only=True, tag=11):
    """Reserves an idempotency key; see `messages.Reserve`."""

    key: str
    fingerprint: int
    attempt: str
    service: str
    entry: str


class RecordRequestOutcome(base.Wire, frozen=True, kw_only=True, tag=12):
    """Records a reserved request's outcome; see `messages.RecordOutcome`."""

    key: str
    attempt: str
    outcome: common.Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: int
    body_kept: bool


class RecordRequests(base.Wire, frozen=True, kw_only=True, tag=13):
    """Adds request records of an entry to the account.

    Attributes:
        entry: Name of the entry.
        incarnation: Random number that identifies the run of the entry.
        sequence: Number of the batch within the incarnation.
        records: Instances of `messages.RequestRecord` as plain arrays.
    """

    entry: str
    incarnation: int
    sequence: int
    records: tuple[Any, ...]


class ReplaceInstance(base.Wire, frozen=True, kw_only=True, tag=14):
    """Adds an instance of a service that replaces a running one.

    Attributes:
        task: Task ID of the instance to replace, which is stopped once the new
            one runs.
        epoch: Fencing epoch of that instance.
        reason: Reason for the replacement, for example "worker drained".
    """

    task: str
    epoch: int
    reason: str


class FailJob(base.Wire, frozen=True, kw_only=True, tag=15):
    """Fails a job: its waiting tasks fail, its running ones aren't retried.

    Attributes:
        job: Name of the job.
        code: Code from `error_texts`.
        reason: Explanation for people.
    """

    job: str
    code: str
    reason: str


class ForgetWorker(base.Wire, frozen=True, kw_only=True, tag=16):
    """Removes a worker that has been silent for long and has no task."""

    worker: str


Command = (
    AcceptSheet
    | SubmitJob
    | CancelJob
    | SetDrain
    | RegisterWorker
    | Assign
    | EndTask
    | EvictTask
    | ConfirmEviction
    | Quarantine
    | ReserveRequest
    | RecordRequestOutcome
    | RecordRequests
    | ReplaceInstance
    | FailJob
    | ForgetWorker
    | job_commands.PutConfiguration
    | job_commands.AcceptSteps
    | job_commands.CancelSteps
    | job_commands.StartRuns
    | job_commands.EndRuns
    | job_commands.OpenSession
    | job_commands.ForgetSteps
    | job_commands.NoteCheckpoints
    | job_commands.NoteDisturbances
)


class CommandBatch(base.Wire, frozen=True, kw_only=True):
    """The payload of one log entry.

    Attributes:
        wall_ms: Wall time of the leader in ms since the epoch.
        commands: Commands to apply in this order.
    """

    wall_ms: int
    commands: tuple[Command, ...]


class Result(base.Wire, frozen=True, kw_only=True):
    """Result of applying a command, the same on every replica.

    Attributes:
        ok: Whether the command took effect, now or when it was first sent.
        code: Code from `error_texts` if refused.
        text: Explanation for people.
        data: Values by name, for example "revision" or "epoch".
    """

    ok: bool
    code: str = ""
    text: str = ""
    data: dict[str, Any] = {}


BATCH_CODEC: Final[codec.Codec[CommandBatch]] = codec.Codec(types=CommandBatch)
