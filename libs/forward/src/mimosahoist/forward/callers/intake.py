"""Bounds what callers may hold of an instance, and decides who gives way; does no I/O.

Answers crowds that connect and send nothing, stop half-way through a request, send very many short
header fields, or don't read their answers. Whoever has made no progress for longest gives way, so
that callers who send and read at an ordinary pace are served beside any such crowd.

What is held for callers is counted, and decides who gives way. How much they may hold is decided by
the memory that the process really has, whatever else has filled it.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.core.process_memory import UnknownMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    from mimosahoist.core.process_memory import ProcessMemory

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
# No ordinary request has so many header lines.
HEAVY_REQUEST_LINES = 400
# Beyond this share of the memory, callers may hold no more than they do.
RESIDENT_MEMORY_SHARE = 0.75
MIN_HELD_SHARE = 0.05
# What all connections' bytes may take that are received and not read yet. The kernel keeps twice
# the size that a socket is given.
UNREAD_MEMORY_SHARE = 0.1
MIN_UNREAD_BYTES = 8 << 10
MAX_UNREAD_BYTES = 64 << 10
# The process's memory is looked at again after so many further bytes of callers.
SAMPLE_BYTES = 512 << 10
# A connection is not ended for a new one before it has been without progress for so long.
MIN_STUCK_SECONDS = 0.05
# How often a second all connections may be replaced by new ones.
TURNOVERS_PER_SECOND = 4.0
# Unused memory is given back no more often, since that holds up all requests.
RELEASE_INTERVAL_SECONDS = 2.0
# Requests of this size are taken while the memory is short.
SMALL_REQUEST_BYTES = 64 << 10


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
    resident_bytes : int
        Memory of the process beyond which callers may hold no more; 0 if it is not bounded.
    min_held_bytes : int
        What callers may always hold together, whatever fills the memory.
    unread_bytes : int
        Bytes of one connection that the kernel keeps until they are read; 0 if it may decide.
    """

    caller_connections: int
    upstream_connections: int
    held_bytes: int
    receiving_bytes: int
    resident_bytes: int = 0
    min_held_bytes: int = 0
    unread_bytes: int = 0


def limits_of_machine(memory_bytes: int, descriptors: int) -> IntakeLimits:
    """Limits on a machine of a size; 0 stands for an unknown one."""
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = max(MIN_DESCRIPTORS, (descriptors or DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS)
    receiving = min(MAX_RECEIVING_BYTES, int(RECEIVING_MEMORY_SHARE * memory))
    connections = int(CALLERS_DESCRIPTOR_SHARE * sockets)
    unread = int(UNREAD_MEMORY_SHARE * memory) // connections
    return IntakeLimits(
        connections,
        int(UPSTREAMS_DESCRIPTOR_SHARE * sockets),
        max(MIN_HELD_BYTES, int(CALLERS_MEMORY_SHARE * (memory - BASE_MEMORY_BYTES))),
        max(MIN_RECEIVING_BYTES, receiving),
        int(RESIDENT_MEMORY_SHARE * memory),
        int(MIN_HELD_SHARE * memory),
        min(MAX_UNREAD_BYTES, max(MIN_UNREAD_BYTES, unread)),
    )


class Phase(enum.Enum):
    """What a connection of a caller is doing."""

    NEW = "has sent no whole request yet"
    IDLE = "waits for the next request"
    WAITING = "has sent the head of a request, which waits for its turn"
    READING = "sends a request"
    SERVING = "waits for its answer"
    WRITING = "reads its answer"


# Those that a crowd leaves behind, before those that callers keep open.
UNFINISHED_PHASES = frozenset((Phase.NEW, Phase.READING, Phase.WRITING))


class ConnectionDecision(enum.Enum):
    """What becomes of a new connection."""

    FREE = "taken"
    IN_PLACE_OF_ANOTHER = "taken, and another one gives way"
    LATER = "has to wait, so that those before it have their chance"
    REFUSED = "refused, as none can give way"


class Turnover:
    """Limits how often connections give way to new ones, as a token bucket.

    Answers crowds that connect again as soon as they are closed: without it they end each other,
    and ordinary connections with them, before any request has been read.
    """

    def __init__(self, connections: int) -> None:
        self.tokens = self.max_tokens = float(connections)
        self.updated_at = 0.0

    def allows(self, at: float) -> bool:
        """Whether a connection may give way at a loop time."""
        gained = (at - self.updated_at) * TURNOVERS_PER_SECOND * self.max_tokens
        self.tokens = min(self.max_tokens, self.tokens + max(0.0, gained))
        self.updated_at = at
        return self.tokens >= 1.0

    def take(self) -> None:
        """Count a connection that gives way."""
        self.tokens -= 1.0


class Holding:
    """What is held for one connection.

    Attributes
    ----------
    progressed_at : float
        Loop time in seconds at which the caller last sent or read anything.
    give_way : callable
        Ends the connection; what it holds is released before.
    waiting_cost : int
        Processor time, in header lines, that the request would take which waits for its turn.
    """

    def __init__(self, intake: Intake, at: float, give_way: Callable[[], None]) -> None:
        self.intake = intake
        self.phase = Phase.NEW
        self.progressed_at = at
        self.give_way = give_way
        self.size = 0
        self.waiting_cost = 0

    def wait(self, cost: int, at: float) -> None:
        """Record that a request waits for its turn."""
        self.waiting_cost = cost
        self.enter(Phase.WAITING, at)

    def enter(self, phase: Phase, at: float) -> None:
        """Record that the connection is in another phase."""
        self.intake.by_phase[self.phase].pop(self, None)
        self.phase = phase
        self.progress(at)

    def progress(self, at: float) -> None:
        """Record that the caller has sent or read something."""
        self.progressed_at = at
        if self in self.intake.holdings:
            self.intake.move_to_end(self)

    def add(self, size: int, at: float) -> bool:
        """Hold more, for which others may have to give way; return False if there is no room.

        A single request is always taken, whatever its size.
        """
        self.progress(at)
        self.size += size
        self.intake.held_bytes += size
        self.intake.record_growth(size)
        return self.intake.make_room(self)

    def release(self) -> None:
        """Hold nothing any more."""
        self.intake.held_bytes -= self.size
        self.size = 0

    def close(self) -> None:
        """Forget the connection."""
        self.release()
        self.intake.by_phase[self.phase].pop(self, None)
        self.intake.holdings.discard(self)


class Intake:
    """Connections of callers and the bytes that are held for them.

    Attributes
    ----------
    by_phase : dict
        Open connections in each phase, the one without progress for longest first.
    held_bytes : int
        Sum over all holdings.
    allowed_bytes : int
        What callers may hold together at present.
    is_short : bool
        Whether the process holds more memory than it should, so that only small requests are taken.
    gave_way : int
        Number of connections that had to give way so far.
    """

    def __init__(self, limits: IntakeLimits, memory: ProcessMemory | None = None) -> None:
        self.limits = limits
        self.memory = memory or UnknownMemory()
        self.holdings: set[Holding] = set()
        self.by_phase: dict[Phase, OrderedDict[Holding, None]] = {
            phase: OrderedDict() for phase in Phase
        }
        self.held_bytes = 0
        self.allowed_bytes = limits.held_bytes
        self.is_short = False
        self.turnover = Turnover(limits.caller_connections)
        self.unsampled_bytes = 0
        self.release_at = 0.0
        self.gave_way = 0

    def decide_on_connection(self, at: float) -> ConnectionDecision:
        """Decide whether a new connection is taken, and whether another gives way to it."""
        if len(self.holdings) < self.limits.caller_connections:
            return ConnectionDecision.FREE
        victim = self.victim_for_connection()
        if victim is None:
            return ConnectionDecision.REFUSED
        if victim.progressed_at > at - MIN_STUCK_SECONDS or not self.turnover.allows(at):
            return ConnectionDecision.LATER
        return ConnectionDecision.IN_PLACE_OF_ANOTHER

    def open(self, at: float, give_way: Callable[[], None]) -> Holding | None:
        """Take a connection, for which another one may have to give way; None if none can."""
        decision = self.decide_on_connection(at)
        if decision in (ConnectionDecision.REFUSED, ConnectionDecision.LATER):
            return None
        if decision is ConnectionDecision.IN_PLACE_OF_ANOTHER:
            self.turnover.take()
            self.end(self.victim_for_connection())
        holding = Holding(self, at, give_way)
        self.holdings.add(holding)
        holding.progress(at)
        return holding

    def victim_for_connection(self) -> Holding | None:
        """Connection that gives way to a new one, if one can."""
        return (
            self.longest_stuck(UNFINISHED_PHASES)
            or self.heaviest_waiting()
            or self.longest_stuck({Phase.IDLE})
        )

    def heaviest_waiting(self) -> Holding | None:
        """Connection whose request would take most processor time, if it is no ordinary one."""
        waiting = self.by_phase[Phase.WAITING]
        heaviest = max(waiting, key=lambda holding: holding.waiting_cost, default=None)
        if heaviest is None or heaviest.waiting_cost < HEAVY_REQUEST_LINES:
            return None
        return heaviest

    def move_to_end(self, holding: Holding) -> None:
        """Keep the connections of a phase in the order of their last progress."""
        in_phase = self.by_phase[holding.phase]
        last = next(reversed(in_phase), None)
        in_phase[holding] = None
        in_phase.move_to_end(holding)
        if last is not None and last.progressed_at > holding.progressed_at:
            ordered = sorted(in_phase, key=lambda item: item.progressed_at)
            self.by_phase[holding.phase] = OrderedDict.fromkeys(ordered)

    def record_growth(self, size: int) -> None:
        """Count bytes that were taken on, and look at the process's memory once they are many."""
        self.unsampled_bytes += size
        if self.unsampled_bytes >= SAMPLE_BYTES:
            self.sample_memory()

    def sample_memory(self) -> None:
        """Decide from the process's memory how much callers may hold."""
        self.unsampled_bytes = 0
        resident = self.memory.resident_bytes() if self.limits.resident_bytes else 0
        if not resident:
            return
        room = self.limits.resident_bytes - resident
        self.is_short = room <= 0
        allowed = max(self.limits.min_held_bytes, self.held_bytes + room)
        self.allowed_bytes = min(self.limits.held_bytes, allowed)

    def make_room(self, grown: Holding) -> bool:
        """Have holdings give way until the bytes are within their limit; whether they are."""
        while not self.has_room(grown):
            victim = self.longest_stuck({Phase.READING, Phase.WRITING}, holding_bytes=True)
            if victim is None or victim is grown:
                return False
            self.end(victim)
        return True

    def has_room(self, grown: Holding) -> bool:
        """Whether what a connection has just added may be held."""
        if self.held_bytes <= self.allowed_bytes or self.held_bytes <= grown.size:
            return True
        is_small = grown.size <= SMALL_REQUEST_BYTES
        return self.is_short and is_small and self.held_bytes <= self.limits.held_bytes

    def relieve(self, at: float) -> None:
        """Have those without progress give way while the process holds too much memory.

        A crowd that has left leaves free memory behind, which is given back first.
        """
        self.sample_memory()
        if self.is_short and at >= self.release_at:
            self.release_at = at + RELEASE_INTERVAL_SECONDS
            self.memory.release_unused()
            self.sample_memory()
        while self.is_short and self.held_bytes > self.allowed_bytes:
            victim = self.longest_stuck({Phase.READING, Phase.WRITING}, holding_bytes=True)
            if victim is None:
                return
            self.end(victim)

    def longest_stuck(
        self, phases: set[Phase] | frozenset[Phase], holding_bytes: bool = False
    ) -> Holding | None:
        """Holding in one of some phases that made no progress for longest, if there is one."""
        first = []
        for phase in phases:
            in_phase = self.by_phase[phase]
            if holding_bytes:
                first += [next((holding for holding in in_phase if holding.size), None)]
            else:
                first += [next(iter(in_phase), None)]
        found = [holding for holding in first if holding is not None]
        return min(found, key=lambda holding: holding.progressed_at, default=None)

    def end(self, victim: Holding) -> None:
        """End a connection."""
        self.gave_way += 1
        victim.close()
        victim.give_way()

    def stuck_writers(self, before: float) -> list[Holding]:
        """Connections whose callers have read nothing of their answers since a loop time."""
        writers = self.by_phase[Phase.WRITING]
        return [holding for holding in writers if holding.progressed_at < before]
