"""The entry role."""

from bamboorouter import options


class EntryRole:
    """Runs the entry role.

    Attributes:
        process: Section [process] of the settings.
        settings: Section [entry] of the settings.
        addresses: Bound addresses by name.
    """

    def __init__(
        self,
        *,
        process: options.ProcessOptions,
        settings: options.EntryOptions,
    ) -> None:
        self.process = process
        self.settings = settings
        self.addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Binds all addresses and starts work."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Stops gracefully."""

    def ready(self) -> bool:
        """Whether the role can do its work now."""
        return False
