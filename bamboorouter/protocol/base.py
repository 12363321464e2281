"""Base class of messages and commands."""

import msgspec


class Wire(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A struct that is sent or stored as a CBOR array.

    New fields must be added at the end and have a default, so that older and
    newer processes can decode each other's structs.
    """
