"""What all parts of the consensus core share: term, log, members, output."""

import dataclasses
import enum

from bamboorouter.coordination.log import membership
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import snapshot_store


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

    heartbeat_ms: int = 250
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
class CoreState:
    """State of one replica that does not depend on its role.

    Attributes:
        id: ID of this replica.
        group: Name of the group.
        address: Address that the other replicas dial.
        log: The log; synced by the caller.
        members: Members in force by position.
        timing: Times of the protocol.
        term: Current term.
        voted_for: ID voted for in this term; empty if none.
        led: Whether this replica is known to have led this term.
        leader: ID of the leader; empty if unknown.
        leader_address: Address of the leader; empty if unknown.
        commit: Newest index known to be committed.
        output: What the caller must do after this input.
    """

    id: str
    group: str
    address: str
    log: log_store.LogStore
    members: membership.MemberHistory
    timing: Timing
    term: int
    voted_for: str
    commit: int
    led: bool = False
    leader: str = ""
    leader_address: str = ""
    output: Output = dataclasses.field(default_factory=Output)

    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.id in self.members.voters

    def save(self) -> None:
        """Has term and vote saved before any message is sent."""
        self.output.saved = hard_state.HardState(
            term=self.term, voted_for=self.voted_for, led=self.led
        )

    def enter_term(self, term: int, *, voted_for: str = "") -> None:
        """Goes on to a later term and has it saved."""
        self.term = term
        self.voted_for = voted_for
        self.led = False
        self.save()

    def send(self, to: str, message: messages.Message) -> None:
        """Has a message sent to another replica."""
        if to and to != self.id:
            self.output.messages.append(Envelope(to, message))
