"""Tests which runs the leader orders to stop, and that it says why.

Guards against a run that nobody can stop without a trace in the logs.
"""

from collections.abc import Mapping
import unittest
from unittest import mock

from bamboorouter import events
from bamboorouter.coordination.jobs import stop_orders
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import job_builders as make
from tests import test_job_dispatcher


class StopOrdersCase(test_job_dispatcher.DispatcherCase):
    """A dispatcher whose events are recorded."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.logged: list[tuple[events.Event, Mapping[str, object]]] = []
        patcher = mock.patch.object(
            events,
            "log",
            side_effect=lambda event, **fields: self.logged.append(
                (event, fields)
            ),
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def logged_fields(self, event: events.Event) -> list[Mapping[str, object]]:
        return [fields for logged, fields in self.logged if logged is event]

    def stop_reasons(self) -> list[object]:
        return [
            fields["reason"]
            for fields in self.logged_fields(events.RUN_STOP_ORDERED)
        ]

    async def start_on(
        self, name: str, job: str, *steps: jobs.Step
    ) -> test_job_dispatcher.FakeAgent:
        """Connects an agent and starts all tasks of a job on its worker."""
        agent = await self.connect_agent(name)
        await self.submit(job, *steps)
        await self.until(agent.started)
        return agent

    def reply_stops(self, reply: job_messages.WorkerReply) -> list[jobs.RunKey]:
        return [(stop.task, stop.attempt) for stop in reply.orders.stops]


class ReasonsTest(StopOrdersCase):
    """Each ordered stop is logged once, with its reason."""

    async def test_stop_in_a_reply_is_logged_once_with_its_reason(
        self,
    ) -> None:
        agent = await self.start_on("w1", "a")
        other = await self.connect_agent("w2")
        unknown = self.held_run(make.ref("gone"))
        for _ in range(3):
            await self.report(other, runs=(unknown, self.held_run(make.ref())))
        self.assertEqual(self.stop_reasons(), ["job_unknown", "not_assigned"])
        fields = self.logged_fields(events.RUN_STOP_ORDERED)[1]
        self.assertEqual(
            (fields["worker"], fields["assigned_worker"]), ("w2", agent.name)
        )
        self.assertEqual(fields["assigned_attempt"], 1)

    async def test_run_of_another_attempt_is_stopped(self) -> None:
        agent = await self.start_on("w1", "a")
        for attempt in (0, 2):
            reply = await self.report(
                agent,
                runs=(
                    self.held_run(make.ref()),
                    self.held_run(make.ref(), attempt),
                ),
            )
            self.assertEqual(self.reply_stops(reply), [(make.ref(), attempt)])
        self.assertEqual(self.stop_reasons(), ["not_assigned"] * 2)

    async def test_run_given_up_before_its_job_was_cancelled_is_stopped(
        self,
    ) -> None:
        agent = await self.start_on("w1", "a")
        await self.report(agent, draining=True)
        await self.report(
            agent, draining=True, ends=self.run_ends(make.ref(), "lost")
        )
        await self.cancel("a")
        reply = await self.report(agent, runs=(self.held_run(make.ref()),))
        self.assertEqual(self.reply_stops(reply), [(make.ref(), 1)])
        self.assertEqual(self.stop_reasons(), ["job_ended"])

    async def test_pushed_stop_is_logged_with_its_reason(self) -> None:
        first = await self.start_on("w1", "a", make.step(checkpoints=True))
        await self.report(first, draining=True)
        await self.until(first.stopped)
        second = await self.start_on("w2", "b")
        await self.cancel("b")
        await self.until(second.stopped)
        self.assertEqual(self.stop_reasons(), ["draining", "job_ended"])


class OverdueTest(StopOrdersCase):
    """A run that goes on after its stop was ordered is logged."""

    async def test_run_that_goes_on_after_its_stop_order_is_logged(
        self,
    ) -> None:
        agent = await self.connect_agent()
        runs = (self.held_run(make.ref("gone")),)
        await self.report(agent, runs=runs)
        for _ in range(stop_orders.STOP_OVERDUE_MS // 1000):
            self.assertEqual(self.logged_fields(events.RUN_STOP_OVERDUE), [])
            self.time.advance(1000)
            await self.report(agent, runs=runs)
        (fields,) = self.logged_fields(events.RUN_STOP_OVERDUE)
        self.assertEqual((fields["worker"], fields["attempt"]), ("w1", 1))
        self.assertEqual(fields["ordered_ms_ago"], stop_orders.STOP_OVERDUE_MS)

    async def test_stop_that_takes_effect_is_not_overdue(self) -> None:
        agent = await self.connect_agent()
        runs = (self.held_run(make.ref("gone")),)
        await self.report(agent, runs=runs)
        for _ in range(2 * stop_orders.RETENTION_MS // 1000):
            self.time.advance(1000)
            await self.report(agent)
        await self.report(agent, runs=runs)
        self.assertEqual(self.logged_fields(events.RUN_STOP_OVERDUE), [])


class RoomTest(StopOrdersCase):
    """A run takes its room until it is gone, also if it isn't assigned."""

    whole_worker = make.step(need=make.need(64_000, 1000))

    async def give_up_run(self) -> test_job_dispatcher.FakeAgent:
        """Returns an agent that runs job `a`, which is given up and ended."""
        agent = await self.start_on("w1", "a", self.whole_worker)
        await self.cancel("a")
        await self.report(agent, ends=self.run_ends(make.ref(), "lost"))
        return agent

    async def test_run_that_is_being_stopped_takes_its_room(self) -> None:
        agent = await self.give_up_run()
        runs = (self.held_run(make.ref()),)
        await self.report(agent, runs=runs)
        await self.submit("b", self.whole_worker)
        await self.settle()
        self.assertEqual(agent.started(), [make.ref("a")])
        await self.report(agent)
        await self.until(lambda: agent.has_started(2))

    async def test_worker_with_a_run_of_unknown_size_gets_no_runs(
        self,
    ) -> None:
        agent = await self.connect_agent()
        await self.report(agent, runs=(self.held_run(make.ref("gone")),))
        await self.submit("a")
        await self.settle()
        self.assertEqual(agent.started(), [])
        await self.report(agent)
        await self.until(agent.started)

    async def test_start_is_not_repeated_beside_a_run_that_came_back(
        self,
    ) -> None:
        agent = await self.give_up_run()
        await self.report(agent)
        await self.submit("b", self.whole_worker)
        await self.until(lambda: agent.has_started(2))
        reply = await self.report(agent, runs=(self.held_run(make.ref("a")),))
        self.assertEqual(reply.orders.starts, ())
        reply = await self.report(agent)
        self.assertEqual(
            [start.task for start in reply.orders.starts], [make.ref("b")]
        )

    async def test_small_run_that_is_being_stopped_leaves_room(self) -> None:
        agent = await self.start_on("w1", "a")
        await self.cancel("a")
        await self.report(agent, ends=self.run_ends(make.ref(), "lost"))
        await self.report(agent, runs=(self.held_run(make.ref()),))
        await self.submit("b")
        await self.until(lambda: agent.has_started(2))

    async def test_start_of_a_job_that_is_cancelled_meanwhile_is_not_pushed(
        self,
    ) -> None:
        """The cancellation may share the log entry of the assignment."""
        agent = await self.connect_agent()
        self.log.followed_by[job_commands.StartRuns] = job_commands.CancelSteps(
            job="a"
        )
        await self.submit("a")
        await self.until(agent.stopped)
        self.assertEqual(agent.started(), [])


if __name__ == "__main__":
    unittest.main()
