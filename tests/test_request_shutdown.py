"""Guards against requests lost during a graceful shutdown (P8)."""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bamboorouter.coordination.requests import caller_requests
from bamboorouter.protocol import messages
from bamboorouter.transport import link
from tests import request_site

_SETTINGS = """
[process]
name = "entry-1"
zone = "zone-1"
roles = ["entry"]
control = ["{leader}"]
ready_file = "{ready}"

[entry]
"""


async def _slow_echo(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    await asyncio.sleep(0.5)
    return web.Response(body=body)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """One entry process, a fake leader and one VM."""

    async def asyncSetUp(self) -> None:
        self.leader = request_site.FakeLeader()
        self.leader.services = (request_site.service("prism"),)
        address = await self.leader.start()
        self.vm = request_site.Vm(
            name="w1", service="prism", handler=_slow_echo
        )
        await self.vm.start()
        self.addAsyncCleanup(self.vm.stop)
        self.leader.routes = (self.vm.route(),)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ready = pathlib.Path(folder.name) / "ready.json"
        settings = pathlib.Path(folder.name) / "entry.toml"
        settings.write_text(
            _SETTINGS.format(leader=address, ready=self.ready), "utf-8"
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bamboorouter",
            str(settings),
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self._stop_entry_and_leader)
        await request_site.eventually(self.ready.exists, timeout_s=20)
        self.url = await self._ready_url()

    async def _stop_entry_and_leader(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.leader.server is not None:
            await self.leader.server.close()

    async def _ready_url(self) -> str:
        addresses = json.loads(self.ready.read_text("utf-8"))
        async with asyncio.timeout(10), aiohttp.ClientSession() as client:
            while True:
                answer = await client.get(
                    f"http://{addresses['health']}/readyz"
                )
                if answer.status == 200:
                    return f"http://{addresses['entry.listen']}/prism/"
                await asyncio.sleep(0.05)

    async def test_sigterm_cuts_off_no_request(self) -> None:
        """Guards against answers lost when the entry is stopped."""

        async def send_request(
            client: aiohttp.ClientSession, number: int
        ) -> None:
            async with client.post(self.url, data=b"%d" % number) as answer:
                self.assertEqual(answer.status, 200)
                self.assertEqual(await answer.read(), b"%d" % number)

        async with aiohttp.ClientSession() as client:
            waiting = [
                asyncio.create_task(send_request(client, number))
                for number in range(40)
            ]
            await request_site.eventually(lambda: len(self.vm.received) == 40)
            self.process.send_signal(signal.SIGTERM)
            await asyncio.gather(*waiting)
        async with asyncio.timeout(15):
            self.assertEqual(await self.process.wait(), 0)
        completed = [
            record.count
            for record in self.leader.records()
            if record.outcome == "completed"
        ]
        self.assertEqual(sum(completed), 40, "records were not delivered")

    async def test_drained_agent_finishes_what_it_started(self) -> None:
        """Guards against an agent that stops with requests in progress."""
        async with aiohttp.ClientSession() as client:
            waiting = asyncio.create_task(client.post(self.url, data=b"x"))
            await request_site.eventually(lambda: self.vm.received)
            self.vm.requests.set_leaving([self.vm.upstream().id])
            self.assertEqual(self.vm.requests.in_progress(), {"w1-up": 1})
            async with asyncio.timeout(5):
                await self.vm.requests.drain()
            self.assertEqual((await waiting).status, 200)
            refused = await client.post(self.url, data=b"y")
            self.assertEqual(refused.headers["Bamboorouter-Outcome"], "not_run")
        self.assertEqual(len(self.vm.received), 1)

    async def test_drain_answers_what_waits_at_the_agent(self) -> None:
        """Guards against an unknown outcome of requests never started."""
        vm = request_site.Vm(
            name="w2", service="prism", handler=_slow_echo, connections=1
        )
        await vm.start()
        self.addAsyncCleanup(vm.stop)
        dispatch = messages.Dispatch(
            request_id="1-1",
            service="prism",
            upstream="w2-up",
            method="POST",
            target="/",
            headers=(),
            body=b"",
            digest=caller_requests.digest(b""),
            deadline_ms=4000,
            urgency=1,
            team="guild",
        )
        peer = mock.Mock()
        calls = [
            asyncio.create_task(vm.requests.handle(dispatch, peer))
            for _ in range(3)
        ]
        await request_site.eventually(lambda: vm.received)
        vm.requests.set_leaving([vm.upstream().id])
        async with asyncio.timeout(5):
            await vm.requests.drain()
        self.assertTrue(all(call.done() for call in calls))
        outcomes = [
            answer.outcome
            for answer in [await call for call in calls]
            if isinstance(answer, messages.Answer)
        ]
        self.assertEqual(outcomes, ["completed", "not_run", "not_run"])

    async def test_entries_hear_at_once_what_leaves(self) -> None:
        """Guards against entries that notice a leaving upstream by refusals."""
        assert self.vm.server is not None
        received: asyncio.Queue[messages.Message] = asyncio.Queue()

        async def receive(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del peer
            received.put_nowait(message)
            return None

        connection = await link.open_link(
            address=f"{request_site.HOST}:{self.vm.server.port}",
            handler=receive,
        )
        hello = messages.AgentHello(entry="entry-2", zone="zone-1")
        await connection.request(hello, timeout_ms=1000)
        self.vm.requests.set_leaving(["w1-up"])
        async with asyncio.timeout(2):
            push = await received.get()
        self.assertEqual(push, messages.Leaving(upstreams=("w1-up",)))
        await connection.close()
