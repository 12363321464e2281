"""Messages about jobs with steps.

Tags 120-139: entry, operator and leader; 140-159: agent and leader; 160-179:
replicas that join a group.
"""

from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# --- Callers and operators ---------------------------------------------------


class SubmitSteps(base.Wire, frozen=True, kw_only=True, tag=120):
    """Hands a job in; safe to resend, the ID names one job.

    Attributes:
        host: Host that the caller named.
        path: Path that the caller named: a queue's prefix and the job's ID.
        spec: The job.
    """

    host: str
    path: str
    spec: jobs.JobSpec


class ReadJob(base.Wire, frozen=True, kw_only=True, tag=121):
    """Asks for a job's state or, without an ID, for a queue's length."""

    host: str
    path: str


class CancelJobSteps(base.Wire, frozen=True, kw_only=True, tag=122):
    """Cancels a job; safe to resend."""

    host: str
    path: str


class JobAnswer(base.Wire, frozen=True, kw_only=True, tag=123):
    """Answers the three calls above.

    Attributes:
        outcome: "ok"; "no_queue" if no queue has this path; "no_job" if the
            queue has no such job; "refused" if the job was not accepted and
            doesn't run; "unconfigured" before the first configuration.
        state: State of the job after the call; empty for a queue.
        waiting: Jobs of the queue of which no task has started.
        retry_after_ms: On "refused", when a later attempt has better chances.
    """

    outcome: Literal["ok", "no_queue", "no_job", "refused", "unconfigured"]
    state: str = ""
    waiting: int = 0
    retry_after_ms: int = 0


class OfferConfiguration(base.Wire, frozen=True, kw_only=True, tag=124):
    """Sends a complete, valid configuration; safe to resend."""

    configuration: jobs.Configuration


class ReadConfiguration(base.Wire, frozen=True, kw_only=True, tag=125):
    """Asks for the newest configuration, also to confirm the leader."""

    with_document: bool = True


class CurrentConfiguration(base.Wire, frozen=True, kw_only=True, tag=126):
    """Answers the two calls above with what is in force.

    Attributes:
        version: Its number; -1 before the first configuration.
        document: The configuration as it was sent; empty if not asked for.
        replicas: Addresses of all replicas of the group.
    """

    version: int
    document: bytes = b""
    replicas: tuple[str, ...] = ()


# --- Agents ------------------------------------------------------------------


class OpenWorkerSession(base.Wire, frozen=True, kw_only=True, tag=140):
    """Asks for a session with one life of an agent's worker.

    Attributes:
        worker: Name of the worker.
        life: The life.
        room: What the worker has in this life.
        fenced: Whether the worker carries out no order for an earlier life any
            more.
        ends: Ends of such orders, which the present life had carried out.
    """

    worker: str
    life: str
    room: common.Resources
    fenced: bool = True
    ends: tuple[jobs.RunEnd, ...] = ()


class WorkerSession(base.Wire, frozen=True, kw_only=True, tag=141):
    """Answers OpenWorkerSession.

    Attributes:
        number: Number of the session; higher than all earlier ones.
        opened: Whether it has begun; otherwise its number serves to fence off
            orders for an earlier life, whose runs are not lost before that.
    """

    number: int
    opened: bool = True


class HeldRun(base.Wire, frozen=True, kw_only=True):
    """A run that an agent has an order for.

    Attributes:
        task: The task.
        attempt: Number of the start.
        running: Whether the worker lists it as running.
        checkpoint: Newest checkpoint; empty if there is none.
        progress: Share of its work that is done, in percent; 100 for a task
            that lasts and has started up.
        pace: Share of its speed that it was told to work at, in percent.
        figure: For a task that serves users its tail latency in ms, else the
            processor time it uses in thousandths of a processor.
        ordered: Whether the agent knows the order; a run that it found on the
            worker after a restart it doesn't.
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
    """What an agent knows about its worker; resent until it is answered.

    Attributes:
        worker: Name of the worker.
        life: Life of the worker that the session is with.
        session: Number of the session.
        sequence: Rises with each report of the agent.
        service: Service the worker belongs to.
        zone: Availability zone of the worker.
        labels: Labels of the worker.
        rack: Rack of the worker; empty if unknown.
        room: What the worker has.
        draining: Whether it takes no new runs.
        reachable: Whether the worker answered recently.
        runs: All runs that the agent has orders for and that have not ended.
        ends: All ends that the leader has not confirmed.
        view_age_ms: How long ago the worker was seen as `runs` says.
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


class StartOrder(base.Wire, frozen=True, kw_only=True):
    """Tells an agent to start a run.

    Attributes:
        task: The task.
        attempt: Number of the start.
        spec: What the worker runs.
        checkpoint: Progress to resume from; empty if there is none.
        fills: Whether it uses only processor time that others leave.
        target_ms: Bound for its tail latency; 0 for none.
        need: What it occupies.
        image: What it runs; tasks of one image behave alike.
        percent: Share of its speed at which it begins.
        ticket: Shows the worker that the step may run there; empty if it
            needs none.
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
    """Tells an agent to stop a run."""

    task: jobs.TaskRef
    attempt: int


class RunOrders(base.Wire, frozen=True, kw_only=True, tag=143):
    """Orders of a leader; pushed, and repeated in answers to reports.

    Attributes:
        term: Term of the leader; orders of lower terms are ignored.
        life: Life of the worker that the orders are for.
        starts: Runs to start.
        stops: Runs to stop.
    """

    term: int
    life: str
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()


class WorkerReply(base.Wire, frozen=True, kw_only=True, tag=144):
    """Answers a WorkerReport; all its ends are committed.

    Attributes:
        known: Whether the session is the worker's newest; otherwise a new
            one must be opened and nothing else of the reply counts.
        lease_ms: How long runs may go on, from the time of the report.
        orders: What the report showed to be missing.
        disturbances: What was learned about images on this worker.
    """

    known: bool
    lease_ms: int
    orders: RunOrders
    disturbances: tuple[jobs.Disturbance, ...] = ()


# --- Joining -----------------------------------------------------------------


class JoinGroup(base.Wire, frozen=True, kw_only=True, tag=160):
    """Asks the leader to take a replica in as a learner; safe to resend."""

    group: str
    replica: str
    address: str


class JoinAnswer(base.Wire, frozen=True, kw_only=True, tag=161):
    """The replica is a member now."""

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
