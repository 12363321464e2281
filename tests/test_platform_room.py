"""Tests a worker whose announced capacity changes, over HTTP on loopback."""

import asyncio
import itertools
import pathlib
import tempfile
from typing import Any
import unittest

from tests import platform_site

# Longer than it takes a committed start to reach the worker.
QUIET_S = 0.3


def job(cpu: int) -> dict[str, Any]:
    """Returns a job of one task."""
    return {
        "spec": "work",
        "phases": [{"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": 20}],
    }


class PlatformRoomTest(unittest.IsolatedAsyncioTestCase):
    """A caller, the leader, an agent and its worker."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = platform_site.PlatformSite(path=pathlib.Path(folder.name))
        await self.site.start()
        self.addAsyncCleanup(self.site.close)
        await self.site.wait_until(self.submit_configuration)
        self.sequence = itertools.count(1)
        # A refused job is refused again for some seconds, so each has its ID.
        self.ids = (f"{number:016x}" for number in itertools.count())
        self.accepted: list[str] = []

    async def submit_configuration(self) -> bool:
        status, _ = await self.site.call_as_operator(
            "PUT", platform_site.configuration()
        )
        return status == 200

    async def announce(self, cpu: int) -> None:
        self.site.worker.cpu = cpu
        status = await self.site.announce(seq=next(self.sequence))
        self.assertEqual(status, 200)

    async def submit(self, cpu: int) -> int:
        job_id = next(self.ids)
        status, _ = await self.site.call_as_caller(
            "POST", f"/forms/{job_id}", job(cpu)
        )
        if status == 200:
            self.accepted.append(job_id)
        return status

    async def all_done(self) -> bool:
        for job_id in self.accepted:
            _, body = await self.site.call_as_caller("GET", f"/forms/{job_id}")
            if body != {"state": "done"}:
                return False
        return True

    def started(self) -> int:
        return len(self.site.worker.started)

    async def test_capacity_that_shrinks_and_grows_counts_at_once(self) -> None:
        await self.announce(8000)
        self.assertEqual(await self.submit(6000), 200)
        await self.site.wait_until(self.all_done)
        self.assertEqual(self.started(), 1)
        await self.announce(5999)
        self.assertEqual(await self.submit(6000), 200)
        await asyncio.sleep(QUIET_S)
        self.assertEqual(self.started(), 1)

        async def is_refused() -> bool:
            return await self.submit(12_000) == 429

        await self.site.wait_until(is_refused)
        await self.announce(16_000)

        async def is_accepted() -> bool:
            return await self.submit(12_000) == 200

        await self.site.wait_until(is_accepted)
        await self.site.wait_until(self.all_done)
        self.assertEqual(self.started(), len(self.accepted))
