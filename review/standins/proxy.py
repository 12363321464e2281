"""A proxy in front of a replica's links that cuts directions for some dialers.

A cut holds bytes back, like a partition: connections stay open, and the bytes
arrive once it has healed, unless the connection was closed meanwhile.
"""

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import socket
import struct

CHUNK_BYTES = 64 * 1024
_ESTABLISHED = "01"


class LinkProxy:
    """Forwards the connections to one replica.

    Attributes:
        target: Address of the replica.
        cut_to: Whether a connection of a process is cut towards the target.
        cut_from: Whether a connection of a process is cut from the target on.
    """

    def __init__(self, *, target: str) -> None:
        self.target = target
        self.cut_to: Callable[[int], bool] = lambda _: False
        self.cut_from: Callable[[int], bool] = lambda _: False
        self.processes: Callable[[], list[int]] = list
        self._healed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str) -> None:
        """Listens at an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(
        self,
        *,
        towards: Callable[[int], bool],
        back: Callable[[int], bool],
    ) -> None:
        """Cuts directions.

        Args:
            towards: Whether bytes of a process are held back.
            back: Whether bytes to a process are held back.
        """
        self._healed = asyncio.Event()
        self.cut_to, self.cut_from = towards, back

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut_to = self.cut_from = lambda _: False
        self._healed.set()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        dialer = _find_dialer(writer, self.processes())
        host, _, port = self.target.rpartition(":")
        target: asyncio.StreamWriter | None = None
        try:
            answers, target = await asyncio.open_connection(host, int(port))
            pumps = [
                asyncio.create_task(
                    self._pump(reader, target, lambda: self.cut_to(dialer))
                ),
                asyncio.create_task(
                    self._pump(answers, writer, lambda: self.cut_from(dialer))
                ),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            return
        finally:
            writer.close()
            if target is not None:
                target.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_cut: Callable[[], bool],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while is_cut():
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()


def _find_dialer(writer: asyncio.StreamWriter, processes: list[int]) -> int:
    """Returns the ID of the process that dialed a connection; 0 if unknown."""
    local = _kernel_address(writer.get_extra_info("peername"))
    remote = _kernel_address(writer.get_extra_info("sockname"))
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1:4] == [local, remote, _ESTABLISHED]:
            wanted = f"socket:[{fields[9]}]"
            break
    else:
        return 0
    for process in processes:
        with contextlib.suppress(OSError):
            for entry in pathlib.Path(f"/proc/{process}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if str(entry.readlink()) == wanted:
                        return process
    return 0


def _kernel_address(address: tuple[str, int]) -> str:
    """Returns an address in the format of /proc/net/tcp."""
    (number,) = struct.unpack("=I", socket.inet_aton(address[0]))
    return f"{number:08X}:{address[1]:04X}"
