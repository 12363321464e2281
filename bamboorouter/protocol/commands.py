"""Commands of the replicated state machine and their results.

A log entry carries one `CommandBatch`. Tags never change meaning; from 20 they
stand in `job_commands`.
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
        digest: SHA-256 of the sheet's bytes, in hex.
    """

    operation_id: str
    operator: str
    revision: int
    digest: str
    rows: tuple[common.SheetRow, ...]


class SubmitJob(base.Wire, frozen=True, kw_only=True, tag=2):
    """Adds one batch job to the plan in force."""

    operation_id: str
    operator: str
    row: common.SheetRow


class CancelJob(base.Wire, frozen=True, kw_only=True, tag=3):
    """Cancels a job: waiting tasks end, running ones are stopped."""

    operation_id: str
    operator: str
    job: str


class SetDrain(base.Wire, frozen=True, kw_only=True, tag=4):
    """Drains a worker or an upstream, or ends its drain."""

    operation_id: str
    operator: str
    target: str
    draining: bool


class RegisterWorker(base.Wire, frozen=True, kw_only=True, tag=5):
    """Records a worker and its capacity on its first announcement."""

    worker: str
    zone: str
    rack: str
    capacity: common.Resources


class AssignReason(base.Wire, frozen=True, kw_only=True):
    """Inputs of an assignment decision, for the account.

    Attributes:
        revision: Revision of the sheet.
        waiting: Number of tasks that waited.
        passed_over: First waiting tasks that were not taken, with the reason.
        share: Share of the team in thousandths when decided.
    """

    revision: int
    waiting: int
    passed_over: tuple[tuple[str, str], ...] = ()
    share: int = 0


class Assign(base.Wire, frozen=True, kw_only=True, tag=6):
    """Assigns a task to a worker under a new epoch."""

    task: str
    worker: str
    need: common.Resources
    reason: AssignReason


class EndTask(base.Wire, frozen=True, kw_only=True, tag=7):
    """Ends an assignment.

    Attributes:
        outcome: "finished", "failed", "stopped" (cancelled or drained) or
            "lease_expired" (worker silent beyond the lease and allowance).
    """

    task: str
    epoch: int
    outcome: str
    checkpoint: str = ""
    detail: str = ""


class EvictTask(base.Wire, frozen=True, kw_only=True, tag=8):
    """Records the intent to evict a running task."""

    task: str
    epoch: int
    reason: str


class ConfirmEviction(base.Wire, frozen=True, kw_only=True, tag=9):
    """Records that an evicted task stopped, with its checkpoint."""

    task: str
    epoch: int
    checkpoint: str


class Quarantine(base.Wire, frozen=True, kw_only=True, tag=10):
    """Keeps new tasks from a worker until a wall time in ms."""

    worker: str
    until_ms: int
    reason: str


class ReserveRequest(base.Wire, frozen=True, kw_only=True, tag=11):
    """Reserves an idempotency key."""

    key: str
    fingerprint: int
    attempt: str
    service: str
    entry: str


class RecordRequestOutcome(base.Wire, frozen=True, kw_only=True, tag=12):
    """Records the outcome of a reserved request."""

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
        records: `messages.RequestRecord` as plain arrays.
    """

    entry: str
    incarnation: int
    sequence: int
    records: tuple[Any, ...]


class ReplaceInstance(base.Wire, frozen=True, kw_only=True, tag=14):
    """Adds an instance of a service that takes over from a running one.

    Attributes:
        task: The instance to replace; it ends once the new one runs.
        reason: For example "worker drained".
    """

    task: str
    epoch: int
    reason: str


class FailJob(base.Wire, frozen=True, kw_only=True, tag=15):
    """Gives up a job: waiting tasks fail, running ones are not repeated.

    Attributes:
        code: Code from `error_texts`.
        reason: Explanation for people.
    """

    job: str
    code: str
    reason: str


class ForgetWorker(base.Wire, frozen=True, kw_only=True, tag=16):
    """Removes a worker that was not heard for long and holds no task."""

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
    """

    wall_ms: int
    commands: tuple[Command, ...]


class Result(base.Wire, frozen=True, kw_only=True):
    """What applying a command returned; equal on every replica.

    Attributes:
        ok: Whether the command took effect (now or on its first sending).
        code: Code from `error_texts` if refused.
        text: Explanation for people.
        data: Values by name, for example "revision" or "epoch".
    """

    ok: bool
    code: str = ""
    text: str = ""
    data: dict[str, Any] = {}


BATCH_CODEC: Final[codec.Codec[CommandBatch]] = codec.Codec(types=CommandBatch)
