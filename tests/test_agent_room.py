"""Guards against runs that an agent starts beyond its worker's capacity."""

import itertools
from unittest import mock

from bamboorouter import events
from bamboorouter.coordination.workers import agent_session
from bamboorouter.protocol import common
from tests import fake_worker
from tests import job_builders as make
from tests import test_agent_session

SMALL = make.need(1000, 1000)
HOUR_MS = 3_600_000
LARGE = make.need(128_000, 500_000)


class AgentRoomCase(test_agent_session.AgentSessionCase):
    """A session of an agent whose worker's capacity changes."""

    sequence = 1

    async def asyncSetUp(self) -> None:
        # Only reports that are due at once are sent.
        patcher = mock.patch.object(agent_session, "REPORT_PERIOD_MS", HOUR_MS)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    def announce(
        self, capacity: common.Resources, *, sequence: int | None = None
    ) -> None:
        """Announces a capacity, by default with the next sequence number."""
        self.sequence += 1
        self.session.announce(
            fake_worker.announcement(
                sequence=self.sequence if sequence is None else sequence,
                capacity=capacity,
            )
        )

    async def until_reported(self, capacity: common.Resources) -> None:
        await self.until(lambda: self.leader.reports[-1].room == capacity)

    def reported_rooms(self) -> list[common.Resources]:
        return [report.room for report in self.leader.reports]


class AnnouncementTest(AgentRoomCase):
    """The newest announced capacity is reported at once."""

    async def test_changed_capacity_is_reported_at_once(self) -> None:
        for capacity in (SMALL, LARGE):
            self.announce(capacity)
            await self.until_reported(capacity)

    async def test_change_is_logged_with_both_amounts(self) -> None:
        with mock.patch.object(events, "log") as log:
            for capacity in (make.CAPACITY, SMALL, SMALL):
                self.announce(capacity)
        changes = [
            (call.kwargs["before"], call.kwargs["now"])
            for call in log.call_args_list
            if call.args[0] is events.WORKER_CAPACITY_CHANGED
        ]
        self.assertEqual(changes, [(make.CAPACITY, SMALL)])

    async def test_late_announcement_of_an_earlier_capacity_is_ignored(
        self,
    ) -> None:
        self.announce(SMALL, sequence=4)
        self.announce(make.CAPACITY, sequence=3)
        await self.until_reported(SMALL)
        self.announce(LARGE, sequence=5)
        await self.until_reported(LARGE)
        self.assertEqual(
            [room for room, _ in itertools.groupby(self.reported_rooms())],
            [make.CAPACITY, SMALL, LARGE],
        )
