"""Guards against single odd values in messages of other programs.

An odd value must be refused, or at least not hide the true ones after it.
"""

import json
from typing import Any
import unittest

from bamboorouter.protocol import value_limits
from tests import platform_site

# platform_site adds the adapter's folder to sys.path, so it is imported first.
import wire  # isort: skip

# Numbers beyond 64 bits, and beyond the range of a float.
HUGE_NUMBERS = (10**30, 10**400)
ANNOUNCEMENT = platform_site.StandInWorker(address="10.0.0.1:80").announcement()


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


class AnnouncementTest(unittest.TestCase):
    """Odd announcements are refused as a whole."""

    def assert_refused(self, **fields: Any) -> None:
        with self.assertRaises(wire.InvalidError):
            wire.decode_announcement("i-1", encode({**ANNOUNCEMENT, **fields}))

    def test_number_out_of_range(self) -> None:
        """Guards against a sequence or start that is the newest for good.

        A capacity out of range would become the replicated room of the worker.
        """
        for number in (*HUGE_NUMBERS, -1):
            for field in ("seq", "born"):
                with self.subTest(field, number=str(number)[:5]):
                    self.assert_refused(**{field: number})
            for field in ("cpu", "memMb", "gpu"):
                with self.subTest(field, number=str(number)[:5]):
                    capacity = {**ANNOUNCEMENT["capacity"], field: number}
                    self.assert_refused(capacity=capacity)

    def test_text_or_list_that_is_too_long(self) -> None:
        """Guards against reports that are too large for a message."""
        text = "x" * (value_limits.MAX_NAME_CHARACTERS + 1)
        for fields in (
            {"service": text},
            {"zone": text},
            {"labels": [text]},
            {"labels": ["a"] * (value_limits.MAX_LABELS + 1)},
        ):
            with self.subTest(list(fields)):
                self.assert_refused(**fields)

    def test_largest_plausible_values_are_taken(self) -> None:
        announcement = wire.decode_announcement(
            "i-1",
            encode(
                {
                    **ANNOUNCEMENT,
                    "seq": value_limits.MAX_SERIAL,
                    "capacity": {"cpu": 10**6, "memMb": 10**8, "gpu": 10**3},
                    "labels": ["x" * value_limits.MAX_NAME_CHARACTERS] * 9,
                }
            ),
        )
        self.assertEqual(announcement.sequence, value_limits.MAX_SERIAL)


if __name__ == "__main__":
    unittest.main()
