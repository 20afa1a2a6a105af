"""The command ``mimosahoist-lab``."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

from absl import logging

from mimosahoist.lab import capacity, forward_experiment, hedging, measure, soak
from mimosahoist.lab import deployment as sizes
from mimosahoist.lab.demo import demo
from mimosahoist.lab.platform_model import PlatformModel
from mimosahoist.lab.platform_server import create_platform_server
from mimosahoist.lab.searcher_model import SearcherModel
from mimosahoist.lab.searcher_server import SearcherServer

DEFAULT_PORT = 20_000
DEFAULT_SEED = 1
FIRST_SNAPSHOT = 1
ORPHAN_CHECK_SECONDS = 1.0


async def serve_platform(arguments: argparse.Namespace) -> int:
    """Serve a stand-in platform."""
    server = create_platform_server(PlatformModel(arguments.seed))
    server.listen(arguments.port, address="127.0.0.1")
    await until_orphaned()
    return 0


async def serve_searchers(arguments: argparse.Namespace) -> int:
    """Serve the searchers of one failure domain."""
    specs = sizes.searcher_specs(sizes.DEPLOYMENTS[arguments.deployment])
    servers = []
    for index, spec in enumerate(specs):
        if spec.failure_domain == arguments.failure_domain:
            snapshots = [(FIRST_SNAPSHOT, spec.groups)]
            server = SearcherServer(SearcherModel(spec, snapshots, arguments.seed))
            server.listen(arguments.base_port + sizes.SEARCHER_OFFSET + index)
            servers.append(server)
    await until_orphaned()
    return 0


async def until_orphaned() -> None:
    """Serve until the process that started this one is gone."""
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(ORPHAN_CHECK_SECONDS)


def build_parser() -> argparse.ArgumentParser:
    """Define commands and options."""
    parser = argparse.ArgumentParser(prog="mimosahoist-lab", description="Stand-ins and load.")
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    platform = subparsers.add_parser("platform", help="serve a stand-in platform")
    platform.add_argument("--port", type=int, default=DEFAULT_PORT)
    platform.set_defaults(command=serve_platform)
    searchers = subparsers.add_parser("searchers", help="serve stand-in searchers")
    searchers.add_argument("--deployment", choices=sorted(sizes.DEPLOYMENTS), required=True)
    searchers.add_argument("--failure-domain", choices=sizes.FAILURE_DOMAINS, required=True)
    searchers.add_argument("--base-port", type=int, default=DEFAULT_PORT)
    searchers.set_defaults(command=serve_searchers)
    shown = subparsers.add_parser("demo", help="run both deployments and check their answers")
    shown.add_argument("--base-port", type=int, default=DEFAULT_PORT)
    shown.add_argument("--examples", default=str(Path("examples")))
    shown.set_defaults(command=demo)
    soaked = subparsers.add_parser("soak", help="randomised run with all faults, paused clock")
    soaked.add_argument("--deployment", choices=sorted(sizes.DEPLOYMENTS), default="tidy-bothy")
    soaked.add_argument("--seconds", type=float, default=60.0)
    soaked.set_defaults(command=soak.command)
    measured = subparsers.add_parser("measure", help="measure all targets")
    measured.add_argument("--output", default="measurements/measure.json")
    measured.set_defaults(command=measure.command)
    job = subparsers.add_parser("measure-job", help="run one measurement")
    job.add_argument("name", choices=measure.JOB_NAMES)
    job.set_defaults(plain=measure.print_job)
    sized = subparsers.add_parser("capacity", help="measure the slopes of docs/CAPACITY.md")
    sized.add_argument("--output", default="measurements/capacity.json")
    sized.set_defaults(plain=capacity.command)
    played = subparsers.add_parser("forward", help="searches through pauses, way beside way")
    played.add_argument("--seconds", type=float, default=60.0)
    played.set_defaults(plain=forward_experiment.command)
    hedged = subparsers.add_parser("hedging", help="ways to double calls, by credit and budget")
    hedged.add_argument("--seconds", type=float, default=20.0)
    hedged.add_argument("--output", help="file for the figures; a plot is written beside it")
    hedged.set_defaults(plain=hedging.command)
    for subparser in (platform, searchers, shown, soaked, measured, job, sized, played, hedged):
        subparser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    return parser


def main() -> None:
    """Run a command."""
    arguments = build_parser().parse_args()
    logging.set_verbosity(logging.WARNING)
    if "plain" in arguments:
        sys.exit(arguments.plain(arguments))
    sys.exit(asyncio.run(arguments.command(arguments)))


if __name__ == "__main__":
    main()
