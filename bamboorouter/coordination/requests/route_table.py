"""The entry's copy of services and routes.

Updates come from the leader as full copies or patches. An update with a lower
configuration revision is ignored as a whole, because it comes from a replica
that no longer leads. A patch of another route epoch is ignored and asks for a
full copy by resetting the version of the next poll.
"""

from collections.abc import Iterable
import dataclasses
from typing import Final

from bamboorouter import clock
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter.coordination.policies import routing
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

# An agent's word that an upstream leaves is newer than the leader's table for
# about a heartbeat and a poll. If it is still so after that, one more refusal
# by the agent renews it.
LEAVING_HOLD_MS: Final = 1_500


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class RouteState:
    """One route with the load that policies see."""

    route: messages.Route
    load: routing.UpstreamLoad


class RouteTable:
    """Services and routes in force at this entry.

    Attributes:
        clock: Source of time.
        revision: Configuration revision applied; 0 before the first update.
        route_epoch: Epoch of the routes held.
        route_version: Version of the routes held.
        services: Service rows by name.
        routes: Routes by upstream ID.
        confirmed: Whether a leader has answered at all.
    """

    def __init__(self, *, time: clock.Clock) -> None:
        self.clock = time
        self.revision = 0
        self.route_epoch = 0
        self.route_version = 0
        self.services: dict[str, common.SheetRow] = {}
        self.routes: dict[str, RouteState] = {}
        self.confirmed = False
        self._by_service: dict[str, list[routing.UpstreamLoad]] = {}
        self._agents: dict[str, routing.AgentLoad] = {}
        self._connections: dict[str, int] = {}

    def apply(self, update: messages.EntryUpdate) -> bool:
        """Applies an update of the leader.

        Returns:
            Whether anything of it was applied.
        """
        if update.revision < self.revision:
            events.log(
                events.STALE_UPDATE,
                offered=update.revision,
                applied=self.revision,
            )
            return False
        if update.services is None and update.revision != self.revision:
            # Without its services the new revision can't be in force here.
            return False
        if update.services is not None:
            self.services = {row.name: row for row in update.services}
        self.revision = update.revision
        self.confirmed = True
        metrics.APPLIED_REVISION.set(self.revision)
        self._apply_routes(update)
        return True

    def loads(self, service: str) -> list[routing.UpstreamLoad]:
        """Returns the loads of all upstreams of a service."""
        return self._by_service.get(service, [])

    def connections(self, service: str = "") -> int:
        """Returns the connections of a service's agents, or of all agents."""
        return self._connections.get(service, 0)

    def agent_load(self, address: str) -> routing.AgentLoad | None:
        """Returns the load of the agent at an address."""
        return self._agents.get(address)

    def mark_leaving(self, agent: str, upstreams: Iterable[str]) -> None:
        """Takes over which upstreams of an agent take no new work.

        Args:
            agent: Address of the agent.
            upstreams: IDs of all its upstreams that are leaving.
        """
        leaving = set(upstreams)
        until = self.clock.now() + LEAVING_HOLD_MS
        for upstream, state in self.routes.items():
            if state.route.agent == agent:
                state.load.refused_until_ms = (
                    until if upstream in leaving else 0
                )

    def _apply_routes(self, update: messages.EntryUpdate) -> None:
        same_epoch = update.route_epoch == self.route_epoch
        if not update.full and not same_epoch:
            self.route_version = 0
            self.route_epoch = 0
            return
        oldest = self.route_version if update.full else self.route_version + 1
        if same_epoch and update.route_version < oldest:
            return
        removed = set(update.removed)
        if update.full:
            removed |= set(self.routes) - {r.upstream for r in update.routes}
        for upstream in removed:
            self.routes.pop(upstream, None)
        for route in update.routes:
            self._put(route)
        self.route_epoch = update.route_epoch
        self.route_version = update.route_version
        self._index()

    def _put(self, route: messages.Route) -> None:
        agent = self._agents.setdefault(
            route.agent, routing.AgentLoad(connections=route.connections)
        )
        agent.connections = route.connections
        state = self.routes.get(route.upstream)
        if state is None or state.route.agent != route.agent:
            load = routing.UpstreamLoad(
                upstream=route.upstream,
                zone=route.zone,
                agent=agent,
                latency_ms=route.latency_ms,
            )
            state = RouteState(route=route, load=load)
            self.routes[route.upstream] = state
        state.route = route
        state.load.zone = route.zone
        state.load.leaving = route.leaving
        state.load.reported = route.in_progress

    def _index(self) -> None:
        by_service: dict[str, list[routing.UpstreamLoad]] = {}
        agents: dict[str, routing.AgentLoad] = {}
        for state in self.routes.values():
            by_service.setdefault(state.route.service, []).append(state.load)
            agents[state.route.agent] = state.load.agent
        self._by_service = by_service
        self._agents = agents
        self._connections = {
            service: sum(
                {id(ld.agent): ld.agent.connections for ld in loads}.values()
            )
            for service, loads in by_service.items()
        }
        self._connections[""] = sum(
            agent.connections for agent in agents.values()
        )
