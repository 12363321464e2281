"""A bounded queue in front of a fixed number of places.

Places are given to the most urgent waiting request, in order of arrival among
equals. When the queue is full, a more urgent arrival takes the place in line of
the least urgent one, which is refused before it started.
"""

import asyncio
import dataclasses
import heapq
import itertools

from bamboorouter import clock
from bamboorouter import error_texts


@dataclasses.dataclass(kw_only=True, eq=False)
class _Waiter:
    urgency: int
    number: int
    decided: "asyncio.Future[str]"

    def __lt__(self, other: "_Waiter") -> bool:
        return (self.urgency, self.number) < (other.urgency, other.number)


class PrioritySemaphore:
    """Admits at most `limit` requests at once.

    Attributes:
        limit: Requests active at once.
        queue_limit: Requests that may wait.
        active: Requests active now.
    """

    def __init__(
        self, *, limit: int, queue_limit: int, time: clock.Clock
    ) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.active = 0
        self._clock = time
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()

    async def enter(self, *, urgency: int, wait_ms: int) -> str:
        """Waits for a place.

        Args:
            urgency: 0 is the most urgent.
            wait_ms: How long to wait at most.

        Returns:
            Empty if the caller is active and must call `leave`; otherwise the
            code of the refusal.
        """
        if self.active < self.limit:
            self.active += 1
            return ""
        if len(self._waiting) >= self.queue_limit:
            last = max(self._waiting)
            if last.urgency <= urgency:
                return error_texts.QUEUE_FULL
            self._remove(last)
            last.decided.set_result(error_texts.QUEUE_FULL)
        waiter = _Waiter(
            urgency=urgency,
            number=next(self._numbers),
            decided=asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting, waiter)
        try:
            await asyncio.wait([waiter.decided], timeout=clock.seconds(wait_ms))
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise
        if waiter.decided.done():
            return waiter.decided.result()
        self._remove(waiter)
        return error_texts.DEADLINE

    def leave(self) -> None:
        """Gives the place to the next waiting request."""
        if self._waiting:
            heapq.heappop(self._waiting).decided.set_result("")
            return
        self.active -= 1

    def _give_up(self, waiter: _Waiter) -> None:
        """Ends a cancelled wait, returning a place given just before."""
        if not waiter.decided.done():
            self._remove(waiter)
        elif not waiter.decided.result():
            self.leave()

    def _remove(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        heapq.heapify(self._waiting)
