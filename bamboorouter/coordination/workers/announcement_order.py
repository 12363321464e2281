"""Decides which announcement of an incarnation of a worker counts.

The sequence number and the worker's clock increase from one announcement to the
next. An announcement may be delayed or repeated, and a single one may be wrong,
because it comes from another program. Neither may hide the true ones that
follow. The agent knows the worker's clock from the answers to its polls, so:

* An announcement from the future of that clock is wrong.
* An announcement that is later than the current one by both the sequence number
  and the clock counts; one that is earlier by both is a delayed one.
* If they disagree, the sequence number or the clock of one of the two is wrong.
  The announcement counts if its clock shows that it was sent just now.
* If the current one turns out to be from the future, any recent one counts.

An incarnation keeps its service, zone, labels and address, so an announcement
that changes one of them is wrong, or the current one was. Nothing tells which;
several announcements in succession that agree with each other count. The same
holds if the clock of an announcement is unknown.
"""

import dataclasses
from typing import Final

from bamboorouter.coordination.workers import worker_port

# Covers the rounding and the drift of two clocks.
FUTURE_TOLERANCE_MS: Final = 500
# An announcement that was sent within this time is recent.
MAX_RECENT_AGE_MS: Final = 5000
# A worker announces itself about every 1.5 s; copies of earlier announcements
# arrive together.
MIN_SERIES: Final = 3
MIN_SERIES_MS: Final = 2000


@dataclasses.dataclass(kw_only=True)
class _Series:
    """Successive announcements that don't count but agree with each other.

    Attributes:
        newest: Newest of them.
        count: Their number.
        since_ms: Arrival of the first one, in ms on the agent's clock.
    """

    newest: worker_port.Announcement
    count: int
    since_ms: int


class AnnouncementOrder:
    """Compares announcements of one incarnation in the order of arrival."""

    def __init__(self) -> None:
        self._series: _Series | None = None

    def find_contradiction(
        self,
        announced: worker_port.Announcement,
        current: worker_port.Announcement,
        *,
        worker_ms: int | None,
        now: int,
    ) -> str:
        """Returns why an announcement doesn't replace the current one.

        Args:
            announced: The announcement that has arrived.
            current: Current announcement of the same incarnation.
            worker_ms: Latest possible time on the worker's clock, in ms; None
                if it is unknown.
            now: Current time in ms on the agent's clock.

        Returns:
            The reason; empty if the announcement replaces the current one.
        """
        if _is_from_future(announced, worker_ms):
            return "it is from the future"
        earlier = _is_earlier(announced, current)
        if earlier and not _is_from_future(current, worker_ms):
            return "a later one has arrived"
        contradiction = ""
        if _identity(announced) != _identity(current):
            contradiction = "an incarnation keeps its service and address"
        elif not (
            earlier
            or _is_later(announced, current)
            or _is_recent(announced, worker_ms)
        ):
            contradiction = "its sequence number or its clock is wrong"
        if contradiction and not self._continues_series(announced, now):
            return contradiction
        self._series = None
        return ""

    def _continues_series(
        self, announced: worker_port.Announcement, now: int
    ) -> bool:
        """Adds an announcement to the series; returns whether it is enough."""
        series = self._series
        if (
            series is None
            or series.newest.incarnation != announced.incarnation
            or _identity(series.newest) != _identity(announced)
            or not _is_later(announced, series.newest)
        ):
            self._series = _Series(newest=announced, count=1, since_ms=now)
            return False
        if announced.sequence == series.newest.sequence:
            return False
        series.newest = announced
        series.count += 1
        return (
            series.count >= MIN_SERIES
            and now - series.since_ms >= MIN_SERIES_MS
        )


def _identity(announcement: worker_port.Announcement) -> tuple[object, ...]:
    return (
        announcement.service,
        announcement.zone,
        announcement.labels,
        announcement.address,
    )


def _is_later(
    announced: worker_port.Announcement, other: worker_port.Announcement
) -> bool:
    """Returns whether neither the sequence number nor the clock goes back."""
    return announced.sequence >= other.sequence and (
        announced.clock_ms is None
        or other.clock_ms is None
        or announced.clock_ms >= other.clock_ms
    )


def _is_earlier(
    announced: worker_port.Announcement, other: worker_port.Announcement
) -> bool:
    """Returns whether both the sequence number and the clock go back."""
    return (
        announced.sequence < other.sequence
        and announced.clock_ms is not None
        and other.clock_ms is not None
        and announced.clock_ms < other.clock_ms
    )


def _is_from_future(
    announcement: worker_port.Announcement, worker_ms: int | None
) -> bool:
    return (
        worker_ms is not None
        and announcement.clock_ms is not None
        and announcement.clock_ms > worker_ms + FUTURE_TOLERANCE_MS
    )


def _is_recent(
    announcement: worker_port.Announcement, worker_ms: int | None
) -> bool:
    """Returns whether an announcement was sent just now, or may have been."""
    return announcement.clock_ms is not None and (
        worker_ms is None
        or announcement.clock_ms >= worker_ms - MAX_RECENT_AGE_MS
    )
