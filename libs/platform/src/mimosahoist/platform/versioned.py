"""Local copy of a collection whose revision never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mimosahoist.platform.store import Changes, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class VersionedCopy:
    """Objects of a collection, complete up to `revision`.

    Merging is monotonic: an object is replaced only by a later version of itself, and the revision
    advances only with changes that start at or below it, so the copy never has a gap.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.listeners: list[Callable[[list[StoredObject]], None]] = []

    def merge(self, changes: Changes) -> bool:
        """Apply changes and notify listeners; return whether the revision advanced."""
        if changes.since > self.revision or changes.revision <= self.revision:
            return False
        newer = [item for item in changes.objects if self.is_newer(item)]
        for item in newer:
            self.objects[item.key] = item
        self.revision = changes.revision
        for listener in self.listeners:
            listener(newer)
        return True

    def is_newer(self, item: StoredObject) -> bool:
        """Return whether an object is newer than the held version of it."""
        held = self.objects.get(item.key)
        return held is None or item.version > held.version

    def since(self, revision: int) -> Changes:
        """Return the changes that a copy at `revision` lacks."""
        newer = [item for item in self.objects.values() if item.version > revision]
        return Changes(revision, self.revision, newer)

    def values(self, prefix: str) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield key and value of all live objects whose key starts with `prefix`."""
        for key, item in self.objects.items():
            if item.value is not None and key.startswith(prefix):
                yield key, item.value

    def value(self, key: str) -> dict[str, Any] | None:
        """Return the value of an object, or None if it is unknown or deleted."""
        item = self.objects.get(key)
        return item.value if item else None
