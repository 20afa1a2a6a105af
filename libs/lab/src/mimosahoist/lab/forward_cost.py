"""CPU cost of forwarding to a peer: each shard call separately, or the whole query once."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import msgspec

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.launcher import Launcher
from mimosahoist.upstream import messages
from mimosahoist.upstream.curl_transport import CurlTransport

BASE_PORT = 25_000
SHARD_CALL_COUNT = 6000
QUERY_COUNT = 1500
CONCURRENCY = 8
TIMEOUT_SECONDS = 10.0
US_PER_SECOND = 1_000_000
DEADLINE_MS = 5000


class ForwardCost(NamedTuple):
    """CPU microseconds per shard call or query, in the sending and the receiving process."""

    shard_call_sender_us: float
    shard_call_receiver_us: float
    query_sender_us: float
    query_receiver_us: float


def encode_shard_call(number: int, shard: int) -> bytes:
    """Encode a shard call as it would be forwarded."""
    return msgspec.json.encode(
        messages.SearchCall(
            request=f"forward-{number}.0.1",
            query={"text": f"query {number % 100}"},
            route="default",
            snapshot=1,
            shards=[shard],
            limit=10,
            deadline_ms=DEADLINE_MS,
        )
    )


async def send_all(address: str, path: str, bodies: list[bytes]) -> float:
    """Send bodies over persistent connections and return the CPU seconds of this process."""
    transport = CurlTransport()
    await transport.start()
    remaining = iter(bodies)

    async def send_bodies() -> None:
        connection = transport.open(address, False, lambda: None)
        for body in remaining:
            await connection.exchange(path, body, TIMEOUT_SECONDS)
        connection.close()

    cpu_seconds = time.process_time()
    await asyncio.gather(*(send_bodies() for _ in range(CONCURRENCY)))
    cpu_seconds = time.process_time() - cpu_seconds
    await transport.close()
    return cpu_seconds


async def measure_forwarding(seed: int) -> ForwardCost:
    """Measure both ways of forwarding with a sending and a receiving process on loopback.

    A shard call is received by a plain HTTP server that looks up its answer. A whole query is
    received by the HTTP server of an entry instance and rejected at the token check; the search
    itself, which costs the same either way, is not measured.
    """
    launcher = Launcher(sizes.SMALL, BASE_PORT, seed)
    try:
        await launcher.start_stand_ins()
        await launcher.declare()
        await launcher.start_entries(1)
        spec = launcher.specs[0]
        receiver = f"searchers-{spec.failure_domain}"
        before = launcher.usage(receiver).cpu_seconds
        calls = [encode_shard_call(number, spec.group) for number in range(SHARD_CALL_COUNT)]
        call_sender = await send_all(launcher.searcher_address(0), "/search", calls)
        call_receiver = launcher.usage(receiver).cpu_seconds - before
        before = launcher.usage("entry-0").cpu_seconds
        query_sender = await send_all(
            launcher.entry_address(0), "/v1/small/catalogue/search", [encode_query()] * QUERY_COUNT
        )
        query_receiver = launcher.usage("entry-0").cpu_seconds - before
    finally:
        await launcher.close()
    return ForwardCost(
        call_sender / SHARD_CALL_COUNT * US_PER_SECOND,
        call_receiver / SHARD_CALL_COUNT * US_PER_SECOND,
        query_sender / QUERY_COUNT * US_PER_SECOND,
        query_receiver / QUERY_COUNT * US_PER_SECOND,
    )


def encode_query() -> bytes:
    """Encode a query; without a token it is rejected after parsing, before any shard call."""
    return msgspec.json.encode({"query": {"text": "x"}, "deadline_ms": DEADLINE_MS})


def measure_forward_cost(seed: int) -> dict[str, Any]:
    """Measure forwarding in a new event loop."""
    return asyncio.run(measure_forwarding(seed))._asdict()
