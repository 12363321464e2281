"""Tracks which member list is in force at which index of the log.

The newest member list in the log is in force as soon as it is appended, before
it is committed. Successive lists differ by one replica, so that their majorities
always overlap.
"""

from collections.abc import Iterable

from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.state import records


class MemberHistory:
    """Member lists by the index of their entry.

    Attributes:
        current: The list in force.
        changed_index: Index of the entry with the list in force; 0 if there is
            none.
        voters: IDs of the voters in force; cached because every commit needs
            them.
        quorum: Number of voters that form a majority.
    """

    current: membership.Members
    changed_index: int
    voters: tuple[str, ...]
    quorum: int

    def __init__(
        self,
        *,
        base: records.LogPosition,
        members: membership.Members,
        stored: Iterable[records.StoredEntry],
    ) -> None:
        """Creates the history from a snapshot and the log after it.

        Args:
            base: Position that the snapshot covers; index 0 without a snapshot.
            members: Member list of the snapshot; empty without a snapshot.
            stored: Entries of the log after `base`.
        """
        self._lists: list[tuple[int, membership.Members]] = [
            (base.index, members)
        ]
        self._apply_newest()
        for item in stored:
            self.append(item.entry)

    def append(self, entry: messages.LogEntry) -> bool:
        """Processes a new entry; returns whether it is a member list."""
        if entry.kind != messages.KIND_MEMBERS:
            return False
        self._lists.append(
            (entry.index, membership.CODEC.decode(entry.payload))
        )
        self._apply_newest()
        return True

    def truncate(self, last_index: int) -> None:
        """Removes the lists of entries after `last_index`."""
        while len(self._lists) > 1 and self._lists[-1][0] > last_index:
            self._lists.pop()
        self._apply_newest()

    def at(self, index: int) -> membership.Members:
        """Returns the list in force at an index."""
        return next(
            members
            for changed_index, members in reversed(self._lists)
            if changed_index <= index
        )

    def reset(self, index: int, members: membership.Members) -> None:
        """Replaces all lists with the member list of a snapshot."""
        self._lists = [(index, members)]
        self._apply_newest()

    def forget_before(self, index: int) -> None:
        """Removes the lists that a snapshot at `index` makes obsolete."""
        while len(self._lists) > 1 and self._lists[1][0] <= index:
            self._lists.pop(0)

    def _apply_newest(self) -> None:
        self.changed_index, self.current = self._lists[-1]
        self.voters = self.current.voters()
        self.quorum = self.current.quorum()


def with_learner(
    members: membership.Members, *, replica_id: str, address: str
) -> membership.Members:
    """Returns the member list with a learner added."""
    learner = membership.Member(id=replica_id, address=address, voter=False)
    return membership.Members(members=(*members.members, learner))


def with_voter(
    members: membership.Members, *, replica_id: str
) -> membership.Members:
    """Returns the member list with a learner promoted to a voter."""
    return _with_vote(members, replica_id=replica_id, voter=True)


def without_vote(
    members: membership.Members, *, replica_id: str
) -> membership.Members:
    """Returns the member list with a voter demoted to a learner."""
    return _with_vote(members, replica_id=replica_id, voter=False)


def without_member(
    members: membership.Members, *, replica_id: str
) -> membership.Members:
    """Returns the member list without a replica."""
    return membership.Members(
        members=tuple(m for m in members.members if m.id != replica_id)
    )


def _with_vote(
    members: membership.Members, *, replica_id: str, voter: bool
) -> membership.Members:
    return membership.Members(
        members=tuple(
            membership.Member(
                id=member.id,
                address=member.address,
                voter=voter if member.id == replica_id else member.voter,
            )
            for member in members.members
        )
    )
