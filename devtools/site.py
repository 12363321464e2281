"""Runs a complete site as processes on 127.0.0.1, with fault injection.

Each process has a name: control-1, entry-1, agent-1, and worker-1 for the
simulated worker on the VM of agent-1. Links between daemons pass through a
fault proxy in front of each listening daemon. The proxy starts first and gets
its target from the daemon's ready file, so that a restarted daemon may get
another port with the same settings.

Without proxies, for demos and benchmarks, the control replicas use ports that
were free shortly before their start.

The workers record their actions in the journal. The site records the time at
which it kills a worker, since a killed worker can't.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import dataclasses
import json
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import Literal

import aiohttp

from devtools import journal
from devtools import proxy

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.02

CutDirection = Literal["both", "in", "out"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmShape:
    """Placement and capacity of an upstream VM.

    Attributes:
        zone: Availability zone.
        rack: Rack in the zone.
        processors: Number of processors.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
        slots: Maximum number of concurrent tasks.
        connections: Maximum number of caller requests in progress.
    """

    zone: str
    rack: str
    processors: int = 4
    memory_mb: int = 8_000
    accelerators: int = 0
    slots: int = 8
    connections: int = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteShape:
    """Size and timing of a site.

    Attributes:
        vms: The upstream VMs, each with an agent and a worker.
        controls: Number of control replicas.
        entries: Number of entries.
        heartbeat_ms: Interval of the agents' heartbeats, in ms.
        service_lease_ms: Lease term of service tasks, in ms.
        batch_lease_ms: Lease term of batch tasks, in ms.
        lag_ms: Delay of the workers' usage reports, in ms.
        policies: Policies of all daemons; "plain" is the baseline.
    """

    vms: tuple[VmShape, ...]
    controls: int = 3
    entries: int = 2
    heartbeat_ms: int = 1000
    service_lease_ms: int = 10_000
    batch_lease_ms: int = 600_000
    lag_ms: int = 3000
    policies: Literal["product", "plain"] = "product"


ZONES: Final = ("a", "b", "c", "d")
WORKERS: Final = 11
WORKERS_PER_RACK: Final = 3


def _workers(
    count: int,
    processors: int,
    memory_mb: int,
    *,
    per_rack: int = WORKERS_PER_RACK,
) -> tuple[VmShape, ...]:
    return tuple(
        VmShape(
            zone=ZONES[number // per_rack % len(ZONES)],
            rack=f"rack-{number // per_rack + 1}",
            processors=processors,
            memory_mb=memory_mb,
        )
        for number in range(count)
    )


# Sites of the sample sheets samples/guild.csv and samples/krystallverket.csv.
GUILD: Final = SiteShape(vms=_workers(WORKERS, 64, 250_000))
KRYSTALLVERKET: Final = SiteShape(vms=_workers(WORKERS, 16, 60_000))


def small_shape(
    *,
    vms: int = 1,
    controls: int = 1,
    entries: int = 1,
    processors: int = 4,
) -> SiteShape:
    """Returns a shape with short intervals and leases for tests."""
    return SiteShape(
        vms=_workers(vms, processors, 2000 * processors, per_rack=1),
        controls=controls,
        entries=entries,
        heartbeat_ms=200,
        service_lease_ms=3000,
        batch_lease_ms=6000,
        lag_ms=1000,
    )


@dataclasses.dataclass(kw_only=True)
class ManagedProcess:
    """A process of the site, which may be stopped and started again.

    Attributes:
        name: Unique name, for example "control-1".
        arguments: Arguments of the Python interpreter.
        folder: Folder of its settings, ready file and data.
        process: The operating system process; None before the first start.
        addresses: Bound addresses of the last start, by name.
        proxies: Proxies in front of it, by address name.
        frozen: Whether it is paused by SIGSTOP.
    """

    name: str
    arguments: list[str]
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    proxies: dict[str, proxy.FaultProxy] = dataclasses.field(
        default_factory=dict
    )
    frozen: bool = False

    @property
    def ready_file(self) -> pathlib.Path:
        """Path of the file with the bound addresses."""
        return self.folder / "ready.json"

    @property
    def log(self) -> pathlib.Path:
        """Path of the file with the process's output."""
        return self.folder / "log.txt"

    @property
    def running(self) -> bool:
        """Whether the process is running or paused."""
        return self.process is not None and self.process.returncode is None

    @property
    def exit_text(self) -> str:
        """Describes how the process ended, for error messages."""
        if self.process is None:
            return "never started"
        status = self.process.returncode
        if status is None:
            return f"process {self.process.pid} runs"
        if status >= 0:
            return f"process {self.process.pid} exited with status {status}"
        reason = signal.Signals(-status).name
        return f"process {self.process.pid} was ended by {reason}"


class SiteError(Exception):
    """The site or one of its processes didn't behave as expected."""


class Site:
    """A running site; use it as an async context manager.

    Attributes:
        shape: Size and timing.
        proxied: Whether links pass through fault proxies.
        external_control: Addresses of control replicas outside the site, for
            tests that run a fake leader.
        folder: Temporary folder for all files of the site.
        processes: Processes by name.
        journal_path: Path of the journal of all workers.
    """

    def __init__(
        self,
        *,
        shape: SiteShape,
        proxied: bool = True,
        external_control: tuple[str, ...] = (),
    ) -> None:
        self.shape = shape
        self.proxied = proxied
        self.external_control = external_control
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bamboorouter-"))
        self.processes: dict[str, ManagedProcess] = {}
        self.journal_path = self.folder / "journal.jsonl"
        self._journal = journal.Journal(path=self.journal_path, writer="site")
        self._control_addresses: dict[str, str] = {}
        self._new_replicas: set[str] = set()

    async def __aenter__(self) -> "Site":
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *unused: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Starts all processes and waits for their ready files."""
        await self._prepare_controls()
        numbers = range(1, len(self.shape.vms) + 1)
        workers = [self._make_worker(number) for number in numbers]
        await self._launch_all(workers)
        await self._launch_all([self._make_control(n) for n in self._controls])
        agents = [await self._make_agent(number) for number in numbers]
        entries = [
            self._make_entry(number)
            for number in range(1, self.shape.entries + 1)
        ]
        await self._launch_all([*agents, *entries])

    async def close(self) -> None:
        """Kills the processes of this site and removes its folder."""
        for managed in self.processes.values():
            if managed.running and managed.process is not None:
                managed.process.kill()
        for managed in self.processes.values():
            if managed.process is not None:
                await managed.process.wait()
            for fault_proxy in managed.proxies.values():
                await fault_proxy.close()
        self._journal.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def kill(self, name: str) -> None:
        """Simulates a crash of a process (SIGKILL)."""
        process = self._process(name)
        process.kill()
        await process.wait()
        self.processes[name].frozen = False
        self._journal.write("killed", process=name)

    async def stop(
        self, name: str, *, timeout_s: float = STOP_TIMEOUT_S
    ) -> None:
        """Stops a process gracefully (SIGTERM).

        Raises:
            SiteError: The process didn't exit in time.
        """
        process = self._process(name)
        process.terminate()
        try:
            async with asyncio.timeout(timeout_s):
                await process.wait()
        except TimeoutError as err:
            raise SiteError(f"{name} did not stop\n{self.tail(name)}") from err

    def freeze(self, name: str) -> None:
        """Pauses a process (SIGSTOP)."""
        self._process(name).send_signal(signal.SIGSTOP)
        self.processes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resumes a paused process (SIGCONT)."""
        self._process(name).send_signal(signal.SIGCONT)
        self.processes[name].frozen = False

    async def restart(self, name: str) -> None:
        """Starts a process; kills it first if it is running."""
        if self.processes[name].running:
            await self.kill(name)
        await self._launch(self.processes[name])

    async def kill_vm(self, number: int) -> None:
        """Simulates a crash of a VM: kills its agent and its worker."""
        await self.kill(f"agent-{number}")
        await self.kill(f"worker-{number}")

    async def restart_vm(self, number: int) -> None:
        """Restarts the worker and the agent of a VM."""
        await self.restart(f"worker-{number}")
        await self.restart(f"agent-{number}")

    def freeze_vm(self, number: int) -> None:
        """Pauses the agent and the worker of a VM."""
        self.freeze(f"agent-{number}")
        self.freeze(f"worker-{number}")

    def thaw_vm(self, number: int) -> None:
        """Resumes the agent and the worker of a VM."""
        self.thaw(f"worker-{number}")
        self.thaw(f"agent-{number}")

    def delete_data_folder(self, name: str) -> None:
        """Deletes the data folder of a stopped control replica.

        Its settings no longer contain `bootstrap`, so that it joins the group
        as a new replica when it is started.
        """
        managed = self.processes[name]
        shutil.rmtree(managed.folder / "data", ignore_errors=True)
        self._new_replicas.add(name)
        self._make_control(name)

    def replica_id(self, name: str) -> str:
        """Returns the replica ID in the data folder of a control replica."""
        path = self.processes[name].folder / "data" / "identity"
        return path.read_text(encoding="ascii")

    def cut(self, name: str, direction: CutDirection = "both") -> None:
        """Partitions a process from all other daemons.

        Blocked bytes don't cause errors; they arrive after `heal`.

        Args:
            name: Name of the process.
            direction: "in" blocks what it receives, "out" what it sends.
        """
        for listener, fault_proxy in self._all_proxies():
            if listener == name:
                fault_proxy.cut(*_directions(direction, inbound=True))
            else:
                sides = _directions(direction, inbound=False)
                fault_proxy.cut(*sides, dialer=name)

    def cut_between(self, first: str, second: str) -> None:
        """Blocks the links between two processes in both directions."""
        for listener, fault_proxy in self._all_proxies():
            if listener in (first, second):
                other = second if listener == first else first
                fault_proxy.cut("to_target", "from_target", dialer=other)

    def heal(self) -> None:
        """Ends all cuts; blocked bytes arrive now."""
        for _, fault_proxy in self._all_proxies():
            fault_proxy.heal()

    def reset_links(self, name: str) -> None:
        """Resets all connections of a process; blocked bytes are lost."""
        for listener, fault_proxy in self._all_proxies():
            for connection in list(fault_proxy.connections):
                if name in (listener, connection.dialer):
                    connection.end(reset=True)

    def address(self, name: str, kind: str) -> str:
        """Returns a bound address of a process, for example "entry.listen"."""
        return self.processes[name].addresses[kind]

    def records(self) -> list[dict[str, Any]]:
        """Returns the journal so far."""
        return journal.read(self.journal_path)

    def runs(self) -> list[journal.Run]:
        """Returns all runs of tasks so far."""
        return journal.runs(self.records())

    def capacity(self) -> dict[str, dict[str, int]]:
        """Returns the capacity of each worker by resource."""
        return {
            f"worker-{number}": {
                "millicores": vm.processors * 1000,
                "memory_mb": vm.memory_mb,
                "accelerators": vm.accelerators,
                "slots": vm.slots,
            }
            for number, vm in enumerate(self.shape.vms, 1)
        }

    def tail(self, name: str, lines: int = 40) -> str:
        """Returns the last log lines of a process."""
        path = self.processes[name].log
        text = path.read_text(errors="replace") if path.exists() else ""
        last = "\n".join(text.splitlines()[-lines:])
        return f"--- {name} ---\n{last}"

    def tails(self, lines: int = 25) -> str:
        """Returns the last log lines of all processes."""
        return "\n".join(self.tail(name, lines) for name in self.processes)

    async def wait_ready(
        self, names: Iterable[str] = (), *, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until daemons report that they are ready.

        Args:
            names: The daemons; all running ones if empty.
            timeout_s: How long to wait for all of them.

        Raises:
            SiteError: A daemon isn't ready in time.
        """
        wanted = list(names) or [
            name
            for name, managed in self.processes.items()
            if "health" in managed.addresses and managed.running
        ]
        deadline = time.monotonic() + timeout_s
        async with aiohttp.ClientSession() as session:
            for name in wanted:
                while not await self._is_ready(session, name):
                    if time.monotonic() > deadline:
                        raise SiteError(f"not ready\n{self.tail(name)}")
                    await asyncio.sleep(POLL_INTERVAL_S * 5)

    async def metric(self, name: str, metric: str) -> float | None:
        """Reads a metric without labels from a daemon.

        Returns:
            The value; None if the daemon doesn't respond or has no such metric.
        """
        url = f"http://{self.address(name, 'health')}/metrics"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(1),
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                for line in (await response.text()).splitlines():
                    if line.startswith(f"{metric} "):
                        return float(line.split()[1])
        return None

    async def _is_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        url = f"http://{self.address(name, 'health')}/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(1), session.get(url) as response:
                return response.status == 200
        return False

    @property
    def control_addresses(self) -> dict[str, str]:
        """Link addresses of the control replicas by process name."""
        return dict(self._control_addresses)

    @property
    def _controls(self) -> list[str]:
        return [f"control-{n}" for n in range(1, self.shape.controls + 1)]

    def _all_proxies(self) -> Iterable[tuple[str, proxy.FaultProxy]]:
        """Yields the proxies of links between VMs, with the listener's name."""
        for name, managed in self.processes.items():
            for kind, fault_proxy in managed.proxies.items():
                if kind != "worker":
                    yield name, fault_proxy

    def _process(self, name: str) -> asyncio.subprocess.Process:
        managed = self.processes[name]
        if managed.process is None or not managed.running:
            text = f"{name} isn't running ({managed.exit_text})"
            raise SiteError(f"{text}\n{self.tail(name)}")
        return managed.process

    def _find_dialer(self, link: tuple[int, int]) -> str:
        pids = {
            name: managed.process.pid
            for name, managed in self.processes.items()
            if managed.process is not None and managed.running
        }
        return proxy.find_dialing_process(link, pids)

    async def _prepare_controls(self) -> None:
        """Chooses the addresses of all replicas before the first one starts."""
        for name in self._controls:
            self._add(name, [])
            if self.proxied:
                fault_proxy = await self._add_proxy(name, "control.listen")
                self._control_addresses[name] = fault_proxy.address
            else:
                self._control_addresses[name] = f"127.0.0.1:{_free_port()}"

    async def _add_proxy(self, name: str, kind: str) -> proxy.FaultProxy:
        fault_proxy = proxy.FaultProxy(find_dialer=self._find_dialer)
        await fault_proxy.start()
        self.processes[name].proxies[kind] = fault_proxy
        return fault_proxy

    def _add(self, name: str, arguments: list[str]) -> ManagedProcess:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        managed = ManagedProcess(name=name, arguments=arguments, folder=folder)
        self.processes[name] = managed
        return managed

    def _make_control(self, name: str) -> ManagedProcess:
        managed = self.processes[name]
        number = int(name.rpartition("-")[2])
        address = self._control_addresses[name]
        members = list(self._control_addresses.values())
        section = {
            "listen": "127.0.0.1:0" if self.proxied else address,
            "advertise": address,
            "data_dir": str(managed.folder / "data"),
            "bootstrap": [] if name in self._new_replicas else members,
            "service_lease_ms": self.shape.service_lease_ms,
            "batch_lease_ms": self.shape.batch_lease_ms,
        }
        zone = ZONES[(number - 1) % len(ZONES)]
        self._configure(managed, "control", section, zone, f"rack-c{number}")
        return managed

    def _make_worker(self, number: int) -> ManagedProcess:
        name = f"worker-{number}"
        managed = self._add(name, [])
        vm = self.shape.vms[number - 1]
        managed.arguments = ["-m", "devtools.worker", "--name", name]
        managed.arguments += ["--processors", str(vm.processors)]
        managed.arguments += ["--lag-ms", str(self.shape.lag_ms)]
        managed.arguments += ["--journal", str(self.journal_path)]
        managed.arguments += ["--ready-file", str(managed.ready_file)]
        if not self.proxied:
            managed.arguments.append("--keyed-requests-only")
        return managed

    async def _make_agent(self, number: int) -> ManagedProcess:
        managed = self._add(f"agent-{number}", [])
        worker = self.processes[f"worker-{number}"]
        # The agent's settings contain the worker's address, so it must stay
        # the same when the worker restarts.
        address = worker.addresses["worker"]
        if self.proxied:
            worker_proxy = await self._add_proxy(worker.name, "worker")
            worker_proxy.target, address = address, worker_proxy.address
        else:
            worker.arguments += ["--listen", address]
        vm = self.shape.vms[number - 1]
        section: dict[str, Any] = {
            "worker": f"http://{address}",
            "processors": vm.processors,
            "memory_mb": vm.memory_mb,
            "accelerators": vm.accelerators,
            "slots": vm.slots,
            "connections": vm.connections,
            "heartbeat_ms": self.shape.heartbeat_ms,
        }
        if self.proxied:
            fault_proxy = await self._add_proxy(managed.name, "agent.listen")
            section["advertise"] = fault_proxy.address
        self._configure(managed, "agent", section, vm.zone, vm.rack)
        return managed

    def _make_entry(self, number: int) -> ManagedProcess:
        managed = self._add(f"entry-{number}", [])
        zone = ZONES[(number - 1) % len(ZONES)]
        self._configure(managed, "entry", {}, zone, f"rack-e{number}")
        return managed

    def _configure(
        self,
        managed: ManagedProcess,
        role: str,
        section: dict[str, Any],
        zone: str,
        rack: str,
    ) -> None:
        process = {
            "name": managed.name,
            "zone": zone,
            "rack": rack,
            "roles": [role],
            "control": [
                *self.external_control,
                *self._control_addresses.values(),
            ],
            "ready_file": str(managed.ready_file),
        }
        section = {**section, "policies": self.shape.policies}
        path = managed.folder / "settings.toml"
        path.write_text(_toml("process", process) + _toml(role, section))
        managed.arguments = ["-m", "bamboorouter", str(path)]

    async def _launch_all(self, group: list[ManagedProcess]) -> None:
        await asyncio.gather(*(self._launch(managed) for managed in group))

    async def _launch(self, managed: ManagedProcess) -> None:
        """Starts a process and waits for its ready file."""
        managed.ready_file.unlink(missing_ok=True)
        log = managed.log.open("ab")
        with log:
            managed.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *managed.arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + START_TIMEOUT_S
        while not managed.ready_file.exists():
            if not managed.running or time.monotonic() > deadline:
                text = f"{managed.name} did not start ({managed.exit_text})"
                raise SiteError(f"{text}\n{self.tail(managed.name)}")
            await asyncio.sleep(POLL_INTERVAL_S)
        managed.addresses = json.loads(managed.ready_file.read_text())
        for kind, fault_proxy in managed.proxies.items():
            fault_proxy.target = managed.addresses[kind]


def _directions(
    cut: CutDirection, *, inbound: bool
) -> tuple[proxy.Direction, ...]:
    if cut == "both":
        return ("to_target", "from_target")
    # A listening process receives the "to_target" direction of its proxy.
    return ("to_target",) if (cut == "in") == inbound else ("from_target",)


def _toml(name: str, section: dict[str, Any]) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in section.items()]
    return "\n".join([f"[{name}]", *lines, ""])


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
