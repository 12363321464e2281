"""Limits for jobs with steps, whichever way they are submitted.

A job is replicated before any of its tasks starts, and each replica creates all
of its tasks. Without limits, a job with a billion tasks would crash every
replica, and again at each restart; negative needs would add capacity that the
worker doesn't have; and a cycle of steps would never complete.
"""

from typing import Final

from bamboorouter.protocol import jobs
from bamboorouter.protocol import value_limits

# Limit on the tasks of a job in all its occurrences. Each task takes about 150
# bytes on a replica. At the target size, 4,900 batch tasks of all jobs run at
# the same time.
MAX_TASKS: Final = 20_000
MAX_STEPS: Final = 256
# A spec is expected to be a short text, and every replica stores it.
MAX_SPEC_CHARACTERS: Final = 64 * 1024
# Upper bound of each amount that is added up, so that sums stay exact in any
# language.
MAX_AMOUNT: Final = 1 << 40
# Wall time in ms at the end of the year 9999.
MAX_WALL_MS: Final = 253_402_300_800_000


def find_violation(spec: jobs.JobSpec) -> str | None:
    """Returns why a job violates the limits, or None if it doesn't."""
    if len(spec.spec) > MAX_SPEC_CHARACTERS:
        return f"the spec is too long: {len(spec.spec)} characters"
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        return f"{len(spec.steps)} steps; 1 to {MAX_STEPS} are allowed"
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f"step {number} has {step.count} tasks"
        if any(not 0 <= amount <= MAX_AMOUNT for amount in _amounts(step)):
            return f"step {number} has an amount out of range"
        if any(not 0 <= predecessor < number for predecessor in step.after):
            return f"step {number} depends on a step that doesn't precede it"
    times = (spec.repeats, spec.interval_ms, spec.first_ms)
    if any(not 0 <= time <= MAX_WALL_MS for time in times):
        return "a time or the number of occurrences is out of range"
    tasks = max(1, spec.repeats) * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        return f"{tasks} tasks; at most {MAX_TASKS} are allowed"
    return None


def find_excess(spec: jobs.JobSpec) -> str | None:
    """Returns why a new job is too large, or None if it isn't.

    Only checked before a job is proposed: each replica must apply a job of the
    log in the same way, and earlier versions accepted such jobs.
    """
    for number, step in enumerate(spec.steps):
        if len(step.after) > MAX_STEPS:
            return f"step {number} depends on too many steps"
        if any(
            len(text) > value_limits.MAX_NAME_CHARACTERS
            for text in (step.label, step.data_rack, step.image)
        ):
            return f"step {number} has a text that is too long"
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
