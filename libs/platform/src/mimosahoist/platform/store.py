"""Interface of the platform's object API."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, Literal, NamedTuple

Collection = Literal["objects", "records", "instances"]

RECORD_PREFIXES = ("idempotency/", "lease/")


def collection_of(key: str) -> Collection:
    """Return the collection of a key.

    Records are numerous or short-lived, and are not watched.
    """
    return "records" if key.startswith(RECORD_PREFIXES) else "objects"


class StoredObject(NamedTuple):
    """An object with the store revision of its last change.

    Attributes
    ----------
    key : str
        Name within the collection, such as ``organisation/tidy-bothy``.
    version : int
        Store revision of the last change.
    value : dict or None
        None if the object is deleted.
    """

    key: str
    version: int
    value: dict[str, Any] | None


class Changes(NamedTuple):
    """All changes after revision `since`, up to and including `revision`."""

    since: int
    revision: int
    objects: list[StoredObject]


class PlatformStore(ABC):
    """Interface of the platform's durable object store.

    Every method raises `Problem` of kind ``store-unavailable`` if no usable response arrives. A
    write may have taken effect nevertheless; callers read the object back to find out.
    """

    async def start(self) -> None:
        """Open connections and other resources."""

    async def close(self) -> None:
        """Release all resources."""

    @abstractmethod
    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    @abstractmethod
    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write an object if its version is `expected`; 0 requires that it does not exist.

        A value of None deletes the object.

        Raises
        ------
        Problem
            Of kind ``conflict`` if the object has another version.
        """

    @abstractmethod
    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Return changes after a revision, waiting up to `wait` seconds for the first."""
