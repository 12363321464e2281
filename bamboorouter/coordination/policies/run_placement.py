"""Chooses workers for tasks of jobs with steps.

Answers this load: many wide steps become ready at once while the workers are
almost full. Tasks are taken in the order given. Each goes to the worker that
leaves it the most processor time, so that no worker becomes a hot spot; tasks
that fill are given only processor time that nothing else is reserved or
filling, because a crowded worker makes all of them late at once.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# A worker on which this task failed before counts as if it were this much
# fuller, in thousandths of a processor; it is used only for want of others.
FAILED_HERE_MILLICORES: Final = 1_000_000
# A task far from its data takes half as long again, which outweighs a worker
# that is fuller by this much, in thousandths of a processor.
FAR_MILLICORES: Final = 100_000
# Beside a task that serves users a filling task disturbs it or is throttled.
BESIDE_SERVING_MILLICORES: Final = 20_000


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerRoom:
    """A worker as placement sees it; the policy keeps the sums current.

    Attributes:
        name: Name of the worker.
        life: Life of the worker.
        service: Service it belongs to.
        labels: Labels it carries.
        rack: Its rack; empty if unknown.
        millicores: Processor time it has.
        memory_mb: Memory it has.
        accelerators: Accelerators it has.
        used_millicores: Reserved processor time.
        used_memory_mb: Memory in use.
        used_accelerators: Accelerators in use.
        fill_millicores: Processor time that filling tasks ask for.
        serving: Tasks that serve users.
        shunned: Whether it gets work only for want of other workers.
    """

    name: str
    life: str
    service: str
    labels: frozenset[str]
    rack: str
    millicores: int
    memory_mb: int
    accelerators: int
    used_millicores: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    fill_millicores: int = 0
    serving: int = 0
    shunned: bool = False

    def leftover(self) -> int:
        """Returns processor time that nobody reserved or fills."""
        return self.millicores - self.used_millicores - self.fill_millicores

    def takes(self, need: common.Resources, *, fills: bool) -> bool:
        """Whether a task fits now."""
        if (
            self.used_memory_mb + need.memory_mb > self.memory_mb
            or self.used_accelerators + need.accelerators > self.accelerators
        ):
            return False
        if fills:
            return need.millicores <= self.leftover()
        return self.used_millicores + need.millicores <= self.millicores

    def add(self, step: jobs.Step) -> None:
        """Takes a task of a step into the sums."""
        self.used_memory_mb += step.need.memory_mb
        self.used_accelerators += step.need.accelerators
        if step.fills:
            self.fill_millicores += step.need.millicores
        else:
            self.used_millicores += step.need.millicores
        self.serving += bool(step.target_ms)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadyTask:
    """A task whose turn has come.

    Attributes:
        ref: The task.
        attempt: Number of its next start.
        step: Its step.
        service: Service whose workers may run it.
        failed_on: Workers on which it failed before.
        step_on: Tasks of its step by worker; shared by the tasks of a step
            and kept current by the policy.
    """

    ref: jobs.TaskRef
    attempt: int
    step: jobs.Step
    service: str
    failed_on: frozenset[str]
    step_on: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A decision: a task goes to a worker."""

    task: ReadyTask
    worker: WorkerRoom


class RunPlacement(Protocol):
    """Chooses workers for ready tasks."""

    def place(
        self, tasks: Iterable[ReadyTask], workers: Sequence[WorkerRoom]
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order."""
        ...


class MostLeftover:
    """Gives each task the allowed worker with the most leftover time."""

    def place(
        self, tasks: Iterable[ReadyTask], workers: Sequence[WorkerRoom]
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order."""
        placements = []
        for task in tasks:
            chosen = max(
                (worker for worker in workers if _allowed(task, worker)),
                key=lambda worker: _score(task, worker),
                default=None,
            )
            if chosen is None:
                continue
            chosen.add(task.step)
            task.step_on[chosen.name] = task.step_on.get(chosen.name, 0) + 1
            placements.append(Placement(task=task, worker=chosen))
        return placements


def _allowed(task: ReadyTask, worker: WorkerRoom) -> bool:
    step = task.step
    limit = step.max_per_worker
    return (
        worker.service == task.service
        and (not step.label or step.label in worker.labels)
        and (not limit or task.step_on.get(worker.name, 0) < limit)
        and worker.takes(step.need, fills=step.fills)
    )


def _score(task: ReadyTask, worker: WorkerRoom) -> tuple[bool, int]:
    score = worker.leftover()
    if worker.name in task.failed_on:
        score -= FAILED_HERE_MILLICORES
    if task.step.data_rack and worker.rack != task.step.data_rack:
        score -= FAR_MILLICORES
    if task.step.fills and worker.serving:
        score -= BESIDE_SERVING_MILLICORES
    return not worker.shunned, score
