"""Planning of changes against the store, and their application by conditional updates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Literal, NamedTuple

from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.core.tasks import unix_time
from mimosahoist.platform import kinds

if TYPE_CHECKING:
    from mimosahoist.declare.compile import Compiled
    from mimosahoist.declare.schema import MoveTable
    from mimosahoist.platform.store import PlatformStore, StoredObject

WRITE_ATTEMPTS = 4
DECLARED_PREFIXES = (kinds.ORGANISATION_PREFIX, kinds.FAILURE_DOMAIN_PREFIX)


class Change(NamedTuple):
    """One object to write, conditional on the version that the plan read."""

    key: str
    action: Literal["create", "update", "delete", "keep"]
    expected: int
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class AppliedChange(NamedTuple):
    """An accepted change and the version that the store assigned."""

    key: str
    action: str
    version: int


async def plan(store: PlatformStore, compiled: Compiled, prune: bool) -> list[Change]:
    """Compare declarations with the stored objects.

    Parameters
    ----------
    store : PlatformStore
        The platform's store.
    compiled : Compiled
        The declarations.
    prune : bool
        Whether to delete stored organisations and failure domains that are not declared.
    """
    collection = await store.changes("objects", 0, 0.0)
    stored = {item.key: item for item in collection.objects}
    desired = dict(compiled.objects)
    for move in compiled.moves:
        key, spec = compile_move(move, desired, stored)
        desired[key] = spec
    changes = [plan_change(key, stored.get(key), value) for key, value in desired.items()]
    if prune:
        for key, item in stored.items():
            if key.startswith(DECLARED_PREFIXES) and key not in desired and item.value is not None:
                changes.append(Change(key, "delete", item.version, item.value, None))
    return changes


def plan_change(key: str, stored: StoredObject | None, value: dict[str, Any]) -> Change:
    """Return the change that makes a stored object equal to `value`."""
    if stored is None:
        return Change(key, "create", 0, None, value)
    if stored.value is None:
        return Change(key, "create", stored.version, None, value)
    action: Literal["keep", "update"] = "keep" if stored.value == value else "update"
    return Change(key, action, stored.version, stored.value, value)


def compile_move(
    move: MoveTable, desired: dict[str, dict[str, Any]], stored: dict[str, StoredObject]
) -> tuple[str, dict[str, Any]]:
    """Compile a move; a stored move with the same target and deadline is kept."""
    organisation, service = move["organisation"], move["service"]
    location = f"move of {organisation}/{service}"
    key = kinds.move_key(organisation, service)
    source = declared_version(organisation, service, desired, stored, location)
    deadline = move["deadline"].timestamp()
    stored_move = stored[key].value if key in stored else None
    if (
        stored_move
        and stored_move["target"] == move["target"]
        and stored_move["deadline"] == deadline
    ):
        return key, stored_move
    if stored_move and is_move_done(organisation, service, stored):
        source = stored_move["target"]
    if source == move["target"]:
        raise Problem(
            ProblemKind.DECLARATION,
            f"{location}: the service is on version '{source}' already",
            "remove the move or name another target",
        )
    if deadline <= unix_time():
        raise Problem(
            ProblemKind.DECLARATION, f"{location}: the deadline is past", "give a later deadline"
        )
    spec = kinds.MoveSpec(
        organisation=organisation,
        service=service,
        source=source,
        target=move["target"],
        started=unix_time(),
        deadline=deadline,
    )
    return key, dict(spec)


def is_move_done(organisation: str, service: str, stored: dict[str, StoredObject]) -> bool:
    """Return whether the stored move of a service is done."""
    status = stored.get(kinds.move_status_key(organisation, service))
    move = stored[kinds.move_key(organisation, service)]
    if status is None or status.value is None:
        return False
    return status.value["spec_version"] == move.version and status.value["phase"] == "done"


def declared_version(
    organisation: str,
    service: str,
    desired: dict[str, dict[str, Any]],
    stored: dict[str, StoredObject],
    location: str,
) -> str:
    """Return the version that a service's declaration names."""
    key = kinds.organisation_key(organisation)
    spec = desired.get(key) or (stored[key].value if key in stored else None)
    for candidate in spec["services"] if spec else []:
        if candidate["name"] == service:
            return candidate["version"]
    raise Problem(
        ProblemKind.DECLARATION,
        f"{location}: there is no such service",
        "name an organisation and a service that are declared",
    )


async def apply(store: PlatformStore, changes: list[Change]) -> list[AppliedChange]:
    """Write all changes of a plan, each conditional on the version that the plan read.

    Raises
    ------
    Problem
        Of kind ``conflict`` if an object was changed concurrently; the message names the keys.
    """
    applied = []
    for change in changes:
        if change.action != "keep":
            stored = await write_change(store, change)
            applied.append(AppliedChange(change.key, change.action, stored.version))
    return applied


async def write_change(store: PlatformStore, change: Change) -> StoredObject:
    """Write one change; after a failed attempt, read the object back to see if it was written.

    The store can accept a write and its answer be lost. A retry then gets a conflict with the
    change's own earlier attempt, so a conflict counts as success if the stored value is the
    intended one and an earlier attempt failed.
    """
    for attempt in range(WRITE_ATTEMPTS):
        try:
            return await store.put(change.key, change.after, change.expected)
        except Problem as problem:
            if problem.kind is not ProblemKind.CONFLICT and attempt == WRITE_ATTEMPTS - 1:
                raise
            failure = problem
        try:
            stored = await store.get(change.key)
        except Problem:
            continue
        if stored is not None and stored.version > change.expected:
            if stored.value == change.after and failure.kind is not ProblemKind.CONFLICT:
                return stored
            if stored.value == change.after and attempt > 0:
                return stored
            raise conflict_problem(change, stored)
    raise Problem(
        ProblemKind.STORE,
        f"'{change.key}': the store did not answer, so the write may have been accepted",
        "run 'mimosahoist status' when the store answers again, then apply again",
    )


def conflict_problem(change: Change, stored: StoredObject) -> Problem:
    """Return the Problem that names the keys changed concurrently."""
    before = change.before or {}
    after = stored.value or {}
    changed_keys = sorted(name for name in {*before, *after} if before.get(name) != after.get(name))
    return Problem(
        ProblemKind.CONFLICT,
        f"'{change.key}' was changed concurrently to version {stored.version};"
        f" keys that differ: {', '.join(changed_keys) or 'none'}",
        "run 'mimosahoist plan' to see the new state, then apply again",
    )
