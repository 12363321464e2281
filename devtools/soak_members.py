"""Schedules losses of control replicas in a soak test.

Each loss stops counting before the next one begins, so that never more disks
are lost at a time than the group tolerates, which is one. A replica that is
replaced counts as lost until `COUNTS_S` after its successor has started. The
final fault follows the last loss: one replica loses its folder, and all
processes are killed at the same moment and start again within a second.
"""

from collections.abc import Iterator
import random
from typing import Final

from devtools import soak_schedule

FIRST_S: Final = 4.0
SUCCESSOR_AFTER_S: Final = 1.0
# A replica that leaves as planned stops this long after the start of its
# successor.
OVERLAP_S: Final = 2.0
COUNTS_S: Final = 4.0
# Time between the start of a successor and the next loss.
NEXT_LOSS_S: Final = (4.2, 5.5)
REPLACEMENTS: Final = 6
# Time between the start of a freeze and the final fault.
FROZEN_S: Final = (0.3, 2.5)
# Time in which jobs are submitted after the final fault.
LOAD_AFTER_S: Final = 5.0
# Limit for reading back what was acknowledged.
RECOVERY_S: Final = 12.0

REPLACE: Final = "replace"
REPLACE_PLANNED: Final = "replace_planned"
WIPE: Final = "lose_folder"
FINAL: Final = "final"
DISK_LOSSES: Final = (REPLACE, REPLACE_PLANNED, WIPE)
# A freeze or a kill keeps the disk.
MIXED_KINDS: Final = (*DISK_LOSSES, REPLACE, "freeze", "kill")


def schedule(
    seed: int,
    *,
    controls: int,
    seconds: float,
    mixed: bool,
    final: bool,
) -> list[soak_schedule.Fault]:
    """Returns the losses of control replicas, in order of time.

    Args:
        seed: Seed of the random choices.
        controls: Number of control replicas.
        seconds: Time in s after which no loss starts, if they are mixed.
        mixed: Whether to mix kinds of losses; otherwise `REPLACEMENTS` replicas
            are replaced as close to each other as is allowed.
        final: Whether to end with the final fault. In a group of four or more
            it follows a freeze of another replica.
    """
    rng = random.Random(f"members {seed}")
    faults: list[soak_schedule.Fault] = []
    now = FIRST_S
    targets = _targets(rng, controls)
    while now < seconds if mixed else len(faults) < REPLACEMENTS:
        kind = rng.choice(MIXED_KINDS) if mixed else REPLACE
        fault = soak_schedule.Fault(
            at_s=now,
            target=next(targets),
            kind=kind,
            for_s=rng.uniform(0.3, 4.0)
            if kind in ("freeze", "kill")
            else SUCCESSOR_AFTER_S,
        )
        faults.append(fault)
        now = restarted_s(fault) + rng.uniform(*NEXT_LOSS_S)
    if final:
        frozen, lost = rng.sample(range(1, controls + 1), 2)
        if controls > 3:
            faults.append(
                soak_schedule.Fault(
                    at_s=now,
                    target=f"control-{frozen}",
                    kind="freeze",
                    for_s=FROZEN_S[1] + 1.0,
                )
            )
            now += rng.uniform(*FROZEN_S)
        faults.append(
            soak_schedule.Fault(
                at_s=now, target=f"control-{lost}", kind=FINAL, for_s=1.0
            )
        )
    return faults


def merge(
    losses: list[soak_schedule.Fault], others: list[soak_schedule.Fault]
) -> list[soak_schedule.Fault]:
    """Returns losses and the other faults, except for those that exceed them.

    Other faults of control replicas are left out, and so are those of entries
    and agents that last until the final fault.
    """
    final_s = next(
        (fault.at_s for fault in losses if fault.kind == FINAL), float("inf")
    )
    kept = [
        fault
        for fault in others
        if not fault.target.startswith("control")
        and (
            fault.end_s() < final_s
            or fault.kind in soak_schedule.CAPACITY_SHARES
        )
    ]
    return sorted((*losses, *kept), key=lambda fault: fault.at_s)


def _targets(rng: random.Random, controls: int) -> Iterator[str]:
    """Yields replicas; each one once before any of them again."""
    while True:
        order = rng.sample(range(1, controls + 1), controls)
        yield from (f"control-{number}" for number in order)


def restarted_s(fault: soak_schedule.Fault) -> float:
    """Returns when the successor or the process of a lost replica runs."""
    if fault.kind == REPLACE_PLANNED:
        return fault.at_s + OVERLAP_S
    if fault.kind == WIPE:
        return fault.at_s + fault.for_s / 4
    return fault.end_s()
