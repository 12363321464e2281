"""Exceptions of bamboorouter.

Every exception contains the failed step and the peer (address or name) that it
concerns, so that log lines and answers can name both. `error_texts` defines the
texts for callers and operators.
"""


class RouterError(Exception):
    """Base class of all exceptions raised by bamboorouter.

    Attributes:
        text: Human-readable description of the failure.
        step: Name of the step that failed, for example "dispatch".
        peer: Address or name of the peer; empty if there is none.
    """

    def __init__(self, *, text: str, step: str, peer: str = "") -> None:
        super().__init__(text)
        self.text = text
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        peer = f" (peer {self.peer})" if self.peer else ""
        return f"{self.step}: {self.text}{peer}"


class OptionsError(RouterError):
    """A setting is unknown, missing, of the wrong type or out of range."""


class LinkClosedError(RouterError):
    """The link to a peer was closed; requests on it may have been executed."""


class RequestTimeoutError(RouterError):
    """No reply arrived in time; the request may have been executed."""


class NotSentError(RouterError):
    """No leader was found in time; the request was not sent."""


class RefusedError(RouterError):
    """The peer refused the request without executing any part of it.

    Attributes:
        code: Machine-readable reason from `error_texts`.
    """

    def __init__(
        self, *, code: str, text: str, step: str, peer: str = ""
    ) -> None:
        super().__init__(text=text, step=step, peer=peer)
        self.code = code


class NotLeaderError(RouterError):
    """The replica doesn't lead; nothing was proposed.

    Attributes:
        leader: Address of the leader; empty if unknown.
    """

    def __init__(self, *, leader: str, step: str, peer: str = "") -> None:
        super().__init__(text="not the leader", step=step, peer=peer)
        self.leader = leader


class UnknownResultError(RouterError):
    """The result of a sent request or proposal is unknown; it may take effect."""


class StorageError(RouterError):
    """A file can't be read, written or synced, or has corrupted records."""


class ProtocolError(RouterError):
    """A message can't be decoded or violates the protocol."""
