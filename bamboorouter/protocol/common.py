"""Structs shared by several messages and commands."""

from typing import Final
from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import value_limits

# Outcome of a caller's request. "completed": the upstream sent a whole response.
# "failed": its response was malformed, oversized or incomplete. "not_run": the
# request certainly was not run. "unknown": it may or may not have been run.
Outcome = Literal["completed", "failed", "not_run", "unknown"]
TaskKind = Literal["service", "batch"]
# Detail of a task that is reported as stopped because its worker no longer lists
# it.
LOST_BY_WORKER: Final = "lost_by_worker"


class Resources(base.Wire, frozen=True, kw_only=True):
    """Resources of a VM, or resources that a task needs.

    Attributes:
        millicores: Processor time in thousandths of a processor.
        memory_mb: Memory in MB.
        accelerators: Number of whole accelerators.
        slots: Number of tasks.
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
        place: Position among the rows of the same urgency; lower is first.
        millicores: Declared processor time of each instance or task, in
            thousandths of a processor.
        memory_mb: Declared memory of each instance or task in MB.
        accelerators: Number of accelerators for each instance or task.
        run_time_s: Declared run time of a task in s; 0 for services.
        count: Number of instances of the service or tasks of the job.
        idempotent: Whether requests of the service may be retried.
        deadline_ms: Default deadline of requests in ms; 0 for jobs.
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
    """An agent's report on one task of its worker.

    Attributes:
        task: Task ID, "<row name>/<number>".
        epoch: Fencing epoch of the assignment.
        state: "running", "finished", "failed", "evicted" or "stopped".
        checkpoint: Last checkpoint that the worker confirmed; empty if none.
        detail: Reason for the end of the task, for people.
        started: Whether the worker has confirmed the start; a task is "running"
            from its order on. True from agents of earlier versions.
    """

    task: str
    epoch: int
    state: Literal["running", "finished", "failed", "evicted", "stopped"]
    checkpoint: str = ""
    detail: str = ""
    started: bool = True


class Usage(base.Wire, frozen=True, kw_only=True):
    """A measurement of one task, reported some time after it was taken.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        millicores: Processor time used, in thousandths of a processor.
        memory_mb: Memory used in MB.
        latency_ms: Latency in ms that the task observed; 0 if it has none.
        age_ms: Age of the measurement in ms when it was reported.
    """

    task: value_limits.Name
    epoch: value_limits.Serial
    millicores: value_limits.Count
    memory_mb: value_limits.Count
    latency_ms: value_limits.Count = 0
    age_ms: value_limits.TimeMs = 0


class Upstream(base.Wire, frozen=True, kw_only=True):
    """An announced upstream.

    Attributes:
        id: Unique name of the upstream.
        service: Service that the upstream belongs to.
        url: Base URL at which the agent reaches the upstream.
        leaving: Whether the upstream accepts no new requests.
        in_progress: Number of requests in progress.
        latency_ms: Moving average of request durations in ms.
        answered: Number of requests answered since the agent has known the
            upstream.
    """

    id: str
    service: str
    url: str
    leaving: bool = False
    in_progress: int = 0
    latency_ms: float = 0.0
    answered: int = 0
