"""Tracks failures, rejections and the speed of runs for later decisions.

The state isn't replicated; a new leader collects it again within seconds.
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

# A run that has been throttled to this pace or below for `MIN_SLOW_MS` is moved
# to another worker. A restart costs 0.1 s, whereas the load of the serving task
# that causes the throttling changes over many seconds.
SLOW_PACE_PERCENT: Final = 25
MIN_SLOW_MS: Final = 1500
# Runs with a higher attempt number aren't moved off slow workers.
MAX_STRAGGLER_ATTEMPT: Final = 2
# Exponential backoff after a rejected start. The maximum stays below the 3 s
# for which a task may wait while there is free capacity.
REJECTION_BACKOFF_MS: Final = 100
MAX_REJECTION_BACKOFF_MS: Final = 1600
# A job without a run counts as overdue after this time. While there is free
# capacity, a job with ready tasks must not be without a run for more than 3 s.
OVERDUE_MS: Final = 1500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Rejection:
    """Backoff of a task after consecutive rejected starts.

    Attributes:
        count: Number of consecutive rejections.
        until_ms: Monotonic time in ms before which the task isn't started.
    """

    count: int
    until_ms: int


class RunMonitor:
    """Failures, rejections, idle times and speeds of runs.

    Attributes:
        clock: Source of time.
        failed_on: Workers on which a task failed, by task.
        slow_workers: Workers whose runs are stragglers.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self.reset()

    def reset(self) -> None:
        """Discards all observations, as after an election."""
        self.failed_on: dict[jobs.TaskRef, frozenset[str]] = {}
        self.slow_workers: frozenset[str] = frozenset()
        self._health = worker_health.WorkerHealth()
        self._rejections: dict[jobs.TaskRef, _Rejection] = {}
        self._assigned_ms: dict[jobs.RunKey, int] = {}
        self._progress: dict[
            str, dict[jobs.RunKey, worker_speed.RunProgress]
        ] = {}
        self._slowness: dict[str, float] = {}
        self._throttled_since_ms: dict[str, dict[jobs.RunKey, int]] = {}
        self._idle_since_ms: dict[str, int] = {}

    # --- Observations --------------------------------------------------------

    def record_assignment(self, run: jobs.RunStart) -> None:
        """Records the time of an assignment."""
        self._assigned_ms[run.task, run.attempt] = self.clock.now()

    def record_end(self, end: jobs.RunEnd, worker: str) -> None:
        """Records how a run on a worker ended."""
        now = self.clock.now()
        self._assigned_ms.pop((end.task, end.attempt), None)
        if end.how == "rejected":
            self._record_rejection(end.task, now)
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

    def record_report(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> None:
        """Updates the speeds of runs and workers from a report."""
        progress = self._progress_by_run(report, state)
        self._progress[report.worker] = progress
        slowness = worker_speed.median_slowness(progress.values())
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

    # --- Decisions -----------------------------------------------------------

    def is_avoided(self, worker: str) -> bool:
        """Whether a worker gets runs only if no other worker suits."""
        failing = self._health.ejected(worker, self.clock.now())
        return failing or worker in self.slow_workers

    def in_backoff(self, task: jobs.TaskRef) -> bool:
        """Whether a task isn't started yet after a rejected start."""
        rejection = self._rejections.get(task)
        return rejection is not None and self.clock.now() < rejection.until_ms

    def overdue_jobs(self, state: stepped_jobs.SteppedJobs) -> frozenset[str]:
        """Returns the active jobs without a run for at least `OVERDUE_MS`."""
        now = self.clock.now()
        running = {
            ref.job for tasks in state.on_worker.values() for ref in tasks
        }
        self._idle_since_ms = {
            job_id: self._idle_since_ms.get(job_id, now)
            for job_id, job in state.jobs.items()
            if job.active() and job_id not in running
        }
        return frozenset(
            job_id
            for job_id, since in self._idle_since_ms.items()
            if now - since >= OVERDUE_MS
        )

    def runs_to_move(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns the runs of a worker that should move to another worker."""
        to_move = self._stragglers(report, state) | self._throttled_runs(
            report, state
        )
        # Moving one run of a gang would restart the whole gang.
        return {key for key in to_move if not state.step(key[0]).gang}

    def _stragglers(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns the stragglers on a slow worker that are to be restarted."""
        if report.worker not in self.slow_workers:
            return set()
        return {
            key
            for key, run in self._progress.get(report.worker, {}).items()
            if run.age_ms >= worker_speed.MIN_AGE_MS
            and run.progress < worker_speed.RESTART_BELOW_PERCENT
            and run.slowness() > worker_speed.SLOW_FACTOR
            and key[1] <= MAX_STRAGGLER_ATTEMPT
        }

    def _throttled_runs(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> set[jobs.RunKey]:
        """Returns the long-throttled runs that can resume from a checkpoint."""
        now = self.clock.now()
        throttled = {
            (run.task, run.attempt)
            for run in report.runs
            if run.running and run.pace <= SLOW_PACE_PERCENT
        }
        before = self._throttled_since_ms.get(report.worker, {})
        since = {key: before.get(key, now) for key in throttled}
        self._throttled_since_ms[report.worker] = since
        return {
            key
            for key, began in since.items()
            if now - began >= MIN_SLOW_MS
            and state.task(key[0]) is not None
            and state.step(key[0]).checkpoints
        }

    def _progress_by_run(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
    ) -> dict[jobs.RunKey, worker_speed.RunProgress]:
        """Returns the progress of the runs that indicate their worker's speed.

        The age of a run is measured at the time of the agent's observation,
        which is older than the report if the agent was suspended meanwhile.
        Best-effort and long-running tasks are left out.
        """
        observed_ms = self.clock.now() - report.view_age_ms
        progress_by_run = {}
        for run in report.runs:
            key = (run.task, run.attempt)
            assigned = self._assigned_ms.get(key)
            if assigned is None or state.task(run.task) is None:
                continue
            step = state.step(run.task)
            if not step.fills and not step.lasting:
                progress_by_run[key] = worker_speed.RunProgress(
                    age_ms=observed_ms - assigned,
                    progress=run.progress,
                    estimate_ms=step.estimate_ms,
                )
        return progress_by_run

    def _record_rejection(self, task: jobs.TaskRef, now: int) -> None:
        before = self._rejections.get(task)
        count = 1 if before is None else before.count + 1
        backoff_ms = REJECTION_BACKOFF_MS * 2 ** (count - 1)
        self._rejections[task] = _Rejection(
            count=count,
            until_ms=now + min(backoff_ms, MAX_REJECTION_BACKOFF_MS),
        )
