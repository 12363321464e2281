"""Benchmarks resource usage by size, the basis of docs/CAPACITY.md.

Most cases run three control replicas and one entry as processes, with simulated
agents (`swarm`), at three or more sizes. Each case prints a Markdown table; the
last row contains the least-squares slopes. Cases, all by default: `imports`,
`roles`, `agents`, `tasks`, `routes`, `starts`, `changes`, `keys`, `log`.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import statistics
import sys
import time
from typing import Any
from typing import Final

import psutil

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import commands
from bamboorouter.protocol import messages
from bamboorouter.state import machine
from devtools import sampling
from devtools import site

WINDOW_S: Final = 12.0
SETTLE_S: Final = 3.0
CALL_TIMEOUT_MS: Final = 20_000
SHEET_COLUMNS: Final = (
    "kind,name,owner,urgency,place,processors,memory_mb,accelerators,"
    "run_time_s,count,idempotent,deadline_ms,share,command"
)
AGENTS: Final = (25, 75, 150, 250)
TASKS_PER_AGENT: Final = (0, 4, 8, 12)
TASK_AGENTS: Final = 60
UPSTREAMS_PER_AGENT: Final = (0, 2, 4, 8)
STARTS_PER_SECOND: Final = (5, 15, 30, 44)
START_AGENTS: Final = 60
CHANGE_AGENTS: Final = (25, 75, 150)
CHANGES: Final = 20
KEYS: Final = (5_000, 20_000, 50_000)
LOG_ENTRIES: Final = (2_000, 8_000, 20_000)
MAX_CONCURRENT_CALLS: Final = 16
IMPORTS: Final = (
    "sys",
    "asyncio",
    "msgspec",
    "cbor2",
    "xxhash",
    "absl.logging",
    "websockets.asyncio.client",
    "websockets.asyncio.server",
    "prometheus_client",
    "reactivex",
    "bamboorouter.roles.control",
    "aiohttp.web",
    "bamboorouter.roles.entry",
)
# No upstream VMs, since the swarm simulates the agents.
SHAPE: Final = site.SiteShape(vms=(), controls=3, entries=1)

Case = Callable[[], Awaitable[None]]


class BenchError(Exception):
    """The leader refused an operator call."""


def print_table(
    title: str, unit: str, rows: Sequence[tuple[float, dict[str, float]]]
) -> None:
    """Prints a Markdown table with the slope of each column.

    Args:
        title: Heading of the table.
        unit: Heading of the first column.
        rows: Size and values by column, for each size.
    """
    columns = list(rows[0][1])
    print(f"\n### {title}\n")
    print(f"| {unit} | " + " | ".join(columns) + " |")
    print("| --- " * (len(columns) + 1) + "|")
    for size, values in rows:
        cells = " | ".join(f"{values[c]:.4g}" for c in columns)
        print(f"| {size:g} | {cells} |")
    if len(rows) > 1:
        slopes = [
            statistics.linear_regression(
                [size for size, _ in rows], [v[c] for _, v in rows]
            ).slope
            for c in columns
        ]
        print("| slope | " + " | ".join(f"{s:.4g}" for s in slopes) + " |")
    sys.stdout.flush()


def columns_of(prefix: str, sample: sampling.Sample) -> dict[str, float]:
    """Returns the columns for a sample, with prefixed names."""
    return {
        f"{prefix} cpu %": sample.cpu_percent,
        f"{prefix} RSS MB": sample.rss_mb,
        f"{prefix} private MB": sample.private_mb,
        f"{prefix} in B/s": sample.received_per_s,
        f"{prefix} out B/s": sample.sent_per_s,
    }


class Bench:
    """A running site with simulated agents.

    Attributes:
        running: The site.
        sampler: Measures the daemons of the site.
        leader: Name of the control daemon that is the leader.
    """

    def __init__(self, *, running: site.Site) -> None:
        self.running = running
        self.sampler = sampling.Sampler(running=running)
        self.leader = ""
        self._swarm: asyncio.subprocess.Process | None = None
        self._calls = control_client.ControlClient(
            addresses=tuple(running.control_addresses.values()),
            time=clock.SystemClock(),
            attempt_timeout_ms=CALL_TIMEOUT_MS,
        )
        self._operations = 0

    async def start(self) -> None:
        """Waits until all daemons are ready and there is a leader."""
        await self.running.wait_ready()
        self.leader = await self.sampler.leader()

    @property
    def follower(self) -> str:
        """Name of a control daemon that isn't the leader."""
        controls = [f"control-{n}" for n in range(1, SHAPE.controls + 1)]
        return next(name for name in controls if name != self.leader)

    async def start_swarm(
        self, agents: int, *arguments: str, duration_s: float = 120
    ) -> None:
        """Starts simulated agents and waits until they are registered."""
        addresses = ",".join(self.running.control_addresses.values())
        self._swarm = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "devtools.swarm", "--control", addresses),
            *("--agents", str(agents), "--duration-s", str(duration_s)),
            *arguments,
            cwd=site.ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        await self._wait_for_workers(agents)
        await asyncio.sleep(SETTLE_S)

    async def stop(self) -> None:
        """Stops the simulated agents and closes the connections."""
        if self._swarm is not None and self._swarm.returncode is None:
            self._swarm.kill()
            await self._swarm.wait()
        await self._calls.close()

    async def call(self, operation: str, **arguments: Any) -> dict[str, Any]:
        """Executes an operator call and returns the data of the reply.

        Raises:
            BenchError: The leader refused the call.
        """
        self._operations += 1
        reply = await self._calls.call(
            messages.OperatorCall(
                operation=operation,
                operation_id=f"bench-{time.time_ns()}-{self._operations}",
                operator="bench",
                arguments=arguments,
            ),
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if not isinstance(reply, messages.OperatorReply) or not reply.ok:
            raise BenchError(f"{operation}: {reply}")
        return reply.data

    async def send(self, message: messages.Message) -> messages.Message:
        """Sends a message to the leader and returns the reply."""
        return await self._calls.call(message, timeout_ms=CALL_TIMEOUT_MS)

    async def submit_service(self, instances: int) -> None:
        """Submits revision 1 with one service."""
        row = f"service,quick,desk,0,1,1,256,0,0,{instances},yes,2000,1,serve"
        await self.call(
            "submit_sheet", csv=f"revision,1\n{SHEET_COLUMNS}\n{row}\n"
        )

    async def submit_job(self, number: int, tasks: int) -> None:
        """Submits a batch job with `tasks` tasks."""
        await self.call(
            "submit_job",
            row={
                "kind": "job",
                "name": f"job-{number}",
                "owner": f"team-{number % 51}",
                "urgency": 5,
                "place": 1,
                "processors": 1,
                "memory_mb": 256,
                "accelerators": 0,
                "run_time_s": 1,
                "count": tasks,
                "share": 1,
                "command": "run",
            },
        )

    async def _wait_for_workers(self, agents: int) -> None:
        async with asyncio.timeout(60):
            while await self._count_workers() < agents:  # noqa: ASYNC110
                await asyncio.sleep(0.5)

    async def _count_workers(self) -> int:
        return len((await self.call("status"))["workers"])


@contextlib.asynccontextmanager
async def running_bench() -> Any:
    """Runs a new site for a measurement."""
    async with site.Site(shape=SHAPE, proxied=False) as running:
        bench = Bench(running=running)
        try:
            await bench.start()
            yield bench
        finally:
            await bench.stop()


async def measure_roles() -> None:
    """Measures the idle usage of each role, with two real agents."""
    shape = dataclasses.replace(
        SHAPE, vms=site.GUILD.vms[:2], service_lease_ms=10_000
    )
    async with site.Site(shape=shape, proxied=False) as running:
        await running.wait_ready()
        sampler = sampling.Sampler(running=running)
        leader = await sampler.leader()
        await asyncio.sleep(SETTLE_S)
        names = ["control-1", "control-2", "control-3", "entry-1", "agent-1"]
        samples = await sampler.measure(names, seconds=WINDOW_S)
    print("\n### Idle cost of each role (two agents, 1 s heartbeats)\n")
    print("| role | cpu % | RSS MB | private MB | in B/s | out B/s |")
    print("| --- " * 6 + "|")
    for name, s in samples.items():
        role = "control (leader)" if name == leader else name.split("-")[0]
        print(
            f"| {role} | {s.cpu_percent:.2f} | {s.rss_mb:.1f} |"
            f" {s.private_mb:.1f} | {s.received_per_s:.0f} |"
            f" {s.sent_per_s:.0f} |"
        )


async def measure_agents() -> None:
    """Measures the heartbeats' cost, with spread and synchronized phases."""
    for arguments in (("--spread",), ()):
        rows = []
        for agents in AGENTS:
            async with running_bench() as bench:
                await bench.start_swarm(agents, *arguments)
                rows.append((agents, await _leader_and_follower(bench)))
        how = "spread evenly" if arguments else "synchronized"
        print_table(
            f"Agents with 1 s heartbeats, {how}, no tasks", "agents", rows
        )


async def measure_tasks() -> None:
    """Measures the cost of running tasks in the heartbeats."""
    rows = []
    for tasks in TASKS_PER_AGENT:
        async with running_bench() as bench:
            if tasks:
                await bench.submit_service(tasks * TASK_AGENTS)
            await bench.start_swarm(TASK_AGENTS)
            await asyncio.sleep(SETTLE_S)
            columns = await _leader_and_follower(bench)
            rows.append((tasks * TASK_AGENTS, columns))
    print_table(
        f"Running tasks on {TASK_AGENTS} agents, 1 s heartbeats", "tasks", rows
    )


async def measure_routes() -> None:
    """Measures the cost of upstreams whose load changes per heartbeat."""
    rows = []
    for upstreams in UPSTREAMS_PER_AGENT:
        async with running_bench() as bench:
            await bench.submit_service(1)
            await bench.start_swarm(TASK_AGENTS, "--upstreams", str(upstreams))
            columns = await _leader_and_follower(bench)
            rows.append((upstreams * TASK_AGENTS, columns))
    print_table(
        f"Upstreams on {TASK_AGENTS} agents, one entry", "upstreams", rows
    )


async def measure_starts() -> None:
    """Measures the cost of starting and ending batch tasks."""
    rows = []
    for rate in STARTS_PER_SECOND:
        async with running_bench() as bench:
            await bench.start_swarm(START_AGENTS)
            feeder = asyncio.create_task(_submit_each_second(bench, rate))
            await asyncio.sleep(SETTLE_S)
            columns = await _leader_and_follower(bench)
            waiting = (await bench.call("status"))["tasks"].get("pending", 0)
            feeder.cancel()
            rows.append((rate, {**columns, "waiting at end": waiting}))
    print_table(
        f"Task starts per second on {START_AGENTS} agents", "starts/s", rows
    )


async def _submit_each_second(bench: Bench, rate: int) -> None:
    next_at = time.monotonic()
    for number in range(1000):
        await bench.submit_job(number, rate)
        next_at += 1.0
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))


async def measure_changes() -> None:
    """Measures the time until a change is applied everywhere."""
    rows = []
    for agents in CHANGE_AGENTS:
        async with running_bench() as bench:
            await bench.start_swarm(agents)
            times = [await _change(bench, number) for number in range(CHANGES)]
            rows.append(
                (
                    agents,
                    {
                        "median s": statistics.median(times),
                        "worst s": max(times),
                    },
                )
            )
    print_table(
        f"Change in force everywhere ({CHANGES} drains)", "agents", rows
    )


async def _change(bench: Bench, number: int) -> float:
    """Drains or undrains a worker; returns the time in s until applied."""
    started = time.monotonic()
    await bench.call("drain", target=f"swarm-{number % 20}", on=number % 2 == 0)
    async with asyncio.timeout(30):
        while True:
            status = await bench.call("status")
            if status["lowest_applied"] >= status["config_revision"]:
                return time.monotonic() - started
            await asyncio.sleep(0.05)


async def _leader_and_follower(bench: Bench) -> dict[str, float]:
    samples = await bench.sampler.measure(
        [bench.leader, bench.follower, "entry-1"], seconds=WINDOW_S
    )
    entry = samples["entry-1"]
    return {
        **columns_of("leader", samples[bench.leader]),
        **columns_of("follower", samples[bench.follower]),
        "entry cpu %": entry.cpu_percent,
        "entry private MB": entry.private_mb,
        "entry in B/s": entry.received_per_s,
    }


async def measure_keys() -> None:
    """Measures the memory of retained idempotency keys."""
    rows = []
    for count in KEYS:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "devtools.bench_capacity", "--fill-keys", str(count)),
            cwd=site.ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        rows.append((count, json.loads(output.splitlines()[-1])))
    print_table("Retained idempotency keys, 100-byte answers", "keys", rows)


def fill_keys(count: int) -> dict[str, float]:
    """Fills a state machine with keys and returns the resource usage."""
    state = machine.Machine()
    wall_ms = int(time.time() * clock.MS_PER_SECOND)
    process = psutil.Process()
    before = process.memory_full_info().uss
    started = time.process_time()
    for number in range(count):
        key = _uuid7(wall_ms, number)
        batch = (
            commands.ReserveRequest(
                key=key,
                fingerprint=number,
                attempt=f"entry-{number}",
                service="quick",
                entry="entry-1",
            ),
            commands.RecordRequestOutcome(
                key=key,
                attempt=f"entry-{number}",
                outcome="completed",
                status=200,
                headers=(("Content-Type", "text/plain"),),
                body=number.to_bytes(4, "big") * 25,
                digest=number,
                body_kept=True,
            ),
        )
        state.apply(
            number + 1, commands.CommandBatch(wall_ms=wall_ms, commands=batch)
        )
    applied = time.process_time() - started
    increase = process.memory_full_info().uss - before
    started = time.process_time()
    size = len(state.snapshot())
    return {
        "private MB": increase / sampling.BYTES_PER_MB,
        "µs per command": 1e6 * applied / (2 * count),
        "snapshot MB": size / sampling.BYTES_PER_MB,
        "snapshot ms": 1e3 * (time.process_time() - started),
    }


def _uuid7(wall_ms: int, number: int) -> str:
    text = f"{wall_ms:012x}7{number & 0xFFF:03x}8{number:015x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)


async def measure_log() -> None:
    """Measures disk usage, memory and restart time by log length."""
    rows = []
    for entries in LOG_ENTRIES:
        async with running_bench() as bench:
            await _fill_log(bench, entries)
            name = bench.follower
            folder = bench.running.processes[name].folder
            size = sum(
                path.stat().st_size
                for path in folder.rglob("*")
                if path.is_file()
            )
            await bench.running.stop(name)
            started = time.monotonic()
            await bench.running.restart(name)
            await bench.running.wait_ready([name])
            took = time.monotonic() - started
            samples = await bench.sampler.measure([name], seconds=1)
            rows.append(
                (
                    entries,
                    {
                        "folder MB": size / sampling.BYTES_PER_MB,
                        "restart s": took,
                        "private MB": samples[name].private_mb,
                    },
                )
            )
    print_table("Length of the log (one request record each)", "records", rows)


async def _fill_log(bench: Bench, entries: int) -> None:
    """Appends request records with concurrent calls."""
    record = messages.RequestRecord(
        second=1,
        service="quick",
        team="desk",
        urgency=0,
        outcome="completed",
        code="",
        count=1,
    )

    async def append(source: int, count: int) -> None:
        for sequence in range(1, count + 1):
            await bench.send(
                messages.RequestRecords(
                    entry=f"bench-{source}",
                    incarnation=1,
                    sequence=sequence,
                    records=(record,),
                )
            )

    entries_per_caller = entries // MAX_CONCURRENT_CALLS
    await asyncio.gather(
        *(append(n, entries_per_caller) for n in range(MAX_CONCURRENT_CALLS))
    )


async def measure_imports() -> None:
    """Measures the memory after imports, cumulatively by library."""
    print("\n### Memory after imports, before any work\n")
    print("| imported, one after the other | RSS MB | private MB |")
    print("| --- | --- | --- |")
    for count, library in enumerate(IMPORTS, start=1):
        code = "; ".join(
            (
                *(f"import {name}" for name in IMPORTS[:count]),
                "import psutil",
                "m = psutil.Process().memory_full_info()",
                "print(m.rss / 2**20, m.uss / 2**20)",
            )
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", code),
            cwd=site.ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        rss, private = (float(each) for each in output.split())
        print(f"| {library} | {rss:.1f} | {private:.1f} |")


CASES: Final[dict[str, Case]] = {
    "imports": measure_imports,
    "roles": measure_roles,
    "agents": measure_agents,
    "tasks": measure_tasks,
    "routes": measure_routes,
    "starts": measure_starts,
    "changes": measure_changes,
    "keys": measure_keys,
    "log": measure_log,
}


async def run_cases(names: list[str]) -> None:
    """Runs the cases one after the other."""
    for name in names:
        await CASES[name]()


def main() -> int:
    """Parses the command line and runs the cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", metavar="case")
    parser.add_argument("--fill-keys", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.fill_keys:
        print(json.dumps(fill_keys(args.fill_keys)))
        return 0
    unknown = sorted(set(args.cases) - set(CASES))
    if unknown:
        parser.error(f"unknown cases: {', '.join(unknown)}")
    asyncio.run(run_cases(args.cases or list(CASES)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
