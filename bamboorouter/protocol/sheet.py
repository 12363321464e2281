"""Parses and validates the sheet, a CSV file with the day's services and jobs.

The first row is `revision,<n>`, the second contains the column names, and each
further row describes a service or a batch job. A refusal lists the faults of
all rows, so that planners can correct them together. Rows are numbered from 1,
as in a spreadsheet.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import csv
import dataclasses
import decimal
import hashlib
import io
import itertools
import re
from typing import Any
from typing import Final

from bamboorouter import error_texts
from bamboorouter import errors
from bamboorouter.protocol import common

# A task record takes about 0.5 kB, so this many take 10 MB of the 32 MB of memory
# of a control replica.
MAX_TASKS: Final = 20_000
MAX_FAULTS: Final = 1_000
# Each row that isn't empty has at least one task.
MAX_ROWS: Final = 2 * MAX_TASKS
MAX_COLUMNS: Final = 64
_MILLICORES_PER_PROCESSOR: Final = 1000
_NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_NAME_ALLOWED: Final = "1 to 64 letters, digits, '_', '.' or '-'"
_REQUIRED_COLUMNS: Final = (
    *("kind", "name", "owner", "urgency", "place"),
    *("processors", "memory_mb"),
)
_DEFAULTS: Final[dict[str, str]] = {
    "accelerators": "0",
    "run_time_s": "0",
    "count": "1",
    "idempotent": "yes",
    "deadline_ms": "0",
    "share": "1",
    "command": "",
}
COLUMNS: Final = (*_REQUIRED_COLUMNS, *_DEFAULTS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One invalid value of a sheet.

    Attributes:
        row: Number of the row, from 1; 0 for a single job or the whole sheet.
        column: Name of the column.
        value: The invalid value.
        allowed: Description of the valid values.
    """

    row: int
    column: str
    value: str
    allowed: str

    def plain(self) -> dict[str, Any]:
        """Returns the fault as a dictionary for the reply to the operator."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sheet:
    """A valid sheet.

    Attributes:
        revision: Revision given in the first row.
        digest: SHA-256 of the sheet's bytes, in hex.
        rows: Services and jobs in the order of the sheet.
    """

    revision: int
    digest: str
    rows: tuple[common.SheetRow, ...]


class SheetInvalidError(errors.RefusedError):
    """A sheet or a job is invalid; nothing of it was applied.

    Attributes:
        faults: The faults found, at most `MAX_FAULTS`.
    """

    def __init__(self, *, faults: Iterable[Fault]) -> None:
        super().__init__(
            code=error_texts.SHEET_INVALID,
            text=error_texts.text_for(error_texts.SHEET_INVALID),
            step="read sheet",
        )
        self.faults = tuple(faults)[:MAX_FAULTS]


class _InvalidValueError(Exception):
    """A value is invalid; the message describes the valid values."""


def parse_sheet(data: bytes) -> Sheet:
    """Parses and validates a sheet.

    Args:
        data: CSV in UTF-8.

    Returns:
        The valid sheet.

    Raises:
        SheetInvalidError: The sheet is malformed or has invalid values.
    """
    records = _parse_csv(data)
    faults: list[Fault] = []
    revision = _parse_revision(records, faults)
    columns = _parse_columns(records, faults)
    rows: list[common.SheetRow] = []
    names: dict[str, int] = {}
    for number, record in enumerate(records[2:], start=3):
        if len(faults) >= MAX_FAULTS:
            break
        if not any(cell.strip() for cell in record):
            continue
        row, found = _parse_row(number, columns, record)
        faults.extend(found)
        if row is None:
            continue
        if row.name in names:
            allowed = f"a name not used before (row {names[row.name]} has it)"
            faults.append(_fault(number, "name", row.name, allowed))
        names.setdefault(row.name, number)
        rows.append(row)
    if sum(row.count for row in rows) > MAX_TASKS:
        total = str(sum(row.count for row in rows))
        allowed = f"at most {MAX_TASKS} in all rows together"
        faults.append(_fault(0, "count", total, allowed))
    if faults:
        raise SheetInvalidError(faults=faults)
    digest = hashlib.sha256(data).hexdigest()
    return Sheet(revision=revision, digest=digest, rows=tuple(rows))


def parse_job(fields: Mapping[str, Any]) -> common.SheetRow:
    """Validates the fields of a single job.

    Args:
        fields: Values by column name; optional columns may be missing.

    Returns:
        The row of the job.

    Raises:
        SheetInvalidError: At least one value is invalid.
    """
    values = {"kind": "job", **{k: str(v) for k, v in fields.items()}}
    unknown = [name for name in values if name not in COLUMNS][:MAX_FAULTS]
    faults = [
        _fault(0, name, values[name], "no such column") for name in unknown
    ]
    row, found = _parse_values(0, values)
    faults.extend(found)
    if row is not None and row.kind != "job":
        faults.append(_fault(0, "kind", row.kind, "'job'"))
    if faults or row is None:
        raise SheetInvalidError(faults=faults)
    return row


def _fault(row: int, column: str, value: str, allowed: str) -> Fault:
    return Fault(row=row, column=column, value=value[:200], allowed=allowed)


def _parse_csv(data: bytes) -> list[list[str]]:
    try:
        text = data.decode("utf-8-sig")
        reader = csv.reader(io.StringIO(text, newline=""), strict=True)
        records = list(itertools.islice(reader, MAX_ROWS + 1))
    except UnicodeDecodeError as err:
        fault = _fault(0, "", f"byte {err.start}", "text in UTF-8")
        raise SheetInvalidError(faults=(fault,)) from err
    except csv.Error as err:
        fault = _fault(0, "", str(err), "well-formed CSV")
        raise SheetInvalidError(faults=(fault,)) from err
    if len(records) > MAX_ROWS:
        allowed = f"at most {MAX_ROWS} rows"
        fault = _fault(MAX_ROWS + 1, "", "", allowed)
        raise SheetInvalidError(faults=(fault,))
    return records


def _parse_revision(records: list[list[str]], faults: list[Fault]) -> int:
    cells = [cell.strip() for cell in records[0]] if records else []
    cells = cells[:2] + [cell for cell in cells[2:] if cell]
    try:
        if len(cells) != 2 or cells[0] != "revision":
            raise _InvalidValueError
        return _integer_parser(1, 2**53)(cells[1])
    except _InvalidValueError:
        allowed = "'revision,<n>' with n from 1"
        faults.append(_fault(1, "revision", ",".join(cells), allowed))
        return 0


def _parse_columns(
    records: list[list[str]], faults: list[Fault]
) -> tuple[str, ...]:
    header = records[1] if len(records) > 1 else []
    if len(header) > MAX_COLUMNS:
        allowed = f"at most {MAX_COLUMNS} columns"
        raise SheetInvalidError(
            faults=(_fault(2, "", str(len(header)), allowed),)
        )
    columns = tuple(cell.strip() for cell in header)
    for name in _REQUIRED_COLUMNS:
        if name not in columns:
            faults.append(_fault(2, name, "", "this column is required"))
    for name in dict.fromkeys(columns):
        if name and name not in COLUMNS:
            faults.append(_fault(2, name, name, "one of " + ", ".join(COLUMNS)))
        if name and columns.count(name) > 1:
            faults.append(_fault(2, name, name, "each column once"))
    return columns


def _parse_row(
    number: int, columns: tuple[str, ...], record: list[str]
) -> tuple[common.SheetRow | None, list[Fault]]:
    extra = [cell for cell in record[len(columns) :] if cell.strip()]
    if extra:
        allowed = f"at most {len(columns)} cells"
        return None, [_fault(number, "", ",".join(extra), allowed)]
    values = {
        name: cell
        for name, cell in zip(columns, record, strict=False)
        if name in COLUMNS
    }
    return _parse_values(number, values)


def _parse_values(
    number: int, values: Mapping[str, str]
) -> tuple[common.SheetRow | None, list[Fault]]:
    faults: list[Fault] = []
    parsed: dict[str, Any] = {}
    for column in COLUMNS:
        value = values.get(column, "")
        value = value if column == "command" else value.strip()
        if not value:
            value = _DEFAULTS.get(column, "")
        try:
            parsed[column] = _PARSERS[column](value)
        except _InvalidValueError as err:
            faults.append(_fault(number, column, value, str(err)))
    if faults:
        return None, faults
    return _to_row(parsed), []


def _to_row(parsed: dict[str, Any]) -> common.SheetRow:
    millicores = parsed.pop("processors")
    if parsed["kind"] == "job":
        parsed.update(idempotent=True, deadline_ms=0)
    else:
        parsed.update(run_time_s=0)
    return common.SheetRow(millicores=millicores, **parsed)


def _integer_parser(low: int, high: int) -> Callable[[str], int]:
    def parse(value: str) -> int:
        if not re.fullmatch(r"[0-9]{1,18}", value):
            raise _InvalidValueError(f"a whole number from {low} to {high}")
        number = int(value)
        if not low <= number <= high:
            raise _InvalidValueError(f"a whole number from {low} to {high}")
        return number

    return parse


def _choice_parser(choices: Mapping[str, Any]) -> Callable[[str], Any]:
    def parse(value: str) -> Any:
        if value not in choices:
            raise _InvalidValueError("one of " + ", ".join(choices))
        return choices[value]

    return parse


def _parse_name(value: str) -> str:
    if not _NAME_PATTERN.fullmatch(value):
        raise _InvalidValueError(_NAME_ALLOWED)
    return value


def _parse_processors(value: str) -> int:
    allowed = "a decimal number from 0.001 to 1024, at most 3 decimals"
    if not re.fullmatch(r"[0-9]{1,4}(\.[0-9]{1,3})?", value):
        raise _InvalidValueError(allowed)
    millicores = int(decimal.Decimal(value) * _MILLICORES_PER_PROCESSOR)
    if not 1 <= millicores <= 1024 * _MILLICORES_PER_PROCESSOR:
        raise _InvalidValueError(allowed)
    return millicores


def _parse_command(value: str) -> str:
    if len(value) > 4096:
        raise _InvalidValueError("at most 4096 characters")
    return value


_PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "kind": _choice_parser({"service": "service", "job": "job"}),
    "name": _parse_name,
    "owner": _parse_name,
    "urgency": _integer_parser(0, 9),
    "place": _integer_parser(0, 10**9),
    "processors": _parse_processors,
    "memory_mb": _integer_parser(1, 16 * 1024 * 1024),
    "accelerators": _integer_parser(0, 64),
    "run_time_s": _integer_parser(0, 366 * 86_400),
    "count": _integer_parser(1, 10_000),
    "idempotent": _choice_parser({"yes": True, "no": False}),
    "deadline_ms": _integer_parser(0, 600_000),
    "share": _integer_parser(1, 1000),
    "command": _parse_command,
}
