"""The command that checks the account in a data folder."""

from collections.abc import Iterator
import pathlib
from typing import ClassVar
from typing import Final

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes
from bamboorouter.state import account_check

SEGMENT_PATTERN: Final = "log-*"


class AccountVerifyCommand(base_command.PrintingCommand):
    """Checks the log of one control replica without changing it."""

    name = "account verify"
    description = (
        "Check the account in a data folder; names what was changed or is"
        " missing. Writes nothing."
    )
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("data_dir", "Data folder of a control replica.")
    ]
    options: ClassVar[list[option.Option]] = [
        base_command.JSON_OPTION,
        helpers.option(
            "expect",
            description="INDEX:HASH of a record that is known from elsewhere,"
            " for example from an earlier check; may be given several times.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Checks the folder and returns the exit code."""
        try:
            known = [_read_head(text) for text in self.option("expect")]
            paths = segment_paths(self.argument("data_dir"))
            found = account_check.verify(read_segments(paths), known=known)
        except base_command.UsageError as err:
            self.print_json({"ok": False, "text": str(err)})
            self.print_error(str(err))
            return exit_codes.USAGE
        self.print_json({"ok": not found.faults, **found.plain()})
        self._print(found)
        return exit_codes.DAMAGED if found.faults else exit_codes.DONE

    def _print(self, found: account_check.Verification) -> None:
        self.print_text(
            f"records {found.first_index} to {found.last_index}:"
            f" {found.records} undamaged, {len(found.faults)} faults"
        )
        if found.first_index > 1:
            self.print_text(
                f"records before {found.first_index} were removed by retention"
            )
        if found.tail_bytes:
            self.print_text(
                f"{found.tail_bytes} bytes of an incomplete record at the end"
                " were never acknowledged"
            )
        for fault in found.faults:
            self.print_error(f"{fault.kind}: {fault.text}")
        self.print_text(f"head: {found.last_index}:{found.head}")


def segment_paths(data_dir: str) -> list[pathlib.Path]:
    """Returns the segments of a data folder, oldest first.

    Raises:
        UsageError: The folder holds no log.
    """
    paths = sorted(
        path
        for path in pathlib.Path(data_dir).glob(SEGMENT_PATTERN)
        if path.is_file() and path.suffix != ".new"
    )
    if not paths:
        raise base_command.UsageError(
            text="the folder holds no log", step="read account", peer=data_dir
        )
    return paths


def read_segments(paths: list[pathlib.Path]) -> Iterator[tuple[str, bytes]]:
    """Yields name and content of each segment.

    Raises:
        UsageError: A segment cannot be read.
    """
    for path in paths:
        try:
            yield path.name, path.read_bytes()
        except OSError as err:
            raise base_command.UsageError(
                text=str(err), step="read account", peer=str(path)
            ) from err


def _read_head(text: str) -> account_check.KnownRecord:
    index, _, chain = text.partition(":")
    if not index.isdecimal() or len(chain) != 64:
        raise base_command.UsageError(
            text=f"--expect {text!r} is not INDEX:HASH with 64 hex digits",
            step="command line",
        )
    return account_check.KnownRecord(index=int(index), chain=chain.lower())
