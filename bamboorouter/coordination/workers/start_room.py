"""Checks that a run fits its worker before its start order is sent.

This is the last check. The leader decides on the newest report that it has, but
the worker may have announced a lower capacity since, and the worker itself may
start whatever it is told to.

A run fits if it doesn't exceed the newest announced capacity together with all
other runs that the worker may have: those that it lists, also while they are
being stopped, and those whose start order was sent and may be carried out. Each
counts with what it reserves. Beside a run of unknown size nothing fits; the
leader tells the size with its next reply unless it doesn't know it either.

Runs whose start order wasn't sent don't count. Since a run counts from the
moment of its own check, orders that arrive together are checked one by one.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter.coordination.workers import held_runs
from bamboorouter.protocol import common
from bamboorouter.state import resource_math

UNKNOWN_SIZE: Final = "run of unknown size"
UNKNOWN_CAPACITY: Final = "announcement is too old"


def find_shortage(
    run: held_runs.HeldRun,
    held: Iterable[held_runs.HeldRun],
    capacity: common.Resources,
) -> str:
    """Returns why a run doesn't fit its worker; empty if it does.

    Args:
        run: The run, with its start order.
        held: All runs of the worker.
        capacity: Newest announced capacity of the worker.
    """
    amounts = [
        counted.reserves()
        for counted in held
        if counted is not run and counted.phase != "queued"
    ]
    own = run.reserves()
    known = [amount for amount in amounts if amount is not None]
    if own is None or len(known) < len(amounts):
        return UNKNOWN_SIZE
    free = resource_math.minus(capacity, resource_math.total(known))
    return resource_math.missing(own, free)
