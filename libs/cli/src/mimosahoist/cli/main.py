"""The command ``mimosahoist``."""

from __future__ import annotations

import argparse
import asyncio
import sys

from mimosahoist.cli import commands

DEFAULT_PLATFORM = "http://127.0.0.1:20000"


def build_parser() -> argparse.ArgumentParser:
    """Define commands and options."""
    parser = argparse.ArgumentParser(prog="mimosahoist", description="Operate mimosahoist.")
    parser.add_argument("--platform", default=DEFAULT_PLATFORM, help="URL of the object API")
    parser.add_argument("--json", action="store_true", help="print JSON")
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for name, command, text in (
        ("plan", commands.plan, "show what apply would change"),
        ("apply", commands.apply, "write declarations"),
    ):
        added = add(subparsers, name, command, text)
        added.add_argument("file", help="TOML declarations")
        added.add_argument("--prune", action="store_true", help="delete what is not declared")
    add(subparsers, "status", commands.status, "show what is in force where")
    for name, command, text in (
        ("drain", commands.drain, "take a failure domain out"),
        ("restore", commands.restore, "bring a failure domain back"),
    ):
        add(subparsers, name, command, text).add_argument("failure_domain")
    moved = add(subparsers, "move", commands.move, "move a service to a new version")
    moved.add_argument("organisation")
    moved.add_argument("service")
    moved.add_argument("--to", required=True, help="target version")
    moved.add_argument("--within", type=float, required=True, help="seconds until the deadline")
    add(subparsers, "token-hash", commands.token_hash, "hash a token from standard input")
    add(subparsers, "new-keys", commands.new_keys, "make a key pair for a cluster")
    return parser


def add(subparsers: object, name: str, command: object, text: str) -> argparse.ArgumentParser:
    """Add a command."""
    parser = subparsers.add_parser(name, help=text, description=text)
    parser.set_defaults(command=command)
    parser.add_argument(
        "--wait", type=float, metavar="SECONDS", help="wait until it is in force everywhere"
    )
    return parser


def main() -> None:
    """Run a command."""
    sys.exit(asyncio.run(commands.run(build_parser().parse_args())))


if __name__ == "__main__":
    main()
