"""Division of an upstream's limits among the numbered shares of the instances."""

from __future__ import annotations

import functools

from mimosahoist.core.hashing import hash_text


class ShareView:
    """Local view of the share table.

    Attributes
    ----------
    size : int
        Number of shares, held or not.
    index : int or None
        Share that this instance holds; None while it must not send anything.
    held : frozenset of int
        Shares held by any instance.
    valid_until : float
        Loop time after which the share must not be used without new contact with others.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.index: int | None = None
        self.held: frozenset[int] = frozenset()
        self.epoch = 0
        self.valid_until = float("inf")

    def assign(self, index: int | None, held: frozenset[int]) -> None:
        """Set the held share and all held shares, and advance the epoch if they changed."""
        if index != self.index or held != self.held:
            self.index = index
            self.held = held
            self.epoch += 1


@functools.lru_cache(maxsize=65536)
def rank_shares(key: str, size: int) -> tuple[int, ...]:
    """Return all shares in rendezvous order for `key`, highest first."""
    weight = {index: hash_text(f"{key}/{index}") for index in range(size)}
    return tuple(sorted(weight, key=weight.__getitem__, reverse=True))


def instance_limit(total: int, key: str, view: ShareView) -> int:
    """Return how many units of `total` this instance may use.

    A total of at least the number of shares is divided by share number alone, so that no view of
    the membership can make the sum exceed it. A smaller total is given to the first held shares
    in rendezvous order, one unit each.
    """
    if view.index is None or total <= 0:
        return 0
    order = rank_shares(key, view.size)
    if total >= view.size:
        base, extra = divmod(total, view.size)
        return base + (1 if order.index(view.index) < extra else 0)
    held = [index for index in order if index in view.held]
    return 1 if view.index in held[:total] else 0


def is_leader(key: str, view: ShareView) -> bool:
    """Return whether this instance holds the first held share in rendezvous order for `key`."""
    for index in rank_shares(key, view.size):
        if index in view.held:
            return index == view.index
    return False
