"""Determines the order in which the tasks of jobs with steps are placed.

Jobs are sorted by the priority of their queue. Within a priority, jobs that can
still meet their target come before those that can't. Both groups are sorted by
value density: the value of the job divided by its remaining work. When the
waiting work exceeds the capacity for many seconds, earliest deadline first
would make all jobs late together; this order completes jobs that are nearly
finished.
"""

import dataclasses
from typing import Final

# Constant part of a job's value, in millicores times ms: 1 s on ten processors.
BASE_VALUE: Final = 10_000 * 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingJob:
    """A job with ready tasks.

    Attributes:
        sequence: Position in the order of acceptance.
        priority: Priority of the job's queue; 0 is the highest.
        accepted_ms: Time of acceptance, in ms.
        critical_path_ms: Declared time of the critical path, in ms.
        remaining_path_ms: Declared time of the critical path of the remaining
            steps, in ms.
        slack: Allowed time as a multiple of the critical path.
        target_ms: Allowed time in addition, in ms.
        work: Declared processor time of all tasks, in millicores times ms.
        remaining_work: Remaining part of `work`, in millicores times ms.
    """

    sequence: int
    priority: int
    accepted_ms: int
    critical_path_ms: int
    remaining_path_ms: int
    slack: float
    target_ms: int
    work: int
    remaining_work: int

    def latest_start_ms(self) -> float:
        """Returns the latest start in ms at which the job meets its target."""
        allowed_ms = self.slack * self.critical_path_ms + self.target_ms
        return self.accepted_ms + allowed_ms - self.remaining_path_ms

    def density(self) -> float:
        """Returns the job's value per unit of remaining work.

        The value is the job's total work plus a constant.
        """
        value = BASE_VALUE + self.work
        return value / max(1, self.remaining_work)


def order_key(job: WaitingJob, now_ms: int) -> tuple[int, bool, float]:
    """Returns the sort key of a waiting job; the lowest is served first."""
    latest_ms = job.latest_start_ms()
    late = latest_ms < now_ms
    return job.priority, late, -job.density()
