"""Holds the state of a session of an agent with a worker incarnation."""

from collections.abc import Iterable
import dataclasses
import math
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import pacing
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import run_lease
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import common
from bamboorouter.protocol import jobs

# Lease of the runs on a worker, which stops them when it expires. It tolerates
# a pause of the agent process or of the network of a few seconds.
WORKER_LEASE_MS: Final = 6000
# A start order that arrives later is rejected by the worker. It is longer than
# the time after which an unanswered order counts as unresolved, and shorter than
# the bounds on starts after a cancellation, a drain or a shrunk capacity.
START_ORDER_MS: Final = 1500
# A worker's clock may be fast relative to the agent's.
MAX_CLOCK_RATE: Final = 1.025
# A worker that answered no poll for this long gets no new runs.
MAX_POLL_AGE_MS: Final = 1200
# Interval between announcements, unless the settings give another one.
ANNOUNCE_INTERVAL_MS: Final = 1500
# A worker gets no new runs while its announcement is older than this many
# intervals; one announcement may be lost.
MAX_ANNOUNCE_INTERVALS: Final = 2


@dataclasses.dataclass(kw_only=True)
class Session:
    """A session with one incarnation of the worker.

    Attributes:
        announcement: Last announcement of the worker.
        number: Session number.
        room: Capacity with which the leader has opened the session.
        port: Port to the worker.
        token: Fencing token of the next order.
        lease: Lease of the worker's runs.
        pacer: Controls the speed of the worker's best-effort runs.
        announce_interval_ms: Time between two announcements of the worker, in
            ms.
        grant_end_ms: End of the lease that the leader grants, in ms on the
            agent's clock.
        answered_ms: Time of the last answered poll, in ms on the agent's clock;
            0 before the first one and after the worker was marked unreachable.
        view_clock_ms: Time of the newest view, in ms on the worker's clock;
            None before the first one.
        view_requested_ms: Time at which that view was requested, in ms on the
            agent's clock.
        acknowledged: Ends up to this number were acknowledged by an answered
            poll.
        renewed_until_ms: End of the lease that the last answered poll with a
            lease has granted, in ms on the worker's clock; 0 if there is none.
        last_poll_answered: Whether the last poll was answered, so that the next
            call is unlikely to reach another incarnation.
        silent_since_ms: Time of the first failed poll after the last answered
            one, in ms on the agent's clock; None if the last poll was answered.
        weights: Learned interference weight by pair of a serving and a
            best-effort image, from the leader.
    """

    announcement: worker_port.Announcement
    number: int
    room: common.Resources
    port: worker_port.WorkerPort
    token: int
    lease: run_lease.RunLease
    pacer: pacing.Pacer
    announce_interval_ms: int = ANNOUNCE_INTERVAL_MS
    grant_end_ms: int = 0
    answered_ms: int = 0
    view_clock_ms: int | None = None
    view_requested_ms: int = 0
    acknowledged: int = 0
    renewed_until_ms: int = 0
    last_poll_answered: bool = False
    silent_since_ms: int | None = None
    weights: dict[jobs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )

    def renew(self, *, number: int, token: int, room: common.Resources) -> None:
        """Continues the session as one that the leader has opened anew.

        Args:
            number: Number of the new session.
            token: Lowest fencing token of the new session.
            room: Capacity with which it was opened.
        """
        self.number = number
        self.token = max(self.token, token)
        self.room = room

    def reachable(self, now: int) -> bool:
        """Returns whether the worker answered a poll recently."""
        return now - self.answered_ms <= MAX_POLL_AGE_MS

    def announcement_expired(self, now: int) -> bool:
        """Returns whether the worker may have changed since its announcement.

        An announcement may have waited while this process was paused. The
        capacity that it tells may then have shrunk for seconds.

        Args:
            now: Current time in ms on the agent's clock.

        Returns:
            Whether it is too old to start runs; False if its age is unknown.
        """
        announced_ms = self.announcement.clock_ms
        worker_ms = self.latest_worker_ms(now)
        if announced_ms is None or worker_ms is None:
            return False
        max_age_ms = MAX_ANNOUNCE_INTERVALS * self.announce_interval_ms
        return worker_ms - announced_ms > max_age_ms

    def usable(self, now: int) -> bool:
        """Returns whether the worker may get new runs."""
        return self.reachable(now) and not self.announcement_expired(now)

    def record_failed_poll(self, now: int) -> None:
        """Records that a poll has failed now, in ms on the agent's clock."""
        self.last_poll_answered = False
        if self.silent_since_ms is None:
            self.silent_since_ms = now

    def silent_ms(self, now: int) -> int:
        """Returns for how long no poll was answered, in ms; 0 if unknown."""
        return 0 if self.silent_since_ms is None else now - self.silent_since_ms

    def next_acknowledged(self, confirmed: int) -> int:
        """Returns the number up to which the next poll acknowledges ends.

        Another incarnation may use the same name and numbers its ends from the
        start, so nothing is acknowledged twice or right after a failed poll.

        Args:
            confirmed: Number up to which the leader has confirmed ends.

        Returns:
            The number; 0 to acknowledge nothing.
        """
        if not self.last_poll_answered or confirmed <= self.acknowledged:
            return 0
        return confirmed

    def mark_unreachable(self) -> None:
        """Marks the worker as unreachable until it answers a poll."""
        self.answered_ms = 0

    def latest_worker_ms(self, now: int) -> int | None:
        """Returns the latest possible time on the worker's clock.

        Args:
            now: Current time in ms on the agent's clock.

        Returns:
            The time in ms; None before the first view.
        """
        if self.view_clock_ms is None:
            return None
        elapsed_ms = (now - self.view_requested_ms) * MAX_CLOCK_RATE
        return self.view_clock_ms + math.ceil(elapsed_ms)

    def lease_until(self, now: int) -> int | None:
        """Returns the lease end that a poll grants, on the worker's clock.

        A silent worker may accept a lease without answering. If it were offered
        further leases, the agent could never know that they have expired.

        Args:
            now: Current time in ms on the agent's clock.

        Returns:
            The end of the lease in ms; None to grant no lease.
        """
        return self._until(now, now + WORKER_LEASE_MS)

    def start_until(self, now: int) -> int | None:
        """Returns the end of a start order sent now, on the worker's clock.

        The worker rejects the order from then on.

        Args:
            now: Current time in ms on the agent's clock.

        Returns:
            The end in ms; None to send no start order.
        """
        return self._until(now, now + START_ORDER_MS)

    def needs_renewal(self, until_ms: int) -> bool:
        """Returns whether a start order would extend the worker's lease.

        If so, its run would depend on the short end of the order.

        Args:
            until_ms: End of the start order, in ms on the worker's clock.
        """
        return self.renewed_until_ms < until_ms

    def _until(self, now: int, end_ms: int) -> int | None:
        # If the worker was suspended, its clock is behind the one that counts
        # until the next answer, by which a lease would end too late.
        if (
            not self.reachable(now)
            or self.grant_end_ms <= now
            or self.lease.in_doubt
        ):
            return None
        return self.lease.end_on_worker(min(self.grant_end_ms, end_ms))

    def speed_changes(
        self, runs: Iterable[held_runs.HeldRun], now: int
    ) -> tuple[list[pacing.ServingRun], list[pacing.BestEffortRun]]:
        """Returns the serving runs, and best-effort runs with a new speed."""
        listed = [
            (run, run.order, run.row) for run in runs if run.row and run.order
        ]
        serving = [
            pacing.ServingRun(
                image=order.image,
                latency_ms=row.figure,
                target_ms=order.target_ms,
            )
            for _, order, row in listed
            if order.target_ms
        ]
        changes = self.pacer.decide(
            serving=serving,
            best_effort=[
                pacing.BestEffortRun(
                    task=run.task,
                    attempt=run.attempt,
                    image=order.image,
                    units=self._units(order.need.millicores),
                    used=self._units(row.figure),
                    percent=run.pace,
                )
                for run, order, row in listed
                if order.fills
            ],
            weight=lambda serving, best_effort: self.weights.get(
                (serving, best_effort), image_interference.INITIAL_WEIGHT
            ),
            now=now,
        )
        return serving, changes

    def _units(self, millicores: int) -> float:
        return image_interference.load_units(
            millicores, self.announcement.capacity.millicores
        )
