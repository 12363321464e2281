"""Runs one replica of the log in its own process, for benchmarks.

The process reads JSON commands from standard input, one per line, and writes a
JSON response for each. It exits at the end of the input. Commands:
- `state`: reports whether the replica leads, and its progress.
- `closed`: closed-loop load, with a constant number of pending proposals.
- `paced`: open-loop load with a fixed rate.
- `idle`: measures a period without load.
- `probe`: proposes until the first success.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import sys
import time
from typing import Any
from typing import Final

from absl import logging
import psutil

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter.coordination.log import replica
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import machine
from bamboorouter.transport import files
from bamboorouter.transport import link

PROPOSE_TIMEOUT_MS: Final = 5000
PROBE_TIMEOUT_S: Final = 10.0
PROBE_INTERVAL_S: Final = 0.002
_BYTES_PER_MB: Final = 1024 * 1024
_REASON: Final = commands.AssignReason(
    revision=7,
    waiting=12,
    passed_over=(("match-17/3", "no accelerator"),) * 2,
    share=250,
)


class NoOpMachine(machine.Machine):
    """State machine without state, to measure only the log."""

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        """Returns a successful result for each command."""
        return [commands.Result(ok=True) for _ in batch.commands]

    def snapshot(self) -> bytes:
        """Returns an empty snapshot."""
        return b""

    def restore(self, data: bytes) -> None:
        """Ignores a snapshot."""


def make_command(number: int) -> commands.Command:
    """Returns an assignment like those that the scheduler proposes."""
    return commands.Assign(
        task=f"match-{number}/1",
        worker=f"worker-{number % 550}",
        need=common.Resources(millicores=4000, memory_mb=8192, slots=1),
        reason=_REASON,
    )


class Meter:
    """Measures CPU time, link traffic and log entries since its creation."""

    def __init__(self, *, measured: replica.Replica) -> None:
        self._replica = measured
        self._started = time.monotonic()
        self._cpu = time.process_time()
        self._sent = _link_bytes("sent")
        self._received = _link_bytes("received")
        self._index = measured.log.last_index

    def read(self) -> dict[str, float]:
        """Returns the totals by name, and the resident memory in MB."""
        memory = psutil.Process().memory_info().rss
        return {
            "seconds": time.monotonic() - self._started,
            "cpu_s": time.process_time() - self._cpu,
            "sent": _link_bytes("sent") - self._sent,
            "received": _link_bytes("received") - self._received,
            "entries": self._replica.log.last_index - self._index,
            "rss_mb": memory / _BYTES_PER_MB,
        }


class CommandExecutor:
    """Executes commands on a replica.

    Attributes:
        replica: The measured replica.
    """

    def __init__(self, *, measured: replica.Replica) -> None:
        self.replica = measured
        self._latencies_s: list[float] = []
        self._number = 0

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Executes a command and returns its response."""
        name = command.pop("do")
        handlers: dict[str, Callable[..., Awaitable[dict[str, Any]]]] = {
            "state": self.state,
            "closed": self.closed,
            "paced": self.paced,
            "idle": self.idle,
            "probe": self.probe,
        }
        return await handlers[name](**command)

    async def state(self) -> dict[str, Any]:
        """Returns whether the replica leads, its applied index and max. lag."""
        status = self.replica.status()
        return {
            "leads": self.replica.lease_valid(),
            "applied": status.applied,
            "lag": max(status.lag.values(), default=0),
        }

    async def closed(self, *, waiting: int, seconds: float) -> dict[str, Any]:
        """Keeps `waiting` proposals pending for `seconds`."""
        end = time.monotonic() + seconds

        async def caller() -> None:
            while time.monotonic() < end:
                await self._propose()

        return await self._measure(caller() for _ in range(waiting))

    async def paced(self, *, rate: float, seconds: float) -> dict[str, Any]:
        """Proposes `rate` commands per second, independent of the latency."""
        count = int(rate * seconds)
        started = time.monotonic()

        async def propose_at(number: int) -> None:
            await asyncio.sleep(started + number / rate - time.monotonic())
            await self._propose()

        return await self._measure(
            propose_at(number) for number in range(count)
        )

    async def idle(self, *, seconds: float) -> dict[str, Any]:
        """Waits without proposing commands."""
        return await self._measure([asyncio.sleep(seconds)])

    async def probe(self) -> dict[str, Any]:
        """Proposes until the first success; returns its monotonic time."""
        end = time.monotonic() + PROBE_TIMEOUT_S
        while time.monotonic() < end:
            try:
                await self._propose()
            except errors.RouterError:
                await asyncio.sleep(PROBE_INTERVAL_S)
            else:
                return {"committed_at": time.monotonic()}
        return {"committed_at": None}

    async def _measure(self, work: Any) -> dict[str, Any]:
        self._latencies_s = []
        meter = Meter(measured=self.replica)
        await asyncio.gather(*work)
        return {**meter.read(), "latencies_s": self._latencies_s}

    async def _propose(self) -> None:
        self._number += 1
        started = time.monotonic()
        await self.replica.propose(
            make_command(self._number), timeout_ms=PROPOSE_TIMEOUT_MS
        )
        self._latencies_s.append(time.monotonic() - started)


def _link_bytes(direction: str) -> float:
    value: float = metrics.LINK_BYTES.labels(direction)._value.get()
    return value


async def _serve(args: argparse.Namespace) -> None:
    measured = replica.Replica(
        process=options.ProcessOptions(
            name="replica", zone="a", roles=("control",)
        ),
        settings=options.ControlOptions(
            data_dir=args.folder, bootstrap=tuple(args.bootstrap)
        ),
        folder=files.DiskFolder(path=pathlib.Path(args.folder)),
        machine=NoOpMachine(),
        time=clock.SystemClock(),
        batch_commands=args.batch,
    )
    host, _, port = args.address.rpartition(":")
    server = await link.serve_links(
        host=host, port=int(port), handler=measured.handle
    )
    await measured.start(
        args.address, last_leader_contact_ms=clock.PROCESS_START_MS
    )
    executor = CommandExecutor(measured=measured)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        response = await executor.execute(json.loads(line))
        print(json.dumps(response), flush=True)
    await measured.stop()
    await server.close()


def main() -> None:
    """Runs a replica until the end of the input."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--batch", type=int, default=replica.BATCH_COMMANDS)
    parser.add_argument("bootstrap", nargs="+")
    logging.set_verbosity(logging.ERROR)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
