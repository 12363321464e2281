"""Processes the latencies and processor use that workers measure for runs.

Samples are compared to estimate how much the best-effort images on a worker slow
down the serving images. The tasks of a serving step share the requests of the
same users, so their own utilizations rise and fall together: a sample is
compared with those of the same step on other workers, taken at about the same
time. A step that runs on one worker only is compared with its previous sample.
Each serving task's own utilization is estimated as well.
A measured value covers half a second. Changes are reported at once and may
follow each other faster, so a worker is sampled at most once per
`SAMPLE_PERIOD_MS`.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import statistics
from typing import Final

from bamboorouter.coordination.policies import image_interference
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from bamboorouter.state import stepped_jobs

SAMPLE_PERIOD_MS: Final = 500
# Samples further apart also differ by changes of the serving load, not only by
# the best-effort tasks on the workers.
MAX_SAMPLE_GAP_MS: Final = 1600
MAX_SIBLING_GAP_MS: Final = 800
# Progress in percent of a serving task that has started up.
FULL_PROGRESS: Final = 100
# Weight of a new sample in the moving average of a task's own utilization.
SMOOTHING: Final = 0.4


# Job, occurrence and number of a step.
_StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WorkerSample:
    """Measurements of one worker at one time.

    Attributes:
        taken_ms: Monotonic time in ms at which the report arrived.
        serving: Measurements of the running serving tasks.
        steps: Mean measurement of the tasks of each serving step.
    """

    taken_ms: int
    serving: dict[jobs.TaskRef, image_interference.UtilizationSample]
    steps: dict[_StepKey, image_interference.UtilizationSample]


class RunMeasurements:
    """Newest measurements of all workers.

    Attributes:
        interference: Learned interference, updated from the measurements.
    """

    def __init__(
        self, *, interference: image_interference.ImageInterference
    ) -> None:
        self.interference = interference
        self._newest: dict[str, _WorkerSample] = {}
        # Workers whose newest sample has measurements of a step.
        self._workers_by_step: dict[_StepKey, set[str]] = {}
        self._own_utilization: dict[jobs.TaskRef, float] = {}

    def reset(self) -> None:
        """Discards measurements; the learned interference is kept."""
        self._newest.clear()
        self._workers_by_step.clear()
        self._own_utilization.clear()

    def update(
        self,
        report: job_messages.WorkerReport,
        state: stepped_jobs.SteppedJobs,
        now: int,
    ) -> None:
        """Processes the measurements in a report.

        Args:
            report: The report.
            state: The replicated jobs.
            now: Monotonic time in ms.
        """
        before = self._newest.get(report.worker)
        if before is not None and now - before.taken_ms < SAMPLE_PERIOD_MS:
            return
        serving = _serving_measurements(report, state)
        steps = _mean_by_step(serving)
        self._replace(
            report.worker,
            _WorkerSample(taken_ms=now, serving=serving, steps=steps),
        )
        for key, sample in steps.items():
            reference = self._siblings(key, report.worker, now)
            if reference is None and before is not None:
                recent = now - before.taken_ms <= MAX_SAMPLE_GAP_MS
                reference = before.steps.get(key) if recent else None
            if reference is not None:
                self.interference.learn(reference, sample)
        for ref, measurement in serving.items():
            self._update_own_utilization(ref, measurement)

    def own_utilization(self, ref: jobs.TaskRef) -> float:
        """Returns the estimated utilization that a serving task itself causes.

        What the best-effort tasks on its worker add is subtracted.
        """
        return self._own_utilization.get(
            ref, image_interference.DEFAULT_OWN_UTILIZATION
        )

    def weights(self, worker: str) -> tuple[jobs.Disturbance, ...]:
        """Returns the interference weights of the images on a worker."""
        newest = self._newest.get(worker)
        if newest is None:
            return ()
        pairs = {
            (measurement.image, best_effort)
            for measurement in newest.serving.values()
            for best_effort in measurement.loads
        }
        return tuple(
            jobs.Disturbance(
                serving=serving,
                filling=best_effort,
                weight=round(self.interference.weight(serving, best_effort), 3),
            )
            for serving, best_effort in sorted(pairs)
        )

    def _replace(self, worker: str, sample: _WorkerSample) -> None:
        """Stores the newest sample of a worker."""
        before = self._newest.get(worker)
        for key in before.steps if before is not None else ():
            workers = self._workers_by_step[key]
            workers.discard(worker)
            if not workers:
                del self._workers_by_step[key]
        self._newest[worker] = sample
        for key in sample.steps:
            self._workers_by_step.setdefault(key, set()).add(worker)

    def _siblings(
        self, key: _StepKey, worker: str, now: int
    ) -> image_interference.UtilizationSample | None:
        """Returns the mean of a step's recent samples on other workers.

        Saturated samples are left out, because they hardly depend on the
        utilization.
        """
        samples = [
            self._newest[other].steps[key]
            for other in self._workers_by_step[key]
            if other != worker
            and now - self._newest[other].taken_ms <= MAX_SIBLING_GAP_MS
        ]
        usable = [
            sample
            for sample in samples
            if sample.utilization < image_interference.SATURATED_UTILIZATION
        ]
        return _mean(usable) if usable else None

    def _update_own_utilization(
        self,
        ref: jobs.TaskRef,
        measurement: image_interference.UtilizationSample,
    ) -> None:
        added = self.interference.added_utilization(
            measurement.image, measurement.loads
        )
        sample = max(0.0, measurement.utilization - added)
        # A moving average that starts at the default utilization, so that a
        # single noisy sample, also the first, has little effect.
        self._own_utilization[ref] = self.own_utilization(ref) + SMOOTHING * (
            sample - self.own_utilization(ref)
        )


def _mean_by_step(
    serving: Mapping[jobs.TaskRef, image_interference.UtilizationSample],
) -> dict[_StepKey, image_interference.UtilizationSample]:
    by_step: dict[_StepKey, list[image_interference.UtilizationSample]] = {}
    for ref, sample in serving.items():
        key = (ref.job, ref.occurrence, ref.step)
        by_step.setdefault(key, []).append(sample)
    return {key: _mean(samples) for key, samples in by_step.items()}


def _mean(
    samples: Sequence[image_interference.UtilizationSample],
) -> image_interference.UtilizationSample:
    """Returns the mean of samples of one image."""
    loads: dict[str, float] = {}
    for sample in samples:
        for best_effort, load in sample.loads.items():
            loads[best_effort] = loads.get(best_effort, 0.0) + load
    return image_interference.UtilizationSample(
        image=samples[0].image,
        utilization=statistics.fmean(sample.utilization for sample in samples),
        loads={
            best_effort: load / len(samples)
            for best_effort, load in loads.items()
        },
    )


def _serving_measurements(
    report: job_messages.WorkerReport, state: stepped_jobs.SteppedJobs
) -> dict[jobs.TaskRef, image_interference.UtilizationSample]:
    """Returns the measurements of serving runs that have started up."""
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
        ref: image_interference.UtilizationSample(
            image=image, utilization=utilization, loads=loads
        )
        for ref, (image, utilization) in serving.items()
    }
