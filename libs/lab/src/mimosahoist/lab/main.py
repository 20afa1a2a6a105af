"""Command-line interface ``mimosahoist-lab``."""

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
PARENT_POLL_SECONDS = 1.0


async def serve_platform(arguments: argparse.Namespace) -> int:
    """Serve the stand-in platform."""
    server = create_platform_server(PlatformModel(arguments.seed))
    server.listen(arguments.port, address="127.0.0.1")
    await wait_for_parent_exit()
    return 0


async def serve_searchers(arguments: argparse.Namespace) -> int:
    """Serve the stand-in searchers of one failure domain."""
    specs = sizes.searcher_specs(sizes.DEPLOYMENTS[arguments.deployment])
    servers = []
    for index, spec in enumerate(specs):
        if spec.failure_domain == arguments.failure_domain:
            snapshots = [(FIRST_SNAPSHOT, spec.groups)]
            server = SearcherServer(SearcherModel(spec, snapshots, arguments.seed))
            server.listen(arguments.base_port + sizes.SEARCHER_OFFSET + index)
            servers.append(server)
    await wait_for_parent_exit()
    return 0


async def wait_for_parent_exit() -> None:
    """Wait until the parent process has exited, so that no server outlives its launcher."""
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(PARENT_POLL_SECONDS)


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="mimosahoist-lab", description="Run stand-in services, load tests and measurements."
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    platform_parser = subparsers.add_parser("platform", help="serve the stand-in platform")
    platform_parser.add_argument("--port", type=int, default=DEFAULT_PORT)
    platform_parser.set_defaults(command=serve_platform)
    searchers_parser = subparsers.add_parser("searchers", help="serve stand-in searchers")
    searchers_parser.add_argument("--deployment", choices=sorted(sizes.DEPLOYMENTS), required=True)
    searchers_parser.add_argument("--failure-domain", choices=sizes.FAILURE_DOMAINS, required=True)
    searchers_parser.add_argument("--base-port", type=int, default=DEFAULT_PORT)
    searchers_parser.set_defaults(command=serve_searchers)
    demo_parser = subparsers.add_parser(
        "demo", help="run both reference deployments and check their answers"
    )
    demo_parser.add_argument("--base-port", type=int, default=DEFAULT_PORT)
    demo_parser.add_argument("--examples", default=str(Path("examples")))
    demo_parser.set_defaults(command=demo)
    soak_parser = subparsers.add_parser(
        "soak", help="run a randomised test with all faults on a paused clock"
    )
    soak_parser.add_argument(
        "--deployment", choices=sorted(sizes.DEPLOYMENTS), default="tidy-bothy"
    )
    soak_parser.add_argument("--seconds", type=float, default=60.0)
    soak_parser.set_defaults(command=soak.command)
    measure_parser = subparsers.add_parser("measure", help="measure all targets")
    measure_parser.add_argument("--output", default="measurements/measure.json")
    measure_parser.set_defaults(command=measure.command)
    job_parser = subparsers.add_parser("measure-job", help="run one measurement")
    job_parser.add_argument("name", choices=measure.JOB_NAMES)
    job_parser.set_defaults(sync_command=measure.print_job)
    capacity_parser = subparsers.add_parser(
        "capacity", help="measure the cost slopes shown in docs/CAPACITY.md"
    )
    capacity_parser.add_argument("--output", default="measurements/capacity.json")
    capacity_parser.set_defaults(sync_command=capacity.command)
    forward_parser = subparsers.add_parser(
        "forward", help="compare search scenarios with and without upstream pauses"
    )
    forward_parser.add_argument("--seconds", type=float, default=60.0)
    forward_parser.set_defaults(sync_command=forward_experiment.command)
    hedging_parser = subparsers.add_parser(
        "hedging", help="compare hedging policies by credit and budget"
    )
    hedging_parser.add_argument("--seconds", type=float, default=20.0)
    hedging_parser.add_argument(
        "--output", help="write the figures to this file and a plot next to it"
    )
    hedging_parser.set_defaults(sync_command=hedging.command)
    for subparser in (
        platform_parser,
        searchers_parser,
        demo_parser,
        soak_parser,
        measure_parser,
        job_parser,
        capacity_parser,
        forward_parser,
        hedging_parser,
    ):
        subparser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    return parser


def main() -> None:
    """Parse the command line, run the command and exit with its status."""
    arguments = build_parser().parse_args()
    logging.set_verbosity(logging.WARNING)
    if "sync_command" in arguments:
        sys.exit(arguments.sync_command(arguments))
    sys.exit(asyncio.run(arguments.command(arguments)))


if __name__ == "__main__":
    main()
