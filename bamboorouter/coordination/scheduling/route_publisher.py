"""Routes for entries: the leader's table of announced upstreams.

The table is rebuilt from heartbeats after an election. It has an epoch, random
for each election, and a version that rises with each change, so an entry gets
only what changed since its last poll. Small changes of load are left out.

For a short time after an election the table is incomplete. An entry that holds
the former leader's routes keeps them during this time and gets only additions
and changes, under its own epoch; an entry without routes gets what is known.
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

# Every live agent has sent a heartbeat to the new leader by then.
SETTLE_MS: Final = 3000
# An agent without contact for this long refuses new work by itself.
SILENT_MS: Final = 5000
FORGET_ENTRY_MS: Final = 60_000
MAX_REMOVED: Final = 4096
EPOCH_BITS: Final = 31
# Changes of load below these are not worth a message to every entry.
LOAD_STEP: Final = 4
LATENCY_RATIO: Final = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """An entry as it last polled.

    Attributes:
        poll: Its last poll.
        heard: Monotonic time in ms at which it arrived.
    """

    poll: messages.EntryPoll
    heard: clock.Millis


class RoutePublisher:
    """Keeps the routes and the entries that follow them.

    Attributes:
        registry: What agents last reported.
        entries: Entries by name.
        epoch: Identifies the table.
        version: Raised by each change.
        routes: Routes by upstream ID, the last changed ones last.
    """

    def __init__(self, *, registry: worker_registry.WorkerRegistry) -> None:
        self.registry = registry
        self.entries: dict[str, Entry] = {}
        self.epoch = 0
        self.version = 0
        self.routes: collections.OrderedDict[str, messages.Route] = (
            collections.OrderedDict()
        )
        self._changed: dict[str, int] = {}
        self._removed: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._removed_floor = 0
        self._of_worker: dict[str, set[str]] = {}
        self._settled_at = 0

    def reset(self, now: clock.Millis) -> None:
        """Starts an empty table, for a replica that begins to lead."""
        self.__init__(registry=self.registry)  # type: ignore[misc]
        self.epoch = random.getrandbits(EPOCH_BITS) + 1
        self._settled_at = now + SETTLE_MS

    def refresh(self, worker: str, state: machine.Machine) -> bool:
        """Follows a worker's last heartbeat and the drains in force.

        Returns:
            Whether more changed than the load.
        """
        report = self.registry.reports.get(worker)
        if report is None:
            return False
        urgent = False
        announced: set[str] = set()
        for upstream in report.heartbeat.upstreams:
            if self._held_by_other(upstream.id, worker):
                continue
            announced.add(upstream.id)
            route = _route(report.heartbeat, upstream, state)
            urgent = self._put(route) or urgent
        for gone in self._of_worker.get(worker, set()) - announced:
            self._remove(gone)
            urgent = True
        if announced:
            self._of_worker[worker] = announced
        else:
            self._of_worker.pop(worker, None)
        return urgent

    def refresh_all(self, state: machine.Machine) -> bool:
        """Follows changed drains; returns whether more than load changed."""
        urgent = False
        for worker in self.registry.reports:
            urgent = self.refresh(worker, state) or urgent
        return urgent

    def drop_silent(self, now: clock.Millis) -> bool:
        """Removes the routes of silent workers; returns whether any went.

        Entries that have not polled for long are forgotten as well.
        """
        self.entries = {
            name: entry
            for name, entry in self.entries.items()
            if now - entry.heard < FORGET_ENTRY_MS
        }
        silent = [
            worker
            for worker in self._of_worker
            if now - self.registry.reports[worker].heard >= SILENT_MS
        ]
        for worker in silent:
            for upstream in self._of_worker.pop(worker):
                self._remove(upstream)
        return bool(silent)

    def poll(
        self,
        poll: messages.EntryPoll,
        state: machine.Machine,
        now: clock.Millis,
    ) -> messages.EntryUpdate:
        """Answers an entry's poll."""
        self.entries[poll.entry] = Entry(poll=poll, heard=now)
        return self.update(poll, state, now)

    def update(
        self,
        poll: messages.EntryPoll,
        state: machine.Machine,
        now: clock.Millis,
    ) -> messages.EntryUpdate:
        """Returns what an entry lacks since its poll."""
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
            if poll.route_version < self._removed_floor:
                return self._full(update)
            return self._delta(update, poll.route_version)
        if poll.route_epoch and now < self._settled_at:
            return self._additions(update, poll)
        return self._full(update)

    def applied_revisions(self, now: int) -> dict[str, int]:
        """Returns the revision that each live entry applies."""
        return {
            name: entry.poll.revision
            for name, entry in self.entries.items()
            if now - entry.heard < SILENT_MS
        }

    def _full(self, update: messages.EntryUpdate) -> messages.EntryUpdate:
        return msgspec.structs.replace(
            update, full=True, routes=tuple(self.routes.values())
        )

    def _additions(
        self, update: messages.EntryUpdate, poll: messages.EntryPoll
    ) -> messages.EntryUpdate:
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
            if self._changed[upstream] <= version:
                break
            routes.append(self.routes[upstream])
        removed: list[str] = []
        for upstream in reversed(self._removed):
            if self._removed[upstream] <= version:
                break
            removed.append(upstream)
        return msgspec.structs.replace(
            update, routes=tuple(routes), removed=tuple(removed)
        )

    def _held_by_other(self, upstream: str, worker: str) -> bool:
        """Whether another worker announced the same ID before."""
        route = self.routes.get(upstream)
        return route is not None and route.worker != worker

    def _put(self, route: messages.Route) -> bool:
        """Takes over a route; returns whether more changed than the load."""
        old = self.routes.get(route.upstream)
        urgent = old is None or _without_load(old) != _without_load(route)
        if old is not None and not urgent and not _load_changed(old, route):
            return False
        self.version += 1
        self.routes[route.upstream] = route
        self.routes.move_to_end(route.upstream)
        self._changed[route.upstream] = self.version
        self._removed.pop(route.upstream, None)
        return urgent

    def _remove(self, upstream: str) -> None:
        self.version += 1
        del self.routes[upstream]
        del self._changed[upstream]
        self._removed[upstream] = self.version
        if len(self._removed) > MAX_REMOVED:
            _, self._removed_floor = self._removed.popitem(last=False)


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
    if abs(old.in_progress - new.in_progress) >= LOAD_STEP:
        return True
    low, high = sorted((old.latency_ms, new.latency_ms))
    return high > 1.0 and high > low * LATENCY_RATIO
