"""Guards against faulty sheets that are accepted or reported in part."""

import unittest

from bamboorouter.protocol import sheet

HEADER = (
    "kind,name,owner,urgency,place,processors,memory_mb,accelerators,"
    "run_time_s,count,idempotent,deadline_ms,share,command\n"
)
VALID = (
    "revision,7\n"
    + HEADER
    + "service,entries,guild,0,1,0.5,256,0,0,3,no,800,2,serve --quick\n"
    + 'job,match,guild,5,2,2,1024,1,3600,4,,,,"run, all"\n'
)


class ParseSheetTest(unittest.TestCase):
    """parse_sheet decodes valid sheets and reports all faults at once."""

    def faults(self, text: str) -> set[tuple[int, str, str]]:
        with self.assertRaises(sheet.SheetInvalidError) as caught:
            sheet.parse_sheet(text.encode())
        return {(f.row, f.column, f.value) for f in caught.exception.faults}

    def test_valid_sheet_is_read_exactly(self) -> None:
        parsed = sheet.parse_sheet(VALID.encode())
        service, job = parsed.rows
        self.assertEqual(parsed.revision, 7)
        self.assertEqual((service.millicores, service.count), (500, 3))
        self.assertFalse(service.idempotent)
        self.assertEqual((job.command, job.share), ("run, all", 1))

    def test_all_faulty_rows_are_reported_at_once(self) -> None:
        text = VALID.replace("revision,7", "revision,x").replace(
            "0.5,256", "0.0005,-1"
        )
        text += "robot,match,guild,11,0,1,1,0,0,1,maybe,0,1,\n"
        text += "job,match,guild,5,0,1,1\n"
        self.assertEqual(
            self.faults(text),
            {
                (1, "revision", "revision,x"),
                (3, "processors", "0.0005"),
                (3, "memory_mb", "-1"),
                (5, "kind", "robot"),
                (5, "urgency", "11"),
                (5, "idempotent", "maybe"),
                (6, "name", "match"),
            },
        )

    def test_broken_files_are_refused(self) -> None:
        for text in ("", "revision,1\n", VALID.replace("owner", "ownr")):
            self.assertTrue(self.faults(text))
        for data in (b"\xff\xfe", b'revision,1\n"open'):
            with self.assertRaises(sheet.SheetInvalidError):
                sheet.parse_sheet(data)

    def test_single_job_reports_unknown_and_faulty_fields(self) -> None:
        with self.assertRaises(sheet.SheetInvalidError) as caught:
            sheet.parse_job({"name": "x", "owner": "y", "colour": "red"})
        columns = {fault.column for fault in caught.exception.faults}
        self.assertEqual(
            columns,
            {"colour", "urgency", "place", "processors", "memory_mb"},
        )
