"""Searchers of a small deployment in a process of their own, which do little work per request.

Usage: stand_in_2.py PLAN RECORD. PLAN is a JSON list of searchers; RECORD gets one JSON line for each
request that arrived, when the process gets SIGTERM. They behave as PROTOCOL.md says of a sound searcher:
slots and a short queue, `Target-Instance`, `Attempt-Id` echoed, `Response-Stamp`, `Server-Load`, a request
dropped when its connection closes, 504 at the end of `Time-Remaining` or 503 with `Not-Executed` if that
passes in the queue, connections beyond `max_connections` reset. Times are of the monotonic clock, which
all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import socket
import struct
import sys
import time
from collections import deque
from pathlib import Path

RECORD_BYTES = 16
RECORDS = 12


def records(service: str, path: bytes) -> bytes:
    """Records of a service for a path, the same at each of its searchers."""
    return hashlib.shake_128(service.encode() + b" " + path).digest(RECORD_BYTES * RECORDS)


def stamp(service: str, attempt: str, body: bytes) -> str:
    """Signature of an answer."""
    digest = hashlib.sha256(f"{attempt} {service} ".encode() + body).hexdigest()
    return f"{service}.{digest[:16]}"


class Link:
    """Whether the links between instances and searchers are cut: SIGUSR1 cuts them, SIGUSR2 heals them."""

    is_cut = False

    def set(self, is_cut: bool) -> None:
        self.is_cut = is_cut


link = Link()


class Searcher:
    """One searcher: its slots, its queue, and what it has seen."""

    def __init__(self, plan: dict, seen: list[dict]) -> None:
        self.name, self.service = plan["name"], plan["service"]
        self.slots, self.queue_limit = plan.get("slots", 4), plan.get("queue", 18)
        self.work_seconds = plan["work_ms"] / 1000
        self.seen = seen
        self.max_connections = plan.get("max_connections", 36)
        self.connections = 0
        self.running = 0
        self.waiting: deque[Exchange] = deque()

    def offer(self, exchange: Exchange) -> None:
        """Run a request, queue it, or reject it."""
        if self.running < self.slots:
            self.begin(exchange)
        elif len(self.waiting) < self.queue_limit:
            self.waiting.append(exchange)
        else:
            exchange.reply(503, {"Not-Executed": "1"}, b"")

    def begin(self, exchange: Exchange) -> None:
        self.running += 1
        exchange.seen["ran_at"] = time.monotonic()
        left = exchange.due - time.monotonic()
        end = exchange.complete if self.work_seconds <= left else exchange.expire
        delay = max(0.0, min(self.work_seconds, left))
        exchange.timer = asyncio.get_running_loop().call_later(delay, end)

    def end(self) -> None:
        """Free a slot and begin the next request that is waiting and still wanted."""
        self.running -= 1
        while self.waiting and self.running < self.slots:
            following = self.waiting.popleft()
            if following.dropped:
                continue
            if time.monotonic() >= following.due:
                following.reply(503, {"Not-Executed": "1"}, b"")
            else:
                self.begin(following)


class Exchange:
    """One request on a connection."""

    def __init__(self, connection: Connection, head: dict, seen: dict) -> None:
        self.connection, self.head, self.seen = connection, head, seen
        self.searcher = connection.searcher
        self.timer: asyncio.TimerHandle | None = None
        self.dropped = False
        try:
            left_ms = int(head.get("time-remaining", "60000"))
        except ValueError:
            left_ms = 60000
        self.due = time.monotonic() + left_ms / 1000

    def expire(self) -> None:
        """Stop work at the end of the time that the request gave: this counts as run."""
        self.timer = None
        searcher = self.searcher
        self.reply(504, {"Response-Stamp": stamp(searcher.service, self.head["attempt-id"], b"")}, b"")
        searcher.end()

    def complete(self) -> None:
        self.timer = None
        searcher = self.searcher
        attempt = self.head["attempt-id"]
        body = records(searcher.service, self.head[":path"])
        self.reply(200, {"Response-Stamp": stamp(searcher.service, attempt, body)}, body)
        searcher.end()

    def drop(self) -> None:
        """The connection was closed: stop work."""
        self.dropped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self.searcher.end()

    def reply(self, status: int, headers: dict, body: bytes) -> None:
        searcher = self.searcher
        load = f"{searcher.running},{len(searcher.waiting)},{searcher.slots}"
        lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", f"Server-Load: {load}"]
        if "attempt-id" in self.head:
            lines.append(f"Attempt-Id: {self.head['attempt-id']}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.connection.send("\r\n".join([*lines, "", ""]).encode("latin1") + body)


class Connection(asyncio.Protocol):
    """One connection of an instance; one request at a time."""

    def __init__(self, searcher: Searcher) -> None:
        self.searcher = searcher
        self.data = b""
        self.exchange: Exchange | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.cut = False
        self.searcher.connections += 1
        if self.searcher.connections > self.searcher.max_connections:
            raw = transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.abort()

    def data_received(self, data: bytes) -> None:
        # Bytes of a connection that lost some in a cut are never delivered.
        self.cut = self.cut or link.is_cut
        if not self.cut:
            self.data += data
            self.read()

    def connection_lost(self, error: Exception | None) -> None:
        self.searcher.connections -= 1
        if self.exchange is not None:
            self.exchange.drop()

    def read(self) -> None:
        if self.exchange is not None:
            return
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return
        first, *lines = self.data[:end].split(b"\r\n")
        head: dict = {}
        for line in lines:
            name, _, value = line.partition(b":")
            head[name.decode("latin1").lower()] = value.strip().decode("latin1")
        length = int(head.get("content-length", "0"))
        if len(self.data) < end + 4 + length:
            return
        body = self.data[end + 4 : end + 4 + length]
        self.data = self.data[end + 4 + length :]
        method, path, _ = first.split(b" ", 2)
        head[":path"] = path
        self.take(method, path, head, body)

    def take(self, method: bytes, path: bytes, head: dict, body: bytes) -> None:
        searcher = self.searcher
        if path == b"/health":
            self.exchange = Exchange(self, head, {})
            self.exchange.reply(200, {"Instance-Id": searcher.name}, b"")
            return
        seen = {
            "at": time.monotonic(),
            "searcher": searcher.name,
            "service": searcher.service,
            "id": head.get("attempt-id", ""),
            "method": method.decode("latin1"),
            "path": path.decode("latin1"),
            "body": len(body),
        }
        searcher.seen.append(seen)
        self.exchange = Exchange(self, head, seen)
        if head.get("target-instance", searcher.name) != searcher.name:
            self.exchange.reply(421, {"Not-Executed": "1"}, b"")
        elif "attempt-id" not in head:
            self.exchange.reply(400, {"Not-Executed": "1"}, b"")
        else:
            searcher.offer(self.exchange)

    def send(self, data: bytes) -> None:
        self.exchange = None
        self.cut = self.cut or link.is_cut
        if not self.transport.is_closing() and not self.cut:
            self.transport.write(data)
        if self.data:
            self.read()


async def main(plan_path: str, record_path: str) -> None:
    plan = json.loads(Path(plan_path).read_text())
    seen: list[dict] = []
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, link.set, True)
    loop.add_signal_handler(signal.SIGUSR2, link.set, False)
    for item in plan:
        searcher = Searcher(item, seen)
        host, _, port = item["address"].rpartition(":")
        await loop.create_server(
            lambda searcher=searcher: Connection(searcher), host, int(port), backlog=512
        )
    Path(record_path + ".ready").write_text("")
    await stop.wait()
    with Path(record_path).open("w") as out:
        for item in seen:
            out.write(json.dumps(item) + "\n")


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2]))
