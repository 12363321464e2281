"""Base classes of the commands: output, and calls through an entry."""

import asyncio
from collections.abc import Mapping
import getpass
import json
import os
from typing import Any
from typing import ClassVar
from typing import Final

from cleo import helpers
from cleo.commands import command
from cleo.io.inputs import argument
from cleo.io.inputs import option
from cleo.io.outputs import output
import msgspec

from bamboorouter import client
from bamboorouter import errors
from bamboorouter.cli import exit_codes
from bamboorouter.protocol import operator_http

ENTRY_VARIABLE: Final = "BAMBOOROUTER_ENTRY"
OPERATOR_VARIABLE: Final = "BAMBOOROUTER_OPERATOR"


class UsageError(errors.RouterError):
    """An argument or option has an invalid value."""


JSON_OPTION: Final = helpers.option(
    "json", description="Print one JSON object instead of text."
)

_CALL_OPTIONS: Final = (
    helpers.option(
        "entry",
        description=(
            "Operator address IP:port of an entry; may be given several times."
            f" Default: {ENTRY_VARIABLE}, separated by commas."
        ),
        flag=False,
        multiple=True,
    ),
    helpers.option(
        "operator",
        description=(
            "Name recorded in the account."
            f" Default: {OPERATOR_VARIABLE} or the user's name."
        ),
        flag=False,
    ),
    helpers.option(
        "operation-id",
        description="ID of an earlier call whose answer was lost.",
        flag=False,
    ),
    helpers.option(
        "timeout",
        description=(
            "Total time in seconds for trying all entries. Default: 15; for"
            " explain 60."
        ),
        flag=False,
    ),
)


class PrintingCommand(command.Command):
    """A command that prints text, or one JSON object with --json.

    Text is printed raw, because it may contain characters that cleo would
    interpret as style tags.
    """

    arguments: ClassVar[list[argument.Argument]] = []
    options: ClassVar[list[option.Option]] = [JSON_OPTION]
    help = exit_codes.HELP

    def print_text(self, text: str) -> None:
        """Prints a line of text; does nothing with --json."""
        if not self.option("json"):
            self.io.write_line(text, type=output.Type.RAW)

    def print_json(self, value: Mapping[str, Any]) -> None:
        """Prints the result as a JSON object if --json was given."""
        if self.option("json"):
            text = json.dumps(msgspec.to_builtins(value), sort_keys=True)
            self.io.write_line(text, type=output.Type.RAW)

    def print_error(self, text: str) -> None:
        """Prints a line to standard error."""
        self.io.error_output.write_line(text, type=output.Type.RAW)


class CallCommand(PrintingCommand):
    """A command that calls the leader through an entry.

    Attributes:
        changes: Whether the call changes state. If the answer is lost, such a
            call exits with `UNKNOWN`. A read-only call exits with
            `NOT_REACHED`, because it leaves no change in doubt.
        default_timeout_s: Timeout in seconds if --timeout is not given.
    """

    changes: ClassVar[bool] = True
    default_timeout_s: ClassVar[str] = "15"
    options: ClassVar[list[option.Option]] = [JSON_OPTION, *_CALL_OPTIONS]

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        operation_id = self.option("operation-id") or client.new_operation_id()
        try:
            return asyncio.run(self.run_call(operation_id))
        except errors.RefusedError as err:
            return self._fail(exit_codes.NOT_REACHED, str(err), code=err.code)
        except errors.UnknownResultError as err:
            if not self.changes:
                return self._fail(exit_codes.NOT_REACHED, str(err))
            return self._fail(
                exit_codes.UNKNOWN,
                f"{err}; the operation may have been done, repeat with"
                f" --operation-id {operation_id}",
                code="result_unknown",
                operation_id=operation_id,
            )
        except errors.RouterError as err:
            return self._fail(exit_codes.USAGE, str(err))

    async def run_call(self, operation_id: str) -> int:
        """Makes the calls of the command and prints the result.

        Args:
            operation_id: ID of the operation, from --operation-id or new.

        Returns:
            The exit code.
        """
        raise NotImplementedError

    def make_client(self) -> client.OperatorClient:
        """Returns a client for the entries that the operator named.

        Raises:
            UsageError: No entry was named, or the timeout is invalid.
        """
        addresses = self.option("entry") or os.environ.get(
            ENTRY_VARIABLE, ""
        ).split(",")
        entries = tuple(entry.strip() for entry in addresses if entry.strip())
        if not entries:
            raise UsageError(
                text=f"no entry: give --entry IP:port or set {ENTRY_VARIABLE}",
                step="command line",
            )
        timeout_s = number_option(
            "timeout", self.option("timeout") or self.default_timeout_s
        )
        return client.OperatorClient(
            entries=entries,
            operator=self.option("operator") or default_operator(),
            timeout_ms=int(timeout_s * 1000),
        )

    def finish(self, reply: operator_http.ReplyBody, done_text: str) -> int:
        """Prints a reply and returns the exit code for it.

        Args:
            reply: The reply of the leader.
            done_text: Text to print if the call succeeded.
        """
        self.print_json(msgspec.structs.asdict(reply))
        if reply.ok:
            self.print_text(done_text)
            return exit_codes.DONE
        self.print_error(f"refused ({reply.code}): {reply.text}")
        for fault in reply.data.get("faults", ()):
            self.print_error(fault_line(fault))
        return exit_codes.REFUSED

    def _fail(self, exit_code: int, text: str, **fields: str) -> int:
        self.print_json({"ok": False, "text": text, **fields})
        self.print_error(text)
        return exit_code


def default_operator() -> str:
    """Returns the operator name that is recorded without --operator."""
    try:
        return os.environ.get(OPERATOR_VARIABLE) or getpass.getuser()
    except (KeyError, OSError):
        # The user ID has no entry in the password database.
        return f"uid-{os.getuid()}"


def number_option(name: str, text: str) -> float:
    """Parses the value of a numeric option.

    Raises:
        UsageError: The value is not a finite number above 0.
    """
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise UsageError(
            text=f"--{name} {text!r} is not a number above 0",
            step="command line",
        )
    return value


def fault_line(fault: Mapping[str, Any]) -> str:
    """Returns the line that describes one invalid value of a sheet."""
    return (
        f"row {fault.get('row')}, column {fault.get('column')}:"
        f" {fault.get('value')!r} is not allowed;"
        f" allowed: {fault.get('allowed')}"
    )
