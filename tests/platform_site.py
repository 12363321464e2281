"""Simulates the platform for tests of its adapter over the published protocol.

Each machine has its own loopback address because the roles find each other by
IP address and use the same port numbers on all machines.
"""

import asyncio
from collections.abc import Callable
import pathlib
import sys
import time
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web

from tests import replica_site

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The modules of the platform import each other by their plain names, so their
# folder must be on the path before they are imported.
sys.path.append(str(ROOT / "platform"))

import agent_node  # noqa: E402
from bamboorouter import clock  # noqa: E402
import control_node  # noqa: E402
import entry_node  # noqa: E402
import http_server  # noqa: E402
import node_roles  # noqa: E402
import node_settings  # noqa: E402

WAIT_S = 20.0
HOST = "desk.example"
READY_PORT_OFFSET = 1


def configuration(version: int = 1, timeout_ms: int = 3000) -> dict[str, Any]:
    """Returns a configuration document of the platform with one route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-forms",
                "host": HOST,
                "pathPrefix": "/forms/",
                "kind": "non_idempotent",
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 250,
                "priority": 0,
                "service": "desk",
                "maxAttempts": 3,
                "slackFactor": 1.5,
            }
        ],
        "services": [{"name": "desk", "enforcesCapacity": False}],
        "limits": {"maxBodyBytes": 100_000},
    }


class StandInWorker:
    """A worker that runs each task for a fixed time.

    Attributes:
        address: Address of the server that accepts orders.
        run_s: Run time of a task in seconds.
        started_ms: Start of the worker in ms since the epoch.
        started: Name and attempt of each started task.
        cpu: Announced processor time, in thousandths of a core.
        service: Announced service.
    """

    def __init__(self, *, address: str, run_s: float = 0.02) -> None:
        self.address = address
        self.run_s = run_s
        self.cpu = 8000
        self.service = "desk"
        self.started_ms = int(time.time() * 1000)
        self.started: list[tuple[str, int]] = []
        self._running: dict[str, tuple[int, float]] = {}
        self._ended: list[list[Any]] = []
        self._ended_count = 0
        self._token = 0
        self._server = http_server.HttpServer(
            address=address,
            routes=[
                ("POST", "/-/run-start", self._start),
                ("POST", "/-/run-stop", self._stop),
                ("POST", "/-/hold", self._hold),
            ],
        )

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop()

    def announcement(
        self, state: str = "ready", seq: int = 1
    ) -> dict[str, Any]:
        """Returns the announcement that the worker sends to its agent."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 8000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": seq,
            "born": self.started_ms,
        }

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accept_token(body):
            return self._answer(409, reason="fence")
        name, attempt = body["task"], body["attempt"]
        if name not in self._running:
            self.started.append((name, attempt))
            self._running[name] = (attempt, time.monotonic() + self.run_s)
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accept_token(body):
            return self._answer(409, reason="fence")
        if body["task"] in self._running:
            self._end(body["task"], "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._accept_token(body):
            return self._answer(409, reason="fence")
        self._ended = [row for row in self._ended if row[0] > body["ackCursor"]]
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while True:
            now = time.monotonic()
            for name, (_, end) in list(self._running.items()):
                if now >= end:
                    self._end(name, "done")
            if self._ended or now >= deadline:
                break
            await asyncio.sleep(0.005)
        running = [
            [name, attempt, "", 50, 0]
            for name, (attempt, _) in self._running.items()
        ]
        return self._answer(running=running, finished=self._ended)

    def _end(self, name: str, how: str) -> None:
        self._ended_count += 1
        attempt, _ = self._running.pop(name)
        self._ended.append([self._ended_count, name, attempt, how, ""])

    def _accept_token(self, body: dict[str, Any]) -> bool:
        """Returns whether a token is valid; records the highest one."""
        token = body.get("fencingToken", 0)
        self._token = max(self._token, token)
        return bool(token >= self._token)

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {"clockMs": self._clock_ms(), "born": self.started_ms, **fields}
        return web.json_response(body, status=status)

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000)


class PlatformSite:
    """Control replicas, two entries, an agent and a worker in this process.

    Attributes:
        path: Parent of the data folders.
        control: Control roles by IP address of their machine.
        entries_and_agent: The other roles.
        worker: The worker of the agent.
        session: HTTP session for requests to the roles.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self.path = path
        self.control: dict[str, node_roles.NodeRole] = {}
        self.entries_and_agent: list[node_roles.NodeRole] = []
        self.session = aiohttp.ClientSession()
        self._port = replica_site.free_port()
        self._seeds = tuple(f"127.0.1.{n}:{self._port}" for n in (1, 2, 3))
        self._link_port = replica_site.free_port()
        self._time = clock.SystemClock()
        # The default port may be used by another run of the tests.
        self._metrics_port_patches = [
            mock.patch.object(module, "METRICS_PORT", replica_site.free_port())
            for module in (agent_node, control_node, entry_node)
        ]
        for patch in self._metrics_port_patches:
            patch.start()
        self.worker = StandInWorker(
            address=f"127.0.3.1:{replica_site.free_port()}"
        )

    def settings(self, ip: str, **fields: Any) -> node_settings.NodeSettings:
        """Returns the settings of a machine, changed by `fields`."""
        values = {
            "name": f"node-{ip}",
            "zone": "z1",
            "ip": ip,
            "seeds": self._seeds,
            "ports": (self._link_port, self._link_port + 10),
            **fields,
        }
        return node_settings.NodeSettings(**values)

    def control_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the running control replicas."""
        return tuple(f"{ip}:{self._port}" for ip in self.control)

    async def start_control(
        self, ip: str, *, bootstrap: bool, **fields: Any
    ) -> None:
        role = control_node.ControlNode(
            settings=self.settings(
                ip,
                bootstrap=bootstrap,
                data_dir=str(self.path / ip),
                disk_mb=64,
                control=f"{ip}:{self._port}",
                **fields,
            ),
            time=self._time,
        )
        await role.start()
        self.control[ip] = role

    async def start(self, replicas: int = 4) -> None:
        """Starts all roles and the worker."""
        ips = [f"127.0.1.{n}" for n in range(1, replicas + 1)]
        await asyncio.gather(
            *(self.start_control(ip, bootstrap=True) for ip in ips)
        )
        for ip in ("127.0.2.1", "127.0.2.2"):
            entry = entry_node.EntryNode(
                settings=self.settings(
                    ip,
                    callers=f"{ip}:{self._port}",
                    ready=f"{ip}:{self._port + READY_PORT_OFFSET}",
                ),
                time=self._time,
            )
            self.entries_and_agent.append(entry)
        self.entries_and_agent.append(
            agent_node.AgentNode(
                settings=self.settings(
                    "127.0.3.1", control=f"127.0.3.1:{self._port}"
                ),
                time=self._time,
            )
        )
        for role in self.entries_and_agent:
            await role.start()
        await self.worker.start()

    async def close(self) -> None:
        await self.session.close()
        await asyncio.gather(*(role.stop() for role in self.entries_and_agent))
        await asyncio.gather(*(r.stop() for r in self.control.values()))
        await self.worker.stop()
        for patch in self._metrics_port_patches:
            patch.stop()

    # --- Calls from outside --------------------------------------------------

    async def call(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, Any]:
        """Sends a request; returns status and body, or status 0 on failure."""
        timeout = aiohttp.ClientTimeout(total=5)
        try:
            async with self.session.request(
                method, url, timeout=timeout, **options
            ) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def call_as_caller(
        self, method: str, path: str, body: Any = None, *, entry: int = 1
    ) -> tuple[int, Any]:
        """Sends a request to an entry as a caller does."""
        url = f"http://127.0.2.{entry}:{self._port}{path}"
        return await self.call(method, url, json=body, headers={"Host": HOST})

    async def call_as_operator(
        self, method: str, body: Any = None, *, ip: str = "127.0.1.1"
    ) -> tuple[int, Any]:
        """Sends a request about the configuration to a control replica."""
        url = f"http://{ip}:{self._port}/-/config"
        return await self.call(method, url, json=body)

    async def announce(self, state: str = "ready", seq: int = 1) -> int:
        """Sends the worker's announcement to its agent; returns the status."""
        url = f"http://127.0.3.1:{self._port}/-/instances/i-1"
        status, _ = await self.call(
            "PUT", url, json=self.worker.announcement(state, seq)
        )
        return status

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        """Waits until an asynchronous condition holds."""
        async with asyncio.timeout(WAIT_S):
            while True:
                if await condition():
                    return
                await asyncio.sleep(0.05)
