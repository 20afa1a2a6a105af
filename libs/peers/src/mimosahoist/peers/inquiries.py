"""Questions to single peers, each with one answer; carried by the transport of the exchange.

Facts reach all peers. An inquiry reaches one, and the one who asks knows that the answer was given
after it had asked.
"""

from __future__ import annotations

import asyncio
import itertools
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.tasks import TaskSet

if TYPE_CHECKING:
    from mimosahoist.core.metrics import Metrics
    from mimosahoist.peers.transport import PeerTransport

# No frame of the exchange starts with this byte, which MessagePack never uses.
INQUIRY_PREFIX = b"\xc1"
# Answers that are being prepared; further questions are dropped, and asked again by the peers.
MAX_OPEN_ANSWERS = 1024


class InquiryMessage(NamedTuple):
    """A question, or the answer to one.

    Attributes
    ----------
    number : int
        Number that the one who asks gave the question; the answer repeats it.
    body : object
        Lists, numbers, strings and bytes; what they mean depends on the topic.
    """

    cluster: str
    is_answer: bool
    number: int
    topic: str
    sender: str
    address: str
    body: Any


class InquiryHandler(ABC):
    """Answers the questions of one topic."""

    @abstractmethod
    async def answer(self, sender: str, body: Any) -> Any:
        """Return the answer to a question; raise `ValueError` if the question is malformed."""


class Inquiries:
    """Asks peers and answers them."""

    def __init__(
        self, cluster: str, name: str, address: str, transport: PeerTransport, metrics: Metrics
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.address = address
        self.transport = transport
        self.metrics = metrics
        self.tasks = TaskSet()
        self.numbers = itertools.count(1)
        self.handlers: dict[str, InquiryHandler] = {}
        self.pending: dict[int, asyncio.Future[Any]] = {}

    def register(self, topic: str, handler: InquiryHandler) -> None:
        """Add the handler of a topic."""
        self.handlers[topic] = handler

    async def close(self) -> None:
        """Drop the answers that are being prepared."""
        await self.tasks.close()

    async def ask(self, address: str, topic: str, body: Any, timeout: float) -> Any:
        """Ask the peer at an address; return its answer, or None if none arrives in time.

        Parameters
        ----------
        timeout : float
            Seconds.
        """
        number = next(self.numbers)
        answered = asyncio.get_running_loop().create_future()
        self.pending[number] = answered
        self.send(address, False, number, topic, body)
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            self.metrics.count("inquiries_unanswered")
            return None
        finally:
            del self.pending[number]

    def send(self, address: str, is_answer: bool, number: int, topic: str, body: Any) -> None:
        """Send a message."""
        message = InquiryMessage(
            self.cluster, is_answer, number, topic, self.name, self.address, body
        )
        self.transport.send(address, INQUIRY_PREFIX + msgspec.msgpack.encode(message))

    def handle(self, data: bytes) -> None:
        """Process a message; drop and count one that is malformed or of another cluster."""
        try:
            message = message_decoder.decode(data[len(INQUIRY_PREFIX) :])
        except DECODE_ERRORS:
            self.metrics.count("inquiries_malformed")
            return
        if message.cluster != self.cluster:
            self.metrics.count("inquiries_foreign")
        elif message.is_answer:
            pending = self.pending.get(message.number)
            if pending is not None and not pending.done():
                pending.set_result(message.body)
        elif message.topic in self.handlers and len(self.tasks.tasks) < MAX_OPEN_ANSWERS:
            self.tasks.spawn(self.respond(message), f"answer {message.topic}")

    async def respond(self, question: InquiryMessage) -> None:
        """Answer a question."""
        try:
            body = await self.handlers[question.topic].answer(question.sender, question.body)
        except ValueError:
            self.metrics.count("inquiries_malformed")
            return
        self.send(question.address, True, question.number, question.topic, body)


message_decoder = msgspec.msgpack.Decoder(InquiryMessage)
