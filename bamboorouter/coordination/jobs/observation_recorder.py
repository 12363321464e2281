"""Keeps what a leader has learned for the leaders after it.

The progress of runs and what images do to each other are known from reports
and would be lost with the leader. What has changed is committed once in a
period; a new leader takes over what was committed before its term.
"""

import itertools
from typing import Final

from bamboorouter import clock
from bamboorouter.coordination.jobs import job_proposals
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs

# Runs save their progress each half second; reports come each second. What is
# learned within a period may be lost.
RECORD_PERIOD_MS: Final = 1000
# Keeps one command well below the size of a log entry.
PAIRS_AT_ONCE: Final = 256


class ObservationRecorder:
    """What one leader records, and takes over from earlier ones.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        table: Workers by their reports.
        interference: Which images disturb which.
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
        self._recorded_ms = 0
        self._recalled_term = 0

    def recall(self) -> None:
        """Takes over, once in a term, what earlier leaders have learned."""
        term = self.log.term()
        if term != self._recalled_term:
            self._recalled_term = term
            self.interference.restore(self.log.machine.stepped.disturbances)

    async def record(self) -> None:
        """Commits what has changed, at most once in a period.

        Raises:
            RouterError: It isn't known to be committed.
        """
        now = self.clock.now()
        if now - self._recorded_ms < RECORD_PERIOD_MS:
            return
        self._recorded_ms = now
        checkpoints = self._newer_checkpoints()
        if checkpoints:
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

    def _changed_disturbances(self) -> tuple[jobs.Disturbance, ...]:
        changed = self.interference.changed_since(
            self.log.machine.stepped.disturbances
        )
        return tuple(
            jobs.Disturbance(serving=serving, filling=filling, weight=weight)
            for (serving, filling), weight in itertools.islice(
                changed.items(), PAIRS_AT_ONCE
            )
        )
