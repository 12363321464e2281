"""Tests the soak's queues whose names don't identify them."""

import unittest

from devtools import soak_checks
from devtools import soak_queues
from tests import soak_case

SEED = 1
FORMS_JOB = "0000000000000000"
REELS_JOB = "0000000000000001"
WORKER = "worker-1@1"


class RoutesTest(unittest.TestCase):
    """Configurations name and order the same queues differently."""

    def versions(self) -> list[list[dict[str, str]]]:
        return [
            soak_queues.routes(SEED, version, {"timeoutMs": 1})
            for version in range(50)
        ]

    def test_version_has_the_same_routes_whenever_it_is_sent(self) -> None:
        self.assertEqual(self.versions(), self.versions())

    def test_queues_keep_their_services(self) -> None:
        for routes in self.versions():
            services = {r["pathPrefix"]: r["service"] for r in routes}
            for queue in soak_queues.QUEUES:
                self.assertEqual(services[queue.prefix], queue.service)

    def test_names_are_shared_and_exchanged(self) -> None:
        named = [
            {route["pathPrefix"]: route["name"] for route in routes}
            for routes in self.versions()
        ]
        pairs = {(names["/forms/"], names["/reels/"]) for names in named}
        self.assertEqual(len(pairs), len(soak_queues.NAMES) ** 2)
        self.assertEqual({len(names) for names in named}, {2, 3})

    def test_order_changes(self) -> None:
        orders = {
            tuple(route["pathPrefix"] for route in routes)
            for routes in self.versions()
        }
        self.assertGreater(len(orders), 2)


class ChecksTest(unittest.TestCase):
    """Work on another service and wrong counts of jobs are detected."""

    def setUp(self) -> None:
        self.history = soak_checks.History(
            clock=lambda: 0.0, service_of=soak_queues.service_of_job
        )
        for job in (FORMS_JOB, REELS_JOB):
            self.history.record_submission(job, soak_case.LASTING)
            self.history.record_submission_status(job, soak_checks.OK)

    def start(self, job: str, service: str) -> None:
        self.history.record_start(
            f"{job}.0.0.0",
            WORKER,
            attempt=1,
            spec=str(soak_case.LASTING["spec"]),
            free=0,
            service=service,
        )

    def test_start_on_the_service_of_the_queue(self) -> None:
        self.start(FORMS_JOB, "desk")
        self.start(REELS_JOB, "reel-desk")
        self.assertEqual(self.history.violations, [])

    def test_start_on_another_service(self) -> None:
        self.start(REELS_JOB, "desk")
        self.assertEqual(len(self.history.violations), 1)

    def test_pending_jobs_of_another_queue(self) -> None:
        ended = self.history.ended_jobs()
        self.history.record_pending("desk", 1, ended=ended)
        self.assertEqual(self.history.violations, [])
        self.history.record_pending("desk", 2, ended=ended)
        self.assertEqual(len(self.history.violations), 1)

    def test_jobs_that_ended_are_not_pending(self) -> None:
        self.history.record_cancellation(FORMS_JOB)
        self.history.record_cancellation_status(
            FORMS_JOB, soak_checks.OK, accepted=True
        )
        ended = self.history.ended_jobs()
        self.history.record_pending("desk", 1, ended=ended)
        self.assertEqual(len(self.history.violations), 1)

    def test_call_that_succeeds_at_another_queue(self) -> None:
        self.history.record_foreign_call("GET", FORMS_JOB, 410)
        self.assertEqual(self.history.violations, [])
        self.history.record_foreign_call("GET", FORMS_JOB, soak_checks.OK)
        self.assertEqual(len(self.history.violations), 1)


class SeededRunTest(soak_case.SeededRunCase):
    """Real processes keep queues of one name apart under injected faults."""

    def test_names_are_shared_and_exchanged(self) -> None:
        """Guards against work on the service of a queue of the same name."""
        history = self.run_soak(54_001, groups=frozenset({"names"}))
        self.assertGreater(history.counts["pending jobs read"], 5)


if __name__ == "__main__":
    unittest.main()
