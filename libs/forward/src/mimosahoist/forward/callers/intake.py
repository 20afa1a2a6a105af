"""Bounds what callers may hold of an instance, and decides who gives way; does no I/O.

Answers crowds that connect and send nothing, stop half-way through a request, send very many short
header fields, or don't read their answers. Whoever has made no progress for longest gives way, so
that callers who send and read at an ordinary pace are served beside any such crowd.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_MEMORY_BYTES = 256 << 20
DEFAULT_DESCRIPTORS = 1024
# Descriptors that the platform keeps for files.
RESERVED_DESCRIPTORS = 200
MIN_DESCRIPTORS = 64
CALLERS_DESCRIPTOR_SHARE = 0.4
UPSTREAMS_DESCRIPTOR_SHARE = 0.45
# An instance without callers holds about so much.
BASE_MEMORY_BYTES = 48 << 20
CALLERS_MEMORY_SHARE = 0.4
MIN_HELD_BYTES = 8 << 20
RECEIVING_MEMORY_SHARE = 0.15
MAX_RECEIVING_BYTES = 32 << 20
MIN_RECEIVING_BYTES = 9 << 20
# A header field as objects, whatever its length.
FIELD_BYTES = 250


class IntakeLimits(NamedTuple):
    """Limits of one instance.

    Attributes
    ----------
    caller_connections, upstream_connections : int
        Open connections of callers, and to upstreams.
    held_bytes : int
        Bodies, header fields and answers that are held for callers.
    receiving_bytes : int
        Responses of upstreams that are being received.
    """

    caller_connections: int
    upstream_connections: int
    held_bytes: int
    receiving_bytes: int


def limits_of_machine(memory_bytes: int, descriptors: int) -> IntakeLimits:
    """Limits on a machine of a size; 0 stands for an unknown one."""
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = max(MIN_DESCRIPTORS, (descriptors or DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS)
    receiving = min(MAX_RECEIVING_BYTES, int(RECEIVING_MEMORY_SHARE * memory))
    return IntakeLimits(
        int(CALLERS_DESCRIPTOR_SHARE * sockets),
        int(UPSTREAMS_DESCRIPTOR_SHARE * sockets),
        max(MIN_HELD_BYTES, int(CALLERS_MEMORY_SHARE * (memory - BASE_MEMORY_BYTES))),
        max(MIN_RECEIVING_BYTES, receiving),
    )


class Phase(enum.Enum):
    """What a connection of a caller is doing."""

    NEW = "has sent no whole request yet"
    IDLE = "waits for the next request"
    READING = "sends a request"
    SERVING = "waits for its answer"
    WRITING = "reads its answer"


# Those that a crowd leaves behind, before those that callers keep open.
UNFINISHED_PHASES = frozenset((Phase.NEW, Phase.READING, Phase.WRITING))


class Holding:
    """What is held for one connection.

    Attributes
    ----------
    progressed_at : float
        Loop time in seconds at which the caller last sent or read anything.
    give_way : callable
        Ends the connection; what it holds is released before.
    """

    def __init__(self, intake: Intake, at: float, give_way: Callable[[], None]) -> None:
        self.intake = intake
        self.phase = Phase.NEW
        self.progressed_at = at
        self.give_way = give_way
        self.size = 0

    def enter(self, phase: Phase, at: float) -> None:
        """Record that the connection is in another phase."""
        self.phase = phase
        self.progressed_at = at

    def add(self, size: int, at: float) -> bool:
        """Hold more, for which others may have to give way; return False if there is no room.

        A single request is always taken, whatever its size.
        """
        self.progressed_at = at
        self.size += size
        self.intake.held_bytes += size
        return self.intake.make_room(self)

    def release(self) -> None:
        """Hold nothing any more."""
        self.intake.held_bytes -= self.size
        self.size = 0

    def close(self) -> None:
        """Forget the connection."""
        self.release()
        self.intake.holdings.discard(self)


class Intake:
    """Connections of callers and the bytes that are held for them.

    Attributes
    ----------
    held_bytes : int
        Sum over all holdings.
    gave_way : int
        Number of connections that had to give way so far.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self.limits = limits
        self.holdings: set[Holding] = set()
        self.held_bytes = 0
        self.gave_way = 0

    def open(self, at: float, give_way: Callable[[], None]) -> Holding | None:
        """Take a connection, for which another one may have to give way; None if none can."""
        if len(self.holdings) >= self.limits.caller_connections:
            victim = self.longest_stuck(UNFINISHED_PHASES) or self.longest_stuck({Phase.IDLE})
            if victim is None:
                return None
            self.end(victim)
        holding = Holding(self, at, give_way)
        self.holdings.add(holding)
        return holding

    def make_room(self, grown: Holding) -> bool:
        """Have holdings give way until the bytes are within their limit; whether they are."""
        while self.held_bytes > self.limits.held_bytes and self.held_bytes > grown.size:
            victim = self.longest_stuck({Phase.READING, Phase.WRITING}, holding_bytes=True)
            if victim is None or victim is grown:
                return False
            self.end(victim)
        return True

    def longest_stuck(
        self, phases: set[Phase] | frozenset[Phase], holding_bytes: bool = False
    ) -> Holding | None:
        """Holding in one of some phases that made no progress for longest, if there is one."""
        found = [
            holding
            for holding in self.holdings
            if holding.phase in phases and (holding.size or not holding_bytes)
        ]
        return min(found, key=lambda holding: holding.progressed_at, default=None)

    def end(self, victim: Holding) -> None:
        """End a connection."""
        self.gave_way += 1
        victim.close()
        victim.give_way()

    def stuck_writers(self, before: float) -> list[Holding]:
        """Connections whose callers have read nothing of their answers since a loop time."""
        return [
            holding
            for holding in self.holdings
            if holding.phase is Phase.WRITING and holding.progressed_at < before
        ]
