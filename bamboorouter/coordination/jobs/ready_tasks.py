"""Which tasks may start now, in the order in which they get room."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from bamboorouter.coordination.policies import job_order
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs


def ready_tasks(
    state: stepped_jobs.SteppedJobs,
    *,
    wall_ms: int,
    failed_on: dict[jobs.TaskRef, frozenset[str]],
    overdue: frozenset[str] = frozenset(),
) -> list[run_placement.ReadyTask]:
    """Returns all tasks whose turn has come, first in line first.

    Args:
        state: The jobs.
        wall_ms: Wall time in ms, for due times and goals.
        failed_on: Workers on which a task failed, by task.
        overdue: Jobs that have waited for long with nothing running.
    """
    # Most open jobs have nothing that waits, and their order is dear.
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
            _ready_of(job, steps, failed_on, job.id in overdue)
            for job, steps in waiting
        )
    )


def _ready_steps(job: job_records.Job, wall_ms: int) -> list[tuple[int, int]]:
    """Returns occurrence and step of the waiting tasks whose turn has come."""
    return [
        (occurrence, number)
        for (occurrence, number), row in job.tasks.items()
        if any(task.status == "waiting" for task in row)
        and _due(job.spec, occurrence, wall_ms)
        and job.step_ready(occurrence, number)
    ]


def waiting_job(job: job_records.Job) -> job_order.WaitingJob:
    """Returns what the order of jobs depends on."""
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
        chain_ms=critical_path_ms(steps, range(len(steps))),
        left_ms=critical_path_ms(steps, open_steps),
        slack=job.queue.slack,
        target_ms=job.queue.target_ms,
        work=sum(step.count * _work(step) for step in steps),
        left_work=remaining_work(job),
    )


def remaining_work(job: job_records.Job) -> int:
    """Returns the declared work of all tasks that are not done.

    In thousandths of a processor times ms.
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
    """Returns the declared time of the longest chain of counted steps."""
    wanted = frozenset(counted)
    ends_ms: list[int] = []
    for number, step in enumerate(steps):
        # Steps wait only for earlier ones.
        begin_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
        own_ms = step.estimate_ms if number in wanted else 0
        ends_ms.append(begin_ms + own_ms)
    return max(ends_ms, default=0)


def _ready_of(
    job: job_records.Job,
    steps: Iterable[tuple[int, int]],
    failed_on: dict[jobs.TaskRef, frozenset[str]],
    overdue: bool,
) -> Iterator[run_placement.ReadyTask]:
    for occurrence, number in steps:
        for task in _ready_of_step(job, occurrence, number, failed_on):
            if not overdue:
                yield task
                continue
            yield dataclasses.replace(task, overdue=True)
            # One running task is enough for the job not to wait.
            overdue = overdue and task.step.gang


def _ready_of_step(
    job: job_records.Job,
    occurrence: int,
    number: int,
    failed_on: dict[jobs.TaskRef, frozenset[str]],
) -> Iterator[run_placement.ReadyTask]:
    row = job.tasks[occurrence, number]
    step_on: dict[str, int] = {}
    for task in row:
        if task.status == "assigned":
            step_on[task.worker] = step_on.get(task.worker, 0) + 1
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
            step_on=step_on,
            advised=job.queue.advised,
        )


def _due(spec: jobs.JobSpec, occurrence: int, wall_ms: int) -> bool:
    if not spec.repeats:
        return True
    return wall_ms >= spec.first_ms + occurrence * spec.interval_ms
