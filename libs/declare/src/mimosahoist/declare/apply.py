"""Plans against the store and their application by conditional updates."""

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
    """One object to write, on the version that the plan saw."""

    key: str
    action: Literal["create", "update", "delete", "keep"]
    expected: int
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class Applied(NamedTuple):
    """An accepted change and the store version that it has."""

    key: str
    action: str
    version: int


async def plan(store: PlatformStore, compiled: Compiled, prune: bool) -> list[Change]:
    """Compare declarations with what is stored.

    Parameters
    ----------
    store : PlatformStore
        The platform's store.
    compiled : Compiled
        The declarations.
    prune : bool
        Whether stored organisations and failure domains that are not declared are deleted.
    """
    stored = await store.changes("objects", 0, 0.0)
    held = {item.key: item for item in stored.objects}
    wanted = dict(compiled.objects)
    for move in compiled.moves:
        key, spec = compile_move(move, wanted, held)
        wanted[key] = spec
    changes = [compare(key, held.get(key), value) for key, value in wanted.items()]
    if prune:
        for key, item in held.items():
            if key.startswith(DECLARED_PREFIXES) and key not in wanted and item.value is not None:
                changes.append(Change(key, "delete", item.version, item.value, None))
    return changes


def compare(key: str, held: StoredObject | None, value: dict[str, Any]) -> Change:
    """Change that makes a stored object equal to `value`."""
    if held is None:
        return Change(key, "create", 0, None, value)
    if held.value is None:
        return Change(key, "create", held.version, None, value)
    action: Literal["keep", "update"] = "keep" if held.value == value else "update"
    return Change(key, action, held.version, held.value, value)


def compile_move(
    move: MoveTable, wanted: dict[str, dict[str, Any]], held: dict[str, StoredObject]
) -> tuple[str, dict[str, Any]]:
    """Compile a move; one that is stored already with the same target and deadline is kept."""
    organisation, service = move["organisation"], move["service"]
    where = f"move of {organisation}/{service}"
    key = kinds.move_key(organisation, service)
    source = find_version(organisation, service, wanted, held, where)
    deadline = move["deadline"].timestamp()
    stored = held[key].value if key in held else None
    if stored and stored["target"] == move["target"] and stored["deadline"] == deadline:
        return key, stored
    if stored and move_is_done(organisation, service, held):
        source = stored["target"]
    if source == move["target"]:
        raise Problem(
            ProblemKind.DECLARATION,
            f"{where}: the service is on version '{source}' already",
            "remove the move or name another target",
        )
    if deadline <= unix_time():
        raise Problem(
            ProblemKind.DECLARATION, f"{where}: the deadline is past", "give a later deadline"
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


def move_is_done(organisation: str, service: str, held: dict[str, StoredObject]) -> bool:
    """Whether the stored move of a service is done."""
    status = held.get(kinds.move_status_key(organisation, service))
    move = held[kinds.move_key(organisation, service)]
    if status is None or status.value is None:
        return False
    return status.value["spec_version"] == move.version and status.value["phase"] == "done"


def find_version(
    organisation: str,
    service: str,
    wanted: dict[str, dict[str, Any]],
    held: dict[str, StoredObject],
    where: str,
) -> str:
    """Version that a service is on by its declaration."""
    key = kinds.organisation_key(organisation)
    spec = wanted.get(key) or (held[key].value if key in held else None)
    for candidate in spec["services"] if spec else []:
        if candidate["name"] == service:
            return candidate["version"]
    raise Problem(
        ProblemKind.DECLARATION,
        f"{where}: there is no such service",
        "name an organisation and a service that are declared",
    )


async def apply(store: PlatformStore, changes: list[Change]) -> list[Applied]:
    """Write all changes of a plan, each on the version that the plan saw.

    Raises
    ------
    Problem
        Of kind ``conflict`` if someone else was faster: it says what changed.
    """
    applied = []
    for change in changes:
        if change.action != "keep":
            stored = await write(store, change)
            applied.append(Applied(change.key, change.action, stored.version))
    return applied


async def write(store: PlatformStore, change: Change) -> StoredObject:
    """Write one change; an answer that was lost is settled by reading back."""
    for attempt in range(WRITE_ATTEMPTS):
        try:
            return await store.put(change.key, change.after, change.expected)
        except Problem as problem:
            if problem.kind is not ProblemKind.CONFLICT and attempt == WRITE_ATTEMPTS - 1:
                raise
            lost = problem
        try:
            held = await store.get(change.key)
        except Problem:
            continue
        if held is not None and held.version > change.expected:
            if held.value == change.after and lost.kind is not ProblemKind.CONFLICT:
                return held
            if held.value == change.after and attempt > 0:
                return held
            raise conflict(change, held)
    raise Problem(
        ProblemKind.STORE,
        f"'{change.key}': the store gave no answer, so it is not known whether it was accepted",
        "run 'mimosahoist status' when the store answers again, then apply again",
    )


def conflict(change: Change, held: StoredObject) -> Problem:
    """Problem that says what another operator changed."""
    before = change.before or {}
    after = held.value or {}
    differing = sorted(name for name in {*before, *after} if before.get(name) != after.get(name))
    return Problem(
        ProblemKind.CONFLICT,
        f"'{change.key}' was changed by someone else to version {held.version};"
        f" keys that differ: {', '.join(differing) or 'none'}",
        "run 'mimosahoist plan' to see the new state, then apply again",
    )
