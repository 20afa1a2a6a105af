"""Decimal numbers in text from others, such as header values and settings.

`str.isdigit`, `int` and `float` also take digits of other scripts, which a spoiled byte of a header
can look like, besides signs, spaces, underscores and words; `int` raises for superscript digits and
for thousands of digits.
"""

from __future__ import annotations

import re

# Numbers of so many digits are exact as floating point numbers too.
MAX_INTEGER_DIGITS = 15
MAX_INTEGER = 10**MAX_INTEGER_DIGITS - 1
INTEGER = re.compile(rf"[0-9]{{1,{MAX_INTEGER_DIGITS}}}")
DECIMAL = re.compile(r"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?")


def parse_integer(text: str, maximum: int = MAX_INTEGER) -> int | None:
    """Return the integer that ASCII digits denote; None if they denote none up to `maximum`.

    Spaces around the digits are ignored.
    """
    text = text.strip(" \t")
    if not INTEGER.fullmatch(text):
        return None
    number = int(text)
    return number if number <= maximum else None


def parse_decimal(text: str) -> float | None:
    """Return the number that a text denotes in decimal notation; None if it denotes none.

    Spaces around the number are ignored. A number that is too large for a float is infinite.
    """
    text = text.strip(" \t")
    return float(text) if DECIMAL.fullmatch(text) else None
