"""Replicated state of jobs with steps.

A job with steps is submitted by a caller; the batch jobs that operators declare
are in `plan`. Each step has tasks and can depend on other steps. A scheduled
job repeats all its steps; each repetition is an occurrence.

A task is waiting, assigned, done or failed. An assignment names the
incarnation of a worker and an attempt. Apart from the end of the current
attempt, only that of an attempt that was given up changes a task (see
`given_up_runs`). A run that was declared lost and is reported done later counts
as done if the task has not been started again; if it has, the leader commits
the success under the current attempt (see `run_ends`).

Gang scheduling: the tasks of a gang can only run together, so they are assigned
by one command under the same attempt number. If one of them is done, all are;
their failures are added up, and a checkpoint of one applies to all.

Applying a command validates it regardless of which component proposed it: at
most one assignment for each task, steps in order, the capacity of the worker,
and the limit of failed attempts.
"""

import collections
from collections.abc import Iterable
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
from bamboorouter.state import crash_conviction
from bamboorouter.state import given_up_runs
from bamboorouter.state import job_records
from bamboorouter.state import resource_math
from bamboorouter.state import withdrawn_jobs

_NO_RESOURCES: Final = common.Resources()


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerIncarnation:
    """The newest known incarnation of a worker.

    Attributes:
        life: ID of the incarnation.
        session: Number of the newest session of its agent.
        room: Capacity of the worker when that session was opened.
    """

    life: str
    session: int
    room: common.Resources


def total(*amounts: common.Resources) -> common.Resources:
    """Returns the sum of any number of amounts."""
    return common.Resources(
        millicores=sum(a.millicores for a in amounts),
        memory_mb=sum(a.memory_mb for a in amounts),
        accelerators=sum(a.accelerators for a in amounts),
        slots=sum(a.slots for a in amounts),
    )


def fits(need: common.Resources, capacity: common.Resources) -> bool:
    """Whether `need` is at most `capacity`; slots are not limited."""
    return (
        need.millicores <= capacity.millicores
        and need.memory_mb <= capacity.memory_mb
        and need.accelerators <= capacity.accelerators
    )


def reserved(step: jobs.Step) -> common.Resources:
    """Returns what a task of a step reserves on a worker."""
    return resource_math.reserved(step.need, fills=step.fills)


class SteppedJobs:
    """All jobs with steps, the configuration and the workers' sessions.

    Attributes:
        configuration: Configuration in force; None before the first one.
        jobs: Jobs by ID, in order of acceptance.
        withdrawn: IDs of jobs that were cancelled before they were submitted.
            The leader refuses these jobs; applying `AcceptSteps` doesn't, since
            replicas of earlier versions don't record the IDs.
        incarnations: Newest incarnation of each worker by name.
        on_worker: Assigned tasks by worker.
        used: Resources reserved by the assigned tasks, by worker.
        last_session: Number of the newest session.
        accepted_count: Number of jobs accepted so far.
        given_up: Runs that were given up.
        disturbances: Measured weight of the interference, by image of the
            serving tasks and image of the filling tasks.
    """

    def __init__(self) -> None:
        self.configuration: jobs.Configuration | None = None
        self.jobs: dict[str, job_records.Job] = {}
        self.withdrawn = withdrawn_jobs.WithdrawnJobs()
        self.incarnations: dict[str, WorkerIncarnation] = {}
        self.on_worker: dict[str, dict[jobs.TaskRef, job_records.Task]] = {}
        self.used: dict[str, common.Resources] = {}
        self.last_session = 0
        self.accepted_count = 0
        self.given_up = given_up_runs.GivenUpRuns()
        self.disturbances: dict[jobs.ImagePair, float] = {}

    # --- Reading -------------------------------------------------------------

    def version(self) -> int:
        """Returns the configuration version in force; -1 before the first."""
        return -1 if self.configuration is None else self.configuration.version

    def task(self, ref: jobs.TaskRef) -> job_records.Task | None:
        """Returns a task; None if the reference names no known task."""
        job = self.jobs.get(ref.job)
        tasks = job.tasks.get((ref.occurrence, ref.step)) if job else None
        if tasks is None or not 0 <= ref.index < len(tasks):
            return None
        return tasks[ref.index]

    def step(self, ref: jobs.TaskRef) -> jobs.Step:
        """Returns the step of a known task."""
        return self.jobs[ref.job].spec.steps[ref.step]

    def must_run(self, run: jobs.RunStart) -> bool:
        """Whether a run is assigned and its job hasn't ended."""
        task = self.task(run.task)
        return (
            task is not None
            and task.status == "assigned"
            and (task.worker, task.life, task.attempt)
            == (run.worker, run.life, run.attempt)
            and self.jobs[run.task.job].active()
        )

    def resolves_given_up_run(self, end: jobs.RunEnd) -> bool:
        """Whether an end is that of a run that was given up.

        Only an end that a worker has listed is; lost and rejected runs haven't
        been listed.
        """
        task = self.task(end.task)
        return (
            task is not None
            and end.how not in ("lost", "rejected")
            and given_up_runs.find_run(task, end.attempt) is not None
        )

    def gang_incomplete(self, ref: jobs.TaskRef) -> bool:
        """Whether any task of a task's gang is not assigned."""
        return any(task.status != "assigned" for _, task in self.group_of(ref))

    def waiting_jobs(self, queue: jobs.QueueKey) -> int:
        """Returns of how many active jobs of a queue no task has begun."""
        return sum(
            job.queue.key == queue and not job.begun and job.active()
            for job in self.jobs.values()
        )

    def used_on(self, worker: str) -> common.Resources:
        """Returns what the assigned tasks reserve on a worker."""
        return self.used.get(worker, _NO_RESOURCES)

    # --- Applying ------------------------------------------------------------

    def put_configuration(
        self, command: job_commands.PutConfiguration
    ) -> commands.Result:
        """Puts a configuration in force if its version is higher."""
        if command.configuration.version > self.version():
            self.configuration = command.configuration
        return commands.Result(ok=True, data={"version": self.version()})

    def accept(
        self, command: job_commands.AcceptSteps, now_ms: int
    ) -> commands.Result:
        """Accepts a job; a job that is already known is left unchanged.

        A job is refused if another queue has one with its ID, because the names
        of tasks contain the ID only.
        """
        known = self.jobs.get(command.job)
        if known is not None:
            if command.key not in (None, known.queue.key):
                return _refused(error_texts.JOB_ID_IN_USE, job=command.job)
            return commands.Result(ok=True, data={"new": False})
        queue = self._queue_of(command)
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
        self.accepted_count += 1
        self.withdrawn.discard(command.job)
        self.jobs[command.job] = job_records.Job(
            id=command.job,
            sequence=self.accepted_count,
            queue=queue,
            spec=command.spec,
            accepted_ms=now_ms,
            tasks=tasks,
            open_tasks=sum(len(members) for members in tasks.values()),
        )
        return commands.Result(ok=True, data={"new": True})

    def cancel(self, command: job_commands.CancelSteps) -> commands.Result:
        """Cancels a job; an ended job is left unchanged.

        Returns:
            A result whose data holds the job's state, which is empty if the
            job isn't known and its ID was recorded as withdrawn.
        """
        job = self.jobs.get(command.job)
        if job is None:
            return self._withdraw(command)
        if command.key not in (None, job.queue.key):
            return _refused(error_texts.NO_SUCH_JOB, job=command.job)
        if job.open_tasks and not job.failed:
            job.cancelled = True
        return commands.Result(ok=True, data={"state": job.state()})

    def _withdraw(self, command: job_commands.CancelSteps) -> commands.Result:
        if not command.withdraw:
            return _refused(error_texts.NO_SUCH_JOB, job=command.job)
        if not self.withdrawn.add(command.job):
            return _refused(error_texts.TOO_MANY_WITHDRAWN, job=command.job)
        return commands.Result(ok=True, data={"state": ""})

    def start(self, command: job_commands.StartRuns) -> commands.Result:
        """Assigns the runs that are valid; the runs of a gang all or none.

        Returns:
            A result whose data holds the positions of the refused runs.
        """
        groups: dict[jobs.TaskRef, list[int]] = {}
        for number, run in enumerate(command.runs):
            groups.setdefault(self._group_key(run.task), []).append(number)
        refused = itertools.chain.from_iterable(
            numbers
            for numbers in groups.values()
            if not self._start_group(
                [command.runs[n] for n in numbers], command.at_ms
            )
        )
        return commands.Result(ok=True, data={"refused": sorted(refused)})

    def end(self, command: job_commands.EndRuns) -> commands.Result:
        """Ends runs.

        Returns:
            A result whose data holds how many ends changed a task, and the
            tasks that are given up because workers crashed under them.
        """
        changed = [
            end
            for end in command.ends
            if self._end_run(end, tracked=command.tracked)
        ]
        given_up = [
            end.task
            for end in changed
            if command.tracked
            and end.how == "lost"
            and self._give_up_suspect(end.task)
        ]
        return commands.Result(
            ok=True,
            data={
                "changed": len(changed),
                "given_up": [self._crashes_of(ref) for ref in given_up],
            },
        )

    def _give_up_suspect(self, ref: jobs.TaskRef) -> bool:
        """Gives a task up that was lost; returns whether it was suspicious."""
        job, task = self.jobs[ref.job], self.task(ref)
        assert task is not None
        if not job.active() or crash_conviction.may_start_again(task):
            return False
        self._fail(job, task)
        return True

    def _crashes_of(self, ref: jobs.TaskRef) -> tuple[str, int, int]:
        """Returns a task with its crashes and confirmed ones, for a result."""
        task = self.task(ref)
        assert task is not None
        return (str(ref), task.crashes, task.confirmed_crashes)

    def open_session(
        self, command: job_commands.OpenSession
    ) -> commands.Result:
        """Opens a session; runs of earlier incarnations are declared lost.

        If the earlier incarnation crashed, the crash is counted for the tasks
        of these runs, and of those that were given up there before. The result
        names the tasks that several workers crashed under.

        A start order sent to the earlier incarnation may still be executed by
        the new one, which has the same name. Therefore the session is refused
        if there are such runs, unless the command says that they are fenced.
        """
        self.last_session += 1
        lost = [
            jobs.RunEnd(task=ref, attempt=task.attempt, how="lost")
            for ref, task in self.on_worker.get(command.worker, {}).items()
            if task.life != command.life
        ]
        opened = command.fenced or not lost
        suspects: list[crash_conviction.CrashedTask] = []
        convicted: list[crash_conviction.CrashedTask] = []
        if opened:
            before = self.incarnations.get(command.worker)
            self.incarnations[command.worker] = WorkerIncarnation(
                life=command.life, session=self.last_session, room=command.room
            )
            for end in lost:
                self._end_run(end, tracked=bool(command.ended.life))
            self._mark_begun(run.task.job for run in command.ended.started)
            if before is not None and before.life == command.ended.life:
                suspects, convicted = self._count_crash(command)
        return commands.Result(
            ok=True,
            data={
                "session": self.last_session,
                "lost": len(lost) if opened else 0,
                "opened": opened,
                "suspects": _crashes(suspects),
                "given_up": _crashes(convicted),
            },
        )

    def _count_crash(
        self, command: job_commands.OpenSession
    ) -> tuple[
        list[crash_conviction.CrashedTask], list[crash_conviction.CrashedTask]
    ]:
        """Counts the crash of a worker, if it may have been one.

        An unknown end counts as an unconfirmed crash.

        Returns:
            The tasks that other workers have crashed under before, and those
            whose jobs fail.
        """
        self.given_up.revoke_crash(command.worker, command.life)
        ended = command.ended
        if ended.how == "left":
            return [], []
        tasks = [
            crash_conviction.CrashedTask(
                ref=ref,
                crashes=task.confirmed_crashes,
                early=task.confirmed_early_crashes,
                unconfirmed=task.crashes - task.confirmed_crashes,
                confirmed_now=given_up_runs.crash_confirmed(
                    task, command.worker, ended.life
                ),
                early_now=given_up_runs.crashed_early(task),
                age_spread_ms=given_up_runs.crash_age_spread_ms(task),
            )
            for ref, task in self.given_up.count_crash(
                command.worker,
                ended.life,
                over_ms=ended.over_ms,
                started=ended.started,
                proven=ended.how == "crashed",
                dated=ended.dated,
            )
            if task.status != "done"
        ]
        # The runs of an ended job go on until they are stopped, so that they
        # are suspects as well.
        convicted = [
            task
            for task in crash_conviction.convicted(tasks)
            if self.jobs[task.ref.job].active()
        ]
        for crashed in convicted:
            task = self.task(crashed.ref)
            assert task is not None
            self._fail(self.jobs[crashed.ref.job], task)
        suspects = [
            task
            for task in tasks
            if task.total > 1 and self.jobs[task.ref.job].active()
        ]
        return suspects, convicted

    def note_checkpoints(
        self, command: job_commands.NoteCheckpoints
    ) -> commands.Result:
        """Records checkpoints and begun jobs, and clears suspects."""
        self._mark_begun(command.begun)
        for checkpoint in command.checkpoints:
            task = self.task(checkpoint.task)
            if (
                task is not None
                and task.status == "assigned"
                and task.attempt == checkpoint.attempt
            ):
                for _, member in self.group_of(checkpoint.task):
                    member.checkpoint = checkpoint.value
        for run in command.cleared:
            task = self.task(run.task)
            if (
                task is not None
                and task.status == "assigned"
                and task.attempt == run.attempt
            ):
                self.given_up.clear_crashes(run.task, task)
        return commands.Result(ok=True)

    def _mark_begun(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            if job_id in self.jobs:
                self.jobs[job_id].begun = True

    def note_disturbances(
        self, command: job_commands.NoteDisturbances
    ) -> commands.Result:
        """Records measured interference between pairs of images."""
        for noted in command.disturbances:
            pair = (noted.serving, noted.filling)
            self.disturbances.pop(pair, None)
            self.disturbances[pair] = noted.weight
        while len(self.disturbances) > jobs.MAX_DISTURBANCES:
            del self.disturbances[next(iter(self.disturbances))]
        return commands.Result(ok=True)

    def forget(self, command: job_commands.ForgetSteps) -> commands.Result:
        """Removes withdrawn jobs, and ended ones that have no assigned task."""
        for job_id in command.jobs:
            self.withdrawn.discard(job_id)
            job = self.jobs.get(job_id)
            if job is not None and not job.active() and not job.assigned():
                self.given_up.forget(job_records.tasks_of(job))
                del self.jobs[job_id]
        return commands.Result(ok=True)

    def _queue_of(
        self, command: job_commands.AcceptSteps
    ) -> jobs.QueueSettings | None:
        """Returns the queue in force for a job that is accepted.

        A command of an earlier version has only the name of the queue, which
        may be that of several. All replicas must apply it as that version did,
        so the first of them is taken.
        """
        if self.configuration is None:
            return None
        if command.key is None:
            return self.configuration.first_queue_named(command.queue)
        return self.configuration.queue(command.key)

    def _group_key(self, ref: jobs.TaskRef) -> jobs.TaskRef:
        """Returns the first task of a task's gang, or the task itself."""
        if self.task(ref) is None or not self.step(ref).gang:
            return ref
        return msgspec.structs.replace(ref, index=0)

    def group_of(
        self, ref: jobs.TaskRef
    ) -> list[tuple[jobs.TaskRef, job_records.Task]]:
        """Returns a known task with the other tasks of its gang, if any."""
        members = self.jobs[ref.job].tasks[ref.occurrence, ref.step]
        if not self.step(ref).gang:
            return [(ref, members[ref.index])]
        return [
            (msgspec.structs.replace(ref, index=index), task)
            for index, task in enumerate(members)
        ]

    def _start_group(self, runs: list[jobs.RunStart], at_ms: int) -> bool:
        """Assigns the runs of one group if all are valid.

        Args:
            runs: The runs.
            at_ms: Wall time of the assignment in ms; 0 if unknown.

        Returns:
            Whether the runs were assigned.
        """
        first = runs[0].task
        if self.task(first) is None:
            return False
        refs = sorted(run.task for run in runs)
        if (
            refs != [ref for ref, _ in self.group_of(first)]
            or not all(self._can_start(run) for run in runs)
            or not self._have_capacity(runs)
        ):
            return False
        need = reserved(self.step(first))
        for run in runs:
            task = self.task(run.task)
            assert task is not None
            task.status = "assigned"
            task.attempt = run.attempt
            task.worker = run.worker
            task.life = run.life
            task.assigned_ms = at_ms
            self._reserve(run.task, task, need)
        return True

    def _can_start(self, run: jobs.RunStart) -> bool:
        job = self.jobs.get(run.task.job)
        task = self.task(run.task)
        incarnation = self.incarnations.get(run.worker)
        if job is None or task is None or incarnation is None:
            return False
        return (
            job.active()
            and task.status == "waiting"
            and run.attempt == task.attempt + 1
            and run.life == incarnation.life
            and job.step_ready(run.task.occurrence, run.task.step)
        )

    def _have_capacity(self, runs: list[jobs.RunStart]) -> bool:
        """Whether the workers have capacity for all the runs of one step."""
        need = reserved(self.step(runs[0].task))
        wanted = collections.Counter(run.worker for run in runs)
        return all(
            fits(
                total(self.used_on(worker), *itertools.repeat(need, count)),
                self.incarnations[worker].room,
            )
            for worker, count in wanted.items()
        )

    def _reserve(
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

    def _end_run(self, end: jobs.RunEnd, *, tracked: bool) -> bool:
        """Ends a run.

        Args:
            end: The end.
            tracked: Whether runs that are given up are recorded.

        Returns:
            Whether the end changed its task.
        """
        job = self.jobs.get(end.task.job)
        task = self.task(end.task)
        if job is None or task is None:
            return False
        if end.how not in ("lost", "rejected") or end.started:
            job.begun = True
        resolved = tracked and self._resolve_given_up_run(job, task, end)
        if task.attempt != end.attempt:
            return resolved
        late_success = task.status == "waiting" and end.how == "done"
        if task.status != "assigned" and not late_success:
            return resolved
        group = self.group_of(end.task)
        self._release(end.task, task)
        if tracked and end.how in ("lost", "rejected"):
            self.given_up.add(
                end.task, task, lost=end.how == "lost", started=end.started
            )
        if end.checkpoint:
            for _, member in group:
                member.checkpoint = end.checkpoint
        task.status = "waiting"
        if job.spec.steps[end.task.step].lasting:
            # A lasting task is restarted from the beginning, however it ended.
            task.checkpoint = ""
        elif end.how == "done":
            for ref, member in group:
                self._release(ref, member)
                member.status = "done"
            job.open_tasks -= len(group)
        elif end.how == "failed":
            self._count_failure(job, end.task, task)
        return True

    def _resolve_given_up_run(
        self, job: job_records.Job, task: job_records.Task, end: jobs.RunEnd
    ) -> bool:
        """Takes note of how a run ended that was given up.

        Returns:
            Whether the end is that of such a run.
        """
        if not self.resolves_given_up_run(end):
            return False
        self.given_up.resolve(end.task, task, end.attempt)
        if (
            end.how == "failed"
            and task.status in ("waiting", "assigned")
            and not job.spec.steps[end.task.step].lasting
        ):
            self._count_failure(job, end.task, task)
        return True

    def _count_failure(
        self, job: job_records.Job, ref: jobs.TaskRef, task: job_records.Task
    ) -> None:
        """Counts a failure; at the limit, the job fails.

        A later attempt that is assigned takes its resources until its end.
        """
        task.failures += 1
        failures = sum(member.failures for _, member in self.group_of(ref))
        if failures >= job.queue.max_attempts:
            self._fail(job, task)

    def _fail(self, job: job_records.Job, task: job_records.Task) -> None:
        job.failed = True
        if task.status == "waiting":
            task.status = "failed"

    # --- Snapshots -----------------------------------------------------------

    def snapshot(self) -> list[Any]:
        """Returns the state as plain lists for a snapshot."""
        return [
            msgspec.to_builtins(self.configuration, builtin_types=(bytes,)),
            self.last_session,
            self.accepted_count,
            [
                [
                    name,
                    incarnation.life,
                    incarnation.session,
                    msgspec.to_builtins(incarnation.room),
                ]
                for name, incarnation in self.incarnations.items()
            ],
            [job_records.job_to_lists(job) for job in self.jobs.values()],
            [[*pair, weight] for pair, weight in self.disturbances.items()],
        ]

    def snapshot_begun(self) -> list[str]:
        """Returns the IDs of the jobs that have begun, for a snapshot."""
        return [job.id for job in self.jobs.values() if job.begun]

    def restore_begun(self, job_ids: Iterable[str]) -> None:
        """Restores, after `restore`, which jobs have begun."""
        self._mark_begun(job_ids)

    def restore(self, data: list[Any]) -> None:
        """Replaces the state with the one in a snapshot."""
        config, self.last_session, self.accepted_count, incarnations, plain = (
            data[:5]
        )
        # Snapshots written before disturbances were recorded have only the
        # first five fields.
        self.disturbances = {
            (serving, filling): weight
            for serving, filling, weight in itertools.chain(*data[5:])
        }
        self.configuration = (
            None
            if config is None
            else msgspec.convert(config, jobs.Configuration)
        )
        self.incarnations = {
            name: WorkerIncarnation(
                life=life,
                session=session,
                room=msgspec.convert(room, common.Resources),
            )
            for name, life, session, room in incarnations
        }
        self.jobs = {job[0]: job_records.job_from_lists(job) for job in plain}
        self.on_worker = {}
        self.used = {}
        self.given_up.restore(
            itertools.chain.from_iterable(
                job_records.tasks_of(job) for job in self.jobs.values()
            )
        )
        for ref, task in itertools.chain.from_iterable(
            job_records.tasks_of(job) for job in self.jobs.values()
        ):
            if task.status == "assigned":
                self._reserve(ref, task, reserved(self.step(ref)))


def _crashes(
    tasks: Iterable[crash_conviction.CrashedTask],
) -> list[tuple[str, int, int]]:
    """Returns tasks with their crashes and confirmed ones, for a result."""
    return [(str(task.ref), task.total, task.crashes) for task in tasks]


def _refused(code: str, **values: object) -> commands.Result:
    return commands.Result(
        ok=False, code=code, text=error_texts.text_for(code, **values)
    )
