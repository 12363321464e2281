"""Commands that list and change the members of the control group."""

from collections.abc import Mapping
from typing import Any
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument

from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes


class MembersCommand(base_command.CallCommand):
    """Lists the control replicas."""

    name = "members"
    changes: ClassVar[bool] = False
    description = "List the control replicas and their replication progress."

    async def run_call(self, operation_id: str) -> int:
        """Requests the members and prints one line for each replica."""
        reply = await self.make_client().call(
            "members", {"action": "list"}, operation_id=operation_id
        )
        code = self.finish(reply, "replica address role match_index")
        if code == exit_codes.DONE:
            for member in reply.data.get("members", ()):
                self.print_text(member_line(member))
        return code


class _ChangeCommand(base_command.CallCommand):
    """Base class of the commands that change the members.

    Attributes:
        action: Value of the "action" argument of the call.
    """

    action: ClassVar[str]

    async def run_call(self, operation_id: str) -> int:
        """Requests the change."""
        arguments = {"action": self.action, **self.target()}
        reply = await self.make_client().call(
            "members", arguments, operation_id=operation_id
        )
        return self.finish(reply, reply.text or "the members were changed")

    def target(self) -> dict[str, str]:
        """Returns the arguments that name the replica."""
        return {"replica": self.argument("replica")}


class MembersAddLearnerCommand(_ChangeCommand):
    """Adds a replica that receives the log but does not vote."""

    name = "members add-learner"
    description = "Add a replica that receives the log but does not vote."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("replica", "Replica ID from its data folder."),
        helpers.argument("address", "Address IP:port of the replica."),
    ]
    action = "add_learner"

    def target(self) -> dict[str, str]:
        """Returns the ID and the address of the new replica."""
        return {**super().target(), "address": self.argument("address")}


class MembersPromoteCommand(_ChangeCommand):
    """Makes a learner that has caught up a voter."""

    name = "members promote"
    description = "Make a learner that has caught up a voter."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("replica", "Replica ID of the learner.")
    ]
    action = "promote"


class MembersRemoveCommand(_ChangeCommand):
    """Removes a replica from the control group."""

    name = "members remove"
    description = "Remove a replica from the control group."
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("replica", "Replica ID.")
    ]
    action = "remove"


def member_line(member: Mapping[str, Any]) -> str:
    """Returns the line that describes one control replica."""
    columns = ("replica", "address", "role", "match_index")
    text = " ".join(str(member.get(column, "-")) for column in columns)
    return f"{text} silent" if member.get("silent") else text
