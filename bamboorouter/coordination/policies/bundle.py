"""The policies of a control group, together."""

import dataclasses

from bamboorouter.coordination.policies import blame
from bamboorouter.coordination.policies import eviction
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
        sizes: How large a task is assumed to be.
        interference: Which batch classes slow which services down.
        eviction: Which batch task gives way.
        blame: Which job or worker is at fault for failures.
    """

    order: task_order.TaskOrder
    placement: placement.Placement
    sizes: sizes.Sizes
    interference: interference.Interference
    eviction: eviction.Eviction
    blame: blame.Blame


def product() -> Policies:
    """Returns the product's policies."""
    return Policies(
        order=task_order.FairOrder(),
        placement=placement.SpreadPlacement(),
        sizes=sizes.LearnedSizes(),
        interference=interference.LearnedInterference(),
        eviction=eviction.LeastLossEviction(),
        blame=blame.WitnessBlame(),
    )


def plain() -> Policies:
    """Returns the plain baseline that measurements compare with."""
    return Policies(
        order=task_order.SubmissionOrder(),
        placement=placement.FewestTasksPlacement(),
        sizes=sizes.DeclaredSizes(),
        interference=interference.NoInterference(),
        eviction=eviction.LastStartedEviction(),
        blame=blame.CountBlame(),
    )


def by_name(name: str) -> Policies:
    """Returns the policies that the settings name."""
    return plain() if name == "plain" else product()
