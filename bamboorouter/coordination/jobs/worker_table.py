"""Tracks live workers and their leases by the reports of their agents.

The table is reset when this replica is elected leader. A lease bounds how long
runs continue without an answered report. The leader measures a lease from the
receipt of the report and the agent from its sending, so the lease ends earlier
on the agent. The lease of a worker that hasn't reported since the election
counts from the election.

A leader that was paused, or held no leader lease for a while, received no
reports meanwhile; they may still wait in its sockets. Such time is no evidence
that an agent is silent, so it doesn't count towards the end of a lease. The
leader therefore calls `observe` often while it holds the leader lease; a long
gap between two calls is time in which it didn't observe its workers.
"""

import dataclasses
from typing import Final

from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import resource_math
from bamboorouter.transport import link

# Runs must survive partitions and leader changes of some seconds. Workers allow
# leases of at most 10 s.
LEASE_MS: Final = 9000
# Covers clock drift during a lease, and message delays.
LEASE_ALLOWANCE_MS: Final = 400
# A worker gets no new runs after this time without a report. Agents report
# every second.
SILENT_MS: Final = 2500
# The leader calls `observe` several times within this time unless it is paused.
MAX_OBSERVATION_GAP_MS: Final = 500


@dataclasses.dataclass(kw_only=True)
class LiveWorker:
    """A worker that reported to this leader.

    Attributes:
        report: Newest report of its agent.
        source: Link on which the report arrived.
        reported_ms: Monotonic time in ms at which the report arrived.
        largest_room: The largest amount of each resource that the incarnation
            has reported to this leader as its capacity.
        unobserved_ms: `WorkerTable.unobserved_ms` at that time.
    """

    report: job_messages.WorkerReport
    source: link.Link
    reported_ms: int
    largest_room: common.Resources
    unobserved_ms: int = 0

    def observed_ms(self) -> int:
        """Returns when the worker was in the reported state, in ms."""
        return self.reported_ms - self.report.view_age_ms

    def silent(self, now: int) -> bool:
        """Whether the newest report is too old to base a decision on it."""
        return now - self.reported_ms >= SILENT_MS

    def usable(self, now: int) -> bool:
        """Whether the worker may get new runs."""
        return (
            self.report.reachable
            and not self.report.draining
            and not self.silent(now)
            and not self.source.closed.is_set()
        )


class WorkerTable:
    """Workers that reported to this leader since its election.

    Attributes:
        workers: The workers by name.
        elected_ms: Monotonic time in ms of the election.
        unobserved_ms: Time in ms since the election in which the leader didn't
            observe the workers.
    """

    def __init__(self) -> None:
        self.workers: dict[str, LiveWorker] = {}
        self.elected_ms = 0
        self.unobserved_ms = 0
        self._observed_ms = 0

    def reset(self, now: int) -> None:
        """Clears the table after an election at a monotonic time in ms."""
        self.workers.clear()
        self.elected_ms = now
        self.unobserved_ms = 0
        self._observed_ms = now

    def observe(self, now: int) -> int:
        """Records that the leader holds its lease and can receive reports now.

        Args:
            now: Monotonic time in ms.

        Returns:
            The time in ms since the last call if it doesn't count as observed;
            else 0.
        """
        gap_ms = now - self._observed_ms
        self._observed_ms = now
        if gap_ms <= MAX_OBSERVATION_GAP_MS:
            return 0
        self.unobserved_ms += gap_ms
        return gap_ms

    def update(
        self,
        report: job_messages.WorkerReport,
        source: link.Link,
        now: int,
    ) -> bool:
        """Stores a report; returns False if a newer one is already stored."""
        known = self.workers.get(report.worker)
        if known is not None:
            newest = (known.report.session, known.report.sequence)
            if (report.session, report.sequence) < newest:
                return False
        largest_room = report.room
        if known is not None and known.report.life == report.life:
            largest_room = resource_math.highest(
                known.largest_room, report.room
            )
        self.observe(now)
        self.workers[report.worker] = LiveWorker(
            report=report,
            source=source,
            reported_ms=now,
            largest_room=largest_room,
            unobserved_ms=self.unobserved_ms,
        )
        return True

    def listed_runs(self, worker: str, life: str) -> set[jobs.RunKey]:
        """Returns the runs that an incarnation listed as running.

        Args:
            worker: Name of the worker.
            life: ID of the incarnation.

        Returns:
            Those in the newest report; none if that is of another incarnation.
        """
        known = self.workers.get(worker)
        if known is None or known.report.life != life:
            return set()
        return {
            (run.task, run.attempt) for run in known.report.runs if run.running
        }

    def is_complete(self, now: int) -> bool:
        """Whether every live worker has had time to report."""
        return now - self.elected_ms >= SILENT_MS

    def lease_end_ms(self, worker: str) -> int:
        """Returns the monotonic time in ms by which a worker's lease has ended.

        All runs on the worker have stopped by then. The time moves on with each
        gap in the leader's observation.
        """
        known = self.workers.get(worker)
        since = self.elected_ms if known is None else known.reported_ms
        before = 0 if known is None else known.unobserved_ms
        unobserved_ms = self.unobserved_ms - before
        return since + LEASE_MS + LEASE_ALLOWANCE_MS + unobserved_ms
