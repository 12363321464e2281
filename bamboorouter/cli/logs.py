"""Command that merges log files and shows the events about some IDs."""

from collections.abc import Iterator
import datetime
import pathlib
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from bamboorouter import clock
from bamboorouter import log_merge
from bamboorouter.cli import base_command
from bamboorouter.cli import exit_codes


class LogsCommand(base_command.PrintingCommand):
    """Shows the events of all processes that mention some IDs, in order."""

    name = "logs"
    description = (
        "Merge the JSON logs of many processes in order of time, corrected"
        " for clock offsets between processes."
    )
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument(
            "ids",
            "Job, task, worker or other IDs, or names of events; lines that"
            " mention one of them are shown.",
            multiple=True,
        )
    ]
    options: ClassVar[list[option.Option]] = [
        base_command.JSON_OPTION,
        helpers.option(
            "file",
            description="Log file of one or more processes; may be given"
            " several times.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Prints the events that mention the IDs; returns the exit code."""
        try:
            lines = list(read_files(self.option("file")))
        except OSError as err:
            self.print_json({"ok": False, "text": str(err)})
            self.print_error(str(err))
            return exit_codes.USAGE
        matches = log_merge.merge_lines(lines, self.argument("ids"))
        self.print_json(
            {
                "ok": bool(matches),
                "lines": [
                    {
                        "wall_ms": line.wall_ms,
                        "process": line.process,
                        "name": line.name,
                        **line.fields,
                    }
                    for line in matches
                ],
            }
        )
        for line in matches:
            self.print_text(line_text(line))
        if not matches:
            self.print_error("no line mentions any of the IDs")
            return exit_codes.REFUSED
        return exit_codes.DONE


def read_files(names: list[str]) -> Iterator[log_merge.LogLine]:
    """Yields the events in all files.

    Raises:
        OSError: A file can't be read.
    """
    for name in names:
        text = pathlib.Path(name).read_text(encoding="utf-8", errors="replace")
        yield from log_merge.read_lines(text.splitlines())


def line_text(line: log_merge.LogLine) -> str:
    """Formats an event as a line of text."""
    logged_at = datetime.datetime.fromtimestamp(
        line.wall_ms / clock.MS_PER_SECOND, tz=datetime.UTC
    )
    values = " ".join(f"{name}={value}" for name, value in line.fields.items())
    when = logged_at.strftime("%H:%M:%S.%f")[:-3]
    return f"{when} {line.process} {line.name} {values}"
