"""Generates docs/events.md, the catalogue of all log events.

Run this program after each change of `bamboorouter.events`; a test checks that
the page is current.
"""

import pathlib
import sys
from typing import Final

from absl import logging

from bamboorouter import events

PAGE: Final = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "events.md"
)
RANGES: Final = (
    (1, 99, "Process and links"),
    (100, 199, "Consensus and storage"),
    (200, 299, "Control role"),
    (300, 399, "Agent"),
    (400, 499, "Entry"),
    (500, 599, "Operators"),
    (600, 699, "Jobs with steps, on the leader"),
    (700, 799, "Runs of jobs with steps, on an agent"),
)
LEVELS: Final = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.FATAL: "fatal",
}
_HEAD: Final = """\
# Events

Each line of the log starts with the number and the name of its event, as in
`BR0010 link_opened peer='127.0.0.1:7000'`. A number never changes its meaning.
`devtools/write_events.py` writes this page from `bamboorouter/events.py`.
"""


def page() -> str:
    """Returns the catalogue in Markdown."""
    parts = [_HEAD]
    for first, last, title in RANGES:
        rows = [
            f"| {event.number} | {event.name} | {LEVELS[event.level]} |"
            f" {event.meaning} |"
            for number, event in sorted(events.CATALOGUE.items())
            if first <= number <= last
        ]
        if rows:
            head = (
                f"\n## {first}-{last}: {title}\n\n"
                "| number | name | level | meaning |\n| --- | --- | --- | --- |"
            )
            parts.append("\n".join((head, *rows)) + "\n")
    return "".join(parts)


def main() -> int:
    """Writes the catalogue; returns the exit status."""
    PAGE.write_text(page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
