"""Guards against a group that clients can't find through their seeds.

All seeds may be machines without a disk, which belong to no group. After a loss
of power agents and entries know only these seeds.
"""

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.log import seed_notices
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import job_messages
from bamboorouter.protocol import messages
from bamboorouter.roles import seed
from bamboorouter.transport import link
from tests import replica_site


class SeedTest(unittest.IsolatedAsyncioTestCase):
    """A replica that leads, and a seed outside its group."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        (self.node,) = replica_site.make_nodes(pathlib.Path(folder.name), 1)
        await self.node.start()
        self.addAsyncCleanup(self.stop_node)
        await replica_site.wait_for_leader([self.node])
        self.address = f"127.0.0.1:{replica_site.free_port()}"
        self.seed = await self.start_seed()
        self.notices = seed_notices.SeedNotices(
            local_replica=self.node.replica, seeds=lambda: (self.address,)
        )
        self.notices.start()
        self.addAsyncCleanup(self.notices.stop)

    async def stop_node(self) -> None:
        await self.node.stop()
        self.node.close()

    async def start_seed(self) -> seed.Seed:
        client = control_client.ControlClient(
            addresses=(self.address,), time=clock.SystemClock()
        )
        started = seed.Seed(client=client)
        await started.start(self.address)
        self.addAsyncCleanup(started.stop)
        return started

    async def redirect(self) -> messages.Message:
        """Returns the seed's answer to a call that only a leader answers."""
        opened = await link.open_link(address=self.address)
        try:
            return await opened.request(
                messages.Recorded(sequence=1), timeout_ms=1000
            )
        finally:
            await opened.close()

    async def test_seed_redirects_to_the_leader(self) -> None:
        await replica_site.wait_until(lambda: bool(self.seed.known.leader))
        answer = await self.redirect()
        assert isinstance(answer, messages.Redirect)
        self.assertEqual(answer.leader, self.node.address)
        self.assertEqual(answer.replicas, (self.node.address,))

    async def test_restarted_seed_learns_the_leader_again(self) -> None:
        await replica_site.wait_until(lambda: bool(self.seed.known.leader))
        await self.seed.stop()
        await asyncio.sleep(2 * seed_notices.NOTICE_PERIOD_MS / 1000)
        self.seed = await self.start_seed()
        await replica_site.wait_until(lambda: bool(self.seed.known.leader))

    async def test_link_that_went_silent_is_replaced(self) -> None:
        """Guards against notices into a connection that drops all data."""
        await replica_site.wait_until(lambda: bool(self.seed.known.leader))
        (silent,) = self.notices._links.values()
        with mock.patch.object(
            silent,
            "request",
            side_effect=errors.RequestTimeoutError(text="silent", step="test"),
        ):
            await replica_site.wait_until(silent.closed.is_set)
        self.seed.known = messages.Redirect(leader="")
        await replica_site.wait_until(lambda: bool(self.seed.known.leader))

    async def test_seed_of_callers_only_asks_for_the_replicas(self) -> None:
        """Guards against a seed that the leader doesn't know."""
        await self.notices.stop()
        await self.seed.stop()
        with mock.patch.object(seed, "POLL_PERIOD_MS", 50):
            self.seed = await self.start_seed()
            self.seed.client.addresses = (self.node.address,)
            answer = job_messages.CurrentConfiguration(
                version=0, replicas=("a:1", "b:1")
            )
            with mock.patch.object(
                self.seed.client, "call", return_value=answer
            ):
                await replica_site.wait_until(
                    lambda: bool(self.seed.known.replicas)
                )
        redirect = await self.redirect()
        assert isinstance(redirect, messages.Redirect)
        self.assertEqual(redirect.replicas, ("a:1", "b:1"))

    async def test_seed_that_knows_no_leader_says_so(self) -> None:
        await self.notices.stop()
        self.seed.known = messages.Redirect(leader="")
        answer = await self.redirect()
        assert isinstance(answer, messages.Redirect)
        self.assertEqual(answer.leader, "")


if __name__ == "__main__":
    unittest.main()
