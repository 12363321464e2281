"""Tells seeds that aren't replicas where the leader is.

Clients find the group through the seeds in their settings. A machine without a
disk may be a seed; it belongs to no group and knows no replica. While this
replica leads, it sends its address and those of the other replicas to each seed
that isn't a member.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.log import replica
from bamboorouter.protocol import messages
from bamboorouter.transport import link

# Short compared with the time in which a client must find the leader.
NOTICE_PERIOD_MS: Final = 250
# A seed without power must not delay the notices to the others for long.
NOTICE_TIMEOUT_MS: Final = 500


class SeedNotices:
    """Sends the leader's address to seeds outside the group.

    Attributes:
        replica: Replica of this process.
        seeds: Returns the link addresses of the seeds in the settings.
    """

    def __init__(
        self,
        *,
        local_replica: replica.Replica,
        seeds: Callable[[], tuple[str, ...]],
    ) -> None:
        self.replica = local_replica
        self.seeds = seeds
        self._links: dict[str, link.Link] = {}
        self._unreachable: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the task that sends notices while this replica leads."""
        self._task = supervision.start(self._run)

    async def stop(self) -> None:
        """Stops the task and closes the links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._close_links()

    async def _run(self) -> None:
        while True:
            if self.replica.lease_valid():
                members = {m.address for m in self.replica.members()}
                outside = [seed for seed in self.seeds() if seed not in members]
                await self._close_links(except_to=outside)
                replicas = tuple(sorted(members))
                await asyncio.gather(
                    *(self._notify(seed, replicas) for seed in outside)
                )
            await asyncio.sleep(clock.seconds(NOTICE_PERIOD_MS))

    async def _close_links(self, *, except_to: Collection[str] = ()) -> None:
        """Closes the links to seeds that get no more notices."""
        unused = [seed for seed in self._links if seed not in except_to]
        self._unreachable.intersection_update(except_to)
        await asyncio.gather(
            *(self._links.pop(seed).close() for seed in unused)
        )

    async def _notify(self, seed: str, replicas: tuple[str, ...]) -> None:
        try:
            current = self._links.get(seed)
            if current is None or current.closed.is_set():
                current = self._links[seed] = await link.open_link(
                    address=seed, timeout_ms=NOTICE_TIMEOUT_MS
                )
            # A request shows, unlike a push, that the link still delivers.
            await current.request(
                messages.Redirect(
                    leader=self.replica.address, replicas=replicas
                ),
                timeout_ms=NOTICE_TIMEOUT_MS,
            )
        except errors.RouterError as err:
            if silent := self._links.pop(seed, None):
                await silent.close()
            if seed not in self._unreachable:
                self._unreachable.add(seed)
                events.log(events.SEED_UNREACHABLE, peer=seed, error=str(err))
            return
        self._unreachable.discard(seed)
