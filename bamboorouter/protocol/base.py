"""Base class of messages and commands."""

import msgspec


class Wire(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A struct that travels or is stored as a CBOR array.

    New fields go to the end with a default, so that older and newer processes
    understand each other.
    """
