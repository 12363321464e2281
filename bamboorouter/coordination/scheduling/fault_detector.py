"""Detects faulty jobs and workers and decides on failures and quarantines.

A job that is at fault, or that is larger than any worker, is failed. A worker
that is at fault is quarantined for 60 s, with the time doubled for each further
quarantine up to 15 min. After a quarantine the worker is assigned one probe
task. If the probe fails, the worker is quarantined again. If the probe finishes
(the replicated state clears the quarantine), or if it is a service that keeps
running for `SERVICE_PROBE_MS`, the worker is assigned tasks like any other.
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
# A service that runs this long after a quarantine counts as a successful probe.
SERVICE_PROBE_MS: Final = 30_000
# Time without a new worker before a job counts as larger than any worker. The
# largest workers of a site may be the last ones to register.
REGISTRATION_SETTLE_MS: Final = 10_000


class FaultDetector:
    """Decides on failed jobs and quarantines from the outcomes of tasks.

    Attributes:
        policy: The fault attribution policy.
        planner: Planner whose `failures` are counted and reset here.
        leases: Leases, which hold the worker of an ended assignment.
        registered_ms: Monotonic time in ms of the last registration of a
            worker.
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
        self.registered_ms = 0
        # Jobs and workers with failures on which no decision was made yet.
        self._suspected_jobs: set[str] = set()
        self._suspected_workers: set[str] = set()
        self._new_outcomes = False
        self._failed_probes: set[str] = set()

    def take_over(self, state: machine.Machine, now: clock.Millis) -> None:
        """Starts with the failures in the replicated state as a new leader.

        The policy observes each of them as if it happened now.

        Args:
            state: The replicated state.
            now: Monotonic time in ms.
        """
        self.registered_ms = now
        self._suspected_jobs.clear()
        self._suspected_workers.clear()
        self._failed_probes.clear()
        failed_on = (
            (task.row, task.failed_on)
            for task in state.assignments.tasks.values()
            if task.failed_on and task.kind == "batch"
        )
        for outcome in fault_attribution.replicated_failures(failed_on, now):
            self.policy.observe(outcome)

    def no_retry_reason(self, task: assignments.Task) -> str:
        """Returns why a task must not be retried if it fails on its worker.

        Empty if it may be retried.
        """
        return self.policy.task_at_fault(
            task.row, (*task.failed_on, task.worker)
        )

    def observe(
        self, command: commands.EndTask, state: machine.Machine, now: int
    ) -> None:
        """Records the committed end of a task, before its lease is dropped.

        Args:
            command: The committed command.
            state: The replicated state.
            now: Monotonic time in ms.
        """
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
        elif command.crash is None:
            self._record_failure(job, worker, state)
        else:
            # The worker isn't to blame for a task that crashes it.
            self._suspected_jobs.add(job)
        if job in state.plan.jobs:
            self.policy.observe(
                fault_attribution.Outcome(
                    job=job, worker=worker, finished=finished, at_ms=now
                )
            )
            self._new_outcomes = True

    def decide(
        self,
        state: machine.Machine,
        plan: assignment_planner.Plan,
        now: clock.Millis,
        wall_ms: int,
    ) -> list[commands.Command]:
        """Returns the commands that follow from outcomes since the last call.

        Args:
            state: The replicated state.
            plan: Result of the current pass.
            now: Monotonic time in ms.
            wall_ms: Wall time in ms.
        """
        decisions: list[commands.Command] = []
        new_outcomes, self._new_outcomes = self._new_outcomes, False
        if new_outcomes:
            decisions.extend(self._failed_jobs(state))
        decisions.extend(self._quarantines(state, new_outcomes, wall_ms))
        decisions.extend(self._successful_probes(state, now, wall_ms))
        if now - self.registered_ms >= REGISTRATION_SETTLE_MS:
            decisions.extend(_oversized_jobs(state, plan))
        return decisions

    def _record_failure(
        self, job: str, worker: str, state: machine.Machine
    ) -> None:
        self.planner.failures[worker] += 1
        registered = state.workers.by_name.get(worker)
        if registered is not None and registered.quarantines:
            self._failed_probes.add(worker)
        if job in state.plan.jobs:
            self._suspected_jobs.add(job)
            self._suspected_workers.add(worker)

    def _failed_jobs(self, state: machine.Machine) -> list[commands.Command]:
        failures: list[commands.Command] = []
        for job in sorted(self._suspected_jobs):
            job_state = state.plan.jobs.get(job)
            if (
                job_state is None
                or not job_state.open_tasks
                or job_state.verdict
            ):
                self._suspected_jobs.discard(job)
                continue
            reason = self.policy.job_at_fault(job)
            if reason:
                failures.append(
                    commands.FailJob(
                        job=job, code=error_texts.JOB_AT_FAULT, reason=reason
                    )
                )
        return failures

    def _quarantines(
        self, state: machine.Machine, new_outcomes: bool, wall_ms: int
    ) -> list[commands.Command]:
        quarantines: list[commands.Command] = []
        probes, self._failed_probes = self._failed_probes, set()
        for name in sorted(probes | self._suspected_workers):
            worker = state.workers.by_name.get(name)
            if worker is None or worker.quarantined_until_ms > wall_ms:
                continue
            reason = ""
            if name in probes:
                reason = "the probe after a quarantine failed"
            elif new_outcomes:
                reason = self.policy.worker_at_fault(name)
            if not reason:
                continue
            self.policy.clear_failures(name)
            self._suspected_workers.discard(name)
            duration_ms = QUARANTINE_MS << min(worker.quarantines, 8)
            quarantines.append(
                commands.Quarantine(
                    worker=name,
                    until_ms=wall_ms + min(duration_ms, MAX_QUARANTINE_MS),
                    reason=reason,
                )
            )
        return quarantines

    def _successful_probes(
        self, state: machine.Machine, now: clock.Millis, wall_ms: int
    ) -> list[commands.Command]:
        """Returns commands that clear quarantines after a service probe.

        An assigned service that its worker never begins proves nothing.
        """
        return [
            commands.Quarantine(
                worker=worker.name, until_ms=0, reason="the probe succeeded"
            )
            for worker in state.workers.by_name.values()
            if worker.quarantines and worker.quarantined_until_ms <= wall_ms
            if any(
                task.kind == "service"
                and task.assigned_ms >= worker.quarantined_until_ms
                and (lease := self.leases.by_epoch.get(task.epoch)) is not None
                and lease.begun_ms is not None
                and now - lease.begun_ms >= SERVICE_PROBE_MS
                for task in state.assignments.worker_tasks(worker.name)
            )
        ]


def _oversized_jobs(
    state: machine.Machine, plan: assignment_planner.Plan
) -> list[commands.Command]:
    """Returns commands that fail jobs larger than any known worker."""
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
