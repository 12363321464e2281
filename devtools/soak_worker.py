"""A worker of the platform for the soak, by its published protocol.

It checks fencing tokens and attempts, ends all runs with their lease, measures
it on a clock of its own, repeats ends until they are acknowledged, and can
crash and be born anew. What it does is told to the history.
"""

import asyncio
import dataclasses
import random
import time
from typing import Any
from typing import Final

import aiohttp
from aiohttp import web

from devtools import soak_checks

ROOM_MILLICORES: Final = 8000
ROOM_MB: Final = 8000
HEARTBEAT_S: Final = 0.5
TICK_S: Final = 0.01
STOP_S: Final = 0.05
FAILING_SHARE: Final = 0.03
LONGEST_LEASE_MS: Final = 6000
# The worker's clock runs behind true time by up to 2 %.
CLOCK_RATE: Final = 0.985


@dataclasses.dataclass(kw_only=True)
class _Run:
    attempt: int
    millicores: int
    end_s: float
    how: str = "done"


class SoakWorker:
    """One worker.

    Attributes:
        name: Name of its machine.
        announced: Address that it announces, maybe that of a proxy.
        draws: Source of what is left to chance.
    """

    def __init__(
        self,
        *,
        name: str,
        agent: str,
        history: soak_checks.History,
        seed: int,
    ) -> None:
        self.name = name
        self.announced = ""
        self.draws = random.Random(seed)
        self._agent = agent
        self._history = history
        self._runner: web.AppRunner | None = None
        self._loops: list[asyncio.Task[None]] = []
        self._begin_life()

    def _begin_life(self) -> None:
        self._born = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._sequence = 0
        self._count = 0
        self._token = 0
        self._until_ms = 0
        self._runs: dict[str, _Run] = {}
        self._ended: list[list[Any]] = []
        self._highest: dict[str, int] = {}

    @property
    def life(self) -> str:
        """Returns the name of the worker with that of its life."""
        return f"{self.name}@{self._born}"

    async def start(self, address: str) -> None:
        """Serves orders at an address and begins to announce itself."""
        host, _, port = address.rpartition(":")
        application = web.Application()
        application.router.add_post("/-/run-start", self._start)
        application.router.add_post("/-/run-stop", self._stop)
        application.router.add_post("/-/hold", self._hold)
        application.router.add_post("/-/pace", self._pace)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self._loops = [
            asyncio.create_task(self._announce_forever()),
            asyncio.create_task(self._tick_forever()),
        ]

    async def close(self) -> None:
        """Stops everything."""
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Loses everything and is born anew under the same name."""
        for task, run in self._runs.items():
            self._history.ended(task, self.life, run.attempt, "lost")
        self._begin_life()

    # --- Time ----------------------------------------------------------------

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000 * CLOCK_RATE)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self._runs and self._clock_ms() > self._until_ms
            for task, run in list(self._runs.items()):
                if lapsed:
                    self._end(task, "lapsed")
                elif now >= run.end_s:
                    self._end(task, run.how)

    async def _announce_forever(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                try:
                    async with session.put(
                        f"http://{self._agent}/-/instances/i-{self.name}",
                        json=self._announcement(),
                    ):
                        pass
                except (aiohttp.ClientError, TimeoutError):
                    # The agent is down; it is told again soon.
                    pass
                await asyncio.sleep(HEARTBEAT_S)

    def _announcement(self) -> dict[str, Any]:
        return {
            "service": "desk",
            "addr": self.announced,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": ROOM_MILLICORES, "memMb": ROOM_MB, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self._born,
        }

    # --- Orders --------------------------------------------------------------

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        task, attempt = body["task"], body["attempt"]
        if problem := self._rejected(request, body):
            return problem
        if task in self._runs and self._runs[task].attempt == attempt:
            return self._answer()
        if attempt <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        millicores, run_ms = map(int, body["spec"].split())
        fails = self.draws.random() < FAILING_SHARE
        self._highest[task] = attempt
        self._runs[task] = _Run(
            attempt=attempt,
            millicores=millicores,
            end_s=time.monotonic() + run_ms / 1000,
            how="failed" if fails else "done",
        )
        used = sum(run.millicores for run in self._runs.values())
        self._history.started(task, self.life, room_left=ROOM_MILLICORES - used)
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if problem := self._rejected(request, body):
            return problem
        task, attempt = body["task"], body["attempt"]
        self._highest[task] = max(attempt, self._highest.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            run.how, run.end_s = "stopped", time.monotonic() + STOP_S
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._rejected(request, body) or self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if problem := self._rejected(request, body):
            return problem
        born = self._born
        self._extend(body.get("untilMs", 0))
        for row in self._ended:
            if row[0] <= body["ackCursor"]:
                self._history.acknowledged(row[1], row[2], row[3])
        self._ended = [r for r in self._ended if r[0] > body["ackCursor"]]
        for _ in range(int(body.get("waitMs", 0) / 1000 / TICK_S)):
            if self._ended:
                break
            await asyncio.sleep(TICK_S)
        if born != self._born:
            raise web.HTTPMisdirectedRequest()
        running = [
            [task, run.attempt, "", 50, 0] for task, run in self._runs.items()
        ]
        return self._answer(running=running, finished=self._ended)

    def _extend(self, until_ms: int) -> None:
        longest = self._clock_ms() + LONGEST_LEASE_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._count += 1
        self._ended.append([self._count, task, run.attempt, how, ""])
        self._history.ended(task, self.life, run.attempt, how)

    def _rejected(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response | None:
        if request.headers.get("Expect-Instance") != f"i-{self.name}":
            return self._answer(421)
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        return None

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {"clockMs": self._clock_ms(), "born": self._born, **fields}
        return web.json_response(body, status=status)
