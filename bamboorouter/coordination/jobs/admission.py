"""Decides whether a job is accepted.

A job is refused, before anything of it is done, if a task of it fits on no
worker of its service even when that worker is empty, or if so much work of
equal or higher priority is ahead of it that it would end later than its caller
can use it. The second answers a flood of jobs that grows without bound: what is
accepted is still worth something when it ends, and callers of the rest learn at
once when there will be room.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
from typing import Final

from bamboorouter.coordination.jobs import ready_tasks
from bamboorouter.protocol import common
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
        rooms: Returns what each known worker of a service has when empty.
    """

    def __init__(
        self, *, rooms: Callable[[str], Iterable[common.Resources]]
    ) -> None:
        self.rooms = rooms

    def judge(
        self,
        state: stepped_jobs.SteppedJobs,
        queue: jobs.QueueSettings,
        spec: jobs.JobSpec,
    ) -> Refusal | None:
        """Returns why a job is refused; None if it is accepted."""
        unsupported = next(
            (name for name, used in _unsupported(spec).items() if used), None
        )
        if unsupported is not None:
            return Refusal(
                reason=f"{unsupported} is not supported",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        rooms = list(self.rooms(queue.service))
        if rooms and any(
            not any(stepped_jobs.fits(step.need, room) for room in rooms)
            for step in spec.steps
        ):
            return Refusal(
                reason="a task fits on no worker",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        return _too_late(state, queue, spec, rooms)


def _too_late(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    spec: jobs.JobSpec,
    rooms: list[common.Resources],
) -> Refusal | None:
    if not rooms or spec.repeats or any(step.lasting for step in spec.steps):
        return None
    goal_ms = (
        queue.slack * ready_tasks.chain_ms(spec.steps, range(len(spec.steps)))
        + queue.target_ms
    )
    wait_ms = expected_wait_ms(state, queue, rooms)
    if wait_ms <= USEFUL_GOALS * goal_ms:
        return None
    until_useful_ms = wait_ms - goal_ms
    spread = 1 + RETRY_SPREAD * random.random()
    return Refusal(
        reason="it would end too late to be useful",
        retry_after_ms=int(until_useful_ms * spread),
        wait_ms=int(wait_ms),
    )


def expected_wait_ms(
    state: stepped_jobs.SteppedJobs,
    queue: jobs.QueueSettings,
    rooms: Iterable[common.Resources],
) -> float:
    """Returns how long the work ahead of a new job takes.

    Tasks that last are no work ahead; they take what they reserve.
    """
    ahead = 0
    lasting = 0
    for job in state.jobs.values():
        same = job.queue.service == queue.service
        if not same or not job.active():
            continue
        if any(step.lasting for step in job.spec.steps):
            lasting += sum(
                step.count * step.need.millicores for step in job.spec.steps
            )
        elif job.queue.priority <= queue.priority and not job.spec.repeats:
            ahead += ready_tasks.left_work(job)
    free = sum(room.millicores for room in rooms) - lasting
    # However much is reserved, tasks that fill get what the others leave.
    least = sum(room.millicores for room in rooms) // 4
    return ahead / max(1, free, least)


def _unsupported(spec: jobs.JobSpec) -> dict[str, bool]:
    """Returns which features of a job can't be kept yet."""
    return {"a gang": any(step.gang for step in spec.steps)}
