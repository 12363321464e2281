"""Knows which incarnation of a worker is the current one, and its announcement.

Another incarnation is accepted only once it answers and the current one doesn't;
see `incarnation_check`. Of the announcements of the current incarnation, those
count that `announcement_order` permits.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any
from typing import Final

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.workers import announcement_order
from bamboorouter.coordination.workers import first_announcements
from bamboorouter.coordination.workers import incarnation_check
from bamboorouter.coordination.workers import worker_port
from bamboorouter.coordination.workers import worker_session

# The current incarnation is replaced by one with an earlier start time only
# after the current one has been silent for this long.
SILENT_INCARNATION_MS: Final = 5000
# More than a worker sends while its incarnation is checked.
MAX_UNCHECKED: Final = 8


class AnnouncedIncarnation:
    """The current incarnation of one worker.

    Attributes:
        worker: Name of the worker, the same for all its incarnations.
        ports: Creates ports to incarnations of the worker.
        clock: Source of time.
        announcement: Newest announcement that counts; None if no incarnation is
            known.
    """

    def __init__(
        self,
        *,
        worker: str,
        ports: worker_port.WorkerPorts,
        time: clock.Clock,
        session: Callable[[], worker_session.Session | None],
        on_incarnation: Callable[[], None],
        on_announcement: Callable[
            [worker_port.Announcement, worker_port.Announcement], None
        ],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        """Creates the state of a worker that hasn't announced itself.

        Args:
            worker: Name of the worker, the same for all its incarnations.
            ports: Creates ports to incarnations of the worker.
            time: Source of time.
            session: Returns the current session.
            on_incarnation: Called after the incarnation has changed or ended.
            on_announcement: Called with the earlier and the new announcement of
                the same incarnation.
            spawn: Starts a check in the background.
        """
        self.worker = worker
        self.ports = ports
        self.clock = time
        self.announcement: worker_port.Announcement | None = None
        self._session = session
        self._on_incarnation = on_incarnation
        self._on_announcement = on_announcement
        self._spawn = spawn
        self._order = announcement_order.AnnouncementOrder()
        self._first = first_announcements.FirstAnnouncements(
            ports=ports, on_refusal=self._log_refusal
        )
        # Incarnation that has announced its end; empty if none has.
        self._leaving = ""
        # Incarnation in whose place another one answered when its session was
        # to be opened; empty if there is none.
        self._refuted = ""
        self._takeover_check: asyncio.Task[None] | None = None
        # Announcements of other incarnations that arrive during the check.
        self._unchecked: list[worker_port.Announcement] = []
        self._address_check: asyncio.Task[None] | None = None
        self._departure_check: asyncio.Task[None] | None = None

    @property
    def checking(self) -> bool:
        """Returns whether an announced incarnation is being checked."""
        return self._takeover_check is not None

    def newest(
        self, announcement: worker_port.Announcement
    ) -> worker_port.Announcement:
        """Returns the newest announcement of the same incarnation."""
        current = self.announcement
        if current is None or current.incarnation != announcement.incarnation:
            return announcement
        return current

    def refute(self, announcement: worker_port.Announcement) -> None:
        """Records that another incarnation answered for an announced one."""
        self._refuted = announcement.incarnation

    def announce(self, announcement: worker_port.Announcement) -> None:
        """Handles an announcement of the worker."""
        current = self.announcement
        if current is None:
            self._first.add(announcement)
            if self._takeover_check is None:
                self._takeover_check = self._spawn(self._accept_first())
            return
        if current.incarnation != announcement.incarnation:
            if self._takeover_check is not None:
                self._unchecked.append(announcement)
                del self._unchecked[:-MAX_UNCHECKED]
            elif self._may_succeed(announcement, current):
                self._takeover_check = self._spawn(
                    self._check_takeover(announcement)
                )
            return
        contradiction = self._order.find_contradiction(
            announcement,
            current,
            worker_ms=self._worker_ms(current),
            now=self.clock.now(),
        )
        if contradiction:
            self._log_refusal(announcement, contradiction)
            self._check_address_if_unknown(announcement, current)
            return
        if self._leaving:
            if announcement.sequence == current.sequence:
                return
            if not announcement.draining:
                self._leaving = ""
        self._replace(announcement)

    def _worker_ms(self, current: worker_port.Announcement) -> int | None:
        """Returns the latest time on the clock of the current incarnation."""
        session = self._session()
        if (
            session is None
            or session.announcement.incarnation != current.incarnation
        ):
            return None
        return session.latest_worker_ms(self.clock.now())

    def _check_address_if_unknown(
        self,
        announcement: worker_port.Announcement,
        current: worker_port.Announcement,
    ) -> None:
        """Checks a refused address if no poll at the current one is answered.

        The current announcement may be wrong, and later than all true ones.
        """
        if (
            announcement.address != current.address
            and self._worker_ms(current) is None
            and self._address_check is None
        ):
            self._address_check = self._spawn(self._check_address(announcement))

    async def _check_address(
        self, announcement: worker_port.Announcement
    ) -> None:
        """Replaces the current announcement if the incarnation answers here."""
        try:
            answer = await incarnation_check.poll_incarnation(
                self.ports, announcement, self._token()
            )
        finally:
            self._address_check = None
        current = self.announcement
        if (
            answer == "view"
            and current is not None
            and current.incarnation == announcement.incarnation
            and self._worker_ms(current) is None
        ):
            self._replace(announcement)

    def _log_refusal(
        self, announcement: worker_port.Announcement, reason: str
    ) -> None:
        events.log(
            events.ANNOUNCEMENT_REFUSED,
            worker=self.worker,
            life=announcement.incarnation,
            sequence=announcement.sequence,
            error=reason,
        )

    def _replace(self, announcement: worker_port.Announcement) -> None:
        """Replaces the announcement of the current incarnation."""
        current = self.announcement
        self.announcement = announcement
        if current is not None:
            self._on_announcement(current, announcement)

    async def _accept_first(self) -> None:
        """Accepts the first incarnation, once it was checked."""
        try:
            chosen = await self._first.choose(self._token())
        finally:
            self._first.clear()
            self._takeover_check = None
        if chosen is not None:
            self._accept_incarnation(chosen)

    async def _check_takeover(
        self, announcement: worker_port.Announcement
    ) -> None:
        """Accepts another incarnation if the current one is over.

        The incarnation may announce another capacity meanwhile, or that it
        drains; that counts from the acceptance on.
        """
        current, contradiction = self.announcement, ""
        try:
            if current is not None and current.incarnation != self._refuted:
                contradiction = await incarnation_check.find_contradiction(
                    self.ports,
                    current=current,
                    announced=announcement,
                    token=self._token(),
                )
            elif await incarnation_check.is_replaced(
                self.ports, announcement, self._token()
            ):
                contradiction = "another incarnation answers"
        finally:
            self._takeover_check = None
            later, self._unchecked = self._unchecked, []
        if contradiction:
            self._log_refusal(announcement, contradiction)
            return
        self._accept_incarnation(announcement)
        for newer in later:
            self.announce(newer)

    def _accept_incarnation(
        self, announcement: worker_port.Announcement
    ) -> None:
        events.log(
            events.WORKER_LIFE_CHANGED,
            worker=self.worker,
            life=announcement.incarnation,
            before=self.announcement.incarnation if self.announcement else "",
        )
        self.announcement = announcement
        self._leaving = self._refuted = ""
        self._on_incarnation()

    def leave(self, worker_id: str, *, started_ms: int | None = None) -> None:
        """Handles a message that an incarnation of the worker ends.

        Until the worker no longer answers, it is treated as draining. A newer
        announcement that it doesn't drain supersedes the message.

        Args:
            worker_id: ID of the worker.
            started_ms: Start of the incarnation, in ms since the epoch on the
                worker's clock; None if unknown.
        """
        current = self.announcement
        self._first.remove(worker_id, started_ms)
        if (
            current is None
            or current.id != worker_id
            or started_ms not in (None, current.started_ms)
        ):
            return
        events.log(
            events.WORKER_LEFT, worker=self.worker, life=current.incarnation
        )
        self._leaving = current.incarnation
        self._replace(dataclasses.replace(current, draining=True))
        if self._departure_check is None:
            self._departure_check = self._spawn(self._check_departure(current))

    async def _check_departure(self, current: worker_port.Announcement) -> None:
        """Ends the current incarnation once it no longer answers."""
        try:
            if await incarnation_check.wait_for_departure(
                self.ports,
                current,
                token=self._token,
                leaving=lambda: self._leaving == current.incarnation,
            ):
                self._leaving = ""
                self.announcement = None
                self._on_incarnation()
        finally:
            self._departure_check = None

    def _token(self) -> int:
        """Returns the current fencing token; 0 without a session."""
        session = self._session()
        return session.token if session is not None else 0

    def _may_succeed(
        self,
        announcement: worker_port.Announcement,
        current: worker_port.Announcement,
    ) -> bool:
        """Returns whether another incarnation may have replaced this one."""
        if announcement.started_ms > current.started_ms:
            return True
        # The worker's clock may have been set back before the restart.
        session = self._session()
        return (
            session is None
            or self.clock.now() - session.answered_ms > SILENT_INCARNATION_MS
        )
