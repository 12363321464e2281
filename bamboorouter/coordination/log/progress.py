"""Tracks the replication progress of one follower on the leader.

While probing, the leader sends one message at a time to find the highest index
at which the logs match. After that it pipelines messages up to a small window.
A lost message causes a mismatch, which starts probing again.
"""

import collections
import dataclasses
from typing import Final

MAX_IN_FLIGHT: Final = 8
# Earlier than all times of the clock: an event with this time has not happened,
# an action with this due time is due immediately.
NEVER_MS: Final = -(1 << 60)


@dataclasses.dataclass(kw_only=True)
class Progress:
    """Replication progress of one follower.

    Times are in ms of the leader's monotonic clock.

    Attributes:
        match: Highest index known to be synced on the follower.
        commit: Highest index that the follower knows to be committed.
        next: Next index to send.
        probing: Whether the highest matching index is still being searched.
        acknowledged_ms: When the newest acknowledged message was sent.
        heartbeat_due_ms: When the next heartbeat is due.
        in_flight: Last index of each unacknowledged message with entries.
        snapshot_offset: Offset in bytes of the unacknowledged snapshot chunk;
            None if no snapshot is being sent.
        snapshot_sent_ms: When that chunk was sent.
    """

    next: int
    match: int = 0
    commit: int = 0
    probing: bool = True
    acknowledged_ms: int = NEVER_MS
    heartbeat_due_ms: int = NEVER_MS
    in_flight: "collections.deque[int]" = dataclasses.field(
        default_factory=collections.deque
    )
    snapshot_offset: int | None = None
    snapshot_sent_ms: int = NEVER_MS

    def may_send(self) -> bool:
        """Whether the window allows another message with entries."""
        return len(self.in_flight) < (1 if self.probing else MAX_IN_FLIGHT)

    def sent(self, last_index: int) -> None:
        """Records a sent message with entries up to `last_index`."""
        self.in_flight.append(last_index)
        if not self.probing:
            self.next = last_index + 1

    def accepted(self, match: int) -> None:
        """Records that the follower has synced all entries up to `match`."""
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        if self.probing:
            self.probing = False
            self.in_flight.clear()
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()

    def rejected(self, hint: int) -> None:
        """Records a log mismatch; starts probing at `hint`, a possible match."""
        self.next = max(self.match + 1, min(hint + 1, self.next))
        self.probing = True
        self.in_flight.clear()

    def start_probing(self) -> None:
        """Starts probing after the highest index known to match."""
        self.next = self.match + 1
        self.probing = True
        self.in_flight.clear()
        self.snapshot_offset = None
