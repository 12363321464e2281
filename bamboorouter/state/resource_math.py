"""Arithmetic on reserved resources.

The scheduler, the state machine and the tests share these functions, so that
they compute reservations in the same way.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter.protocol import common

NO_RESOURCES: Final = common.Resources()


def plus(a: common.Resources, b: common.Resources) -> common.Resources:
    """Returns the sum of two amounts."""
    return common.Resources(
        millicores=a.millicores + b.millicores,
        memory_mb=a.memory_mb + b.memory_mb,
        accelerators=a.accelerators + b.accelerators,
        slots=a.slots + b.slots,
    )


def minus(a: common.Resources, b: common.Resources) -> common.Resources:
    """Returns the difference of two amounts; it may be negative."""
    return common.Resources(
        millicores=a.millicores - b.millicores,
        memory_mb=a.memory_mb - b.memory_mb,
        accelerators=a.accelerators - b.accelerators,
        slots=a.slots - b.slots,
    )


def total(amounts: Iterable[common.Resources]) -> common.Resources:
    """Returns the sum of any number of amounts."""
    result = NO_RESOURCES
    for amount in amounts:
        result = plus(result, amount)
    return result


def fits(need: common.Resources, free: common.Resources) -> bool:
    """Whether `need` is at most `free` for every kind of resource."""
    return (
        need.millicores <= free.millicores
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
        and need.slots <= free.slots
    )


def valid_need(need: common.Resources) -> bool:
    """Whether an amount is valid for one task.

    A task must reserve some processor time and exactly one slot; no amount may
    be negative.
    """
    return (
        need.millicores > 0
        and need.memory_mb >= 0
        and need.accelerators >= 0
        and need.slots == 1
    )


def declared(row: common.SheetRow) -> common.Resources:
    """Returns the amount that a row of the sheet declares for each task."""
    return common.Resources(
        millicores=row.millicores,
        memory_mb=row.memory_mb,
        accelerators=row.accelerators,
        slots=1,
    )


def reserved(need: common.Resources, *, fills: bool) -> common.Resources:
    """Returns what a task of a job with steps reserves on a worker.

    Args:
        need: Resources that the task needs.
        fills: Whether it runs on idle processor time of other tasks, so that
            no processors are reserved for it.
    """
    if not fills:
        return need
    return common.Resources(
        memory_mb=need.memory_mb, accelerators=need.accelerators
    )


def missing(need: common.Resources, free: common.Resources) -> str:
    """Names the first resource of which `need` exceeds `free`, if any."""
    pairs = (
        ("processors", need.millicores, free.millicores),
        ("memory", need.memory_mb, free.memory_mb),
        ("accelerators", need.accelerators, free.accelerators),
        ("slots", need.slots, free.slots),
    )
    return next((name for name, needed, left in pairs if needed > left), "")
