"""Commands of the replicated state machine for jobs with steps."""

from bamboorouter.protocol import base
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs


class PutConfiguration(base.Wire, frozen=True, kw_only=True, tag=20):
    """Puts a configuration in force if its version is the highest."""

    configuration: jobs.Configuration


class AcceptSteps(base.Wire, frozen=True, kw_only=True, tag=21):
    """Accepts a job for a queue; a known ID changes nothing."""

    job: str
    queue: str
    spec: jobs.JobSpec


class CancelSteps(base.Wire, frozen=True, kw_only=True, tag=22):
    """Cancels a job: nothing of it starts any more."""

    job: str


class StartRuns(base.Wire, frozen=True, kw_only=True, tag=23):
    """Assigns tasks to workers; each is checked on its own."""

    runs: tuple[jobs.RunStart, ...]


class EndRuns(base.Wire, frozen=True, kw_only=True, tag=24):
    """Records ends of runs; those that aren't current change nothing."""

    ends: tuple[jobs.RunEnd, ...]


class NoteCheckpoints(base.Wire, frozen=True, kw_only=True, tag=27):
    """Records progress, so that it outlives the worker and the leader."""

    checkpoints: tuple[jobs.Checkpoint, ...]


class NoteDisturbances(base.Wire, frozen=True, kw_only=True, tag=28):
    """Records what was learned about images, so that it outlives the leader."""

    disturbances: tuple[jobs.Disturbance, ...]


class OpenSession(base.Wire, frozen=True, kw_only=True, tag=25):
    """Begins a session of an agent with one life of its worker.

    All runs on earlier lives of the worker are lost.

    Attributes:
        worker: Name of the worker.
        life: The life.
        room: What the worker has in this life.
        fenced: Whether no order for an earlier life can be carried out any
            more; without that, nothing begins while there are such runs.
    """

    worker: str
    life: str
    room: common.Resources
    fenced: bool = True


class ForgetSteps(base.Wire, frozen=True, kw_only=True, tag=26):
    """Removes ended jobs whose state nobody asks for any more."""

    jobs: tuple[str, ...]
