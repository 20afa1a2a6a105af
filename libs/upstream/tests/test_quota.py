from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.upstream.quota import ShareView, leads, share_of

SIZE = 8


def view(index: int | None, held: frozenset[int]) -> ShareView:
    made = ShareView(SIZE)
    made.assign(index, held)
    return made


HELD = st.frozensets(st.integers(0, SIZE - 1))


class ShareTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(st.integers(SIZE, 200), st.lists(HELD, min_size=SIZE, max_size=SIZE), st.text())
    def test_sum_never_exceeds_a_total_whatever_each_believes(
        self, total: int, beliefs: list[frozenset[int]], key: str
    ) -> None:
        shares = [share_of(total, key, view(index, beliefs[index])) for index in range(SIZE)]
        self.assertEqual(sum(shares), total)

    @settings(derandomize=True, max_examples=300)
    @given(st.integers(1, SIZE - 1), HELD, st.text())
    def test_small_total_goes_to_held_shares(
        self, total: int, held: frozenset[int], key: str
    ) -> None:
        shares = [share_of(total, key, view(index, held)) for index in held]
        self.assertEqual(sum(shares), min(total, len(held)))

    @settings(derandomize=True)
    @given(HELD.filter(bool), st.text())
    def test_one_share_leads(self, held: frozenset[int], key: str) -> None:
        self.assertEqual(sum(leads(key, view(index, held)) for index in held), 1)

    def test_instance_without_share_may_send_nothing(self) -> None:
        self.assertEqual(share_of(100, "u", view(None, frozenset(range(SIZE)))), 0)
