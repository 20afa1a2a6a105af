"""Cost of reaching searchers through a peer: shard call by shard call, or the whole query once."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import msgspec

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.launcher import Launcher
from mimosahoist.upstream import messages
from mimosahoist.upstream.curl_transport import CurlTransport

FORWARD_PORT = 25_000
SHARD_CALLS = 6000
QUERIES = 1500
IN_FLIGHT = 8
TIMEOUT = 10.0
MICROSECONDS = 1_000_000
HEADROOM_MS = 5000


class ForwardCost(NamedTuple):
    """Processor microseconds at the forwarding and at the receiving process."""

    shard_call_sender_us: float
    shard_call_receiver_us: float
    query_sender_us: float
    query_receiver_us: float


def shard_call(number: int, shard: int) -> bytes:
    """A shard call as it would be forwarded."""
    return msgspec.json.encode(
        messages.SearchCall(
            request=f"forward-{number}.0.1",
            query={"text": f"query {number % 100}"},
            route="default",
            snapshot=1,
            shards=[shard],
            limit=10,
            deadline_ms=HEADROOM_MS,
        )
    )


async def exchange_all(address: str, path: str, bodies: list[bytes]) -> float:
    """Send bodies over a few kept connections; return processor seconds of this process."""
    transport = CurlTransport()
    await transport.start()
    waiting = iter(bodies)

    async def work() -> None:
        connection = transport.open(address, False, lambda: None)
        for body in waiting:
            await connection.exchange(path, body, TIMEOUT)
        connection.close()

    spent = time.process_time()
    await asyncio.gather(*(work() for _ in range(IN_FLIGHT)))
    spent = time.process_time() - spent
    await transport.close()
    return spent


async def measure_forwarding(seed: int) -> ForwardCost:
    """Measure both paths with a sending and a receiving process on loopback.

    The receiving side of a shard call is a raw HTTP server that looks the answer up. That of a
    whole query is an entry instance's HTTP server up to its check of the token; the search itself
    costs the same on either path.
    """
    launcher = Launcher(sizes.SMALL, FORWARD_PORT, seed)
    try:
        await launcher.start_stand_ins()
        await launcher.declare()
        await launcher.start_entries(1)
        spec = launcher.specs[0]
        receiver = f"searchers-{spec.failure_domain}"
        before = launcher.usage(receiver).cpu_seconds
        calls = [shard_call(number, spec.group) for number in range(SHARD_CALLS)]
        call_sender = await exchange_all(launcher.searcher_address(0), "/search", calls)
        call_receiver = launcher.usage(receiver).cpu_seconds - before
        before = launcher.usage("entry-0").cpu_seconds
        query_sender = await exchange_all(
            launcher.entry_address(0), "/v1/small/catalogue/search", [query()] * QUERIES
        )
        query_receiver = launcher.usage("entry-0").cpu_seconds - before
    finally:
        await launcher.close()
    return ForwardCost(
        call_sender / SHARD_CALLS * MICROSECONDS,
        call_receiver / SHARD_CALLS * MICROSECONDS,
        query_sender / QUERIES * MICROSECONDS,
        query_receiver / QUERIES * MICROSECONDS,
    )


def query() -> bytes:
    """A whole query; it is refused for want of a token after parsing, before any shard call."""
    return msgspec.json.encode({"query": {"text": "x"}, "deadline_ms": HEADROOM_MS})


def forward_cost(seed: int) -> dict[str, Any]:
    """Measure in a loop of its own."""
    return asyncio.run(measure_forwarding(seed))._asdict()
