"""Measures the figures of docs/CAPACITY.md on one machine."""

from __future__ import annotations

import asyncio
import concurrent.futures
import gc
import multiprocessing
import os
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from mimosahoist.core.tasks import now
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.capacity_page import render_page
from mimosahoist.lab.capacity_plots import plot_slopes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.forward_cost import measure_forward_cost
from mimosahoist.lab.measure import commit
from mimosahoist.lab.measure_cost import measure_cost
from mimosahoist.lab.paused_loop import run_paused
from mimosahoist.lab.peer_mesh import PeerMesh
from mimosahoist.lab.process_usage import read_usage
from mimosahoist.lab.zmq_cost import measure_zmq_cost
from mimosahoist.query.hit_merger import HitMerger
from mimosahoist.upstream.curl_transport import CurlTransport
from mimosahoist.upstream.messages import Hit

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

MESH_SIZES = (8, 32, 96, 192)
ZMQ_SIZES = (8, 32, 96)
MESH_MEASUREMENT_SECONDS = 30.0
MESH_SETTLE_SECONDS = 20.0
EVENTS_PER_MEASUREMENT = 3
MERGE_HIT_COUNTS = (100, 930, 9300)
MERGE_RUNS = 200
CONNECTION_COUNT = 400
CONNECTION_PORT = 27_000
OPEN_QUERY_COUNT = 100
UPSTREAM_COUNTS = (12, 93)
US_PER_SECOND = 1_000_000


def resident_bytes() -> int:
    """Resident memory of this process after a garbage collection."""
    gc.collect()
    return read_usage(os.getpid()).resident_bytes


def measure_merge_cost() -> dict[str, float]:
    """Measure the CPU microseconds per merged hit, by number of hits."""
    rng = random.Random(1)
    merger = HitMerger()
    costs = {}
    for size in MERGE_HIT_COUNTS:
        hits = [Hit(rng.random(), f"id-{number}") for number in range(size)]
        started = time.process_time()
        for _ in range(MERGE_RUNS):
            merger.merge([list(hits)], 10)
        costs[str(size)] = (time.process_time() - started) / MERGE_RUNS / size * US_PER_SECOND
    return costs


async def measure_connection_memory() -> float:
    """Measure the bytes of a persistent connection with its transfer handle."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await done.wait()
        writer.close()

    done = asyncio.Event()
    server = await asyncio.start_server(
        serve, "127.0.0.1", CONNECTION_PORT, backlog=CONNECTION_COUNT
    )
    transport = CurlTransport()
    await transport.start()
    before = resident_bytes()
    address = f"127.0.0.1:{CONNECTION_PORT}"
    connections = [transport.open(address, False, lambda: None) for _ in range(CONNECTION_COUNT)]
    await asyncio.gather(*(item.exchange("/status", b"", 10.0) for item in connections))
    used = resident_bytes() - before
    for item in connections:
        item.close()
    await transport.close()
    done.set()
    server.close()
    await server.wait_closed()
    return used / CONNECTION_COUNT


async def measure_upstream_memory(groups: int) -> int:
    """Measure the resident bytes of one in-memory entry with one upstream per group."""
    size = sizes.ServiceSize("s", "search", groups, 1, 4, 35, 6.0, 4.0)
    fleet = MemoryFleet(sizes.Deployment("small", "coverage", (size,)), 1, 1)
    before = resident_bytes()
    await fleet.start()
    used = resident_bytes() - before
    await fleet.close()
    return used


async def measure_query_memory() -> float:
    """Measure the bytes of an open query over 93 shards."""
    fleet = MemoryFleet(sizes.WIDE, 1, 1)
    await fleet.start()
    for model in fleet.models.values():
        model.faults.silent_rate = 1.0
    app = next(iter(fleet.entries.values()))
    service = app.directory.services["wide", "wide-search"]
    service.admission.limit = lambda: OPEN_QUERY_COUNT
    before = resident_bytes()
    searches = [
        asyncio.create_task(fleet.search("wide-search", f"q {number}", 5.0, app))
        for number in range(OPEN_QUERY_COUNT)
    ]
    await asyncio.sleep(1.0)
    used = resident_bytes() - before
    await asyncio.gather(*searches)
    await fleet.close()
    return used / OPEN_QUERY_COUNT


async def measure_mesh(size: int) -> dict[str, float]:
    """Measure the control cost of a number of peers: idle, per change, per peer replacement."""
    mesh = PeerMesh(size, 1)
    await mesh.start()
    mesh.platform.list_instance("peer-0", {"role": "other"})
    await asyncio.sleep(MESH_SETTLE_SECONDS)
    frames, sent, calls = mesh.frames_sent(), mesh.bytes_sent(), sum(mesh.platform.calls.values())
    started, cpu_started = now(), time.process_time()
    await asyncio.sleep(MESH_MEASUREMENT_SECONDS)
    seconds = now() - started
    idle = {
        "peers": size,
        "frames_per_second": (mesh.frames_sent() - frames) / size / seconds,
        "bytes_per_second": (mesh.bytes_sent() - sent) / size / seconds,
        "us_per_second": (time.process_time() - cpu_started) / size / seconds * US_PER_SECOND,
        "store_calls_per_second": (sum(mesh.platform.calls.values()) - calls) / seconds,
    }
    per_change = await measure_event_cost(mesh, size, idle, mesh.propagate_change)
    per_replacement = await measure_event_cost(
        mesh, size, idle, lambda: mesh.replace_peer(size - 1)
    )
    await mesh.close()
    return {
        **idle,
        **{f"{name}_per_change": value for name, value in per_change.items()},
        **{f"{name}_per_replacement": value for name, value in per_replacement.items()},
    }


async def measure_event_cost(
    mesh: PeerMesh, size: int, idle: dict[str, float], trigger_event: Any
) -> dict[str, float]:
    """Measure an event's bytes and CPU time per peer above idle, and its longest propagation."""
    longest = 0.0
    sent, started, cpu_started = mesh.bytes_sent(), now(), time.process_time()
    for _ in range(EVENTS_PER_MEASUREMENT):
        longest = max(longest, await trigger_event())
        await asyncio.sleep(5)
    seconds = now() - started
    extra_bytes = (mesh.bytes_sent() - sent) / size - idle["bytes_per_second"] * seconds
    extra_us = (time.process_time() - cpu_started) / size * US_PER_SECOND
    extra_us -= idle["us_per_second"] * seconds
    return {
        "bytes": max(0.0, extra_bytes / EVENTS_PER_MEASUREMENT),
        "us": max(0.0, extra_us / EVENTS_PER_MEASUREMENT),
        "seconds": longest,
    }


def command(arguments: argparse.Namespace) -> int:
    """Run ``mimosahoist-lab capacity``: measure, then write figures, plots and the page."""
    print(
        "measuring CPU cost of real processes, then memory, then control cost by number of peers",
        flush=True,
    )
    upstreams = {
        str(count): run_in_fresh_process(run_upstream_measurement, count)
        for count in UPSTREAM_COUNTS
    }
    figures = {
        "commit": commit(),
        "command": "make capacity",
        "cost": measure_cost(arguments.seed),
        "forward": measure_forward_cost(arguments.seed),
        "merge_us_per_hit": measure_merge_cost(),
        "connection_bytes": run_in_fresh_process(run_connection_measurement),
        "upstream_bytes": bytes_per_upstream(upstreams),
        "query_bytes": run_in_fresh_process(run_query_measurement),
        "mesh": [run_paused(measure_mesh(size)) for size in MESH_SIZES],
        "zmq": [measure_zmq_cost(size) for size in ZMQ_SIZES],
    }
    output = Path(arguments.output)
    output.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=2) + b"\n")
    plot_slopes(figures, output.parent)
    Path("docs/CAPACITY.md").write_text(render_page(figures), encoding="utf-8")
    print(f"wrote {output}, its plots and docs/CAPACITY.md")
    return 0


def run_in_fresh_process(measure: Callable[..., Any], *arguments: Any) -> Any:
    """Run a measurement in a new process, so that memory of earlier ones is not counted."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, context) as executor:
        return executor.submit(measure, *arguments).result()


def run_upstream_measurement(count: int) -> int:
    """Measure an entry's memory under the paused clock."""
    return run_paused(measure_upstream_memory(count))


def run_connection_measurement() -> float:
    """Measure a connection's memory in a new event loop."""
    return asyncio.run(measure_connection_memory())


def run_query_measurement() -> float:
    """Measure an open query's memory under the paused clock."""
    return run_paused(measure_query_memory())


def bytes_per_upstream(measured: dict[str, int]) -> float:
    """Bytes per upstream, from the difference of the two measured counts."""
    small, large = UPSTREAM_COUNTS
    return (measured[str(large)] - measured[str(small)]) / (large - small)
