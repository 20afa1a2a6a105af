"""Token budgets that bound extra load to a share of the normal load."""

from __future__ import annotations


class TokenBudget:
    """Each normal call adds `ratio` tokens, each extra call takes one.

    Parameters
    ----------
    ratio : float
        Extra calls allowed per normal call.
    cap : float
        Most tokens that can be saved up.
    initial : float
        Tokens at the start.
    """

    def __init__(self, ratio: float, cap: float, initial: float) -> None:
        self.ratio = ratio
        self.cap = cap
        self.tokens = initial

    def earn(self) -> None:
        """Count a normal call."""
        self.tokens = min(self.cap, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a token for an extra call; false if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
