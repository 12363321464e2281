"""Merges the JSON logs of several processes into one timeline.

The wall clocks of processes may differ by seconds. Causally related pairs of
lines bound the difference: an agent starts a run after the leader assigned it
and before the leader records its end; an entry answers a submission after the
leader accepted it. For each process the smallest clock correction relative to
the leaders is computed that keeps causes before effects. All lines are then
sorted by corrected time.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import json
from typing import Any
from typing import Final

# Name of the leader's event, name of the other process's event, and the fields
# that identify the pair. The leader's event precedes the other one in the first
# constant and follows it in the second.
_LEADER_LINE_FIRST: Final = (
    ("run_assigned", "run_started", ("task", "attempt")),
    ("job_accepted", "job_call_answered", ("job",)),
)
_LEADER_LINE_LAST: Final = (("run_ended", "run_started", ("task", "attempt")),)
_COMMON_FIELDS: Final = (
    "wall_ms",
    "clock_ms",
    "process",
    "event",
    "name",
    "level",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One event line of a log.

    Attributes:
        wall_ms: Wall time of the writing process in ms since the Unix epoch.
        process: Name of the process.
        name: Name of the event.
        fields: Fields of the event, without the fields common to all lines.
    """

    wall_ms: int
    process: str
    name: str
    fields: dict[str, Any]

    def mentions(self, text: str) -> bool:
        """Whether a field or the event's name contains `text`, such as an ID."""
        return text in self.name or any(
            text in str(value) for value in self.fields.values()
        )


def read_lines(rows: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines that are events; skips others, such as tracebacks.

    Text before the JSON object, such as a prefix of a log collector, is ignored.
    """
    for row in rows:
        _, brace, rest = row.partition("{")
        try:
            data = json.loads(brace + rest)
            yield LogLine(
                wall_ms=int(data["wall_ms"]),
                process=str(data["process"]),
                name=str(data["name"]),
                fields={
                    k: v for k, v in data.items() if k not in _COMMON_FIELDS
                },
            )
        except (ValueError, KeyError, TypeError):
            continue


def clock_corrections(lines: Iterable[LogLine]) -> dict[str, int]:
    """Returns the correction to add to the clock of each process, in ms.

    The correction is the value closest to 0 within the bounds. If the bounds
    contradict each other, it is the lower bound.
    """
    all_lines = list(lines)
    bounds: dict[str, tuple[int, int]] = {}
    unbounded = 1 << 60
    for process, low, high in itertools.chain(
        (
            (p, difference, unbounded)
            for p, difference in _clock_bounds(all_lines, True)
        ),
        (
            (p, -unbounded, difference)
            for p, difference in _clock_bounds(all_lines, False)
        ),
    ):
        lower, upper = bounds.get(process, (-unbounded, unbounded))
        bounds[process] = (max(lower, low), min(upper, high))
    return {
        process: min(max(0, lower), max(upper, lower))
        for process, (lower, upper) in bounds.items()
    }


def merge_lines(
    lines: Iterable[LogLine], search_terms: Iterable[str]
) -> list[LogLine]:
    """Returns the lines that mention any search term, by corrected time.

    Args:
        lines: Lines of all processes.
        search_terms: IDs or names of events; empty for all lines.

    Returns:
        The lines with corrected `wall_ms`, in ascending order.
    """
    all_lines = list(lines)
    terms = tuple(search_terms)
    corrections = clock_corrections(all_lines)
    corrected = (
        dataclasses.replace(
            line, wall_ms=line.wall_ms + corrections.get(line.process, 0)
        )
        for line in all_lines
        if not terms or any(line.mentions(term) for term in terms)
    )
    return sorted(corrected, key=lambda line: line.wall_ms)


def _clock_bounds(
    lines: list[LogLine], leader_first: bool
) -> Iterator[tuple[str, int]]:
    """Yields bounds on the clock corrections of processes.

    Args:
        lines: Lines of all processes.
        leader_first: Whether to use the pairs in which the leader's event
            precedes the other one, which give lower bounds; the others give
            upper bounds.

    Yields:
        Name of a process and a bound on its correction, in ms.
    """
    for leader_name, other_name, shared in (
        _LEADER_LINE_FIRST if leader_first else _LEADER_LINE_LAST
    ):
        by_key: dict[tuple[str, ...], LogLine] = {}
        for line in lines:
            if line.name == leader_name:
                by_key.setdefault(_match_key(line, shared), line)
        for line in lines:
            leader_line = by_key.get(_match_key(line, shared))
            if (
                line.name == other_name
                and leader_line is not None
                and leader_line.process != line.process
            ):
                yield line.process, leader_line.wall_ms - line.wall_ms


def _match_key(line: LogLine, shared: tuple[str, ...]) -> tuple[str, ...]:
    # job_call_answered has the job's ID only as the last part of its path.
    if shared == ("job",) and "path" in line.fields:
        return (str(line.fields["path"]).rpartition("/")[2],)
    return tuple(str(line.fields.get(name, "")) for name in shared)
