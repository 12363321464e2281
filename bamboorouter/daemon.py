"""Starts the roles of one process and stops them in order.

The health address serves /healthz (the event loop runs), /readyz (every role is
ready) and /metrics. On SIGTERM or SIGINT the roles stop gracefully, the entry
first, so that the roles on which a request in progress depends are still
running.
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

# Requests in progress may use their full deadlines. A role that hasn't stopped
# after this time is abandoned, so that it can't block a restart.
STOP_TIMEOUT_MS: Final = 60_000
GC_THRESHOLD_OBJECTS: Final = 10_000
_STOP_ORDER: Final = ("entry", "agent", "control")


class Role(Protocol):
    """One role of the daemon.

    Attributes:
        addresses: Bound addresses by name, for example "entry.listen".
    """

    addresses: dict[str, str]

    async def start(self) -> None:
        """Binds all addresses and starts serving."""
        ...

    async def stop(self) -> None:
        """Stops gracefully: refuses new requests and completes current ones."""
        ...

    def ready(self) -> bool:
        """Whether the role can serve requests now."""
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
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
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
            host=host,
            port=port,
            handler=link.reject_message,
            pages=self._health_page,
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
        _configure_garbage_collector()
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

    def _health_page(self, path: str) -> tuple[int, str, bytes] | None:
        if path == "/healthz":
            return 200, "text/plain", b"ok\n"
        if path == "/readyz":
            not_ready = [
                n for n, role in self.roles.items() if not role.ready()
            ]
            text = " ".join(not_ready) or "ready"
            return 503 if not_ready else 200, "text/plain", f"{text}\n".encode()
        if path == "/metrics":
            return 200, "text/plain; version=0.0.4", metrics.page()
        return None


def _configure_garbage_collector() -> None:
    """Reduces pauses of requests by the garbage collector.

    All objects loaded so far live as long as the process, so they are excluded
    from collections. Requests in progress allocate more objects than the
    default threshold of 700 and would trigger frequent collections that find no
    garbage, so the threshold is raised.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


def make_role(name: str, settings: options.Options) -> Role:
    """Creates a role by its name.

    Role modules are imported only when needed: the control role runs without
    the HTTP library, which saves memory.

    Raises:
        OptionsError: No such role exists or its section is missing.
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
