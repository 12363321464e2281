"""Implements the consensus protocol of one replica as a state machine.

Inputs are messages, ticks with the current time, proposals and completed log
syncs; entries are only staged in memory. After each input the caller takes the
output and must, in this order: save the term and vote, write the log, send the
messages, sync the log and report the sync with `log_synced`. This module reads
no clock, file or socket, so a test can drive several replicas through any order
of events.

The protocol is a variant of Raft. A majority elects a leader for a term; the
leader orders all entries and commits an entry of its own term once a majority
has synced it. A pre-vote prevents a partitioned replica from raising the term.
A voter that heard from a leader grants no vote for `election_min_ms`. A leader
acts only within the shorter `lease_ms` after it sent a message that a majority
answered, so at most one replica holds a valid lease. A restarted leader states
in its vote requests which term it led: its lease ended with the earlier
process, so voters needn't wait before they elect it again.

A learner campaigns after a longer time without a leader than a voter. Its log may be
the only one left with the entry that took its vote, or with one that a lost leader
had sent to nobody else; voters with such logs would be refused votes for ever. An
elected learner only passes its log on: it steps down as soon as a majority of the
voters has it.

This module contains elections and role changes. `leader_state` and
`follower_state` contain log replication.
"""

import random
from typing import Final

from bamboorouter import errors
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import election_notes
from bamboorouter.coordination.log import follower_state
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.coordination.log import progress
from bamboorouter.coordination.log import snapshot_transfer
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import snapshot_store

# Election attempts with the short retry delay; later attempts wait for the
# full election timeout.
FAST_ELECTION_ATTEMPTS: Final = 8
# Terms without a leader after which the retry delay doubles with each further
# term, and how often it doubles at most. Until then votes may have been split.
UNDOUBLED_TERMS: Final = 2
MAX_DOUBLINGS: Final = 4
# Election timeouts after which a learner campaigns.
LEARNER_TIMEOUTS: Final = 5
_REFUSALS: Final = frozenset(map(str, election_notes.Refusal))


class Core:
    """The protocol state of one replica.

    Attributes:
        state: Term, log, members and commit index.
        role: Role in the current term.
        leader_state: Replication state of the leader; None in other roles.
        halted: Whether storage or the application of an entry failed; a halted
            replica grants no votes and acknowledges nothing.
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
            log: Log entries in the data folder.
            snapshots: Snapshots in the data folder.
            saved: Term and vote from the data folder.
            members: Member lists by log index.
            commit: Highest index known to be committed.
            rng: Source of randomness for timeouts.
            now: Current monotonic time in ms.
            last_leader_contact_ms: Latest time at which an earlier run of this
                replica may have heard a leader, in ms of the same clock.
            timing: Timeouts and intervals; None for the defaults.
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
        self._snapshot_receiver = snapshot_transfer.Receiver(state=self.state)
        self._rng = rng
        self._last_leader_contact_ms = last_leader_contact_ms
        # ID of the leader heard at that time; empty if this replica led then.
        self._last_leader = ""
        self._election_due_ms = now
        self._votes: set[str] = set()
        # Voters that refused in the current campaign, and why.
        self._refusals: dict[str, str] = {}
        self._campaign_term = 0
        self._election_attempts = 0
        # Terms in which this replica voted since it last heard a leader.
        self._terms_without_leader = 0
        # Term that the earlier process led; its lease ended with that process.
        self._previously_led_term = saved.term if saved.led else 0
        self._set_first_election_timer(now)

    # --- Inputs --------------------------------------------------------------

    def receive(self, message: messages.Message, now: int) -> None:
        """Handles a message from another replica.

        Raises:
            ProtocolError: The message violates the protocol.
            StorageError: The log can't be read or truncated.
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
        """Sends due heartbeats or starts a due election."""
        if self.halted:
            return
        if self.leader_state is not None:
            self._persist_leadership()
            self.leader_state.tick(now)
            self._step_down_if_required(now)
        elif self.state.is_member() and now >= self._election_due_ms:
            self._start_pre_vote(now)

    def form(self, entry: messages.LogEntry, now: int) -> None:
        """Forms a group whose first entry is the member list."""
        self.state.log.append(entry)
        self.state.members.append(entry)
        self._reset_election_timer(now)

    def propose(self, kind: int, payload: bytes, now: int) -> int:
        """Appends an entry on the leader and sends it; returns its index.

        Raises:
            NotLeaderError: This replica doesn't lead or is transferring
                leadership; nothing was proposed.
        """
        if self.leader_state is None or self.leader_state.transferring:
            raise errors.NotLeaderError(
                leader=self.state.leader_address, step="propose"
            )
        return self.leader_state.propose(kind, payload, now)

    def log_synced(self, now: int) -> None:
        """Processes a completed sync of the log."""
        if self.leader_state is not None:
            self.leader_state.advance_commit()
            self._step_down_if_required(now)
        elif not self.halted:
            self._follower_state.log_synced()

    def snapshot_installed(self, snapshot: snapshot_store.Snapshot) -> None:
        """Continues from a snapshot that replaced log and state machine."""
        self._follower_state.drop_pending_reply()
        self._snapshot_receiver.snapshot_installed(snapshot)

    def link_lost(self, replica_id: str) -> None:
        """Handles the possible loss of messages to a replica."""
        if self.leader_state is not None:
            self.leader_state.link_lost(replica_id)

    def transfer(self, now: int) -> None:
        """Starts a leadership transfer to another replica."""
        if self.leader_state is not None:
            self.leader_state.transfer()
            self._step_down_if_required(now)

    def halt(self) -> None:
        """Stops taking part in the protocol until the process restarts.

        Called after a storage failure or a failed application of an entry,
        because the replica's data can no longer be relied on.
        """
        self.halted = True
        self.role = core_state.Role.FOLLOWER
        self.leader_state = None
        self.state.leader = self.state.leader_address = ""
        self.state.output = core_state.Output()

    def take_output(self) -> core_state.Output:
        """Returns and clears the actions that the caller must perform."""
        output, self.state.output = self.state.output, core_state.Output()
        return output

    # --- State for the caller ------------------------------------------------

    def deadline(self) -> int | None:
        """Returns the time of the next tick in ms; None if no tick is due."""
        if self.halted:
            return None
        if self.leader_state is not None:
            return self.leader_state.deadline()
        return self._election_due_ms if self.state.is_member() else None

    def lease_until(self, now: int) -> int:
        """Returns when this leader's lease ends, in ms.

        If this replica holds no lease, the returned time is in the past.
        """
        if self.leader_state is None:
            return progress.NEVER_MS
        return self.leader_state.lease_until(now)

    def leader_contact_ms(self, now: int) -> int:
        """Returns when this replica last heard a leader or led, in ms."""
        if self.leader_state is not None:
            return now
        return self._last_leader_contact_ms

    def former_leader_silent_ms(self, now: int) -> dict[str, int]:
        """Returns the time since the last leader was heard, in ms, by its ID.

        It's empty unless this replica leads and followed another leader before.
        """
        if self.leader_state is None or not self._last_leader:
            return {}
        return {self._last_leader: now - self._last_leader_contact_ms}

    # --- Elections -----------------------------------------------------------

    def _reset_election_timer(self, now: int) -> None:
        """Draws a new election timeout; a single voter doesn't wait."""
        timing = self.state.timing
        alone = self.state.members.voters == (self.state.id,)
        wait = self._rng.randint(timing.election_min_ms, timing.election_max_ms)
        if self.state.is_learner():
            wait *= LEARNER_TIMEOUTS
        self._election_due_ms = now if alone else now + wait

    def _set_first_election_timer(self, now: int) -> None:
        """Draws the time of the first election after a start.

        The timeout counts from the last leader contact of the earlier process,
        because the other replicas grant no vote until that leader's lease has
        ended. If the timeout has passed already, the election is delayed at
        random so that restarted replicas don't all request votes at once. A
        replica that led until the restart starts an election immediately, unless
        it has become a learner.
        """
        if self._previously_led_term and not self.state.is_learner():
            return
        self._reset_election_timer(self._last_leader_contact_ms)
        if self._election_due_ms < now and len(self.state.members.voters) > 1:
            spread = self._rng.randint(0, self.state.timing.retry_max_ms)
            self._election_due_ms = now + spread

    def _schedule_election_retry(self, now: int) -> None:
        """Draws the time of the next election attempt.

        A replica that granted a vote also waits this long, so that the
        candidate can win. After FAST_ELECTION_ATTEMPTS the delay grows to the
        election timeout, so that a partitioned or removed replica sends fewer
        requests.

        An election ends only after the candidate and then a majority have saved
        their votes, and they process no messages meanwhile. If the delay is
        shorter, the next attempt begins before the votes arrive. So the delay
        doubles with each term in which this replica voted without result.
        """
        timing = self.state.timing
        self._election_attempts += 1
        doublings = self._terms_without_leader - UNDOUBLED_TERMS
        delay_ms = self._rng.randint(
            timing.retry_min_ms, timing.retry_max_ms
        ) * 2 ** max(0, min(doublings, MAX_DOUBLINGS))
        if (
            self._election_attempts > FAST_ELECTION_ATTEMPTS
            or self.state.is_learner()
        ):
            self._reset_election_timer(now)
            delay_ms = max(delay_ms, self._election_due_ms - now)
        self._election_due_ms = now + delay_ms

    def _start_pre_vote(self, now: int) -> None:
        self._campaign(core_state.Role.PRE_CANDIDATE, now)
        self._note_campaign(self.state.term + 1, now)
        if self._has_quorum():
            self._start_election(now, transfer=False)
            return
        self._request_votes(term=self.state.term + 1, pre=True, transfer=False)

    def _start_election(self, now: int, *, transfer: bool) -> None:
        if transfer:
            self._end_campaign(election_notes.CampaignEnd.TRANSFER, now)
            self._lose_leader(election_notes.LeaderLoss.TRANSFER, now)
        self.state.enter_term(self.state.term + 1, voted_for=self.state.id)
        self._terms_without_leader += 1
        self._follower_state.drop_pending_reply()
        self._campaign(core_state.Role.CANDIDATE, now)
        self._note_campaign(self.state.term, now)
        if self._has_quorum():
            self._become_leader(now)
            return
        self._request_votes(term=self.state.term, pre=False, transfer=transfer)

    def _campaign(self, role: core_state.Role, now: int) -> None:
        self._end_campaign(election_notes.CampaignEnd.TIMED_OUT, now)
        self._lose_leader(election_notes.LeaderLoss.SILENT, now)
        self.role = role
        self._votes = {self.state.id}
        self._refusals = {}
        self._schedule_election_retry(now)

    def _has_quorum(self) -> bool:
        members = self.state.members
        return len(self._votes & set(members.voters)) >= members.quorum

    def _request_votes(self, *, term: int, pre: bool, transfer: bool) -> None:
        state = self.state
        request = messages.VoteRequest(
            group=state.group,
            term=term,
            candidate=state.id,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre=pre,
            transfer=transfer,
            led_term=self._previously_led_term,
        )
        for voter in state.members.voters:
            state.send(voter, request)

    def _on_vote_request(self, m: messages.VoteRequest, now: int) -> None:
        refusal = self._refusal(m, now)
        granted = refusal is None
        if granted and not m.pre:
            self.state.voted_for = m.candidate
            self.state.save()
            self._terms_without_leader += 1
            self._schedule_election_retry(now)
        reply = messages.VoteReply(
            group=self.state.group,
            term=m.term if granted else self.state.term,
            voter=self.state.id,
            granted=granted,
            pre=m.pre,
            refusal=str(refusal or ""),
        )
        self.state.send(m.candidate, reply)
        if refusal is not None:
            self._note_refusal(m, refusal, now)

    def _refusal(
        self, m: messages.VoteRequest, now: int
    ) -> election_notes.Refusal | None:
        """Returns why a vote is refused; None if it is granted."""
        state = self.state
        last_contact_ms = self._contact_ms(now)
        # A leader that transfers leadership has given up its lease. A candidate
        # that led `led_term` in an earlier process lost that lease when the
        # process ended. If `led_term` is at least the current term, every
        # leader that this replica heard led `led_term` or an earlier term, and
        # the leases of earlier terms ended before the election of `led_term`.
        lease_ended = m.transfer or m.led_term >= max(1, state.term)
        if (
            not lease_ended
            and now < last_contact_ms + state.timing.election_min_ms
        ):
            return election_notes.Refusal.LEADER_RECENT
        if m.term < state.term:
            return election_notes.Refusal.STALE_TERM
        if m.term > state.term and not m.pre:
            self._become_follower(m.term, now)
        if m.term == state.term and state.leader:
            # Also rejects a transfer request that arrives after an election.
            return election_notes.Refusal.HAS_LEADER
        if (m.last_term, m.last_index) < (
            state.log.last_term,
            state.log.last_index,
        ):
            return election_notes.Refusal.LOG_BEHIND
        if m.term > state.term or state.voted_for in ("", m.candidate):
            return None
        return election_notes.Refusal.VOTED_FOR_OTHER

    def _on_vote_reply(self, m: messages.VoteReply, now: int) -> None:
        if not m.granted:
            self._record_refusal(m)
            if m.term > self.state.term:
                self._become_follower(m.term, now)
            return
        pre = self.role is core_state.Role.PRE_CANDIDATE
        campaigning = pre or self.role is core_state.Role.CANDIDATE
        campaign_term = self.state.term + 1 if pre else self.state.term
        if not campaigning or m.pre != pre or m.term != campaign_term:
            return
        self._votes.add(m.voter)
        if not self._has_quorum():
            return
        if pre:
            self._start_election(now, transfer=False)
        else:
            self._become_leader(now)

    def _record_refusal(self, m: messages.VoteReply) -> None:
        """Records a refusal for the note about the current campaign.

        A refusal names the voter's term, not that of the campaign, so a late
        one may belong to the campaign before.
        """
        pre = self.role is core_state.Role.PRE_CANDIDATE
        if m.pre == pre and m.voter in self.state.members.voters:
            known = m.refusal in _REFUSALS
            self._refusals[m.voter] = m.refusal if known else "unknown"

    def _on_timeout_now(self, m: messages.TimeoutNow, now: int) -> None:
        if m.term == self.state.term and self.state.is_voter():
            self._start_election(now, transfer=True)

    # --- Notes for the log ---------------------------------------------------

    def _contact_ms(self, now: int) -> int:
        """Returns the last contact with a leader, or of a leader with a quorum."""
        if self.leader_state is not None:
            return self.leader_state.quorum_contact_ms(now)
        return self._last_leader_contact_ms

    def _note_campaign(self, term: int, now: int) -> None:
        state = self.state
        self._campaign_term = term
        state.note(
            election_notes.CampaignStarted(
                now_ms=now,
                term=term,
                pre=self.role is core_state.Role.PRE_CANDIDATE,
                voters=tuple(
                    (member.id, member.address)
                    for member in state.members.current.members
                    if member.voter
                ),
                quorum=state.members.quorum,
                contact_age_ms=now - self._last_leader_contact_ms,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
            )
        )

    def _end_campaign(self, end: election_notes.CampaignEnd, now: int) -> None:
        """Ends a campaign without a majority, if there is one, and notes that."""
        pre = self.role is core_state.Role.PRE_CANDIDATE
        campaigning = pre or self.role is core_state.Role.CANDIDATE
        if not campaigning or self._has_quorum():
            return
        voters = self.state.members.voters
        self.state.note(
            election_notes.CampaignEnded(
                now_ms=now,
                term=self._campaign_term,
                pre=pre,
                end=end,
                votes=tuple(v for v in voters if v in self._votes),
                refusals=tuple(
                    (v, self._refusals[v])
                    for v in voters
                    if v in self._refusals and v not in self._votes
                ),
                unanswered=tuple(
                    v
                    for v in voters
                    if v not in self._votes and v not in self._refusals
                ),
                quorum=self.state.members.quorum,
            )
        )
        self.role = core_state.Role.FOLLOWER

    def _lose_leader(self, loss: election_notes.LeaderLoss, now: int) -> None:
        """Forgets the leader; notes that if this replica followed one."""
        state = self.state
        if state.leader and state.leader != state.id:
            state.note(
                election_notes.LeaderLost(
                    now_ms=now,
                    term=state.term,
                    leader=state.leader_address,
                    silent_ms=now - self._last_leader_contact_ms,
                    loss=loss,
                )
            )
        state.leader = state.leader_address = ""

    def _note_refusal(
        self,
        m: messages.VoteRequest,
        refusal: election_notes.Refusal,
        now: int,
    ) -> None:
        state = self.state
        member = state.members.current.find(m.candidate)
        state.note(
            election_notes.VoteRefused(
                now_ms=now,
                candidate=m.candidate,
                address=member.address if member is not None else "",
                term=m.term,
                pre=m.pre,
                refusal=refusal,
                own_term=state.term,
                leader=state.leader_address,
                # A leader may not have heard a majority yet.
                contact_age_ms=now
                - max(self._contact_ms(now), self._last_leader_contact_ms),
            )
        )

    # --- Roles ---------------------------------------------------------------

    def _persist_leadership(self) -> None:
        """Persists that this replica led the current term.

        Called one heartbeat after the election, because a sync at the election
        would delay the first entries.
        """
        if not self.state.led:
            self.state.led = True
            self.state.save()

    def _become_leader(self, now: int) -> None:
        self.state.note(election_notes.LeaderFound())
        self.role = core_state.Role.LEADER
        self.state.leader = self.state.id
        self.state.leader_address = self.state.address
        self._snapshot_receiver.discard()
        self._terms_without_leader = 0
        self.leader_state = leader_state.LeaderState(
            state=self.state, snapshots=self._snapshots, now=now
        )

    def _become_follower(
        self, term: int, now: int, *, leader: str = "", address: str = ""
    ) -> None:
        """Becomes a follower in `term`.

        Args:
            term: Term to enter; the current one or a later one.
            now: Current monotonic time in ms.
            leader: ID of the leader of `term`; empty if unknown.
            address: Address of that leader; empty if unknown.
        """
        state = self.state
        if leader:
            self._end_campaign(election_notes.CampaignEnd.LEADER_FOUND, now)
            state.note(election_notes.LeaderFound())
        else:
            self._end_campaign(election_notes.CampaignEnd.LATER_TERM, now)
            self._lose_leader(election_notes.LeaderLoss.LATER_TERM, now)
        if term > state.term:
            state.enter_term(term)
            self._follower_state.drop_pending_reply()
        if self.leader_state is not None:
            last_contact_ms = self.leader_state.quorum_contact_ms(now)
            self._last_leader_contact_ms = max(
                self._last_leader_contact_ms, last_contact_ms
            )
            self._last_leader = ""
            self._reset_election_timer(now)
            self.leader_state = None
        self.role = core_state.Role.FOLLOWER
        state.leader = leader
        state.leader_address = address

    def _step_down_if_required(self, now: int) -> None:
        if self.leader_state is not None and self.leader_state.must_step_down:
            self._become_follower(self.state.term, now)

    def _on_reply(
        self,
        m: messages.AppendReply | messages.SnapshotReply,
        now: int,
    ) -> None:
        if m.term > self.state.term:
            self._become_follower(m.term, now)
        if m.term < self.state.term or self.leader_state is None:
            return
        if isinstance(m, messages.AppendReply):
            self.leader_state.on_append_reply(m, now)
        else:
            self.leader_state.on_snapshot_reply(m, now)
        self._step_down_if_required(now)

    def _on_append(self, m: messages.AppendRequest, now: int) -> None:
        if m.term < self.state.term:
            self._follower_state.reject(m)
            return
        self._accept_leader(m, now)
        self._follower_state.append(m)
        # The entries may have given this replica a vote.
        self._reset_election_timer(now)

    def _on_snapshot(self, m: messages.SnapshotRequest, now: int) -> None:
        if m.term >= self.state.term:
            self._accept_leader(m, now)
            self._snapshot_receiver.on_request(m)
            self._reset_election_timer(now)

    def _accept_leader(
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
            self._become_follower(
                m.term, now, leader=m.leader, address=m.leader_address
            )
        self._last_leader_contact_ms = now
        self._last_leader = m.leader
        self._election_attempts = 0
        self._terms_without_leader = 0
