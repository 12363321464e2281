"""Which members are in force at which position of the log.

The newest member list in the log is in force as soon as it is stored, not only
once it is committed. Lists change by one replica at a time, so that any two
successive majorities share a replica.
"""

from collections.abc import Iterable

from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import records


class MemberHistory:
    """Member lists by the index of their entry.

    Attributes:
        current: The list in force.
        changed_at: Index of the entry that holds it; 0 if there is none.
    """

    def __init__(
        self,
        *,
        base: records.Base,
        members: membership.Members,
        stored: Iterable[records.StoredEntry],
    ) -> None:
        self._lists: list[tuple[int, membership.Members]] = [
            (base.index, members)
        ]
        for item in stored:
            self.append(item.entry)

    @property
    def current(self) -> membership.Members:
        """The list in force."""
        return self._lists[-1][1]

    @property
    def changed_at(self) -> int:
        """Index of the entry that holds the list in force."""
        return self._lists[-1][0]

    def append(self, entry: messages.LogEntry) -> bool:
        """Takes note of a new entry; returns whether it changes members."""
        if entry.kind != messages.KIND_MEMBERS:
            return False
        self._lists.append(
            (entry.index, membership.CODEC.decode(entry.payload))
        )
        return True

    def truncate(self, last_index: int) -> None:
        """Forgets lists of entries after `last_index`."""
        while len(self._lists) > 1 and self._lists[-1][0] > last_index:
            self._lists.pop()

    def at(self, index: int) -> membership.Members:
        """Returns the list in force at an index."""
        return next(
            members
            for changed_at, members in reversed(self._lists)
            if changed_at <= index
        )

    def reset(self, index: int, members: membership.Members) -> None:
        """Starts anew from a snapshot."""
        self._lists = [(index, members)]

    def forget_before(self, index: int) -> None:
        """Drops lists that a snapshot at `index` makes superfluous."""
        while len(self._lists) > 1 and self._lists[1][0] <= index:
            self._lists.pop(0)


def with_learner(
    members: membership.Members, *, replica_id: str, address: str
) -> membership.Members:
    """Returns the list with a learner added."""
    learner = membership.Member(id=replica_id, address=address, voter=False)
    return membership.Members(members=(*members.members, learner))


def with_voter(
    members: membership.Members, *, replica_id: str
) -> membership.Members:
    """Returns the list with a learner promoted to a voter."""
    return membership.Members(
        members=tuple(
            membership.Member(
                id=member.id,
                address=member.address,
                voter=member.voter or member.id == replica_id,
            )
            for member in members.members
        )
    )


def without(
    members: membership.Members, *, replica_id: str
) -> membership.Members:
    """Returns the list without a replica."""
    return membership.Members(
        members=tuple(m for m in members.members if m.id != replica_id)
    )
