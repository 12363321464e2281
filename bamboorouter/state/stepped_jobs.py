"""Replicated state of jobs with steps: what is accepted, running and done.

A task is waiting, assigned, done or failed. An assignment names the life of a
worker and an attempt; only the end of the current attempt changes a task. A
run that was given up as lost but is reported done later counts as done, as
long as the task hasn't been started again.

The tasks of a gang work only together: they are assigned in one command under
the same attempt, one that is done stands for all, their failures count
together, and progress of one is progress of all.

Each command checks its invariants itself, whoever proposed it: one assignment
for each task, steps in order, the room of the worker, and the limit of failed
attempts.
"""

import collections
import dataclasses
import itertools
from typing import Any
from typing import Final

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_limits
from bamboorouter.protocol import jobs
from bamboorouter.state import job_records

_EMPTY: Final = common.Resources()


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerLife:
    """The newest known life of a worker.

    Attributes:
        life: The life.
        session: Number of the newest session of its agent.
        room: What the worker has.
    """

    life: str
    session: int
    room: common.Resources


def total(*amounts: common.Resources) -> common.Resources:
    """Returns the sum of amounts."""
    return common.Resources(
        millicores=sum(a.millicores for a in amounts),
        memory_mb=sum(a.memory_mb for a in amounts),
        accelerators=sum(a.accelerators for a in amounts),
        slots=sum(a.slots for a in amounts),
    )


def fits(need: common.Resources, room: common.Resources) -> bool:
    """Whether a need fits into a room; slots are not limited."""
    return (
        need.millicores <= room.millicores
        and need.memory_mb <= room.memory_mb
        and need.accelerators <= room.accelerators
    )


def reserved(step: jobs.Step) -> common.Resources:
    """Returns what a task takes from the room of a worker.

    Tasks that fill use processor time that others leave, so none is reserved.
    """
    if not step.fills:
        return step.need
    return common.Resources(
        memory_mb=step.need.memory_mb, accelerators=step.need.accelerators
    )


class SteppedJobs:
    """All jobs with steps, the configuration and the workers' sessions.

    Attributes:
        configuration: What is in force; None before the first one.
        jobs: Jobs by ID, in order of acceptance.
        lives: Newest life of each worker by name.
        on_worker: Assigned tasks by worker.
        used: What the assigned tasks take from each worker's room.
        sessions: Number of the newest session.
        accepted: Number of jobs accepted so far.
        disturbances: How much images disturb each other, as learned.
    """

    def __init__(self) -> None:
        self.configuration: jobs.Configuration | None = None
        self.jobs: dict[str, job_records.Job] = {}
        self.lives: dict[str, WorkerLife] = {}
        self.on_worker: dict[str, dict[jobs.TaskRef, job_records.Task]] = {}
        self.used: dict[str, common.Resources] = {}
        self.sessions = 0
        self.accepted = 0
        self.disturbances: dict[jobs.ImagePair, float] = {}

    # --- Reading -------------------------------------------------------------

    def version(self) -> int:
        """Returns the version in force; -1 before the first one."""
        return -1 if self.configuration is None else self.configuration.version

    def task(self, ref: jobs.TaskRef) -> job_records.Task | None:
        """Returns a task by its name."""
        job = self.jobs.get(ref.job)
        tasks = job.tasks.get((ref.occurrence, ref.step)) if job else None
        if tasks is None or not 0 <= ref.index < len(tasks):
            return None
        return tasks[ref.index]

    def step(self, ref: jobs.TaskRef) -> jobs.Step:
        """Returns the step of a known task."""
        return self.jobs[ref.job].spec.steps[ref.step]

    def gang_broken(self, ref: jobs.TaskRef) -> bool:
        """Whether another task of a task's gang isn't assigned any more."""
        return any(task.status != "assigned" for _, task in self._together(ref))

    def waiting_jobs(self, queue: str) -> int:
        """Returns how many jobs of a queue have no started task."""
        return sum(
            job.queue.name == queue and not job.started and job.active()
            for job in self.jobs.values()
        )

    def used_on(self, worker: str) -> common.Resources:
        """Returns what the assigned tasks take from a worker's room."""
        return self.used.get(worker, _EMPTY)

    # --- Applying ------------------------------------------------------------

    def put_configuration(
        self, command: job_commands.PutConfiguration
    ) -> commands.Result:
        """Puts a configuration in force unless a later one is."""
        if command.configuration.version > self.version():
            self.configuration = command.configuration
        return commands.Result(ok=True, data={"version": self.version()})

    def accept(
        self, command: job_commands.AcceptSteps, now_ms: int
    ) -> commands.Result:
        """Accepts a job, unless it is known."""
        if command.job in self.jobs:
            return commands.Result(ok=True, data={"new": False})
        queue = self._queue(command.queue)
        if queue is None:
            return _refused(error_texts.NO_SUCH_QUEUE, queue=command.queue)
        if problem := job_limits.find_violation(command.spec):
            return _refused(
                error_texts.JOB_INVALID, job=command.job, problem=problem
            )
        occurrences = range(max(1, command.spec.repeats))
        steps = command.spec.steps
        tasks = {
            (occurrence, number): [
                job_records.Task() for _ in range(step.count)
            ]
            for occurrence in occurrences
            for number, step in enumerate(steps)
        }
        self.accepted += 1
        self.jobs[command.job] = job_records.Job(
            id=command.job,
            sequence=self.accepted,
            queue=queue,
            spec=command.spec,
            accepted_ms=now_ms,
            tasks=tasks,
            open_tasks=sum(len(row) for row in tasks.values()),
        )
        return commands.Result(ok=True, data={"new": True})

    def cancel(self, command: job_commands.CancelSteps) -> commands.Result:
        """Cancels a job; an ended one stays as it is."""
        job = self.jobs.get(command.job)
        if job is None:
            return _refused(error_texts.NO_SUCH_JOB, job=command.job)
        if job.open_tasks and not job.failed:
            job.cancelled = True
        return commands.Result(ok=True, data={"state": job.state()})

    def start(self, command: job_commands.StartRuns) -> commands.Result:
        """Assigns what is still allowed; returns the numbers of the rest.

        The runs of a gang are assigned all or none.
        """
        groups: dict[jobs.TaskRef, list[int]] = {}
        for number, run in enumerate(command.runs):
            groups.setdefault(self._first_of(run.task), []).append(number)
        refused = itertools.chain.from_iterable(
            numbers
            for numbers in groups.values()
            if not self._start_together([command.runs[n] for n in numbers])
        )
        return commands.Result(ok=True, data={"refused": sorted(refused)})

    def end(self, command: job_commands.EndRuns) -> commands.Result:
        """Records ends; returns how many changed something."""
        changed = sum(self._end_one(end) for end in command.ends)
        return commands.Result(ok=True, data={"changed": changed})

    def open_session(
        self, command: job_commands.OpenSession
    ) -> commands.Result:
        """Begins a session; runs on earlier lives of the worker are lost.

        A new life under the same name may carry out an order that was sent to
        the earlier one, so these runs aren't lost before they are fenced off.
        """
        self.sessions += 1
        lost = [
            jobs.RunEnd(task=ref, attempt=task.attempt, how="lost")
            for ref, task in self.on_worker.get(command.worker, {}).items()
            if task.life != command.life
        ]
        opened = command.fenced or not lost
        if opened:
            self.lives[command.worker] = WorkerLife(
                life=command.life, session=self.sessions, room=command.room
            )
            for end in lost:
                self._end_one(end)
        return commands.Result(
            ok=True,
            data={
                "session": self.sessions,
                "lost": len(lost) if opened else 0,
                "opened": opened,
            },
        )

    def note_checkpoints(
        self, command: job_commands.NoteCheckpoints
    ) -> commands.Result:
        """Records progress of runs that are still assigned."""
        for checkpoint in command.checkpoints:
            task = self.task(checkpoint.task)
            if (
                task is not None
                and task.status == "assigned"
                and task.attempt == checkpoint.attempt
            ):
                for _, member in self._together(checkpoint.task):
                    member.checkpoint = checkpoint.value
        return commands.Result(ok=True)

    def note_disturbances(
        self, command: job_commands.NoteDisturbances
    ) -> commands.Result:
        """Records what was learned about pairs of images."""
        for noted in command.disturbances:
            pair = (noted.serving, noted.filling)
            self.disturbances.pop(pair, None)
            self.disturbances[pair] = noted.weight
        while len(self.disturbances) > jobs.MAX_DISTURBANCES:
            del self.disturbances[next(iter(self.disturbances))]
        return commands.Result(ok=True)

    def forget(self, command: job_commands.ForgetSteps) -> commands.Result:
        """Removes jobs of which nothing is assigned any more."""
        for job_id in command.jobs:
            job = self.jobs.get(job_id)
            if job is not None and not job.active() and not job.assigned():
                del self.jobs[job_id]
        return commands.Result(ok=True)

    def _queue(self, name: str) -> jobs.QueueSettings | None:
        queues = self.configuration.queues if self.configuration else ()
        return next((queue for queue in queues if queue.name == name), None)

    def _first_of(self, ref: jobs.TaskRef) -> jobs.TaskRef:
        """Returns the first task of a task's gang, or the task itself."""
        if self.task(ref) is None or not self.step(ref).gang:
            return ref
        return msgspec.structs.replace(ref, index=0)

    def _together(
        self, ref: jobs.TaskRef
    ) -> list[tuple[jobs.TaskRef, job_records.Task]]:
        """Returns a known task with all others of its gang."""
        row = self.jobs[ref.job].tasks[ref.occurrence, ref.step]
        if not self.step(ref).gang:
            return [(ref, row[ref.index])]
        return [
            (msgspec.structs.replace(ref, index=index), task)
            for index, task in enumerate(row)
        ]

    def _start_together(self, runs: list[jobs.RunStart]) -> bool:
        """Assigns runs that may only start together; returns whether it did."""
        first = runs[0].task
        if self.task(first) is None:
            return False
        named = sorted(run.task for run in runs)
        if (
            named != [ref for ref, _ in self._together(first)]
            or not all(self._may_start(run) for run in runs)
            or not self._have_room(runs)
        ):
            return False
        need = reserved(self.step(first))
        for run in runs:
            job, task = self.jobs[run.task.job], self.task(run.task)
            assert task is not None
            job.started = True
            task.status = "assigned"
            task.attempt = run.attempt
            task.worker = run.worker
            task.life = run.life
            self._occupy(run.task, task, need)
        return True

    def _may_start(self, run: jobs.RunStart) -> bool:
        job = self.jobs.get(run.task.job)
        task = self.task(run.task)
        life = self.lives.get(run.worker)
        if job is None or task is None or life is None:
            return False
        return (
            job.active()
            and task.status == "waiting"
            and run.attempt == task.attempt + 1
            and run.life == life.life
            and job.step_ready(run.task.occurrence, run.task.step)
        )

    def _have_room(self, runs: list[jobs.RunStart]) -> bool:
        """Whether workers have room for all of the runs of one step."""
        need = reserved(self.step(runs[0].task))
        wanted = collections.Counter(run.worker for run in runs)
        return all(
            fits(
                total(self.used_on(worker), *itertools.repeat(need, count)),
                self.lives[worker].room,
            )
            for worker, count in wanted.items()
        )

    def _occupy(
        self, ref: jobs.TaskRef, task: job_records.Task, need: common.Resources
    ) -> None:
        self.on_worker.setdefault(task.worker, {})[ref] = task
        self.used[task.worker] = total(self.used_on(task.worker), need)

    def _release(self, ref: jobs.TaskRef, task: job_records.Task) -> None:
        if self.on_worker.get(task.worker, {}).pop(ref, None) is None:
            return
        need = reserved(self.step(ref))
        used = self.used_on(task.worker)
        self.used[task.worker] = common.Resources(
            millicores=used.millicores - need.millicores,
            memory_mb=used.memory_mb - need.memory_mb,
            accelerators=used.accelerators - need.accelerators,
            slots=used.slots - need.slots,
        )

    def _end_one(self, end: jobs.RunEnd) -> bool:
        job = self.jobs.get(end.task.job)
        task = self.task(end.task)
        if job is None or task is None or task.attempt != end.attempt:
            return False
        late = task.status == "waiting" and end.how == "done"
        if task.status != "assigned" and not late:
            return False
        together = self._together(end.task)
        self._release(end.task, task)
        if end.checkpoint:
            for _, member in together:
                member.checkpoint = end.checkpoint
        task.status = "waiting"
        if job.spec.steps[end.task.step].lasting:
            # It is started again however it ended, from the beginning.
            task.checkpoint = ""
        elif end.how == "done":
            for ref, member in together:
                self._release(ref, member)
                member.status = "done"
            job.open_tasks -= len(together)
        elif end.how == "failed":
            task.failures += 1
            failures = sum(member.failures for _, member in together)
            if failures >= job.queue.max_attempts:
                task.status = "failed"
                job.failed = True
        return True

    # --- Snapshots -----------------------------------------------------------

    def snapshot(self) -> list[Any]:
        """Returns the state as plain lists."""
        return [
            msgspec.to_builtins(self.configuration, builtin_types=(bytes,)),
            self.sessions,
            self.accepted,
            [
                [name, life.life, life.session, msgspec.to_builtins(life.room)]
                for name, life in self.lives.items()
            ],
            [job_records.plain_job(job) for job in self.jobs.values()],
            [[*pair, weight] for pair, weight in self.disturbances.items()],
        ]

    def restore(self, data: list[Any]) -> None:
        """Replaces the state by a snapshot."""
        configuration, self.sessions, self.accepted, lives, rows = data[:5]
        # Snapshots written before disturbances were recorded end here.
        self.disturbances = {
            (serving, filling): weight
            for serving, filling, weight in itertools.chain(*data[5:])
        }
        self.configuration = (
            None
            if configuration is None
            else msgspec.convert(configuration, jobs.Configuration)
        )
        self.lives = {
            name: WorkerLife(
                life=life,
                session=session,
                room=msgspec.convert(room, common.Resources),
            )
            for name, life, session, room in lives
        }
        self.jobs = {row[0]: job_records.restored_job(row) for row in rows}
        self.on_worker = {}
        self.used = {}
        for ref, task in itertools.chain.from_iterable(
            job_records.tasks_of(job) for job in self.jobs.values()
        ):
            if task.status == "assigned":
                self._occupy(ref, task, reserved(self.step(ref)))


def _refused(code: str, **values: object) -> commands.Result:
    return commands.Result(
        ok=False, code=code, text=error_texts.text_for(code, **values)
    )
