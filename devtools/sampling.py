"""Samples CPU time, memory and link traffic of the processes of a site."""

import asyncio
import dataclasses
import re
import time
from typing import Final

import aiohttp
import psutil

from devtools import site

_TRAFFIC: Final = re.compile(
    r'^bamboorouter_link_(bytes|frames)_total\{direction="(\w+)"\} (\S+)',
    re.MULTILINE,
)
BYTES_PER_MB: Final = 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Resource usage of a process over a time window.

    Attributes:
        cpu_percent: CPU time in percent of one core.
        rss_mb: Resident set size at the end, in MB.
        private_mb: Unique set size (memory not shared with other processes) at
            the end, in MB.
        received_per_s: Bytes received per second on links.
        sent_per_s: Bytes sent per second on links.
        frames_per_s: Frames per second on links, in both directions.
    """

    cpu_percent: float
    rss_mb: float
    private_mb: float
    received_per_s: float
    sent_per_s: float
    frames_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reading:
    at: float
    cpu_s: float
    traffic: dict[tuple[str, str], float]


class Sampler:
    """Measures the resource usage of the daemons of a site.

    Attributes:
        running: The site.
    """

    def __init__(self, *, running: site.Site) -> None:
        self.running = running

    async def measure(
        self, names: list[str], *, seconds: float
    ) -> dict[str, Sample]:
        """Returns a sample for each daemon over a window of `seconds`."""
        before = await self._read_all(names)
        await asyncio.sleep(seconds)
        after = await self._read_all(names)
        return {
            name: self._sample(name, before[name], after[name])
            for name in names
        }

    async def leader(self) -> str:
        """Returns the name of the control daemon that is the leader.

        Raises:
            SiteError: There is no leader within 10 s.
        """
        for _ in range(100):
            for name in self.running.processes:
                if not name.startswith("control-"):
                    continue
                if await self.running.metric(name, "bamboorouter_leads") == 1:
                    return name
            await asyncio.sleep(0.1)
        raise site.SiteError("no leader within 10 s")

    async def _read_all(self, names: list[str]) -> dict[str, _Reading]:
        async with aiohttp.ClientSession() as session:
            return {name: await self._read(session, name) for name in names}

    async def _read(
        self, session: aiohttp.ClientSession, name: str
    ) -> _Reading:
        address = self.running.address(name, "health")
        async with session.get(f"http://{address}/metrics") as response:
            text = await response.text()
        times = self._process(name).cpu_times()
        return _Reading(
            at=time.monotonic(),
            cpu_s=times.user + times.system,
            traffic={
                (kind, direction): float(value)
                for kind, direction, value in _TRAFFIC.findall(text)
            },
        )

    def _process(self, name: str) -> psutil.Process:
        process = self.running.processes[name].process
        if process is None:
            raise site.SiteError(f"{name} isn't running")
        return psutil.Process(process.pid)

    def _sample(self, name: str, before: _Reading, after: _Reading) -> Sample:
        seconds = after.at - before.at
        memory = self._process(name).memory_full_info()

        def rate(kind: str, direction: str) -> float:
            key = (kind, direction)
            increase = after.traffic.get(key, 0) - before.traffic.get(key, 0)
            return increase / seconds

        return Sample(
            cpu_percent=100 * (after.cpu_s - before.cpu_s) / seconds,
            rss_mb=memory.rss / BYTES_PER_MB,
            private_mb=memory.uss / BYTES_PER_MB,
            received_per_s=rate("bytes", "received"),
            sent_per_s=rate("bytes", "sent"),
            frames_per_s=rate("frames", "received") + rate("frames", "sent"),
        )
