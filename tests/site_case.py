"""Defines the base class of tests with real processes.

The logs of the processes are printed when a test fails.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any
import unittest
import uuid

from bamboorouter import clock
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.protocol import operator_http
from devtools import journal
from devtools import site

POLL_S = 0.05
CALL_TIMEOUT_MS = 8000
HEADER = (
    "kind,name,owner,urgency,place,processors,memory_mb,run_time_s,count,"
    "command,idempotent"
)


def sheet(revision: int, *rows: str) -> str:
    """Returns a sheet in CSV; each row has the columns of `HEADER`."""
    return "\n".join([f"revision,{revision}", HEADER, *rows, ""])


def job_row(name: str, count: int, command: str, *, processors: int = 1) -> str:
    """Returns the row of a batch job."""
    return f"job,{name},team,5,1,{processors},500,10,{count},{command},"


def service_row(
    name: str, count: int, command: str = "serve", *, idempotent: bool = True
) -> str:
    """Returns the row of a service."""
    repeatable = "yes" if idempotent else "no"
    row = f"service,{name},team,0,1,1,500,0,{count},{command}"
    return f"{row},{repeatable}"


class Operator:
    """Sends operator calls to the leader of a site.

    Attributes:
        site: The running site.
    """

    def __init__(self, running: site.Site) -> None:
        self.site = running
        self._client = control_client.ControlClient(
            addresses=tuple(running.control_addresses.values()),
            time=clock.SystemClock(),
        )

    async def close(self) -> None:
        """Closes the client."""
        await self._client.close()

    async def call(
        self, operation: str, **arguments: object
    ) -> messages.OperatorReply:
        """Sends a call, with retries until it is answered.

        Args:
            operation: Name of the operation.
            **arguments: Arguments of the operation.

        Returns:
            The reply; a refusal is returned as a reply with a false `ok`.

        Raises:
            RequestTimeoutError: No leader answered in time.
        """
        message = messages.OperatorCall(
            operation=operation,
            operation_id=uuid.uuid4().hex,
            operator="test",
            arguments=arguments,
        )
        reply = await self._client.call(message, timeout_ms=CALL_TIMEOUT_MS)
        if isinstance(reply, messages.Refusal):
            return messages.OperatorReply(
                ok=False, code=reply.code, text=reply.text
            )
        assert isinstance(reply, messages.OperatorReply), reply
        return reply

    async def submit(self, revision: int, *rows: str) -> int:
        """Submits a sheet; returns the configuration revision."""
        reply = await self.call("submit_sheet", csv=sheet(revision, *rows))
        assert reply.ok, reply
        return int(reply.data["config_revision"])

    async def status(self) -> operator_http.StatusData:
        """Returns the status of the site as the leader reports it."""
        reply = await self.call("status")
        return operator_http.read_status(reply.data)

    async def members(self) -> list[dict[str, Any]]:
        """Returns the members of the control group."""
        reply = await self.call("members", action="list")
        return list(reply.data["members"])

    async def leader(self) -> str:
        """Returns the name of the leader's process."""
        address = (await self.status()).leader
        names = {a: n for n, a in self.site.control_addresses.items()}
        return names[address]


class SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts sites and checks the journals of their workers."""

    async def start_site(
        self,
        shape: site.SiteShape,
        *,
        external_control: tuple[str, ...] = (),
    ) -> site.Site:
        """Starts a site and stops it after the test.

        Args:
            shape: Machines and processes of the site.
            external_control: Control addresses outside the site, such as that of
                a fake leader.
        """
        # The proxies run on this loop; its debug mode doubles their CPU usage.
        asyncio.get_running_loop().set_debug(False)
        running = site.Site(shape=shape, external_control=external_control)
        self.addAsyncCleanup(running.close)
        self.addCleanup(self._print_logs, running)
        await running.start()
        return running

    async def start_operator(self, running: site.Site) -> Operator:
        """Returns an operator that is closed after the test."""
        operator = Operator(running)
        self.addAsyncCleanup(operator.close)
        return operator

    async def wait_for(
        self, condition: Callable[[], object], what: str, *, within_s: float
    ) -> None:
        """Waits until a condition holds.

        Args:
            condition: The condition, polled every 50 ms.
            what: Description of the condition for the failure message.
            within_s: Maximum waiting time in seconds.

        Raises:
            AssertionError: The condition didn't hold in time.
        """
        deadline = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"timed out after {within_s} s: {what}")
            await asyncio.sleep(POLL_S)

    def assert_task_invariants(self, running: site.Site) -> None:
        """Asserts the invariants of task execution over the whole journal.

        These are P1 (no worker is overcommitted), P2 (two runs of a task never
        overlap) and P3 (evicted work is resumed exactly once).
        """
        records = running.records()
        runs = journal.runs(records)
        self.assertEqual(journal.overlaps(runs), [])
        self.assertEqual(journal.resume_violations(runs), [])
        capacity = running.capacity()
        self.assertEqual(journal.capacity_violations(records, capacity), [])

    def _print_logs(self, running: site.Site) -> None:
        # `success` of the outcome describes the running cleanup, not the test.
        result = self._outcome.result  # type: ignore[attr-defined]
        if any(test is self for test, _ in result.failures + result.errors):
            print(running.tails())
