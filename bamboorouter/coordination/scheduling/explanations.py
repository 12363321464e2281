"""Explanations that take longer than one call to the leader may.

An entry leaves a leader that does not answer within 800 ms, and with it the
link that its requests need. Reading a long account takes longer. It goes on in
the background, and a call that comes too early is answered with "pending"; the
same call, sent again, gets the result.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from bamboorouter import clock

ANSWER_WITHIN_MS: Final = 400
# Each replays the log into a state machine of its own.
MAX_AT_ONCE: Final = 2

Arguments = dict[str, Any]
Read = Callable[[Arguments], Coroutine[Any, Any, dict[str, Any]]]
PENDING: Final = "pending"


class Explanations:
    """Reads the account for several calls at once.

    Attributes:
        read: Reads the account for one subject.
    """

    def __init__(self, *, read: Read) -> None:
        self.read = read
        self._tasks: dict[tuple[str, str], asyncio.Task[dict[str, Any]]] = {}

    async def get(self, arguments: Arguments) -> dict[str, Any]:
        """Returns the explanation, or that it is pending."""
        key = (str(arguments["subject"]), str(arguments.get("before") or ""))
        task = self._tasks.get(key) or self._begin(key, arguments)
        if task is None:
            await asyncio.sleep(clock.seconds(ANSWER_WITHIN_MS))
            return {PENDING: True}
        await asyncio.wait({task}, timeout=clock.seconds(ANSWER_WITHIN_MS))
        if not task.done():
            return {PENDING: True}
        if self._tasks.get(key) is task:
            del self._tasks[key]
        return task.result()

    def stop(self) -> None:
        """Ends all reading."""
        for task in self._tasks.values():
            task.cancel()

    def _begin(
        self, key: tuple[str, str], arguments: Arguments
    ) -> asyncio.Task[dict[str, Any]] | None:
        """Starts reading, unless too many are being read."""
        running = sum(not task.done() for task in self._tasks.values())
        if running >= MAX_AT_ONCE:
            return None
        # Results that nobody came back for.
        self._tasks = {k: t for k, t in self._tasks.items() if not t.done()}
        task = asyncio.create_task(self.read(arguments))
        self._tasks[key] = task
        return task
