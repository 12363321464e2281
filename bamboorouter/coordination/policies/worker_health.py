"""Finds workers that fail what they start.

Answers this load: a worker fails each run within moments, looks empty, and
draws the next tasks until these have no attempts left. A worker on which runs
of different jobs failed one after the other, with no success in between, is
shunned for a few seconds; then one success clears it. A job that fails
everywhere shuns nobody, because it counts once for each worker.
"""

import dataclasses
from typing import Final

# Two jobs may fail by chance; the declared share of faults is a few percent.
FAILED_JOBS: Final = 3
# Long enough to spare the attempts of a burst, short enough to try again soon.
SHUN_MS: Final = 4000


@dataclasses.dataclass(kw_only=True)
class _Record:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    shunned_until_ms: int = 0


class WorkerHealth:
    """Counts failures in a row by worker."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def ended(self, *, worker: str, job: str, failed: bool, now: int) -> bool:
        """Takes note of an end; returns whether the worker is now shunned."""
        if not failed:
            self._records.pop(worker, None)
            return False
        record = self._records.setdefault(worker, _Record())
        record.failed_jobs.add(job)
        if len(record.failed_jobs) < FAILED_JOBS:
            return False
        record.shunned_until_ms = now + SHUN_MS
        return True

    def shunned(self, worker: str, now: int) -> bool:
        """Whether a worker gets work only for want of other workers."""
        record = self._records.get(worker)
        return record is not None and now < record.shunned_until_ms
