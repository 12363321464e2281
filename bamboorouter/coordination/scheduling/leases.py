"""Lease expiry as the leader counts it.

A lease counts from the moment the leader grants it by a start order or a
renewal. The agent counts the same lease from the earlier moment at which it
sent the heartbeat, so it always ends there first. The leader waits for the
term plus an allowance for clocks that run at different speeds. An assignment
that was never granted has no lease: its task can't have been started.

After an election every live assignment counts as granted at that moment,
because the former leader may have renewed it until then.
"""

from collections.abc import Iterable
import dataclasses
import heapq
from typing import Final

from bamboorouter import clock
from bamboorouter.protocol import common

ALLOWANCE_MS: Final = 500
# Two clocks may differ by this part of the term.
ALLOWANCE_DIVISOR: Final = 50


@dataclasses.dataclass(kw_only=True, slots=True)
class Lease:
    """What the leader remembers about one live assignment.

    Attributes:
        task: Task ID.
        epoch: Epoch of the assignment.
        worker: Worker it was given to.
        term_ms: Lease term.
        granted: Monotonic time in ms of the last grant; None before the first.
        granted_in: Incarnation and sequence of the heartbeat whose answer
            last carried a start order; None if this leader sent none.
        inherited: Whether a former leader made the assignment.
        reported: Whether the agent reported the task to this leader.
        checkpoint: Newest checkpoint the agent reported.
        checkpoint_at: Monotonic time in ms of its first report, or of the
            assignment.
    """

    task: str
    epoch: int
    worker: str
    term_ms: int
    granted: clock.Millis | None = None
    granted_in: tuple[int, int] | None = None
    inherited: bool = False
    reported: bool = False
    checkpoint: str = ""
    checkpoint_at: int = 0

    def may_start_in(self, incarnation: int) -> bool:
        """Whether a start order may be sent to this run of the agent.

        An epoch is started by one run of an agent only, so that a late report
        of its end can't be taken for the end of a second start.
        """
        if self.inherited:
            return False
        return self.granted_in is None or self.granted_in[0] == incarnation

    def expires(self) -> int | None:
        """Returns when the task is certainly stopped; None if not granted."""
        if self.granted is None:
            return None
        allowance_ms = ALLOWANCE_MS + self.term_ms // ALLOWANCE_DIVISOR
        return self.granted + self.term_ms + allowance_ms


class LeaseTable:
    """All leases by epoch.

    Attributes:
        terms_ms: Lease term by kind of task.
        by_epoch: The leases.
        ungranted: Epochs of leases that were never granted.
    """

    def __init__(self, *, service_ms: int, batch_ms: int) -> None:
        self.terms_ms: dict[common.TaskKind, int] = {
            "service": service_ms,
            "batch": batch_ms,
        }
        self.by_epoch: dict[int, Lease] = {}
        self.ungranted: set[int] = set()
        # Entries hold a time at which a lease may have expired; renewals
        # don't touch the heap, an early entry is pushed again.
        self._heap: list[tuple[int, int]] = []

    def reset(self) -> None:
        """Forgets all leases, for a replica that begins to lead."""
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
        """Adds an assignment that was not granted yet."""
        lease = Lease(
            task=task,
            epoch=epoch,
            worker=worker,
            term_ms=self.terms_ms[kind],
            checkpoint_at=now,
        )
        self.by_epoch[epoch] = lease
        self.ungranted.add(epoch)
        return lease

    def grant(self, lease: Lease, now: clock.Millis) -> None:
        """Notes that a start or renewal is about to be sent."""
        first = lease.granted is None
        lease.granted = now
        expires = lease.expires()
        if first and expires is not None:
            self.ungranted.discard(lease.epoch)
            heapq.heappush(self._heap, (expires, lease.epoch))

    def drop(self, epoch: int) -> None:
        """Forgets an assignment that ended."""
        self.by_epoch.pop(epoch, None)
        self.ungranted.discard(epoch)

    def keep_only(self, epochs: Iterable[int]) -> None:
        """Forgets all assignments but these."""
        kept = set(epochs)
        for epoch in [e for e in self.by_epoch if e not in kept]:
            self.drop(epoch)

    def expired(self, now: clock.Millis) -> list[Lease]:
        """Returns leases that expired; each stays until it is dropped."""
        found: list[Lease] = []
        while self._heap and self._heap[0][0] <= now:
            _, epoch = heapq.heappop(self._heap)
            lease = self.by_epoch.get(epoch)
            expires = lease.expires() if lease is not None else None
            if lease is None or expires is None:
                continue
            if expires <= now:
                found.append(lease)
                # A refused or lost command is tried again.
                expires = now + ALLOWANCE_MS
            heapq.heappush(self._heap, (expires, epoch))
        return found

    def next_deadline(self) -> int | None:
        """Returns when `expired` should be asked next; None without leases."""
        return self._heap[0][0] if self._heap else None
