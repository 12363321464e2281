"""A randomized soak of the platform's roles as real processes.

Starts control replicas, entries and agents as processes on loopback, with
stand-in workers, callers and an operator of its own around them, and injects
faults from outside: signals to the processes, lost data folders, and a proxy
before every replica, entry and worker that delays, resets, cuts one way or
silences connections. What callers, workers and the operator see is checked
while it goes on; after the last fault all accepted jobs must end.

    python -m devtools.soak --seed 7 --seconds 30

A seed gives the same schedule of faults each time. A run that breaks a promise
keeps its folder: schedule, history and the logs of all processes.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Any
from typing import Final
from typing import Literal

import aiohttp

from devtools import proxy
from devtools import soak_checks
from devtools import soak_schedule
from devtools import soak_worker

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
HOST: Final = "desk.example"
CONTROLS: Final = 3
ENTRIES: Final = 2
JOBS_A_SECOND: Final = 4.0
# A caller gives up after this long and sends the job again elsewhere.
CALL_S: Final = 3.0
SUBMISSIONS: Final = 5
STATE_PERIOD_S: Final = 0.5
CONFIGURE_PERIOD_S: Final = 1.0
CONFIGURE_PAUSE_S: Final = 0.2
# After the last fault everything that was accepted ends within this time:
# leases, elections and restarts take 10 s, the work itself less.
SETTLE_S: Final = 40.0
GRACE_S: Final = 6.0
DELAY_MS: Final = 120

Cut = Literal["to_target", "from_target"]
CUTS: Final[dict[str, tuple[Cut, ...]]] = {
    "cut": ("to_target", "from_target"),
    "cut_in": ("to_target",),
    "cut_out": ("from_target",),
}


@dataclasses.dataclass(kw_only=True)
class Process:
    """One process of the system.

    Attributes:
        name: Its name.
        role: Its role.
        settings: Its settings file.
        log: Where its output goes.
        folder: Its data folder; None if it has none.
        running: The process; None while it is down.
    """

    name: str
    role: str
    settings: pathlib.Path
    log: pathlib.Path
    folder: pathlib.Path | None = None
    running: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts it."""
        with self.log.open("ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "main.py"),
                self.role,
                env={
                    **os.environ,
                    # This checkout's code, whatever else is installed.
                    "PYTHONPATH": str(ROOT),
                    "BAMBOOROUTER_NODE_FILE": str(self.settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if it runs."""
        if self.running is not None and self.running.returncode is None:
            self.running.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Ends it by a signal and waits; kills it after the grace time."""
        if self.running is None:
            return
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.running.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.running.wait()
        self.running = None


class SoakSite:
    """All processes, workers and proxies of one soak.

    Attributes:
        processes: Processes by name.
        workers: Workers by name.
        proxies: Proxies by the name of what they stand before.
        history: What was seen.
    """

    def __init__(self, *, path: pathlib.Path, seed: int, workers: int) -> None:
        self.path = path
        self.history = soak_checks.History()
        self.processes: dict[str, Process] = {}
        self.workers: dict[str, soak_worker.SoakWorker] = {}
        self.proxies: dict[str, proxy.FaultProxy] = {}
        self._seed = seed
        self._size = workers
        # Soaks that run at once must not share addresses.
        self._net = f"127.{64 + os.getpid() % 128}"
        self._port = 20_000 + os.getpid() % 10_000
        self._links = self._port + 10

    # --- Life ----------------------------------------------------------------

    async def start(self) -> None:
        """Starts everything; returns before the group has formed."""
        for number in range(1, CONTROLS + 1):
            name = f"control-{number}"
            link = f"{self._net}.9.{number}:{self._links}"
            await self._add_proxy(
                name, link, f"{self._net}.1.{number}:{self._links}"
            )
            self._add_process(
                name,
                ip=f"{self._net}.1.{number}",
                bootstrap=True,
                data_dir=str(self.path / name),
                disk_mb=64,
                control=f"{self._net}.1.{number}:{self._port}",
                advertise=link,
            )
        for number in range(1, ENTRIES + 1):
            name = f"entry-{number}"
            callers = f"{self._net}.2.{number}:{self._port}"
            await self._add_proxy(
                name, f"{self._net}.7.{number}:{self._port}", callers
            )
            self._add_process(
                name,
                ip=f"{self._net}.2.{number}",
                callers=callers,
                ready=f"{self._net}.2.{number}:{self._port + 1}",
            )
        for number in range(1, self._size + 1):
            await self._add_worker(number)
        await asyncio.gather(*(p.start() for p in self.processes.values()))

    async def _add_worker(self, number: int) -> None:
        control = f"{self._net}.3.{number}:{self._port}"
        orders = f"{self._net}.4.{number}:{self._port}"
        name = f"worker-{number}"
        await self._add_proxy(
            name, f"{self._net}.8.{number}:{self._port}", orders
        )
        self._add_process(
            f"agent-{number}", ip=f"{self._net}.3.{number}", control=control
        )
        worker = soak_worker.SoakWorker(
            name=name,
            agent=control,
            history=self.history,
            seed=self._seed + number,
        )
        worker.announced = self.proxies[name].address
        self.workers[name] = worker
        await worker.start(orders)

    async def close(self) -> None:
        """Ends everything that this soak started."""
        await asyncio.gather(
            *(p.end(signal.SIGKILL) for p in self.processes.values())
        )
        await asyncio.gather(*(w.close() for w in self.workers.values()))
        await asyncio.gather(*(p.close() for p in self.proxies.values()))

    async def _add_proxy(self, name: str, address: str, target: str) -> None:
        fault = proxy.FaultProxy()
        fault.target = target
        host, _, port = address.rpartition(":")
        await fault.start(host, int(port))
        self.proxies[name] = fault

    def _add_process(self, name: str, **fields: Any) -> None:
        role = name.partition("-")[0]
        seeds = [
            f"{self._net}.9.{n}:{self._port}" for n in range(1, CONTROLS + 1)
        ]
        values = {
            "name": name,
            "zone": "z1",
            "seeds": seeds,
            "ports": [self._links, self._links + 10],
            **fields,
        }
        settings = self.path / f"{name}.toml"
        # JSON's strings, numbers, booleans and lists are TOML's as well.
        settings.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())
        )
        folder = values.get("data_dir")
        self.processes[name] = Process(
            name=name,
            role=role,
            settings=settings,
            log=self.path / f"{name}.log",
            folder=pathlib.Path(folder) if folder else None,
        )

    def entry_address(self, number: int) -> str:
        """Returns where callers reach an entry."""
        return self.proxies[f"entry-{number}"].address

    def operator_address(self, number: int) -> str:
        """Returns where the operator reaches a replica."""
        return f"{self._net}.1.{number}:{self._port}"

    # --- Faults --------------------------------------------------------------

    async def play(self, fault: soak_schedule.Fault) -> None:
        """Plays one fault, to its end."""
        self.history.counts[f"fault {fault.kind}"] += 1
        if fault.kind == "crash":
            self.workers[fault.target].crash()
        elif fault.kind in ("reset", "delay", *CUTS):
            await self._disturb(fault, self.proxies[fault.target])
        elif fault.kind == "kill_all":
            names = [n for n in self.processes if n.startswith("control")]
            await asyncio.gather(
                *(self._restart(self.processes[n], fault) for n in names)
            )
        else:
            await self._restart(self.processes[fault.target], fault)

    async def _disturb(
        self, fault: soak_schedule.Fault, place: proxy.FaultProxy
    ) -> None:
        if fault.kind == "reset":
            place.reset()
            return
        gates = [
            place.gate("", direction)
            for direction in ("to_target", "from_target")
        ]
        if fault.kind == "delay":
            for gate in gates:
                gate.delay_ms = DELAY_MS
        else:
            place.cut(*CUTS[fault.kind])
        await asyncio.sleep(fault.for_s)
        for gate in gates:
            gate.delay_ms = 0
        place.heal()

    async def _restart(
        self, process: Process, fault: soak_schedule.Fault
    ) -> None:
        if fault.kind == "freeze":
            process.send(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            process.send(signal.SIGCONT)
            return
        polite = fault.kind == "terminate"
        await process.end(signal.SIGTERM if polite else signal.SIGKILL)
        if fault.kind == "lose_folder" and process.folder is not None:
            shutil.rmtree(process.folder)
            text = process.settings.read_text()
            process.settings.write_text(
                text.replace("bootstrap = true", "bootstrap = false")
            )
        await asyncio.sleep(fault.for_s / 4)
        if process.running is None:
            await process.start()


class Soak:
    """One run: load, faults and the end.

    Attributes:
        site: The site.
        faults: The schedule.
        seconds: How long jobs are handed in.
    """

    def __init__(
        self,
        *,
        site: SoakSite,
        faults: list[soak_schedule.Fault],
        seconds: float,
        seed: int,
    ) -> None:
        self.site = site
        self.faults = faults
        self.seconds = seconds
        self._draws = random.Random(seed)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_S)
        )
        self._version = 0

    async def run(self) -> soak_checks.History:
        """Plays the soak and returns what was seen."""
        history = self.site.history
        try:
            await self.site.start()
            await self._configure_once()
            began = time.monotonic()
            operator = asyncio.create_task(self._configure_forever())
            await asyncio.gather(
                self._submit_for(self.seconds),
                *(self._play_at(began, fault) for fault in self.faults),
            )
            await self._settle()
            operator.cancel()
            await asyncio.gather(operator, return_exceptions=True)
            history.finish()
        finally:
            await self._session.close()
            await self.site.close()
        return history

    async def _play_at(self, began: float, fault: soak_schedule.Fault) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_s - time.monotonic()))
        await self.site.play(fault)

    async def _settle(self) -> None:
        """Waits until all accepted jobs have ended, within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while open_jobs := self.site.history.open_jobs():
                    for job in open_jobs:
                        await self._ask_state(job)
                    await asyncio.sleep(STATE_PERIOD_S)

    # --- Callers -------------------------------------------------------------

    async def _submit_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        callers: list[asyncio.Task[None]] = []
        while time.monotonic() < end:
            job = f"{self._draws.getrandbits(64):016x}"
            callers.append(asyncio.create_task(self._submit(job)))
            await asyncio.sleep(self._draws.expovariate(JOBS_A_SECOND))
        await asyncio.gather(*callers)

    async def _submit(self, job: str) -> None:
        """Hands a job in as the platform's callers do."""
        body = self._job()
        history = self.site.history
        history.submitting(job)
        for _ in range(SUBMISSIONS):
            status, _ = await self._call("POST", job, body)
            history.answered(job, status)
            if status == soak_checks.OK:
                await self._ask_state(job)
                # A copy of the submission may arrive seconds later.
                if self._draws.random() < 0.2:
                    await asyncio.sleep(self._draws.uniform(0, 3))
                    await self._call("POST", job, body)
                return
            if status in soak_checks.REFUSALS:
                return
            await asyncio.sleep(0.1)

    def _job(self) -> dict[str, Any]:
        millicores = self._draws.randint(300, 2500)
        run_ms = self._draws.randint(30, 900)
        steps: list[dict[str, Any]] = [
            {
                "count": self._draws.randint(1, 5),
                "cpu": millicores,
                "memMb": 100,
                "estimateMs": run_ms,
            }
            for _ in range(self._draws.randint(1, 3))
        ]
        for number in range(1, len(steps)):
            steps[number]["after"] = [number - 1]
        return {"spec": f"{millicores} {run_ms}", "phases": steps}

    async def _ask_state(self, job: str) -> None:
        status, answer = await self._call("GET", job)
        state = answer.get("state", "") if isinstance(answer, dict) else ""
        self.site.history.shown(job, status, state)

    async def _call(
        self, method: str, job: str, body: Any = None
    ) -> tuple[int, Any]:
        """Returns status and body; status 0 without an answer."""
        address = self.site.entry_address(self._draws.randint(1, ENTRIES))
        return await self._request(
            method, f"http://{address}/forms/{job}", body
        )

    # --- Operator ------------------------------------------------------------

    async def _configure_once(self) -> None:
        deadline = time.monotonic() + SETTLE_S
        configured = False
        while not configured:
            if time.monotonic() > deadline:
                raise TimeoutError("the group took no configuration")
            await asyncio.sleep(CONFIGURE_PAUSE_S)
            configured = await self._put()

    async def _configure_forever(self) -> None:
        while True:
            await asyncio.sleep(CONFIGURE_PERIOD_S)
            if self._draws.random() < 0.5:
                self._version += 1
            await self._put()
            at_least = self.site.history.known_version()
            status, answer = await self._request("GET", self._operator_url())
            if status == soak_checks.OK:
                self.site.history.read_back(
                    answer["version"], at_least=at_least
                )

    async def _put(self) -> bool:
        version = self._version
        status, _ = await self._request(
            "PUT", self._operator_url(), _configuration(version)
        )
        if status == soak_checks.OK:
            self.site.history.configured(version)
        return status == soak_checks.OK

    def _operator_url(self) -> str:
        number = self._draws.randint(1, CONTROLS)
        return f"http://{self.site.operator_address(number)}/-/config"

    async def _request(
        self, method: str, url: str, body: Any = None
    ) -> tuple[int, Any]:
        try:
            async with self._session.request(
                method, url, json=body, headers={"Host": HOST}
            ) as response:
                answer = await response.json(content_type=None)
                return response.status, answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return 0, None


def _configuration(version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-forms",
                "host": HOST,
                "pathPrefix": "/forms/",
                "timeoutMs": 3000 + version,
                "targetLatencyMs": 30_000,
                "priority": 0,
                "service": "desk",
                "maxAttempts": 20,
                "slackFactor": 20.0,
            }
        ],
        "services": [{"name": "desk", "enforcesCapacity": False}],
    }


async def play(
    *, seed: int, seconds: float, workers: int, path: pathlib.Path
) -> soak_checks.History:
    """Plays one soak in a folder.

    Args:
        seed: Decides the faults and the load.
        seconds: How long jobs are handed in.
        workers: How many workers there are, each with an agent.
        path: Folder for settings, data and logs.
    """
    faults = soak_schedule.schedule(
        seed,
        seconds=seconds,
        controls=CONTROLS,
        entries=ENTRIES,
        workers=workers,
    )
    (path / "schedule.txt").write_text("".join(f"{f}\n" for f in faults))
    site = SoakSite(path=path, seed=seed, workers=workers)
    soak = Soak(site=site, faults=faults, seconds=seconds, seed=seed)
    history = await soak.run()
    (path / "history.json").write_text(
        json.dumps(
            {
                "seed": seed,
                "violations": history.violations,
                "counts": dict(sorted(history.counts.items())),
            },
            indent=1,
        )
    )
    return history


def main() -> int:
    """Plays soaks with successive seeds; returns 1 if one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=4)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        path = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history = asyncio.run(
            play(
                seed=seed,
                seconds=arguments.seconds,
                workers=arguments.workers,
                path=path,
            )
        )
        print(f"seed {seed}: {dict(sorted(history.counts.items()))}")
        for violation in history.violations:
            print(f"seed {seed}: BROKEN {violation}")
        if history.violations:
            failed += 1
            print(f"seed {seed}: kept {path}")
        else:
            shutil.rmtree(path)
    print(f"{arguments.runs} soaks, {failed} broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
