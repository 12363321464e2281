"""Tests the odd announcements of the soak test."""

import json
import random
import unittest

from devtools import soak_odd

BODY = {
    "service": "desk",
    "addr": "127.0.0.1:8080",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 0},
    "labels": ["a", "r1-1"],
    "seq": 4,
    "born": 1_700_000_000_000,
}


class OddBodyTest(unittest.TestCase):
    """Each kind of odd announcement differs from the true one."""

    def bodies(self, kind: str) -> list[bytes]:
        return [
            soak_odd.odd_body(kind, BODY, random.Random(seed))
            for seed in range(20)
        ]

    def test_body_differs_from_the_true_one(self) -> None:
        for kind in soak_odd.KINDS:
            with self.subTest(kind):
                self.assertNotIn(json.dumps(BODY).encode(), self.bodies(kind))

    def test_changed_field_has_another_type(self) -> None:
        for body in self.bodies("type"):
            message = json.loads(body)
            changed = [k for k, v in BODY.items() if message[k] != v]
            self.assertEqual(len(changed), 1)
            self.assertIsNot(type(message[changed[0]]), type(BODY[changed[0]]))

    def test_two_fields_are_missing(self) -> None:
        for body in self.bodies("missing fields"):
            self.assertEqual(len(json.loads(body)), len(BODY) - 2)

    def test_bytes_cannot_be_read(self) -> None:
        for kind in ("nesting", "bytes"):
            for body in self.bodies(kind):
                with self.assertRaises((ValueError, RecursionError)):
                    json.loads(body)


if __name__ == "__main__":
    unittest.main()
