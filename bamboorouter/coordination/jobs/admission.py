"""Decides whether a job is accepted.

A job is refused if a task of it fits on no worker of its service even when
that worker is empty: it could never run, and its caller learns so at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter.protocol import common
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

# New workers may join within this time; sooner a retry meets the same fleet.
NO_WORKER_RETRY_MS: Final = 30_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a job is not accepted.

    Attributes:
        reason: Reason for logs.
        retry_after_ms: When a later attempt has better chances.
    """

    reason: str
    retry_after_ms: int


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
        del state
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
            not any(_fits_empty(step, room) for room in rooms)
            for step in spec.steps
        ):
            return Refusal(
                reason="a task fits on no worker",
                retry_after_ms=NO_WORKER_RETRY_MS,
            )
        return None


def _fits_empty(step: jobs.Step, room: common.Resources) -> bool:
    return stepped_jobs.fits(step.need, room)


def _unsupported(spec: jobs.JobSpec) -> dict[str, bool]:
    """Returns which features of a job can't be kept yet."""
    return {"a gang": any(step.gang for step in spec.steps)}
