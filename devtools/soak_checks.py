"""Records the observations of a soak test and checks its invariants.

The simulated callers, workers and operator report what they sent and received.
The system's own logs are not used.
"""

import collections
import dataclasses
from typing import Final

# Statuses that guarantee that the job never runs.
REFUSALS: Final = (429, 503)
OK: Final = 200


@dataclasses.dataclass(kw_only=True)
class _Job:
    """What the callers know about a job.

    Attributes:
        statuses: HTTP statuses of its submissions; 0 for no response.
        seen_done: Whether a caller has read the state "done".
    """

    statuses: list[int] = dataclasses.field(default_factory=list)
    seen_done: bool = False

    def accepted(self) -> bool:
        return OK in self.statuses

    def refused(self) -> bool:
        answered = bool(self.statuses)
        return answered and all(s in REFUSALS for s in self.statuses)


class History:
    """Observations of a soak; checks each one when it is recorded.

    Attributes:
        violations: Descriptions of the violated invariants.
        counts: Number of observations by kind.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._jobs: dict[str, _Job] = {}
        self._running: dict[str, set[str]] = {}
        self._starts: collections.Counter[str] = collections.Counter()
        # Number of starts of a task when an attempt ended with "done", by task
        # and attempt.
        self._starts_until_done: dict[tuple[str, int], int] = {}
        self._acknowledged: set[str] = set()
        self._started_jobs: set[str] = set()
        self._version = 0

    # --- Callers -------------------------------------------------------------

    def record_submission(self, job: str) -> None:
        """Records that a job is about to be submitted."""
        self._jobs.setdefault(job, _Job())

    def record_submission_status(self, job: str, status: int) -> None:
        """Records the status of a submission; 0 if there was no response."""
        self.counts[f"submission answered {status}"] += 1
        self._jobs[job].statuses.append(status)

    def record_state(self, job: str, status: int, state: str) -> None:
        """Records the response to a query for the state of a job."""
        if status == OK and state == "done":
            self._jobs[job].seen_done = True
            open_tasks = [
                task for task in self._running if task.startswith(f"{job}.")
            ]
            if any(self._running[task] for task in open_tasks):
                self._add_violation(f"{job} is reported as done while it runs")
        if self._jobs[job].accepted() and status in (404, 410):
            self._add_violation(f"accepted {job} is answered with {status}")
        # Nobody cancels jobs, and the configured number of attempts is so high
        # that the random failures of runs don't make a job fail.
        if status == OK and state in ("failed", "cancelled"):
            self._add_violation(f"{job} is reported as {state} without a cause")

    def open_jobs(self) -> list[str]:
        """Returns accepted jobs that no caller has seen as done."""
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted() and not job.seen_done
        ]

    # --- Workers -------------------------------------------------------------

    def record_start(
        self, task: str, worker: str, *, free_millicores: int
    ) -> None:
        """Records the start of a task.

        Args:
            task: Name of the task.
            worker: Name of the worker incarnation.
            free_millicores: Unreserved processor time of the worker after the
                start; negative if the worker is overcommitted.
        """
        self.counts["starts"] += 1
        self._starts[task] += 1
        job = task.partition(".")[0]
        self._started_jobs.add(job)
        if job not in self._jobs:
            self._add_violation(f"{task} was started but never submitted")
        if free_millicores < 0:
            self._add_violation(f"{task} exceeds the capacity of {worker}")
        workers = self._running.setdefault(task, set())
        if workers:
            self._add_violation(
                f"{task} runs on {worker} and on {sorted(workers)}"
            )
        if task in self._acknowledged:
            self._add_violation(
                f"{task} was started after its acknowledged end"
            )
        if job in self._jobs and self._jobs[job].seen_done:
            self._add_violation(f"{task} was started after its job was done")
        workers.add(worker)

    def record_end(
        self, task: str, worker: str, attempt: int, how: str
    ) -> None:
        """Records the end of a run."""
        self.counts[f"ended {how}"] += 1
        self._running.get(task, set()).discard(worker)
        if how == "done":
            self._starts_until_done[task, attempt] = self._starts[task]

    def record_acknowledgement(
        self, task: str, attempt: int, how: str, *, lease_expired: bool
    ) -> None:
        """Records that the system acknowledged the end of a run to its worker.

        A run whose end was lost in a crash of the worker may be repeated, and
        so may one whose end the worker couldn't report before its lease
        expired: the system can't tell it from a run that the expiry stopped.
        Any other run whose end "done" was acknowledged must be the last of its
        task.

        Args:
            task: Name of the task.
            attempt: Attempt that ended.
            how: How the run ended.
            lease_expired: Whether the worker's lease expired between the end
                and its acknowledgement.
        """
        if how != "done":
            return
        started_again = (
            self._starts[task] > self._starts_until_done[task, attempt]
        )
        if lease_expired:
            self.counts["repeated after an expired lease"] += started_again
            return
        self._acknowledged.add(task)
        if started_again:
            self._add_violation(
                f"{task} was started after its acknowledged end"
            )

    # --- Operator ------------------------------------------------------------

    def record_configuration(self, version: int) -> None:
        """Records an acknowledged configuration."""
        self.counts["configurations acknowledged"] += 1
        self._version = max(self._version, version)

    def acknowledged_version(self) -> int:
        """Returns the highest acknowledged version."""
        return self._version

    def record_configuration_read(self, version: int, *, at_least: int) -> None:
        """Records a successful read of the configuration.

        Args:
            version: Version that was read.
            at_least: Highest version acknowledged before the read was sent.
        """
        self.counts["configurations read"] += 1
        if version < at_least:
            self._add_violation(
                f"version {version} was read after {at_least} was acknowledged"
            )

    # --- End -----------------------------------------------------------------

    def finish(self) -> None:
        """Checks the invariants that can only be checked at the end."""
        for name, job in self._jobs.items():
            if job.refused() and name in self._started_jobs:
                self._add_violation(f"{name} was always refused but ran")
        for name in self.open_jobs():
            self._add_violation(f"accepted {name} was never done")

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)
