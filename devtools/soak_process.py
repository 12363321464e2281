"""Processes of the system in the soak test."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import sys
from typing import Final

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
GRACE_S: Final = 6.0


@dataclasses.dataclass(kw_only=True)
class Process:
    """A process of the system, which may be stopped and started again.

    Attributes:
        name: Unique name, for example "control-1".
        role: Role that it runs.
        settings: Path of its settings file.
        log: Path of the file for its output.
        folder: Path of its data folder; None for a role without one.
        running: The operating system process; None while it is stopped.
        lock: Serializes starts and stops.
    """

    name: str
    role: str
    settings: pathlib.Path
    log: pathlib.Path
    folder: pathlib.Path | None = None
    running: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Starts the process unless it is running."""
        async with self.lock:
            if self.running is None:
                await self._start()

    async def _start(self) -> None:
        with self.log.open("ab") as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "main.py"),
                self.role,
                env={
                    **os.environ,
                    # Takes precedence over an installed version.
                    "PYTHONPATH": str(ROOT),
                    "BAMBOOROUTER_NODE_FILE": str(self.settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.running is not None and self.running.returncode is None:
            self.running.send_signal(signum)

    async def stop(self, signum: signal.Signals) -> None:
        """Sends a signal and waits; kills the process after `GRACE_S`."""
        async with self.lock:
            if self.running is not None:
                await self._stop(self.running, signum)
                self.running = None

    async def _stop(
        self, running: asyncio.subprocess.Process, signum: signal.Signals
    ) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_signal(signum)
        try:
            async with asyncio.timeout(GRACE_S):
                await running.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await running.wait()
