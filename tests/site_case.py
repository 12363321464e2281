"""Base of tests with real processes; prints the logs of a failed test."""

import asyncio
from collections.abc import Callable
import time
import unittest

from devtools import journal
from devtools import site

POLL_S = 0.05


class SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts sites and checks what their workers did."""

    async def start_site(
        self,
        shape: site.SiteShape,
        *,
        outside_control: tuple[str, ...] = (),
    ) -> site.Site:
        """Starts a site that ends with the test."""
        running = site.Site(shape=shape, outside_control=outside_control)
        self.addAsyncCleanup(running.close)
        self.addCleanup(self._print_logs, running)
        await running.start()
        return running

    async def wait_for(
        self, condition: Callable[[], object], what: str, *, within_s: float
    ) -> None:
        """Waits until a condition holds.

        Raises:
            AssertionError: It does not hold in time.
        """
        deadline = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"not within {within_s} s: {what}")
            await asyncio.sleep(POLL_S)

    def assert_tasks_sound(self, running: site.Site) -> None:
        """Asserts P1, P2 and P3 on the whole journal."""
        records = running.records()
        runs = journal.runs(records)
        self.assertEqual(journal.overlaps(runs), [])
        self.assertEqual(journal.wrong_resumes(runs), [])
        capacity = running.capacity()
        self.assertEqual(journal.overload(records, capacity), [])

    def _print_logs(self, running: site.Site) -> None:
        outcome = self._outcome  # type: ignore[attr-defined]
        if not outcome.success:
            print(running.tails())
