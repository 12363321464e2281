"""Guards against an agent that follows a wrong announcement for good."""

import asyncio
from typing import Any
from unittest import mock

from bamboorouter.coordination.workers import worker_port
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


class FencedWorker(fake_worker.FakeWorker):
    """A worker that checks the token of a poll before anything else."""

    async def poll(
        self, *, token: int, **fields: Any
    ) -> worker_port.WorkerView:
        self._check_token(token)
        return await super().poll(token=token, **fields)


class LocatedWorker(fake_worker.FakeWorker):
    """A worker that answers at its own address only."""

    def open(
        self, announcement: worker_port.Announcement
    ) -> worker_port.WorkerPort:
        if announcement.address == fake_worker.announcement().address:
            return super().open(announcement)
        other = fake_worker.FakeWorker()
        other.silent = True
        return other.open(announcement)


class FirstAnnouncementTest(test_agent_session.AgentSessionCase):
    """The first announcement that a new agent gets is wrong."""

    async def asyncSetUp(self) -> None:
        self.worker = fake_worker.FakeWorker()
        self.leader = fake_worker.FakeLeaderClient()
        self.link = mock.Mock(closed=asyncio.Event())
        self.session = self.new_session()

    def lives(self) -> set[str]:
        """Returns the incarnations for which a session was opened."""
        return {opened.life for opened in self.leader.opened_sessions}

    async def test_wrong_start_opens_no_session(self) -> None:
        """Guards against a replicated incarnation that doesn't exist."""
        self.session.announce(fake_worker.announcement(started_ms=FAR_MS))
        await self.until(lambda: not self.session.incarnation.checking)
        self.session.announce(fake_worker.announcement(sequence=2))
        await self.until(self.reachable)
        self.assertEqual(self.lives(), {"w1@1"})

    async def test_true_announcement_during_the_check_is_not_lost(self) -> None:
        self.session.announce(fake_worker.announcement(started_ms=FAR_MS))
        self.session.announce(fake_worker.announcement(sequence=2))
        await self.until(self.reachable)
        self.assertEqual(self.lives(), {"w1@1"})

    async def test_newest_announcement_during_the_check_counts(self) -> None:
        self.session.announce(fake_worker.announcement())
        self.session.announce(
            fake_worker.announcement(sequence=2, draining=True)
        )
        self.session.announce(fake_worker.announcement())
        await self.until(self.reachable)
        self.assertTrue(self.leader.reports[-1].draining)

    async def test_wrong_start_that_can_not_be_checked_is_corrected(
        self,
    ) -> None:
        """The worker rejects polls of a new agent: an earlier one fenced it."""
        for has_earlier_runs in (False, True):
            with self.subTest(has_earlier_runs=has_earlier_runs):
                await self.session.stop()
                await self.asyncSetUp()
                self.worker = FencedWorker()
                self.session = self.new_session()
                self.leader.has_earlier_runs = has_earlier_runs
                self.worker.token = 1
                self.session.announce(
                    fake_worker.announcement(started_ms=FAR_MS)
                )
                await self.until(lambda: self.leader.session_requests)
                for sequence in range(2, 50):
                    self.session.announce(
                        fake_worker.announcement(sequence=sequence)
                    )
                    await asyncio.sleep(0.1)
                    if self.reachable():
                        break
                self.assertEqual(self.leader.reports[-1].life, "w1@1")
                self.assertTrue(self.reachable())

    async def test_worker_that_does_not_answer_yet_is_served_later(
        self,
    ) -> None:
        self.worker.silent = True
        self.session.announce(fake_worker.announcement())
        await self.until(lambda: self.leader.opened_sessions)
        self.worker.silent = False
        await self.until(self.reachable)

    async def test_worker_that_leaves_during_the_check_gets_no_session(
        self,
    ) -> None:
        self.session.announce(fake_worker.announcement())
        self.session.leave("w1", started_ms=1)
        await self.until(lambda: not self.session.incarnation.checking)
        await asyncio.sleep(0.05)
        self.assertEqual(self.lives(), set())
        self.session.announce(fake_worker.announcement(sequence=2))
        await self.until(self.reachable)

    async def test_incarnation_that_answers_comes_first(self) -> None:
        self.worker = LocatedWorker()
        self.session = self.new_session()
        self.session.announce(
            fake_worker.announcement(started_ms=FAR_MS, address="10.0.0.9:1")
        )
        self.session.announce(fake_worker.announcement(sequence=2))
        await self.until(self.reachable)
        self.assertEqual(self.lives(), {"w1@1"})

    async def test_wrong_address_is_replaced_by_the_true_one(self) -> None:
        """Guards against a session whose polls never reach the worker."""
        self.worker = LocatedWorker()
        self.session = self.new_session()
        self.session.announce(
            fake_worker.announcement(sequence=10**6, address="10.0.0.9:1")
        )
        await self.until(lambda: self.session.session is not None)
        for sequence in range(2, 10):
            self.session.announce(
                fake_worker.announcement(
                    sequence=sequence, clock_ms=self.worker.time.now()
                )
            )
            await asyncio.sleep(0.4)
        await self.until(self.reachable)

    async def test_wrong_address_from_the_future_is_replaced_by_the_true_one(
        self,
    ) -> None:
        """All true announcements are earlier by number and by clock."""
        self.worker = LocatedWorker()
        self.session = self.new_session()
        self.session.announce(
            fake_worker.announcement(
                sequence=10**6, clock_ms=FAR_MS, address="10.0.0.9:1"
            )
        )
        await self.until(lambda: self.session.session is not None)
        for sequence in range(2, 8):
            self.session.announce(
                fake_worker.announcement(
                    sequence=sequence, clock_ms=self.worker.time.now()
                )
            )
            await asyncio.sleep(0.4)
        await self.until(self.reachable)
