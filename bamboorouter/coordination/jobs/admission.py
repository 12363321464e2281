"""Admission control for jobs.

A job is refused before any of its tasks starts in two cases:

- One of its tasks or gangs doesn't fit on the idle workers of its service. A
  worker counts with the largest capacity that it is known to have had: one
  that has shrunk may grow again, and the job waits for that.
- So much work of equal or higher priority is queued ahead that the job would
  have to wait for more than `MAX_WAIT_FACTOR` times its target time. Its result
  is assumed to be useless by then. Under sustained overload, accepted jobs then
  still complete in useful time, and the callers of refused jobs learn at once
  when to retry.

The target time of a job is its critical path times the slack of its queue, plus
the target of its queue. Lower priority numbers are served first.
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

# New workers may join within this time; an earlier retry is likely to find the
# same workers.
NO_WORKER_RETRY_MS: Final = 30_000
# Workers join and jobs end or are cancelled meanwhile.
MAX_RETRY_AFTER_MS: Final = 600_000
# A critical path that is this many times as long as the median of its queue
# counts as declared wrongly.
MAX_MEDIAN_FACTOR: Final = 100
# Jobs may declare no run time at all.
MIN_MEDIAN_MS: Final = 1000
# Multiple of a job's target time after which its result is no longer useful.
MAX_WAIT_FACTOR: Final = 3
# A retry isn't put off for longer: within this time capacity may grow and work
# may be cancelled.
MAX_RETRY_MS: Final = 60_000
# Up to this share of the excess wait is added at random, so that callers that
# were refused together don't retry together.
RETRY_JITTER: Final = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is not accepted.

    Attributes:
        reason: Reason for the log.
        retry_after_ms: Time in ms after which the caller may retry; 0 if a
            retry can't succeed.
        wait_ms: Expected wait in ms behind queued work; 0 if the job was
            refused for another reason.
    """

    reason: str
    retry_after_ms: int
    wait_ms: int = 0


class Admission:
    """Decides whether a job is accepted.

    Attributes:
        worker_capacities: Returns the capacity of each known worker of a
            service; empty while the workers aren't known.
        largest_capacities: Returns the largest capacity that each of these
            workers is known to have had.
        has_advice_source: Whether an advice service is configured that decides
            where advised steps may run.
    """

    def __init__(
        self,
        *,
        worker_capacities: Callable[[str], Iterable[common.Resources]],
        largest_capacities: (
            Callable[[str], Iterable[common.Resources]] | None
        ) = None,
        has_advice_source: bool = False,
    ) -> None:
        self.worker_capacities = worker_capacities
        self.largest_capacities = largest_capacities or worker_capacities
        self.has_advice_source = has_advice_source

    def check(
        self,
        state: stepped_jobs.SteppedJobs,
        queue: jobs.QueueSettings,
        spec: jobs.JobSpec,
    ) -> Refusal | None:
        """Checks whether a job can be accepted.

        Args:
            state: The replicated jobs.
            queue: Settings of the queue to which the job was submitted.
            spec: The submitted job.

        Returns:
            The refusal, or None if the job is accepted.
        """
        problem = job_limits.find_violation(spec) or job_limits.find_excess(
            spec
        )
        if problem:
            # A retry of an invalid job would be refused as well.
            return Refusal(reason=problem, retry_after_ms=0)
        if queue.advised and not self.has_advice_source:
            return Refusal(
                reason="no advice service is configured for its queue",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        capacities = list(self.worker_capacities(queue.service))
        largest = list(self.largest_capacities(queue.service))
        if largest and any(
            _max_concurrent_tasks(step, largest)
            < (step.count if step.gang else 1)
            for step in spec.steps
        ):
            return Refusal(
                reason="a task or gang does not fit on the idle workers",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        return _check_expected_wait(state, queue, spec, capacities)


def _max_concurrent_tasks(
    step: jobs.Step, capacities: Iterable[common.Resources]
) -> int:
    """Returns how many tasks of a step fit on idle workers at the same time."""
    need = step.need
    counts = (
        min(
            (
                available // needed
                for available, needed in (
                    (capacity.millicores, need.millicores),
                    (capacity.memory_mb, need.memory_mb),
                    (capacity.accelerators, need.accelerators),
                )
                if needed
            ),
            default=step.count,
        )
        for capacity in capacities
    )
    if step.max_per_worker:
        counts = (min(count, step.max_per_worker) for count in counts)
    return sum(counts)


def _check_expected_wait(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    spec: jobs.JobSpec,
    capacities: list[common.Resources],
) -> Refusal | None:
    """Refuses a job that is expected to wait too long for its target time.

    Repeating jobs and jobs whose tasks run until they are cancelled are never
    refused for their expected wait.
    """
    if (
        not capacities
        or spec.repeats
        or any(step.lasting for step in spec.steps)
    ):
        return None
    wait_ms = expected_wait_ms(state, queue, capacities)
    target_ms = queue.slack * _typical_critical_path_ms(state, queue, spec)
    target_ms += queue.target_ms
    if wait_ms <= MAX_WAIT_FACTOR * target_ms:
        return None
    excess_wait_ms = min(wait_ms - target_ms, MAX_RETRY_MS)
    jitter = 1 + RETRY_JITTER * random.random()
    return Refusal(
        reason="it would complete too late to be useful",
        retry_after_ms=min(int(excess_wait_ms * jitter), MAX_RETRY_AFTER_MS),
        wait_ms=int(wait_ms),
    )


def _typical_critical_path_ms(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    spec: jobs.JobSpec,
) -> float:
    """Returns the critical path of a job, at least the mean of its queue.

    Both are sums of declared run times in ms. The declaration of a single job
    may be far too short; the mean of a queue is more reliable.
    """
    queue_paths_ms = [
        ready_tasks.critical_path_ms(job.spec.steps, range(len(job.spec.steps)))
        for job in state.jobs.values()
        if job.queue.key == queue.key and job.active()
    ]
    job_path_ms = ready_tasks.critical_path_ms(
        spec.steps, range(len(spec.steps))
    )
    return max(job_path_ms, _mean_without_outliers(queue_paths_ms))


def _sum_without_outlier(amounts: list[int]) -> int:
    """Returns a sum in which no amount exceeds the sum of all others."""
    largest = max(amounts, default=0)
    others = sum(amounts) - largest
    return others + min(largest, others)


def _mean_without_outliers(amounts: list[int]) -> float:
    """Returns the mean of amounts, each at most a multiple of the median."""
    if not amounts:
        return 0.0
    median = max(statistics.median_low(amounts), MIN_MEDIAN_MS)
    limit = MAX_MEDIAN_FACTOR * median
    return statistics.fmean(min(amount, limit) for amount in amounts)


def expected_wait_ms(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    capacities: Iterable[common.Resources],
) -> float:
    """Returns a lower bound in ms for the wait of a new job.

    The bound assumes that no other work needs the workers, so that a job is
    refused only if it is certain to complete too late. The declaration of one
    job may be far too long; such a job is scheduled after shorter ones and must
    not cause the refusal of all others.
    """
    work_ahead = [
        ready_tasks.remaining_work(job)
        for job in state.jobs.values()
        if job.queue.service == queue.service
        and job.queue.priority <= queue.priority
        and job.active()
        and not job.spec.repeats
        and not any(step.lasting for step in job.spec.steps)
    ]
    return _sum_without_outlier(work_ahead) / max(
        1, sum(capacity.millicores for capacity in capacities)
    )
