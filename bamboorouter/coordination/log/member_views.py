"""Computes what a leader knows about the members of its group.

A member is silent since its last answer. One that has answered no message of this
leader is silent since the leader's election or since it joined, whichever is later,
with two exceptions. A leader that is elected again, and has followed no other
leader meanwhile, remembers the answers of its earlier term. A leader also knows
when it last heard the leader that it followed before. These two get
`ANSWER_TIMEOUT_MS` from the election to answer.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.log import progress
from bamboorouter.coordination.policies import member_repair
from bamboorouter.protocol import membership

ANSWER_TIMEOUT_MS: Final = 500
# Any earlier time stands for `progress.NEVER_MS`, less the age of the status.
_UNHEARD_MS: Final = progress.NEVER_MS // 2


class MemberViews:
    """Views of all members during the terms that a replica leads.

    Attributes:
        term: Term of the newest views.
        leading_since_ms: When the first views of that term were computed, in ms
            of the monotonic clock.
    """

    def __init__(self) -> None:
        self.term = 0
        self.leading_since_ms = 0
        self._known_since_ms: dict[str, int] = {}
        # When each member was last heard, as far as known.
        self._heard_ms: dict[str, int] = {}

    def compute(
        self,
        members: Sequence[membership.Member],
        *,
        term: int,
        lag: Mapping[str, int],
        silent_ms: Mapping[str, int],
        former_leader_silent_ms: Mapping[str, int],
        now: int,
    ) -> list[member_repair.MemberView]:
        """Returns a view of each member in the order of joining.

        Args:
            members: Members in force.
            term: Term that this replica leads.
            lag: Number of entries that each other member lacks, by ID.
            silent_ms: Age of the newest message that each other member has
                answered, in ms, by ID.
            former_leader_silent_ms: Time since the former leader was heard, in
                ms, by its ID; empty if this replica followed none since it
                last led.
            now: Current monotonic time in ms.
        """
        if term != self.term:
            self._begin_term(term, former_leader_silent_ms, now)
        self._known_since_ms = {
            member.id: self._known_since_ms.get(member.id, now)
            for member in members
        }
        self._heard_ms = {
            member.id: max(
                self._heard_ms.get(member.id, progress.NEVER_MS),
                now - silent_ms.get(member.id, 0),
            )
            for member in members
        }
        return [
            member_repair.MemberView(
                id=member.id,
                address=member.address,
                voter=member.voter,
                silent_ms=self._silent_ms(member.id, now),
                caught_up=lag.get(member.id, 0)
                <= member_changes.MAX_CAUGHT_UP_LAG,
                answered=now - silent_ms.get(member.id, 0) >= _UNHEARD_MS,
            )
            for member in members
        ]

    def _begin_term(
        self, term: int, former_leader_silent_ms: Mapping[str, int], now: int
    ) -> None:
        self.term = term
        self.leading_since_ms = now
        self._known_since_ms = {}
        if former_leader_silent_ms:
            self._heard_ms = {
                replica_id: now - silent
                for replica_id, silent in former_leader_silent_ms.items()
            }

    def _silent_ms(self, replica_id: str, now: int) -> int:
        known_ms = now - self._known_since_ms[replica_id]
        silent_ms = now - self._heard_ms[replica_id]
        if (
            self._heard_ms[replica_id] < _UNHEARD_MS
            or now - self.leading_since_ms < ANSWER_TIMEOUT_MS
        ):
            return min(silent_ms, known_ms)
        return silent_ms
