"""One session of an agent with one life of its worker."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.coordination.policies import pacing
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import run_lease
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import jobs

# A worker that answers nothing loses its runs after this lease. It bears a
# pause of the agent's process or of the path between them of some seconds.
WORKER_LEASE_MS: Final = 6000
# A worker without an answered look for this long gets nothing new.
REACHABLE_MS: Final = 1200


@dataclasses.dataclass(kw_only=True)
class Session:
    """One session with one life of the worker.

    Attributes:
        announcement: What the worker said about itself last.
        number: Number of the session.
        port: The way to the worker.
        token: Fencing token of the next order.
        lease: The lease of its runs.
        pacer: Speed of its filling runs.
        grant_end_ms: Until when runs may go on, on the agent's clock.
        answered_ms: When a look was answered last.
        acknowledged: Ends up to this number were acknowledged by a look that
            was answered.
        sure: Whether the last look was answered, so that the next call will
            hardly reach another life.
        weights: How much a filling image (second) disturbs a serving one
            (first), as the leader has learned.
    """

    announcement: worker_port.Announcement
    number: int
    port: worker_port.WorkerPort
    token: int
    lease: run_lease.RunLease
    pacer: pacing.Pacer
    grant_end_ms: int = 0
    answered_ms: int = 0
    acknowledged: int = 0
    sure: bool = False
    weights: dict[jobs.ImagePair, float] = dataclasses.field(
        default_factory=dict
    )

    def reachable(self, now: int) -> bool:
        """Whether the worker answered a look recently."""
        return now - self.answered_ms <= REACHABLE_MS

    def to_acknowledge(self, confirmed: int) -> int:
        """Returns up to which number the next look acknowledges ends.

        Another life may go by the same name and counts its ends anew, so
        nothing is acknowledged twice, nor right after a look that failed.
        """
        if not self.sure or confirmed <= self.acknowledged:
            return 0
        return confirmed

    def doubt(self) -> None:
        """Gives nothing new to the worker until it answers a look again."""
        self.answered_ms = 0

    def until(self, now: int) -> int | None:
        """Returns the lease to give, on the worker's clock; None for none.

        A silent worker may take a lease without an answer, so its lease could
        never be known to have ended if it were offered more and more.
        """
        if not self.reachable(now):
            return None
        return self.lease.until(min(self.grant_end_ms, now + WORKER_LEASE_MS))

    def speed_changes(
        self, runs: Iterable[held_runs.HeldRun], now: int
    ) -> tuple[list[pacing.ServingRun], list[pacing.FillingRun]]:
        """Returns the serving runs, and filling runs at a changed speed."""
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
            filling=[
                pacing.FillingRun(
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
            weight=lambda serving, filling: self.weights.get(
                (serving, filling), image_interference.FIRST_WEIGHT
            ),
            now=now,
        )
        return serving, changes

    def _units(self, millicores: int) -> float:
        return image_interference.load_units(
            millicores, self.announcement.room.millicores
        )
