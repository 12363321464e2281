"""A lean HTTP/1.1 load generator: a fixed number of requests, then it ends.

Each connection sends its next request when the answer before is whole. The
generator parses only what it needs, so that it costs little beside the servers
it measures.
"""

import asyncio
import dataclasses
import time
from typing import Final

_TIMEOUT_S: Final = 120.0
_LENGTH: Final = b"content-length:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """What one load run measured.

    Attributes:
        latencies_ms: Time of each request, sorted.
        elapsed_s: Time of the whole run.
        failed: Answers with another status than 200 or another length.
    """

    latencies_ms: list[float]
    elapsed_s: float
    failed: int

    def quantile_ms(self, part: float) -> float:
        """Returns a quantile of the latencies."""
        last = len(self.latencies_ms) - 1
        return self.latencies_ms[min(int(part * (last + 1)), last)]

    def rate(self) -> float:
        """Returns requests a second."""
        return len(self.latencies_ms) / self.elapsed_s


class _Caller(asyncio.Protocol):
    """One connection that sends its requests one after another."""

    def __init__(self, *, request: bytes, body_bytes: int, count: int) -> None:
        self.latencies: list[float] = []
        self.failed = 0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._request = request
        self._body_bytes = body_bytes
        self._left = count
        self._data = b""
        self._sent = 0.0
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, mark, rest = self._data.partition(b"\r\n\r\n")
        if not mark or len(rest) < _body_length(head):
            return
        self._data = b""
        self.latencies.append((time.perf_counter() - self._sent) * 1000)
        if b" 200 " not in head[:16] or len(rest) != self._body_bytes:
            self.failed += 1
        self._left -= 1
        if self._left > 0:
            self._send()
        else:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.failed += self._left
        if not self.done.done():
            self.done.set_result(None)

    def _send(self) -> None:
        self._sent = time.perf_counter()
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
    """Sends `count` POST requests to 127.0.0.1 over several connections."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        f"Content-Type: application/octet-stream\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n"
    )
    request = head.encode() + b"x" * body_bytes
    loop = asyncio.get_running_loop()
    callers = [
        _Caller(
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
