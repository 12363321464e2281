"""Guards against routes that revert, vanish or hide a leaving upstream (P7)."""

from typing import Any
import unittest

from bamboorouter import clock
from bamboorouter.coordination.scheduling import route_publisher
from bamboorouter.coordination.scheduling import worker_registry
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from tests import machine_commands as make


class RoutesTest(unittest.TestCase):
    """Route updates for entries, built from heartbeats of agents."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.apply = make.Applier()
        self.registry = worker_registry.WorkerRegistry()
        self.routes = route_publisher.RoutePublisher(registry=self.registry)
        self.sequence = 0
        self.elect_leader()
        self.clock.advance(route_publisher.SETTLE_MS)

    def elect_leader(self) -> None:
        self.registry.reset(self.clock.now())
        self.routes.reset(self.clock.now())

    def send_heartbeat(
        self, worker: str, *upstreams: str, leaving: str = "", **load: Any
    ) -> bool:
        self.sequence += 1
        heartbeat = messages.Heartbeat(
            agent=worker,
            worker=worker,
            incarnation=1,
            sequence=self.sequence,
            address=f"{worker}:1",
            zone="a",
            rack="r1",
            capacity=make.capacity(),
            connections=64,
            upstreams=tuple(
                common.Upstream(
                    id=name,
                    service="web",
                    url="u",
                    leaving=name == leaving,
                    **load,
                )
                for name in upstreams
            ),
        )
        self.registry.accept(heartbeat, self.clock.now(), worker)
        return self.routes.refresh(worker, self.apply.machine)

    def poll(
        self, last_update: messages.EntryUpdate | None = None
    ) -> messages.EntryUpdate:
        return self.routes.poll(
            messages.EntryPoll(
                entry="e",
                incarnation=1,
                revision=last_update.revision if last_update else 0,
                route_epoch=last_update.route_epoch if last_update else 0,
                route_version=last_update.route_version if last_update else 0,
            ),
            self.apply.machine,
            self.clock.now(),
        )

    def test_full_copy_first_then_only_what_changed(self) -> None:
        self.send_heartbeat("w1", "a", "b")
        self.send_heartbeat("w2", "c")
        full = self.poll()
        self.assertTrue(full.full)
        self.assertEqual({r.upstream for r in full.routes}, {"a", "b", "c"})
        self.assertTrue(self.send_heartbeat("w1", "a", leaving="a"))
        delta = self.poll(full)
        self.assertFalse(delta.full)
        self.assertEqual(
            [(r.upstream, r.leaving) for r in delta.routes], [("a", True)]
        )
        self.assertEqual(delta.removed, ("b",))
        self.assertEqual(self.poll(delta).routes, ())

    def test_small_changes_of_load_are_not_sent(self) -> None:
        self.send_heartbeat("w1", "a", in_progress=10, latency_ms=20.0)
        first = self.poll()
        self.assertFalse(
            self.send_heartbeat("w1", "a", in_progress=12, latency_ms=22.0)
        )
        self.assertEqual(self.poll(first).routes, ())
        self.send_heartbeat("w1", "a", in_progress=20, latency_ms=22.0)
        self.assertEqual(self.poll(first).routes[0].in_progress, 20)

    def test_drain_marks_routes_without_a_heartbeat(self) -> None:
        self.send_heartbeat("w1", "web/0@7", "other")
        first = self.poll()
        self.apply(
            commands.SetDrain(
                operation_id="d", operator="o", target="web/0", draining=True
            )
        )
        self.assertTrue(self.routes.refresh_all(self.apply.machine))
        changed = self.poll(first)
        self.assertEqual([r.upstream for r in changed.routes], ["web/0@7"])
        self.assertTrue(changed.routes[0].leaving)

    def test_routes_of_a_silent_worker_go(self) -> None:
        self.send_heartbeat("w1", "a")
        first = self.poll()
        self.clock.advance(route_publisher.SILENCE_TIMEOUT_MS - 1)
        self.assertFalse(self.routes.drop_silent(self.clock.now()))
        self.clock.advance(1)
        self.assertTrue(self.routes.drop_silent(self.clock.now()))
        self.assertEqual(self.poll(first).removed, ("a",))

    def test_new_leader_keeps_old_routes_until_it_has_heard_all(self) -> None:
        self.send_heartbeat("w1", "a")
        self.send_heartbeat("w2", "b")
        before_election = self.poll()
        self.elect_leader()
        unchanged = self.poll(before_election)
        self.assertEqual(
            (unchanged.full, unchanged.route_epoch),
            (False, before_election.route_epoch),
        )
        self.send_heartbeat("w1", "a", leaving="a")
        before_settling = self.poll(before_election)
        self.assertFalse(before_settling.full)
        self.assertGreater(
            before_settling.route_version, before_election.route_version
        )
        self.assertEqual([r.leaving for r in before_settling.routes], [True])
        self.assertEqual(before_settling.removed, ())
        self.clock.advance(route_publisher.SETTLE_MS)
        settled = self.poll(before_settling)
        self.assertTrue(settled.full)
        self.assertEqual([r.upstream for r in settled.routes], ["a"])

    def test_id_announced_by_two_workers_keeps_its_first_route(self) -> None:
        self.send_heartbeat("w1", "a")
        self.send_heartbeat("w2", "a")
        self.send_heartbeat("w2")
        routes = self.poll().routes
        self.assertEqual(
            [(r.upstream, r.worker) for r in routes], [("a", "w1")]
        )
