"""Schema of a declarations file."""

from __future__ import annotations

import datetime
from typing import Any, NotRequired, TypedDict


class TemplateTable(TypedDict):
    """A template for organisations."""

    parameters: list[str]
    preference: str
    services: list[dict[str, Any]]


class OrganisationTable(TypedDict):
    """An organisation created from a template."""

    template: str
    parameters: NotRequired[dict[str, Any]]
    callers: list[dict[str, Any]]


class FailureDomainTable(TypedDict):
    """A failure domain; `out` is true while it is drained."""

    out: bool


class MoveTable(TypedDict):
    """A move of a service to a new version."""

    organisation: str
    service: str
    target: str
    deadline: datetime.datetime


Declarations = TypedDict(
    "Declarations",
    {
        "template": NotRequired[dict[str, TemplateTable]],
        "organisation": NotRequired[dict[str, OrganisationTable]],
        "failure-domain": NotRequired[dict[str, FailureDomainTable]],
        "move": NotRequired[list[MoveTable]],
    },
)
