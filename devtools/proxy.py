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
import pathlib
import socket
import struct
from typing import Final
from typing import Literal

CHUNK_BYTES: Final = 64 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
# Linger of zero makes close() send a reset.
_RESET: Final = struct.pack("ii", 1, 0)

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
        self, *, dialer_of: Callable[[int], str] | None = None
    ) -> None:
        self.target = ""
        self.address = ""
        self.connections: set[Connection] = set()
        self._dialer_of = dialer_of or (lambda port: "")
        self._gates: dict[tuple[str, Direction], Gate] = {}
        self._cut_all: set[Direction] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a port chosen by the kernel."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

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
        port = writer.get_extra_info("peername")[1]
        connection = Connection(
            dialer=self._dialer_of(port), inner=(reader, writer)
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


def owner_of_port(port: int, processes: dict[str, int]) -> str:
    """Returns which of our processes holds a local TCP port on 127.0.0.1.

    Args:
        port: Local port of an open connection.
        processes: Process IDs by name.
    """
    inode = _inode_of_port(port)
    if inode is None:
        return ""
    wanted = f"socket:[{inode}]"
    for name, pid in processes.items():
        folder = f"/proc/{pid}/fd"
        with contextlib.suppress(OSError):
            for entry in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(f"{folder}/{entry}") == wanted:
                        return name
    return ""


def _inode_of_port(port: int) -> str | None:
    wanted = f":{port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
    for line in lines.splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(wanted) and fields[9] != "0":
            return fields[9]
    return None
