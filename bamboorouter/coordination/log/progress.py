"""The leader's view of one follower.

While probing, one message at a time looks for the point up to which the logs
agree. After that, entries are sent without waiting, up to a small window; a
lost message shows as a mismatch and starts probing again.
"""

import collections
import dataclasses
from typing import Final

MAX_IN_FLIGHT: Final = 8
NEVER_MS: Final = -(1 << 60)


@dataclasses.dataclass(kw_only=True)
class Progress:
    """How far one follower is.

    Attributes:
        match: Newest index known synced on the follower.
        commit: Newest index the follower knows to be committed.
        next: Next index to send.
        probing: Whether the point of agreement is being looked for.
        acknowledged_ms: When the newest answered message was sent.
        heartbeat_ms: When the next message is due at the latest.
        in_flight: Last index of each message with entries under way.
        snapshot_offset: Offset of the snapshot chunk under way; None if no
            snapshot is being sent.
        snapshot_sent_ms: When that chunk was sent.
    """

    next: int
    match: int = 0
    commit: int = 0
    probing: bool = True
    acknowledged_ms: int = NEVER_MS
    heartbeat_ms: int = NEVER_MS
    in_flight: "collections.deque[int]" = dataclasses.field(
        default_factory=collections.deque
    )
    snapshot_offset: int | None = None
    snapshot_sent_ms: int = NEVER_MS

    def may_send(self) -> bool:
        """Whether another message with entries may be sent now."""
        return len(self.in_flight) < (1 if self.probing else MAX_IN_FLIGHT)

    def sent(self, last_index: int) -> None:
        """Notes a message with entries up to `last_index`."""
        self.in_flight.append(last_index)
        if not self.probing:
            self.next = last_index + 1

    def accepted(self, match: int) -> None:
        """Notes that the follower has synced everything up to `match`."""
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        if self.probing:
            self.probing = False
            self.in_flight.clear()
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()

    def rejected(self, hint: int) -> None:
        """Notes that the logs disagree; they may agree up to `hint`."""
        self.next = max(self.match + 1, min(hint + 1, self.next))
        self.probing = True
        self.in_flight.clear()

    def restart(self) -> None:
        """Starts probing from the last known agreement."""
        self.next = self.match + 1
        self.probing = True
        self.in_flight.clear()
        self.snapshot_offset = None
