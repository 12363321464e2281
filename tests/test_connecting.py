"""Guards against peers that are found late after a loss of power."""

import asyncio
import socket
from typing import Any
import unittest
from unittest import mock

from bamboorouter import errors
from bamboorouter.transport import link
from tests import virtual_time

# The kernel repeats a lost opening packet after this time.
KERNEL_RETRY_S = 1.0


class LostOpeningPacketTest(virtual_time.VirtualTimeCase):
    """Drops the opening packets of the first connections."""

    async def asyncSetUp(self) -> None:
        self.server = await link.serve_links(
            host="127.0.0.1", port=0, handler=link.reject_message
        )
        self.address = f"127.0.0.1:{self.server.port}"
        self.addAsyncCleanup(self.server.close)
        self.sockets: list[socket.socket] = []
        self.dropped = 0

    def drop(self, count: int) -> None:
        """Makes the next `count` connections hang for the kernel's interval."""
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def connect_or_hang(sock: socket.socket, target: Any) -> None:
            self.sockets.append(sock)
            if self.dropped < count:
                self.dropped += 1
                await asyncio.sleep(KERNEL_RETRY_S)
            await connect(sock, target)

        patched = mock.patch.object(loop, "sock_connect", connect_or_hang)
        patched.start()
        self.addCleanup(patched.stop)

    async def test_peer_that_comes_back_is_found_at_once(self) -> None:
        """Reproduces a loss of power on all machines.

        A replica came back 20 ms after the others had sent their opening
        packets, and the leader was elected when the kernel repeated them.
        """
        self.drop(2)
        loop = asyncio.get_running_loop()
        started = loop.time()
        opened = await link.open_link(address=self.address)
        self.assertLess(loop.time() - started, KERNEL_RETRY_S / 2)
        await opened.close()
        self.assertEqual(self.dropped, 2)

    async def test_other_attempts_are_closed(self) -> None:
        self.drop(2)
        opened = await link.open_link(address=self.address)
        in_use = [sock for sock in self.sockets if sock.fileno() >= 0]
        self.assertEqual(len(in_use), 1)
        await opened.close()

    async def test_silent_peer_fails_after_the_timeout(self) -> None:
        self.drop(1000)
        with self.assertRaises(errors.LinkClosedError):
            await link.open_link(address=self.address, timeout_ms=300)
        self.assertEqual([s for s in self.sockets if s.fileno() >= 0], [])

    async def test_refused_connection_fails_at_once(self) -> None:
        await self.server.close()
        loop = asyncio.get_running_loop()
        started = loop.time()
        with self.assertRaises(errors.LinkClosedError):
            await link.open_link(address=self.address)
        self.assertLess(loop.time() - started, KERNEL_RETRY_S / 2)


if __name__ == "__main__":
    unittest.main()
