"""Guards against runs of which an agent keeps a wrong state."""

import dataclasses
import unittest

from bamboorouter import clock
from bamboorouter.coordination.workers import end_numbers
from bamboorouter.coordination.workers import held_runs
from bamboorouter.coordination.workers import worker_port
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import jobs
from tests import fake_worker
from tests import job_builders as make

REF = make.ref()
KEY = (REF, 1)


def view(
    clock_ms: int,
    *running: jobs.TaskRef,
    ended: tuple[worker_port.EndedRow, ...] = (),
) -> worker_port.WorkerView:
    """Returns a view that lists the first attempt of each task as running."""
    return worker_port.WorkerView(
        clock_ms=clock_ms,
        running=tuple(fake_worker.running_row(task, 1) for task in running),
        ended=ended,
    )


def end_row(number: int, *, attempt: int = 1) -> worker_port.EndedRow:
    """Returns the row of a run that is done."""
    return worker_port.EndedRow(
        number=number, end=jobs.RunEnd(task=REF, attempt=attempt, how="done")
    )


class HeldRunsTest(unittest.TestCase):
    """Tests which runs are held after views, orders and inferred ends."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock(monotonic_ms=1000)
        self.held = held_runs.HeldRuns(worker="agent-1", time=self.clock)

    def see(self, listed: worker_port.WorkerView, token: int = 5) -> bool:
        """Updates the runs from a view that was requested just now."""
        return self.held.reconcile(
            listed, token=token, sent_ms=self.clock.now()
        )

    def stop(self) -> list[held_runs.HeldRun]:
        """Orders a stop of the first attempt; returns the due stops."""
        self.held.add_stop(
            job_messages.StopOrder(task=REF, attempt=1), self.clock.now()
        )
        return self.held.take_due_stops()

    def outcomes(self) -> list[str]:
        """Returns the outcomes of the ends for the leader."""
        return [pending.end.how for pending in self.held.ends]

    def test_run_that_ended_is_not_held_again(self) -> None:
        """Guards against holding a run that an overtaken view lists."""
        self.see(view(10, REF))
        self.see(view(20, ended=(end_row(1),)))
        self.see(view(20, REF))
        self.assertEqual(self.held.runs, {})
        self.assertEqual(self.stop(), [])
        self.assertEqual(self.outcomes(), ["done"])

    def test_age_of_the_view_counts_until_the_next_incarnation(self) -> None:
        self.assertEqual(self.held.view_age_ms(self.clock.now()), 0)
        self.see(view(10, REF))
        self.clock.advance(700)
        self.held.begin_session(self.clock.now())
        self.assertEqual(self.held.view_age_ms(self.clock.now()), 700)
        self.held.begin_incarnation()
        self.assertEqual(self.held.view_age_ms(self.clock.now()), 0)

    def test_overtaken_view_changes_no_run(self) -> None:
        """Guards against giving up a run because of an older view."""
        self.see(view(20, REF))
        for _ in range(held_runs.LOST_AFTER_MISSED_VIEWS):
            self.see(view(10))
        self.assertEqual(list(self.held.runs), [KEY])
        other = make.ref("b")
        self.see(view(10, REF, other, ended=(end_row(1),)))
        self.assertEqual(self.held.runs, {})
        self.assertEqual(self.outcomes(), ["done"])

    def test_view_with_a_wrong_clock_hides_no_later_one(self) -> None:
        """Guards against runs whose end or start is never noticed."""
        self.see(view(10**12, REF))
        self.clock.advance(1)
        other = make.ref("b")
        for clock_ms in (20, 30):
            self.see(view(clock_ms, other))
            self.clock.advance(1)
        self.assertEqual(list(self.held.runs), [(other, 1)])
        self.assertEqual(self.outcomes(), ["lost"])

    def test_view_requested_before_the_newest_one_arrived_is_older(
        self,
    ) -> None:
        """Guards against giving up a run because of an overtaken view."""
        sent_ms = self.clock.now()
        self.clock.advance(5)
        self.see(view(20, REF))
        self.clock.advance(5)
        for _ in range(held_runs.LOST_AFTER_MISSED_VIEWS):
            self.held.reconcile(view(10), token=5, sent_ms=sent_ms)
        self.assertEqual(list(self.held.runs), [KEY])

    def test_incomplete_view_proves_no_end(self) -> None:
        """Guards against repeating a run whose end is on a later list."""
        (order,) = fake_worker.start_orders(REF).starts
        run = self.held.add_order(order, self.clock.now())
        assert run is not None
        run.phase, run.token = "uncertain", 4
        cut = dataclasses.replace(view(10), complete=False)
        for _ in range(held_runs.LOST_AFTER_MISSED_VIEWS):
            self.see(cut)
        self.see(dataclasses.replace(view(20, REF), complete=False))
        for _ in range(held_runs.LOST_AFTER_MISSED_VIEWS):
            self.see(dataclasses.replace(cut, clock_ms=30))
        self.assertEqual(self.outcomes(), [])

    def test_number_that_is_far_too_high_hides_no_end(self) -> None:
        """Guards against repeating runs whose ends are ignored."""
        other = make.ref("b")
        self.see(view(10, REF, other))
        odd = dataclasses.replace(
            end_row(10**11), end=jobs.RunEnd(task=other, attempt=1, how="done")
        )
        self.see(view(20, REF, other, ended=(odd,)))
        self.see(view(30, other, ended=(end_row(1),)))
        self.assertEqual(list(self.held.runs), [(other, 1)])
        self.assertEqual([pending.number for pending in self.held.ends], [1])
        self.held.confirm(self.held.ends)
        self.assertEqual(self.held.last_confirmed_end, 1)

    def test_number_above_a_gap_is_not_acknowledged_if_listed_once(
        self,
    ) -> None:
        """Guards against ends that the worker forgets before they occur."""
        self.see(view(10, REF, ended=(end_row(500, attempt=2),)))
        self.held.confirm(self.held.ends)
        self.see(view(20, REF))
        self.assertEqual(self.held.last_confirmed_end, 0)
        self.see(view(30, ended=(end_row(1),)))
        self.assertEqual(self.outcomes(), ["done"])
        self.held.confirm(self.held.ends)
        self.assertEqual(self.held.last_confirmed_end, 1)

    def test_number_above_a_gap_is_acknowledged_if_listed_again(self) -> None:
        rows = tuple(end_row(500 + n, attempt=n) for n in range(1, 4))
        self.see(view(10, ended=rows))
        self.held.confirm(self.held.ends[:2])
        self.see(view(20, ended=rows))
        self.assertEqual(self.held.last_confirmed_end, 502)
        self.held.confirm(self.held.ends)
        self.assertEqual(self.held.last_confirmed_end, 503)

    def test_confirmation_after_the_second_list_acknowledges(self) -> None:
        rows = (end_row(501),)
        self.see(view(10, ended=rows))
        self.see(view(20, ended=rows))
        self.assertEqual(self.held.last_confirmed_end, 0)
        self.held.confirm(self.held.ends)
        self.assertEqual(self.held.last_confirmed_end, 501)

    def test_run_whose_end_is_in_doubt_is_not_lost(self) -> None:
        self.see(view(10, REF))
        doubtful = view(20, ended=(end_row(10**11),))
        for _ in range(end_numbers.MIN_LISTS - 1):
            self.see(doubtful)
            self.assertEqual(self.outcomes(), [])
        self.see(doubtful)
        self.assertEqual(self.outcomes(), ["done"])

    def test_new_agent_takes_over_high_numbers(self) -> None:
        rows = tuple(end_row(50_000 + n, attempt=n) for n in range(1, 4))
        for _ in range(end_numbers.MIN_LISTS):
            self.see(view(10, ended=rows))
        self.see(view(20, ended=(end_row(50_004, attempt=4),)))
        self.assertEqual(
            [pending.number for pending in self.held.ends],
            [50_001, 50_002, 50_003, 50_004],
        )

    def test_end_that_is_listed_again_is_not_new(self) -> None:
        self.see(view(10, ended=(end_row(1), end_row(2, attempt=2))))
        self.held.confirm(self.held.ends)
        self.see(view(20, ended=(end_row(2, attempt=2), end_row(1))))
        self.assertEqual(self.held.ends, [])

    def test_acknowledged_stop_is_due_again_only_if_the_run_is_listed(
        self,
    ) -> None:
        """Guards against repeating orders to a worker that doesn't answer."""
        self.see(view(10, REF))
        (run,) = self.stop()
        run.stopping = False
        run.stop_acknowledged_ms = self.clock.now()
        self.clock.advance(held_runs.STOP_DURATION_MS + 1)
        self.assertEqual(self.stop(), [])
        self.see(view(20, REF))
        self.assertEqual(self.stop(), [run])

    def test_listed_end_replaces_an_inferred_one(self) -> None:
        """Guards against repeating a run that is done."""
        self.see(view(10, REF))
        self.held.end_all("lost", "lease_expired")
        self.assertTrue(self.see(view(20, ended=(end_row(1),))))
        self.assertEqual(self.outcomes(), ["done"])

    def test_earlier_attempt_that_runs_after_a_later_one_is_stopped(
        self,
    ) -> None:
        """Guards against a run that goes on after its task is done."""
        self.see(view(10, ended=(end_row(1, attempt=2),)))
        self.see(view(20, REF))
        self.assertEqual(list(self.held.runs), [KEY])
        self.assertEqual(self.stop(), [self.held.runs[KEY]])

    def test_new_incarnation_may_run_what_ended_on_an_earlier_one(self) -> None:
        """Guards against ignoring a run that a delayed order has started."""
        self.see(view(10, ended=(end_row(1),)))
        self.held.begin_incarnation()
        self.see(view(5, REF))
        self.assertEqual(list(self.held.runs), [KEY])
        self.assertEqual(self.stop(), [self.held.runs[KEY]])
        # The end in the earlier incarnation remains.
        self.assertEqual(self.outcomes(), ["done"])

    def test_run_that_is_listed_again_is_not_started_again(self) -> None:
        self.see(view(10, REF))
        self.held.end_all("lost", "lease_expired")
        (order,) = fake_worker.start_orders(REF).starts
        self.assertIsNone(self.held.add_order(order, self.clock.now()))
        self.assertEqual(self.held.runs, {})
        self.see(view(20, REF))
        self.assertIsNone(self.held.add_order(order, self.clock.now()))
        # The order is attached to the run, so the leader doesn't repeat it.
        self.assertEqual(self.held.runs[KEY].order, order)


if __name__ == "__main__":
    unittest.main()
