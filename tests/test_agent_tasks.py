"""Guards against tasks that outlive their lease, run twice or are lost.

The agent and the stand-in worker run in this process with a fake leader.
"""

import asyncio
from collections.abc import Callable
import pathlib
import tempfile
import time
from typing import Literal
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import options
from bamboorouter.coordination.requests import task_leases
from bamboorouter.protocol import messages
from bamboorouter.roles import agent
from bamboorouter.roles import agent_tasks
from bamboorouter.roles import worker_client
from devtools import journal
from devtools import worker
from tests import fake_leader
from tests import replica_site
from tests import virtual_time

HEARTBEAT_MS = 100
# Age in ms at which the worker reports its usage samples.
USAGE_LAG_MS = 200
PROCESSORS = 4
WAIT_MS = 5000


def start_request(*, epoch: int, at_ms: int) -> worker_client.StartTask:
    """Returns a request to start match/0 with a lease of 1.5 s."""
    return worker_client.StartTask(
        task="match/0",
        epoch=epoch,
        kind="batch",
        millicores=1000,
        memory_mb=500,
        accelerators=0,
        slots=1,
        remaining_ms=1500,
        at_ms=at_ms,
        command="never",
    )


def listed_task(
    state: Literal["running", "stopped"],
) -> worker_client.WorkerTask:
    """Returns match/0 as the worker reports it."""
    return worker_client.WorkerTask(
        task="match/0",
        epoch=1,
        kind="batch",
        millicores=1000,
        memory_mb=500,
        accelerators=0,
        slots=1,
        state=state,
    )


class AgentTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts an agent with a worker and a fake leader."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.journal = pathlib.Path(folder.name) / "journal.jsonl"
        self.leader = fake_leader.FakeLeader()
        await self.leader.start()
        self.addAsyncCleanup(self.leader.close)
        self.worker = await self.start_worker()
        self.agent = await self.start_agent()

    async def start_worker(self) -> worker.SimulatedWorker:
        stand_in = worker.SimulatedWorker(
            name="worker",
            host="127.0.0.1",
            millicores=PROCESSORS * 1000,
            lag_ms=USAGE_LAG_MS,
            records=journal.Journal(path=self.journal, writer="worker"),
            journal_requests=True,
        )
        runner = web.AppRunner(
            worker.make_app(stand_in), access_log=None, shutdown_timeout=0
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.worker_url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        self.addAsyncCleanup(runner.cleanup)
        ticker = asyncio.create_task(stand_in.tick_forever())
        self.addAsyncCleanup(stand_in.close)
        self.addCleanup(ticker.cancel)
        return stand_in

    async def start_agent(self) -> agent.AgentRole:
        role = agent.AgentRole(
            process=options.ProcessOptions(
                name="agent-1",
                zone="a",
                roles=("agent",),
                control=(self.leader.address,),
            ),
            settings=options.AgentOptions(
                worker=self.worker_url,
                processors=PROCESSORS,
                memory_mb=8000,
                heartbeat_ms=HEARTBEAT_MS,
            ),
        )
        await role.start()
        self.addAsyncCleanup(role.stop)
        return role

    def runs(self) -> list[journal.Run]:
        """Returns the runs in the worker's journal."""
        return journal.runs(journal.read(self.journal))


class AgentLeaseTest(virtual_time.VirtualTimeCase, AgentTestCase):
    """Tests when the agent ends a task whose lease isn't renewed."""

    async def asyncSetUp(self) -> None:
        self.patch_system_clock()
        now = virtual_time.VirtualTimeClock().now
        journal_time = mock.Mock(
            monotonic_ns=lambda: now() * clock.NS_PER_MS, time_ns=time.time_ns
        )
        for target, name, replacement in (
            (worker, "now_ms", now),
            (journal, "time", journal_time),
        ):
            patcher = mock.patch.object(target, name, replacement)
            patcher.start()
            self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def test_agent_ends_a_task_a_second_before_its_lease(self) -> None:
        self.worker.enforces_leases = False
        self.leader.term_ms = 2500
        self.leader.renews = False
        self.leader.assign("match/0", 1)
        stopped = await self.leader.wait_for_state("match/0", "stopped")
        self.assertEqual(stopped.detail, "lease_ended")
        latest = self.runs()[0].start_ms + 2500 - task_leases.STOP_MARGIN_MS
        self.assertLessEqual(self.runs()[0].end_ms, latest)


class TasksTest(AgentTestCase):
    """Tests how tasks are started, ended, evicted and reported."""

    async def test_service_and_batch_task_start_and_report(self) -> None:
        self.leader.assign("entries/0", 1, kind="service")
        self.leader.assign("match/0", 2, command="run 0.2s")
        await self.leader.wait_until(
            lambda: self.leader.upstream("entries") is not None
        )
        upstream = self.leader.upstream("entries")
        assert upstream is not None
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{upstream.url}/echo", data=b"hello") as answer,
        ):
            self.assertEqual(await answer.read(), b"hello")
        await self.leader.wait_for_state("match/0", "finished")
        self.leader.order("match/0", 2, "forget")
        await self.leader.wait_until(
            lambda: self.leader.state("match/0") is None
        )
        self.assertEqual({run.epoch for run in self.runs()}, {1, 2})

    async def test_eviction_is_reported_with_checkpoint_until_forget(
        self,
    ) -> None:
        self.leader.assign("match/0", 1, command="run 60s")
        await self.leader.wait_for_state("match/0", "running")
        self.leader.order("match/0", 1, "evict")
        evicted = await self.leader.wait_for_state("match/0", "evicted")
        self.assertTrue(evicted.checkpoint.startswith("match/0:1:"))
        self.leader.orders.clear()
        self.leader.order("match/0", 1, "forget")
        self.leader.assign("match/0", 2, resume_from=evicted.checkpoint)
        await self.leader.wait_until(
            lambda: any(
                state.epoch == 2 and state.state == "running"
                for state in self.leader.last.tasks
            )
        )
        await self.leader.wait_until(lambda: len(self.runs()) == 2)
        self.assertEqual(self.runs()[1].resume_from, evicted.checkpoint)
        self.assertEqual(journal.resume_violations(self.runs()), [])

    async def test_worker_enforces_the_lease_without_its_agent(self) -> None:
        self.leader.term_ms = 2500
        self.leader.assign("match/0", 1)
        await self.leader.wait_for_state("match/0", "running")
        await self.agent.stop()
        agent_stopped_ms = time.monotonic() * 1000
        while self.worker.running():
            version = (await self.worker.list_tasks("", 0)).version
            await self.worker.list_tasks(version, WAIT_MS)
            self.assertLess(worker.now_ms(), agent_stopped_ms + WAIT_MS)
        limit = agent_stopped_ms + 2500 - task_leases.STOP_MARGIN_MS
        self.assertLessEqual(self.runs()[0].end_ms, limit)

    async def test_restarted_agent_reports_before_it_accepts(self) -> None:
        self.leader.assign("match/0", 1, millicores=3000)
        await self.leader.wait_for_state("match/0", "running")
        await self.agent.stop()
        self.leader.heartbeats.clear()
        self.leader.assign("match/1", 2, millicores=3000)
        await self.start_agent()
        refused = await self.leader.wait_for_state("match/1", "stopped")
        self.assertEqual(refused.detail, "no_capacity")
        self.assertEqual(
            [state.task for state in self.leader.heartbeats[0].tasks],
            ["match/0"],
        )
        capacity = {"worker": {"millicores": PROCESSORS * 1000}}
        records = journal.read(self.journal)
        self.assertEqual(journal.capacity_violations(records, capacity), [])

    async def test_stopped_epoch_and_late_requests_are_refused(self) -> None:
        self.leader.assign("match/0", 1)
        await self.leader.wait_for_state("match/0", "running")
        self.leader.order("match/0", 1, "stop")
        await self.leader.wait_for_state("match/0", "stopped")
        client = worker_client.HttpWorker(
            url=self.worker_url, time=clock.SystemClock()
        )
        self.addAsyncCleanup(client.close)
        late = start_request(epoch=1, at_ms=worker.now_ms())
        self.assertEqual((await client.start(late)).state, "stopped")
        await client.forget("match/0", 1)
        with self.assertRaisesRegex(errors.RefusedError, "epoch is stale"):
            await client.start(late)
        delayed = start_request(epoch=2, at_ms=worker.now_ms() - 2000)
        with self.assertRaisesRegex(errors.RefusedError, "lease has expired"):
            await client.start(delayed)
        # The worker rejects an agent that started before its current agent.
        older_agent = worker_client.HttpWorker(
            url=self.worker_url, time=clock.ManualClock(monotonic_ms=1)
        )
        self.addAsyncCleanup(older_agent.close)
        with self.assertRaisesRegex(errors.UnknownResultError, "403"):
            await older_agent.start(
                start_request(epoch=3, at_ms=worker.now_ms())
            )
        self.assertEqual(len(self.runs()), 1)

    async def test_usage_and_revision_are_reported(self) -> None:
        self.leader.revision = 7
        self.leader.assign("match/0", 1, command="never use=500")
        await self.leader.wait_until(
            lambda: any(heartbeat.usage for heartbeat in self.leader.heartbeats)
        )
        usage = next(
            heartbeat.usage
            for heartbeat in self.leader.heartbeats
            if heartbeat.usage
        )
        self.assertEqual(usage[0].millicores, 500)
        # The agent keeps the highest revision that it has received.
        self.leader.revision = 6
        await self.leader.wait_until(
            lambda: self.leader.last.applied_revision == 7
        )
        count = len(self.leader.heartbeats)
        await self.leader.wait_until(
            lambda: len(self.leader.heartbeats) > count + 2
        )
        self.assertEqual(self.leader.last.applied_revision, 7)


class TaskListTest(unittest.IsolatedAsyncioTestCase):
    """Tests what the agent concludes from the worker's task lists."""

    async def asyncSetUp(self) -> None:
        self.listings: asyncio.Queue[worker_client.WorkerTasks] = (
            asyncio.Queue()
        )
        self.worker = mock.AsyncMock(spec=worker_client.HttpWorker)
        self.worker.tasks.side_effect = self.next_listing
        self.worker.usage.return_value = ()
        self.worker.start.return_value = listed_task("running")
        self.worker.stop.return_value = listed_task("stopped")
        self.tasks = agent_tasks.AgentTasks(
            settings=options.AgentOptions(
                worker="http://127.0.0.1:1",
                processors=PROCESSORS,
                memory_mb=8000,
            ),
            time=clock.ManualClock(),
            worker=self.worker,
            in_progress=dict,
            on_change=lambda: None,
        )
        await self.tasks.start()
        self.addAsyncCleanup(self.tasks.close)
        self.list_tasks()
        await self.tasks.worker_answered.wait()

    async def next_listing(self, **_: object) -> worker_client.WorkerTasks:
        return await self.listings.get()

    def list_tasks(self, *tasks: worker_client.WorkerTask) -> None:
        """Makes the worker answer the request for its tasks."""
        self.listings.put_nowait(
            worker_client.WorkerTasks(version="", at_ms=0, tasks=tasks)
        )

    async def start_task(self) -> task_leases.HeldTask:
        """Orders the start of match/0 and waits for the worker's answer."""
        leader = fake_leader.FakeLeader()
        leader.assign("match/0", 1)
        self.tasks.apply(
            messages.HeartbeatReply(
                sequence=1,
                leader_term=1,
                revision=1,
                starts=(leader.starts["match/0"],),
            ),
            sent=0,
        )
        held = self.tasks.ledger.tasks["match/0"]
        await self.until(lambda: held.started or held.ended)
        return held

    async def until(self, condition: Callable[[], bool]) -> None:
        await replica_site.wait_until(condition, timeout_s=WAIT_MS / 1000)

    async def test_list_requested_before_a_start_does_not_end_the_task(
        self,
    ) -> None:
        """Guards against repeating a task that an older list lacks."""
        held = await self.start_task()
        self.list_tasks()
        await self.until(self.listings.empty)
        await asyncio.sleep(0.05)
        self.assertEqual(held.state, "running")
        # The next list was requested after the start.
        self.list_tasks()
        await self.until(lambda: held.ended)
        self.assertEqual(held.detail, "lost_by_worker")

    async def test_task_that_runs_after_it_was_given_up_is_stopped(
        self,
    ) -> None:
        """Guards against a task that nobody can stop.

        The first start order is executed late, after the second was refused.
        """
        self.worker.start.side_effect = [
            errors.UnknownResultError(text="no answer", step="test"),
            errors.RefusedError(code="busy", text="busy", step="test"),
        ]
        held = await self.start_task()
        self.assertEqual(held.state, "failed")
        self.list_tasks(listed_task("running"))
        await self.until(lambda: self.worker.stop.called)
        await self.until(lambda: held.state == "stopped")

    async def test_list_made_before_a_stop_does_not_restart_the_task(
        self,
    ) -> None:
        held = await self.start_task()
        self.tasks.apply(
            messages.HeartbeatReply(
                sequence=2,
                leader_term=1,
                revision=1,
                orders=(
                    messages.TaskOrder(task="match/0", epoch=1, action="stop"),
                ),
            ),
            sent=0,
        )
        await self.until(lambda: held.ended)
        self.list_tasks(listed_task("running"))
        await self.until(self.listings.empty)
        await asyncio.sleep(0.05)
        self.assertEqual(held.state, "stopped")


class UpstreamsTest(AgentTestCase):
    """Tests announcements of upstreams on the agent's local address."""

    async def test_announced_upstream_leaves_at_once(self) -> None:
        local = f"http://{self.agent.addresses['agent.local']}/upstreams"
        body = {"id": "up-1", "service": "entries", "url": "http://127.0.0.1:9"}
        async with aiohttp.ClientSession() as session:
            async with session.post(local, json=body) as answer:
                self.assertEqual(answer.status, 200)
            await self.leader.wait_until(
                lambda: self.leader.upstream("entries") is not None
            )
            async with session.delete(f"{local}/up-1") as answer:
                self.assertEqual(await answer.json(), {"in_progress": 0})
            async with session.post(local, json={"id": "x"}) as answer:
                self.assertEqual(answer.status, 400)
        await self.leader.wait_until(
            lambda: (up := self.leader.upstream("entries")) is not None
            and up.leaving
        )

    async def test_drained_upstream_is_leaving(self) -> None:
        self.leader.assign("entries/0", 1, kind="service")
        await self.leader.wait_until(
            lambda: self.leader.upstream("entries") is not None
        )
        self.leader.drained = ("entries/0@1",)
        await self.leader.wait_until(
            lambda: (up := self.leader.upstream("entries")) is not None
            and up.leaving
        )
