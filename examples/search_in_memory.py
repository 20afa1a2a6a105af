"""Runs a small deployment in memory and prints the results of two searches."""

from __future__ import annotations

from absl import logging

from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.fleet import MemoryFleet
from mimosahoist.lab.paused_loop import run_paused

DEADLINE_SECONDS = 0.33


async def main() -> None:
    """Search once with all shards and once after the searchers of one shard have crashed."""
    fleet = MemoryFleet(sizes.SMALL, seed=1, entries=2)
    await fleet.start()
    print(await fleet.search("catalogue", "lamp", DEADLINE_SECONDS))
    for model in fleet.models.values():
        if model.spec.group == 1:
            model.crash()
    print(await fleet.search("catalogue", "lamp", DEADLINE_SECONDS))
    await fleet.close()


if __name__ == "__main__":
    logging.set_verbosity(logging.ERROR)
    run_paused(main())
