"""Defines the protocol-independent interface of an agent to its worker."""

import dataclasses
from typing import Literal
from typing import Protocol

from bamboorouter import errors
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# Reason why a worker rejected an order:
# "fence": the worker has seen a higher fencing token;
# "old": this attempt or a later one has ended on the worker;
# "late": the lease has expired;
# "room": not enough free resources;
# "ticket": the ticket is missing, invalid or expired;
# "invalid": the order is malformed;
# "unhealthy": the worker accepts no orders.
RejectReason = Literal[
    "fence", "old", "late", "room", "ticket", "invalid", "unhealthy"
]


class RejectedError(errors.RouterError):
    """The worker rejected an order and did not execute it.

    Attributes:
        reason: Reason of the rejection.
    """

    def __init__(self, *, reason: RejectReason, step: str, peer: str) -> None:
        super().__init__(
            text=f"rejected by the worker: {reason}", step=step, peer=peer
        )
        self.reason = reason


class NoAnswerError(errors.RouterError):
    """The worker didn't answer; it may still execute the order."""


class NotDeliveredError(NoAnswerError):
    """No connection to the worker could be opened; the order wasn't sent."""


class IncarnationMismatchError(errors.RouterError):
    """Another incarnation of the worker answered and did nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """Announcement of a worker incarnation.

    Attributes:
        id: ID of the worker, the same for all its incarnations.
        started_ms: Start of the incarnation, in ms since the epoch on the
            worker's clock.
        sequence: Sequence number; increases with each announcement of an
            incarnation.
        address: Address at which the worker accepts orders.
        service: Service of the worker.
        zone: Availability zone of the worker.
        labels: Labels of the worker.
        rack: Rack of the worker; empty if unknown.
        capacity: Total resources of the worker.
        draining: Whether the worker is about to leave.
        clock_ms: Time on the worker's clock when it sent the announcement, in
            ms; None if it isn't told.
    """

    id: str
    started_ms: int
    sequence: int
    address: str
    service: str
    zone: str
    labels: tuple[str, ...]
    rack: str
    capacity: common.Resources
    draining: bool
    clock_ms: int | None = None

    @property
    def incarnation(self) -> str:
        """Returns the unique name of the incarnation."""
        return f"{self.id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningRow:
    """A run that the worker lists as running.

    Attributes:
        task: Task of the run.
        attempt: Attempt number.
        checkpoint: Newest checkpoint; empty if there is none.
        progress: Completed work, in percent; 100 for a long-running task that
            has started up.
        figure: Tail latency in ms for a serving task; processor time in use, in
            millicores, for any other task.
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
        number: Number of the end; increases within an incarnation.
        end: The end.
    """

    number: int
    end: jobs.RunEnd


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerView:
    """A worker's answer to a poll: its running and ended runs.

    Attributes:
        clock_ms: Time on the worker's clock when it answered, in ms.
        running: All running runs.
        ended: Ended runs that weren't acknowledged, those with the lowest
            numbers first.
        complete: Whether both lists contain all of them. If not, a run that
            isn't listed may be running or may have ended.
        unread_ends: Whether ended runs were left out because they couldn't be
            read.
    """

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    complete: bool = True
    unread_ends: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRun:
    """An order to start a run.

    Attributes:
        task: Task of the run.
        attempt: Attempt number.
        spec: Specification of what to run.
        checkpoint: Checkpoint to resume from; empty if there is none.
        until_ms: End of the lease, in ms on the worker's clock.
        token: Fencing token.
        ticket: Proof that the step may run on the worker; empty if none is
            needed.
    """

    task: jobs.TaskRef
    attempt: int
    spec: str
    checkpoint: str
    until_ms: int
    token: int
    ticket: str = ""


class WorkerPort(Protocol):
    """Sends orders to one incarnation of a worker.

    No other incarnation carries out an order, acknowledges ends or extends its
    lease by a call, even if it has the same ID and address. A poll without
    acknowledgement and lease may reach another one and raise its fencing token.

    Each call raises RejectedError, NoAnswerError or IncarnationMismatchError.
    """

    async def start(self, order: StartRun) -> None:
        """Starts a run; does nothing if the run exists."""
        ...

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        """Begins to stop a run; the worker rejects later starts of it."""
        ...

    async def pace(
        self, task: jobs.TaskRef, attempt: int, *, percent: int, token: int
    ) -> None:
        """Sets the speed of a run, in percent of full speed."""
        ...

    async def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> WorkerView:
        """Returns the worker's view of its runs, and renews their lease.

        Args:
            token: Fencing token; the worker rejects orders with lower ones.
            acknowledged: Number up to which the worker may discard ends.
            until_ms: End of the lease of all runs, in ms on the worker's clock;
                None leaves it unchanged.
            wait_ms: Maximum time that the worker waits for an end before it
                answers, in ms.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...


class WorkerPorts(Protocol):
    """Creates ports to worker incarnations."""

    def open(self, announcement: Announcement) -> WorkerPort:
        """Returns a port to the announced incarnation."""
        ...
