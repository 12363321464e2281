"""Which fault comes when in a soak; the same seed gives the same schedule.

Faults come in series and overlap. Of the three control replicas one at a time
is disturbed, which is what they tolerate, but all of them may be killed at the
same moment: their folders stay.
"""

import dataclasses
import random
from typing import Final

# Pause between two faults, on average.
MEAN_GAP_S: Final = 0.7
# Calm at the beginning, in which the group forms.
FIRST_S: Final = 2.0
# A replica that comes back takes this long to catch up.
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
    """One fault.

    Attributes:
        at_s: When it begins, in s from the first request.
        target: Name of the process or worker that it hits.
        kind: What happens to it.
        for_s: How long it lasts.
    """

    at_s: float
    target: str
    kind: str
    for_s: float

    def end_s(self) -> float:
        """Returns when it is over."""
        return self.at_s + self.for_s

    def __str__(self) -> str:
        """Returns the fault in words."""
        return f"{self.at_s:.2f} s {self.kind} {self.target} {self.for_s:.2f} s"


def schedule(
    seed: int,
    *,
    seconds: float,
    controls: int,
    entries: int,
    workers: int,
) -> list[Fault]:
    """Returns the faults of a soak, in order."""
    draws = random.Random(seed)
    faults: list[Fault] = []
    control_free_s = FIRST_S
    now = FIRST_S
    while (now := now + draws.expovariate(1 / MEAN_GAP_S)) < seconds:
        role = draws.choice(("control", "entry", "agent", "worker"))
        for_s = draws.uniform(0.3, 4.0)
        if role == "control":
            if now < control_free_s:
                continue
            kind = draws.choice(CONTROL_KINDS)
            number = draws.randint(1, controls)
            control_free_s = now + for_s + CATCH_UP_S
        elif role == "entry":
            kind = draws.choice(ENTRY_KINDS)
            number = draws.randint(1, entries)
        else:
            kinds = AGENT_KINDS if role == "agent" else WORKER_KINDS
            kind = draws.choice(kinds)
            number = draws.randint(1, workers)
        faults.append(
            Fault(at_s=now, target=f"{role}-{number}", kind=kind, for_s=for_s)
        )
    return faults
