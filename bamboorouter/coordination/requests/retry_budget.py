"""Limits retries to a fraction of the requests.

The limit is a token bucket: each request adds a fraction of a token, and each
retry takes a token. Initial tokens allow retries of single failures when there
is little traffic.
"""

from typing import Final

INITIAL_TOKENS: Final = 10.0


class RetryBudget:
    """Token bucket for retries.

    Attributes:
        fraction: Tokens that each request adds; 0 forbids retries.
        tokens: Available tokens.
    """

    def __init__(self, *, fraction: float) -> None:
        self.fraction = fraction
        self.tokens = INITIAL_TOKENS if fraction > 0 else 0.0

    def add_request(self) -> None:
        """Adds the tokens for one request, up to the size of the bucket."""
        self.tokens = min(self.tokens + self.fraction, 2 * INITIAL_TOKENS)

    def take(self) -> bool:
        """Takes a token for a retry; returns whether one was available."""
        if self.fraction <= 0 or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
