"""Checks whether an incarnation of a worker is over.

If the runs of an incarnation that goes on were declared lost, they would be
started a second time. Messages of the worker don't prove that it is over,
because they may be delayed, repeated or come from another process. They are a
reason to poll the incarnation, over a new connection:

* While it answers, it is not over, whatever the messages say.
* If another incarnation answers in its place, it is over.
* If it doesn't answer several polls in succession, it is over if it has also
  announced its end, or if the incarnation that announces itself as its successor
  answers.

The first announcement that an agent gets is checked as well: it is wrong if
another incarnation answers.
"""

import asyncio
from collections.abc import Callable
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.workers import worker_port

MAX_POLLS: Final = 3
POLL_PAUSE_MS: Final = 100
# Pause between checks of a worker that has announced its end and still answers.
DEPARTURE_PAUSE_MS: Final = 200

# "view": the incarnation returned its view;
# "rejection": a worker at its address rejected the poll;
# "replaced": another incarnation answered;
# "silent": no poll was answered.
Answer = Literal["view", "rejection", "replaced", "silent"]


async def poll_incarnation(
    ports: worker_port.WorkerPorts,
    announcement: worker_port.Announcement,
    token: int,
) -> Answer:
    """Polls an incarnation until it answers, at most `MAX_POLLS` times."""
    port = ports.open(announcement)
    try:
        for number in range(MAX_POLLS):
            if number:
                await asyncio.sleep(clock.seconds(POLL_PAUSE_MS))
            try:
                await port.poll(
                    token=token, acknowledged=0, until_ms=None, wait_ms=0
                )
            except worker_port.IncarnationMismatchError:
                return "replaced"
            except worker_port.RejectedError:
                return "rejection"
            except errors.RouterError:
                continue
            return "view"
        return "silent"
    finally:
        await port.close()


async def find_contradiction(
    ports: worker_port.WorkerPorts,
    *,
    current: worker_port.Announcement,
    announced: worker_port.Announcement,
    token: int,
) -> str:
    """Returns why another incarnation doesn't replace the current one.

    Args:
        ports: Creates ports to incarnations of the worker.
        current: Announcement of the current incarnation.
        announced: Announcement of the other incarnation.
        token: Current fencing token of the session.

    Returns:
        The reason; empty if the current incarnation is over.
    """
    answer = await poll_incarnation(ports, current, token)
    if answer in ("view", "rejection"):
        return f"{current.incarnation} still answers"
    if answer == "replaced":
        return ""
    if await poll_incarnation(ports, announced, token) != "view":
        return f"neither {current.incarnation} nor the announced one answers"
    return ""


async def is_replaced(
    ports: worker_port.WorkerPorts,
    announcement: worker_port.Announcement,
    token: int,
) -> bool:
    """Returns whether another incarnation answers in place of this one.

    A worker that rejects the poll or doesn't answer proves nothing: a new agent
    doesn't know the fencing token of its predecessor, and the worker may not
    listen yet.
    """
    answer = await poll_incarnation(ports, announcement, token)
    return answer == "replaced"


async def wait_for_departure(
    ports: worker_port.WorkerPorts,
    current: worker_port.Announcement,
    *,
    token: Callable[[], int],
    leaving: Callable[[], bool],
) -> bool:
    """Waits until a worker that has announced its end doesn't answer.

    Args:
        ports: Creates ports to incarnations of the worker.
        current: Announcement of the incarnation.
        token: Returns the current fencing token of the session.
        leaving: Returns whether the announcement of the end still holds.

    Returns:
        Whether the incarnation is over; False if it is no longer leaving.
    """
    while leaving():
        answer = await poll_incarnation(ports, current, token())
        if answer in ("replaced", "silent"):
            return leaving()
        await asyncio.sleep(clock.seconds(DEPARTURE_PAUSE_MS))
    return False
