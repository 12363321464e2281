"""Guards against measurements that only grow while a leader stays."""

from bamboorouter.protocol import common
from tests import machine_commands as make
from tests import test_scheduler

HOURS = 30 * 24
HOUR_MS = 3_600_000
# Enough for the workers and services of two hours.
MAX_ENTRIES = 8


def entries(owner: object) -> int:
    """Returns the number of entries in all tables of an object."""
    tables = (v for v in vars(owner).values() if isinstance(v, dict))
    return sum(len(table) for table in tables)


class MonthTest(test_scheduler.SchedulerCase):
    """A leader that stays for a month, with new names in each hour."""

    async def run_hour(self, hour: int) -> None:
        """Runs a worker with a batch task and a flooded service, then none."""
        self.log.apply(make.sheet(hour + 1, make.row("job", count=HOURS)))
        agent = self.agent(f"w{hour}")
        for answered in (0, 10, 20, 10_000, 20_000):
            upstream = common.Upstream(
                id=f"web-{hour}/0@1",
                service=f"web-{hour}",
                url="",
                answered=answered,
            )
            agent.fields["upstreams"] = (upstream,)
            await self.exchange_heartbeats(agent, beats=1)
        self.assertTrue(agent.tasks)
        self.assertTrue(
            self.leader.measurements.request_rates.overloaded(
                f"web-{hour}", self.clock.now()
            )
        )
        self.clock.advance(HOUR_MS)

    async def test_measurements_of_what_is_gone_are_discarded(self) -> None:
        for hour in range(HOURS):
            await self.run_hour(hour)
        measurements = self.leader.measurements
        self.assertLessEqual(entries(measurements), MAX_ENTRIES)
        self.assertLessEqual(entries(measurements.request_rates), MAX_ENTRIES)
