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

With --freezes, freezes of agents and entries are the most frequent fault.
"""

import argparse
import asyncio
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
from devtools import soak_odd
from devtools import soak_schedule
from devtools import soak_site

HOST: Final = "desk.example"
# After this timeout a caller submits the job again at a random entry.
CALL_TIMEOUT_S: Final = 3.0
CONFIGURE_INTERVAL_S: Final = 1.0
CONFIGURE_RETRY_INTERVAL_S: Final = 0.2
CONFIGURE_TIMEOUT_S: Final = 40.0

GROUPS: Final = ("cancellations", "crashing", "capacity", "leaving", "odd")


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
        self._rng = random.Random(seed)
        self._odd_rng = (
            random.Random(f"odd {seed}") if "odd" in groups else None
        )
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        self._version = 0
        self.callers = soak_callers.Callers(
            history=site.history,
            requester=self,
            entries=soak_site.ENTRIES,
            seed=seed,
            cancels="cancellations" in groups,
            crashes="crashing" in groups,
            large="capacity" in groups,
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
        await self.site.inject(fault)

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
        return await self._request(
            method, f"http://{address}/forms/{job}", body
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
            at_least = self.site.history.acknowledged_version()
            status, answer = await self._request("GET", self._operator_url())
            if status == soak_checks.OK:
                self.site.history.record_configuration_read(
                    answer["version"], at_least=at_least
                )

    async def _put_configuration(self) -> bool:
        version = self._version
        status, _ = await self._request(
            "PUT", self._operator_url(), _configuration(version)
        )
        if status == soak_checks.OK:
            self.site.history.record_configuration(version)
        return status == soak_checks.OK

    def _operator_url(self) -> str:
        number = self._rng.randint(1, soak_site.CONTROLS)
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
                # Makes the content differ between versions.
                "timeoutMs": 3000 + version,
                "targetLatencyMs": 30_000,
                "priority": 0,
                "service": "desk",
                "maxAttempts": soak_attempts.MAX_ATTEMPTS,
                "slackFactor": 20.0,
            }
        ],
        "services": [{"name": "desk", "enforcesCapacity": False}],
    }


async def run_soak(
    *,
    seed: int,
    seconds: float,
    workers: int,
    path: pathlib.Path,
    groups: frozenset[str] = frozenset(GROUPS),
    freezes: bool = False,
) -> soak_checks.History:
    """Runs one soak in a folder.

    Args:
        seed: Seed of the faults and the load.
        seconds: Duration in s during which jobs are submitted.
        workers: Number of workers, each with an agent.
        path: Folder for settings, data and logs.
        groups: Groups of faults, of `GROUPS`.
        freezes: Whether freezes are the most frequent fault.

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
    (path / "schedule.txt").write_text("".join(f"{f}\n" for f in faults))
    site = soak_site.SoakSite(
        path=path, seed=seed, workers=workers, groups=groups
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
        "--folder",
        type=pathlib.Path,
        default=pathlib.Path(tempfile.gettempdir()),
        help="where to keep the folders of soaks that violate an invariant",
    )
    arguments = parser.parse_args()
    groups = frozenset(GROUPS) - frozenset(arguments.without)
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
                groups=frozenset() if arguments.basic else groups,
                freezes=arguments.freezes,
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
