"""Guards against duplicate runs of a task and overcommitment of a VM."""

import unittest

from bamboorouter.coordination.requests import task_leases
from bamboorouter.protocol import common
from bamboorouter.protocol import messages

CAPACITY = common.Resources(
    millicores=4000, memory_mb=8000, accelerators=1, slots=3
)
LEASE_MS = 10_000
LEASE_END_MS = LEASE_MS - task_leases.STOP_MARGIN_MS
STOP_AT_MS = LEASE_END_MS - task_leases.STOP_LEAD_MS


def start_order(
    task: str = "job/0", epoch: int = 1, millicores: int = 1000, **need: int
) -> messages.StartOrder:
    return messages.StartOrder(
        task=task,
        epoch=epoch,
        kind="batch",
        lease_ms=LEASE_MS,
        need=common.Resources(millicores=millicores, memory_mb=1000, **need),
        row=common.SheetRow(
            kind="job",
            name="job",
            owner="team",
            urgency=5,
            place=1,
            millicores=millicores,
            memory_mb=1000,
        ),
    )


def task_order(action: str, epoch: int = 1) -> messages.TaskOrder:
    return messages.TaskOrder(
        task="job/0",
        epoch=epoch,
        action=action,  # type: ignore[arg-type]
    )


class LedgerTest(unittest.TestCase):
    """Decisions of TaskLedger without a worker."""

    def setUp(self) -> None:
        self.ledger = task_leases.TaskLedger(capacity=CAPACITY)

    def admit(
        self, order: messages.StartOrder, *, sent: int = 0, now: int = 0
    ) -> task_leases.Admission:
        return self.ledger.admit(order, sent=sent, now=now)

    def test_same_epoch_starts_once_and_lower_ones_never(self) -> None:
        self.assertEqual(self.admit(start_order(epoch=5)), "start")
        self.assertEqual(self.admit(start_order(epoch=5)), "known")
        self.assertEqual(self.admit(start_order(epoch=4)), "stale")

    def test_forgotten_epoch_does_not_start_again(self) -> None:
        self.admit(start_order(epoch=5))
        held = self.ledger.tasks["job/0"]
        held.end("finished", checkpoint="", detail="")
        self.assertIsNotNone(
            self.ledger.apply_order(task_order("forget", epoch=5))
        )
        for epoch in (4, 5):
            self.assertEqual(self.admit(start_order(epoch=epoch)), "stale")
        self.assertEqual(self.admit(start_order(epoch=6)), "start")

    def test_higher_epoch_waits_for_the_end_of_the_older(self) -> None:
        self.admit(start_order(epoch=5))
        held = self.ledger.tasks["job/0"]
        self.assertEqual(self.admit(start_order(epoch=6)), "later")
        self.assertEqual(held.goal, "stop")
        held.end("stopped", checkpoint="", detail="")
        self.assertEqual(self.admit(start_order(epoch=6)), "start")

    def test_capacity_counts_tasks_until_their_end_is_confirmed(self) -> None:
        self.admit(start_order("job/0", millicores=2500))
        self.ledger.apply_order(task_order("evict"))
        self.assertEqual(
            self.admit(start_order("job/1", millicores=2500)), "refused"
        )
        self.ledger.tasks["job/0"].end("evicted", checkpoint="c", detail="")
        self.assertEqual(
            self.admit(start_order("job/2", millicores=2500)), "start"
        )

    def test_each_resource_limits_and_unknown_tasks_count(self) -> None:
        # Leaves 500 MB, of which a start order needs 1000.
        unknown = common.Resources(memory_mb=7500)
        self.ledger.adopt(
            task_leases.HeldTask(
                task="other/0",
                epoch=9,
                kind="batch",
                need=unknown,
                stop_deadline_ms=1,
            )
        )
        self.assertEqual(self.admit(start_order()), "refused")
        self.ledger.tasks["other/0"].end("stopped", checkpoint="", detail="")
        # There is one accelerator.
        self.admit(start_order("job/1", accelerators=1))
        self.assertEqual(
            self.admit(start_order("job/2", accelerators=1)), "refused"
        )
        # Jobs 1, 3 and 4 take all three slots.
        self.admit(start_order("job/3"))
        self.admit(start_order("job/4"))
        self.assertEqual(self.admit(start_order("job/5")), "refused")

    def test_lease_counts_from_the_sending_of_the_heartbeat(self) -> None:
        self.admit(start_order(), sent=100, now=2000)
        self.assertEqual(self.ledger.expire(100 + STOP_AT_MS - 1), [])
        renewal = messages.Renewal(task="job/0", epoch=1, term_ms=LEASE_MS)
        self.assertTrue(self.ledger.renew(renewal, sent=1000))
        self.assertEqual(self.ledger.expire(1000 + STOP_AT_MS - 1), [])
        self.assertEqual(len(self.ledger.expire(1000 + STOP_AT_MS)), 1)

    def test_late_renewal_does_not_revive_an_expired_task(self) -> None:
        self.admit(start_order())
        self.ledger.expire(STOP_AT_MS)
        renewal = messages.Renewal(task="job/0", epoch=1, term_ms=LEASE_MS)
        self.assertFalse(self.ledger.renew(renewal, sent=STOP_AT_MS))
        self.assertEqual(self.ledger.tasks["job/0"].goal, "expire")

    def test_start_order_that_outlived_its_lease_is_not_followed(self) -> None:
        self.assertEqual(self.admit(start_order(), now=STOP_AT_MS), "expired")
        self.assertEqual(self.ledger.report(), ())

    def test_orders_for_another_epoch_change_nothing(self) -> None:
        self.admit(start_order(epoch=5))
        for action in ("evict", "stop", "forget", "throttle"):
            self.assertIsNone(
                self.ledger.apply_order(task_order(action, epoch=4))
            )
        self.assertEqual(self.ledger.tasks["job/0"].goal, "run")
