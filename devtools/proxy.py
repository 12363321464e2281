"""Fault-injecting TCP proxy for tests, one for each listening process.

A cut holds bytes back silently, as lost packets do: connections stay open, new
ones are accepted by the kernel but carry nothing, and after healing the bytes
arrive late. Cuts are per dialling process and per direction. Other faults:
delay, a partially written message followed by a reset, and resets.
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
# Linger of zero makes close() send a reset.
_RESET: Final = struct.pack("ii", 1, 0)
_NETLINK_SOCK_DIAG: Final = 4
_SOCK_DIAG_BY_FAMILY: Final = 20
_NETLINK_HEADER: Final = struct.Struct("=IHHII")
# Position of idiag_inode behind the netlink header in struct inet_diag_msg.
_INODE_OFFSET: Final = _NETLINK_HEADER.size + 68

Direction = Literal["to_target", "from_target"]


@dataclasses.dataclass(kw_only=True)
class Gate:
    """Lets bytes of one direction through, or holds them.

    Attributes:
        opened: Set while bytes pass.
        delay_ms: Added to each chunk.
        break_after: Bytes that still pass before the connection is reset;
            None for no limit.
    """

    opened: asyncio.Event
    delay_ms: int = 0
    break_after: int | None = None


@dataclasses.dataclass(kw_only=True, eq=False)
class Connection:
    """One proxied connection.

    Attributes:
        dialer: Name of the process that dialled; empty if unknown.
        inner: Streams to the dialler.
        outer: Streams to the target.
    """

    dialer: str
    inner: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    outer: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def end(self, *, reset: bool) -> None:
        """Closes both sides; a reset discards what was not delivered."""
        for streams in (self.inner, self.outer):
            if streams is not None and reset:
                _abort(streams[1])
            elif streams is not None:
                streams[1].close()


class FaultProxy:
    """Forwards connections to a target that may become known later.

    Attributes:
        target: Address to forward to; empty until known.
        address: Address that the proxy listens on.
        connections: Open connections.
    """

    def __init__(
        self, *, dialer_of: Callable[[tuple[int, int]], str] | None = None
    ) -> None:
        self.target = ""
        self.address = ""
        self.connections: set[Connection] = set()
        self._dialer_of = dialer_of or (lambda link: "")
        self._gates: dict[tuple[str, Direction], Gate] = {}
        self._cut_all: set[Direction] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens on an address; port 0 lets the kernel choose one."""
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
        """Returns the gate of one dialling process and direction."""
        key = (dialer, direction)
        if key not in self._gates:
            self._gates[key] = Gate(opened=asyncio.Event())
            if direction not in self._cut_all:
                self._gates[key].opened.set()
        return self._gates[key]

    def cut(self, *directions: Direction, dialer: str | None = None) -> None:
        """Holds bytes silently, of one dialler or of all."""
        if dialer is not None:
            for direction in directions:
                self.gate(dialer, direction).opened.clear()
            return
        self._cut_all.update(directions)
        for (_, direction), gate in self._gates.items():
            if direction in directions:
                gate.opened.clear()

    def heal(self, *, dialer: str | None = None) -> None:
        """Lets held bytes pass, of one dialler or of all."""
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
            dialer=self._dialer_of(link), inner=(reader, writer)
        )
        self.connections.add(connection)
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: Connection) -> None:
        broken = True
        try:
            broken = await self._forward(connection)
        finally:
            connection.end(reset=broken)
            self.connections.discard(connection)

    async def _forward(self, connection: Connection) -> bool:
        """Forwards until one side ends; returns whether to reset."""
        dialer = connection.dialer
        # A connection can't open while either direction is cut.
        await self.gate(dialer, "to_target").opened.wait()
        await self.gate(dialer, "from_target").opened.wait()
        host, _, port = self.target.rpartition(":")
        if not host:
            return True
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection.outer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            return True
        inner, outer = connection.inner, connection.outer
        pumps = [
            asyncio.create_task(
                self._pump(inner[0], outer[1], dialer, "to_target")
            ),
            asyncio.create_task(
                self._pump(outer[0], inner[1], dialer, "from_target")
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
        """Passes bytes on; returns whether the connection is to be reset."""
        gate = self.gate(dialer, direction)
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if gate.delay_ms:
                    await asyncio.sleep(gate.delay_ms / 1000)
                await gate.opened.wait()
                if gate.break_after is not None:
                    data = data[: gate.break_after]
                    gate.break_after -= len(data)
                writer.write(data)
                await writer.drain()
                if gate.break_after == 0:
                    gate.break_after = None
                    return True
        # The end of a stream is lost as well while the direction is cut.
        await gate.opened.wait()
        return False


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def owner_of(link: tuple[int, int], processes: dict[str, int]) -> str:
    """Returns which of our processes dialled a connection on 127.0.0.1.

    Args:
        link: Ports of the dialler and of the listener.
        processes: Process IDs by name.

    Returns:
        The name; empty if none of the processes holds the connection.
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
    """Asks the kernel for the inode of the dialler's socket; 0 if unknown.

    The request is one of sock_diag(7). Reading /proc/net/tcp instead takes
    tens of milliseconds once the machine holds many closed connections.
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
