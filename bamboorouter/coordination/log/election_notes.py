"""Facts about elections that the consensus core reports for the log."""

import dataclasses
import enum


class Refusal(enum.StrEnum):
    """Why a voter refuses a vote."""

    LEADER_RECENT = "leader_recent"
    STALE_TERM = "stale_term"
    HAS_LEADER = "has_leader"
    LOG_BEHIND = "log_behind"
    VOTED_FOR_OTHER = "voted_for_other"


class CampaignEnd(enum.StrEnum):
    """Why a campaign ended without a majority."""

    TIMED_OUT = "timed_out"
    LATER_TERM = "later_term"
    LEADER_FOUND = "leader_found"
    TRANSFER = "transfer"


class LeaderLoss(enum.StrEnum):
    """Why a follower no longer follows its leader."""

    SILENT = "silent"
    LATER_TERM = "later_term"
    TRANSFER = "transfer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CampaignStarted:
    """This replica asks the voters for their votes.

    Attributes:
        now_ms: Time of the note in ms.
        term: Term of the election.
        pre: Whether it asks for pre-votes.
        voters: ID and address of each voter.
        quorum: Number of votes that it needs, its own included.
        contact_age_ms: Time since the last contact with a leader in ms.
        last_index: Index of the last entry in its log.
        last_term: Term of that entry.
    """

    now_ms: int
    term: int
    pre: bool
    voters: tuple[tuple[str, str], ...]
    quorum: int
    contact_age_ms: int
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CampaignEnded:
    """A campaign of this replica ended without a majority.

    Attributes:
        now_ms: Time of the note in ms.
        term: Term of the election.
        pre: Whether it asked for pre-votes.
        end: Why it ended.
        votes: IDs of the voters that granted their votes.
        refusals: ID of each voter that refused, and why; "unknown" if the voter
            doesn't say.
        unanswered: IDs of the voters that didn't answer.
        quorum: Number of votes that it needed.
    """

    now_ms: int
    term: int
    pre: bool
    end: CampaignEnd
    votes: tuple[str, ...]
    refusals: tuple[tuple[str, str], ...]
    unanswered: tuple[str, ...]
    quorum: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VoteRefused:
    """This replica refused a vote.

    Attributes:
        now_ms: Time of the note in ms.
        candidate: ID of the candidate.
        address: Address of the candidate; empty if it isn't a member.
        term: Term of the election.
        pre: Whether the candidate asked for a pre-vote.
        refusal: Why the vote was refused.
        own_term: Term of this replica.
        leader: Address of the leader that this replica knows; empty if none.
        contact_age_ms: Time since the last contact with a leader in ms; for a
            leader, with a majority.
    """

    now_ms: int
    candidate: str
    address: str
    term: int
    pre: bool
    refusal: Refusal
    own_term: int
    leader: str
    contact_age_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaderLost:
    """This follower no longer follows its leader and knows no other one.

    Attributes:
        now_ms: Time of the note in ms.
        term: Term of the leader.
        leader: Address of the leader.
        silent_ms: Time since the last contact with it in ms.
        loss: Why this replica no longer follows it.
    """

    now_ms: int
    term: int
    leader: str
    silent_ms: int
    loss: LeaderLoss


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaderFound:
    """This replica leads, or follows another leader than before."""


Note = CampaignStarted | CampaignEnded | VoteRefused | LeaderLost | LeaderFound
