"""The agent's local HTTP address for upstreams on the same VM.

- `POST /upstreams` with `{"id", "service", "url"}` announces an upstream. It
  is repeated within `repeat_ms` of the answer; an upstream that stays silent
  for longer than `ANNOUNCEMENT_MS` is dropped.
- `DELETE /upstreams/{id}` announces that it leaves. The answer tells how many
  of its requests are in progress; the call may be repeated until none is.
"""

from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import Final

from aiohttp import web
import msgspec

from bamboorouter import clock
from bamboorouter import events
from bamboorouter.protocol import common

ANNOUNCEMENT_MS: Final = 30_000
REPEAT_MS: Final = 10_000
MAX_BODY_BYTES: Final = 16 * 1024
MAX_UPSTREAMS: Final = 64


class Announcement(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Body of `POST /upstreams`."""

    id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.@/-]{1,128}$")]
    service: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    url: Annotated[str, msgspec.Meta(pattern=r"^http://[^\s/]+(/[^\s]*)?$")]


@dataclasses.dataclass(kw_only=True)
class Announced:
    """An upstream and when it was last heard."""

    announcement: Announcement
    heard: int
    leaving: bool = False


class AgentLocal:
    """Serves the local address and keeps the announced upstreams.

    Attributes:
        announced: The upstreams by ID.
        port: The bound port.
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
        self.announced: dict[str, Announced] = {}
        self.port = port
        self._host = host
        self._clock = time
        self._in_progress = in_progress
        self._on_change = on_change
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds the address."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/upstreams", self._announce)
        app.router.add_delete("/upstreams/{id:.+}", self._leave)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Closes the address."""
        if self._runner is not None:
            await self._runner.cleanup()

    def upstreams(self) -> list[common.Upstream]:
        """Returns the announced upstreams, without the silent ones."""
        now = self._clock.now()
        silent = [
            name
            for name, known in self.announced.items()
            if now - known.heard > ANNOUNCEMENT_MS
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

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            body = msgspec.json.decode(await request.read(), type=Announcement)
        except (msgspec.DecodeError, msgspec.ValidationError) as err:
            return web.json_response({"text": str(err)}, status=400)
        known = self.announced.get(body.id)
        if known is None and len(self.announced) >= MAX_UPSTREAMS:
            text = f"{MAX_UPSTREAMS} upstreams are announced already"
            return web.json_response({"text": text}, status=409)
        now = self._clock.now()
        self.announced[body.id] = Announced(announcement=body, heard=now)
        if known is None or known.leaving or known.announcement != body:
            events.log(
                events.UPSTREAM_ANNOUNCED, upstream=body.id, url=body.url
            )
            self._on_change()
        return web.json_response({"repeat_ms": REPEAT_MS})

    async def _leave(self, request: web.Request) -> web.Response:
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
