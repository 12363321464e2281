"""Lets a group form, grow and repair itself without an operator.

A replica that belongs to no group asks the known addresses to be taken in; the
leader adds it as a learner. While leading, a replica makes one change of
members at a time, as `policies.member_repair` decides.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.log import member_changes
from bamboorouter.coordination.log import replica
from bamboorouter.coordination.policies import member_repair
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages

JOIN_PAUSE_MS: Final = 300
JOIN_TIMEOUT_MS: Final = 2000
CHECK_PERIOD_MS: Final = 250
# Several elections; a member that hears no leader for this long asks.
LEFT_OUT_MS: Final = 5000


class SelfRepair:
    """Joins a group, and repairs it while leading.

    Attributes:
        replica: This process's replica.
        client: Calls the leader, for joining.
        clock: Source of time.
        tolerated_losses: How many replicas may be lost at the same time.
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
        self._led_ms = time.now()
        self._leading_since_ms = 0
        self._leading_term = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to join or to watch over the group."""
        self._task = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.client.close()

    async def handle_join(self, message: job_messages.JoinGroup) -> None:
        """Adds a replica as a learner; on the leader only.

        Raises:
            NotLeaderError: Nothing was changed.
            RefusedError: Another change is under way.
            UnknownResultError: It may be a member later.
        """
        await self.replica.add_learner(message.replica, message.address)

    async def _run(self) -> None:
        while True:
            try:
                if self.replica.lease_valid():
                    await self._repair()
                elif self._left_out():
                    await self._join()
            except errors.RouterError as err:
                events.log(events.REPAIR_DELAYED, error=str(err))
            await asyncio.sleep(clock.seconds(CHECK_PERIOD_MS))

    def _left_out(self) -> bool:
        """Whether this replica must ask to be taken in.

        One that was removed while it was down still finds itself in its
        member list, but no leader sends it anything.
        """
        now = self.clock.now()
        own = self.replica.engine.id
        if self.replica.leader_address():
            self._led_ms = now
        member = any(m.id == own for m in self.replica.members())
        return not member or now - self._led_ms > LEFT_OUT_MS

    async def _join(self) -> None:
        if self.replica.settings.bootstrap and not self.replica.formed():
            # It is one of those that form the group.
            return
        await self.client.call(
            job_messages.JoinGroup(
                group=self.replica.settings.group,
                replica=self.replica.engine.id,
                address=self.replica.address,
            ),
            timeout_ms=JOIN_TIMEOUT_MS,
        )
        await asyncio.sleep(clock.seconds(JOIN_PAUSE_MS))

    async def _repair(self) -> None:
        change = member_repair.next_change(
            self._views(), tolerated=self.tolerated_losses
        )
        if change is None:
            return
        events.log(
            events.MEMBERS_REPAIRED,
            action=change.action,
            member=change.member,
            term=self.replica.term(),
        )
        if change.action == "promote":
            await self.replica.promote(change.member)
        else:
            await self.replica.remove(change.member)

    def _views(self) -> list[member_repair.MemberView]:
        status = self.replica.status()
        now = self.clock.now()
        if status.term != self._leading_term:
            self._leading_term = status.term
            self._leading_since_ms = now
        # A member that hasn't answered this leader yet isn't silent for
        # longer than the leader leads.
        longest_ms = now - self._leading_since_ms
        return [
            member_repair.MemberView(
                id=member.id,
                address=member.address,
                voter=member.voter,
                silent_ms=min(status.silent_ms.get(member.id, 0), longest_ms),
                caught_up=status.lag.get(member.id, 0)
                <= member_changes.CAUGHT_UP_ENTRIES,
            )
            for member in self.replica.members()
        ]
