"""Guards against an account that explains decisions that were not taken."""

from collections.abc import Sequence
import unittest

import msgspec

from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import account


def row(name: str, owner: str, urgency: int, place: int) -> common.SheetRow:
    return common.SheetRow(
        kind="job",
        name=name,
        owner=owner,
        urgency=urgency,
        place=place,
        millicores=1000,
        memory_mb=256,
    )


def sheet(revision: int, *rows: common.SheetRow) -> commands.AcceptSheet:
    return commands.AcceptSheet(
        operation_id=f"sheet-{revision}",
        operator="ola",
        revision=revision,
        digest="d",
        rows=rows,
    )


def assign(
    task: str, worker: str, passed_over: tuple[tuple[str, str], ...] = ()
) -> commands.Assign:
    return commands.Assign(
        task=task,
        worker=worker,
        need=common.Resources(),
        reason=commands.AssignReason(
            revision=1, waiting=3, passed_over=passed_over, share=250
        ),
    )


def log(*batches: Sequence[commands.Command]) -> list[messages.LogEntry]:
    """Returns a log of a leader's no-op entry and one entry per batch."""
    entries = [messages.LogEntry(term=1, index=1, kind=1, payload=b"")]
    for index, batch in enumerate(batches, start=2):
        payload = commands.BATCH_CODEC.encode(
            commands.CommandBatch(wall_ms=1000 * index, commands=tuple(batch))
        )
        entries.append(
            messages.LogEntry(term=1, index=index, kind=0, payload=payload)
        )
    return entries


class RefusingMachine:
    """A fake state machine that refuses all assignments to one worker.

    Attributes:
        worker: Name of the worker.
    """

    def __init__(self, worker: str) -> None:
        self.worker = worker

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        del index
        return [
            commands.Result(ok=False, code="no_capacity", text="full")
            if getattr(command, "worker", "") == self.worker
            else commands.Result(ok=True, data={"epoch": 7})
            for command in batch.commands
        ]


class ExplainTest(unittest.TestCase):
    """Tests `account.explain` on small logs."""

    def test_task_history_names_time_revision_and_what_waited(self) -> None:
        entries = log(
            [sheet(1, row("a", "ring", 3, 1))],
            [assign("a/0", "vm-1", (("b/0", "no accelerators"),))],
            [commands.EvictTask(task="a/0", epoch=7, reason="urgent work")],
            [commands.ConfirmEviction(task="a/0", epoch=7, checkpoint="c1")],
            [assign("a/0", "vm-2"), assign("a/1", "vm-2")],
            [commands.EndTask(task="a/0", epoch=8, outcome="finished")],
        )
        found = account.explain(entries, subject="a/0")
        self.assertEqual(
            [(record.index, record.what) for record in found.records],
            [
                (2, "sheet_accepted"),
                (3, "assigned"),
                (4, "eviction_ordered"),
                (5, "evicted"),
                (6, "assigned"),
                (7, "ended"),
            ],
        )
        assigned = found.records[1]
        self.assertEqual(assigned.wall_ms, 3000)
        self.assertIn("sheet revision 1; 3 waited", assigned.text)
        self.assertIn("b/0 (no accelerators)", assigned.text)
        self.assertIn("urgency 3", assigned.text)

    def test_refused_assignment_is_not_told_as_done(self) -> None:
        entries = log(
            [sheet(1, row("a", "ring", 3, 1))],
            [assign("a/0", "full")],
            [assign("a/0", "vm-2")],
        )
        found = account.explain(
            entries, subject="a/0", applier=RefusingMachine("full")
        )
        self.assertEqual(
            [record.what for record in found.records],
            ["sheet_accepted", "refused", "assigned"],
        )
        self.assertTrue(found.replayed)

    def test_resend_of_a_call_is_told_once(self) -> None:
        job = commands.SubmitJob(
            operation_id="op", operator="ola", row=row("a", "ring", 3, 1)
        )
        found = account.explain(log([job], [job]), subject="a")
        self.assertEqual([record.index for record in found.records], [2])

    def test_key_and_attempt_lead_to_the_same_outcome(self) -> None:
        entries = log(
            [
                commands.ReserveRequest(
                    key="k",
                    fingerprint=1,
                    attempt="e-1",
                    service="s",
                    entry="e",
                )
            ],
            [
                commands.RecordRequestOutcome(
                    key="k",
                    attempt="e-1",
                    outcome="completed",
                    status=201,
                    headers=(),
                    body=b"",
                    digest=0,
                    body_kept=True,
                )
            ],
        )
        for subject in ("k", "e-1"):
            found = account.explain(entries, subject=subject)
            self.assertEqual(
                [record.what for record in found.records],
                ["reserved", "outcome"],
            )
            self.assertEqual(found.records[1].fields["status"], 201)

    def test_refused_request_is_found_by_its_id(self) -> None:
        record = messages.RequestRecord(
            second=5,
            service="s",
            team="ring",
            urgency=0,
            outcome="not_run",
            code="queue_full",
            count=1,
            request_id="e-9",
        )
        batch = commands.RecordRequests(
            entry="e",
            incarnation=1,
            sequence=1,
            records=(msgspec.to_builtins(record),),
        )
        found = account.explain(log([batch]), subject="e-9")
        self.assertIn("not_run (queue_full)", found.records[0].text)

    def test_unknown_subject_is_not_found(self) -> None:
        found = account.explain(
            log([sheet(1, row("a", "ring", 3, 1))]), subject="b"
        )
        self.assertFalse(found.found)

    def test_long_history_is_bounded_and_says_so(self) -> None:
        entries = log(
            [sheet(1, row("a", "ring", 3, 1))],
            [assign(f"a/{n}", "vm-1") for n in range(1000)],
        )
        found = account.explain(entries, subject="a")
        self.assertEqual(len(found.records) + found.omitted, 1001)
        self.assertEqual(found.records[-1].fields["task"], "a/999")
        self.assertGreater(found.omitted, 0)


class OrderTest(unittest.TestCase):
    """Tests the reason why one subject was decided before another."""

    def order(self, subject: str, before: str, *batches: object) -> str:
        """Returns the explanation of why `before` preceded `subject`."""
        entries = log(*batches)  # type: ignore[arg-type]
        return account.explain(entries, subject=subject, before=before).order

    def test_recorded_ground_comes_before_declared_values(self) -> None:
        accepted = sheet(1, row("a", "ring", 5, 1), row("b", "ring", 1, 1))
        first = assign("a/0", "vm-1", (("b/0", "no accelerators"),))
        text = self.order(
            "b/0", "a/0", [accepted], [first], [assign("b/0", "vm-2")]
        )
        self.assertIn("a/0 was decided first (index 3)", text)
        self.assertIn("passed over at that moment: no accelerators", text)

    def test_service_missing_from_the_sheet_is_not_compared(
        self,
    ) -> None:
        """Only jobs go on after a sheet without them."""
        service = msgspec.structs.replace(
            row("web", "ring", 0, 1), kind="service"
        )
        job = row("b", "ring", 3, 1)
        batches = ([sheet(2, job)], [assign("b/0", "vm-1")])
        text = self.order("b/0", "web", [sheet(1, service, job)], *batches)
        self.assertIn("no declared values to compare", text)
        earlier_job = row("c", "ring", 1, 1)
        text = self.order("b/0", "c", [sheet(1, earlier_job, job)], *batches)
        self.assertIn("b/0 is less urgent (3 against 1)", text)

    def test_declared_urgency_and_place_are_compared(self) -> None:
        accepted = sheet(
            1,
            row("a", "ring", 1, 1),
            row("b", "ring", 5, 1),
            row("c", "ring", 5, 2),
        )
        assignments = [
            assign("a/0", "v"),
            assign("b/0", "v"),
            assign("c/0", "v"),
        ]
        self.assertIn(
            "a is more urgent (1 against 5)",
            self.order("a", "b", [accepted], assignments),
        )
        self.assertIn(
            "b has place 1, c has place 2",
            self.order("c", "b", [accepted], assignments),
        )

    def test_later_submission_is_the_ground_if_there_was_one(self) -> None:
        late = commands.SubmitJob(
            operation_id="op", operator="ola", row=row("b", "ring", 0, 1)
        )
        text = self.order(
            "a",
            "b",
            [sheet(1, row("a", "ring", 5, 1))],
            [assign("a/0", "v")],
            [late],
        )
        self.assertIn("b has not been decided", text)
        self.assertIn("b was submitted later (index 4)", text)

    def test_later_sheet_does_not_change_an_earlier_ground(self) -> None:
        text = self.order(
            "a",
            "b",
            [sheet(1, row("a", "ring", 1, 1), row("b", "ring", 5, 1))],
            [assign("a/0", "v")],
            [sheet(2, row("a", "ring", 9, 1), row("b", "ring", 0, 1))],
            [assign("b/0", "v")],
        )
        self.assertIn("more urgent (1 against 5)", text)

    def test_unmentioned_subject_is_said_to_be_so(self) -> None:
        text = self.order("a", "zzz", [sheet(1, row("a", "ring", 5, 1))])
        self.assertEqual(text, "the account does not mention zzz")


if __name__ == "__main__":
    unittest.main()
