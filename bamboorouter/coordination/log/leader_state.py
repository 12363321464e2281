"""One term of a leader: replication, commit, lease and transfer.

An entry of the leader's own term is committed once a majority has synced it,
and with it all entries before. Entries of older terms are never committed by
counting, because a later leader could still replace them.
"""

from typing import Final

from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import follower_state
from bamboorouter.coordination.log import progress
from bamboorouter.coordination.log import snapshot_transfer
from bamboorouter.protocol import messages
from bamboorouter.state import records
from bamboorouter.state import snapshot_store

APPEND_BYTES: Final = 256 * 1024


class LeaderState:
    """What a replica does and knows while it leads.

    Attributes:
        state: Term, log and output of the replica.
        followers: Progress of the other members by ID.
        term_start: Index of the first entry of this term.
        transferring: Whether leadership is being handed over; from then on
            the leader has no lease and proposes nothing.
        done: Whether the leader must become a follower.
    """

    def __init__(
        self,
        *,
        state: core_state.CoreState,
        snapshots: snapshot_store.SnapshotStore,
        now: int,
    ) -> None:
        self.state = state
        self.followers: dict[str, progress.Progress] = {}
        self.transferring = False
        self.done = False
        self._elected_ms = now
        self._sender = snapshot_transfer.Sender(
            state=state, snapshots=snapshots
        )
        self._match_followers()
        self.term_start = self.propose(messages.KIND_NO_OP, b"", now)

    # --- Inputs --------------------------------------------------------------

    def propose(self, kind: int, payload: bytes, now: int) -> int:
        """Appends an entry and sends it; returns its index."""
        state = self.state
        entry = messages.LogEntry(
            term=state.term,
            index=state.log.last_index + 1,
            kind=kind,
            payload=payload,
        )
        state.log.append(entry)
        if state.members.append(entry):
            self._match_followers()
        for replica_id, follower in self.followers.items():
            self._send_entries(replica_id, follower, now)
        return entry.index

    def tick(self, now: int) -> None:
        """Sends due heartbeats; ends the term without a majority."""
        heard = max(self.quorum_heard_ms(now), self._elected_ms)
        if now - heard >= self.state.timing.election_max_ms:
            self.done = True
            return
        for replica_id, follower in self.followers.items():
            if now >= follower.heartbeat_ms:
                self._send_append(replica_id, follower, now, entries=())
                self._sender.tick(replica_id, follower, now)
        self._free_snapshot()

    def on_append_reply(self, m: messages.AppendReply, now: int) -> None:
        """Notes what a follower has synced and sends what it lacks."""
        follower = self.followers.get(m.follower)
        if follower is None:
            return
        follower.acknowledged_ms = max(follower.acknowledged_ms, m.sequence)
        follower.commit = max(follower.commit, m.commit)
        if m.success:
            follower.accepted(m.match_index)
            self.log_synced()
        else:
            follower.rejected(m.match_index)
        if not self.done:
            self._send_entries(m.follower, follower, now)
            self._try_transfer()

    def on_snapshot_reply(self, m: messages.SnapshotReply, now: int) -> None:
        """Goes on with a snapshot, or with entries after its end."""
        follower = self.followers.get(m.follower)
        if follower is not None:
            self._sender.on_reply(m, follower, now)
            self._free_snapshot()
            self._send_entries(m.follower, follower, now)

    def log_synced(self) -> None:
        """Advances the commit index to what a majority has synced."""
        state = self.state
        matches = sorted(
            (
                state.log.synced_index if v == state.id else self._match_of(v)
                for v in state.members.voters
            ),
            reverse=True,
        )
        index = matches[state.members.quorum - 1]
        if index > state.commit and state.log.term_at(index) == state.term:
            state.commit = index
            self._leave_if_removed()

    def link_lost(self, replica_id: str) -> None:
        """Sends anew from the last acknowledged entry."""
        follower = self.followers.get(replica_id)
        if follower is not None:
            follower.restart()

    def transfer(self) -> None:
        """Hands leadership to the follower that is furthest."""
        self.transferring = True
        self._try_transfer()

    # --- State ---------------------------------------------------------------

    def deadline(self) -> int | None:
        """Returns when the next heartbeat is due."""
        return min(
            (f.heartbeat_ms for f in self.followers.values()), default=None
        )

    def lease_until(self, now: int) -> int:
        """Returns until when this leader may act."""
        if self.transferring:
            return progress.NEVER_MS
        return self.quorum_heard_ms(now) + self.state.timing.lease_ms

    def quorum_heard_ms(self, now: int) -> int:
        """Returns the latest time at which a majority heard this leader.

        Times count from the sending of a message that was answered, because a
        follower's silence towards candidates begins only after that.
        """
        members = self.state.members
        times = sorted(
            (
                now if voter == self.state.id else self._acknowledged_ms(voter)
                for voter in members.voters
            ),
            reverse=True,
        )
        return times[members.quorum - 1]

    def may_change_members(self) -> bool:
        """Whether the last change of members is committed.

        The leader must also have committed an entry of its own term, because
        otherwise two lists without a common majority could be in force.
        """
        commit = self.state.commit
        return (
            not self.transferring
            and commit >= self.term_start
            and commit >= self.state.members.changed_at
        )

    # --- Work ----------------------------------------------------------------

    def _match_followers(self) -> None:
        """Keeps one progress for each other member in force."""
        known = self.followers
        self.followers = {
            member.id: known.get(member.id)
            or progress.Progress(next=self.state.log.last_index + 1)
            for member in self.state.members.current.members
            if member.id != self.state.id
        }

    def _send_entries(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        """Sends what the follower lacks, as far as its window allows."""
        log = self.state.log
        if follower.next < log.first_index:
            self._sender.begin(replica_id, follower, now)
            return
        follower.snapshot_offset = None
        while follower.may_send() and follower.next <= log.last_index:
            entries = tuple(log.read(follower.next, max_bytes=APPEND_BYTES))
            self._send_append(replica_id, follower, now, entries=entries)
            follower.sent(entries[-1].index)

    def _send_append(
        self,
        replica_id: str,
        follower: progress.Progress,
        now: int,
        *,
        entries: tuple[messages.LogEntry, ...],
    ) -> None:
        state = self.state
        previous = records.Base()
        if follower.next >= state.log.first_index:
            previous = state.log.position_at(follower.next - 1)
        request = messages.AppendRequest(
            group=state.group,
            term=state.term,
            leader=state.id,
            prev_index=previous.index,
            prev_term=previous.term,
            commit=state.commit,
            sequence=now,
            entries=entries,
            leader_address=state.address,
            prev_chain=previous.chain[: follower_state.CHAIN_PREFIX_BYTES],
        )
        follower.heartbeat_ms = now + state.timing.heartbeat_ms
        state.send(replica_id, request)

    def _match_of(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        return follower.match if follower is not None else 0

    def _acknowledged_ms(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        if follower is None:
            return progress.NEVER_MS
        return follower.acknowledged_ms

    def _leave_if_removed(self) -> None:
        state = self.state
        if state.commit >= state.members.changed_at and not state.is_voter():
            self.done = True

    def _free_snapshot(self) -> None:
        if all(f.snapshot_offset is None for f in self.followers.values()):
            self._sender.free()

    def _try_transfer(self) -> None:
        if not self.transferring:
            return
        voters = [
            (self._match_of(voter), self._acknowledged_ms(voter), voter)
            for voter in self.state.members.voters
            if voter != self.state.id
        ]
        match, _, target = max(voters, default=(-1, 0, ""))
        if match == self.state.log.last_index:
            request = messages.TimeoutNow(
                group=self.state.group, term=self.state.term
            )
            self.state.send(target, request)
            self.done = True
