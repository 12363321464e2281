"""Lists the tasks that are ready to start, in scheduling order."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from bamboorouter.coordination.policies import job_order
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import jobs
from bamboorouter.state import crash_conviction
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs


def ready_tasks(
    state: stepped_jobs.SteppedJobs,
    *,
    wall_ms: int,
    failed_on: dict[jobs.TaskRef, frozenset[str]],
    overdue: frozenset[str] = frozenset(),
) -> list[run_placement.ReadyTask]:
    """Returns all ready tasks in scheduling order.

    Args:
        state: The replicated jobs.
        wall_ms: Wall time in ms, for due times and target times.
        failed_on: Workers on which a task failed, by task.
        overdue: IDs of jobs that have had no running task for too long.
    """
    # Most active jobs have no waiting tasks, and sort keys are expensive.
    waiting = [
        (job, steps)
        for job in state.jobs.values()
        if job.active() and (steps := _ready_steps(job, wall_ms))
    ]
    waiting.sort(
        key=lambda pair: job_order.order_key(waiting_job(pair[0]), wall_ms)
    )
    return list(
        itertools.chain.from_iterable(
            _ready_tasks_of_job(job, steps, failed_on, job.id in overdue)
            for job, steps in waiting
        )
    )


def _ready_steps(job: job_records.Job, wall_ms: int) -> list[tuple[int, int]]:
    """Returns the (occurrence, step) pairs that have tasks ready to start."""
    return [
        (occurrence, number)
        for (occurrence, number), row in job.tasks.items()
        if any(task.status == "waiting" for task in row)
        and _is_due(job.spec, occurrence, wall_ms)
        and job.step_ready(occurrence, number)
    ]


def waiting_job(job: job_records.Job) -> job_order.WaitingJob:
    """Returns the attributes of a job that determine its scheduling order."""
    steps = job.spec.steps
    open_steps = frozenset(
        number
        for number in range(len(steps))
        if not all(
            task.status == "done"
            for (_, step), row in job.tasks.items()
            if step == number
            for task in row
        )
    )
    return job_order.WaitingJob(
        sequence=job.sequence,
        priority=job.queue.priority,
        accepted_ms=job.accepted_ms,
        critical_path_ms=critical_path_ms(steps, range(len(steps))),
        remaining_path_ms=critical_path_ms(steps, open_steps),
        slack=job.queue.slack,
        target_ms=job.queue.target_ms,
        work=sum(step.count * _work(step) for step in steps),
        remaining_work=remaining_work(job),
    )


def remaining_work(job: job_records.Job) -> int:
    """Returns the declared work of all tasks that are not done.

    The unit is millicores times milliseconds.
    """
    return sum(
        sum(task.status != "done" for task in row)
        * _work(job.spec.steps[number])
        for (_, number), row in job.tasks.items()
    )


def _work(step: jobs.Step) -> int:
    return step.need.millicores * max(1, step.estimate_ms)


def critical_path_ms(
    steps: tuple[jobs.Step, ...], counted: Iterable[int]
) -> int:
    """Returns the length in ms of the critical path of a job.

    Args:
        steps: The steps of the job in topological order.
        counted: Numbers of the steps whose declared run times count.
    """
    counted_steps = frozenset(counted)
    ends_ms: list[int] = []
    for number, step in enumerate(steps):
        # Steps depend only on earlier ones.
        begin_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        run_time_ms = step.estimate_ms if number in counted_steps else 0
        ends_ms.append(begin_ms + run_time_ms)
    return max(ends_ms, default=0)


def _ready_tasks_of_job(
    job: job_records.Job,
    steps: Iterable[tuple[int, int]],
    failed_on: dict[jobs.TaskRef, frozenset[str]],
    overdue: bool,
) -> Iterator[run_placement.ReadyTask]:
    """Yields the ready tasks of a job.

    In an overdue job, only the tasks up to the first one that isn't part of a
    gang are marked as overdue: the job is no longer without a run as soon as
    that task, or one of the gangs before it, runs.
    """
    for occurrence, number in steps:
        for task in _ready_tasks_of_step(job, occurrence, number, failed_on):
            if not overdue:
                yield task
                continue
            yield dataclasses.replace(task, overdue=True)
            # All tasks of a gang must start together.
            overdue = overdue and task.step.gang


def _ready_tasks_of_step(
    job: job_records.Job,
    occurrence: int,
    number: int,
    failed_on: dict[jobs.TaskRef, frozenset[str]],
) -> Iterator[run_placement.ReadyTask]:
    row = job.tasks[occurrence, number]
    tasks_by_worker: dict[str, int] = {}
    for task in row:
        if task.status == "assigned":
            tasks_by_worker[task.worker] = (
                tasks_by_worker.get(task.worker, 0) + 1
            )
    for index, task in enumerate(row):
        if task.status != "waiting":
            continue
        ref = jobs.TaskRef(
            job=job.id, occurrence=occurrence, step=number, index=index
        )
        yield run_placement.ReadyTask(
            ref=ref,
            attempt=task.attempt + 1,
            step=job.spec.steps[number],
            service=job.queue.service,
            failed_on=failed_on.get(ref, frozenset()),
            tasks_by_worker=tasks_by_worker,
            advised=job.queue.advised,
            suspicion=crash_conviction.suspicion(task),
        )


def _is_due(spec: jobs.JobSpec, occurrence: int, wall_ms: int) -> bool:
    if not spec.repeats:
        return True
    return wall_ms >= spec.first_ms + occurrence * spec.interval_ms
