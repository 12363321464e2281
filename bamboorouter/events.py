"""Numbered log events.

Each event has a number that never changes meaning. docs/events.md lists all of
them; a test compares that page with this module.
"""

import dataclasses
from typing import Final

from absl import logging


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """A kind of log line.

    Attributes:
        number: Stable number of the event.
        name: Short name in snake case.
        level: Level of absl.logging.
        meaning: One sentence for the catalogue.
    """

    number: int
    name: str
    level: int
    meaning: str


CATALOGUE: Final[dict[int, Event]] = {}


def _event(number: int, name: str, level: int, meaning: str) -> Event:
    event = Event(number=number, name=name, level=level, meaning=meaning)
    if number in CATALOGUE:
        raise ValueError(f"event number {number} is used twice")
    CATALOGUE[number] = event
    return event


def log(event: Event, **fields: object) -> None:
    """Logs an event as `BR<number> <name> key=value ...`."""
    if event.level > logging.get_verbosity():
        return
    values = " ".join(f"{key}={value!r}" for key, value in fields.items())
    logging.log(event.level, "BR%04d %s %s", event.number, event.name, values)


# 1-99: process.
PROCESS_STARTED: Final = _event(
    1, "process_started", logging.INFO, "The daemon started its roles."
)
PROCESS_STOPPING: Final = _event(
    2, "process_stopping", logging.INFO, "A graceful shutdown began."
)
PROCESS_STOPPED: Final = _event(
    3, "process_stopped", logging.INFO, "All roles stopped."
)
STOP_TIMED_OUT: Final = _event(
    4,
    "stop_timed_out",
    logging.ERROR,
    "A role did not finish its graceful stop in time and was abandoned.",
)
LINK_OPENED: Final = _event(
    10, "link_opened", logging.INFO, "A link to a peer opened."
)
LINK_CLOSED: Final = _event(
    11, "link_closed", logging.INFO, "A link to a peer closed."
)
LINK_REFUSED: Final = _event(
    12,
    "link_refused",
    logging.WARNING,
    "A message could not be decoded; the link was closed.",
)
HANDLER_FAILED: Final = _event(
    13,
    "handler_failed",
    logging.ERROR,
    "The handler of a message raised an unexpected error.",
)

# 100-199: consensus and storage. 200-299: control role. 300-399: agent.
# 400-499: entry. 500-599: operators.

# 500-599: operators.
OPERATOR_CALL: Final = _event(
    500,
    "operator_call",
    logging.INFO,
    "The leader answered an operator's call.",
)
OPERATOR_CALL_UNANSWERED: Final = _event(
    501,
    "operator_call_unanswered",
    logging.WARNING,
    "No leader answered an operator's call in time; its result is unknown.",
)
