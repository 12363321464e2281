"""Guards against a group without a leader whose logs don't say why."""

from collections.abc import Iterator
import contextlib
import itertools
import pathlib
import tempfile
import unittest
from unittest import mock

from bamboorouter import events
from bamboorouter import options
from bamboorouter.coordination.log import consensus
from bamboorouter.coordination.log import core_state
from bamboorouter.coordination.log import election_log
from bamboorouter.coordination.log import election_notes
from bamboorouter.protocol import base
from bamboorouter.protocol import codec
from bamboorouter.protocol import messages
from bamboorouter.roles import entry
from tests import replica_site
from tests import test_consensus

Refusal = election_notes.Refusal
CampaignEnd = election_notes.CampaignEnd
LeaderLoss = election_notes.LeaderLoss

TIMING = core_state.Timing()
MINUTE_MS = 60_000
# The first lines, those while the interval grows from 1 s to 10 s, and one
# every 10 s.
MAX_LINES_PER_MINUTE = election_log.FIRST_LINES + 4 + 6


class OlderVoteReply(base.Wire, frozen=True, kw_only=True, tag=2):
    """VoteReply of a peer that gives no reason."""

    group: str
    term: int
    voter: str
    granted: bool
    pre: bool


class Lines:
    """Collects events.

    Attributes:
        lines: Each event with its fields.
    """

    def __init__(self) -> None:
        self.lines: list[tuple[events.Event, dict[str, object]]] = []

    def log(self, event: events.Event, **fields: object) -> None:
        """Stands in for `events.log`."""
        self.lines.append((event, fields))

    def of(self, event: events.Event) -> list[dict[str, object]]:
        """Returns the fields of all lines of an event."""
        return [fields for logged, fields in self.lines if logged is event]


@contextlib.contextmanager
def collect_lines() -> Iterator[Lines]:
    lines = Lines()
    with mock.patch.object(events, "log", lines.log):
        yield lines


def refusal(
    core: consensus.Core,
    *,
    voter: str = "b",
    reason: str = Refusal.LOG_BEHIND,
    pre: bool = True,
    term: int | None = None,
) -> messages.VoteReply:
    return messages.VoteReply(
        group="main",
        term=core.state.term if term is None else term,
        voter=voter,
        granted=False,
        pre=pre,
        refusal=reason,
    )


def grant(core: consensus.Core, *, voter: str = "b") -> messages.VoteReply:
    """Returns a granted pre-vote."""
    return messages.VoteReply(
        group="main",
        term=core.state.term + 1,
        voter=voter,
        granted=True,
        pre=True,
    )


def tick_when_due(core: consensus.Core) -> int:
    """Ticks the core at its deadline; returns that time in ms."""
    due_ms = core.deadline()
    assert due_ms is not None
    core.tick(due_ms)
    return due_ms


def ended_campaigns(
    core: consensus.Core,
) -> list[election_notes.CampaignEnded]:
    """Returns the notes about ended campaigns and clears the output."""
    return [
        note
        for note in core.take_output().notes
        if isinstance(note, election_notes.CampaignEnded)
    ]


def lost_leaders(core: consensus.Core) -> list[election_notes.LeaderLost]:
    """Returns the notes about lost leaders and clears the output."""
    return [
        note
        for note in core.take_output().notes
        if isinstance(note, election_notes.LeaderLost)
    ]


class RefusalReasonTest(unittest.TestCase):
    """A refused vote names its reason to the candidate and in the log."""

    def check(
        self,
        core: consensus.Core,
        request: messages.VoteRequest,
        expected: Refusal,
    ) -> election_notes.VoteRefused:
        """Checks the answer to a vote request at 2001 ms; returns the note."""
        core.take_output()
        core.receive(request, 2001)
        output = core.take_output()
        reply = output.messages[-1].message
        assert isinstance(reply, messages.VoteReply)
        self.assertFalse(reply.granted)
        self.assertEqual(reply.refusal, str(expected))
        note = output.notes[-1]
        assert isinstance(note, election_notes.VoteRefused)
        self.assertIs(note.refusal, expected)
        self.assertEqual(note.candidate, request.candidate)
        self.assertEqual((note.term, note.pre), (request.term, request.pre))
        return note

    def test_leader_heard_recently(self) -> None:
        for pre in (True, False):
            core = test_consensus.make_core()
            core.receive(test_consensus.heartbeat(core, term=1), 1500)
            note = self.check(
                core,
                test_consensus.vote_request(term=2, pre=pre),
                Refusal.LEADER_RECENT,
            )
            self.assertEqual((note.leader, note.contact_age_ms), ("c", 501))

    def test_stale_term(self) -> None:
        core = test_consensus.make_core(saved_term=5)
        note = self.check(
            core, test_consensus.vote_request(term=4), Refusal.STALE_TERM
        )
        self.assertEqual(note.own_term, 5)

    def test_term_with_a_leader(self) -> None:
        core = test_consensus.make_core()
        core.receive(test_consensus.heartbeat(core, term=2), 2000)
        self.check(
            core,
            test_consensus.vote_request(term=2, transfer=True),
            Refusal.HAS_LEADER,
        )

    def test_log_behind(self) -> None:
        core = test_consensus.make_core(terms=(1, 3), saved_term=3)
        request = messages.VoteRequest(
            group="main",
            term=4,
            candidate="b",
            last_index=100,
            last_term=2,
            pre=False,
        )
        note = self.check(core, request, Refusal.LOG_BEHIND)
        self.assertEqual(note.address, "b")

    def test_vote_for_another_candidate(self) -> None:
        core = test_consensus.make_core()
        core.receive(test_consensus.vote_request(term=2), 2000)
        self.check(
            core,
            test_consensus.vote_request(term=2, candidate="c"),
            Refusal.VOTED_FOR_OTHER,
        )

    def test_candidate_that_isnt_a_member_has_no_address(self) -> None:
        core = test_consensus.make_core(saved_term=5)
        note = self.check(
            core,
            test_consensus.vote_request(term=4, candidate="x"),
            Refusal.STALE_TERM,
        )
        self.assertEqual(note.address, "")

    def test_contact_of_a_new_leader_counts_from_its_predecessor(self) -> None:
        core = test_consensus.make_core()
        test_consensus.elect(core, now=2000)
        note = self.check(
            core,
            test_consensus.vote_request(term=core.state.term, candidate="c"),
            Refusal.HAS_LEADER,
        )
        self.assertEqual(note.contact_age_ms, 2001)

    def test_granted_vote_gives_no_reason(self) -> None:
        core = test_consensus.make_core()
        core.receive(test_consensus.vote_request(term=2), 2000)
        output = core.take_output()
        reply = output.messages[-1].message
        assert isinstance(reply, messages.VoteReply)
        self.assertTrue(reply.granted)
        self.assertEqual((reply.refusal, output.notes), ("", ()))


class OlderPeerTest(unittest.TestCase):
    """Replicas of two versions understand each other's refusals."""

    def test_both_directions(self) -> None:
        newer = codec.Codec[messages.VoteReply | messages.VoteRequest](
            types=messages.VoteReply | messages.VoteRequest
        )
        older = codec.Codec[OlderVoteReply | messages.VoteRequest](
            types=OlderVoteReply | messages.VoteRequest
        )
        from_older = OlderVoteReply(
            group="main", term=2, voter="b", granted=False, pre=True
        )
        from_newer = messages.VoteReply(
            group="main",
            term=2,
            voter="b",
            granted=False,
            pre=True,
            refusal="log_behind",
        )
        received = newer.decode(older.encode(from_older))
        assert isinstance(received, messages.VoteReply)
        self.assertEqual(received.refusal, "")
        self.assertEqual(older.decode(newer.encode(from_newer)), from_older)


class CampaignTest(unittest.TestCase):
    """A campaign without a majority names what each voter answered."""

    def test_campaign_names_voters_quorum_and_position(self) -> None:
        core = test_consensus.make_core(terms=(1, 3), saved_term=3)
        now = tick_when_due(core)
        self.assertEqual(
            core.take_output().notes,
            (
                election_notes.CampaignStarted(
                    now_ms=now,
                    term=4,
                    pre=True,
                    voters=(("a", "a"), ("b", "b"), ("c", "c")),
                    quorum=2,
                    contact_age_ms=now,
                    last_index=2,
                    last_term=3,
                ),
            ),
        )

    def test_refusals_and_silent_voters_are_named(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(refusal(core), now + 1)
        core.take_output()
        now = tick_when_due(core)
        self.assertEqual(
            ended_campaigns(core),
            [
                election_notes.CampaignEnded(
                    now_ms=now,
                    term=2,
                    pre=True,
                    end=CampaignEnd.TIMED_OUT,
                    votes=("a",),
                    refusals=(("b", "log_behind"),),
                    unanswered=("c",),
                    quorum=2,
                )
            ],
        )
        # The answers belong to the earlier campaign only.
        tick_when_due(core)
        self.assertEqual(ended_campaigns(core)[0].unanswered, ("b", "c"))

    def test_vote_campaign_after_a_won_pre_vote(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(grant(core), now + 1)
        self.assertEqual(core.role, core_state.Role.CANDIDATE)
        self.assertEqual(ended_campaigns(core), [])
        core.receive(
            refusal(core, reason=Refusal.VOTED_FOR_OTHER, pre=False), now + 2
        )
        tick_when_due(core)
        ended = ended_campaigns(core)[0]
        self.assertEqual((ended.term, ended.pre), (2, False))
        self.assertEqual(ended.refusals, (("b", "voted_for_other"),))

    def test_refusal_without_a_known_reason_is_unknown(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(refusal(core, reason=""), now + 1)
        core.receive(refusal(core, voter="c", reason="?" * 1000), now + 1)
        core.receive(refusal(core, voter="x"), now + 1)
        tick_when_due(core)
        self.assertEqual(
            ended_campaigns(core)[0].refusals,
            (("b", "unknown"), ("c", "unknown")),
        )

    def test_later_term_ends_a_campaign(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(refusal(core, reason=Refusal.STALE_TERM, term=7), now + 1)
        ended = ended_campaigns(core)[0]
        self.assertEqual(ended.end, CampaignEnd.LATER_TERM)
        self.assertEqual(ended.refusals, (("b", "stale_term"),))

    def test_leader_ends_a_campaign(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(test_consensus.heartbeat(core, term=2), now + 1)
        self.assertEqual(
            [ended.end for ended in ended_campaigns(core)],
            [CampaignEnd.LEADER_FOUND],
        )

    def test_transfer_ends_a_campaign_once(self) -> None:
        core = test_consensus.make_core()
        now = tick_when_due(core)
        core.receive(messages.TimeoutNow(group="main", term=1), now + 1)
        self.assertEqual(
            [ended.end for ended in ended_campaigns(core)],
            [CampaignEnd.TRANSFER],
        )

    def test_won_election_has_no_campaign_without_a_majority(self) -> None:
        core = test_consensus.make_core()
        test_consensus.elect(core, now=2000)
        self.assertEqual(ended_campaigns(core), [])


class LostLeaderTest(unittest.TestCase):
    """A follower that loses its leader says so once."""

    def setUp(self) -> None:
        self.core = test_consensus.make_core()
        self.core.receive(test_consensus.heartbeat(self.core, term=2), 2000)
        self.core.take_output()

    def test_silent_leader(self) -> None:
        now = tick_when_due(self.core)
        self.assertEqual(
            lost_leaders(self.core),
            [
                election_notes.LeaderLost(
                    now_ms=now,
                    term=2,
                    leader="c",
                    silent_ms=now - 2000,
                    loss=LeaderLoss.SILENT,
                )
            ],
        )
        tick_when_due(self.core)
        self.assertEqual(lost_leaders(self.core), [])

    def test_later_term(self) -> None:
        self.core.receive(test_consensus.vote_request(term=3), 3000)
        lost = lost_leaders(self.core)
        self.assertEqual([each.loss for each in lost], [LeaderLoss.LATER_TERM])
        self.assertEqual((lost[0].term, lost[0].silent_ms), (2, 1000))

    def test_transfer(self) -> None:
        self.core.receive(messages.TimeoutNow(group="main", term=2), 2001)
        lost = lost_leaders(self.core)
        self.assertEqual([each.loss for each in lost], [LeaderLoss.TRANSFER])

    def test_leader_of_a_later_term_replaces_it_without_a_loss(self) -> None:
        self.core.receive(test_consensus.heartbeat(self.core, term=3), 2001)
        self.assertEqual(lost_leaders(self.core), [])

    def test_heartbeats_report_nothing(self) -> None:
        for now in range(2000, 5000, TIMING.heartbeat_ms):
            self.core.receive(test_consensus.heartbeat(self.core, term=2), now)
            self.assertEqual(self.core.take_output().notes, ())


class VolumeTest(unittest.TestCase):
    """A group without a leader writes a bounded number of lines."""

    def setUp(self) -> None:
        self.log = election_log.ElectionLog(replica="a")

    def record(self, core: consensus.Core) -> None:
        for note in core.take_output().notes:
            self.log.record(note)

    def campaign_until(
        self, core: consensus.Core, end_ms: int, *, wins_pre_votes: bool = False
    ) -> int:
        """Campaigns without a majority; returns the number of campaigns."""
        campaigns = 0
        while (due_ms := core.deadline()) is not None and due_ms < end_ms:
            core.tick(due_ms)
            campaigns += 1
            if wins_pre_votes:
                core.receive(grant(core), due_ms)
                campaigns += 1
            else:
                core.receive(refusal(core), due_ms)
            self.record(core)
        return campaigns

    def test_minute_without_a_majority(self) -> None:
        core = test_consensus.make_core()
        with collect_lines() as lines:
            campaigns = self.campaign_until(core, MINUTE_MS)
        self.assertGreater(campaigns, 2 * MAX_LINES_PER_MINUTE)
        started = lines.of(events.CAMPAIGN_STARTED)
        ended = lines.of(events.CAMPAIGN_ENDED)
        self.assertLessEqual(len(started), MAX_LINES_PER_MINUTE)
        self.assertGreaterEqual(len(started), MAX_LINES_PER_MINUTE // 2)
        self.assertIn(len(ended), (len(started), len(started) - 1))
        self.assertEqual(ended[-1]["refusals"], {"b": "log_behind"})
        self.assertEqual(ended[-1]["unanswered"], ("c",))
        # Each campaign has a line or is counted by the next one.
        for before, line in zip(started, started[1:], strict=False):
            assert isinstance(before["attempt"], int)
            assert isinstance(line["left_out"], int)
            self.assertEqual(
                line["attempt"], before["attempt"] + line["left_out"] + 1
            )

    def test_minute_of_votes_without_a_majority(self) -> None:
        core = test_consensus.make_core()
        with collect_lines() as lines:
            self.campaign_until(core, MINUTE_MS, wins_pre_votes=True)
        for pre in (True, False):
            started = [
                line
                for line in lines.of(events.CAMPAIGN_STARTED)
                if line["pre"] is pre
            ]
            self.assertGreaterEqual(len(started), election_log.FIRST_LINES)
            self.assertLessEqual(len(started), MAX_LINES_PER_MINUTE)
        self.assertLessEqual(len(lines.lines), 4 * MAX_LINES_PER_MINUTE)

    def test_first_campaigns_are_logged_again_after_a_leader(self) -> None:
        core = test_consensus.make_core()
        with collect_lines():
            self.campaign_until(core, MINUTE_MS)
        core.receive(test_consensus.heartbeat(core, term=2), MINUTE_MS)
        self.record(core)
        with collect_lines() as lines:
            for _ in range(election_log.FIRST_LINES):
                tick_when_due(core)
                self.record(core)
        self.assertEqual(
            [line["attempt"] for line in lines.of(events.CAMPAIGN_STARTED)],
            list(range(1, election_log.FIRST_LINES + 1)),
        )

    def test_minute_of_refused_votes(self) -> None:
        core = test_consensus.make_core(saved_term=5)
        with collect_lines() as lines:
            for now in range(2000, 2000 + MINUTE_MS, 100):
                core.receive(
                    test_consensus.vote_request(
                        term=4, candidate=f"x{now}", pre=True
                    ),
                    now,
                )
                self.record(core)
        refused = lines.of(events.VOTE_REFUSED)
        self.assertLessEqual(len(refused), MAX_LINES_PER_MINUTE)
        self.assertGreaterEqual(len(refused), MAX_LINES_PER_MINUTE // 2)
        self.assertEqual(refused[0]["reason"], "stale_term")
        # The interval has grown to 10 s, with a vote request every 100 ms.
        self.assertEqual(refused[-1]["left_out"], 99)


class ReplicaLinesTest(unittest.IsolatedAsyncioTestCase):
    """Replicas over real links log their elections."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.nodes = replica_site.make_nodes(pathlib.Path(folder.name), 3)
        for node in self.nodes:
            self.addCleanup(node.close)
            self.addAsyncCleanup(node.stop)

    async def test_last_replica_names_the_silent_voters(self) -> None:
        with collect_lines() as lines:
            for node in self.nodes:
                await node.start()
            leader = await replica_site.wait_for_leader(self.nodes)
            last = next(node for node in self.nodes if node is not leader)
            last_id = last.replica.engine.id
            gone = [node for node in self.nodes if node is not last]
            silent = tuple(
                itertools.permutations(node.replica.engine.id for node in gone)
            )
            await replica_site.wait_until(
                lambda: last.replica.leader_address() == leader.address
            )
            for node in gone:
                await node.crash()
            await replica_site.wait_until(
                lambda: any(
                    line["replica"] == last_id and line["unanswered"] in silent
                    for line in lines.of(events.CAMPAIGN_ENDED)
                )
            )
            lost = [
                line
                for line in lines.of(events.LEADER_LOST)
                if line["replica"] == last_id
            ]
            self.assertEqual(lost[-1]["leader"], leader.address)
            self.assertEqual(lost[-1]["cause"], "silent")
            await last.stop()
            await last.start()
        opened = lines.of(events.REPLICA_OPENED)
        self.assertEqual(len(opened), 4)
        self.assertEqual(opened[0]["members"], [])
        self.assertEqual(
            opened[-1]["members"],
            [
                (node.replica.engine.id, node.address, True)
                for node in self.nodes
            ],
        )
        self.assertEqual(opened[-1]["quorum"], 2)


class SilentEntryTest(unittest.IsolatedAsyncioTestCase):
    """An entry that finds no leader logs whom it asked."""

    async def test_line_names_the_addresses_and_the_last_contact(self) -> None:
        # Bound without listening, so that links to it are refused.
        reserved = replica_site.reserve_port()
        self.addCleanup(reserved.close)
        address = f"127.0.0.1:{reserved.getsockname()[1]}"
        silent = entry.EntryRole(
            process=options.ProcessOptions(
                name="entry-1", zone="a", roles=("entry",), control=(address,)
            ),
            settings=options.EntryOptions(
                listen="127.0.0.1:0", operator="127.0.0.1:0"
            ),
        )
        with collect_lines() as lines:
            await silent.start()
            self.addAsyncCleanup(silent.stop)
            await replica_site.wait_until(
                lambda: bool(lines.of(events.LEADER_SILENT))
            )
        line = lines.of(events.LEADER_SILENT)[0]
        self.assertEqual(line["tried"], (address,))
        self.assertIsNone(line["contact_age_ms"])


if __name__ == "__main__":
    unittest.main()
