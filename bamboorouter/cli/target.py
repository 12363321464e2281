"""Commands that drain a worker or an upstream."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument

from bamboorouter.cli import base_command


class DrainCommand(base_command.CallCommand):
    """Lets a worker or an upstream take no new work."""

    name = "drain"
    description = "Let a worker or an upstream take no new work."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("target", "Name of the worker or of the upstream.")
    ]
    on: ClassVar[bool] = True

    async def run_call(self, operation_id: str) -> int:
        """Sends the drain."""
        target = self.argument("target")
        reply = await self.make_client().call(
            "drain",
            {"target": target, "on": self.on},
            operation_id=operation_id,
        )
        state = "drains" if self.on else "takes work again"
        revision = reply.data.get("config_revision", "?")
        return self.finish(
            reply, f"{target} {state} (config revision {revision})"
        )


class UndrainCommand(DrainCommand):
    """Ends the drain of a worker or an upstream."""

    name = "undrain"
    description = "End the drain of a worker or an upstream."
    on: ClassVar[bool] = False
