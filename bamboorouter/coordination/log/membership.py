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
        voters: IDs of its voters; kept because every commit needs them.
        quorum: How many voters make a majority.
    """

    current: membership.Members
    changed_at: int
    voters: tuple[str, ...]
    quorum: int

    def __init__(
        self,
        *,
        base: records.LogPosition,
        members: membership.Members,
        stored: Iterable[records.StoredEntry],
    ) -> None:
        self._lists: list[tuple[int, membership.Members]] = [
            (base.index, members)
        ]
        self._use_newest()
        for item in stored:
            self.append(item.entry)

    def append(self, entry: messages.LogEntry) -> bool:
        """Takes note of a new entry; returns whether it changes members."""
        if entry.kind != messages.KIND_MEMBERS:
            return False
        self._lists.append(
            (entry.index, membership.CODEC.decode(entry.payload))
        )
        self._use_newest()
        return True

    def truncate(self, last_index: int) -> None:
        """Forgets lists of entries after `last_index`."""
        while len(self._lists) > 1 and self._lists[-1][0] > last_index:
            self._lists.pop()
        self._use_newest()

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
        self._use_newest()

    def forget_before(self, index: int) -> None:
        """Drops lists that a snapshot at `index` makes superfluous."""
        while len(self._lists) > 1 and self._lists[1][0] <= index:
            self._lists.pop(0)

    def _use_newest(self) -> None:
        self.changed_at, self.current = self._lists[-1]
        self.voters = self.current.voters()
        self.quorum = self.current.quorum()


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
