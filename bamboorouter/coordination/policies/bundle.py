"""Bundles the scheduling policies of a control group."""

import dataclasses

from bamboorouter.coordination.policies import eviction
from bamboorouter.coordination.policies import fault_attribution
from bamboorouter.coordination.policies import interference
from bamboorouter.coordination.policies import placement
from bamboorouter.coordination.policies import sizes
from bamboorouter.coordination.policies import task_order


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policies:
    """One policy of each kind.

    Attributes:
        order: Which waiting task is placed next.
        placement: Which worker a task is placed on.
        sizes: Which resources are reserved for a task.
        interference: Which batch classes slow which services down.
        eviction: Which batch task is throttled or evicted.
        fault_attribution: Which task, job or worker causes failures.
    """

    order: task_order.TaskOrder
    placement: placement.Placement
    sizes: sizes.Sizes
    interference: interference.Interference
    eviction: eviction.Eviction
    fault_attribution: fault_attribution.FaultAttribution


def product() -> Policies:
    """Returns the default policies."""
    return Policies(
        order=task_order.FairOrder(),
        placement=placement.SpreadPlacement(),
        sizes=sizes.LearnedSizes(),
        interference=interference.LearnedInterference(),
        eviction=eviction.LeastLossEviction(),
        fault_attribution=fault_attribution.CrossJobAttribution(),
    )


def plain() -> Policies:
    """Returns the baseline policies that benchmarks compare with."""
    return Policies(
        order=task_order.SubmissionOrder(),
        placement=placement.FewestTasksPlacement(),
        sizes=sizes.DeclaredSizes(),
        interference=interference.NoInterference(),
        eviction=eviction.LastStartedEviction(),
        fault_attribution=fault_attribution.FailureCountAttribution(),
    )


def by_name(name: str) -> Policies:
    """Returns the baseline policies for "plain", else the default ones."""
    return plain() if name == "plain" else product()
