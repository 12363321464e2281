"""Tests the merged timeline of several logs and the account of decisions.

Guards against a wrong order of events from machines whose clocks differ, and
against failures on lines that are no events.
"""

import json
import pathlib
import tempfile
from typing import Any
import unittest

from cleo.testers import command_tester

from bamboorouter import log_merge
from bamboorouter.cli import application
from bamboorouter.protocol import common
from bamboorouter.protocol import job_commands
from bamboorouter.protocol import jobs
from bamboorouter.state import account_jobs
from tests import job_builders as make


def log_line(wall_ms: int, process: str, name: str, **fields: Any) -> str:
    common_fields = {"wall_ms": wall_ms, "clock_ms": 0, "process": process}
    event_fields = {"event": 1, "name": name, "level": "info"}
    return json.dumps({**common_fields, **event_fields, **fields})


RUN = {"task": "a/0/0/0", "attempt": 1}
# The agent's clock is 3 s behind the leader's, the entry's 2 s ahead of it.
LOG_LINES = (
    log_line(10_000, "leader", "job_accepted", job="a"),
    log_line(12_004, "entry", "job_call_answered", path="/forms/a", status=200),
    log_line(10_010, "leader", "run_assigned", **RUN),
    log_line(7_030, "agent", "run_started", **RUN),
    log_line(10_900, "leader", "run_ended", **RUN, how="done"),
    log_line(10_000, "leader", "job_accepted", job="other"),
)


class LogMergeTest(unittest.TestCase):
    """Causes come before effects, whatever the clocks of processes say."""

    def names(self, *ids: str) -> list[str]:
        lines = log_merge.read_lines(LOG_LINES)
        return [line.name for line in log_merge.merge_lines(lines, ids)]

    def test_clock_that_is_behind_is_corrected(self) -> None:
        self.assertEqual(
            [n for n in self.names("a/0/0/0") if n.startswith("run")],
            ["run_assigned", "run_started", "run_ended"],
        )

    def test_only_lines_that_mention_an_id_are_shown(self) -> None:
        self.assertEqual(len(self.names("other")), 1)
        self.assertEqual(len(self.names()), len(LOG_LINES))

    def test_events_are_found_by_their_name(self) -> None:
        self.assertEqual(self.names("run_ended"), ["run_ended"])

    def test_lines_that_are_no_events_are_skipped(self) -> None:
        raw_lines = [
            "Traceback (most recent call last):",
            "{}",
            LOG_LINES[0],
            "{torn",
        ]
        self.assertEqual(len(list(log_merge.read_lines(raw_lines))), 1)

    def test_prefix_of_a_collector_is_left_out(self) -> None:
        (line,) = log_merge.read_lines([f"12:00:01 node-1 {LOG_LINES[0]}"])
        self.assertEqual(line.process, "leader")

    def test_command_prints_the_story_of_an_id(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "all.log"
            file.write_text("\n".join(LOG_LINES), encoding="utf-8")
            command = application.make_application().find("logs")
            tester = command_tester.CommandTester(command)
            code = tester.execute(f"a/0/0/0 --file {file}")
            output = tester.io.fetch_output()
        self.assertEqual(code, 0)
        self.assertLess(output.index("assigned"), output.index("started"))
        self.assertNotIn("other", output)


class AccountTest(unittest.TestCase):
    """The account explains which work was started first, and why."""

    def test_decisions_on_a_job_are_explained(self) -> None:
        run = jobs.RunStart(
            task=make.ref(),
            worker="w1",
            life="w1@1",
            attempt=2,
            waiting=40,
            place=3,
        )
        start = job_commands.StartRuns(runs=(run,))
        ((what, text, _),) = account_jobs.describe("a", start, None)
        self.assertEqual(what, "assigned")
        self.assertIn("number 3 of 40 waiting", text)
        self.assertEqual(len(account_jobs.describe("w1", start, None)), 1)
        self.assertEqual(account_jobs.describe("b", start, None), [])

    def test_refused_assignments_are_left_out(self) -> None:
        jobs_state = make.Jobs()
        run = jobs.RunStart(
            task=make.ref(), worker="w1", life="w1@1", attempt=1
        )
        start = job_commands.StartRuns(runs=(run,))
        result = jobs_state.state.start(start)
        self.assertEqual(account_jobs.describe("a", start, result), [])

    def test_lost_worker_is_explained(self) -> None:
        """A session of a new incarnation ends the runs of the earlier one."""
        opened = job_commands.OpenSession(
            worker="w1", life="w1@2", room=common.Resources()
        )
        self.assertEqual(len(account_jobs.describe("w1", opened, None)), 1)


if __name__ == "__main__":
    unittest.main()
