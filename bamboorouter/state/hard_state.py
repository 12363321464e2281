"""Durable consensus state of a replica: its identity, term and vote.

The identity is generated at random when the data folder is first used. A
replica that loses its folder gets a new identity, so it cannot vote a second
time under the old one.
"""

import dataclasses
import re
import secrets
from typing import Final

import cbor2
import msgspec
import xxhash

from bamboorouter import errors
from bamboorouter.protocol import codec
from bamboorouter.protocol import value_limits
from bamboorouter.transport import files

_IDENTITY: Final = "identity"
_VOTE: Final = "vote"
_ID_BYTES: Final = 8
_CHECKSUM_BYTES: Final = 8
_IDENTITY_PATTERN: Final = re.compile(r"[A-Za-z0-9_.-]{1,64}")


@dataclasses.dataclass(frozen=True, kw_only=True)
class HardState:
    """Term and vote of a replica.

    Attributes:
        term: Latest term the replica has seen.
        voted_for: ID of the replica that it voted for in this term; empty if
            none.
        led: Whether the replica is known to have led this term; it may have
            led the term even if this is False.
    """

    term: int = 0
    voted_for: str = ""
    led: bool = False


class _StoredState(msgspec.Struct, array_like=True):
    term: value_limits.Serial
    voted_for: str
    led: bool = False  # Earlier versions did not store it.


def open_identity(folder: files.Folder) -> str:
    """Returns the replica ID of a data folder; an empty folder gets a new ID.

    Raises:
        StorageError: The folder holds data but no valid identity.
    """
    names = folder.names()
    if _IDENTITY in names:
        identity = folder.read(_IDENTITY).decode("ascii", errors="replace")
        if not _IDENTITY_PATTERN.fullmatch(identity):
            raise errors.StorageError(
                text="the identity is damaged",
                step="open identity",
                peer=_IDENTITY,
            )
        return identity
    if any(name != _VOTE for name in names):
        raise errors.StorageError(
            text="the data folder has files but no identity",
            step="open identity",
            peer=_IDENTITY,
        )
    replica_id = secrets.token_hex(_ID_BYTES)
    create(folder, replica_id)
    return replica_id


def create(folder: files.Folder, replica_id: str) -> None:
    """Writes the identity and an initial vote to an empty data folder."""
    # The vote is written first: a folder with an identity but no vote is
    # treated as one that lost its vote.
    save(folder, HardState())
    folder.replace(_IDENTITY, replica_id.encode("ascii"))


def load(folder: files.Folder) -> HardState:
    """Returns the saved term and vote.

    Raises:
        StorageError: Term and vote are missing or damaged.
    """
    data = folder.read(_VOTE)
    body = data[_CHECKSUM_BYTES:]
    if _checksum(body) != data[:_CHECKSUM_BYTES]:
        raise errors.StorageError(
            text="term and vote are damaged", step="open vote", peer=_VOTE
        )
    try:
        stored = msgspec.convert(codec.loads(body), _StoredState)
    except (errors.ProtocolError, msgspec.ValidationError) as err:
        raise errors.StorageError(
            text=f"term and vote are of another version: {err}",
            step="open vote",
            peer=_VOTE,
        ) from err
    return HardState(
        term=stored.term, voted_for=stored.voted_for, led=stored.led
    )


def reopen(folder: files.Folder) -> HardState:
    """Returns the saved term and vote and makes them durable.

    An earlier run may have replaced the file without syncing the folder.

    Raises:
        StorageError: Term and vote are missing, damaged or can't be saved.
    """
    state = load(folder)
    save(folder, state)
    return state


def save(folder: files.Folder, state: HardState) -> None:
    """Saves term and vote durably."""
    body = cbor2.dumps([state.term, state.voted_for, state.led])
    folder.replace(_VOTE, _checksum(body) + body)


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh3_64_digest(body)
