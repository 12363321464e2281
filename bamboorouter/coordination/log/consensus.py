"""One replica of the consensus protocol, as a pure step function.

Inputs are messages, ticks with the current time, proposals and completions of
storage; the log is written to in memory only. After each input the caller
takes the output and must, in this order: save the term and vote, write the
log, send the messages, sync the log, report the sync by `log_synced`. Nothing here
reads a clock, a file or a socket, so that a test can drive several replicas
through any order of events.

The protocol is leader-based: a leader is elected by a majority for a term,
orders all entries, and commits an entry of its term once a majority has
synced it. A pre-vote keeps a replica that was cut off from raising the term. A
voter that heard from a leader gives no vote for `election_min_ms`; a leader
acts only within the shorter `lease_ms` after sending a message that a
majority answered, so at most one replica holds a valid lease. A leader that
restarted says which term it led: its lease ended with its earlier run, so it
is elected again without that wait.

This module holds the elections and the changes of role; `leader_state` and
`follower_state` hold what a leader and a follower do with the log.
"""

import random
from typing import Final

from bamboorouter import errors
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import follower_state
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.coordination.log import progress
from bamboorouter.coordination.log import snapshot_transfer
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import snapshot_store

# Attempts at an election before a replica waits as long as at first.
QUICK_ATTEMPTS: Final = 8


class Core:
    """The protocol state of one replica.

    Attributes:
        state: Term, log, members and commit index.
        role: What this replica does in this term.
        leader_state: What it does as leader; None unless it leads.
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
        last_leader_contact_ms: int,
        timing: core_state.Timing | None = None,
    ) -> None:
        """Creates a follower.

        Args:
            replica_id: ID from the data folder.
            group: Name of the group.
            address: Address that the other replicas dial.
            log: The stored entries.
            snapshots: The stored snapshots.
            saved: Term and vote from the data folder.
            members: Members by position in the log.
            commit: Newest index known to be committed.
            rng: Draws waiting times.
            now: Current monotonic time in ms.
            last_leader_contact_ms: Latest time at which an earlier run of this
                replica may have heard a leader.
            timing: Times of the protocol.
        """
        self.state = core_state.CoreState(
            id=replica_id,
            group=group,
            address=address,
            log=log,
            members=members,
            timing=timing or core_state.Timing(),
            term=saved.term,
            voted_for=saved.voted_for,
            commit=commit,
            led=saved.led,
        )
        self.role = core_state.Role.FOLLOWER
        self.leader_state: leader_state.LeaderState | None = None
        self.halted = False
        self._snapshots = snapshots
        self._follower_state = follower_state.FollowerState(state=self.state)
        self._receiver = snapshot_transfer.Receiver(state=self.state)
        self._rng = rng
        self._last_leader_contact_ms = last_leader_contact_ms
        self._election_ms = now
        self._votes: set[str] = set()
        self._attempts = 0
        # Term that an earlier run led; its lease ended with that run.
        self._led_term = saved.term if saved.led else 0
        self._await_first_leader(now)

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
            case messages.SnapshotRequest():
                self._on_snapshot(message, now)
            case messages.AppendReply() | messages.SnapshotReply():
                self._on_reply(message, now)
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
        if self.leader_state is not None:
            self._remember_leading()
            self.leader_state.tick(now)
            self._end_if_done(now)
        elif self.state.is_voter() and now >= self._election_ms:
            self._start_pre_vote(now)

    def form(self, entry: messages.LogEntry, now: int) -> None:
        """Starts a group with the first entry, the list of its members."""
        self.state.log.append(entry)
        self.state.members.append(entry)
        self._await_leader(now)

    def propose(self, kind: int, payload: bytes, now: int) -> int:
        """Appends an entry on the leader and sends it; returns its index.

        Raises:
            NotLeaderError: Nothing was proposed.
        """
        if self.leader_state is None or self.leader_state.transferring:
            raise errors.NotLeaderError(
                leader=self.state.leader_address, step="propose"
            )
        return self.leader_state.propose(kind, payload, now)

    def log_synced(self, now: int) -> None:
        """Takes note that the log was synced."""
        if self.leader_state is not None:
            self.leader_state.log_synced()
            self._end_if_done(now)
        elif not self.halted:
            self._follower_state.log_synced()

    def installed(self, snapshot: snapshot_store.Snapshot) -> None:
        """Takes note that log and state machine start from a snapshot."""
        self._follower_state.forget()
        self._receiver.installed(snapshot)

    def link_lost(self, replica_id: str) -> None:
        """Takes note that messages to a replica may have been lost."""
        if self.leader_state is not None:
            self.leader_state.link_lost(replica_id)

    def transfer(self, now: int) -> None:
        """Starts to hand leadership to another replica."""
        if self.leader_state is not None:
            self.leader_state.transfer()
            self._end_if_done(now)

    def halt(self) -> None:
        """Stops taking part, because storage can't be trusted any more."""
        self.halted = True
        self.role = core_state.Role.FOLLOWER
        self.leader_state = None
        self.state.leader = self.state.leader_address = ""
        self.state.output = core_state.Output()

    def take_output(self) -> core_state.Output:
        """Returns what the caller must do now."""
        output, self.state.output = self.state.output, core_state.Output()
        return output

    # --- State for the caller ------------------------------------------------

    def deadline(self) -> int | None:
        """Returns when the next tick is due; None if only input matters."""
        if self.halted:
            return None
        if self.leader_state is not None:
            return self.leader_state.deadline()
        return self._election_ms if self.state.is_voter() else None

    def lease_until(self, now: int) -> int:
        """Returns until when this leader may act; in the past if it mayn't."""
        if self.leader_state is None:
            return progress.NEVER_MS
        return self.leader_state.lease_until(now)

    # --- Elections -----------------------------------------------------------

    def _await_leader(self, now: int) -> None:
        """Draws the time at which a silent leader is given up."""
        timing = self.state.timing
        alone = self.state.members.voters == (self.state.id,)
        wait = self._rng.randint(timing.election_min_ms, timing.election_max_ms)
        self._election_ms = now if alone else now + wait

    def _await_first_leader(self, now: int) -> None:
        """Draws the time of the first election after a start.

        The others grant no vote before a leader heard by the earlier run has
        lost its lease, so the time that the start took counts. Replicas that
        took longer don't all ask for votes at once.
        """
        if self._led_term:
            return
        self._await_leader(self._last_leader_contact_ms)
        if self._election_ms < now and len(self.state.members.voters) > 1:
            spread = self._rng.randint(0, self.state.timing.retry_max_ms)
            self._election_ms = now + spread

    def _retry_later(self, now: int) -> None:
        """Draws the time of the next attempt at an election.

        A replica that stays alone, cut off or removed, soon asks less often.
        """
        timing = self.state.timing
        self._attempts += 1
        if self._attempts > QUICK_ATTEMPTS:
            self._await_leader(now)
            return
        self._election_ms = now + self._rng.randint(
            timing.retry_min_ms, timing.retry_max_ms
        )

    def _start_pre_vote(self, now: int) -> None:
        self._campaign(core_state.Role.PRE_CANDIDATE, now)
        if self._won():
            self._start_election(now, transfer=False)
            return
        self._ask_votes(term=self.state.term + 1, pre=True, transfer=False)

    def _start_election(self, now: int, *, transfer: bool) -> None:
        self.state.enter_term(self.state.term + 1, voted_for=self.state.id)
        self._follower_state.forget()
        self._campaign(core_state.Role.CANDIDATE, now)
        if self._won():
            self._lead(now)
            return
        self._ask_votes(term=self.state.term, pre=False, transfer=transfer)

    def _campaign(self, role: core_state.Role, now: int) -> None:
        self.role = role
        self.state.leader = self.state.leader_address = ""
        self._votes = {self.state.id}
        self._retry_later(now)

    def _won(self) -> bool:
        members = self.state.members
        return len(self._votes & set(members.voters)) >= members.quorum

    def _ask_votes(self, *, term: int, pre: bool, transfer: bool) -> None:
        state = self.state
        request = messages.VoteRequest(
            group=state.group,
            term=term,
            candidate=state.id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre=pre,
            transfer=transfer,
            led_term=self._led_term,
        )
        for voter in state.members.voters:
            state.send(voter, request)

    def _on_vote_request(self, m: messages.VoteRequest, now: int) -> None:
        granted = self._grants(m, now)
        if granted and not m.pre:
            self.state.voted_for = m.candidate
            self.state.save()
            self._retry_later(now)
        reply = messages.VoteReply(
            group=self.state.group,
            term=m.term if granted else self.state.term,
            voter=self.state.id,
            granted=granted,
            pre=m.pre,
        )
        self.state.send(m.candidate, reply)

    def _grants(self, m: messages.VoteRequest, now: int) -> bool:
        state = self.state
        heard = self._last_leader_contact_ms
        if self.leader_state is not None:
            heard = self.leader_state.quorum_heard_ms(now)
        # Every leader that this replica can have heard led its term or an
        # earlier one, and a later leader had waited for an earlier's lease.
        lease_ended = m.transfer or m.led_term >= max(1, state.term)
        if not lease_ended and now < heard + state.timing.election_min_ms:
            return False
        if m.term < state.term:
            return False
        if m.term > state.term and not m.pre:
            self._follow(m.term, now)
        if m.term == state.term and state.leader:
            # Also a transfer request that was delayed past an election.
            return False
        if (m.last_term, m.last_index) < (
            state.log.last_term,
            state.log.last_index,
        ):
            return False
        return m.term > state.term or state.voted_for in ("", m.candidate)

    def _on_vote_reply(self, m: messages.VoteReply, now: int) -> None:
        if not m.granted:
            if m.term > self.state.term:
                self._follow(m.term, now)
            return
        pre = self.role is core_state.Role.PRE_CANDIDATE
        campaigning = pre or self.role is core_state.Role.CANDIDATE
        asked_term = self.state.term + 1 if pre else self.state.term
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
        if m.term == self.state.term and self.state.is_voter():
            self._start_election(now, transfer=True)

    # --- Roles ---------------------------------------------------------------

    def _remember_leading(self) -> None:
        """Saves that this replica leads, a heartbeat after its election.

        Not at once, because the sync would delay the first entries.
        """
        if not self.state.led:
            self.state.led = True
            self.state.save()

    def _lead(self, now: int) -> None:
        self.role = core_state.Role.LEADER
        self.state.leader = self.state.id
        self.state.leader_address = self.state.address
        self._receiver.forget()
        self.leader_state = leader_state.LeaderState(
            state=self.state, snapshots=self._snapshots, now=now
        )

    def _follow(
        self, term: int, now: int, *, leader: str = "", address: str = ""
    ) -> None:
        """Becomes a follower in `term`, of `leader` if it is known."""
        state = self.state
        if term > state.term:
            state.enter_term(term)
            self._follower_state.forget()
        if self.leader_state is not None:
            heard = self.leader_state.quorum_heard_ms(now)
            self._last_leader_contact_ms = max(
                self._last_leader_contact_ms, heard
            )
            self._await_leader(now)
            self.leader_state = None
        self.role = core_state.Role.FOLLOWER
        state.leader = leader
        state.leader_address = address

    def _end_if_done(self, now: int) -> None:
        if self.leader_state is not None and self.leader_state.done:
            self._follow(self.state.term, now)

    def _on_reply(
        self,
        m: messages.AppendReply | messages.SnapshotReply,
        now: int,
    ) -> None:
        if m.term > self.state.term:
            self._follow(m.term, now)
        if m.term < self.state.term or self.leader_state is None:
            return
        if isinstance(m, messages.AppendReply):
            self.leader_state.on_append_reply(m, now)
        else:
            self.leader_state.on_snapshot_reply(m, now)
        self._end_if_done(now)

    def _on_append(self, m: messages.AppendRequest, now: int) -> None:
        if m.term < self.state.term:
            self._follower_state.refuse(m)
            return
        self._hear_leader(m, now)
        self._follower_state.append(m)

    def _on_snapshot(self, m: messages.SnapshotRequest, now: int) -> None:
        if m.term >= self.state.term:
            self._hear_leader(m, now)
            self._receiver.on_request(m)

    def _hear_leader(
        self,
        m: messages.AppendRequest | messages.SnapshotRequest,
        now: int,
    ) -> None:
        if m.term == self.state.term and self.leader_state is not None:
            raise errors.ProtocolError(
                text=f"replica {m.leader} also leads term {m.term}",
                step="append",
                peer=m.leader_address,
            )
        if (
            m.term > self.state.term
            or self.role is not core_state.Role.FOLLOWER
            or m.leader != self.state.leader
        ):
            self._follow(m.term, now, leader=m.leader, address=m.leader_address)
        self._last_leader_contact_ms = now
        self._attempts = 0
        self._await_leader(now)
