"""Guards against commands on the operations page that do not work.

The page is followed on a site with real processes: every command line is run
as written, but for the addresses, IDs and folders of the example site.
"""

import asyncio
import os
import re
import shlex
import sys
import time
import unittest

from devtools import site
from tests import test_docs

PAGE = test_docs.ROOT / "docs" / "operations.md"
COMMAND = re.compile(r"^ *(bamboorouter .*)$", re.MULTILINE)
COMMAND_TIMEOUT_S = 60
RETRY_S = 20
VMS = 3
SHAPE = site.SiteShape(vms=site.GUILD.vms[:VMS])


class OperationsPageTest(unittest.IsolatedAsyncioTestCase):
    """Follows docs/operations.md from the first day to the account."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site(shape=SHAPE, proxied=False)
        await self.site.start()
        self.addAsyncCleanup(self.site.close)
        await self.site.wait_ready()
        self.values: dict[str, str] = {
            "/var/lib/bamboorouter": str(self.folder("control-1")),
        }

    def folder(self, name: str) -> object:
        return self.site.processes[name].folder / "data"

    async def run_line(self, line: str) -> tuple[int, str]:
        """Runs a command; returns exit code and output."""
        for name, value in self.values.items():
            line = line.replace(name, value)
        entries = [
            self.site.address(f"entry-{number}", "entry.operator")
            for number in (1, 2)
        ]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboorouter.cli"),
            *shlex.split(line)[1:],
            cwd=test_docs.ROOT,
            env={**os.environ, "BAMBOOROUTER_ENTRY": ",".join(entries)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def run_until_done(self, line: str) -> str:
        """Runs a command, again if it is refused for the moment."""
        deadline = time.monotonic() + RETRY_S
        while True:
            code, output = await self.run_line(line)
            if code == 0 or time.monotonic() > deadline:
                self.assertEqual(code, 0, f"{line}\n{output}")
                return output
            await asyncio.sleep(0.5)

    async def lose_disk(self) -> None:
        """Restarts a follower without its data folder."""
        _, output = await self.run_line("bamboorouter members")
        rows = [line.split() for line in output.splitlines()[1:]]
        old, address, _ = next(row[:3] for row in rows if row[2] == "voter")
        name = next(
            name
            for name, listens in self.site.control_addresses.items()
            if listens == address
        )
        await self.site.kill(name)
        self.site.lose_folder(name)
        await self.site.restart(name)
        log = self.site.processes[name].log
        found = None
        deadline = time.monotonic() + RETRY_S
        while found is None and time.monotonic() < deadline:
            found = re.search(
                r"BR0106 waiting_to_join replica='(\w+)'", log.read_text()
            )
            await asyncio.sleep(0.1)
        assert found is not None, self.site.tail(name)
        self.values |= {
            "NEW-ID": found[1],
            "OLD-ID": old,
            "10.20.2.10:7001": address,
        }

    async def test_every_command_works_as_written(self) -> None:
        lines = COMMAND.findall(PAGE.read_text(encoding="utf-8"))
        self.assertGreaterEqual(len(lines), 15)
        for line in lines:
            if line == "bamboorouter members" and "NEW-ID" not in self.values:
                await self.lose_disk()
            with self.subTest(line):
                output = await self.run_until_done(line)
                self.check_output(line, output)

    def check_output(self, line: str, output: str) -> None:
        head = re.search(r"^head: (\d+):(\w+)$", output, re.MULTILINE)
        if head is not None:
            self.values |= {"1200:HASH": f"{head[1]}:{head[2]}"}
        if "--wait" in line:
            self.assertIn("in force everywhere", output)
        if "--before" in line:
            self.assertIn("was decided first", output)


if __name__ == "__main__":
    unittest.main()
