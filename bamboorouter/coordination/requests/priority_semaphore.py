"""A semaphore with a bounded priority queue.

A released slot goes to the most urgent waiting request, in order of arrival
among requests of the same urgency. When the queue is full, a more urgent
arrival replaces the least urgent waiting request, which is refused without
having started.
"""

import asyncio
import dataclasses
import heapq
import itertools

from bamboorouter import clock
from bamboorouter import error_texts


@dataclasses.dataclass(kw_only=True, eq=False)
class _Waiter:
    """A waiting request.

    Attributes:
        urgency: Urgency of the request; 0 is the most urgent.
        number: Arrival number.
        decided: Set to the code of the refusal, or to "" when the request gets
            a slot.
    """

    urgency: int
    number: int
    decided: "asyncio.Future[str]"

    def __lt__(self, other: "_Waiter") -> bool:
        return (self.urgency, self.number) < (other.urgency, other.number)


class PrioritySemaphore:
    """Admits at most `limit` requests at the same time.

    Attributes:
        limit: Maximum number of active requests.
        queue_limit: Maximum number of waiting requests.
        active: Number of active requests.
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
        """Waits for a slot.

        Args:
            urgency: Urgency of the request; 0 is the most urgent.
            wait_ms: Maximum wait in ms.

        Returns:
            Empty if the request got a slot and must call `leave`; otherwise the
            code of the refusal.
        """
        if self.active < self.limit:
            self.active += 1
            return ""
        if len(self._waiting) >= self.queue_limit:
            least_urgent = max(self._waiting)
            if least_urgent.urgency <= urgency:
                return error_texts.QUEUE_FULL
            self._remove(least_urgent)
            least_urgent.decided.set_result(error_texts.QUEUE_FULL)
        waiter = _Waiter(
            urgency=urgency,
            number=next(self._numbers),
            decided=asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting, waiter)
        try:
            await asyncio.wait([waiter.decided], timeout=clock.seconds(wait_ms))
        except asyncio.CancelledError:
            self._cancel(waiter)
            raise
        if waiter.decided.done():
            return waiter.decided.result()
        self._remove(waiter)
        return error_texts.DEADLINE

    def leave(self) -> None:
        """Releases a slot to the next waiting request, if there is one."""
        if self._waiting:
            heapq.heappop(self._waiting).decided.set_result("")
            return
        self.active -= 1

    def _cancel(self, waiter: _Waiter) -> None:
        """Cancels a wait; releases the slot if it was just granted."""
        if not waiter.decided.done():
            self._remove(waiter)
        elif not waiter.decided.result():
            self.leave()

    def _remove(self, waiter: _Waiter) -> None:
        self._waiting.remove(waiter)
        heapq.heapify(self._waiting)
