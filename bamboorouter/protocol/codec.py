"""CBOR encoding of messages and commands.

Structs are encoded as CBOR arrays that start with an integer tag. A decoded
array is validated against the structs that the receiver accepts, so malformed
messages are rejected before they reach a handler.
"""

import typing
from typing import Any
from typing import Final
from typing import Generic
from typing import TypeVar

import cbor2
import msgspec

from bamboorouter import errors

T = TypeVar("T")


class Codec(Generic[T]):
    """Encodes and decodes one family of structs.

    The struct type is looked up by its tag. Converting to the union instead
    would make msgspec analyse all of its structs again for each message, which
    takes 40 times as long as the conversion itself.

    Attributes:
        types: The struct type or union of struct types of the family.
    """

    def __init__(self, *, types: Any) -> None:
        self.types = types
        self._by_tag: dict[Any, Any] = {
            member.__struct_config__.tag: member
            for member in typing.get_args(types)
        }

    def to_plain(self, value: T) -> Any:
        """Converts a struct to nested lists, strings, numbers and bytes."""
        return msgspec.to_builtins(value, builtin_types=(bytes,))

    def from_plain(self, plain: Any) -> T:
        """Converts decoded CBOR to a struct and validates it.

        Raises:
            ProtocolError: The data isn't a struct of this family.
        """
        try:
            value: T = msgspec.convert(plain, self._struct_type(plain))
        except msgspec.ValidationError as err:
            raise errors.ProtocolError(
                text=str(err), step="decode message"
            ) from err
        return value

    def _struct_type(self, plain: Any) -> Any:
        """Returns the struct type of the tag, or the union if it is unknown."""
        if isinstance(plain, list) and plain and isinstance(plain[0], int):
            return self._by_tag.get(plain[0], self.types)
        return self.types

    def encode(self, value: T) -> bytes:
        """Encodes a struct as CBOR."""
        return cbor2.dumps(self.to_plain(value))

    def decode(self, data: bytes) -> T:
        """Decodes a struct from CBOR.

        Raises:
            ProtocolError: The bytes aren't CBOR or not a struct of this family.
        """
        return self.from_plain(loads(data))


def loads(data: bytes) -> Any:
    """Decodes one CBOR item.

    Raises:
        ProtocolError: The bytes aren't one complete CBOR item.
    """
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as err:
        raise errors.ProtocolError(text=str(err), step="decode CBOR") from err


def loads_untagged(data: bytes) -> Any:
    """Decodes one CBOR item that contains no tags.

    Messages have none. A tagged item may be a number of more than 64 bits, a
    list that contains itself or an object of the decoder, which would fail only
    where it is used or sent on.

    Raises:
        ProtocolError: The bytes aren't one complete CBOR item without tags.
    """
    try:
        return cbor2.loads(
            data, semantic_decoders=_NO_DECODERS, tag_hook=_refuse_tag
        )
    except (cbor2.CBORDecodeError, ValueError, EOFError) as err:
        raise errors.ProtocolError(
            text=str(err.__cause__ or err), step="decode CBOR"
        ) from err


def _refuse_tag(*_: object) -> Any:
    raise ValueError("messages contain no tags")


# The tags that the library decodes itself; `tag_hook` handles all others.
_NO_DECODERS: Final = dict.fromkeys(
    (
        *(0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 100),
        *(256, 258, 260, 261, 1004, 43000, 55799),
    ),
    _refuse_tag,
)
