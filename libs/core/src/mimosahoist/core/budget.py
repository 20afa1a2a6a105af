"""Token budgets that limit extra calls to a fraction of the normal calls."""

from __future__ import annotations


class TokenBudget:
    """Token budget: each normal call adds `ratio` tokens, each extra call takes one.

    Parameters
    ----------
    ratio : float
        Extra calls allowed per normal call.
    cap : float
        Maximum number of tokens.
    initial : float
        Initial number of tokens.
    """

    def __init__(self, ratio: float, cap: float, initial: float) -> None:
        self.ratio = ratio
        self.cap = cap
        self.tokens = initial

    def earn(self) -> None:
        """Add the tokens of one normal call."""
        self.tokens = min(self.cap, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a token for an extra call; return False if none is available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
