"""Open-loop load generator: `python -m devtools.load_program SPEC RESULT`.

Requests arrive as a Poisson process, independent of the responses. The rate may
differ between phases, and the seed determines the arrival times. Latencies are
measured from the scheduled arrival, which avoids coordinated omission: a late
send increases the latency. A request counts as lost if there are already
`MAX_CONNECTIONS` connections and all are in use. The program exits after the
last phase plus the timeout of a request.

SPEC and RESULT are JSON files with a `LoadSpec` and a `LoadResult`. Latencies
are recorded in HDR histograms with three significant digits.
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

REQUEST_TIMEOUT_S: Final = 4.0
MAX_CONNECTIONS: Final = 4000
MAX_LATENCY_US: Final = 60_000_000
QUANTILES: Final = (50.0, 99.0, 99.9)
LATE_MS: Final = 10.0

_OUTCOME: Final = b"bamboorouter-outcome: "
_LENGTH: Final = b"content-length: "


class Phase(msgspec.Struct, kw_only=True, frozen=True):
    """A period with a constant request rate.

    Attributes:
        start_s: Start, in s since the start of the load.
        end_s: End, in s since the start of the load.
        rate: Requests per second.
    """

    start_s: float
    end_s: float
    rate: float


class StreamSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Requests to one service.

    Attributes:
        service: Name of the service.
        deadline_ms: Deadline of the requests, in ms.
        phases: Request rates over time; rates of overlapping phases add up.
        measured: Start and end of the measured arrivals, in s since the start
            of the load.
    """

    service: str
    deadline_ms: int
    phases: tuple[Phase, ...]
    measured: tuple[float, float]


class LoadSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Load that one process generates.

    Attributes:
        entries: Addresses of the entries, used round-robin.
        seed: Seed of the arrival times.
        start_at: Value of `time.monotonic()` at which the load starts.
        streams: Requests to each service.
    """

    entries: tuple[str, ...]
    seed: int
    start_at: float
    streams: tuple[StreamSpec, ...]


class StreamResult(msgspec.Struct, kw_only=True):
    """Outcomes of the measured requests of a stream.

    Attributes:
        service: Name of the service.
        sent: Number of requests.
        in_time: Number of requests completed within the deadline.
        late: Number of requests completed after the deadline.
        refused: Number of requests with the outcome `not_run`.
        lost: Number of requests with the outcome `failed` or `unknown` or
            without a response.
        answered: Encoded histogram of the latencies in us of all requests that
            were not refused.
        refusals: Encoded histogram of the latencies in us of refusals.
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
        streams: Results of the streams, in the order of the spec.
        core_percent: CPU time of the process in percent of one core.
        late_starts: Number of requests sent more than `LATE_MS` after their
            scheduled arrival.
    """

    streams: list[StreamResult]
    core_percent: float
    late_starts: int


class _Stream:
    """Accumulates the result of a stream."""

    def __init__(self, spec: StreamSpec) -> None:
        self.spec = spec
        self.result = StreamResult(service=spec.service)
        self.answered = new_histogram()
        self.refusals = new_histogram()

    def record(self, at_s: float, outcome: bytes, took_s: float) -> None:
        """Records a request if its scheduled arrival is measured."""
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
    """A connection that carries one request at a time."""

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
        head, separator, rest = self._data.partition(b"\r\n\r\n")
        if not separator or self.answer is None:
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
        """Sends a request and returns the outcome header of its response.

        Args:
            request: Encoded request.
            limit_s: Timeout in s; closes the connection.

        Returns:
            The outcome; empty without a complete response.
        """
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        timer = asyncio.get_running_loop().call_later(limit_s, self._abort)
        try:
            return await self.answer
        finally:
            timer.cancel()
            self.answer = None

    def _abort(self) -> None:
        self.closed = True
        self.transport.abort()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(b"")


class LoadProgram:
    """Generates the load of a spec.

    Attributes:
        spec: The load.
        late_starts: Number of requests sent more than `LATE_MS` after their
            scheduled arrival.
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
        """Sends all requests and waits for the responses."""
        used = time.process_time()
        arrivals = self._arrivals()
        for number, (at_s, stream) in enumerate(arrivals):
            wait_s = self.spec.start_at + at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            entry = self.spec.entries[number % len(self.spec.entries)]
            task = asyncio.create_task(self._request(entry, stream, at_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=REQUEST_TIMEOUT_S + 1)
        elapsed = time.monotonic() - self.spec.start_at
        used = time.process_time() - used
        return LoadResult(
            streams=[_encode_result(stream) for stream in self._streams],
            core_percent=100 * used / elapsed,
            late_starts=self.late_starts,
        )

    def _arrivals(self) -> list[tuple[float, _Stream]]:
        arrivals: list[tuple[float, _Stream]] = []
        for number, stream in enumerate(self._streams):
            rng = random.Random(f"{self.spec.seed}/{number}")
            for phase in stream.spec.phases:
                arrivals.extend(
                    (at, stream) for at in _arrival_times(phase, rng)
                )
        return sorted(arrivals, key=lambda pair: pair[0])

    async def _request(self, entry: str, stream: _Stream, at_s: float) -> None:
        scheduled = self.spec.start_at + at_s
        if (time.monotonic() - scheduled) * 1000 > LATE_MS:
            self.late_starts += 1
        outcome = b""
        try:
            connection = await self._acquire_connection(entry)
        except OSError:
            connection = None
        if connection is not None:
            request = _request_bytes(entry, stream.spec)
            outcome = await connection.send(request, REQUEST_TIMEOUT_S)
            if connection.closed:
                self._open -= 1
            else:
                self._idle[entry].append(connection)
        stream.record(at_s, outcome, time.monotonic() - scheduled)

    async def _acquire_connection(self, entry: str) -> _Connection | None:
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
    """Returns an empty histogram for latencies in us."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, 3)


def decode_histogram(text: str) -> histogram.HdrHistogram:
    """Decodes a histogram of a `StreamResult`."""
    return histogram.HdrHistogram.decode(text)


def _encode_result(stream: _Stream) -> StreamResult:
    result = stream.result
    result.answered = stream.answered.encode().decode()
    result.refusals = stream.refusals.encode().decode()
    return result


def _arrival_times(phase: Phase, rng: random.Random) -> Iterator[float]:
    at = phase.start_s
    while phase.rate > 0:
        at += rng.expovariate(phase.rate)
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
    """Reads the spec, generates the load and writes the result."""
    spec_path, result_path = (pathlib.Path(name) for name in sys.argv[1:3])
    spec = msgspec.json.decode(spec_path.read_bytes(), type=LoadSpec)

    async def run() -> LoadResult:
        return await LoadProgram(spec=spec).run()

    result = asyncio.run(run())
    result_path.write_text(json.dumps(msgspec.to_builtins(result)))


if __name__ == "__main__":
    main()
