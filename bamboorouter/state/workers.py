"""Replicated state of workers, drains and quarantines."""

from typing import Any
from typing import Final

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import resource_math

MAX_DRAINS: Final = 4096
# At most 1/4 of the workers may be in quarantine: taking more out of service
# would cost more work than a faulty worker does.
QUARANTINE_DIVISOR: Final = 4


class Worker(msgspec.Struct, array_like=True, kw_only=True):
    """A registered worker.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        rack: Rack.
        capacity: Resources of the VM.
        quarantined_until_ms: Wall time in ms since the epoch before which it
            gets no new tasks; 0 without a quarantine.
        quarantines: Number of quarantines since a task last finished on it.
    """

    name: str
    zone: str
    rack: str
    capacity: common.Resources
    quarantined_until_ms: int = 0
    quarantines: int = 0


class Workers:
    """All known workers.

    Attributes:
        by_name: Workers by name, in the order of registration.
        drains: Names of drained workers and IDs of drained upstreams.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Worker] = {}
        self.drains: dict[str, None] = {}

    def register(self, command: commands.RegisterWorker) -> commands.Result:
        """Adds a worker, or updates its zone, rack and capacity."""
        worker = self.by_name.get(command.worker)
        if worker is None:
            self.by_name[command.worker] = Worker(
                name=command.worker,
                zone=command.zone,
                rack=command.rack,
                capacity=command.capacity,
            )
        else:
            worker.zone = command.zone
            worker.rack = command.rack
            worker.capacity = command.capacity
        return commands.Result(ok=True)

    def drain_refusal(self, target: str) -> commands.Result | None:
        """Returns a refusal if no further drain may start, else None."""
        if target in self.drains or len(self.drains) < MAX_DRAINS:
            return None
        return refused(error_texts.TOO_MANY_DRAINS, count=len(self.drains))

    def set_drain(self, target: str, draining: bool) -> bool:
        """Starts or ends a drain; returns whether anything changed."""
        if draining == (target in self.drains):
            return False
        if draining:
            self.drains[target] = None
        else:
            del self.drains[target]
        return True

    def quarantine(
        self, command: commands.Quarantine, now_ms: int
    ) -> commands.Result:
        """Starts or extends a quarantine, or ends it if the time is past."""
        worker = self.by_name.get(command.worker)
        if worker is None:
            return refused(error_texts.NO_SUCH_WORKER, worker=command.worker)
        if command.until_ms <= now_ms:
            worker.quarantined_until_ms = 0
            worker.quarantines = 0
            return commands.Result(ok=True)
        others = sum(
            other.quarantined_until_ms > now_ms
            for other in self.by_name.values()
            if other is not worker
        )
        if others >= len(self.by_name) // QUARANTINE_DIVISOR:
            return refused(error_texts.TOO_MANY_QUARANTINES, count=others)
        worker.quarantined_until_ms = command.until_ms
        worker.quarantines += 1
        return commands.Result(ok=True)

    def record_success(self, name: str) -> None:
        """Ends any quarantine of a worker on which a task finished."""
        worker = self.by_name.get(name)
        if worker is not None:
            worker.quarantined_until_ms = 0
            worker.quarantines = 0

    def refusal(self, name: str, now_ms: int) -> commands.Result | None:
        """Returns a refusal if a worker takes no new tasks, else None."""
        worker = self.by_name.get(name)
        if worker is None:
            return refused(error_texts.NO_SUCH_WORKER, worker=name)
        if name in self.drains:
            return refused(error_texts.WORKER_DRAINED, worker=name)
        if worker.quarantined_until_ms > now_ms:
            return refused(error_texts.WORKER_QUARANTINED, worker=name)
        return None

    def can_ever_run(self, need: common.Resources) -> bool:
        """Whether any worker has the capacity; True if none is registered."""
        workers = self.by_name.values()
        return not workers or any(
            resource_math.fits(need, worker.capacity) for worker in workers
        )

    def snapshot(self) -> list[Any]:
        """Returns all workers and drains in order, as plain data."""
        workers = list(self.by_name.values())
        return [msgspec.to_builtins(workers), list(self.drains)]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all workers and drains with those in a snapshot."""
        workers, drains = plain
        converted = msgspec.convert(workers, list[Worker])
        self.by_name = {worker.name: worker for worker in converted}
        self.drains = dict.fromkeys(drains)


def refused(code: str, **values: object) -> commands.Result:
    """Returns a refusal with the text of its error code."""
    text = error_texts.text_for(code, **values)
    return commands.Result(ok=False, code=code, text=text)
