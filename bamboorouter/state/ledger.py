"""Arithmetic on reserved resources.

The same functions serve the scheduler, the state machine and tests, so that
all of them count alike.
"""

from collections.abc import Iterable
from typing import Final

from bamboorouter.protocol import common

NOTHING: Final = common.Resources()


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
    result = NOTHING
    for amount in amounts:
        result = plus(result, amount)
    return result


def fits(need: common.Resources, free: common.Resources) -> bool:
    """Whether `need` is at most `free` in every dimension."""
    return (
        need.millicores <= free.millicores
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
        and need.slots <= free.slots
    )


def valid_need(need: common.Resources) -> bool:
    """Whether a task may reserve this amount: one slot, nothing negative."""
    return (
        need.millicores > 0
        and need.memory_mb >= 0
        and need.accelerators >= 0
        and need.slots == 1
    )


def declared(row: common.SheetRow) -> common.Resources:
    """Returns the amount that a row declares for each task."""
    return common.Resources(
        millicores=row.millicores,
        memory_mb=row.memory_mb,
        accelerators=row.accelerators,
        slots=1,
    )


def missing(need: common.Resources, free: common.Resources) -> str:
    """Names the first dimension in which `need` exceeds `free`."""
    pairs = (
        ("processors", need.millicores, free.millicores),
        ("memory", need.memory_mb, free.memory_mb),
        ("accelerators", need.accelerators, free.accelerators),
        ("slots", need.slots, free.slots),
    )
    return next((name for name, n, f in pairs if n > f), "")
