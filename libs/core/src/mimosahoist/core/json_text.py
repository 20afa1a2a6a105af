"""JSON text from others: errors of decoding, and splitting, so that one odd part hides no other."""

from __future__ import annotations

import re

import msgspec

# For text that is malformed, out of range, not UTF-8 or nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
# Strings hold brackets and commas that separate nothing.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
KEY = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements.

    Raises
    ------
    ValueError
        If the text is not an array.
    """
    return split_parts(text, b"[", b"]")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values, by key.

    Raises
    ------
    ValueError
        If the text is not an object, or a key can't be decoded.
    """
    members = {}
    for part in split_parts(text, b"{", b"}"):
        key = KEY.match(part)
        if key is None:
            raise ValueError("a member of a JSON object has no key")
        members[msgspec.json.decode(key[1], type=str)] = part[key.end() :]
    return members


def split_parts(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return the texts between the outermost brackets that commas separate."""
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"JSON text is not enclosed in '{opening.decode()}{closing.decode()}'")
    parts = []
    depth = 0
    start = 1
    for token in TOKEN.finditer(text):
        symbol = token[0]
        if symbol in OPENING:
            depth += 1
        elif symbol in CLOSING:
            depth -= 1
        elif symbol == b"," and depth == 1:
            parts.append(text[start : token.start()])
            start = token.end()
    if depth:
        raise ValueError("the brackets of a JSON text are not balanced")
    last = text[start:-1]
    return [*parts, last] if parts or last.strip() else []
