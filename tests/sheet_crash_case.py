"""Defines a site whose VMs go down under some tasks of the sheet."""

import collections
import dataclasses

from bamboorouter.protocol import commands
from tests import control_fakes as fakes
from tests import test_scheduler


@dataclasses.dataclass(kw_only=True)
class Vm:
    """A VM that may go down.

    Attributes:
        agent: Its agent.
        down_beats: Heartbeats until it is back; 0 while it is up.
        beats: Heartbeats that each task has run, by task and epoch.
    """

    agent: fakes.FakeAgent
    down_beats: int = 0
    beats: collections.Counter[tuple[str, int]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def go_down(self, beats: int) -> None:
        """Ends all tasks and the agent."""
        self.down_beats = beats
        self.agent.tasks.clear()
        self.agent.fields["incarnation"] += 1
        self.agent.link = object()


class CrashCase(test_scheduler.SchedulerCase):
    """VMs under a scheduler, some of whose rows take their VM down.

    Attributes:
        vms: The VMs.
        deadly: Number of heartbeats after which a task takes its VM down, by
            task.
        crashes: Number of VMs that each of these took down.
        lost: Runs of other tasks that were lost with their VM.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.vms: list[Vm] = []
        self.deadly: dict[str, int] = {}
        self.crashes: collections.Counter[str] = collections.Counter()
        self.lost = 0

    def build(self, count: int, **fields: object) -> None:
        self.vms = [
            Vm(agent=self.agent(f"w{number}", **fields))
            for number in range(count)
        ]

    async def run_for(self, beats: int, down_beats: int = 5) -> None:
        """Runs the site for a number of seconds.

        Args:
            beats: The number of seconds; each agent sends one heartbeat in
                each.
            down_beats: Seconds for which a VM that went down is absent.
        """
        for _ in range(beats):
            self.clock.advance(1000)
            for vm in self.vms:
                if vm.down_beats:
                    vm.down_beats -= 1
                    continue
                await vm.agent.send_heartbeat()
                self.take_down(vm, down_beats)
            await self.leader.run_pass()

    def take_down(self, vm: Vm, down_beats: int) -> None:
        """Lets the VM go down if a deadly task has run for long enough."""
        running = vm.agent.running()
        vm.beats.update((name, vm.agent.tasks[name].epoch) for name in running)
        for name in sorted(running):
            ran = vm.beats[name, vm.agent.tasks[name].epoch]
            if name in self.deadly and ran > self.deadly[name]:
                self.crashes[name] += 1
                self.lost += len(running) - 1
                vm.go_down(down_beats)
                return

    def crash_counts(self, *names: str) -> list[int]:
        """Returns the number of crashes that count for each task."""
        tasks = self.log.machine.assignments.tasks
        return [tasks[name].crashes for name in names]

    def assert_started(self, row: str, count: int) -> None:
        """Asserts that all tasks of a row are assigned."""
        states = {self.status(f"{row}/{number}") for number in range(count)}
        self.assertEqual(states, {"assigned"})

    def starts(self, name: str) -> int:
        """Returns how often a task was assigned."""
        return sum(
            isinstance(command, commands.Assign)
            and command.task == name
            and result.ok
            for command, result in self.log.history
        )
