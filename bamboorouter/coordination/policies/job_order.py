"""The order in which jobs with steps get free room.

Answers this load: more work waits than fits for many seconds. The queue's
priority goes first. Within a priority, jobs that can still meet their goal go
before those that can't any more; both go by what they are worth for the work
that is still to be done. By deadline all of them would become late together;
this way the room that there is finishes what has been begun.
"""

import dataclasses
from typing import Final

# Work that a job is worth whatever its size: a second on ten processors.
FIXED_WORK: Final = 10_000 * 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingJob:
    """A job with ready tasks.

    Attributes:
        sequence: Place in the order of acceptance.
        priority: Priority of its queue; 0 goes first.
        accepted_ms: When it was accepted.
        chain_ms: Declared time of its longest chain of steps.
        left_ms: Declared time of the longest chain that is still to be done.
        slack: Time it may take, as a multiple of its longest chain.
        target_ms: Time it may take in addition.
        work: Declared processor time of all its tasks, in thousandths of a
            processor times ms.
        left_work: The part of it that is still to be done.
    """

    sequence: int
    priority: int
    accepted_ms: int
    chain_ms: int
    left_ms: int
    slack: float
    target_ms: int
    work: int
    left_work: int

    def latest_start_ms(self) -> float:
        """Returns when the rest must start for the job to meet its goal."""
        goal_ms = self.slack * self.chain_ms + self.target_ms
        return self.accepted_ms + goal_ms - self.left_ms

    def density(self) -> float:
        """Returns its worth for each unit of work that is left.

        A part of a job's worth doesn't depend on its size.
        """
        worth = FIXED_WORK + self.work
        return worth / max(1, self.left_work)


def order_key(job: WaitingJob, now_ms: int) -> tuple[int, bool, float]:
    """Returns the key by which waiting jobs are sorted."""
    latest = job.latest_start_ms()
    late = latest < now_ms
    return job.priority, late, -job.density()
