"""Client for calls to the leader of the control group.

The client keeps one link to the replica that it believes to be the leader. It
switches to the named leader after a redirect, and to the next address after a
closed link or a missing reply. Every call is safe to resend: heartbeats and
polls only transfer state, and the leader recognizes a repeated reservation by
the ID of the attempt and a repeated operator call by its operation ID.
"""

import asyncio
from collections.abc import Callable
import itertools
import random
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# Below the election timeout, so that the client leaves an unreachable leader
# before a new one is elected.
ATTEMPT_TIMEOUT_MS: Final = 800
RETRY_PAUSE_MS: Final = 50
MAX_TRIED_ADDRESSES: Final = 16


def _always_false(answer: messages.Message) -> bool:
    del answer
    return False


class ControlClient:
    """Finds the leader and sends calls to it.

    Attributes:
        addresses: Addresses of the control replicas from the settings.
        clock: Source of time.
        handler: Called for messages that the leader pushes.
        last_contact_ms: Monotonic time in ms at which the last answered call
            to a leader was sent; None before the first.
        learned_replicas: Addresses of the replicas as last learned from a
            leader; empty before.
        members_index: Log index of the member list with these addresses; 0 if
            it isn't known.
    """

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        time: clock.Clock,
        handler: link.Handler = link.reject_message,
        attempt_timeout_ms: int = ATTEMPT_TIMEOUT_MS,
    ) -> None:
        self.addresses = addresses
        self.clock = time
        self.learned_replicas: tuple[str, ...] = ()
        self.members_index = 0
        # Kept apart, because a replica that redirects may know old members.
        self._redirected_replicas: tuple[str, ...] = ()
        # Addresses that failed or redirected since a leader last answered, in
        # the order of their last attempts.
        self._tried: dict[str, None] = {}
        self.last_contact_ms: clock.Millis | None = None
        self.handler = handler
        self._attempt_timeout_ms = attempt_timeout_ms
        self._link: link.Link | None = None
        self._target = random.choice(addresses) if addresses else ""
        self._opening = asyncio.Lock()

    async def call(
        self,
        message: messages.Message,
        *,
        timeout_ms: int,
        first_send_timeout_ms: int | None = None,
        is_refusal: Callable[[messages.Message], bool] = _always_false,
    ) -> messages.Message:
        """Sends a call to the leader, and resends it until it is answered.

        Args:
            message: A message that is safe to resend.
            timeout_ms: Time limit in ms for the whole call.
            first_send_timeout_ms: Time limit in ms for sending the call for the
                first time; None for `timeout_ms`.
            is_refusal: Returns whether an answer says that the call isn't
                executed. It is true of the attempt that was answered only.

        Returns:
            The leader's answer; never a Redirect.

        Raises:
            NotSentError: No replica that may execute the call got it within
                `first_send_timeout_ms`.
            RequestTimeoutError: No leader answered in time; the call may have
                been executed.
            UnknownResultError: The call was refused, but an earlier attempt
                may still be executed: it wasn't answered, or its result is
                unknown.
        """
        deadline = self.clock.now() + timeout_ms
        first_send_deadline = deadline
        if first_send_timeout_ms is not None:
            first_send_deadline = self.clock.now() + first_send_timeout_ms
        # Whether an earlier attempt may still be executed.
        unanswered = False
        last_error: errors.RouterError | None = None
        while (remaining := deadline - self.clock.now()) > 0:
            sent = self.clock.now()
            if not unanswered and sent >= first_send_deadline:
                raise errors.NotSentError(
                    text=f"no leader was found within {first_send_timeout_ms} ms",
                    step=type(message).__name__,
                    peer=self._target,
                ) from last_error
            until = deadline if unanswered else first_send_deadline
            try:
                current = await self._connect(max(1, until - sent))
            except errors.RouterError as err:
                last_error = err
                await self._pause()
                continue
            received = current.frames_received
            try:
                reply = await current.request(
                    message, timeout_ms=min(remaining, self._attempt_timeout_ms)
                )
            except errors.RouterError as err:
                last_error = err
                unanswered = True
                self._record_tried(current.peer)
                # The link is kept if it still delivers replies to other calls.
                if (
                    current.closed.is_set()
                    or current.frames_received == received
                ):
                    await self._switch_target(current, "")
                await self._pause()
                continue
            if not isinstance(reply, messages.Redirect):
                self.last_contact_ms = sent
                self._tried.clear()
                if unanswered and is_refusal(reply):
                    raise errors.UnknownResultError(
                        text="refused after an attempt with an unknown result",
                        step=type(message).__name__,
                        peer=current.peer,
                    )
                return reply
            unanswered = unanswered or reply.result_unknown
            self._record_tried(current.peer)
            if reply.replicas:
                self._redirected_replicas = reply.replicas
            await self._switch_target(current, reply.leader)
            if not reply.leader or reply.leader == current.peer:
                await self._pause()
        raise errors.RequestTimeoutError(
            text=f"no leader answered within {timeout_ms} ms",
            step=type(message).__name__,
            peer=self._target,
        ) from last_error

    def learn_replicas(
        self, replicas: tuple[str, ...], *, members_index: int = 0
    ) -> None:
        """Stores the current addresses of the replicas.

        The settings may name replicas that were replaced meanwhile.

        Args:
            replicas: The addresses; nothing is stored if there are none.
            members_index: Log index of the member list; 0 if it isn't known.
        """
        if replicas:
            self.learned_replicas = replicas
            self.members_index = members_index

    def tried_addresses(self) -> tuple[str, ...]:
        """Returns the addresses tried since a leader last answered.

        Only the latest MAX_TRIED_ADDRESSES are kept.
        """
        return tuple(self._tried)

    def contact_age_ms(self) -> int | None:
        """Returns the time since the last contact with a leader, in ms."""
        if self.last_contact_ms is None:
            return None
        return self.clock.now() - self.last_contact_ms

    async def close(self) -> None:
        """Closes the link."""
        if self._link is not None:
            await self._link.close()

    async def _connect(self, timeout_ms: int) -> link.Link:
        """Returns the open link; opens one if there is none.

        Raises:
            RouterError: No link could be opened in time.
        """
        try:
            async with asyncio.timeout(clock.seconds(timeout_ms)):
                return await self._open(timeout_ms)
        except TimeoutError as err:
            self._record_tried(self._target)
            # This call may have waited for attempts of other calls to open the
            # link.
            raise errors.LinkClosedError(
                text=f"no link within {timeout_ms} ms",
                step="connect",
                peer=self._target,
            ) from err

    async def _open(self, timeout_ms: int) -> link.Link:
        async with self._opening:
            current = self._link
            if current is not None and not current.closed.is_set():
                return current
            target = self._target
            try:
                self._link = await link.open_link(
                    address=target,
                    handler=self.handler,
                    timeout_ms=min(timeout_ms, self._attempt_timeout_ms),
                )
            except errors.LinkClosedError:
                self._record_tried(target)
                self._target = self._next_address()
                raise
            return self._link

    async def _switch_target(self, previous: link.Link, leader: str) -> None:
        """Switches from a replica to the leader or to the next address.

        Calls share one link. Only the first call that fails or is redirected on
        it switches the target; the others then use the new link.

        Args:
            previous: Link to the replica.
            leader: Address of the leader; empty if unknown.
        """
        if self._link is not previous or leader == previous.peer:
            return
        self._link = None
        self._target = leader or self._next_address()
        await previous.close()

    def _record_tried(self, address: str) -> None:
        self._tried.pop(address, None)
        self._tried[address] = None
        if len(self._tried) > MAX_TRIED_ADDRESSES:
            del self._tried[next(iter(self._tried))]

    async def _pause(self) -> None:
        pause_ms = RETRY_PAUSE_MS * (0.5 + random.random())
        await asyncio.sleep(clock.seconds(int(pause_ms)))

    def _next_address(self) -> str:
        known = tuple(
            dict.fromkeys(
                itertools.chain(
                    self.addresses,
                    self.learned_replicas,
                    self._redirected_replicas,
                )
            )
        )
        if not known:
            return self._target
        if self._target not in known:
            return random.choice(known)
        position = known.index(self._target) + 1
        return known[position % len(known)]
