"""Handles operator calls on the leader.

A change is committed under the operation ID of the call, so that a repeated
call receives the first result from the state machine. If the result of a change
is unknown, the call is answered with a redirect instead of an operator reply,
and the entry repeats it to the replica that is leader by then.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Final
from typing import Protocol

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import events
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.scheduling import route_publisher
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import commands
from bamboorouter.protocol import messages
from bamboorouter.protocol import sheet
from bamboorouter.protocol import value_limits
from bamboorouter.state import assignments
from bamboorouter.state import machine

PROPOSE_TIMEOUT_MS: Final = 4000
# A reply must fit into one frame and stay readable for an operator.
MAX_TASKS_LISTED: Final = 2000
MAX_WAITING_LISTED: Final = 200
MAX_WAITING_OF_ROW: Final = 5

Arguments = dict[str, Any]


class GroupMembership(Protocol):
    """Membership of the control group."""

    def members(self) -> list[dict[str, Any]]:
        """Returns the address, role and progress of each replica."""
        ...

    async def change_members(
        self, *, action: str, member: str, address: str, timeout_ms: int
    ) -> None:
        """Adds, promotes or removes one replica.

        Args:
            action: "add_learner", "promote" or "remove".
            member: ID of the replica.
            address: Address of the replica; may be empty unless it is added.
            timeout_ms: How long to wait for the change, in ms.

        Raises:
            RefusedError: The change isn't allowed now.
        """
        ...


Explain = Callable[[Arguments], Awaitable[dict[str, Any]]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _BadArgumentError(Exception):
    """An argument of a call is missing or of the wrong type."""

    argument: str


class OperatorHandler:
    """Executes operator calls.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        scheduler: The scheduling loop of the leader.
        routes: Route table and the last polls of entries.
        group: Membership of the control group.
        explain: Returns the explanation of a subject.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        scheduling_loop: scheduler.Scheduler,
        routes: route_publisher.RoutePublisher,
        group: GroupMembership,
        explain: Explain,
    ) -> None:
        self.log = log
        self.clock = time
        self.scheduler = scheduling_loop
        self.routes = routes
        self.group = group
        self.explain = explain
        self._handlers: dict[
            str,
            Callable[
                [messages.OperatorCall], Awaitable[messages.OperatorReply]
            ],
        ] = {
            "submit_sheet": self._submit_sheet,
            "submit_job": self._submit_job,
            "cancel_job": self._cancel_job,
            "drain": self._drain,
            "status": self._status,
            "explain": self._explain,
            "members": self._members,
        }

    async def call(self, call: messages.OperatorCall) -> messages.OperatorReply:
        """Executes one call.

        Raises:
            NotLeaderError: This replica isn't leader; nothing was changed.
            UnknownResultError: The change may or may not have been committed.
        """
        handler = self._handlers.get(call.operation)
        if handler is None:
            return _refused_reply(
                error_texts.UNKNOWN_OPERATION, operation=call.operation
            )
        try:
            reply = await handler(call)
        except _BadArgumentError as err:
            reply = _refused_reply(
                error_texts.BAD_ARGUMENT, argument=err.argument
            )
        except sheet.SheetInvalidError as err:
            faults = [fault.plain() for fault in err.faults]
            reply = messages.OperatorReply(
                ok=False, code=err.code, text=err.text, data={"faults": faults}
            )
        if call.operation not in ("status", "explain"):
            events.log(
                events.OPERATION_ANSWERED,
                operation=call.operation,
                operation_id=call.operation_id,
                operator=call.operator,
                ok=reply.ok,
                code=reply.code,
            )
        return reply

    async def _submit_sheet(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        content = call.arguments.get("csv")
        if isinstance(content, str):
            content = content.encode()
        if not isinstance(content, bytes):
            raise _BadArgumentError(argument="csv")
        parsed = sheet.parse_sheet(content)
        return await self._commit(
            commands.AcceptSheet(
                operation_id=call.operation_id,
                operator=call.operator,
                revision=parsed.revision,
                digest=parsed.digest,
                rows=parsed.rows,
            )
        )

    async def _submit_job(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        fields = call.arguments.get("row", call.arguments)
        if not isinstance(fields, dict):
            raise _BadArgumentError(argument="row")
        return await self._commit(
            commands.SubmitJob(
                operation_id=call.operation_id,
                operator=call.operator,
                row=sheet.parse_job(fields),
            )
        )

    async def _cancel_job(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        return await self._commit(
            commands.CancelJob(
                operation_id=call.operation_id,
                operator=call.operator,
                job=_text_argument(call, "job"),
            )
        )

    async def _drain(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        draining = call.arguments.get("on", True)
        if not isinstance(draining, bool):
            raise _BadArgumentError(argument="on")
        return await self._commit(
            commands.SetDrain(
                operation_id=call.operation_id,
                operator=call.operator,
                target=_text_argument(call, "target"),
                draining=draining,
            )
        )

    async def _commit(
        self, command: commands.Command
    ) -> messages.OperatorReply:
        result = await self.log.propose(command, timeout_ms=PROPOSE_TIMEOUT_MS)
        self.scheduler.wake()
        return messages.OperatorReply(
            ok=result.ok, code=result.code, text=result.text, data=result.data
        )

    async def _explain(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        _text_argument(call, "subject")
        data = await self.explain(call.arguments)
        return messages.OperatorReply(ok=True, data=data)

    async def _members(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        action = call.arguments.get("action", "list")
        if action not in ("list", "add_learner", "promote", "remove"):
            raise _BadArgumentError(argument="action")
        if action != "list":
            await self.group.change_members(
                action=action,
                member=_text_argument(call, "replica"),
                address=(
                    _text_argument(call, "address")
                    if action == "add_learner"
                    else ""
                ),
                timeout_ms=PROPOSE_TIMEOUT_MS,
            )
        members = self.group.members()
        return messages.OperatorReply(ok=True, data={"members": members})

    async def _status(
        self, call: messages.OperatorCall
    ) -> messages.OperatorReply:
        del call
        state = self.log.machine
        replicas = self.group.members()
        data = {
            "leader": self.log.leader_address(),
            "term": self.log.term(),
            "sheet_revision": state.plan.revision,
            "config_revision": state.config_revision,
            "replicas": replicas,
            "workers": self._workers(state),
            "tasks": _task_counts(state),
            "task_list": _task_list(state),
            "jobs": _jobs(state),
            "waiting": self._waiting(state),
            "waiting_total": state.assignments.waiting_count(),
            "drains": list(state.workers.drains),
            **self._applied_revisions(state, replicas),
        }
        return messages.OperatorReply(ok=True, data=data)

    def _applied_revisions(
        self, state: machine.Machine, replicas: list[dict[str, Any]]
    ) -> dict[str, Any]:
        now = self.clock.now()
        applied = {
            str(replica["replica"]): int(replica["applied_revision"])
            for replica in replicas
            if "applied_revision" in replica
        }
        applied.update(self.scheduler.registry.applied_revisions(now))
        applied.update(self.routes.applied_revisions(now))
        lagging = [
            name
            for name, revision in sorted(applied.items())
            if revision < state.config_revision
        ]
        lowest = min(applied.values(), default=state.config_revision)
        return {
            "applied": applied,
            "lowest_applied": lowest,
            "lagging": lagging,
        }

    def _workers(self, state: machine.Machine) -> list[dict[str, Any]]:
        now, wall_ms = self.clock.now(), self.clock.wall()
        workers: list[dict[str, Any]] = []
        for worker in state.workers.by_name.values():
            status = "alive"
            if worker.name in state.workers.drains:
                status = "drained"
            elif not self.scheduler.registry.alive(worker.name, now):
                status = "silent"
            elif worker.quarantined_until_ms > wall_ms:
                status = "quarantined"
            used = state.assignments.used_on(worker.name)
            workers.append(
                {
                    "worker": worker.name,
                    "zone": worker.zone,
                    "rack": worker.rack,
                    "state": status,
                    "tasks": used.slots,
                    "millicores": worker.capacity.millicores,
                    "used_millicores": used.millicores,
                }
            )
        return workers

    def _waiting(self, state: machine.Machine) -> list[dict[str, Any]]:
        rows = [
            row
            for name in state.assignments.pending
            if (row := state.plan.row(name)) is not None
        ]
        rows.sort(key=lambda row: (row.urgency, row.place, row.name))
        reasons = self.scheduler.waiting_reasons
        waiting = [
            {
                "task": name,
                "reason": reasons.get(
                    row.name, "waits for the next pass or for a retry"
                ),
            }
            for row in rows
            for name in list(state.assignments.pending[row.name])[
                :MAX_WAITING_OF_ROW
            ]
        ]
        return waiting[:MAX_WAITING_LISTED]


def _text_argument(call: messages.OperatorCall, argument: str) -> str:
    value = call.arguments.get(argument)
    if (
        not isinstance(value, str)
        or not 0 < len(value) <= value_limits.MAX_NAME_CHARACTERS
    ):
        raise _BadArgumentError(argument=argument)
    return value


def _refused_reply(code: str, **values: object) -> messages.OperatorReply:
    text = error_texts.text_for(code, **values)
    return messages.OperatorReply(ok=False, code=code, text=text)


def _task_counts(state: machine.Machine) -> dict[str, int]:
    counts = {"pending": 0, "assigned": 0, "evicting": 0}
    for task in state.assignments.tasks.values():
        if task.status in counts:
            counts[task.status] += 1
    jobs = state.plan.jobs.values()
    return {
        **counts,
        "finished": sum(job.finished for job in jobs),
        "failed": sum(job.failed for job in jobs),
        "cancelled": sum(job.cancelled for job in jobs),
    }


def _task_list(state: machine.Machine) -> list[dict[str, Any]]:
    """Returns at most `MAX_TASKS_LISTED` tasks, live ones first."""
    tasks = sorted(
        state.assignments.tasks.values(), key=lambda task: not task.live
    )
    return [_task_fields(task) for task in tasks[:MAX_TASKS_LISTED]]


def _task_fields(task: assignments.Task) -> dict[str, Any]:
    return {
        "task": task.task,
        "state": task.status,
        "worker": task.worker,
        "epoch": task.epoch,
        "stopping": task.stopping,
        "failures": task.failures,
        "evictions": task.evictions,
        "detail": task.detail,
    }


def _jobs(state: machine.Machine) -> list[dict[str, Any]]:
    jobs = list(state.plan.jobs.values())[-MAX_TASKS_LISTED:]
    return [
        {
            "job": job.row.name,
            "open": job.open_tasks,
            "finished": job.finished,
            "failed": job.failed,
            "cancelled": job.cancelled,
            "verdict": job.verdict,
            "reason": job.reason,
        }
        for job in jobs
    ]
