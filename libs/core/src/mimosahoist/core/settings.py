"""Loading and validation of TOML settings."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints, is_typeddict

import msgspec

from mimosahoist.core.problem import Problem, ProblemKind

SettingsType = TypeVar("SettingsType")


def load_toml(path: str) -> dict[str, Any]:
    """Read a TOML file.

    Parameters
    ----------
    path : str
        Path of the file.

    Raises
    ------
    Problem
        If the file cannot be read or is not valid TOML.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise Problem(
            ProblemKind.SETTINGS,
            f"{path}: cannot read the file ({error.strerror})",
            "check the path",
        ) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise Problem(
            ProblemKind.SETTINGS,
            f"{path}: invalid TOML ({error})",
            "correct the syntax at that position",
        ) from error


def validate(table: dict[str, Any], schema: type[SettingsType], source: str) -> SettingsType:
    """Validate a table against a TypedDict and convert it.

    Errors about unknown keys, wrong types and missing keys name the file, the key and the remedy.
    """
    reject_unknown_keys(table, schema, source, "")
    try:
        return msgspec.convert(table, schema)
    except msgspec.ValidationError as error:
        raise Problem(
            ProblemKind.SETTINGS,
            f"{source}: {error}",
            "add the missing key or correct the value's type",
        ) from error


def reject_unknown_keys(table: dict[str, Any], schema: Any, source: str, prefix: str) -> None:
    """Raise a Problem for the first key that the TypedDict or a nested one does not define."""
    hints = get_type_hints(schema)
    for key, value in table.items():
        if key not in hints:
            known = ", ".join(sorted(hints))
            raise Problem(
                ProblemKind.SETTINGS,
                f"{source}: unknown key '{prefix}{key}'",
                f"remove it or use one of: {known}",
            )
        reject_unknown_nested(value, hints[key], source, f"{prefix}{key}")


def reject_unknown_nested(value: Any, hint: Any, source: str, path: str) -> None:
    """Check the keys of nested tables, tables of tables and lists of tables."""
    if is_typeddict(hint) and isinstance(value, dict):
        reject_unknown_keys(value, hint, source, f"{path}.")
    elif get_origin(hint) is dict and isinstance(value, dict):
        for name, item in value.items():
            reject_unknown_nested(item, get_args(hint)[1], source, f"{path}.{name}")
    elif get_origin(hint) is list and isinstance(value, list):
        for index, item in enumerate(value):
            reject_unknown_nested(item, get_args(hint)[0], source, f"{path}[{index}]")


def load(path: str, schema: type[SettingsType]) -> SettingsType:
    """Read and validate a settings file."""
    return validate(load_toml(path), schema, path)
