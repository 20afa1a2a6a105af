"""Control cost of peers with real sockets and keys, spread over processes on loopback."""

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

FIRST_PORT = 26_000
PEERS_PER_PROCESS = 8
SETTLE_SECONDS = 6.0
SETTLE_SECONDS_PER_PEER = 0.5
MEASURED_SECONDS = 8.0
MICROSECONDS = 1_000_000


def zmq_peer(number: int, keys: ClusterKeys) -> PeerExchange:
    """One peer on loopback."""
    address = f"127.0.0.1:{FIRST_PORT + number}"
    metrics = Metrics()
    return PeerExchange(
        Identity("cap", f"z{number}", 1, address, address, "abcd"[number % 4]),
        ZmqPeerTransport(address, keys, metrics),
        FactTable(),
        VersionedCopy(),
        VersionedCopy(),
        metrics,
        random.Random(number),
        [f"127.0.0.1:{FIRST_PORT}"],
    )


async def group_cost(first: int, size: int, keys: ClusterKeys) -> dict[str, float]:
    """Run the peers of one process; measure once each has probed all others."""
    gc.collect()
    before = read_usage(os.getpid()).resident_bytes
    peers = [zmq_peer(number, keys) for number in range(first, first + PEERS_PER_PROCESS)]
    for peer in peers:
        await peer.start()
    await asyncio.sleep(SETTLE_SECONDS + size * SETTLE_SECONDS_PER_PEER)
    spent, started = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURED_SECONDS)
    seconds = time.monotonic() - started
    spent = time.process_time() - spent
    used = read_usage(os.getpid()).resident_bytes - before
    known = min(len(peer.reachable_peers()) for peer in peers)
    await asyncio.sleep(MEASURED_SECONDS)
    for peer in peers:
        await peer.close()
    return {
        "known": known,
        "us_per_second": spent / PEERS_PER_PROCESS / seconds * MICROSECONDS,
        "bytes_per_peer": used / PEERS_PER_PROCESS,
    }


def run_group(first: int, size: int, keys: ClusterKeys) -> dict[str, float]:
    """Run a process's peers in a loop of its own."""
    logging.set_verbosity(logging.ERROR)
    return asyncio.run(group_cost(first, size, keys))


def zmq_costs(size: int) -> dict[str, Any]:
    """Processor time and memory a peer, with `size` peers over as many processes as it takes."""
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
