"""Finds the tasks of the sheet under which a worker crashed.

The leader knows that a worker crashed under a run in two ways:

* Another incarnation of the agent reports, and the worker no longer lists the
  run. Workers list each run until it is acknowledged, also while no agent runs,
  so an agent that is restarted while its tasks go on finds them again.
* The agent reports that the worker has dropped a run whose start it had
  confirmed.

It isn't a crash if the worker was drained or its agent was leaving. Silence, an
expired lease and an incarnation that this leader hasn't heard of prove nothing.
If the lease of a run had expired before its worker was back, its crash counts
late.

Everything that ran there is a suspect; `crash_attribution` decides which batch
tasks are given up. A service never is.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import msgspec

from bamboorouter import clock
from bamboorouter.coordination.policies import crash_attribution
from bamboorouter.coordination.scheduling import leases
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import assignments
from bamboorouter.state import machine
from bamboorouter.state import sheet_crashes


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashedRun:
    """A run that was on a worker when it crashed.

    Attributes:
        task: The task with this crash counted; a copy.
        epoch: Epoch of the run.
        crash: The crash.
    """

    task: assignments.Task
    epoch: int
    crash: commands.TaskCrash

    def suspect(self) -> crash_attribution.Suspect:
        """Returns the inputs of the decision on the task."""
        return crash_attribution.Suspect(
            task=self.task.task,
            batch=self.task.kind == "batch",
            ages_ms=self.task.crash_ages_ms,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """What a heartbeat tells about crashes of its worker.

    Attributes:
        heartbeat: The heartbeat.
        former: The incarnation that its incarnation replaced, if known.
        replaced_now: Whether this heartbeat replaced that incarnation.
        state: The replicated state.
        leases: Leases by epoch.
        attribution: Decides which tasks are given up.
        now: Monotonic time in ms.
        wall_ms: Wall time in ms since the epoch.
    """

    heartbeat: messages.Heartbeat
    former: worker_registry.FormerIncarnation | None
    replaced_now: bool
    state: machine.Machine
    leases: Mapping[int, leases.Lease]
    attribution: crash_attribution.CrashAttribution
    now: clock.Millis
    wall_ms: int

    def added_to(
        self, changes: Iterable[commands.Command]
    ) -> list[commands.Command]:
        """Returns commands with the crashes that they are evidence of.

        Args:
            changes: Commands that follow from the heartbeat.

        Returns:
            The commands, and those that count crashes under expired runs.
        """
        proposed = list(changes)
        if self.heartbeat.worker in self.state.workers.drains:
            return proposed
        runs = {
            run.epoch: run
            for command in proposed
            if isinstance(command, commands.EndTask)
            and (run := self._crashed_run(command)) is not None
        }
        late: list[CrashedRun] = []
        if self.replaced_now and self.heartbeat.worker_ready:
            late = self._late_runs()
        if not runs and not late:
            return proposed
        given_up = self.attribution.given_up(
            (run.suspect() for run in (*runs.values(), *late)), self.now
        )
        return [
            *(self._counted(command, runs, given_up) for command in proposed),
            *map(self._late_command, late),
        ]

    def _crashed_run(self, command: commands.EndTask) -> CrashedRun | None:
        """Returns the live run that a crash has ended; None if none has."""
        task = self.state.assignments.tasks.get(command.task)
        lease = self.leases.get(command.epoch)
        if task is None or task.epoch != command.epoch or lease is None:
            return None
        if command.outcome == "stopped":
            dropped = command.detail == common.LOST_BY_WORKER
            if not dropped or task.stopping or self.heartbeat.leaving:
                return None
            crash = self._crash_at(task.assigned_ms, self.wall_ms, True)
            return _crashed_run(task, task.epoch, crash)
        if command.outcome != "lost" or not self._former_crashed():
            return None
        assert self.former is not None
        incarnation = self.former.heartbeat.incarnation
        confirmed = lease.reported_by == incarnation
        ordered = (
            not lease.reported
            and lease.start_heartbeat is not None
            and lease.start_heartbeat[0] == incarnation
        )
        if not confirmed and not ordered:
            return None
        crash = self._crash_at(
            task.assigned_ms, self._former_wall_ms(), confirmed
        )
        return _crashed_run(task, task.epoch, crash)

    def _late_runs(self) -> list[CrashedRun]:
        """Returns the runs on the worker whose leases had expired."""
        if self.former is None or not self._former_crashed():
            return []
        over_ms = self._former_wall_ms()
        running = {
            (listed.task, listed.epoch)
            for listed in self.former.heartbeat.tasks
            if listed.state == "running"
        }
        listed = {(held.task, held.epoch) for held in self.heartbeat.tasks}
        found: list[CrashedRun] = []
        for task in self.state.assignments.tasks.values():
            for run in task.expired:
                confirmed = (task.task, run.epoch) in running
                # A run that wasn't reported was ordered to start by the last
                # answer, or isn't one of the former incarnation.
                ordered_last = (
                    over_ms - run.assigned_ms <= sheet_crashes.EARLY_CRASH_MS
                )
                if (
                    run.worker == self.heartbeat.worker
                    and (task.task, run.epoch) not in listed
                    and (confirmed or ordered_last)
                ):
                    crash = self._crash_at(run.assigned_ms, over_ms, confirmed)
                    found.append(_crashed_run(task, run.epoch, crash))
        return found

    def _former_crashed(self) -> bool:
        return self.former is not None and not self.former.heartbeat.leaving

    def _former_wall_ms(self) -> int:
        """Returns the wall time of the last contact before the crash."""
        assert self.former is not None
        return self.wall_ms - (self.now - self.former.received_ms)

    def _crash_at(
        self, assigned_ms: int, over_ms: int, confirmed: bool
    ) -> commands.TaskCrash:
        return commands.TaskCrash(
            age_ms=max(0, over_ms - assigned_ms), confirmed=confirmed
        )

    def _counted(
        self,
        command: commands.Command,
        runs: Mapping[int, CrashedRun],
        given_up: set[str],
    ) -> commands.Command:
        """Returns a command with the crash that it is evidence of, if any."""
        if not isinstance(command, commands.EndTask):
            return command
        run = runs.get(command.epoch)
        if run is None:
            return command
        text = self._text(run)
        outcome = command.outcome
        if command.task in given_up and not run.task.stopping:
            outcome, text = "given_up", f"crashes its workers: {text}"
        return msgspec.structs.replace(
            command, outcome=outcome, detail=text, crash=run.crash
        )

    def _text(self, run: CrashedRun) -> str:
        return (
            f"{self.heartbeat.worker} crashed under it; crashes:"
            f" {run.task.crashes}"
        )

    def _late_command(self, run: CrashedRun) -> commands.EndTask:
        return commands.EndTask(
            task=run.task.task,
            epoch=run.epoch,
            outcome="crashed",
            detail=self._text(run),
            crash=run.crash,
        )


def _crashed_run(
    task: assignments.Task, epoch: int, crash: commands.TaskCrash
) -> CrashedRun:
    counted = msgspec.structs.replace(task)
    sheet_crashes.count(counted, crash)
    return CrashedRun(task=counted, epoch=epoch, crash=crash)
