"""Deterministic state machine of a control group.

Every replica applies the same batches in the same order and reaches the same
state. Applying checks each invariant again, whoever proposed the command.
"""

from bamboorouter.protocol import commands


class Machine:
    """The replicated state.

    Attributes:
        config_revision: Raised by each accepted change of configuration.
    """

    def __init__(self) -> None:
        self.config_revision = 0

    def apply(
        self, index: int, batch: commands.CommandBatch
    ) -> list[commands.Result]:
        """Applies one log entry and returns a result for each command."""
        raise NotImplementedError

    def snapshot(self) -> bytes:
        """Returns the whole state as CBOR."""
        raise NotImplementedError

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        raise NotImplementedError
