"""Journal of what workers really did, and checks on it.

Each line is a JSON object with wall and monotonic time. All processes of a site
append to one file; the monotonic clock is the same for all of them. Tests read
the journal to prove that no task ran in two places at once and that no request
ran twice.
"""

import collections
from collections.abc import Iterable
import dataclasses
import json
import math
import os
import pathlib
import time
from typing import Any
from typing import Final

NS_PER_MS: Final = 1_000_000
# An entry keeps the Idempotency-Key to itself, so callers repeat it here for
# the worker to write it down.
KEY_HEADER: Final = "Journal-Key"


class Journal:
    """Appends records; every record is one write.

    Attributes:
        writer: Name of the process that writes.
    """

    def __init__(self, *, path: pathlib.Path | None, writer: str) -> None:
        self.writer = writer
        self._handle: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._handle = os.open(path, flags, 0o644)

    def write(self, event: str, **fields: object) -> None:
        """Appends one record with the current times."""
        if self._handle is None:
            return
        record = {
            "event": event,
            "writer": self.writer,
            "mono_ms": time.monotonic_ns() // NS_PER_MS,
            "wall_ms": time.time_ns() // NS_PER_MS,
            **fields,
        }
        os.write(self._handle, json.dumps(record).encode() + b"\n")

    def close(self) -> None:
        """Closes the file."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None


def read(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns all records in the order of their monotonic time."""
    lines = path.read_text(encoding="utf-8").splitlines()
    records = [json.loads(line) for line in lines if line.endswith("}")]
    return sorted(records, key=lambda record: int(record["mono_ms"]))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One stay of a task on a worker.

    Attributes:
        start_ms: Monotonic time of the start.
        end_ms: Monotonic time of the last moment it ran; infinite if it has
            not ended.
        state: "running" or how it ended; "killed" with its worker.
        resume_from: Checkpoint it started from.
        checkpoint: Checkpoint it ended with.
    """

    task: str
    epoch: int
    writer: str
    start_ms: float
    end_ms: float
    state: str
    resume_from: str
    checkpoint: str


def runs(records: Iterable[dict[str, Any]]) -> list[Run]:
    """Returns all runs; a killed worker ends the runs on it."""
    opened: dict[tuple[str, str, int], dict[str, Any]] = {}
    found: list[Run] = []

    def close(
        key: tuple[str, str, int], end: float, state: str, at: str
    ) -> None:
        start = opened.pop(key, None)
        if start is not None:
            found.append(_run(start, end, state, at))

    for record in records:
        event, writer = record["event"], record["writer"]
        if event == "started":
            opened[writer, record["task"], record["epoch"]] = record
        elif event == "ended":
            key = (writer, record["task"], record["epoch"])
            end = float(record["ran_until_ms"])
            close(key, end, record["state"], record["checkpoint"])
        elif event == "killed":
            for key in [key for key in opened if key[0] == record["process"]]:
                close(key, float(record["mono_ms"]), "killed", "")
    found.extend(
        _run(start, math.inf, "running", "") for start in opened.values()
    )
    return sorted(found, key=lambda run: run.start_ms)


def _run(start: dict[str, Any], end: float, state: str, at: str) -> Run:
    return Run(
        task=start["task"],
        epoch=start["epoch"],
        writer=start["writer"],
        start_ms=float(start["mono_ms"]),
        end_ms=end,
        state=state,
        resume_from=start["resume_from"],
        checkpoint=at,
    )


def overlaps(found: Iterable[Run]) -> list[tuple[Run, Run]]:
    """Returns pairs of runs of one task that ran at the same time."""
    by_task = collections.defaultdict(list)
    for run in found:
        by_task[run.task].append(run)
    return [
        (first, second)
        for task_runs in by_task.values()
        for position, first in enumerate(task_runs)
        for second in task_runs[position + 1 :]
        if first.start_ms < second.end_ms and second.start_ms < first.end_ms
    ]


def wrong_resumes(found: Iterable[Run]) -> list[str]:
    """Returns what contradicts that evicted work resumes exactly once.

    The run that follows an eviction has to start from its checkpoint, and no
    run may start from it again unless the worker was lost in between.
    """
    faults = []
    by_task = collections.defaultdict(list)
    for run in found:
        by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        finished = [run for run in task_runs if run.state == "finished"]
        if len(finished) > 1:
            faults.append(f"{task} finished {len(finished)} times")
        if finished and task_runs[-1] is not finished[0]:
            faults.append(f"{task} ran again after it finished")
        for before, after in zip(task_runs, task_runs[1:], strict=False):
            evicted = before.state == "evicted" and before.checkpoint
            if evicted and after.resume_from != before.checkpoint:
                faults.append(
                    f"{task} resumed from {after.resume_from!r}"
                    f" after {before.checkpoint!r}"
                )
    return faults


def repeated_requests(records: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Returns idempotency keys that reached an upstream more than once."""
    counts = collections.Counter(
        record["key"]
        for record in records
        if record["event"] == "request" and record["key"]
    )
    return {key: count for key, count in counts.items() if count > 1}


def overload(
    records: Iterable[dict[str, Any]], capacity: dict[str, dict[str, int]]
) -> list[str]:
    """Returns the moments at which a worker held more than it has.

    Args:
        records: All records in order.
        capacity: Amounts by resource for each worker process.
    """
    held: dict[str, dict[tuple[str, int], dict[str, int]]] = (
        collections.defaultdict(dict)
    )
    faults = []
    for record in records:
        writer = record["writer"]
        if record["event"] == "started":
            held[writer][record["task"], record["epoch"]] = record["need"]
            for name, limit in capacity.get(writer, {}).items():
                amount = sum(need[name] for need in held[writer].values())
                if amount > limit:
                    faults.append(f"{writer}: {amount} {name} of {limit}")
        elif record["event"] == "ended":
            held[writer].pop((record["task"], record["epoch"]), None)
        elif record["event"] == "killed":
            held.pop(record["process"], None)
    return faults
