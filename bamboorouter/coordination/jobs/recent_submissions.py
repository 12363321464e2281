"""Remembers which submissions must not be judged anew.

A job whose proposal may still be committed isn't refused: the promise that it
never runs could turn out false. A job that was refused isn't accepted for some
seconds, unless its caller was told to come back earlier, as a copy of the
refused submission may arrive late over another connection.

Both hold for one term. The first entry of a new leader's term settles the
proposals of earlier ones.
"""

import dataclasses
from typing import Final

from bamboorouter.coordination.jobs import admission

# Callers wait 3 s for an answer, and a partition of some seconds may hold a
# message up as long again.
LATE_COPY_MS: Final = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Refused:
    """A refusal.

    Attributes:
        refusal: What the caller was told.
        at_ms: When it was told so.
    """

    refusal: admission.Refusal
    at_ms: int

    def holds(self, now: int) -> bool:
        """Whether the job is still refused without being judged."""
        return now - self.at_ms < min(self.refusal.retry_after_ms, LATE_COPY_MS)


class RecentSubmissions:
    """Submissions of one term of a leader."""

    def __init__(self) -> None:
        self._term = 0
        self._under_way: set[str] = set()
        self._refused: dict[str, _Refused] = {}

    def enter_term(self, term: int) -> None:
        """Forgets submissions of earlier terms."""
        if term != self._term:
            self._term = term
            self._under_way.clear()
            self._refused.clear()

    def proposed(self, job: str) -> None:
        """Notes that a job is being proposed."""
        self._under_way.add(job)

    def settled(self, job: str) -> None:
        """Notes that the result of a job's proposal is known."""
        self._under_way.discard(job)

    def under_way(self, job: str) -> bool:
        """Whether a proposal of a job may still be committed."""
        return job in self._under_way

    def refuse(self, job: str, refusal: admission.Refusal, now: int) -> None:
        """Notes a refusal at a monotonic time in ms."""
        self._refused = {
            other: refused
            for other, refused in self._refused.items()
            if refused.holds(now)
        }
        self._refused[job] = _Refused(refusal=refusal, at_ms=now)

    def refusal(self, job: str, now: int) -> admission.Refusal | None:
        """Returns the refusal that still holds, with the time that is left."""
        refused = self._refused.get(job)
        if refused is None or not refused.holds(now):
            return None
        left_ms = refused.at_ms + refused.refusal.retry_after_ms - now
        return dataclasses.replace(refused.refusal, retry_after_ms=left_ms)
