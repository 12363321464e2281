"""Guards against ending an incarnation of a worker that goes on."""

from typing import cast
import unittest

from bamboorouter.coordination.workers import incarnation_check
from bamboorouter.coordination.workers import worker_port
from tests import fake_worker

CURRENT = fake_worker.announcement()
ANNOUNCED = fake_worker.announcement(started_ms=2)
_VIEW = worker_port.WorkerView(clock_ms=1, running=(), ended=())


class ScriptedPort:
    """A port whose polls have given outcomes; the last one repeats.

    Attributes:
        outcomes: Views to return and errors to raise.
    """

    def __init__(self, *outcomes: worker_port.WorkerView | Exception) -> None:
        self.outcomes = list(outcomes)

    async def poll(self, **_: object) -> worker_port.WorkerView:
        outcome = self.outcomes[0]
        if len(self.outcomes) > 1:
            self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def close(self) -> None:
        pass


def silence() -> worker_port.NoAnswerError:
    return worker_port.NoAnswerError(text="no answer", step="test", peer="w1")


class IncarnationCheckTest(unittest.IsolatedAsyncioTestCase):
    """Polls of the current and of an announced incarnation."""

    def setUp(self) -> None:
        self.current = ScriptedPort(silence())
        self.announced = ScriptedPort(_VIEW)

    def open(
        self, announcement: worker_port.Announcement
    ) -> worker_port.WorkerPort:
        port = self.current if announcement == CURRENT else self.announced
        return cast(worker_port.WorkerPort, port)

    async def is_over(self) -> bool:
        return not await incarnation_check.find_contradiction(
            self, current=CURRENT, announced=ANNOUNCED, token=1
        )

    async def has_departed(self) -> bool:
        return await incarnation_check.wait_for_departure(
            self, CURRENT, token=lambda: 1, leaving=lambda: True
        )

    async def test_silent_incarnation_is_replaced_by_one_that_answers(
        self,
    ) -> None:
        self.assertTrue(await self.is_over())

    async def test_two_lost_polls_end_nothing(self) -> None:
        self.current = ScriptedPort(silence(), silence(), _VIEW)
        self.assertFalse(await self.is_over())

    async def test_announcement_of_a_silent_worker_ends_nothing(self) -> None:
        self.announced = ScriptedPort(silence())
        self.assertFalse(await self.is_over())

    async def test_rejected_poll_is_an_answer(self) -> None:
        self.current = ScriptedPort(
            worker_port.RejectedError(
                reason="unhealthy", step="test", peer="w1"
            )
        )
        self.assertFalse(await self.is_over())

    async def test_answer_of_another_incarnation_is_enough(self) -> None:
        self.current = ScriptedPort(
            worker_port.IncarnationMismatchError(
                text="w1@2", step="test", peer="w1"
            )
        )
        self.announced = ScriptedPort(silence())
        self.assertTrue(await self.is_over())

    async def test_worker_has_departed_once_it_does_not_answer(self) -> None:
        self.current = ScriptedPort(
            _VIEW, silence(), silence(), _VIEW, silence()
        )
        self.assertTrue(await self.has_departed())
        self.assertEqual(len(self.current.outcomes), 1)


if __name__ == "__main__":
    unittest.main()
