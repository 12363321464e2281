"""The control role: a replica of the log that schedules while it leads.

One server accepts the links of other replicas, agents and entries. Calls that
only the leader answers go to `LeaderHandler` or, for jobs with steps, to
`JobLeader`. Both redirect the sender unless this replica holds a valid leader
lease. All other messages, such as those of the consensus, go to the replica.
"""

import pathlib
from typing import Final

from bamboorouter import clock
from bamboorouter import options
from bamboorouter.coordination.jobs import job_leader
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.log import seed_notices
from bamboorouter.coordination.log import self_repair
from bamboorouter.coordination.policies import bundle
from bamboorouter.coordination.requests import control_client
from bamboorouter.coordination.scheduling import explanations
from bamboorouter.coordination.scheduling import leader_handler
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import messages
from bamboorouter.roles import control_group
from bamboorouter.state import machine
from bamboorouter.transport import files
from bamboorouter.transport import link

_LEADER_CALLS: Final = (
    messages.Heartbeat,
    messages.EntryPoll,
    messages.Reserve,
    messages.RecordOutcome,
    messages.RequestRecords,
    messages.OperatorCall,
)


class ControlRole:
    """Runs the control role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [control] of the settings.
        addresses: Bound addresses by name.
        replica: This process's replica of the log.
        handler: Handles calls that only the leader may answer.
        jobs: Handles calls about jobs with steps.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        time: clock.Clock | None = None,
        last_leader_contact_ms: int | None = None,
        advice: start_advice.AdviceSource | None = None,
    ) -> None:
        """Creates the role without starting it.

        Args:
            process: Section [process] of the settings.
            settings: Section [control] of the settings.
            time: Source of time.
            last_leader_contact_ms: Latest monotonic time in ms at which an
                earlier run of this replica may have heard a leader; None for
                the present.
            advice: Source of placement advice for the steps of queues that
                need it; None if there is none.
        """
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}
        time = time or clock.SystemClock()
        self._last_leader_contact_ms = (
            time.now()
            if last_leader_contact_ms is None
            else last_leader_contact_ms
        )
        self.replica = replica.Replica(
            process=process,
            settings=settings,
            folder=files.DiskFolder(path=pathlib.Path(settings.data_dir)),
            machine=machine.Machine(),
            time=time,
        )
        self._group = control_group.ControlGroup(local_replica=self.replica)
        self._explanations = explanations.ExplanationRunner(
            read=self._group.explain
        )
        self.handler = leader_handler.LeaderHandler(
            log=self.replica,
            time=time,
            scheduling_loop=scheduler.Scheduler(
                log=self.replica,
                time=time,
                service_lease_ms=settings.service_lease_ms,
                batch_lease_ms=settings.batch_lease_ms,
                policies=bundle.by_name(settings.policies),
            ),
            group=self._group,
            explain=self._explanations.get,
        )
        self.jobs = job_leader.JobLeader(
            local_replica=self.replica,
            time=time,
            repair=self_repair.SelfRepair(
                local_replica=self.replica,
                client=control_client.ControlClient(
                    addresses=process.control, time=time
                ),
                time=time,
                tolerated_losses=settings.tolerated_losses,
            ),
            advice=advice,
        )
        repair_client = self.jobs.repair.client
        self._seed_notices = seed_notices.SeedNotices(
            local_replica=self.replica, seeds=lambda: repair_client.addresses
        )
        self._server: link.LinkServer | None = None
        self._started = False

    async def start(self) -> None:
        """Binds the address, opens the data folder and joins the group."""
        host, _, port = self.settings.listen.rpartition(":")
        self._server = await link.serve_links(
            host=host, port=int(port), handler=self._handle
        )
        bound = f"{host}:{self._server.port}"
        self.addresses = {"control.listen": bound}
        self.handler.address = self.settings.advertise or bound
        await self.replica.start(
            self.handler.address,
            last_leader_contact_ms=self._last_leader_contact_ms,
        )
        self._group.start()
        self.handler.start()
        self.jobs.start()
        if self.settings.self_repair:
            self.jobs.repair.start()
            self._seed_notices.start()
        self._started = True

    async def stop(self) -> None:
        """Transfers leadership if this replica leads, then closes all links."""
        self._started = False
        self._explanations.stop()
        await self.handler.stop()
        await self._seed_notices.stop()
        await self.jobs.repair.stop()
        await self.jobs.stop()
        self._group.stop()
        await self.replica.stop()
        if self._server is not None:
            await self._server.close()

    def halted(self) -> bool:
        """Whether storage failed, so that the replica must be restarted."""
        return self.replica.status().halted

    async def close(self) -> None:
        """Releases all resources after a failed start or a storage failure."""
        self._started = False
        self._explanations.stop()
        self._group.stop()
        await self._seed_notices.stop()
        await self.jobs.repair.stop()
        await self.jobs.stop()
        await self.handler.stop()
        # The replica has an engine only once its start has opened the folder.
        if hasattr(self.replica, "engine"):
            await self.replica.stop()
        if self._server is not None:
            await self._server.close()

    def ready(self) -> bool:
        """Whether the role is started and a leader of the group is known."""
        return self._started and bool(self.replica.leader_address())

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        if not self._started:
            # Messages may arrive before the data folder is open, because the
            # port is bound first.
            return messages.Redirect(leader="")
        if isinstance(message, messages.Redirect):
            # This replica has a disk but hasn't joined the group yet.
            self.jobs.repair.client.learn_replicas(message.replicas)
            return message
        if isinstance(message, _LEADER_CALLS):
            return await self.handler.handle(message, source)
        if isinstance(message, job_leader.CALLS):
            return await self.jobs.handle(message, source)
        return await self.replica.handle(message, source)
