"""Replication, commit, lease and leadership transfer for one term of a leader.

An entry of the leader's own term is committed, together with all entries before
it, once a majority has synced it. Entries of earlier terms are never committed
by counting replicas, because a later leader could still replace them.
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
    """State of a leader during one term.

    Attributes:
        state: Term, log and output of the replica.
        followers: Progress of the other members by ID.
        term_start: Index of the first entry of this term.
        transferring: Whether a leadership transfer has begun; from then on the
            leader has no lease and proposes nothing.
        must_step_down: Whether the leader must become a follower.
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
        self.must_step_down = False
        self._elected_ms = now
        self._snapshot_sender = snapshot_transfer.Sender(
            state=state, snapshots=snapshots
        )
        self._update_followers()
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
            self._update_followers()
        for replica_id, follower in self.followers.items():
            self._send_entries(replica_id, follower, now)
        return entry.index

    def tick(self, now: int) -> None:
        """Sends due heartbeats; steps down if no majority answers."""
        last_contact_ms = max(self.quorum_contact_ms(now), self._elected_ms)
        if now - last_contact_ms >= self.state.timing.election_max_ms:
            self.must_step_down = True
            return
        for replica_id, follower in self.followers.items():
            if now >= follower.heartbeat_due_ms:
                self._send_append(replica_id, follower, now, entries=())
                self._snapshot_sender.tick(replica_id, follower, now)
        self._release_unused_snapshot()

    def on_append_reply(self, m: messages.AppendReply, now: int) -> None:
        """Updates a follower's progress and sends the entries it lacks.

        `sequence` of the reply is the time at which the request was sent.
        """
        follower = self.followers.get(m.follower)
        if follower is None:
            return
        follower.acknowledged_ms = max(follower.acknowledged_ms, m.sequence)
        follower.commit = max(follower.commit, m.commit)
        if m.success:
            follower.accepted(m.match_index)
            self.advance_commit()
        else:
            follower.rejected(m.match_index)
        if not self.must_step_down:
            self._send_entries(m.follower, follower, now)
            self._try_transfer()

    def on_snapshot_reply(self, m: messages.SnapshotReply, now: int) -> None:
        """Continues a snapshot transfer, or sends the entries after it."""
        follower = self.followers.get(m.follower)
        if follower is not None:
            self._snapshot_sender.on_reply(m, follower, now)
            self._release_unused_snapshot()
            self._send_entries(m.follower, follower, now)

    def advance_commit(self) -> None:
        """Advances the commit index to the highest index a majority synced."""
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
            self._step_down_if_removed()

    def link_lost(self, replica_id: str) -> None:
        """Resumes sending to a replica after its last acknowledged entry."""
        follower = self.followers.get(replica_id)
        if follower is not None:
            follower.start_probing()

    def transfer(self) -> None:
        """Starts to transfer leadership to the most up-to-date voter."""
        self.transferring = True
        self._try_transfer()

    # --- State ---------------------------------------------------------------

    def deadline(self) -> int | None:
        """Returns when a heartbeat is due, in ms; None without followers."""
        return min(
            (f.heartbeat_due_ms for f in self.followers.values()), default=None
        )

    def lease_until(self, now: int) -> int:
        """Returns when the lease ends, in ms of the monotonic clock."""
        if self.transferring:
            return progress.NEVER_MS
        return self.quorum_contact_ms(now) + self.state.timing.lease_ms

    def quorum_contact_ms(self, now: int) -> int:
        """Returns the latest send time that a majority has acknowledged, in ms.

        Each follower of that majority acknowledged a message sent at this time
        or later. It received the message after the send time and grants no vote
        for `election_min_ms` from the receipt, so a lease that counts from the
        send time ends before another leader can be elected.
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
        """Whether another change of members is allowed.

        The last change must be committed. The leader must also have committed
        an entry of its own term, because otherwise two member lists without
        overlapping majorities could be in force.
        """
        commit = self.state.commit
        return (
            not self.transferring
            and commit >= self.term_start
            and commit >= self.state.members.changed_index
        )

    # --- Work ----------------------------------------------------------------

    def _update_followers(self) -> None:
        """Aligns `followers` with the member list in force."""
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
        """Sends missing entries as far as the in-flight window allows.

        If the log no longer contains them, starts a snapshot transfer.
        """
        log = self.state.log
        if follower.next < log.first_index:
            self._snapshot_sender.begin(replica_id, follower, now)
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
        # Position 0, which matches every log, in heartbeats to a follower that
        # needs a snapshot: the entry before `next` has been removed.
        previous = records.LogPosition()
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
        follower.heartbeat_due_ms = now + state.timing.heartbeat_ms
        state.send(replica_id, request)

    def _match_of(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        return follower.match if follower is not None else 0

    def _acknowledged_ms(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        if follower is None:
            return progress.NEVER_MS
        return follower.acknowledged_ms

    def _step_down_if_removed(self) -> None:
        state = self.state
        if state.commit >= state.members.changed_index and not state.is_voter():
            self.must_step_down = True

    def _release_unused_snapshot(self) -> None:
        if all(f.snapshot_offset is None for f in self.followers.values()):
            self._snapshot_sender.release()

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
            self.must_step_down = True
