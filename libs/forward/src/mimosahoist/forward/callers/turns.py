"""Divides the processor among callers: in which order their requests are taken on; does no I/O.

Answers crowds that send requests ahead, or heads of thousands of fields: each turn of the event
loop takes on a bounded amount of work, and answers, timers and other connections come between.
Whoever has had least of the processor is next, so that an ordinary request waits for the work of
one turn, not for that of the crowd.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import NamedTuple

# Work is counted in header lines, by which the cost of taking on a request is estimated.
REQUEST_LINES = 30
MAX_LINES_PER_TURN = 400
# A caller who sends ahead instead of waiting for the answer comes after those who wait.
AHEAD_FACTOR = 10
# Requests of callers that have left are taken out of the heap once they are the most of it.
MIN_COMPACTED = 64


class RequestCost(NamedTuple):
    """What a request costs.

    Attributes
    ----------
    lines : int
        Processor time for taking it on, in header lines.
    weighted_lines : int
        What its connection is charged for it.
    """

    lines: int
    weighted_lines: int


def request_cost(head: bytes, sent_ahead: bool) -> RequestCost:
    """Cost of a request.

    Parameters
    ----------
    head : bytes
        Head of the request, as it was sent.
    sent_ahead : bool
        Whether the caller has sent more than this head.
    """
    lines = head.count(b"\n") + REQUEST_LINES
    return RequestCost(lines, lines * AHEAD_FACTOR if sent_ahead else lines)


class Account:
    """What one connection has had of the processor.

    Attributes
    ----------
    paid_until : float
        Virtual time, in lines, until which its requests have used up its part.
    turn : asyncio.Future or None
        Turn that its request waits for: true once it comes, false if the caller has left.
    """

    def __init__(self) -> None:
        self.paid_until = 0.0
        self.turn: asyncio.Future[bool] | None = None


class WaitingRequest(NamedTuple):
    """A request that waits for its turn; ordered by virtual finish time."""

    finish: float
    number: int
    lines: int
    turn: asyncio.Future[bool]


class Turns:
    """Weighted fair queue of requests that have been read and not been taken on.

    Attributes
    ----------
    virtual_time : float
        Lines that each of those that wait would have had so far, had all been served alike.
    lines_left : int
        Lines that may still be taken on in this turn of the event loop.
    heap : list of WaitingRequest
        Those that wait, and some whose callers have left.
    waiting_count : int
        Number of those that wait.
    """

    def __init__(self, max_lines_per_turn: int = MAX_LINES_PER_TURN) -> None:
        self.max_lines_per_turn = max_lines_per_turn
        self.lines_left = max_lines_per_turn
        self.virtual_time = 0.0
        self.heap: list[WaitingRequest] = []
        self.waiting_count = 0
        self.numbers = itertools.count()
        self.is_scheduled = False

    def take_now(self, request: RequestCost, account: Account) -> bool:
        """Take a request on at once, if nothing waits and this turn has room for it."""
        self.schedule()
        if self.waiting_count or self.lines_left <= 0:
            return False
        self.charge(request, account)
        self.take(request.lines)
        return True

    async def wait(self, request: RequestCost, account: Account) -> bool:
        """Wait until a request of a connection may be taken on; false if its caller leaves."""
        self.charge(request, account)
        self.schedule()
        account.turn = asyncio.get_running_loop().create_future()
        waiting = WaitingRequest(
            account.paid_until, next(self.numbers), request.lines, account.turn
        )
        heapq.heappush(self.heap, waiting)
        self.waiting_count += 1
        try:
            return await account.turn
        finally:
            account.turn = None

    def charge(self, request: RequestCost, account: Account) -> None:
        """Charge a connection for a request."""
        account.paid_until = max(self.virtual_time, account.paid_until) + request.weighted_lines

    def abandon(self, account: Account) -> None:
        """End the wait of a request whose caller has left."""
        if account.turn is None or account.turn.done():
            return
        account.turn.set_result(False)
        self.waiting_count -= 1
        if len(self.heap) > 2 * self.waiting_count + MIN_COMPACTED:
            self.heap = [request for request in self.heap if not request.turn.done()]
            heapq.heapify(self.heap)

    def take(self, lines: int) -> None:
        """Count a request that is taken on."""
        self.lines_left -= lines
        self.virtual_time += lines / (1 + self.waiting_count)

    def schedule(self) -> None:
        """Have the next turn begin after the event loop has looked at all connections."""
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        """Take on those that are next, at least one of them."""
        self.is_scheduled = False
        self.lines_left = self.max_lines_per_turn
        while self.heap and self.lines_left > 0:
            request = heapq.heappop(self.heap)
            if not request.turn.done():
                self.waiting_count -= 1
                self.take(request.lines)
                request.turn.set_result(True)
        if self.heap:
            self.schedule()
