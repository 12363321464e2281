"""Guards against an agent that follows a wrong announcement for good."""

from tests import fake_worker
from tests import test_agent_session

# Far later than any time at which a worker was started.
FAR_MS = 10**14


class CurrentIncarnationTest(test_agent_session.AgentSessionCase):
    """Wrong announcements of the incarnation that has a session."""

    def announce(self, sequence: int, **fields: object) -> None:
        """Announces the worker with the present time of its clock."""
        values = {"clock_ms": self.worker.time.now(), **fields}
        self.session.announce(
            fake_worker.announcement(sequence=sequence, **values)
        )

    def draining(self) -> bool:
        return self.leader.reports[-1].draining

    async def test_draining_is_heard_after_a_sequence_far_too_high(
        self,
    ) -> None:
        """Guards against starts on a worker whose notice is ignored."""
        self.announce(10**6)
        self.announce(2, draining=True)
        await self.until(self.draining)

    async def test_wrong_draining_ends_with_the_next_announcement(self) -> None:
        self.announce(10**6, draining=True)
        await self.until(self.draining)
        self.announce(2)
        await self.until(lambda: not self.draining())

    async def test_delayed_announcement_does_not_end_draining(self) -> None:
        sent_ms = self.worker.time.now()
        self.announce(7, draining=True, clock_ms=sent_ms + 1)
        await self.until(self.draining)
        for sequence in (3, 4, 5, 6):
            self.announce(sequence, clock_ms=sent_ms - 100 + sequence)
        report = len(self.leader.reports)
        await self.until(lambda: len(self.leader.reports) > report)
        self.assertTrue(self.draining())

    async def test_clock_hours_ahead_is_refused(self) -> None:
        ahead_ms = self.worker.time.now() + 3_600_000
        self.announce(2, draining=True, clock_ms=ahead_ms)
        report = len(self.leader.reports)
        await self.until(lambda: len(self.leader.reports) > report)
        self.assertFalse(self.draining())

    async def test_later_start_of_another_writer_is_refused(self) -> None:
        self.announce(1, started_ms=FAR_MS)
        self.announce(2, draining=True)
        await self.until(self.draining)
        self.assertEqual(self.leader.reports[-1].life, "w1@1")
