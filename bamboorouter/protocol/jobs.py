"""Jobs with steps, the queues that take them, and the runs of their tasks.

A job consists of steps; a step has equal tasks that start once all tasks of
earlier steps have finished. A run is one start of a task on a worker.
"""

from typing import Final
from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import common

# How a run ended. "done", "failed", "stopped", "lapsed", "broken" and "alone"
# are the worker's own words; "lost" means the worker's life ended with it, and
# "rejected" that the worker never started it.
RunOutcome = Literal[
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "rejected"
]

# Pairs of images that are remembered, about 100 bytes each in a snapshot. The
# pairs that were learned about least recently are forgotten first.
MOST_DISTURBANCES: Final = 4096

JobState = Literal["queued", "running", "done", "failed", "cancelled"]


class Step(base.Wire, frozen=True, kw_only=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        need: What each task occupies while it runs.
        estimate_ms: Declared run time of a task; often far off.
        after: Numbers of the steps that must be done first.
        checkpoints: Whether tasks save their progress while they run.
        gang: Whether the tasks work only all together.
        rack_local: Whether tasks are slower on more than one rack.
        label: Label that the worker must carry; empty if any worker will do.
        data_rack: Rack on which tasks are fastest; empty if there is none.
        max_per_worker: Most tasks of the step on one worker; 0 for no limit.
        speculative: Whether a task may run twice at the same time.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Bound for the tail latency of tasks that serve users; 0 for
            none.
        fills: Whether the tasks use only processor time that others leave.
        max_unavailable: Most tasks of the step that may be away because of
            the scheduler at the same time; 0 for no limit.
    """

    count: int
    need: common.Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    rack_local: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class JobSpec(base.Wire, frozen=True, kw_only=True):
    """What a caller hands in.

    Attributes:
        spec: What the workers run; opaque to bamboorouter.
        steps: The steps.
        repeats: How often the steps run on a schedule; 0 for once, at once.
        first_ms: Wall time of the first occurrence in ms since the epoch.
        interval_ms: Time between two occurrences.
    """

    spec: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class TaskRef(base.Wire, frozen=True, kw_only=True, order=True):
    """Names one task of a job.

    Attributes:
        job: ID of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task in its step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Returns the name of the task in logs and in the account."""
        return f"{self.job}/{self.occurrence}/{self.step}/{self.index}"


# A task and the number of one of its starts.
RunKey = tuple[TaskRef, int]


class RunStart(base.Wire, frozen=True, kw_only=True):
    """An assignment of a task to one life of a worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        life: Life of the worker that the run is for.
        attempt: Number of this start of the task, from 1.
        waiting: Tasks that waited when this was decided, for the account.
        place: Place of the task among them, from 1, for the account.
    """

    task: TaskRef
    worker: str
    life: str
    attempt: int
    waiting: int = 0
    place: int = 0


class RunEnd(base.Wire, frozen=True, kw_only=True):
    """The end of a run.

    Attributes:
        task: The task.
        attempt: Number of the start.
        how: How it ended.
        checkpoint: Progress to resume from; empty if none is known.
    """

    task: TaskRef
    attempt: int
    how: RunOutcome
    checkpoint: str = ""


class Checkpoint(base.Wire, frozen=True, kw_only=True):
    """Progress of a run that goes on.

    Attributes:
        task: The task.
        attempt: Number of the start.
        value: Progress to resume from.
    """

    task: TaskRef
    attempt: int
    value: str


class Disturbance(base.Wire, frozen=True, kw_only=True):
    """How much tasks of one image disturb those of another.

    Attributes:
        serving: Image of tasks that serve users.
        filling: Image of tasks that fill.
        weight: The learned weight; 0 for no disturbance.
    """

    serving: str
    filling: str
    weight: float


# Serving and filling image.
ImagePair = tuple[str, str]


class QueueSettings(base.Wire, frozen=True, kw_only=True):
    """A queue of jobs, as configured.

    Attributes:
        name: Unique name.
        host: Host under which callers reach the queue.
        prefix: Path prefix under which callers reach the queue.
        service: Service whose workers run the jobs.
        priority: 0 goes first.
        max_attempts: Failed runs after which a task has failed for good.
        slack: Time that a job may take, as a multiple of its longest chain.
        target_ms: Time that a job may take in addition.
        timeout_ms: How long a caller's request may take.
        advised: Whether only a service outside knows which workers may run
            a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    advised: bool = False


class ServiceSettings(base.Wire, frozen=True, kw_only=True):
    """A service, that is a pool of workers, as configured.

    Attributes:
        name: Unique name.
        guards_capacity: Whether its workers refuse what does not fit.
        standby: Whether its workers are switched off.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


class Configuration(base.Wire, frozen=True, kw_only=True):
    """A complete configuration; the highest version is in force.

    Attributes:
        version: Its number.
        queues: All queues.
        services: All services.
        document: The configuration as it was sent, for reading it back.
    """

    version: int
    queues: tuple[QueueSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    document: bytes = b""

    def match(self, host: str, path: str) -> "tuple[QueueSettings, str] | None":
        """Returns the queue of a path and the rest of the path behind it.

        The longest prefix wins.
        """
        found = max(
            (
                queue
                for queue in self.queues
                if queue.host == host and path.startswith(queue.prefix)
            ),
            key=lambda queue: len(queue.prefix),
            default=None,
        )
        return None if found is None else (found, path[len(found.prefix) :])
