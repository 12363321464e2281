"""The worker's interface and its client over HTTP.

Paths (JSON bodies; a task ID is percent-encoded in the path):
- `GET /tasks?known=V&wait_ms=N`: all tasks, ended ones until forgotten; waits
  up to N ms for a version other than V.
- `POST /tasks`: start; idempotent by epoch.
- `POST /tasks/{id}/checkpoint`, `/throttle`, `/resume`, `/stop`.
- `DELETE /tasks/{id}?epoch=E`: forgets an ended task.
- `POST /leases`: time that each task may still run.
- `GET /usage`: late measurements since the last call.

Agent and worker share a VM and with it the monotonic clock. Each time left is
sent together with the monotonic time at which it was computed, so a request
that was delayed, for example by a pause of both, can't extend a lease. Each
request names the time at which its agent started; a worker refuses requests of
an agent older than the newest it has heard.
"""

import asyncio
from typing import Any
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

REQUEST_TIMEOUT_MS: Final = 1000
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
AGENT_HEADER: Final = "Bamboorouter-Agent-Started"
# Codes of refusals that say that the assignment was over before the start.
LATE_CODES: Final = frozenset({"stale_epoch", "lease_ended"})


class Model(msgspec.Struct, kw_only=True, frozen=True):
    """Base of the JSON bodies."""


class StartTask(Model, frozen=True, kw_only=True):
    """Body of `POST /tasks`.

    Attributes:
        remaining_ms: Time the task may run without a renewal.
        at_ms: Monotonic time at which `remaining_ms` was computed.
        command: What to run.
        run_time_s: Declared run time.
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
        remaining_ms: Time the task may run without a renewal.
        url: Base URL of a service task.
        detail: Reason of the end.
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
    """Answer to `GET /tasks`.

    Attributes:
        version: Changes with each change of the list.
        at_ms: Monotonic time at which the answer was made.
    """

    version: str
    at_ms: int
    tasks: tuple[WorkerTask, ...]


class EpochBody(Model, frozen=True, kw_only=True):
    """Body of checkpoint, throttle and resume."""

    epoch: int


class StopBody(Model, frozen=True, kw_only=True):
    """Body of stop: the end to record, and why."""

    epoch: int
    state: Literal["evicted", "stopped"]
    detail: str = ""


class Lease(Model, frozen=True, kw_only=True):
    """Time that one task may still run."""

    task: str
    epoch: int
    remaining_ms: int


class Leases(Model, frozen=True, kw_only=True):
    """Body of `POST /leases`."""

    at_ms: int
    leases: tuple[Lease, ...]


class UsageReport(Model, frozen=True, kw_only=True):
    """Answer to `GET /usage`."""

    usage: tuple[common.Usage, ...]


class RefusalBody(Model, frozen=True, kw_only=True):
    """Body of a refusal (409)."""

    code: str
    text: str


class Worker(Protocol):
    """What the agent needs of a worker.

    Errors: RefusedError if the worker refused and did nothing;
    UnknownResultError if it may or may not have acted.
    """

    async def tasks(self, *, known: str, wait_ms: int) -> WorkerTasks:
        """Returns all tasks; waits for a version other than `known`."""
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
        """Stops a task; an unknown one is fenced and reported as stopped."""
        ...

    async def forget(self, task: str, epoch: int) -> None:
        """Drops an ended task from the list."""
        ...

    async def renew(self, leases: Leases) -> None:
        """Extends leases."""
        ...

    async def usage(self) -> tuple[common.Usage, ...]:
        """Returns late measurements since the last call."""
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
        """Returns all tasks; waits for a version other than `known`."""
        path = f"/tasks?known={parse.quote(known)}&wait_ms={wait_ms}"
        return await self._call("GET", path, None, WorkerTasks, extra=wait_ms)

    async def start(self, task: StartTask) -> WorkerTask:
        """Starts a task, or returns it if this epoch was started before."""
        return await self._call("POST", "/tasks", task, WorkerTask)

    async def checkpoint(self, task: str, epoch: int) -> WorkerTask:
        """Takes a checkpoint of a running task."""
        body = EpochBody(epoch=epoch)
        path = f"{_path(task)}/checkpoint"
        return await self._call("POST", path, body, WorkerTask)

    async def throttle(self, task: str, epoch: int, throttled: bool) -> None:
        """Throttles a task or ends its throttling."""
        action = "throttle" if throttled else "resume"
        body = EpochBody(epoch=epoch)
        await self._call("POST", f"{_path(task)}/{action}", body, WorkerTask)

    async def stop(self, task: str, body: StopBody) -> WorkerTask:
        """Stops a task; an unknown one is fenced and reported as stopped."""
        return await self._call("POST", f"{_path(task)}/stop", body, WorkerTask)

    async def forget(self, task: str, epoch: int) -> None:
        """Drops an ended task from the list."""
        await self._call("DELETE", f"{_path(task)}?epoch={epoch}", None, Model)

    async def renew(self, leases: Leases) -> None:
        """Extends leases."""
        await self._call("POST", "/leases", leases, Model)

    async def usage(self) -> tuple[common.Usage, ...]:
        """Returns late measurements since the last call."""
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
        answer_type: type[T],
        *,
        extra: int = 0,
    ) -> T:
        if self._session is None:
            self._session = aiohttp.ClientSession(headers=self._headers)
        step = f"{method} {path.partition('?')[0]}"
        data = msgspec.json.encode(body) if body is not None else None
        try:
            async with asyncio.timeout(
                clock.seconds(REQUEST_TIMEOUT_MS + extra)
            ):
                status, answer = await self._exchange(method, path, data)
        except (TimeoutError, aiohttp.ClientError, OSError) as err:
            raise errors.UnknownResultError(
                text=str(err) or type(err).__name__, step=step, peer=self.url
            ) from err
        return _decoded(status, answer, answer_type, step, self.url)

    async def _exchange(
        self, method: str, path: str, data: bytes | None
    ) -> tuple[int, bytes]:
        assert self._session is not None
        url = self.url + path
        async with self._session.request(method, url, data=data) as response:
            content = await response.content.read(MAX_ANSWER_BYTES)
            while not response.content.at_eof():
                if len(content) >= MAX_ANSWER_BYTES:
                    raise aiohttp.ClientPayloadError("answer too large")
                content += await response.content.read(MAX_ANSWER_BYTES)
            return response.status, content


def _path(task: str) -> str:
    return f"/tasks/{parse.quote(task, safe='')}"


def _decoded(
    status: int, answer: bytes, answer_type: type[T], step: str, peer: str
) -> T:
    """Returns the validated answer.

    Raises:
        RefusedError: The worker refused (409).
        UnknownResultError: Any other status, or a body of the wrong shape.
    """
    try:
        if status == 200:
            return msgspec.json.decode(answer, type=answer_type)
        if status == 409:
            refusal: Any = msgspec.json.decode(answer, type=RefusalBody)
            raise errors.RefusedError(
                code=refusal.code, text=refusal.text, step=step, peer=peer
            )
    except (msgspec.DecodeError, msgspec.ValidationError) as err:
        raise errors.UnknownResultError(
            text=f"unreadable answer: {err}", step=step, peer=peer
        ) from err
    raise errors.UnknownResultError(
        text=f"status {status}", step=step, peer=peer
    )
