"""IDs of jobs that were cancelled before they were submitted.

A caller that got no answer to a submission may cancel the job, and the
submission may arrive at the leader only afterwards: it was held up by a
suspended entry or on the network. The caller was told that no such job exists,
so the leader refuses a submission whose ID is recorded here. The IDs are part
of the replicated state because a later leader has to refuse it, too.
"""

from collections.abc import Iterable
from typing import Any
from typing import Final

# An ID takes about 150 bytes. The leader forgets IDs after
# `dispatcher.ENDED_JOB_RETENTION_MS`.
MAX_WITHDRAWN_JOBS: Final = 10_000


class WithdrawnJobs:
    """Job IDs, in the order in which they were withdrawn."""

    def __init__(self) -> None:
        # A dict keeps the order on all replicas, unlike a set.
        self._ids: dict[str, None] = {}

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._ids

    def ids(self) -> Iterable[str]:
        """Returns all IDs."""
        return self._ids.keys()

    def add(self, job_id: str) -> bool:
        """Records an ID.

        Returns:
            Whether the ID is recorded; False if there are too many.
        """
        if job_id not in self._ids and len(self._ids) >= MAX_WITHDRAWN_JOBS:
            return False
        self._ids[job_id] = None
        return True

    def discard(self, job_id: str) -> None:
        """Removes an ID if it is recorded."""
        self._ids.pop(job_id, None)

    def snapshot(self) -> list[Any]:
        """Returns the IDs as a plain list for a snapshot."""
        return list(self._ids)

    def restore(self, data: list[Any]) -> None:
        """Replaces the IDs with those in a snapshot."""
        self._ids = dict.fromkeys(data)
