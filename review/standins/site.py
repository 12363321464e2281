"""Starts a small deployment as separate processes on loopback addresses.

Each machine has an address of its own, as on the platform. Three `frontend`
machines with a disk run `control` and `entry`, one without a disk as well; each
worker's machine runs `agent`. The programs are started with the commands of
`deploy/system.toml`, and their settings have the keys of its template.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
from typing import Any

import aiohttp

from review.standins import record
from review.standins import worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DISKS = 3
FRONTENDS = 4
START_LIMIT_S = 40.0
# `contactMs` of the installation, in s.
CONTACT_S = 3.0
HOST = "nony24.example"


class CannotRunError(Exception):
    """The case couldn't be played."""


class Site:
    """All processes and stand-ins of one deployment.

    Attributes:
        log: Record of the case.
        workers: The workers.
    """

    def __init__(self, *, log: record.Record, services: list[str]) -> None:
        """Creates a site.

        Args:
            log: Record of the case.
            services: Service of each worker.
        """
        self.log = log
        self.workers: list[worker.Worker] = []
        self._services = services
        self._folder = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._folder.name)
        self._port = 0
        self._network = ""
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )

    async def start(self) -> None:
        """Starts all processes and workers.

        Raises:
            CannotRunError: No free addresses were found.
        """
        self._find_addresses()
        for number in range(1, FRONTENDS + 1):
            await self._start_frontend(number)
        for number, service in enumerate(self._services, 1):
            await self._start_worker(number, service)

    async def close(self) -> None:
        """Ends all processes that the site has started."""
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
        for stand_in in self.workers:
            await stand_in.close()
        await self._session.close()
        self._folder.cleanup()

    def _find_addresses(self) -> None:
        for _ in range(50):
            self._network = f"127.{random.randint(20, 220)}"
            self._port = random.randint(20_000, 30_000)
            with socket.socket() as probe:
                try:
                    probe.bind((f"{self._network}.1.1", self._port))
                except OSError:
                    continue
                return
        raise CannotRunError("no free addresses")

    def frontend(self, number: int) -> str:
        """Returns the `front` address of a machine."""
        return f"{self._network}.1.{number}:{self._port}"

    def control(self, number: int) -> str:
        """Returns the `control` address of a machine."""
        return f"{self._network}.1.{number}:{self._port + 2}"

    async def _start_frontend(self, number: int) -> None:
        ip = f"{self._network}.1.{number}"
        common = {
            "name": f"frontend-jevnaker-{number}",
            "ip": ip,
            "bootstrap": True,
        }
        await self._start_process(
            f"entry-{number}",
            **common,
            callers=self.frontend(number),
            ready=f"{ip}:{self._port + 1}",
        )
        disk: dict[str, Any] = {}
        if number <= DISKS:
            folder = self._path / f"disk-{number}"
            folder.mkdir()
            disk = {"data_dir": str(folder), "disk_mb": 128}
        await self._start_process(
            f"control-{number}",
            **common,
            **disk,
            control=self.control(number),
        )

    async def _start_worker(self, number: int, service: str) -> None:
        ip = f"{self._network}.2.{number}"
        agent = f"{ip}:{self._port + 2}"
        await self._start_process(
            f"agent-{number}",
            name=f"side-jevnaker-{number}",
            ip=ip,
            bootstrap=True,
            control=agent,
        )
        stand_in = worker.Worker(
            name=f"i-{number:08x}",
            address=f"{ip}:{self._port + 3}",
            agent=agent,
            service=service,
            log=self.log,
        )
        self.workers.append(stand_in)
        await stand_in.start()

    async def _start_process(self, process: str, **fields: Any) -> None:
        values = {
            "region": "ostlandet",
            "zone": "jevnaker",
            "seeds": [self.control(number) for number in range(1, DISKS + 1)],
            "ports": [self._port + 10, self._port + 25],
            "tolerated_losses": 1,
            "max_worker_lease_ms": 10_000,
            "announce_interval_ms": 1100,
            "grace_s": 6,
            **fields,
        }
        settings = self._path / f"{process}.toml"
        # JSON strings, numbers, booleans and lists are valid TOML.
        settings.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())
        )
        with (self._path / f"{process}.log").open("wb") as output:
            self._processes[process] = await asyncio.create_subprocess_exec(
                "python3",
                "platform/main.py",
                process.partition("-")[0],
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BAMBOOROUTER_NODE_FILE": str(settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: int, signum: signal.Signals) -> None:
        """Sends a signal to all processes of a `frontend` machine."""
        for role in ("entry", "control"):
            self._processes[f"{role}-{number}"].send_signal(signum)
        self.log.write(f"platform: {signum.name} to frontend {number}")

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        host: str = HOST,
        body: Any = None,
        deadline_ms: int = 3000,
    ) -> tuple[int, Any]:
        """Sends a request over a new connection.

        Returns:
            The status and the decoded body; status 0 if there was no response
            within the deadline.
        """
        what = f"{method} {host}{path} to {address.partition(':')[0]}"
        self.log.write(f"sent: {what}")
        status, answer = 0, None
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={"Host": host, "Deadline-Ms": str(deadline_ms)},
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                answer = await response.json(content_type=None)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        self.log.write(f"answered: {what}: {status or 'nothing'} {answer}")
        return status, answer

    async def configure(self, document: dict[str, Any]) -> None:
        """Sends a configuration until it is acknowledged.

        Raises:
            CannotRunError: It wasn't acknowledged in time.
        """
        end = time.monotonic() + START_LIMIT_S
        number = 0
        while time.monotonic() < end:
            number = number % DISKS + 1
            status, _ = await self.call(
                "PUT", self.control(number), "/-/config", body=document
            )
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError("no configuration was acknowledged")

    async def probe(self, path: str) -> None:
        """Waits until a submission through the last machine is done.

        Raises:
            CannotRunError: It wasn't done in time.
        """
        end = time.monotonic() + START_LIMIT_S
        status = 0
        while status != 200 and time.monotonic() < end:
            await asyncio.sleep(0.5)
            status, _ = await self.call(
                "POST", self.frontend(FRONTENDS), path, body=submission(200)
            )
        if await self.wait_for_state(path, "done") != "done":
            raise CannotRunError("the probe wasn't done")
        await asyncio.sleep(CONTACT_S)

    async def wait_for_state(
        self, path: str, wanted: str, *, limit_s: float = START_LIMIT_S
    ) -> str:
        """Asks for a submission until it has a state; returns the last one."""
        end = time.monotonic() + limit_s
        state = ""
        while state != wanted and time.monotonic() < end:
            await asyncio.sleep(0.3)
            status, answer = await self.call("GET", self.frontend(1), path)
            if status == 200:
                state = answer["state"]
        return state


def configuration(*routes: dict[str, Any]) -> dict[str, Any]:
    """Returns the first configuration, with these routes."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": 7,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": False,
                "standby": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route(name: str, service: str, prefix: str) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": service,
        "maxAttempts": 4,
        "slackFactor": 1.5,
    }


def submission(run_ms: int) -> dict[str, Any]:
    """Returns a submission of one task."""
    step = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": run_ms}
    return {"spec": f"run_ms={run_ms}", "phases": [step]}
