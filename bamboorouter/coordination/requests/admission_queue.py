"""Admission control: bounded queues of requests that wait in the entry.

Each service has one queue. The number of waiting requests is bounded for each
urgency. When a request arrives at the bound, the lengths of the queues of its
urgency are compared, each divided by the share of its team. The newest request
of the longest queue is refused to admit the arriving one. If the arriving
request would make its own queue at least as long, it is refused itself.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
from typing import Final

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import metrics
from bamboorouter.coordination.policies import admission
from bamboorouter.coordination.policies import fairness
from bamboorouter.protocol import common

# Weight of a new sample in the moving average of service times.
SERVICE_TIME_WEIGHT: Final = 0.1


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Refused:
    """Why a request was not admitted.

    Attributes:
        code: Code from `error_texts`.
        retry_after_ms: Time in ms after which a retry may succeed.
    """

    code: str
    retry_after_ms: int


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Waiter:
    """A waiting request.

    Attributes:
        number: Arrival number.
        decided: Set to the code of the refusal, or to "" when the request
            starts.
    """

    number: int
    decided: "asyncio.Future[str]"


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Queue:
    """Waiting requests of one service.

    Attributes:
        state: State of the queue for the policies.
        waiters: Waiting requests in order of arrival.
    """

    state: fairness.ServiceQueue
    waiters: collections.deque[_Waiter]


class AdmissionQueue:
    """Decides when each request starts.

    Attributes:
        queue_limit: Maximum number of waiting requests for each urgency.
        limit: Returns the maximum number of requests in progress for a
            service, or for all services together if the name is empty.
    """

    def __init__(
        self,
        *,
        queue_limit: int,
        limit: Callable[[str], int],
        time: clock.Clock,
        fairness_policy: fairness.FairnessPolicy,
        admission_policy: admission.AdmissionPolicy,
    ) -> None:
        self.queue_limit = queue_limit
        self.limit = limit
        self._clock = time
        self._fairness_policy = fairness_policy
        self._admission_policy = admission_policy
        self._queues: dict[str, _Queue] = {}
        self._waiting_by_urgency: collections.Counter[int] = (
            collections.Counter()
        )
        self._in_progress = fairness.InProgressCounts()
        self._numbers = itertools.count(1)
        self._waiting = 0

    def in_progress(self, service: str = "") -> int:
        """Returns the number of requests in progress.

        Args:
            service: Name of the service; empty for all services.
        """
        if service:
            queue = self._queues.get(service)
            return queue.state.in_progress if queue is not None else 0
        return self._in_progress.latency_critical + self._in_progress.batch

    async def enter(
        self, row: common.SheetRow, *, remaining_ms: int
    ) -> Refused | None:
        """Waits until a request may start.

        Args:
            row: Sheet row of the request's service.
            remaining_ms: Time to the deadline in ms.

        Returns:
            None if the request may start; the caller must then call `leave`.
            Otherwise the refusal.
        """
        queue = self._queue(row)
        if not queue.waiters and self._below_limits(queue.state):
            # Every non-empty queue is blocked by a limit, so no waiting request
            # that could start is overtaken.
            self._start(queue.state)
            return None
        return await self._wait(queue, remaining_ms)

    def leave(self, row: common.SheetRow, *, elapsed_ms: float) -> None:
        """Ends a request in progress and starts waiting requests.

        Args:
            row: Sheet row of the request's service.
            elapsed_ms: Time in ms since the request started.
        """
        state = self._queue(row).state
        if state.mean_duration_ms == 0.0:
            state.mean_duration_ms = elapsed_ms
        error_ms = elapsed_ms - state.mean_duration_ms
        state.mean_duration_ms += SERVICE_TIME_WEIGHT * error_ms
        state.deviation_ms += SERVICE_TIME_WEIGHT * (
            abs(error_ms) - state.deviation_ms
        )
        state.in_progress -= 1
        self._count_in_progress(state, -1)
        if self._waiting:
            self.start_waiting()

    def start_waiting(self) -> None:
        """Starts waiting requests up to the limits."""
        while self._waiting:
            ready = [
                queue.state
                for queue in self._queues.values()
                if queue.waiters and self._below_limits(queue.state)
            ]
            if not ready:
                return
            self._in_progress.limit = self.limit("")
            state = self._fairness_policy.choose(ready, self._in_progress)
            waiter = self._remove_waiter(
                self._queues[state.service], newest=False
            )
            if not waiter.decided.done():
                self._start(state)
                waiter.decided.set_result("")

    async def _wait(self, queue: _Queue, remaining_ms: int) -> Refused | None:
        state = queue.state
        expected = self._admission_policy.expected_wait_ms(
            state,
            [other.state for other in self._queues.values() if other.waiters],
            limit=self.limit(state.service),
        )
        if expected > self._admission_policy.allowed_wait_ms(
            state, remaining_ms=remaining_ms
        ):
            return Refused(
                code=error_texts.DEADLINE, retry_after_ms=int(expected)
            )
        if not self._make_room(state):
            return Refused(
                code=error_texts.QUEUE_FULL, retry_after_ms=int(expected)
            )
        waiter = self._add_waiter(queue)
        code = await self._await_decision(queue, waiter, remaining_ms)
        return (
            Refused(code=code, retry_after_ms=int(expected)) if code else None
        )

    async def _await_decision(
        self, queue: _Queue, waiter: _Waiter, remaining_ms: int
    ) -> str:
        started = self._clock.now()
        try:
            await asyncio.wait(
                [waiter.decided], timeout=clock.seconds(remaining_ms)
            )
        except asyncio.CancelledError:
            if not waiter.decided.done():
                self._discard_waiter(queue, waiter)
            elif not waiter.decided.result():
                queue.state.in_progress -= 1
                self._count_in_progress(queue.state, -1)
                self.start_waiting()
            raise
        metrics.QUEUE_SECONDS.labels(
            queue.state.team, str(queue.state.urgency)
        ).observe(clock.seconds(self._clock.now() - started))
        if waiter.decided.done():
            return waiter.decided.result()
        self._discard_waiter(queue, waiter)
        return error_texts.DEADLINE

    def _queue(self, row: common.SheetRow) -> _Queue:
        queue = self._queues.get(row.name)
        if queue is None:
            queue = _Queue(
                state=fairness.ServiceQueue(
                    service=row.name,
                    team=row.owner,
                    share=row.share,
                    urgency=row.urgency,
                    place=row.place,
                ),
                waiters=collections.deque(),
            )
            self._queues[row.name] = queue
        return queue

    def update_rows(self, rows: dict[str, common.SheetRow]) -> None:
        """Applies the owners, shares, urgencies and places of a revision.

        Queues of removed services are deleted once they are unused.
        """
        for name, queue in list(self._queues.items()):
            row = rows.get(name)
            state = queue.state
            if row is not None:
                self._count_in_progress(state, -state.in_progress)
                self._waiting_by_urgency[state.urgency] -= state.waiting
                state.team, state.share = row.owner, row.share
                state.urgency, state.place = row.urgency, row.place
                self._waiting_by_urgency[state.urgency] += state.waiting
                self._count_in_progress(state, state.in_progress)
            elif not state.waiting and not state.in_progress:
                del self._queues[name]
        self.start_waiting()

    def _below_limits(self, state: fairness.ServiceQueue) -> bool:
        return self.in_progress() < self.limit(
            ""
        ) and state.in_progress < self.limit(state.service)

    def _start(self, state: fairness.ServiceQueue) -> None:
        state.in_progress += 1
        self._count_in_progress(state, 1)
        self._fairness_policy.started(state)

    def _count_in_progress(
        self, state: fairness.ServiceQueue, change: int
    ) -> None:
        if state.latency_critical():
            self._in_progress.latency_critical += change
        else:
            self._in_progress.batch += change

    def _make_room(self, state: fairness.ServiceQueue) -> bool:
        """Makes room in a queue, by refusing another request if necessary.

        Returns:
            Whether a request may join the queue.
        """
        if self._waiting_by_urgency[state.urgency] < self.queue_limit:
            return True
        longest = max(
            (
                queue
                for queue in self._queues.values()
                if queue.waiters and queue.state.urgency == state.urgency
            ),
            key=lambda queue: queue.state.waiting / max(queue.state.share, 1),
        )
        longest_ratio = longest.state.waiting / max(longest.state.share, 1)
        if longest_ratio <= (state.waiting + 1) / max(state.share, 1):
            return False
        waiter = self._remove_waiter(longest, newest=True)
        if not waiter.decided.done():
            waiter.decided.set_result(error_texts.QUEUE_FULL)
        return True

    def _add_waiter(self, queue: _Queue) -> _Waiter:
        waiter = _Waiter(
            number=next(self._numbers),
            decided=asyncio.get_running_loop().create_future(),
        )
        queue.waiters.append(waiter)
        self._update_counts(queue, 1)
        return waiter

    def _remove_waiter(self, queue: _Queue, *, newest: bool) -> _Waiter:
        waiter = queue.waiters.pop() if newest else queue.waiters.popleft()
        self._update_counts(queue, -1)
        return waiter

    def _discard_waiter(self, queue: _Queue, waiter: _Waiter) -> None:
        queue.waiters.remove(waiter)
        self._update_counts(queue, -1)

    def _update_counts(self, queue: _Queue, change: int) -> None:
        self._waiting += change
        self._waiting_by_urgency[queue.state.urgency] += change
        queue.state.waiting += change
        if queue.waiters:
            queue.state.oldest = queue.waiters[0].number
