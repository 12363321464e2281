"""Checks that the documentation and the samples match the program."""

import pathlib
import re
import unittest

from bamboorouter import events
from bamboorouter import options
from bamboorouter.protocol import sheet
from devtools import write_events

ROOT = pathlib.Path(__file__).resolve().parent.parent
EVENT_ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| (.+) \|$", re.MULTILINE)


class EventsPageTest(unittest.TestCase):
    """docs/events.md lists exactly the events of events.py."""

    def test_page_and_module_agree_both_ways(self) -> None:
        text = write_events.PAGE.read_text(encoding="utf-8")
        documented = [
            (int(number), name, level, meaning)
            for number, name, level, meaning in EVENT_ROW.findall(text)
        ]
        defined = [
            (
                event.number,
                event.name,
                write_events.LEVELS[event.level],
                event.meaning,
            )
            for _, event in sorted(events.CATALOGUE.items())
        ]
        self.assertEqual(
            documented, defined, "run: python -m devtools.write_events"
        )

    def test_event_names_are_unique(self) -> None:
        names = [event.name for event in events.CATALOGUE.values()]
        self.assertEqual(len(names), len(set(names)))


class LinkedPagesTest(unittest.TestCase):
    """Relative links in the documentation point to existing files."""

    def test_links_lead_somewhere(self) -> None:
        for page in (ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))):
            text = page.read_text(encoding="utf-8")
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())


class SamplesTest(unittest.TestCase):
    """The program accepts the sample settings and sheets."""

    def test_settings_are_valid(self) -> None:
        paths = sorted((ROOT / "samples").glob("*.toml"))
        self.assertEqual(len(paths), 6)
        for path in paths:
            with self.subTest(path.name):
                settings = options.load_options(str(path))
                self.assertEqual(len(settings.process.control), 3)

    def test_sheets_are_valid(self) -> None:
        paths = sorted((ROOT / "samples").glob("*.csv"))
        self.assertEqual(len(paths), 2)
        for path in paths:
            with self.subTest(path.name):
                self.assertEqual(
                    sheet.parse_sheet(path.read_bytes()).revision, 1
                )


if __name__ == "__main__":
    unittest.main()
