"""Estimates the resources to reserve for a task.

`LearnedSizes` blends the declared size with the measured usage of tasks of the
same class: a high quantile of processor time, and the maximum of memory plus a
margin. The measurements have weight n / (n + 5) after n samples. A service
never gets less than it declares, because low usage in the past doesn't bound
its future load. `DeclaredSizes` is the baseline policy: it uses the size on the
sheet.
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
MAX_SAMPLES: Final = 40
PROCESSOR_QUANTILE: Final = 0.9
# Too little memory kills a task; too little processor time only slows it down.
MEMORY_MARGIN: Final = 1.1
MIN_FACTOR: Final = 0.1
MAX_FACTOR: Final = 16.0
MAX_CLASSES: Final = 2000
_NUMBERS: Final = re.compile("[0-9]+")


class Sizes(Protocol):
    """Estimates the resources that a task of a sheet row needs."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns the resources to reserve for one task."""
        ...

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Records the measured usage of one task that isn't throttled."""
        ...

    def sample_count(self, row: common.SheetRow) -> float:
        """Returns the number of recorded measurements of the row's class."""
        ...


class DeclaredSizes:
    """Baseline policy: uses the size on the sheet."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns the declared size."""
        return resource_math.declared(row)

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Ignores the measurement."""

    def sample_count(self, row: common.SheetRow) -> float:
        """Returns infinity: declared sizes need no measurements."""
        del row
        return math.inf


@dataclasses.dataclass(kw_only=True)
class _ClassUsage:
    """Measured usage of one job class, relative to the declared size.

    Attributes:
        processors: Processor time / declared processor time, newest last.
        memory: Memory / declared memory, newest last.
        processor_factor: Estimated factor of the declared processor time.
        memory_factor: Estimated factor of the declared memory.
    """

    processors: collections.deque[float]
    memory: collections.deque[float]
    processor_factor: float = 1.0
    memory_factor: float = 1.0


class LearnedSizes:
    """Estimates sizes from the measured usage of each job class."""

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _ClassUsage] = (
            collections.OrderedDict()
        )

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns the resources to reserve for one task."""
        usage = self._classes.get(job_class(row))
        if usage is None:
            return resource_math.declared(row)
        floor = 1.0 if row.kind == "service" else MIN_FACTOR
        return common.Resources(
            millicores=_scaled(row.millicores, usage.processor_factor, floor),
            memory_mb=_scaled(row.memory_mb, usage.memory_factor, floor),
            accelerators=row.accelerators,
            slots=1,
        )

    def observe(
        self, row: common.SheetRow, *, millicores: int, memory_mb: int
    ) -> None:
        """Records the measured usage of one task that isn't throttled."""
        name = job_class(row)
        usage = self._classes.pop(name, None) or _ClassUsage(
            processors=collections.deque(maxlen=MAX_SAMPLES),
            memory=collections.deque(maxlen=MAX_SAMPLES),
        )
        self._classes[name] = usage
        while len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)
        usage.processors.append(millicores / row.millicores)
        usage.memory.append(memory_mb / row.memory_mb)
        ordered = sorted(usage.processors)
        position = int(PROCESSOR_QUANTILE * (len(ordered) - 1))
        usage.processor_factor = _blend(len(ordered), ordered[position])
        usage.memory_factor = _blend(
            len(ordered), MEMORY_MARGIN * max(usage.memory)
        )

    def sample_count(self, row: common.SheetRow) -> float:
        """Returns the number of measurements of the row's class."""
        usage = self._classes.get(job_class(row))
        return len(usage.processors) if usage is not None else 0


def job_class(row: common.SheetRow) -> str:
    """Returns the class of a row: owner and name, with numbers masked."""
    return f"{row.owner}/{_without_numbers(row.name)}"


@functools.lru_cache(maxsize=MAX_CLASSES)
def _without_numbers(name: str) -> str:
    return _NUMBERS.sub("#", name)


def _blend(count: int, measured: float) -> float:
    weight = count / (count + PRIOR_WEIGHT)
    return (1 - weight) + weight * measured


def _scaled(declared: int, factor: float, floor: float) -> int:
    bounded = min(max(factor, floor), MAX_FACTOR)
    return max(1, round(declared * bounded))
