"""Simulated callers of the soak test: submit, read and cancel jobs."""

import asyncio
import contextlib
import random
import time
from typing import Any
from typing import Final
from typing import Protocol

from devtools import soak_checks
from devtools import soak_jobs

JOBS_PER_SECOND: Final = 4.0
MAX_SUBMISSIONS: Final = 5
STATE_POLL_INTERVAL_S: Final = 0.5
# Probability that a caller cancels a job by itself, apart from the waves.
CANCEL_PROBABILITY: Final = 0.25
LASTING_PROBABILITY: Final = 0.1
MAX_CANCELLATIONS: Final = 5
WAVE_INTERVAL_S: Final = (2.0, 6.0)
# Probability that a wave cancels an unfinished job.
WAVE_PROBABILITY: Final = 0.4
# Probability that nobody cancels a job with a task that crashes or fails.
SPARED_PROBABILITY: Final = 0.7
# Limit for accepted jobs to end after the last fault: leases, elections and
# restarts take 10 s, the jobs themselves less.
SETTLE_TIMEOUT_S: Final = 40.0
CHECK_INTERVAL_S: Final = 0.1
# The workers run in this process, so a longer stall counts as a fault.
MAX_STALL_S: Final = 0.5
# Time after the last run of a cancelled job in which none may start.
WATCH_S: Final = 2.0


class Requester(Protocol):
    """Sends the requests of callers."""

    async def call(
        self, method: str, job: str, body: Any = None, *, entry: int | None
    ) -> tuple[int, Any]:
        """Returns status and body; status 0 if there is no response.

        Args:
            method: HTTP method.
            job: Name of the job.
            body: Body of the request, encoded as JSON.
            entry: Number of the entry; None for a random one.
        """


class Callers:
    """All callers of one soak.

    Attributes:
        history: Records what callers send and receive.
        cancels: Whether jobs are cancelled and some last until then.
        crashes: Whether some jobs have a task with a trouble.
        large: Whether some jobs need a worker that has grown.
    """

    def __init__(
        self,
        *,
        history: soak_checks.History,
        requester: Requester,
        entries: int,
        seed: int,
        cancels: bool,
        crashes: bool = False,
        large: bool = False,
    ) -> None:
        self.history = history
        self.cancels = cancels
        self.crashes = crashes
        self.large = large
        self._requester = requester
        self._entries = entries
        self._rng = random.Random(seed)
        # The other choices don't depend on the troubles.
        self._trouble_rng = random.Random(f"trouble {seed}")
        # Jobs that no caller cancels.
        self._spared: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def submit_for(self, seconds: float) -> None:
        """Submits jobs for some time and waits for their callers."""
        end = time.monotonic() + seconds
        if self.cancels:
            self._spawn(self._cancel_in_waves(end))
        while time.monotonic() < end:
            job = f"{self._rng.getrandbits(64):016x}"
            self._spawn(self._submit(job))
            await asyncio.sleep(self._rng.expovariate(JOBS_PER_SECOND))
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def settle(self, late_orders: Any) -> None:
        """Waits until all accepted jobs are in the state that they must reach.

        Args:
            late_orders: Function that returns the number of orders that will be
                carried out late.
        """
        history = self.history
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while history.open_jobs() or history.missing_tasks():
                    await self._ask_for_open_jobs()
                    await asyncio.sleep(STATE_POLL_INTERVAL_S)
        history.check_lasting_jobs()
        if not self.cancels:
            return
        await asyncio.gather(*(self._cancel(j) for j in history.lasting_jobs()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while (
                    history.open_jobs()
                    or history.cancelled_runs()
                    or late_orders()
                ):
                    await self._ask_for_open_jobs()
                    await asyncio.sleep(STATE_POLL_INTERVAL_S)
        await asyncio.sleep(WATCH_S)

    async def check_forever(self) -> None:
        """Checks that no run of a cancelled job goes on."""
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - before_s > CHECK_INTERVAL_S + MAX_STALL_S:
                self.history.record_stall()
            self.history.cancelled_runs()

    async def _ask_for_open_jobs(self) -> None:
        for job in self.history.unanswered_cancellations():
            await self._cancel(job)
        missing = (task.split(".")[0] for task in self.history.missing_tasks())
        for job in dict.fromkeys((*self.history.open_jobs(), *missing)):
            await self._poll_state(job)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit(self, job: str) -> None:
        """Submits a job with retries, like the platform's callers."""
        lasting = self.cancels and self._rng.random() < LASTING_PROBABILITY
        body = self._body(job, lasting=lasting)
        history = self.history
        history.record_submission(job, body)
        cancels = self.cancels and self._rng.random() < CANCEL_PROBABILITY
        cancels = cancels and job not in self._spared
        at_once = self._rng.random() < 0.4
        if cancels and not at_once:
            self._spawn(self._cancel_later(job, max_s=8.0 if lasting else 2.0))
        for _ in range(MAX_SUBMISSIONS):
            status, _ = await self._call("POST", job, body)
            history.record_submission_status(job, status)
            if status == soak_checks.OK:
                if cancels and at_once:
                    await self._cancel(job)
                await self._poll_state(job)
                # Simulates a submission that is duplicated and delayed.
                if self._rng.random() < 0.2:
                    await asyncio.sleep(self._rng.uniform(0, 3))
                    await self._call("POST", job, body)
                return
            if status in soak_checks.REFUSALS:
                return
            await asyncio.sleep(0.1)

    def _body(self, job: str, *, lasting: bool) -> dict[str, Any]:
        if lasting:
            return soak_jobs.lasting_job(self._rng)
        body = soak_jobs.random_job(self._rng)
        rng = self._trouble_rng
        if self.large and rng.random() < soak_jobs.LARGE_PROBABILITY:
            body = soak_jobs.large_job(rng)
        if self.crashes:
            for kind, probability in soak_jobs.TROUBLE_PROBABILITY.items():
                if rng.random() < probability:
                    soak_jobs.add_trouble(rng, body, kind)
                    self.history.counts[f"jobs with a {kind}"] += 1
                    if rng.random() < SPARED_PROBABILITY:
                        self._spared.add(job)
                    break
        return body

    # --- Cancellations -------------------------------------------------------

    async def _cancel_later(self, job: str, *, max_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, max_s))
        await self._cancel(job)

    async def _cancel_in_waves(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(*WAVE_INTERVAL_S))
            for job in self.history.unfinished_jobs():
                chosen = self._rng.random() < WAVE_PROBABILITY
                if chosen and job not in self._spared:
                    self._spawn(self._cancel(job))

    async def _cancel(self, job: str) -> None:
        """Cancels a job until it is acknowledged, sometimes more than once."""
        repeats = self._rng.choice((0, 0, 0, 1, 2))
        for _ in range(MAX_CANCELLATIONS):
            # Sometimes sent to all entries at once.
            if self._rng.random() < 0.25:
                entries: list[int | None] = [*range(1, self._entries + 1)]
            else:
                entries = [None]
            statuses = await asyncio.gather(
                *(self._cancel_at(job, entry) for entry in entries)
            )
            if (
                soak_checks.OK in statuses
                or soak_checks.NO_SUCH_JOB in statuses
            ):
                if not repeats:
                    break
                repeats -= 1
            await asyncio.sleep(self._rng.uniform(0.05, 1.0))
        await self._poll_state(job)

    async def _cancel_at(self, job: str, entry: int | None) -> int:
        accepted = self.history.is_accepted(job)
        self.history.record_cancellation(job)
        status, _ = await self._call("DELETE", job, entry=entry)
        self.history.record_cancellation_status(job, status, accepted=accepted)
        return status

    async def _poll_state(self, job: str) -> None:
        accepted = self.history.is_accepted(job)
        known = self.history.known_state(job)
        status, answer = await self._call("GET", job)
        state = answer.get("state", "") if isinstance(answer, dict) else ""
        self.history.record_state(
            job, status, state, accepted=accepted, known=known
        )

    async def _call(
        self,
        method: str,
        job: str,
        body: Any = None,
        *,
        entry: int | None = None,
    ) -> tuple[int, Any]:
        return await self._requester.call(method, job, body, entry=entry)
