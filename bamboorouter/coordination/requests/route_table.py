"""The entry's local copy of services and routes.

The leader sends updates as full copies or as patches. An update with a lower
configuration revision is ignored completely, because it comes from a replica
that no longer leads. A patch of another route epoch is ignored, and the route
version is reset so that the next poll requests a full copy.
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

# How long an agent's notice that an upstream leaves overrides the leader's
# routes, which lag behind by about a heartbeat and a poll. If the upstream is
# still leaving afterwards, the next refusal by the agent renews the override.
LEAVING_HOLD_MS: Final = 1_500


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class RouteState:
    """A route with the load of its upstream, as seen by policies."""

    route: messages.Route
    load: routing.UpstreamLoad


class RouteTable:
    """Services and routes that this entry uses.

    Attributes:
        clock: Source of time.
        revision: Applied configuration revision; 0 before the first update.
        route_epoch: Epoch of the routes.
        route_version: Version of the routes.
        services: Sheet rows of the services by name.
        routes: Routes by upstream ID.
        confirmed: Whether an update of a leader was applied.
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
        """Applies an update from the leader.

        Returns:
            Whether the update was applied at least in part.
        """
        if update.revision < self.revision:
            events.log(
                events.STALE_UPDATE,
                offered=update.revision,
                applied=self.revision,
            )
            return False
        if update.services is None and update.revision != self.revision:
            # A new revision can't be applied without its services.
            return False
        if update.services is not None:
            self.services = {row.name: row for row in update.services}
        self.revision = update.revision
        self.confirmed = True
        metrics.APPLIED_REVISION.set(self.revision)
        self._apply_routes(update)
        return True

    def upstream_loads(self, service: str) -> list[routing.UpstreamLoad]:
        """Returns the loads of all upstreams of a service."""
        return self._by_service.get(service, [])

    def connections(self, service: str = "") -> int:
        """Returns how many concurrent requests the agents accept in total.

        Args:
            service: Service whose agents are counted; empty for all agents.
        """
        return self._connections.get(service, 0)

    def agent_load(self, address: str) -> routing.AgentLoad | None:
        """Returns the load of the agent at an address."""
        return self._agents.get(address)

    def mark_leaving(self, agent: str, upstreams: Iterable[str]) -> None:
        """Updates which upstreams of an agent accept no new requests.

        Args:
            agent: Address of the agent.
            upstreams: IDs of all upstreams of the agent that are leaving.
        """
        leaving = set(upstreams)
        hold_until_ms = self.clock.now() + LEAVING_HOLD_MS
        for upstream, state in self.routes.items():
            if state.route.agent == agent:
                state.load.refused_until_ms = (
                    hold_until_ms if upstream in leaving else 0
                )

    def _apply_routes(self, update: messages.EntryUpdate) -> None:
        same_epoch = update.route_epoch == self.route_epoch
        if not update.full and not same_epoch:
            self.route_version = 0
            self.route_epoch = 0
            return
        min_version = (
            self.route_version if update.full else self.route_version + 1
        )
        if same_epoch and update.route_version < min_version:
            return
        removed = set(update.removed)
        if update.full:
            removed |= set(self.routes) - {r.upstream for r in update.routes}
        for upstream in removed:
            self.routes.pop(upstream, None)
        for route in update.routes:
            self._update_route(route)
        self.route_epoch = update.route_epoch
        self.route_version = update.route_version
        self._rebuild_indexes()

    def _update_route(self, route: messages.Route) -> None:
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

    def _rebuild_indexes(self) -> None:
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
