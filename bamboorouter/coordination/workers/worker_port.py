"""What an agent needs from its worker, whatever protocol the worker speaks."""

import dataclasses
from typing import Literal
from typing import Protocol

from bamboorouter import errors
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# Why a worker did not carry an order out. "fence": it has seen a higher token;
# "old": a start of this attempt or a later one ended there; "late": the lease
# had ended; "room": no room; "ticket": not allowed or no longer; "invalid":
# malformed; "unhealthy": it takes none.
RejectReason = Literal[
    "fence", "old", "late", "room", "ticket", "invalid", "unhealthy"
]


class RejectedError(errors.RouterError):
    """The worker answered that it did not carry an order out.

    Attributes:
        reason: Why.
    """

    def __init__(self, *, reason: RejectReason, step: str, peer: str) -> None:
        super().__init__(
            text=f"rejected by the worker: {reason}", step=step, peer=peer
        )
        self.reason = reason


class NoAnswerError(errors.RouterError):
    """The worker didn't answer; it may carry the order out, also later."""


class OtherLifeError(errors.RouterError):
    """Another life of the worker answered; nothing was done."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """What a worker says about itself.

    Attributes:
        id: Name that the worker goes by.
        born_ms: Start of this life, in ms since the epoch on its own clock.
        sequence: Rises with each announcement of a life.
        address: Where it takes orders.
        service: Service it belongs to.
        zone: Its availability zone.
        labels: Labels it carries.
        rack: Its rack; empty if unknown.
        room: What it has.
        draining: Whether it is about to leave.
    """

    id: str
    born_ms: int
    sequence: int
    address: str
    service: str
    zone: str
    labels: tuple[str, ...]
    rack: str
    room: common.Resources
    draining: bool

    @property
    def life(self) -> str:
        """Returns the name of this life; no other life has it."""
        return f"{self.id}@{self.born_ms}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningRow:
    """A run that the worker lists as running.

    Attributes:
        task: The task.
        attempt: Number of the start.
        checkpoint: Newest checkpoint; empty if there is none.
        progress: Share of its work that is done, in percent; 100 for a task
            that lasts and has started up.
        figure: Tail latency in ms of a task that serves users; processor time
            in use, in thousandths of a processor, of any other.
    """

    task: jobs.TaskRef
    attempt: int
    checkpoint: str
    progress: int
    figure: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedRow:
    """A run that the worker lists as ended.

    Attributes:
        number: Number of the end; rises within a life.
        end: The end.
    """

    number: int
    end: jobs.RunEnd


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerView:
    """What a worker runs and what ended on it.

    Attributes:
        clock_ms: Time on the worker's clock when it answered.
        running: All runs.
        ended: Ends that were not acknowledged; perhaps not all of them.
    """

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRun:
    """An order to start a run.

    Attributes:
        task: The task.
        attempt: Number of the start.
        spec: What to run.
        checkpoint: Progress to resume from; empty if there is none.
        until_ms: End of the lease on the worker's clock.
        token: Fencing token.
        ticket: Shows that the step may run there; empty if it needs none.
    """

    task: jobs.TaskRef
    attempt: int
    spec: str
    checkpoint: str
    until_ms: int
    token: int
    ticket: str = ""


class WorkerPort(Protocol):
    """Orders to one life of a worker.

    Each call raises RejectedError, NoAnswerError or OtherLifeError.
    """

    async def start(self, order: StartRun) -> None:
        """Starts a run, or finds that it is there already."""
        ...

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        """Begins to stop a run; later starts of it are rejected."""
        ...

    async def pace(
        self, task: jobs.TaskRef, attempt: int, *, percent: int, token: int
    ) -> None:
        """Lets a run work at a share of its speed."""
        ...

    async def look(
        self,
        *,
        token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerView:
        """Returns what runs and what ended, and extends the lease.

        Args:
            token: Fencing token; voids orders with lower ones.
            acknowledged: Ends up to this number may be forgotten.
            until_ms: End of the lease on the worker's clock, for all runs;
                None leaves it as it is.
            wait_ms: How long the worker waits for an end to tell.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...


class WorkerPorts(Protocol):
    """Opens the way to a worker."""

    def open(self, announcement: Announcement) -> WorkerPort:
        """Returns a port to the announced life."""
        ...
