"""What every job with steps keeps to, whichever way it comes in.

A job is replicated before anything of it runs, and each replica builds all of
its tasks. One that names a billion tasks would end every replica, again at each
restart; one that needs less than nothing would make room on a worker that isn't
there; one whose steps wait for themselves would never end.
"""

from typing import Final

from bamboorouter.protocol import jobs

# Tasks of a job over all its occurrences. Each costs a replica about 150 bytes,
# and 4,900 batch tasks of all jobs run at once at the target size.
MOST_TASKS: Final = 20_000
MOST_STEPS: Final = 256
# What workers run is a short text; all replicas keep it.
MOST_SPEC_CHARACTERS: Final = 64 * 1024
# Bounds every number that sums are made of: they stay exact in any language.
MOST_AMOUNT: Final = 1 << 40
# Wall time in ms at the end of the year 9999.
LATEST_MS: Final = 253_402_300_800_000


def problem(spec: jobs.JobSpec) -> str | None:
    """Returns why a job can't be taken; None if it can."""
    if len(spec.spec) > MOST_SPEC_CHARACTERS:
        return f"a spec of {len(spec.spec)} characters"
    if not 1 <= len(spec.steps) <= MOST_STEPS:
        return f"{len(spec.steps)} steps, not 1 to {MOST_STEPS}"
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f"step {number} has {step.count} tasks"
        if any(not 0 <= amount <= MOST_AMOUNT for amount in _amounts(step)):
            return f"step {number} has a number out of range"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} waits for a step that isn't before it"
    times = (spec.repeats, spec.interval_ms, spec.first_ms)
    if any(not 0 <= time <= LATEST_MS for time in times):
        return "a time or the number of occurrences is out of range"
    tasks = max(1, spec.repeats) * sum(step.count for step in spec.steps)
    if tasks > MOST_TASKS:
        return f"{tasks} tasks, at most {MOST_TASKS} are taken"
    return None


def _amounts(step: jobs.Step) -> tuple[int, ...]:
    return (
        step.need.millicores,
        step.need.memory_mb,
        step.need.accelerators,
        step.estimate_ms,
        step.max_per_worker,
        step.target_ms,
        step.max_unavailable,
    )
