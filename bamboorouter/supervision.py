"""Restarts the background loops of a process after unexpected errors.

Without a restart, a failed loop would leave its process running without doing
its work, and nothing would report it: an entry would never search for a leader
again, an agent would never process another order. The error is logged and the
loop restarts after a pause, so that one bad message or defect interrupts the
loop only briefly.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

from bamboorouter import clock
from bamboorouter import events

# Shorter than the timeouts of peers, which are seconds, but long enough that a
# repeated error doesn't consume the processor.
RESTART_PAUSE_MS: Final = 200


async def keep_running(loop: Callable[[], Awaitable[None]]) -> None:
    """Runs a loop until this task is cancelled.

    Args:
        loop: Runs until it is cancelled; it must be safe to restart after an
            error at any point.
    """
    while True:
        try:
            await loop()
            return
        except Exception as err:  # pylint: disable=broad-except
            events.log(
                events.LOOP_RESTARTED,
                loop=getattr(loop, "__qualname__", repr(loop)),
                error=repr(err),
            )
        await asyncio.sleep(clock.seconds(RESTART_PAUSE_MS))


def start(loop: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Starts a task that runs a loop and restarts it after errors."""
    return asyncio.create_task(keep_running(loop))
