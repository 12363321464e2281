"""A job with steps and its tasks, as the replicated state keeps them."""

import dataclasses
import itertools
from typing import Any
from typing import Literal

import msgspec

from bamboorouter.protocol import jobs

TaskStatus = Literal["waiting", "assigned", "done", "failed"]


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """One task.

    Attributes:
        status: What is to be done with it.
        attempt: Number of its newest start; 0 before the first.
        failures: Starts that ended as failed.
        worker: Worker of the newest start.
        life: Life of the worker that the newest start was for.
        checkpoint: Progress to resume from; empty if there is none.
    """

    status: TaskStatus = "waiting"
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    life: str = ""
    checkpoint: str = ""


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """One accepted job.

    Attributes:
        id: ID that the caller chose.
        sequence: Place in the order of acceptance.
        queue: Settings of its queue when it was accepted.
        spec: What was handed in.
        accepted_ms: Wall time of the leader that accepted it.
        cancelled: Whether it was cancelled.
        failed: Whether a task has failed for good.
        started: Whether a task was ever assigned.
        tasks: Tasks by occurrence and step.
        open_tasks: Tasks that are not done.
    """

    id: str
    sequence: int
    queue: jobs.QueueSettings
    spec: jobs.JobSpec
    accepted_ms: int
    cancelled: bool = False
    failed: bool = False
    started: bool = False
    tasks: dict[tuple[int, int], list[Task]]
    open_tasks: int

    def state(self) -> jobs.JobState:
        """Returns what callers are told."""
        if self.cancelled:
            return "cancelled"
        if self.failed:
            return "failed"
        if not self.open_tasks:
            return "done"
        return "running" if self.started else "queued"

    def active(self) -> bool:
        """Whether tasks may still start."""
        return bool(self.open_tasks and not self.cancelled and not self.failed)

    def assigned(self) -> bool:
        """Whether a task of it is assigned."""
        return any(
            task.status == "assigned"
            for row in self.tasks.values()
            for task in row
        )

    def step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(
            task.status == "done" for task in self.tasks[occurrence, step]
        )

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that a step waits for are done."""
        return all(
            self.step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].after
        )


def tasks_of(job: Job) -> "itertools.chain[tuple[jobs.TaskRef, Task]]":
    """Returns all tasks of a job with their names."""
    return itertools.chain.from_iterable(
        (
            (
                jobs.TaskRef(
                    job=job.id, occurrence=occurrence, step=step, index=index
                ),
                task,
            )
            for index, task in enumerate(row)
        )
        for (occurrence, step), row in job.tasks.items()
    )


def plain_job(job: Job) -> list[Any]:
    """Returns a job as plain lists, for a snapshot."""
    return [
        job.id,
        job.sequence,
        msgspec.to_builtins(job.queue),
        msgspec.to_builtins(job.spec),
        job.accepted_ms,
        job.cancelled,
        job.failed,
        job.started,
        job.open_tasks,
        [
            [*key, [list(dataclasses.astuple(task)) for task in row]]
            for key, row in job.tasks.items()
        ],
    ]


def restored_job(row: list[Any]) -> Job:
    """Returns the job that `plain_job` made plain."""
    job_id, sequence, queue, spec, accepted_ms, cancelled = row[:6]
    failed, started, open_tasks, tasks = row[6:]
    return Job(
        id=job_id,
        sequence=sequence,
        queue=msgspec.convert(queue, jobs.QueueSettings),
        spec=msgspec.convert(spec, jobs.JobSpec),
        accepted_ms=accepted_ms,
        cancelled=cancelled,
        failed=failed,
        started=started,
        open_tasks=open_tasks,
        tasks={
            (occurrence, step): [_restored_task(fields) for fields in rows]
            for occurrence, step, rows in tasks
        },
    )


def _restored_task(fields: list[Any]) -> Task:
    names = (field.name for field in dataclasses.fields(Task))
    return Task(**dict(zip(names, fields, strict=True)))
