"""The control role: a replica of the log and, while it leads, the decisions.

One server takes the links of other replicas, agents and entries. Messages of
the consensus go to the replica; everything else goes to the leader's handler,
which redirects callers unless this replica holds a valid leader lease.
"""

import pathlib
from typing import Final

from bamboorouter import clock
from bamboorouter import options
from bamboorouter.coordination.jobs import job_leader
from bamboorouter.coordination.jobs import start_advice
from bamboorouter.coordination.log import replica
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
        handler: Answers what only the leader may answer.
        jobs: Answers what concerns jobs with steps.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        time: clock.Clock | None = None,
        heard_ms: int | None = None,
        advice: start_advice.AdviceSource | None = None,
    ) -> None:
        """Builds the role, not started.

        Args:
            process: Section [process] of the settings.
            settings: Section [control] of the settings.
            time: Source of time.
            heard_ms: Until when an earlier run of this replica may have heard
                a leader, on the clock; None for the present.
            advice: Tells where advised steps may run; None if nobody does.
        """
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}
        time = time or clock.SystemClock()
        self._heard_ms = time.now() if heard_ms is None else heard_ms
        self.replica = replica.Replica(
            process=process,
            settings=settings,
            folder=files.DiskFolder(path=pathlib.Path(settings.data_dir)),
            machine=machine.Machine(),
            time=time,
        )
        self._group = control_group.ControlGroup(own=self.replica)
        self._explanations = explanations.Explanations(read=self._group.explain)
        self.handler = leader_handler.LeaderHandler(
            log=self.replica,
            time=time,
            loop=scheduler.Scheduler(
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
                own=self.replica,
                client=control_client.ControlClient(
                    addresses=process.control, time=time
                ),
                time=time,
                tolerated=settings.tolerated_losses,
            ),
            advice=advice,
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
        await self.replica.start(self.handler.address, heard_ms=self._heard_ms)
        self._group.start()
        self.handler.start()
        self.jobs.start()
        if self.settings.self_repair:
            self.jobs.repair.start()
        self._started = True

    async def stop(self) -> None:
        """Hands leadership over if it leads, then closes all links."""
        self._started = False
        self._explanations.stop()
        await self.handler.stop()
        await self.jobs.repair.stop()
        await self.jobs.stop()
        self._group.stop()
        await self.replica.stop()
        if self._server is not None:
            await self._server.close()

    def halted(self) -> bool:
        """Whether the disk failed; only a new start helps."""
        return self.replica.status().halted

    async def close(self) -> None:
        """Gives up what a failed start or a failed disk has left open."""
        self._started = False
        self._explanations.stop()
        self._group.stop()
        await self.jobs.repair.stop()
        await self.jobs.stop()
        await self.handler.stop()
        if hasattr(self.replica, "engine"):
            await self.replica.stop()
        if self._server is not None:
            await self._server.close()

    def ready(self) -> bool:
        """Whether a leader of the group is known."""
        return self._started and bool(self.replica.leader_address())

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        if not self._started:
            # The port is bound before the data folder is open.
            return messages.Redirect(leader="")
        if isinstance(message, _LEADER_CALLS):
            return await self.handler.handle(message, source)
        if isinstance(message, job_leader.CALLS):
            return await self.jobs.handle(message, source)
        return await self.replica.handle(message, source)
