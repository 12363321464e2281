"""Runs every command of docs/OPERATIONS.md against a site of real processes.

Guards against documented commands that fail. Each command line runs as written,
except that the addresses, IDs and folders of the example site are replaced.
"""

import asyncio
import json
import os
import pathlib
import re
import shlex
import sys
import tempfile
import time
import unittest

import aiohttp

from devtools import site
from tests import test_docs

PAGE = test_docs.ROOT / "docs" / "OPERATIONS.md"
COMMAND = re.compile(r"^ *(bamboorouter .*)$", re.MULTILINE)
COMMAND_TIMEOUT_S = 60
RETRY_TIMEOUT_S = 20
UNDECIDED_TEXT = "has been decided"
VMS = 3
SHAPE = site.SiteShape(vms=site.GUILD.vms[:VMS])
SAMPLE_LINE = re.compile(
    r"^(bamboorouter_\w+?)(?:\{.*\})? ([\d.e+-]+)$", re.MULTILINE
)
# Metrics without a sample before the first request, job call, run or crash of a
# worker.
METRICS_WITHOUT_SAMPLES = {
    "bamboorouter_crash_suspects_total",
    "bamboorouter_incarnations_ended_total",
    "bamboorouter_job_call_seconds_bucket",
    "bamboorouter_runs_ended_total",
    "bamboorouter_runs_given_up_total",
    "bamboorouter_runs_listed_again_total",
    "bamboorouter_request_seconds_bucket",
    "bamboorouter_refusals_total",
}


def named_metrics() -> set[str]:
    """Returns the metrics that the page names."""
    return set(
        re.findall(r"bamboorouter_\w+", PAGE.read_text(encoding="utf-8"))
    )


class OperationsPageTest(unittest.IsolatedAsyncioTestCase):
    """Runs the commands of docs/OPERATIONS.md in order."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site(shape=SHAPE)
        await self.site.start()
        self.addAsyncCleanup(self.site.close)
        await self.site.wait_ready()
        self.replacements: dict[str, str] = {
            "/var/lib/bamboorouter": str(self.data_folder("control-1")),
            **self.write_log_files("entry.log", "control.log", "agents.log"),
        }

    def write_log_files(self, *names: str) -> dict[str, str]:
        """Writes a log line about a job to each file; returns the paths."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        line = {"wall_ms": 1, "process": "p", "name": "n", "job": "ID"}
        paths = {name: pathlib.Path(folder.name) / name for name in names}
        for path in paths.values():
            path.write_text(json.dumps(line), encoding="utf-8")
        return {name: str(path) for name, path in paths.items()}

    def data_folder(self, name: str) -> object:
        return self.site.processes[name].folder / "data"

    async def run_command(self, line: str) -> tuple[int, str]:
        """Runs a command; returns exit code and output."""
        for name, value in self.replacements.items():
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
        """Repeats a command while it is refused or has no decision to show.

        The leader decides on a job some time after its submission, so the
        order of two tasks can be queried before it exists.
        """
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            code, output = await self.run_command(line)
            decided = UNDECIDED_TEXT not in output
            if (code == 0 and decided) or time.monotonic() > deadline:
                self.assertEqual(code, 0, f"{line}\n{output}")
                return output
            await asyncio.sleep(0.5)

    async def find_follower(self) -> str:
        """Returns the name of a control replica that is not the leader."""
        _, output = await self.run_command("bamboorouter members")
        rows = [line.split() for line in output.splitlines()[1:]]
        address = next(row[1] for row in rows if row[2] == "voter")
        return next(
            name
            for name, listen_address in self.site.control_addresses.items()
            if listen_address == address
        )

    async def restart_follower_without_data(self) -> None:
        """Restarts a follower without its data folder."""
        name = await self.find_follower()
        address = self.site.control_addresses[name]
        _, output = await self.run_command("bamboorouter members")
        old_id = next(
            line.split()[0]
            for line in output.splitlines()
            if address in line.split()
        )
        await self.site.kill(name)
        self.site.delete_data_folder(name)
        await self.site.restart(name)
        log = self.site.processes[name].log
        match = None
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while match is None and time.monotonic() < deadline:
            match = re.search(
                r"BR0106 waiting_to_join replica='(\w+)'", log.read_text()
            )
            await asyncio.sleep(0.1)
        assert match is not None, self.site.tail(name)
        self.replacements |= {
            "NEW-ID": match[1],
            "OLD-ID": old_id,
            "10.20.2.10:7001": address,
        }

    async def test_every_command_works_as_written(self) -> None:
        lines = COMMAND.findall(PAGE.read_text(encoding="utf-8"))
        self.assertGreaterEqual(len(lines), 15)
        for line in lines:
            if (
                line == "bamboorouter members"
                and "NEW-ID" not in self.replacements
            ):
                await self.restart_follower_without_data()
            with self.subTest(line):
                output = await self.run_until_done(line)
                self.check_output(line, output)

    async def test_sheet_comes_into_force_while_a_replica_is_down(self) -> None:
        follower = await self.find_follower()
        await self.site.kill(follower)
        output = await self.run_until_done(
            "bamboorouter sheet submit samples/guild.csv --wait"
        )
        self.assertIn("in force everywhere", output)

    async def test_metrics_on_the_page_are_exported_and_right(self) -> None:
        await self.run_until_done(
            "bamboorouter sheet submit samples/guild.csv --wait"
        )
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        missing = {"none read yet"}
        while missing and time.monotonic() < deadline:
            samples = await self.scrape()
            exported = {name for _, name, _ in samples}
            missing = named_metrics() - exported - METRICS_WITHOUT_SAMPLES
            await asyncio.sleep(0.2)
        self.assertEqual(missing, set())
        leads = [v for _, name, v in samples if name == "bamboorouter_leads"]
        self.assertEqual(sum(leads), 1)
        revisions = {
            process: value
            for process, name, value in samples
            if name == "bamboorouter_applied_revision"
        }
        self.assertEqual(set(revisions.values()), {1.0}, revisions)

    async def scrape(self) -> list[tuple[str, str, float]]:
        """Returns process, name and value of all samples."""
        samples = []
        async with aiohttp.ClientSession() as session:
            for name, managed in self.site.processes.items():
                if "health" not in managed.addresses:
                    continue
                url = f"http://{managed.addresses['health']}/metrics"
                async with session.get(url) as answer:
                    text = await answer.text()
                samples += [
                    (name, match[1], float(match[2]))
                    for match in SAMPLE_LINE.finditer(text)
                ]
        return samples

    def check_output(self, line: str, output: str) -> None:
        head = re.search(r"^head: (\d+):(\w+)$", output, re.MULTILINE)
        if head is not None:
            self.replacements |= {"1200:HASH": f"{head[1]}:{head[2]}"}
        if "--wait" in line:
            self.assertIn("in force everywhere", output)
        if "--before" in line:
            self.assertIn("was decided first", output)


if __name__ == "__main__":
    unittest.main()
