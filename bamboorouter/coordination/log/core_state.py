"""State shared by all parts of the consensus core: term, log, members, output."""

import dataclasses
import enum

from bamboorouter.coordination.log import election_notes
from bamboorouter.coordination.log import membership
from bamboorouter.protocol import messages
from bamboorouter.state import hard_state
from bamboorouter.state import log_store
from bamboorouter.state import snapshot_store


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Timeouts and intervals of the protocol in ms.

    Attributes:
        heartbeat_ms: Interval between heartbeats of a leader.
        election_min_ms: Lower bound of the election timeout, and the time for
            which a voter that heard a leader grants no vote.
        election_max_ms: Upper bound of the election timeout; each timeout is
            drawn between the bounds. A leader that hears no majority for this
            time steps down.
        retry_min_ms: Shortest delay before another election attempt.
        retry_max_ms: Longest delay before another election attempt.
        lease_ms: Lease of a leader, counted from the sending of a message that
            a majority answered. Shorter than `election_min_ms`, so that clock
            rates may differ by 10 %.
    """

    heartbeat_ms: int = 250
    election_min_ms: int = 900
    election_max_ms: int = 1500
    retry_min_ms: int = 150
    retry_max_ms: int = 450
    lease_ms: int = 800


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message and the ID of its destination.

    Attributes:
        to: ID of the replica that receives the message.
        message: The message.
    """

    to: str
    message: messages.Message


@dataclasses.dataclass(kw_only=True)
class Output:
    """Actions that the caller must perform after an input.

    Attributes:
        saved: Term and vote to save first; None if unchanged.
        messages: Messages to send once the log is written.
        install: Snapshot that must replace log and state machine, or None. The
            caller reports the installation with `Core.snapshot_installed`.
        notes: Facts about elections for the log, in order.
    """

    saved: hard_state.HardState | None = None
    messages: list[Envelope] = dataclasses.field(default_factory=list)
    install: snapshot_store.Snapshot | None = None
    notes: tuple[election_notes.Note, ...] = ()


@dataclasses.dataclass(kw_only=True)
class CoreState:
    """State of one replica that does not depend on its role.

    Attributes:
        id: ID of this replica.
        group: Name of the group.
        address: Address that the other replicas dial.
        log: The log; the caller syncs it.
        members: Member lists by log index.
        timing: Timeouts and intervals of the protocol.
        term: Current term.
        voted_for: ID of the candidate voted for in this term; empty if none.
        led: Whether it is persisted that this replica led this term.
        leader: ID of the leader; empty if unknown.
        leader_address: Address of the leader; empty if unknown.
        commit: Highest index known to be committed.
        output: Actions that the caller must perform after this input.
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

    def is_member(self) -> bool:
        """Whether this replica is a member, with or without a vote."""
        return self.members.current.find(self.id) is not None

    def is_learner(self) -> bool:
        """Whether this replica is a member without a vote."""
        return self.is_member() and not self.is_voter()

    def is_voter(self) -> bool:
        """Whether this replica is a voting member."""
        return self.id in self.members.voters

    def save(self) -> None:
        """Requests that term and vote are saved before messages are sent."""
        self.output.saved = hard_state.HardState(
            term=self.term, voted_for=self.voted_for, led=self.led
        )

    def enter_term(self, term: int, *, voted_for: str = "") -> None:
        """Enters a later term and requests that it is saved.

        Args:
            term: The new term.
            voted_for: ID of the candidate voted for in it; empty if none.
        """
        self.term = term
        self.voted_for = voted_for
        self.led = False
        self.save()

    def note(self, note: election_notes.Note) -> None:
        """Adds a fact about an election to the output."""
        self.output.notes += (note,)

    def send(self, to: str, message: messages.Message) -> None:
        """Adds a message to another replica to the output.

        A message to an unknown replica or to this one is dropped.
        """
        if to and to != self.id:
            self.output.messages.append(Envelope(to, message))
