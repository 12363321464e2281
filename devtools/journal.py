"""Journal of the workers' actions, and consistency checks on it.

Each line of the file is a JSON object with wall-clock and monotonic time. All
processes of a site append to the same file and share the monotonic clock of the
machine. Tests check with the journal that no task ran on two workers at the
same time and that no request was executed twice.
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
# Header in which callers repeat the Idempotency-Key for the journal, since
# entries don't forward it.
KEY_HEADER: Final = "Journal-Key"


class Journal:
    """Appends records to the journal, each with a single write.

    Attributes:
        writer: Name of the process that writes the records.
    """

    def __init__(self, *, path: pathlib.Path | None, writer: str) -> None:
        self.writer = writer
        self._handle: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._handle = os.open(path, flags, 0o644)

    def write(self, event: str, **fields: object) -> None:
        """Appends a record with the current times; no-op without a file."""
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
    """Returns all complete records in the order of their monotonic time."""
    lines = path.read_text(encoding="utf-8").splitlines()
    records = [json.loads(line) for line in lines if line.endswith("}")]
    return sorted(records, key=lambda record: int(record["mono_ms"]))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One run of a task on a worker.

    Attributes:
        task: ID of the task.
        epoch: Fencing epoch of the task.
        writer: Name of the worker process.
        start_ms: Monotonic time of the start.
        end_ms: Monotonic time of the last activity; infinite if the run has
            not ended.
        state: "running" or the state in which it ended; "killed" if its worker
            was killed.
        resume_from: Checkpoint from which it started; empty if there was none.
        checkpoint: Last checkpoint when it ended; empty if it finished.
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
    """Returns all runs by start time; killing a worker ends its runs."""
    open_runs: dict[tuple[str, str, int], dict[str, Any]] = {}
    all_runs: list[Run] = []

    def close(
        key: tuple[str, str, int], end: float, state: str, checkpoint: str
    ) -> None:
        start = open_runs.pop(key, None)
        if start is not None:
            all_runs.append(_run(start, end, state, checkpoint))

    for record in records:
        event, writer = record["event"], record["writer"]
        if event == "started":
            open_runs[writer, record["task"], record["epoch"]] = record
        elif event == "ended":
            key = (writer, record["task"], record["epoch"])
            end = float(record["ran_until_ms"])
            close(key, end, record["state"], record["checkpoint"])
        elif event == "killed":
            for key in [
                key for key in open_runs if key[0] == record["process"]
            ]:
                close(key, float(record["mono_ms"]), "killed", "")
    all_runs.extend(
        _run(start, math.inf, "running", "") for start in open_runs.values()
    )
    return sorted(all_runs, key=lambda run: run.start_ms)


def _run(start: dict[str, Any], end: float, state: str, checkpoint: str) -> Run:
    return Run(
        task=start["task"],
        epoch=start["epoch"],
        writer=start["writer"],
        start_ms=float(start["mono_ms"]),
        end_ms=end,
        state=state,
        resume_from=start["resume_from"],
        checkpoint=checkpoint,
    )


def overlaps(all_runs: Iterable[Run]) -> list[tuple[Run, Run]]:
    """Returns pairs of runs of the same task that overlap in time."""
    by_task = collections.defaultdict(list)
    for run in all_runs:
        by_task[run.task].append(run)
    return [
        (first, second)
        for task_runs in by_task.values()
        for position, first in enumerate(task_runs)
        for second in task_runs[position + 1 :]
        if first.start_ms < second.end_ms and second.start_ms < first.end_ms
    ]


def resume_violations(all_runs: Iterable[Run]) -> list[str]:
    """Checks that evicted tasks are resumed correctly and finish once.

    The run after an eviction must start from the checkpoint of the eviction,
    and a task must not run again after it has finished.

    Returns:
        Descriptions of the violations.
    """
    violations = []
    by_task = collections.defaultdict(list)
    for run in all_runs:
        by_task[run.task].append(run)
    for task, task_runs in by_task.items():
        finished = [run for run in task_runs if run.state == "finished"]
        if len(finished) > 1:
            violations.append(f"{task} finished {len(finished)} times")
        if finished and task_runs[-1] is not finished[0]:
            violations.append(f"{task} ran again after it finished")
        for before, after in zip(task_runs, task_runs[1:], strict=False):
            evicted = before.state == "evicted" and before.checkpoint
            if evicted and after.resume_from != before.checkpoint:
                violations.append(
                    f"{task} resumed from {after.resume_from!r}"
                    f" after {before.checkpoint!r}"
                )
    return violations


def repeated_requests(records: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Returns the keys that reached an upstream repeatedly, with counts."""
    counts = collections.Counter(
        record["key"]
        for record in records
        if record["event"] == "request" and record["key"]
    )
    return {key: count for key, count in counts.items() if count > 1}


def capacity_violations(
    records: Iterable[dict[str, Any]], capacity: dict[str, dict[str, int]]
) -> list[str]:
    """Checks that no worker is overcommitted.

    Args:
        records: All records in order.
        capacity: Capacity by resource for each worker process.

    Returns:
        Descriptions of the violations.
    """
    reserved: dict[str, dict[tuple[str, int], dict[str, int]]] = (
        collections.defaultdict(dict)
    )
    violations = []
    for record in records:
        writer = record["writer"]
        if record["event"] == "started":
            reserved[writer][record["task"], record["epoch"]] = record["need"]
            for name, limit in capacity.get(writer, {}).items():
                amount = sum(need[name] for need in reserved[writer].values())
                if amount > limit:
                    violations.append(f"{writer}: {amount} {name} of {limit}")
        elif record["event"] == "ended":
            reserved[writer].pop((record["task"], record["epoch"]), None)
        elif record["event"] == "killed":
            reserved.pop(record["process"], None)
    return violations
