"""Starts a small deployment as separate processes on loopback addresses.

Each machine has an address of its own, as on the platform. Three `frontend`
machines with a disk run `control` and `entry`, one without a disk as well; each
worker's machine runs `agent`. The programs are started with the commands of
`deploy/system.toml`, and their settings have the keys of its template.
"""

import asyncio
from collections.abc import Sequence
import itertools
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

from review.standins import proxy
from review.standins import record
from review.standins import worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DISKS = 3
FRONTENDS = 4
START_LIMIT_S = 40.0
RESERVED_PORT = 19_998
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

    def __init__(
        self,
        *,
        log: record.Record,
        services: list[str],
        proxied: bool = False,
    ) -> None:
        """Creates a site.

        Args:
            log: Record of the case.
            services: Service of each worker.
            proxied: Whether links to replicas go through proxies.
        """
        self.log = log
        self.workers: list[worker.Worker] = []
        self._services = services
        self._proxied = proxied
        self._proxies: dict[int, proxy.LinkProxy] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._folder.name)
        self._port = 0
        self._network = ""
        # Sites that run at the same time must not share addresses.
        self._reservation = socket.socket()
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
        for link_proxy in self._proxies.values():
            await link_proxy.close()
        await self._session.close()
        self._reservation.close()
        self._folder.cleanup()

    def _find_addresses(self) -> None:
        """Reserves a network of loopback addresses for this site.

        Raises:
            CannotRunError: No free network was found.
        """
        for _ in range(50):
            self._network = f"127.{random.randint(20, 220)}"
            self._port = random.randint(20_000, 30_000)
            try:
                self._reservation.bind(
                    (f"{self._network}.250.1", RESERVED_PORT)
                )
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

    def _seed(self, number: int) -> str:
        host = f"{self._network}.{3 if self._proxied else 1}.{number}"
        return f"{host}:{self._port + 2}"

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
            if self._proxied:
                disk["advertise"] = await self._start_proxy(number, ip)
        await self._start_process(
            f"control-{number}",
            **common,
            **disk,
            control=self.control(number),
        )

    async def _start_proxy(self, number: int, ip: str) -> str:
        """Starts the proxy for the links to a replica; returns its address."""
        link_proxy = proxy.LinkProxy(target=f"{ip}:{self._port + 10}")
        link_proxy.processes = lambda: [p.pid for p in self._processes.values()]
        address = f"{self._network}.3.{number}:{self._port + 10}"
        await link_proxy.start(address)
        self._proxies[number] = link_proxy
        return address

    def cut_one_way(self, number: int) -> None:
        """Cuts what the other machines with a disk send to one of them."""
        ids = {
            machine: {
                self._processes[f"{role}-{machine}"].pid
                for role in ("entry", "control")
            }
            for machine in range(1, DISKS + 1)
        }
        others = set().union(*ids.values()) - ids[number]
        for machine, link_proxy in self._proxies.items():
            if machine == number:
                link_proxy.cut(
                    towards=lambda pid: pid in others, back=lambda _: False
                )
            else:
                link_proxy.cut(
                    towards=lambda _: False, back=lambda pid: pid in ids[number]
                )
        self.log.write(f"network: the core no longer reaches frontend {number}")

    def heal(self) -> None:
        """Ends all cuts."""
        for link_proxy in self._proxies.values():
            link_proxy.heal()
        self.log.write("network: the cut is over")

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
            # The programs derive the link addresses from the seeds' hosts.
            "seeds": [self._seed(number) for number in range(1, DISKS + 1)],
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

        Args:
            method: HTTP method.
            address: Address of the machine.
            path: Path of the request.
            host: Host of the route.
            body: Body, encoded as JSON.
            deadline_ms: How long the requester waits, in ms.

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

    def leader(self) -> int:
        """Returns the number of the machine whose replica has led last."""
        newest = (0, 0)
        for number in range(1, DISKS + 1):
            text = (self._path / f"control-{number}.log").read_text()
            for line in text.splitlines():
                if '"name":"leader_elected"' in line:
                    event = json.loads(line)
                    newest = max(newest, (event["wall_ms"], number))
        return newest[1]

    async def configure(
        self, document: dict[str, Any], *, numbers: Sequence[int] = (1, 2, 3)
    ) -> None:
        """Sends a configuration until it is acknowledged.

        Args:
            document: The configuration.
            numbers: Machines to send it to, in turn.

        Raises:
            CannotRunError: It wasn't acknowledged in time.
        """
        end = time.monotonic() + START_LIMIT_S
        for number in itertools.cycle(numbers):
            status, _ = await self.call(
                "PUT", self.control(number), "/-/config", body=document
            )
            if status == 200:
                return
            if time.monotonic() > end:
                break
            await asyncio.sleep(0.3)
        ended = {
            name: process.returncode
            for name, process in self._processes.items()
            if process.returncode is not None
        }
        raise CannotRunError(
            f"no configuration was acknowledged; ended processes: {ended}"
        )

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
