"""Form of a declarations file."""

from __future__ import annotations

import datetime
from typing import Any, NotRequired, TypedDict


class TemplateTable(TypedDict):
    """A template of organisations."""

    parameters: list[str]
    preference: str
    services: list[dict[str, Any]]


class OrganisationTable(TypedDict):
    """An organisation made from a template."""

    template: str
    parameters: NotRequired[dict[str, Any]]
    callers: list[dict[str, Any]]


class FailureDomainTable(TypedDict):
    """A failure domain, in or out."""

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
