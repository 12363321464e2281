"""Closed-loop HTTP/1.1 load generator with a fixed number of requests.

Each connection sends its next request once the previous response is complete.
The generator parses only the parts of a response that it needs, to use little
CPU time compared with the measured servers.
"""

import asyncio
import dataclasses
import time
from typing import Final

_TIMEOUT_S: Final = 120.0
_LENGTH: Final = b"content-length:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """Measurements of a load run.

    Attributes:
        latencies_ms: Latencies of all requests in ms, sorted.
        elapsed_s: Duration of the run in s.
        failed: Number of missing responses and of responses with a status other
            than 200 or an unexpected length.
    """

    latencies_ms: list[float]
    elapsed_s: float
    failed: int

    def quantile_ms(self, fraction: float) -> float:
        """Returns a quantile of the latencies, in ms."""
        last = len(self.latencies_ms) - 1
        return self.latencies_ms[min(int(fraction * (last + 1)), last)]

    def rate(self) -> float:
        """Returns the throughput in requests per second."""
        return len(self.latencies_ms) / self.elapsed_s


class _Connection(asyncio.Protocol):
    """A connection that sends its requests sequentially."""

    def __init__(self, *, request: bytes, body_bytes: int, count: int) -> None:
        self.latencies: list[float] = []
        self.failed = 0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._request = request
        self._body_bytes = body_bytes
        self._remaining = count
        self._data = b""
        self._sent_s = 0.0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, separator, rest = self._data.partition(b"\r\n\r\n")
        if not separator or len(rest) < _body_length(head):
            return
        self._data = b""
        self.latencies.append((time.perf_counter() - self._sent_s) * 1000)
        if b" 200 " not in head[:16] or len(rest) != self._body_bytes:
            self.failed += 1
        self._remaining -= 1
        if self._remaining > 0:
            self._send()
        else:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.failed += self._remaining
        if not self.done.done():
            self.done.set_result(None)

    def _send(self) -> None:
        self._sent_s = time.perf_counter()
        self._transport.write(self._request)


def _body_length(head: bytes) -> int:
    lower = head.lower()
    start = lower.find(_LENGTH)
    if start < 0:
        return 0
    end = lower.find(b"\r\n", start)
    value = lower[start + len(_LENGTH) : end if end >= 0 else None]
    return int(value)


async def run_load(
    *, port: int, path: str, body_bytes: int, connections: int, count: int
) -> LoadResult:
    """Sends POST requests to 127.0.0.1.

    Args:
        port: Port of the server.
        path: Path of the requests.
        body_bytes: Size of the request body; the response must have the same.
        connections: Number of concurrent connections.
        count: Total number of requests.
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Content-Type: application/octet-stream\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n"
    )
    request = head.encode() + b"x" * body_bytes
    loop = asyncio.get_running_loop()
    callers = [
        _Connection(
            request=request, body_bytes=body_bytes, count=count // connections
        )
        for _ in range(connections)
    ]
    started = time.perf_counter()
    async with asyncio.timeout(_TIMEOUT_S):
        for caller in callers:
            await loop.create_connection(
                lambda caller=caller: caller,  # type: ignore[misc]
                "127.0.0.1",
                port,
            )
        await asyncio.gather(*(caller.done for caller in callers))
    elapsed = time.perf_counter() - started
    latencies = sorted(ms for caller in callers for ms in caller.latencies)
    return LoadResult(
        latencies_ms=latencies,
        elapsed_s=elapsed,
        failed=sum(caller.failed for caller in callers),
    )
