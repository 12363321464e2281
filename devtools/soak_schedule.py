"""Generates the random fault schedule of a soak test from a seed.

Faults may overlap. At most one of the three control replicas is faulty at a
time, since the group tolerates the loss of one. All of them may still be killed
at the same time, which keeps their data folders.

A schedule may also contain series: faults that follow each other on one machine
within seconds, for example a kill of its agent and the loss of the new agent's
connections to the worker.

Besides, workers may shrink, grow or leave while other faults affect them.
"""

import dataclasses
import math
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

# Mean time between two series (exponential distribution).
SERIES_INTERVAL_S: Final = 2.0
SERIES_KINDS: Final = ("restart", "cut_off", "late", "crash", "herd", "sleep")
LINK_KINDS: Final = ("reset", "cut", "cut_in", "cut_out", "delay")
# Probability that a fault of a control replica overlaps a series.
CONTROL_PROBABILITY: Final = 0.4
# Mean time between two freezes, in a schedule with freezes.
FREEZE_INTERVAL_S: Final = 0.7
# Mean time between two changes of the capacity or the presence of a worker.
CHANGE_INTERVAL_S: Final = 2.5
# Shares of the full capacity, by kind of fault.
CAPACITY_SHARES: Final = {
    "shrink_far": 0.1,
    "shrink": 0.3,
    "grow": 2.0,
}
# A stopped process is started again after a quarter of this time.
RESTART_S: Final = 0.1


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
    series: bool = False,
    capacity: bool = False,
    leave: bool = False,
    freezes: bool = False,
) -> list[Fault]:
    """Returns the faults of a soak, in order of time.

    Args:
        seed: Seed of the random choices.
        seconds: Time in s after which no fault starts.
        controls: Number of control replicas.
        entries: Number of entries.
        workers: Number of workers, each with an agent.
        series: Whether to add series of faults.
        capacity: Whether workers shrink and grow.
        leave: Whether workers drain and leave.
        freezes: Whether agents and entries freeze more often than anything else
            happens.
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
    if series:
        # The other faults don't depend on whether there are series.
        series_rng = random.Random(f"series {seed}")
        _add_series(series_rng, faults, seconds, controls, workers)
    if capacity:
        _add_changes(
            random.Random(f"capacity {seed}"), faults, seconds, workers
        )
    if leave:
        leave_rng = random.Random(f"leave {seed}")
        now = QUIET_START_S
        while (
            now := now + leave_rng.expovariate(1 / CHANGE_INTERVAL_S)
        ) < seconds:
            faults.append(
                Fault(
                    at_s=now,
                    target=f"worker-{leave_rng.randint(1, workers)}",
                    kind="leave",
                    for_s=leave_rng.uniform(2.5, 6.0),
                )
            )
    if freezes:
        _add_freezes(
            random.Random(f"freezes {seed}"), faults, seconds, entries, workers
        )
    faults.sort(key=lambda fault: fault.at_s)
    return faults


def _add_freezes(
    rng: random.Random,
    faults: list[Fault],
    seconds: float,
    entries: int,
    workers: int,
) -> None:
    """Adds freezes, mostly of agents; some outlast the leases of the runs."""
    targets = [
        *(f"entry-{number}" for number in range(1, entries + 1)),
        *(f"agent-{number}" for number in range(1, workers + 1)),
    ]
    now = QUIET_START_S
    while (now := now + rng.expovariate(1 / FREEZE_INTERVAL_S)) < seconds:
        faults.append(
            Fault(
                at_s=now,
                target=rng.choice(targets),
                kind="freeze",
                for_s=rng.uniform(0.3, 11.0),
            )
        )


def _add_changes(
    rng: random.Random, faults: list[Fault], seconds: float, workers: int
) -> None:
    """Adds changes of the capacity, half of them beside a fault of the agent.

    Some workers shrink and grow several times in a row. The first worker that
    grows stays so, since large jobs need one.
    """
    faults.append(
        Fault(
            at_s=QUIET_START_S,
            target=f"worker-{rng.randint(1, workers)}",
            kind="grow",
            for_s=math.inf,
        )
    )
    now = QUIET_START_S
    while (now := now + rng.expovariate(1 / CHANGE_INTERVAL_S)) < seconds:
        number = rng.randint(1, workers)
        start_s = now
        for _ in range(rng.randint(1, 3)):
            for_s = rng.uniform(0.5, 6.0)
            faults.append(
                Fault(
                    at_s=start_s,
                    target=f"worker-{number}",
                    kind=rng.choice(list(CAPACITY_SHARES)),
                    for_s=for_s,
                )
            )
            start_s += for_s + rng.uniform(0.0, 2.0)
        if rng.random() < 0.5:
            faults.append(
                _restart(
                    rng.choice(("agent", "worker")),
                    number,
                    at_s=now + rng.uniform(-0.5, 1.0),
                )
            )


def _restart(role: str, number: int, *, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        target=f"{role}-{number}",
        kind="kill" if role == "agent" else "crash",
        for_s=RESTART_S,
    )


def _add_series(
    rng: random.Random,
    faults: list[Fault],
    seconds: float,
    controls: int,
    workers: int,
) -> None:
    now = QUIET_START_S
    while (now := now + rng.expovariate(1 / SERIES_INTERVAL_S)) < seconds:
        kind = rng.choice(SERIES_KINDS)
        size = max(2, workers // 2) if kind in ("herd", "late") else 1
        for number in rng.sample(range(1, workers + 1), min(size, workers)):
            faults += _series(rng, kind, now, number)
        end_s = max(fault.end_s() for fault in faults if fault.at_s >= now)
        if rng.random() < CONTROL_PROBABILITY:
            fault = Fault(
                at_s=rng.uniform(now, min(end_s, now + 3.0)),
                target=f"control-{rng.randint(1, controls)}",
                kind=rng.choice(("kill", "freeze", "reset")),
                for_s=rng.uniform(0.3, 4.0),
            )
            if not any(_conflict(fault, other) for other in faults):
                faults.append(fault)


def _series(
    rng: random.Random, kind: str, start_s: float, number: int
) -> list[Fault]:
    """Returns the faults of a series on one machine."""
    agent, worker = f"agent-{number}", f"worker-{number}"

    def fault(
        kind: str, target: str, after_s: float, for_s: float = RESTART_S
    ) -> Fault:
        return Fault(
            at_s=start_s + after_s, target=target, kind=kind, for_s=for_s
        )

    # A new process takes about 1 s until its first poll of the worker.
    links = [
        fault(
            rng.choice(LINK_KINDS),
            worker,
            rng.uniform(0.2, 3.0),
            rng.uniform(0.2, 4.0),
        )
        for _ in range(rng.randint(1, 3))
    ]
    restart = fault("kill", agent, 0.0)
    late = fault("late", worker, 0.0, rng.uniform(1.0, 5.0))
    crashes = [
        fault("crash", worker, rng.uniform(0.0, 2.0))
        for _ in range(rng.randint(1, 2))
    ]
    sleep = fault(
        "freeze", agent, rng.uniform(0.5, 2.0), rng.uniform(3.0, 11.0)
    )
    return {
        "restart": [restart, *links],
        "cut_off": [
            fault("restart_then_cut", agent, 0.0, rng.uniform(0.5, 8.0))
        ],
        "late": [late, *rng.choice(([], links, [restart], crashes))],
        "crash": [*crashes, *rng.choice(([restart], links, [late]))],
        "herd": [restart, links[0]],
        "sleep": [sleep, *rng.choice(([], links, [late]))],
    }[kind]


def _conflict(fault: Fault, other: Fault) -> bool:
    """Returns whether two faults may affect two control replicas at a time."""
    return (
        other.target.startswith("control")
        and fault.at_s < other.end_s() + CATCH_UP_S
        and other.at_s < fault.end_s() + CATCH_UP_S
    )
