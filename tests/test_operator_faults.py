"""Submits sheets concurrently and while parts of a site fail.

Guards against sheets that are lost, applied twice or accepted although another
sheet of the same revision was. The site and the command-line tool run as real
processes; the second test kills the leader and an entry during a submission.
"""

import asyncio
import json
import os
import pathlib
import sys
from typing import Any
import unittest

from devtools import site
from tests import site_case
from tests import test_docs

COMMAND_TIMEOUT_S = 60
SHAPE = site.small_shape(vms=1, controls=3, entries=2)


class OperatorFaultsTest(unittest.IsolatedAsyncioTestCase):
    """Concurrent submissions, and a submission during failures."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site(shape=SHAPE)
        await self.site.start()
        self.addAsyncCleanup(self.site.close)
        await self.site.wait_ready()
        self.entries = [
            self.site.address(f"entry-{number}", "entry.operator")
            for number in (1, 2)
        ]

    def write_sheet(self, name: str, revision: int, job: str) -> pathlib.Path:
        path = self.site.folder / f"{name}.csv"
        row = site_case.job_row(job, 1, "run 1s")
        path.write_text(site_case.sheet(revision, row), encoding="utf-8")
        return path

    async def run_tool(self, *arguments: str) -> tuple[int, dict[str, Any]]:
        """Runs the command-line tool; returns exit code and answer data."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboorouter.cli", *arguments, "--json"),
            cwd=test_docs.ROOT,
            env={**os.environ, "BAMBOOROUTER_ENTRY": ",".join(self.entries)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            output, _ = await process.communicate()
        return process.returncode or 0, json.loads(output)["data"]

    async def test_of_equal_revisions_submitted_at_once_one_is_accepted(
        self,
    ) -> None:
        for revision in range(1, 4):
            paths = [
                self.write_sheet(f"offer-{n}", revision, f"job-{revision}-{n}")
                for n in range(4)
            ]
            answers = await asyncio.gather(
                *(self.run_tool("sheet", "submit", str(path)) for path in paths)
            )
            codes = sorted(code for code, _ in answers)
            self.assertEqual(codes, [0, 2, 2, 2])
            reported = {data["sheet_revision"] for _, data in answers}
            self.assertEqual(reported, {revision})
            _, state = await self.run_tool("status")
            winner = next(n for n, (code, _) in enumerate(answers) if code == 0)
            jobs = {job["job"] for job in state["jobs"]}
            submitted = {f"job-{revision}-{n}" for n in range(4)}
            self.assertEqual(jobs & submitted, {f"job-{revision}-{winner}"})

    async def test_sheet_survives_loss_of_the_leader_and_an_entry(
        self,
    ) -> None:
        _, state = await self.run_tool("status")
        leader = next(
            name
            for name, address in self.site.control_addresses.items()
            if address == state["leader"]
        )
        path = self.write_sheet("day", 1, "night")
        submitted = asyncio.create_task(
            self.run_tool("sheet", "submit", str(path), "--wait")
        )
        await asyncio.gather(self.site.kill(leader), self.site.kill("entry-1"))
        code, data = await submitted
        self.assertEqual(code, 0, self.site.tails())
        self.assertEqual((data["in_force"], data["everywhere"]), (1, True))
        code, repeated = await self.run_tool("sheet", "submit", str(path))
        self.assertEqual(code, 0)
        self.assertEqual(repeated["config_revision"], data["config_revision"])


if __name__ == "__main__":
    unittest.main()
