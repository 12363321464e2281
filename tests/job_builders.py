"""Builds jobs, configurations and workers for tests of jobs with steps."""

from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records
from bamboorouter.state import stepped_jobs

CAPACITY = common.Resources(millicores=64_000, memory_mb=250_000)


def need(millicores: int = 1000, memory_mb: int = 1000) -> common.Resources:
    """Returns the resources that a task needs."""
    return common.Resources(millicores=millicores, memory_mb=memory_mb)


def step(count: int = 1, **fields: object) -> jobs.Step:
    """Returns a step of `count` tasks of 1 s, changed by `fields`."""
    values = {"need": need(), "estimate_ms": 1000, **fields}
    return jobs.Step(count=count, **values)  # type: ignore[arg-type]


def queue(**fields: object) -> jobs.QueueSettings:
    """Returns a queue with two attempts per task, changed by `fields`."""
    values = {
        "name": "forms",
        "host": "desk.example",
        "prefix": "/forms/",
        "service": "desk",
        "max_attempts": 2,
        "slack": 2.0,
        "target_ms": 250,
        "timeout_ms": 3000,
        **fields,
    }
    return jobs.QueueSettings(**values)  # type: ignore[arg-type]


def configuration(
    version: int = 1, *queues: jobs.QueueSettings
) -> jobs.Configuration:
    """Returns a configuration of one service; by default with one queue."""
    return jobs.Configuration(
        version=version,
        queues=queues or (queue(),),
        services=(jobs.ServiceSettings(name="desk"),),
        document=f"version {version}".encode(),
    )


def ref(
    job: str = "a", *, occurrence: int = 0, step: int = 0, index: int = 0
) -> jobs.TaskRef:
    """Returns the reference of a task."""
    return jobs.TaskRef(job=job, occurrence=occurrence, step=step, index=index)


class Jobs:
    """The replicated state of jobs, changed by commands.

    Attributes:
        state: The state, which starts with a configuration.
    """

    def __init__(self) -> None:
        self.state = stepped_jobs.SteppedJobs()
        self.state.put_configuration(
            job_commands.PutConfiguration(configuration=configuration())
        )

    def accept(self, job: str, *steps: jobs.Step, now_ms: int = 0) -> None:
        """Accepts a job; without `steps`, one with a single task."""
        self.state.accept(
            job_commands.AcceptSteps(
                job=job,
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=steps or (step(),)),
            ),
            now_ms,
        )

    def open_session(
        self,
        worker: str = "w1",
        incarnation: str = "w1@1",
        capacity: common.Resources = CAPACITY,
    ) -> int:
        """Opens a session of a worker incarnation; returns its number."""
        result = self.state.open_session(
            job_commands.OpenSession(
                worker=worker, life=incarnation, room=capacity
            )
        )
        return int(result.data["session"])

    def task(self, task: jobs.TaskRef) -> job_records.Task:
        """Returns the record of a task, which must exist."""
        found = self.state.task(task)
        assert found is not None
        return found

    def start(
        self,
        task: jobs.TaskRef,
        *,
        attempt: int = 1,
        worker: str = "w1",
        incarnation: str = "w1@1",
    ) -> bool:
        """Assigns a task; returns whether the state accepted the assignment."""
        result = self.state.start(
            job_commands.StartRuns(
                runs=(
                    jobs.RunStart(
                        task=task,
                        worker=worker,
                        life=incarnation,
                        attempt=attempt,
                    ),
                )
            )
        )
        return not result.data["refused"]

    def end(
        self,
        task: jobs.TaskRef,
        outcome: jobs.RunOutcome,
        *,
        attempt: int = 1,
        checkpoint: str = "",
    ) -> int:
        """Ends a run; returns the number of ends that changed the state."""
        result = self.state.end(
            job_commands.EndRuns(
                ends=(
                    jobs.RunEnd(
                        task=task,
                        attempt=attempt,
                        how=outcome,
                        checkpoint=checkpoint,
                    ),
                )
            )
        )
        return int(result.data["changed"])


def worker_capacity(
    name: str = "w1", **fields: object
) -> run_placement.WorkerCapacity:
    """Returns the capacity of a worker, changed by `fields`."""
    values = {
        "name": name,
        "incarnation": f"{name}@1",
        "service": "desk",
        "labels": frozenset({"a"}),
        "rack": "r1",
        "millicores": 64_000,
        "memory_mb": 250_000,
        "accelerators": 0,
        **fields,
    }
    return run_placement.WorkerCapacity(**values)  # type: ignore[arg-type]


def ready(
    task: jobs.TaskRef | None = None,
    *,
    of: jobs.Step | None = None,
    tasks_by_worker: dict[str, int] | None = None,
    **fields: object,
) -> run_placement.ReadyTask:
    """Returns a task that is ready to run.

    Args:
        task: Reference of the task.
        of: Step of the task.
        tasks_by_worker: Number of tasks of the same step on each worker.
        **fields: Other fields of the task.
    """
    values = {
        "ref": task or ref(),
        "attempt": 1,
        "step": of or step(),
        "service": "desk",
        "failed_on": frozenset(),
        "tasks_by_worker": {} if tasks_by_worker is None else tasks_by_worker,
        **fields,
    }
    return run_placement.ReadyTask(**values)  # type: ignore[arg-type]
