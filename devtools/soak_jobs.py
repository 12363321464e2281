"""Jobs of the soak test, and the specification that the workers carry out.

The specification of a job states the CPU, memory and duration of its tasks. It
may add a trouble of one task:

    500 100 300 crash 0.2 25    task 2 of step 0 crashes its worker after 25 ms
    500 100 300 fail 1.0 25     task 0 of step 1 fails each time, after 25 ms
"""

import dataclasses
import math
import random
from typing import Any
from typing import Final

CRASH: Final = "crash"
FAIL: Final = "fail"
# Probability that a job has a task with one of these troubles.
TROUBLE_PROBABILITY: Final = {CRASH: 0.05, FAIL: 0.05}
MAX_TROUBLE_MS: Final = 300
# Probability that a job has tasks that only a grown worker can run.
LARGE_PROBABILITY: Final = 0.05
LARGE_MILLICORES: Final = (8100, 9000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskSpec:
    """What a worker has to do for a task.

    Attributes:
        millicores: Reserved CPU.
        memory_mb: Reserved memory.
        run_s: Duration in s; infinity for a task that lasts.
        trouble: `CRASH` or `FAIL` for a task with a trouble, otherwise empty.
    """

    millicores: int
    memory_mb: int
    run_s: float
    trouble: str = ""


def parse_spec(spec: str, task: str) -> TaskSpec:
    """Returns what a specification means for a task.

    Args:
        spec: Specification of the job.
        task: Name of the task.
    """
    millicores, memory_mb, run_ms, *trouble = spec.split()
    run_s = int(run_ms) / 1000 or math.inf
    kind = ""
    if trouble and task.split(".", 2)[2] == trouble[1]:
        kind, run_s = trouble[0], int(trouble[2]) / 1000
    return TaskSpec(
        millicores=int(millicores),
        memory_mb=int(memory_mb),
        run_s=run_s,
        trouble=kind,
    )


def random_job(rng: random.Random) -> dict[str, Any]:
    """Returns the body of a job with one to three steps."""
    millicores = rng.randint(300, 2500)
    run_ms = rng.randint(30, 900)
    steps: list[dict[str, Any]] = [
        {
            "count": rng.randint(1, 5),
            "cpu": millicores,
            "memMb": 100,
            "estimateMs": run_ms,
        }
        for _ in range(rng.randint(1, 3))
    ]
    for number in range(1, len(steps)):
        steps[number]["after"] = [number - 1]
    return {"spec": f"{millicores} 100 {run_ms}", "phases": steps}


def lasting_job(rng: random.Random) -> dict[str, Any]:
    """Returns the body of a job that lasts until it is cancelled."""
    step = {
        "count": rng.randint(1, 3),
        "cpu": 300,
        "memMb": 100,
        "estimateMs": 500,
        "longRunning": True,
    }
    return {"spec": "300 100 0", "phases": [step]}


def large_job(rng: random.Random) -> dict[str, Any]:
    """Returns the body of a job that only a grown worker can run."""
    millicores = rng.randint(*LARGE_MILLICORES)
    step = {
        "count": 1,
        "cpu": millicores,
        "memMb": 100,
        "estimateMs": 200,
    }
    return {"spec": f"{millicores} 100 200", "phases": [step]}


def add_trouble(rng: random.Random, body: dict[str, Any], kind: str) -> None:
    """Gives one task of a job a trouble.

    Args:
        rng: Random generator.
        body: Body of a job with a finite duration.
        kind: `CRASH` or `FAIL`.
    """
    step = rng.randrange(len(body["phases"]))
    index = rng.randrange(body["phases"][step]["count"])
    after_ms = rng.randint(1, MAX_TROUBLE_MS)
    body["spec"] += f" {kind} {step}.{index} {after_ms}"
