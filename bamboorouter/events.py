"""Numbered log events.

Each event has a number that never changes meaning. docs/events.md lists all of
them; a test compares that page with this module.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Final

from absl import logging


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A kind of log line.

    Attributes:
        number: Stable number of the event.
        name: Short name in snake case.
        level: Level of absl.logging.
        meaning: One sentence for the catalogue.
    """

    number: int
    name: str
    level: int
    meaning: str


CATALOGUE: Final[dict[int, Event]] = {}


def _event(number: int, name: str, level: int, meaning: str) -> Event:
    event = Event(number=number, name=name, level=level, meaning=meaning)
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is used twice")
    CATALOGUE[number] = event
    return event


Sink = Callable[[Event, Mapping[str, object]], None]
_sinks: Final[list[Sink]] = []


def set_sink(sink: Sink) -> None:
    """Has events go to a sink instead of the text log."""
    _sinks[:] = [sink]


@logging.skip_log_prefix
def log(event: Event, **fields: object) -> None:
    """Logs an event as `BR<number> <name> key=value ...`, or to the sink."""
    if event.level > logging.get_verbosity():
        return
    for sink in _sinks:
        sink(event, fields)
        return
    values = " ".join(f"{key}={value!r}" for key, value in fields.items())
    logging.log(event.level, "BR%04d %s %s", event.number, event.name, values)


# 1-99: process.
PROCESS_STARTED: Final = _event(
    1, "process_started", logging.INFO, "The daemon started its roles."
)
PROCESS_STOPPING: Final = _event(
    2, "process_stopping", logging.INFO, "A graceful shutdown began."
)
PROCESS_STOPPED: Final = _event(
    3, "process_stopped", logging.INFO, "All roles stopped."
)
STOP_TIMED_OUT: Final = _event(
    4,
    "stop_timed_out",
    logging.ERROR,
    "A role did not finish its graceful stop in time and was abandoned.",
)
LINK_OPENED: Final = _event(
    10, "link_opened", logging.INFO, "A link to a peer opened."
)
LINK_CLOSED: Final = _event(
    11, "link_closed", logging.INFO, "A link to a peer closed."
)
LINK_REFUSED: Final = _event(
    12,
    "link_refused",
    logging.WARNING,
    "A message could not be decoded; the link was closed.",
)
HANDLER_FAILED: Final = _event(
    13,
    "handler_failed",
    logging.ERROR,
    "The handler of a message raised an unexpected error.",
)

LINES_LEFT_OUT: Final = _event(
    14,
    "lines_left_out",
    logging.WARNING,
    "An event came too often in one second; the rest was only counted.",
)
LINES_DROPPED: Final = _event(
    15,
    "lines_dropped",
    logging.WARNING,
    "Nobody read the log fast enough; this many lines are missing.",
)
SETTINGS_RELOADED: Final = _event(
    16, "settings_reloaded", logging.INFO, "Changed settings were put in force."
)
SETTINGS_REFUSED: Final = _event(
    17,
    "settings_refused",
    logging.ERROR,
    "Changed settings are not valid; the earlier ones stay in force.",
)
ANNOUNCEMENT_REFUSED: Final = _event(
    18,
    "announcement_refused",
    logging.WARNING,
    "A message from outside can't be read; it changes nothing.",
)

LOOP_RESTARTED: Final = _event(
    19,
    "loop_restarted",
    logging.ERROR,
    "A loop of the process ended by an unexpected error and begins anew.",
)

# 100-199: consensus and storage.
TORN_TAIL_CUT: Final = _event(
    100,
    "torn_tail_cut",
    logging.WARNING,
    "An incomplete last record of the log, never acknowledged, was removed.",
)
STORAGE_FAILED: Final = _event(
    101,
    "storage_failed",
    logging.ERROR,
    "A write or sync failed; the replica acknowledges nothing until it is"
    " restarted.",
)
LEADER_ELECTED: Final = _event(
    102, "leader_elected", logging.INFO, "This replica leads its group."
)
LEADER_STEPPED_DOWN: Final = _event(
    103,
    "leader_stepped_down",
    logging.WARNING,
    "This replica no longer leads its group.",
)
LEADER_CHANGED: Final = _event(
    104, "leader_changed", logging.INFO, "This replica follows a new leader."
)
GROUP_FORMED: Final = _event(
    105, "group_formed", logging.INFO, "The first members formed the group."
)
WAITING_TO_JOIN: Final = _event(
    106,
    "waiting_to_join",
    logging.WARNING,
    "The data folder is empty but the group exists; an operator must add"
    " this replica.",
)
MEMBERS_CHANGED: Final = _event(
    107, "members_changed", logging.INFO, "The members of the group changed."
)
SNAPSHOT_WRITTEN: Final = _event(
    108, "snapshot_written", logging.INFO, "A snapshot was written."
)
SNAPSHOT_INSTALLED: Final = _event(
    109,
    "snapshot_installed",
    logging.INFO,
    "A snapshot of the leader replaced this replica's state.",
)
SNAPSHOT_SKIPPED: Final = _event(
    110,
    "snapshot_skipped",
    logging.WARNING,
    "A snapshot on disk is damaged; an older one is used.",
)
APPLY_FAILED: Final = _event(
    111,
    "apply_failed",
    logging.ERROR,
    "The state machine raised an error; the replica stopped taking part.",
)
PEER_REPLACED: Final = _event(
    112,
    "peer_replaced",
    logging.WARNING,
    "Another replica answers at the address of a member, which has lost its"
    " data folder or was moved.",
)
LOG_SHORTENED: Final = _event(
    113,
    "log_shortened",
    logging.WARNING,
    "Retention removed the oldest entries of the log; the account starts"
    " later.",
)

# 200-299: control role.
SCHEDULER_LEADS: Final = _event(
    200,
    "scheduler_leads",
    logging.INFO,
    "This replica decides; all leases count as renewed now.",
)
DECISION_REFUSED: Final = _event(
    201,
    "decision_refused",
    logging.WARNING,
    "The state machine refused a decision of the leader.",
)
DECISION_UNKNOWN: Final = _event(
    202,
    "decision_unknown",
    logging.WARNING,
    "The log was busy or a result is unknown; the decision is made again.",
)
TASK_ASSIGNED: Final = _event(
    203, "task_assigned", logging.INFO, "A task was assigned to a worker."
)
TASK_ENDED: Final = _event(
    204, "task_ended", logging.INFO, "An assignment ended."
)
PASS_FAILED: Final = _event(
    205, "pass_failed", logging.ERROR, "A pass of the scheduler failed."
)
OPERATION_ANSWERED: Final = _event(
    206,
    "operation_answered",
    logging.INFO,
    "The leader answered an operator's call.",
)

# 300-349: tasks of the agent.
TASK_ADMITTED: Final = _event(
    300,
    "task_admitted",
    logging.INFO,
    "The agent decided on a start order: started, or refused as stale, expired"
    " or without capacity.",
)
TASK_ORDERED: Final = _event(
    301,
    "task_ordered",
    logging.INFO,
    "The agent carries out an order to change a task.",
)
TASK_FOUND: Final = _event(
    302,
    "task_found",
    logging.INFO,
    "The worker runs a task that this run of the agent did not start.",
)
LEASE_ENDED: Final = _event(
    303,
    "lease_ended",
    logging.WARNING,
    "The lease of a task was not renewed in time; the task is stopped.",
)
WORKER_UNREACHABLE: Final = _event(
    304,
    "worker_unreachable",
    logging.WARNING,
    "A request to the worker got no answer and is repeated.",
)
LEASES_NOT_SENT: Final = _event(
    305,
    "leases_not_sent",
    logging.WARNING,
    "Renewals could not be passed on to the worker and are sent again.",
)
WORKER_LISTED: Final = _event(
    306,
    "worker_listed",
    logging.INFO,
    "The worker listed its tasks after a start of the agent.",
)
DRIVER_FAILED: Final = _event(
    307,
    "driver_failed",
    logging.ERROR,
    "Work on a task ended by an unexpected error.",
)
USAGE_MISSING: Final = _event(
    308,
    "usage_missing",
    logging.WARNING,
    "The worker did not report usage; the next report includes it.",
)
LEADER_UNREACHABLE: Final = _event(
    309,
    "leader_unreachable",
    logging.WARNING,
    "No leader answered a heartbeat; the next one follows at once.",
)
UPSTREAM_ANNOUNCED: Final = _event(
    310,
    "upstream_announced",
    logging.INFO,
    "An upstream announced itself on the agent's local address.",
)
UPSTREAM_LEAVES: Final = _event(
    311,
    "upstream_leaves",
    logging.INFO,
    "An upstream announced that it leaves; it gets no new work.",
)
UPSTREAM_SILENT: Final = _event(
    312,
    "upstream_silent",
    logging.WARNING,
    "An upstream did not repeat its announcement and is dropped.",
)

# 350-399: agent, requests.
DISPATCH_DAMAGED: Final = _event(
    350,
    "dispatch_damaged",
    logging.ERROR,
    "The body of a dispatched request does not match its digest.",
)
RESERVATION_REPEATED: Final = _event(
    351,
    "reservation_repeated",
    logging.ERROR,
    "A reserved request was dispatched twice; the second one was not run.",
)
UPSTREAM_GARBAGE: Final = _event(
    352,
    "upstream_garbage",
    logging.WARNING,
    "An upstream sent half an answer or one that is not HTTP.",
)

# 400-499: entry.
ENTRY_READY: Final = _event(
    400,
    "entry_ready",
    logging.INFO,
    "A leader answered the first time; the entry takes requests.",
)
STALE_UPDATE: Final = _event(
    401,
    "stale_update",
    logging.WARNING,
    "An update with a lower revision than the one applied was ignored.",
)
CALLER_GARBAGE: Final = _event(
    402,
    "caller_garbage",
    logging.WARNING,
    "A caller's body was shorter than announced or malformed.",
)
ANSWER_DAMAGED: Final = _event(
    403,
    "answer_damaged",
    logging.ERROR,
    "An answer does not match its digest or its request.",
)
AGENT_AVOIDED: Final = _event(
    404,
    "agent_avoided",
    logging.WARNING,
    "An agent stopped answering; its link was closed until a probe succeeds.",
)
AGENT_REACHED: Final = _event(
    405, "agent_reached", logging.INFO, "A link to an agent opened."
)
LEADER_SILENT: Final = _event(
    406,
    "leader_silent",
    logging.WARNING,
    "No leader answered the poll of an entry.",
)
OUTCOME_NOT_RECORDED: Final = _event(
    407,
    "outcome_not_recorded",
    logging.ERROR,
    "The outcome of a reserved request could not be committed.",
)
REQUEST_FAULT: Final = _event(
    408,
    "request_fault",
    logging.ERROR,
    "An unexpected error ended a request.",
)
UPSTREAM_EJECTED: Final = _event(
    409,
    "upstream_ejected",
    logging.WARNING,
    "An upstream failed repeatedly and is avoided until a probe succeeds.",
)
JOB_CALL_ANSWERED: Final = _event(
    410,
    "job_call_answered",
    logging.INFO,
    "An entry answered a caller's request about a job or a queue.",
)

# 500-599: operators.
OPERATOR_CALL: Final = _event(
    500,
    "operator_call",
    logging.INFO,
    "The leader answered an operator's call.",
)
OPERATOR_CALL_UNANSWERED: Final = _event(
    501,
    "operator_call_unanswered",
    logging.WARNING,
    "No leader answered an operator's call in time; its result is unknown.",
)

# 600-699: jobs with steps, on the leader.
JOB_ACCEPTED: Final = _event(
    600,
    "job_accepted",
    logging.INFO,
    "A job was accepted, or its ID was known.",
)
JOB_REFUSED: Final = _event(
    601,
    "job_refused",
    logging.INFO,
    "A job was not accepted and does not run.",
)
JOB_CANCELLED: Final = _event(
    602,
    "job_cancelled",
    logging.INFO,
    "A job was cancelled, or had ended before.",
)
CONFIGURATION_OFFERED: Final = _event(
    603,
    "configuration_offered",
    logging.INFO,
    "A configuration was acknowledged; the highest version is in force.",
)
RUN_ASSIGNED: Final = _event(
    604,
    "run_assigned",
    logging.INFO,
    "A task was assigned to a worker and the decision committed.",
)
RUN_ENDED: Final = _event(
    605,
    "run_ended",
    logging.INFO,
    "The end of a run was committed.",
)
SESSION_OPENED: Final = _event(
    606,
    "session_opened",
    logging.INFO,
    "An agent began a session with a life of its worker.",
)
LEASES_EXPIRED: Final = _event(
    607,
    "leases_expired",
    logging.WARNING,
    "An agent was silent beyond the lease; its runs are counted as lost.",
)
JOB_DECISION_NOT_COMMITTED: Final = _event(
    608,
    "job_decision_not_committed",
    logging.WARNING,
    "A decision of the leader was not committed in time.",
)
DISPATCH_FAILED: Final = _event(
    609,
    "dispatch_failed",
    logging.ERROR,
    "An unexpected error ended a pass of the dispatcher.",
)
WORKER_SHUNNED: Final = _event(
    610,
    "worker_shunned",
    logging.WARNING,
    "Runs of several jobs failed in a row on a worker; it is avoided for a while.",
)
RUN_STOP_ORDERED: Final = _event(
    611,
    "run_stop_ordered",
    logging.INFO,
    "A run was ordered to stop.",
)
ORDERS_NOT_SENT: Final = _event(
    612,
    "orders_not_sent",
    logging.WARNING,
    "Orders could not be pushed; the next report of the agent shows what is missing.",
)
MEMBERS_REPAIRED: Final = _event(
    613,
    "members_repaired",
    logging.WARNING,
    "The leader replaces a lost replica or adds a voter.",
)
REPAIR_DELAYED: Final = _event(
    614,
    "repair_delayed",
    logging.INFO,
    "Joining or changing the group did not succeed yet.",
)
WORKER_SLOW: Final = _event(
    615,
    "worker_slow",
    logging.WARNING,
    "Work on a worker goes on far slower than elsewhere; it is avoided.",
)
REPLICA_NOT_OPENED: Final = _event(
    616,
    "replica_not_opened",
    logging.ERROR,
    "The data folder can't be opened; it is tried again.",
)

ADVICE_TAKEN: Final = _event(
    617,
    "advice_taken",
    logging.INFO,
    "The service that knows where a step may run has answered.",
)
ADVICE_FAILED: Final = _event(
    618,
    "advice_failed",
    logging.WARNING,
    "The service that knows where a step may run is busy or silent; it is asked"
    " again after a pause.",
)

# 700-799: runs of jobs with steps, on an agent.
WORKER_LIFE_CHANGED: Final = _event(
    700,
    "worker_life_changed",
    logging.INFO,
    "The worker announced a new life.",
)
WORKER_DRAINING: Final = _event(
    701,
    "worker_draining",
    logging.INFO,
    "The worker announced that it leaves, or that it stays.",
)
WORKER_LEFT: Final = _event(
    702,
    "worker_left",
    logging.INFO,
    "The worker ended its life as announced.",
)
REPORT_FAILED: Final = _event(
    703,
    "report_failed",
    logging.WARNING,
    "No leader answered the report of an agent.",
)
SESSION_FAILED: Final = _event(
    704,
    "session_failed",
    logging.WARNING,
    "A session could not be opened or ended by an error.",
)
SESSION_ENDED: Final = _event(
    705,
    "session_ended",
    logging.INFO,
    "The leader knows a newer session.",
)
WORKER_LOST: Final = _event(
    706,
    "worker_lost",
    logging.WARNING,
    "The worker did not answer until its lease ended; its runs are counted as lost.",
)
RUN_STARTED: Final = _event(
    707,
    "run_started",
    logging.INFO,
    "The worker took a start order.",
)
ORDER_FAILED: Final = _event(
    708,
    "order_failed",
    logging.WARNING,
    "The worker rejected an order or did not answer it.",
)

CONFIGURATION_REFUSED: Final = _event(
    502,
    "configuration_refused",
    logging.WARNING,
    "An operator sent a configuration that is not valid.",
)
CONFIGURATION_NOT_CONFIRMED: Final = _event(
    503,
    "configuration_not_confirmed",
    logging.WARNING,
    "No leader answered a call about the configuration in time.",
)
PACE_CHANGED: Final = _event(
    709,
    "pace_changed",
    logging.INFO,
    "Filling runs of a worker were slowed or given speed back.",
)
