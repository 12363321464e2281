"""A control process without a disk: redirects its callers to the leader.

It belongs to no group. The leader sends its address (see
`coordination.log.seed_notices`).
"""

from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.transport import link


class Seed:
    """Serves links and answers each request with a redirect.

    Attributes:
        client: Client of this process, which learns the replicas as well.
        known: The newest notice of a leader.
    """

    def __init__(self, *, client: control_client.ControlClient) -> None:
        self.client = client
        self.known = messages.Redirect(leader="")
        self._server: link.LinkServer | None = None

    async def start(self, address: str) -> None:
        """Serves links at an address, "IP:port"."""
        host, _, port = address.rpartition(":")
        self._server = await link.serve_links(
            host=host, port=int(port), handler=self._handle
        )

    async def stop(self) -> None:
        """Closes all links."""
        if self._server is not None:
            await self._server.close()

    async def _handle(
        self, message: messages.Message, source: link.Link
    ) -> messages.Message | None:
        del source
        if isinstance(message, messages.Redirect):
            self.known = message
            self.client.learn_replicas(message.replicas)
        return self.known
