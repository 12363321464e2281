"""The order in which jobs with steps get free room.

Answers this load: more work waits than fits for many seconds. The queue's
priority goes first. Within a priority, jobs that can still meet their goal go
by the latest time at which their rest must start; jobs that can't any more
follow in order of acceptance, so that they aren't starved by each other.
"""

import dataclasses


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
    """

    sequence: int
    priority: int
    accepted_ms: int
    chain_ms: int
    left_ms: int
    slack: float
    target_ms: int

    def latest_start_ms(self) -> float:
        """Returns when the rest must start for the job to meet its goal."""
        goal_ms = self.slack * self.chain_ms + self.target_ms
        return self.accepted_ms + goal_ms - self.left_ms


def order_key(job: WaitingJob, now_ms: int) -> tuple[int, bool, float]:
    """Returns the key by which waiting jobs are sorted."""
    latest = job.latest_start_ms()
    late = latest < now_ms
    return job.priority, late, job.sequence if late else latest
