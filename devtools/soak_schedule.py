"""Generates the random fault schedule of a soak test from a seed.

Faults may overlap. At most one of the three control replicas is faulty at a
time, since the group tolerates the loss of one. All of them may still be killed
at the same time, which keeps their data folders.
"""

import dataclasses
import random
from typing import Final

# Mean time between two faults (exponential distribution).
MEAN_INTERVAL_S: Final = 0.7
# No faults before this time, so that the replicas can form a group.
QUIET_START_S: Final = 2.0
# Time for a restarted replica to catch up with the log.
CATCH_UP_S: Final = 3.0

CONTROL_KINDS: Final = (
    "kill",
    "freeze",
    "terminate",
    "reset",
    "cut",
    "cut_in",
    "cut_out",
    "delay",
    "lose_folder",
    "kill_all",
)
ENTRY_KINDS: Final = ("kill", "freeze", "terminate", "reset", "delay", "cut")
AGENT_KINDS: Final = ("kill", "freeze", "terminate")
WORKER_KINDS: Final = ("crash", "reset", "cut", "delay")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A scheduled fault.

    Attributes:
        at_s: Start, in s since the first request.
        target: Name of the affected process or worker.
        kind: One of the kinds for the role of the target.
        for_s: Duration in s; a stopped process is started again after a quarter
            of it.
    """

    at_s: float
    target: str
    kind: str
    for_s: float

    def end_s(self) -> float:
        """Returns the end, in s since the first request."""
        return self.at_s + self.for_s

    def __str__(self) -> str:
        """Returns the line of the fault in the schedule file."""
        return f"{self.at_s:.2f} s {self.kind} {self.target} {self.for_s:.2f} s"


def schedule(
    seed: int,
    *,
    seconds: float,
    controls: int,
    entries: int,
    workers: int,
) -> list[Fault]:
    """Returns the faults of a soak, in order of time.

    Args:
        seed: Seed of the random choices.
        seconds: Time in s after which no fault starts.
        controls: Number of control replicas.
        entries: Number of entries.
        workers: Number of workers, each with an agent.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    next_control_s = QUIET_START_S
    now = QUIET_START_S
    while (now := now + rng.expovariate(1 / MEAN_INTERVAL_S)) < seconds:
        role = rng.choice(("control", "entry", "agent", "worker"))
        for_s = rng.uniform(0.3, 4.0)
        if role == "control":
            if now < next_control_s:
                continue
            kind = rng.choice(CONTROL_KINDS)
            number = rng.randint(1, controls)
            next_control_s = now + for_s + CATCH_UP_S
        elif role == "entry":
            kind = rng.choice(ENTRY_KINDS)
            number = rng.randint(1, entries)
        else:
            kinds = AGENT_KINDS if role == "agent" else WORKER_KINDS
            kind = rng.choice(kinds)
            number = rng.randint(1, workers)
        faults.append(
            Fault(at_s=now, target=f"{role}-{number}", kind=kind, for_s=for_s)
        )
    return faults
