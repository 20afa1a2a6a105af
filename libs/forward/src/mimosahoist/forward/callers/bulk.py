"""Bounds what is being sent to upstreams for requests with large bodies; does no I/O.

Answers crowds that send whole bodies of legal size: a search sends its body to every shard, so that
a few such requests take up the connections to upstreams and the processor. Beyond the bound they
wait for a moment and are then rejected, while requests with small bodies are served beside them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

# Larger bodies count as bulk.
SMALL_BODY_BYTES = 32 << 10
MAX_BULK_BYTES = 16 << 20
MAX_WAIT_SECONDS = 0.25


class WaitingTransfer(NamedTuple):
    """A request that waits for room."""

    size: int
    entered: asyncio.Future[None]


class BulkLane:
    """Lane that requests with large bodies pass.

    Attributes
    ----------
    max_bytes : int
        Bytes that may be on their way at once; a single request may always be.
    bytes_in_transfer : int
        Bodies of requests that are being served, times the upstreams that each is sent to.
    """

    def __init__(self, max_bytes: int = MAX_BULK_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes_in_transfer = 0
        self.waiting: deque[WaitingTransfer] = deque()

    def has_room(self, size: int) -> bool:
        """Whether a request may enter now."""
        return not self.bytes_in_transfer or self.bytes_in_transfer + size <= self.max_bytes

    async def enter(self, size: int) -> bool:
        """Enter, after a short wait if need be; return False if there is no room by then."""
        if not self.waiting and self.has_room(size):
            self.bytes_in_transfer += size
            return True
        waiting = WaitingTransfer(size, asyncio.get_running_loop().create_future())
        self.waiting.append(waiting)
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await waiting.entered
        except BaseException as error:
            self.give_up(waiting)
            if isinstance(error, TimeoutError):
                return False
            raise
        return True

    def give_up(self, waiting: WaitingTransfer) -> None:
        """Forget a request that no longer waits, which may have been let in just before."""
        if waiting in self.waiting:
            self.waiting.remove(waiting)
            self.admit_waiting()
        elif waiting.entered.done() and not waiting.entered.cancelled():
            self.leave(waiting.size)

    def leave(self, size: int) -> None:
        """Leave, and let those in that wait."""
        self.bytes_in_transfer -= size
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let in those that wait, in order, as far as there is room."""
        while self.waiting and self.has_room(self.waiting[0].size):
            waiting = self.waiting.popleft()
            if not waiting.entered.done():
                self.bytes_in_transfer += waiting.size
                waiting.entered.set_result(None)
