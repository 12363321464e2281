"""Bounds retries to a fraction of the requests.

A token bucket: each request adds a fraction of a token, each retry takes one.
A small reserve lets single faults be retried when there is little traffic.
"""

from typing import Final

RESERVE_TOKENS: Final = 10.0


class RetryBudget:
    """Tokens for retries.

    Attributes:
        fraction: Retries allowed for each request.
        tokens: Retries allowed now.
    """

    def __init__(self, *, fraction: float) -> None:
        self.fraction = fraction
        self.tokens = RESERVE_TOKENS if fraction > 0 else 0.0

    def add_request(self) -> None:
        """Adds the part of a retry that one request allows."""
        self.tokens = min(self.tokens + self.fraction, 2 * RESERVE_TOKENS)

    def take(self) -> bool:
        """Takes one retry; returns whether it is allowed."""
        if self.fraction <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
