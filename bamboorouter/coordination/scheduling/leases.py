"""Tracks the leases of live assignments and their expiry on the leader.

The leader measures a lease from the moment at which it grants or renews it. The
agent measures the same lease from the earlier moment at which it sent the
heartbeat, so the lease always ends first on the agent. The leader waits for the
lease term plus an allowance for clock drift. An assignment whose lease was
never granted doesn't expire: its task can't have been started.

After an election every live assignment counts as granted at that moment,
because the former leader may have renewed its lease until then.
"""

from collections.abc import Iterable
import dataclasses
import heapq
from typing import Final

from bamboorouter import clock
from bamboorouter.protocol import common

CLOCK_ALLOWANCE_MS: Final = 500
# Clock drift that is allowed for, as a divisor of the lease term (2 %).
CLOCK_DRIFT_DIVISOR: Final = 50


@dataclasses.dataclass(kw_only=True, slots=True)
class Lease:
    """Lease of one live assignment.

    Attributes:
        task: Task ID.
        epoch: Epoch of the assignment, which serves as fencing token.
        worker: Worker that the task is assigned to.
        term_ms: Lease term in ms.
        granted_ms: Monotonic time in ms of the last grant or renewal; None
            before the first grant.
        start_heartbeat: Incarnation and sequence of the heartbeat whose reply
            last carried a start order; None if this leader sent none.
        inherited: Whether a former leader made the assignment.
        reported: Whether the agent has reported the task to this leader.
        reported_by: Incarnation of the agent that last reported it; 0 if none
            has.
        begun_ms: Monotonic time in ms of the first report to this leader that
            the worker has begun the task; None before.
        checkpoint: Newest checkpoint that the agent reported.
        checkpoint_at_ms: Monotonic time in ms at which that checkpoint was
            first reported; time of the assignment if there is none.
    """

    task: str
    epoch: int
    worker: str
    term_ms: int
    granted_ms: clock.Millis | None = None
    start_heartbeat: tuple[int, int] | None = None
    inherited: bool = False
    reported: bool = False
    reported_by: int = 0
    begun_ms: clock.Millis | None = None
    checkpoint: str = ""
    checkpoint_at_ms: int = 0

    def may_start_in(self, incarnation: int) -> bool:
        """Whether a start order may be sent to an incarnation of the agent.

        An epoch is started by one incarnation only, so that a delayed report of
        its end can't be mistaken for the end of a second start.
        """
        if self.inherited:
            return False
        return (
            self.start_heartbeat is None
            or self.start_heartbeat[0] == incarnation
        )

    def expires_ms(self) -> int | None:
        """Returns the monotonic time in ms by which the task has stopped.

        None if the lease was never granted.
        """
        if self.granted_ms is None:
            return None
        allowance_ms = CLOCK_ALLOWANCE_MS + self.term_ms // CLOCK_DRIFT_DIVISOR
        return self.granted_ms + self.term_ms + allowance_ms


class LeaseTable:
    """Leases of all live assignments.

    Attributes:
        terms_ms: Lease term in ms by kind of task.
        by_epoch: Leases by epoch of the assignment.
        ungranted: Epochs of leases that were never granted.
    """

    def __init__(self, *, service_ms: int, batch_ms: int) -> None:
        self.terms_ms: dict[common.TaskKind, int] = {
            "service": service_ms,
            "batch": batch_ms,
        }
        self.by_epoch: dict[int, Lease] = {}
        self.ungranted: set[int] = set()
        # Each item is the earliest time at which a lease may have expired, and
        # its epoch. A renewal doesn't update the heap; an item that is due
        # early is pushed again with the new time.
        self._heap: list[tuple[int, int]] = []

    def reset(self) -> None:
        """Discards all leases when this replica becomes leader."""
        self.by_epoch.clear()
        self.ungranted.clear()
        self._heap.clear()

    def track(
        self,
        *,
        task: str,
        epoch: int,
        kind: common.TaskKind,
        worker: str,
        now: clock.Millis,
    ) -> Lease:
        """Adds and returns a lease that is not granted yet."""
        lease = Lease(
            task=task,
            epoch=epoch,
            worker=worker,
            term_ms=self.terms_ms[kind],
            checkpoint_at_ms=now,
        )
        self.by_epoch[epoch] = lease
        self.ungranted.add(epoch)
        return lease

    def grant(self, lease: Lease, now: clock.Millis) -> None:
        """Grants or renews a lease, just before the agent is told."""
        is_first_grant = lease.granted_ms is None
        lease.granted_ms = now
        expires_ms = lease.expires_ms()
        if is_first_grant and expires_ms is not None:
            self.ungranted.discard(lease.epoch)
            heapq.heappush(self._heap, (expires_ms, lease.epoch))

    def drop(self, epoch: int) -> None:
        """Removes the lease of an assignment that ended."""
        self.by_epoch.pop(epoch, None)
        self.ungranted.discard(epoch)

    def keep_only(self, epochs: Iterable[int]) -> None:
        """Removes all leases whose epoch is not in `epochs`."""
        kept = set(epochs)
        for epoch in [e for e in self.by_epoch if e not in kept]:
            self.drop(epoch)

    def expired(self, now: clock.Millis) -> list[Lease]:
        """Returns the leases that expired.

        An expired lease stays in the table, and is returned again after
        `CLOCK_ALLOWANCE_MS`, until it is removed by `drop`.
        """
        expired_leases: list[Lease] = []
        while self._heap and self._heap[0][0] <= now:
            _, epoch = heapq.heappop(self._heap)
            lease = self.by_epoch.get(epoch)
            expires_ms = lease.expires_ms() if lease is not None else None
            if lease is None or expires_ms is None:
                continue
            if expires_ms <= now:
                expired_leases.append(lease)
                # Retries if the command that ends it is refused or lost.
                expires_ms = now + CLOCK_ALLOWANCE_MS
            heapq.heappush(self._heap, (expires_ms, epoch))
        return expired_leases

    def next_deadline(self) -> int | None:
        """Returns the monotonic time in ms at which to call `expired` next.

        None if no lease was granted.
        """
        return self._heap[0][0] if self._heap else None
