"""Guards the way of a request from the caller to an upstream and back."""

import unittest

from aiohttp import web

from tests import request_site


async def _echo(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    return web.Response(
        status=201,
        body=body[::-1],
        headers={
            "X-Path": request.raw_path,
            "X-Seen": ",".join(sorted(request.headers)),
        },
    )


class PlainRequestTest(unittest.IsolatedAsyncioTestCase):
    """Whole answers of whole requests."""

    async def asyncSetUp(self) -> None:
        self.vm = request_site.Vm(name="w1", service="prism", handler=_echo)
        self.site = request_site.Site(
            services=[request_site.service("prism")], vms=[self.vm]
        )
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)

    async def test_answer_comes_back_whole(self) -> None:
        """Guards against lost status, headers, query string or body."""
        body = bytes(range(256)) * 1000
        async with self.site.client.post(
            f"{self.site.url}/prism/a%2Fb?x=1&y=%20", data=body
        ) as answer:
            self.assertEqual(answer.status, 201)
            self.assertEqual(await answer.read(), body[::-1])
            self.assertEqual(answer.headers["X-Path"], "/a%2Fb?x=1&y=%20")
            self.assertEqual(
                answer.headers["Bamboorouter-Outcome"], "completed"
            )
            self.assertIn("Bamboorouter-Request-Id", answer.headers)
            self.assertNotIn("Connection", answer.headers["X-Seen"])

    async def test_unknown_service_is_not_found(self) -> None:
        """Guards against requests that reach a service not in the sheet."""
        async with self.site.client.get(f"{self.site.url}/other/") as answer:
            self.assertEqual(answer.status, 404)
            self.assertEqual(answer.headers["Bamboorouter-Outcome"], "not_run")
            error = await answer.json()
            self.assertEqual(error["code"], "no_such_service")
            self.assertEqual(
                error["request_id"], answer.headers["Bamboorouter-Request-Id"]
            )
        self.assertEqual(self.vm.seen, [])
