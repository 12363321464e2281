"""How large a task is assumed to be.

The plain baseline believes the declared size.
"""

from typing import Protocol

from bamboorouter.protocol import common
from bamboorouter.state import ledger


class Sizes(Protocol):
    """Estimates what a task of a row needs."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns what to reserve for one task."""
        ...

    def observe(self, row: common.SheetRow, usage: common.Usage) -> None:
        """Learns from a late measurement of one task."""
        ...


class DeclaredSizes:
    """Believes the sheet."""

    def need(self, row: common.SheetRow) -> common.Resources:
        """Returns the declared size."""
        return ledger.declared(row)

    def observe(self, row: common.SheetRow, usage: common.Usage) -> None:
        """Learns nothing."""
