"""Fault-injecting TCP proxy for tests, one for each listening process.

Faults:
- A cut blocks the bytes of a direction, like packet loss: connections stay
  open, the kernel accepts new ones that transfer nothing, and the blocked bytes
  arrive late once the cut is healed. A cut applies to one direction, for one
  dialing process or for all.
- A delay of each chunk.
- A reset of all connections.
- A reset after a number of bytes, which truncates a message.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import os
import socket
import struct
from typing import Final
from typing import Literal

CHUNK_BYTES: Final = 64 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
# With a linger time of 0, close() sends a RST.
_RESET: Final = struct.pack("ii", 1, 0)
_NETLINK_SOCK_DIAG: Final = 4
_SOCK_DIAG_BY_FAMILY: Final = 20
_NETLINK_HEADER: Final = struct.Struct("=IHHII")
# Offset of idiag_inode of struct inet_diag_msg, including the netlink header.
_INODE_OFFSET: Final = _NETLINK_HEADER.size + 68

Direction = Literal["to_target", "from_target"]


@dataclasses.dataclass(kw_only=True)
class Gate:
    """Faults of one direction for one dialing process.

    Attributes:
        opened: Set unless the direction is cut.
        delay_ms: Delay of each chunk, in ms.
        reset_after_bytes: Number of bytes to forward before the connection is
            reset; None for no limit.
    """

    opened: asyncio.Event
    delay_ms: int = 0
    reset_after_bytes: int | None = None


@dataclasses.dataclass(kw_only=True, eq=False)
class Connection:
    """A proxied connection.

    Attributes:
        dialer: Name of the dialing process; empty if unknown.
        client: Streams to the dialing process.
        server: Streams to the target; None until connected.
    """

    dialer: str
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    server: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def end(self, *, reset: bool) -> None:
        """Closes both sides; a reset discards undelivered bytes."""
        for streams in (self.client, self.server):
            if streams is not None and reset:
                _abort(streams[1])
            elif streams is not None:
                streams[1].close()


class FaultProxy:
    """Forwards connections to a target, which may be set after the start.

    Attributes:
        target: Address of the target; empty if unknown.
        address: Address on which the proxy listens.
        connections: Open connections.
    """

    def __init__(
        self, *, find_dialer: Callable[[tuple[int, int]], str] | None = None
    ) -> None:
        self.target = ""
        self.address = ""
        self.connections: set[Connection] = set()
        self._find_dialer = find_dialer or (lambda link: "")
        self._gates: dict[tuple[str, Direction], Gate] = {}
        self._cut_all: set[Direction] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens on an address; for port 0 the kernel chooses a port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound}"

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def gate(self, dialer: str, direction: Direction) -> Gate:
        """Returns the gate for a dialing process and a direction."""
        key = (dialer, direction)
        if key not in self._gates:
            self._gates[key] = Gate(opened=asyncio.Event())
            if direction not in self._cut_all:
                self._gates[key].opened.set()
        return self._gates[key]

    def cut(self, *directions: Direction, dialer: str | None = None) -> None:
        """Blocks directions for one dialing process, or for all if None."""
        if dialer is not None:
            for direction in directions:
                self.gate(dialer, direction).opened.clear()
            return
        self._cut_all.update(directions)
        for (_, direction), gate in self._gates.items():
            if direction in directions:
                gate.opened.clear()

    def heal(self, *, dialer: str | None = None) -> None:
        """Ends the cuts for one dialing process, or for all if None."""
        if dialer is None:
            self._cut_all.clear()
        for (name, _), gate in self._gates.items():
            if dialer is None or name == dialer:
                gate.opened.set()

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.end(reset=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = (
            writer.get_extra_info("peername")[1],
            writer.get_extra_info("sockname")[1],
        )
        connection = Connection(
            dialer=self._find_dialer(link), client=(reader, writer)
        )
        self.connections.add(connection)
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: Connection) -> None:
        reset = True
        try:
            reset = await self._forward(connection)
        finally:
            connection.end(reset=reset)
            self.connections.discard(connection)

    async def _forward(self, connection: Connection) -> bool:
        """Forwards until one side closes.

        Returns:
            Whether to reset the connection.
        """
        dialer = connection.dialer
        # The TCP handshake needs both directions.
        await self.gate(dialer, "to_target").opened.wait()
        await self.gate(dialer, "from_target").opened.wait()
        host, _, port = self.target.rpartition(":")
        if not host:
            return True
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection.server = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            return True
        client, server = connection.client, connection.server
        pumps = [
            asyncio.create_task(
                self._pump(client[0], server[1], dialer, "to_target")
            ),
            asyncio.create_task(
                self._pump(server[0], client[1], dialer, "from_target")
            ),
        ]
        try:
            done, _ = await asyncio.wait(
                pumps, return_when=asyncio.FIRST_COMPLETED
            )
            return any(pump.result() for pump in done)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialer: str,
        direction: Direction,
    ) -> bool:
        """Forwards one direction; returns whether to reset the connection."""
        gate = self.gate(dialer, direction)
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if gate.delay_ms:
                    await asyncio.sleep(gate.delay_ms / 1000)
                await gate.opened.wait()
                if gate.reset_after_bytes is not None:
                    data = data[: gate.reset_after_bytes]
                    gate.reset_after_bytes -= len(data)
                writer.write(data)
                await writer.drain()
                if gate.reset_after_bytes == 0:
                    gate.reset_after_bytes = None
                    return True
        # A cut also blocks the FIN.
        await gate.opened.wait()
        return False


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def find_dialing_process(
    link: tuple[int, int], processes: dict[str, int]
) -> str:
    """Returns which process dialed a connection on 127.0.0.1.

    Args:
        link: Ports of the dialing process and of the listener.
        processes: Candidate process IDs by name.

    Returns:
        The name; empty if none of the processes has the socket open.
    """
    wanted = f"socket:[{_inode_of(link)}]"
    for name, pid in processes.items():
        folder = f"/proc/{pid}/fd"
        with contextlib.suppress(OSError):
            for entry in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(f"{folder}/{entry}") == wanted:
                        return name
    return ""


def _inode_of(link: tuple[int, int]) -> int:
    """Returns the inode of the dialing process's socket; 0 if unknown.

    Queries the kernel with sock_diag(7), since reading /proc/net/tcp takes tens
    of milliseconds on a machine with many closed connections.
    """
    loopback = socket.inet_aton("127.0.0.1").ljust(16, b"\0")
    request = (
        struct.pack(
            "=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF
        )
        + struct.pack("!HH", *link)
        + loopback
        + loopback
        + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    )
    length = _NETLINK_HEADER.size + len(request)
    header = _NETLINK_HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, 1, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as diag:
        diag.settimeout(CONNECT_TIMEOUT_S)
        diag.send(header + request)
        answer = diag.recv(4096)
    if len(answer) < _INODE_OFFSET + 4:
        return 0
    inode: int = struct.unpack_from("=I", answer, _INODE_OFFSET)[0]
    return inode
