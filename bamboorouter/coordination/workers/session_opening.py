"""How an agent and the leader agree on a session with a life of a worker.

An order for an earlier life of the worker may reach the present one, which goes
by the same name. The leader starts the runs of the earlier life elsewhere as
soon as the session begins, so such orders are fenced off before: the leader
gives a number and begins nothing; the worker is looked at with a token of that
number, which voids all earlier orders; what they had started is stopped; and
the leader is asked again, with the ends.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs

# One session's tokens; a session raises its token once for a lost answer.
TOKENS_OF_SESSION: Final = 1 << 20
OPEN_TIMEOUT_MS: Final = 3000
FENCE_PAUSE_MS: Final = 100
# A stop takes 0.9 s at most.
FENCE_ATTEMPTS: Final = 20


def first_token(number: int) -> int:
    """Returns the lowest fencing token of a session."""
    return number * TOKENS_OF_SESSION


async def agree_on_session(
    *,
    worker: str,
    announcement: worker_port.Announcement,
    client: control_client.ControlClient,
    port: worker_port.WorkerPort,
) -> int:
    """Returns the number of a session that the leader has begun.

    Args:
        worker: Name of the worker; stays the same over its lives.
        announcement: What the life said about itself.
        client: Calls the leader.
        port: The way to the life.

    Raises:
        RouterError: No leader or no worker answered.
    """
    offered = await _ask(client, worker, announcement, fenced=False)
    if offered.opened:
        return offered.number
    ends = await _fence_off(worker, port, first_token(offered.number))
    begun = await _ask(client, worker, announcement, fenced=True, ends=ends)
    return begun.number


async def _ask(
    client: control_client.ControlClient,
    worker: str,
    announcement: worker_port.Announcement,
    *,
    fenced: bool,
    ends: tuple[jobs.RunEnd, ...] = (),
) -> job_messages.WorkerSession:
    reply = await client.call(
        job_messages.OpenWorkerSession(
            worker=worker,
            life=announcement.life,
            room=announcement.room,
            fenced=fenced,
            ends=ends,
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
    """Voids all earlier orders and stops what they had started.

    Returns:
        The ends of what they had started.

    Raises:
        RouterError: The worker didn't answer or runs went on.
    """
    for _ in range(FENCE_ATTEMPTS):
        view = await port.look(
            token=token, acknowledged=0, until_ms=None, wait_ms=0
        )
        if not view.running:
            return tuple(row.end for row in view.ended)
        for row in view.running:
            await port.stop(row.task, row.attempt, token=token)
        await asyncio.sleep(clock.seconds(FENCE_PAUSE_MS))
    raise worker_port.NoAnswerError(
        text="runs of an earlier life go on", step="fence off", peer=worker
    )
