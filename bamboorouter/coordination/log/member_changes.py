"""Validates membership changes on the leader and computes the new member list.

A replica joins as a learner and is promoted to a voter once it has caught up. A
silent voter is demoted to a learner, and a lost replica is removed. Only one change
may be uncommitted at a time. A change that could cost the group its majority is
refused before anything is proposed.
"""

from typing import Final

from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.coordination.log import progress
from bamboorouter.protocol import membership as members_protocol

# A follower that keeps up with a busy leader lacks no more entries than messages
# may be in flight to it.
MAX_CAUGHT_UP_LAG: Final = progress.MAX_IN_FLIGHT
RESPONSIVE_WITHIN_MS: Final = 1000
_STEP: Final = "change members"


def add_learner(
    leader: leader_state.LeaderState, *, replica_id: str, address: str
) -> members_protocol.Members | None:
    """Returns the member list with a learner added.

    Returns:
        The new member list; None if the replica is a member already.

    Raises:
        RefusedError: Another change is not committed yet.
    """
    members = leader.state.members.current
    if members.find(replica_id) is not None:
        return None
    _require_no_pending_change(leader)
    return membership.with_learner(
        members, replica_id=replica_id, address=address
    )


def promote(
    leader: leader_state.LeaderState, *, replica_id: str, now: int
) -> members_protocol.Members | None:
    """Returns the member list with a learner promoted to a voter.

    Returns:
        The new member list; None if the replica is a voter already.

    Raises:
        RefusedError: The replica is no member or hasn't caught up, fewer than a
            majority of the voters would answer, or another change is not
            committed yet.
    """
    members = leader.state.members.current
    if members.find(replica_id) is None:
        raise _refused(error_texts.NO_SUCH_MEMBER, replica=replica_id)
    if members.is_voter(replica_id):
        return None
    _require_no_pending_change(leader)
    lag = leader.state.commit - leader.followers[replica_id].match
    if lag > MAX_CAUGHT_UP_LAG:
        raise _refused(error_texts.NOT_CAUGHT_UP, replica=replica_id, lag=lag)
    changed = membership.with_voter(members, replica_id=replica_id)
    _require_quorum(leader, changed, replica_id=replica_id, now=now)
    return changed


def demote(
    leader: leader_state.LeaderState, *, replica_id: str, now: int
) -> members_protocol.Members | None:
    """Returns the member list with a voter demoted to a learner.

    Returns:
        The new member list; None if the replica is no voter.

    Raises:
        RefusedError: Fewer than a majority of the remaining voters answer, or
            another change is not committed yet.
    """
    members = leader.state.members.current
    if not members.is_voter(replica_id):
        return None
    _require_no_pending_change(leader)
    changed = membership.without_vote(members, replica_id=replica_id)
    _require_quorum(leader, changed, replica_id=replica_id, now=now)
    return changed


def remove(
    leader: leader_state.LeaderState, *, replica_id: str, now: int
) -> members_protocol.Members | None:
    """Returns the member list without a replica.

    Returns:
        The new member list; None if the replica is no member.

    Raises:
        RefusedError: Fewer than a majority of the remaining voters answer, or
            another change is not committed yet.
    """
    members = leader.state.members.current
    if members.find(replica_id) is None:
        return None
    _require_no_pending_change(leader)
    changed = membership.without_member(members, replica_id=replica_id)
    _require_quorum(leader, changed, replica_id=replica_id, now=now)
    return changed


def _require_quorum(
    leader: leader_state.LeaderState,
    changed: members_protocol.Members,
    *,
    replica_id: str,
    now: int,
) -> None:
    """Refuses a change after which no majority of the voters would answer."""
    voters = changed.voters()
    responsive = sum(_is_responsive(leader, voter, now) for voter in voters)
    if not voters or responsive < changed.quorum():
        raise _refused(
            error_texts.QUORUM_AT_RISK,
            replica=replica_id,
            alive=responsive,
            voters=len(voters),
        )


def _is_responsive(
    leader: leader_state.LeaderState, replica_id: str, now: int
) -> bool:
    if replica_id == leader.state.id:
        return True
    last_contact_ms = leader.followers[replica_id].acknowledged_ms
    return now - last_contact_ms <= RESPONSIVE_WITHIN_MS


def _require_no_pending_change(leader: leader_state.LeaderState) -> None:
    if not leader.may_change_members():
        raise _refused(error_texts.MEMBERS_BUSY)


def _refused(code: str, **values: object) -> errors.RefusedError:
    return errors.RefusedError(
        code=code, text=error_texts.text_for(code, **values), step=_STEP
    )
