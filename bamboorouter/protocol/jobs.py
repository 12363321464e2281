"""Jobs with steps, their queues, and the runs of their tasks.

A job is a directed acyclic graph of steps. A step consists of identical tasks
that may start once all tasks of the steps it depends on are done. A run is one
attempt to run a task on a worker.

Jobs with steps are submitted by callers and wait in queues. They are separate
from the batch jobs of the sheet, which are rows of type `common.SheetRow`.
"""

from typing import Final
from typing import Literal

import msgspec

from bamboorouter.protocol import base
from bamboorouter.protocol import common

# How a run ended according to its worker. "lapsed" means that the lease of the
# run expired. Only "failed" counts towards `QueueSettings.max_attempts`.
ListedOutcome = Literal[
    "done", "failed", "stopped", "lapsed", "broken", "alone"
]
# How a run ended. "lost" means that the worker's incarnation ended during the
# run, and "rejected" that the worker never started it.
RunOutcome = Literal[ListedOutcome, "lost", "rejected"]

# Limit on the pairs of images whose interference is recorded; each takes about
# 100 bytes in a snapshot. The least recently updated pairs are dropped first.
MAX_DISTURBANCES: Final = 4096

JobState = Literal["queued", "running", "done", "failed", "cancelled"]


class Step(base.Wire, frozen=True, kw_only=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        need: Resources that each task occupies while it runs.
        estimate_ms: Declared run time of a task in ms; often inaccurate.
        after: Numbers of the steps that must be done before this one starts.
        checkpoints: Whether tasks save checkpoints while they run.
        gang: Whether the tasks must be scheduled together, all or none.
        rack_local: Whether tasks are slower if spread over several racks.
        label: Label that the worker must have; empty if any worker may run
            the tasks.
        data_rack: Rack on which tasks are fastest; empty if there is none.
        max_per_worker: Maximum number of tasks of the step on one worker; 0
            for no limit.
        speculative: Whether a second run of a task may be started while the
            first is still running.
        lasting: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of the same image behave alike.
        target_ms: Upper bound in ms for the tail latency of tasks that serve
            users; 0 for none.
        fills: Whether the tasks use only processor time that other tasks leave
            unused.
        max_unavailable: Maximum number of tasks of the step that the scheduler
            may make unavailable at the same time; 0 for no limit.
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
    """A job as submitted by a caller.

    Attributes:
        spec: What the workers run; opaque to bamboorouter.
        steps: The steps.
        repeats: Number of scheduled occurrences; 0 for a single one that may
            start immediately.
        first_ms: Wall time of the first occurrence in ms since the epoch.
        interval_ms: Time in ms between two occurrences.
    """

    spec: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_ms: int = 0
    interval_ms: int = 0


class TaskRef(base.Wire, frozen=True, kw_only=True, order=True):
    """Identifies one task of a job.

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
        """Returns the name of the task for logs and the account."""
        return f"{self.job}/{self.occurrence}/{self.step}/{self.index}"


# A task and the number of one of its attempts.
RunKey = tuple[TaskRef, int]


class RunId(base.Wire, frozen=True, kw_only=True):
    """Identifies a run.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
    """

    task: TaskRef
    attempt: int


class RunStart(base.Wire, frozen=True, kw_only=True):
    """An assignment of a task to one incarnation of a worker.

    Attributes:
        task: The task.
        worker: Name of the worker.
        life: ID of the worker's incarnation that the task is assigned to.
        attempt: Number of this attempt to run the task, from 1.
        waiting: Number of tasks that waited at the time of the decision, for
            the account.
        place: Position of the task among these, from 1, for the account.
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
        attempt: Number of the attempt.
        how: Outcome of the run.
        checkpoint: Checkpoint to resume from; empty if none is known.
        started: If the run is lost, whether its worker had confirmed the start
            by an answer or a list of its runs.
    """

    task: TaskRef
    attempt: int
    how: RunOutcome
    checkpoint: str = ""
    started: bool = False


class Checkpoint(base.Wire, frozen=True, kw_only=True):
    """A checkpoint of a run that is still in progress.

    Attributes:
        task: The task.
        attempt: Number of the attempt.
        value: Checkpoint to resume from.
    """

    task: TaskRef
    attempt: int
    value: str


class Disturbance(base.Wire, frozen=True, kw_only=True):
    """Learned interference between tasks of two images on one worker.

    Attributes:
        serving: Image of the tasks that serve users and are slowed down.
        filling: Image of the tasks that use spare processor time.
        weight: Strength of the interference; 0 for none.
    """

    serving: str
    filling: str
    weight: float


# Image of serving tasks and image of filling tasks.
ImagePair = tuple[str, str]


# Host and path prefix of a queue, which identify it.
QueueKey = tuple[str, str]
# Queue and ID of a job.
JobKey = tuple[QueueKey, str]


class QueueSettings(base.Wire, frozen=True, kw_only=True):
    """A queue of jobs, as configured.

    A queue is identified by its host and prefix. Its name is a label: other
    queues may have the same one, and another configuration may give it to
    another queue.

    Attributes:
        name: Name for logs and the account.
        host: Host name under which callers reach the queue.
        prefix: Path prefix under which callers reach the queue.
        service: Service whose workers run the jobs.
        priority: Scheduling priority; 0 is the highest.
        max_attempts: Number of failed runs after which a task fails
            permanently.
        slack: A job should end within `slack` times the run time of its
            critical path plus `target_ms`, counted from its acceptance.
        target_ms: Constant part of that time in ms.
        timeout_ms: Time in ms that a caller's request to the queue may take;
            only recorded.
        advised: Whether only an external service knows which workers may run
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

    @property
    def key(self) -> QueueKey:
        """Host and prefix, which identify the queue."""
        return (self.host, self.prefix)


class ServiceSettings(base.Wire, frozen=True, kw_only=True):
    """A service, which is a pool of workers, as configured.

    Attributes:
        name: Unique name.
        guards_capacity: Whether its workers refuse tasks that don't fit; only
            recorded.
        standby: Whether its workers are switched off; only recorded.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


class Configuration(base.Wire, frozen=True, kw_only=True):
    """A complete configuration; the highest version is in force.

    Attributes:
        version: Version of the configuration.
        queues: All queues.
        services: All services.
        document: The configuration in the form in which it was sent, returned
            to those who read it.
    """

    version: int
    queues: tuple[QueueSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    document: bytes = b""

    def queue(self, key: QueueKey) -> QueueSettings | None:
        """Returns the queue with a host and prefix; None if there is none."""
        return next((queue for queue in self.queues if queue.key == key), None)

    def first_queue_named(self, name: str) -> QueueSettings | None:
        """Returns the first queue of a name; None if there is none."""
        return next(
            (queue for queue in self.queues if queue.name == name), None
        )

    def with_unique_names(self) -> "Configuration":
        """Returns the configuration with a different name for each queue.

        If several queues have the same name, all queues are named after their
        hosts and prefixes. The document isn't changed.
        """
        names = {queue.name for queue in self.queues}
        if len(names) == len(self.queues):
            return self
        return msgspec.structs.replace(
            self,
            queues=tuple(
                msgspec.structs.replace(queue, name="".join(queue.key))
                for queue in self.queues
            ),
        )

    def match(self, host: str, path: str) -> "tuple[QueueSettings, str] | None":
        """Finds the queue for a path by its longest matching prefix.

        Returns:
            The queue and the rest of the path after its prefix; None if no
            queue matches.
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
