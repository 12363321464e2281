"""The command that merges log files into the story of a request or job."""

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
    """Shows what all processes logged about some IDs, in order."""

    name = "logs"
    description = (
        "Merge the JSON logs of many processes into one story, in order of"
        " time with differences of clocks taken out."
    )
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument(
            "ids",
            "Job, task, worker or other IDs, or names of events; a line that"
            " mentions one of them is shown.",
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
        """Reads the files and prints the story; returns the exit code."""
        try:
            lines = list(read_files(self.option("file")))
        except OSError as err:
            self.print_json({"ok": False, "text": str(err)})
            self.print_error(str(err))
            return exit_codes.USAGE
        found = log_merge.merge_lines(lines, self.argument("ids"))
        self.print_json(
            {
                "ok": bool(found),
                "lines": [
                    {
                        "wall_ms": line.wall_ms,
                        "process": line.process,
                        "name": line.name,
                        **line.fields,
                    }
                    for line in found
                ],
            }
        )
        for line in found:
            self.print_text(line_text(line))
        if not found:
            self.print_error("no line mentions it")
            return exit_codes.REFUSED
        return exit_codes.DONE


def read_files(names: list[str]) -> Iterator[log_merge.LogLine]:
    """Yields the events of all files.

    Raises:
        OSError: A file can't be read.
    """
    for name in names:
        text = pathlib.Path(name).read_text(encoding="utf-8", errors="replace")
        yield from log_merge.read_lines(text.splitlines())


def line_text(line: log_merge.LogLine) -> str:
    """Returns a line of a story for people."""
    moment = datetime.datetime.fromtimestamp(
        line.wall_ms / clock.MS_PER_SECOND, tz=datetime.UTC
    )
    values = " ".join(f"{name}={value}" for name, value in line.fields.items())
    when = moment.strftime("%H:%M:%S.%f")[:-3]
    return f"{when} {line.process} {line.name} {values}"
