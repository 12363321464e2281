"""Tracks recent submissions and cancellations whose result isn't applied yet.

- A job whose proposal may still be committed isn't refused, because a refusal
  promises that the job never runs.
- A refused job isn't accepted for some seconds, unless its caller was told to
  retry earlier, because a duplicate of the refused submission may arrive late
  over another connection.
- A job isn't accepted while the withdrawal of its ID may still be committed.

Each is tracked by the queue and the ID of its job, since callers of several
queues may choose the same ID. All are tracked for one term. Once the first
entry of a new leader's term is committed, the log shows which proposals of
earlier terms were committed; the others never will be.
"""

import collections
import dataclasses
from typing import Final

from bamboorouter.coordination.jobs import admission
from bamboorouter.protocol import jobs

# Maximum delay of a duplicate: callers wait 3 s for an answer, and a partition
# may delay a message by several seconds more.
MAX_DUPLICATE_DELAY_MS: Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _RecentRefusal:
    """A refusal that was sent to a caller.

    Attributes:
        refusal: The refusal.
        at_ms: Monotonic time in ms of the refusal.
    """

    refusal: admission.Refusal
    at_ms: int

    def applies(self, now: int) -> bool:
        """Whether the refusal still applies at a monotonic time in ms."""
        return now - self.at_ms < min(
            self.refusal.retry_after_ms, MAX_DUPLICATE_DELAY_MS
        )


class RecentSubmissions:
    """Pending proposals and recent refusals in one term of a leader."""

    def __init__(self) -> None:
        self._term = 0
        self._withdrawals: collections.Counter[jobs.JobKey] = (
            collections.Counter()
        )
        self._pending: set[jobs.JobKey] = set()
        self._refused: dict[jobs.JobKey, _RecentRefusal] = {}

    def enter_term(self, term: int) -> None:
        """Discards submissions of earlier terms."""
        if term != self._term:
            self._term = term
            self._withdrawals.clear()
            self._pending.clear()
            self._refused.clear()

    def add_pending(self, job: jobs.JobKey) -> None:
        """Records that a job is being proposed."""
        self._pending.add(job)

    def remove_pending(self, job: jobs.JobKey) -> None:
        """Records that the result of a job's proposal is known."""
        self._pending.discard(job)

    def is_pending(self, job: jobs.JobKey) -> bool:
        """Whether a proposal of a job may still be committed."""
        return job in self._pending

    def begin_withdrawal(self, job: jobs.JobKey) -> int:
        """Records that the withdrawal of a job is being proposed.

        Returns:
            The term of the proposal.
        """
        self._withdrawals[job] += 1
        return self._term

    def end_withdrawal(self, job: jobs.JobKey, term: int) -> None:
        """Records that the result of a withdrawal is known.

        Args:
            job: Queue and ID of the job.
            term: Term in which the withdrawal was proposed.
        """
        if term != self._term:
            return
        self._withdrawals[job] -= 1
        if not self._withdrawals[job]:
            del self._withdrawals[job]

    def is_being_withdrawn(self, job: jobs.JobKey) -> bool:
        """Whether a withdrawal of a job may still be committed."""
        return job in self._withdrawals

    def add_refusal(
        self, job: jobs.JobKey, refusal: admission.Refusal, now: int
    ) -> None:
        """Records a refusal at a monotonic time in ms."""
        self._refused = {
            other: refused
            for other, refused in self._refused.items()
            if refused.applies(now)
        }
        self._refused[job] = _RecentRefusal(refusal=refusal, at_ms=now)

    def refusal(self, job: jobs.JobKey, now: int) -> admission.Refusal | None:
        """Returns the refusal of a job that still applies, if any.

        Its `retry_after_ms` is reduced by the time since the refusal.
        """
        refused = self._refused.get(job)
        if refused is None or not refused.applies(now):
            return None
        remaining_ms = refused.at_ms + refused.refusal.retry_after_ms - now
        return dataclasses.replace(refused.refusal, retry_after_ms=remaining_ms)
