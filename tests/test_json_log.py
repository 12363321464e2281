"""Tests the JSON log.

Guards against lines that aren't valid JSON, and against a stopped or closed
reader of the pipe that blocks the process.
"""

import json
import os
import unittest

from bamboorouter import clock
from bamboorouter import events
from bamboorouter import json_log


class JsonLogTest(unittest.TestCase):
    """Events written as JSON lines to a pipe."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.data = b""
        self.time = clock.ManualClock(monotonic_ms=1000)
        self.log = json_log.JsonLog(
            descriptor=writer, process="entry-1/entry", time=self.time
        )

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.reader, False)
        while True:
            try:
                self.data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
        complete, _, self.data = self.data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]

    def test_line_tells_event_process_and_fields(self) -> None:
        self.log.write(
            events.JOB_ACCEPTED, {"job": "a", "peer": ("x", 1), "raw": b"\0"}
        )
        (line,) = self.lines()
        self.assertEqual(line["event"], 600)
        self.assertEqual(line["name"], "job_accepted")
        self.assertEqual(line["process"], "entry-1/entry")
        self.assertEqual(line["job"], "a")

    def test_frequent_event_is_counted_instead_of_written(self) -> None:
        for _ in range(json_log.LINES_PER_SECOND + 50):
            self.log.write(events.RUN_ENDED, {})
        self.time.advance(1000)
        self.log.write(events.RUN_ENDED, {})
        lines = self.lines()
        self.assertEqual(len(lines), json_log.LINES_PER_SECOND + 2)
        summary = lines[-2]
        self.assertEqual(summary["name"], "lines_left_out")
        self.assertEqual(summary["count"], 50)

    def test_reader_that_stops_blocks_nothing_and_is_told_of_gaps(
        self,
    ) -> None:
        text = "x" * 1000
        for _ in range(20):
            for _ in range(json_log.LINES_PER_SECOND):
                self.log.write(events.RUN_ENDED, {"text": text})
            self.time.advance(1000)
        self.assertGreater(self.log.dropped, 0)
        lines: list[dict[str, object]] = []
        # The pipe holds less than the log's buffer: several rounds are needed.
        for _ in range(10):
            lines += self.lines()
            self.log.write(events.RUN_STARTED, {})
        self.assertTrue(any(line["name"] == "lines_dropped" for line in lines))

    def test_closed_reader_stops_nothing(self) -> None:
        reader, writer = os.pipe()
        log = json_log.JsonLog(descriptor=writer, process="p", time=self.time)
        os.close(reader)
        log.write(events.RUN_ENDED, {})
        os.close(writer)


if __name__ == "__main__":
    unittest.main()
