"""Command that shows the status of the control group and its workers."""

from collections.abc import Iterator
from typing import ClassVar

from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes
from bamboorouter.cli import member
from bamboorouter.protocol import operator_http


class StatusCommand(base_command.CallCommand):
    """Shows the revisions in force, replicas, workers and waiting tasks."""

    name = "status"
    changes: ClassVar[bool] = False
    description = (
        "Show the revisions in force on each process, the workers, the tasks,"
        " and which tasks wait and why."
    )

    async def run_call(self, operation_id: str) -> int:
        """Requests the status from the leader and prints it."""
        reply = await self.make_client().call(
            "status", {}, operation_id=operation_id
        )
        state = operator_http.read_status(reply.data)
        code = self.finish(reply, _summary(state))
        if code == exit_codes.DONE:
            for line in _detail_lines(state):
                self.print_text(line)
        return code


def _summary(state: operator_http.StatusData) -> str:
    return (
        f"sheet revision {state.sheet_revision}, config revision"
        f" {state.config_revision}, leader {state.leader or 'unknown'}"
        f" (term {state.term})"
    )


def _detail_lines(state: operator_http.StatusData) -> Iterator[str]:
    lagging = ", ".join(state.lagging)
    yield (
        f"applied: lowest {state.lowest_applied}"
        + (f", behind: {lagging}" if lagging else ", none behind")
    )
    for process, revision in sorted(state.applied.items()):
        yield f"  {process}: {revision}"
    yield f"control replicas: {len(state.replicas)}"
    for replica in state.replicas:
        yield f"  {member.member_line(replica)}"
    yield f"workers: {len(state.workers)}"
    for worker in state.workers:
        yield (
            f"  {worker.worker} zone {worker.zone} rack {worker.rack}:"
            f" {worker.state}, {worker.tasks} tasks"
        )
    counts = ", ".join(
        f"{count} {status}" for status, count in sorted(state.tasks.items())
    )
    yield f"tasks: {counts or 'none'}"
    yield f"waiting: {state.waiting_total or len(state.waiting)}"
    for waiting in state.waiting:
        yield f"  {waiting.task}: {waiting.reason}"
