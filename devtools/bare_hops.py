"""Minimal two-hop proxy and echo upstream for the path benchmark.

`front` is an aiohttp server that sends each request as a CBOR array over a
websocket. `back` receives it, calls the upstream with an aiohttp client and
sends the response back. Requests are numbered, so that responses may arrive in
any order. Each process prints its port as the first line and exits when its
standard input is closed.
"""

import argparse
import asyncio
import itertools
import sys
from typing import Any
from typing import Final

import aiohttp
from aiohttp import web
import cbor2
import websockets.asyncio.client
import websockets.asyncio.server

HOST: Final = "127.0.0.1"
_DROPPED_HEADERS: Final = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding"}
)


class Front:
    """First hop: HTTP server and websocket client.

    Attributes:
        back_port: Port of the second hop.
    """

    def __init__(self, *, back_port: int) -> None:
        self.back_port = back_port
        self._numbers = itertools.count()
        self._pending: dict[int, asyncio.Future[list[Any]]] = {}
        self._socket: websockets.asyncio.client.ClientConnection
        self._reader: asyncio.Task[None]

    async def start(self) -> int:
        """Connects to the second hop and serves HTTP; returns the port."""
        self._socket = await websockets.asyncio.client.connect(
            f"ws://{HOST}:{self.back_port}",
            compression=None,
            ping_interval=None,
            proxy=None,
        )
        self._reader = asyncio.create_task(self._read())
        return await _serve_http(self._handle)

    async def _read(self) -> None:
        async for frame in self._socket:
            assert isinstance(frame, bytes)
            answer = cbor2.loads(frame)
            self._pending.pop(answer[0]).set_result(answer)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        headers = [
            (str(name), value)
            for name, value in request.headers.items()
            if name.lower() not in _DROPPED_HEADERS
        ]
        body = await request.read()
        await self._socket.send(
            cbor2.dumps(
                [number, request.method, request.raw_path, headers, body]
            )
        )
        _, status, answer_headers, answer = await future
        return web.Response(
            status=status,
            headers=[(name, value) for name, value in answer_headers],
            body=answer,
        )


class Back:
    """Second hop: websocket server and HTTP client.

    Attributes:
        upstream_url: Base URL of the upstream.
    """

    def __init__(self, *, upstream_url: str) -> None:
        self.upstream_url = upstream_url
        self._session: aiohttp.ClientSession
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Serves the websocket; returns the port."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        server = await websockets.asyncio.server.serve(
            self._read, HOST, 0, compression=None, ping_interval=None
        )
        port: int = next(iter(server.sockets)).getsockname()[1]
        return port

    async def _read(
        self, socket: websockets.asyncio.server.ServerConnection
    ) -> None:
        async for frame in socket:
            assert isinstance(frame, bytes)
            task = asyncio.create_task(
                self._forward(socket, cbor2.loads(frame))
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        socket: websockets.asyncio.server.ServerConnection,
        call: list[Any],
    ) -> None:
        number, method, path, headers, body = call
        async with self._session.request(
            method,
            self.upstream_url + path,
            headers=[(name, value) for name, value in headers],
            data=body,
        ) as response:
            answer = await response.read()
            answer_headers = [
                (str(name), value)
                for name, value in response.headers.items()
                if name.lower() not in _DROPPED_HEADERS
            ]
            await socket.send(
                cbor2.dumps([number, response.status, answer_headers, answer])
            )


async def _echo(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=await request.read())


async def _serve_http(handler: Any) -> int:
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    port: int = runner.addresses[0][1]
    return port


async def _run(args: argparse.Namespace) -> None:
    if args.part == "upstream":
        port = await _serve_http(_echo)
    elif args.part == "back":
        port = await Back(upstream_url=args.upstream).start()
    else:
        port = await Front(back_port=args.back).start()
    print(port, flush=True)
    await asyncio.to_thread(sys.stdin.read)


def main() -> None:
    """Parses the command line and runs one part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("upstream", "back", "front"))
    parser.add_argument("--upstream", default="", help="base URL")
    parser.add_argument("--back", type=int, default=0, help="port")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
