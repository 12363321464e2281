"""What the leader knows about workers from the reports of their agents.

The table starts empty with each leadership. A lease bounds how long runs may
go on without a report: the leader counts it from the moment it received the
report, the agent from the moment it sent it, so the agent's ends first. A
worker without a report since the election counts as renewed at the election.
"""

import dataclasses
from typing import Final

from bamboorouter.protocol import job_messages
from bamboorouter.transport import link

# How long runs may go on without an answered report: partitions and changes of
# leader of some seconds must throw no work away. Workers allow 10 s at most.
LEASE_MS: Final = 9000
# Clocks may run apart by this share of a lease, and messages take time.
LEASE_ALLOWANCE_MS: Final = 400
# A worker without a report for this long gets nothing new; its agent reports
# each second.
SILENT_MS: Final = 2500


@dataclasses.dataclass(kw_only=True)
class LiveWorker:
    """A worker that reported to this leader.

    Attributes:
        report: Its newest report.
        source: Link on which it came.
        reported_ms: When it came, on the leader's clock.
    """

    report: job_messages.WorkerReport
    source: link.Link
    reported_ms: int

    def usable(self, now: int) -> bool:
        """Whether it may get new runs."""
        return (
            self.report.reachable
            and not self.report.draining
            and now - self.reported_ms < SILENT_MS
            and not self.source.closed.is_set()
        )


class WorkerTable:
    """Live workers by name.

    Attributes:
        workers: The workers.
        elected_ms: When the current leadership began, on its clock.
    """

    def __init__(self) -> None:
        self.workers: dict[str, LiveWorker] = {}
        self.elected_ms = 0

    def reset(self, now: int) -> None:
        """Forgets everything at the start of a leadership."""
        self.workers.clear()
        self.elected_ms = now

    def note(
        self,
        report: job_messages.WorkerReport,
        source: link.Link,
        now: int,
    ) -> bool:
        """Takes a report; returns False if a later one was taken before."""
        known = self.workers.get(report.worker)
        if known is not None:
            newest = (known.report.session, known.report.sequence)
            if (report.session, report.sequence) < newest:
                return False
        self.workers[report.worker] = LiveWorker(
            report=report, source=source, reported_ms=now
        )
        return True

    def complete(self, now: int) -> bool:
        """Whether each live worker has had the time to report."""
        return now - self.elected_ms >= SILENT_MS

    def lease_end_ms(self, worker: str) -> int:
        """Returns when runs on a worker have ended for certain."""
        known = self.workers.get(worker)
        since = self.elected_ms if known is None else known.reported_ms
        return since + LEASE_MS + LEASE_ALLOWANCE_MS
