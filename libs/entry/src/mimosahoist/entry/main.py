"""The daemon ``mimosahoist-entry``."""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import signal
import sys

from mimosahoist.core import json_log
from mimosahoist.core.metrics import Metrics
from mimosahoist.core.problem import Problem
from mimosahoist.core.settings import load
from mimosahoist.entry import http_servers
from mimosahoist.entry.application import EntryApplication, make_adapters
from mimosahoist.entry.settings import EntrySettings

EXIT_USAGE = 2
GC_ALLOCATION_THRESHOLD = 50_000
GC_GENERATION_THRESHOLD = 20


def main() -> None:
    """Run an entry instance until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="mimosahoist-entry", description="Run an entry instance of mimosahoist."
    )
    parser.add_argument("--settings", required=True, help="path to the TOML settings file")
    arguments = parser.parse_args()
    try:
        settings = load(arguments.settings, EntrySettings)
    except Problem as problem:
        print(f"mimosahoist-entry: {problem}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    json_log.configure(settings["instance"]["name"])
    asyncio.run(serve(settings))


async def serve(settings: EntrySettings) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    metrics = Metrics()
    app = EntryApplication(settings, metrics, make_adapters(settings, metrics), random.Random())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await app.start()
    http_servers.listen(app)
    tune_garbage_collector()
    json_log.info("listening", address=settings["listen"]["http"])
    await stop_requested.wait()
    await app.drain()
    await app.close()


def tune_garbage_collector() -> None:
    """Reduce the cost of garbage collection.

    Requests create few reference cycles, so collections run less often. Objects that exist after
    start are long-lived and are frozen, so that collections skip them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATION_THRESHOLD, GC_GENERATION_THRESHOLD, GC_GENERATION_THRESHOLD)


if __name__ == "__main__":
    main()
