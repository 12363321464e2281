"""Answers all calls that only a leader may answer.

Without a valid leader lease every call is answered by a redirect. Entries get
changed routes and configuration at once by a push on the link they polled on;
what is lost there comes with their next poll.
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

# Below the 800 ms after which a caller tries another replica.
PROPOSE_TIMEOUT_MS: Final = 700
PUSH_TIMEOUT_MS: Final = 500
# Changes that arrive together share one push.
PUSH_PAUSE_MS: Final = 20
SILENCE_CHECK_MS: Final = 1000


class LeaderHandler:
    """Handles messages of agents, entries and operators.

    Attributes:
        log: The replicated log.
        clock: Source of time.
        scheduler: The leader's loop.
        routes: Routes and the entries that follow them.
        operators: Carries out operators' calls.
        address: Address of this replica, so that it redirects to others only.
    """

    def __init__(
        self,
        *,
        log: replicated_log.ReplicatedLog,
        time: clock.Clock,
        loop: scheduler.Scheduler,
        group: operations.Group,
        explain: operations.Explain,
    ) -> None:
        self.log = log
        self.clock = time
        self.scheduler = loop
        self.routes = route_publisher.RoutePublisher(registry=loop.registry)
        self.operators = operations.OperatorHandler(
            log=log,
            time=time,
            loop=loop,
            routes=self.routes,
            group=group,
            explain=explain,
        )
        self.address = ""
        self._links: dict[str, link.Link] = {}
        self._push_due = asyncio.Event()
        self._pushed_revision = 0
        self._pusher: asyncio.Task[None] | None = None
        self._subscriptions: list[reactivex.abc.DisposableBase] = []

    def start(self) -> None:
        """Begins to follow leadership and to push changes."""
        self.scheduler.start()
        self._subscriptions = [
            self.log.leadership.subscribe(self._lead),
            self.log.applied.subscribe(self._applied),
        ]
        self._pusher = supervision.start(self._push_changes)

    async def stop(self) -> None:
        """Stops deciding and pushing."""
        for subscription in self._subscriptions:
            subscription.dispose()
        if self._pusher is not None:
            self._pusher.cancel()
            await asyncio.gather(self._pusher, return_exceptions=True)
        await self.scheduler.stop()

    async def handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        """Answers one message."""
        if not self.log.lease_valid():
            return self.redirect()
        try:
            return await self._answer(message, source)
        except errors.NotLeaderError as err:
            return messages.Redirect(leader=err.leader)
        except errors.UnknownResultError:
            # The caller sends it again; all calls are safe to resend.
            return self.redirect()
        except errors.RefusedError as err:
            return messages.Refusal(code=err.code, text=err.text)

    def redirect(self) -> messages.Redirect:
        """Returns where the leader is, unless it is believed to be here."""
        leader = self.log.leader_address()
        return messages.Redirect(
            leader="" if leader == self.address else leader
        )

    async def _answer(
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
                return await self._reservation(_reserve(message))
            case messages.RecordOutcome():
                return await self._reservation(_outcome(message))
            case messages.RequestRecords():
                return await self._records(message)
            case messages.OperatorCall():
                return await self.operators.call(message)
        raise errors.ProtocolError(
            text=f"unexpected {type(message).__name__}",
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
            self._push_due.set()
        return reply

    async def _reservation(
        self, command: commands.ReserveRequest | commands.RecordRequestOutcome
    ) -> messages.ReservationReply:
        result = await self.log.propose(command, timeout_ms=PROPOSE_TIMEOUT_MS)
        known = {
            name: value
            for name, value in result.data.items()
            if name in messages.ReservationReply.__struct_fields__
        }
        reply: dict[str, Any] = {"state": "refused", **known}
        return messages.ReservationReply(**{**reply, "code": result.code})

    async def _records(
        self, message: messages.RequestRecords
    ) -> messages.Recorded:
        last = self.log.machine.record_sources.get(message.entry)
        recorded = (
            last is not None
            and last[0] == message.incarnation
            and message.sequence <= last[1]
        )
        if not recorded:
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

    def _lead(self, leadership: replicated_log.Leadership) -> None:
        del leadership
        self._links.clear()
        self.routes.reset(self.clock.now())

    def _applied(self, index: int) -> None:
        del index
        revision = self.log.machine.config_revision
        if revision != self._pushed_revision:
            self._pushed_revision = revision
            self.scheduler.wake()
            self.routes.refresh_all(self.log.machine)
            self._push_due.set()

    async def _push_changes(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock.seconds(SILENCE_CHECK_MS)):
                    await self._push_due.wait()
            if not self.log.lease_valid():
                self._push_due.clear()
                continue
            await asyncio.sleep(clock.seconds(PUSH_PAUSE_MS))
            gone = self.routes.drop_silent(self.clock.now())
            if self._push_due.is_set() or gone:
                self._push_due.clear()
                await self._push_all()

    async def _push_all(self) -> None:
        """Sends each entry what it lacks since its last poll."""
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


def _reserve(message: messages.Reserve) -> commands.ReserveRequest:
    return commands.ReserveRequest(
        key=message.key,
        fingerprint=message.fingerprint,
        attempt=message.attempt,
        service=message.service,
        entry=message.entry,
    )


def _outcome(
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
