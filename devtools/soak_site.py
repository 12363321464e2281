"""Processes, workers and proxies of a soak test, and the faults in them."""

import asyncio
import contextlib
import itertools
import json
import math
import os
import pathlib
import random
import signal
import socket
import time
from typing import Any
from typing import Final
from typing import Literal

from devtools import proxy
from devtools import soak_checks
from devtools import soak_members
from devtools import soak_odd
from devtools import soak_process
from devtools import soak_queues
from devtools import soak_schedule
from devtools import soak_worker

NETWORKS: Final = 128
RESERVATION_PORT: Final = 19_999
CONTROLS: Final = 3
SEEDS: Final = 3
DISK_MB: Final = 64
# With large configurations.
SMALL_DISK_MB: Final = 24
# Added to the number of a replica for each of its successors.
SUCCESSOR_STEP: Final = 10
ENTRIES: Final = 2
DELAY_MS: Final = 120
ANNOUNCE_INTERVAL_MS: Final = int(soak_worker.ANNOUNCE_INTERVAL_S * 1000)
# Limit for a new agent process to reach its worker.
SESSION_TIMEOUT_S: Final = 6.0
# Delay between the first call of an agent and a cut, as a fraction of the cut.
CUT_DELAY_FRACTION: Final = 0.03

Direction = Literal["to_target", "from_target"]
CUT_DIRECTIONS: Final[dict[str, tuple[Direction, ...]]] = {
    "cut": ("to_target", "from_target"),
    "cut_in": ("to_target",),
    "cut_out": ("from_target",),
}


class SoakSite:
    """All processes, workers and proxies of one soak.

    Attributes:
        path: Folder for settings, data and logs.
        processes: Processes by name.
        workers: Workers by name.
        proxies: Proxies by the name of the process or worker behind them.
        history: Observations and violated invariants.
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        seed: int,
        workers: int,
        groups: frozenset[str],
        controls: int = CONTROLS,
    ) -> None:
        self.path = path
        self.history = soak_checks.History(
            service_of=(
                soak_queues.service_of_job if "names" in groups else None
            )
        )
        self.processes: dict[str, soak_process.Process] = {}
        self.workers: dict[str, soak_worker.SoakWorker] = {}
        self.proxies: dict[str, proxy.FaultProxy] = {}
        self._seed = seed
        self._worker_count = workers
        self._groups = groups
        # Number of the present process of each control replica.
        self._control_numbers = {n: n for n in range(1, controls + 1)}
        self._settings: dict[str, dict[str, Any]] = {}
        # Held while the disk of a replica counts as lost.
        self._disk_lost = asyncio.Lock()
        self._members_rng = random.Random(f"seeds {seed}")
        # Soaks that run at the same time must not share addresses. The socket
        # reserves a network, 127.x.0.0, until it is closed. The third octet is 1 for control replicas, 2 for entries, 3 for agents and 4 for
        # workers, and 9, 7 and 8 for the proxies in front of control replicas,
        # entries and workers.
        self._reservation = _reserve_network()
        self._network = (
            "127." + self._reservation.getsockname()[0].split(".")[1]
        )
        self._port = 20_000 + os.getpid() % 10_000
        self._link_port = self._port + 10

    # --- Start and stop -----------------------------------------------------

    async def start(self) -> None:
        """Starts everything; doesn't wait until the replicas form a group."""
        for number in self._control_numbers:
            await self._add_control(number, bootstrap=True)
        for number in range(1, ENTRIES + 1):
            name = f"entry-{number}"
            callers = f"{self._network}.2.{number}:{self._port}"
            await self._add_proxy(
                name, f"{self._network}.7.{number}:{self._port}", callers
            )
            self._add_process(
                name,
                ip=f"{self._network}.2.{number}",
                callers=callers,
                ready=f"{self._network}.2.{number}:{self._port + 1}",
            )
        for number in range(1, self._worker_count + 1):
            await self._add_worker(number)
        await asyncio.gather(*(p.start() for p in self.processes.values()))

    async def _add_control(self, number: int, *, bootstrap: bool) -> None:
        name = f"control-{number}"
        link = f"{self._network}.9.{number}:{self._link_port}"
        await self._add_proxy(
            name, link, f"{self._network}.1.{number}:{self._link_port}"
        )
        self._add_process(
            name,
            ip=f"{self._network}.1.{number}",
            bootstrap=bootstrap,
            data_dir=str(self.path / name),
            disk_mb=self.disk_mb(),
            control=f"{self._network}.1.{number}:{self._port}",
            advertise=link,
        )

    async def _add_worker(self, number: int) -> None:
        control = f"{self._network}.3.{number}:{self._port}"
        orders = f"{self._network}.4.{number}:{self._port}"
        name = f"worker-{number}"
        await self._add_proxy(
            name, f"{self._network}.8.{number}:{self._port}", orders
        )
        self._add_process(
            f"agent-{number}",
            ip=f"{self._network}.3.{number}",
            control=control,
            announce_interval_ms=ANNOUNCE_INTERVAL_MS,
        )
        worker = soak_worker.SoakWorker(
            name=name,
            agent=control,
            history=self.history,
            seed=self._seed + number,
            service=(
                soak_queues.service_of_worker(number)
                if "names" in self._groups
                else soak_queues.FORMS.service
            ),
            failure_probability=soak_worker.FAILURE_PROBABILITY
            if "cancellations" not in self._groups or number % 4
            else soak_worker.HIGH_FAILURE_PROBABILITY,
        )
        worker.announced = self.proxies[name].address
        self.workers[name] = worker
        await worker.start(orders)

    async def close(self) -> None:
        """Stops everything that this soak started."""
        await asyncio.gather(
            *(p.stop(signal.SIGKILL) for p in self.processes.values())
        )
        await asyncio.gather(*(w.close() for w in self.workers.values()))
        await asyncio.gather(*(p.close() for p in self.proxies.values()))
        self._reservation.close()

    async def _add_proxy(self, name: str, address: str, target: str) -> None:
        fault_proxy = proxy.FaultProxy()
        fault_proxy.target = target
        host, _, port = address.rpartition(":")
        await fault_proxy.start(host, int(port))
        self.proxies[name] = fault_proxy

    def _add_process(self, name: str, **fields: Any) -> None:
        role = name.partition("-")[0]
        values = {
            "name": name,
            "zone": "z1",
            "seeds": self._seeds(),
            "ports": [self._link_port, self._link_port + 10],
            **fields,
        }
        settings = self._write_settings(name, values)
        folder = values.get("data_dir")
        self.processes[name] = soak_process.Process(
            name=name,
            role=role,
            settings=settings,
            log=self.path / f"{name}.log",
            folder=pathlib.Path(folder) if folder else None,
        )

    def _seeds(self) -> list[str]:
        # The processes derive the link addresses from the hosts of the seeds,
        # which are those of the proxies, and from `ports`.
        numbers = list(self._control_numbers.values())
        if any(number > SUCCESSOR_STEP for number in numbers):
            numbers = self._members_rng.sample(numbers, SEEDS)
        return [f"{self._network}.9.{n}:{self._port}" for n in numbers[:SEEDS]]

    def _write_settings(
        self, name: str, values: dict[str, Any]
    ) -> pathlib.Path:
        self._settings[name] = values
        settings = self.path / f"{name}.toml"
        # A running process may read the file at any time.
        written = settings.with_suffix(".new")
        # JSON strings, numbers, booleans and lists are also valid TOML.
        written.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())
        )
        return written.replace(settings)

    def _rewrite_seeds(self) -> None:
        """Names replicas of the present in all settings files."""
        if "stale" in self._groups:
            return
        for name in self.processes:
            values = {**self._settings[name], "seeds": self._seeds()}
            if "bootstrap" in values:
                values["bootstrap"] = False
            self._write_settings(name, values)

    def controls(self) -> list[int]:
        """Returns the numbers of the control replicas."""
        return list(self._control_numbers)

    def disk_mb(self) -> int:
        """Returns the size of the disk of a control replica."""
        return SMALL_DISK_MB if "routes" in self._groups else DISK_MB

    def disk_use_mb(self) -> float:
        """Returns the size of the largest data folder."""
        return max(
            _folder_bytes(process.folder) / 2**20
            for process in self.processes.values()
            if process.folder is not None
        )

    def process_name(self, target: str) -> str:
        """Returns the name of the process that a fault affects."""
        role, _, number = target.partition("-")
        if role == "control":
            return f"control-{self._control_numbers[int(number)]}"
        return target

    def entry_address(self, number: int) -> str:
        """Returns the address of an entry for callers."""
        return self.proxies[f"entry-{number}"].address

    def late_orders(self) -> int:
        """Returns the number of orders that will be carried out late."""
        return sum(worker.late_orders for worker in self.workers.values())

    def operator_address(self, number: int) -> str:
        """Returns the address of a replica for the operator."""
        number = self._control_numbers[number]
        return f"{self._network}.1.{number}:{self._port}"

    # --- Faults --------------------------------------------------------------

    async def inject(self, fault: soak_schedule.Fault) -> None:
        """Injects a fault and waits until it is over."""
        self.history.counts[f"fault {fault.kind}"] += 1
        if fault.kind in soak_schedule.CAPACITY_SHARES:
            await self._change_capacity(fault)
            return
        if fault.kind == "leave":
            worker = self.workers[fault.target]
            if "odd" in self._groups:
                await soak_odd.send_hiding(worker, worker.rng)
            await worker.leave(fault.for_s)
            return
        targets = [self.process_name(fault.target)]
        if fault.kind == soak_members.FINAL:
            # The one that loses its folder comes first.
            targets = list(dict.fromkeys((*targets, *self.processes)))
        for target in targets:
            self.history.record_fault_start(target)
        try:
            await self._inject(fault)
        finally:
            for target in targets:
                self.history.record_fault_end(target)

    async def _inject(self, fault: soak_schedule.Fault) -> None:
        if fault.kind == "crash":
            self.workers[fault.target].crash()
        elif fault.kind == "restart_then_cut":
            await self._restart_then_cut(fault)
        elif fault.kind == "late":
            self.workers[fault.target].late_enabled += 1
            await asyncio.sleep(fault.for_s)
            self.workers[fault.target].late_enabled -= 1
        elif fault.kind in ("reset", "delay", *CUT_DIRECTIONS):
            await self._inject_network_fault(fault, self.proxies[fault.target])
        elif fault.kind == "kill_all":
            names = [n for n in self.processes if n.startswith("control")]
            await asyncio.gather(
                *(self._restart(self.processes[n], fault) for n in names)
            )
        elif self._loses_disk(fault):
            async with self._disk_lost:
                await self._lose_disk(fault)
        elif fault.kind == soak_members.FINAL:
            async with self._disk_lost:
                await self._kill_everything(self.process_name(fault.target))
        else:
            name = self.process_name(fault.target)
            await self._restart(self.processes[name], fault)

    def _loses_disk(self, fault: soak_schedule.Fault) -> bool:
        return fault.kind in soak_members.DISK_LOSSES and (
            fault.kind != soak_members.WIPE or "members" in self._groups
        )

    async def _lose_disk(self, fault: soak_schedule.Fault) -> None:
        """Loses the disk of a replica and waits until that doesn't count."""
        if fault.kind == soak_members.WIPE:
            name = self.process_name(fault.target)
            await self._restart(self.processes[name], fault)
        else:
            await self._replace(fault)
        await asyncio.sleep(soak_members.COUNTS_S)

    async def _replace(self, fault: soak_schedule.Fault) -> None:
        """Replaces a control replica for good."""
        slot = int(fault.target.partition("-")[2])
        lost = self.processes.pop(self.process_name(fault.target))
        planned = fault.kind == soak_members.REPLACE_PLANNED
        if not planned:
            await self._remove(lost, signal.SIGKILL)
            await asyncio.sleep(fault.for_s)
        self._control_numbers[slot] += SUCCESSOR_STEP
        successor = self._control_numbers[slot]
        await self._add_control(successor, bootstrap=False)
        await self.processes[f"control-{successor}"].start()
        self._rewrite_seeds()
        if planned:
            await asyncio.sleep(soak_members.OVERLAP_S)
            await self._remove(lost, signal.SIGTERM)

    async def _remove(
        self, process: soak_process.Process, signum: signal.Signals
    ) -> None:
        await process.stop(signum)
        await self.proxies.pop(process.name).close()
        _lose_folder(process)

    async def _kill_everything(self, lost: str) -> None:
        """Kills all processes at once, one of which loses its folder."""
        processes = list(self.processes.values())
        await asyncio.gather(*(p.stop(signal.SIGKILL) for p in processes))
        _lose_folder(self.processes[lost])
        self._write_settings(lost, {**self._settings[lost], "bootstrap": False})
        delays_s = [self._members_rng.uniform(0.1, 0.9) for _ in processes]
        await asyncio.gather(
            *itertools.starmap(
                _start_after, zip(processes, delays_s, strict=True)
            )
        )

    async def _change_capacity(self, fault: soak_schedule.Fault) -> None:
        worker = self.workers[fault.target]
        share = soak_schedule.CAPACITY_SHARES[fault.kind]
        if math.isinf(fault.for_s):
            worker.resize(share)
            return
        worker.add_share(share)
        await asyncio.sleep(fault.for_s)
        worker.remove_share(share)

    async def _restart_then_cut(self, fault: soak_schedule.Fault) -> None:
        """Restarts an agent and cuts its worker off after the first answers."""
        number = fault.target.partition("-")[2]
        worker = self.workers[f"worker-{number}"]
        process = self.processes[fault.target]
        await process.stop(signal.SIGKILL)
        worker.session_opened.clear()
        await process.start()
        try:
            async with asyncio.timeout(SESSION_TIMEOUT_S):
                await worker.session_opened.wait()
        except TimeoutError:
            return
        await asyncio.sleep(fault.for_s * CUT_DELAY_FRACTION)
        fault_proxy = self.proxies[worker.name]
        fault_proxy.cut("to_target", "from_target")
        await asyncio.sleep(fault.for_s)
        fault_proxy.heal()

    async def _inject_network_fault(
        self, fault: soak_schedule.Fault, fault_proxy: proxy.FaultProxy
    ) -> None:
        if fault.kind == "reset":
            fault_proxy.reset()
            return
        gates = [
            fault_proxy.gate("", direction)
            for direction in ("to_target", "from_target")
        ]
        if fault.kind == "delay":
            for gate in gates:
                gate.delay_ms = DELAY_MS
        else:
            fault_proxy.cut(*CUT_DIRECTIONS[fault.kind])
        await asyncio.sleep(fault.for_s)
        for gate in gates:
            gate.delay_ms = 0
        fault_proxy.heal()

    async def _restart(
        self, process: soak_process.Process, fault: soak_schedule.Fault
    ) -> None:
        if fault.kind == "freeze":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)
            return
        graceful = fault.kind == "terminate"
        await process.stop(signal.SIGTERM if graceful else signal.SIGKILL)
        if fault.kind == "lose_folder" and process.folder is not None:
            _lose_folder(process)
            # Without its data the replica must join the existing group.
            values = {**self._settings[process.name], "bootstrap": False}
            self._write_settings(process.name, values)
        await asyncio.sleep(fault.for_s / 4)
        await process.start()


async def _start_after(process: soak_process.Process, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await process.start()


def _lose_folder(process: soak_process.Process) -> None:
    """Takes its data folder away from a stopped process.

    The folder is only renamed, since the removal of large files takes seconds
    on a busy disk, in which this process would forward nothing.
    """
    folder = process.folder
    if folder is not None:
        folder.rename(folder.with_name(f"{folder.name}-{time.time_ns()}"))


def _folder_bytes(folder: pathlib.Path) -> int:
    # Files may be removed while they are counted.
    total = 0
    for file in folder.glob("**/*"):
        with contextlib.suppress(OSError):
            total += file.stat().st_size
    return total


def _reserve_network() -> socket.socket:
    """Returns a socket whose address reserves its network for one soak.

    Raises:
        OSError: All networks are reserved.
    """
    for offset in range(NETWORKS):
        host = f"127.{64 + (os.getpid() + offset) % NETWORKS}.0.1"
        with contextlib.suppress(OSError):
            return socket.create_server((host, RESERVATION_PORT))
    raise OSError("all networks for soaks are reserved")
