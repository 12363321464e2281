"""Chooses workers for tasks of jobs with steps.

Answers this load: many wide steps become ready at once while the workers are
almost full. Tasks are taken in the order given. Each goes to the worker that
leaves it the most processor time, so that no worker becomes a hot spot; only
tasks that serve users are packed on few workers, so that others remain on which
filling tasks disturb nobody. A filling task gets only processor time that
serving tasks are known to leave and nothing else fills, because a crowded
worker makes all of them late at once, and only a worker on which it may keep
most of its speed beside the serving tasks. A gang is placed as a whole or not
at all, because tasks that wait for others hold room without working; one whose
tasks are slower on several racks goes on one rack if it fits there.
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

# A worker on which this task failed before counts as if it were this much
# fuller, in thousandths of a processor; it is used only for want of others.
FAILED_HERE_MILLICORES: Final = 1_000_000
# A task far from its data or from the rest of its step takes half as long
# again, which outweighs a worker that is fuller by this much, in thousandths of
# a processor.
FAR_MILLICORES: Final = 100_000
# A filling task waits rather than go where serving tasks leave it less than
# this part of its speed.
LEAST_PART: Final = 0.8
# A worker on which a task would stand still counts as fuller by this much, in
# thousandths of a processor.
DISTURBED_MILLICORES: Final = 60_000
# Share of their reservation that serving tasks use at most times.
SERVING_USE: Final = 0.75


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
        serving_millicores: Part of the reservation of tasks that serve users.
        serving: Own utilization of each task that serves users, with its
            image.
        loads: Load units that each filling image asks for.
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
    serving_millicores: int = 0
    serving: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    loads: dict[str, float] = dataclasses.field(default_factory=dict)
    shunned: bool = False

    def leftover(self) -> int:
        """Returns processor time that nobody uses or fills."""
        unused = int(self.serving_millicores * (1 - SERVING_USE))
        used = self.used_millicores - unused
        return self.millicores - used - self.fill_millicores

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

    def add(
        self, step: jobs.Step, own: float = image_interference.USUAL_OWN
    ) -> None:
        """Takes a task of a step into the sums.

        Args:
            step: The step.
            own: Utilization of a serving task without what others add.
        """
        self.used_memory_mb += step.need.memory_mb
        self.used_accelerators += step.need.accelerators
        if step.fills:
            self.fill_millicores += step.need.millicores
            self.loads[step.image] = self.load_with(step)[step.image]
        else:
            self.used_millicores += step.need.millicores
        if step.target_ms:
            self.serving.append((step.image, own))
            self.serving_millicores += step.need.millicores

    def remove(
        self, step: jobs.Step, own: float = image_interference.USUAL_OWN
    ) -> None:
        """Takes back what `add` with the same arguments did."""
        self.used_memory_mb -= step.need.memory_mb
        self.used_accelerators -= step.need.accelerators
        if step.fills:
            self.fill_millicores -= step.need.millicores
            self.loads[step.image] -= self._units(step)
        else:
            self.used_millicores -= step.need.millicores
        if step.target_ms:
            self.serving.remove((step.image, own))
            self.serving_millicores -= step.need.millicores

    def load_with(self, step: jobs.Step) -> dict[str, float]:
        """Returns the loads if a filling task of a step came here."""
        units = self._units(step)
        return {
            **self.loads,
            step.image: self.loads.get(step.image, 0.0) + units,
        }

    def _units(self, step: jobs.Step) -> float:
        return image_interference.load_units(
            step.need.millicores, self.millicores
        )


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
        overdue: Whether its job has waited for long with nothing running; it
            then runs where it does the least harm.
        advised: Whether only a service outside knows where it may run.
        allowed: Lives of the workers that it may go to; None for all.
    """

    ref: jobs.TaskRef
    attempt: int
    step: jobs.Step
    service: str
    failed_on: frozenset[str]
    step_on: dict[str, int]
    overdue: bool = False
    advised: bool = False
    allowed: frozenset[str] | None = None

    def equal_key(self) -> tuple[str, int, int, int, int]:
        """Returns what is the same for the tasks of one step."""
        ref = self.ref
        return (
            ref.job,
            ref.occurrence,
            ref.step,
            id(self.step),
            id(self.step_on),
        )

    def judged_alone(self) -> bool:
        """Whether workers suit it otherwise than the rest of its step."""
        return bool(self.failed_on or self.overdue or self.step.rack_local)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """A decision: a task goes to a worker."""

    task: ReadyTask
    worker: WorkerRoom


class RunPlacement(Protocol):
    """Chooses workers for ready tasks."""

    def place(
        self,
        tasks: Iterable[ReadyTask],
        workers: Sequence[WorkerRoom],
        *,
        enough: int = sys.maxsize,
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order.

        Args:
            tasks: The tasks, those of one step in succession.
            workers: What may be used; their sums are changed.
            enough: Number of placements after which no other step is begun.
        """
        ...


@dataclasses.dataclass(order=True, kw_only=True, slots=True)
class _Ranked:
    """A worker that a task may go to; the smallest suits best.

    Attributes:
        shunned: Whether it gets work only for want of others.
        cost: The lower, the better.
        place: Place of the worker in the list, which settles ties.
        worker: The worker.
    """

    shunned: bool
    cost: float
    place: int
    worker: WorkerRoom = dataclasses.field(compare=False)


class MostLeftover:
    """Gives each task the allowed worker with the most leftover time.

    Attributes:
        interference: What is known about images.
    """

    def __init__(
        self, *, interference: image_interference.ImageInterference
    ) -> None:
        self.interference = interference
        # What fills beside each serving task of a worker adds to it, by the
        # worker's name; holds while a pass changes nothing on the worker.
        self._crowding: dict[str, list[tuple[str, float, float]]] = {}

    def place(
        self,
        tasks: Iterable[ReadyTask],
        workers: Sequence[WorkerRoom],
        *,
        enough: int = sys.maxsize,
    ) -> list[Placement]:
        """Returns placements of as many tasks as fit, in their order.

        Args:
            tasks: The tasks, those of one step in succession.
            workers: What may be used; their sums are changed.
            enough: Number of placements after which no other step is begun.
        """
        self._crowding.clear()
        placements: list[Placement] = []
        for _, group in itertools.groupby(tasks, key=ReadyTask.equal_key):
            equal = list(group)
            if equal[0].step.gang:
                placements += self._place_gang(equal, workers)
            else:
                placements += self._place_equal(equal, workers)
            if len(placements) >= enough:
                break
        return placements

    def _place_gang(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerRoom]
    ) -> list[Placement]:
        """Places tasks that start only together, or none of them."""
        step = tasks[0].step
        if len(tasks) < step.count:
            # Others of them can't start yet.
            return []
        if step.rack_local:
            racks = sorted({worker.rack for worker in workers})
            choices = [
                [worker for worker in workers if worker.rack == rack]
                for rack in racks
            ]
            for choice in sorted(choices, key=_leftover, reverse=True):
                if placements := self._place_all(tasks, choice):
                    return placements
        return self._place_all(tasks, workers)

    def _place_all(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerRoom]
    ) -> list[Placement]:
        placements = self._place_equal(tasks, workers)
        if len(placements) < len(tasks):
            self._take_back(placements)
            return []
        return placements

    def _take_back(self, placements: Iterable[Placement]) -> None:
        for placement in placements:
            task, worker = placement.task, placement.worker
            worker.remove(task.step)
            self._crowding.pop(worker.name, None)
            task.step_on[worker.name] -= 1

    def _place_equal(
        self, tasks: list[ReadyTask], workers: Sequence[WorkerRoom]
    ) -> list[Placement]:
        """Places as many tasks of one step as fit.

        Only the worker that got a task has to be judged again for the next
        one, so that a wide step doesn't ask each worker for each task.
        """
        placements = []
        ranked: list[_Ranked] | None = None
        for task in tasks:
            if ranked is None or task.judged_alone():
                ranked = self._rank(task, workers)
            if not ranked:
                ranked = None if task.judged_alone() else ranked
                continue
            best = heapq.heappop(ranked)
            worker = best.worker
            worker.add(task.step)
            self._crowding.pop(worker.name, None)
            task.step_on[worker.name] = task.step_on.get(worker.name, 0) + 1
            placements.append(Placement(task=task, worker=worker))
            if task.judged_alone():
                ranked = None
            elif again := self._judge(task, worker, best.place, frozenset()):
                heapq.heappush(ranked, again)
        return placements

    def _rank(
        self, task: ReadyTask, workers: Sequence[WorkerRoom]
    ) -> "list[_Ranked]":
        """Returns a heap of the workers that a task may go to."""
        racks = _racks_in_use(task, workers)
        ranked = [
            judged
            for place, worker in enumerate(workers)
            if (judged := self._judge(task, worker, place, racks))
        ]
        heapq.heapify(ranked)
        return ranked

    def _judge(
        self,
        task: ReadyTask,
        worker: WorkerRoom,
        place: int,
        racks: frozenset[str],
    ) -> "_Ranked | None":
        """Returns how well a worker suits a task; None if it doesn't."""
        if not _allowed(task, worker):
            return None
        least = LEAST_PART if task.step.fills and not task.overdue else 0.0
        part = self.part_of_speed(task.step, worker, least=least)
        if part < least:
            return None
        return _Ranked(
            shunned=worker.shunned,
            cost=-_score(task, worker, part, racks),
            place=place,
            worker=worker,
        )

    def part_of_speed(
        self, step: jobs.Step, worker: WorkerRoom, *, least: float = 0.0
    ) -> float:
        """Returns the part of full speed that serving tasks would leave.

        For a task that fills, it is the part it would have itself; for one
        that serves users, the part that the worker's filling tasks would keep.
        Below `least` the exact part isn't needed.
        """
        if step.fills:
            units = image_interference.load_units(
                step.need.millicores, worker.millicores
            )
            part = 1.0
            for image, own, added in self._crowding_on(worker):
                own_share = units * self.interference.weight(image, step.image)
                part = min(part, pacing.part_of_speed(own, added + own_share))
                if part < least:
                    break
            return part
        if step.target_ms:
            added = self.interference.added(step.image, worker.loads)
            return pacing.part_of_speed(image_interference.USUAL_OWN, added)
        return 1.0

    def _crowding_on(
        self, worker: WorkerRoom
    ) -> list[tuple[str, float, float]]:
        """Returns image, own utilization and added one of serving tasks."""
        known = self._crowding.get(worker.name)
        if known is None:
            known = self._crowding[worker.name] = [
                (image, own, self.interference.added(image, worker.loads))
                for image, own in worker.serving
            ]
        return known


def _racks_in_use(
    task: ReadyTask, workers: Iterable[WorkerRoom]
) -> frozenset[str]:
    """Returns the racks of a step whose tasks are slower on several."""
    if not task.step.rack_local:
        return frozenset()
    return frozenset(
        worker.rack for worker in workers if task.step_on.get(worker.name)
    )


def _leftover(workers: Iterable[WorkerRoom]) -> int:
    return sum(worker.leftover() for worker in workers)


def _allowed(task: ReadyTask, worker: WorkerRoom) -> bool:
    advised = task.allowed is None or worker.life in task.allowed
    return advised and suits(task, worker)


def suits(task: ReadyTask, worker: WorkerRoom) -> bool:
    """Whether a task may go to a worker, as far as the two of them tell."""
    step = task.step
    limit = step.max_per_worker
    return (
        worker.service == task.service
        and (not step.label or step.label in worker.labels)
        and (not limit or task.step_on.get(worker.name, 0) < limit)
        and worker.takes(step.need, fills=step.fills)
    )


def _score(
    task: ReadyTask, worker: WorkerRoom, part: float, racks: frozenset[str]
) -> float:
    # Serving tasks together leave other workers to what would disturb them.
    packed = bool(task.step.target_ms)
    score = worker.used_millicores if packed else worker.leftover()
    score -= int((1 - part) * DISTURBED_MILLICORES)
    if worker.name in task.failed_on:
        score -= FAILED_HERE_MILLICORES
    far_from_data = task.step.data_rack not in ("", worker.rack)
    if far_from_data or (racks and worker.rack not in racks):
        score -= FAR_MILLICORES
    return score
