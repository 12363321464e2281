"""A worker that follows the platform's protocol without any fault.

The spec of a submission tells how long its tasks run: `run_ms=N`.
"""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any

import aiohttp
from aiohttp import web

from review.standins import record

ANNOUNCE_INTERVAL_S = 1.1
TICK_S = 0.01
MAX_LEASE_MS = 10_000
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500


@dataclasses.dataclass(kw_only=True)
class Run:
    """A run of a task.

    Attributes:
        started_s: Monotonic time of the start in s.
        end_s: Monotonic time in s at which the run is done.
        ended_s: Monotonic time in s at which it ended; None while it runs.
        how: How it ended.
    """

    started_s: float
    end_s: float
    ended_s: float | None = None
    how: str = ""


class Worker:
    """One worker.

    Attributes:
        name: ID of the worker.
        service: Service that it announces.
        runs: All runs so far, by task and attempt.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        agent: str,
        service: str,
        log: record.Record,
        cpu: int = 16_000,
        memory_mb: int = 62_500,
    ) -> None:
        self.name = name
        self.service = service
        self.runs: dict[tuple[str, int], Run] = {}
        self._address = address
        self._agent = agent
        self._log = log
        self._capacity = {"cpu": cpu, "memMb": memory_mb, "gpu": 0}
        self._runner: web.AppRunner | None = None
        self._loops: list[asyncio.Task[None]] = []
        # Set when a run ends.
        self._ended = asyncio.Event()
        self._begin()

    def _begin(self) -> None:
        """Begins a boot, which knows nothing of earlier ones."""
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_end_ms = 0
        self._ends: list[list[Any]] = []
        self._end_count = 0
        # Highest attempt that was stopped or has ended, by task.
        self._closed: dict[str, int] = {}

    async def start(self) -> None:
        """Accepts orders and announces the worker."""
        application = web.Application()
        application.router.add_post("/-/run-start", self._start)
        application.router.add_post("/-/run-stop", self._stop)
        application.router.add_post("/-/hold", self._hold)
        application.router.add_post("/-/pace", self._pace)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._loops = [
            asyncio.create_task(self._announce()),
            asyncio.create_task(self._tick()),
        ]

    async def crash(self, down_s: float) -> None:
        """Crashes; a new boot starts under the same ID after some time."""
        await self.close()
        for key, run in self.runs.items():
            if run.ended_s is None:
                run.ended_s, run.how = time.monotonic(), "crash"
                self._log.write(
                    f"worker {self.name}: run {key[1]} of {key[0]} is gone"
                )
        await asyncio.sleep(down_s)
        self._begin()
        await self.start()

    async def close(self) -> None:
        """Stops the worker and closes its connections."""
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def at_work(self) -> list[str]:
        """Returns the tasks that the worker runs."""
        return [t for (t, _), run in self.runs.items() if run.ended_s is None]

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    async def _announce(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.put(
                        f"http://{self._agent}/-/instances/{self.name}",
                        json=self._announcement(),
                    ):
                        pass
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _announcement(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "addr": self._address,
            "zone": "jevnaker",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self._capacity,
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self._born_ms,
        }

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self._clock_ms() > self._lease_end_ms
            for key, run in self.runs.items():
                if run.ended_s is None and lapsed:
                    self._end(key, "lapsed")
                elif run.ended_s is None and now >= run.end_s:
                    self._end(key, "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self.runs[key]
        run.ended_s, run.how = time.monotonic(), how
        self._end_count += 1
        self._ends.append([self._end_count, *key, how, ""])
        self._closed[key[0]] = max(key[1], self._closed.get(key[0], 0))
        self._ended.set()
        self._log.write(f"worker {self.name}: end {key[0]} run {key[1]} {how}")

    def _extend_lease(self, until_ms: int) -> None:
        limit = self._clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, limit))

    def _rejected(self, body: dict[str, Any]) -> web.Response | None:
        if body.get("fencingToken", 0) < self._token:
            return self._answer(409, reason="fence")
        self._token = body.get("fencingToken", 0)
        return None

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if wrong := self._wrong_instance(request) or self._rejected(body):
            return wrong
        key = (body["task"], body["attempt"])
        self._extend_lease(body["untilMs"])
        if key in self.runs and self.runs[key].ended_s is None:
            return self._answer()
        if key[1] <= self._closed.get(key[0], 0):
            return self._answer(409, reason="old")
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        run_s = int(body["spec"].partition("run_ms=")[2]) / 1000
        now = time.monotonic()
        self.runs[key] = Run(started_s=now, end_s=now + run_s)
        self._log.write(
            f"worker {self.name} ({self.service}): start {key[0]} run {key[1]}"
        )
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if wrong := self._wrong_instance(request) or self._rejected(body):
            return wrong
        key = (body["task"], body["attempt"])
        self._closed[key[0]] = max(key[1], self._closed.get(key[0], 0))
        if key in self.runs and self.runs[key].ended_s is None:
            self._end(key, "stopped")
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        wrong = self._wrong_instance(request) or self._rejected(body)
        return wrong or self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if wrong := self._wrong_instance(request) or self._rejected(body):
            return wrong
        self._extend_lease(body.get("untilMs") or 0)
        self._ends = [row for row in self._ends if row[0] > body["ackCursor"]]
        wait_ms = min(body.get("waitMs") or 0, MAX_WAIT_MS)
        if not self._ends:
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._ended.wait()
        running = [
            [*key, "", 50, 0]
            for key, run in self.runs.items()
            if run.ended_s is None
        ]
        return self._answer(
            running=running, finished=self._ends[:MAX_LISTED_ENDS]
        )

    def _wrong_instance(self, request: web.Request) -> web.Response | None:
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return self._answer(421)
        return None

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {"clockMs": self._clock_ms(), "born": self._born_ms, **fields}
        return web.json_response(body, status=status)
