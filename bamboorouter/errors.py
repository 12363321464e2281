"""Errors of bamboorouter.

Every error carries the step in which it arose and the peer (address or name)
it concerns, so that a log line or an answer can name both. The texts stand in
`error_texts`.
"""


class RouterError(Exception):
    """Base of all errors raised by bamboorouter.

    Attributes:
        text: What went wrong, for people.
        step: Name of the step that failed, for example "dispatch".
        peer: Address or name of the other side; empty if there is none.
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
    """The link to a peer closed; a request on it may have been executed."""


class RequestTimeoutError(RouterError):
    """No reply arrived in time; the request may have been executed."""


class NotSentError(RouterError):
    """No leader was found in time; the request was sent to nobody."""


class RefusedError(RouterError):
    """The peer refused the request before doing any of it.

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
        leader: Address of the leader as far as known; empty if unknown.
    """

    def __init__(self, *, leader: str, step: str, peer: str = "") -> None:
        super().__init__(text="not the leader", step=step, peer=peer)
        self.leader = leader


class UnknownResultError(RouterError):
    """A proposal was sent but its result is not known; it may be applied."""


class StorageError(RouterError):
    """A file can't be read, written or synced, or holds damaged records."""


class ProtocolError(RouterError):
    """A message doesn't decode or breaks the rules of the protocol."""
