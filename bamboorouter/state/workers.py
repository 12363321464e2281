"""Workers, drains and quarantines as all replicas know them."""

from typing import Any
from typing import Final

import msgspec

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import ledger

MAX_DRAINS: Final = 4096
# A larger part in quarantine would cost more work than a faulty worker does.
QUARANTINE_DIVISOR: Final = 4


class Worker(msgspec.Struct, array_like=True, kw_only=True):
    """A worker that announced itself.

    Attributes:
        name: Name of the VM.
        zone: Availability zone.
        rack: Rack.
        capacity: What the VM has.
        quarantined_until_ms: Wall time before which it gets no new tasks.
        quarantines: Quarantines since a task last finished on it.
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
        """Records a worker or its changed capacity."""
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

    def set_drain(self, target: str, draining: bool) -> bool:
        """Sets or ends a drain; returns whether anything changed."""
        if draining == (target in self.drains):
            return False
        if not draining:
            del self.drains[target]
            return True
        self.drains[target] = None
        while len(self.drains) > MAX_DRAINS:
            del self.drains[next(iter(self.drains))]
        return True

    def quarantine(
        self, command: commands.Quarantine, now_ms: int
    ) -> commands.Result:
        """Starts, extends or (with time 0) ends a quarantine."""
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

    def note_success(self, name: str) -> None:
        """Ends a quarantine, because a task finished on the worker."""
        worker = self.by_name.get(name)
        if worker is not None:
            worker.quarantined_until_ms = 0
            worker.quarantines = 0

    def refusal(self, name: str, now_ms: int) -> commands.Result | None:
        """Returns why a worker takes no new task, or None if it does."""
        worker = self.by_name.get(name)
        if worker is None:
            return refused(error_texts.NO_SUCH_WORKER, worker=name)
        if name in self.drains:
            return refused(error_texts.WORKER_DRAINED, worker=name)
        if worker.quarantined_until_ms > now_ms:
            return refused(error_texts.WORKER_QUARANTINED, worker=name)
        return None

    def can_ever_run(self, need: common.Resources) -> bool:
        """Whether any known worker is large enough; True if none is known."""
        workers = self.by_name.values()
        return not workers or any(
            ledger.fits(need, worker.capacity) for worker in workers
        )

    def snapshot(self) -> list[Any]:
        """Returns all workers and drains in order."""
        workers = list(self.by_name.values())
        return [msgspec.to_builtins(workers), list(self.drains)]

    def restore(self, plain: list[Any]) -> None:
        """Replaces all workers and drains by those of a snapshot."""
        workers, drains = plain
        converted = msgspec.convert(workers, list[Worker])
        self.by_name = {worker.name: worker for worker in converted}
        self.drains = dict.fromkeys(drains)


def refused(code: str, **values: object) -> commands.Result:
    """Returns a refusal with its text."""
    text = error_texts.text_for(code, **values)
    return commands.Result(ok=False, code=code, text=text)
