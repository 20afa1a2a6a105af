"""Interface of the datagram-like transport between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PeerTransport(ABC):
    """Carries frames between instances; frames may be lost, never altered."""

    @abstractmethod
    async def start(self, handler: Callable[[bytes], None]) -> None:
        """Begin to receive; `handler` gets each frame."""

    @abstractmethod
    async def close(self) -> None:
        """Stop and release all sockets."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> None:
        """Send a frame without waiting; it is dropped if the peer takes none."""

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Release what is kept for a peer that is gone."""
