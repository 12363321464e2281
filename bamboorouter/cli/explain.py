"""Command that explains decisions from the account."""

from collections.abc import Iterator
from collections.abc import Mapping
import datetime
from typing import Any
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from bamboorouter import clock
from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes


class ExplainCommand(base_command.CallCommand):
    """Shows the recorded decisions about a subject and their reasons."""

    name = "explain"
    changes: ClassVar[bool] = False
    default_timeout_s: ClassVar[str] = "60"
    description = (
        "Show the decisions about a subject: when, on which revision, and what"
        " else was waiting."
    )
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument(
            "subject",
            "Request ID, idempotency key, job, service, task, worker or"
            " upstream.",
        )
    ]
    options: ClassVar[list[option.Option]] = [
        *base_command.CallCommand.options,
        helpers.option(
            "before",
            description="Another subject; also explain which of the two was"
            " decided first and why.",
            flag=False,
        ),
    ]

    async def run_call(self, operation_id: str) -> int:
        """Requests the explanation and prints it."""
        subject = self.argument("subject")
        reply = await self.make_client().call(
            "explain",
            {"subject": subject, "before": self.option("before") or ""},
            operation_id=operation_id,
        )
        code = self.finish(reply, f"{subject}:")
        if code == exit_codes.DONE:
            for line in explanation_lines(reply.data):
                self.print_text(line)
        return code


def explanation_lines(data: Mapping[str, Any]) -> Iterator[str]:
    """Yields the lines of an explanation.

    Args:
        data: The plain data of an `account.Explanation`.
    """
    if not data.get("found"):
        yield "  the account has no record of it"
    for record in data.get("records", ()):
        when = utc_text(int(record["wall_ms"]))
        yield f"  {when} entry {record['index']}: {record['text']}"
    if data.get("omitted"):
        yield f"  {data['omitted']} more records are not shown"
    if data.get("order"):
        yield f"order: {data['order']}"
    yield (
        f"read: entries {data.get('first_index')} to {data.get('last_index')}"
    )
    if not data.get("replayed", True):
        yield "refused decisions may be included: the log was not replayed"


def utc_text(wall_ms: int) -> str:
    """Returns a wall time as text in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(
        wall_ms / clock.MS_PER_SECOND, tz=datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"
