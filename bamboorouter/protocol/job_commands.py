"""Commands of the replicated state machine for jobs with steps."""

from typing import Any
from typing import Literal

from bamboorouter.protocol import base
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs


class PutConfiguration(base.Wire, frozen=True, kw_only=True, tag=20):
    """Puts a configuration in force if its version is the highest so far."""

    configuration: jobs.Configuration


class AcceptSteps(base.Wire, frozen=True, kw_only=True, tag=21):
    """Accepts a job for a queue; refused if another queue has its ID.

    Has no effect if the job is known.

    Attributes:
        job: ID of the job.
        queue: Name of the queue. Replicas of earlier versions find the queue
            by it.
        spec: The job.
        key: Host and prefix of the queue; None from leaders of earlier
            versions.
    """

    job: str
    queue: str
    spec: jobs.JobSpec
    key: jobs.QueueKey | None = None


class CancelSteps(base.Wire, frozen=True, kw_only=True, tag=22):
    """Cancels a job, so that none of its tasks starts any more.

    Attributes:
        job: ID of the job.
        withdraw: Whether the ID of an unknown job is recorded, so that the job
            is refused if it is submitted later; False from leaders of earlier
            versions.
        key: Host and prefix of the queue; a job of another queue isn't known.
            None from leaders of earlier versions, for any queue.
    """

    job: str
    withdraw: bool = False
    key: jobs.QueueKey | None = None


class StartRuns(base.Wire, frozen=True, kw_only=True, tag=23):
    """Assigns tasks to workers; each run is validated on its own.

    Attributes:
        runs: The assignments.
        at_ms: Wall time of the leader in ms since the epoch; 0 from leaders of
            earlier versions.
    """

    runs: tuple[jobs.RunStart, ...]
    at_ms: int = 0


class EndRuns(base.Wire, frozen=True, kw_only=True, tag=24):
    """Records ends of runs.

    Attributes:
        ends: The ends. An end of an earlier attempt has an effect only if that
            attempt is recorded as given up.
        tracked: Whether runs that are given up are recorded; False from leaders
            of earlier versions.
    """

    ends: tuple[jobs.RunEnd, ...]
    tracked: bool = False


class NoteCheckpoints(base.Wire, frozen=True, kw_only=True, tag=27):
    """Records what agents report, so that it survives the worker and leader.

    Attributes:
        checkpoints: Checkpoints of runs that are still in progress.
        cleared: Runs that have gone on for longer than those of the task under
            which workers crashed; these crashes don't count any more.
        unused: Ignored; an unreleased version recorded other data here.
        begun: IDs of jobs of which a worker has begun a task; empty from leaders
            of earlier versions.
    """

    checkpoints: tuple[jobs.Checkpoint, ...]
    cleared: tuple[jobs.RunId, ...] = ()
    unused: tuple[Any, ...] = ()
    begun: tuple[str, ...] = ()


class NoteDisturbances(base.Wire, frozen=True, kw_only=True, tag=28):
    """Records learned interference, so that it survives the leader."""

    disturbances: tuple[jobs.Disturbance, ...]


class IncarnationEnd(base.Wire, frozen=True, kw_only=True):
    """How an incarnation of a worker ended.

    Attributes:
        life: ID of the incarnation; empty if none ended.
        how: "crashed" if it neither drained nor announced its end, "left" if it
            did, "unknown" if nobody knows.
        over_ms: Wall time of the leader by which it was over, in ms since the
            epoch.
        started: Runs on it whose start the worker has confirmed, as far as
            their ends don't tell.
        dated: Whether `over_ms` is close to the end. If not, the incarnation may
            have ended long before.
    """

    life: str = ""
    how: Literal["crashed", "left", "unknown"] = "unknown"
    over_ms: int = 0
    started: tuple[jobs.RunId, ...] = ()
    dated: bool = True


class OpenSession(base.Wire, frozen=True, kw_only=True, tag=25):
    """Opens a session of an agent with one incarnation of its worker.

    All runs on earlier incarnations of the worker end as lost.

    Attributes:
        worker: Name of the worker.
        life: ID of the worker's incarnation.
        room: Capacity of the worker, up to which it gets runs until its agent
            opens another session.
        fenced: Whether orders for earlier incarnations are fenced off and
            can't be carried out any more. If not, the session isn't opened
            while runs are assigned to an earlier incarnation.
        ended: How the earlier incarnation ended; without an ID from leaders of
            earlier versions, so that its runs aren't recorded.
    """

    worker: str
    life: str
    room: common.Resources
    fenced: bool = True
    ended: IncarnationEnd = IncarnationEnd()


class ForgetSteps(base.Wire, frozen=True, kw_only=True, tag=26):
    """Removes ended and withdrawn jobs whose state is no longer needed.

    Attributes:
        jobs: IDs of the jobs.
    """

    jobs: tuple[str, ...]
