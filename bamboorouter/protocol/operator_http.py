"""JSON bodies of the operators' HTTP interface.

An operator's program sends `POST /v1/<operation>` with a `CallBody` and
receives a `ReplyBody`. The program chooses the operation ID, so that a call
that it resends through another entry gets the reply of the first one.
"""

from typing import Annotated
from typing import Any
from typing import Final
from typing import Literal

import msgspec

from bamboorouter import errors

PATH_PREFIX: Final = "/v1/"
# A sheet of 2,800 jobs for one day has about 420 KB; its escaped text fits into
# this limit and into a frame of a link.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024

Operation = Literal[
    "submit_sheet",
    "submit_job",
    "cancel_job",
    "drain",
    "status",
    "explain",
    "members",
]

# HTTP status codes for the result of an operation.
STATUS_DONE: Final = 200
STATUS_MALFORMED: Final = 400
STATUS_REFUSED: Final = 409
STATUS_NOT_DONE: Final = 503
STATUS_UNKNOWN: Final = 504


class CallBody(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Body of a call.

    Attributes:
        operation_id: Unique ID chosen by the operator's program.
        operator: Name of the operator, recorded in the account.
        arguments: Arguments by name.
    """

    operation_id: Annotated[
        str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")
    ]
    operator: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    arguments: dict[str, Any] = {}


class ReplyBody(msgspec.Struct, kw_only=True, frozen=True):
    """Body of a reply, with the fields of `messages.OperatorReply`."""

    ok: bool
    code: str = ""
    text: str = ""
    data: dict[str, Any] = {}


class WorkerStatus(msgspec.Struct, kw_only=True, frozen=True):
    """One worker as the leader sees it.

    Attributes:
        worker: Name of the worker.
        zone: Availability zone.
        rack: Rack.
        state: "alive", "silent", "drained" or "quarantined".
        tasks: Number of tasks assigned to the worker.
    """

    worker: str
    zone: str = ""
    rack: str = ""
    state: str = ""
    tasks: int = 0


class WaitingStatus(msgspec.Struct, kw_only=True, frozen=True):
    """One waiting task.

    Attributes:
        task: Task ID.
        reason: Reason why the task waits.
    """

    task: str
    reason: str = ""


class StatusData(msgspec.Struct, kw_only=True, frozen=True):
    """Data of the reply to the operation "status".

    Attributes:
        sheet_revision: Revision of the sheet in force; 0 before the first.
        config_revision: Number of configuration changes accepted so far.
        leader: Address of the leader.
        term: Term of the leader.
        applied: Configuration revision reported by each live process.
        lowest_applied: Lowest revision in `applied`.
        lagging: Names of processes whose revision is below `config_revision`.
        replicas: Members of the control group with their progress.
        workers: All known workers.
        tasks: Number of tasks by state.
        waiting: The first waiting tasks in scheduling order.
        waiting_total: Number of all waiting tasks.
    """

    sheet_revision: int = 0
    config_revision: int = 0
    leader: str = ""
    term: int = 0
    applied: dict[str, int] = {}
    lowest_applied: int = 0
    lagging: tuple[str, ...] = ()
    replicas: tuple[dict[str, Any], ...] = ()
    workers: tuple[WorkerStatus, ...] = ()
    tasks: dict[str, int] = {}
    waiting: tuple[WaitingStatus, ...] = ()
    waiting_total: int = 0

    def in_force(self, config_revision: int) -> bool:
        """Whether all live processes apply this revision or a later one."""
        return bool(self.applied) and self.lowest_applied >= config_revision


def read_status(data: dict[str, Any]) -> StatusData:
    """Converts and validates the data of a status reply.

    Raises:
        ProtocolError: The data doesn't match `StatusData`.
    """
    try:
        return msgspec.convert(data, StatusData, strict=False)
    except msgspec.ValidationError as err:
        raise errors.ProtocolError(text=str(err), step="read status") from err
