"""Messages about jobs with steps, and about joining a group.

Tags: 120-139 entry, operator and leader; 140-159 agent and leader; 160-179
replicas that join a group.
"""

from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# --- Callers and operators ---------------------------------------------------


class SubmitSteps(base.Wire, frozen=True, kw_only=True, tag=120):
    """Submits a job; safe to resend, because the path contains the job's ID.

    Attributes:
        host: Host in the caller's request.
        path: Path in the caller's request: the queue's prefix and the job's ID.
        spec: The job.
    """

    host: str
    path: str
    spec: jobs.JobSpec


class ReadJob(base.Wire, frozen=True, kw_only=True, tag=121):
    """Requests a job's state or, without a job ID, a queue's length.

    Attributes:
        host: Host in the caller's request.
        path: Path in the caller's request.
    """

    host: str
    path: str


class CancelJobSteps(base.Wire, frozen=True, kw_only=True, tag=122):
    """Cancels a job; safe to resend.

    Attributes:
        host: Host in the caller's request.
        path: Path in the caller's request.
    """

    host: str
    path: str


class JobAnswer(base.Wire, frozen=True, kw_only=True, tag=123):
    """Reply to SubmitSteps, ReadJob and CancelJobSteps.

    Attributes:
        outcome: "ok"; "no_queue" if no queue has this path; "no_job" if the
            queue has no such job; "refused" if the job was not accepted and
            doesn't run; "unconfigured" before the first configuration.
        state: State of the job after the call; empty for a queue.
        waiting: Number of jobs in the queue of which no task has started.
        retry_after_ms: If "refused", time in ms after which a retry may be
            accepted; 0 if the job would be refused again.
        reason: If "refused", why.
    """

    outcome: Literal["ok", "no_queue", "no_job", "refused", "unconfigured"]
    state: str = ""
    waiting: int = 0
    retry_after_ms: int = 0
    reason: str = ""


class OfferConfiguration(base.Wire, frozen=True, kw_only=True, tag=124):
    """Proposes a complete, valid configuration; safe to resend.

    Attributes:
        configuration: The configuration.
    """

    configuration: jobs.Configuration


class ReadConfiguration(base.Wire, frozen=True, kw_only=True, tag=125):
    """Requests the newest configuration; also used to confirm the leader.

    Attributes:
        with_document: Whether the reply must contain the document.
    """

    with_document: bool = True


class CurrentConfiguration(base.Wire, frozen=True, kw_only=True, tag=126):
    """Reply to OfferConfiguration and ReadConfiguration.

    Attributes:
        version: Version in force; -1 before the first configuration.
        document: The configuration in the form in which it was sent; empty if
            not requested.
        replicas: Addresses of all replicas of the group.
    """

    version: int
    document: bytes = b""
    replicas: tuple[str, ...] = ()


# --- Agents ------------------------------------------------------------------


class OpenWorkerSession(base.Wire, frozen=True, kw_only=True, tag=140):
    """Requests a session for one incarnation of an agent's worker.

    Attributes:
        worker: Name of the worker.
        life: ID of the worker's incarnation.
        room: Newest announced capacity of the worker.
        fenced: Whether the worker no longer carries out orders for earlier
            incarnations.
        ends: Ends of runs that were ordered for an earlier incarnation: those
            that the leader hasn't confirmed, and those that were started by the
            current one.
        fence: If `fenced`, number of the offered session by whose token the
            orders were fenced off; 0 if the agent doesn't tell.
        previous: ID of the incarnation of the agent's last session, if it is
            over; empty if the agent knows of none.
        previous_left: Whether that incarnation drained or announced its end.
        silent_ms: Time in ms since its first unanswered call; 0 if unknown.
        started: Runs of that incarnation that the agent holds and whose start
            the worker has confirmed.
    """

    worker: str
    life: str
    room: common.Resources
    fenced: bool = True
    ends: tuple[jobs.RunEnd, ...] = ()
    fence: int = 0
    previous: str = ""
    previous_left: bool = False
    silent_ms: int = 0
    started: tuple[jobs.RunId, ...] = ()


class WorkerSession(base.Wire, frozen=True, kw_only=True, tag=141):
    """Reply to OpenWorkerSession.

    Attributes:
        number: Number of the session, higher than all earlier ones.
        opened: Whether the session is open. If not, the agent must fence off
            orders for earlier incarnations with a token derived from `number`,
            and request the session again with `fenced` set. Only then do the
            runs of earlier incarnations count as lost.
    """

    number: int
    opened: bool = True


class HeldRun(base.Wire, frozen=True, kw_only=True):
    """A run that an agent reports.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        running: Whether the worker lists the run as running.
        checkpoint: Newest checkpoint; empty if there is none.
        progress: Completed share of the work in percent; 100 for a lasting
            task that has started up.
        pace: Share of its full speed to which the run is throttled, in percent.
        figure: Tail latency in ms of a task that serves users; for any other
            task, the processor time it uses in thousandths of a processor.
        ordered: Whether the agent has the start order; False for a run that it
            found on the worker after a restart.
    """

    task: jobs.TaskRef
    attempt: int
    running: bool = False
    checkpoint: str = ""
    progress: int = 0
    pace: int = 100
    figure: int = 0
    ordered: bool = True


class WorkerReport(base.Wire, frozen=True, kw_only=True, tag=142):
    """An agent's report on its worker, resent until the leader replies.

    Attributes:
        worker: Name of the worker.
        life: ID of the worker's incarnation that the session is for.
        session: Number of the session.
        sequence: Number that increases with each report of the agent.
        service: Service the worker belongs to.
        zone: Availability zone of the worker.
        labels: Labels of the worker.
        rack: Rack of the worker; empty if unknown.
        room: Capacity of the worker.
        draining: Whether the worker accepts no new runs.
        reachable: Whether the worker answered recently.
        runs: All runs that have not ended.
        ends: All ends of runs that the leader has not acknowledged.
        view_age_ms: Age in ms of the worker's state as described by `runs`.
        members_index: Log index of the newest member list that the agent knows;
            0 if none.
    """

    worker: str
    life: str
    session: int
    sequence: int
    service: str
    zone: str
    labels: tuple[str, ...]
    rack: str
    room: common.Resources
    draining: bool
    reachable: bool
    runs: tuple[HeldRun, ...]
    ends: tuple[jobs.RunEnd, ...]
    view_age_ms: int = 0
    members_index: int = 0


class StartOrder(base.Wire, frozen=True, kw_only=True):
    """Orders an agent to start a run.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        spec: What the worker runs.
        checkpoint: Checkpoint to resume from; empty if there is none.
        fills: Whether the run uses only processor time that other tasks leave
            unused.
        target_ms: Upper bound in ms for the tail latency of the run; 0 for
            none.
        need: Resources that the run occupies.
        image: Image that the run uses; tasks of the same image behave alike.
        percent: Share of its full speed at which the run begins, in percent.
        ticket: Token that proves to the worker that it may run the step; empty
            if it needs none.
    """

    task: jobs.TaskRef
    attempt: int
    spec: str
    checkpoint: str
    fills: bool
    target_ms: int
    need: common.Resources
    image: str = ""
    percent: int = 100
    ticket: str = ""


class StopOrder(base.Wire, frozen=True, kw_only=True):
    """Orders an agent to stop a run.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        reserves: What the run reserves on the worker until it has ended, for
            agents that don't have its start order; None if unknown.
    """

    task: jobs.TaskRef
    attempt: int
    reserves: common.Resources | None = None


class RunOrders(base.Wire, frozen=True, kw_only=True, tag=143):
    """Orders of a leader; pushed, and repeated in replies to reports.

    Attributes:
        term: Term of the leader; orders of lower terms are ignored.
        life: ID of the worker's incarnation that the orders are for.
        starts: Runs to start.
        stops: Runs to stop.
    """

    term: int
    life: str
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()


class WorkerReply(base.Wire, frozen=True, kw_only=True, tag=144):
    """Reply to WorkerReport, sent once all ends of the report are committed.

    Attributes:
        known: Whether the session is the worker's newest. If not, the agent
            must open a new one and ignore the rest of the reply.
        lease_ms: Time in ms that runs may continue, counted from the time of
            the report.
        orders: Orders that, according to the report, were not yet carried out.
        disturbances: Learned interference between images on this worker.
        replicas: Addresses of the control replicas; empty if the agent knows
            the leader's member list.
        members_index: Log index of the member list with these addresses.
    """

    known: bool
    lease_ms: int
    orders: RunOrders
    disturbances: tuple[jobs.Disturbance, ...] = ()
    replicas: tuple[str, ...] = ()
    members_index: int = 0


# --- Joining -----------------------------------------------------------------


class JoinGroup(base.Wire, frozen=True, kw_only=True, tag=160):
    """Asks the leader to add a replica as a learner; safe to resend.

    Attributes:
        group: Name of the group.
        replica: ID of the replica.
        address: Address of the replica.
    """

    group: str
    replica: str
    address: str


class JoinAnswer(base.Wire, frozen=True, kw_only=True, tag=161):
    """Reply to JoinGroup once the replica is a member.

    Attributes:
        replicas: Addresses of all replicas of the group.
    """

    replicas: tuple[str, ...] = ()


JobMessage = (
    SubmitSteps
    | ReadJob
    | CancelJobSteps
    | JobAnswer
    | OfferConfiguration
    | ReadConfiguration
    | CurrentConfiguration
    | OpenWorkerSession
    | WorkerSession
    | WorkerReport
    | RunOrders
    | WorkerReply
    | JoinGroup
    | JoinAnswer
)
