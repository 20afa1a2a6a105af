"""Splitting of JSON text into parts that are decoded one by one."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.core.json_text import split_array, split_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=12,
)


class JsonTextTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(VALUES, max_size=5))
    def test_elements_of_an_array(self, values: list[object]) -> None:
        parts = split_array(msgspec.json.encode(values))
        self.assertEqual([msgspec.json.decode(part) for part in parts], values)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.dictionaries(st.text(max_size=6), VALUES, max_size=5))
    def test_members_of_an_object(self, values: dict[str, object]) -> None:
        parts = split_object(msgspec.json.format(msgspec.json.encode(values), indent=2))
        self.assertEqual({key: msgspec.json.decode(part) for key, part in parts.items()}, values)

    def test_text_of_another_kind_is_an_error(self) -> None:
        for text in (b"", b"1", b"[1", b"{}", b"[[]", b"[}"):
            with self.subTest(text), self.assertRaises(ValueError):
                split_array(text)
        for text in (b"[]", b"{1:2}", b'{"a"}', b'{"\\ud800":1}', b'{"a":{}'):
            with self.subTest(text), self.assertRaises((ValueError, msgspec.DecodeError)):
                split_object(text)


if __name__ == "__main__":
    unittest.main()
