"""Data that several messages and commands share."""

from typing import Literal

from bamboorouter.protocol import base

Outcome = Literal["completed", "failed", "not_run", "unknown"]
TaskKind = Literal["service", "batch"]


class Resources(base.Wire, frozen=True, kw_only=True):
    """An amount of what a VM has or a task needs.

    Attributes:
        millicores: Processor time in thousandths of a processor.
        memory_mb: Memory in MB.
        accelerators: Whole accelerators.
        slots: Tasks.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0


class SheetRow(base.Wire, frozen=True, kw_only=True):
    """One row of the sheet: a service or a batch job.

    Attributes:
        kind: "service" or "job".
        name: Unique name of the service or job.
        owner: Team that owns the row.
        urgency: 0 (most urgent) to 9.
        place: Place in line among rows of the same urgency.
        millicores: Declared processor time for each instance or task.
        memory_mb: Declared memory for each instance or task.
        accelerators: Accelerators for each instance or task.
        run_time_s: Declared run time of a task; 0 for services.
        count: Instances of the service or tasks of the job.
        idempotent: Whether requests of the service may be repeated.
        deadline_ms: Default deadline of requests; 0 for jobs.
        share: Weight of the owner in fair sharing.
        command: What the worker runs; opaque to bamboorouter.
    """

    kind: Literal["service", "job"]
    name: str
    owner: str
    urgency: int
    place: int
    millicores: int
    memory_mb: int
    accelerators: int = 0
    run_time_s: int = 0
    count: int = 1
    idempotent: bool = True
    deadline_ms: int = 0
    share: int = 1
    command: str = ""


class TaskState(base.Wire, frozen=True, kw_only=True):
    """What an agent reports about one task on its worker.

    Attributes:
        task: Task ID, "<row name>/<number>".
        epoch: Fencing epoch of the assignment.
        state: "running", "finished", "failed", "evicted" or "stopped".
        checkpoint: Last checkpoint the worker confirmed; empty if none.
        detail: Reason of a failure, for people.
    """

    task: str
    epoch: int
    state: Literal["running", "finished", "failed", "evicted", "stopped"]
    checkpoint: str = ""
    detail: str = ""


class Usage(base.Wire, frozen=True, kw_only=True):
    """A late measurement of one task.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch.
        millicores: Processor time used.
        memory_mb: Memory used.
        latency_ms: Latency the task observes; 0 if it has none.
        age_ms: Age of the measurement when reported.
    """

    task: str
    epoch: int
    millicores: int
    memory_mb: int
    latency_ms: int = 0
    age_ms: int = 0


class Upstream(base.Wire, frozen=True, kw_only=True):
    """An announced upstream.

    Attributes:
        id: Unique name of the upstream.
        service: Service it answers for.
        url: Base URL that its agent dials.
        leaving: Whether it takes no new work.
        in_progress: Requests in progress.
        latency_ms: Smoothed answer time in ms.
        answered: Requests answered since the agent knows the upstream.
    """

    id: str
    service: str
    url: str
    leaving: bool = False
    in_progress: int = 0
    latency_ms: float = 0.0
    answered: int = 0
