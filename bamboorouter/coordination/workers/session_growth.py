"""Opens a session anew when the capacity of its worker has grown.

All replicas check assignments against the capacity with which the session was
opened. The leader learns of a lower one from the reports, and of one that grows
back to that of the session as well. Beyond it, the agent requests a new session
with the same incarnation and the newest announced capacity.

The running session goes on meanwhile: its polls renew the lease of the runs,
and its orders are carried out. Once the leader has answered, the session takes
over the new number and capacity. Its later fencing tokens are higher than those
of any earlier session. An order that is overtaken by a call with such a token
is rejected by the worker and sent again with a newer token.

The leader doesn't know the earlier number any more as soon as the new session
is committed. A report that is refused while the request is under way is thus no
reason to end the session.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.workers import session_opening
from bamboorouter.coordination.workers import worker_session
from bamboorouter.state import resource_math

# Time between two requests, so that a capacity that rises again and again
# doesn't fill the log. Workers announce themselves about every 1.5 s.
MIN_REQUEST_INTERVAL_MS: Final = 1000


def has_grown(session: worker_session.Session) -> bool:
    """Returns whether any announced amount exceeds that of the session."""
    return not resource_math.fits(session.announcement.capacity, session.room)


class SessionGrowth:
    """Requests sessions for the grown capacities of one worker.

    Attributes:
        worker: Name of the worker, the same for all its incarnations.
        client: Client for calls to the leader.
        clock: Source of time.
        on_opened: Called after a session has got a new number.
    """

    def __init__(
        self,
        *,
        worker: str,
        client: control_client.ControlClient,
        time: clock.Clock,
        on_opened: Callable[[worker_session.Session], None],
    ) -> None:
        self.worker = worker
        self.client = client
        self.clock = time
        self.on_opened = on_opened
        self._announced = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._requested_ms: int | None = None

    def check(self) -> None:
        """Checks the session, whose worker has announced a capacity."""
        self._announced.set()

    async def wait_until_idle(self) -> None:
        """Waits until no request is under way."""
        await self._idle.wait()

    async def run(self, session: worker_session.Session) -> None:
        """Opens a session anew whenever its worker has grown."""
        while True:
            if not has_grown(session):
                self._announced.clear()
                await self._announced.wait()
                continue
            await asyncio.sleep(clock.seconds(self._pause_ms()))
            if has_grown(session):
                await self._open_anew(session)

    def _pause_ms(self) -> int:
        """Returns the time in ms until the next request may be sent."""
        if self._requested_ms is None:
            return 0
        elapsed_ms = self.clock.now() - self._requested_ms
        return max(0, MIN_REQUEST_INTERVAL_MS - elapsed_ms)

    async def _open_anew(self, session: worker_session.Session) -> None:
        self._requested_ms = self.clock.now()
        announcement = session.announcement
        self._idle.clear()
        try:
            number = await session_opening.open_anew(
                worker=self.worker,
                announcement=announcement,
                client=self.client,
            )
            session.renew(
                number=number,
                token=session_opening.first_token(number),
                room=announcement.capacity,
            )
        except errors.RouterError as err:
            # The leader may have opened the session all the same. It then
            # refuses the next report, and the session loop opens another one.
            events.log(
                events.SESSION_FAILED, worker=self.worker, error=str(err)
            )
            return
        finally:
            self._idle.set()
        self.on_opened(session)
