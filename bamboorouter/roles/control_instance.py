"""One run of a control replica with the services that need it.

An instance lives from one opening of the data folder until its storage fails or
the role stops. Calls that only the leader answers go to `LeaderHandler` or, for
jobs with steps, to `JobLeader`. Both redirect the sender unless this replica
holds a valid leader lease. All other messages, such as those of the consensus,
go to the replica.
"""

import contextlib
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


class ControlInstance:
    """Runs one control replica until its storage fails.

    Attributes:
        settings: Section [control] of the settings.
        replica: The replica of the log.
        handler: Handles calls that only the leader may answer.
        jobs: Handles calls about jobs with steps.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.ControlOptions,
        folder: files.Folder,
        time: clock.Clock,
        seeds: tuple[str, ...],
        advice: start_advice.AdviceSource | None,
    ) -> None:
        """Creates the instance without opening the replica.

        Args:
            process: Section [process] of the settings.
            settings: Section [control] of the settings.
            folder: The data folder; the instance closes it.
            time: Source of time.
            seeds: Addresses at which control replicas may be found.
            advice: Source of placement advice; None if there is none.
        """
        self.settings = settings
        self.replica = replica.Replica(
            process=process,
            settings=settings,
            folder=folder,
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
                client=control_client.ControlClient(addresses=seeds, time=time),
                time=time,
                tolerated_losses=settings.tolerated_losses,
            ),
            advice=advice,
        )
        repair_client = self.jobs.repair.client
        self._seed_notices = seed_notices.SeedNotices(
            local_replica=self.replica, seeds=lambda: repair_client.addresses
        )

    async def start(self, address: str, *, last_leader_contact_ms: int) -> None:
        """Opens the data folder and joins the group.

        Args:
            address: Address that the other replicas dial.
            last_leader_contact_ms: Latest time at which an earlier run of this
                replica may have heard a leader, in ms of the clock.

        Raises:
            StorageError: The data folder can't be read or written.
            OptionsError: `bootstrap` doesn't contain the address.
        """
        self.handler.address = address
        await self.replica.start(
            address, last_leader_contact_ms=last_leader_contact_ms
        )
        self._group.start()
        self.handler.start()
        self.jobs.start()
        if self.settings.self_repair:
            self.jobs.repair.start()
            self._seed_notices.start()

    async def stop(self) -> None:
        """Transfers leadership if this replica leads, then releases all.

        All parts are stopped even if one of them raises an error.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.replica.stop)
            stack.callback(self._group.stop)
            stack.push_async_callback(self.jobs.stop)
            stack.push_async_callback(self.jobs.repair.stop)
            stack.push_async_callback(self._seed_notices.stop)
            stack.push_async_callback(self.handler.stop)
            stack.callback(self._explanations.stop)

    def release_folder(self) -> None:
        """Halts the replica; nothing is written to the folder afterwards."""
        self.replica.release_folder()

    def failure(self) -> Exception | None:
        """Returns the error that halted the replica; None while it runs."""
        return self.replica.engine.failure

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the addresses at which control replicas may be found."""
        self.jobs.repair.client.addresses = seeds

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles a message of another replica, an agent or an entry.

        Raises:
            ProtocolError: The message isn't expected here.
        """
        if isinstance(message, messages.Redirect):
            # This replica has a disk but hasn't joined the group yet.
            self.jobs.repair.client.learn_replicas(message.replicas)
            return message
        if isinstance(message, _LEADER_CALLS):
            return await self.handler.handle(message, source)
        if isinstance(message, job_leader.CALLS):
            return await self.jobs.handle(message, source)
        return await self.replica.handle(message, source)
