"""Defines the interface of the replicated log for the schedulers.

`replica.Replica` implements it. Scheduler tests use a fake that applies each
command immediately.
"""

import dataclasses
from typing import Protocol

import reactivex

from bamboorouter.protocol import commands
from bamboorouter.state import machine


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leadership:
    """The leadership as one replica sees it.

    Attributes:
        leads: Whether this replica leads and has applied the first entry of its
            term.
        term: Term of the leader.
        leader_address: Address of the leader; empty if unknown.
    """

    leads: bool
    term: int
    leader_address: str


class ReplicatedLog(Protocol):
    """One replica of the log, with its state machine.

    Attributes:
        machine: State machine with all applied entries; read-only for callers.
        applied: Emits the index of each entry after it was applied.
        leadership: Emits the current leadership and each change.
    """

    machine: machine.Machine
    applied: "reactivex.Observable[int]"
    leadership: "reactivex.Observable[Leadership]"

    def lease_valid(self) -> bool:
        """Whether this replica leads and heard a quorum within 800 ms.

        Decisions, renewals and reads are allowed only while this holds. It is
        False until the first entry of the leader's own term is applied.
        """
        ...

    def term(self) -> int:
        """Returns the current term."""
        ...

    def leader_address(self) -> str:
        """Returns the address of the leader; empty if unknown."""
        ...

    async def propose(
        self, command: commands.Command, *, timeout_ms: int
    ) -> commands.Result:
        """Commits and applies a command.

        Commands that arrive while an entry is being written share the next
        entry (group commit).

        Args:
            command: The command.
            timeout_ms: Longest wait for the result, in ms.

        Returns:
            The result of applying the command.

        Raises:
            NotLeaderError: Nothing was proposed.
            UnknownResultError: The command was proposed, but its result isn't
                known.
        """
        ...
