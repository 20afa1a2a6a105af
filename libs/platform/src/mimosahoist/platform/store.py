"""Interface of the platform's object API."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, Literal, NamedTuple

Collection = Literal["objects", "records", "instances"]

RECORD_PREFIXES = ("idempotency/", "lease/")


def collection_of(key: str) -> Collection:
    """Collection of a key: records are many or short-lived, and nobody watches them."""
    return "records" if key.startswith(RECORD_PREFIXES) else "objects"


class StoredObject(NamedTuple):
    """One object with the store revision of its last change.

    Attributes
    ----------
    key : str
        Name within the collection, such as ``organisation/tidy-bothy``.
    version : int
        Store revision of the last change.
    value : dict or None
        None once deleted.
    """

    key: str
    version: int
    value: dict[str, Any] | None


class Changes(NamedTuple):
    """All changes after `since` up to and with `revision`."""

    since: int
    revision: int
    objects: list[StoredObject]


class PlatformStore(ABC):
    """The platform's service that keeps what must last.

    Every method raises `Problem` of kind ``store-unavailable`` when no answer came; a write may
    have taken effect all the same, and must be settled by reading back.
    """

    async def start(self) -> None:
        """Open what the store needs."""

    async def close(self) -> None:
        """Release it."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""

    @abstractmethod
    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write an object if its version is `expected`; 0 means that it must not exist.

        A value of None deletes the object.

        Raises
        ------
        Problem
            Of kind ``conflict`` if the version is another one.
        """

    @abstractmethod
    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Changes after a revision, waiting up to `wait` seconds for the first."""
