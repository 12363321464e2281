"""Chooses workers for tasks of jobs with steps.

Typically, many steps with many tasks become ready at once while the workers are
almost full. Tasks are placed in the given order by these rules:

* A task goes to the suitable worker with the most headroom, which avoids hot
  spots.
* Serving tasks (steps with `target_ms`) are packed on few workers instead, so
  that best-effort tasks can run on the others without interference.
* A best-effort task (a step with `fills`) gets only processor time that serving
  tasks usually leave unused and that no other best-effort task requests,
  because an overcommitted worker delays all its tasks at once. It goes only to
  a worker on which it may run at `MIN_SPEED_FRACTION` of its full speed or
  more.
* A gang is placed as a whole or not at all (gang scheduling), because tasks
  that wait for the others would hold resources without making progress. A
  rack-local gang goes to a single rack if it fits on one.
* A suspect, a task that may have crashed a worker, goes to the suitable worker
  with the least suspicious other runs and, among these, with the fewest runs:
  its next crash then tells more and costs less. Other tasks avoid workers with
  a task that several workers have crashed under. Both first avoid workers on
  which they failed: a worker that fails its runs has few of them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import sys
from typing import Final
from typing import Protocol

from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import pacing
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# Score penalty for a rack other than that of the task's data or of its step,
# where the task takes 1.5 times as long. A worker in such a rack is preferred
# only if its headroom is larger by at least this much.
REMOTE_RACK_PENALTY_MILLICORES: Final = 100_000
# Minimum fraction of full speed of a best-effort task; it waits if no worker
# allows it.
MIN_SPEED_FRACTION: Final = 0.8
# Score penalty for a worker on which a placed best-effort task would make no
# progress, or on which a placed serving task would stop all progress of the
# best-effort tasks. A partial loss of speed costs the same fraction of it.
INTERFERENCE_PENALTY_MILLICORES: Final = 60_000
# Share of their reservation that serving tasks usually use.
SERVING_USAGE: Final = 0.75
# A task that one more worker has crashed under counts as much as this many
# others: those that have crashed the most workers must not meet again.
SUSPICION_WEIGHT: Final = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerCapacity:
    """Capacity and usage of a worker; the policy updates the usage.

    Attributes:
        name: Name of the worker.
        incarnation: Incarnation of the worker.
        service: Service of the worker.
        labels: Labels of the worker.
        rack: Rack of the worker; empty if unknown.
        millicores: Total processor time, in millicores.
        memory_mb: Total memory, in MB.
        accelerators: Total number of accelerators.
        used_millicores: Reserved processor time, in millicores.
        used_memory_mb: Reserved memory, in MB.
        used_accelerators: Reserved accelerators.
        best_effort_millicores: Processor time that best-effort tasks request,
            in millicores.
        serving_millicores: Processor time reserved by serving tasks, in
            millicores; included in `used_millicores`.
        serving: Image and own utilization of each serving task; the own
            utilization excludes what best-effort tasks add.
        loads: Processor time that each best-effort image requests, in load
            units (see `image_interference.load_units`).
        ejected: Whether the worker gets tasks only if no other worker fits.
        runs: Number of runs.
        suspicions: Number of crashes that the task of each run may have caused;
            tasks without any are left out.
    """

    name: str
    incarnation: str
    service: str
    labels: frozenset[str]
    rack: str
    millicores: int
    memory_mb: int
    accelerators: int
    used_millicores: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    best_effort_millicores: int = 0
    serving_millicores: int = 0
    serving: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    loads: dict[str, float] = dataclasses.field(default_factory=dict)
    ejected: bool = False
    runs: int = 0
    suspicions: list[int] = dataclasses.field(default_factory=list)

    def headroom(self) -> int:
        """Returns unused processor time in millicores; may be negative.

        The part of their reservation that serving tasks usually don't use
        counts as unused.
        """
        unused = int(self.serving_millicores * (1 - SERVING_USAGE))
        used = self.used_millicores - unused
        return self.millicores - used - self.best_effort_millicores

    def fits(self, need: common.Resources, *, fills: bool) -> bool:
        """Returns whether a task fits.

        Args:
            need: Resources that the task reserves.
            fills: Whether the task is a best-effort task.
        """
        if (
            self.used_memory_mb + need.memory_mb > self.memory_mb
            or self.used_accelerators + need.accelerators > self.accelerators
        ):
            return False
        if fills:
            # No task starts on a worker that is over its capacity.
            return (
                self.used_millicores <= self.millicores
                and need.millicores <= self.headroom()
            )
        return self.used_millicores + need.millicores <= self.millicores

    def add(
        self,
        step: jobs.Step,
        own_utilization: float = image_interference.DEFAULT_OWN_UTILIZATION,
        suspicion: int = 0,
    ) -> None:
        """Adds a task of a step to the usage.

        Args:
            step: Step of the task.
            own_utilization: Utilization of a serving task without best-effort
                tasks.
            suspicion: Number of crashes that the task may have caused.
        """
        self.runs += 1
        if suspicion:
            self.suspicions.append(suspicion)
        self.used_memory_mb += step.need.memory_mb
        self.used_accelerators += step.need.accelerators
        if step.fills:
            self.best_effort_millicores += step.need.millicores
            self.loads[step.image] = self.loads_with(step)[step.image]
        else:
            self.used_millicores += step.need.millicores
        if step.target_ms:
            self.serving.append((step.image, own_utilization))
            self.serving_millicores += step.need.millicores

    def remove(
        self,
        step: jobs.Step,
        own_utilization: float = image_interference.DEFAULT_OWN_UTILIZATION,
        suspicion: int = 0,
    ) -> None:
        """Reverts a call of `add` with the same arguments."""
        self.runs -= 1
        if suspicion:
            self.suspicions.remove(suspicion)
        self.used_memory_mb -= step.need.memory_mb
        self.used_accelerators -= step.need.accelerators
        if step.fills:
            self.best_effort_millicores -= step.need.millicores
            self.loads[step.image] -= self._units(step)
        else:
            self.used_millicores -= step.need.millicores
        if step.target_ms:
            self.serving.remove((step.image, own_utilization))
            self.serving_millicores -= step.need.millicores

    def loads_with(self, step: jobs.Step) -> dict[str, float]:
        """Returns the loads with one more best-effort task of a step."""
        units = self._units(step)
        return {
            **self.loads,
            step.image: self.loads.get(step.image, 0.0) + units,
        }

    def exposure(self, suspicion: int) -> tuple[int, int]:
        """Returns how bad a crash of the worker would be; lower is better.

        Args:
            suspicion: Number of crashes that a task may have caused which is to
                be placed on the worker.
        """
        if not suspicion:
            return (int(max(self.suspicions, default=0) > 1), 0)
        weight = sum(SUSPICION_WEIGHT**crashes for crashes in self.suspicions)
        return (weight, self.runs)

    def _units(self, step: jobs.Step) -> float:
        return image_interference.load_units(
            step.need.millicores, self.millicores
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadyTask:
    """A task that is ready to be placed.

    Attributes:
        ref: Reference of the task.
        attempt: Attempt number of the next start.
        step: Step of the task.
        service: Service whose workers may run the task.
        failed_on: Workers on which the task failed before.
        tasks_by_worker: Number of tasks of the step by worker; shared by the
            tasks of a step and updated by the policy.
        overdue: Whether the job has waited for long without a running task. An
            overdue best-effort task may run below the minimum speed, preferably
            where it interferes least.
        advised: Whether the external advice service decides which workers may
            run the task.
        allowed: Incarnations of the workers that may run the task; None if all
            may.
        suspicion: Number of crashes that the task may have caused.
    """

    ref: jobs.TaskRef
    attempt: int
    step: jobs.Step
    service: str
    failed_on: frozenset[str]
    tasks_by_worker: dict[str, int]
    overdue: bool = False
    advised: bool = False
    allowed: frozenset[str] | None = None
    suspicion: int = 0

    def step_key(self) -> tuple[str, int, int, int, int]:
        """Returns a key that is equal for tasks of the same step.

        `step` and `tasks_by_worker` are compared by identity; the tasks of a
        step share them.
        """
        ref = self.ref
        return (
            ref.job,
            ref.occurrence,
            ref.step,
            id(self.step),
            id(self.tasks_by_worker),
        )

    def needs_separate_ranking(self) -> bool:
        """Returns whether its worker ranking may differ within the step."""
        return bool(self.failed_on or self.overdue or self.step.rack_local)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """An assignment of a task to a worker.

    Attributes:
        task: The task.
        worker: The worker.
    """

    task: ReadyTask
    worker: WorkerCapacity


class RunPlacement(Protocol):
    """Assigns ready tasks to workers."""

    def place(
        self,
        tasks: Iterable[ReadyTask],
        workers: Sequence[WorkerCapacity],
        *,
        stop_after: int = sys.maxsize,
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order.

        Args:
            tasks: Tasks to place; those of one step are adjacent.
            workers: Workers that may be used; their usage is updated.
            stop_after: Number of placements after which no further step is
                placed.
        """
        ...


@dataclasses.dataclass(order=True, kw_only=True, slots=True)
class _RankedWorker:
    """A heap entry of a suitable worker; the smallest entry is the best.

    Attributes:
        ejected: Whether the worker is used only if no other one fits.
        failed: Whether the task failed on the worker before.
        exposure: Cost of a crash (see `WorkerCapacity.exposure`).
        cost: Negated score; lower is better.
        index: Index of the worker in the list; breaks ties.
        worker: The worker.
    """

    ejected: bool
    failed: bool
    exposure: tuple[int, int]
    cost: float
    index: int
    worker: WorkerCapacity = dataclasses.field(compare=False)


class MostHeadroomPlacement:
    """Assigns each task to the suitable worker with the most headroom.

    Serving tasks are packed instead: they go to the suitable worker with the
    most reserved processor time.

    Attributes:
        interference: Learned interference between images.
    """

    def __init__(
        self, *, interference: image_interference.ImageInterference
    ) -> None:
        self.interference = interference
        # Cache by worker name. For each serving task of the worker, it holds
        # the image, the own utilization, and the utilization that best-effort
        # tasks add. An entry is dropped when the tasks of the worker change.
        self._utilization_cache: dict[str, list[tuple[str, float, float]]] = {}

    def place(
        self,
        tasks: Iterable[ReadyTask],
        workers: Sequence[WorkerCapacity],
        *,
        stop_after: int = sys.maxsize,
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order.

        Args:
            tasks: Tasks to place; those of one step are adjacent.
            workers: Workers that may be used; their usage is updated.
            stop_after: Number of placements after which no further step is
                placed.
        """
        self._utilization_cache.clear()
        placements: list[Placement] = []
        for _, group in itertools.groupby(tasks, key=ReadyTask.step_key):
            # Suspects together, so that workers are ranked at most twice.
            step_tasks = sorted(group, key=lambda task: not task.suspicion)
            if step_tasks[0].step.gang:
                placements += self._place_gang(step_tasks, workers)
            else:
                placements += self._place_step(step_tasks, workers)
            if len(placements) >= stop_after:
                break
        return placements

    def _place_gang(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerCapacity]
    ) -> list[Placement]:
        """Places all tasks of a gang, or none of them."""
        step = tasks[0].step
        if len(tasks) < step.count:
            # Other tasks of the gang aren't ready.
            return []
        if step.rack_local:
            racks = sorted({worker.rack for worker in workers})
            choices = [
                [worker for worker in workers if worker.rack == rack]
                for rack in racks
            ]
            for choice in sorted(choices, key=_total_headroom, reverse=True):
                if placements := self._place_all(tasks, choice):
                    return placements
        return self._place_all(tasks, workers)

    def _place_all(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerCapacity]
    ) -> list[Placement]:
        placements = self._place_step(tasks, workers)
        if len(placements) < len(tasks):
            self._undo(placements)
            return []
        return placements

    def _undo(self, placements: Iterable[Placement]) -> None:
        for placement in placements:
            task, worker = placement.task, placement.worker
            worker.remove(task.step, suspicion=task.suspicion)
            self._utilization_cache.pop(worker.name, None)
            task.tasks_by_worker[worker.name] -= 1

    def _place_step(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerCapacity]
    ) -> list[Placement]:
        """Places as many tasks of one step as fit.

        Workers are ranked once per step. After each task only the worker that
        got it is scored again, so that a step with many tasks doesn't score
        every worker for every task.
        """
        placements = []
        ranked: list[_RankedWorker] | None = None
        ranked_for_suspects = False
        for task in tasks:
            if ranked_for_suspects != bool(task.suspicion):
                ranked_for_suspects = bool(task.suspicion)
                ranked = None
            if ranked is None or task.needs_separate_ranking():
                ranked = self._rank(task, workers)
            if not ranked:
                ranked = None if task.needs_separate_ranking() else ranked
                continue
            best = heapq.heappop(ranked)
            worker = best.worker
            worker.add(task.step, suspicion=task.suspicion)
            self._utilization_cache.pop(worker.name, None)
            task.tasks_by_worker[worker.name] = (
                task.tasks_by_worker.get(worker.name, 0) + 1
            )
            placements.append(Placement(task=task, worker=worker))
            if task.needs_separate_ranking():
                ranked = None
            # Racks matter only to rack-local steps, ranked separately.
            elif updated := self._rank_worker(
                task, worker, best.index, frozenset()
            ):
                heapq.heappush(ranked, updated)
        return placements

    def _rank(
        self, task: ReadyTask, workers: Sequence[WorkerCapacity]
    ) -> "list[_RankedWorker]":
        """Returns a heap of the workers that suit a task."""
        racks = _racks_in_use(task, workers)
        ranked = [
            entry
            for index, worker in enumerate(workers)
            if (entry := self._rank_worker(task, worker, index, racks))
        ]
        heapq.heapify(ranked)
        return ranked

    def _rank_worker(
        self,
        task: ReadyTask,
        worker: WorkerCapacity,
        index: int,
        racks: frozenset[str],
    ) -> "_RankedWorker | None":
        """Returns the heap entry of a worker; None if it doesn't suit."""
        if not _allowed(task, worker):
            return None
        minimum = (
            MIN_SPEED_FRACTION if task.step.fills and not task.overdue else 0.0
        )
        fraction = self.speed_fraction(task.step, worker, minimum=minimum)
        if fraction < minimum:
            return None
        return _RankedWorker(
            ejected=worker.ejected,
            failed=worker.name in task.failed_on,
            exposure=worker.exposure(task.suspicion),
            cost=-_score(task, worker, fraction, racks),
            index=index,
            worker=worker,
        )

    def speed_fraction(
        self, step: jobs.Step, worker: WorkerCapacity, *, minimum: float = 0.0
    ) -> float:
        """Returns the fraction of full speed at which tasks would run.

        For a best-effort task, it is the speed of the task itself; for a
        serving task, the speed that the best-effort tasks of the worker would
        keep.

        Args:
            step: Step of the task.
            worker: Worker on which the task would run.
            minimum: Below this fraction the exact value isn't computed.
        """
        if step.fills:
            units = image_interference.load_units(
                step.need.millicores, worker.millicores
            )
            fraction = 1.0
            for image, own_utilization, added in self._serving_utilizations(
                worker
            ):
                task_added = units * self.interference.weight(image, step.image)
                fraction = min(
                    fraction,
                    pacing.speed_fraction(own_utilization, added + task_added),
                )
                if fraction < minimum:
                    break
            return fraction
        if step.target_ms:
            added = self.interference.added_utilization(
                step.image, worker.loads
            )
            return pacing.speed_fraction(
                image_interference.DEFAULT_OWN_UTILIZATION, added
            )
        return 1.0

    def _serving_utilizations(
        self, worker: WorkerCapacity
    ) -> list[tuple[str, float, float]]:
        """Returns image, own and added utilization of each serving task."""
        cached = self._utilization_cache.get(worker.name)
        if cached is None:
            cached = self._utilization_cache[worker.name] = [
                (
                    image,
                    own_utilization,
                    self.interference.added_utilization(image, worker.loads),
                )
                for image, own_utilization in worker.serving
            ]
        return cached


def _racks_in_use(
    task: ReadyTask, workers: Iterable[WorkerCapacity]
) -> frozenset[str]:
    """Returns the racks in use by a rack-local step; else an empty set."""
    if not task.step.rack_local:
        return frozenset()
    return frozenset(
        worker.rack
        for worker in workers
        if task.tasks_by_worker.get(worker.name)
    )


def _total_headroom(workers: Iterable[WorkerCapacity]) -> int:
    return sum(worker.headroom() for worker in workers)


def _allowed(task: ReadyTask, worker: WorkerCapacity) -> bool:
    permitted = task.allowed is None or worker.incarnation in task.allowed
    return permitted and suits(task, worker)


def suits(task: ReadyTask, worker: WorkerCapacity) -> bool:
    """Returns whether a task fits a worker.

    The service, the labels, the limit of tasks per worker and the free
    resources decide; `ReadyTask.allowed` is not considered.
    """
    step = task.step
    limit = step.max_per_worker
    return (
        worker.service == task.service
        and (not step.label or step.label in worker.labels)
        and (not limit or task.tasks_by_worker.get(worker.name, 0) < limit)
        and worker.fits(step.need, fills=step.fills)
    )


def _score(
    task: ReadyTask,
    worker: WorkerCapacity,
    fraction: float,
    racks: frozenset[str],
) -> float:
    # Packing serving tasks leaves other workers to best-effort tasks.
    packed = bool(task.step.target_ms)
    score = worker.used_millicores if packed else worker.headroom()
    score -= int((1 - fraction) * INTERFERENCE_PENALTY_MILLICORES)
    far_from_data = task.step.data_rack not in ("", worker.rack)
    if far_from_data or (racks and worker.rack not in racks):
        score -= REMOTE_RACK_PENALTY_MILLICORES
    return score
