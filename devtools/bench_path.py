"""Benchmarks the overhead of the request path.

Compares three paths to the same echo upstream: direct, through two minimal hops
(`bare_hops`), and through the product (entry and agent with a real control
replica). Each round measures every path with 1 and with 64 connections and
bodies of 1 KB. The results are medians over the rounds.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import statistics
import sys
from typing import Final
import uuid

import aiohttp
import psutil

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from devtools import http_load
from devtools import site

BODY_BYTES: Final = 1024
CONNECTIONS: Final = (1, 64)
PATH_NAMES: Final = ("direct", "two bare hops", "product")
REQUESTS: Final = {1: 600, 64: 3_200}
WARM_UP_REQUESTS: Final = 640
MAX_OVERHEAD_RATIO: Final = 1.3
ANNOUNCE_INTERVAL_S: Final = 10.0
START_TIMEOUT_S: Final = 30.0
# The service doesn't fit on the VM, so that none of its tasks starts and the
# announced upstream is the only one.
SHEET: Final = """revision,1
kind,name,owner,urgency,place,processors,memory_mb,count,deadline_ms
service,bench,bench,1,1,1000,500,1,10000
"""


@dataclasses.dataclass(kw_only=True)
class RequestPath:
    """A path to the upstream.

    Attributes:
        name: Name in the report.
        port: Port for callers.
        path: URL path of the requests.
        processes: Processes between caller and upstream, by role.
    """

    name: str
    port: int
    path: str
    processes: dict[str, psutil.Process]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Round:
    """Measurements of a path in one round.

    Attributes:
        p50_ms: Median latency in ms.
        p99_ms: 99th percentile of the latency in ms.
        rate: Throughput in requests per second.
        cpu_us: CPU time per request in us, by role.
    """

    p50_ms: float
    p99_ms: float
    rate: float
    cpu_us: dict[str, float]


async def _start_part(
    *arguments: str,
) -> tuple[asyncio.subprocess.Process, int]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "devtools.bare_hops",
        *arguments,
        cwd=site.ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    async with asyncio.timeout(START_TIMEOUT_S):
        return process, int(await process.stdout.readline())


@contextlib.asynccontextmanager
async def _baselines() -> AsyncIterator[tuple[list[RequestPath], str]]:
    """Starts the upstream and the minimal hops.

    Yields:
        The direct path and the path through the hops; the upstream's URL.
    """
    started: list[asyncio.subprocess.Process] = []
    try:
        upstream, port = await _start_part("upstream")
        started.append(upstream)
        url = f"http://127.0.0.1:{port}"
        back, back_port = await _start_part("back", "--upstream", url)
        started.append(back)
        front, front_port = await _start_part("front", "--back", str(back_port))
        started.append(front)
        hops = {
            "front": psutil.Process(front.pid),
            "back": psutil.Process(back.pid),
        }
        yield [
            RequestPath(name="direct", port=port, path="/x", processes={}),
            RequestPath(
                name="two bare hops",
                port=front_port,
                path="/x",
                processes=hops,
            ),
        ], url
    finally:
        for process in started:
            process.kill()
            await process.wait()


async def _announce(url: str, upstream: str) -> None:
    """Announces the upstream to the agent at intervals."""
    body = {"id": "bench-up", "service": "bench", "url": upstream}
    async with aiohttp.ClientSession() as client:
        while True:
            async with client.post(url, json=body) as answer:
                answer.raise_for_status()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def _submit_sheet(running: site.Site) -> None:
    client = control_client.ControlClient(
        addresses=tuple(running.control_addresses.values()),
        time=clock.SystemClock(),
    )
    call = messages.OperatorCall(
        operation="submit_sheet",
        operation_id=uuid.uuid4().hex,
        operator="bench",
        arguments={"csv": SHEET},
    )
    reply = await client.call(call, timeout_ms=15_000)
    await client.close()
    if not isinstance(reply, messages.OperatorReply) or not reply.ok:
        raise site.SiteError(f"the sheet was refused: {reply}")


async def _wait_until_served(port: int) -> None:
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        aiohttp.ClientSession() as client,
    ):
        while True:
            async with client.post(
                f"http://127.0.0.1:{port}/bench/x", data=b"x"
            ) as answer:
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def _product(upstream: str) -> AsyncIterator[RequestPath]:
    """Starts a control replica, an entry and an agent; yields the path."""
    shape = site.SiteShape(
        vms=(site.VmShape(zone="a", rack="rack-1"),), controls=1, entries=1
    )
    async with site.Site(shape=shape, proxied=False) as running:
        await _submit_sheet(running)
        local = running.processes["agent-1"].addresses["agent.local"]
        announcing = asyncio.create_task(
            _announce(f"http://{local}/upstreams", upstream)
        )
        listen = running.processes["entry-1"].addresses["entry.listen"]
        port = int(listen.rpartition(":")[2])
        processes: dict[str, psutil.Process] = {}
        for role in ("entry", "agent", "control"):
            managed = running.processes[f"{role}-1"].process
            assert managed is not None
            processes[role] = psutil.Process(managed.pid)
        try:
            await _wait_until_served(port)
            yield RequestPath(
                name="product", port=port, path="/bench/x", processes=processes
            )
        finally:
            announcing.cancel()


def _cpu_s(request_path: RequestPath) -> dict[str, float]:
    times = {role: p.cpu_times() for role, p in request_path.processes.items()}
    return {role: t.user + t.system for role, t in times.items()}


async def _measure(
    request_path: RequestPath, connections: int, count: int
) -> Round:
    before = _cpu_s(request_path)
    result = await http_load.run_load(
        port=request_path.port,
        path=request_path.path,
        body_bytes=BODY_BYTES,
        connections=connections,
        count=count,
    )
    after = _cpu_s(request_path)
    if result.failed:
        raise site.SiteError(
            f"{request_path.name}: {result.failed} requests failed"
        )
    return Round(
        p50_ms=result.quantile_ms(0.5),
        p99_ms=result.quantile_ms(0.99),
        rate=result.rate(),
        cpu_us={
            role: (after[role] - before[role]) / count * 1e6 for role in after
        },
    )


def _median_round(rounds: list[Round]) -> Round:
    median = statistics.median
    return Round(
        p50_ms=median(r.p50_ms for r in rounds),
        p99_ms=median(r.p99_ms for r in rounds),
        rate=median(r.rate for r in rounds),
        cpu_us={
            role: median(r.cpu_us[role] for r in rounds)
            for role in rounds[0].cpu_us
        },
    )


def _table(results: dict[tuple[int, str], list[Round]]) -> list[str]:
    lines = [
        "| connections | path | p50 ms | p99 ms | requests/s"
        " | CPU µs/request |",
        "| ---: | --- | ---: | ---: | ---: | --- |",
    ]
    for (connections, name), rounds in results.items():
        median = _median_round(rounds)
        spent = ", ".join(
            f"{role} {us:.0f}" for role, us in median.cpu_us.items()
        )
        lines.append(
            f"| {connections} | {name} | {median.p50_ms:.2f}"
            f" | {median.p99_ms:.2f} | {median.rate:.0f} | {spent or '-'} |"
        )
    return lines


def _overhead(results: dict[tuple[int, str], list[Round]]) -> list[str]:
    """Returns lines on the product's overhead, from per-round ratios."""
    lines = []
    for connections in CONNECTIONS:
        pairs = list(
            zip(
                results[connections, "product"],
                results[connections, "two bare hops"],
                strict=True,
            )
        )
        latencies = [product.p50_ms / bare.p50_ms for product, bare in pairs]
        times = [bare.rate / product.rate for product, bare in pairs]
        for what, ratios in (("p50", latencies), ("time per request", times)):
            ratio = statistics.median(ratios)
            verdict = "met" if ratio <= MAX_OVERHEAD_RATIO else "missed"
            lines.append(
                f"- {connections} connections, {what}: {ratio:.2f} times the"
                f" bare hops (rounds {min(ratios):.2f} to {max(ratios):.2f});"
                f" goal at most {MAX_OVERHEAD_RATIO}: {verdict}"
            )
    return lines


async def run(rounds: int) -> list[str]:
    """Runs the benchmark and returns the lines of the report."""
    results: dict[tuple[int, str], list[Round]] = {
        (connections, name): []
        for connections in CONNECTIONS
        for name in PATH_NAMES
    }
    async with _baselines() as (request_paths, url), _product(url) as product:
        request_paths = [*request_paths, product]
        for request_path in request_paths:
            await _measure(request_path, 64, WARM_UP_REQUESTS)
        for number in range(rounds):
            # Each round starts with a different path, so that the order has no
            # systematic effect.
            shift = number % len(request_paths)
            for connections in CONNECTIONS:
                for request_path in (
                    request_paths[shift:] + request_paths[:shift]
                ):
                    results[connections, request_path.name].append(
                        await _measure(
                            request_path, connections, REQUESTS[connections]
                        )
                    )
        memory = {
            f"{request_path.name}, {role}": process.memory_info().rss / 2**20
            for request_path in request_paths
            for role, process in request_path.processes.items()
        }
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    resident = [f"- {name}: {mb:.1f} MB" for name, mb in memory.items()]
    return [
        *_table(results),
        "",
        *_overhead(results),
        "",
        "Resident memory after the last round:",
        "",
        *resident,
        "",
        f"Load average of the machine at the end (1, 5, 15 min): {load} on"
        f" {os.cpu_count()} cores; rounds of {REQUESTS[64]} requests are"
        " short, so they vary with the other load of the machine.",
    ]


def main() -> None:
    """Parses the command line and prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    args = parser.parse_args()
    print("\n".join(asyncio.run(run(args.rounds))))


if __name__ == "__main__":
    main()
