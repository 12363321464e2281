"""Handles all messages that only the leader may answer.

Without a valid leader lease every message is answered with a redirect. Changed
routes and configuration are pushed to each entry on the link on which it last
polled. An entry that misses a push receives the changes with its next poll.
"""

import asyncio
import contextlib
from typing import Any
from typing import Final

import msgspec
import reactivex.abc

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import supervision
from bamboorouter.coordination.log import replicated_log
from bamboorouter.coordination.scheduling import operations
from bamboorouter.coordination.scheduling import route_publisher
from bamboorouter.coordination.scheduling import scheduler
from bamboorouter.protocol import commands
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# Less than the 800 ms after which a caller tries another replica.
PROPOSE_TIMEOUT_MS: Final = 700
PUSH_TIMEOUT_MS: Final = 500
# Changes that arrive within this time are combined into one push.
PUSH_DELAY_MS: Final = 20
SILENCE_CHECK_PERIOD_MS: Final = 1000


class LeaderHandler:
    """Handles messages of agents, entries and operators.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        scheduler: The scheduling loop of the leader.
        routes: Route table and the last polls of entries.
        operators: Handler of operator calls.
        address: Address of this replica, to which it never redirects.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        scheduling_loop: scheduler.Scheduler,
        group: operations.GroupMembership,
        explain: operations.Explain,
    ) -> None:
        self.log = log
        self.clock = time
        self.scheduler = scheduling_loop
        self.routes = route_publisher.RoutePublisher(
            registry=scheduling_loop.registry
        )
        self.operators = operations.OperatorHandler(
            log=log,
            time=time,
            scheduling_loop=scheduling_loop,
            routes=self.routes,
            group=group,
            explain=explain,
        )
        self.address = ""
        self._links: dict[str, link.Link] = {}
        self._push_requested = asyncio.Event()
        self._pushed_revision = 0
        self._push_task: asyncio.Task[None] | None = None
        self._subscriptions: list[reactivex.abc.DisposableBase] = []

    def start(self) -> None:
        """Starts the scheduler and the task that pushes changes."""
        self.scheduler.start()
        self._subscriptions = [
            self.log.leadership.subscribe(self._leadership_changed),
            self.log.applied.subscribe(self._command_applied),
        ]
        self._push_task = supervision.start(self._push_changes)

    async def stop(self) -> None:
        """Stops the scheduler and the task that pushes changes."""
        for subscription in self._subscriptions:
            subscription.dispose()
        if self._push_task is not None:
            self._push_task.cancel()
            await asyncio.gather(self._push_task, return_exceptions=True)
        await self.scheduler.stop()

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Handles one message.

        Args:
            message: The message.
            source: Link on which it arrived.

        Returns:
            The reply: a redirect without a valid leader lease, and a refusal if
            the command was refused.

        Raises:
            ProtocolError: A leader doesn't handle messages of this type.
        """
        if not self.log.lease_valid():
            return self.redirect()
        try:
            return await self._dispatch(message, source)
        except errors.NotLeaderError as err:
            return messages.Redirect(leader=err.leader)
        except errors.UnknownResultError:
            # The caller resends the message; every message is idempotent.
            return self.redirect(result_unknown=True)
        except errors.RefusedError as err:
            return messages.Refusal(code=err.code, text=err.text)

    def redirect(self, *, result_unknown: bool = False) -> messages.Redirect:
        """Returns a redirect to the leader.

        Its address is empty if the leader is unknown or believed to be this
        replica.

        Args:
            result_unknown: Whether the message was proposed.
        """
        leader = self.log.leader_address()
        return messages.Redirect(
            leader="" if leader == self.address else leader,
            result_unknown=result_unknown,
        )

    async def _dispatch(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        match message:
            case messages.Heartbeat():
                return await self._heartbeat(message, source)
            case messages.EntryPoll():
                self._links[message.entry] = source
                return self.routes.poll(
                    message, self.log.machine, self.clock.now()
                )
            case messages.Reserve():
                return await self._reservation(_reserve_command(message))
            case messages.RecordOutcome():
                return await self._reservation(_outcome_command(message))
            case messages.RequestRecords():
                return await self._records(message)
            case messages.OperatorCall():
                return await self.operators.call(message)
        raise errors.ProtocolError(
            text=f"unexpected message of type {type(message).__name__}",
            step="handle",
            peer=source.peer,
        )

    async def _heartbeat(
        self, message: messages.Heartbeat, source: link.Link
    ) -> messages.Message:
        reply = await self.scheduler.heartbeat(message, source)
        if reply is None:
            return self.redirect()
        if self.routes.refresh(message.worker, self.log.machine):
            self._push_requested.set()
        return reply

    async def _reservation(
        self, command: commands.ReserveRequest | commands.RecordRequestOutcome
    ) -> messages.ReservationReply:
        result = await self.log.propose(command, timeout_ms=PROPOSE_TIMEOUT_MS)
        reply_fields = {
            name: value
            for name, value in result.data.items()
            if name in messages.ReservationReply.__struct_fields__
        }
        # The result of a refused command may lack a state.
        reply: dict[str, Any] = {"state": "refused", **reply_fields}
        return messages.ReservationReply(**{**reply, "code": result.code})

    async def _records(
        self, message: messages.RequestRecords
    ) -> messages.Recorded:
        # An entry resends a batch with the same incarnation and sequence if its
        # confirmation was lost.
        last_recorded = self.log.machine.record_sources.get(message.entry)
        already_recorded = (
            last_recorded is not None
            and last_recorded[0] == message.incarnation
            and message.sequence <= last_recorded[1]
        )
        if not already_recorded:
            await self.log.propose(
                commands.RecordRequests(
                    entry=message.entry,
                    incarnation=message.incarnation,
                    sequence=message.sequence,
                    records=tuple(msgspec.to_builtins(message.records)),
                ),
                timeout_ms=PROPOSE_TIMEOUT_MS,
            )
        return messages.Recorded(sequence=message.sequence)

    def _leadership_changed(
        self, leadership: replicated_log.Leadership
    ) -> None:
        del leadership
        self._links.clear()
        self.routes.reset(self.clock.now())

    def _command_applied(self, index: int) -> None:
        del index
        revision = self.log.machine.config_revision
        if revision != self._pushed_revision:
            self._pushed_revision = revision
            self.scheduler.wake()
            self.routes.refresh_all(self.log.machine)
            self._push_requested.set()

    async def _push_changes(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    clock.seconds(SILENCE_CHECK_PERIOD_MS)
                ):
                    await self._push_requested.wait()
            if not self.log.lease_valid():
                self._push_requested.clear()
                continue
            await asyncio.sleep(clock.seconds(PUSH_DELAY_MS))
            routes_removed = self.routes.drop_silent(self.clock.now())
            if self._push_requested.is_set() or routes_removed:
                self._push_requested.clear()
                await self._push_all()

    async def _push_all(self) -> None:
        """Sends each entry the changes since its last poll."""
        self._links = {
            name: source
            for name, source in self._links.items()
            if not source.closed.is_set()
        }
        now = self.clock.now()
        updates = [
            (
                source,
                self.routes.update(
                    self.routes.entries[name].poll, self.log.machine, now
                ),
            )
            for name, source in self._links.items()
            if name in self.routes.entries
        ]
        await asyncio.gather(
            *(_push(source, update) for source, update in updates)
        )


async def _push(source: link.Link, update: messages.EntryUpdate) -> None:
    with contextlib.suppress(errors.LinkClosedError, TimeoutError):
        async with asyncio.timeout(clock.seconds(PUSH_TIMEOUT_MS)):
            await source.push(update)


def _reserve_command(message: messages.Reserve) -> commands.ReserveRequest:
    return commands.ReserveRequest(
        key=message.key,
        fingerprint=message.fingerprint,
        attempt=message.attempt,
        service=message.service,
        entry=message.entry,
    )


def _outcome_command(
    message: messages.RecordOutcome,
) -> commands.RecordRequestOutcome:
    return commands.RecordRequestOutcome(
        key=message.key,
        attempt=message.attempt,
        outcome=message.outcome,
        status=message.status,
        headers=message.headers,
        body=message.body,
        digest=message.digest,
        body_kept=message.body_kept,
    )
