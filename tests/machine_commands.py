"""Builds commands and state machines for tests of the replicated state."""

import uuid

from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import machine

WALL_MS = 1_700_000_000_000


def row(name: str, **fields: object) -> common.SheetRow:
    """Returns the row of a 1-processor, 100 MB job, changed by `fields`."""
    values: dict[str, object] = {
        "kind": "job",
        "name": name,
        "owner": "guild",
        "urgency": 5,
        "place": 1,
        "millicores": 1000,
        "memory_mb": 100,
        **fields,
    }
    return common.SheetRow(**values)  # type: ignore[arg-type]


def service(name: str, **fields: object) -> common.SheetRow:
    """Returns the row of a service with urgency 0, changed by `fields`."""
    return row(name, **{"kind": "service", "urgency": 0, **fields})


def capacity(processors: int = 4, slots: int = 8) -> common.Resources:
    """Returns the capacity of a small worker."""
    return common.Resources(
        millicores=processors * 1000, memory_mb=10_000, slots=slots
    )


def need(processors: int = 1) -> common.Resources:
    """Returns the resources that a task needs."""
    return common.Resources(
        millicores=processors * 1000, memory_mb=100, slots=1
    )


def sheet(
    revision: int,
    *rows: common.SheetRow,
    operation_id: str = "",
    digest: str = "",
) -> commands.AcceptSheet:
    """Returns the command that accepts a sheet with these rows."""
    return commands.AcceptSheet(
        operation_id=operation_id or str(uuid.uuid4()),
        operator="planner",
        revision=revision,
        digest=digest or f"digest-{revision}",
        rows=rows,
    )


def register(worker: str, processors: int = 4) -> commands.RegisterWorker:
    """Returns the command that registers a worker."""
    return commands.RegisterWorker(
        worker=worker, zone="a", rack="r1", capacity=capacity(processors)
    )


def assign(task: str, worker: str, processors: int = 1) -> commands.Assign:
    """Returns the command that assigns a task to a worker."""
    return commands.Assign(
        task=task,
        worker=worker,
        need=need(processors),
        reason=commands.AssignReason(revision=1, waiting=1),
    )


class Applier:
    """Applies commands to a state machine, each in a batch of its own.

    Attributes:
        machine: The state machine.
        wall_ms: Wall time in ms of the next batch.
    """

    def __init__(self) -> None:
        self.machine = machine.Machine()
        self.wall_ms = WALL_MS

    def __call__(self, command: commands.Command) -> commands.Result:
        """Applies a command and returns its result."""
        batch = commands.CommandBatch(wall_ms=self.wall_ms, commands=(command,))
        index = self.machine.applied_index + 1
        return self.machine.apply(index, batch)[0]
