from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.upstream.quota import ShareView, instance_limit, is_leader

SIZE = 8


def view(index: int | None, held: frozenset[int]) -> ShareView:
    share_view = ShareView(SIZE)
    share_view.assign(index, held)
    return share_view


HELD = st.frozensets(st.integers(0, SIZE - 1))


class ShareTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(st.integers(SIZE, 200), st.lists(HELD, min_size=SIZE, max_size=SIZE), st.text())
    def test_limits_add_up_to_the_total_for_any_views_of_the_table(
        self, total: int, held_sets: list[frozenset[int]], key: str
    ) -> None:
        shares = [
            instance_limit(total, key, view(index, held_sets[index])) for index in range(SIZE)
        ]
        self.assertEqual(sum(shares), total)

    @settings(derandomize=True, max_examples=300)
    @given(st.integers(1, SIZE - 1), HELD, st.text())
    def test_small_total_is_given_to_held_shares(
        self, total: int, held: frozenset[int], key: str
    ) -> None:
        shares = [instance_limit(total, key, view(index, held)) for index in held]
        self.assertEqual(sum(shares), min(total, len(held)))

    @settings(derandomize=True)
    @given(HELD.filter(bool), st.text())
    def test_exactly_one_held_share_is_leader(self, held: frozenset[int], key: str) -> None:
        self.assertEqual(sum(is_leader(key, view(index, held)) for index in held), 1)

    def test_instance_without_share_has_limit_zero(self) -> None:
        self.assertEqual(instance_limit(100, "u", view(None, frozenset(range(SIZE)))), 0)
