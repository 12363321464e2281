"""Publishes routes to entries from the leader's table of announced upstreams.

The table is rebuilt from heartbeats after an election. It has an epoch,
chosen at random for each election, and a version that rises with each change,
so that an entry receives only the changes since its last poll. Small changes of
load are not published.

For a short time after an election the table is incomplete. During this time an
entry that holds routes of the former leader keeps them and receives only
additions and changes, under the epoch that it holds. An entry without routes
receives the incomplete table.
"""

import collections
import dataclasses
import random
from typing import Final

import msgspec

from bamboorouter import clock
from bamboorouter.coordination.scheduling import heartbeats
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import machine

# Every live agent has sent a heartbeat to a new leader within this time.
SETTLE_MS: Final = 3000
# The routes of an agent that has been silent for this long are removed. The
# agent itself refuses new work without contact to the leader for this long.
SILENCE_TIMEOUT_MS: Final = 5000
ENTRY_RETENTION_MS: Final = 60_000
# A tombstone records the version at which a route was removed.
MAX_TOMBSTONES: Final = 4096
EPOCH_BITS: Final = 31
# Smaller changes of load (difference of requests in progress, ratio of
# latencies) don't justify a message to every entry.
MIN_LOAD_CHANGE: Final = 4
MIN_LATENCY_RATIO: Final = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """Last poll of an entry.

    Attributes:
        poll: The poll.
        polled_ms: Monotonic time in ms at which the poll arrived.
    """

    poll: messages.EntryPoll
    polled_ms: clock.Millis


class RoutePublisher:
    """Maintains the route table and computes updates for entries.

    Attributes:
        registry: Last heartbeat of each agent.
        entries: Last polls by name of the entry.
        epoch: Random number that identifies the table.
        version: Version of the table, incremented by each change.
        routes: Routes by upstream ID, in the order of their last change.
    """

    def __init__(self, *, registry: worker_registry.WorkerRegistry) -> None:
        self.registry = registry
        self.entries: dict[str, Entry] = {}
        self.epoch = 0
        self.version = 0
        self.routes: collections.OrderedDict[str, messages.Route] = (
            collections.OrderedDict()
        )
        self._changed_versions: dict[str, int] = {}
        self._tombstones: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Version of the newest tombstone that was discarded. An entry with an
        # older table receives a full update.
        self._tombstone_floor = 0
        self._upstreams_by_worker: dict[str, set[str]] = {}
        self._settled_ms = 0

    def reset(self, now: clock.Millis) -> None:
        """Starts an empty table when this replica becomes leader."""
        self.__init__(registry=self.registry)  # type: ignore[misc]
        # An entry that holds no routes reports epoch 0.
        self.epoch = random.getrandbits(EPOCH_BITS) + 1
        self._settled_ms = now + SETTLE_MS

    def refresh(self, worker: str, state: machine.Machine) -> bool:
        """Updates the routes of a worker from its last heartbeat and drains.

        Args:
            worker: Name of the worker.
            state: The replicated state, which holds the drains in force.

        Returns:
            Whether anything but the load of a route changed.
        """
        report = self.registry.reports.get(worker)
        if report is None:
            return False
        routing_changed = False
        announced: set[str] = set()
        for upstream in report.heartbeat.upstreams:
            if self._owned_by_other_worker(upstream.id, worker):
                continue
            announced.add(upstream.id)
            route = _route(report.heartbeat, upstream, state)
            routing_changed = self._upsert(route) or routing_changed
        for withdrawn in (
            self._upstreams_by_worker.get(worker, set()) - announced
        ):
            self._remove(withdrawn)
            routing_changed = True
        if announced:
            self._upstreams_by_worker[worker] = announced
        else:
            self._upstreams_by_worker.pop(worker, None)
        return routing_changed

    def refresh_all(self, state: machine.Machine) -> bool:
        """Updates the routes of all workers, for example after a drain.

        Returns:
            Whether anything but the load of a route changed.
        """
        routing_changed = False
        for worker in self.registry.reports:
            routing_changed = self.refresh(worker, state) or routing_changed
        return routing_changed

    def drop_silent(self, now: clock.Millis) -> bool:
        """Removes the routes of silent workers.

        Entries that have not polled for `ENTRY_RETENTION_MS` are removed too.

        Returns:
            Whether routes were removed.
        """
        self.entries = {
            name: entry
            for name, entry in self.entries.items()
            if now - entry.polled_ms < ENTRY_RETENTION_MS
        }
        silent = [
            worker
            for worker in self._upstreams_by_worker
            if now - self.registry.reports[worker].received_ms
            >= SILENCE_TIMEOUT_MS
        ]
        for worker in silent:
            for upstream in self._upstreams_by_worker.pop(worker):
                self._remove(upstream)
        return bool(silent)

    def poll(
        self,
        poll: messages.EntryPoll,
        state: machine.Machine,
        now: clock.Millis,
    ) -> messages.EntryUpdate:
        """Records the poll of an entry and returns the update for it."""
        self.entries[poll.entry] = Entry(poll=poll, polled_ms=now)
        return self.update(poll, state, now)

    def update(
        self,
        poll: messages.EntryPoll,
        state: machine.Machine,
        now: clock.Millis,
    ) -> messages.EntryUpdate:
        """Returns the changes since the state that an entry reported in a poll.

        Args:
            poll: Last poll of the entry.
            state: The replicated state.
            now: Monotonic time in ms.
        """
        revision = state.config_revision
        services = None
        if poll.revision != revision or not poll.route_epoch:
            services = tuple(state.plan.services.values())
        update = messages.EntryUpdate(
            revision=revision,
            services=services,
            route_epoch=self.epoch,
            route_version=self.version,
        )
        if poll.route_epoch == self.epoch:
            if poll.route_version < self._tombstone_floor:
                return self._full_update(update)
            return self._delta(update, poll.route_version)
        if poll.route_epoch and now < self._settled_ms:
            return self._additions_only(update, poll)
        return self._full_update(update)

    def applied_revisions(self, now: int) -> dict[str, int]:
        """Returns the configuration revision that each live entry applies."""
        return {
            name: entry.poll.revision
            for name, entry in self.entries.items()
            if now - entry.polled_ms < SILENCE_TIMEOUT_MS
        }

    def _full_update(
        self, update: messages.EntryUpdate
    ) -> messages.EntryUpdate:
        return msgspec.structs.replace(
            update, full=True, routes=tuple(self.routes.values())
        )

    def _additions_only(
        self, update: messages.EntryUpdate, poll: messages.EntryPoll
    ) -> messages.EntryUpdate:
        # The entry ignores changes unless their version is higher than its own.
        return msgspec.structs.replace(
            update,
            route_epoch=poll.route_epoch,
            route_version=poll.route_version + 1,
            routes=tuple(self.routes.values()),
        )

    def _delta(
        self, update: messages.EntryUpdate, version: int
    ) -> messages.EntryUpdate:
        routes: list[messages.Route] = []
        for upstream in reversed(self.routes):
            if self._changed_versions[upstream] <= version:
                break
            routes.append(self.routes[upstream])
        removed: list[str] = []
        for upstream in reversed(self._tombstones):
            if self._tombstones[upstream] <= version:
                break
            removed.append(upstream)
        return msgspec.structs.replace(
            update, routes=tuple(routes), removed=tuple(removed)
        )

    def _owned_by_other_worker(self, upstream: str, worker: str) -> bool:
        """Whether the route of an upstream ID belongs to another worker."""
        route = self.routes.get(upstream)
        return route is not None and route.worker != worker

    def _upsert(self, route: messages.Route) -> bool:
        """Adds or updates a route; returns whether more than load changed."""
        old = self.routes.get(route.upstream)
        routing_changed = old is None or _without_load(old) != _without_load(
            route
        )
        if (
            old is not None
            and not routing_changed
            and not _load_changed(old, route)
        ):
            return False
        self.version += 1
        self.routes[route.upstream] = route
        self.routes.move_to_end(route.upstream)
        self._changed_versions[route.upstream] = self.version
        self._tombstones.pop(route.upstream, None)
        return routing_changed

    def _remove(self, upstream: str) -> None:
        self.version += 1
        del self.routes[upstream]
        del self._changed_versions[upstream]
        self._tombstones[upstream] = self.version
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, self._tombstone_floor = self._tombstones.popitem(last=False)


def _route(
    heartbeat: messages.Heartbeat,
    upstream: common.Upstream,
    state: machine.Machine,
) -> messages.Route:
    return messages.Route(
        upstream=upstream.id,
        service=upstream.service,
        agent=heartbeat.address,
        worker=heartbeat.worker,
        zone=heartbeat.zone,
        rack=heartbeat.rack,
        leaving=upstream.leaving
        or heartbeat.leaving
        or heartbeat.worker in state.workers.drains
        or heartbeats.upstream_drained(state, upstream.id),
        in_progress=upstream.in_progress,
        latency_ms=upstream.latency_ms,
        connections=heartbeat.connections,
    )


def _without_load(route: messages.Route) -> messages.Route:
    return msgspec.structs.replace(route, in_progress=0, latency_ms=0.0)


def _load_changed(old: messages.Route, new: messages.Route) -> bool:
    if abs(old.in_progress - new.in_progress) >= MIN_LOAD_CHANGE:
        return True
    # Latencies of up to 1 ms are all treated as equal.
    low, high = sorted((old.latency_ms, new.latency_ms))
    return high > 1.0 and high > low * MIN_LATENCY_RATIO
