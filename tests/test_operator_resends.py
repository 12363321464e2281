"""Tests what operators are told if an attempt of their call had no answer.

The entry resends a call that the leader doesn't answer in time. The leader may
refuse the second attempt, because its queue is full or because the first one
changes the members right now; the first one is carried out all the same.
"""

import asyncio
import unittest

import aiohttp

from bamboorouter import client
from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.protocol import operator_http
from tests import operator_fakes
from tests import virtual_time


class ResentCallTest(virtual_time.VirtualTimeCase):
    """A leader that leaves the first attempts of a call unanswered.

    Attributes:
        code: Code of the refusal of the later attempts.
        unanswered: Number of attempts that are still left unanswered.
    """

    async def asyncSetUp(self) -> None:
        self.patch_system_clock()
        self.code = error_texts.LOG_BUSY
        self.unanswered = 0
        leader = operator_fakes.FakeLeader()
        leader.answer = self._refuse
        address = await leader.start()
        self.addAsyncCleanup(leader.stop)
        entry = operator_fakes.FakeEntry()
        self.entry = await entry.start(address)
        self.addAsyncCleanup(entry.stop)

    async def _refuse(self, call: messages.OperatorCall) -> messages.Message:
        del call
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(
                clock.seconds(2 * control_client.ATTEMPT_TIMEOUT_MS)
            )
        return messages.Refusal(code=self.code, text="refused")

    async def status(self, operation: str, *, unanswered: int) -> int:
        self.unanswered = unanswered
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{self.entry}{operator_http.PATH_PREFIX}{operation}",
                json={"operation_id": "a", "operator": "kim"},
            ) as response,
        ):
            return response.status

    async def test_change_is_not_refused_after_an_unanswered_attempt(
        self,
    ) -> None:
        """Guards against a change that is reported as refused and takes effect."""
        for code, status in (
            (error_texts.LOG_BUSY, operator_http.STATUS_NOT_DONE),
            (error_texts.MEMBERS_BUSY, operator_http.STATUS_NOT_DONE),
            (error_texts.QUORUM_AT_RISK, operator_http.STATUS_REFUSED),
        ):
            with self.subTest(code=code):
                self.code = code
                self.assertEqual(
                    (
                        await self.status("members", unanswered=0),
                        await self.status("members", unanswered=1),
                    ),
                    (status, operator_http.STATUS_UNKNOWN),
                )

    async def test_read_is_refused_by_any_attempt(self) -> None:
        self.assertEqual(
            await self.status("status", unanswered=1),
            operator_http.STATUS_NOT_DONE,
        )

    async def test_tool_reports_the_result_as_unknown(self) -> None:
        """A busy leader refuses the tool's own second attempt as well."""
        caller = client.OperatorClient(
            entries=(self.entry,), operator="kim", timeout_ms=3000
        )
        self.unanswered = 1
        with self.assertRaises(errors.UnknownResultError):
            await caller.call("drain", {"target": "w1"})


if __name__ == "__main__":
    unittest.main()
