"""Runs a case once and turns its result into an exit code."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal

from review.standins import record

BROKEN = 1
HELD = 0
CANNOT_RUN = 2
# A case may run for 120 s.
LIMIT_S = 110.0

# Plays a case; the second argument tells whether with the disruption. Returns
# whether the rule was broken.
Play = Callable[[record.Record, bool], Awaitable[bool]]


def run(play: Play, path: pathlib.Path) -> int:
    """Plays a case and returns its exit code.

    Args:
        play: Plays the case.
        path: The file `record.txt` of the case, which is written anew.
    """
    log = record.Record(path=path)
    trouble = os.environ.get("TROUBLE") != "0"
    log.write(f"TROUBLE={int(trouble)}")
    try:
        broken = asyncio.run(_play(play, log, trouble))
    except (Exception, asyncio.CancelledError) as err:
        # An error of the case is no broken rule.
        log.write(f"the case couldn't run: {err!r}")
        return CANNOT_RUN
    return BROKEN if broken else HELD


async def _play(play: Play, log: record.Record, trouble: bool) -> bool:
    """Plays a case, which ends its processes also on SIGTERM."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, task.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await play(log, trouble)
