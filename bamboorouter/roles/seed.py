"""A control process without a disk: redirects its callers to the leader.

It belongs to no group. The leader sends its address (see
`coordination.log.seed_notices`) if this process is one of the leader's own seeds.
Settings may differ, so this process also asks for the replicas at intervals.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import supervision
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.transport import link

POLL_PERIOD_MS: Final = 5000
POLL_TIMEOUT_MS: Final = 2000


class Seed:
    """Serves links and answers each request with a redirect.

    Attributes:
        client: Client of this process, which learns the replicas as well.
        known: The newest notice of a leader or, without one, what a leader
            answered to a poll.
    """

    def __init__(self, *, client: control_client.ControlClient) -> None:
        self.client = client
        self.known = messages.Redirect(leader="")
        self._noticed_ms: int | None = None
        self._server: link.LinkServer | None = None
        self._poller: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Serves links at an address, "IP:port"."""
        host, _, port = address.rpartition(":")
        self._server = await link.serve_links(
            host=host, port=int(port), handler=self._handle
        )
        self._poller = supervision.start(self._poll_replicas)

    async def stop(self) -> None:
        """Stops polling and closes all links."""
        if self._poller is not None:
            self._poller.cancel()
            await asyncio.gather(self._poller, return_exceptions=True)
        if self._server is not None:
            await self._server.close()

    async def _poll_replicas(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(POLL_PERIOD_MS))
            try:
                answer = await self.client.call(
                    job_messages.ReadConfiguration(with_document=False),
                    timeout_ms=POLL_TIMEOUT_MS,
                )
            except errors.RouterError as err:
                events.log(
                    events.LEADER_SILENT,
                    error=str(err),
                    tried=self.client.tried_addresses(),
                    contact_age_ms=self.client.contact_age_ms(),
                )
                continue
            if isinstance(answer, job_messages.CurrentConfiguration):
                self.client.learn_replicas(answer.replicas)
                if not self._is_noticed():
                    self.known = messages.Redirect(
                        leader="", replicas=answer.replicas
                    )

    def _is_noticed(self) -> bool:
        """Whether a leader has sent its address within a poll period."""
        now = self.client.clock.now()
        return (
            self._noticed_ms is not None
            and now - self._noticed_ms <= POLL_PERIOD_MS
        )

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        del source
        if isinstance(message, messages.Redirect):
            self.known = message
            self._noticed_ms = self.client.clock.now()
            self.client.learn_replicas(message.replicas)
        return self.known
