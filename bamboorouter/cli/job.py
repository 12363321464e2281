"""Commands that add a job to the plan in force and cancel jobs."""

from typing import ClassVar
from typing import Final

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from bamboorouter.cli import base_command

_COLUMNS: Final = (
    *("owner", "urgency", "place", "processors", "memory_mb"),
    *("accelerators", "run_time_s", "count", "share", "command"),
)


def _field(
    name: str, description: str, default: str | None = None
) -> option.Option:
    return helpers.option(
        name, description=description, flag=False, default=default
    )


class JobSubmitCommand(base_command.CallCommand):
    """Adds a batch job to the plan in force."""

    name = "job submit"
    description = "Add a batch job to the plan in force."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("job", "Unique name of the job.")
    ]
    options: ClassVar[list[option.Option]] = [
        *base_command.CallCommand.options,
        _field("owner", "Team that owns the job (required)."),
        _field("urgency", "0 (most urgent) to 9.", "5"),
        _field("place", "Place in line among the same urgency.", "0"),
        _field("processors", "Processors for each task.", "1"),
        _field("memory-mb", "Memory for each task in MB.", "256"),
        _field("accelerators", "Accelerators for each task.", "0"),
        _field("run-time-s", "Expected run time of a task in s.", "60"),
        _field("count", "Number of tasks.", "1"),
        _field("share", "Weight of the owner in fair sharing.", "1"),
        _field("command", "What the worker runs.", ""),
    ]

    async def run_call(self, operation_id: str) -> int:
        """Sends the job."""
        if not self.option("owner"):
            raise base_command.UsageError(
                text="--owner is required", step="command line"
            )
        job = self.argument("job")
        reply = await self.make_client().call(
            "submit_job", {"row": self._fields(job)}, operation_id=operation_id
        )
        revision = reply.data.get("config_revision", "?")
        return self.finish(
            reply, f"job {job} is in the plan (config revision {revision})"
        )

    def _fields(self, job: str) -> dict[str, str]:
        """Returns the values by column of the sheet."""
        values = {
            column: self.option(column.replace("_", "-")) for column in _COLUMNS
        }
        return {"kind": "job", "name": job, **values}


class JobCancelCommand(base_command.CallCommand):
    """Cancels a job: waiting tasks end, running ones are stopped."""

    name = "job cancel"
    description = "Cancel a job: waiting tasks end, running ones are stopped."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("job", "Name of the job.")
    ]

    async def run_call(self, operation_id: str) -> int:
        """Sends the cancellation."""
        job = self.argument("job")
        reply = await self.make_client().call(
            "cancel_job", {"job": job}, operation_id=operation_id
        )
        return self.finish(reply, f"job {job} is cancelled")
