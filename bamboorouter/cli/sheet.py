"""Commands that submit a sheet, or check one locally."""

import asyncio
import contextlib
import pathlib
from typing import ClassVar
from typing import Final

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option
import msgspec

from bamboorouter import client
from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes
from bamboorouter.protocol import operator_http
from bamboorouter.protocol import sheet

WAIT_POLL_MS: Final = 200

_FILE: Final = helpers.argument("file", "Path of the sheet (CSV).")


class SheetSubmitCommand(base_command.CallCommand):
    """Submits a sheet and prints the revision in force afterwards."""

    name = "sheet submit"
    description = "Submit a sheet; prints the revision in force afterwards."
    arguments: ClassVar[list[argument.Argument]] = [_FILE]
    options: ClassVar[list[option.Option]] = [
        *base_command.CallCommand.options,
        helpers.option(
            "wait",
            description="Wait until the sheet is in force on all processes.",
        ),
        helpers.option(
            "wait-timeout",
            description="Time limit of --wait in seconds.",
            flag=False,
            default="30",
        ),
    ]

    async def run_call(self, operation_id: str) -> int:
        """Submits the sheet, waits with --wait, and prints the result."""
        # A wrong value is wrong usage only while nothing has been sent.
        wait_s = base_command.number_option(
            "wait-timeout", self.option("wait-timeout")
        )
        text = read_text(self.argument("file"))
        operator_client = self.make_client()
        reply = await operator_client.call(
            "submit_sheet", {"csv": text}, operation_id=operation_id
        )
        if not reply.ok:
            return self._report_refusal(reply)
        return await self._report(operator_client, reply, wait_s=wait_s)

    async def _report(
        self,
        operator_client: client.OperatorClient,
        reply: operator_http.ReplyBody,
        *,
        wait_s: float,
    ) -> int:
        """Prints the revision in force after the sheet was accepted."""
        submitted = int(reply.data.get("sheet_revision", 0))
        config_revision = int(reply.data.get("config_revision", 0))
        wait = bool(self.option("wait"))
        state = await self._poll_status(
            operator_client, config_revision, wait_s=wait_s if wait else 0.0
        )
        superseded = state.sheet_revision > submitted
        everywhere = state.in_force(
            state.config_revision if superseded else config_revision
        )
        data = {
            **reply.data,
            "in_force": max(state.sheet_revision, submitted),
            "everywhere": everywhere,
            "lagging": list(state.lagging),
        }
        self.print_json({**msgspec.structs.asdict(reply), "data": data})
        if superseded:
            # A resent call gets its first answer, which may be older than the
            # revision in force.
            self.print_text(f"revision {submitted} was accepted before")
        where = " everywhere" if everywhere else ""
        self.print_text(f"revision {data['in_force']} is in force{where}")
        if wait and not everywhere:
            lagging = ", ".join(state.lagging) or "no process has reported"
            self.print_text(f"not yet in force everywhere: {lagging}")
            return exit_codes.NOT_IN_FORCE
        return exit_codes.DONE

    def _report_refusal(self, reply: operator_http.ReplyBody) -> int:
        code = self.finish(reply, "")
        if "sheet_revision" in reply.data:
            revision = reply.data["sheet_revision"]
            self.print_error(f"revision {revision} is in force")
        return code

    async def _poll_status(
        self,
        operator_client: client.OperatorClient,
        config_revision: int,
        *,
        wait_s: float,
    ) -> operator_http.StatusData:
        """Polls the status until the revision is in force on all processes.

        Args:
            operator_client: Client for the calls.
            config_revision: Revision to wait for.
            wait_s: Time limit in s; if 0, the status is requested once.

        Returns:
            The newest status; empty if no request succeeded.
        """
        deadline = operator_client.clock.now() + int(
            wait_s * clock.MS_PER_SECOND
        )
        state = operator_http.StatusData()
        while True:
            # The sheet is already accepted, so a failed status request must
            # not be reported as a refusal.
            with contextlib.suppress(
                errors.RefusedError, errors.UnknownResultError
            ):
                reply = await operator_client.call("status", {})
                state = operator_http.read_status(reply.data)
            if (
                state.in_force(config_revision)
                or operator_client.clock.now() >= deadline
            ):
                return state
            await asyncio.sleep(clock.seconds(WAIT_POLL_MS))


class SheetCheckCommand(base_command.PrintingCommand):
    """Checks a sheet without submitting it."""

    name = "sheet check"
    description = (
        "Check a sheet locally; prints one line for each invalid value."
    )
    arguments: ClassVar[list[argument.Argument]] = [_FILE]

    def handle(self) -> int:
        """Reads the sheet and prints its faults."""
        path = self.argument("file")
        try:
            parsed = sheet.parse_sheet(read_text(path).encode())
        except base_command.UsageError as err:
            self.print_json({"ok": False, "text": str(err)})
            self.print_error(str(err))
            return exit_codes.USAGE
        except sheet.SheetInvalidError as err:
            faults = [fault.plain() for fault in err.faults]
            self.print_json(
                {"ok": False, "code": err.code, "data": {"faults": faults}}
            )
            for fault in faults:
                self.print_error(base_command.fault_line(fault))
            return exit_codes.REFUSED
        jobs = sum(row.kind == "job" for row in parsed.rows)
        services = len(parsed.rows) - jobs
        counts = {"services": services, "jobs": jobs}
        self.print_json(
            {"ok": True, "data": {"revision": parsed.revision, **counts}}
        )
        self.print_text(
            f"revision {parsed.revision}: {services} services and {jobs} jobs,"
            " no faults"
        )
        return exit_codes.DONE


def read_text(path: str) -> str:
    """Returns the text of a file.

    Raises:
        UsageError: The file cannot be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise base_command.UsageError(
            text=str(err), step="read file", peer=path
        ) from err
