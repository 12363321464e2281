"""Changes of the members of a group, on its leader.

A replica joins as a learner, is promoted when it has caught up, and a lost one
is removed; one change at a time. Each change is refused, before anything is
done, if it could cost the group its majority.
"""

from typing import Final

from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.coordination.log import leader_state
from bamboorouter.coordination.log import membership
from bamboorouter.protocol import membership as members_protocol

# An entry is one flush; more than one missing means it is still catching up.
CAUGHT_UP_ENTRIES: Final = 1
ANSWERS_WITHIN_MS: Final = 1000
_STEP: Final = "change members"


def add_learner(
    led: leader_state.LeaderState, *, replica_id: str, address: str
) -> members_protocol.Members | None:
    """Returns the list with a learner added; None if it is in it.

    Raises:
        RefusedError: Another change is under way.
    """
    members = led.state.members.current
    if members.find(replica_id) is not None:
        return None
    _require_settled(led)
    return membership.with_learner(
        members, replica_id=replica_id, address=address
    )


def promote(
    led: leader_state.LeaderState, *, replica_id: str
) -> members_protocol.Members | None:
    """Returns the list with a learner promoted; None if it votes already.

    Raises:
        RefusedError: It is no member or hasn't caught up, or another change
            is under way.
    """
    members = led.state.members.current
    if members.find(replica_id) is None:
        raise _refused(error_texts.NO_SUCH_MEMBER, replica=replica_id)
    if members.is_voter(replica_id):
        return None
    _require_settled(led)
    lag = led.state.commit - led.followers[replica_id].match
    if lag > CAUGHT_UP_ENTRIES:
        raise _refused(error_texts.NOT_CAUGHT_UP, replica=replica_id, lag=lag)
    return membership.with_voter(members, replica_id=replica_id)


def remove(
    led: leader_state.LeaderState, *, replica_id: str, now: int
) -> members_protocol.Members | None:
    """Returns the list without a replica; None if it isn't in it.

    Raises:
        RefusedError: The remaining voters that answer are no majority, or
            another change is under way.
    """
    members = led.state.members.current
    if members.find(replica_id) is None:
        return None
    _require_settled(led)
    changed = membership.without(members, replica_id=replica_id)
    voters = changed.voters()
    alive = sum(_answers(led, voter, now) for voter in voters)
    if not voters or alive < changed.quorum():
        raise _refused(
            error_texts.QUORUM_AT_RISK,
            replica=replica_id,
            alive=alive,
            voters=len(voters),
        )
    return changed


def _answers(led: leader_state.LeaderState, replica_id: str, now: int) -> bool:
    if replica_id == led.state.id:
        return True
    heard = led.followers[replica_id].acknowledged_ms
    return now - heard <= ANSWERS_WITHIN_MS


def _require_settled(led: leader_state.LeaderState) -> None:
    if not led.may_change_members():
        raise _refused(error_texts.MEMBERS_BUSY)


def _refused(code: str, **values: object) -> errors.RefusedError:
    return errors.RefusedError(
        code=code, text=error_texts.text_for(code, **values), step=_STEP
    )
