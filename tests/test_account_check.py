"""Guards against undetected changes of the account."""

import json
import pathlib
import struct
import tempfile
from typing import Any
import unittest

from cleo.testers import application_tester
import xxhash

from bamboorouter.cli import application
from bamboorouter.cli import exit_codes
from bamboorouter.protocol import messages
from bamboorouter.state import account_check
from bamboorouter.state import records

RECORDS_PER_SEGMENT = 4


def make_log(
    count: int, payload: bytes = b"decision"
) -> tuple[list[tuple[str, bytearray]], list[records.StoredEntry]]:
    """Returns the segments of a log and its records.

    Args:
        count: Number of records; `RECORDS_PER_SEGMENT` in each segment.
        payload: Prefix of the payloads.
    """
    segments: list[tuple[str, bytearray]] = []
    preceding = records.LogPosition()
    stored_entries = []
    for index in range(1, count + 1):
        if (index - 1) % RECORDS_PER_SEGMENT == 0:
            header = bytearray(records.pack_segment_header(preceding))
            segments.append((f"log-{index:020d}", header))
        entry = messages.LogEntry(
            term=1, index=index, kind=0, payload=payload + b"-%d" % index
        )
        chain = records.chain_after(preceding.chain, entry)
        stored = records.StoredEntry(entry, chain)
        stored_entries.append(stored)
        segments[-1][1].extend(records.pack_entry(stored))
        preceding = records.LogPosition(index=index, term=1, chain=chain)
    return segments, stored_entries


def check(
    segments: list[tuple[str, bytearray]], *known: account_check.KnownRecord
) -> account_check.Verification:
    """Verifies segments against records that are known from elsewhere."""
    return account_check.verify(
        ((name, bytes(data)) for name, data in segments), known=known
    )


def fault_ranges(
    found: account_check.Verification,
) -> list[tuple[str, int, int]]:
    """Returns kind, first and last index of each fault."""
    return [(f.kind, f.first_index, f.last_index) for f in found.faults]


def record_offset(data: bytearray, stored: records.StoredEntry) -> int:
    return bytes(data).index(records.pack_entry(stored))


class VerifyTest(unittest.TestCase):
    """Tests that `verify` names exactly the changed or missing records."""

    def setUp(self) -> None:
        self.segments, self.stored = make_log(12)

    def remove_record(self, index: int) -> None:
        """Removes a record from its segment."""
        record = records.pack_entry(self.stored[index - 1])
        for _, data in self.segments:
            start = bytes(data).find(record)
            if start >= 0:
                del data[start : start + len(record)]

    def test_whole_account_has_no_faults(self) -> None:
        found = check(self.segments)
        self.assertEqual(found.faults, [])
        self.assertEqual((found.first_index, found.last_index), (1, 12))
        self.assertEqual(found.head, self.stored[-1].chain.hex())

    def test_every_flipped_bit_of_a_record_is_found_and_named(self) -> None:
        record = records.pack_entry(self.stored[5])
        start = record_offset(self.segments[1][1], self.stored[5])
        for position in range(start, start + len(record)):
            with self.subTest(position=position - start):
                data = self.segments[1][1]
                data[position] ^= 0x10
                found = check(self.segments)
                data[position] ^= 0x10
                self.assertEqual(fault_ranges(found), [("changed", 6, 6)])

    def test_changed_record_with_a_new_checksum_is_named(self) -> None:
        old = records.pack_entry(self.stored[5])
        # The header has 16 bytes: magic number, length and checksum of the body.
        body = bytearray(old[16:])
        body[-3] ^= 1
        checksum = xxhash.xxh3_64_intdigest(bytes(body))
        new = struct.pack(">4sIQ", b"BRL1", len(body), checksum) + bytes(body)
        name, data = self.segments[1]
        self.segments[1] = (name, bytearray(bytes(data).replace(old, new)))
        found = check(self.segments)
        self.assertEqual(fault_ranges(found), [("changed", 6, 6)])

    def test_changed_record_with_a_new_hash_is_found(self) -> None:
        forged = messages.LogEntry(term=1, index=6, kind=0, payload=b"forged")
        chain = records.chain_after(self.stored[4].chain, forged)
        name, data = self.segments[1]
        self.segments[1] = (
            name,
            bytearray(
                bytes(data).replace(
                    records.pack_entry(self.stored[5]),
                    records.pack_entry(records.StoredEntry(forged, chain)),
                )
            ),
        )
        found = check(self.segments)
        # The new hash matches the forged record, so only the hash of the next
        # record is wrong.
        self.assertEqual(fault_ranges(found), [("changed", 7, 7)])
        self.assertIn("record 6 was changed together", found.faults[0].text)

    def test_all_hashes_made_anew_are_shown_by_a_known_head(self) -> None:
        forged, _ = make_log(12, payload=b"forged")
        head = account_check.KnownRecord(
            index=12, chain=self.stored[-1].chain.hex()
        )
        self.assertEqual(check(forged).faults, [])
        self.assertEqual(
            fault_ranges(check(forged, head)), [("other_head", 12, 12)]
        )

    def test_missing_records_are_named(self) -> None:
        for removed in ([6], [6, 7], [5], [8], [4, 5], [1]):
            with self.subTest(removed=removed):
                self.setUp()
                for index in removed:
                    self.remove_record(index)
                found = check(self.segments)
                named = [
                    index
                    for fault in found.faults
                    for index in range(fault.first_index, fault.last_index + 1)
                ]
                self.assertEqual(named, removed)
                kinds = {fault.kind for fault in found.faults}
                self.assertEqual(kinds, {"missing"})

    def test_missing_segment_is_named(self) -> None:
        del self.segments[1]
        self.assertEqual(
            fault_ranges(check(self.segments)), [("missing", 5, 8)]
        )

    def test_missing_newest_records_are_shown_by_a_known_head(self) -> None:
        head = account_check.KnownRecord(
            index=12, chain=self.stored[-1].chain.hex()
        )
        self.remove_record(12)
        self.remove_record(11)
        self.assertEqual(check(self.segments).faults, [])
        self.assertEqual(
            fault_ranges(check(self.segments, head)), [("missing", 11, 12)]
        )

    def test_swapped_records_are_found(self) -> None:
        first = records.pack_entry(self.stored[5])
        second = records.pack_entry(self.stored[6])
        name, data = self.segments[1]
        swapped = bytes(data).replace(first + second, second + first)
        self.segments[1] = (name, bytearray(swapped))
        kinds = {kind for kind, _, _ in fault_ranges(check(self.segments))}
        self.assertIn("misplaced", kinds)

    def test_record_torn_by_a_crash_is_no_fault(self) -> None:
        record_size = len(records.pack_entry(self.stored[-1]))
        for left in (1, 10, 20, record_size - 1):
            with self.subTest(left=left):
                self.setUp()
                # Only the first `left` bytes of the newest record were written.
                del self.segments[-1][1][left - record_size :]
                found = check(self.segments)
                self.assertEqual(found.faults, [])
                self.assertEqual(found.tail_bytes, left)
                self.assertEqual(found.last_index, 11)

    def test_changed_newest_record_is_a_fault(self) -> None:
        self.segments[-1][1][-1] ^= 1
        self.assertEqual(
            fault_ranges(check(self.segments)), [("changed", 12, 12)]
        )

    def test_removed_oldest_segment_is_told_by_the_first_index(self) -> None:
        del self.segments[0]
        found = check(self.segments)
        self.assertEqual((found.first_index, found.faults), (5, []))

    def test_changed_segment_head_is_found(self) -> None:
        self.segments[1][1][20] ^= 1
        self.assertTrue(check(self.segments).faults)


class AccountVerifyCommandTest(unittest.TestCase):
    """Tests the command `account verify` on a data folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.segments, self.stored = make_log(12)
        for name, data in self.segments:
            (self.folder / name).write_bytes(data)

    def run_tool(self, line: str) -> tuple[int, dict[str, Any], str]:
        tester = application_tester.ApplicationTester(
            application.make_application()
        )
        code = tester.execute(f"account verify {line} --json")
        output = json.loads(tester.io.fetch_output())
        return code, output, tester.io.fetch_error()

    def test_whole_account_passes_and_prints_its_head(self) -> None:
        code, output, _ = self.run_tool(str(self.folder))
        self.assertEqual(code, exit_codes.DONE)
        chain = self.stored[-1].chain.hex()
        self.assertEqual((output["last_index"], output["head"]), (12, chain))
        code, _, _ = self.run_tool(f"{self.folder} --expect 12:{chain}")
        self.assertEqual(code, exit_codes.DONE)

    def test_damaged_account_fails_and_changes_no_file(self) -> None:
        path = self.folder / self.segments[0][0]
        content = bytearray(path.read_bytes())
        content[-1] ^= 1
        path.write_bytes(content)
        before = {p.name: p.read_bytes() for p in self.folder.iterdir()}
        code, output, error = self.run_tool(str(self.folder))
        self.assertEqual(code, exit_codes.DAMAGED)
        self.assertEqual(
            output["faults"][0]["first_index"], RECORDS_PER_SEGMENT
        )
        self.assertIn(f"record {RECORDS_PER_SEGMENT} is changed", error)
        after = {p.name: p.read_bytes() for p in self.folder.iterdir()}
        self.assertEqual(before, after)

    def test_expected_record_that_is_no_hash_is_wrong_usage(self) -> None:
        """Guards against an undamaged account that is called damaged."""
        chain = self.stored[-1].chain.hex()
        for record in (
            f"12:{'g' * 64}",
            f"12:{chain[:-1]} ",
            f"12:0x{chain[2:]}",
            f"12:{chain[:-1]}\u0661",
            f"\u0661\u0662:{chain}",
            f"12:{chain}0",
            f"0:{chain}",
        ):
            with self.subTest(record):
                code, output, error = self.run_tool(
                    f"{self.folder} --expect '{record}'"
                )
                self.assertEqual(code, exit_codes.USAGE)
                self.assertFalse(output["ok"])
                self.assertIn("--expect", error)
        code, _, _ = self.run_tool(f"{self.folder} --expect 12:{chain.upper()}")
        self.assertEqual(code, exit_codes.DONE)

    def test_folder_without_a_log_is_not_called_whole(self) -> None:
        for line in ("/nonexistent", f"{self.folder} --expect 12:abc"):
            with self.subTest(line):
                code, output, _ = self.run_tool(line)
                self.assertEqual(code, exit_codes.USAGE)
                self.assertFalse(output["ok"])


if __name__ == "__main__":
    unittest.main()
