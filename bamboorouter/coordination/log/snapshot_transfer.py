"""How a snapshot travels to a follower whose entries were removed.

It is sent in chunks, one at a time; the follower answers with the offset it
wants next. A chunk without an answer is sent again, but only while the
follower answers heartbeats.
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
RESEND_MS: Final = 1000


class Sender:
    """Sends the newest snapshot of a leader.

    Attributes:
        state: Term, log and output of the replica.
        snapshots: Where the snapshot is read from.
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
        """Starts a transfer, unless one is under way or nobody answers."""
        if follower.snapshot_offset is None and _answers(follower, now):
            self._send(replica_id, follower, now)

    def tick(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        """Sends a chunk again, or gives up a follower that is silent."""
        if follower.snapshot_offset is None:
            return
        if not _answers(follower, now):
            follower.snapshot_offset = None
        elif now - follower.snapshot_sent_ms >= RESEND_MS:
            self._send(replica_id, follower, now)

    def on_reply(
        self,
        m: messages.SnapshotReply,
        follower: progress.Progress,
        now: int,
    ) -> None:
        """Sends the next chunk, or ends the transfer."""
        snapshot = self._snapshot
        if follower.snapshot_offset is None or snapshot is None:
            return
        if not m.done:
            follower.snapshot_offset = m.offset
            self._send(m.follower, follower, now)
            return
        follower.restart()
        follower.next = max(follower.next, snapshot.position.index + 1)

    def free(self) -> None:
        """Frees the snapshot; called when no transfer is under way."""
        self._snapshot = None

    def _send(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        snapshot = self._current()
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

    def _current(self) -> snapshot_store.Snapshot | None:
        """Returns a snapshot that the log continues.

        An older one would end before the first entry that can be sent. A
        follower that has a part of it asks for the new one from the start.
        """
        base = self.state.log.base
        if self._snapshot is None or (
            self._snapshot.position.index < base.index
        ):
            self._snapshot = self.snapshots.load()
        return self._snapshot


@dataclasses.dataclass(kw_only=True)
class _Incoming:
    """A snapshot of which some chunks have arrived."""

    position: records.LogPosition
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Receiver:
    """Puts the chunks of a snapshot together on a follower.

    Attributes:
        state: Term, log and output of the replica.
    """

    def __init__(self, *, state: core_state.CoreState) -> None:
        self.state = state
        self._incoming: _Incoming | None = None

    def on_request(self, m: messages.SnapshotRequest) -> None:
        """Takes a chunk; after the last one, has the snapshot installed."""
        if m.last_index <= self.state.commit:
            self._reply(offset=m.offset, done=True)
            return
        position = records.LogPosition(
            index=m.last_index, term=m.last_term, chain=m.chain
        )
        if self._incoming is None or self._incoming.position != position:
            self._incoming = _Incoming(position=position)
        incoming = self._incoming
        if m.offset == len(incoming.data):
            incoming.data.extend(m.data)
            if m.done:
                self._incoming = None
                self.state.output.install = snapshot_store.Snapshot(
                    position=position,
                    members=m.members,
                    data=bytes(incoming.data),
                )
                return
        self._reply(offset=len(incoming.data), done=False)

    def installed(self, snapshot: snapshot_store.Snapshot) -> None:
        """Takes note that log and state machine start from a snapshot."""
        index = snapshot.position.index
        self.state.commit = index
        self.state.members.reset(
            index, membership.CODEC.decode(snapshot.members)
        )
        self._reply(offset=len(snapshot.data), done=True)

    def forget(self) -> None:
        """Drops chunks that have arrived."""
        self._incoming = None

    def _reply(self, *, offset: int, done: bool) -> None:
        reply = messages.SnapshotReply(
            group=self.state.group,
            term=self.state.term,
            follower=self.state.id,
            offset=offset,
            done=done,
        )
        self.state.send(self.state.leader, reply)


def _answers(follower: progress.Progress, now: int) -> bool:
    return now - follower.acknowledged_ms < RESEND_MS
