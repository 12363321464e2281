"""Records of requests on their way to the account.

Served requests are counted for each second, service, team, urgency, outcome
and code. Refusals are recorded one by one, up to a bound; beyond it they are
counted as well, so that none is missing. Batches are numbered; one that gets
no confirmation is sent again with the same number and recorded once.
"""

import asyncio
import collections
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
RECORDS_IN_BATCH: Final = 500
MAX_SINGLE_RECORDS: Final = 5_000
# Beyond this many counts, times are kept by the hour to bound the memory.
MAX_COUNTS: Final = 20_000
COARSE_SECONDS: Final = 3_600

_Key = tuple[int, str, str, int, str, str]


class Leader(Protocol):
    """The call that delivers a batch; `ControlClient` implements it."""

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a message to the leader until it is answered."""
        ...


class RequestRecorder:
    """Collects records and delivers them to the leader.

    Attributes:
        entry: Name of the entry.
        incarnation: Random number of this run of the entry.
        leader: Receives the batches.
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
        self._singles: collections.deque[messages.RequestRecord] = (
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
        """Records what happened to one request."""
        second = self.clock.wall() // clock.MS_PER_SECOND
        row = request.row
        if (
            reply.outcome == "not_run"
            and len(self._singles) < MAX_SINGLE_RECORDS
        ):
            self._singles.append(
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
        if len(self._counts) >= MAX_COUNTS:
            second -= second % COARSE_SECONDS
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
        """Returns the number of records that aren't confirmed."""
        batch = len(self._batch.records) if self._batch else 0
        return batch + len(self._counts) + len(self._singles)

    def start(self) -> None:
        """Starts to deliver batches."""
        self._sender = supervision.start(self._deliver_periodically)

    async def stop(self, *, timeout_ms: int) -> None:
        """Delivers what is left, within a time limit."""
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
        """Delivers one batch; returns whether it was confirmed."""
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
        keys = list(itertools.islice(self._counts, RECORDS_IN_BATCH))
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
        while self._singles and len(records) < RECORDS_IN_BATCH:
            records.append(self._singles.popleft())
        return messages.RequestRecords(
            entry=self.entry,
            incarnation=self.incarnation,
            sequence=self._sequence,
            records=tuple(records),
        )
