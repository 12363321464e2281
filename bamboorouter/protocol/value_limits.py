"""Ranges of numbers and lengths of texts that other programs may send.

A decoder checks every value of a message against these limits. A value outside
its range is an error of the sender: compared with true values it would win for
good, and arithmetic with it may overflow in a part of the system that doesn't
expect it. The limits are far above what occurs, so that no valid message is
refused.
"""

from typing import Annotated
from typing import Final

import msgspec

# Wall time in ms at the end of the year 9999. Also the limit of steady clocks
# and of durations.
MAX_TIME_MS: Final = 253_402_300_800_000
# Limit of counters that begin at any value, such as versions: the largest
# signed number of 64 bits.
MAX_SERIAL: Final = (1 << 63) - 1
# Limit of counters that begin at 1 and count events of one process.
MAX_COUNT: Final = 1_000_000_000_000
MAX_MILLICORES: Final = 1_000_000_000
MAX_MEMORY_MB: Final = 1_000_000_000
MAX_ACCELERATORS: Final = 1_000_000
MAX_PERCENT: Final = 100
MAX_FACTOR: Final = 1_000_000
MAX_PORT: Final = 65_535

MAX_NAME_CHARACTERS: Final = 1024
# The name of a task, with the ID of its job and three numbers, is a name too.
MAX_JOB_ID_CHARACTERS: Final = 512
MAX_TEXT_CHARACTERS: Final = 64 * 1024
MAX_LABELS: Final = 256

TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Serial = Annotated[int, msgspec.Meta(ge=0, le=MAX_SERIAL)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Millicores = Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLICORES)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Percent = Annotated[float, msgspec.Meta(ge=0, le=MAX_PERCENT)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=MAX_FACTOR)]
Measurement = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
