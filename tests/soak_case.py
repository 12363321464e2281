"""Runs a simulated worker of the soak test for test cases."""

import asyncio
import pathlib
import socket
import tempfile
from typing import Any
import unittest
from unittest import mock

import aiohttp

from devtools import soak
from devtools import soak_capacity
from devtools import soak_checks
from devtools import soak_site
from devtools import soak_worker
from tests import virtual_time

TASK = "5c0e.0.0.0"
LASTING = {
    "spec": "500 100 0",
    "phases": [{"count": 1, "cpu": 500, "longRunning": True}],
}


class WorkerCase(virtual_time.VirtualTimeCase):
    """A simulated worker on a loopback address."""

    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        patcher = mock.patch.object(
            soak_worker,
            "time",
            mock.Mock(monotonic=loop.time, time=loop.time),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.history = soak_checks.History(clock=loop.time)
        self.history.record_submission("5c0e", LASTING)
        self.worker = soak_worker.SoakWorker(
            name="worker-1",
            agent="127.0.0.1:9",
            history=self.history,
            seed=1,
            failure_probability=0.0,
        )
        self.worker.millicores = soak_capacity.Capacity(
            full=soak_worker.CAPACITY_MILLICORES, clock=loop.time
        )
        server = socket.create_server(("127.0.0.1", 0))
        self.port = server.getsockname()[1]
        address = f"127.0.0.1:{self.port}"
        server.close()
        await self.worker.start(address)
        # A crash of the worker breaks the connections that are open.
        self.client = aiohttp.ClientSession(
            base_url=f"http://{address}",
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def asyncTearDown(self) -> None:
        await self.client.close()
        await self.worker.close()

    async def call(
        self, path: str, *, instance: str = "i-worker-1", **body: Any
    ) -> tuple[int, dict[str, Any]]:
        headers = {"Expect-Instance": instance}
        async with self.client.post(
            f"/-/{path}", json={"fencingToken": 1, **body}, headers=headers
        ) as response:
            return response.status, await response.json()

    async def start(
        self, attempt: int = 1, *, spec: str = "500 100 0", **fields: Any
    ) -> tuple[int, str]:
        _, answer = await self.call("pace")
        body = {"untilMs": answer["clockMs"] + 5000, **fields}
        status, answer = await self.call(
            "run-start", task=TASK, attempt=attempt, spec=spec, **body
        )
        return status, answer.get("reason", "")

    async def stop(self, attempt: int = 1, **fields: Any) -> int:
        status, _ = await self.call(
            "run-stop", task=TASK, attempt=attempt, **fields
        )
        return status

    async def lists(self, **fields: Any) -> tuple[list[Any], list[Any]]:
        _, answer = await self.call("hold", **{"ackCursor": 0, **fields})
        return answer["running"], answer["finished"]


class SeededRunCase(unittest.TestCase):
    """Runs a short soak with a fixed seed."""

    def run_soak(
        self,
        seed: int,
        seconds: float = 8.0,
        workers: int = 4,
        *,
        groups: frozenset[str] = frozenset(),
        controls: int = soak_site.CONTROLS,
    ) -> soak_checks.History:
        with tempfile.TemporaryDirectory() as folder:
            history = asyncio.run(
                soak.run_soak(
                    seed=seed,
                    seconds=seconds,
                    workers=workers,
                    path=pathlib.Path(folder),
                    groups=groups,
                    controls=controls,
                )
            )
        self.assertEqual(history.violations, [])
        self.assertGreater(history.counts["ended done"], 20)
        return history
