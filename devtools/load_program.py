"""Open-loop load: `python -m devtools.load_program SPEC RESULT`.

Requests arrive at random times that follow from a seed and don't depend on the
answers (a Poisson process whose rate may differ from phase to phase). The time
of a request counts from its planned arrival, so a late start of this program
or a full connection counts against the measured system and not for it. The
program stops by itself after the last phase and the time limit of a request.

The spec and the result are JSON files; `StreamSpec` and `StreamResult` are
their rows. Latencies go into HDR histograms with three significant digits.
"""

import asyncio
import collections
from collections.abc import Iterator
import json
import pathlib
import random
import sys
import time
from typing import Final

from hdrh import histogram
import msgspec

TIME_LIMIT_S: Final = 4.0
MAX_CONNECTIONS: Final = 4000
HIGHEST_US: Final = 60_000_000
QUANTILES: Final = (50.0, 99.0, 99.9)
LATE_MS: Final = 10.0

_OUTCOME: Final = b"bamboorouter-outcome: "
_LENGTH: Final = b"content-length: "


class Phase(msgspec.Struct, kw_only=True, frozen=True):
    """A rate over a time.

    Attributes:
        start_s: Begin, from the start of the load.
        end_s: End.
        rate: Requests a second.
    """

    start_s: float
    end_s: float
    rate: float


class StreamSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Requests to one service.

    Attributes:
        service: Name of the service.
        deadline_ms: Deadline of its requests.
        phases: When how many arrive.
        measured: Begin and end, in s, of the arrivals that count.
    """

    service: str
    deadline_ms: int
    phases: tuple[Phase, ...]
    measured: tuple[float, float]


class LoadSpec(msgspec.Struct, kw_only=True, frozen=True):
    """What one load process sends.

    Attributes:
        entries: Addresses of the entries, used in turn.
        seed: Seed of the arrival times.
        start_at: Value of `time.monotonic()` at which the load begins.
        streams: The streams.
    """

    entries: tuple[str, ...]
    seed: int
    start_at: float
    streams: tuple[StreamSpec, ...]


class StreamResult(msgspec.Struct, kw_only=True):
    """What happened to the requests of one stream that count.

    Attributes:
        service: Name of the service.
        sent: Requests.
        in_time: Completed within the deadline.
        late: Completed after it.
        refused: Answered `not_run`.
        lost: Answered `failed` or `unknown`, or not at all.
        answered: Encoded histogram of the time to the answer in us, of all
            requests that were not refused.
        refusals: Encoded histogram of the time to the refusal in us.
    """

    service: str
    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    answered: str = ""
    refusals: str = ""


class LoadResult(msgspec.Struct, kw_only=True):
    """Result of one load process.

    Attributes:
        streams: One for each stream.
        core_percent: Processor time it used, in percent of one core.
        late_starts: Requests that it sent over 10 ms after their time.
    """

    streams: list[StreamResult]
    core_percent: float
    late_starts: int


class _Stream:
    """Counts and histograms of one stream while it runs."""

    def __init__(self, spec: StreamSpec) -> None:
        self.spec = spec
        self.result = StreamResult(service=spec.service)
        self.answered = new_histogram()
        self.refusals = new_histogram()

    def note(self, at_s: float, outcome: bytes, took_s: float) -> None:
        """Counts a request by its planned arrival."""
        begin, end = self.spec.measured
        if not begin <= at_s < end:
            return
        result = self.result
        result.sent += 1
        took_us = max(int(took_s * 1e6), 1)
        if outcome == b"not_run":
            result.refused += 1
            self.refusals.record_value(took_us)
            return
        self.answered.record_value(took_us)
        if outcome != b"completed":
            result.lost += 1
        elif took_s * 1000 <= self.spec.deadline_ms:
            result.in_time += 1
        else:
            result.late += 1


class _Connection(asyncio.Protocol):
    """One connection that carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.answer: asyncio.Future[bytes] | None = None
        self.closed = False
        self._data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, mark, rest = self._data.partition(b"\r\n\r\n")
        if not mark or self.answer is None:
            return
        lower = head.lower()
        if len(rest) < int(_header(lower, _LENGTH) or 0):
            return
        self._data = b""
        if not self.answer.done():
            self.answer.set_result(_header(lower, _OUTCOME))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(b"")

    async def send(self, request: bytes, limit_s: float) -> bytes:
        """Returns the outcome header; empty without a whole answer."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        timer = asyncio.get_running_loop().call_later(limit_s, self._give_up)
        try:
            return await self.answer
        finally:
            timer.cancel()
            self.answer = None

    def _give_up(self) -> None:
        self.closed = True
        self.transport.abort()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(b"")


class LoadProgram:
    """Sends all streams of a spec.

    Attributes:
        spec: What to send.
        late_starts: Requests sent over 10 ms after their time.
    """

    def __init__(self, *, spec: LoadSpec) -> None:
        self.spec = spec
        self.late_starts = 0
        self._streams = [_Stream(stream) for stream in spec.streams]
        self._idle: dict[str, collections.deque[_Connection]] = {
            entry: collections.deque() for entry in spec.entries
        }
        self._open = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> LoadResult:
        """Sends everything and waits for the last answer."""
        used = time.process_time()
        arrivals = self._arrivals()
        for number, (at_s, stream) in enumerate(arrivals):
            left = self.spec.start_at + at_s - time.monotonic()
            if left > 0:
                await asyncio.sleep(left)
            entry = self.spec.entries[number % len(self.spec.entries)]
            task = asyncio.create_task(self._request(entry, stream, at_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=TIME_LIMIT_S + 1)
        elapsed = time.monotonic() - self.spec.start_at
        used = time.process_time() - used
        return LoadResult(
            streams=[_finished(stream) for stream in self._streams],
            core_percent=100 * used / elapsed,
            late_starts=self.late_starts,
        )

    def _arrivals(self) -> list[tuple[float, _Stream]]:
        found: list[tuple[float, _Stream]] = []
        for number, stream in enumerate(self._streams):
            draw = random.Random(f"{self.spec.seed}/{number}")
            for phase in stream.spec.phases:
                found.extend((at, stream) for at in _times(phase, draw))
        return sorted(found, key=lambda pair: pair[0])

    async def _request(self, entry: str, stream: _Stream, at_s: float) -> None:
        planned = self.spec.start_at + at_s
        if (time.monotonic() - planned) * 1000 > LATE_MS:
            self.late_starts += 1
        outcome = b""
        try:
            connection = await self._connection(entry)
        except OSError:
            connection = None
        if connection is not None:
            request = _request_bytes(entry, stream.spec)
            outcome = await connection.send(request, TIME_LIMIT_S)
            if connection.closed:
                self._open -= 1
            else:
                self._idle[entry].append(connection)
        stream.note(at_s, outcome, time.monotonic() - planned)

    async def _connection(self, entry: str) -> _Connection | None:
        idle = self._idle[entry]
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
            self._open -= 1
        if self._open >= MAX_CONNECTIONS:
            return None
        self._open += 1
        host, _, port = entry.rpartition(":")
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(_Connection, host, int(port))
        return made


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of times in us."""
    return histogram.HdrHistogram(1, HIGHEST_US, 3)


def decoded(text: str) -> histogram.HdrHistogram:
    """Returns a histogram from a result."""
    return histogram.HdrHistogram.decode(text)


def _finished(stream: _Stream) -> StreamResult:
    result = stream.result
    result.answered = stream.answered.encode().decode()
    result.refusals = stream.refusals.encode().decode()
    return result


def _times(phase: Phase, draw: random.Random) -> Iterator[float]:
    at = phase.start_s
    while phase.rate > 0:
        at += draw.expovariate(phase.rate)
        if at >= phase.end_s:
            return
        yield at


def _request_bytes(entry: str, spec: StreamSpec) -> bytes:
    return (
        f"POST /{spec.service}/work HTTP/1.1\r\nHost: {entry}\r\n"
        f"Bamboorouter-Deadline-Ms: {spec.deadline_ms}\r\n"
        "Content-Type: application/octet-stream\r\n"
        "Content-Length: 64\r\n\r\n"
    ).encode() + b"x" * 64


def _header(lower: bytes, name: bytes) -> bytes:
    start = lower.find(name)
    if start < 0:
        return b""
    end = lower.find(b"\r\n", start)
    value = lower[start + len(name) : end if end >= 0 else None]
    return value.strip()


def main() -> None:
    """Reads the spec, sends the load and writes the result."""
    spec_path, result_path = (pathlib.Path(name) for name in sys.argv[1:3])
    spec = msgspec.json.decode(spec_path.read_bytes(), type=LoadSpec)

    async def run() -> LoadResult:
        return await LoadProgram(spec=spec).run()

    result = asyncio.run(run())
    result_path.write_text(json.dumps(msgspec.to_builtins(result)))


if __name__ == "__main__":
    main()
