"""Tests that the fault proxy causes the faults that it documents."""

import asyncio
import contextlib
import os
import unittest

from devtools import proxy

SILENCE_S = 0.2
TIMEOUT_S = 5.0


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """One echo server behind a proxy."""

    async def asyncSetUp(self) -> None:
        self.received = bytearray()
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        process_ids = {"test": os.getpid()}
        self.proxy = proxy.FaultProxy(
            find_dialer=lambda link: proxy.find_dialing_process(
                link, process_ids
            )
        )
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy.target = f"127.0.0.1:{port}"

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1024):
                self.received += data
                writer.write(data)
        writer.close()

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b"1")
        await self.expect_bytes(reader, b"1")
        return reader, writer

    async def expect_bytes(
        self, reader: asyncio.StreamReader, data: bytes
    ) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await reader.readexactly(len(data)), data)

    async def expect_silence(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await reader.readexactly(1)

    async def test_cut_is_silent_and_bytes_arrive_after_healing(self) -> None:
        reader, writer = await self.connect()
        self.proxy.cut("to_target", "from_target")
        writer.write(b"2")
        await self.expect_silence(reader)
        self.assertEqual(bytes(self.received), b"1")
        self.proxy.heal()
        await self.expect_bytes(reader, b"2")

    async def test_one_way_cut_loses_only_the_answers(self) -> None:
        reader, writer = await self.connect()
        self.proxy.cut("from_target")
        writer.write(b"2")
        await self.expect_silence(reader)
        self.assertEqual(bytes(self.received), b"12")

    async def test_cut_of_one_dialer_leaves_others_alone(self) -> None:
        reader, writer = await self.connect()
        self.proxy.cut("to_target", dialer="another")
        writer.write(b"2")
        await self.expect_bytes(reader, b"2")
        self.proxy.cut("to_target", dialer="test")
        writer.write(b"3")
        await self.expect_silence(reader)

    async def test_message_is_written_in_part_before_the_reset(self) -> None:
        reader, writer = await self.connect()
        self.proxy.gate("test", "from_target").reset_after_bytes = 2
        writer.write(b"2345")
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            async with asyncio.timeout(TIMEOUT_S):
                await reader.readexactly(4)

    async def test_unknown_target_resets_and_a_new_one_is_used(self) -> None:
        target, self.proxy.target = self.proxy.target, ""
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self.connect()
        self.proxy.target = target
        await self.connect()
