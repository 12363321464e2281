"""What agents last reported: the leader's soft state about workers.

It is rebuilt from heartbeats after each election. Heartbeats that are older
than one already seen are recognised by sequence, and those of a former run of
an agent by its incarnation.

A heartbeat may arrive late, even after its agent was restarted. An agent sends
a second heartbeat on a link only after the answer to the first (it closes the
link otherwise), so the second one was composed after that answer: it is proven
to be recent. Another incarnation replaces the known one only with such a proof.
"""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final
from typing import Literal

from bamboorouter import clock
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

# Three periods of the default heartbeat.
SILENT_MS: Final = 3000
PERIODS_UNTIL_SILENT: Final = 2.5
FORMER_INCARNATIONS: Final = 8
# VMs are replaced daily; a worker that is only restarted is back much earlier.
FORGET_WORKER_MS: Final = 24 * 3600 * 1000

Freshness = Literal["new", "repeated", "stale"]


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerReport:
    """The last heartbeat of one worker's agent.

    Attributes:
        heartbeat: The heartbeat.
        heard: Monotonic time in ms at which it arrived.
        silent_ms: Silence after which the worker counts as silent.
        orphans: Running tasks without a current assignment on the worker.
        former: Incarnations of former runs.
        source: Link on which the heartbeat arrived.
        proven: Whether a heartbeat of this run is proven to be recent.
        rival: Last heartbeat of another run, which is either the next run or
            a former one, and its link.
    """

    heartbeat: messages.Heartbeat
    heard: clock.Millis
    silent_ms: int = SILENT_MS
    orphans: tuple[common.TaskState, ...] = ()
    former: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=FORMER_INCARNATIONS)
    )
    source: object = None
    proven: bool = False
    rival: tuple[messages.Heartbeat, object] | None = None

    def alive(self, now: int) -> bool:
        """Whether the worker was heard lately."""
        return now - self.heard < self.silent_ms


class WorkerRegistry:
    """The last reports of all workers.

    Attributes:
        reports: Reports by worker.
        since: Monotonic time in ms since which this replica leads.
    """

    def __init__(self) -> None:
        self.reports: dict[str, WorkerReport] = {}
        self.since = 0

    def reset(self, now: clock.Millis) -> None:
        """Forgets all reports, for a replica that begins to lead."""
        self.reports.clear()
        self.since = now

    def accept(
        self,
        heartbeat: messages.Heartbeat,
        now: clock.Millis,
        source: object,
    ) -> Freshness:
        """Takes over a heartbeat unless a newer one was seen.

        Args:
            heartbeat: The heartbeat.
            now: Monotonic time in ms.
            source: Link on which it arrived.

        Returns:
            "new"; "repeated" if the same heartbeat was seen before, so that
            its content may be outdated; or "stale" if it must be ignored.
        """
        report = self.reports.get(heartbeat.worker)
        if report is None:
            report = WorkerReport(heartbeat=heartbeat, heard=now)
            self.reports[heartbeat.worker] = report
        elif heartbeat.incarnation != report.heartbeat.incarnation:
            if not _replaces(report, heartbeat, source):
                return "stale"
        elif heartbeat.sequence < report.heartbeat.sequence:
            return "stale"
        elif heartbeat.sequence == report.heartbeat.sequence:
            return "repeated"
        else:
            report.proven = report.proven or source is report.source
            _adapt_silence(report, now)
        report.heartbeat = heartbeat
        report.heard = now
        report.source = source
        return "new"

    def alive(self, worker: str, now: int) -> bool:
        """Whether a worker was heard lately."""
        report = self.reports.get(worker)
        return report is not None and report.alive(now)

    def takes_tasks(self, worker: str, now: int) -> bool:
        """Whether a worker's agent can start tasks now."""
        report = self.reports.get(worker)
        return (
            report is not None
            and report.alive(now)
            and report.heartbeat.worker_ready
            and not report.heartbeat.leaving
        )

    def gone(self, known: Iterable[str], now: int) -> list[str]:
        """Returns workers that were not heard for long.

        Args:
            known: Names of all known workers.
            now: Monotonic time in ms.
        """
        return [
            name
            for name in known
            if now - self._heard_at(name) >= FORGET_WORKER_MS
        ]

    def _heard_at(self, worker: str) -> int:
        report = self.reports.get(worker)
        return report.heard if report is not None else self.since

    def applied_revisions(self, now: int) -> dict[str, int]:
        """Returns the revision that each live agent applies."""
        return {
            report.heartbeat.agent: report.heartbeat.applied_revision
            for report in self.reports.values()
            if report.alive(now)
        }


def _replaces(
    report: WorkerReport, heartbeat: messages.Heartbeat, source: object
) -> bool:
    """Whether another run of the agent is proven to be the present one."""
    if heartbeat.incarnation in report.former:
        return False
    rival, report.rival = report.rival, (heartbeat, source)
    if rival is None or rival[1] is not source:
        return False
    same_run = rival[0].incarnation == heartbeat.incarnation
    if not same_run or heartbeat.sequence <= rival[0].sequence:
        return False
    report.former.append(report.heartbeat.incarnation)
    report.rival = None
    report.proven = True
    return True


def _adapt_silence(report: WorkerReport, now: clock.Millis) -> None:
    """Follows agents whose heartbeat period is longer than the default."""
    period_ms = min(now - report.heard, SILENT_MS * 2)
    wanted_ms = max(SILENT_MS, int(period_ms * PERIODS_UNTIL_SILENT))
    # It shrinks slowly, so that one early heartbeat doesn't hide the period.
    report.silent_ms = max(wanted_ms, report.silent_ms - SILENT_MS // 10)
