"""Commands that wait for their result on the leader.

Commands wait in a queue until they are put into an entry together (group
commit); then the entry waits until it is applied. What is known about a
command when leadership ends decides its error: one still in the queue was
certainly not proposed.
"""

import asyncio
import collections
import dataclasses
import itertools
from typing import Final

from bamboorouter import errors
from bamboorouter.protocol import commands

QUEUE_LIMIT: Final = 4096


@dataclasses.dataclass(kw_only=True, eq=False)
class Waiting:
    """A command and where its result goes.

    Attributes:
        command: The command; None for a change of members.
        size: Encoded size in bytes.
        result: Receives the result or an error.
        index: Index of its entry; 0 while it is in the queue.
    """

    command: commands.Command | None
    size: int
    result: "asyncio.Future[commands.Result]"
    index: int = 0


class Proposals:
    """Queue and open entries of the leader.

    Attributes:
        queue: Commands in no entry yet.
        open: Commands of each entry that isn't applied yet, by index.
    """

    def __init__(self, *, batch_limit: int, batch_bytes: int) -> None:
        self.queue: collections.deque[Waiting] = collections.deque()
        self.open: dict[int, list[Waiting]] = {}
        self._batch_limit = batch_limit
        self._batch_bytes = batch_bytes

    def next_batch(self) -> list[Waiting]:
        """Takes the commands of the next entry from the queue."""
        batch: list[Waiting] = []
        size = 0
        while self.queue and len(batch) < self._batch_limit:
            size += self.queue[0].size
            if batch and size > self._batch_bytes:
                break
            batch.append(self.queue.popleft())
        return batch

    def opened(self, index: int, batch: list[Waiting]) -> None:
        """Notes that an entry with these commands was appended."""
        for waiting in batch:
            waiting.index = index
        self.open[index] = batch

    def applied(self, index: int, results: list[commands.Result]) -> None:
        """Passes the results of an applied entry on."""
        batch = self.open.pop(index, [])
        if batch and not results:
            # An entry without commands, such as a change of members.
            results = [commands.Result(ok=True)] * len(batch)
        for waiting, result in zip(batch, results, strict=False):
            if not waiting.result.done():
                waiting.result.set_result(result)

    def withdraw(self, waiting: Waiting) -> bool:
        """Removes a command that is in no entry yet; False if it's in one."""
        if waiting.index:
            return False
        self.queue.remove(waiting)
        return True

    def fail_all(self, *, leader: str) -> None:
        """Ends all waiting, because this replica no longer leads."""
        for waiting in self.queue:
            _fail(waiting, errors.NotLeaderError(leader=leader, step="propose"))
        for waiting in itertools.chain.from_iterable(self.open.values()):
            _fail(
                waiting,
                errors.UnknownResultError(
                    text="leadership ended before the command was applied",
                    step="propose",
                ),
            )
        self.queue.clear()
        self.open.clear()


def _fail(waiting: Waiting, error: errors.RouterError) -> None:
    if not waiting.result.done():
        waiting.result.set_exception(error)
