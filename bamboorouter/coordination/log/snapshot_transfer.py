"""Transfers a snapshot to a follower that lacks entries the leader removed.

The leader sends one chunk at a time, and the follower answers with the next
offset it needs. An unanswered chunk is sent again after RESEND_TIMEOUT_MS, but
only while the follower answers heartbeats.
"""

import dataclasses
from typing import Final

from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import progress
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import records
from bamboorouter.state import snapshot_store

CHUNK_BYTES: Final = 256 * 1024
RESEND_TIMEOUT_MS: Final = 1000


class Sender:
    """Sends the newest snapshot of a leader to its followers.

    Attributes:
        state: Term, log and output of the replica.
        snapshots: Snapshots in the data folder.
    """

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        snapshots: snapshot_store.SnapshotStore,
    ) -> None:
        self.state = state
        self.snapshots = snapshots
        self._snapshot: snapshot_store.Snapshot | None = None

    def begin(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        """Starts a transfer unless one is running or the follower is silent."""
        if follower.snapshot_offset is None and _is_responsive(follower, now):
            self._send(replica_id, follower, now)

    def tick(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        """Resends a timed-out chunk; aborts if the follower is silent."""
        if follower.snapshot_offset is None:
            return
        if not _is_responsive(follower, now):
            follower.snapshot_offset = None
        elif now - follower.snapshot_sent_ms >= RESEND_TIMEOUT_MS:
            self._send(replica_id, follower, now)

    def on_reply(
        self,
        m: messages.SnapshotReply,
        follower: progress.Progress,
        now: int,
    ) -> None:
        """Sends the next chunk, or completes the transfer."""
        snapshot = self._snapshot
        if follower.snapshot_offset is None or snapshot is None:
            return
        if not m.done:
            follower.snapshot_offset = m.offset
            self._send(m.follower, follower, now)
            return
        follower.start_probing()
        follower.next = max(follower.next, snapshot.position.index + 1)

    def release(self) -> None:
        """Releases the snapshot's memory once no transfer is running."""
        self._snapshot = None

    def _send(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        snapshot = self._load_current()
        if snapshot is None:
            return
        state = self.state
        offset = follower.snapshot_offset or 0
        data = snapshot.data[offset : offset + CHUNK_BYTES]
        request = messages.SnapshotRequest(
            group=state.group,
            term=state.term,
            leader=state.id,
            last_index=snapshot.position.index,
            last_term=snapshot.position.term,
            chain=snapshot.position.chain,
            members=snapshot.members,
            offset=offset,
            data=data,
            done=offset + len(data) >= len(snapshot.data),
            sequence=now,
            leader_address=state.address,
        )
        follower.snapshot_offset = offset
        follower.snapshot_sent_ms = now
        state.send(replica_id, request)

    def _load_current(self) -> snapshot_store.Snapshot | None:
        """Returns a snapshot that leaves no gap before the first log entry.

        A cached snapshot is replaced by the newest one if the log no longer
        contains the entries that follow it. A follower that received chunks of
        the earlier snapshot requests the new one from offset 0.
        """
        base = self.state.log.base
        if self._snapshot is None or (
            self._snapshot.position.index < base.index
        ):
            self._snapshot = self.snapshots.load()
        return self._snapshot


@dataclasses.dataclass(kw_only=True)
class _PartialSnapshot:
    """A snapshot of which some chunks have arrived.

    Attributes:
        position: Position in the log that the snapshot covers.
        data: Chunks received so far.
    """

    position: records.LogPosition
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Receiver:
    """Assembles the chunks of a snapshot on a follower.

    Attributes:
        state: Term, log and output of the replica.
    """

    def __init__(self, *, state: core_state.CoreState) -> None:
        self.state = state
        self._partial: _PartialSnapshot | None = None

    def on_request(self, m: messages.SnapshotRequest) -> None:
        """Handles a chunk; after the last one, requests the installation."""
        if m.last_index <= self.state.commit:
            self._reply(offset=m.offset, done=True)
            return
        position = records.LogPosition(
            index=m.last_index, term=m.last_term, chain=m.chain
        )
        if self._partial is None or self._partial.position != position:
            self._partial = _PartialSnapshot(position=position)
        partial = self._partial
        if m.offset == len(partial.data):
            partial.data.extend(m.data)
            if m.done:
                self._partial = None
                self.state.output.install = snapshot_store.Snapshot(
                    position=position,
                    members=m.members,
                    data=bytes(partial.data),
                )
                return
        self._reply(offset=len(partial.data), done=False)

    def snapshot_installed(self, snapshot: snapshot_store.Snapshot) -> None:
        """Updates commit index and members after an installation."""
        index = snapshot.position.index
        self.state.commit = index
        self.state.members.reset(
            index, membership.CODEC.decode(snapshot.members)
        )
        self._reply(offset=len(snapshot.data), done=True)

    def discard(self) -> None:
        """Discards a partially received snapshot."""
        self._partial = None

    def _reply(self, *, offset: int, done: bool) -> None:
        reply = messages.SnapshotReply(
            group=self.state.group,
            term=self.state.term,
            follower=self.state.id,
            offset=offset,
            done=done,
        )
        self.state.send(self.state.leader, reply)


def _is_responsive(follower: progress.Progress, now: int) -> bool:
    return now - follower.acknowledged_ms < RESEND_TIMEOUT_MS
