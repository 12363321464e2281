"""Decides how a group of replicas repairs itself without an operator.

Answers these faults: a replica comes back with an empty folder at its old
address, or an empty one appears at a new address in its place. The group wants
an odd number of voters that bears the stated number of losses. One change is
made at a time:

1. A member whose address a later member has taken over has lost its folder; it
   is removed, so that its vote is no longer missed.
2. While there are too few voters, a learner that has caught up is promoted.
3. A voter that has been silent for long is removed once a learner that has
   caught up can take its place.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Final
from typing import Literal

# A restart or a partition of seconds must not cost a replica its vote.
LOST_AFTER_MS: Final = 10_000
# A learner that answered within this time can vote at once.
ANSWERS_WITHIN_MS: Final = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberView:
    """A member as the leader sees it, in order of joining.

    Attributes:
        id: ID of the replica.
        address: Where it is dialled.
        voter: Whether it votes.
        silent_ms: Time since it last answered; 0 for the leader.
        caught_up: Whether it has all but the newest entry.
    """

    id: str
    address: str
    voter: bool
    silent_ms: int
    caught_up: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A change of the members.

    Attributes:
        action: What to do.
        member: ID of the replica it is done to.
    """

    action: Literal["promote", "remove"]
    member: str


def wanted_voters(members: int, tolerated: int) -> int:
    """Returns how many voters a group of this size wants; an odd number."""
    most = members if members % 2 else members - 1
    return max(1, min(2 * tolerated + 1, most))


def next_change(
    members: Sequence[MemberView], *, tolerated: int
) -> Change | None:
    """Returns the next change; None if nothing is to be done.

    Args:
        members: All members in order of joining.
        tolerated: How many replicas may be lost at the same time.
    """
    replaced = _replaced(members)
    if replaced is not None:
        return Change(action="remove", member=replaced)
    voters = [member for member in members if member.voter]
    ready = next(
        (
            member
            for member in members
            if not member.voter
            and member.caught_up
            and member.silent_ms <= ANSWERS_WITHIN_MS
        ),
        None,
    )
    if ready is None:
        return None
    if len(voters) < wanted_voters(len(members), tolerated):
        return Change(action="promote", member=ready.id)
    lost = max(voters, key=lambda member: member.silent_ms)
    if lost.silent_ms > LOST_AFTER_MS:
        return Change(action="remove", member=lost.id)
    return None


def _replaced(members: Iterable[MemberView]) -> str | None:
    """Returns a member whose address a later one has taken over."""
    newest = {member.address: member.id for member in members}
    return next(
        (
            member.id
            for member in members
            if newest[member.address] != member.id
        ),
        None,
    )
