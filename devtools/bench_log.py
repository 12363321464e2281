"""Benchmarks the replicated log with three replica processes.

Prints Markdown tables. Parts, all by default:
- `commits`: latency and throughput with and without group commit.
- `use`: resource usage of a replica at the target rate and when idle.
- `failover`: time from a crash of the leader to the next commit.

Each load has a fixed duration.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import pathlib
import socket
import statistics
import sys
import tempfile
import time
from typing import Any
from typing import Final

from bamboorouter.coordination.log import replica

LOAD_S: Final = 8.0
PACED_S: Final = 20.0
WARM_UP_S: Final = 1.0
RESPONSE_TIMEOUT_S: Final = 60.0
# Commands per second: three for each of 44 task starts per second.
TARGET_RATE: Final = 132.0
FAILOVERS: Final = 20
_MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024


class Process:
    """A `log_replica` process.

    Attributes:
        address: Link address of the replica.
    """

    def __init__(
        self, *, address: str, folder: pathlib.Path, arguments: list[str]
    ) -> None:
        self.address = address
        self._folder = folder
        self._arguments = arguments
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "devtools.log_replica",
            "--address",
            self.address,
            "--folder",
            str(self._folder),
            *self._arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=_MAX_RESPONSE_BYTES,
        )

    async def execute(self, name: str, **arguments: float) -> dict[str, Any]:
        """Sends a command and returns the response."""
        process = self._process
        assert process and process.stdin and process.stdout
        line = json.dumps({"do": name, **arguments})
        process.stdin.write(line.encode() + b"\n")
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            answer: dict[str, Any] = json.loads(await process.stdout.readline())
        return answer

    async def kill(self) -> None:
        """Simulates a crash (SIGKILL)."""
        assert self._process is not None
        self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """Stops the process gracefully."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        assert process.stdin is not None
        process.stdin.close()
        await process.wait()


class Group:
    """A group of three replicas.

    Attributes:
        processes: Processes of the replicas.
    """

    def __init__(self, *, path: pathlib.Path, batch: int) -> None:
        addresses = [f"127.0.0.1:{port}" for port in _free_ports(3)]
        self.processes = [
            Process(
                address=address,
                folder=path / str(number),
                arguments=["--batch", str(batch), *addresses],
            )
            for number, address in enumerate(addresses)
        ]

    async def start(self) -> None:
        """Starts all replicas."""
        await asyncio.gather(*(p.start() for p in self.processes))

    async def stop(self) -> None:
        """Stops all replicas."""
        await asyncio.gather(*(p.stop() for p in self.processes))

    async def leader(self, *, caught_up: bool = False) -> Process:
        """Waits for a leader and returns its process.

        Args:
            caught_up: Also waits until no follower lags behind.
        """
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while True:
                for process in self.processes:
                    state = await process.execute("state")
                    if state["leads"] and not (caught_up and state["lag"]):
                        return process
                await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _group(batch: int = replica.BATCH_COMMANDS) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        group = Group(path=pathlib.Path(folder), batch=batch)
        await group.start()
        try:
            yield group
        finally:
            await group.stop()


async def measure_commits() -> None:
    """Measures latency and throughput with and without group commit."""
    print("\n### Commits with three replicas\n")
    print(
        "| group commit | pending | commits/s | p50 ms | p99 ms |"
        " commands per entry | leader CPU us per commit |"
        " leader bytes per commit |"
    )
    print("| --- " * 8 + "|")
    for batch in (replica.BATCH_COMMANDS, 1):
        async with _group(batch) as group:
            leader = await group.leader()
            await leader.execute("closed", waiting=8, seconds=WARM_UP_S)
            for waiting in (1, 64):
                result = await leader.execute(
                    "closed", waiting=waiting, seconds=LOAD_S
                )
                name = "no" if batch == 1 else "yes"
                print(f"| {name} | {waiting} | {_commit_cells(result)} |")
                sys.stdout.flush()


def _commit_cells(result: dict[str, Any]) -> str:
    latencies = result["latencies_s"]
    count = len(latencies)
    cells = (
        f"{count / result['seconds']:.0f}",
        f"{statistics.median(latencies) * 1e3:.2f}",
        f"{_quantile(latencies, 0.99) * 1e3:.2f}",
        f"{count / result['entries']:.1f}",
        f"{result['cpu_s'] / count * 1e6:.0f}",
        f"{(result['sent'] + result['received']) / count:.0f}",
    )
    return " | ".join(cells)


async def measure_use() -> None:
    """Measures the resource usage when idle and at the target rate."""
    print("\n### Resource usage of a replica\n")
    print(
        "| load | replica | p50 ms | p99 ms | CPU % of a core | sent B/s |"
        " received B/s | RSS MB |"
    )
    print("| --- " * 8 + "|")
    async with _group() as group:
        leader = await group.leader()
        follower = next(p for p in group.processes if p is not leader)
        loads: tuple[tuple[str, dict[str, float]], ...] = (
            ("none", {}),
            (f"{TARGET_RATE:.0f} commands/s", {"rate": TARGET_RATE}),
        )
        for name, arguments in loads:
            command = "paced" if arguments else "idle"
            results = await asyncio.gather(
                leader.execute(command, seconds=PACED_S, **arguments),
                follower.execute("idle", seconds=PACED_S),
            )
            for role, result in zip(
                ("leader", "follower"), results, strict=True
            ):
                print(f"| {name} | {role} | {_use_cells(result)} |")
            sys.stdout.flush()


def _use_cells(result: dict[str, Any]) -> str:
    latencies = result["latencies_s"]
    seconds = result["seconds"]
    cells = (
        f"{statistics.median(latencies) * 1e3:.2f}" if latencies else "",
        f"{_quantile(latencies, 0.99) * 1e3:.2f}" if latencies else "",
        f"{result['cpu_s'] / seconds * 100:.2f}",
        f"{result['sent'] / seconds:.0f}",
        f"{result['received'] / seconds:.0f}",
        f"{result['rss_mb']:.1f}",
    )
    return " | ".join(cells)


async def measure_failover() -> None:
    """Measures the time from a crash of the leader to the next commit."""
    times: list[float] = []
    async with _group() as group:
        for _ in range(FAILOVERS):
            leader = await group.leader(caught_up=True)
            await leader.execute("closed", waiting=4, seconds=0.2)
            times.append(await _failover_time(group, leader))
    print("\n### Time from the loss of the leader to the next commit\n")
    print("| losses | median s | worst s |")
    print("| --- " * 3 + "|")
    print(
        f"| {len(times)} | {statistics.median(times):.2f} | {max(times):.2f} |"
    )


async def _failover_time(group: Group, leader: Process) -> float:
    probes = [
        asyncio.create_task(process.execute("probe"))
        for process in group.processes
        if process is not leader
    ]
    killed_at = time.monotonic()
    await leader.kill()
    first = min(
        answer["committed_at"]
        for answer in [await next(asyncio.as_completed(probes))]
    )
    await leader.start()
    for probe in probes:
        # The probe of the remaining follower never succeeds; it times out.
        with contextlib.suppress(TimeoutError):
            await probe
    return float(first) - killed_at


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


PARTS: Final[dict[str, Callable[[], Awaitable[None]]]] = {
    "commits": measure_commits,
    "use": measure_use,
    "failover": measure_failover,
}


async def _run(names: list[str]) -> None:
    for name in names:
        await PARTS[name]()


def main() -> None:
    """Parses the command line and runs the parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=", ".join(PARTS))
    asyncio.run(_run(parser.parse_args().parts or list(PARTS)))


if __name__ == "__main__":
    main()
