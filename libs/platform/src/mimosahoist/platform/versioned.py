"""A copy of a collection that only moves forward in revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mimosahoist.platform.store import Changes, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class VersionedCopy:
    """Objects of a collection, complete up to `revision`.

    Merging is monotone: an object is replaced only by a later version of itself, and the revision
    rises only by changes that start at or below it, so the copy never has a gap.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.listeners: list[Callable[[list[StoredObject]], None]] = []

    def merge(self, changes: Changes) -> bool:
        """Take changes in; true if the revision rose."""
        if changes.since > self.revision or changes.revision <= self.revision:
            return False
        fresh = [item for item in changes.objects if self.is_newer(item)]
        for item in fresh:
            self.objects[item.key] = item
        self.revision = changes.revision
        for listener in self.listeners:
            listener(fresh)
        return True

    def is_newer(self, item: StoredObject) -> bool:
        """Whether an object is later than the copy's."""
        held = self.objects.get(item.key)
        return held is None or item.version > held.version

    def since(self, revision: int) -> Changes:
        """What a copy at `revision` lacks."""
        newer = [item for item in self.objects.values() if item.version > revision]
        return Changes(revision, self.revision, newer)

    def values(self, prefix: str) -> Iterator[tuple[str, dict[str, Any]]]:
        """Live objects whose key starts with `prefix`."""
        for key, item in self.objects.items():
            if item.value is not None and key.startswith(prefix):
                yield key, item.value

    def value(self, key: str) -> dict[str, Any] | None:
        """Value of one object, or None."""
        item = self.objects.get(key)
        return item.value if item else None
