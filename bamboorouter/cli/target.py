"""Commands that start and end the drain of a worker or an upstream."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument

from bamboorouter.cli import base_command


class DrainCommand(base_command.CallCommand):
    """Drains a worker or an upstream, so that it gets no new work.

    Attributes:
        on: True if the command starts the drain, False if it ends it.
    """

    name = "drain"
    description = "Drain a worker or an upstream, so that it gets no new work."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("target", "Name of the worker or of the upstream.")
    ]
    on: ClassVar[bool] = True

    async def run_call(self, operation_id: str) -> int:
        """Requests the start or the end of the drain."""
        target = self.argument("target")
        reply = await self.make_client().call(
            "drain",
            {"target": target, "on": self.on},
            operation_id=operation_id,
        )
        state = "is draining" if self.on else "accepts work again"
        revision = reply.data.get("config_revision", "?")
        return self.finish(
            reply, f"{target} {state} (config revision {revision})"
        )


class UndrainCommand(DrainCommand):
    """Ends the drain of a worker or an upstream."""

    name = "undrain"
    description = "End the drain of a worker or an upstream."
    on: ClassVar[bool] = False
