"""Finds jobs and workers at fault and decides what follows.

A job at fault, or one larger than any worker, is given up. A worker at fault
is quarantined for 60 s, doubled each time up to 15 min. Afterwards it gets one
task as a probe: if that fails, the next quarantine follows; if it finishes, or
a service runs on it for a while, the worker is as good as any other.
"""

from typing import Final

from bamboorouter import clock
from bamboorouter import error_texts
from bamboorouter.coordination.policies import fault_attribution
from bamboorouter.coordination.scheduling import assignment_planner
from bamboorouter.coordination.scheduling import leases
from bamboorouter.protocol import commands
from bamboorouter.state import assignments
from bamboorouter.state import machine

QUARANTINE_MS: Final = 60_000
MAX_QUARANTINE_MS: Final = 15 * 60_000
# A service that ran this long on a worker after a quarantine proves it.
SERVICE_PROBE_MS: Final = 30_000
# A site's largest workers may be heard last.
WORKERS_KNOWN_MS: Final = 10_000


class Faults:
    """Judges after each end of a batch task.

    Attributes:
        policy: The fault attribution policy.
        planner: Told about failures on workers.
        leases: Leases, which know the worker of an ended assignment.
        registered_at: Monotonic time in ms of the last new worker.
    """

    def __init__(
        self,
        *,
        policy: fault_attribution.FaultAttribution,
        planner: assignment_planner.AssignmentPlanner,
        lease_table: leases.LeaseTable,
    ) -> None:
        self.policy = policy
        self.planner = planner
        self.leases = lease_table
        self.registered_at = 0
        # Jobs and workers with failures that were not dealt with yet.
        self._accused_jobs: set[str] = set()
        self._accused_workers: set[str] = set()
        self._judge = False
        self._failed_probes: set[str] = set()

    def take_over(self, state: machine.Machine, now: clock.Millis) -> None:
        """Starts from the failures that the replicated state remembers."""
        self.registered_at = now
        self._accused_jobs.clear()
        self._accused_workers.clear()
        self._failed_probes.clear()
        failed_on = (
            (task.row, task.failed_on)
            for task in state.assignments.tasks.values()
            if task.failed_on and task.kind == "batch"
        )
        for outcome in fault_attribution.replicated_failures(failed_on, now):
            self.policy.observe(outcome)

    def at_fault(self, task: assignments.Task) -> str:
        """Returns why a task that fails once more is not to be repeated."""
        return self.policy.task_at_fault(
            task.row, (*task.failed_on, task.worker)
        )

    def observe(
        self, command: commands.EndTask, state: machine.Machine, now: int
    ) -> None:
        """Takes note of a committed end, before its lease is dropped."""
        lease = self.leases.by_epoch.get(command.epoch)
        if lease is None or command.outcome not in (
            "finished",
            "failed",
            "given_up",
        ):
            return
        job, worker = command.task.rpartition("/")[0], lease.worker
        finished = command.outcome == "finished"
        if finished:
            del self.planner.failures[worker]
        else:
            self._accuse(job, worker, state)
        if job in state.plan.jobs:
            self.policy.observe(
                fault_attribution.Outcome(
                    job=job, worker=worker, finished=finished, at_ms=now
                )
            )
            self._judge = True

    def decide(
        self,
        state: machine.Machine,
        plan: assignment_planner.Plan,
        now: clock.Millis,
        wall_ms: int,
    ) -> list[commands.Command]:
        """Returns what follows from the outcomes since the last call."""
        found: list[commands.Command] = []
        judge, self._judge = self._judge, False
        if judge:
            found.extend(self._hopeless_jobs(state))
        found.extend(self._quarantines(state, judge, wall_ms))
        found.extend(self._acquittals(state, wall_ms))
        if now - self.registered_at >= WORKERS_KNOWN_MS:
            found.extend(_impossible(state, plan))
        return found

    def _accuse(self, job: str, worker: str, state: machine.Machine) -> None:
        self.planner.failures[worker] += 1
        known = state.workers.by_name.get(worker)
        if known is not None and known.quarantines:
            self._failed_probes.add(worker)
        if job in state.plan.jobs:
            self._accused_jobs.add(job)
            self._accused_workers.add(worker)

    def _hopeless_jobs(self, state: machine.Machine) -> list[commands.Command]:
        found: list[commands.Command] = []
        for job in sorted(self._accused_jobs):
            known = state.plan.jobs.get(job)
            if known is None or not known.open_tasks or known.verdict:
                self._accused_jobs.discard(job)
                continue
            reason = self.policy.job_at_fault(job)
            if reason:
                found.append(
                    commands.FailJob(
                        job=job, code=error_texts.JOB_AT_FAULT, reason=reason
                    )
                )
        return found

    def _quarantines(
        self, state: machine.Machine, judge: bool, wall_ms: int
    ) -> list[commands.Command]:
        found: list[commands.Command] = []
        probes, self._failed_probes = self._failed_probes, set()
        for name in sorted(probes | self._accused_workers):
            worker = state.workers.by_name.get(name)
            if worker is None or worker.quarantined_until_ms > wall_ms:
                continue
            reason = ""
            if name in probes:
                reason = "the probe after a quarantine failed"
            elif judge:
                reason = self.policy.worker_at_fault(name)
            if not reason:
                continue
            self.policy.clear_failures(name)
            self._accused_workers.discard(name)
            length_ms = QUARANTINE_MS << min(worker.quarantines, 8)
            found.append(
                commands.Quarantine(
                    worker=name,
                    until_ms=wall_ms + min(length_ms, MAX_QUARANTINE_MS),
                    reason=reason,
                )
            )
        return found

    def _acquittals(
        self, state: machine.Machine, wall_ms: int
    ) -> list[commands.Command]:
        """Ends the probation of workers on which a service keeps running."""
        return [
            commands.Quarantine(
                worker=worker.name, until_ms=0, reason="the probe succeeded"
            )
            for worker in state.workers.by_name.values()
            if worker.quarantines and worker.quarantined_until_ms <= wall_ms
            if any(
                task.kind == "service"
                and task.assigned_ms >= worker.quarantined_until_ms
                and wall_ms - task.assigned_ms >= SERVICE_PROBE_MS
                for task in state.assignments.worker_tasks(worker.name)
            )
        ]


def _impossible(
    state: machine.Machine, plan: assignment_planner.Plan
) -> list[commands.Command]:
    """Gives up jobs that no known worker is large enough for."""
    if not state.workers.by_name:
        return []
    return [
        commands.FailJob(
            job=item.row.name,
            code=error_texts.JOB_CANNOT_RUN,
            reason=error_texts.text_for(
                error_texts.JOB_CANNOT_RUN, job=item.row.name
            ),
        )
        for item in plan.unplaced
        if item.row.kind == "job"
        and not state.workers.can_ever_run(item.need)
        and not state.plan.jobs[item.row.name].verdict
    ]
