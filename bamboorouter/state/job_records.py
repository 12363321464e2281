"""Records of jobs with steps and their tasks in the replicated state."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
import operator
from typing import Any
from typing import Final
from typing import Literal

import msgspec

from bamboorouter.protocol import jobs

_FIELDS_WITHOUT_GIVEN_UP_RUNS: Final = 6

NO_CRASH: Final = -1

TaskStatus = Literal["waiting", "assigned", "done", "failed"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GivenUpRun:
    """A run that has ended without the word of its worker.

    Attributes:
        attempt: Number of the attempt.
        worker: Its worker.
        life: Incarnation of the worker.
        assigned_ms: Wall time of the leader at the assignment, in ms since the
            epoch; 0 if unknown.
        lost: Whether the run may have been on the worker; otherwise it was
            rejected.
        crash_age_ms: If the incarnation has crashed and the crash is counted
            for the task, upper bound for the age of the run at the crash, in
            ms; otherwise `NO_CRASH`.
        started: Whether the worker had confirmed the start of the run.
        dated: Whether `crash_age_ms` is close to the age.
    """

    attempt: int
    worker: str
    life: str
    assigned_ms: int
    lost: bool
    crash_age_ms: int = NO_CRASH
    started: bool = False
    dated: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Task:
    """State of one task.

    Attributes:
        status: State of the task; a task that is waiting may be assigned.
        attempt: Number of its newest attempt; 0 before the first.
        failures: Number of attempts that failed.
        worker: Worker of the newest attempt.
        life: Incarnation of the worker that the newest attempt was assigned
            to.
        checkpoint: Checkpoint to resume from; empty if there is none.
        assigned_ms: Wall time of the leader at the newest assignment, in ms
            since the epoch; 0 if unknown.
        given_up: Newest runs that were given up (see `given_up_runs`).
        crashes: Number of incarnations of workers that crashed while a run of
            the task was or may have been on them, since it was last cleared.
        early_crashes: Number of those that came soon after the assignment.
        crash_age_ms: Upper bound for the age of the run at the last of these
            crashes, in ms.
        confirmed_crashes: Number of these crashes under runs whose start the
            worker had confirmed.
        confirmed_early_crashes: Number of the early ones among them.
    """

    status: TaskStatus = "waiting"
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    life: str = ""
    checkpoint: str = ""
    assigned_ms: int = 0
    given_up: tuple[GivenUpRun, ...] = ()
    crashes: int = 0
    early_crashes: int = 0
    crash_age_ms: int = 0
    confirmed_crashes: int = 0
    confirmed_early_crashes: int = 0


@dataclasses.dataclass(kw_only=True, eq=False)
class Job:
    """State of one accepted job.

    Attributes:
        id: ID chosen by the caller.
        sequence: Position in the order of acceptance.
        queue: Settings of its queue at the time of acceptance.
        spec: Specification that was submitted.
        accepted_ms: Wall time of the leader at acceptance, in ms since the
            epoch.
        cancelled: Whether the job was cancelled.
        failed: Whether a task has used up its attempts or was given up because
            its workers crashed.
        begun: Whether a worker has begun any task, as far as its agent has
            reported. An assigned run may be rejected or lost before that.
        tasks: Tasks of each step, by number of the occurrence and of the
            step.
        open_tasks: Number of tasks that are not done.
    """

    id: str
    sequence: int
    queue: jobs.QueueSettings
    spec: jobs.JobSpec
    accepted_ms: int
    cancelled: bool = False
    failed: bool = False
    begun: bool = False
    tasks: dict[tuple[int, int], list[Task]]
    open_tasks: int

    def state(self) -> jobs.JobState:
        """Returns the state that is reported to callers."""
        if self.cancelled:
            return "cancelled"
        if self.failed:
            return "failed"
        if not self.open_tasks:
            return "done"
        return "running" if self.begun else "queued"

    def active(self) -> bool:
        """Whether tasks of the job may still be started."""
        return bool(self.open_tasks and not self.cancelled and not self.failed)

    def assigned(self) -> bool:
        """Whether any task of the job is assigned."""
        return any(task.status == "assigned" for task in self.all_tasks())

    def all_tasks(self) -> Iterator[Task]:
        """Returns the tasks of all steps."""
        return itertools.chain.from_iterable(self.tasks.values())

    def step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(
            task.status == "done" for task in self.tasks[occurrence, step]
        )

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that a step depends on are done."""
        return all(
            self.step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].after
        )


def tasks_of(job: Job) -> "itertools.chain[tuple[jobs.TaskRef, Task]]":
    """Returns all tasks of a job with their references."""
    return itertools.chain.from_iterable(
        (
            (
                jobs.TaskRef(
                    job=job.id, occurrence=occurrence, step=step, index=index
                ),
                task,
            )
            for index, task in enumerate(step_tasks)
        )
        for (occurrence, step), step_tasks in job.tasks.items()
    )


_TASK_NAMES: Final = tuple(field.name for field in dataclasses.fields(Task))
_RUN_NAMES: Final = tuple(
    field.name for field in dataclasses.fields(GivenUpRun)
)
_GIVEN_UP_POSITION: Final = _TASK_NAMES.index("given_up")
# `dataclasses.astuple` copies each value and takes ten times as long; a snapshot
# of many tasks blocks the event loop meanwhile.
_task_fields: Final = operator.attrgetter(*_TASK_NAMES)
_run_fields: Final = operator.attrgetter(*_RUN_NAMES)


def _task_to_fields(task: Task) -> Sequence[Any]:
    fields: tuple[Any, ...] = _task_fields(task)
    if not task.given_up:
        return fields
    return [
        *fields[:_GIVEN_UP_POSITION],
        list(map(_run_fields, task.given_up)),
        *fields[_GIVEN_UP_POSITION + 1 :],
    ]


def job_to_lists(job: Job) -> list[Any]:
    """Returns a job as plain lists for a snapshot."""
    return [
        job.id,
        job.sequence,
        msgspec.to_builtins(job.queue),
        msgspec.to_builtins(job.spec),
        job.accepted_ms,
        job.cancelled,
        job.failed,
        # Earlier versions read here whether any task was ever assigned.
        any(task.attempt for task in job.all_tasks()),
        job.open_tasks,
        [
            [*key, list(map(_task_to_fields, step_tasks))]
            for key, step_tasks in job.tasks.items()
        ],
    ]


def job_from_lists(plain: list[Any]) -> Job:
    """Returns the job whose plain lists `job_to_lists` returned.

    Whether it has begun is part of the snapshot, but not of these lists; it is
    derived from what its tasks show.
    """
    job_id, sequence, queue, spec, accepted_ms, cancelled = plain[:6]
    failed, _, open_tasks, tasks = plain[6:]
    job = Job(
        id=job_id,
        sequence=sequence,
        queue=msgspec.convert(queue, jobs.QueueSettings),
        spec=msgspec.convert(spec, jobs.JobSpec),
        accepted_ms=accepted_ms,
        cancelled=cancelled,
        failed=failed,
        open_tasks=open_tasks,
        tasks={
            (occurrence, step): [
                _restored_task(fields) for fields in step_tasks
            ]
            for occurrence, step, step_tasks in tasks
        },
    )
    job.begun = any(_has_run(task) for task in job.all_tasks())
    return job


def _has_run(task: Task) -> bool:
    """Whether the record of a task shows that a worker has begun it."""
    return bool(
        task.status == "done"
        or task.failures
        or task.checkpoint
        or task.confirmed_crashes
        or any(run.started for run in task.given_up)
    )


def _restored_task(fields: list[Any]) -> Task:
    # Snapshots written before given-up runs were recorded have fewer fields.
    if len(fields) not in (_FIELDS_WITHOUT_GIVEN_UP_RUNS, len(_TASK_NAMES)):
        raise ValueError(f"a task with {len(fields)} fields")
    values = dict(zip(_TASK_NAMES, fields, strict=False))
    values["given_up"] = tuple(
        GivenUpRun(**dict(zip(_RUN_NAMES, run, strict=True)))
        for run in values.get("given_up", ())
    )
    return Task(**values)
