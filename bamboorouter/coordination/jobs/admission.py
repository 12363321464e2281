"""Decides whether a job is accepted.

A job is refused, before anything of it is done, if a task or a gang of it
doesn't fit on the workers of its service even when they are empty, or if so
much work of equal or higher priority is ahead of it that it would end later
than its caller can use it. The second answers a flood of jobs that grows
without bound: what is accepted is still worth something when it ends, and
callers of the rest learn at once when there will be room.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
import statistics
from typing import Final

from bamboorouter.coordination.jobs import ready_tasks
from bamboorouter.protocol import common
from bamboorouter.protocol import job_limits
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

# New workers may join within this time; sooner a retry meets the same fleet.
NO_WORKER_RETRY_MS: Final = 30_000
# A job is worth something until it has taken this many times its goal.
USEFUL_GOALS: Final = 3
# Callers who were refused together return spread over this part of the wait.
RETRY_SPREAD: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is not accepted.

    Attributes:
        reason: Reason for logs.
        retry_after_ms: When a later attempt has better chances.
        wait_ms: Expected wait behind the work ahead; 0 if that isn't why.
    """

    reason: str
    retry_after_ms: int
    wait_ms: int = 0


class Admission:
    """The decision, with what it must know about the fleet.

    Attributes:
        worker_capacities: Returns what each known worker of a service has when empty;
            nothing while the workers aren't known.
        has_advice_source: Whether there is a service to ask where advised steps may run.
    """

    def __init__(
        self,
        *,
        worker_capacities: Callable[[str], Iterable[common.Resources]],
        has_advice_source: bool = False,
    ) -> None:
        self.worker_capacities = worker_capacities
        self.has_advice_source = has_advice_source

    def check(
        self,
        state: stepped_jobs.SteppedJobs,
        queue: jobs.QueueSettings,
        spec: jobs.JobSpec,
    ) -> Refusal | None:
        """Returns why a job is refused; None if it is accepted."""
        if problem := job_limits.problem(spec):
            # It is refused whenever it comes.
            return Refusal(reason=problem, retry_after_ms=0)
        if queue.advised and not self.has_advice_source:
            return Refusal(
                reason="there is no service to ask where it may run",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        rooms = list(self.worker_capacities(queue.service))
        if rooms and any(
            _most_at_once(step, rooms) < (step.count if step.gang else 1)
            for step in spec.steps
        ):
            return Refusal(
                reason="a task or a gang does not fit on the workers",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        return _too_late(state, queue, spec, rooms)


def _most_at_once(step: jobs.Step, rooms: Iterable[common.Resources]) -> int:
    """Returns how many tasks of a step fit on empty workers."""
    need = step.need
    counts = (
        min(
            (
                has // wanted
                for has, wanted in (
                    (room.millicores, need.millicores),
                    (room.memory_mb, need.memory_mb),
                    (room.accelerators, need.accelerators),
                )
                if wanted
            ),
            default=step.count,
        )
        for room in rooms
    )
    if step.max_per_worker:
        counts = (min(count, step.max_per_worker) for count in counts)
    return sum(counts)


def _too_late(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    spec: jobs.JobSpec,
    rooms: list[common.Resources],
) -> Refusal | None:
    if not rooms or spec.repeats or any(step.lasting for step in spec.steps):
        return None
    wait_ms = expected_wait_ms(state, queue, rooms)
    goal_ms = queue.slack * _usual_chain_ms(state, queue, spec)
    goal_ms += queue.target_ms
    if wait_ms <= USEFUL_GOALS * goal_ms:
        return None
    until_useful_ms = wait_ms - goal_ms
    spread = 1 + RETRY_SPREAD * random.random()
    return Refusal(
        reason="it would end too late to be useful",
        retry_after_ms=int(until_useful_ms * spread),
        wait_ms=int(wait_ms),
    )


def _usual_chain_ms(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    spec: jobs.JobSpec,
) -> float:
    """Returns the declared chain of a job, or of its queue if that is longer.

    A single declared time may be far too short; the mean of a queue is not.
    """
    chains = [
        ready_tasks.critical_path_ms(job.spec.steps, range(len(job.spec.steps)))
        for job in state.jobs.values()
        if job.queue.name == queue.name and job.active()
    ]
    own = ready_tasks.critical_path_ms(spec.steps, range(len(spec.steps)))
    return max(own, statistics.fmean(chains) if chains else 0.0)


def expected_wait_ms(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    rooms: Iterable[common.Resources],
) -> float:
    """Returns how long the work ahead of a new job takes at least.

    As if nothing else needed the workers: a job is refused only if it is
    certain to end too late.
    """
    ahead = sum(
        ready_tasks.left_work(job)
        for job in state.jobs.values()
        if job.queue.service == queue.service
        and job.queue.priority <= queue.priority
        and job.active()
        and not job.spec.repeats
        and not any(step.lasting for step in job.spec.steps)
    )
    return ahead / max(1, sum(room.millicores for room in rooms))
