"""The command ``mimosahoist``."""

from __future__ import annotations

import argparse
import asyncio
import sys

from mimosahoist.cli import commands

DEFAULT_PLATFORM = "http://127.0.0.1:20000"


def build_parser() -> argparse.ArgumentParser:
    """Create the parser with all commands and options."""
    parser = argparse.ArgumentParser(prog="mimosahoist", description="Operate mimosahoist.")
    parser.add_argument("--platform", default=DEFAULT_PLATFORM, help="URL of the object API")
    parser.add_argument("--json", action="store_true", help="print JSON")
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for name, command, help_text in (
        ("plan", commands.plan, "show what apply would change"),
        ("apply", commands.apply, "write declarations"),
    ):
        command_parser = add_command(subparsers, name, command, help_text)
        command_parser.add_argument("file", help="TOML declarations")
        command_parser.add_argument(
            "--prune",
            action="store_true",
            help="delete stored objects that are not declared",
        )
    add_command(subparsers, "status", commands.status, "show what is in force at each instance")
    for name, command, help_text in (
        ("drain", commands.drain, "stop sending traffic to a failure domain"),
        ("restore", commands.restore, "resume sending traffic to a failure domain"),
    ):
        add_command(subparsers, name, command, help_text).add_argument("failure_domain")
    move_parser = add_command(subparsers, "move", commands.move, "move a service to a new version")
    move_parser.add_argument("organisation")
    move_parser.add_argument("service")
    move_parser.add_argument("--to", required=True, help="target version")
    move_parser.add_argument(
        "--within", type=float, required=True, help="seconds until the deadline"
    )
    add_command(subparsers, "token-hash", commands.token_hash, "hash a token from standard input")
    add_command(subparsers, "new-keys", commands.new_keys, "make a key pair for a cluster")
    return parser


def add_command(
    subparsers: object, name: str, command: object, help_text: str
) -> argparse.ArgumentParser:
    """Add a command with the option ``--wait``."""
    parser = subparsers.add_parser(name, help=help_text, description=help_text)
    parser.set_defaults(command=command)
    parser.add_argument(
        "--wait", type=float, metavar="SECONDS", help="wait until the change is in force everywhere"
    )
    return parser


def main() -> None:
    """Parse the command line, run the command and exit with its code."""
    sys.exit(asyncio.run(commands.run(build_parser().parse_args())))


if __name__ == "__main__":
    main()
