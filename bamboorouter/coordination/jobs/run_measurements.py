"""What workers measured of their runs, and what was learned from it.

Each figure covers half a second. Reports come more often, so a worker's figures
are compared once for each such period.
"""

import dataclasses
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

PERIOD_MS: Final = 500
# Figures further apart differ by more than what fills beside them.
COMPARABLE_MS: Final = 1600
FULL_PROGRESS: Final = 100
# Weight of a new estimate of a task's own utilization.
SMOOTHING: Final = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WorkerFigures:
    taken_ms: int
    serving: dict[jobs.TaskRef, image_interference.Figure]


class RunMeasurements:
    """Figures of all workers.

    Attributes:
        interference: Learns from them.
    """

    def __init__(
        self, *, interference: image_interference.ImageInterference
    ) -> None:
        self.interference = interference
        self._newest: dict[str, _WorkerFigures] = {}
        self._own: dict[jobs.TaskRef, float] = {}

    def reset(self) -> None:
        """Forgets figures, not what was learned about images."""
        self._newest.clear()
        self._own.clear()

    def note(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
        now: int,
    ) -> None:
        """Takes the figures of a report."""
        before = self._newest.get(report.worker)
        if before is not None and now - before.taken_ms < PERIOD_MS:
            return
        figures = _figures(report, state)
        self._newest[report.worker] = _WorkerFigures(
            taken_ms=now, serving=figures
        )
        if before is not None and now - before.taken_ms <= COMPARABLE_MS:
            for ref in figures.keys() & before.serving.keys():
                self.interference.note(before.serving[ref], figures[ref])
        for ref, figure in figures.items():
            self._note_own(ref, figure)

    def own(self, ref: jobs.TaskRef) -> float:
        """Returns the utilization of a serving task without its neighbours."""
        return self._own.get(ref, image_interference.USUAL_OWN)

    def weights(self, worker: str) -> tuple[jobs.Disturbance, ...]:
        """Returns what is known about the images on a worker."""
        newest = self._newest.get(worker)
        if newest is None:
            return ()
        pairs = {
            (figure.image, filling)
            for figure in newest.serving.values()
            for filling in figure.loads
        }
        return tuple(
            jobs.Disturbance(
                serving=serving,
                filling=filling,
                weight=round(self.interference.weight(serving, filling), 3),
            )
            for serving, filling in sorted(pairs)
        )

    def _note_own(
        self, ref: jobs.TaskRef, figure: image_interference.Figure
    ) -> None:
        added = self.interference.added(figure.image, figure.loads)
        own = max(0.0, figure.utilization - added)
        # What is known about the usual load keeps one figure from counting
        # too much.
        self._own[ref] = self.own(ref) + SMOOTHING * (own - self.own(ref))


def _figures(
    report: job_messages.WorkerReport, state: stepped_jobs.SteppedJobs
) -> dict[jobs.TaskRef, image_interference.Figure]:
    """Returns the figures of serving runs that are at work."""
    loads: dict[str, float] = {}
    serving: dict[jobs.TaskRef, tuple[str, float]] = {}
    for run in report.runs:
        if not run.running or state.task(run.task) is None:
            continue
        step = state.step(run.task)
        if step.fills:
            units = image_interference.load_units(
                run.figure, report.room.millicores
            )
            loads[step.image] = loads.get(step.image, 0.0) + units
        elif step.target_ms and run.progress >= FULL_PROGRESS and run.figure:
            serving[run.task] = (
                step.image,
                image_interference.utilization(run.figure, step.target_ms),
            )
    return {
        ref: image_interference.Figure(
            image=image, utilization=utilization, loads=loads
        )
        for ref, (image, utilization) in serving.items()
    }
