"""Randomized fault-injection soak test of the platform's roles.

Starts control replicas, entries and agents as processes on loopback addresses,
and simulates the workers, the callers and an operator in this process. Faults
are injected from outside: signals to the processes, deleted data folders, and
a proxy in front of every replica, entry and worker that delays or resets
connections or blocks their traffic in one or both directions.

The history checks invariants on what callers, workers and the operator observe
during the run. All accepted jobs must end within
`soak_callers.SETTLE_TIMEOUT_S` after the last fault, apart from those that last
until they are cancelled; these must run.

    python -m devtools.soak --seed 7 --seconds 30

The seed determines the schedule of faults. A run that violates an invariant
keeps its folder with the schedule, the history and the logs of all processes.

Groups of faults can be left out with --without, and all of them with --basic:

- "cancellations": jobs are cancelled, workers carry out calls late, and the
  schedule contains series of faults.
- "crashing": some jobs have a task that crashes its workers or always fails.
- "capacity": workers shrink and grow.
- "leaving": workers drain and leave.
- "odd": agents get announcements of other writers.

Further groups are added by --with:

- "members": control replicas are replaced at other addresses, wiped, frozen and
  killed, instead of their other faults.
- "successors": only replacements of control replicas, and no other fault.
- "final": at the end one replica loses its folder while all processes are
  killed.
- "stale": settings files are not rewritten when a replica is replaced.
- "routes": configurations of hundreds of routes, with small disks.
- "names": two queues with a service each, which share or exchange their names,
  and calls for a job at the wrong one of them.

With --freezes, freezes of agents and entries are the most frequent fault.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
from typing import Any
from typing import Final

import aiohttp

from devtools import soak_attempts
from devtools import soak_callers
from devtools import soak_checks
from devtools import soak_jobs
from devtools import soak_members
from devtools import soak_odd
from devtools import soak_queues
from devtools import soak_schedule
from devtools import soak_site

# After this timeout a caller submits the job again at a random entry.
CALL_TIMEOUT_S: Final = 3.0
CONFIGURE_INTERVAL_S: Final = 1.0
CONFIGURE_RETRY_INTERVAL_S: Final = 0.2
CONFIGURE_TIMEOUT_S: Final = 40.0

GROUPS: Final = ("cancellations", "crashing", "capacity", "leaving", "odd")


# Off by default, so that recorded seeds keep their schedules.
MORE_GROUPS: Final = (
    "members",
    "successors",
    "final",
    "stale",
    "routes",
    "names",
)
ROUTES: Final = 400
PROBE_INTERVAL_S: Final = 0.2


class Soak:
    """Applies load and faults to a site and checks the outcome.

    Attributes:
        site: The site.
        faults: Faults to inject, in order of time.
        seconds: Duration in s during which jobs are submitted.
        callers: The simulated callers.
    """

    def __init__(
        self,
        *,
        site: soak_site.SoakSite,
        faults: list[soak_schedule.Fault],
        seconds: float,
        seed: int,
        groups: frozenset[str],
    ) -> None:
        self.site = site
        self.faults = faults
        self.seconds = seconds
        self._checks_losses = not groups.isdisjoint(MORE_GROUPS)
        self._rng = random.Random(seed)
        self._odd_rng = (
            random.Random(f"odd {seed}") if "odd" in groups else None
        )
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        self._version = 0
        self._seed = seed
        self._groups = groups
        self._routes = ROUTES if "routes" in groups else 1
        self.callers = soak_callers.Callers(
            history=site.history,
            requester=self,
            entries=soak_site.ENTRIES,
            seed=seed,
            cancels="cancellations" in groups,
            crashes="crashing" in groups,
            # The worker that stays grown serves only one of several queues.
            large="capacity" in groups and "names" not in groups,
        )

    async def run(self) -> soak_checks.History:
        """Runs the soak and returns its history."""
        history = self.site.history
        try:
            await self.site.start()
            await self._configure_once()
            started_s = time.monotonic()
            background = [
                asyncio.create_task(self._configure_forever()),
                asyncio.create_task(self.callers.check_forever()),
            ]
            if self._odd_rng is not None:
                background.append(
                    asyncio.create_task(self._send_odd(self._odd_rng))
                )
            await asyncio.gather(
                self.callers.submit_for(self.seconds),
                *(self._inject_at(started_s, fault) for fault in self.faults),
            )
            await self.callers.settle(self.site.late_orders)
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            history.finish()
        finally:
            await self._session.close()
            await self.site.close()
        return history

    async def _inject_at(
        self, started_s: float, fault: soak_schedule.Fault
    ) -> None:
        await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
        if fault.kind == soak_members.FINAL:
            self._version += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._put_configuration()
        injected_s = time.monotonic()
        await self.site.inject(fault)
        if fault.kind == soak_members.FINAL:
            await self._check_readable(fault.kind, injected_s)
        elif self._checks_losses and fault.kind in soak_members.DISK_LOSSES:
            await self._check_readable(fault.kind, time.monotonic())

    async def _check_readable(self, kind: str, from_s: float) -> None:
        """Reads the configuration at each replica and a job at each entry."""
        job = self.site.history.newest_accepted_job()
        reads = {
            f"the configuration at control-{n}": functools.partial(
                self._read_configuration, n
            )
            for n in self.site.controls()
        }
        if job is not None:
            reads |= {
                f"{job} at entry-{n}": functools.partial(self._read_job, job, n)
                for n in range(1, soak_site.ENTRIES + 1)
            }
        await asyncio.gather(
            *(
                self._probe(f"{what}, after {kind}", read, from_s)
                for what, read in reads.items()
            )
        )

    async def _probe(
        self, what: str, read: Callable[[], Awaitable[bool]], from_s: float
    ) -> None:
        """Reads until it succeeds and records when it did."""
        after_s = 0.0
        while not await read() and after_s < soak_members.RECOVERY_S:
            await asyncio.sleep(PROBE_INTERVAL_S)
            after_s = time.monotonic() - from_s
        self.site.history.record_recovery(
            what,
            time.monotonic() - from_s,
            limit_s=soak_members.RECOVERY_S,
        )

    async def _read_job(self, job: str, entry: int) -> bool:
        status, _ = await self.call("GET", job, entry=entry)
        return status == soak_checks.OK

    async def _send_odd(self, rng: random.Random) -> None:
        await soak_odd.send_forever(
            list(self.site.workers.values()),
            rng=rng,
            record=self.site.history.record_odd_announcement,
        )

    async def call(
        self,
        method: str,
        job: str,
        body: Any = None,
        *,
        entry: int | None = None,
    ) -> tuple[int, Any]:
        """Sends a request of a caller; see `soak_callers.Requester`."""
        number = entry or self._rng.randint(1, soak_site.ENTRIES)
        address = self.site.entry_address(number)
        queue = self._queue_of(job)
        return await self._request(
            method, f"http://{address}{queue.prefix}{job}", body
        )

    async def _call_other_queue(self) -> None:
        """Calls the queue to which the newest accepted job doesn't belong."""
        job = self.site.history.newest_accepted_job()
        if job is None:
            return
        method = self._rng.choice(("POST", "GET", "DELETE"))
        address = self.site.entry_address(
            self._rng.randint(1, soak_site.ENTRIES)
        )
        status, _ = await self._request(
            method,
            f"http://{address}{soak_queues.other_queue(job).prefix}{job}",
            soak_jobs.lasting_job(self._rng) if method == "POST" else None,
        )
        self.site.history.record_foreign_call(method, job, status)

    def _queue_of(self, job: str) -> soak_queues.Queue:
        if "names" in self._groups:
            return soak_queues.queue_of(job)
        return soak_queues.FORMS

    async def _check_pending(self, queue: soak_queues.Queue) -> None:
        """Reads the number of pending jobs of a queue at a random entry."""
        ended = self.site.history.ended_jobs()
        address = self.site.entry_address(
            self._rng.randint(1, soak_site.ENTRIES)
        )
        status, answer = await self._request(
            "GET", f"http://{address}{queue.prefix}"
        )
        if status == soak_checks.OK:
            self.site.history.record_pending(
                queue.service, answer["pending"], ended=ended
            )

    # --- Operator ------------------------------------------------------------

    async def _configure_once(self) -> None:
        deadline = time.monotonic() + CONFIGURE_TIMEOUT_S
        configured = False
        while not configured:
            if time.monotonic() > deadline:
                raise TimeoutError("the replicas accepted no configuration")
            await asyncio.sleep(CONFIGURE_RETRY_INTERVAL_S)
            configured = await self._put_configuration()

    async def _configure_forever(self) -> None:
        while True:
            await asyncio.sleep(CONFIGURE_INTERVAL_S)
            if self._rng.random() < 0.5:
                self._version += 1
            await self._put_configuration()
            await self._read_configuration(self._random_control())
            if "names" in self._groups:
                for queue in soak_queues.QUEUES:
                    await self._check_pending(queue)
                await self._call_other_queue()
            if "routes" in self._groups:
                used_mb = await asyncio.to_thread(self.site.disk_use_mb)
                self.site.history.record_disk_use(
                    used_mb, disk_mb=self.site.disk_mb()
                )

    async def _read_configuration(self, number: int) -> bool:
        at_least = self.site.history.acknowledged_version()
        status, answer = await self._request("GET", self._operator_url(number))
        if status != soak_checks.OK:
            return False
        self.site.history.record_configuration_read(
            answer["version"], at_least=at_least
        )
        return True

    async def _put_configuration(self) -> bool:
        version = self._version
        status, _ = await self._request(
            "PUT",
            self._operator_url(self._random_control()),
            self._configuration(version),
        )
        if status == soak_checks.OK:
            self.site.history.record_configuration(version)
        return status == soak_checks.OK

    def _configuration(self, version: int) -> dict[str, Any]:
        document = _configuration(version, self._routes)
        if "names" in self._groups:
            settings, *others = document["routes"]
            document["routes"] = [
                *soak_queues.routes(self._seed, version, settings),
                *others,
            ]
            document["services"] = soak_queues.services()
        return document

    def _random_control(self) -> int:
        return self._rng.randint(1, len(self.site.controls()))

    def _operator_url(self, number: int) -> str:
        return f"http://{self.site.operator_address(number)}/-/config"

    async def _request(
        self, method: str, url: str, body: Any = None
    ) -> tuple[int, Any]:
        try:
            async with self._session.request(
                method, url, json=body, headers={"Host": soak_queues.HOST}
            ) as response:
                answer = await response.json(content_type=None)
                return response.status, answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return 0, None


def _configuration(version: int, routes: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-forms" if not number else f"r-forms-{number}",
                "host": soak_queues.HOST,
                "pathPrefix": (
                    f"/{number}/" if number else soak_queues.FORMS.prefix
                ),
                # Makes the content differ between versions.
                "timeoutMs": 3000 + version,
                "targetLatencyMs": 30_000,
                "priority": 0,
                "service": soak_queues.FORMS.service,
                "maxAttempts": soak_attempts.MAX_ATTEMPTS,
                "slackFactor": 20.0,
            }
            for number in range(routes)
        ],
        "services": [
            {"name": soak_queues.FORMS.service, "enforcesCapacity": False}
        ],
    }


async def run_soak(
    *,
    seed: int,
    seconds: float,
    workers: int,
    path: pathlib.Path,
    groups: frozenset[str] = frozenset(GROUPS),
    freezes: bool = False,
    controls: int = soak_site.CONTROLS,
) -> soak_checks.History:
    """Runs one soak in a folder.

    Args:
        seed: Seed of the faults and the load.
        seconds: Duration in s during which jobs are submitted.
        workers: Number of workers, each with an agent.
        path: Folder for settings, data and logs.
        groups: Groups of faults, of `GROUPS` and `MORE_GROUPS`.
        freezes: Whether freezes are the most frequent fault.
        controls: Number of control replicas.

    Returns:
        What was observed, and the violated invariants.
    """
    faults = soak_schedule.schedule(
        seed,
        seconds=seconds,
        controls=soak_site.CONTROLS,
        entries=soak_site.ENTRIES,
        workers=workers,
        series="cancellations" in groups,
        capacity="capacity" in groups,
        leave="leaving" in groups,
        freezes=freezes,
    )
    if not groups.isdisjoint(("members", "successors")):
        losses = soak_members.schedule(
            seed,
            controls=controls,
            seconds=seconds,
            mixed="members" in groups,
            final="final" in groups,
        )
        others = [] if "successors" in groups else faults
        faults = soak_members.merge(losses, others)
        seconds = max(seconds, losses[-1].at_s + soak_members.LOAD_AFTER_S)
    (path / "schedule.txt").write_text("".join(f"{f}\n" for f in faults))
    site = soak_site.SoakSite(
        path=path,
        seed=seed,
        workers=workers,
        groups=groups,
        controls=controls,
    )
    soak = Soak(
        site=site,
        faults=faults,
        seconds=seconds,
        seed=seed,
        groups=groups,
    )
    try:
        history = await soak.run()
    finally:
        (path / "history.txt").write_text(
            "".join(f"{line}\n" for line in site.history.lines)
        )
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
    """Runs soaks with successive seeds.

    Returns:
        The exit status: 1 if a soak violated an invariant.
    """
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--basic",
        action="store_true",
        help="no group of faults",
    )
    parser.add_argument(
        "--freezes",
        action="store_true",
        help="freezes as the most frequent fault",
    )
    parser.add_argument(
        "--without",
        action="append",
        choices=GROUPS,
        default=[],
        help="group of faults to leave out",
    )
    parser.add_argument(
        "--with",
        dest="added",
        action="append",
        choices=MORE_GROUPS,
        default=[],
        help="further group of faults",
    )
    parser.add_argument("--controls", type=int, default=soak_site.CONTROLS)
    parser.add_argument(
        "--folder",
        type=pathlib.Path,
        default=pathlib.Path(tempfile.gettempdir()),
        help="where to keep the folders of soaks that violate an invariant",
    )
    arguments = parser.parse_args()
    groups = frozenset(GROUPS) - frozenset(arguments.without)
    if arguments.basic:
        groups = frozenset()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        path = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments.folder)
        )
        history = asyncio.run(
            run_soak(
                seed=seed,
                seconds=arguments.seconds,
                workers=arguments.workers,
                path=path,
                groups=groups | frozenset(arguments.added),
                freezes=arguments.freezes,
                controls=arguments.controls,
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
