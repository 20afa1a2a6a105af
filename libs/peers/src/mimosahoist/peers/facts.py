"""Replicated facts; the values of each kind form a join-semilattice."""

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
    """A replicated key and value; `value` consists of lists, numbers, strings and bytes."""

    key: str
    value: Any


class FactKind(ABC):
    """Validation and merge rules of the facts whose keys start with `prefix`.

    `join` must be commutative, associative and idempotent, so that replicas converge regardless
    of the order and number of exchanges.
    """

    prefix: str

    @abstractmethod
    def valid(self, value: Any) -> bool:
        """Whether a received value is well formed."""

    @abstractmethod
    def join(self, held: Any, received: Any) -> Any:
        """Return the least upper bound of two values."""

    def expired(self, value: Any, at: float) -> bool:
        """Whether a value can be dropped at Unix time `at`."""
        return False


class StoredFact(NamedTuple):
    """A value, the local sequence number of its last change, and its checksum."""

    value: Any
    sequence: int
    checksum: int


class FactTable:
    """This instance's replica of all facts.

    Changes are numbered locally, so that a peer is sent only the facts that it lacks.

    Attributes
    ----------
    facts : dict
        Stored facts in the order of their last change.
    changes : Counter
        Number of changes per prefix of a kind.
    checksum : int
        XOR of the checksums of all facts, so that tables with the same facts have the same
        checksum regardless of the order of arrival.
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
        """Add a kind; `listener` is called with each key and value that a peer's facts changed."""
        self.kinds.append(kind)
        self.listeners[kind.prefix] = listener

    def kind_of(self, key: str) -> FactKind | None:
        """Kind of a key, or None if its prefix is not registered."""
        for kind in self.kinds:
            if key.startswith(kind.prefix):
                return kind
        return None

    def publish(self, key: str, value: Any, urgent: bool = False) -> None:
        """Merge a local value; an urgent change notifies `urgent_listeners` at once."""
        changed = self.join(key, value)
        if changed and urgent:
            for listener in self.urgent_listeners:
                listener()

    def merge(self, facts: list[Fact]) -> int:
        """Merge received facts; return the number of facts that changed."""
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
        """Merge a value into the stored one; return whether it changed."""
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
        """Remove a fact if it is stored."""
        held = self.facts.pop(key, None)
        if held is not None:
            self.checksum ^= held.checksum

    def since(self, sequence: int) -> list[Fact]:
        """Facts that changed after a local sequence number, latest first."""
        newer = []
        for key, held in reversed(self.facts.items()):
            if held.sequence <= sequence:
                break
            newer.append(Fact(key, held.value))
        return newer

    def values(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Keys and values of the facts whose keys start with `prefix`."""
        for key, held in self.facts.items():
            if key.startswith(prefix):
                yield key, held.value

    def value(self, key: str) -> Any:
        """Value of a fact, or None if it is not stored."""
        held = self.facts.get(key)
        return None if held is None else held.value

    def prune(self) -> None:
        """Remove expired facts."""
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
