"""Bundles the request policies of an entry."""

import dataclasses
import random

from bamboorouter.coordination.policies import admission
from bamboorouter.coordination.policies import concurrency
from bamboorouter.coordination.policies import fairness
from bamboorouter.coordination.policies import routing


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryPolicies:
    """One policy of each kind.

    Attributes:
        admission: Which arriving requests are refused early.
        concurrency: How many requests of a service may be in progress.
        fairness: Whose waiting request starts next.
        routing: Which upstream a request goes to.
    """

    admission: admission.AdmissionPolicy
    concurrency: concurrency.ConcurrencyPolicy
    fairness: fairness.FairnessPolicy
    routing: routing.RoutingPolicy


def product(*, zone: str) -> EntryPolicies:
    """Returns the default policies for an entry in an availability zone."""
    return EntryPolicies(
        admission=admission.EarlyRefusal(),
        concurrency=concurrency.LatencyLimit(),
        fairness=fairness.WeightedFair(),
        routing=routing.TwoChoices(zone=zone, draw=random.Random()),
    )


def plain() -> EntryPolicies:
    """Returns the baseline policies that benchmarks compare with."""
    return EntryPolicies(
        admission=admission.AdmitAll(),
        concurrency=concurrency.ConnectionLimit(),
        fairness=fairness.FirstCome(),
        routing=routing.LeastOutstanding(),
    )


def by_name(name: str, *, zone: str) -> EntryPolicies:
    """Returns the baseline policies for "plain", else the default ones."""
    return plain() if name == "plain" else product(zone=zone)
