"""Simulated worker for the soak test, following the platform's specification.

The worker rejects stale fencing tokens and attempts, ends all runs when its
lease expires on its own clock, repeats the end of a run until it is
acknowledged, and can crash and restart as a new incarnation with the same ID,
which ends its open connections. It may leave calls unanswered and carry them
out seconds later, and its answers may overtake each other. Its capacity may
change while it runs, a task may crash it, and it may drain and leave. It
records all starts and ends in the history of the soak.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import math
import random
import time
from typing import Any
from typing import Final

import aiohttp
from aiohttp import web

from devtools import soak_capacity
from devtools import soak_checks
from devtools import soak_jobs

CAPACITY_MILLICORES: Final = 8000
CAPACITY_MB: Final = 8000
ANNOUNCE_INTERVAL_S: Final = 0.5
TICK_INTERVAL_S: Final = 0.01
MAX_STOP_DURATION_S: Final = 0.9
FAILURE_PROBABILITY: Final = 0.03
# Of every fourth worker.
HIGH_FAILURE_PROBABILITY: Final = 0.25
MAX_LEASE_MS: Final = 10_000
MAX_WAIT_MS: Final = 2000
MAX_LISTED_ENDS: Final = 500
# Probability that a call is carried out late while this is enabled.
LATE_PROBABILITY: Final = 0.4
LATE_S: Final = (2.0, 12.0)
# Probability that a call without an answer is carried out at once.
AT_ONCE_PROBABILITY: Final = 0.2
# Probability that an answer is delayed, so that later ones overtake it.
DELAYED_ANSWER_PROBABILITY: Final = 0.1
MAX_ANSWER_DELAY_S: Final = 0.5
# The agent stops waiting for the answer of a call before this time.
UNANSWERED_S: Final = 3.0
# Time until a worker that a task has crashed, or that has left, is back.
DOWN_S: Final = (0.5, 4.0)
# Rate of the worker's clock; it may be slow by up to 2 %.
CLOCK_RATE: Final = 0.985


# Carries out a call; the second argument is whether it is late.
Action = Callable[[dict[str, Any], bool], web.Response]


@dataclasses.dataclass(kw_only=True)
class _Run:
    millicores: int
    memory_mb: int
    end_s: float
    how: str
    stopping: bool = False
    # Crashes the worker instead of ending.
    crashes: bool = False


class SoakWorker:
    """A simulated worker.

    Attributes:
        name: Name of its machine.
        agent: Address of its agent.
        service: Service that it belongs to.
        announced: Address that it announces; may be that of a proxy.
        millicores: Its CPU capacity.
        rng: Random generator for failures and delays.
        late_orders: Number of unanswered calls that will be carried out.
        late_enabled: Number of faults that make calls late.
        session_opened: Set when a call with a higher fencing token arrives.
    """

    def __init__(
        self,
        *,
        name: str,
        agent: str,
        history: soak_checks.History,
        seed: int,
        failure_probability: float = FAILURE_PROBABILITY,
        service: str = "desk",
    ) -> None:
        self.name = name
        self.agent = agent
        self.service = service
        self.announced = ""
        self.millicores = soak_capacity.Capacity(full=CAPACITY_MILLICORES)
        self.rng = random.Random(seed)
        self.late_orders = 0
        self.late_enabled = 0
        self.session_opened = asyncio.Event()
        self._failure_probability = failure_probability
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._history = history
        self._runner: web.AppRunner | None = None
        # Connections that ended with the incarnation that accepted them.
        self._ended_connections: set[asyncio.BaseProtocol] = set()
        self._tasks: list[asyncio.Task[None]] = []
        # Shares of the full capacity by the current faults.
        self._shares: list[float] = []
        # End of the time without a process; None while it runs.
        self._down_until_s: float | None = None
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self._break_connections()
        self._started_wall_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._draining = False
        self.millicores.forget()
        self._end_count = 0
        self._token = 0
        self._lease_end_ms = 0
        # Runs by task and attempt.
        self._runs: dict[tuple[str, int], _Run] = {}
        self._unacknowledged_ends: list[list[Any]] = []
        # Number of the last end before the lease last expired.
        self._last_end_before_expiry = 0
        # Highest attempt that was stopped or has ended, by task.
        self._highest_attempts: dict[str, int] = {}

    @property
    def incarnation(self) -> str:
        """Returns the name of the current incarnation."""
        return f"{self.name}@{self._started_wall_ms}"

    def lease_end_ms(self) -> int:
        """Returns the end of the lease, in ms on the worker's clock."""
        return self._lease_end_ms

    async def start(self, address: str) -> None:
        """Serves orders at an address and starts the announcements."""
        host, _, port = address.rpartition(":")
        application = web.Application()
        application.router.add_post("/-/run-start", self._start)
        application.router.add_post("/-/run-stop", self._stop)
        application.router.add_post("/-/hold", self._hold)
        application.router.add_post("/-/pace", self._pace)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self._tasks = [
            asyncio.create_task(self._announce_forever()),
            asyncio.create_task(self._tick_forever()),
        ]

    async def close(self) -> None:
        """Stops the announcements and the server."""
        tasks = [*self._tasks, *self._late_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Loses all state and restarts at once as a new incarnation."""
        if self._down_until_s is None:
            self._history.record_crash(self.incarnation)
            self._lose_runs()

    async def leave(self, after_s: float) -> None:
        """Drains and leaves; a new incarnation starts later.

        Args:
            after_s: Time in s from the start of draining to the end.
        """
        incarnation = self.incarnation
        self._draining = True
        await asyncio.sleep(after_s)
        if incarnation != self.incarnation or self._down_until_s is not None:
            # The worker crashed in the meantime.
            return
        await self._deregister()
        if incarnation == self.incarnation and self._down_until_s is None:
            self._lose_runs()
            self._go_down()

    def _lose_runs(self) -> None:
        for task, attempt in self._runs:
            self._history.record_end(task, self.incarnation, attempt, "lost")
        self._start_incarnation()

    def _crash_by(self, task: str) -> None:
        self._history.record_crash(self.incarnation, by=task)
        self._lose_runs()
        self._go_down()

    def _go_down(self) -> None:
        self._history.record_fault_start(self.name)
        self._down_until_s = time.monotonic() + self.rng.uniform(*DOWN_S)

    def _come_back(self) -> None:
        self._down_until_s = None
        self._start_incarnation()
        self._history.record_fault_end(self.name)

    def _break_connections(self) -> None:
        """Resets all connections, as the end of a process does."""
        server = self._runner.server if self._runner is not None else None
        for connection in server.connections if server is not None else ():
            # A call that has arrived may not have been read yet.
            self._ended_connections.add(connection)
            if connection.transport is not None:
                connection.transport.abort()

    # --- Capacity ------------------------------------------------------------

    def resize(self, share: float) -> None:
        """Changes the capacity for good, to a share of the full one."""
        self.millicores.full = int(self.millicores.full * share)
        self._apply_shares()

    def add_share(self, share: float) -> None:
        """Changes the capacity to a share of the full one."""
        self._shares.append(share)
        self._apply_shares()

    def remove_share(self, share: float) -> None:
        """Ends such a change; the latest one that lasts holds."""
        self._shares.remove(share)
        self._apply_shares()

    def _apply_shares(self) -> None:
        share = self._shares[-1] if self._shares else 1.0
        self.millicores.change(int(self.millicores.full * share))
        self._history.record_capacity(self.incarnation, self.millicores.current)

    # --- Time ----------------------------------------------------------------

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_s) * 1000 * CLOCK_RATE)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._tick(time.monotonic())

    def _tick(self, now: float) -> None:
        if self._down_until_s is not None:
            if now >= self._down_until_s:
                self._come_back()
            return
        self._expire_lease()
        for key, run in list(self._runs.items()):
            if now < run.end_s:
                continue
            if run.crashes:
                self._crash_by(key[0])
                return
            self._end(key, run.how)

    async def _announce_forever(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                if self._down_until_s is None:
                    self._sequence += 1
                    await self._announce(session)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        incarnation, draining = self.incarnation, self._draining
        try:
            async with session.put(
                f"http://{self.agent}/-/instances/i-{self.name}",
                json=self.announcement(),
            ) as response:
                if draining and response.status == 200:
                    self._history.record_draining(incarnation)
        except (aiohttp.ClientError, TimeoutError):
            # The agent is unreachable; the loop announces again.
            pass

    async def _deregister(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await session.delete(
                    f"http://{self.agent}/-/instances/i-{self.name}",
                    json={"born": self._started_wall_ms},
                )

    def announcement(self) -> dict[str, Any]:
        """Returns the present announcement."""
        body: dict[str, Any] = {
            "service": self.service,
            "addr": self.announced,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self._draining else "ready",
            "coldLeftMs": 0,
            "capacity": {
                "cpu": self.millicores.current,
                "memMb": CAPACITY_MB,
                "gpu": 0,
            },
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self._started_wall_ms,
        }
        if self._draining:
            body["remainingMs"] = 0
        return body

    # --- Orders --------------------------------------------------------------

    async def _start(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._carry_out_start)

    async def _stop(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._carry_out_stop)

    async def _pace(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(
            request, lambda body, late: self._reject(body) or self._answer()
        )

    async def _hold(self, request: web.Request) -> web.StreamResponse:
        return await self._handle(request, self._carry_out_hold, waits=True)

    async def _handle(
        self, request: web.Request, action: Action, *, waits: bool = False
    ) -> web.StreamResponse:
        """Carries out a call now, or late and without an answer."""
        body = await request.json()
        if (
            self._down_until_s is not None
            or request.protocol in self._ended_connections
        ):
            return _break_off(request)
        if request.headers.get("Expect-Instance") != f"i-{self.name}":
            return self._answer(421)
        late = self.late_enabled and self.rng.random() < LATE_PROBABILITY
        if late:
            task = asyncio.create_task(self._carry_out_late(action, body))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            await asyncio.sleep(UNANSWERED_S)
            return _break_off(request)
        started_wall_ms = self._started_wall_ms
        answer = action(body, False)
        if waits and answer.status == 200:
            wait_ms = min(int(body.get("waitMs", 0)), MAX_WAIT_MS)
            for _ in range(int(wait_ms / 1000 / TICK_INTERVAL_S)):
                if self._unacknowledged_ends:
                    break
                await asyncio.sleep(TICK_INTERVAL_S)
            answer = self._answer_lists()
        if self.late_enabled and (
            self.rng.random() < DELAYED_ANSWER_PROBABILITY
        ):
            await asyncio.sleep(self.rng.uniform(0.0, MAX_ANSWER_DELAY_S))
        if started_wall_ms != self._started_wall_ms:
            # The worker crashed in the meantime.
            return _break_off(request)
        return answer

    async def _carry_out_late(
        self, action: Action, body: dict[str, Any]
    ) -> None:
        started_wall_ms = self._started_wall_ms
        self.late_orders += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._count_late_order)
            if self.rng.random() < AT_ONCE_PROBABILITY:
                action(body, False)
                return
            await asyncio.sleep(self.rng.uniform(*LATE_S))
            # A crash loses the order.
            if started_wall_ms == self._started_wall_ms:
                action(body, True)

    def _count_late_order(self) -> None:
        self.late_orders -= 1

    def _carry_out_start(
        self, body: dict[str, Any], late: bool
    ) -> web.Response:
        task, attempt = body["task"], body["attempt"]
        if problem := self._reject(body):
            return problem
        self._extend_lease(body["untilMs"])
        if (task, attempt) in self._runs:
            return self._answer()
        if attempt <= self._highest_attempts.get(task, 0):
            return self._answer(409, reason="old")
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        spec = soak_jobs.parse_spec(body["spec"], task)
        run_s = spec.run_s
        fails = self.rng.random() < self._failure_probability
        if fails and math.isinf(run_s):
            run_s = self.rng.uniform(0.3, 6.0)
        fails = fails or spec.trouble == soak_jobs.FAIL
        self._runs[task, attempt] = _Run(
            millicores=spec.millicores,
            memory_mb=spec.memory_mb,
            end_s=time.monotonic() + run_s,
            how="failed" if fails else "done",
            crashes=spec.trouble == soak_jobs.CRASH,
        )
        runs = self._runs.values()
        limit = self.millicores.limit(LATE_S[1] if late else 0.0)
        self._history.record_start(
            task,
            self.incarnation,
            attempt=attempt,
            spec=body["spec"],
            free=min(
                limit - sum(run.millicores for run in runs),
                CAPACITY_MB - sum(run.memory_mb for run in runs),
            ),
            late=late,
            service=self.service,
        )
        return self._answer()

    def _carry_out_stop(self, body: dict[str, Any], late: bool) -> web.Response:
        del late
        if problem := self._reject(body):
            return problem
        task, attempt = body["task"], body["attempt"]
        self._block(task, attempt)
        run = self._runs.get((task, attempt))
        if run is not None and not run.stopping:
            run.stopping = True
            takes_s = self.rng.uniform(0.0, MAX_STOP_DURATION_S)
            stopped_s = time.monotonic() + takes_s
            # A run may still end by itself.
            if stopped_s < run.end_s:
                run.how, run.end_s = "stopped", stopped_s
                run.crashes = False
        return self._answer()

    def _carry_out_hold(self, body: dict[str, Any], late: bool) -> web.Response:
        del late
        if problem := self._reject(body):
            return problem
        self._extend_lease(body.get("untilMs") or 0)
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
        return self._answer()

    def _answer_lists(self) -> web.Response:
        return self._answer(
            running=[[*key, "", 50, 0] for key in self._runs],
            finished=self._unacknowledged_ends[:MAX_LISTED_ENDS],
        )

    def _expire_lease(self) -> None:
        """Ends all runs if the lease has expired."""
        if self._clock_ms() > self._lease_end_ms:
            self._last_end_before_expiry = self._end_count
            for key in list(self._runs):
                self._end(key, "lapsed")

    def _extend_lease(self, until_ms: int) -> None:
        self._expire_lease()
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, latest_ms))

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self._runs[key]
        self._block(*key)
        self._end_count += 1
        self._unacknowledged_ends.append([self._end_count, *key, how, ""])
        self._history.record_end(key[0], self.incarnation, key[1], how)

    def _block(self, task: str, attempt: int) -> None:
        """Rejects later starts of a task up to an attempt."""
        self._highest_attempts[task] = max(
            attempt, self._highest_attempts.get(task, 0)
        )

    def _reject(self, body: dict[str, Any]) -> web.Response | None:
        """Returns the rejection of a stale token; None for a valid one."""
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        if token > self._token:
            self.session_opened.set()
        self._token = token
        return None

    def _answer(self, status: int = 200, **fields: Any) -> web.Response:
        body = {
            "clockMs": self._clock_ms(),
            "born": self._started_wall_ms,
            **fields,
        }
        return web.json_response(body, status=status)


def _break_off(request: web.Request) -> web.Response:
    """Closes the connection of a call without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
