"""Commands that add a job to the plan in force and cancel jobs."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option
import msgspec

from bamboorouter.cli import base_command
from bamboorouter.protocol import common


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
        row = self._row()
        reply = await self.make_client().call(
            "submit_job",
            {"row": msgspec.structs.asdict(row)},
            operation_id=operation_id,
        )
        revision = reply.data.get("config_revision", "?")
        return self.finish(
            reply, f"job {row.name} is in the plan (config revision {revision})"
        )

    def _row(self) -> common.SheetRow:
        if not self.option("owner"):
            raise base_command.UsageError(
                text="--owner is required", step="command line"
            )
        return common.SheetRow(
            kind="job",
            name=self.argument("job"),
            owner=self.option("owner"),
            urgency=self._integer("urgency"),
            place=self._integer("place"),
            millicores=self._millicores(),
            memory_mb=self._integer("memory-mb"),
            accelerators=self._integer("accelerators"),
            run_time_s=self._integer("run-time-s", least=1),
            count=self._integer("count", least=1),
            share=self._integer("share", least=1),
            command=self.option("command"),
        )

    def _integer(self, name: str, *, least: int = 0) -> int:
        return base_command.integer_option(name, self.option(name), least=least)

    def _millicores(self) -> int:
        text = self.option("processors")
        return round(base_command.number_option("processors", text) * 1000)


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
