"""Compilation of declarations into objects of the platform's store."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from mimosahoist.core import settings
from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.declare.schema import Declarations
from mimosahoist.declare.template import check_parameters, substitute
from mimosahoist.platform import kinds

if TYPE_CHECKING:
    from mimosahoist.declare.schema import MoveTable, OrganisationTable

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PRIORITY = 9
SERVICE_DEFAULTS: dict[str, Any] = {
    "queue": 12,
    "linger_ms": 5000,
    "cold_concurrency": 1,
    "soft_timeout_share": 0.8,
    "idempotent": False,
    "canary": True,
}


class Compiled(NamedTuple):
    """Objects compiled from declarations, by key.

    Moves are separate, because compiling them requires the stored objects.
    """

    objects: dict[str, dict[str, Any]]
    moves: list[MoveTable]


def compile_file(path: str) -> Compiled:
    """Compile a declarations file.

    Raises
    ------
    Problem
        If the file is invalid; the error names file, key and remedy.
    """
    table = settings.load_toml(path)
    declarations = settings.validate(table, Declarations, path)
    objects: dict[str, dict[str, Any]] = {}
    for name, organisation in declarations.get("organisation", {}).items():
        spec = compile_organisation(name, organisation, declarations, path)
        objects[kinds.organisation_key(name)] = dict(spec)
    for name, domain in declarations.get("failure-domain", {}).items():
        check_name(name, f"{path}: failure-domain.{name}")
        spec = kinds.FailureDomainSpec(name=name, out=domain["out"])
        objects[kinds.failure_domain_key(name)] = dict(spec)
    return Compiled(objects, declarations.get("move", []))


def compile_organisation(
    name: str, table: OrganisationTable, declarations: Declarations, path: str
) -> kinds.OrganisationSpec:
    """Compile one organisation from its template."""
    location = f"{path}: organisation.{name}"
    check_name(name, location)
    template = declarations.get("template", {}).get(table["template"])
    if template is None:
        raise declaration_problem(
            location, f"template '{table['template']}' does not exist", "declare the template"
        )
    parameters = table.get("parameters", {})
    check_parameters(template["parameters"], parameters, location)
    content = {
        "name": name,
        "preference": template["preference"],
        "callers": table["callers"],
        "services": [{**SERVICE_DEFAULTS, **service} for service in template["services"]],
    }
    spec = convert_organisation(
        substitute(content, parameters, location), kinds.OrganisationSpec, location
    )
    check_callers(spec, location)
    check_services(spec, location)
    return spec


def convert_organisation(value: dict[str, Any], kind: Any, location: str) -> Any:
    """Validate the keys and types of a compiled organisation and convert it."""
    for index, service in enumerate(value["services"]):
        settings.reject_unknown_keys(service, kinds.ServiceSpec, location, f"services[{index}].")
    for index, caller in enumerate(value["callers"]):
        settings.reject_unknown_keys(caller, kinds.CallerSpec, location, f"callers[{index}].")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise declaration_problem(
            location, str(error), "correct that key in the template or parameters"
        ) from error


def check_callers(spec: kinds.OrganisationSpec, location: str) -> None:
    """Validate an organisation's callers."""
    names = [caller["name"] for caller in spec["callers"]]
    if len(set(names)) != len(names) or not names:
        raise declaration_problem(
            location,
            "at least one caller is required, and names must be distinct",
            "rename or add a caller",
        )
    for caller in spec["callers"]:
        if not SHA256_PATTERN.fullmatch(caller["token_sha256"]):
            raise declaration_problem(
                location,
                f"caller '{caller['name']}': token_sha256 is not a hexadecimal SHA-256 digest",
                "use the output of 'mimosahoist token-hash'",
            )
        if not 0 <= caller["priority"] <= MAX_PRIORITY:
            raise declaration_problem(
                location, f"caller '{caller['name']}': priority is not within 0 to 9", "use 0 to 9"
            )


def check_services(spec: kinds.OrganisationSpec, location: str) -> None:
    """Validate an organisation's services."""
    names = [service["name"] for service in spec["services"]]
    if len(set(names)) != len(names) or not names:
        raise declaration_problem(
            location,
            "at least one service is required, and names must be distinct",
            "rename or add a service",
        )
    for service in spec["services"]:
        service_location = f"{location}: service '{service['name']}'"
        check_name(service["name"], service_location)
        for key in ("slots", "connections", "cold_concurrency"):
            if service[key] < 1:
                raise declaration_problem(
                    service_location,
                    f"{key} is below 1",
                    f"set {key} to what an upstream can handle",
                )
        for key in ("queue", "connect_ms", "linger_ms"):
            if service[key] < 0:
                raise declaration_problem(
                    service_location, f"{key} is negative", f"set {key} to 0 or more"
                )
        if service["cold_concurrency"] > service["slots"] + service["queue"]:
            raise declaration_problem(
                service_location,
                "cold_concurrency exceeds slots plus queue",
                "lower cold_concurrency",
            )
        if not 0 < service["soft_timeout_share"] <= 1:
            raise declaration_problem(
                service_location, "soft_timeout_share is not within (0, 1]", "use a share like 0.8"
            )


def check_name(name: str, location: str) -> None:
    """Raise a Problem unless a name is well-formed."""
    if not NAME_PATTERN.fullmatch(name):
        raise declaration_problem(
            location,
            f"'{name}' is not a valid name",
            "use a-z, 0-9 and '-', starting with a letter",
        )


def declaration_problem(location: str, message: str, remedy: str) -> Problem:
    """Return the Problem for an invalid declaration."""
    return Problem(ProblemKind.DECLARATION, f"{location}: {message}", remedy)
