"""CBOR encoding of messages and commands.

Structs become CBOR arrays that start with an integer tag. A decoded array is
validated against the structs that the receiver accepts, so a message of the
wrong shape never reaches a handler.
"""

import typing
from typing import Any
from typing import Generic
from typing import TypeVar

import cbor2
import msgspec

from bamboorouter import errors

T = TypeVar("T")


class Codec(Generic[T]):
    """Encodes and decodes one family of structs.

    The struct is looked up by its tag. Converting to the union instead would
    analyse all of its structs again for each message, which takes 40 times as
    long as the conversion itself.

    Attributes:
        types: The struct, or union of structs, that the family consists of.
    """

    def __init__(self, *, types: Any) -> None:
        self.types = types
        self._by_tag: dict[Any, Any] = {
            member.__struct_config__.tag: member
            for member in typing.get_args(types)
        }

    def to_plain(self, value: T) -> Any:
        """Returns nested lists, strings, numbers and bytes for CBOR."""
        return msgspec.to_builtins(value, builtin_types=(bytes,))

    def from_plain(self, plain: Any) -> T:
        """Validates decoded CBOR and returns the struct.

        Raises:
            ProtocolError: The array isn't a struct of this family.
        """
        try:
            value: T = msgspec.convert(plain, self._type_of(plain))
        except msgspec.ValidationError as err:
            raise errors.ProtocolError(
                text=str(err), step="decode message"
            ) from err
        return value

    def _type_of(self, plain: Any) -> Any:
        """Returns the struct that the tag names, or the whole family."""
        if isinstance(plain, list) and plain and isinstance(plain[0], int):
            return self._by_tag.get(plain[0], self.types)
        return self.types

    def encode(self, value: T) -> bytes:
        """Returns the CBOR bytes of a struct."""
        return cbor2.dumps(self.to_plain(value))

    def decode(self, data: bytes) -> T:
        """Returns the struct in CBOR bytes.

        Raises:
            ProtocolError: The bytes aren't CBOR or not of this family.
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
