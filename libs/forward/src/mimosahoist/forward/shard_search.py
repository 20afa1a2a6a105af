"""State of one shard within a search."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio

    from mimosahoist.forward.upstream import Upstream


class Part(NamedTuple):
    """Contribution of one shard to the merged answer.

    For shards whose parts arrive merged in one answer, the first one holds all records and
    signatures, and the others are empty.
    """

    body: bytes
    signatures: list[str]


class ShardSearch:
    """State of one shard within a search.

    Attributes
    ----------
    runs : int
        Ended calls that may have run, also those that ended without an outcome.
    request_counted : bool
        Whether the request is counted in the service's repeat budget.
    reserved : float
        Repeats that are set aside for it and not spent yet.
    next_send : float
        Loop time in seconds of the next hedge or retry.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.part: Part | None = None
        self.calls: dict[asyncio.Task[None], Upstream] = {}
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.request_counted = False
        self.reserved = 0.0
        self.next_send = 0.0
