"""Tests how the control client redirects, retries and ends calls.

Guards against calls that disturb each other on the shared control link.
"""

import asyncio
import socket

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter.coordination.requests import control_client
from bamboorouter.protocol import messages
from bamboorouter.transport import link
from tests import virtual_time

CALLS = 32
CALL_TIMEOUT_MS = 3000


def _reserve(number: int) -> messages.Reserve:
    return messages.Reserve(
        key=str(number), fingerprint=1, attempt="a", service="s", entry="e"
    )


class ControlClientTest(virtual_time.VirtualTimeCase):
    """Many concurrent calls of one client."""

    async def asyncSetUp(self) -> None:
        self.replies = 0
        self.leader = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._answer_as_leader
        )
        self.follower = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._redirect
        )

    async def asyncTearDown(self) -> None:
        await self.leader.close()
        await self.follower.close()

    async def _answer_as_leader(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        if isinstance(message, messages.Recorded):
            return None
        await asyncio.sleep(0.02)
        self.replies += 1
        return messages.ReservationReply(state="granted")

    async def _redirect(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del peer
        # Staggers the replies, so that some calls still wait for this replica
        # after the first one has been redirected.
        if isinstance(message, messages.Reserve):
            await asyncio.sleep(0.002 * int(message.key))
        return messages.Redirect(leader=f"127.0.0.1:{self.leader.port}")

    def _make_client(self, *ports: int) -> control_client.ControlClient:
        return control_client.ControlClient(
            addresses=tuple(f"127.0.0.1:{port}" for port in ports),
            time=virtual_time.VirtualTimeClock(),
        )

    async def _call_concurrently(
        self, client: control_client.ControlClient
    ) -> int:
        replies = await asyncio.gather(
            *(
                client.call(_reserve(n), timeout_ms=CALL_TIMEOUT_MS)
                for n in range(CALLS)
            )
        )
        return len(replies)

    async def test_redirected_calls_share_the_link_to_the_leader(self) -> None:
        """Guards against a redirect that closes the link of other calls."""
        client = self._make_client(self.follower.port)
        self.assertEqual(await self._call_concurrently(client), CALLS)
        self.assertEqual(self.replies, CALLS)
        await client.close()

    async def test_unanswered_call_keeps_the_link_of_the_others(self) -> None:
        client = self._make_client(self.leader.port)
        unanswered = asyncio.create_task(
            client.call(messages.Recorded(sequence=1), timeout_ms=1200)
        )
        deadline = asyncio.get_running_loop().time() + 1.1
        links: set[int] = set()
        while asyncio.get_running_loop().time() < deadline:
            await client.call(_reserve(0), timeout_ms=CALL_TIMEOUT_MS)
            links.update(id(each) for each in self.leader.links)
        self.assertEqual(len(links), 1)
        unanswered.cancel()
        await client.close()


class RefusalTest(virtual_time.VirtualTimeCase):
    """A refusal is final only if no earlier attempt may still take effect."""

    async def test_refusal_after_an_unanswered_sending_is_no_answer(
        self,
    ) -> None:
        """The first attempt may take effect after the second was refused."""
        attempts = 0

        async def refuse_late(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            nonlocal attempts
            del message, peer
            attempts += 1
            if attempts == 1:
                await asyncio.sleep(CALL_TIMEOUT_MS)
            return messages.ReservationReply(state="refused")

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=refuse_late
        )
        self.addAsyncCleanup(server.close)
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{server.port}",),
            time=virtual_time.VirtualTimeClock(),
            attempt_timeout_ms=100,
        )
        self.addAsyncCleanup(client.close)

        def is_refused(answer: messages.Message) -> bool:
            return (
                isinstance(answer, messages.ReservationReply)
                and answer.state == "refused"
            )

        with self.assertRaises(errors.UnknownResultError):
            await client.call(
                _reserve(0), timeout_ms=CALL_TIMEOUT_MS, is_refusal=is_refused
            )
        answer = await client.call(
            _reserve(0), timeout_ms=CALL_TIMEOUT_MS, is_refusal=is_refused
        )
        self.assertTrue(is_refused(answer))

    async def test_refusal_after_a_proposal_with_an_unknown_result_is_no_answer(
        self,
    ) -> None:
        """The leader redirects what it has proposed but can't confirm."""
        attempts = 0

        async def redirect_first(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            nonlocal attempts
            del message, peer
            attempts += 1
            if attempts == 1:
                return messages.Redirect(leader="", result_unknown=True)
            return messages.ReservationReply(state="refused")

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=redirect_first
        )
        self.addAsyncCleanup(server.close)
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{server.port}",),
            time=virtual_time.VirtualTimeClock(),
        )
        self.addAsyncCleanup(client.close)
        with self.assertRaises(errors.UnknownResultError):
            await client.call(
                _reserve(0),
                timeout_ms=CALL_TIMEOUT_MS,
                is_refusal=lambda answer: True,
            )


class TriedAddressesTest(virtual_time.VirtualTimeCase):
    """Guards against silent groups whose clients don't say whom they asked."""

    async def asyncSetUp(self) -> None:
        self.leads = False
        self.redirect = messages.Redirect(leader="")
        self.server = await link.serve_links(
            host="127.0.0.1", port=0, handler=self._answer
        )
        self.addAsyncCleanup(self.server.close)
        # Bound without listening, so that links to it are refused.
        refusing = socket.socket()
        self.addCleanup(refusing.close)
        refusing.bind(("127.0.0.1", 0))
        self.addresses = tuple(
            f"127.0.0.1:{port}"
            for port in (refusing.getsockname()[1], self.server.port)
        )

    async def _answer(
        self, message: messages.Message, peer: link.Link
    ) -> messages.Message | None:
        del message, peer
        if self.leads:
            return messages.ReservationReply(state="granted")
        return self.redirect

    def _make_client(self, *addresses: str) -> control_client.ControlClient:
        client = control_client.ControlClient(
            addresses=addresses,
            time=virtual_time.VirtualTimeClock(),
            attempt_timeout_ms=200,
        )
        self.addAsyncCleanup(client.close)
        return client

    async def _fail(self, client: control_client.ControlClient) -> None:
        with self.assertRaises(errors.RequestTimeoutError):
            await client.call(_reserve(0), timeout_ms=CALL_TIMEOUT_MS)

    async def test_failures_and_redirects_count_until_an_answer(self) -> None:
        client = self._make_client(*self.addresses)
        self.assertEqual(client.tried_addresses(), ())
        await self._fail(client)
        self.assertEqual(set(client.tried_addresses()), set(self.addresses))
        self.leads = True
        await client.call(_reserve(0), timeout_ms=CALL_TIMEOUT_MS)
        self.assertEqual(client.tried_addresses(), ())

    async def test_redirect_of_a_stale_replica_hides_no_member(self) -> None:
        """Guards against old members that replace those that a leader told."""
        stale, current = self.addresses[0], self.addresses[1]
        self.redirect = messages.Redirect(leader="", replicas=(stale,))
        client = self._make_client(current)
        client.learn_replicas((current, "127.0.0.1:1"), members_index=9)
        await self._fail(client)
        self.assertEqual(client.learned_replicas, (current, "127.0.0.1:1"))
        self.assertEqual(client.members_index, 9)
        self.assertEqual(
            set(client.tried_addresses()), {stale, current, "127.0.0.1:1"}
        )

    async def test_address_without_an_answer_counts(self) -> None:
        silent_server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent_server.close)
        address = f"127.0.0.1:{silent_server.getsockname()[1]}"
        client = self._make_client(address)
        await self._fail(client)
        self.assertEqual(client.tried_addresses(), (address,))

    async def test_only_the_latest_addresses_are_kept(self) -> None:
        client = self._make_client(self.addresses[1])
        limit = control_client.MAX_TRIED_ADDRESSES
        client.learn_replicas(tuple(f"127.0.0.1:{n}" for n in range(1, 30)))
        await self._fail(client)
        self.assertEqual(len(client.tried_addresses()), limit)


class NoLeaderTest(virtual_time.VirtualTimeCase):
    """Timeouts of calls while no leader answers."""

    FIRST_SEND_TIMEOUT_MS = 300

    def _make_client(self, port: int) -> control_client.ControlClient:
        client = control_client.ControlClient(
            addresses=(f"127.0.0.1:{port}",),
            time=virtual_time.VirtualTimeClock(),
            attempt_timeout_ms=200,
        )
        self.addAsyncCleanup(client.close)
        return client

    async def _time_call(self, client: control_client.ControlClient) -> float:
        """Makes a call that fails unsent; returns its duration in s."""
        # Whole ms, as on the client's clock, which deadlines refer to.
        time = virtual_time.VirtualTimeClock()
        start_ms = time.now()
        with self.assertRaises(errors.NotSentError):
            await client.call(
                _reserve(0),
                timeout_ms=CALL_TIMEOUT_MS,
                first_send_timeout_ms=self.FIRST_SEND_TIMEOUT_MS,
            )
        return clock.seconds(time.now() - start_ms)

    async def test_call_that_finds_no_leader_ends_early(self) -> None:
        async def redirect(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del message, peer
            return messages.Redirect(leader="")

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=redirect
        )
        self.addAsyncCleanup(server.close)
        took_s = await self._time_call(self._make_client(server.port))
        self.assertGreaterEqual(
            took_s, clock.seconds(self.FIRST_SEND_TIMEOUT_MS)
        )
        self.assertLess(took_s, 1.0)

    async def test_calls_do_not_wait_for_each_others_attempts(self) -> None:
        """Each attempt times out, as with replicas that lost power."""
        silent_server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent_server.close)
        client = self._make_client(silent_server.getsockname()[1])
        took_s = await asyncio.gather(
            *(self._time_call(client) for _ in range(CALLS))
        )
        self.assertLess(max(took_s), 1.0)

    async def test_call_that_was_proposed_is_not_called_unsent(self) -> None:
        """Callers were told that a job never runs, and it ran."""

        async def lose_result(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del message, peer
            return messages.Redirect(leader="", result_unknown=True)

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=lose_result
        )
        self.addAsyncCleanup(server.close)
        with self.assertRaises(errors.RequestTimeoutError):
            await self._make_client(server.port).call(
                _reserve(0),
                timeout_ms=900,
                first_send_timeout_ms=self.FIRST_SEND_TIMEOUT_MS,
            )

    async def test_call_that_was_sent_is_not_called_unsent(self) -> None:
        async def never_reply(
            message: messages.Message, peer: link.Link
        ) -> messages.Message | None:
            del message, peer
            await asyncio.sleep(CALL_TIMEOUT_MS)
            return None

        server = await link.serve_links(
            host="127.0.0.1", port=0, handler=never_reply
        )
        self.addAsyncCleanup(server.close)
        with self.assertRaises(errors.RequestTimeoutError):
            await self._make_client(server.port).call(
                _reserve(0),
                timeout_ms=900,
                first_send_timeout_ms=self.FIRST_SEND_TIMEOUT_MS,
            )
