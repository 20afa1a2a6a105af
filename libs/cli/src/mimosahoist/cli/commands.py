"""Implementation of the commands."""

from __future__ import annotations

import datetime
import hashlib
import sys
from typing import TYPE_CHECKING, Any

from mimosahoist.cli.output import print_json, print_table
from mimosahoist.cli.status_client import StatusClient
from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import unix_time
from mimosahoist.declare import apply as declare_apply
from mimosahoist.declare.compile import Compiled, compile_file
from mimosahoist.declare.schema import MoveTable
from mimosahoist.peers.keys import create_cluster_keys
from mimosahoist.platform import kinds
from mimosahoist.platform.http_store import HttpPlatformStore

if TYPE_CHECKING:
    import argparse

    from mimosahoist.cli.status_client import InstanceReport
    from mimosahoist.declare.apply import Change
    from mimosahoist.platform.store import PlatformStore

EXIT_OK = 0
EXIT_PENDING = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_STORE = 4

EXIT_BY_KIND = {
    ProblemKind.SETTINGS: EXIT_USAGE,
    ProblemKind.DECLARATION: EXIT_USAGE,
    ProblemKind.CONFLICT: EXIT_CONFLICT,
    ProblemKind.STORE: EXIT_STORE,
}


async def run(arguments: argparse.Namespace) -> int:
    """Run a command with a connected store and return the exit code."""
    store = HttpPlatformStore(arguments.platform)
    await store.start()
    try:
        return await arguments.command(store, arguments)
    except Problem as problem:
        print(f"mimosahoist: {problem}", file=sys.stderr)
        return EXIT_BY_KIND.get(problem.kind, EXIT_USAGE)
    finally:
        await store.close()


async def plan(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Print the changes that `apply` would write; exit with 1 if there are any."""
    changes = await declare_apply.plan(store, compile_file(arguments.file), arguments.prune)
    print_changes(changes, arguments.json)
    pending = any(change.action != "keep" for change in changes)
    return EXIT_PENDING if pending else EXIT_OK


async def apply(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Write declarations; with ``--wait``, wait until all instances have applied them."""
    changes = await declare_apply.plan(store, compile_file(arguments.file), arguments.prune)
    return await write_changes(store, changes, arguments)


async def write_changes(
    store: PlatformStore, changes: list[Change], arguments: argparse.Namespace
) -> int:
    """Write changes and print the versions that the store assigned."""
    applied = await declare_apply.apply(store, changes)
    if arguments.json:
        print_json([item._asdict() for item in applied])
    else:
        print_table(("object", "action", "version"), [tuple(item) for item in applied])
    if arguments.wait is None or not applied:
        return EXIT_OK
    revision = max(item.version for item in applied)
    return await wait_in_force(store, revision, arguments.wait)


async def wait_in_force(store: PlatformStore, revision: int, seconds: float) -> int:
    """Wait until all instances have applied a revision; print those that have not."""
    client = StatusClient(store)
    await client.start()
    try:
        reports = await client.wait(revision, seconds)
    finally:
        await client.close()
    missing = [item.name for item in reports if not item.in_force(revision)]
    print(f"revision {revision}: in force at {len(reports) - len(missing)} of {len(reports)}")
    if missing:
        print(f"not confirmed: {', '.join(sorted(missing))}")
    return EXIT_PENDING if missing else EXIT_OK


def print_changes(changes: list[Change], as_json: bool) -> None:
    """Print a plan."""
    if as_json:
        print_json([change._asdict() for change in changes])
        return
    rows = [(change.key, change.action, change.expected or "-") for change in changes]
    print_table(("object", "action", "on version"), rows)


async def status(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Print instances, failure domains and moves.

    Exits with 1 unless all instances have applied the store's revision.
    """
    objects = await store.changes("objects", 0, 0.0)
    client = StatusClient(store)
    await client.start()
    try:
        reports = await client.wait(objects.revision, arguments.wait or 0.0)
    finally:
        await client.close()
    values = {item.key: item for item in objects.objects if item.value is not None}
    report = {
        "revision": objects.revision,
        "instances": [instance_row(item, objects.revision) for item in reports],
        "failure_domains": failure_domain_rows(values),
        "moves": move_rows(values),
    }
    if arguments.json:
        print_json(report)
    else:
        print_status(report)
    complete = all(item.in_force(objects.revision) for item in reports)
    return EXIT_OK if complete else EXIT_PENDING


def instance_row(report: InstanceReport, revision: int) -> dict[str, Any]:
    """Return the status row of an instance."""
    reported = report.status
    return {
        "name": report.name,
        "failure_domain": report.failure_domain,
        "listed": report.listed_state,
        "revision": reported["revision"] if reported else None,
        "in_force": "yes" if report.in_force(revision) else ("no" if reported else "unconfirmed"),
        "share": reported["share"] if reported else None,
        "store": reported["store_available"] if reported else None,
    }


def failure_domain_rows(values: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the status rows of the declared failure domains."""
    return [
        item.value
        for key, item in sorted(values.items())
        if key.startswith(kinds.FAILURE_DOMAIN_PREFIX)
    ]


def move_rows(values: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the status rows of moves, with their status from the store."""
    report = []
    for key, item in sorted(values.items()):
        if not key.startswith(kinds.MOVE_PREFIX):
            continue
        spec = item.value
        stored_status = values.get(kinds.move_status_key(spec["organisation"], spec["service"]))
        current = (
            stored_status.value
            if stored_status and stored_status.value["spec_version"] == item.version
            else None
        )
        report.append(
            {
                "service": f"{spec['organisation']}/{spec['service']}",
                "target": spec["target"],
                "phase": current["phase"] if current else "waiting",
                "weight": current["weight"] if current else 0.0,
                "reason": current["reason"] if current else "not processed by a controller yet",
            }
        )
    return report


def print_status(report: dict[str, Any]) -> None:
    """Print a status report as tables."""
    print(f"store revision {report['revision']}\n")
    for title in ("instances", "failure_domains", "moves"):
        rows = report[title]
        if rows:
            print_table(tuple(rows[0]), [tuple(row.values()) for row in rows])
            print()


async def drain(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Drain a failure domain."""
    return await set_domain(store, arguments, out=True)


async def restore(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Return a drained failure domain to use."""
    return await set_domain(store, arguments, out=False)


async def set_domain(store: PlatformStore, arguments: argparse.Namespace, out: bool) -> int:
    """Write whether a failure domain is drained."""
    key = kinds.failure_domain_key(arguments.failure_domain)
    stored = await store.get(key)
    if stored is None:
        raise Problem(
            ProblemKind.DECLARATION,
            f"failure domain '{arguments.failure_domain}' is not declared",
            "declare it in the file given to 'apply'",
        )
    spec = kinds.FailureDomainSpec(name=arguments.failure_domain, out=out)
    return await write_changes(
        store, [declare_apply.plan_change(key, stored, dict(spec))], arguments
    )


async def move(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Start moving a service to a new version."""
    deadline = datetime.datetime.fromtimestamp(unix_time() + arguments.within, datetime.UTC)
    table = MoveTable(
        organisation=arguments.organisation,
        service=arguments.service,
        target=arguments.to,
        deadline=deadline,
    )
    changes = await declare_apply.plan(store, Compiled({}, [table]), prune=False)
    return await write_changes(store, changes, arguments)


async def token_hash(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Print the SHA-256 of a token read from standard input."""
    token = sys.stdin.readline().rstrip("\n")
    print(hashlib.sha256(token.encode()).hexdigest())
    return EXIT_OK


async def new_keys(store: PlatformStore, arguments: argparse.Namespace) -> int:
    """Create and print a key pair for the peers of a cluster."""
    keys = create_cluster_keys()
    print(f'public_key = "{keys.public}"\nsecret_key = "{keys.secret}"')
    return EXIT_OK
