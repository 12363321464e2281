"""The daemon: starts the roles of one process and stops them in order.

The health address serves /healthz (the loop runs), /readyz (every role can do
its work) and /metrics. On SIGTERM or SIGINT the roles stop gracefully, entry
first, so that no request in progress loses the roles it depends on.
"""

import asyncio
import gc
import json
import pathlib
import signal
from typing import Final
from typing import Protocol

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter import metrics
from bamboorouter import options
from bamboorouter.transport import link

# Requests in progress keep their deadlines; a role that hangs beyond this is
# abandoned so that a restart isn't blocked for ever.
STOP_TIMEOUT_MS: Final = 60_000
COLLECT_AFTER_OBJECTS: Final = 10_000
_STOP_ORDER: Final = ("entry", "agent", "control")


class Role(Protocol):
    """One role of the daemon.

    Attributes:
        addresses: Bound addresses by name, for example "entry.listen".
    """

    addresses: dict[str, str]

    async def start(self) -> None:
        """Binds all addresses and starts work."""
        ...

    async def stop(self) -> None:
        """Stops gracefully: finishes what is in progress, takes no more."""
        ...

    def ready(self) -> bool:
        """Whether the role can do its work now."""
        ...


class Daemon:
    """Runs the roles of one process.

    Attributes:
        settings: The validated settings.
        roles: The roles by name.
    """

    def __init__(self, *, settings: options.Options) -> None:
        self.settings = settings
        self.roles: dict[str, Role] = {}
        self._stop = asyncio.Event()
        self._health: link.LinkServer | None = None

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._start()
        try:
            await self._stop.wait()
        finally:
            await self._stop_roles()

    async def _start(self) -> None:
        process = self.settings.process
        for name in process.roles:
            self.roles[name] = make_role(name, self.settings)
        for role in self.roles.values():
            await role.start()
        host, port = options.split_address(process.health)
        self._health = await link.serve_links(
            host=host, port=port, handler=link.no_requests, pages=self._page
        )
        addresses = {"health": f"{host}:{self._health.port}"}
        for role in self.roles.values():
            addresses.update(role.addresses)
        events.log(
            events.PROCESS_STARTED,
            name=process.name,
            zone=process.zone,
            addresses=addresses,
        )
        _tune_collector()
        if process.ready_file:
            _write_atomically(process.ready_file, json.dumps(addresses))

    async def _stop_roles(self) -> None:
        name = self.settings.process.name
        events.log(events.PROCESS_STOPPING, name=name)
        for role_name in _STOP_ORDER:
            role = self.roles.get(role_name)
            if role is None:
                continue
            try:
                async with asyncio.timeout(clock.seconds(STOP_TIMEOUT_MS)):
                    await role.stop()
            except TimeoutError:
                events.log(events.STOP_TIMED_OUT, name=name, role=role_name)
        if self._health is not None:
            await self._health.close()
        events.log(events.PROCESS_STOPPED, name=name)

    def _page(self, path: str) -> tuple[int, str, bytes] | None:
        if path == "/healthz":
            return 200, "text/plain", b"ok\n"
        if path == "/readyz":
            waiting = [n for n, role in self.roles.items() if not role.ready()]
            text = " ".join(waiting) or "ready"
            return 503 if waiting else 200, "text/plain", f"{text}\n".encode()
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4", metrics.page()
        return None


def _tune_collector() -> None:
    """Keeps the garbage collector from stopping requests.

    Everything loaded so far lives as long as the process, so scanning it again
    and again finds nothing. Requests in progress allocate more than the
    default of 700 objects between two collections, which would find nothing
    either.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)


def make_role(name: str, settings: options.Options) -> Role:
    """Builds a role; its module is imported only where it is needed.

    The control role runs without the HTTP library, which saves its memory.
    """
    if name == "control" and settings.control is not None:
        from bamboorouter.roles import control

        return control.ControlRole(
            process=settings.process,
            settings=settings.control,
            last_leader_contact_ms=clock.PROCESS_START_MS,
        )
    if name == "agent" and settings.agent is not None:
        from bamboorouter.roles import agent

        return agent.AgentRole(
            process=settings.process, settings=settings.agent
        )
    if name == "entry" and settings.entry is not None:
        from bamboorouter.roles import entry

        return entry.EntryRole(
            process=settings.process, settings=settings.entry
        )
    raise errors.OptionsError(text=f"unknown role {name!r}", step="start")


def _write_atomically(path: str, text: str) -> None:
    target = pathlib.Path(path)
    temporary = target.with_name(target.name + ".new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(target)
