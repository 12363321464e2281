"""Counts the attempts of a task and checks how often it may be started.

- A task isn't started after `MAX_ATTEMPTS` of its runs have ended "failed" and
  these ends were acknowledged, before the start or later. Tasks that last have
  no such limit.
- A task that crashes its workers isn't started `MAX_STARTS_AFTER_CRASHES` times
  once `MAX_CRASHES` workers have crashed because of it. Orders that a worker
  carries out late count as well.
- A job may end as failed once a task has used up its attempts, or once
  `SUSPICIOUS_CRASHES` workers have crashed while they ran it, whatever the
  reason.
"""

import dataclasses
from typing import Final

MAX_ATTEMPTS: Final = 4
MAX_CRASHES: Final = 3
MAX_STARTS_AFTER_CRASHES: Final = 3
SUSPICIOUS_CRASHES: Final = 2


@dataclasses.dataclass(kw_only=True)
class TaskAttempts:
    """The attempts of a task.

    Attributes:
        lasting: Whether the task runs until its job is cancelled.
        starts: Number of starts.
        failures: Number of runs that ended "failed".
        crashes: Number of workers that crashed because of the task.
        crashes_beneath: Number of workers that crashed while they ran it.
    """

    lasting: bool = False
    starts: int = 0
    failures: int = 0
    crashes: int = 0
    crashes_beneath: int = 0
    _starts_after_crashes: int = 0
    # Number of starts when an attempt ended "failed", by attempt.
    _starts_until_failure: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    # The same numbers for acknowledged ends.
    _acknowledged: list[int] = dataclasses.field(default_factory=list)

    def record_start(self) -> str:
        """Records a start; returns the violated limit, if any."""
        self.starts += 1
        if self.crashes >= MAX_CRASHES:
            self._starts_after_crashes += 1
            if self._starts_after_crashes == MAX_STARTS_AFTER_CRASHES:
                return (
                    f"was started {MAX_STARTS_AFTER_CRASHES} times after"
                    f" {MAX_CRASHES} workers had crashed because of it"
                )
        return self._check_failures()

    def record_failure(self, attempt: int) -> None:
        """Records that an attempt ended "failed"."""
        self.failures += 1
        self._starts_until_failure[attempt] = self.starts

    def record_acknowledged_failure(self, attempt: int) -> str:
        """Records that a failure counts; returns the violated limit, if any."""
        starts = self._starts_until_failure.pop(attempt, None)
        if starts is None:
            return ""
        self._acknowledged.append(starts)
        return self._check_failures()

    def may_fail(self) -> bool:
        """Returns whether the job of the task may end as failed."""
        used_up = not self.lasting and self.failures >= MAX_ATTEMPTS
        return used_up or self.crashes_beneath >= SUSPICIOUS_CRASHES

    def _check_failures(self) -> str:
        if self.lasting or len(self._acknowledged) < MAX_ATTEMPTS:
            return ""
        allowed = sorted(self._acknowledged)[MAX_ATTEMPTS - 1]
        if self.starts <= allowed:
            return ""
        return f"was started after {MAX_ATTEMPTS} failures were acknowledged"
