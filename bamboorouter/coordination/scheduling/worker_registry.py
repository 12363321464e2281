"""Keeps the last heartbeat of each agent: the leader's soft state on workers.

The state is rebuilt from heartbeats after each election. A heartbeat older than
one already received is recognized by its sequence number, and one from a former
run of an agent by its incarnation.

A heartbeat may be delayed until after its agent was restarted. An agent sends
another heartbeat on a link only after the reply to the previous one (otherwise
it closes the link), so the second heartbeat on a link was composed after that
reply and is proven to be recent. A new incarnation replaces the known one only
after such a proof.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

# Three default heartbeat periods.
MIN_SILENCE_TIMEOUT_MS: Final = 3000
SILENCE_TIMEOUT_PERIODS: Final = 2.5
MAX_FORMER_INCARNATIONS: Final = 8
# VMs are replaced daily; a worker that is merely restarted reports again much
# earlier.
WORKER_RETENTION_MS: Final = 24 * 3600 * 1000

Freshness = Literal["new", "repeated", "stale"]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FormerIncarnation:
    """The incarnation of an agent that the current one replaced.

    Attributes:
        heartbeat: Its last heartbeat.
        received_ms: Monotonic time in ms at which that heartbeat arrived.
    """

    heartbeat: messages.Heartbeat
    received_ms: clock.Millis


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerReport:
    """Last heartbeat of the agent of one worker.

    Attributes:
        heartbeat: The heartbeat.
        received_ms: Monotonic time in ms at which the heartbeat arrived.
        silence_timeout_ms: Time in ms without a heartbeat after which the
            worker counts as silent.
        orphans: Running tasks without a current assignment on the worker.
        former_incarnations: Last incarnations that were replaced by a newer
            one.
        former: The last of these; None if there is none.
        source: Link on which the heartbeat arrived.
        proven_recent: Whether a heartbeat of this incarnation is proven to be
            recent.
        other_incarnation: Last heartbeat of another incarnation, which may be
            newer or older, and the link on which it arrived.
    """

    heartbeat: messages.Heartbeat
    received_ms: clock.Millis
    silence_timeout_ms: int = MIN_SILENCE_TIMEOUT_MS
    orphans: tuple[common.TaskState, ...] = ()
    former_incarnations: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=MAX_FORMER_INCARNATIONS
        )
    )
    former: FormerIncarnation | None = None
    source: object = None
    proven_recent: bool = False
    other_incarnation: tuple[messages.Heartbeat, object] | None = None

    def alive(self, now: int) -> bool:
        """Whether a heartbeat arrived within the silence timeout."""
        return now - self.received_ms < self.silence_timeout_ms


class WorkerRegistry:
    """Last heartbeats of all workers.

    Attributes:
        reports: Reports by worker.
        leader_since_ms: Monotonic time in ms since which this replica has been
            leader.
    """

    def __init__(self) -> None:
        self.reports: dict[str, WorkerReport] = {}
        self.leader_since_ms = 0

    def reset(self, now: clock.Millis) -> None:
        """Discards all reports when this replica becomes leader."""
        self.reports.clear()
        self.leader_since_ms = now

    def accept(
        self,
        heartbeat: messages.Heartbeat,
        now: clock.Millis,
        source: object,
    ) -> Freshness:
        """Records a heartbeat unless a newer one was received.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic time in ms.
            source: Link on which the heartbeat arrived.

        Returns:
            "new" if the heartbeat was recorded; "repeated" if it was received
            before, so that its content may be outdated; "stale" if it must be
            ignored.
        """
        report = self.reports.get(heartbeat.worker)
        if report is None:
            report = WorkerReport(heartbeat=heartbeat, received_ms=now)
            self.reports[heartbeat.worker] = report
        elif heartbeat.incarnation != report.heartbeat.incarnation:
            if not _replaces_incarnation(report, heartbeat, source):
                return "stale"
        elif heartbeat.sequence < report.heartbeat.sequence:
            return "stale"
        elif heartbeat.sequence == report.heartbeat.sequence:
            return "repeated"
        else:
            report.proven_recent = (
                report.proven_recent or source is report.source
            )
            _adapt_silence_timeout(report, now)
        report.heartbeat = heartbeat
        report.received_ms = now
        report.source = source
        return "new"

    def alive(self, worker: str, now: int) -> bool:
        """Whether a worker sent a heartbeat within its silence timeout."""
        report = self.reports.get(worker)
        return report is not None and report.alive(now)

    def accepts_tasks(self, worker: str, now: int) -> bool:
        """Whether a worker is alive, ready and not leaving."""
        report = self.reports.get(worker)
        return (
            report is not None
            and report.alive(now)
            and report.heartbeat.worker_ready
            and not report.heartbeat.leaving
        )

    def long_silent(self, registered: Iterable[str], now: int) -> list[str]:
        """Returns the workers to remove because they have been silent too long.

        Args:
            registered: Names of all registered workers.
            now: Monotonic time in ms.

        Returns:
            Names of workers without a heartbeat for `WORKER_RETENTION_MS`.
        """
        return [
            name
            for name in registered
            if now - self._last_contact_ms(name) >= WORKER_RETENTION_MS
        ]

    def _last_contact_ms(self, worker: str) -> int:
        report = self.reports.get(worker)
        return (
            report.received_ms if report is not None else self.leader_since_ms
        )

    def applied_revisions(self, now: int) -> dict[str, int]:
        """Returns the configuration revision that each live agent applies."""
        return {
            report.heartbeat.agent: report.heartbeat.applied_revision
            for report in self.reports.values()
            if report.alive(now)
        }


def _replaces_incarnation(
    report: WorkerReport, heartbeat: messages.Heartbeat, source: object
) -> bool:
    """Whether another incarnation is proven to be the current one.

    A second heartbeat of that incarnation on the same link is the proof.
    """
    if heartbeat.incarnation in report.former_incarnations:
        return False
    other_incarnation, report.other_incarnation = report.other_incarnation, (
        heartbeat,
        source,
    )
    if other_incarnation is None or other_incarnation[1] is not source:
        return False
    same_incarnation = other_incarnation[0].incarnation == heartbeat.incarnation
    if (
        not same_incarnation
        or heartbeat.sequence <= other_incarnation[0].sequence
    ):
        return False
    report.former_incarnations.append(report.heartbeat.incarnation)
    report.former = FormerIncarnation(
        heartbeat=report.heartbeat, received_ms=report.received_ms
    )
    report.other_incarnation = None
    report.proven_recent = True
    return True


def _adapt_silence_timeout(report: WorkerReport, now: clock.Millis) -> None:
    """Adapts the silence timeout to the heartbeat period of the agent.

    Even after a long gap between heartbeats the timeout is at most 15 s.
    """
    period_ms = min(now - report.received_ms, MIN_SILENCE_TIMEOUT_MS * 2)
    timeout_ms = max(
        MIN_SILENCE_TIMEOUT_MS, int(period_ms * SILENCE_TIMEOUT_PERIODS)
    )
    # The timeout shrinks slowly, so that one early heartbeat doesn't undo the
    # adaptation to a long period.
    report.silence_timeout_ms = max(
        timeout_ms, report.silence_timeout_ms - MIN_SILENCE_TIMEOUT_MS // 10
    )
