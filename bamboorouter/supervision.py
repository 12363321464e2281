"""Keeps a process's loops alive.

A loop that ends by an unexpected error would leave its process running without
doing its work, and nobody would notice: an entry that never looks for a leader
again, an agent that never takes another order. The error is logged and the loop
begins anew after a pause, so that one bad message or one defect costs a moment
and not the process.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

from bamboorouter import clock
from bamboorouter import events

# Short enough not to be missed by peers, which wait for seconds; long enough
# for an error that repeats not to take the processor.
RESTART_PAUSE_MS: Final = 200


async def keep_running(loop: Callable[[], Awaitable[None]]) -> None:
    """Runs a loop until this task is cancelled.

    Args:
        loop: Runs for as long as its process works; it must bear being begun
            anew after an error at any point.
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
    """Returns a task that keeps a loop running."""
    return asyncio.create_task(keep_running(loop))
