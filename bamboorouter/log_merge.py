"""Merges the JSON logs of many processes into one story.

Clocks of processes differ, by seconds at times. Pairs of lines of which one
causes the other show by how much: an agent starts a run after the leader
assigned it and before the leader records its end; an entry answers a
submission after the leader accepted it. Each process gets the smallest
correction of its clock that keeps causes before effects, measured against the
leaders' clocks; then all lines are put in order of corrected time.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import json
from typing import Any
from typing import Final

# Name of the causing event, of the caused event, and the fields that both
# share. The leader's lines are the first of each pair's clock.
_FOLLOWS: Final = (
    ("run_assigned", "run_started", ("task", "attempt")),
    ("job_accepted", "job_call_answered", ("job",)),
)
_PRECEDES: Final = (("run_ended", "run_started", ("task", "attempt")),)
_HEAD: Final = ("wall_ms", "clock_ms", "process", "event", "name", "level")


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogLine:
    """One line of a log.

    Attributes:
        wall_ms: Wall time of its process in ms since the epoch.
        process: Name of the process.
        name: Name of the event.
        fields: All other fields.
    """

    wall_ms: int
    process: str
    name: str
    fields: dict[str, Any]

    def mentions(self, wanted: str) -> bool:
        """Whether a field or the event's name contains a text, as an ID."""
        return wanted in self.name or any(
            wanted in str(value) for value in self.fields.values()
        )


def read_lines(rows: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines that are events; others, like tracebacks, are skipped.

    Text before the JSON object, such as a prefix of a log collector, is left
    out.
    """
    for row in rows:
        _, brace, rest = row.partition("{")
        try:
            data = json.loads(brace + rest)
            yield LogLine(
                wall_ms=int(data["wall_ms"]),
                process=str(data["process"]),
                name=str(data["name"]),
                fields={k: v for k, v in data.items() if k not in _HEAD},
            )
        except (ValueError, KeyError, TypeError):
            continue


def clock_corrections(lines: Iterable[LogLine]) -> dict[str, int]:
    """Returns what to add to the clock of each process, in ms."""
    known = list(lines)
    bounds: dict[str, tuple[int, int]] = {}
    far = 1 << 60
    for process, low, high in itertools.chain(
        ((p, difference, far) for p, difference in _differences(known, True)),
        ((p, -far, difference) for p, difference in _differences(known, False)),
    ):
        least, most = bounds.get(process, (-far, far))
        bounds[process] = (max(least, low), min(most, high))
    return {
        process: min(max(0, least), max(most, least))
        for process, (least, most) in bounds.items()
    }


def merge_lines(
    lines: Iterable[LogLine], wanted: Iterable[str]
) -> list[LogLine]:
    """Returns the lines that mention any of some IDs, in corrected order.

    Args:
        lines: Lines of all processes.
        wanted: IDs or names of events; none for all lines.
    """
    known = list(lines)
    ids = tuple(wanted)
    added = clock_corrections(known)
    corrected = (
        dataclasses.replace(
            line, wall_ms=line.wall_ms + added.get(line.process, 0)
        )
        for line in known
        if not ids or any(line.mentions(each) for each in ids)
    )
    return sorted(corrected, key=lambda line: line.wall_ms)


def _differences(
    lines: list[LogLine], follows: bool
) -> Iterator[tuple[str, int]]:
    """Yields by how much a process must be (at least or most) corrected."""
    for leader_name, other_name, shared in _FOLLOWS if follows else _PRECEDES:
        by_key: dict[tuple[str, ...], LogLine] = {}
        for line in lines:
            if line.name == leader_name:
                by_key.setdefault(_key(line, shared), line)
        for line in lines:
            cause = by_key.get(_key(line, shared))
            if (
                line.name == other_name
                and cause is not None
                and cause.process != line.process
            ):
                yield line.process, cause.wall_ms - line.wall_ms


def _key(line: LogLine, shared: tuple[str, ...]) -> tuple[str, ...]:
    if shared == ("job",) and "path" in line.fields:
        return (str(line.fields["path"]).rpartition("/")[2],)
    return tuple(str(line.fields.get(name, "")) for name in shared)
