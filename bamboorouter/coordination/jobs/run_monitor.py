"""What the leader remembers about runs, to decide on later ones.

Nothing of it is replicated: a new leader starts without it and learns anew
within seconds.
"""

import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.coordination.policies import worker_health
from bamboorouter.coordination.policies import worker_speed
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

# A run at this speed or less for so long is moved: its restart costs 0.1 s,
# and a serving task's load swings over many seconds.
SLOW_PACE_PERCENT: Final = 25
MIN_SLOW_MS: Final = 1500
# A task that was already started more often stays where it is.
MAX_RESCUED_ATTEMPT: Final = 2
# A rejected start is tried again after a pause that doubles each time; the
# longest stays below the 3 s for which a task may wait beside free room.
REJECTION_BACKOFF_MS: Final = 100
MAX_REJECTION_BACKOFF_MS: Final = 1600
# A job with ready tasks may have nothing running for 3 s while there is room.
OVERDUE_MS: Final = 1500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Rejection:
    """Starts of a task that workers rejected in a row.

    Attributes:
        count: How many there were.
        until_ms: Until when it isn't tried again.
    """

    count: int
    until_ms: int


class RunMonitor:
    """Failures, rejections, delays and speeds of runs.

    Attributes:
        clock: Source of time.
        failed_on: Workers on which a task failed, by task.
        slow_workers: Workers on which work goes on far too slowly.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self.reset()

    def reset(self) -> None:
        """Forgets everything, as at the start of a leadership."""
        self.failed_on: dict[jobs.TaskRef, frozenset[str]] = {}
        self.slow_workers: frozenset[str] = frozenset()
        self._health = worker_health.WorkerHealth()
        self._rejections: dict[jobs.TaskRef, _Rejection] = {}
        self._assigned_ms: dict[jobs.RunKey, int] = {}
        self._progress: dict[
            str, dict[jobs.RunKey, worker_speed.RunProgress]
        ] = {}
        self._slowness: dict[str, float] = {}
        self._slowed_ms: dict[str, dict[jobs.RunKey, int]] = {}
        self._idle_ms: dict[str, int] = {}

    # --- What happens --------------------------------------------------------

    def assigned(self, run: jobs.RunStart) -> None:
        """Takes note of an assignment."""
        self._assigned_ms[run.task, run.attempt] = self.clock.now()

    def ended(self, end: jobs.RunEnd, worker: str) -> None:
        """Takes note of an end."""
        now = self.clock.now()
        self._assigned_ms.pop((end.task, end.attempt), None)
        if end.how == "rejected":
            self._note_rejection(end.task, now)
        if end.how not in ("done", "failed"):
            return
        failed = end.how == "failed"
        self._rejections.pop(end.task, None)
        if failed:
            others = self.failed_on.get(end.task, frozenset())
            self.failed_on[end.task] = others | {worker}
        else:
            self.failed_on.pop(end.task, None)
        if self._health.ended(
            worker=worker, job=end.task.job, failed=failed, now=now
        ):
            events.log(events.WORKER_SHUNNED, worker=worker)

    def reported(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> None:
        """Takes note of how fast runs go on."""
        progress = self._progress_of(report, state)
        self._progress[report.worker] = progress
        slowness = worker_speed.slowness(progress.values())
        self._slowness.pop(report.worker, None)
        if slowness is not None:
            self._slowness[report.worker] = slowness
        slow = worker_speed.slow_workers(self._slowness)
        for worker in slow - self.slow_workers:
            events.log(
                events.WORKER_SLOW,
                worker=worker,
                slowness=round(self._slowness[worker], 1),
                workers=len(self._slowness),
            )
        self.slow_workers = slow

    # --- What follows from it ------------------------------------------------

    def avoided(self, worker: str) -> bool:
        """Whether a worker gets work only for want of other workers."""
        shunned = self._health.shunned(worker, self.clock.now())
        return shunned or worker in self.slow_workers

    def in_backoff(self, task: jobs.TaskRef) -> bool:
        """Whether a task waits because its starts were rejected."""
        rejection = self._rejections.get(task)
        return rejection is not None and self.clock.now() < rejection.until_ms

    def overdue_jobs(self, state: stepped_jobs.SteppedJobs) -> frozenset[str]:
        """Returns active jobs that have had nothing running for long."""
        now = self.clock.now()
        running = {
            ref.job for tasks in state.on_worker.values() for ref in tasks
        }
        self._idle_ms = {
            job_id: self._idle_ms.get(job_id, now)
            for job_id, job in state.jobs.items()
            if job.active() and job_id not in running
        }
        return frozenset(
            job_id
            for job_id, since in self._idle_ms.items()
            if now - since >= OVERDUE_MS
        )

    def runs_to_move(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns runs of a worker that get on faster elsewhere."""
        moved = self._rescued(report, state) | self._slowed(report, state)
        # The rest of a gang would have to start anew.
        return {key for key in moved if not state.step(key[0]).gang}

    def _rescued(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns runs that hardly get on because their worker is slow."""
        if report.worker not in self.slow_workers:
            return set()
        return {
            key
            for key, run in self._progress.get(report.worker, {}).items()
            if run.age_ms >= worker_speed.LEAST_AGE_MS
            and run.progress < worker_speed.RESCUE_PROGRESS
            and run.slowness() > worker_speed.SLOW_FACTOR
            and key[1] <= MAX_RESCUED_ATTEMPT
        }

    def _slowed(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns runs that were slowed for long and can go on elsewhere."""
        now = self.clock.now()
        slowed = {
            (run.task, run.attempt)
            for run in report.runs
            if run.running and run.pace <= SLOW_PACE_PERCENT
        }
        before = self._slowed_ms.get(report.worker, {})
        since = {key: before.get(key, now) for key in slowed}
        self._slowed_ms[report.worker] = since
        return {
            key
            for key, began in since.items()
            if now - began >= MIN_SLOW_MS
            and state.task(key[0]) is not None
            and state.step(key[0]).checkpoints
        }

    def _progress_of(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> dict[jobs.RunKey, worker_speed.RunProgress]:
        """Returns the runs whose speed tells about their worker's.

        An agent that was frozen tells what it saw before; its runs got on
        meanwhile.
        """
        seen_ms = self.clock.now() - report.view_age_ms
        found = {}
        for run in report.runs:
            key = (run.task, run.attempt)
            assigned = self._assigned_ms.get(key)
            if assigned is None or state.task(run.task) is None:
                continue
            step = state.step(run.task)
            if not step.fills and not step.lasting:
                found[key] = worker_speed.RunProgress(
                    age_ms=seen_ms - assigned,
                    progress=run.progress,
                    estimate_ms=step.estimate_ms,
                )
        return found

    def _note_rejection(self, task: jobs.TaskRef, now: int) -> None:
        before = self._rejections.get(task)
        count = 1 if before is None else before.count + 1
        pause_ms = REJECTION_BACKOFF_MS * 2 ** (count - 1)
        self._rejections[task] = _Rejection(
            count=count, until_ms=now + min(pause_ms, MAX_REJECTION_BACKOFF_MS)
        )
