"""Decodes JSON bodies of other programs.

Values without a fixed type, such as the arguments of an operator's call, must
also fit into a message between processes. The receiver would otherwise close
the link, which other calls share.
"""

from typing import Any
from typing import Final
from typing import TypeVar

import msgspec

T = TypeVar("T")

# Far more than any valid value needs, far less than the limits of the decoders.
MAX_DEPTH: Final = 32
MIN_INTEGER: Final = -(1 << 63)
MAX_INTEGER: Final = (1 << 64) - 1


def decode(body: bytes, kind: type[T]) -> T:
    """Decodes and validates a JSON body.

    Raises:
        DecodeError: The body is malformed, nested too deeply or isn't of this
            type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except RecursionError as err:
        raise msgspec.DecodeError("JSON is nested too deeply") from err


def find_unsendable(value: Any) -> str:
    """Returns why no message can carry a decoded value; empty if one can."""
    level = [value]
    for _ in range(MAX_DEPTH):
        if any(
            isinstance(item, int) and not MIN_INTEGER <= item <= MAX_INTEGER
            for item in level
        ):
            return "a number has more than 64 bits"
        level = [inner for item in level for inner in _children(item)]
        if not level:
            return ""
    return f"more than {MAX_DEPTH} levels are nested"


def _children(item: Any) -> list[Any]:
    if isinstance(item, dict):
        return list(item.values())
    return item if isinstance(item, list) else []
