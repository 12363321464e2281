"""Opens a session of an agent with a worker incarnation.

An order for an earlier incarnation of the worker may reach the current one,
which has the same name. When the session begins, the leader restarts the runs
of the earlier incarnation on other workers, so such orders must be fenced off
first. If there are no such runs, the leader begins the session immediately;
otherwise:

1. The leader offers a session number without beginning the session.
2. The agent polls the worker with a fencing token of that number, after which
   the worker rejects all earlier orders.
3. The agent stops the runs that earlier orders had started.
4. The agent reports the ends of those runs, and the leader begins the session,
   unless it has begun a newer one meanwhile, whose runs are not fenced off.

If the session begins immediately, an order for the earlier incarnation may
still be executed until the first poll. The agent then holds and reports the run
that it finds, and the leader orders it to stop.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs

# Fencing tokens per session; a session uses one for each lost answer.
TOKENS_PER_SESSION: Final = 1 << 20
OPEN_TIMEOUT_MS: Final = 3000
FENCE_RETRY_PAUSE_MS: Final = 100
# With the pauses, these take 2 s; a worker stops a run within 0.9 s.
MAX_FENCE_ATTEMPTS: Final = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class PreviousIncarnation:
    """What an agent knows of an incarnation that is over.

    Attributes:
        name: Name of the incarnation; empty if the agent knows of none.
        left: Whether it drained or announced its end.
        silent_ms: Time since its first unanswered call, in ms; 0 if unknown.
        ends: Ends of its runs that the leader hasn't confirmed. A run that has
            ended must not be restarted when the session begins.
        started: Its runs that haven't ended and whose start it has confirmed.
    """

    name: str = ""
    left: bool = False
    silent_ms: int = 0
    ends: tuple[jobs.RunEnd, ...] = ()
    started: tuple[jobs.RunId, ...] = ()


def previous_incarnation(
    session: worker_session.Session | None,
    announcement: worker_port.Announcement,
    ends: Iterable[jobs.RunEnd],
    started: tuple[jobs.RunId, ...],
    now: int,
) -> PreviousIncarnation:
    """Returns the incarnation that an announced one replaces.

    Args:
        session: The agent's last session; None if there is none.
        announcement: The announcement.
        ends: Ends of runs that the leader hasn't confirmed.
        started: Runs that haven't ended and whose start is confirmed.
        now: Current time in ms on the agent's clock.
    """
    if session is None:
        return PreviousIncarnation()
    last = session.announcement
    if last.incarnation == announcement.incarnation:
        return PreviousIncarnation()
    return PreviousIncarnation(
        name=last.incarnation,
        left=last.draining,
        silent_ms=session.silent_ms(now),
        ends=tuple(ends),
        started=started,
    )


def first_token(number: int) -> int:
    """Returns the lowest fencing token of a session."""
    return number * TOKENS_PER_SESSION


async def agree_on_session(
    *,
    worker: str,
    announcement: worker_port.Announcement,
    client: control_client.ControlClient,
    port: worker_port.WorkerPort,
    previous: Callable[[], PreviousIncarnation],
) -> int:
    """Returns the number of a session that the leader has begun.

    Args:
        worker: Name of the worker, the same for all its incarnations.
        announcement: Announcement of the incarnation.
        client: Client for calls to the leader.
        port: Port to the incarnation.
        previous: Returns the incarnation that it replaces.

    Raises:
        RouterError: The leader or the worker didn't answer, runs of an earlier
            incarnation didn't stop, or a newer session was opened meanwhile.
    """
    offered = await _request_session(
        client, worker, announcement, previous(), fenced=False
    )
    if offered.opened:
        return offered.number
    ends = await _fence_off(worker, port, first_token(offered.number))
    begun = await _request_session(
        client,
        worker,
        announcement,
        previous(),
        fenced=True,
        fence=offered.number,
        ends=ends,
    )
    if not begun.opened:
        raise errors.ProtocolError(
            text="a newer session was opened meanwhile",
            step="open session",
            peer=worker,
        )
    return begun.number


async def open_anew(
    *,
    worker: str,
    announcement: worker_port.Announcement,
    client: control_client.ControlClient,
) -> int:
    """Returns the number of a new session with the current incarnation.

    Its runs aren't affected. Nothing is fenced off: the session isn't opened
    if the leader knows of runs on another incarnation.

    Args:
        worker: Name of the worker, the same for all its incarnations.
        announcement: Newest announcement of the current incarnation.
        client: Client for calls to the leader.

    Raises:
        RouterError: The leader didn't answer or didn't open the session.
    """
    opened = await _request_session(
        client, worker, announcement, PreviousIncarnation(), fenced=False
    )
    if not opened.opened:
        raise errors.ProtocolError(
            text="another incarnation has runs",
            step="open session anew",
            peer=worker,
        )
    return opened.number


async def _request_session(
    client: control_client.ControlClient,
    worker: str,
    announcement: worker_port.Announcement,
    previous: PreviousIncarnation,
    *,
    fenced: bool,
    fence: int = 0,
    ends: tuple[jobs.RunEnd, ...] = (),
) -> job_messages.WorkerSession:
    reply = await client.call(
        job_messages.OpenWorkerSession(
            worker=worker,
            life=announcement.incarnation,
            room=announcement.capacity,
            fenced=fenced,
            fence=fence,
            ends=(*previous.ends, *ends),
            previous=previous.name,
            previous_left=previous.left,
            silent_ms=previous.silent_ms,
            started=previous.started,
        ),
        timeout_ms=OPEN_TIMEOUT_MS,
    )
    if not isinstance(reply, job_messages.WorkerSession):
        raise errors.ProtocolError(
            text=f"unexpected {type(reply).__name__}",
            step="open session",
            peer=worker,
        )
    return reply


async def _fence_off(
    worker: str, port: worker_port.WorkerPort, token: int
) -> tuple[jobs.RunEnd, ...]:
    """Fences off all earlier orders and stops the runs that they started.

    Args:
        worker: Name of the worker.
        port: Port to the incarnation.
        token: Lowest fencing token of the new session.

    Returns:
        The ends of the runs.

    Raises:
        RouterError: The worker didn't answer, or runs didn't stop.
    """
    for _ in range(MAX_FENCE_ATTEMPTS):
        view = await port.poll(
            token=token, acknowledged=0, until_ms=None, wait_ms=0
        )
        if not view.running:
            return tuple(row.end for row in view.ended)
        for row in view.running:
            await port.stop(row.task, row.attempt, token=token)
        await asyncio.sleep(clock.seconds(FENCE_RETRY_PAUSE_MS))
    raise worker_port.NoAnswerError(
        text="runs of an earlier incarnation didn't stop",
        step="fence off",
        peer=worker,
    )
