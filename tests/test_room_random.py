"""Plays capacities that change at random beside starts, ends and elections.

A dispatcher and the agents' sessions run in one process with workers that start
whatever they are told to. The decisions of a play are drawn from its seed; the
order of events also depends on timing.
"""

import asyncio
import os
import random
from typing import cast
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.jobs import dispatcher
from bamboorouter.coordination.jobs import shrunk_workers
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import agent_session
from bamboorouter.coordination.workers import session_growth
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.protocol import messages
from bamboorouter.state import resource_math
from tests import control_fakes
from tests import fake_worker
from tests import job_builders as make
from tests import replica_site

SEEDS = (1, 2, 3)
WORKERS = 3
EVENTS = 150
EVENT_PAUSE_S = 0.01
MAX_ORDER_DELAY_S = 0.03
MAX_STOP_S = 0.1
# Several capacities pass in the real time.
MIN_EXCESS_MS = 30
FULL = make.need(16_000, 16_000)
# Sizes of tasks and capacities, in sixteenths of `FULL`.
TASK_SIZES = (1, 2, 4, 8, 16)
CAPACITIES = (0, 1, 4, 8, 12, 16, 16, 16)
GROWING_CAPACITIES = (0, 4, 8, 16, 20, 24, 28, 32)
# Several growths pass in the real time.
REQUEST_INTERVAL_MS = 50
# Sessions opened beyond the first capacity in each play of growths.
MIN_GROWTHS = 3
OUTCOMES: tuple[jobs.RunOutcome, ...] = ("done", "done", "done", "failed")
# All tasks have ended by then although the workers were full.
MAX_DRAIN_S = 60.0


def share(sixteenths: int) -> common.Resources:
    """Returns a share of a full worker."""
    return make.need(sixteenths * 1000, sixteenths * 1000)


class ModelWorker(fake_worker.FakeWorker):
    """A worker that checks each start against its announced capacities.

    A start may exceed the current capacity only if it fitted a capacity that
    was announced when the order was sent, or later. As the platform's workers,
    it does nothing for an order with a lower fencing token or for an attempt
    that has ended or was stopped there, also if it doesn't answer.

    Attributes:
        name: Name of the worker.
        capacity: Capacity that was announced last.
        choices: Capacities to choose from, in sixteenths of `FULL`.
        violations: Starts that exceeded all these capacities, and starts of
            tasks that run on another worker.
        changes: Capacities announced so far.
    """

    def __init__(
        self,
        name: str,
        *,
        log: control_fakes.FakeLog,
        choose: random.Random,
        others: dict[str, "ModelWorker"],
        choices: tuple[int, ...],
    ) -> None:
        super().__init__()
        self.name = name
        self.incarnation = f"{name}@1"
        self.capacity = FULL
        self.choices = choices
        self.changes = [FULL]
        self.violations: list[str] = []
        # Highest attempt that has ended or was stopped, by task.
        self._ended_attempts: dict[jobs.TaskRef, int] = {}
        self._log = log
        self._choose = choose
        self._others = others

    def announcement(self) -> worker_port.Announcement:
        return fake_worker.announcement(
            id=self.name, sequence=len(self.changes), capacity=self.capacity
        )

    def change_capacity(self) -> None:
        self.capacity = share(self._choose.choice(self.choices))
        self.changes.append(self.capacity)

    async def start(self, order: worker_port.StartRun) -> None:
        sent = len(self.changes) - 1
        await asyncio.sleep(self._choose.uniform(0, MAX_ORDER_DELAY_S))
        self._check_order(order)
        known = order.task in self.running
        await super().start(order)
        if not known:
            self._check_room(order, self.changes[sent:])

    async def stop(
        self, task: jobs.TaskRef, attempt: int, *, token: int
    ) -> None:
        self._check_token(token)
        self._record_ended(task, attempt)
        if self.running.get(task) == attempt:
            delay_s = self._choose.uniform(0, MAX_STOP_S)
            asyncio.get_running_loop().call_later(
                delay_s, self._stop_run, task, attempt
            )

    def finish(self, task: jobs.TaskRef, outcome: jobs.RunOutcome) -> None:
        self._record_ended(task, self.running[task])
        super().finish(task, outcome)

    def _record_ended(self, task: jobs.TaskRef, attempt: int) -> None:
        highest = max(attempt, self._ended_attempts.get(task, 0))
        self._ended_attempts[task] = highest

    def _check_order(self, order: worker_port.StartRun) -> None:
        """Raises an error if the order must not be carried out."""
        ended = order.attempt <= self._ended_attempts.get(order.task, 0)
        if order.token >= self.token and not ended:
            return
        if self.unanswered:
            self.unanswered -= 1
            raise self._no_answer_error()
        raise worker_port.RejectedError(
            reason="old" if ended else "fence", step="test", peer="worker"
        )

    def _stop_run(self, task: jobs.TaskRef, attempt: int) -> None:
        if self.running.get(task) == attempt:
            self.finish(task, "stopped")

    def _check_room(
        self, order: worker_port.StartRun, capacities: list[common.Resources]
    ) -> None:
        steps = (self._log.machine.stepped.step(task) for task in self.running)
        used = resource_math.total(
            resource_math.reserved(step.need, fills=step.fills)
            for step in steps
        )
        if not any(resource_math.fits(used, room) for room in capacities):
            self.violations.append(f"{order.task}: {used} in {capacities}")
        for other in self._others.values():
            if other is not self and order.task in other.running:
                self.violations.append(f"{order.task} runs twice")


class ModelWorkerTest(unittest.IsolatedAsyncioTestCase):
    """The worker does nothing that the platform's workers wouldn't do."""

    def setUp(self) -> None:
        log = control_fakes.FakeLog(time=clock.SystemClock())
        log.apply(
            job_commands.PutConfiguration(configuration=make.configuration())
        )
        log.apply(
            job_commands.AcceptSteps(
                job="a",
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=(make.step(),)),
            )
        )
        self.worker = ModelWorker(
            "w1",
            log=log,
            choose=random.Random(1),
            others={},
            choices=CAPACITIES,
        )
        self.worker.token = 2

    async def start(self, *, token: int = 2) -> None:
        await self.worker.start(
            worker_port.StartRun(
                task=make.ref(),
                attempt=1,
                spec="work",
                checkpoint="",
                until_ms=self.worker.time.now() + 1000,
                token=token,
            )
        )

    async def test_unanswered_order_with_a_lower_token_is_not_executed(
        self,
    ) -> None:
        """Guards against an order that an earlier agent has sent."""
        self.worker.unanswered = 1
        with self.assertRaises(worker_port.NoAnswerError):
            await self.start(token=1)
        self.assertEqual(self.worker.running, {})

    async def test_attempt_that_has_ended_is_not_started_again(self) -> None:
        """Guards against two runs under one attempt."""
        await self.start()
        self.worker.finish(make.ref(), "done")
        with self.assertRaises(worker_port.RejectedError):
            await self.start()
        self.assertEqual(self.worker.running, {})

    async def test_attempt_that_was_stopped_is_not_started(self) -> None:
        """Guards against an order that arrives after the stop order."""
        await self.worker.stop(make.ref(), 1, token=2)
        with self.assertRaises(worker_port.RejectedError):
            await self.start()
        self.assertEqual(self.worker.running, {})


class LeaderClient(fake_worker.LearnedReplicas):
    """Passes an agent's calls to the dispatcher, and its orders back."""

    def __init__(self, leader: dispatcher.JobDispatcher) -> None:
        super().__init__()
        self.leader = leader
        self.session: agent_session.AgentSession | None = None
        self.link = mock.Mock(closed=asyncio.Event(), push=self._push)

    async def _push(self, orders: job_messages.RunOrders) -> None:
        await asyncio.sleep(0)
        if self.session is not None:
            await self.session.handle_message(orders, self.link)

    async def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        del timeout_ms
        await asyncio.sleep(fake_worker.ANSWER_DELAY_S)
        if isinstance(message, job_messages.OpenWorkerSession):
            return await self.leader.open_session(message)
        if not isinstance(message, job_messages.WorkerReport):
            raise errors.ProtocolError(text="unexpected message", step="test")
        reply = await self.leader.report(message, self.link)
        self.leader.wake()
        return reply


class RandomRoomTest(unittest.IsolatedAsyncioTestCase):
    """Capacities, jobs, ends, elections and restarted agents at random.

    Attributes:
        capacities: Capacities to choose from, in sixteenths of `FULL`.
        task_sizes: Sizes of tasks to choose from, in sixteenths of `FULL`.
    """

    capacities: tuple[int, ...] = CAPACITIES
    task_sizes: tuple[int, ...] = TASK_SIZES

    def setUp(self) -> None:
        patcher = mock.patch.object(
            shrunk_workers, "MIN_EXCESS_MS", MIN_EXCESS_MS
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.time = clock.SystemClock()
        self.log = control_fakes.FakeLog(time=self.time)
        self.log.apply(
            job_commands.PutConfiguration(
                configuration=make.configuration(
                    1, make.queue(max_attempts=1000)
                )
            )
        )
        self.workers: dict[str, ModelWorker] = {}
        self.sessions: dict[str, agent_session.AgentSession] = {}
        self.clients: dict[str, LeaderClient] = {}
        self.jobs = 0

    async def start_agent(self, worker: ModelWorker) -> None:
        previous = self.sessions.pop(worker.name, None)
        if previous is not None:
            # A process that has ended gets no more orders.
            self.clients[worker.name].link.closed.set()
            await previous.stop()
        client = self.clients[worker.name] = LeaderClient(self.leader)
        session = agent_session.AgentSession(
            worker=worker.name,
            client=cast(control_client.ControlClient, client),
            ports=worker,
            time=self.time,
        )
        client.session = self.sessions[worker.name] = session
        session.start()
        self.addAsyncCleanup(session.stop)
        session.announce(worker.announcement())

    def accept_job(self) -> None:
        self.jobs += 1
        size = self.choose.choice(self.task_sizes)
        gang = size <= 4 and not self.choose.randrange(5)
        step = make.step(
            2 if gang else self.choose.randint(1, 3),
            need=share(size),
            gang=gang,
            fills=not gang and not self.choose.randrange(6),
            checkpoints=not self.choose.randrange(2),
        )
        self.log.apply(
            job_commands.AcceptSteps(
                job=f"{self.jobs:x}",
                queue="forms",
                spec=jobs.JobSpec(spec="work", steps=(step,)),
            )
        )

    def end_run(self, worker: ModelWorker) -> None:
        if worker.running:
            task = self.choose.choice(sorted(worker.running))
            worker.finish(task, self.choose.choice(OUTCOMES))

    def cancel_job(self) -> None:
        job = self.choose.randint(1, max(1, self.jobs))
        self.log.apply(job_commands.CancelSteps(job=f"{job:x}"))

    def change_capacity(self, worker: ModelWorker) -> None:
        worker.change_capacity()
        self.sessions[worker.name].announce(worker.announcement())

    async def play_event(self) -> None:
        worker = self.workers[self.choose.choice(sorted(self.workers))]
        event = self.choose.random()
        if event < 0.3:
            self.accept_job()
        elif event < 0.55:
            self.end_run(worker)
        elif event < 0.85:
            self.change_capacity(worker)
        elif event < 0.91:
            self.cancel_job()
        elif event < 0.95:
            worker.unanswered = 1
            worker.executes_unanswered = True
        elif event < 0.97:
            self.log.elect_again()
        else:
            await self.start_agent(worker)

    def open_jobs(self) -> list[str]:
        return [
            job.id
            for job in self.log.machine.stepped.jobs.values()
            if job.active() or job.assigned()
        ]

    def full_capacity(self) -> common.Resources:
        """Returns a capacity that is enough for each task."""
        return FULL

    async def finish_all(self) -> None:
        """Lets all workers grow back, and ends all runs."""
        for worker in self.workers.values():
            worker.capacity = self.full_capacity()
            worker.changes.append(worker.capacity)
            self.sessions[worker.name].announce(worker.announcement())

        def finished() -> bool:
            for worker in self.workers.values():
                for task in list(worker.running):
                    worker.finish(task, "done")
            return not self.open_jobs()

        await replica_site.wait_until(finished, timeout_s=MAX_DRAIN_S)

    async def play(self, seed: int) -> None:
        self.choose = random.Random(seed)
        self.leader = dispatcher.JobDispatcher(
            log=self.log, time=self.time, table=worker_table.WorkerTable()
        )
        self.leader.start()
        self.addAsyncCleanup(self.leader.stop)
        for number in range(WORKERS):
            name = f"w{number}"
            self.workers[name] = ModelWorker(
                name,
                log=self.log,
                choose=self.choose,
                others=self.workers,
                choices=self.capacities,
            )
            await self.start_agent(self.workers[name])
        for _ in range(EVENTS):
            await self.play_event()
            await asyncio.sleep(EVENT_PAUSE_S)
        await self.finish_all()
        violations = [
            violation
            for worker in self.workers.values()
            for violation in worker.violations
        ]
        self.assertEqual(violations, [], f"seed {seed}")
        lost = [
            end
            for command, _ in self.log.history
            if isinstance(command, job_commands.EndRuns)
            for end in command.ends
            if end.how == "lost"
        ]
        self.assertEqual(lost, [], f"seed {seed}")
        starts = sum(len(worker.starts) for worker in self.workers.values())
        self.assertGreater(starts, EVENTS // 10, f"seed {seed}")


class GrowingRoomTest(RandomRoomTest):
    """Capacities that exceed those at the opening of the sessions."""

    capacities = GROWING_CAPACITIES
    task_sizes = (*TASK_SIZES, 20, 24)

    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(
            session_growth, "MIN_REQUEST_INTERVAL_MS", REQUEST_INTERVAL_MS
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    async def finish_all(self) -> None:
        grown = [
            command
            for command, _ in self.log.history
            if isinstance(command, job_commands.OpenSession)
            and not resource_math.fits(command.room, FULL)
        ]
        self.assertGreaterEqual(len(grown), MIN_GROWTHS)
        await super().finish_all()

    def full_capacity(self) -> common.Resources:
        return share(max(GROWING_CAPACITIES))


def _add_plays() -> None:
    """Adds a test for each seed; ROOM_SEEDS replaces the seeds."""
    given = os.environ.get("ROOM_SEEDS", "")
    for seed in map(int, given.split(",")) if given else SEEDS:

        async def play(self: RandomRoomTest, seed: int = seed) -> None:
            await self.play(seed)

        setattr(RandomRoomTest, f"test_seed_{seed}", play)


_add_plays()
