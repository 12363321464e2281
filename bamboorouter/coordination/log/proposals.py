"""Tracks proposed commands on the leader until their results are known.

Commands are queued until several are written as one entry (group commit). The
entry is in flight until it is applied. If leadership ends, a queued command
fails with NotLeaderError, because it was never proposed, and a command in
flight with UnknownResultError.
"""

import asyncio
import collections
import dataclasses
import itertools
from typing import Final

from bamboorouter import errors
from bamboorouter.coordination.log import state_bound
from bamboorouter.protocol import commands

QUEUE_LIMIT: Final = 4096
QUEUE_BYTES: Final = 16 * 1024 * 1024


@dataclasses.dataclass(kw_only=True, eq=False)
class PendingProposal:
    """A proposal and the future that receives its result.

    Attributes:
        command: The command; None for a change of members.
        size: Encoded size in bytes.
        result: Receives the result or an error.
        index: Index of the proposal's entry; 0 while it is queued.
    """

    command: commands.Command | None
    size: int
    result: "asyncio.Future[commands.Result]"
    index: int = 0

    def growth_bytes(self) -> int:
        """Returns how much the command may add to the state, in bytes."""
        if self.command is None:
            return 0
        return state_bound.added_bytes(self.command, size=self.size)


class Proposals:
    """Queued proposals and entries in flight on the leader.

    Attributes:
        queue: Proposals that belong to no entry yet.
        in_flight: Proposals of each entry that isn't applied yet, by index.
        queued_bytes: Size of the proposals in the queue.
        growth_bytes: How much all proposals may add to the state.
    """

    def __init__(self, *, batch_limit: int, batch_bytes: int) -> None:
        self.queue: collections.deque[PendingProposal] = collections.deque()
        self.in_flight: dict[int, list[PendingProposal]] = {}
        self.queued_bytes = 0
        self.growth_bytes = 0
        self._batch_limit = batch_limit
        self._batch_bytes = batch_bytes

    def is_full(self, proposal: PendingProposal) -> bool:
        """Whether the queue has no room for a proposal."""
        return len(self.queue) >= QUEUE_LIMIT or bool(
            self.queue and self.queued_bytes + proposal.size > QUEUE_BYTES
        )

    def add(self, proposal: PendingProposal) -> None:
        """Adds a proposal to the queue."""
        self.queue.append(proposal)
        self.queued_bytes += proposal.size
        self.growth_bytes += proposal.growth_bytes()

    def next_batch(self) -> list[PendingProposal]:
        """Removes the proposals of the next entry from the queue."""
        batch: list[PendingProposal] = []
        size = 0
        while self.queue and len(batch) < self._batch_limit:
            size += self.queue[0].size
            if batch and size > self._batch_bytes:
                break
            batch.append(self.queue.popleft())
        self.queued_bytes -= sum(proposal.size for proposal in batch)
        return batch

    def appended(self, index: int, batch: list[PendingProposal]) -> None:
        """Records that an entry with these proposals was appended."""
        for proposal in batch:
            proposal.index = index
        self.in_flight[index] = batch

    def applied(self, index: int, results: list[commands.Result]) -> None:
        """Resolves the proposals of an applied entry with their results."""
        batch = self.in_flight.pop(index, [])
        self.growth_bytes -= sum(p.growth_bytes() for p in batch)
        if batch and not results:
            # The entry has no commands, for example a change of members.
            results = [commands.Result(ok=True)] * len(batch)
        for proposal, result in zip(batch, results, strict=False):
            if not proposal.result.done():
                proposal.result.set_result(result)

    def withdraw(self, proposal: PendingProposal) -> bool:
        """Removes a proposal from the queue; False if it has an entry."""
        if proposal.index:
            return False
        self.queue.remove(proposal)
        self.queued_bytes -= proposal.size
        self.growth_bytes -= proposal.growth_bytes()
        return True

    def fail_all(self, *, leader: str) -> None:
        """Fails all proposals, because this replica no longer leads."""
        for proposal in self.queue:
            _fail(
                proposal, errors.NotLeaderError(leader=leader, step="propose")
            )
        for proposal in itertools.chain.from_iterable(self.in_flight.values()):
            _fail(
                proposal,
                errors.UnknownResultError(
                    text="leadership ended before the command was applied",
                    step="propose",
                ),
            )
        self.queue.clear()
        self.in_flight.clear()
        self.queued_bytes = 0
        self.growth_bytes = 0


def _fail(proposal: PendingProposal, error: errors.RouterError) -> None:
    if not proposal.result.done():
        proposal.result.set_exception(error)
