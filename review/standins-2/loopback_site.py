"""A small site on loopback addresses for the cases of the second review.

Starts the project's programs as separate processes with the commands of the
deploy file and with settings as its template renders them. Workers, callers
and the operator are stand-ins in this process. The stand-in workers follow the
platform's protocol page.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

HOST = "desk.example"
SERVICE = "desk"
HOLD_MAX_MS = 10_000
STOP_MS = 900
GANG_MS = 3000
BEAT_S = 1.1
CONTROL_PORT = 8166
FRONT_PORT = 8161
READY_PORT = 8167
LINK_PORTS = (7720, 7735)
APP_PORT = 8080
GRACE_S = 6

HELD = 0
BROKEN = 1
NOT_RUN = 2


class Record:
    """What was sent, answered and run, written to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Writes one line with the time since the start."""
        elapsed = time.monotonic() - self._began
        self._file.write(f"{elapsed:9.3f} {text}\n")
        self._file.flush()


class Run:
    """One run of a task on a worker."""

    def __init__(self, task: str, attempt: int, saved: str) -> None:
        self.task = task
        self.attempt = attempt
        self.saved = saved
        self.began = time.monotonic()
        # Set once the run works; the members of a gang wait for each other.
        self.works_since: float | None = None
        self.stops_at: float | None = None
        self.ended: str | None = None

    @property
    def job(self) -> str:
        """ID of the submission."""
        return self.task.split(".", maxsplit=1)[0]

    @property
    def group(self) -> tuple[str, int]:
        """Step of an occurrence, with the number of the run."""
        return self.task.rpartition(".")[0], self.attempt


class Worker:
    """One machine of workers; `restart` begins its next life.

    Attributes:
        name: Name of the machine.
        service: Service whose tasks it runs.
        address: Address for orders.
        fails_all: Whether everything that is started fails.
        fail_after_s: Time after which such a run fails.
    """

    def __init__(self, site: "Site", number: int, *, cpu: int) -> None:
        self.site = site
        self.name = f"w{number}"
        self.service = SERVICE
        self.ip = f"{site.network}.4.{number}"
        self.address = f"{self.ip}:{APP_PORT}"
        self.agent = f"{site.network}.3.{number}:{CONTROL_PORT}"
        self.cpu = cpu
        self.rack = f"r1-{(number - 1) // 3 + 1}"
        self.fails_all = False
        self.fail_after_s = 0.15
        self.draining = False
        self.up = False
        self.id = f"i-{number:08x}"
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self.running: dict[str, Run] = {}
        self._ends: list[list[Any]] = []
        self._count = 0
        self._token = 0
        self._highest: dict[str, int] = {}
        self._clock_base = time.monotonic() - random.uniform(1, 100)
        self._lease_end_ms = 0
        self._sequence = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Begins a life: listens, and sends announcements."""
        self._begin_life()
        application = web.Application()
        for path, handler in (
            ("run-start", self._start_run),
            ("run-stop", self._stop_run),
            ("hold", self._hold),
            ("pace", self._pace),
        ):
            application.router.add_post(f"/-/{path}", handler)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, APP_PORT).start()
        self.up = True
        self._tasks = [
            asyncio.create_task(self._announce_forever()),
            asyncio.create_task(self._work_forever()),
        ]

    async def crash(self) -> None:
        """Ends the life; everything that runs is gone."""
        self.up = False
        ended = list(self.running.values())
        for run in ended:
            run.ended = "crashed"
        for run in ended:
            self.site.note_end(self, run)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            for server in self._runner.sites:
                await server.stop()
            for connection in self._runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
            await self._runner.cleanup()

    # --- Calls to the worker -------------------------------------------------

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_base) * 1000)

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {"clockMs": self._clock_ms(), "born": self.born, **fields}
        return web.json_response(body, status=status)

    def _refusal(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response | None:
        if not self.up:
            # The life has ended; its connections are being closed.
            if request.transport is not None:
                request.transport.abort()
            return self._answer(503)
        if request.headers.get("Expect-Instance", self.id) != self.id:
            return self._answer(421)
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        return None

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is not None:
            longest = self._clock_ms() + HOLD_MAX_MS
            self._lease_end_ms = max(self._lease_end_ms, min(until_ms, longest))

    async def _start_run(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body["task"], body["attempt"]
        present = self.running.get(task)
        if present is not None and present.attempt == attempt:
            self._extend(body["untilMs"])
            return self._answer()
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        if attempt <= self._highest.get(task, 0) or present is not None:
            return self._answer(409, reason="old")
        run = Run(task, attempt, body.get("checkpoint", ""))
        self.running[task] = run
        self.site.note_start(self, run, body)
        return self._answer()

    async def _stop_run(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        task, attempt = body["task"], body["attempt"]
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            if run.stops_at is None:
                run.stops_at = time.monotonic() + random.uniform(0.05, 0.3)
        elif run is None:
            self._highest[task] = max(attempt, self._highest.get(task, 0))
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._refusal(request, body) or self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        self._extend(body.get("untilMs"))
        cursor = body.get("ackCursor", 0)
        self._ends = [row for row in self._ends if row[0] > cursor]
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._ends and (left := deadline - time.monotonic()) > 0:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
        return self._answer(
            running=[
                [run.task, run.attempt, run.saved, 50, 0]
                for run in self.running.values()
            ],
            finished=self._ends[:500],
        )

    # --- Work ----------------------------------------------------------------

    async def _work_forever(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self._clock_ms() > self._lease_end_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
                continue
            for run in list(self.running.values()):
                if run.ended is None:
                    self._work(run, now)

    def _work(self, run: Run, now: float) -> None:
        step = self.site.step_of(run.task)
        if run.stops_at is not None and now >= run.stops_at:
            self.end(run, "stopped")
        elif self.fails_all and now - run.began >= self.fail_after_s:
            self.end(run, "failed")
        elif step.get("gang"):
            self.site.advance_gang(run, step, now)
        elif not step.get(
            "longRunning"
        ) and now - run.began >= self.site.work_s(step):
            self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        if run.ended is not None:
            return
        run.ended = how
        self.running.pop(run.task, None)
        self._highest[run.task] = max(
            run.attempt, self._highest.get(run.task, 0)
        )
        self._count += 1
        self._ends.append([self._count, run.task, run.attempt, how, run.saved])
        self._changed.set()
        self.site.note_end(self, run)

    # --- Announcements -------------------------------------------------------

    def announcement(self) -> dict[str, Any]:
        """Returns the next announcement."""
        self._sequence += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 64_000, "gpu": 0},
            "labels": ["a", self.rack],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self.born,
        }

    async def announce(self) -> int:
        """Sends one announcement; returns the status, 0 without an answer."""
        url = f"http://{self.agent}/-/instances/{self.id}"
        status, _ = await self.site.call("PUT", url, self.announcement(), 1.0)
        return status

    async def _announce_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(BEAT_S * random.uniform(0.9, 1.1))


class Process:
    """One program of the deploy file."""

    def __init__(
        self, site: "Site", role: str, name: str, settings: str
    ) -> None:
        self.role = role
        self.name = name
        self.settings = site.folder / f"{name}.toml"
        self.settings.write_text(settings, encoding="utf-8")
        self._output = site.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the program."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOOROUTER_NODE_FILE"] = str(self.settings)
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "platform/main.py", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the program and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def ended_by_itself(self) -> bool:
        """Whether the program isn't running."""
        return self.process is not None and self.process.poll() is not None


class Site:
    """All programs and stand-ins of a case.

    Attributes:
        record: What was sent, answered and run.
        folder: Temporary folder of settings, logs and data.
        workers: The stand-in workers.
        submitted: Bodies of the submissions that were sent, by ID.
        runs: All runs that a worker began, with the worker.
        starts: The start orders of these runs, with the run.
    """

    def __init__(
        self,
        *,
        record: pathlib.Path,
        workers: int,
        cpu: int = 16_000,
        controls: int = 3,
        entries: int = 2,
        settings: str = "",
    ) -> None:
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self._reservation, self.network = _reserve_network()
        self.submitted: dict[str, dict[str, Any]] = {}
        self.runs: list[tuple[Worker, Run]] = []
        self.starts: list[tuple[dict[str, Any], Run]] = []
        self.gangs: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}
        self.workers = [Worker(self, n, cpu=cpu) for n in range(1, workers + 1)]
        self._http: aiohttp.ClientSession | None = None
        seeds = [f"{self.network}.1.{n}:{CONTROL_PORT}" for n in (1, 2, 3)]
        self._common = common = [
            'region = "area"',
            'zone = "z1"',
            f"seeds = {json.dumps(seeds)}",
            f"ports = {json.dumps(LINK_PORTS)}",
            "tolerated_losses = 1",
            f"max_worker_lease_ms = {HOLD_MAX_MS}",
            f"announce_interval_ms = {int(BEAT_S * 1000)}",
            f"grace_s = {GRACE_S}",
            settings,
        ]
        self.processes: dict[str, Process] = {}
        for n in range(1, controls + 1):
            self.add_control(n, bootstrap=True)
        for n in range(1, entries + 1):
            ip = f"{self.network}.2.{n}"
            self._add(
                "entry",
                f"entry-{n}",
                ip,
                [
                    f'callers = "{ip}:{FRONT_PORT}"',
                    f'ready = "{ip}:{READY_PORT}"',
                    *common,
                ],
            )
        for n in range(1, workers + 1):
            ip = f"{self.network}.3.{n}"
            self._add(
                "agent",
                f"agent-{n}",
                ip,
                [f'control = "{ip}:{CONTROL_PORT}"', *common],
            )

    def _add(self, role: str, name: str, ip: str, lines: list[str]) -> None:
        text = "\n".join([f'name = "{name}"', f'ip = "{ip}"', *lines, ""])
        self.processes[name] = Process(self, role, name, text)

    def add_control(self, number: int, *, bootstrap: bool) -> Process:
        """Adds a control program with an empty disk; returns it."""
        ip = f"{self.network}.1.{number}"
        name = f"control-{number}"
        lines = [
            f"bootstrap = {json.dumps(bootstrap)}",
            f'data_dir = "{self.folder}/data-{number}"',
            "disk_mb = 128",
            f'control = "{ip}:{CONTROL_PORT}"',
            *self._common,
        ]
        self._add("control", name, ip, lines)
        return self.processes[name]

    async def start(self) -> None:
        """Starts all programs and workers."""
        self._http = aiohttp.ClientSession()
        for process in self.processes.values():
            process.start()
        for worker in self.workers:
            await worker.start()

    async def close(self) -> None:
        """Ends all programs and removes the temporary folder."""
        for process in self.processes.values():
            process.end()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        if self._http is not None:
            await self._http.close()
        self._reservation.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    # --- Calls ---------------------------------------------------------------

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        timeout_s: float = 5.0,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Returns status and body of an answer; status 0 without one."""
        assert self._http is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._http.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, None

    async def ask(
        self, method: str, path: str, body: Any = None, *, entry: int = 1
    ) -> tuple[int, Any]:
        """Sends a caller's request to an entry, and records it."""
        url = f"http://{self.network}.2.{entry}:{FRONT_PORT}{path}"
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        if method == "POST":
            self.submitted.setdefault(path.rsplit("/", 1)[1], body)
        answer = await self.call(method, url, body, 3.0, headers)
        sent = "" if body is None else " " + json.dumps(body)
        self.record.add(f"{method} {path}{sent} -> {answer[0]} {answer[1]}")
        return answer

    async def offer(self, document: dict[str, Any], *, control: int) -> int:
        """Sends a configuration once; returns the status, 0 without one."""
        url = f"http://{self.network}.1.{control}:{CONTROL_PORT}/-/config"
        status, _ = await self.call("PUT", url, document, 2.0)
        self.record.add(
            f"PUT /-/config {document['version']} to control-{control}"
            f" -> {status}"
        )
        return status

    async def configure(self, document: dict[str, Any]) -> int:
        """Sends a configuration until it is acknowledged."""
        status = 0
        for number in range(60):
            status = await self.offer(document, control=1 + number % 3)
            if status == 200:
                break
            await asyncio.sleep(0.25)
        return status

    async def until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> bool:
        """Waits for a condition; returns whether it came true in time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def ready(self, document: dict[str, Any]) -> None:
        """Waits until jobs are accepted and the workers have run something.

        Raises:
            NotReadyError: The site wasn't ready in time.
        """
        if await self.configure(document) != 200:
            raise NotReadyError("no configuration was acknowledged")
        prefix = document["routes"][0]["pathPrefix"]
        for number in range(20):
            await asyncio.sleep(0.5)
            job = f"ffffffff{number:08x}"
            step = {"count": 4 * len(self.workers), "cpu": self._probe_cpu()}
            body = {"spec": "probe", "phases": [{**step, "estimateMs": 100}]}
            status, _ = await self.ask("POST", prefix + job, body)
            if status != 200:
                continue
            await self.until(lambda job=job: self._is_done(prefix + job), 5.0)
            used = {worker.name for worker, _ in self.runs}
            if used >= {w.name for w in self.workers if w.service == SERVICE}:
                return
        raise NotReadyError("not every worker has run something")

    def _probe_cpu(self) -> int:
        return self.workers[0].cpu // 4

    async def _is_done(self, path: str) -> bool:
        _, body = await self.ask("GET", path)
        return bool(body) and body.get("state") == "done"

    # --- What runs -----------------------------------------------------------

    def step_of(self, task: str) -> dict[str, Any]:
        """Returns the step of a task, as it was submitted."""
        job, _, step, _ = task.split(".")
        submitted = self.submitted.get(job)
        if submitted is None:
            return {"count": 1}
        found: dict[str, Any] = submitted["phases"][int(step)]
        return found

    def work_s(self, step: dict[str, Any]) -> float:
        """Returns how long a task of a step works."""
        return float(step.get("estimateMs", 100)) / 1000

    def note_start(
        self, worker: Worker, run: Run, body: dict[str, Any]
    ) -> None:
        """Records that a run begins."""
        self.record.add(
            f"start {run.task} run {run.attempt} on {worker.name} token"
            f" {body.get('fencingToken')} checkpoint"
            f" {body.get('checkpoint', '')!r} spec {body['spec']!r}"
        )
        self.runs.append((worker, run))
        self.starts.append((body, run))
        if self.step_of(run.task).get("gang"):
            self.gangs.setdefault(run.group, []).append((worker, run))

    def note_end(self, worker: Worker, run: Run) -> None:
        """Records the end of a run; the rest of its gang is broken."""
        self.record.add(
            f"end {run.task} run {run.attempt} on {worker.name} {run.ended}"
        )
        if run.ended in ("done", "broken"):
            return
        for other_worker, other in self.gangs.get(run.group, []):
            # A worker that fails everything fails its members by itself.
            if other.ended is None and not other_worker.fails_all:
                other_worker.end(other, "broken")

    def advance_gang(self, run: Run, step: dict[str, Any], now: float) -> None:
        """Lets a gang work once all of it is there; ends it together."""
        members = [m for m in self.gangs[run.group] if m[1].ended is None]
        if len(members) == step["count"]:
            began = max(member.began for _, member in members)
            if now - began >= self.work_s(step):
                for worker, member in members:
                    worker.end(member, "done")
        elif now - run.began >= GANG_MS / 1000:
            worker = next(w for w, m in members if m is run)
            worker.end(run, "alone")

    def runs_of(self, job: str) -> list[Run]:
        """Returns the runs of a submission in the order of their starts."""
        return [run for _, run in self.runs if run.job == job]


class NotReadyError(Exception):
    """The case couldn't run."""


def configuration(
    version: int, *routes: dict[str, Any], services: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Returns a configuration as the protocol page shows it."""
    return {
        "version": version,
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
            for name in services or (SERVICE,)
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route as the protocol page shows it, changed by `fields`."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 3,
        "slackFactor": 2.0,
        **fields,
    }


def run_case(site: Site, play: Callable[[Site], Awaitable[bool]]) -> int:
    """Runs a case; returns the exit status.

    Args:
        site: The site, not started yet.
        play: Plays the case; returns whether the rule held.
    """

    async def run() -> int:
        try:
            await site.start()
            held = await play(site)
        except NotReadyError as err:
            site.record.add(f"the case couldn't run: {err}")
            return NOT_RUN
        finally:
            await site.close()
        site.record.add("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN

    return asyncio.run(run())


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserves a loopback network 127.N for the addresses of a site."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        holder = socket.socket()
        try:
            holder.bind((f"127.{number}.255.1", 19_998))
        except OSError:
            holder.close()
            continue
        return holder, f"127.{number}"
    raise NotReadyError("no free loopback network")
