"""Checked TOML settings."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec

from mimosahoist.core.problem import Problem, ProblemKind

SettingsType = TypeVar("SettingsType")


def load_toml(path: str) -> dict[str, Any]:
    """Read a TOML file.

    Parameters
    ----------
    path : str
        The file's path.

    Raises
    ------
    Problem
        If the file cannot be read or is no TOML.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise Problem(
            ProblemKind.SETTINGS, f"{path}: cannot be read ({error.strerror})", "check the path"
        ) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise Problem(
            ProblemKind.SETTINGS, f"{path}: is not TOML ({error})", "correct that line"
        ) from error


def check(table: dict[str, Any], kind: type[SettingsType], source: str) -> SettingsType:
    """Check a table against a TypedDict.

    Unknown keys, wrong types and missing keys are errors that name file, key and remedy.
    """
    reject_unknown_keys(table, kind, source, "")
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        raise Problem(
            ProblemKind.SETTINGS,
            f"{source}: {error}",
            "add the missing key or correct the value's type",
        ) from error


def reject_unknown_keys(table: dict[str, Any], kind: Any, source: str, prefix: str) -> None:
    """Raise a Problem for the first key that a TypedDict does not know."""
    hints = get_type_hints(kind)
    for key, value in table.items():
        if key not in hints:
            known = ", ".join(sorted(hints))
            raise Problem(
                ProblemKind.SETTINGS,
                f"{source}: unknown key '{prefix}{key}'",
                f"remove it or use one of: {known}",
            )
        nested = hints[key]
        if isinstance(value, dict) and hasattr(nested, "__total__"):
            reject_unknown_keys(value, nested, source, f"{prefix}{key}.")


def load(path: str, kind: type[SettingsType]) -> SettingsType:
    """Read and check a settings file."""
    return check(load_toml(path), kind, path)
