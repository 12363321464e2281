"""The agent's local HTTP interface for upstreams on the same VM.

- `POST /upstreams` with `{"id", "service", "url"}` announces an upstream. The
  upstream must repeat the call within `repeat_ms`, as given in the response;
  one that stays silent for longer than `ANNOUNCEMENT_TIMEOUT_MS` is removed.
- `DELETE /upstreams/{id}` announces that an upstream is leaving. The response
  contains its number of requests in progress; the upstream may repeat the call
  until that number is 0.
"""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import Final

from aiohttp import web
import msgspec
import yarl

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.protocol import common
from bamboorouter.protocol import json_body

ANNOUNCEMENT_TIMEOUT_MS: Final = 30_000
ANNOUNCEMENT_PERIOD_MS: Final = 10_000
MAX_BODY_BYTES: Final = 16 * 1024
MAX_UPSTREAMS: Final = 64


class Announcement(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Body of `POST /upstreams`.

    Attributes:
        id: Unique name of the upstream.
        service: Service that the upstream belongs to.
        url: Base URL at which the agent reaches the upstream.
    """

    id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.@/-]{1,128}$")]
    service: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    url: Annotated[str, msgspec.Meta(pattern=r"^http://[^\s/]+(/[^\s]*)?$")]


@dataclasses.dataclass(kw_only=True)
class AnnouncedUpstream:
    """An announced upstream.

    Attributes:
        announcement: The newest announcement.
        announced_at: Monotonic time in ms of the newest announcement.
        leaving: Whether the upstream announced that it is leaving.
    """

    announcement: Announcement
    announced_at: int
    leaving: bool = False


class AgentLocal:
    """Serves the local interface and tracks the announced upstreams.

    Attributes:
        announced: Announced upstreams by ID.
        port: Configured port; after `start`, the bound port.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        time: clock.Clock,
        in_progress: Callable[[], dict[str, int]],
        on_change: Callable[[], None],
    ) -> None:
        self.announced: dict[str, AnnouncedUpstream] = {}
        self.port = port
        self._host = host
        self._clock = time
        self._in_progress = in_progress
        self._on_change = on_change
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds the address and starts serving."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/upstreams", self._handle_announce)
        app.router.add_delete("/upstreams/{id:.+}", self._handle_leave)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops serving and closes the address."""
        if self._runner is not None:
            await self._runner.cleanup()

    def upstreams(self) -> list[common.Upstream]:
        """Removes upstreams that fell silent and returns the others."""
        now = self._clock.now()
        silent = [
            name
            for name, known in self.announced.items()
            if now - known.announced_at > ANNOUNCEMENT_TIMEOUT_MS
        ]
        for name in silent:
            del self.announced[name]
            events.log(events.UPSTREAM_SILENT, upstream=name)
        return [
            common.Upstream(
                id=name,
                service=known.announcement.service,
                url=known.announcement.url,
                leaving=known.leaving,
            )
            for name, known in self.announced.items()
        ]

    async def _handle_announce(self, request: web.Request) -> web.Response:
        try:
            body = json_body.decode(await request.read(), Announcement)
        except (msgspec.DecodeError, msgspec.ValidationError) as err:
            return web.json_response({"text": str(err)}, status=400)
        if problem := _find_url_problem(body.url):
            return web.json_response({"text": problem}, status=400)
        known = self.announced.get(body.id)
        if known is None and len(self.announced) >= MAX_UPSTREAMS:
            text = (
                f"the limit of {MAX_UPSTREAMS} announced upstreams is reached"
            )
            return web.json_response({"text": text}, status=409)
        now = self._clock.now()
        self.announced[body.id] = AnnouncedUpstream(
            announcement=body, announced_at=now
        )
        if known is None or known.leaving or known.announcement != body:
            events.log(
                events.UPSTREAM_ANNOUNCED, upstream=body.id, url=body.url
            )
            self._on_change()
        return web.json_response({"repeat_ms": ANNOUNCEMENT_PERIOD_MS})

    async def _handle_leave(self, request: web.Request) -> web.Response:
        name = request.match_info["id"]
        known = self.announced.get(name)
        if known is None:
            text = f"upstream {name!r} is not announced"
            return web.json_response({"text": text}, status=404)
        if not known.leaving:
            known.leaving = True
            events.log(events.UPSTREAM_LEAVES, upstream=name)
            self._on_change()
        in_progress = self._in_progress().get(name, 0)
        return web.json_response({"in_progress": in_progress})


def _find_url_problem(url: str) -> str:
    """Returns why no request can be sent to a URL; empty if one can."""
    try:
        port = yarl.URL(url).port
    except ValueError as err:
        return f"url: {err}"
    return "" if url.isascii() and port else "url: invalid host or port"
