"""Codes and texts of the errors that callers and operators receive.

A code is stable and machine-readable. A text is a format string for a message
to people.
"""

from typing import Final

# Refusals: no part of the request was executed.
NOT_READY: Final = "not_ready"
NO_SUCH_SERVICE: Final = "no_such_service"
NO_UPSTREAM: Final = "no_upstream"
QUEUE_FULL: Final = "queue_full"
DEADLINE: Final = "deadline"
BODY_TOO_LARGE: Final = "body_too_large"
COMMAND_TOO_LARGE: Final = "command_too_large"
STATE_FULL: Final = "state_full"
DRAINING: Final = "draining"
UNCONFIRMED_ROUTE: Final = "unconfirmed_route"
KEY_REQUIRED: Final = "key_required"
KEY_MALFORMED: Final = "key_malformed"
KEY_REUSED: Final = "key_reused"
KEY_TABLE_FULL: Final = "key_table_full"
NO_CAPACITY: Final = "no_capacity"
BAD_DIGEST: Final = "bad_digest"
REVISION_CONFLICT: Final = "revision_conflict"
SHEET_INVALID: Final = "sheet_invalid"
NO_SUCH_JOB: Final = "no_such_job"
NO_SUCH_QUEUE: Final = "no_such_queue"
JOB_ID_IN_USE: Final = "job_id_in_use"
JOB_EXISTS: Final = "job_exists"
JOB_INVALID: Final = "job_invalid"
JOB_CANNOT_RUN: Final = "job_cannot_run"
STALE_EPOCH: Final = "stale_epoch"
BAD_REQUEST: Final = "bad_request"
KEY_EXPIRED: Final = "key_expired"
STOPPING: Final = "stopping"
JOB_AT_FAULT: Final = "job_at_fault"
STALE_ATTEMPT: Final = "stale_attempt"
NO_SUCH_TASK: Final = "no_such_task"
NO_SUCH_WORKER: Final = "no_such_worker"
TASK_NOT_WAITING: Final = "task_not_waiting"
WORKER_DRAINED: Final = "worker_drained"
WORKER_IN_USE: Final = "worker_in_use"
WORKER_QUARANTINED: Final = "worker_quarantined"
TOO_MANY_QUARANTINES: Final = "too_many_quarantines"
TOO_MANY_DRAINS: Final = "too_many_drains"
TOO_MANY_WITHDRAWN: Final = "too_many_withdrawn"
UNKNOWN_OPERATION: Final = "unknown_operation"
BAD_ARGUMENT: Final = "bad_argument"
LOG_BUSY: Final = "log_busy"
MEMBERS_BUSY: Final = "members_busy"
NO_SUCH_MEMBER: Final = "no_such_member"
NOT_CAUGHT_UP: Final = "not_caught_up"
QUORUM_AT_RISK: Final = "quorum_at_risk"
CALL_MALFORMED: Final = "call_malformed"
OPERATION_REUSED: Final = "operation_reused"
NOT_REACHED: Final = "not_reached"
READ_TOO_LATE: Final = "read_too_late"

# Failures of requests that were or may have been started.
NO_ANSWER: Final = "no_answer"
BAD_ANSWER: Final = "bad_answer"
NOT_RECORDED: Final = "not_recorded"
BODY_NOT_KEPT: Final = "body_not_kept"
OTHER_ATTEMPT: Final = "other_attempt"

# The operation may or may not have been carried out.
RESULT_UNKNOWN: Final = "result_unknown"

TEXTS: Final[dict[str, str]] = {
    NOT_READY: "the process has no confirmed configuration yet",
    NO_SUCH_SERVICE: "service {service!r} is not in the sheet in force",
    NO_UPSTREAM: "no upstream of service {service!r} accepts requests",
    QUEUE_FULL: "the queue of urgency class {urgency} is full",
    DEADLINE: "the request cannot start before its deadline",
    BODY_TOO_LARGE: "the body exceeds {limit} bytes",
    STATE_FULL: (
        "the state has {size} bytes and may have {limit} bytes at most"
    ),
    COMMAND_TOO_LARGE: (
        "{size} bytes were to be stored, but the limit is {limit} bytes"
    ),
    DRAINING: "the upstream is draining",
    UNCONFIRMED_ROUTE: (
        "neither the entry nor the agent could confirm the route with a leader"
    ),
    KEY_REQUIRED: "service {service!r} requires an Idempotency-Key header",
    KEY_MALFORMED: "Idempotency-Key must be a UUID version 7",
    KEY_REUSED: "the idempotency key was used for another request",
    KEY_TABLE_FULL: "the table of idempotency keys is full",
    NO_CAPACITY: "the worker has no free capacity",
    BAD_DIGEST: "the length or digest of the body does not match",
    REVISION_CONFLICT: (
        "revision {offered} conflicts; revision {in_force} is in force"
    ),
    SHEET_INVALID: "the sheet has invalid rows",
    NO_SUCH_JOB: "job {job!r} does not exist",
    JOB_EXISTS: "job {job!r} already exists with different content",
    JOB_CANNOT_RUN: "job {job!r} needs more resources than any worker has",
    LOG_BUSY: "the queue of proposed commands is full",
    MEMBERS_BUSY: "another change of members is not committed yet",
    NO_SUCH_MEMBER: "replica {replica!r} is not a member",
    NOT_CAUGHT_UP: "replica {replica!r} lacks {lag} committed entries",
    QUORUM_AT_RISK: (
        "without replica {replica!r} only {alive} of {voters} voters answer"
    ),
    STALE_EPOCH: "epoch {epoch} of task {task!r} is not current",
    NO_SUCH_QUEUE: "queue {queue!r} does not exist",
    JOB_ID_IN_USE: "another queue has a job with the ID {job!r}",
    JOB_INVALID: "job {job!r} is invalid: {problem}",
    JOB_AT_FAULT: "job {job!r} fails on every worker that runs it",
    STALE_ATTEMPT: "attempt {attempt!r} does not hold the reservation",
    NO_SUCH_TASK: "task {task!r} does not exist",
    NO_SUCH_WORKER: "worker {worker!r} is not known",
    TASK_NOT_WAITING: "task {task!r} is {state}, not waiting",
    WORKER_DRAINED: "worker {worker!r} is drained",
    WORKER_IN_USE: "worker {worker!r} still has tasks",
    WORKER_QUARANTINED: "worker {worker!r} is quarantined",
    TOO_MANY_QUARANTINES: "{count} workers are quarantined already",
    TOO_MANY_DRAINS: "{count} workers and upstreams are drained already",
    READ_TOO_LATE: "the entry was suspended until the call had timed out",
    TOO_MANY_WITHDRAWN: "too many jobs were cancelled before their submission",
    UNKNOWN_OPERATION: "operation {operation!r} does not exist",
    BAD_ARGUMENT: "argument {argument!r} is missing or not allowed",
    CALL_MALFORMED: "the call is malformed",
    OPERATION_REUSED: ("operation ID {operation_id!r} belongs to another call"),
    NOT_REACHED: "no entry could be reached; nothing was changed",
    RESULT_UNKNOWN: (
        "no leader answered; the operation may have been carried out"
    ),
    BAD_REQUEST: "the request is malformed: {detail}",
    KEY_EXPIRED: (
        "the idempotency key has expired; it is not known whether its request"
        " was executed"
    ),
    STOPPING: "the process is stopping",
    NO_ANSWER: "it is not known whether the request was executed: {detail}",
    BAD_ANSWER: "the upstream's response is invalid: {detail}",
    NOT_RECORDED: "the outcome could not be recorded in time",
    BODY_NOT_KEPT: "the request completed earlier; its response was not stored",
    OTHER_ATTEMPT: (
        "another attempt with this idempotency key has no outcome yet"
    ),
}


def text_for(code: str, **values: object) -> str:
    """Returns the text of a code, formatted with `values`."""
    return TEXTS[code].format(**values)
