"""Command that verifies the account in a data folder."""

from collections.abc import Iterator
import pathlib
import re
from typing import ClassVar
from typing import Final

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes
from bamboorouter.state import account_check

SEGMENT_PATTERN: Final = "log-*"

_KNOWN_RECORD: Final = re.compile(
    r"(?P<index>[0-9]{1,20}):(?P<chain>[0-9a-fA-F]{64})"
)


class AccountVerifyCommand(base_command.PrintingCommand):
    """Verifies the log of one control replica without changing it."""

    name = "account verify"
    description = (
        "Verify the account in a data folder and report changed and missing"
        " records. Does not write to the folder."
    )
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("data_dir", "Data folder of a control replica.")
    ]
    options: ClassVar[list[option.Option]] = [
        base_command.JSON_OPTION,
        helpers.option(
            "expect",
            description="Expected INDEX:HASH of a record, for example from an"
            " earlier verification; may be given several times.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Verifies the folder and returns the exit code."""
        try:
            known = [
                _parse_known_record(text) for text in self.option("expect")
            ]
            paths = segment_paths(self.argument("data_dir"))
            result = account_check.verify(read_segments(paths), known=known)
        except base_command.UsageError as err:
            self.print_json({"ok": False, "text": str(err)})
            self.print_error(str(err))
            return exit_codes.USAGE
        self.print_json({"ok": not result.faults, **result.plain()})
        self._print(result)
        return exit_codes.DAMAGED if result.faults else exit_codes.DONE

    def _print(self, result: account_check.Verification) -> None:
        self.print_text(
            f"records {result.first_index} to {result.last_index}:"
            f" {result.records} undamaged, {len(result.faults)} faults"
        )
        if result.first_index > 1:
            self.print_text(
                f"records before {result.first_index} were removed by retention"
            )
        if result.tail_bytes:
            self.print_text(
                f"{result.tail_bytes} bytes of an incomplete record at the end"
                " were never acknowledged"
            )
        for fault in result.faults:
            self.print_error(f"{fault.kind}: {fault.text}")
        self.print_text(f"head: {result.last_index}:{result.head}")


def segment_paths(data_dir: str) -> list[pathlib.Path]:
    """Returns the segment files of a data folder, oldest first.

    Raises:
        UsageError: The folder contains no log segments.
    """
    paths = sorted(
        path
        for path in pathlib.Path(data_dir).glob(SEGMENT_PATTERN)
        if path.is_file() and path.suffix != ".new"
    )
    if not paths:
        raise base_command.UsageError(
            text="the folder contains no log segments",
            step="read account",
            peer=data_dir,
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


def _parse_known_record(text: str) -> account_check.KnownRecord:
    match = _KNOWN_RECORD.fullmatch(text)
    if match is None or int(match["index"]) == 0:
        raise base_command.UsageError(
            text=f"--expect {text!r} is not INDEX:HASH with 64 hex digits",
            step="command line",
        )
    return account_check.KnownRecord(
        index=int(match["index"]), chain=match["chain"].lower()
    )
