"""What a soak has seen from outside, and the promises that it broke.

Callers, workers and the operator of a soak tell here what they sent and what
they got. Nothing is taken from the system's own logs.
"""

import collections
import dataclasses
from typing import Final

# Answers that promise that a job never runs.
REFUSALS: Final = (429, 503)
OK: Final = 200


@dataclasses.dataclass(kw_only=True)
class _Job:
    """What callers know about a job.

    Attributes:
        statuses: Answers to its submissions; 0 for none.
        shown_done: Whether a caller was told that it is done.
    """

    statuses: list[int] = dataclasses.field(default_factory=list)
    shown_done: bool = False

    def accepted(self) -> bool:
        return OK in self.statuses

    def refused(self) -> bool:
        answered = bool(self.statuses)
        return answered and all(s in REFUSALS for s in self.statuses)


class History:
    """All that was seen, checked as it comes.

    Attributes:
        violations: Broken promises, in words.
        counts: How often each kind of event was seen.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._jobs: dict[str, _Job] = {}
        self._running: dict[str, set[str]] = {}
        self._starts: collections.Counter[str] = collections.Counter()
        # Starts of a task until one of its runs was done.
        self._starts_until_done: dict[tuple[str, int], int] = {}
        self._acknowledged: set[str] = set()
        self._started_jobs: set[str] = set()
        self._version = 0

    # --- Callers -------------------------------------------------------------

    def submitting(self, job: str) -> None:
        """Notes that a job is about to be sent."""
        self._jobs.setdefault(job, _Job())

    def answered(self, job: str, status: int) -> None:
        """Notes the answer to a submission; 0 if there was none."""
        self.counts[f"submission answered {status}"] += 1
        self._jobs[job].statuses.append(status)

    def shown(self, job: str, status: int, state: str) -> None:
        """Notes the answer to a question for a job's state."""
        if status == OK and state == "done":
            self._jobs[job].shown_done = True
            open_tasks = [
                task for task in self._running if task.startswith(f"{job}.")
            ]
            if any(self._running[task] for task in open_tasks):
                self._broken(f"{job} is shown as done while it runs")
        if self._jobs[job].accepted() and status in (404, 410):
            self._broken(f"accepted {job} is answered {status}")
        if status == OK and state in ("failed", "cancelled"):
            self._broken(f"{job} is shown as {state} without a cause")

    def open_jobs(self) -> list[str]:
        """Returns accepted jobs that nobody was told to be done."""
        return [
            name
            for name, job in self._jobs.items()
            if job.accepted() and not job.shown_done
        ]

    # --- Workers -------------------------------------------------------------

    def started(self, task: str, worker: str, *, room_left: int) -> None:
        """Notes a start on a worker.

        Args:
            task: Name of the task.
            worker: Name of the worker, with its life.
            room_left: Processor time left on it, in thousandths.
        """
        self.counts["starts"] += 1
        self._starts[task] += 1
        job = task.partition(".")[0]
        self._started_jobs.add(job)
        if job not in self._jobs:
            self._broken(f"{task} was started but never submitted")
        if room_left < 0:
            self._broken(f"{worker} is over its room with {task}")
        places = self._running.setdefault(task, set())
        if places:
            self._broken(f"{task} runs on {worker} and on {sorted(places)}")
        if task in self._acknowledged:
            self._broken(f"{task} was started after its acknowledged end")
        if job in self._jobs and self._jobs[job].shown_done:
            self._broken(f"{task} was started after its job was done")
        places.add(worker)

    def ended(self, task: str, worker: str, attempt: int, how: str) -> None:
        """Notes the end of a run."""
        self.counts[f"ended {how}"] += 1
        self._running.get(task, set()).discard(worker)
        if how == "done":
            self._starts_until_done[task, attempt] = self._starts[task]

    def acknowledged(self, task: str, attempt: int, how: str) -> None:
        """Notes that an end was acknowledged.

        An end that a worker forgot in a crash may be repeated; one that counts
        must be the last run of its task.
        """
        if how != "done":
            return
        self._acknowledged.add(task)
        if self._starts[task] > self._starts_until_done[task, attempt]:
            self._broken(f"{task} was started after an end that counts")

    # --- Operator ------------------------------------------------------------

    def configured(self, version: int) -> None:
        """Notes an acknowledged configuration."""
        self.counts["configurations acknowledged"] += 1
        self._version = max(self._version, version)

    def known_version(self) -> int:
        """Returns the highest acknowledged version."""
        return self._version

    def read_back(self, version: int, *, at_least: int) -> None:
        """Notes an answered read of the configuration.

        Args:
            version: What was answered.
            at_least: Highest version acknowledged before the read was sent.
        """
        self.counts["configurations read"] += 1
        if version < at_least:
            self._broken(f"version {version} is read after {at_least}")

    # --- End -----------------------------------------------------------------

    def finish(self) -> None:
        """Checks what can be known only at the end."""
        for name, job in self._jobs.items():
            if job.refused() and name in self._started_jobs:
                self._broken(f"{name} was refused each time and ran")
        for name in self.open_jobs():
            self._broken(f"accepted {name} was never done")

    def _broken(self, text: str) -> None:
        self.violations.append(text)
