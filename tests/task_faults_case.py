"""Defines the base class of tests with faults on a site that runs tasks."""

from devtools import journal
from devtools import site
from tests import site_case

# One VM has capacity for all tasks, so that the other two may fail.
SHAPE = site.small_shape(vms=3, controls=3, entries=0, processors=8)
BATCH_LEASE_S = SHAPE.batch_lease_ms / 1000
SERVICE_LEASE_S = SHAPE.service_lease_ms / 1000
# Urgent tasks start within 3.2 s, possibly after the end of a lease and its
# safety margin.
START_TIMEOUT_S = 10.0
FINISH_TIMEOUT_S = 40.0
# Time for the site to react to an order or a fault before a test continues.
PAUSE_S = 1.5
BATCH_TASKS = 6


class TaskFaultsCase(site_case.SiteTestCase):
    """Starts a site and submits a service and a batch job to it."""

    async def asyncSetUp(self) -> None:
        self.site = await self.start_site(SHAPE)
        self.operator = await self.start_operator(self.site)

    async def submit(self, command: str = "run 6s") -> None:
        """Submits a service of 2 tasks and a job of `BATCH_TASKS` tasks."""
        await self.operator.submit(
            1,
            site_case.service_row("entries", 2),
            site_case.job_row("match", BATCH_TASKS, command),
        )

    def running(self, worker: str = "", task: str = "") -> list[journal.Run]:
        """Returns current runs by prefixes of the worker and the task."""
        return [
            run
            for run in self.site.runs()
            if run.state == "running"
            and run.writer.startswith(worker)
            and run.task.startswith(task)
        ]

    def batch_runs(self) -> list[journal.Run]:
        """Returns all runs of batch tasks."""
        return [r for r in self.site.runs() if r.task.startswith("match")]

    def finished(self) -> set[str]:
        """Returns the tasks that have finished."""
        runs = self.site.runs()
        return {run.task for run in runs if run.state == "finished"}

    async def wait_all_running(self) -> None:
        """Waits until all tasks of the service and the job run."""
        await self.wait_for(
            lambda: len(self.running()) == BATCH_TASKS + 2,
            "all tasks are running",
            within_s=START_TIMEOUT_S,
        )

    async def wait_all_finished(self) -> None:
        """Waits for the end of the job and checks the task invariants."""
        await self.wait_for(
            lambda: len(self.finished()) == BATCH_TASKS,
            "all batch tasks have finished",
            within_s=FINISH_TIMEOUT_S,
        )
        await self.wait_for(
            lambda: len(self.running(task="entries")) == 2,
            "both instances of the service are running",
            within_s=START_TIMEOUT_S,
        )
        self.assert_task_invariants(self.site)

    def busiest_vm(self) -> int:
        """Returns the number of the VM that runs the most tasks."""
        numbers = range(1, len(SHAPE.vms) + 1)
        return max(numbers, key=lambda n: len(self.running(f"worker-{n}")))
