"""Delivers records of requests to the leader for accounting.

Dispatched requests are counted by second, service, team, urgency, outcome and
code. Refusals are recorded individually up to a bound; further ones are counted
like dispatched requests, so that none is missing. Batches have sequence
numbers: an unconfirmed batch is sent again with the same number, and the leader
records it once.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import itertools
from typing import Final
from typing import Protocol

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import supervision
from bamboorouter.coordination.requests import caller_requests
from bamboorouter.protocol import messages

DELIVERY_PERIOD_MS: Final = 1_000
DELIVERY_TIMEOUT_MS: Final = 2_000
MAX_BATCH_RECORDS: Final = 500
MAX_REFUSAL_RECORDS: Final = 5_000
# Beyond this many counters, requests are counted by hour instead of by second
# to bound the memory.
MAX_COUNTERS: Final = 20_000
COARSE_PERIOD_S: Final = 3_600

# Second, service, team, urgency, outcome and code.
_Key = tuple[int, str, str, int, str, str]


class Leader(Protocol):
    """Interface for calls to the leader; `ControlClient` implements it."""

    async def call(
        self,
        message: messages.Message,
        *,
        timeout_ms: int,
        is_refusal: Callable[[messages.Message], bool] = ...,
    ) -> messages.Message:
        """Sends a message to the leader until it is answered.

        Raises:
            RequestTimeoutError: No leader answered in time; the call may have
                been executed.
            UnknownResultError: The answer is one for which `is_refusal` is
                true, but an earlier attempt may still be executed.
        """
        ...


class RequestRecorder:
    """Collects records and delivers them to the leader.

    Attributes:
        entry: Name of the entry.
        incarnation: Random number that identifies this run of the entry.
        leader: Client for calls to the leader.
        clock: Source of time.
    """

    def __init__(
        self, *, entry: str, incarnation: int, leader: Leader, time: clock.Clock
    ) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.leader = leader
        self.clock = time
        self._counts: collections.Counter[_Key] = collections.Counter()
        self._refusals: collections.deque[messages.RequestRecord] = (
            collections.deque()
        )
        self._batch: messages.RequestRecords | None = None
        self._sequence = 0
        self._sender: asyncio.Task[None] | None = None

    def add(
        self,
        request: caller_requests.CallerRequest,
        reply: caller_requests.Reply,
    ) -> None:
        """Records the outcome of a request."""
        second = self.clock.wall() // clock.MS_PER_SECOND
        row = request.row
        if (
            reply.outcome == "not_run"
            and len(self._refusals) < MAX_REFUSAL_RECORDS
        ):
            self._refusals.append(
                messages.RequestRecord(
                    second=second,
                    service=row.name,
                    team=row.owner,
                    urgency=row.urgency,
                    outcome=reply.outcome,
                    code=reply.code,
                    count=1,
                    request_id=request.request_id,
                )
            )
            return
        if len(self._counts) >= MAX_COUNTERS:
            second -= second % COARSE_PERIOD_S
        self._counts[
            (
                second,
                row.name,
                row.owner,
                row.urgency,
                reply.outcome,
                reply.code,
            )
        ] += 1

    def undelivered(self) -> int:
        """Returns the number of unconfirmed records."""
        batch = len(self._batch.records) if self._batch else 0
        return batch + len(self._counts) + len(self._refusals)

    def start(self) -> None:
        """Starts the periodic delivery of batches."""
        self._sender = supervision.start(self._deliver_periodically)

    async def stop(self, *, timeout_ms: int) -> None:
        """Delivers the remaining records within a time limit in ms."""
        if self._sender is not None:
            self._sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sender
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                while self.undelivered():
                    await self._deliver()

    async def _deliver_periodically(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(DELIVERY_PERIOD_MS))
            while self.undelivered() and await self._deliver():
                pass

    async def _deliver(self) -> bool:
        """Sends one batch; returns whether it was confirmed."""
        batch = self._batch or self._next_batch()
        self._batch = batch
        try:
            reply = await self.leader.call(
                batch, timeout_ms=DELIVERY_TIMEOUT_MS
            )
        except errors.RouterError:
            return False
        if (
            not isinstance(reply, messages.Recorded)
            or reply.sequence != batch.sequence
        ):
            await asyncio.sleep(clock.seconds(DELIVERY_PERIOD_MS))
            return False
        self._batch = None
        return True

    def _next_batch(self) -> messages.RequestRecords:
        self._sequence += 1
        keys = list(itertools.islice(self._counts, MAX_BATCH_RECORDS))
        records = [
            messages.RequestRecord(
                second=key[0],
                service=key[1],
                team=key[2],
                urgency=key[3],
                outcome=key[4],  # type: ignore[arg-type]
                code=key[5],
                count=self._counts.pop(key),
            )
            for key in keys
        ]
        while self._refusals and len(records) < MAX_BATCH_RECORDS:
            records.append(self._refusals.popleft())
        return messages.RequestRecords(
            entry=self.entry,
            incarnation=self.incarnation,
            sequence=self._sequence,
            records=tuple(records),
        )
