"""Runs replicas of a small state machine over loopback links in one process."""

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
    """Returns a port chosen by the kernel on which no server listens."""
    with reserve_port() as bound:
        port: int = bound.getsockname()[1]
        return port


def reserve_port(port: int = 0) -> socket.socket:
    """Binds a port without listening, to reserve it.

    Otherwise the kernel could use the port of a stopped node for an outgoing
    connection, so that the node could not be started again.

    Args:
        port: Port to bind; 0 for a free one.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    return bound


class Node:
    """A replica with its link server.

    Attributes:
        path: Path of the data folder.
        port: Port of the link server.
        address: Address of the link server.
        bootstrap: Addresses of the nodes that form the group.
        limits: Limits of the log; None for the defaults.
        replica: The running replica.
        machine: State machine of the replica.
    """

    replica: replica.Replica
    machine: list_machine.ListMachine

    def __init__(
        self,
        *,
        path: pathlib.Path,
        reserved: socket.socket,
        bootstrap: tuple[str, ...],
        limits: engine.Limits | None = None,
    ) -> None:
        self.path = path
        self.port: int = reserved.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.bootstrap = bootstrap
        self.limits = limits
        self._reserved = reserved
        self._server: link.LinkServer | None = None

    async def start(self, *, folder: files.Folder | None = None) -> None:
        """Starts the replica; by default on the data folder at `path`."""
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
        self._reserved.close()
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
            self._reserved = reserve_port(self.port)

    def close(self) -> None:
        """Releases the port of a stopped node."""
        self._reserved.close()

    async def crash(self) -> None:
        """Stops immediately, without transferring the leadership."""
        self.replica.engine.core.halt()
        await self.stop()

    def delete_files(self) -> None:
        """Deletes the data files of a stopped node."""
        for file in self.path.iterdir():
            file.unlink()


def make_nodes(
    path: pathlib.Path, count: int, *, limits: engine.Limits | None = None
) -> list[Node]:
    """Returns `count` stopped nodes that form a group once started."""
    ports = [reserve_port() for _ in range(count)]
    bootstrap = tuple(f"127.0.0.1:{p.getsockname()[1]}" for p in ports)
    return [
        Node(
            path=path / f"replica-{number}",
            reserved=reserved,
            bootstrap=bootstrap,
            limits=limits,
        )
        for number, reserved in enumerate(ports)
    ]


async def wait_until(
    condition: Callable[[], bool], *, timeout_s: float = 10
) -> None:
    """Waits until a condition holds.

    Args:
        condition: The condition, polled every 10 ms.
        timeout_s: Maximum waiting time in seconds.

    Raises:
        TimeoutError: The condition didn't hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def wait_for_leader(nodes: list[Node], *, timeout_s: float = 10) -> Node:
    """Waits until a node holds a valid lease; returns it."""
    await wait_until(
        lambda: any(node.replica.lease_valid() for node in nodes),
        timeout_s=timeout_s,
    )
    return next(node for node in nodes if node.replica.lease_valid())
