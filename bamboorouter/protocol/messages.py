"""Messages between the processes of bamboorouter.

Tags: 1-19 consensus, 20-39 agent and leader, 40-59 entry and agent, 60-79
entry and leader, 80-99 operators; from 120 `job_messages`. A tag never changes meaning.
"""

from typing import Any
from typing import Final
from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import codec
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages

# --- Consensus ---------------------------------------------------------------

KIND_COMMANDS: Final = 0
KIND_NO_OP: Final = 1
KIND_MEMBERS: Final = 2


class LogEntry(base.Wire, frozen=True, kw_only=True):
    """One entry of the replicated log.

    Attributes:
        term: Term of the leader that created it.
        index: Position, from 1.
        kind: 0 command batch, 1 no-op of a new leader, 2 change of members.
        payload: Encoded commands or members.
    """

    term: int
    index: int
    kind: int
    payload: bytes


class VoteRequest(base.Wire, frozen=True, kw_only=True, tag=1):
    """Asks for a vote, or with `pre` whether a vote would be given.

    Attributes:
        transfer: The leader handed leadership over and holds no lease, so
            the vote may be given at once.
        led_term: Term that the candidate led before it restarted; 0 if none.
            No leader of this term or an earlier one holds a lease any more.
    """

    group: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False
    led_term: int = 0


class VoteReply(base.Wire, frozen=True, kw_only=True, tag=2):
    """Answers a VoteRequest."""

    group: str
    term: int
    voter: str
    granted: bool
    pre: bool


class AppendRequest(base.Wire, frozen=True, kw_only=True, tag=3):
    """Replicates entries; without entries it is a heartbeat.

    Attributes:
        sequence: Monotonic time in ms of the leader when it sent this,
            echoed by the reply; it dates the quorum check and the lease. The
            term tells runs of a leader's process apart.
        prev_chain: First bytes of the chain hash at `prev_index`.
    """

    group: str
    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit: int
    sequence: int
    entries: tuple[LogEntry, ...] = ()
    leader_address: str = ""
    prev_chain: bytes = b""


class AppendReply(base.Wire, frozen=True, kw_only=True, tag=4):
    """Answers an AppendRequest.

    Attributes:
        match_index: Last index known synced and equal to the leader's log;
            after a mismatch, where the leader should try next.
        commit: Newest entry the follower knows to be committed; it applies
            everything up to it.
    """

    group: str
    term: int
    follower: str
    success: bool
    match_index: int
    sequence: int
    commit: int = 0


class SnapshotRequest(base.Wire, frozen=True, kw_only=True, tag=5):
    """Sends one chunk of a snapshot to a replica far behind."""

    group: str
    term: int
    leader: str
    last_index: int
    last_term: int
    chain: bytes
    members: bytes
    offset: int
    data: bytes
    done: bool
    sequence: int = 0
    leader_address: str = ""


class SnapshotReply(base.Wire, frozen=True, kw_only=True, tag=6):
    """Answers a SnapshotRequest with the next offset wanted."""

    group: str
    term: int
    follower: str
    offset: int
    done: bool
    sequence: int = 0


class TimeoutNow(base.Wire, frozen=True, kw_only=True, tag=7):
    """Hands leadership over: the receiver starts an election at once."""

    group: str
    term: int


class Identify(base.Wire, frozen=True, kw_only=True, tag=8):
    """Asks a replica for its identity before a group is formed."""

    group: str


class Identity(base.Wire, frozen=True, kw_only=True, tag=9):
    """Answers Identify.

    Attributes:
        replica: ID from the replica's data folder.
        formed: Whether its log holds anything, so that a group exists.
    """

    group: str
    replica: str
    formed: bool


# --- Agent and leader --------------------------------------------------------


class Heartbeat(base.Wire, frozen=True, kw_only=True, tag=20):
    """An agent's report to the leader.

    Attributes:
        agent: Name of the agent's process.
        worker: Name of the worker (the VM).
        incarnation: Random number of this run of the agent.
        sequence: Counter within the incarnation.
        address: Address that entries dial.
        zone: Availability zone.
        rack: Rack.
        capacity: What the VM has.
        connections: Caller requests at once.
        tasks: All tasks known on the worker; ended ones until acknowledged.
        upstreams: All announced upstreams.
        usage: Late measurements since the last heartbeat.
        applied_revision: Configuration revision the agent applies.
        leaving: The agent is shutting down or drained.
        worker_ready: Whether the worker answered since the agent started.
    """

    agent: str
    worker: str
    incarnation: int
    sequence: int
    address: str
    zone: str
    rack: str
    capacity: common.Resources
    connections: int
    tasks: tuple[common.TaskState, ...] = ()
    upstreams: tuple[common.Upstream, ...] = ()
    usage: tuple[common.Usage, ...] = ()
    applied_revision: int = 0
    leaving: bool = False
    worker_ready: bool = True


class StartOrder(base.Wire, frozen=True, kw_only=True):
    """Orders an agent to start a task.

    Attributes:
        lease_ms: Term of the lease, from the sending of the heartbeat.
        resume_from: Checkpoint to resume from; empty for a first start.
        row: Row of the sheet the task belongs to.
        need: Reserved resources.
    """

    task: str
    epoch: int
    kind: common.TaskKind
    lease_ms: int
    need: common.Resources
    row: common.SheetRow
    resume_from: str = ""


class TaskOrder(base.Wire, frozen=True, kw_only=True):
    """Orders an agent to change a running task.

    Attributes:
        action: "evict" (checkpoint, then stop), "stop", "throttle", "resume"
            (end of throttling) or "forget" (the end of the task is recorded).
    """

    task: str
    epoch: int
    action: Literal["evict", "stop", "throttle", "resume", "forget"]


class Renewal(base.Wire, frozen=True, kw_only=True):
    """Extends one lease.

    Attributes:
        term_ms: Lease term, counted from the sending of the heartbeat.
    """

    task: str
    epoch: int
    term_ms: int


class HeartbeatReply(base.Wire, frozen=True, kw_only=True, tag=21):
    """The leader's answer to a heartbeat.

    Attributes:
        sequence: Sequence of the heartbeat answered.
        leader_term: Term of the leader, for logs.
        revision: Configuration revision in force.
        renewals: Leases extended by this answer.
        starts: Tasks to start.
        orders: Changes of running tasks.
        drained: Upstream IDs that take no new work by operator's order.
        worker_drained: Whether the whole VM is drained.
        leader_ms: The leader's monotonic time in ms, for `heartbeat_phase`.
    """

    sequence: int
    leader_term: int
    revision: int
    renewals: tuple[Renewal, ...] = ()
    starts: tuple[StartOrder, ...] = ()
    orders: tuple[TaskOrder, ...] = ()
    drained: tuple[str, ...] = ()
    worker_drained: bool = False
    leader_ms: int = 0


# --- Entry and agent ---------------------------------------------------------


class Dispatch(base.Wire, frozen=True, kw_only=True, tag=40):
    """A caller's request on its way to an upstream.

    Attributes:
        request_id: "<entry incarnation>-<counter>".
        upstream: ID of the chosen upstream.
        target: Path and query string.
        digest: xxh3-64 of the body.
        deadline_ms: Time left when sent.
        reservation: Idempotency key if reserved; empty otherwise.
        route_age_ms: Time since the entry's last contact with a leader.
    """

    request_id: str
    service: str
    upstream: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: int
    deadline_ms: int
    urgency: int
    team: str
    reservation: str = ""
    route_age_ms: int = 0


class Answer(base.Wire, frozen=True, kw_only=True, tag=41):
    """An upstream's answer on its way to the caller.

    Attributes:
        outcome: "not_run" only if the upstream never saw the request.
        status: HTTP status; 0 if the upstream gave none.
        digest: xxh3-64 of the body.
        code: Code from `error_texts` if not completed.
        text: Explanation for people.
    """

    request_id: str
    outcome: common.Outcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    digest: int = 0
    code: str = ""
    text: str = ""
    in_progress: int = 0


class Leaving(base.Wire, frozen=True, kw_only=True, tag=42):
    """Pushed by an agent: the upstreams take no new work."""

    upstreams: tuple[str, ...]


class AgentHello(base.Wire, frozen=True, kw_only=True, tag=43):
    """First message of an entry on a link to an agent."""

    entry: str
    zone: str


class AgentWelcome(base.Wire, frozen=True, kw_only=True, tag=44):
    """Answers AgentHello with the upstreams that take no new work."""

    worker: str
    incarnation: int
    leaving: tuple[str, ...] = ()


# --- Entry and leader --------------------------------------------------------


class Route(base.Wire, frozen=True, kw_only=True):
    """Where requests of a service can go.

    Attributes:
        upstream: Upstream ID.
        service: Service name.
        agent: Address of the agent.
        worker: Name of the worker.
        zone: Availability zone.
        rack: Rack.
        leaving: Whether it takes no new work.
        in_progress: Requests in progress as last reported.
        latency_ms: Smoothed answer time.
        connections: Limit of requests at once on the worker.
    """

    upstream: str
    service: str
    agent: str
    worker: str
    zone: str
    rack: str
    leaving: bool
    in_progress: int
    latency_ms: float
    connections: int


class EntryPoll(base.Wire, frozen=True, kw_only=True, tag=60):
    """An entry's periodic report to the leader.

    Attributes:
        entry: Name of the entry's process.
        incarnation: Random number of this run.
        revision: Configuration revision the entry applies; 0 after a start.
        route_epoch: Identifies the leader's route table; 0 after a start.
        route_version: Version of the routes held.
    """

    entry: str
    incarnation: int
    revision: int
    route_epoch: int
    route_version: int


class EntryUpdate(base.Wire, frozen=True, kw_only=True, tag=61):
    """The leader's answer to EntryPoll.

    Attributes:
        revision: Configuration revision in force.
        services: All service rows if the revision changed; else None.
        full: Whether `routes` replaces the table instead of patching it.
        routes: New or changed routes.
        removed: Upstream IDs that went away.
    """

    revision: int
    route_epoch: int
    route_version: int
    full: bool = False
    services: tuple[common.SheetRow, ...] | None = None
    routes: tuple[Route, ...] = ()
    removed: tuple[str, ...] = ()


class Reserve(base.Wire, frozen=True, kw_only=True, tag=62):
    """Reserves an idempotency key before dispatch.

    Attributes:
        key: UUID version 7 as text.
        fingerprint: Digest of service, method, target and body.
        attempt: Request ID of the entry's attempt.
    """

    key: str
    fingerprint: int
    attempt: str
    service: str
    entry: str


class RecordOutcome(base.Wire, frozen=True, kw_only=True, tag=63):
    """Records the outcome of a reserved request."""

    key: str
    attempt: str
    outcome: common.Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: int
    body_kept: bool


class ReservationReply(base.Wire, frozen=True, kw_only=True, tag=64):
    """Answers Reserve and RecordOutcome.

    Attributes:
        state: "granted" (dispatch now), "in_progress" (another attempt is
            under way), "done" (the first outcome follows), "refused".
        code: Code from `error_texts` if refused.
    """

    state: Literal["granted", "in_progress", "done", "refused"]
    code: str = ""
    outcome: common.Outcome = "unknown"
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    digest: int = 0
    body_kept: bool = True
    attempt: str = ""


class RequestRecord(base.Wire, frozen=True, kw_only=True):
    """What happened to requests at an entry, for the account.

    Attributes:
        second: Wall time in s.
        service: Service name.
        team: Team of the service's owner.
        urgency: Urgency class.
        outcome: Outcome of the requests.
        code: Reason code if refused.
        count: Number of requests.
        request_id: ID if the record is for a single request.
    """

    second: int
    service: str
    team: str
    urgency: int
    outcome: common.Outcome
    code: str
    count: int
    request_id: str = ""


class RequestRecords(base.Wire, frozen=True, kw_only=True, tag=65):
    """A batch of records for the account.

    Attributes:
        sequence: Counter within the entry's incarnation; a resent batch is
            recorded once.
    """

    entry: str
    incarnation: int
    sequence: int
    records: tuple[RequestRecord, ...]


class Recorded(base.Wire, frozen=True, kw_only=True, tag=66):
    """Confirms that RequestRecords is committed."""

    sequence: int


# --- Operators ---------------------------------------------------------------


class OperatorCall(base.Wire, frozen=True, kw_only=True, tag=80):
    """A call of an operator, forwarded by an entry.

    Attributes:
        operation: "submit_sheet", "submit_job", "cancel_job", "drain",
            "status", "explain", "members" or "verify".
        operation_id: Unique ID; a resend gets the first answer.
        operator: Who calls.
        arguments: Arguments by name.
    """

    operation: str
    operation_id: str
    operator: str
    arguments: dict[str, Any]


class OperatorReply(base.Wire, frozen=True, kw_only=True, tag=81):
    """Answers OperatorCall.

    Attributes:
        ok: Whether the call was carried out.
        code: Code from `error_texts` if refused.
        text: Explanation for people.
        data: Result by name.
    """

    ok: bool
    code: str = ""
    text: str = ""
    data: dict[str, Any] = {}


class Redirect(base.Wire, frozen=True, kw_only=True, tag=98):
    """Answers any call to a replica that doesn't lead.

    Attributes:
        leader: Address of the leader; empty if unknown.
        replicas: Addresses of all replicas of the group, as far as known.
    """

    leader: str
    replicas: tuple[str, ...] = ()


class Refusal(base.Wire, frozen=True, kw_only=True, tag=99):
    """Answers any call that was refused; nothing of it was done."""

    code: str
    text: str


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TimeoutNow
    | Identify
    | Identity
    | Heartbeat
    | HeartbeatReply
    | Dispatch
    | Answer
    | Leaving
    | AgentHello
    | AgentWelcome
    | EntryPoll
    | EntryUpdate
    | Reserve
    | RecordOutcome
    | ReservationReply
    | RequestRecords
    | Recorded
    | OperatorCall
    | OperatorReply
    | Redirect
    | Refusal
    | job_messages.JobMessage
)

CODEC: Final[codec.Codec[Message]] = codec.Codec(types=Message)
