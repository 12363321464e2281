"""Replicas on loopback links in one process, with a small state machine."""

import asyncio
from collections.abc import Callable
import pathlib
import socket

from bamboorouter import clock
from bamboorouter import options
from bamboorouter.coordination.log import engine
from bamboorouter.coordination.log import replica
from bamboorouter.transport import files
from bamboorouter.transport import link
from tests import list_machine


def free_port() -> int:
    """Returns a port that the kernel chose and nobody listens on."""
    with hold_port() as held:
        port: int = held.getsockname()[1]
        return port


def hold_port(port: int = 0) -> socket.socket:
    """Binds a port without listening.

    Otherwise the kernel could give the port of a node that is down to an
    outgoing connection, and the node could not start again.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", port))
    return held


class Node:
    """One replica with its link server.

    Attributes:
        address: Address of the link server.
        folder: The data folder.
        replica: The running replica.
        machine: Its state machine.
    """

    replica: replica.Replica
    machine: list_machine.ListMachine

    def __init__(
        self,
        *,
        path: pathlib.Path,
        held: socket.socket,
        bootstrap: tuple[str, ...],
        limits: engine.Limits | None = None,
    ) -> None:
        self.path = path
        self.port: int = held.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.bootstrap = bootstrap
        self.limits = limits
        self._held = held
        self._server: link.LinkServer | None = None

    async def start(self, *, folder: files.Folder | None = None) -> None:
        self.machine = list_machine.ListMachine()
        self.replica = replica.Replica(
            process=options.ProcessOptions(
                name="control", zone="a", roles=("control",)
            ),
            settings=options.ControlOptions(
                data_dir=str(self.path),
                bootstrap=self.bootstrap,
            ),
            folder=folder or files.DiskFolder(path=self.path),
            machine=self.machine,
            time=clock.SystemClock(),
            limits=self.limits,
        )
        self._held.close()
        self._server = await link.serve_links(
            host="127.0.0.1", port=self.port, handler=self.replica.handle
        )
        await self.replica.start(
            self.address, last_leader_contact_ms=clock.SystemClock().now()
        )

    async def stop(self) -> None:
        """Stops gracefully."""
        await self.replica.stop()
        if self._server is not None:
            await self._server.close()
            self._server = None
            self._held = hold_port(self.port)

    def close(self) -> None:
        """Gives the port of a stopped node back."""
        self._held.close()

    async def crash(self) -> None:
        """Stops at once, without handing over leadership."""
        self.replica.engine.core.halt()
        await self.stop()

    def delete_files(self) -> None:
        """Removes all files of a stopped node."""
        for file in self.path.iterdir():
            file.unlink()


def make_nodes(
    path: pathlib.Path, count: int, *, limits: engine.Limits | None = None
) -> list[Node]:
    """Returns nodes that will form a group."""
    ports = [hold_port() for _ in range(count)]
    bootstrap = tuple(f"127.0.0.1:{p.getsockname()[1]}" for p in ports)
    return [
        Node(
            path=path / f"replica-{number}",
            held=held,
            bootstrap=bootstrap,
            limits=limits,
        )
        for number, held in enumerate(ports)
    ]


async def wait_until(
    condition: Callable[[], bool], *, timeout_s: float = 10
) -> None:
    """Waits until a condition holds; TimeoutError if it never does."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def wait_for_leader(nodes: list[Node], *, timeout_s: float = 10) -> Node:
    """Waits until one of the nodes holds a valid lease."""
    await wait_until(
        lambda: any(node.replica.lease_valid() for node in nodes),
        timeout_s=timeout_s,
    )
    return next(node for node in nodes if node.replica.lease_valid())
