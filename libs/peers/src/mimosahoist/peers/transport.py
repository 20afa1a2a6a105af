"""Interface of the datagram-style transport between instances."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PeerTransport(ABC):
    """Carries frames between instances. Frames may be lost, but are never altered."""

    @abstractmethod
    async def start(self, handler: Callable[[bytes], None]) -> None:
        """Start receiving; `handler` is called with each frame."""

    @abstractmethod
    async def close(self) -> None:
        """Stop receiving and release all sockets."""

    @abstractmethod
    def send(self, address: str, frame: bytes) -> None:
        """Send a frame without blocking; it is dropped if the peer does not accept it."""

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Release the resources held for a peer; the next frame sent to it reconnects."""
