"""Deterministic state machine of a control group.

Every replica applies the same batches in the same order and reaches the same
state. Each command is validated against all invariants when it is applied,
regardless of which component proposed it.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import Final

import cbor2
import msgspec
import xxhash

from bamboorouter import error_texts
from bamboorouter.protocol import codec
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.state import assignments
from bamboorouter.state import plan
from bamboorouter.state import request_keys
from bamboorouter.state import resource_math
from bamboorouter.state import sheet_crashes
from bamboorouter.state import stepped_jobs
from bamboorouter.state import workers

SNAPSHOT_VERSION: Final = 1
# Number of fields in snapshots written before jobs with steps existed.
_FIELDS_WITHOUT_STEPS: Final = 8
# Number of fields in snapshots written before withdrawn and begun jobs were
# recorded. Versions without them ignore the fields beyond it.
_FIELDS_WITHOUT_JOB_MARKS: Final = 9
# Entry processes whose last batch number is kept to deduplicate batches of
# request records.
MAX_RECORD_SOURCES: Final = 512


class Machine:
    """The replicated state.

    Attributes:
        config_revision: Counter incremented by each accepted configuration
            change.
        applied_index: Index of the last applied log entry.
        now_ms: Highest wall time of all applied batches, in ms since the
            epoch.
        plan: Services, jobs and recorded answers to operator calls.
        workers: Workers, drains and quarantines.
        assignments: Tasks and their assignments.
        request_keys: Reservations of idempotency keys.
        stepped: Jobs with steps, their configuration and worker sessions.
        record_sources: Incarnation and sequence number of the last batch of
            request records, by name of the entry process.
    """

    def __init__(self) -> None:
        self.config_revision = 0
        self.applied_index = 0
        self.now_ms = 0
        self.plan = plan.Plan()
        self.workers = workers.Workers()
        self.assignments = assignments.Assignments()
        self.request_keys = request_keys.RequestKeys()
        self.stepped = stepped_jobs.SteppedJobs()
        self.record_sources: dict[str, tuple[int, int]] = {}
        self._appliers: dict[type, Callable[[Any], commands.Result]] = {
            commands.AcceptSheet: self._accept_sheet,
            commands.SubmitJob: self._submit_job,
            commands.CancelJob: self._cancel_job,
            commands.SetDrain: self._set_drain,
            commands.RegisterWorker: self._register_worker,
            commands.Assign: self._assign,
            commands.EndTask: self._end_task,
            commands.EvictTask: self._evict_task,
            commands.ConfirmEviction: self._confirm_eviction,
            commands.Quarantine: self._quarantine,
            commands.ReserveRequest: self._reserve_request,
            commands.RecordRequestOutcome: self._record_request_outcome,
            commands.RecordRequests: self._record_requests,
            commands.ReplaceInstance: self._replace_instance,
            commands.FailJob: self._fail_job,
            commands.ForgetWorker: self._forget_worker,
            job_commands.PutConfiguration: self.stepped.put_configuration,
            job_commands.AcceptSteps: self._accept_steps,
            job_commands.CancelSteps: self.stepped.cancel,
            job_commands.StartRuns: self.stepped.start,
            job_commands.EndRuns: self.stepped.end,
            job_commands.OpenSession: self.stepped.open_session,
            job_commands.ForgetSteps: self.stepped.forget,
            job_commands.NoteCheckpoints: self.stepped.note_checkpoints,
            job_commands.NoteDisturbances: self.stepped.note_disturbances,
        }

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        """Applies one log entry and returns a result for each command."""
        self.applied_index = index
        self.now_ms = max(self.now_ms, batch.wall_ms)
        results = [self._apply_one(command) for command in batch.commands]
        self.config_revision = self.plan.config_revision
        return results

    def snapshot(self) -> bytes:
        """Serializes the whole state as CBOR."""
        return cbor2.dumps(
            [
                SNAPSHOT_VERSION,
                self.applied_index,
                self.now_ms,
                self.plan.snapshot(),
                self.workers.snapshot(),
                self.assignments.snapshot(),
                self.request_keys.snapshot(),
                [[name, *pair] for name, pair in self.record_sources.items()],
                self.stepped.snapshot(),
                self.stepped.withdrawn.snapshot(),
                self.stepped.snapshot_begun(),
            ]
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state with the one in a snapshot."""
        fields = codec.loads(data)
        _, index, now_ms, plan_state, worker_state, tasks, keys, sources = (
            fields[:_FIELDS_WITHOUT_STEPS]
        )
        if len(fields) > _FIELDS_WITHOUT_STEPS:
            self.stepped.restore(fields[_FIELDS_WITHOUT_STEPS])
        else:
            self.stepped.restore(stepped_jobs.SteppedJobs().snapshot())
        withdrawn, begun = fields[_FIELDS_WITHOUT_JOB_MARKS:] or ([], [])
        self.stepped.withdrawn.restore(withdrawn)
        self.stepped.restore_begun(begun)
        self.applied_index = index
        self.now_ms = now_ms
        self.plan.restore(plan_state)
        self.config_revision = self.plan.config_revision
        self.workers.restore(worker_state)
        self.assignments.restore(tasks)
        self.request_keys.restore(keys)
        self.record_sources = {
            name: (incarnation, sequence)
            for name, incarnation, sequence in sources
        }

    def _apply_one(self, command: commands.Command) -> commands.Result:
        """Applies a command; a resent operator call gets its first answer."""
        operation_id = getattr(command, "operation_id", "")
        if not operation_id:
            return self._appliers[type(command)](command)
        digest = _call_digest(command)
        if operation_id in self.plan.operations:
            first_digest, first_answer = self.plan.operations[operation_id]
            if first_digest == digest:
                return first_answer
            return workers.refused(
                error_texts.OPERATION_REUSED, operation_id=operation_id
            )
        result = self._appliers[type(command)](command)
        self.plan.record_answer(operation_id, digest, result)
        return result

    # Jobs with steps.

    def _accept_steps(
        self, command: job_commands.AcceptSteps
    ) -> commands.Result:
        return self.stepped.accept(command, self.now_ms)

    # Configuration.

    def _accept_sheet(self, command: commands.AcceptSheet) -> commands.Result:
        known = self.plan.sheets.get(command.revision)
        if known is not None and known.digest == command.digest:
            return known.answer
        if command.revision != self.plan.revision + 1:
            return self._revision_conflict(command)
        conflict = self._name_conflict(command.rows)
        if conflict is not None:
            return conflict
        self.plan.revision = command.revision
        rows = {row.name: row for row in command.rows if row.kind == "service"}
        for name in [n for n in self.plan.services if n not in rows]:
            del self.plan.services[name]
            self._scale_service(name, 0)
        for row in rows.values():
            self.plan.services[row.name] = row
            self._scale_service(row.name, row.count)
        ended = [
            row.name
            for row in command.rows
            if row.kind == "job" and not self._add_or_update_job(row)
        ]
        answer = self._changed(
            sheet_revision=command.revision,
            digest=command.digest,
            already_ended=ended,
        )
        self.plan.record_sheet(command, answer)
        return answer

    def _revision_conflict(
        self, command: commands.AcceptSheet
    ) -> commands.Result:
        return commands.Result(
            ok=False,
            code=error_texts.REVISION_CONFLICT,
            text=error_texts.text_for(
                error_texts.REVISION_CONFLICT,
                offered=command.revision,
                in_force=self.plan.revision,
            ),
            data={
                "sheet_revision": self.plan.revision,
                "digest": self.plan.digest,
                "config_revision": self.plan.config_revision,
            },
        )

    def _name_conflict(
        self, rows: tuple[common.SheetRow, ...]
    ) -> commands.Result | None:
        """Refuses names that are used twice or by the other kind of row.

        A service must not have the name of a known job, nor a job the name of
        a service that still has instances.
        """
        uses = collections.Counter(row.name for row in rows)
        faults = [
            {
                "row": 0,
                "column": "name",
                "value": row.name,
                "allowed": "a name used by one row and no other job or service",
            }
            for row in rows
            if uses[row.name] > 1 or self._name_used_by_other_kind(row)
        ]
        if not faults:
            return None
        return commands.Result(
            ok=False,
            code=error_texts.SHEET_INVALID,
            text=error_texts.text_for(error_texts.SHEET_INVALID),
            data={"faults": faults},
        )

    def _name_used_by_other_kind(self, row: common.SheetRow) -> bool:
        if row.kind == "service":
            return row.name in self.plan.jobs
        return any(
            task.kind == "service"
            for task in self.assignments.tasks_of_row(row.name)
        )

    def _scale_service(self, name: str, count: int) -> None:
        """Adds missing instances of a service and stops surplus ones.

        Waiting instances are removed before running ones are stopped; among
        instances in the same state, the highest numbers are chosen first.
        """
        tasks = [
            task
            for task in self.assignments.tasks_of_row(name)
            if not task.stopping
        ]
        tasks.sort(key=lambda task: (not task.live, task.number))
        successors = {t.replacement for t in tasks if t.replacement}
        originals = [task for task in tasks if task.task not in successors]
        for task in originals[count:]:
            self._stop_instance(task)
        row = self.plan.services.get(name)
        if row is not None:
            for _ in range(count - len(originals)):
                self._add_instance(row)

    def _stop_instance(self, task: assignments.Task) -> None:
        successor = self.assignments.tasks.get(task.replacement)
        for each in (task, successor):
            if each is None:
                continue
            if each.live:
                each.stopping = "surplus"
            else:
                self.assignments.remove(each)

    def _add_instance(self, row: common.SheetRow) -> assignments.Task:
        taken = {t.number for t in self.assignments.tasks_of_row(row.name)}
        number = next(n for n in range(len(taken) + 1) if n not in taken)
        return self.assignments.create(row, number, self.now_ms)

    def _add_or_update_job(self, row: common.SheetRow) -> bool:
        """Adds or updates a job.

        Returns:
            False if the job has already ended or was cancelled or failed; it
            is left unchanged.
        """
        if row.name in self.plan.ended:
            return False
        job = self.plan.jobs.get(row.name)
        if job is None:
            job = plan.Job(row=row, submitted_ms=self.now_ms)
            self.plan.jobs[row.name] = job
        elif job.verdict:
            return False
        elif any(t.epoch for t in self.assignments.tasks_of_row(row.name)):
            # A started job keeps its command: a resumed task must run the
            # program that wrote its checkpoint.
            row = _with_command(row, job.row.command)
        job.row = row
        self._scale_job(job)
        return True

    def _scale_job(self, job: plan.Job) -> None:
        """Adds missing tasks and cancels surplus ones that never started."""
        tasks = self.assignments.tasks_of_row(job.row.name)
        known = {task.number for task in tasks}
        for number in range(job.row.count):
            if number not in known:
                self.assignments.create(job.row, number, self.now_ms)
                job.open_tasks += 1
        for task in tasks:
            unstarted = task.status == "pending" and not task.epoch
            if unstarted and task.number >= job.row.count:
                self._finish(task, "cancelled")

    def _submit_job(self, command: commands.SubmitJob) -> commands.Result:
        row = command.row
        job = self.plan.jobs.get(row.name)
        if job is not None and job.row == row:
            return self._unchanged(job=row.name)
        if job is not None or self.plan.row(row.name) is not None:
            return workers.refused(error_texts.JOB_EXISTS, job=row.name)
        if self._name_used_by_other_kind(row):
            return workers.refused(error_texts.JOB_EXISTS, job=row.name)
        if not self.workers.can_ever_run(resource_math.declared(row)):
            return workers.refused(error_texts.JOB_CANNOT_RUN, job=row.name)
        self._add_or_update_job(row)
        return self._changed(job=row.name)

    def _cancel_job(self, command: commands.CancelJob) -> commands.Result:
        job = self.plan.jobs.get(command.job)
        if job is None:
            return workers.refused(error_texts.NO_SUCH_JOB, job=command.job)
        if job.verdict == "cancelled" or not job.open_tasks:
            return self._unchanged(job=command.job)
        job.verdict = "cancelled"
        job.reason = f"cancelled by {command.operator}"
        for task in self.assignments.tasks_of_row(command.job):
            if task.live:
                task.stopping = "cancelled"
            elif task.status == "pending":
                self._finish(task, "cancelled")
        return self._changed(job=command.job)

    def _set_drain(self, command: commands.SetDrain) -> commands.Result:
        if command.draining and (
            refusal := self.workers.drain_refusal(command.target)
        ):
            return refusal
        if self.workers.set_drain(command.target, command.draining):
            return self._changed(target=command.target)
        return self._unchanged(target=command.target)

    def _changed(self, **data: Any) -> commands.Result:
        self.plan.config_revision += 1
        return self._unchanged(**data)

    def _unchanged(self, **data: Any) -> commands.Result:
        data["config_revision"] = self.plan.config_revision
        return commands.Result(ok=True, data=data)

    # Workers and tasks.

    def _register_worker(
        self, command: commands.RegisterWorker
    ) -> commands.Result:
        return self.workers.register(command)

    def _forget_worker(self, command: commands.ForgetWorker) -> commands.Result:
        if command.worker in self.assignments.on_worker:
            return workers.refused(
                error_texts.WORKER_IN_USE, worker=command.worker
            )
        self.workers.by_name.pop(command.worker, None)
        return commands.Result(ok=True)

    def _quarantine(self, command: commands.Quarantine) -> commands.Result:
        return self.workers.quarantine(command, self.now_ms)

    def _assign(self, command: commands.Assign) -> commands.Result:
        refusal = self.workers.refusal(command.worker, self.now_ms)
        if refusal is not None:
            return refusal
        capacity = self.workers.by_name[command.worker].capacity
        row = self.plan.row(command.task.rpartition("/")[0])
        spec = plan.spec_digest(row) if row is not None else 0
        return self.assignments.assign(command, capacity, self.now_ms, spec)

    def _end_task(self, command: commands.EndTask) -> commands.Result:
        task = self.assignments.live_task(command.task, command.epoch)
        if isinstance(task, commands.Result):
            return (
                self._accept_late_finish(command)
                or sheet_crashes.count_late(self.assignments, command)
                or task
            )
        sheet_crashes.record_end(task, command, self.now_ms)
        worker = task.worker
        if command.outcome in ("failed", "given_up"):
            self.assignments.record_failure(
                task, worker, command.detail, self.now_ms
            )
        if command.outcome == "finished":
            self.workers.record_success(worker)
        self._release(task, command.checkpoint)
        if task.status == "pending" and task.kind == "batch":
            self._end_batch_task(task, command.outcome)
        return _state_result(
            task, removed=task.task not in self.assignments.tasks
        )

    def _accept_late_finish(
        self, command: commands.EndTask
    ) -> commands.Result | None:
        """Accepts a finish report that arrives after the assignment ended.

        A task that waits and still has the epoch of the reported assignment
        has not been assigned again, so it is marked finished instead of
        repeating its work.

        Returns:
            The result; None if the report does not qualify.
        """
        task = self.assignments.tasks.get(command.task)
        if (
            task is None
            or command.outcome != "finished"
            or (task.kind, task.status) != ("batch", "pending")
            or not 0 < task.epoch == command.epoch
        ):
            return None
        self._finish(task, "finished")
        return _state_result(
            task, removed=task.task not in self.assignments.tasks
        )

    def _end_batch_task(self, task: assignments.Task, outcome: str) -> None:
        """Moves a released task to a final state, unless it is to run again.

        A finished task is final. A failed one is final if its outcome is
        "given_up" or its job has failed.
        """
        job = self.plan.jobs[task.row]
        no_retry = outcome == "given_up" or job.verdict == "failed"
        if outcome == "finished":
            self._finish(task, "finished")
        elif no_retry and outcome in ("failed", "given_up"):
            self._finish(task, "failed")

    def _evict_task(self, command: commands.EvictTask) -> commands.Result:
        task = self.assignments.live_task(
            command.task, command.epoch, ("assigned",)
        )
        if isinstance(task, commands.Result):
            return task
        task.status = "evicting"
        task.detail = command.reason
        return _state_result(task)

    def _confirm_eviction(
        self, command: commands.ConfirmEviction
    ) -> commands.Result:
        task = self.assignments.live_task(
            command.task, command.epoch, ("evicting",)
        )
        if isinstance(task, commands.Result):
            return task
        task.evictions += 1
        sheet_crashes.clear_after(task, self.now_ms - task.assigned_ms)
        self._release(task, command.checkpoint)
        return _state_result(
            task, removed=task.task not in self.assignments.tasks
        )

    def _release(self, task: assignments.Task, checkpoint: str) -> None:
        """Ends an assignment.

        A cancelled task moves to its final state, and a surplus or replaced
        instance is removed; any other task waits again.
        """
        stopping = task.stopping
        self.assignments.release(task, checkpoint, self.now_ms)
        if stopping == "cancelled":
            self._finish(task, "cancelled")
        elif stopping == "surplus" or self._has_successor(task):
            self.assignments.remove(task)

    def _has_successor(self, task: assignments.Task) -> bool:
        return task.replacement in self.assignments.tasks

    def _finish(
        self, task: assignments.Task, status: assignments.TaskStatus
    ) -> None:
        self.assignments.finish(task, status)
        job = self.plan.jobs[task.row]
        if status in ("finished", "failed", "cancelled"):
            job.count(status)
        if not job.open_tasks:
            for name in self.plan.end_job(task.row):
                for ended in self.assignments.tasks_of_row(name):
                    self.assignments.remove(ended)

    def _replace_instance(
        self, command: commands.ReplaceInstance
    ) -> commands.Result:
        task = self.assignments.live_task(command.task, command.epoch)
        if isinstance(task, commands.Result):
            return task
        row = self.plan.services.get(task.row)
        if row is None or task.stopping or self._has_successor(task):
            return workers.refused(
                error_texts.STALE_EPOCH, task=task.task, epoch=task.epoch
            )
        successor = self._add_instance(row)
        task.replacement = successor.task
        return commands.Result(ok=True, data={"task": successor.task})

    def _fail_job(self, command: commands.FailJob) -> commands.Result:
        job = self.plan.jobs.get(command.job)
        if job is None or not job.open_tasks or job.verdict:
            return workers.refused(error_texts.NO_SUCH_JOB, job=command.job)
        job.verdict = "failed"
        job.code = command.code
        job.reason = command.reason
        for task in self.assignments.tasks_of_row(command.job):
            if task.status == "pending":
                task.detail = command.reason
                self._finish(task, "failed")
        return commands.Result(ok=True, data={"job": command.job})

    # Requests.

    def _reserve_request(
        self, command: commands.ReserveRequest
    ) -> commands.Result:
        return self.request_keys.reserve(command, self.now_ms)

    def _record_request_outcome(
        self, command: commands.RecordRequestOutcome
    ) -> commands.Result:
        return self.request_keys.record(command, self.now_ms)

    def _record_requests(
        self, command: commands.RecordRequests
    ) -> commands.Result:
        """Deduplicates a batch; its records are kept only in the log."""
        last = self.record_sources.pop(command.entry, (0, 0))
        repeated = (
            last[0] == command.incarnation and command.sequence <= last[1]
        )
        self.record_sources[command.entry] = (
            last if repeated else (command.incarnation, command.sequence)
        )
        while len(self.record_sources) > MAX_RECORD_SOURCES:
            del self.record_sources[next(iter(self.record_sources))]
        return commands.Result(ok=True, data={"repeated": repeated})


def _call_digest(command: commands.Command) -> int:
    """Returns a digest of a call that is the same for each resend of it."""
    plain = [type(command).__name__]
    for name in command.__struct_fields__:
        # The rows of a sheet are covered by its digest field.
        if name not in ("operation_id", "operator", "rows"):
            plain.append(msgspec.to_builtins(getattr(command, name)))
    return xxhash.xxh3_64_intdigest(cbor2.dumps(plain))


def _state_result(
    task: assignments.Task, *, removed: bool = False
) -> commands.Result:
    state = "removed" if removed else task.status
    return commands.Result(ok=True, data={"state": state})


def _with_command(row: common.SheetRow, command: str) -> common.SheetRow:
    fields = {name: getattr(row, name) for name in row.__struct_fields__}
    return common.SheetRow(**{**fields, "command": command})
