"""Reconciles the tasks on the worker with the goals in the lease ledger.

One asyncio task per worker task, its driver, brings that task to its goal: it
starts the task, or takes a checkpoint and stops it. A request whose result is
unknown is retried until the worker confirms it, which is safe because a request
that is repeated with the same task and epoch has no further effect.

The worker's task list is authoritative. Tasks found there are added to the
ledger, and their full reservations count against the capacity. The agent
accepts no order and reports no task until the worker has answered once.
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

LEASE_CHECK_PERIOD_MS: Final = 100
RETRY_BACKOFF_MS: Final = 200
LIST_POLL_TIMEOUT_MS: Final = 1000
USAGE_PERIOD_MS: Final = 2000
# After this many failed attempts the task is stopped without a new checkpoint
# and later resumes from the last confirmed one.
MAX_CHECKPOINT_ATTEMPTS: Final = 3
# Time that requests in progress on a service task have to complete before the
# task is stopped.
SERVICE_DRAIN_TIMEOUT_MS: Final = 10_000
MAX_USAGE_ROWS: Final = 256


class AgentTasks:
    """Runs the tasks of one VM under the leases granted by the leader.

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
        self._leases_renewed = asyncio.Event()
        self._drivers: dict[str, asyncio.Task[None]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the background loops.

        They poll the worker's task list, enforce leases, forward renewals to
        the worker and collect usage measurements.
        """
        loops: tuple[Callable[[], Coroutine[Any, Any, None]], ...] = (
            self._poll_task_list,
            self._enforce_leases,
            self._forward_renewals,
            self._collect_usage,
        )
        self._loops = [supervision.start(loop) for loop in loops]

    async def close(self) -> None:
        """Cancels the background work and closes the worker client.

        The tasks keep running on the worker until their leases end.
        """
        running = [*self._loops, *self._background_tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self._worker.close()

    def check_leases(self) -> None:
        """Begins to stop each task whose lease is about to end.

        The agent calls this before it handles any message or reply. A process
        that was paused thus begins to stop tasks with expired leases before it
        handles anything that arrived during the pause.
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
            self._ensure_driver(held)
        if expired:
            self.on_change()

    def apply(self, reply: messages.HeartbeatReply, *, sent: int) -> None:
        """Applies the renewals, orders and starts of a heartbeat reply.

        Args:
            reply: The leader's reply.
            sent: Monotonic time in ms at which the heartbeat was sent.
        """
        self.check_leases()
        for renewal in reply.renewals:
            self.ledger.renew(renewal, sent=sent)
        for order in reply.orders:
            self._apply_order(order)
        for start in reply.starts:
            self._apply_start(start, sent)
        self._leases_renewed.set()

    def upstreams(self) -> list[common.Upstream]:
        """Returns the upstreams of all running service tasks.

        A task that is being stopped is included as leaving, because its
        requests in progress still complete.
        """
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
        """Returns and clears the measurements that were not yet reported."""
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
            self._run_in_background(self._forget_task(held))
            return
        self._ensure_driver(held)
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
            self._ensure_driver(self.ledger.tasks[order.task])
        if admission == "refused":
            self.on_change()

    def _ensure_driver(self, held: task_leases.HeldTask) -> None:
        """Starts a driver for the task unless one is running."""
        driver = self._drivers.get(held.task)
        if driver is None or driver.done():
            self._drivers[held.task] = self._run_in_background(
                self._reconcile_task(held)
            )

    def _run_in_background(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_done)
        return task

    def _on_background_done(self, done: asyncio.Task[None]) -> None:
        self._background_tasks.discard(done)
        for name in [n for n, t in self._drivers.items() if t is done]:
            del self._drivers[name]
        if not done.cancelled() and done.exception() is not None:
            events.log(events.DRIVER_FAILED, error=repr(done.exception()))

    async def _reconcile_task(self, held: task_leases.HeldTask) -> None:
        while not held.ended:
            try:
                if held.goal != "run":
                    await self._end_task(held)
                elif not held.started:
                    await self._start_task(held)
                elif held.throttled != held.throttle_applied:
                    await self._apply_throttle(held)
                else:
                    return
            except errors.UnknownResultError as err:
                events.log(
                    events.WORKER_UNREACHABLE,
                    task=held.task,
                    epoch=held.epoch,
                    error=str(err),
                )
                await asyncio.sleep(clock.seconds(RETRY_BACKOFF_MS))
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
            reported = await self._worker.start(body)
        except errors.RefusedError as err:
            # These codes mean that the assignment ended before the task was
            # started, so the task itself didn't fail.
            assignment_over = err.code in worker_client.ASSIGNMENT_OVER_CODES
            held.end(
                "stopped" if assignment_over else "failed",
                checkpoint=order.resume_from,
                detail=f"{err.code}: {err.text}",
                inferred=True,
            )
            return
        held.started = True
        self._update_held_task(held, reported)
        self.on_change()

    async def _end_task(self, held: task_leases.HeldTask) -> None:
        if held.kind == "service":
            await self._drain_requests(held)
        elif held.goal == "evict":
            await self._checkpoint_task(held)
        body = worker_client.StopBody(
            epoch=held.epoch,
            state="evicted" if held.goal == "evict" else "stopped",
            detail=held.detail,
        )
        try:
            reported = await self._worker.stop(held.task, body)
        except errors.RefusedError as err:
            # A worker refuses a stop only if it holds another epoch of the
            # task, so this epoch no longer runs.
            held.end("stopped", checkpoint="", detail=err.code, inferred=True)
            return
        if reported.state != "running":
            held.end(
                reported.state,
                checkpoint=reported.checkpoint,
                detail=reported.detail,
            )

    async def _checkpoint_task(self, held: task_leases.HeldTask) -> None:
        for _ in range(MAX_CHECKPOINT_ATTEMPTS):
            if (
                self._clock.now()
                >= held.stop_deadline_ms - task_leases.STOP_LEAD_MS
            ):
                return
            try:
                reported = await self._worker.checkpoint(held.task, held.epoch)
            except errors.RefusedError:
                return
            except errors.UnknownResultError:
                await asyncio.sleep(clock.seconds(RETRY_BACKOFF_MS))
                continue
            held.checkpoint = reported.checkpoint or held.checkpoint
            return

    async def _drain_requests(self, held: task_leases.HeldTask) -> None:
        """Waits for requests in progress, at most until the task must stop."""
        deadline = self._clock.now() + SERVICE_DRAIN_TIMEOUT_MS
        name = upstream_id(held)
        while self._clock.now() < min(
            deadline, held.stop_deadline_ms - task_leases.STOP_LEAD_MS
        ):
            if not self._in_progress().get(name, 0):
                return
            await asyncio.sleep(clock.seconds(LEASE_CHECK_PERIOD_MS))

    async def _apply_throttle(self, held: task_leases.HeldTask) -> None:
        wanted = held.throttled
        with contextlib.suppress(errors.RefusedError):
            await self._worker.throttle(held.task, held.epoch, wanted)
        held.throttle_applied = wanted

    async def _forget_task(self, held: task_leases.HeldTask) -> None:
        with contextlib.suppress(errors.RouterError):
            await self._worker.forget(held.task, held.epoch)

    async def _enforce_leases(self) -> None:
        while True:
            self.check_leases()
            await asyncio.sleep(clock.seconds(LEASE_CHECK_PERIOD_MS))

    async def _forward_renewals(self) -> None:
        """Forwards renewed leases to the worker.

        A failed request is retried with the leases current at that time.
        """
        while True:
            await self._leases_renewed.wait()
            self._leases_renewed.clear()
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
                self._leases_renewed.set()
                await asyncio.sleep(clock.seconds(RETRY_BACKOFF_MS))

    async def _poll_task_list(self) -> None:
        known = ""
        while True:
            wait_ms = (
                LIST_POLL_TIMEOUT_MS if self.worker_answered.is_set() else 0
            )
            started = {
                (held.task, held.epoch)
                for held in self.ledger.running()
                if held.started
            }
            try:
                listing = await self._worker.tasks(known=known, wait_ms=wait_ms)
            except errors.RouterError as err:
                events.log(
                    events.WORKER_UNREACHABLE,
                    task="",
                    epoch=0,
                    error=str(err),
                )
                await asyncio.sleep(clock.seconds(RETRY_BACKOFF_MS))
                continue
            known = listing.version
            self._update_ledger(listing, started)
            if not self.worker_answered.is_set():
                events.log(events.WORKER_LISTED, tasks=len(listing.tasks))
                self.worker_answered.set()

    def _update_ledger(
        self, listing: worker_client.WorkerTasks, started: set[tuple[str, int]]
    ) -> None:
        """Updates the ledger from the worker's task list.

        Args:
            listing: The worker's task list.
            started: IDs and epochs of tasks whose start was confirmed when the
                list was requested. The list may lack others, so only these are
                lost if it does.
        """
        changed = False
        for task in listing.tasks:
            held = self.ledger.tasks.get(task.task)
            if held is None or held.epoch < task.epoch:
                self._add_found_task(task, listing.at_ms)
                changed = True
            elif held.epoch == task.epoch:
                changed = self._update_held_task(held, task) or changed
        listed = {(task.task, task.epoch) for task in listing.tasks}
        for held in list(self.ledger.running()):
            if (held.task, held.epoch) in started - listed:
                held.end(
                    "stopped",
                    checkpoint="",
                    detail=common.LOST_BY_WORKER,
                    inferred=True,
                )
                changed = True
        if changed:
            self.on_change()

    def _add_found_task(
        self, task: worker_client.WorkerTask, at_ms: int
    ) -> None:
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
        self._update_held_task(held, task)
        events.log(
            events.TASK_FOUND,
            task=task.task,
            epoch=task.epoch,
            state=task.state,
        )

    def _update_held_task(
        self, held: task_leases.HeldTask, task: worker_client.WorkerTask
    ) -> bool:
        """Updates a held task from the worker's report of it.

        Returns:
            Whether the state or the URL changed.
        """
        before = (held.state, held.url)
        if task.state == "running" and held.withdraw_inferred_end():
            events.log(
                events.TASK_FOUND,
                task=task.task,
                epoch=task.epoch,
                state=before[0],
            )
            self._ensure_driver(held)
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
    """Returns the ID of a service task's upstream, unique per epoch."""
    return f"{held.task}@{held.epoch}"
