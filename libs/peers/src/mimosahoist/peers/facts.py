"""Facts that instances share, each a join-semilattice."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import xxhash

from mimosahoist.core.tasks import unix_time

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class Fact(NamedTuple):
    """A shared value; `value` consists of lists, numbers and strings."""

    key: str
    value: Any


class FactKind(ABC):
    """How facts whose keys start with `prefix` are checked and joined.

    `join` must be commutative, associative and idempotent, so that copies converge whatever the
    order and number of exchanges.
    """

    prefix: str

    @abstractmethod
    def valid(self, value: Any) -> bool:
        """Whether a received value has the right form."""

    @abstractmethod
    def join(self, held: Any, received: Any) -> Any:
        """Join two values."""

    def expired(self, value: Any, at: float) -> bool:
        """Whether a value is of no use any more at Unix time `at`."""
        return False


class StoredFact(NamedTuple):
    """A value with the local sequence number of its last change and its checksum."""

    value: Any
    sequence: int
    checksum: int


class FactTable:
    """All facts known here; changes are numbered so that peers get only what is new.

    Attributes
    ----------
    facts : dict
        Held facts in the order of their last change.
    changes : Counter
        Number of changes by a kind's prefix.
    checksum : int
        Equal at all boards that hold the same facts, whatever the order in which they came.
    """

    def __init__(self) -> None:
        self.kinds: list[FactKind] = []
        self.listeners: dict[str, Callable[[str, Any], None]] = {}
        self.facts: dict[str, StoredFact] = {}
        self.changes: Counter[str] = Counter()
        self.checksum = 0
        self.sequence = 0
        self.urgent_listeners: list[Callable[[], None]] = []

    def register(self, kind: FactKind, listener: Callable[[str, Any], None]) -> None:
        """Add a kind; `listener` gets each key and value that changed by exchange."""
        self.kinds.append(kind)
        self.listeners[kind.prefix] = listener

    def kind_of(self, key: str) -> FactKind | None:
        """Kind of a key, or None if no kind knows it."""
        for kind in self.kinds:
            if key.startswith(kind.prefix):
                return kind
        return None

    def publish(self, key: str, value: Any, urgent: bool = False) -> None:
        """Join a value of this instance's own; an urgent one is pushed at once."""
        changed = self.join(key, value)
        if changed and urgent:
            for listener in self.urgent_listeners:
                listener()

    def merge(self, facts: list[Fact]) -> int:
        """Join received facts; return how many changed something."""
        changes = 0
        at = unix_time()
        for key, value in facts:
            kind = self.kind_of(key)
            if kind is None or not kind.valid(value) or kind.expired(value, at):
                continue
            if self.join(key, value):
                changes += 1
                self.listeners[kind.prefix](key, self.facts[key].value)
        return changes

    def join(self, key: str, value: Any) -> bool:
        """Join a value; true if the held one changed."""
        held = self.facts.get(key)
        kind = self.kind_of(key)
        joined = value if held is None else kind.join(held.value, value)
        if held is not None and joined == held.value:
            return False
        self.sequence += 1
        self.discard(key)
        checksum = checksum_of(key, joined)
        self.checksum ^= checksum
        self.facts[key] = StoredFact(joined, self.sequence, checksum)
        self.changes[kind.prefix] += 1
        return True

    def discard(self, key: str) -> None:
        """Drop a fact, if there is one."""
        held = self.facts.pop(key, None)
        if held is not None:
            self.checksum ^= held.checksum

    def since(self, sequence: int) -> list[Fact]:
        """Facts that changed after a local sequence number."""
        newer = []
        for key, held in reversed(self.facts.items()):
            if held.sequence <= sequence:
                break
            newer.append(Fact(key, held.value))
        return newer

    def values(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Facts whose keys start with `prefix`."""
        for key, held in self.facts.items():
            if key.startswith(prefix):
                yield key, held.value

    def value(self, key: str) -> Any:
        """Value of a fact, or None."""
        held = self.facts.get(key)
        return None if held is None else held.value

    def prune(self) -> None:
        """Drop expired facts."""
        at = unix_time()
        expired = [
            key for key, held in self.facts.items() if self.kind_of(key).expired(held.value, at)
        ]
        for key in expired:
            self.discard(key)
            self.changes[self.kind_of(key).prefix] += 1


def checksum_of(key: str, value: Any) -> int:
    """64-bit checksum of a fact."""
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode((key, value)))
