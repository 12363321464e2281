"""One replica of the log in a process of its own, for measurements.

Reads one JSON order a line from standard input and writes one JSON answer a
line; ends with its input. Orders: `state`, `closed` (so many callers that
propose again as soon as they have a result), `paced` (a fixed rate), `idle`
and `probe` (propose until the first success).
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
PROBE_LIMIT_S: Final = 10.0
PROBE_PAUSE_S: Final = 0.002
_BYTES_PER_MB: Final = 1024 * 1024
_REASON: Final = commands.AssignReason(
    revision=7,
    waiting=12,
    passed_over=(("match-17/3", "no accelerator"),) * 2,
    share=250,
)


class CountingMachine(machine.Machine):
    """Accepts every command; the log alone is measured."""

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        """Returns one result for each command."""
        return [commands.Result(ok=True) for _ in batch.commands]

    def snapshot(self) -> bytes:
        """Returns no state."""
        return b""

    def restore(self, data: bytes) -> None:
        """Takes no state."""


def make_command(number: int) -> commands.Command:
    """Returns an assignment as the scheduler proposes it."""
    return commands.Assign(
        task=f"match-{number}/1",
        worker=f"worker-{number % 550}",
        need=common.Resources(millicores=4000, memory_mb=8192, slots=1),
        reason=_REASON,
    )


class Meter:
    """Processor time, link bytes and entries since its creation."""

    def __init__(self, *, measured: replica.Replica) -> None:
        self._replica = measured
        self._started = time.monotonic()
        self._cpu = time.process_time()
        self._sent = _bytes("sent")
        self._received = _bytes("received")
        self._index = measured.log.last_index

    def read(self) -> dict[str, float]:
        """Returns the totals by name; memory is resident, in MB."""
        memory = psutil.Process().memory_info().rss
        return {
            "seconds": time.monotonic() - self._started,
            "cpu_s": time.process_time() - self._cpu,
            "sent": _bytes("sent") - self._sent,
            "received": _bytes("received") - self._received,
            "entries": self._replica.log.last_index - self._index,
            "rss_mb": memory / _BYTES_PER_MB,
        }


class Worker:
    """Carries out orders on one replica.

    Attributes:
        replica: The measured replica.
    """

    def __init__(self, *, measured: replica.Replica) -> None:
        self.replica = measured
        self._latencies_s: list[float] = []
        self._number = 0

    async def carry_out(self, order: dict[str, Any]) -> dict[str, Any]:
        """Carries out one order and returns its answer."""
        name = order.pop("do")
        orders: dict[str, Callable[..., Awaitable[dict[str, Any]]]] = {
            "state": self.state,
            "closed": self.closed,
            "paced": self.paced,
            "idle": self.idle,
            "probe": self.probe,
        }
        return await orders[name](**order)

    async def state(self) -> dict[str, Any]:
        """Returns whether the replica leads and what it has applied."""
        status = self.replica.status()
        return {
            "leads": self.replica.lease_valid(),
            "applied": status.applied,
            "lag": max(status.lag.values(), default=0),
        }

    async def closed(self, *, waiting: int, seconds: float) -> dict[str, Any]:
        """Keeps `waiting` commands waiting."""
        end = time.monotonic() + seconds

        async def caller() -> None:
            while time.monotonic() < end:
                await self._propose()

        return await self._measured(caller() for _ in range(waiting))

    async def paced(self, *, rate: float, seconds: float) -> dict[str, Any]:
        """Proposes `rate` commands a second, whatever the latency."""
        count = int(rate * seconds)
        started = time.monotonic()

        async def one(number: int) -> None:
            await asyncio.sleep(started + number / rate - time.monotonic())
            await self._propose()

        return await self._measured(one(number) for number in range(count))

    async def idle(self, *, seconds: float) -> dict[str, Any]:
        """Does nothing but what the protocol does."""
        return await self._measured([asyncio.sleep(seconds)])

    async def probe(self) -> dict[str, Any]:
        """Proposes until the first success; returns when that was."""
        end = time.monotonic() + PROBE_LIMIT_S
        while time.monotonic() < end:
            try:
                await self._propose()
            except errors.RouterError:
                await asyncio.sleep(PROBE_PAUSE_S)
            else:
                return {"committed_at": time.monotonic()}
        return {"committed_at": None}

    async def _measured(self, work: Any) -> dict[str, Any]:
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


def _bytes(direction: str) -> float:
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
        machine=CountingMachine(),
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
    worker = Worker(measured=measured)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        answer = await worker.carry_out(json.loads(line))
        print(json.dumps(answer), flush=True)
    await measured.stop()
    await server.close()


def main() -> None:
    """Runs one replica until its input ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--folder", required=True)
    parser.add_argument("--batch", type=int, default=replica.BATCH_COMMANDS)
    parser.add_argument("bootstrap", nargs="+")
    logging.set_verbosity(logging.ERROR)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
