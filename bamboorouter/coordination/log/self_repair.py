"""Joins replicas to a group and replaces lost members automatically.

A replica that belongs to no group sends a join request to the known addresses,
and the leader adds it as a learner. The leader applies the membership changes
that `policies.member_repair` selects, one at a time.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.log import member_views
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.policies import member_repair
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages

JOIN_PAUSE_MS: Final = 300
JOIN_TIMEOUT_MS: Final = 2000
CHECK_PERIOD_MS: Final = 250
CHANGES_PER_CHECK: Final = 2
# Replicas that start with the leader have joined by then.
JOIN_PERIOD_MS: Final = 10_000
# A member that hears no leader for this long, the duration of several elections,
# sends a join request.
NO_LEADER_TIMEOUT_MS: Final = 5000


class SelfRepair:
    """Joins the local replica to a group, and repairs the group while leading.

    Attributes:
        replica: Replica of this process.
        client: Sends join requests to the leader.
        clock: Source of time.
        tolerated_losses: Number of replicas that may be lost at the same time.
    """

    def __init__(
        self,
        *,
        local_replica: replica.Replica,
        client: control_client.ControlClient,
        time: clock.Clock,
        tolerated_losses: int,
    ) -> None:
        self.replica = local_replica
        self.client = client
        self.clock = time
        self.tolerated_losses = tolerated_losses
        self._created_ms = time.now()
        self._views = member_views.MemberViews()
        self._reported_term = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task that joins or repairs the group."""
        self._task = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops the task and closes the client."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.client.close()

    async def handle_join(self, message: job_messages.JoinGroup) -> None:
        """Adds the sender of a join request as a learner, on the leader.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Another change is not committed yet.
            UnknownResultError: The replica may become a member later.
        """
        await self.replica.add_learner(message.replica, message.address)

    async def _run(self) -> None:
        while True:
            if self.replica.lease_valid():
                await self._repair()
            elif cause := self._join_cause():
                await self._join(cause)
            await asyncio.sleep(clock.seconds(CHECK_PERIOD_MS))

    def _join_cause(self) -> str:
        """Returns why this replica must send a join request; empty if it needn't.

        It must if it isn't in its own member list, or if it has heard no leader
        for NO_LEADER_TIMEOUT_MS: a replica that was removed while it was down
        still finds itself in that list, but receives nothing from a leader. A
        learner may still know the leader of that time.
        """
        local_id = self.replica.engine.id
        if all(member.id != local_id for member in self.replica.members()):
            return "not_a_member"
        return "no_leader" if self._silent_ms() > NO_LEADER_TIMEOUT_MS else ""

    def _silent_ms(self) -> int:
        """Returns for how long this replica has heard no leader, in ms."""
        heard_ms = max(self._created_ms, self.replica.leader_contact_ms())
        return self.clock.now() - heard_ms

    async def _join(self, cause: str) -> None:
        if self.replica.settings.bootstrap and not self.replica.formed():
            # This replica is one of the first members, which form the group.
            return
        # The seeds in the settings may all have been replaced.
        self.client.learn_replicas(
            tuple(member.address for member in self.replica.members())
        )
        try:
            await self.client.call(
                job_messages.JoinGroup(
                    group=self.replica.settings.group,
                    replica=self.replica.engine.id,
                    address=self.replica.address,
                ),
                timeout_ms=JOIN_TIMEOUT_MS,
            )
        except errors.RouterError as err:
            events.log(
                events.REPAIR_DELAYED,
                replica=self.replica.engine.id,
                cause=cause,
                silent_ms=self._silent_ms(),
                tried=self.client.tried_addresses(),
                error=str(err),
            )
            return
        await asyncio.sleep(clock.seconds(JOIN_PAUSE_MS))

    async def _repair(self) -> None:
        # The two changes that exchange a voter follow each other at once.
        for _ in range(CHANGES_PER_CHECK):
            views = self._member_views()
            change = member_repair.next_change(
                views, tolerated=self.tolerated_losses
            )
            if change is None:
                self._report_missing_voters(views)
                return
            if not await self._make_change(change):
                return

    async def _make_change(self, change: member_repair.Change) -> bool:
        """Makes a change; returns whether it is committed."""
        events.log(
            events.MEMBERS_REPAIRED,
            action=change.action,
            member=change.member,
            term=self.replica.term(),
        )
        try:
            match change.action:
                case "promote":
                    await self.replica.promote(change.member)
                case "demote":
                    await self.replica.demote(change.member)
                case "remove":
                    await self.replica.remove(change.member)
        except errors.RouterError as err:
            events.log(
                events.REPAIR_DELAYED,
                replica=self.replica.engine.id,
                cause="change",
                action=change.action,
                member=change.member,
                error=str(err),
            )
            return False
        return True

    def _report_missing_voters(
        self, views: list[member_repair.MemberView]
    ) -> None:
        """Logs once a term that too few replicas have joined the group."""
        missing = member_repair.missing_voters(views, self.tolerated_losses)
        term = self._views.term
        leading_ms = self.clock.now() - self._views.leading_since_ms
        if (
            not missing
            or leading_ms < JOIN_PERIOD_MS
            or self._reported_term == term
        ):
            return
        self._reported_term = term
        events.log(
            events.VOTERS_MISSING,
            missing=missing,
            tolerated_losses=self.tolerated_losses,
            members=len(views),
            term=term,
        )

    def _member_views(self) -> list[member_repair.MemberView]:
        status = self.replica.status()
        return self._views.compute(
            self.replica.members(),
            term=status.term,
            lag=status.lag,
            silent_ms=status.silent_ms,
            former_leader_silent_ms=status.former_leader_silent_ms,
            now=self.clock.now(),
        )
