"""Control cost of peers with real, encrypted sockets, in several processes on loopback."""

from __future__ import annotations

import asyncio
import concurrent.futures
import gc
import multiprocessing
import os
import random
import time
from typing import Any

from absl import logging

from mimosahoist.core.metrics import Metrics
from mimosahoist.lab.process_usage import read_usage
from mimosahoist.peers.exchange import Identity, PeerExchange
from mimosahoist.peers.facts import FactTable
from mimosahoist.peers.keys import create_cluster_keys
from mimosahoist.peers.zmq_transport import ClusterKeys, ZmqPeerTransport
from mimosahoist.platform.versioned import VersionedCopy

BASE_PORT = 26_000
PEERS_PER_PROCESS = 8
SETTLE_SECONDS = 6.0
SETTLE_SECONDS_PER_PEER = 0.5
MEASUREMENT_SECONDS = 8.0
US_PER_SECOND = 1_000_000


def create_peer(number: int, keys: ClusterKeys) -> PeerExchange:
    """Create a peer on loopback; the first peer is the seed of all."""
    address = f"127.0.0.1:{BASE_PORT + number}"
    metrics = Metrics()
    return PeerExchange(
        Identity("cap", f"z{number}", 1, address, address, "abcd"[number % 4]),
        ZmqPeerTransport(address, keys, metrics),
        FactTable(),
        VersionedCopy(),
        VersionedCopy(),
        metrics,
        random.Random(number),
        [f"127.0.0.1:{BASE_PORT}"],
    )


async def measure_group(first: int, size: int, keys: ClusterKeys) -> dict[str, float]:
    """Run the peers of one process and measure them after a settling time.

    The settling time grows with the number of peers, so that each has probed all others.
    """
    gc.collect()
    before = read_usage(os.getpid()).resident_bytes
    peers = [create_peer(number, keys) for number in range(first, first + PEERS_PER_PROCESS)]
    for peer in peers:
        await peer.start()
    await asyncio.sleep(SETTLE_SECONDS + size * SETTLE_SECONDS_PER_PEER)
    cpu_seconds, started = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASUREMENT_SECONDS)
    seconds = time.monotonic() - started
    cpu_seconds = time.process_time() - cpu_seconds
    used_bytes = read_usage(os.getpid()).resident_bytes - before
    known = min(len(peer.reachable_peers()) for peer in peers)
    await asyncio.sleep(MEASUREMENT_SECONDS)
    for peer in peers:
        await peer.close()
    return {
        "known": known,
        "us_per_second": cpu_seconds / PEERS_PER_PROCESS / seconds * US_PER_SECOND,
        "bytes_per_peer": used_bytes / PEERS_PER_PROCESS,
    }


def run_group(first: int, size: int, keys: ClusterKeys) -> dict[str, float]:
    """Run the peers of one process in a new event loop."""
    logging.set_verbosity(logging.ERROR)
    return asyncio.run(measure_group(first, size, keys))


def measure_zmq_cost(size: int) -> dict[str, Any]:
    """Measure CPU time per peer and memory per peer pair, with `size` peers in all."""
    keys = create_cluster_keys()
    processes = size // PEERS_PER_PROCESS
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as executor:
        futures = [
            executor.submit(run_group, number * PEERS_PER_PROCESS, size, keys)
            for number in range(processes)
        ]
        groups = [future.result() for future in futures]
    return {
        "peers": size,
        "known": min(group["known"] for group in groups),
        "us_per_second": sum(group["us_per_second"] for group in groups) / processes,
        "bytes_per_peer_pair": sum(group["bytes_per_peer"] for group in groups)
        / processes
        / (size - 1),
    }
