"""Carries out on the worker what the ledger of leases asks for.

One driver per task brings it to its goal: it starts the task, or takes a
checkpoint and stops it, and repeats a request whose result is unknown until the
worker confirms it. Requests are idempotent by epoch. The list of tasks on the
worker is the truth: tasks found there are held and count in full, and nothing
is accepted or reported until the worker has answered once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import options
from bamboorouter import supervision
from bamboorouter.coordination.requests import task_leases
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.roles import worker_client

LEASE_CHECK_MS: Final = 100
RETRY_PAUSE_MS: Final = 200
LIST_WAIT_MS: Final = 1000
USAGE_PERIOD_MS: Final = 2000
# A checkpoint that fails this often is given up; the task resumes from the
# last one that was confirmed.
CHECKPOINT_TRIES: Final = 3
# Requests in progress on a service task that is stopped by order may end
# within this time.
SERVICE_DRAIN_MS: Final = 10_000
MAX_USAGE_ROWS: Final = 256


class AgentTasks:
    """The task side of an agent.

    Attributes:
        ledger: All tasks with leases and goals.
        worker_answered: Set once the worker has listed its tasks.
        on_change: Called when a report to the leader is due.
    """

    def __init__(
        self,
        *,
        settings: options.AgentOptions,
        time: clock.Clock,
        worker: worker_client.Worker,
        in_progress: Callable[[], dict[str, int]],
        on_change: Callable[[], None],
    ) -> None:
        self.ledger = task_leases.TaskLedger(
            capacity=task_leases.capacity_of(
                processors=settings.processors,
                memory_mb=settings.memory_mb,
                accelerators=settings.accelerators,
                slots=settings.slots,
            )
        )
        self.worker_answered = asyncio.Event()
        self.on_change = on_change
        self._clock = time
        self._worker = worker
        self._in_progress = in_progress
        self._usage: list[common.Usage] = []
        self._leases_changed = asyncio.Event()
        self._drivers: dict[str, asyncio.Task[None]] = {}
        self._work: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts to follow the worker and to watch the leases."""
        loops: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._follow_worker,
            self._watch_leases,
            self._send_leases,
            self._collect_usage,
        )
        self._loops = [supervision.start(loop) for loop in loops]

    async def close(self) -> None:
        """Stops watching; the tasks go on under the worker's leases."""
        running = [*self._loops, *self._work]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self._worker.close()

    def check_leases(self) -> None:
        """Begins to stop each task whose lease ends.

        It runs before any other work, so that a process that was paused acts
        on nothing that arrived in the meantime before its tasks are stopped.
        """
        expired = self.ledger.expire(self._clock.now())
        for held in expired:
            events.log(
                events.LEASE_ENDED,
                task=held.task,
                epoch=held.epoch,
                until=held.stop_deadline_ms,
                now=self._clock.now(),
            )
            self._drive(held)
        if expired:
            self.on_change()

    def apply(self, reply: messages.HeartbeatReply, *, sent: int) -> None:
        """Carries out the leader's answer to a heartbeat.

        Args:
            reply: The answer.
            sent: Monotonic time in ms at which the heartbeat left.
        """
        self.check_leases()
        for renewal in reply.renewals:
            self.ledger.renew(renewal, sent=sent)
        for order in reply.orders:
            self._apply_order(order)
        for start in reply.starts:
            self._apply_start(start, sent)
        self._leases_changed.set()

    def upstreams(self) -> list[common.Upstream]:
        """Returns the service tasks that take or finish requests."""
        return [
            common.Upstream(
                id=upstream_id(held),
                service=held.row_name,
                url=held.url,
                leaving=held.goal != "run",
            )
            for held in self.ledger.running()
            if held.url
        ]

    def take_usage(self) -> tuple[common.Usage, ...]:
        """Returns the measurements that were not yet reported."""
        usage, self._usage = self._usage, []
        return tuple(usage)

    def _apply_order(self, order: messages.TaskOrder) -> None:
        held = self.ledger.apply_order(order)
        if held is None:
            return
        events.log(
            events.TASK_ORDERED,
            task=order.task,
            epoch=order.epoch,
            action=order.action,
        )
        if order.action == "forget":
            self._background(self._forget(held))
            return
        self._drive(held)
        self.on_change()

    def _apply_start(self, order: messages.StartOrder, sent: int) -> None:
        admission = self.ledger.admit(order, sent=sent, now=self._clock.now())
        if admission == "known":
            return
        events.log(
            events.TASK_ADMITTED,
            task=order.task,
            epoch=order.epoch,
            admission=admission,
        )
        if admission in ("start", "later"):
            self._drive(self.ledger.tasks[order.task])
        if admission == "refused":
            self.on_change()

    def _drive(self, held: task_leases.HeldTask) -> None:
        """Sees to it that one driver brings the task to its goal."""
        driver = self._drivers.get(held.task)
        if driver is None or driver.done():
            self._drivers[held.task] = self._background(
                self._bring_to_goal(held)
            )

    def _background(
        self, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._work.add(task)
        task.add_done_callback(self._work_done)
        return task

    def _work_done(self, done: asyncio.Task[None]) -> None:
        self._work.discard(done)
        for name in [n for n, t in self._drivers.items() if t is done]:
            del self._drivers[name]
        if not done.cancelled() and done.exception() is not None:
            events.log(events.DRIVER_FAILED, error=repr(done.exception()))

    async def _bring_to_goal(self, held: task_leases.HeldTask) -> None:
        while not held.ended:
            try:
                if held.goal != "run":
                    await self._end(held)
                elif not held.started:
                    await self._start_task(held)
                elif held.throttled != held.throttle_applied:
                    await self._throttle(held)
                else:
                    return
            except errors.UnknownResultError as err:
                events.log(
                    events.WORKER_UNREACHABLE,
                    task=held.task,
                    epoch=held.epoch,
                    error=str(err),
                )
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
        self.on_change()

    async def _start_task(self, held: task_leases.HeldTask) -> None:
        order = held.order
        if order is None:
            return
        now = self._clock.now()
        body = worker_client.StartTask(
            task=held.task,
            epoch=held.epoch,
            kind=held.kind,
            millicores=held.need.millicores,
            memory_mb=held.need.memory_mb,
            accelerators=held.need.accelerators,
            slots=held.need.slots,
            remaining_ms=held.stop_deadline_ms - now,
            at_ms=now,
            command=order.row.command,
            run_time_s=order.row.run_time_s,
            resume_from=order.resume_from,
        )
        try:
            found = await self._worker.start(body)
        except errors.RefusedError as err:
            # Too late is no fault of the task.
            late = err.code in worker_client.LATE_CODES
            held.end(
                "stopped" if late else "failed",
                checkpoint=order.resume_from,
                detail=f"{err.code}: {err.text}",
            )
            return
        held.started = True
        self._take_state(held, found)
        self.on_change()

    async def _end(self, held: task_leases.HeldTask) -> None:
        if held.kind == "service":
            await self._drain(held)
        elif held.goal == "evict":
            await self._take_checkpoint(held)
        body = worker_client.StopBody(
            epoch=held.epoch,
            state="evicted" if held.goal == "evict" else "stopped",
            detail=held.detail,
        )
        try:
            found = await self._worker.stop(held.task, body)
        except errors.RefusedError as err:
            # Only a worker that holds another epoch refuses; this one is gone.
            held.end("stopped", checkpoint="", detail=err.code)
            return
        if found.state != "running":
            held.end(
                found.state, checkpoint=found.checkpoint, detail=found.detail
            )

    async def _take_checkpoint(self, held: task_leases.HeldTask) -> None:
        for _ in range(CHECKPOINT_TRIES):
            if (
                self._clock.now()
                >= held.stop_deadline_ms - task_leases.STOP_LEAD_MS
            ):
                return
            try:
                found = await self._worker.checkpoint(held.task, held.epoch)
            except errors.RefusedError:
                return
            except errors.UnknownResultError:
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
                continue
            held.checkpoint = found.checkpoint or held.checkpoint
            return

    async def _drain(self, held: task_leases.HeldTask) -> None:
        """Waits for requests in progress, at most until the lease ends."""
        limit = self._clock.now() + SERVICE_DRAIN_MS
        name = upstream_id(held)
        while self._clock.now() < min(
            limit, held.stop_deadline_ms - task_leases.STOP_LEAD_MS
        ):
            if not self._in_progress().get(name, 0):
                return
            await asyncio.sleep(clock.seconds(LEASE_CHECK_MS))

    async def _throttle(self, held: task_leases.HeldTask) -> None:
        wanted = held.throttled
        with contextlib.suppress(errors.RefusedError):
            await self._worker.throttle(held.task, held.epoch, wanted)
        held.throttle_applied = wanted

    async def _forget(self, held: task_leases.HeldTask) -> None:
        with contextlib.suppress(errors.RouterError):
            await self._worker.forget(held.task, held.epoch)

    async def _watch_leases(self) -> None:
        while True:
            self.check_leases()
            await asyncio.sleep(clock.seconds(LEASE_CHECK_MS))

    async def _send_leases(self) -> None:
        """Passes each renewal on to the worker; the newest one counts."""
        while True:
            await self._leases_changed.wait()
            self._leases_changed.clear()
            now = self._clock.now()
            leases = tuple(
                worker_client.Lease(
                    task=held.task,
                    epoch=held.epoch,
                    remaining_ms=held.stop_deadline_ms - now,
                )
                for held in self.ledger.running()
                if held.goal != "expire" and held.stop_deadline_ms > now
            )
            if not leases:
                continue
            try:
                await self._worker.renew(
                    worker_client.Leases(at_ms=now, leases=leases)
                )
            except errors.RouterError as err:
                events.log(events.LEASES_NOT_SENT, error=str(err))
                self._leases_changed.set()
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))

    async def _follow_worker(self) -> None:
        known = ""
        while True:
            wait_ms = LIST_WAIT_MS if self.worker_answered.is_set() else 0
            starting = {
                held.task for held in self.ledger.running() if not held.started
            }
            try:
                found = await self._worker.tasks(known=known, wait_ms=wait_ms)
            except errors.RouterError as err:
                events.log(
                    events.WORKER_UNREACHABLE,
                    task="",
                    epoch=0,
                    error=str(err),
                )
                await asyncio.sleep(clock.seconds(RETRY_PAUSE_MS))
                continue
            known = found.version
            self._merge(found, starting)
            if not self.worker_answered.is_set():
                events.log(events.WORKER_LISTED, tasks=len(found.tasks))
                self.worker_answered.set()

    def _merge(
        self, found: worker_client.WorkerTasks, starting: set[str]
    ) -> None:
        """Takes over what the worker reports.

        Args:
            found: The worker's list.
            starting: Tasks whose start was not confirmed when the list was
                requested; they may be missing from it.
        """
        changed = False
        for task in found.tasks:
            held = self.ledger.tasks.get(task.task)
            if held is None or held.epoch < task.epoch:
                self._adopt(task, found.at_ms)
                changed = True
            elif held.epoch == task.epoch:
                changed = self._take_state(held, task) or changed
        listed = {(task.task, task.epoch) for task in found.tasks}
        for held in list(self.ledger.running()):
            lost = (held.task, held.epoch) not in listed and held.started
            if lost and held.task not in starting:
                held.end("stopped", checkpoint="", detail="lost_by_worker")
                changed = True
        if changed:
            self.on_change()

    def _adopt(self, task: worker_client.WorkerTask, at_ms: int) -> None:
        held = task_leases.HeldTask(
            task=task.task,
            epoch=task.epoch,
            kind=task.kind,
            need=common.Resources(
                millicores=task.millicores,
                memory_mb=task.memory_mb,
                accelerators=task.accelerators,
                slots=task.slots,
            ),
            stop_deadline_ms=at_ms + task.remaining_ms,
            started=True,
            throttled=task.throttled,
            throttle_applied=task.throttled,
        )
        self.ledger.adopt(held)
        self._take_state(held, task)
        events.log(
            events.TASK_FOUND,
            task=task.task,
            epoch=task.epoch,
            state=task.state,
        )

    def _take_state(
        self, held: task_leases.HeldTask, task: worker_client.WorkerTask
    ) -> bool:
        """Takes over one task's state; returns whether it changed."""
        before = (held.state, held.url)
        held.url = task.url
        held.checkpoint = task.checkpoint or held.checkpoint
        if task.state != "running":
            held.end(task.state, checkpoint=task.checkpoint, detail=task.detail)
        return before != (held.state, held.url)

    async def _collect_usage(self) -> None:
        await self.worker_answered.wait()
        while True:
            try:
                self._usage.extend(await self._worker.usage())
            except errors.RouterError as err:
                events.log(events.USAGE_MISSING, error=str(err))
            self._usage = self._usage[-MAX_USAGE_ROWS:]
            await asyncio.sleep(clock.seconds(USAGE_PERIOD_MS))


def upstream_id(held: task_leases.HeldTask) -> str:
    """Returns the ID of a service task's upstream, unique for each epoch."""
    return f"{held.task}@{held.epoch}"
