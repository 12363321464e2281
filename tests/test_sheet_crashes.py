"""Guards against tasks of the sheet that take down each worker they run on.

Such a task must not be started for ever, and its neighbours must not be given
up for it. Restarts of agents, expired leases and drains count for nothing.
"""

from collections.abc import Iterable
import random

import prometheus_client

from bamboorouter import error_texts
from bamboorouter.coordination.policies import crash_attribution
from bamboorouter.coordination.policies import fault_attribution
from bamboorouter.coordination.scheduling import assignment_planner
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.protocol import messages
from bamboorouter.state import account_records
from bamboorouter.state import sheet_crashes
from tests import control_fakes as fakes
from tests import machine_commands as make
from tests import sheet_crash_case


class DeadlyTaskTest(sheet_crash_case.CrashCase):
    """A batch task that crashes its VM is given up, and no other task is."""

    async def test_task_that_crashes_its_vm_at_once_is_given_up(self) -> None:
        self.build(4)
        self.deadly = {"bad/0": 0}
        self.log.apply(
            make.sheet(1, make.row("good", count=6), make.row("bad"))
        )
        await self.run_for(600)
        self.assertEqual(self.status("bad/0"), "failed")
        self.assertLessEqual(self.crashes["bad/0"], 5)
        self.assertLessEqual(self.lost, 6)
        self.assert_started("good", 6)
        self.assertFalse(self.leader.planner.failures)

    async def test_task_that_crashes_its_vm_after_seconds_is_given_up(
        self,
    ) -> None:
        self.build(4)
        self.deadly = {"bad/0": 8}
        self.log.apply(
            make.sheet(1, make.row("good", count=6), make.row("bad"))
        )
        await self.run_for(600)
        self.assertEqual(self.status("bad/0"), "failed")
        self.assertLessEqual(self.crashes["bad/0"], 5)
        self.assert_started("good", 6)

    async def test_reason_is_kept_and_in_the_account(self) -> None:
        self.build(3)
        self.deadly = {"bad/0": 0}
        self.log.apply(make.sheet(1, make.row("bad")))
        await self.run_for(200)
        task = self.log.machine.assignments.tasks["bad/0"]
        self.assertRegex(task.detail, r"crashes its workers: w\d .* crashes: 5")
        descriptions = [
            text
            for command, result in self.log.history
            for _, text, _ in account_records.describe(
                "bad/0", command, account_records.PlanTracker(), result
            )
        ]
        self.assertIn("given_up: crashes its workers", descriptions[-1])
        self.assertEqual(self.log.machine.plan.jobs["bad"].failed, 1)

    async def test_other_tasks_of_the_row_are_not_given_up(self) -> None:
        self.build(4)
        self.deadly = {"row/2": 0}
        self.log.apply(make.sheet(1, make.row("row", count=6)))
        await self.run_for(900)
        self.assertEqual(self.status("row/2"), "failed")
        self.assertLessEqual(self.crashes["row/2"], 5)
        states = [self.status(f"row/{n}") for n in (0, 1, 3, 4, 5)]
        self.assertEqual(states, ["assigned"] * 5)

    async def test_two_such_tasks_are_given_up_and_no_other(self) -> None:
        for after in (0, 3, 12):
            with self.subTest(after=after):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.build(6)
                self.deadly = {"bad/0": after, "worse/0": 0}
                self.log.apply(
                    make.sheet(
                        1,
                        make.row("good", count=12),
                        make.row("bad"),
                        make.row("worse"),
                    )
                )
                await self.run_for(900)
                for name in self.deadly:
                    self.assertEqual(self.status(name), "failed")
                    self.assertLessEqual(
                        self.crashes[name], crash_attribution.MAX_CRASHES
                    )
                self.assert_started("good", 12)

    async def test_full_site_gives_up_the_deadly_task_only(self) -> None:
        """No suspect can be placed alone."""
        self.build(2)
        self.deadly = {"bad/0": 0}
        self.log.apply(
            make.sheet(1, make.row("bad"), make.row("good", count=7))
        )
        await self.run_for(900)
        self.assertEqual(self.status("bad/0"), "failed")
        self.assertLessEqual(
            self.crashes["bad/0"], crash_attribution.MAX_CRASHES
        )
        self.assert_started("good", 7)

    async def test_vms_that_are_back_after_the_leases_of_services(self) -> None:
        self.build(4)
        self.deadly = {"bad/0": 0}
        self.log.apply(
            make.sheet(
                1,
                make.service("web", count=4),
                make.row("good", count=4),
                make.row("bad"),
            )
        )
        await self.run_for(900, down_beats=30)
        self.assertEqual(self.status("bad/0"), "failed")
        self.assertLessEqual(self.crashes["bad/0"], 5)
        self.assert_started("web", 4)
        self.assert_started("good", 4)

    async def test_worker_process_that_loses_its_tasks_counts(self) -> None:
        """The agent goes on, and reports the tasks that its worker lost."""
        self.build(3)
        self.log.apply(make.sheet(1, make.row("good"), make.row("bad")))
        for _ in range(200):
            self.clock.advance(1000)
            for vm in self.vms:
                await vm.agent.send_heartbeat()
                if "bad/0" in vm.agent.running():
                    for name in vm.agent.running():
                        vm.agent.tasks[name].state = "stopped"
                        vm.agent.tasks[name].detail = common.LOST_BY_WORKER
            await self.leader.run_pass()
        self.assertEqual(self.status("bad/0"), "failed")
        self.assertLessEqual(self.starts("bad/0"), 5)
        self.assert_started("good", 1)


class DeadlyServiceTest(sheet_crash_case.CrashCase):
    """A service that crashes its VM is delayed, but never given up."""

    async def run_service(self, down_beats: int) -> int:
        """Returns how often the service is started in 600 s."""
        self.build(4)
        self.deadly = {"web/0": 0}
        self.log.apply(
            make.sheet(1, make.service("web"), make.row("good", count=6))
        )
        await self.run_for(600, down_beats=down_beats)
        self.assertNotEqual(self.status("web/0"), "failed")
        task = self.log.machine.assignments.tasks["web/0"]
        self.assertLessEqual(
            assignment_planner.retry_at_ms(task),
            task.ended_ms + sheet_crashes.MAX_RETRY_BACKOFF_MS["service"],
        )
        self.assert_started("good", 6)
        return self.starts("web/0")

    async def test_service_is_started_less_and_less_often(self) -> None:
        self.assertLessEqual(await self.run_service(down_beats=5), 15)

    async def test_crashes_after_its_lease_count_late(self) -> None:
        self.assertLessEqual(await self.run_service(down_beats=30), 12)

    async def test_service_is_started_for_ever(self) -> None:
        self.build(3)
        self.deadly = {"web/0": 0}
        self.log.apply(make.sheet(1, make.service("web")))
        await self.run_for(1200)
        starts = self.starts("web/0")
        await self.run_for(200)
        self.assertGreater(self.starts("web/0"), starts)


class NoCrashTest(sheet_crash_case.CrashCase):
    """Ends that aren't crashes count for nothing."""

    async def start(self) -> sheet_crash_case.Vm:
        """Returns the VM on which the only task has run for some seconds."""
        self.build(1)
        self.log.apply(make.sheet(1, make.row("job")))
        await self.run_for(5)
        self.assertEqual(self.vms[0].agent.running(), {"job/0"})
        return self.vms[0]

    async def test_crash_counts_once(self) -> None:
        vm = await self.start()
        vm.go_down(2)
        await self.run_for(10)
        self.assertEqual(self.log.outcomes("job/0"), ["lost"])
        self.assertEqual(self.crash_counts("job/0"), [1])

    async def test_age_after_a_clock_was_set_back(self) -> None:
        vm = await self.start()
        self.clock.wall_ms -= 3_600_000
        vm.go_down(2)
        await self.run_for(10)
        task = self.log.machine.assignments.tasks["job/0"]
        self.assertEqual(task.crash_ages_ms, (0,))

    async def test_agent_that_is_restarted_while_its_tasks_go_on(self) -> None:
        vm = await self.start()
        for incarnation in range(2, 12):
            vm.agent.fields["incarnation"] = incarnation
            vm.agent.link = object()
            await self.run_for(3)
        self.assertEqual(self.starts("job/0"), 1)
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_task_that_is_missing_from_the_same_incarnation(self) -> None:
        vm = await self.start()
        vm.agent.fields["incarnation"] = 2
        vm.agent.link = object()
        await self.run_for(3)
        vm.agent.tasks.clear()
        await self.run_for(3)
        self.assertEqual(self.log.outcomes("job/0"), ["lost"])
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_leaving_agent(self) -> None:
        vm = await self.start()
        vm.agent.fields["leaving"] = True
        await self.run_for(2)
        vm.go_down(3)
        vm.agent.fields["leaving"] = False
        await self.run_for(10)
        self.assertEqual(self.log.outcomes("job/0"), ["lost"])
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_drained_worker(self) -> None:
        vm = await self.start()
        self.log.apply(
            commands.SetDrain(
                operation_id="d", operator="o", target="w0", draining=True
            )
        )
        vm.go_down(3)
        await self.run_for(10)
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_expired_lease_of_an_agent_that_goes_on(self) -> None:
        vm = await self.start()
        self.clock.advance(fakes.BATCH_LEASE_MS + 20_000)
        await self.leader.run_pass()
        self.assertEqual(self.log.outcomes("job/0"), ["lease_expired"])
        vm.agent.link = object()
        await self.run_for(5)
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_agent_that_is_restarted_after_the_lease(self) -> None:
        """The worker lists the task, which it has stopped."""
        vm = await self.start()
        self.clock.advance(fakes.BATCH_LEASE_MS + 20_000)
        await self.leader.run_pass()
        vm.agent.fields["incarnation"] = 2
        vm.agent.link = object()
        await self.run_for(5)
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_assignment_that_was_never_sent(self) -> None:
        self.build(1)
        await self.run_for(2)
        self.log.apply(make.sheet(1, make.row("job")))
        await self.leader.run_pass()
        self.assertEqual(self.worker_of("job/0"), "w0")
        self.vms[0].go_down(10)
        await self.run_for(20)
        self.assertEqual(self.log.outcomes("job/0"), ["lease_expired"])
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_end_of_a_run_that_a_new_leader_has_not_seen(self) -> None:
        vm = await self.start()
        vm.go_down(2)
        self.log.elect_again()
        await self.run_for(10)
        self.assertEqual(self.log.outcomes("job/0"), ["lost"])
        self.assertEqual(self.crash_counts("job/0"), [0])

    async def test_tasks_on_vms_that_crash_by_themselves_go_on(self) -> None:
        """Half of the VMs crash at random; there is no deadly task."""
        for seed in range(4):
            with self.subTest(seed=seed):
                await self.asyncTearDown()
                await self.asyncSetUp()
                rng = random.Random(seed)
                self.build(8)
                self.log.apply(
                    make.sheet(
                        1,
                        make.service("web", count=4),
                        make.row("good", count=16),
                    )
                )
                for _ in range(60):
                    await self.run_for(rng.randrange(1, 20))
                    for vm in rng.sample(self.vms, 4):
                        if not vm.down_beats:
                            vm.go_down(rng.randrange(2, 25))
                failed = self.log.machine.plan.jobs["good"].failed
                self.assertEqual(failed, 0)


class ExpiredRunTest(sheet_crash_case.CrashCase):
    """A crash counts late if the lease had expired before the VM was back."""

    async def start(self, **fields: object) -> sheet_crash_case.Vm:
        """Returns a VM that is back after the lease of its service."""
        self.build(2)
        self.log.apply(make.sheet(1, make.service("web")))
        await self.run_for(5)
        vm = next(each for each in self.vms if each.agent.running())
        vm.go_down(20)
        await self.run_for(20)
        self.assertEqual(self.log.outcomes("web/0"), ["lease_expired"])
        vm.agent.fields.update(fields)
        await self.run_for(5)
        return vm

    async def test_crash_counts_late_and_once(self) -> None:
        vm = await self.start()
        outcomes = ["lease_expired", "crashed"]
        self.assertEqual(self.log.outcomes("web/0"), outcomes)
        task = self.log.machine.assignments.tasks["web/0"]
        self.assertEqual((task.crashes, task.status), (1, "assigned"))
        self.assertEqual(task.crash_ages_ms, (4000,))
        vm.go_down(5)
        await self.run_for(20)
        self.assertEqual(self.log.outcomes("web/0"), outcomes)

    async def test_end_is_not_counted_twice(self) -> None:
        await self.start()
        value = prometheus_client.REGISTRY.get_sample_value(
            "bamboorouter_tasks_ended_total",
            {"kind": "service", "team": "guild", "outcome": "crashed"},
        )
        self.assertIsNone(value)

    async def test_agent_that_does_not_know_its_tasks_yet(self) -> None:
        await self.start(worker_ready=False)
        self.assertEqual(self.crash_counts("web/0"), [0])

    async def test_other_worker_that_crashes(self) -> None:
        self.build(2)
        self.log.apply(make.sheet(1, make.service("web")))
        await self.run_for(2)
        vm, other = sorted(self.vms, key=lambda each: not each.agent.running())
        vm.go_down(60)
        other.go_down(20)
        await self.run_for(25)
        self.assertEqual(self.log.outcomes("web/0"), ["lease_expired"])
        self.assertEqual(self.crash_counts("web/0"), [0])

    async def test_run_that_its_agent_has_reported_as_ended(self) -> None:
        self.build(1)
        self.log.apply(make.sheet(1, make.service("web")))
        await self.run_for(5)
        agent = self.vms[0].agent
        self.clock.advance(fakes.SERVICE_LEASE_MS + 5000)
        await self.leader.run_pass()
        await self.leader.heartbeat(self.stopped(agent), agent.link)
        self.vms[0].go_down(1)
        await self.run_for(5)
        self.assertEqual(self.log.outcomes("web/0")[0], "lease_expired")
        self.assertEqual(self.crash_counts("web/0"), [0])

    def stopped(self, agent: fakes.FakeAgent) -> messages.Heartbeat:
        """Returns a heartbeat after the leases have ended."""
        agent.expire()
        self.assertEqual(agent.running(), set())
        return agent.message()

    async def test_all_runs_are_compared(self) -> None:
        recorder = Recorder()
        self.leader.heartbeats.crash_attribution = recorder
        self.build(1)
        self.log.apply(make.sheet(1, make.service("web"), make.row("job")))
        await self.run_for(5)
        self.vms[0].go_down(20)
        await self.run_for(25)
        self.assertEqual(recorder.seen, [["job/0", "web/0"]])


class Recorder(crash_attribution.CrashAttribution):
    """Records the suspects of each crash.

    Attributes:
        seen: IDs of the suspects, by crash.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[list[str]] = []

    def given_up(
        self, suspects: Iterable[crash_attribution.Suspect], now: int
    ) -> set[str]:
        """Returns no task."""
        self.seen.append(sorted(suspect.task for suspect in suspects))
        return set()


class WiringTest(sheet_crash_case.CrashCase):
    """The count reaches placement, the account and the attribution of faults."""

    def count_crashes(self, name: str, count: int) -> None:
        """Adds crashes to the replicated task."""
        for _ in range(count):
            self.log.apply(make.assign(name, "w0"))
            self.log.apply(
                commands.EndTask(
                    task=name,
                    epoch=self.log.machine.assignments.tasks[name].epoch,
                    outcome="lost",
                    crash=commands.TaskCrash(age_ms=1000, confirmed=True),
                )
            )

    async def test_suspect_and_others_are_placed_apart(self) -> None:
        self.build(2)
        await self.run_for(1)
        self.log.apply(make.sheet(1, make.row("good", count=2)))
        await self.run_for(3)
        places = {self.worker_of(f"good/{n}") for n in range(2)}
        self.assertEqual(len(places), 1)
        rows = [make.row("good", count=2), make.row("bad", millicores=1000)]
        self.log.apply(make.sheet(2, *rows))
        self.count_crashes("bad/0", 2)
        await self.run_for(20)
        self.assertNotIn(self.worker_of("bad/0"), places)
        # Best fit alone would fill up the worker of the suspect.
        self.log.apply(make.sheet(3, *rows, make.service("web")))
        await self.run_for(2)
        self.assertIn(self.worker_of("web/0"), places)

    async def test_cancelled_task_is_not_given_up(self) -> None:
        self.build(1)
        await self.run_for(1)
        self.log.apply(make.sheet(1, make.row("bad")))
        self.count_crashes("bad/0", 7)
        self.clock.advance(600_000)
        await self.run_for(2)
        self.assertEqual(self.status("bad/0"), "assigned")
        self.log.apply(
            commands.CancelJob(operation_id="c", operator="o", job="bad")
        )
        self.vms[0].go_down(1)
        await self.run_for(5)
        self.assertEqual(self.log.outcomes("bad/0")[7:], ["lost"])
        self.assertEqual(self.log.machine.plan.jobs["bad"].cancelled, 1)

    async def test_job_fails_with_several_of_its_tasks(self) -> None:
        self.build(6)
        self.deadly = {f"bad/{number}": 0 for number in range(12)}
        for vm in self.vms:
            self.leader.fault_detector.policy.observe(
                fault_attribution.Outcome(
                    job="other",
                    worker=vm.agent.name,
                    finished=True,
                    at_ms=self.clock.now(),
                )
            )
        self.log.apply(make.sheet(1, make.row("bad", count=12)))
        await self.run_for(1800)
        job = self.log.machine.plan.jobs["bad"]
        self.assertEqual((job.verdict, job.open_tasks), ("failed", 0))

    async def test_ends_that_a_stop_explains_are_no_crash(self) -> None:
        cases: tuple[tuple[str, str, dict[str, object]], ...] = (
            ("drop", common.LOST_BY_WORKER, {}),
            ("leaving", common.LOST_BY_WORKER, {"leaving": True}),
            ("refused", error_texts.NO_CAPACITY, {}),
            ("cancelled", common.LOST_BY_WORKER, {}),
        )
        for case, detail, fields in cases:
            with self.subTest(case):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.build(1)
                self.log.apply(make.sheet(1, make.row("job"), make.row("on")))
                await self.run_for(4)
                agent = self.vms[0].agent
                agent.tasks["job/0"].state = "stopped"
                agent.tasks["job/0"].detail = detail
                agent.fields.update(fields)
                if case == "cancelled":
                    self.log.apply(
                        commands.CancelJob(
                            operation_id="c", operator="o", job="job"
                        )
                    )
                await agent.send_heartbeat()
                expected = int(case == "drop")
                self.assertEqual(self.crash_counts("job/0"), [expected])


class RecordTest(sheet_crash_case.CrashCase):
    """The count survives elections and ends with a long run."""

    async def test_task_is_given_up_across_an_election(self) -> None:
        for after in (1, 2):
            with self.subTest(crashes_before=after):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.assertLessEqual(await self.run_deadly({after}), 5)

    async def test_elections_between_all_crashes(self) -> None:
        """Each leader sees one crash only."""
        crashes = await self.run_deadly(set(range(20)))
        self.assertEqual(crashes, crash_attribution.MAX_CRASHES)

    async def run_deadly(self, elections: set[int]) -> int:
        """Returns how often a task crashes its VM until it is given up.

        Args:
            elections: Numbers of counted crashes after which a leader is
                elected.
        """
        self.build(4)
        self.deadly = {"bad/0": 3}
        self.log.apply(make.sheet(1, make.row("bad"), make.row("good")))
        counted = 0
        for _ in range(1800):
            await self.run_for(1)
            before, counted = counted, self.crash_counts("bad/0")[0]
            if counted > before and counted in elections:
                self.log.elect_again()
        self.assertEqual(self.status("bad/0"), "failed")
        self.assert_started("good", 1)
        return self.crashes["bad/0"]

    async def test_long_run_clears_the_count(self) -> None:
        self.build(1)
        self.log.apply(make.sheet(1, make.row("job")))
        for beats, expected in ((4, 1), (4, 2), (30, 3), (70, 1), (20, 2)):
            await self.run_for(40 if expected > 2 else 12)
            if beats == 70:
                await self.run_for(70)
            self.vms[0].go_down(2)
            await self.run_for(6)
            self.assertEqual(self.crash_counts("job/0"), [expected])
