"""Ejects workers on which runs of different jobs fail in succession.

A faulty worker that fails each run quickly appears idle, so it would attract
further tasks until their attempts are exhausted. A worker is ejected for
`EJECTION_MS` after runs of `MIN_FAILED_JOBS` different jobs failed on it
without a success in between. A success clears the failures. A job that fails on
every worker ejects none of them, because it counts once per worker.
"""

import dataclasses
from typing import Final

# Two jobs may fail by chance; the specified fault rate is a few percent.
MIN_FAILED_JOBS: Final = 3
# Long enough that a burst of tasks doesn't use up its attempts on the worker,
# short enough to retry the worker soon.
EJECTION_MS: Final = 4000


@dataclasses.dataclass(kw_only=True)
class _Record:
    """Failures of one worker since its last success.

    Attributes:
        failed_jobs: IDs of the jobs that failed.
        ejected_until_ms: Monotonic time in ms at which the ejection ends.
    """

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    ejected_until_ms: int = 0


class WorkerHealth:
    """Counts successive failures by worker."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def ended(self, *, worker: str, job: str, failed: bool, now: int) -> bool:
        """Records the end of a run; returns whether it ejects the worker."""
        if not failed:
            self._records.pop(worker, None)
            return False
        record = self._records.setdefault(worker, _Record())
        record.failed_jobs.add(job)
        if len(record.failed_jobs) < MIN_FAILED_JOBS:
            return False
        record.ejected_until_ms = now + EJECTION_MS
        return True

    def ejected(self, worker: str, now: int) -> bool:
        """Returns whether a worker gets tasks only if no other worker fits."""
        record = self._records.get(worker)
        return record is not None and now < record.ejected_until_ms
