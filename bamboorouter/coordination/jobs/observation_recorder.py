"""Replicates what a leader observes, so that later leaders can use it.

Task checkpoints, which jobs have begun, the interference between images, and
the runs that clear their tasks of crashes are known only from the reports of
agents and would be lost with the leader. Changes are committed periodically,
and a new leader restores what was committed before its term.
"""

from collections.abc import Iterable
import itertools
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination.jobs import crash_survival
from bamboorouter.coordination.jobs import job_proposals
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs

# Period between commits; changes within it may be lost. Runs write a checkpoint
# every 0.5 s, and agents report every second.
RECORD_PERIOD_MS: Final = 1000
# Keeps a command well below the maximum size of a log entry.
MAX_PAIRS_PER_COMMAND: Final = 256
MAX_BATCH_BYTES: Final = 1024 * 1024
# Size of a checkpoint in a command without its value, if the ID of its job has
# the usual length.
CHECKPOINT_OVERHEAD_BYTES: Final = 64


class ObservationRecorder:
    """Commits observations, and restores interference weights.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        table: Workers that reported to this leader.
        interference: How much best-effort images slow down serving images.
        crash_survival: Ages of the runs of tasks under which workers crashed.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        table: worker_table.WorkerTable,
        interference: image_interference.ImageInterference,
    ) -> None:
        self.log = log
        self.clock = time
        self.table = table
        self.interference = interference
        self.crash_survival = crash_survival.CrashSurvival()
        self._recorded_ms = 0
        self._restored_term = 0

    def restore(self) -> None:
        """Restores, once per term, the weights committed by earlier leaders."""
        term = self.log.term()
        if term != self._restored_term:
            self._restored_term = term
            self.crash_survival.reset()
            self.interference.restore(self.log.machine.stepped.disturbances)

    async def record(self) -> None:
        """Commits changes, at most once per `RECORD_PERIOD_MS`.

        Raises:
            RouterError: The changes may not be committed.
        """
        now = self.clock.now()
        if now - self._recorded_ms < RECORD_PERIOD_MS:
            return
        self._recorded_ms = now
        cleared = self.crash_survival.survivors(
            self.table.workers.values(), self.log.machine.stepped
        )
        begun = self._begun_jobs()
        first, *others = batches(self._newer_checkpoints()) or [()]
        if first or cleared or begun:
            # In one command, because the runs of this pass wait for each commit.
            await job_proposals.propose(
                self.log,
                job_commands.NoteCheckpoints(
                    checkpoints=first, cleared=cleared, begun=begun
                ),
            )
            crash_survival.log_cleared(cleared, term=self.log.term())
        for checkpoints in others:
            await job_proposals.propose(
                self.log, job_commands.NoteCheckpoints(checkpoints=checkpoints)
            )
        disturbances = self._changed_disturbances()
        if disturbances:
            await job_proposals.propose(
                self.log,
                job_commands.NoteDisturbances(disturbances=disturbances),
            )

    def _newer_checkpoints(self) -> tuple[jobs.Checkpoint, ...]:
        state = self.log.machine.stepped
        return tuple(
            jobs.Checkpoint(
                task=run.task, attempt=run.attempt, value=run.checkpoint
            )
            for worker in self.table.workers.values()
            for run in worker.report.runs
            if run.checkpoint
            and (task := state.task(run.task)) is not None
            and task.status == "assigned"
            and task.attempt == run.attempt
            and task.checkpoint != run.checkpoint
        )

    def _begun_jobs(self) -> tuple[str, ...]:
        """Returns the jobs of which a worker lists a run for the first time."""
        state = self.log.machine.stepped
        return tuple(
            {
                run.task.job: None
                for worker in self.table.workers.values()
                for run in worker.report.runs
                if run.running
                and state.task(run.task) is not None
                and not state.jobs[run.task.job].begun
            }
        )

    def _changed_disturbances(self) -> tuple[jobs.Disturbance, ...]:
        changed = self.interference.changed_since(
            self.log.machine.stepped.disturbances
        )
        return tuple(
            jobs.Disturbance(
                serving=serving, filling=best_effort, weight=weight
            )
            for (serving, best_effort), weight in itertools.islice(
                changed.items(), MAX_PAIRS_PER_COMMAND
            )
        )


def batches(
    checkpoints: Iterable[jobs.Checkpoint],
) -> list[tuple[jobs.Checkpoint, ...]]:
    """Splits checkpoints so that each batch fits into a command.

    Otherwise a few long ones would keep those of all workers from being
    recorded.
    """
    full: list[tuple[jobs.Checkpoint, ...]] = []
    batch: list[jobs.Checkpoint] = []
    size = 0
    for checkpoint in checkpoints:
        added = len(checkpoint.value.encode()) + CHECKPOINT_OVERHEAD_BYTES
        if batch and size + added > MAX_BATCH_BYTES:
            full.append(tuple(batch))
            batch, size = [], 0
        batch.append(checkpoint)
        size += added
    return [*full, tuple(batch)] if batch else full
