"""Tells the capacities of the workers that report to this leader."""

from collections.abc import Iterable

from bamboorouter import clock
from bamboorouter.coordination.jobs import run_measurements
from bamboorouter.coordination.jobs import run_monitor
from bamboorouter.coordination.jobs import worker_capacities
from bamboorouter.coordination.jobs import worker_rooms
from bamboorouter.coordination.jobs import worker_table
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.policies import run_placement
from bamboorouter.protocol import common
from bamboorouter.protocol import job_messages


class LiveCapacities:
    """Capacities of the live workers, for admission and for placement.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        table: Workers that reported to this leader.
        superseded: Superseded runs that may run although they aren't reported.
        run_monitor: Failures, rejections and speeds of runs.
        measurements: Utilization of serving runs as measured by workers.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        table: worker_table.WorkerTable,
        superseded: worker_capacities.SupersededRuns,
        monitor: run_monitor.RunMonitor,
        measurements: run_measurements.RunMeasurements,
    ) -> None:
        self.log = log
        self.clock = time
        self.table = table
        self.superseded = superseded
        self.run_monitor = monitor
        self.measurements = measurements

    def reported(self, service: str) -> Iterable[common.Resources]:
        """Returns the capacity of each live worker of a service.

        The result is empty until every live worker has had time to report.
        """
        return (worker.report.room for worker in self._workers_of(service))

    def largest(self, service: str) -> Iterable[common.Resources]:
        """Returns the largest capacity that each live worker has had.

        Unlike `reported`, they include what workers lack now and may have
        again. The result is empty until every live worker has had time to
        report.
        """
        state = self.log.machine.stepped
        return (
            worker_rooms.largest_room(state, worker.report, worker.largest_room)
            for worker in self._workers_of(service)
        )

    def _workers_of(self, service: str) -> list[worker_table.LiveWorker]:
        if not self.table.is_complete(self.clock.now()):
            return []
        return [
            worker
            for worker in self.table.workers.values()
            if worker.report.service == service
        ]

    def usable(self) -> list[run_placement.WorkerCapacity]:
        """Returns the capacities of the workers that may get new runs."""
        now = self.clock.now()
        capacities = (
            self.for_placement(name)
            for name, worker in self.table.workers.items()
            if worker.usable(now)
        )
        return [capacity for capacity in capacities if capacity is not None]

    def for_placement(self, name: str) -> run_placement.WorkerCapacity | None:
        """Returns the free capacity and load of a worker.

        Returns None if the capacity is unknown.
        """
        worker = self.table.workers.get(name)
        if worker is None:
            return None
        return worker_capacities.placement_capacity(
            self.log.machine.stepped,
            worker.report,
            superseded=self.superseded.tasks(name),
            ejected=self.run_monitor.is_avoided(name),
            own_utilization=self.measurements.own_utilization,
        )

    def has_room_to_start(self, report: job_messages.WorkerReport) -> bool:
        """Returns whether the assigned runs fit beside all that may run."""
        return worker_capacities.has_room_to_start(
            self.log.machine.stepped,
            report,
            self.superseded.tasks(report.worker),
        )
