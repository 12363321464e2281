"""Messages between the processes of bamboorouter.

Tags: 1-19 consensus, 20-39 agent and leader, 40-59 entry and agent, 60-79
entry and leader, 80-99 operators; from 120 see `job_messages`. The meaning of a
tag must never change.
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
        term: Term of the leader that created the entry.
        index: Position in the log, from 1.
        kind: 0 for a command batch, 1 for the no-op of a new leader, 2 for a
            change of members.
        payload: Encoded commands or members.
    """

    term: int
    index: int
    kind: int
    payload: bytes


class VoteRequest(base.Wire, frozen=True, kw_only=True, tag=1):
    """Requests a vote.

    Attributes:
        group: Name of the group.
        term: Term of the election.
        candidate: ID of the replica that requests the vote.
        last_index: Index of the last entry in the candidate's log.
        last_term: Term of the last entry in the candidate's log.
        pre: Whether this is a pre-vote, which only asks whether the vote would
            be granted.
        transfer: Whether the leader transferred leadership to the candidate.
            The leader then holds no lease, so the vote may be granted
            immediately.
        led_term: Term that the candidate led before it restarted; 0 if none.
            The restart ended its own lease, and a leader is elected only after
            the lease of its predecessor has ended, so that no leader of this
            term or an earlier one holds a lease any more.
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
    """Reply to VoteRequest.

    Attributes:
        group: Name of the group.
        term: Current term of the voter.
        voter: ID of the replica that replies.
        granted: Whether the vote is granted.
        pre: Whether this replies to a pre-vote.
        refusal: Why the vote isn't granted, for the log of the candidate; empty
            if it is granted or the voter doesn't say.
    """

    group: str
    term: int
    voter: str
    granted: bool
    pre: bool
    refusal: str = ""


class AppendRequest(base.Wire, frozen=True, kw_only=True, tag=3):
    """Replicates log entries; without entries it serves as a heartbeat.

    Attributes:
        group: Name of the group.
        term: Term of the leader.
        leader: ID of the leader.
        prev_index: Index of the entry that precedes `entries`.
        prev_term: Term of the entry at `prev_index`.
        commit: Index of the last entry that the leader knows to be committed.
        sequence: Monotonic time in ms at which the leader sent the request,
            echoed by the reply. A reply proves contact with the follower at
            this time, from which the leader derives its quorum check and its
            lease. Each run of a leader's process has another term, so times of
            different runs aren't mixed up.
        entries: Entries to append.
        leader_address: Address of the leader.
        prev_chain: First bytes of the chain hash at `prev_index`, a hash over
            that entry and all entries before it.
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
    """Reply to AppendRequest.

    Attributes:
        group: Name of the group.
        term: Current term of the follower.
        follower: ID of the replica that replies.
        success: Whether the follower's log matched at `prev_index`.
        match_index: Index of the last entry that is synced to disk and equal to
            the leader's; after a mismatch, the index to try next.
        sequence: `sequence` of the request.
        commit: Index of the last entry that the follower knows to be
            committed; it applies all entries up to this one.
    """

    group: str
    term: int
    follower: str
    success: bool
    match_index: int
    sequence: int
    commit: int = 0


class SnapshotRequest(base.Wire, frozen=True, kw_only=True, tag=5):
    """Sends one chunk of a snapshot to a replica that lags far behind.

    Attributes:
        group: Name of the group.
        term: Term of the leader.
        leader: ID of the leader.
        last_index: Index of the last entry that the snapshot covers.
        last_term: Term of that entry.
        chain: Chain hash at that entry.
        members: Encoded members of the group.
        offset: Position of the chunk in the snapshot, in bytes.
        data: The chunk.
        done: Whether this is the last chunk.
        sequence: Monotonic time in ms at which the leader sent the request.
        leader_address: Address of the leader.
    """

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
    """Reply to SnapshotRequest.

    Attributes:
        group: Name of the group.
        term: Current term of the follower.
        follower: ID of the replica that replies.
        offset: Offset of the next chunk that the follower needs.
        done: Whether the snapshot is complete.
        sequence: `sequence` of the request.
    """

    group: str
    term: int
    follower: str
    offset: int
    done: bool
    sequence: int = 0


class TimeoutNow(base.Wire, frozen=True, kw_only=True, tag=7):
    """Transfers leadership: the receiver starts an election immediately."""

    group: str
    term: int


class Identify(base.Wire, frozen=True, kw_only=True, tag=8):
    """Requests the identity of a replica before a group is formed."""

    group: str


class Identity(base.Wire, frozen=True, kw_only=True, tag=9):
    """Reply to Identify.

    Attributes:
        group: Name of the group.
        replica: ID stored in the replica's data folder.
        formed: Whether the replica's log is not empty, so that a group exists.
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
        incarnation: Random number that identifies this run of the agent.
        sequence: Number of the heartbeat within the incarnation.
        address: Address to which entries connect.
        zone: Availability zone.
        rack: Rack.
        capacity: Resources of the VM.
        connections: Maximum number of concurrent caller requests.
        tasks: All known tasks of the worker; ended ones until acknowledged.
        upstreams: All announced upstreams.
        usage: Delayed measurements since the last heartbeat.
        applied_revision: Configuration revision that the agent applies.
        leaving: Whether the agent is shutting down or drained.
        worker_ready: Whether the worker has answered since the agent started.
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
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        kind: "service" or "batch".
        lease_ms: Duration of the lease in ms, counted from the sending of the
            heartbeat.
        need: Reserved resources.
        row: Row of the sheet that the task belongs to.
        resume_from: Checkpoint to resume from; empty for a first start.
    """

    task: str
    epoch: int
    kind: common.TaskKind
    lease_ms: int
    need: common.Resources
    row: common.SheetRow
    resume_from: str = ""


class TaskOrder(base.Wire, frozen=True, kw_only=True):
    """Orders an agent to change a running task or to forget an ended one.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        action: "evict" (checkpoint, then stop), "stop", "throttle", "resume"
            (end of throttling) or "forget" (the end of the task is recorded).
    """

    task: str
    epoch: int
    action: Literal["evict", "stop", "throttle", "resume", "forget"]


class Renewal(base.Wire, frozen=True, kw_only=True):
    """Renews one lease.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        term_ms: Duration of the lease in ms, counted from the sending of the
            heartbeat.
    """

    task: str
    epoch: int
    term_ms: int


class HeartbeatReply(base.Wire, frozen=True, kw_only=True, tag=21):
    """The leader's reply to a heartbeat.

    Attributes:
        sequence: `sequence` of the heartbeat.
        leader_term: Term of the leader, for logs.
        revision: Configuration revision in force.
        renewals: Leases renewed by this reply.
        starts: Tasks to start.
        orders: Changes of running tasks.
        drained: IDs of upstreams that an operator drained.
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
    """A caller's request, sent by an entry to the agent of an upstream.

    Attributes:
        request_id: "<entry incarnation>-<counter>".
        service: Name of the service.
        upstream: ID of the chosen upstream.
        method: HTTP method.
        target: Path and query string.
        headers: HTTP headers to forward.
        body: The whole body.
        digest: xxh3-64 of the body.
        deadline_ms: Time in ms that remained when the request was sent.
        urgency: Urgency of the service, from 0 (most urgent) to 9.
        team: Team that owns the service.
        reservation: Idempotency key if reserved; empty otherwise.
        route_age_ms: Time in ms since the entry's last contact with a leader.
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
    """The result of a Dispatch, sent by the agent to the entry.

    Attributes:
        request_id: ID of the request.
        outcome: Outcome; "not_run" only if the upstream never received the
            request.
        status: HTTP status; 0 if the upstream sent none.
        headers: HTTP headers of the upstream's response.
        body: The whole body of the response.
        digest: xxh3-64 of the body.
        code: Code from `error_texts` if the outcome isn't "completed".
        text: Explanation for people.
        in_progress: Number of requests in progress on the upstream.
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
    """Pushed by an agent when its set of leaving upstreams changes.

    Attributes:
        upstreams: IDs of all upstreams that accept no new requests.
    """

    upstreams: tuple[str, ...]


class AgentHello(base.Wire, frozen=True, kw_only=True, tag=43):
    """First message of an entry on a link to an agent."""

    entry: str
    zone: str


class AgentWelcome(base.Wire, frozen=True, kw_only=True, tag=44):
    """Reply to AgentHello.

    Attributes:
        worker: Address that the agent is configured to advertise; may be empty.
        incarnation: Random number that identifies this run of the agent; not
            the number in its heartbeats.
        leaving: IDs of the upstreams that accept no new requests.
    """

    worker: str
    incarnation: int
    leaving: tuple[str, ...] = ()


# --- Entry and leader --------------------------------------------------------


class Route(base.Wire, frozen=True, kw_only=True):
    """A route to one upstream of a service.

    Attributes:
        upstream: Upstream ID.
        service: Service name.
        agent: Address of the agent.
        worker: Name of the worker.
        zone: Availability zone.
        rack: Rack.
        leaving: Whether the upstream accepts no new requests.
        in_progress: Number of requests in progress as last reported.
        latency_ms: Moving average of request durations in ms.
        connections: Maximum number of concurrent requests on the worker.
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
        incarnation: Random number that identifies this run of the entry.
        revision: Configuration revision that the entry applies; 0 after a
            start.
        route_epoch: ID of the leader's route table that the entry's routes
            come from; 0 after a start.
        route_version: Version of the entry's routes.
    """

    entry: str
    incarnation: int
    revision: int
    route_epoch: int
    route_version: int


class EntryUpdate(base.Wire, frozen=True, kw_only=True, tag=61):
    """The leader's reply to EntryPoll; also pushed.

    Attributes:
        revision: Configuration revision in force.
        route_epoch: ID of the leader's route table.
        route_version: Version of the routes after this update.
        full: Whether `routes` replaces all routes instead of updating them.
        services: All service rows if the revision changed; None otherwise.
        routes: New or changed routes.
        removed: IDs of upstreams whose routes are removed.
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
        key: Idempotency key, a UUID version 7 as text.
        fingerprint: Digest of service, method, target and body.
        attempt: Request ID of the entry's attempt.
        service: Name of the service.
        entry: Name of the entry.
    """

    key: str
    fingerprint: int
    attempt: str
    service: str
    entry: str


class RecordOutcome(base.Wire, frozen=True, kw_only=True, tag=63):
    """Records the outcome of a reserved request.

    Attributes:
        key: Idempotency key.
        attempt: Request ID of the attempt that ran.
        outcome: Outcome of the attempt.
        status: HTTP status.
        headers: HTTP headers of the response.
        body: Body of the response; empty if it isn't kept.
        digest: xxh3-64 of the body.
        body_kept: Whether the body is recorded.
    """

    key: str
    attempt: str
    outcome: common.Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: int
    body_kept: bool


class ReservationReply(base.Wire, frozen=True, kw_only=True, tag=64):
    """Reply to Reserve and RecordOutcome.

    Attributes:
        state: "granted" (the request may be dispatched), "in_progress"
            (another attempt is in progress), "done" (the other fields hold the
            first outcome) or "refused".
        code: Code from `error_texts` if refused.
        outcome: First outcome.
        status: HTTP status.
        headers: HTTP headers of the response.
        body: Body of the response; empty if it wasn't kept.
        digest: xxh3-64 of the body.
        body_kept: Whether the body was recorded.
        attempt: Request ID of the attempt that holds the reservation.
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
    """Record of requests with the same outcome at an entry, for the account.

    Attributes:
        second: Wall time of the outcome in s since the epoch. With many
            different records, times are rounded down to a coarser unit.
        service: Service name.
        team: Team that owns the service.
        urgency: Urgency of the service.
        outcome: Outcome of the requests.
        code: Code from `error_texts` if refused.
        count: Number of requests.
        request_id: ID of the request if the record is for a single one.
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
    """A batch of request records for the account.

    Attributes:
        entry: Name of the entry.
        incarnation: Random number that identifies this run of the entry.
        sequence: Number of the batch within the incarnation; a resent batch is
            recorded only once.
        records: The records.
    """

    entry: str
    incarnation: int
    sequence: int
    records: tuple[RequestRecord, ...]


class Recorded(base.Wire, frozen=True, kw_only=True, tag=66):
    """Acknowledges that a RequestRecords batch is committed."""

    sequence: int


# --- Operators ---------------------------------------------------------------


class OperatorCall(base.Wire, frozen=True, kw_only=True, tag=80):
    """A call of an operator, forwarded by an entry.

    Attributes:
        operation: "submit_sheet", "submit_job", "cancel_job", "drain",
            "status", "explain" or "members".
        operation_id: Unique ID; a resent call gets the first reply.
        operator: Name of the operator.
        arguments: Arguments by name.
    """

    operation: str
    operation_id: str
    operator: str
    arguments: dict[str, Any]


class OperatorReply(base.Wire, frozen=True, kw_only=True, tag=81):
    """Reply to OperatorCall.

    Attributes:
        ok: Whether the operation was performed.
        code: Code from `error_texts` if refused.
        text: Explanation for people.
        data: Result values by name.
    """

    ok: bool
    code: str = ""
    text: str = ""
    data: dict[str, Any] = {}


class Redirect(base.Wire, frozen=True, kw_only=True, tag=98):
    """Reply to any call to a replica that doesn't lead.

    Attributes:
        leader: Address of the leader; empty if unknown.
        replicas: Known addresses of the replicas of the group.
        result_unknown: Whether the replica has proposed the call, so that it may
            still take effect. Otherwise the replica did nothing.
    """

    leader: str
    replicas: tuple[str, ...] = ()
    result_unknown: bool = False


class Refusal(base.Wire, frozen=True, kw_only=True, tag=99):
    """Reply to any call that was refused and had no effect.

    Attributes:
        code: Code from `error_texts`.
        text: Explanation for people.
    """

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
