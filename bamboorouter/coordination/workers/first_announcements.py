"""Chooses the first incarnation of its worker that an agent serves.

The first announcement may be wrong, because it comes from another program. The
agent therefore polls the announced incarnations, and the first one that answers
counts. If none does, the first one counts in whose place no other incarnation
answers: a worker may not listen yet, or may reject the poll, because a new agent
doesn't know the fencing token of its predecessor.
"""

from collections.abc import Callable
from typing import Final

from bamboorouter.coordination.workers import incarnation_check
from bamboorouter.coordination.workers import worker_port

# Announced incarnations that are checked at the same time.
MAX_CANDIDATES: Final = 8


class FirstAnnouncements:
    """Announcements that arrive while no incarnation is served.

    Attributes:
        ports: Creates ports to incarnations of the worker.
        on_refusal: Called with each refused announcement and the reason.
    """

    def __init__(
        self,
        *,
        ports: worker_port.WorkerPorts,
        on_refusal: Callable[[worker_port.Announcement, str], None],
    ) -> None:
        self.ports = ports
        self.on_refusal = on_refusal
        # Newest announcements by incarnation, oldest incarnation first.
        self._waiting: dict[str, worker_port.Announcement] = {}

    def add(self, announcement: worker_port.Announcement) -> None:
        """Adds an announcement unless a newer one is waiting."""
        waiting = self._waiting.get(announcement.incarnation)
        if waiting is None or announcement.sequence > waiting.sequence:
            self._waiting[announcement.incarnation] = announcement
        if len(self._waiting) > MAX_CANDIDATES:
            del self._waiting[next(iter(self._waiting))]

    def remove(self, worker_id: str, started_ms: int | None) -> None:
        """Removes an incarnation that has announced its end.

        Args:
            worker_id: ID of the worker.
            started_ms: Start of the incarnation; None for any.
        """
        self._waiting = {
            incarnation: waiting
            for incarnation, waiting in self._waiting.items()
            if waiting.id != worker_id
            or started_ms not in (None, waiting.started_ms)
        }

    def clear(self) -> None:
        """Removes all announcements."""
        self._waiting.clear()

    async def choose(self, token: int) -> worker_port.Announcement | None:
        """Polls the announced incarnations, including those added meanwhile.

        Args:
            token: Fencing token of the polls.

        Returns:
            The newest announcement of the chosen incarnation; None if all were
            refused or removed.
        """
        unanswered: dict[str, worker_port.Announcement] = {}
        while self._waiting:
            incarnation, announcement = next(iter(self._waiting.items()))
            answer: incarnation_check.Answer = "silent"
            if incarnation not in unanswered:
                answer = await incarnation_check.poll_incarnation(
                    self.ports, announcement, token
                )
            newest = self._waiting.pop(incarnation, None)
            if newest is None:
                unanswered.pop(incarnation, None)
            elif answer == "view":
                return newest
            elif answer == "replaced":
                self.on_refusal(newest, "another incarnation answers")
            else:
                unanswered[incarnation] = newest
        return next(iter(unanswered.values()), None)
