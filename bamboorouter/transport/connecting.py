"""Opens TCP connections to machines that may have no power or be cut off.

Such a machine doesn't answer the opening packet, and the kernel repeats the
packet only after a second. A machine that comes back right after the packet
would thus be found a second late. Therefore, further connections are attempted
at short intervals until one opens (compare RFC 8305). Earlier attempts go on, so
that a long round-trip time doesn't prevent a connection.
"""

import asyncio
import socket
from typing import Final

from bamboorouter import clock

# Longer than a round trip between availability zones, so that a reachable peer
# usually gets one attempt.
ATTEMPT_INTERVAL_MS: Final = 100
MAX_PORT: Final = 65535


async def open_connection(address: str) -> socket.socket:
    """Returns a connected, non-blocking socket.

    The caller limits the time.

    Args:
        address: Address of the peer as "IP:port".

    Raises:
        OSError: An attempt failed, for example because no server listens.
        ValueError: The address is malformed.
    """
    host, _, port = address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    target = (host, int(port))
    attempts: list[asyncio.Task[socket.socket]] = []
    opened: socket.socket | None = None
    try:
        while True:
            attempts.append(asyncio.create_task(_attempt(target)))
            done, _ = await asyncio.wait(
                attempts,
                timeout=clock.seconds(ATTEMPT_INTERVAL_MS),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                opened = done.pop().result()
                return opened
    finally:
        await _close_all(attempts, except_for=opened)


async def _attempt(target: tuple[str, int]) -> socket.socket:
    family = socket.AF_INET6 if ":" in target[0] else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(connection, target)
    except BaseException:
        connection.close()
        raise
    return connection


async def _close_all(
    attempts: list[asyncio.Task[socket.socket]],
    *,
    except_for: socket.socket | None,
) -> None:
    for attempt in attempts:
        attempt.cancel()
    results = await asyncio.gather(*attempts, return_exceptions=True)
    for result in results:
        if isinstance(result, socket.socket) and result is not except_for:
            result.close()
