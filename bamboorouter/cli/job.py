"""Commands that submit and cancel jobs."""

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


def _column_option(
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
        _column_option("owner", "Team that owns the job (required)."),
        _column_option("urgency", "0 (most urgent) to 9.", "5"),
        _column_option(
            "place", "Position among rows of the same urgency.", "0"
        ),
        _column_option("processors", "Processors for each task.", "1"),
        _column_option("memory-mb", "Memory for each task in MB.", "256"),
        _column_option("accelerators", "Accelerators for each task.", "0"),
        _column_option("run-time-s", "Expected run time of a task in s.", "60"),
        _column_option("count", "Number of tasks.", "1"),
        _column_option("share", "Weight of the owner in fair sharing.", "1"),
        _column_option("command", "Command that the worker runs.", ""),
    ]

    async def run_call(self, operation_id: str) -> int:
        """Submits the job.

        Raises:
            UsageError: --owner is missing.
        """
        if not self.option("owner"):
            raise base_command.UsageError(
                text="--owner is required", step="command line"
            )
        job = self.argument("job")
        reply = await self.make_client().call(
            "submit_job", {"row": self._row(job)}, operation_id=operation_id
        )
        revision = reply.data.get("config_revision", "?")
        return self.finish(
            reply, f"job {job} is in the plan (config revision {revision})"
        )

    def _row(self, job: str) -> dict[str, str]:
        """Returns the row of the job as values by sheet column."""
        values = {
            column: self.option(column.replace("_", "-")) for column in _COLUMNS
        }
        return {"kind": "job", "name": job, **values}


class JobCancelCommand(base_command.CallCommand):
    """Cancels a job: ends waiting tasks and stops running ones."""

    name = "job cancel"
    description = "Cancel a job: end waiting tasks and stop running ones."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("job", "Name of the job.")
    ]

    async def run_call(self, operation_id: str) -> int:
        """Requests the cancellation."""
        job = self.argument("job")
        reply = await self.make_client().call(
            "cancel_job", {"job": job}, operation_id=operation_id
        )
        return self.finish(reply, f"job {job} is cancelled")
