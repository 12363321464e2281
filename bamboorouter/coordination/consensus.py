"""One replica of the consensus protocol, as a pure step function.

Inputs are messages, ticks with the current time, proposals and completions of
storage; the log is written to in memory only. After each input the caller
takes the output and must, in this order: save the hard state, write the log,
send the messages, sync the log, report the sync by `stored`. Nothing here
reads a clock, a file or a socket, so that a test can drive several replicas
through any order of events.

The protocol is leader-based: a leader is elected by a majority for a term,
orders all entries, and commits an entry of its term once a majority has
synced it. A pre-vote keeps a replica that was cut off from raising the term. A
voter that heard from a leader gives no vote for `election_min_ms`; a leader
acts only within the shorter `lease_ms` after sending a message that a
majority answered, so at most one replica holds a valid lease.
"""

import dataclasses
import enum
import random
from typing import Final

from bamboorouter import errors
from bamboorouter.coordination import membership
from bamboorouter.coordination import progress
from bamboorouter.protocol import membership as members_protocol
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import records
from bamboorouter.state import snapshot_store

APPEND_BYTES: Final = 256 * 1024
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024
SNAPSHOT_RESEND_MS: Final = 1000
# Enough to tell a diverged log apart; the whole hash would double a heartbeat.
CHAIN_PREFIX_BYTES: Final = 8


class Role(enum.Enum):
    """What a replica does in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times of the protocol in ms.

    Attributes:
        heartbeat_ms: Longest silence of a leader.
        election_min_ms: Shortest silence after which a follower starts an
            election, and for which a voter that heard a leader gives no vote.
        election_max_ms: Longest silence; followers draw a time in between.
        retry_min_ms: Shortest wait before another attempt at an election.
        retry_max_ms: Longest wait before another attempt.
        lease_ms: How long a leader may act after a majority heard it. Less
            than `election_min_ms`, so that clocks may run 10 % apart.
    """

    heartbeat_ms: int = 150
    election_min_ms: int = 900
    election_max_ms: int = 1500
    retry_min_ms: int = 150
    retry_max_ms: int = 450
    lease_ms: int = 800


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the ID of the replica it goes to."""

    to: str
    message: messages.Message


@dataclasses.dataclass(kw_only=True)
class Output:
    """What the caller must do after an input.

    Attributes:
        saved: Term and vote to save first; None if unchanged.
        messages: Messages to send once the log is written.
        install: Snapshot that replaces log and state machine; the caller
            reports it by `installed`.
    """

    saved: hard_state.HardState | None = None
    messages: list[Envelope] = dataclasses.field(default_factory=list)
    install: snapshot_store.Snapshot | None = None


@dataclasses.dataclass(kw_only=True)
class _Incoming:
    """A snapshot of which some chunks have arrived."""

    position: records.Base
    data: bytearray = dataclasses.field(default_factory=bytearray)


class Core:
    """The protocol state of one replica.

    Attributes:
        id: ID of this replica.
        group: Name of the group.
        address: Address that the other replicas dial.
        log: The log; synced by the caller.
        snapshots: Where snapshots to send are read from.
        members: Members in force by position.
        timing: Times of the protocol.
        term: Current term.
        voted_for: ID voted for in this term; empty if none.
        role: What this replica does in this term.
        leader: ID of the leader; empty if unknown.
        leader_address: Address of the leader; empty if unknown.
        commit: Newest index known to be committed.
        term_start: Index of the first entry of this leader's term.
        followers: Progress of the others by ID, on the leader.
        transferring: Whether leadership is being handed over.
        halted: Whether storage failed; nothing is granted or acknowledged.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        group: str,
        address: str,
        log: log_store.LogStore,
        snapshots: snapshot_store.SnapshotStore,
        saved: hard_state.HardState,
        members: membership.MemberHistory,
        commit: int,
        rng: random.Random,
        now: int,
        timing: Timing | None = None,
    ) -> None:
        self.id = replica_id
        self.group = group
        self.address = address
        self.log = log
        self.snapshots = snapshots
        self.members = members
        self.timing = timing or Timing()
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.commit = commit
        self.term_start = 0
        self.followers: dict[str, progress.Progress] = {}
        self.transferring = False
        self.halted = False
        self._rng = rng
        # The replica may have heard a leader just before it restarted.
        self._heard_ms = now
        self._elected_ms = now
        self._election_ms = now
        self._votes: set[str] = set()
        self._output = Output()
        self._owed: messages.AppendReply | None = None
        self._incoming: _Incoming | None = None
        self._outgoing: snapshot_store.Snapshot | None = None
        self._await_leader(now)

    # --- Inputs --------------------------------------------------------------

    def receive(self, message: messages.Message, now: int) -> None:
        """Handles a message of another replica.

        Raises:
            ProtocolError: The message breaks the rules of the protocol.
            StorageError: The log can't be read or cut.
        """
        if self.halted:
            return
        match message:
            case messages.VoteRequest():
                self._on_vote_request(message, now)
            case messages.VoteReply():
                self._on_vote_reply(message, now)
            case messages.AppendRequest():
                self._on_append(message, now)
            case messages.AppendReply():
                self._on_append_reply(message, now)
            case messages.SnapshotRequest():
                self._on_snapshot(message, now)
            case messages.SnapshotReply():
                self._on_snapshot_reply(message, now)
            case messages.TimeoutNow():
                self._on_timeout_now(message, now)
            case _:
                raise errors.ProtocolError(
                    text=f"unexpected {type(message).__name__}",
                    step="consensus",
                )

    def tick(self, now: int) -> None:
        """Does what is due at `now`."""
        if self.halted:
            return
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif self._may_campaign() and now >= self._election_ms:
            self._start_pre_vote(now)

    def form(self, entry: messages.LogEntry, now: int) -> None:
        """Starts a group with the first entry, the list of its members."""
        self.log.append(entry)
        self.members.append(entry)
        self._await_leader(now)

    def propose(self, kind: int, payload: bytes, now: int) -> int:
        """Appends an entry on the leader and sends it.

        Returns:
            The index of the entry.
        """
        index = self._append(kind, payload)
        self._replicate(now)
        return index

    def stored(self, now: int) -> None:
        """Takes note that the log was synced."""
        if self.halted:
            return
        if self.role is Role.LEADER:
            self._advance_commit(now)
        elif self._owed is not None:
            self._pay(self._owed)

    def installed(self, snapshot: snapshot_store.Snapshot) -> None:
        """Takes note that log and state machine start from a snapshot."""
        index = snapshot.position.index
        self.commit = index
        self.members.reset(
            index, members_protocol.CODEC.decode(snapshot.members)
        )
        self._owed = None
        self._reply_snapshot(offset=len(snapshot.data), done=True, sequence=0)

    def link_lost(self, replica_id: str) -> None:
        """Takes note that messages to a replica may have been lost."""
        follower = self.followers.get(replica_id)
        if follower is not None:
            follower.restart()

    def transfer(self, now: int) -> None:
        """Starts to hand leadership to the follower that is furthest."""
        if self.role is Role.LEADER:
            self.transferring = True
            self._try_transfer(now)

    def halt(self) -> None:
        """Stops taking part, because storage can't be trusted any more."""
        self.halted = True
        self.role = Role.FOLLOWER
        self.followers = {}
        self.leader = self.leader_address = ""
        self._output = Output()

    def take(self) -> Output:
        """Returns what the caller must do now."""
        output, self._output = self._output, Output()
        return output

    # --- State for the caller ------------------------------------------------

    def deadline(self) -> int | None:
        """Returns when the next tick is due; None if only input matters."""
        if self.halted:
            return None
        if self.role is Role.LEADER:
            return min(
                (f.heartbeat_ms for f in self.followers.values()), default=None
            )
        return self._election_ms if self._may_campaign() else None

    def lease_until(self, now: int) -> int:
        """Returns until when this leader may act; in the past if it mayn't."""
        if self.role is not Role.LEADER or self.transferring:
            return progress.NEVER_MS
        return self._quorum_heard_ms(now) + self.timing.lease_ms

    def may_change_members(self) -> bool:
        """Whether the last change of members is committed.

        The leader must also have committed an entry of its own term, because
        otherwise two lists without a common majority could be in force.
        """
        return (
            self.role is Role.LEADER
            and not self.transferring
            and self.commit >= self.term_start
            and self.commit >= self.members.changed_at
        )

    # --- Elections -----------------------------------------------------------

    def _may_campaign(self) -> bool:
        return self.members.current.is_voter(self.id)

    def _await_leader(self, now: int) -> None:
        """Draws the time at which a silent leader is given up."""
        timing = self.timing
        alone = self.members.current.voters() == (self.id,)
        wait = self._rng.randint(timing.election_min_ms, timing.election_max_ms)
        self._election_ms = now if alone else now + wait

    def _retry_later(self, now: int) -> None:
        timing = self.timing
        self._election_ms = now + self._rng.randint(
            timing.retry_min_ms, timing.retry_max_ms
        )

    def _start_pre_vote(self, now: int) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader = self.leader_address = ""
        self._votes = {self.id}
        self._retry_later(now)
        if self._won():
            self._start_election(now, transfer=False)
            return
        self._ask_votes(term=self.term + 1, pre=True, transfer=False)

    def _start_election(self, now: int, *, transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.leader = self.leader_address = ""
        self.term += 1
        self.voted_for = self.id
        self._save()
        self._votes = {self.id}
        self._owed = None
        self._retry_later(now)
        if self._won():
            self._lead(now)
            return
        self._ask_votes(term=self.term, pre=False, transfer=transfer)

    def _won(self) -> bool:
        voters = set(self.members.current.voters())
        return len(self._votes & voters) >= self.members.current.quorum()

    def _ask_votes(self, *, term: int, pre: bool, transfer: bool) -> None:
        request = messages.VoteRequest(
            group=self.group,
            term=term,
            candidate=self.id,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
            transfer=transfer,
        )
        for voter in self.members.current.voters():
            if voter != self.id:
                self._send(voter, request)

    def _on_vote_request(self, m: messages.VoteRequest, now: int) -> None:
        granted = self._grants(m, now)
        if granted and not m.pre:
            self.voted_for = m.candidate
            self._save()
            self._retry_later(now)
        reply = messages.VoteReply(
            group=self.group,
            term=m.term if granted else self.term,
            voter=self.id,
            granted=granted,
            pre=m.pre,
        )
        self._send(m.candidate, reply)

    def _grants(self, m: messages.VoteRequest, now: int) -> bool:
        quiet_since = self._heard_ms
        if self.role is Role.LEADER:
            quiet_since = self._quorum_heard_ms(now)
        if not m.transfer and now < quiet_since + self.timing.election_min_ms:
            return False
        if m.term < self.term:
            return False
        if m.term > self.term and not m.pre:
            self._follow(m.term, now)
        if m.term == self.term and self.leader:
            return False
        own = (self.log.last_term, self.log.last_index)
        if (m.last_term, m.last_index) < own:
            return False
        return m.term > self.term or self.voted_for in ("", m.candidate)

    def _on_vote_reply(self, m: messages.VoteReply, now: int) -> None:
        if not m.granted:
            if m.term > self.term:
                self._follow(m.term, now)
            return
        pre = self.role is Role.PRE_CANDIDATE
        campaigning = pre or self.role is Role.CANDIDATE
        asked_term = self.term + 1 if pre else self.term
        if not campaigning or m.pre != pre or m.term != asked_term:
            return
        self._votes.add(m.voter)
        if not self._won():
            return
        if pre:
            self._start_election(now, transfer=False)
        else:
            self._lead(now)

    def _on_timeout_now(self, m: messages.TimeoutNow, now: int) -> None:
        if m.term == self.term and self._may_campaign():
            self._start_election(now, transfer=True)

    def _lead(self, now: int) -> None:
        self.role = Role.LEADER
        self.leader = self.id
        self.leader_address = self.address
        self.transferring = False
        self._elected_ms = now
        self._owed = None
        self._incoming = None
        self.followers = {}
        self._match_followers()
        self.term_start = self._append(messages.KIND_NO_OP, b"")
        self._replicate(now)

    def _follow(
        self, term: int, now: int, *, leader: str = "", address: str = ""
    ) -> None:
        """Becomes a follower in `term`, of `leader` if it is known."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._save()
            self._owed = None
        if self.role is Role.LEADER:
            self._heard_ms = max(self._heard_ms, self._quorum_heard_ms(now))
            self._await_leader(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leader_address = address
        self.followers = {}
        self.transferring = False
        self._outgoing = None

    # --- Leader --------------------------------------------------------------

    def _tick_leader(self, now: int) -> None:
        heard = max(self._quorum_heard_ms(now), self._elected_ms)
        if now - heard >= self.timing.election_max_ms:
            self._follow(self.term, now)
            return
        for replica_id, follower in self.followers.items():
            if now >= follower.heartbeat_ms:
                self._send_append(replica_id, follower, now, entries=())
                self._resend_chunk(replica_id, follower, now)

    def _append(self, kind: int, payload: bytes) -> int:
        entry = messages.LogEntry(
            term=self.term,
            index=self.log.last_index + 1,
            kind=kind,
            payload=payload,
        )
        self.log.append(entry)
        if self.members.append(entry):
            self._match_followers()
        return entry.index

    def _match_followers(self) -> None:
        """Keeps one progress for each other member in force."""
        known = self.followers
        self.followers = {
            member.id: known.get(member.id)
            or progress.Progress(next=self.log.last_index + 1)
            for member in self.members.current.members
            if member.id != self.id
        }

    def _replicate(self, now: int) -> None:
        for replica_id, follower in self.followers.items():
            self._send_entries(replica_id, follower, now)

    def _send_entries(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        """Sends what the follower lacks, as far as its window allows."""
        if follower.next < self.log.first_index:
            if follower.snapshot_offset is None and _answers(follower, now):
                self._send_chunk(replica_id, follower, now)
            return
        follower.snapshot_offset = None
        while follower.may_send() and follower.next <= self.log.last_index:
            entries = tuple(
                self.log.read(follower.next, max_bytes=APPEND_BYTES)
            )
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
        previous = records.Base()
        if follower.next >= self.log.first_index:
            previous = self.log.position_at(follower.next - 1)
        request = messages.AppendRequest(
            group=self.group,
            term=self.term,
            leader=self.id,
            prev_index=previous.index,
            prev_term=previous.term,
            commit=self.commit,
            sequence=now,
            entries=entries,
            leader_address=self.address,
            prev_chain=previous.chain[:CHAIN_PREFIX_BYTES],
        )
        follower.heartbeat_ms = now + self.timing.heartbeat_ms
        self._send(replica_id, request)

    def _on_append_reply(self, m: messages.AppendReply, now: int) -> None:
        if m.term > self.term:
            self._follow(m.term, now)
        follower = self.followers.get(m.follower)
        if m.term < self.term or follower is None:
            return
        follower.acknowledged_ms = max(follower.acknowledged_ms, m.sequence)
        if m.success:
            follower.accepted(m.match_index)
            self._advance_commit(now)
        else:
            follower.rejected(m.match_index)
        if self.role is not Role.LEADER:
            return
        self._send_entries(m.follower, follower, now)
        if self.transferring:
            self._try_transfer(now)

    def _advance_commit(self, now: int) -> None:
        matches = sorted(
            (
                self.log.synced_index if v == self.id else self._match_of(v)
                for v in self.members.current.voters()
            ),
            reverse=True,
        )
        index = matches[self.members.current.quorum() - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self._leave_if_removed(now)

    def _match_of(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        return follower.match if follower is not None else 0

    def _leave_if_removed(self, now: int) -> None:
        members = self.members
        if self.commit >= members.changed_at and not self._may_campaign():
            self._follow(self.term, now)

    def _quorum_heard_ms(self, now: int) -> int:
        """Returns the latest time at which a majority heard this leader.

        Times count from the sending of a message that was answered, because a
        follower's silence towards candidates begins only after that.
        """
        times = sorted(
            (
                now if voter == self.id else self._acknowledged_ms(voter)
                for voter in self.members.current.voters()
            ),
            reverse=True,
        )
        return times[self.members.current.quorum() - 1]

    def _acknowledged_ms(self, replica_id: str) -> int:
        follower = self.followers.get(replica_id)
        if follower is None:
            return progress.NEVER_MS
        return follower.acknowledged_ms

    def _try_transfer(self, now: int) -> None:
        voters = [
            (self._match_of(voter), self._acknowledged_ms(voter), voter)
            for voter in self.members.current.voters()
            if voter != self.id
        ]
        if not voters:
            return
        match, _, target = max(voters)
        if match == self.log.last_index:
            request = messages.TimeoutNow(group=self.group, term=self.term)
            self._send(target, request)
            self._follow(self.term, now)

    # --- Follower ------------------------------------------------------------

    def _on_append(self, m: messages.AppendRequest, now: int) -> None:
        if m.term < self.term:
            self._send(m.leader, self._append_reply(m, match=0, success=False))
            return
        self._hear_leader(m.term, m.leader, m.leader_address, now)
        m = self._skip_committed(m)
        if not self._agrees(m):
            hint = self._hint(m)
            reply = self._append_reply(m, match=hint, success=False)
            self._send(m.leader, reply)
            return
        self._store(m.entries)
        matched = m.prev_index + len(m.entries)
        self.commit = max(self.commit, min(m.commit, matched))
        self._pay(self._append_reply(m, match=matched, success=True))

    def _hear_leader(
        self, term: int, leader: str, address: str, now: int
    ) -> None:
        if term == self.term and self.role is Role.LEADER:
            raise errors.ProtocolError(
                text=f"replica {leader} also leads term {term}",
                step="append",
                peer=address,
            )
        if (
            term > self.term
            or self.role is not Role.FOLLOWER
            or leader != self.leader
        ):
            self._follow(term, now, leader=leader, address=address)
        self._heard_ms = now
        self._await_leader(now)

    def _skip_committed(
        self, m: messages.AppendRequest
    ) -> messages.AppendRequest:
        """Leaves out what is committed here; the leader holds it as well."""
        if m.prev_index >= self.commit:
            return m
        position = self.log.position_at(self.commit)
        return messages.AppendRequest(
            group=m.group,
            term=m.term,
            leader=m.leader,
            prev_index=position.index,
            prev_term=position.term,
            commit=m.commit,
            sequence=m.sequence,
            entries=tuple(e for e in m.entries if e.index > self.commit),
            prev_chain=position.chain[:CHAIN_PREFIX_BYTES],
        )

    def _agrees(self, m: messages.AppendRequest) -> bool:
        """Whether this log holds the entry before the sent ones."""
        if m.prev_index > self.log.last_index:
            return False
        position = self.log.position_at(m.prev_index)
        return (
            position.term == m.prev_term
            and position.chain[:CHAIN_PREFIX_BYTES] == m.prev_chain
        )

    def _hint(self, m: messages.AppendRequest) -> int:
        """Returns up to where the logs may agree, after a mismatch."""
        if m.prev_index > self.log.last_index:
            return self.log.last_index
        if m.prev_index <= self.commit:
            raise errors.StorageError(
                text=f"committed entry {m.prev_index} differs from the leader",
                step="append",
                peer=m.leader_address,
            )
        index = m.prev_index - 1
        term = self.log.term_at(m.prev_index)
        while index > self.commit and self.log.term_at(index) == term:
            index -= 1
        return index

    def _store(self, entries: tuple[messages.LogEntry, ...]) -> None:
        for entry in entries:
            if entry.index <= self.log.last_index:
                if self.log.term_at(entry.index) == entry.term:
                    continue
                self._truncate(entry.index - 1)
            self.log.append(entry)
            self.members.append(entry)

    def _truncate(self, last_index: int) -> None:
        if last_index < self.commit:
            raise errors.StorageError(
                text=f"committed entry {last_index + 1} would be removed",
                step="append",
            )
        self.log.truncate(last_index)
        self.members.truncate(last_index)
        self._owed = None

    def _append_reply(
        self, m: messages.AppendRequest, *, match: int, success: bool
    ) -> messages.AppendReply:
        return messages.AppendReply(
            group=self.group,
            term=self.term,
            follower=self.id,
            success=success,
            match_index=match,
            sequence=m.sequence,
        )

    def _pay(self, reply: messages.AppendReply) -> None:
        """Acknowledges what is synced, at once or after the next sync."""
        owed = self._owed
        if reply.match_index > self.log.synced_index:
            if owed is None or reply.match_index >= owed.match_index:
                self._owed = reply
            return
        if owed is not None and owed.match_index <= self.log.synced_index:
            self._owed = None
        self._send(self.leader, reply)

    # --- Snapshots -----------------------------------------------------------

    def _send_chunk(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        snapshot = self._outgoing
        if snapshot is None or snapshot.position.index < self.log.base.index:
            # An older snapshot would end before the first entry to send. A
            # follower that has a part of it asks for the new one from the
            # start.
            snapshot = self._outgoing = self.snapshots.load()
        if snapshot is None:
            return
        offset = follower.snapshot_offset or 0
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        position = snapshot.position
        request = messages.SnapshotRequest(
            group=self.group,
            term=self.term,
            leader=self.id,
            last_index=position.index,
            last_term=position.term,
            chain=position.chain,
            members=snapshot.members,
            offset=offset,
            data=data,
            done=offset + len(data) >= len(snapshot.data),
            sequence=now,
            leader_address=self.address,
        )
        follower.snapshot_offset = offset
        follower.snapshot_sent_ms = now
        self._send(replica_id, request)

    def _resend_chunk(
        self, replica_id: str, follower: progress.Progress, now: int
    ) -> None:
        if follower.snapshot_offset is None:
            return
        if not _answers(follower, now):
            follower.snapshot_offset = None
            self._free_snapshot()
        elif now - follower.snapshot_sent_ms >= SNAPSHOT_RESEND_MS:
            self._send_chunk(replica_id, follower, now)

    def _free_snapshot(self) -> None:
        """Frees the snapshot once it is sent to nobody."""
        if all(f.snapshot_offset is None for f in self.followers.values()):
            self._outgoing = None

    def _on_snapshot(self, m: messages.SnapshotRequest, now: int) -> None:
        if m.term < self.term:
            return
        self._hear_leader(m.term, m.leader, m.leader_address, now)
        if m.last_index <= self.commit:
            self._reply_snapshot(
                offset=m.offset, done=True, sequence=m.sequence
            )
            return
        position = records.Base(
            index=m.last_index, term=m.last_term, chain=m.chain
        )
        if self._incoming is None or self._incoming.position != position:
            self._incoming = _Incoming(position=position)
        incoming = self._incoming
        if m.offset == len(incoming.data):
            incoming.data.extend(m.data)
            if m.done:
                self._incoming = None
                self._output.install = snapshot_store.Snapshot(
                    position=position,
                    members=m.members,
                    data=bytes(incoming.data),
                )
                return
        self._reply_snapshot(
            offset=len(incoming.data), done=False, sequence=m.sequence
        )

    def _reply_snapshot(
        self, *, offset: int, done: bool, sequence: int
    ) -> None:
        reply = messages.SnapshotReply(
            group=self.group,
            term=self.term,
            follower=self.id,
            offset=offset,
            done=done,
            sequence=sequence,
        )
        self._send(self.leader, reply)

    def _on_snapshot_reply(self, m: messages.SnapshotReply, now: int) -> None:
        if m.term > self.term:
            self._follow(m.term, now)
        follower = self.followers.get(m.follower)
        if (
            m.term < self.term
            or follower is None
            or follower.snapshot_offset is None
            or self._outgoing is None
        ):
            return
        if not m.done:
            follower.snapshot_offset = m.offset
            self._send_chunk(m.follower, follower, now)
            return
        index = self._outgoing.position.index
        follower.restart()
        follower.next = max(follower.next, index + 1)
        self._free_snapshot()
        self._send_entries(m.follower, follower, now)

    # --- Output --------------------------------------------------------------

    def _save(self) -> None:
        self._output.saved = hard_state.HardState(
            term=self.term, voted_for=self.voted_for
        )

    def _send(self, to: str, message: messages.Message) -> None:
        if to and to != self.id:
            self._output.messages.append(Envelope(to, message))


def _answers(follower: progress.Progress, now: int) -> bool:
    return now - follower.acknowledged_ms < SNAPSHOT_RESEND_MS
