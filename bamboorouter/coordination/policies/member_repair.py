"""Decides membership changes that repair a group without an operator.

Two faults are repaired: a replica restarts with an empty data folder at its old
address, or an empty replica replaces it at a new address. The group keeps an
odd number of voters that tolerates the configured number of losses. It makes
one change at a time, the first of these that applies:

1. Remove a member whose address a later member uses: its data is lost, and its
   vote would count as missing.
2. Promote a learner that has caught up while there are too few voters, or to
   replace a silent voter: after `AT_RISK_AFTER_MS` if one more loss would leave
   no majority, otherwise after `LOST_AFTER_MS`.
3. Of an even number of voters, demote a silent one. If all answer, as after a
   short silence, demote the slowest one if there are more than needed. A demoted
   replica keeps receiving the log, so that it can be promoted again as soon as
   it answers.
4. Remove a learner that has been silent for `FORGET_AFTER_MS`.

The successor of a silent voter is promoted before that voter is demoted. The
voter may only be frozen or cut off. If it were demoted first, the loss of the
disk of another voter between the two changes would leave no majority, although
the silent voter returns.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Literal

# A leader without a majority steps down after the same time.
AT_RISK_AFTER_MS: Final = 1500
# Longer than most restarts, but shorter than the time after which a replaced
# replica no longer counts as lost.
LOST_AFTER_MS: Final = 2000
# Bounds the number of members that a leader tries to reach; a replica that
# returns later joins again.
FORGET_AFTER_MS: Final = 60_000
# A learner that answered within this time can be promoted.
ANSWERS_WITHIN_MS: Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberView:
    """The leader's view of a member.

    Attributes:
        id: ID of the replica.
        address: Address of the replica.
        voter: Whether the replica votes.
        silent_ms: Time since its last answer, in ms; 0 for the leader.
        caught_up: Whether the replica lacks no more entries than may be in
            flight to it.
        answered: Whether the replica has answered this leader in its term; True
            for the leader.
    """

    id: str
    address: str
    voter: bool
    silent_ms: int
    caught_up: bool
    answered: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A membership change.

    Attributes:
        action: What to do with the member.
        member: ID of the replica.
    """

    action: Literal["promote", "demote", "remove"]
    member: str


def wanted_voters(members: int, tolerated: int) -> int:
    """Returns the number of voters for a group of this size, always odd."""
    most = members if members % 2 else members - 1
    return max(1, min(2 * tolerated + 1, most))


def missing_voters(members: Iterable[MemberView], tolerated: int) -> int:
    """Returns how many voters the group lacks to tolerate that many losses."""
    voters = sum(member.voter for member in members)
    return max(0, 2 * tolerated + 1 - voters)


def next_change(
    members: Sequence[MemberView], *, tolerated: int
) -> Change | None:
    """Returns the next membership change; None if none is needed.

    Args:
        members: All members in order of joining.
        tolerated: Number of simultaneous losses that the group tolerates.
    """
    replaced = _replaced(members)
    if replaced is not None:
        return Change(action="remove", member=replaced)
    voters = [member for member in members if member.voter]
    lost = _lost_voter(voters)
    ready = next(
        (
            member
            for member in members
            if not member.voter
            and member.caught_up
            and member.answered
            and _answers(member)
        ),
        None,
    )
    is_even = len(voters) % 2 == 0
    if ready is not None and (
        len(voters) < wanted_voters(len(members), tolerated)
        or (lost is not None and not is_even)
    ):
        return Change(action="promote", member=ready.id)
    if is_even:
        surplus = lost or _surplus_voter(voters, tolerated)
        # Of two voters, the one that answers has no majority.
        if surplus is not None and len(voters) > 2:
            return Change(action="demote", member=surplus.id)
    forgotten = next(
        (
            member.id
            for member in members
            if not member.voter and member.silent_ms > FORGET_AFTER_MS
        ),
        None,
    )
    if forgotten is not None:
        return Change(action="remove", member=forgotten)
    return None


def _answers(member: MemberView) -> bool:
    return member.silent_ms <= ANSWERS_WITHIN_MS


def _lost_voter(voters: Sequence[MemberView]) -> MemberView | None:
    """Returns the voter that is silent for the longest time, if too long."""
    slowest = max(voters, key=lambda member: member.silent_ms, default=None)
    if slowest is None or slowest.silent_ms <= _vote_kept_ms(voters):
        return None
    return slowest


def _surplus_voter(
    voters: Sequence[MemberView], tolerated: int
) -> MemberView | None:
    """Returns the slowest voter if all answer and one more is there than needed.

    The leader is never silent, so it is never returned.
    """
    slowest = max(voters, key=lambda member: member.silent_ms, default=None)
    if (
        slowest is None
        or slowest.silent_ms == 0
        or len(voters) <= 2 * tolerated + 1
        or not all(voter.answered and _answers(voter) for voter in voters)
    ):
        return None
    return slowest


def _vote_kept_ms(voters: Sequence[MemberView]) -> int:
    """Returns how long a silent voter keeps its vote, in ms."""
    quorum = len(voters) // 2 + 1
    if sum(map(_answers, voters)) <= quorum:
        return AT_RISK_AFTER_MS
    return LOST_AFTER_MS


def _replaced(members: Iterable[MemberView]) -> str | None:
    """Returns the first member whose address a later member uses."""
    newest = {member.address: member.id for member in members}
    return next(
        (
            member.id
            for member in members
            if newest[member.address] != member.id
        ),
        None,
    )
