"""Tests that the logs of a site are printed when a test fails."""

import contextlib
import io
import unittest
from unittest import mock

from devtools import site
from tests import site_case

LOG = "the agent's last log line"


class _Example(site_case.SiteTestCase):
    """Tests that use a site; run by `PrintedLogsTest`."""

    async def test_passes(self) -> None:
        await self.start_site(site.small_shape(vms=1, controls=0, entries=0))

    async def test_fails(self) -> None:
        await self.test_passes()
        self.fail("the test's own failure")

    async def test_raises(self) -> None:
        await self.test_passes()
        raise ValueError("an unexpected error")


class PrintedLogsTest(unittest.TestCase):
    """Runs tests with a fake site and reads what they print."""

    def printed_by(self, name: str) -> str:
        fake = mock.AsyncMock(spec=site.Site)
        fake.tails = mock.Mock(return_value=LOG)
        output = io.StringIO()
        with (
            mock.patch.object(site, "Site", return_value=fake),
            contextlib.redirect_stdout(output),
        ):
            _Example(name).run(unittest.TestResult())
        return output.getvalue()

    def test_failed_test_prints_the_logs(self) -> None:
        """Guards against a failed test whose cause can't be found.

        During the cleanups, unittest reports the test as successful.
        """
        self.assertIn(LOG, self.printed_by("test_fails"))

    def test_test_with_an_error_prints_the_logs(self) -> None:
        self.assertIn(LOG, self.printed_by("test_raises"))

    def test_passed_test_prints_no_logs(self) -> None:
        self.assertNotIn(LOG, self.printed_by("test_passes"))


def load_tests(
    loader: unittest.TestLoader,
    tests: unittest.TestSuite,
    pattern: str | None,
) -> unittest.TestSuite:
    """Leaves out the examples, two of which fail on purpose."""
    del tests, pattern
    return loader.loadTestsFromTestCase(PrintedLogsTest)
