"""Membership of a replicated group, as stored in its log."""

from typing import Final

from bamboorouter.protocol import base
from bamboorouter.protocol import codec


class Member(base.Wire, frozen=True, kw_only=True):
    """One replica of the group.

    Attributes:
        id: Random ID stored in the replica's data folder; never reused after
            the folder is lost.
        address: Address to which the other replicas connect.
        voter: Whether the replica votes and counts towards a quorum; a learner
            only receives the log.
    """

    id: str
    address: str
    voter: bool


class Members(base.Wire, frozen=True, kw_only=True):
    """All members of a group; the payload of log entries of kind 2.

    Attributes:
        members: The members.
    """

    members: tuple[Member, ...] = ()

    def find(self, replica_id: str) -> Member | None:
        """Returns the member with this ID."""
        return next((m for m in self.members if m.id == replica_id), None)

    def voters(self) -> tuple[str, ...]:
        """Returns the IDs of all voters."""
        return tuple(m.id for m in self.members if m.voter)

    def is_voter(self, replica_id: str) -> bool:
        """Whether the replica is a voting member."""
        member = self.find(replica_id)
        return member is not None and member.voter

    def quorum(self) -> int:
        """Returns the number of voters that form a majority."""
        return len(self.voters()) // 2 + 1


CODEC: Final[codec.Codec[Members]] = codec.Codec(types=Members)
