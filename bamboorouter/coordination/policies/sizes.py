"""How large a task is assumed to be.

The product starts from the declared size and moves to a high quantile of what
tasks of the same class were measured to use, with weight n / (n + 5) after n
measurements. A service never gets less than declared, because a quiet hour
says nothing about its next load. The plain baseline believes the sheet.
"""

import collections
import dataclasses
import functools
import math
import re
from typing import Final
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import resource_math

PRIOR_WEIGHT: Final = 5
SAMPLES: Final = 40
PROCESSOR_QUANTILE: Final = 0.9
# Too little memory ends a task, too little processor time only slows it down.
MEMORY_MARGIN: Final = 1.1
LOWEST_PART: Final = 0.1
HIGHEST_PART: Final = 16.0
MAX_CLASSES: Final = 2000
_NUMBERS: Final = re.compile("[0-9]+")


class Sizes(Protocol):
    """Estimates what a task of a row needs."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns what to reserve for one task."""
        ...

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Learns from a late measurement of one undisturbed task."""
        ...

    def measured(self, row: common.SheetRow) -> float:
        """Returns how many measurements of the row's class are known."""
        ...


class DeclaredSizes:
    """Believes the sheet."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns the declared size."""
        return resource_math.declared(row)

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Learns nothing."""

    def measured(self, row: common.SheetRow) -> float:
        """Returns infinity: the sheet is believed."""
        del row
        return math.inf


@dataclasses.dataclass(kw_only=True)
class _Class:
    """Measured parts of the declared size, newest last."""

    processors: collections.deque[float]
    memory: collections.deque[float]
    processor_part: float = 1.0
    memory_part: float = 1.0


class LearnedSizes:
    """Learns the size of each job class."""

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _Class] = (
            collections.OrderedDict()
        )

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns what to reserve for one task."""
        known = self._classes.get(job_class(row))
        if known is None:
            return resource_math.declared(row)
        floor = 1.0 if row.kind == "service" else LOWEST_PART
        return common.Resources(
            millicores=_scaled(row.millicores, known.processor_part, floor),
            memory_mb=_scaled(row.memory_mb, known.memory_part, floor),
            accelerators=row.accelerators,
            slots=1,
        )

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Learns from a late measurement of one undisturbed task."""
        name = job_class(row)
        known = self._classes.pop(name, None) or _Class(
            processors=collections.deque(maxlen=SAMPLES),
            memory=collections.deque(maxlen=SAMPLES),
        )
        self._classes[name] = known
        while len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)
        known.processors.append(millicores / row.millicores)
        known.memory.append(memory_mb / row.memory_mb)
        ordered = sorted(known.processors)
        position = int(PROCESSOR_QUANTILE * (len(ordered) - 1))
        known.processor_part = _blend(len(ordered), ordered[position])
        known.memory_part = _blend(
            len(ordered), MEMORY_MARGIN * max(known.memory)
        )

    def measured(self, row: common.SheetRow) -> float:
        """Returns how many measurements of the row's class are known."""
        known = self._classes.get(job_class(row))
        return len(known.processors) if known is not None else 0


def job_class(row: common.SheetRow) -> str:
    """Returns the class of a row: its owner and name without numbers."""
    return f"{row.owner}/{_without_numbers(row.name)}"


@functools.lru_cache(maxsize=MAX_CLASSES)
def _without_numbers(name: str) -> str:
    return _NUMBERS.sub("#", name)


def _blend(count: int, measured: float) -> float:
    weight = count / (count + PRIOR_WEIGHT)
    return (1 - weight) + weight * measured


def _scaled(declared: int, part: float, floor: float) -> int:
    bounded = min(max(part, floor), HIGHEST_PART)
    return max(1, round(declared * bounded))
