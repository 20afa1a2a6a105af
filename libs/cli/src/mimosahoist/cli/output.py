"""Output as aligned tables or JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    texts = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in texts) for column in range(len(header))]
    for row in texts:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())
