"""Tests the replicated state machine.

The machine must refuse invalid commands whoever proposed them: overcommitment
(P1), a second live assignment (P2), a checkpoint that is resumed twice (P3) and
revisions that conflict or revert (P9).
"""

import random
import unittest

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.state import machine
from bamboorouter.state import resource_math
from bamboorouter.state import workers
from tests import machine_commands as make
from tests import test_request_keys


class ConfigurationTest(unittest.TestCase):
    """Sheets, jobs and drains."""

    def setUp(self) -> None:
        self.apply = make.Applier()
        self.machine = self.apply.machine

    def states(self, row: str) -> list[str]:
        """Returns each task's status followed by its reason to stop, if any."""
        tasks = self.machine.assignments.tasks_of_row(row)
        return [task.status + task.stopping for task in tasks]

    def test_equal_revisions_of_two_operators_leave_one_in_force(self) -> None:
        first = self.apply(make.sheet(1, make.row("a"), digest="x"))
        second = self.apply(make.sheet(1, make.row("b"), digest="y"))
        self.assertTrue(first.ok)
        self.assertEqual(second.code, error_texts.REVISION_CONFLICT)
        self.assertEqual(second.data["sheet_revision"], 1)
        self.assertEqual(second.data["digest"], "x")
        self.assertEqual(list(self.machine.plan.jobs), ["a"])

    def test_resends_get_the_first_answer_and_change_nothing(self) -> None:
        sheet = make.sheet(1, make.row("a"), operation_id="s1")
        job = commands.SubmitJob(
            operation_id="j1", operator="o", row=make.row("late")
        )
        cancel = commands.CancelJob(operation_id="c1", operator="o", job="late")
        sent_commands = (sheet, job, cancel)
        first = [self.apply(command) for command in sent_commands]
        self.apply(make.sheet(2, make.row("b")))
        revision = self.machine.config_revision
        repeated = [self.apply(command) for command in sent_commands]
        resent = self.apply(make.sheet(1, make.row("a"), operation_id="s2"))
        self.assertEqual(first, repeated)
        self.assertEqual(resent, first[0])
        self.assertEqual(self.machine.config_revision, revision)

    def test_id_of_another_call_is_refused_even_after_a_restart(self) -> None:
        self.apply(make.sheet(1, make.row("a"), operation_id="s1"))
        restored = machine.Machine()
        restored.restore(self.machine.snapshot())
        for name, other in (
            (
                "cancel",
                commands.CancelJob(operation_id="s1", operator="o", job="a"),
            ),
            ("sheet", make.sheet(2, make.row("b"), operation_id="s1")),
        ):
            with self.subTest(name):
                batch = commands.CommandBatch(wall_ms=1, commands=(other,))
                for each in (self.machine, restored):
                    result = each.apply(9, batch)[0]
                    self.assertEqual(result.code, error_texts.OPERATION_REUSED)
                    self.assertEqual(each.plan.revision, 1)
        other_sheet = commands.AcceptSheet(
            operation_id="s1",
            operator="colleague",
            revision=1,
            digest=make.sheet(1, make.row("a")).digest,
            rows=(make.row("a"),),
        )
        self.assertTrue(self.apply(other_sheet).ok)

    def test_new_sheet_stops_surplus_instances_and_keeps_jobs(self) -> None:
        self.apply(make.register("w1"))
        web = make.service("web", count=3)
        self.apply(make.sheet(1, web, make.row("job", count=2)))
        self.apply(make.assign("web/1", "w1"))
        self.apply(make.assign("web/2", "w1"))
        self.apply(make.assign("job/0", "w1"))
        self.apply(make.sheet(2, make.service("web", count=1)))
        self.assertEqual(self.states("web"), ["assigned", "assignedsurplus"])
        self.apply(make.sheet(3, make.service("web", count=2)))
        self.assertEqual(len(self.states("web")), 3)
        self.assertEqual(self.states("job"), ["assigned", "pending"])

    def test_ended_or_cancelled_job_is_not_run_again(self) -> None:
        self.apply(make.register("w1"))
        self.apply(make.sheet(1, make.row("a"), make.row("b")))
        epoch = self.apply(make.assign("a/0", "w1")).data["epoch"]
        self.apply(
            commands.EndTask(task="a/0", epoch=epoch, outcome="finished")
        )
        self.apply(commands.CancelJob(operation_id="c", operator="o", job="b"))
        answer = self.apply(make.sheet(2, make.row("a"), make.row("b")))
        self.assertEqual(answer.data["already_ended"], ["a", "b"])
        self.assertEqual(self.states("a"), ["finished"])
        self.assertEqual(self.states("b"), ["cancelled"])

    def test_job_larger_than_every_worker_is_refused(self) -> None:
        self.apply(make.register("w1", processors=4))
        huge = commands.SubmitJob(
            operation_id="h",
            operator="o",
            row=make.row("huge", millicores=4001),
        )
        self.assertEqual(self.apply(huge).code, error_texts.JOB_CANNOT_RUN)


class AssignmentTest(unittest.TestCase):
    """Assignments, ends and evictions."""

    def setUp(self) -> None:
        self.apply = make.Applier()
        self.machine = self.apply.machine
        self.apply(make.register("w1"))
        self.apply(make.register("w2"))
        self.apply(make.sheet(1, make.row("job", count=6)))

    def test_worker_is_never_given_more_than_it_has(self) -> None:
        for number in range(4):
            self.assertTrue(self.apply(make.assign(f"job/{number}", "w1")).ok)
        refused = self.apply(make.assign("job/4", "w1"))
        self.assertEqual(refused.code, error_texts.NO_CAPACITY)
        negative = make.assign("job/4", "w1", processors=-2)
        self.assertEqual(self.apply(negative).code, error_texts.NO_CAPACITY)

    def test_task_has_one_live_assignment(self) -> None:
        self.assertTrue(self.apply(make.assign("job/0", "w1")).ok)
        second = self.apply(make.assign("job/0", "w2"))
        self.assertEqual(second.code, error_texts.TASK_NOT_WAITING)

    def test_late_reports_of_an_old_epoch_are_refused(self) -> None:
        first = self.apply(make.assign("job/0", "w1")).data["epoch"]
        end = commands.EndTask(
            task="job/0", epoch=first, outcome="lease_expired"
        )
        self.assertTrue(self.apply(end).ok)
        self.apply(make.assign("job/0", "w2"))
        for stale_command in (
            commands.EndTask(task="job/0", epoch=first, outcome="finished"),
            commands.EvictTask(task="job/0", epoch=first, reason="r"),
            commands.ConfirmEviction(task="job/0", epoch=first, checkpoint="c"),
        ):
            self.assertEqual(
                self.apply(stale_command).code, error_texts.STALE_EPOCH
            )
        self.assertEqual(self.machine.assignments.tasks["job/0"].worker, "w2")

    def test_evicted_task_resumes_once_from_its_checkpoint(self) -> None:
        epoch = self.apply(make.assign("job/0", "w1")).data["epoch"]
        self.apply(commands.EvictTask(task="job/0", epoch=epoch, reason="r"))
        confirm = commands.ConfirmEviction(
            task="job/0", epoch=epoch, checkpoint="c1"
        )
        self.assertTrue(self.apply(confirm).ok)
        self.assertFalse(self.apply(confirm).ok)
        resumed = self.apply(make.assign("job/0", "w2"))
        self.assertEqual(resumed.data["resume_from"], "c1")
        self.assertFalse(self.apply(make.assign("job/0", "w1")).ok)
        # Lost without a newer checkpoint: it resumes from the same one again.
        self.apply(
            commands.EndTask(
                task="job/0", epoch=resumed.data["epoch"], outcome="lost"
            )
        )
        self.assertEqual(
            self.machine.assignments.tasks["job/0"].resume_from, "c1"
        )

    def test_cancelled_task_is_never_reported_finished(self) -> None:
        epoch = self.apply(make.assign("job/0", "w1")).data["epoch"]
        self.apply(
            commands.CancelJob(operation_id="c", operator="o", job="job")
        )
        end = commands.EndTask(task="job/0", epoch=epoch, outcome="finished")
        self.assertEqual(self.apply(end).data["state"], "cancelled")
        self.assertEqual(self.machine.plan.jobs["job"].finished, 0)
        self.assertEqual(self.machine.plan.jobs["job"].cancelled, 6)

    def test_drain_beyond_the_limit_ends_no_other(self) -> None:
        """Guards against new tasks on a VM that an operator has drained."""

        def drain(number: int, *, draining: bool = True) -> commands.Result:
            return self.apply(
                commands.SetDrain(
                    operation_id=f"{number} {draining}",
                    operator="o",
                    target=f"w{number}",
                    draining=draining,
                )
            )

        for number in range(1, workers.MAX_DRAINS + 1):
            self.assertTrue(drain(number).ok)
        revision = self.machine.config_revision
        refused = drain(0)
        self.assertEqual(refused.code, error_texts.TOO_MANY_DRAINS)
        self.assertIn(str(workers.MAX_DRAINS), refused.text)
        self.assertEqual(self.machine.config_revision, revision)
        self.assertIn("w1", self.machine.workers.drains)
        self.assertNotIn("w0", self.machine.workers.drains)
        self.assertTrue(drain(2, draining=False).ok)
        self.assertTrue(drain(-1).ok)
        self.assertIn("w1", self.machine.workers.drains)

    def test_drained_or_quarantined_worker_gets_nothing(self) -> None:
        for name in ("w3", "w4"):
            self.apply(make.register(name))
        self.apply(
            commands.SetDrain(
                operation_id="d", operator="o", target="w1", draining=True
            )
        )
        until_ms = make.WALL_MS + 60_000
        quarantines = [
            commands.Quarantine(worker=name, until_ms=until_ms, reason="r")
            for name in ("w2", "w3")
        ]
        self.assertTrue(self.apply(quarantines[0]).ok)
        self.assertEqual(
            self.apply(quarantines[1]).code, error_texts.TOO_MANY_QUARANTINES
        )
        codes = [
            self.apply(make.assign("job/0", worker)).code
            for worker in ("w1", "w2", "w3")
        ]
        self.assertEqual(
            codes,
            [error_texts.WORKER_DRAINED, error_texts.WORKER_QUARANTINED, ""],
        )

    def test_replaced_instance_ends_and_its_successor_stays(self) -> None:
        self.apply(make.sheet(2, make.service("web", count=1)))
        epoch = self.apply(make.assign("web/0", "w1")).data["epoch"]
        replace = commands.ReplaceInstance(
            task="web/0", epoch=epoch, reason="drain"
        )
        self.assertEqual(self.apply(replace).data["task"], "web/1")
        self.assertFalse(self.apply(replace).ok)
        self.apply(make.assign("web/1", "w2"))
        self.apply(commands.EvictTask(task="web/0", epoch=epoch, reason="d"))
        self.apply(
            commands.ConfirmEviction(task="web/0", epoch=epoch, checkpoint="")
        )
        tasks = self.machine.assignments.tasks_of_row("web")
        self.assertEqual([task.task for task in tasks], ["web/1"])


class RandomCommandsTest(unittest.TestCase):
    """Valid and invalid random commands never break an invariant."""

    def test_invariants_and_snapshots_hold_under_random_commands(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.run_seed(random.Random(seed))

    def run_seed(self, rng: random.Random) -> None:
        apply = make.Applier()
        restored = machine.Machine()
        for step in range(300):
            apply.wall_ms += rng.randrange(-500, 5000)
            command = random_command(rng, apply.machine)
            result = apply(command)
            if step == 150:
                restored.restore(apply.machine.snapshot())
            elif step > 150:
                batch = commands.CommandBatch(
                    wall_ms=apply.wall_ms, commands=(command,)
                )
                index = apply.machine.applied_index
                self.assertEqual(restored.apply(index, batch), [result])
            self.check_invariants(apply.machine)
        self.assertEqual(restored.snapshot(), apply.machine.snapshot())

    def check_invariants(self, state: machine.Machine) -> None:
        assignments = state.assignments
        for worker in state.workers.by_name.values():
            tasks = [
                task
                for task in assignments.tasks.values()
                if task.live and task.worker == worker.name
            ]
            used = resource_math.total(task.need for task in tasks)
            self.assertTrue(resource_math.fits(used, worker.capacity))
            self.assertEqual(used, assignments.used_on(worker.name))
        self.assertLessEqual(
            assignments.on_worker.keys(), state.workers.by_name.keys()
        )
        epochs = [
            task.epoch for task in assignments.tasks.values() if task.live
        ]
        self.assertEqual(len(epochs), len(set(epochs)))
        for name, job in state.plan.jobs.items():
            open_tasks = [
                task
                for task in assignments.tasks_of_row(name)
                if task.status in ("pending", "assigned", "evicting")
            ]
            self.assertEqual(len(open_tasks), job.open_tasks)


def random_command(
    rng: random.Random, state: machine.Machine
) -> commands.Command:
    """Returns a random command that may be invalid."""
    tasks = list(state.assignments.tasks.values())
    task = rng.choice(tasks) if tasks else None
    name = task.task if task else "none/0"
    # One command in ten names an outdated epoch.
    epoch = (task.epoch if task else 1) - (rng.random() < 0.1)
    worker = f"w{rng.randrange(6)}"
    rows = [
        make.row(f"job{n}", count=rng.randrange(1, 4))
        if n % 2
        else make.service(f"web{n}", count=rng.randrange(1, 4))
        for n in rng.sample(range(12), 4)
    ]
    revision = state.plan.revision + rng.choice((0, 1, 1, 2))
    operation = str(rng.randrange(10**6))
    checkpoint = rng.choice(("", "c1", "c2"))
    choices: list[commands.Command] = [
        make.register(worker),
        make.sheet(revision, *rows, operation_id=operation),
        commands.SubmitJob(
            operation_id=operation,
            operator="o",
            row=make.row(f"extra{rng.randrange(5)}", count=2),
        ),
        commands.CancelJob(
            operation_id=operation, operator="o", job=f"job{rng.randrange(12)}"
        ),
        commands.SetDrain(
            operation_id=operation,
            operator="o",
            target=worker,
            draining=rng.random() < 0.5,
        ),
        commands.Quarantine(
            worker=worker,
            until_ms=state.now_ms + rng.randrange(-1000, 10_000),
            reason="r",
        ),
        commands.EvictTask(task=name, epoch=epoch, reason="r"),
        commands.ReplaceInstance(task=name, epoch=epoch, reason="r"),
        commands.FailJob(job=name.split("/")[0], code="c", reason="r"),
        commands.ForgetWorker(worker=worker),
        commands.ReserveRequest(
            key=test_request_keys.key_at(
                state.now_ms - rng.randrange(-(10**6), 10**8), rng.randrange(9)
            ),
            fingerprint=rng.randrange(2),
            attempt=str(rng.randrange(3)),
            service="web0",
            entry="e",
        ),
        commands.RecordRequests(
            entry=rng.choice("ab"),
            incarnation=rng.randrange(3),
            sequence=rng.randrange(5),
            records=((1, "web0", "guild", 0, "completed", "", 1),),
        ),
    ]
    if state.request_keys.records:
        record = rng.choice(list(state.request_keys.records.values()))
        choices.append(
            commands.RecordRequestOutcome(
                key=record.key,
                attempt=str(rng.randrange(3)),
                outcome=rng.choice(("completed", "not_run", "unknown")),
                status=200,
                headers=(),
                body=b"x" * rng.choice((0, 10, 5000)),
                digest=1,
                body_kept=True,
            )
        )
    frequent: list[commands.Command] = [
        make.assign(name, worker, processors=rng.randrange(0, 4)),
        commands.EndTask(
            task=name,
            epoch=epoch,
            outcome=rng.choice(
                ("finished", "failed", "lost", "given_up", "lease_expired")
            ),
            checkpoint=checkpoint,
            crash=rng.choice(
                (
                    None,
                    commands.TaskCrash(
                        age_ms=rng.randrange(100_000), confirmed=True
                    ),
                )
            ),
            started=rng.random() < 0.5,
        ),
        commands.ConfirmEviction(task=name, epoch=epoch, checkpoint=checkpoint),
    ]
    return rng.choice(choices + 4 * frequent)
