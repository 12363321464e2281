"""Computes what a leader knows about the members of its group.

A member that hasn't answered this leader yet counts as silent since the leader's
election or since it joined, whichever is later.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.policies import member_repair
from bamboorouter.protocol import membership


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

    def compute(
        self,
        members: Sequence[membership.Member],
        *,
        term: int,
        lag: Mapping[str, int],
        silent_ms: Mapping[str, int],
        now: int,
    ) -> list[member_repair.MemberView]:
        """Returns a view of each member in the order of joining.

        Args:
            members: Members in force.
            term: Term that this replica leads.
            lag: Number of entries that each other member lacks, by ID.
            silent_ms: Age of the newest message that each other member has
                answered, in ms, by ID.
            now: Current monotonic time in ms.
        """
        if term != self.term:
            self.term = term
            self.leading_since_ms = now
            self._known_since_ms = {}
        self._known_since_ms = {
            member.id: self._known_since_ms.get(member.id, now)
            for member in members
        }
        return [
            member_repair.MemberView(
                id=member.id,
                address=member.address,
                voter=member.voter,
                silent_ms=min(
                    silent_ms.get(member.id, 0),
                    now - self._known_since_ms[member.id],
                ),
                caught_up=lag.get(member.id, 0)
                <= member_changes.MAX_CAUGHT_UP_LAG,
            )
            for member in members
        ]
