"""Substitution of template parameters."""

from __future__ import annotations

import string
from typing import Any

from mimosahoist.core.problem import Problem, ProblemKind


def substitute(value: Any, parameters: dict[str, Any], location: str) -> Any:
    """Replace ``${name}`` in all strings of a value.

    A string that consists of a single placeholder is replaced by the parameter with its type.
    """
    if isinstance(value, dict):
        return {key: substitute(item, parameters, location) for key, item in value.items()}
    if isinstance(value, list):
        return [substitute(item, parameters, location) for item in value]
    if not isinstance(value, str):
        return value
    name = value.removeprefix("${").removesuffix("}")
    if value == "${" + name + "}" and name in parameters:
        return parameters[name]
    try:
        return string.Template(value).substitute(parameters)
    except (KeyError, ValueError) as error:
        raise Problem(
            ProblemKind.DECLARATION,
            f"{location}: '{value}' refers to an unknown parameter",
            "declare it in the template's 'parameters' and set its value",
        ) from error


def check_parameters(declared: list[str], given: dict[str, Any], location: str) -> None:
    """Raise a Problem unless exactly the declared parameters are given."""
    missing = sorted(set(declared) - set(given))
    extra = sorted(set(given) - set(declared))
    if missing or extra:
        raise Problem(
            ProblemKind.DECLARATION,
            f"{location}: parameters missing: {missing}, unknown: {extra}",
            "set exactly the parameters that the template declares",
        )
