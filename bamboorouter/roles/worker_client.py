"""The worker's HTTP interface and the agent's client for it.

Paths (JSON bodies; a task ID is percent-encoded in the path):
- `GET /tasks?known=V&wait_ms=N`: lists all tasks, ended ones until forgotten;
  waits up to N ms for a version of the list other than V.
- `POST /tasks`: starts a task; idempotent for the same task and epoch.
- `POST /tasks/{id}/checkpoint`, `/throttle`, `/resume`, `/stop`.
- `DELETE /tasks/{id}?epoch=E`: forgets an ended task.
- `POST /leases`: sets the time that each task may still run.
- `GET /usage`: returns the delayed measurements since the last call.

Agent and worker run on the same VM and share its monotonic clock. Each
remaining time is sent with the monotonic time at which it was computed, so that
a request that was delayed, for example because both processes were paused,
can't extend a lease. Each request carries the start time of its agent, and a
worker refuses requests of any agent older than the newest it has heard from.
"""

import asyncio
from typing import Final
from typing import Literal
from typing import Protocol
from typing import TypeVar
from urllib import parse

import aiohttp
import msgspec

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.protocol import common
from bamboorouter.protocol import json_body

REQUEST_TIMEOUT_MS: Final = 1000
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
AGENT_HEADER: Final = "Bamboorouter-Agent-Started"
# Refusal codes for a start order whose assignment had already ended.
ASSIGNMENT_OVER_CODES: Final = frozenset({"stale_epoch", "lease_ended"})


class Model(msgspec.Struct, kw_only=True, frozen=True):
    """Base of the JSON bodies; on its own, a body without fields."""


class StartTask(Model, frozen=True, kw_only=True):
    """Body of `POST /tasks`.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        kind: "service" or "batch".
        millicores: Reserved processor time in thousandths of a processor.
        memory_mb: Reserved memory in MB.
        accelerators: Reserved accelerators.
        slots: Reserved task slots.
        remaining_ms: Time in ms that the task may run without a renewal.
        at_ms: Monotonic time in ms at which `remaining_ms` was computed.
        command: What to run.
        run_time_s: Declared run time in s.
        resume_from: Checkpoint to resume from; empty for a first start.
    """

    task: str
    epoch: int
    kind: common.TaskKind
    millicores: int
    memory_mb: int
    accelerators: int
    slots: int
    remaining_ms: int
    at_ms: int
    command: str
    run_time_s: int = 0
    resume_from: str = ""


class WorkerTask(Model, frozen=True, kw_only=True):
    """A task as the worker reports it.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        kind: "service" or "batch".
        millicores: Reserved processor time in thousandths of a processor.
        memory_mb: Reserved memory in MB.
        accelerators: Reserved accelerators.
        slots: Reserved task slots.
        state: "running", or how the task ended.
        remaining_ms: Time in ms that the task may run without a renewal.
        checkpoint: Last checkpoint; empty if there is none.
        url: Base URL of a service task.
        detail: Reason why the task ended.
        throttled: Whether the task is throttled.
    """

    task: str
    epoch: int
    kind: common.TaskKind
    millicores: int
    memory_mb: int
    accelerators: int
    slots: int
    state: Literal["running", "finished", "failed", "evicted", "stopped"]
    remaining_ms: int = 0
    checkpoint: str = ""
    url: str = ""
    detail: str = ""
    throttled: bool = False


class WorkerTasks(Model, frozen=True, kw_only=True):
    """Response to `GET /tasks`.

    Attributes:
        version: Version of the list, which changes with each change of it.
        at_ms: Monotonic time in ms at which the response was created.
        tasks: All tasks on the worker.
    """

    version: str
    at_ms: int
    tasks: tuple[WorkerTask, ...]


class EpochBody(Model, frozen=True, kw_only=True):
    """Body of the checkpoint, throttle and resume requests.

    Attributes:
        epoch: Fencing epoch of the assignment.
    """

    epoch: int


class StopBody(Model, frozen=True, kw_only=True):
    """Body of the stop request.

    Attributes:
        epoch: Fencing epoch of the assignment.
        state: End state to record for the task.
        detail: Reason for the stop.
    """

    epoch: int
    state: Literal["evicted", "stopped"]
    detail: str = ""


class Lease(Model, frozen=True, kw_only=True):
    """Lease of one task.

    Attributes:
        task: Task ID.
        epoch: Fencing epoch of the assignment.
        remaining_ms: Time in ms that the task may run without a renewal.
    """

    task: str
    epoch: int
    remaining_ms: int


class Leases(Model, frozen=True, kw_only=True):
    """Body of `POST /leases`.

    Attributes:
        at_ms: Monotonic time in ms at which the remaining times were computed.
        leases: The renewed leases.
    """

    at_ms: int
    leases: tuple[Lease, ...]


class UsageReport(Model, frozen=True, kw_only=True):
    """Response to `GET /usage`.

    Attributes:
        usage: Delayed measurements since the last call.
    """

    usage: tuple[common.Usage, ...]


class RefusalBody(Model, frozen=True, kw_only=True):
    """Body of a refusal (HTTP status 409).

    Attributes:
        code: Machine-readable reason.
        text: Explanation for people.
    """

    code: str
    text: str


class Worker(Protocol):
    """Operations that the agent calls on a worker.

    All of them raise RefusedError if the worker refused and did nothing, and
    UnknownResultError if the worker may or may not have acted.
    """

    async def tasks(self, *, known: str, wait_ms: int) -> WorkerTasks:
        """Returns all tasks; waits for a list version other than `known`."""
        ...

    async def start(self, task: StartTask) -> WorkerTask:
        """Starts a task, or returns it if this epoch was started before."""
        ...

    async def checkpoint(self, task: str, epoch: int) -> WorkerTask:
        """Takes a checkpoint of a running task."""
        ...

    async def throttle(self, task: str, epoch: int, throttled: bool) -> None:
        """Throttles a task or ends its throttling."""
        ...

    async def stop(self, task: str, body: StopBody) -> WorkerTask:
        """Stops a task; fences an unknown one and reports it as stopped."""
        ...

    async def forget(self, task: str, epoch: int) -> None:
        """Removes an ended task from the list."""
        ...

    async def renew(self, leases: Leases) -> None:
        """Renews leases."""
        ...

    async def usage(self) -> tuple[common.Usage, ...]:
        """Returns the delayed measurements since the last call."""
        ...

    async def close(self) -> None:
        """Closes connections."""
        ...


T = TypeVar("T", bound=Model)


class HttpWorker:
    """Client of a worker over HTTP.

    Attributes:
        url: Base URL of the worker.
    """

    def __init__(self, *, url: str, time: clock.Clock) -> None:
        self.url = url.rstrip("/")
        self._headers = {AGENT_HEADER: str(time.now())}
        self._session: aiohttp.ClientSession | None = None

    async def tasks(self, *, known: str, wait_ms: int) -> WorkerTasks:
        """Returns all tasks; waits for a list version other than `known`."""
        path = f"/tasks?known={parse.quote(known)}&wait_ms={wait_ms}"
        return await self._call("GET", path, None, WorkerTasks, wait_ms=wait_ms)

    async def start(self, task: StartTask) -> WorkerTask:
        """Starts a task, or returns it if this epoch was started before."""
        return await self._call("POST", "/tasks", task, WorkerTask)

    async def checkpoint(self, task: str, epoch: int) -> WorkerTask:
        """Takes a checkpoint of a running task."""
        body = EpochBody(epoch=epoch)
        path = f"{_task_path(task)}/checkpoint"
        return await self._call("POST", path, body, WorkerTask)

    async def throttle(self, task: str, epoch: int, throttled: bool) -> None:
        """Throttles a task or ends its throttling."""
        action = "throttle" if throttled else "resume"
        body = EpochBody(epoch=epoch)
        await self._call(
            "POST", f"{_task_path(task)}/{action}", body, WorkerTask
        )

    async def stop(self, task: str, body: StopBody) -> WorkerTask:
        """Stops a task; fences an unknown one and reports it as stopped."""
        return await self._call(
            "POST", f"{_task_path(task)}/stop", body, WorkerTask
        )

    async def forget(self, task: str, epoch: int) -> None:
        """Removes an ended task from the list."""
        await self._call(
            "DELETE", f"{_task_path(task)}?epoch={epoch}", None, Model
        )

    async def renew(self, leases: Leases) -> None:
        """Renews leases."""
        await self._call("POST", "/leases", leases, Model)

    async def usage(self) -> tuple[common.Usage, ...]:
        """Returns the delayed measurements since the last call."""
        report = await self._call("GET", "/usage", None, UsageReport)
        return report.usage

    async def close(self) -> None:
        """Closes connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: Model | None,
        response_type: type[T],
        *,
        wait_ms: int = 0,
    ) -> T:
        if self._session is None:
            self._session = aiohttp.ClientSession(headers=self._headers)
        step = f"{method} {path.partition('?')[0]}"
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with asyncio.timeout(
                clock.seconds(REQUEST_TIMEOUT_MS + wait_ms)
            ):
                status, content = await self._exchange(method, path, data)
        except (TimeoutError, aiohttp.ClientError, OSError) as err:
            raise errors.UnknownResultError(
                text=str(err) or type(err).__name__, step=step, peer=self.url
            ) from err
        return _decode_response(status, content, response_type, step, self.url)

    async def _exchange(
        self, method: str, path: str, data: bytes | None
    ) -> tuple[int, bytes]:
        assert self._session is not None
        url = self.url + path
        async with self._session.request(method, url, data=data) as response:
            content = await response.content.read(MAX_RESPONSE_BYTES)
            while not response.content.at_eof():
                if len(content) >= MAX_RESPONSE_BYTES:
                    raise aiohttp.ClientPayloadError("response too large")
                content += await response.content.read(MAX_RESPONSE_BYTES)
            return response.status, content


def _task_path(task: str) -> str:
    return f"/tasks/{parse.quote(task, safe='')}"


def _decode_response(
    status: int, content: bytes, response_type: type[T], step: str, peer: str
) -> T:
    """Decodes and validates a response.

    Raises:
        RefusedError: The worker refused (status 409).
        UnknownResultError: The status is neither 200 nor 409, or the body
            doesn't match the expected type.
    """
    try:
        if status == 200:
            return json_body.decode(content, response_type)
        if status == 409:
            refusal = json_body.decode(content, RefusalBody)
            raise errors.RefusedError(
                code=refusal.code, text=refusal.text, step=step, peer=peer
            )
    except (msgspec.DecodeError, msgspec.ValidationError) as err:
        raise errors.UnknownResultError(
            text=f"malformed response: {err}", step=step, peer=peer
        ) from err
    raise errors.UnknownResultError(
        text=f"unexpected HTTP status {status}", step=step, peer=peer
    )
