"""Decimal numbers in text from others: only plain ASCII notation denotes a number."""

from __future__ import annotations

import math
import unittest

from mimosahoist.core.decimal_text import parse_decimal, parse_integer

MAXIMUM = 10**9
NO_NUMBERS = [
    "",
    " ",
    "x",
    "³",
    "1³",
    "٣",
    "¹",
    "1_000",
    "1,0",
    "nan",
    "inf",
    "0x1",
    "1 2",
    "1\n",
    "--1",
]


class DecimalTextTest(unittest.TestCase):
    def test_text_that_is_no_number_raises_nothing(self) -> None:
        for text in [*NO_NUMBERS, "9" * 5000, "-1", "+1", "1.0", "1e3", "1000000001"]:
            with self.subTest(text[:20]):
                self.assertIsNone(parse_integer(text, MAXIMUM))
        for text in NO_NUMBERS:
            with self.subTest(text):
                self.assertIsNone(parse_decimal(text))

    def test_integers(self) -> None:
        for text, number in {"0": 0, "007": 7, " 42\t": 42, "1000000000": MAXIMUM}.items():
            with self.subTest(text):
                self.assertEqual(parse_integer(text, MAXIMUM), number)

    def test_decimals(self) -> None:
        for text, number in {"0": 0.0, "1.5": 1.5, ".5": 0.5, "2.": 2.0, "-1e3": -1e3}.items():
            with self.subTest(text):
                self.assertEqual(parse_decimal(text), number)
        self.assertEqual(parse_decimal("9" * 5000), math.inf)
