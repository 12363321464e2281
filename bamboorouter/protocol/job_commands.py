"""Commands of the replicated state machine for jobs with steps."""

from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs


class PutConfiguration(base.Wire, frozen=True, kw_only=True, tag=20):
    """Puts a configuration in force if its version is the highest so far."""

    configuration: jobs.Configuration


class AcceptSteps(base.Wire, frozen=True, kw_only=True, tag=21):
    """Accepts a job for a queue; has no effect if the ID is known.

    Attributes:
        job: ID of the job.
        queue: Name of the queue.
        spec: The job.
    """

    job: str
    queue: str
    spec: jobs.JobSpec


class CancelSteps(base.Wire, frozen=True, kw_only=True, tag=22):
    """Cancels a job, so that none of its tasks starts any more."""

    job: str


class StartRuns(base.Wire, frozen=True, kw_only=True, tag=23):
    """Assigns tasks to workers; each run is validated on its own."""

    runs: tuple[jobs.RunStart, ...]


class EndRuns(base.Wire, frozen=True, kw_only=True, tag=24):
    """Records ends of runs; ends of earlier attempts have no effect."""

    ends: tuple[jobs.RunEnd, ...]


class NoteCheckpoints(base.Wire, frozen=True, kw_only=True, tag=27):
    """Records progress, so that it survives the worker and the leader."""

    checkpoints: tuple[jobs.Checkpoint, ...]


class NoteDisturbances(base.Wire, frozen=True, kw_only=True, tag=28):
    """Records learned interference, so that it survives the leader."""

    disturbances: tuple[jobs.Disturbance, ...]


class IncarnationEnd(base.Wire, frozen=True, kw_only=True):
    """How an incarnation of a worker ended.

    Attributes:
        life: ID of the incarnation; empty if none ended.
        how: "crashed" if it neither drained nor announced its end, "left" if it
            did, "unknown" if nobody knows.
        silent_ms: Time in ms for which it hadn't answered when its end was
            reported; 0 if unknown.
    """

    life: str = ""
    how: Literal["crashed", "left", "unknown"] = "unknown"
    silent_ms: int = 0


class OpenSession(base.Wire, frozen=True, kw_only=True, tag=25):
    """Opens a session of an agent with one incarnation of its worker.

    All runs on earlier incarnations of the worker end as lost.

    Attributes:
        worker: Name of the worker.
        life: ID of the worker's incarnation.
        room: Capacity of the worker in this incarnation.
        fenced: Whether orders for earlier incarnations are fenced off and
            can't be carried out any more. If not, the session isn't opened
            while runs are assigned to an earlier incarnation.
    """

    worker: str
    life: str
    room: common.Resources
    fenced: bool = True


class ForgetSteps(base.Wire, frozen=True, kw_only=True, tag=26):
    """Removes ended jobs whose state is no longer needed.

    Attributes:
        jobs: IDs of the jobs.
    """

    jobs: tuple[str, ...]
