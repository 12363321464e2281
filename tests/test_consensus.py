"""Guards single rules of the protocol that random schedules rarely reach."""

import random
import unittest

from bamboorouter.coordination.log import consensus
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import membership
from bamboorouter.protocol import membership as members_protocol
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import records
from bamboorouter.state import snapshot_store
from tests import memory_folder

TIMING = core_state.Timing()
VOTERS = ("a", "b", "c")


def make_core(
    *, terms: tuple[int, ...] = (1,), saved_term: int = 1, now: int = 0
) -> consensus.Core:
    """Returns replica "a" of three whose log holds entries of these terms."""
    folder = memory_folder.MemoryFolder()
    log = log_store.LogStore(folder=folder)
    for index, term in enumerate(terms, start=1):
        log.append(
            messages.LogEntry(
                term=term, index=index, kind=messages.KIND_NO_OP, payload=b""
            )
        )
    log.sync()
    members = members_protocol.Members(
        members=tuple(
            members_protocol.Member(id=voter, address=voter, voter=True)
            for voter in VOTERS
        )
    )
    return consensus.Core(
        replica_id="a",
        group="main",
        address="a",
        log=log,
        snapshots=snapshot_store.SnapshotStore(folder=folder),
        saved=hard_state.HardState(term=saved_term),
        members=membership.MemberHistory(
            base=records.Base(), members=members, stored=()
        ),
        commit=0,
        rng=random.Random(1),
        now=now,
    )


def vote_request(
    *,
    term: int,
    candidate: str = "b",
    pre: bool = False,
    transfer: bool = False,
) -> messages.VoteRequest:
    return messages.VoteRequest(
        group="main",
        term=term,
        candidate=candidate,
        last_index=100,
        last_term=term - 1,
        pre=pre,
        transfer=transfer,
    )


def heartbeat(core: consensus.Core, *, term: int) -> messages.AppendRequest:
    position = core.state.log.position_at(core.state.log.last_index)
    return messages.AppendRequest(
        group="main",
        term=term,
        leader="c",
        prev_index=position.index,
        prev_term=position.term,
        commit=0,
        sequence=1,
        leader_address="c",
        prev_chain=position.chain[:8],
    )


def granted(core: consensus.Core) -> bool:
    """Returns whether the core's last message grants a vote."""
    reply = core.take().messages[-1].message
    assert isinstance(reply, messages.VoteReply)
    return reply.granted


def elect(core: consensus.Core, *, now: int) -> None:
    """Lets replica "b" vote for the core at an election."""
    core.tick(now)
    for pre in (True, False):
        core.receive(
            messages.VoteReply(
                group="main",
                term=core.state.term + pre,
                voter="b",
                granted=True,
                pre=pre,
            ),
            now,
        )


class VoteTest(unittest.TestCase):
    """When a vote is given."""

    def test_restarted_voter_keeps_silent_as_if_it_had_heard_a_leader(
        self,
    ) -> None:
        core = make_core(now=5000)
        core.receive(vote_request(term=2), 5000 + TIMING.election_min_ms - 1)
        self.assertFalse(granted(core))
        self.assertEqual(core.state.term, 1)
        core.receive(vote_request(term=2), 5000 + TIMING.election_min_ms)
        self.assertTrue(granted(core))

    def test_voter_that_hears_a_leader_refuses_even_a_pre_vote(self) -> None:
        core = make_core()
        core.receive(heartbeat(core, term=1), 2000)
        core.receive(vote_request(term=2, pre=True), 2000 + TIMING.lease_ms)
        self.assertFalse(granted(core))

    def test_transferred_leadership_gets_the_vote_at_once(self) -> None:
        core = make_core()
        core.receive(heartbeat(core, term=1), 2000)
        core.receive(vote_request(term=2, transfer=True), 2001)
        self.assertTrue(granted(core))

    def test_late_transfer_gets_no_vote_in_a_term_with_a_leader(self) -> None:
        core = make_core()
        core.receive(heartbeat(core, term=2), 2000)
        core.receive(vote_request(term=2, transfer=True), 2001)
        self.assertFalse(granted(core))

    def test_candidate_with_an_older_log_gets_no_vote(self) -> None:
        core = make_core(terms=(1, 3), saved_term=3)
        request = vote_request(term=4)
        older = messages.VoteRequest(
            group="main",
            term=4,
            candidate="b",
            last_index=100,
            last_term=2,
            pre=False,
        )
        core.receive(older, 2000)
        self.assertFalse(granted(core))
        core.receive(request, 2000)
        self.assertTrue(granted(core))


class LeaderTest(unittest.TestCase):
    """What a leader may do."""

    def acknowledge(
        self, core: consensus.Core, *, match: int, sent: int, now: int
    ) -> None:
        core.receive(
            messages.AppendReply(
                group="main",
                term=core.state.term,
                follower="b",
                success=True,
                match_index=match,
                sequence=sent,
            ),
            now,
        )

    def test_entries_of_an_older_term_are_not_committed_by_counting(
        self,
    ) -> None:
        core = make_core(terms=(1, 1), saved_term=2)
        elect(core, now=2000)
        self.assertIs(core.role, core_state.Role.LEADER)
        core.state.log.sync()
        core.stored(2000)
        self.acknowledge(core, match=2, sent=2000, now=2001)
        self.assertEqual(core.state.commit, 0)
        self.acknowledge(core, match=3, sent=2000, now=2002)
        self.assertEqual(core.state.commit, 3)

    def test_own_entry_counts_only_once_it_is_synced(self) -> None:
        core = make_core()
        elect(core, now=2000)
        self.acknowledge(core, match=2, sent=2000, now=2001)
        self.assertEqual(core.state.commit, 0)
        core.state.log.sync()
        core.stored(2002)
        self.assertEqual(core.state.commit, 2)

    def test_lease_counts_from_the_sending_of_what_was_answered(self) -> None:
        core = make_core()
        elect(core, now=2000)
        self.acknowledge(core, match=2, sent=2000, now=2700)
        self.assertEqual(core.lease_until(2700), 2000 + TIMING.lease_ms)

    def test_leader_that_hands_over_has_no_lease(self) -> None:
        core = make_core()
        elect(core, now=2000)
        self.acknowledge(core, match=1, sent=2000, now=2001)
        core.transfer(2001)
        self.assertLess(core.lease_until(2001), 0)

    def test_leader_without_a_majority_steps_down(self) -> None:
        core = make_core()
        elect(core, now=2000)
        core.tick(2000 + TIMING.election_max_ms)
        self.assertIs(core.role, core_state.Role.FOLLOWER)
