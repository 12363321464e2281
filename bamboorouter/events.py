"""Defines and logs numbered events.

The number of an event never changes its meaning. docs/events.md lists all
events; a test compares that page with this module.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Final

from absl import logging


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A type of event.

    Attributes:
        number: Stable number of the event.
        name: Short name in snake case.
        level: Level of absl.logging.
        meaning: Description in docs/events.md, one sentence.
    """

    number: int
    name: str
    level: int
    meaning: str


CATALOGUE: Final[dict[int, Event]] = {}


def _define_event(number: int, name: str, level: int, meaning: str) -> Event:
    event = Event(number=number, name=name, level=level, meaning=meaning)
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is used twice")
    CATALOGUE[number] = event
    return event


Sink = Callable[[Event, Mapping[str, object]], None]
_sinks: Final[list[Sink]] = []


def set_sink(sink: Sink) -> None:
    """Redirects all events from the text log to a sink."""
    _sinks[:] = [sink]


@logging.skip_log_prefix
def log(event: Event, **fields: object) -> None:
    """Logs an event as `BR<number> <name> key=value ...`, or calls the sink.

    Events above the current verbosity are discarded.
    """
    if event.level > logging.get_verbosity():
        return
    for sink in _sinks:  # At most one.
        sink(event, fields)
        return
    values = " ".join(f"{key}={value!r}" for key, value in fields.items())
    logging.log(event.level, "BR%04d %s %s", event.number, event.name, values)


# 1-99: process.
PROCESS_STARTED: Final = _define_event(
    1, "process_started", logging.INFO, "The daemon started all its roles."
)
PROCESS_STOPPING: Final = _define_event(
    2, "process_stopping", logging.INFO, "A graceful shutdown began."
)
PROCESS_STOPPED: Final = _define_event(
    3, "process_stopped", logging.INFO, "All roles stopped."
)
STOP_TIMED_OUT: Final = _define_event(
    4,
    "stop_timed_out",
    logging.ERROR,
    "A role did not stop gracefully before the timeout and was abandoned.",
)
LINK_OPENED: Final = _define_event(
    10, "link_opened", logging.INFO, "A link to a peer was opened."
)
LINK_CLOSED: Final = _define_event(
    11, "link_closed", logging.INFO, "A link to a peer was closed."
)
LINK_REFUSED: Final = _define_event(
    12,
    "link_refused",
    logging.WARNING,
    "A message could not be decoded; the link was closed.",
)
HANDLER_FAILED: Final = _define_event(
    13,
    "handler_failed",
    logging.ERROR,
    "The handler of a message raised an unexpected error.",
)

LINES_LEFT_OUT: Final = _define_event(
    14,
    "lines_left_out",
    logging.WARNING,
    "An event exceeded the rate limit; further lines in that second were only"
    " counted.",
)
LINES_DROPPED: Final = _define_event(
    15,
    "lines_dropped",
    logging.WARNING,
    "The reader of the log was too slow; `count` lines were dropped.",
)
SETTINGS_RELOADED: Final = _define_event(
    16, "settings_reloaded", logging.INFO, "Changed settings took effect."
)
SETTINGS_REFUSED: Final = _define_event(
    17,
    "settings_refused",
    logging.ERROR,
    "Changed settings are invalid; the previous ones stay in force.",
)
ANNOUNCEMENT_REFUSED: Final = _define_event(
    18,
    "announcement_refused",
    logging.WARNING,
    "A message from an external process was refused and has no effect.",
)

LOOP_RESTARTED: Final = _define_event(
    19,
    "loop_restarted",
    logging.ERROR,
    "A background loop failed with an unexpected error and is restarted.",
)

LOOP_SUSPENDED: Final = _define_event(
    20,
    "loop_suspended",
    logging.WARNING,
    "The process was suspended or its loop was busy; requests that are read now"
    " may have arrived at any time since then.",
)

# 100-199: consensus and storage.
TORN_TAIL_CUT: Final = _define_event(
    100,
    "torn_tail_cut",
    logging.WARNING,
    "An incomplete record at the end of the log, which was never acknowledged,"
    " was removed.",
)
STORAGE_FAILED: Final = _define_event(
    101,
    "storage_failed",
    logging.ERROR,
    "Storage or the application of an entry failed; the replica acknowledges"
    " nothing until it has opened its data folder again.",
)
LEADER_ELECTED: Final = _define_event(
    102, "leader_elected", logging.INFO, "This replica became the leader."
)
LEADER_STEPPED_DOWN: Final = _define_event(
    103,
    "leader_stepped_down",
    logging.WARNING,
    "This replica is no longer the leader.",
)
LEADER_CHANGED: Final = _define_event(
    104, "leader_changed", logging.INFO, "This replica follows a new leader."
)
GROUP_FORMED: Final = _define_event(
    105, "group_formed", logging.INFO, "The first members formed the group."
)
WAITING_TO_JOIN: Final = _define_event(
    106,
    "waiting_to_join",
    logging.WARNING,
    "The data folder is empty; if the group exists already, an operator must add"
    " this replica unless self-repair is enabled.",
)
MEMBERS_CHANGED: Final = _define_event(
    107, "members_changed", logging.INFO, "The group has a new member list."
)
SNAPSHOT_WRITTEN: Final = _define_event(
    108, "snapshot_written", logging.INFO, "A snapshot was written."
)
SNAPSHOT_INSTALLED: Final = _define_event(
    109,
    "snapshot_installed",
    logging.INFO,
    "A snapshot from the leader replaced the state of this replica.",
)
SNAPSHOT_SKIPPED: Final = _define_event(
    110,
    "snapshot_skipped",
    logging.WARNING,
    "A snapshot on disk is corrupted; an older one is used.",
)
APPLY_FAILED: Final = _define_event(
    111,
    "apply_failed",
    logging.ERROR,
    "The state machine raised an error; the replica takes no part in the"
    " protocol until it has opened its data folder again.",
)
PEER_REPLACED: Final = _define_event(
    112,
    "peer_replaced",
    logging.WARNING,
    "Another replica answers at the address of a member; the member lost its data"
    " folder or its address changed.",
)
LOG_SHORTENED: Final = _define_event(
    113,
    "log_shortened",
    logging.WARNING,
    "Retention removed the oldest log entries, and with them the oldest part of"
    " the account.",
)

REPLICA_HALTED: Final = _define_event(
    114,
    "replica_halted",
    logging.ERROR,
    "The replica stopped after a storage failure; its data folder is opened"
    " again after a delay.",
)
REPLICA_REOPENED: Final = _define_event(
    115,
    "replica_reopened",
    logging.WARNING,
    "The replica opened its data folder again and takes part in the protocol.",
)
REPLICA_NOT_CLOSED: Final = _define_event(
    116,
    "replica_not_closed",
    logging.ERROR,
    "A failed replica could not be stopped completely; it can't write any"
    " longer, and the next one is opened anyway.",
)
REPLICA_OPENED: Final = _define_event(
    117,
    "replica_opened",
    logging.INFO,
    "The replica opened its data folder and counts with these members; each is"
    " named with its ID, its address and whether it votes.",
)
LEADER_LOST: Final = _define_event(
    118,
    "leader_lost",
    logging.INFO,
    "This follower no longer follows its leader, which was `silent`, handed over"
    " (`transfer`) or was followed by a `later_term`.",
)
CAMPAIGN_STARTED: Final = _define_event(
    119,
    "campaign_started",
    logging.INFO,
    "This replica asks the voters for pre-votes (`pre`) or votes. While there is"
    " no leader, the first campaigns are logged, later ones at intervals of 1 to"
    " 10 s; `left_out` counts those since the last line.",
)
CAMPAIGN_ENDED: Final = _define_event(
    120,
    "campaign_ended",
    logging.INFO,
    "A campaign with a `campaign_started` line ended without a majority: who"
    " voted for this replica, who refused and why, and who didn't answer.",
)
VOTE_REFUSED: Final = _define_event(
    121,
    "vote_refused",
    logging.INFO,
    "This replica refused a vote or pre-vote. The lines of each reason are"
    " bounded like those of campaigns.",
)

# 200-299: control role.
SCHEDULER_LEADS: Final = _define_event(
    200,
    "scheduler_leads",
    logging.INFO,
    "The scheduler of this replica became active; all leases count as renewed"
    " now.",
)
DECISION_REFUSED: Final = _define_event(
    201,
    "decision_refused",
    logging.WARNING,
    "The state machine rejected a decision of the leader.",
)
DECISION_UNKNOWN: Final = _define_event(
    202,
    "decision_unknown",
    logging.WARNING,
    "The log was busy or the result of a decision is unknown; the decision is"
    " retried.",
)
TASK_ASSIGNED: Final = _define_event(
    203, "task_assigned", logging.INFO, "A task was assigned to a worker."
)
TASK_ENDED: Final = _define_event(
    204, "task_ended", logging.INFO, "An assignment ended."
)
PASS_FAILED: Final = _define_event(
    205, "pass_failed", logging.ERROR, "A scheduling pass failed."
)
OPERATION_ANSWERED: Final = _define_event(
    206,
    "operation_answered",
    logging.INFO,
    "This replica answered an operator's call as the leader.",
)
TASK_CRASH_COUNTED: Final = _define_event(
    208,
    "task_crash_counted",
    logging.WARNING,
    "A worker crashed under a task of the sheet; `crashes` counts those since"
    " its last long run. With the outcome `given_up` it isn't started again.",
)

# 300-349: tasks of the agent.
TASK_ADMITTED: Final = _define_event(
    300,
    "task_admitted",
    logging.INFO,
    "The agent accepted a start order, or refused it as stale, expired or for"
    " lack of capacity.",
)
TASK_ORDERED: Final = _define_event(
    301,
    "task_ordered",
    logging.INFO,
    "The agent executes an order to change a task.",
)
TASK_FOUND: Final = _define_event(
    302,
    "task_found",
    logging.INFO,
    "The worker runs a task that this run of the agent did not start, usually"
    " because the agent was restarted, or that it counted as ended.",
)
LEASE_ENDED: Final = _define_event(
    303,
    "lease_ended",
    logging.WARNING,
    "The lease of a task was not renewed in time; the task is stopped.",
)
WORKER_UNREACHABLE: Final = _define_event(
    304,
    "worker_unreachable",
    logging.WARNING,
    "The worker did not answer a request; the request is retried.",
)
LEASES_NOT_SENT: Final = _define_event(
    305,
    "leases_not_sent",
    logging.WARNING,
    "Lease renewals could not be sent to the worker and are retried.",
)
WORKER_LISTED: Final = _define_event(
    306,
    "worker_listed",
    logging.INFO,
    "The worker listed its tasks after the agent started.",
)
DRIVER_FAILED: Final = _define_event(
    307,
    "driver_failed",
    logging.ERROR,
    "An agent's operation on a task failed with an unexpected error.",
)
USAGE_MISSING: Final = _define_event(
    308,
    "usage_missing",
    logging.WARNING,
    "The worker did not report its usage; the next report includes it.",
)
LEADER_UNREACHABLE: Final = _define_event(
    309,
    "leader_unreachable",
    logging.WARNING,
    "No leader answered a heartbeat; the next one is sent immediately.",
)
UPSTREAM_ANNOUNCED: Final = _define_event(
    310,
    "upstream_announced",
    logging.INFO,
    "An upstream registered at the agent's local address.",
)
UPSTREAM_LEAVES: Final = _define_event(
    311,
    "upstream_leaves",
    logging.INFO,
    "An upstream announced its shutdown and receives no new requests.",
)
UPSTREAM_SILENT: Final = _define_event(
    312,
    "upstream_silent",
    logging.WARNING,
    "An upstream did not renew its registration and is removed.",
)

# 350-399: agent, requests.
DISPATCH_DAMAGED: Final = _define_event(
    350,
    "dispatch_damaged",
    logging.ERROR,
    "The body of a dispatched request does not match its digest.",
)
RESERVATION_REPEATED: Final = _define_event(
    351,
    "reservation_repeated",
    logging.ERROR,
    "A reserved request was dispatched twice; the second dispatch was not"
    " executed.",
)
UPSTREAM_GARBAGE: Final = _define_event(
    352,
    "upstream_garbage",
    logging.WARNING,
    "An upstream sent an incomplete response or one that is not HTTP.",
)

# 400-499: entry.
ENTRY_READY: Final = _define_event(
    400,
    "entry_ready",
    logging.INFO,
    "A leader answered for the first time; the entry accepts requests.",
)
STALE_UPDATE: Final = _define_event(
    401,
    "stale_update",
    logging.WARNING,
    "An update with a lower revision than the applied one was ignored.",
)
CALLER_GARBAGE: Final = _define_event(
    402,
    "caller_garbage",
    logging.WARNING,
    "A caller's request body was malformed or shorter than its declared length.",
)
ANSWER_DAMAGED: Final = _define_event(
    403,
    "answer_damaged",
    logging.ERROR,
    "A response does not match its digest or its request.",
)
AGENT_AVOIDED: Final = _define_event(
    404,
    "agent_avoided",
    logging.WARNING,
    "An agent stopped answering; its link is closed until a probe succeeds.",
)
AGENT_REACHED: Final = _define_event(
    405, "agent_reached", logging.INFO, "A link to an agent was opened."
)
LEADER_SILENT: Final = _define_event(
    406,
    "leader_silent",
    logging.WARNING,
    "No leader answered a poll of the entry. `tried` names the addresses that"
    " failed or redirected since a leader last answered, which was"
    " `contact_age_ms` ago.",
)
OUTCOME_NOT_RECORDED: Final = _define_event(
    407,
    "outcome_not_recorded",
    logging.ERROR,
    "The outcome of a reserved request could not be committed.",
)
REQUEST_FAULT: Final = _define_event(
    408,
    "request_fault",
    logging.ERROR,
    "A request failed with an unexpected error.",
)
UPSTREAM_EJECTED: Final = _define_event(
    409,
    "upstream_ejected",
    logging.WARNING,
    "An upstream failed repeatedly and is ejected until a probe succeeds.",
)
JOB_CALL_ANSWERED: Final = _define_event(
    410,
    "job_call_answered",
    logging.INFO,
    "An entry answered a caller's request about a job or a queue.",
)

# 500-599: operators.
OPERATOR_CALL: Final = _define_event(
    500,
    "operator_call",
    logging.INFO,
    "The entry received the leader's answer to an operator's call.",
)
OPERATOR_CALL_UNANSWERED: Final = _define_event(
    501,
    "operator_call_unanswered",
    logging.WARNING,
    "No leader answered an operator's call in time; its result is unknown.",
)

# 600-699: jobs with steps, on the leader.
JOB_ACCEPTED: Final = _define_event(
    600,
    "job_accepted",
    logging.INFO,
    "A job was accepted, or the same job had been accepted before.",
)
JOB_REFUSED: Final = _define_event(
    601,
    "job_refused",
    logging.INFO,
    "A job was refused and does not run.",
)
JOB_CANCELLED: Final = _define_event(
    602,
    "job_cancelled",
    logging.INFO,
    "A job was cancelled, or had already ended. Without a state, the job isn't"
    " known and is refused if it is submitted later.",
)
CONFIGURATION_OFFERED: Final = _define_event(
    603,
    "configuration_offered",
    logging.INFO,
    "A configuration was acknowledged; the one with the highest version is in"
    " force.",
)
RUN_ASSIGNED: Final = _define_event(
    604,
    "run_assigned",
    logging.INFO,
    "A task was assigned to a worker and the decision committed.",
)
RUN_ENDED: Final = _define_event(
    605,
    "run_ended",
    logging.INFO,
    "The end of a run was committed.",
)
SESSION_OPENED: Final = _define_event(
    606,
    "session_opened",
    logging.INFO,
    "An agent opened a session for an incarnation of its worker.",
)
LEASES_EXPIRED: Final = _define_event(
    607,
    "leases_expired",
    logging.WARNING,
    "An agent was silent until its lease expired; its runs count as lost.",
)
JOB_DECISION_NOT_COMMITTED: Final = _define_event(
    608,
    "job_decision_not_committed",
    logging.WARNING,
    "A decision of the leader was not committed before the timeout.",
)
DISPATCH_FAILED: Final = _define_event(
    609,
    "dispatch_failed",
    logging.ERROR,
    "A pass of the dispatcher failed with an unexpected error.",
)
WORKER_SHUNNED: Final = _define_event(
    610,
    "worker_shunned",
    logging.WARNING,
    "Runs of several jobs failed consecutively on a worker; it is avoided"
    " temporarily.",
)
RUN_STOP_ORDERED: Final = _define_event(
    611,
    "run_stop_ordered",
    logging.INFO,
    "A run was ordered to stop, for the given reason.",
)
ORDERS_NOT_SENT: Final = _define_event(
    612,
    "orders_not_sent",
    logging.WARNING,
    "Orders could not be pushed; the agent's next report shows which are missing.",
)
MEMBERS_REPAIRED: Final = _define_event(
    613,
    "members_repaired",
    logging.WARNING,
    "The leader promotes a learner, or demotes or removes a lost replica.",
)
REPAIR_DELAYED: Final = _define_event(
    614,
    "repair_delayed",
    logging.INFO,
    "An attempt to join the group or to change its members failed and is"
    " retried. A replica joins because it is `not_a_member` or hears `no_leader`;"
    " `tried` names the addresses that failed or redirected since a leader last"
    " answered.",
)
WORKER_SLOW: Final = _define_event(
    615,
    "worker_slow",
    logging.WARNING,
    "Runs on a worker are far slower than on other workers; it is avoided.",
)
REPLICA_NOT_OPENED: Final = _define_event(
    616,
    "replica_not_opened",
    logging.ERROR,
    "The data folder could not be opened; the next attempt follows after"
    " `retry_ms`.",
)

ADVICE_TAKEN: Final = _define_event(
    617,
    "advice_taken",
    logging.INFO,
    "The placement advice service answered.",
)
ADVICE_FAILED: Final = _define_event(
    618,
    "advice_failed",
    logging.WARNING,
    "The placement advice service is busy or does not answer; the request is"
    " retried after a pause.",
)
VOTERS_MISSING: Final = _define_event(
    619,
    "voters_missing",
    logging.WARNING,
    "Fewer replicas have joined the group than the tolerated losses need.",
)
SEED_UNREACHABLE: Final = _define_event(
    620,
    "seed_unreachable",
    logging.WARNING,
    "A seed that is no replica does not take the leader's address.",
)
RUN_STOP_OVERDUE: Final = _define_event(
    621,
    "run_stop_overdue",
    logging.WARNING,
    "A run is still reported long after it was ordered to stop.",
)
WORKERS_NOT_OBSERVED: Final = _define_event(
    622,
    "workers_not_observed",
    logging.WARNING,
    "The leader was paused or held no leader lease; that time doesn't count"
    " towards the leases of the workers.",
)
INCARNATION_ENDED: Final = _define_event(
    630,
    "incarnation_ended",
    logging.INFO,
    "A session with another incarnation of a worker began; `how` tells whether"
    " the earlier one crashed, left, or ended in an unknown way.",
)
CRASH_SUSPECTED: Final = _define_event(
    631,
    "crash_suspected",
    logging.WARNING,
    "Two or more workers have crashed under a task, `confirmed` of them after"
    " its start was confirmed; it is started on workers with few other runs.",
)
CRASHING_TASK_GIVEN_UP: Final = _define_event(
    632,
    "crashing_task_given_up",
    logging.WARNING,
    "A job has failed, because one of its tasks crashes its workers.",
)
CRASH_SUSPECT_CLEARED: Final = _define_event(
    633,
    "crash_suspect_cleared",
    logging.INFO,
    "A run has gone on for longer than those under which workers crashed; the"
    " crashes under its task no longer count.",
)
WORKER_OVERCOMMITTED: Final = _define_event(
    641,
    "worker_overcommitted",
    logging.WARNING,
    "The capacity of a worker shrank below what its runs reserve.",
)

# 700-799: runs of jobs with steps, on an agent.
WORKER_LIFE_CHANGED: Final = _define_event(
    700,
    "worker_life_changed",
    logging.INFO,
    "The worker announced a new incarnation.",
)
WORKER_DRAINING: Final = _define_event(
    701,
    "worker_draining",
    logging.INFO,
    "The worker announced that it drains, or that it no longer drains.",
)
WORKER_LEFT: Final = _define_event(
    702,
    "worker_left",
    logging.INFO,
    "The worker announced that it ends now; it counts as draining until it no"
    " longer answers.",
)
REPORT_FAILED: Final = _define_event(
    703,
    "report_failed",
    logging.WARNING,
    "No leader answered the report of an agent.",
)
SESSION_FAILED: Final = _define_event(
    704,
    "session_failed",
    logging.WARNING,
    "A session could not be opened, or failed with an error.",
)
SESSION_ENDED: Final = _define_event(
    705,
    "session_ended",
    logging.INFO,
    "The leader has a newer session of the worker.",
)
WORKER_LOST: Final = _define_event(
    706,
    "worker_lost",
    logging.WARNING,
    "The worker did not answer until its lease expired; its runs count as lost.",
)
RUN_STARTED: Final = _define_event(
    707,
    "run_started",
    logging.INFO,
    "The worker accepted a start order.",
)
ORDER_FAILED: Final = _define_event(
    708,
    "order_failed",
    logging.WARNING,
    "The worker rejected an order or did not answer it.",
)

CONFIGURATION_REFUSED: Final = _define_event(
    502,
    "configuration_refused",
    logging.WARNING,
    "An operator sent an invalid configuration.",
)
CONFIGURATION_NOT_CONFIRMED: Final = _define_event(
    503,
    "configuration_not_confirmed",
    logging.WARNING,
    "No leader answered a call about the configuration in time.",
)
PACE_CHANGED: Final = _define_event(
    709,
    "pace_changed",
    logging.INFO,
    "Runs that use only spare processor time of a worker were throttled, or"
    " their throttling was lifted.",
)
RUN_GIVEN_UP: Final = _define_event(
    710,
    "run_given_up",
    logging.INFO,
    "An agent concluded that a run is over or never started, although the worker"
    " did not list its end; `evidence` names the reason.",
)
RUN_LISTED_AGAIN: Final = _define_event(
    711,
    "run_listed_again",
    logging.WARNING,
    "The worker lists a run as running that the agent counted as ended.",
)
STOP_NOT_SENT: Final = _define_event(
    712,
    "stop_not_sent",
    logging.WARNING,
    "An agent received a stop order for a run that has ended or was given up; it"
    " is sent to the worker only if the worker lists the run.",
)
STOP_REPEATED: Final = _define_event(
    713,
    "stop_repeated",
    logging.WARNING,
    "A run goes on for longer than a stop takes after the worker acknowledged a"
    " stop order; the order is sent again.",
)
WORKER_CAPACITY_CHANGED: Final = _define_event(
    720,
    "worker_capacity_changed",
    logging.INFO,
    "The worker announced a capacity that differs from its last one.",
)
