"""Simulated worker for the soak test, following the platform's specification.

The worker rejects stale fencing tokens and attempts, ends all runs when its
lease expires on its own clock, repeats the end of a run until it is
acknowledged, and can crash and restart as a new incarnation. It records all
starts and ends in the history of the soak.
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

CAPACITY_MILLICORES: Final = 8000
CAPACITY_MB: Final = 8000
ANNOUNCE_INTERVAL_S: Final = 0.5
TICK_INTERVAL_S: Final = 0.01
STOP_DURATION_S: Final = 0.05
FAILURE_PROBABILITY: Final = 0.03
MAX_LEASE_MS: Final = 6000
# Rate of the worker's clock; it may be slow by up to 2 %.
CLOCK_RATE: Final = 0.985


@dataclasses.dataclass(kw_only=True)
class _Run:
    attempt: int
    millicores: int
    end_s: float
    how: str = "done"


class SoakWorker:
    """A simulated worker.

    Attributes:
        name: Name of its machine.
        announced: Address that it announces; may be that of a proxy.
        rng: Random generator for failing runs.
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
        self.rng = random.Random(seed)
        self._agent = agent
        self._history = history
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self._started_wall_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._end_count = 0
        self._token = 0
        self._lease_end_ms = 0
        self._runs: dict[str, _Run] = {}
        self._unacknowledged_ends: list[list[Any]] = []
        # Number of the last end before the lease last expired.
        self._last_end_before_expiry = 0
        self._highest_attempts: dict[str, int] = {}

    @property
    def incarnation(self) -> str:
        """Returns the name of the current incarnation."""
        return f"{self.name}@{self._started_wall_ms}"

    async def start(self, address: str) -> None:
        """Serves orders at an address and starts the announcements."""
        host, _, port = address.rpartition(":")
        application = web.Application()
        application.router.add_post("/-/run-start", self._start)
        application.router.add_post("/-/run-stop", self._stop)
        application.router.add_post("/-/hold", self._hold)
        application.router.add_post("/-/pace", self._pace)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self._tasks = [
            asyncio.create_task(self._announce_forever()),
            asyncio.create_task(self._tick_forever()),
        ]

    async def close(self) -> None:
        """Stops the announcements and the server."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Loses all state and restarts as a new incarnation."""
        for task, run in self._runs.items():
            self._history.record_end(
                task, self.incarnation, run.attempt, "lost"
            )
        self._start_incarnation()

    # --- Time ----------------------------------------------------------------

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_s) * 1000 * CLOCK_RATE)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            expired = self._expire_lease()
            for task, run in list(self._runs.items()):
                if expired:
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
                    # The agent is unreachable; the loop announces again.
                    pass
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _announcement(self) -> dict[str, Any]:
        return {
            "service": "desk",
            "addr": self.announced,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {
                "cpu": CAPACITY_MILLICORES,
                "memMb": CAPACITY_MB,
                "gpu": 0,
            },
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self._started_wall_ms,
        }

    # --- Orders --------------------------------------------------------------

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        task, attempt = body["task"], body["attempt"]
        if problem := self._reject(request, body):
            return problem
        if task in self._runs and self._runs[task].attempt == attempt:
            return self._answer()
        if attempt <= self._highest_attempts.get(task, 0):
            return self._answer(409, reason="old")
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend_lease(body["untilMs"])
        millicores, run_ms = map(int, body["spec"].split())
        fails = self.rng.random() < FAILURE_PROBABILITY
        self._highest_attempts[task] = attempt
        self._runs[task] = _Run(
            attempt=attempt,
            millicores=millicores,
            end_s=time.monotonic() + run_ms / 1000,
            how="failed" if fails else "done",
        )
        used = sum(run.millicores for run in self._runs.values())
        self._history.record_start(
            task, self.incarnation, free_millicores=CAPACITY_MILLICORES - used
        )
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        if problem := self._reject(request, body):
            return problem
        task, attempt = body["task"], body["attempt"]
        self._highest_attempts[task] = max(
            attempt, self._highest_attempts.get(task, 0)
        )
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            run.how, run.end_s = "stopped", time.monotonic() + STOP_DURATION_S
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        body = await request.json()
        return self._reject(request, body) or self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if problem := self._reject(request, body):
            return problem
        started_wall_ms = self._started_wall_ms
        self._extend_lease(body.get("untilMs", 0))
        for row in self._unacknowledged_ends:
            if row[0] <= body["ackCursor"]:
                self._history.record_acknowledgement(
                    row[1],
                    row[2],
                    row[3],
                    lease_expired=row[0] <= self._last_end_before_expiry,
                )
        self._unacknowledged_ends = [
            r for r in self._unacknowledged_ends if r[0] > body["ackCursor"]
        ]
        for _ in range(int(body.get("waitMs", 0) / 1000 / TICK_INTERVAL_S)):
            if self._unacknowledged_ends:
                break
            await asyncio.sleep(TICK_INTERVAL_S)
        if started_wall_ms != self._started_wall_ms:
            # The worker crashed and restarted during the long poll.
            raise web.HTTPMisdirectedRequest()
        running = [
            [task, run.attempt, "", 50, 0] for task, run in self._runs.items()
        ]
        return self._answer(running=running, finished=self._unacknowledged_ends)

    def _expire_lease(self) -> bool:
        """Returns whether the lease has expired; records the ends before it."""
        expired = self._clock_ms() > self._lease_end_ms
        if expired:
            self._last_end_before_expiry = self._end_count
        return expired

    def _extend_lease(self, until_ms: int) -> None:
        self._expire_lease()
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, latest_ms))

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._end_count += 1
        self._unacknowledged_ends.append(
            [self._end_count, task, run.attempt, how, ""]
        )
        self._history.record_end(task, self.incarnation, run.attempt, how)

    def _reject(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.Response | None:
        """Returns the rejection of an order; None for a valid one."""
        if request.headers.get("Expect-Instance") != f"i-{self.name}":
            return self._answer(421)
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        return None

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {
            "clockMs": self._clock_ms(),
            "born": self._started_wall_ms,
            **fields,
        }
        return web.json_response(body, status=status)
