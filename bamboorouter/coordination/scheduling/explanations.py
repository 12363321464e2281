"""Computes explanations in background tasks.

An explanation is read from the account, which is the replicated log itself. For
a long log this takes more than 800 ms. If an entry receives nothing from the
leader for 800 ms during a call, it closes the link and tries another replica,
although requests of callers depend on the same link. An explanation therefore
runs as a background task, and a call whose result isn't ready yet is answered
with "pending". The caller repeats the call to get the result.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from bamboorouter import clock

# Less than the 800 ms after which an entry abandons the leader.
REPLY_TIMEOUT_MS: Final = 400
# Each explanation replays the log into a separate state machine.
MAX_CONCURRENT: Final = 2

Arguments = dict[str, Any]
Read = Callable[[Arguments], Coroutine[Any, Any, dict[str, Any]]]
PENDING: Final = "pending"


class ExplanationRunner:
    """Runs explanations as background tasks, one for each distinct call.

    Attributes:
        read: Reads the account and returns the explanation of one subject.
    """

    def __init__(self, *, read: Read) -> None:
        self.read = read
        self._tasks: dict[tuple[str, str], asyncio.Task[dict[str, Any]]] = {}

    async def get(self, arguments: Arguments) -> dict[str, Any]:
        """Returns the explanation, or `{PENDING: True}` if it isn't ready.

        Args:
            arguments: Arguments of the call: "subject" and optionally "before".
        """
        key = (str(arguments["subject"]), str(arguments.get("before") or ""))
        task = self._tasks.get(key) or self._start_task(key, arguments)
        if task is None:
            await asyncio.sleep(clock.seconds(REPLY_TIMEOUT_MS))
            return {PENDING: True}
        await asyncio.wait({task}, timeout=clock.seconds(REPLY_TIMEOUT_MS))
        if not task.done():
            return {PENDING: True}
        if self._tasks.get(key) is task:
            del self._tasks[key]
        return task.result()

    def stop(self) -> None:
        """Cancels all background tasks."""
        for task in self._tasks.values():
            task.cancel()

    def _start_task(
        self, key: tuple[str, str], arguments: Arguments
    ) -> asyncio.Task[dict[str, Any]] | None:
        """Starts a background task; None if `MAX_CONCURRENT` are running."""
        running_count = sum(not task.done() for task in self._tasks.values())
        if running_count >= MAX_CONCURRENT:
            return None
        # Discards results that no caller has fetched.
        self._tasks = {k: t for k, t in self._tasks.items() if not t.done()}
        task = asyncio.create_task(self.read(arguments))
        self._tasks[key] = task
        return task
