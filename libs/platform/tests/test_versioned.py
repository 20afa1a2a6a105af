from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosahoist.platform.store import Changes, StoredObject
from mimosahoist.platform.versioned import VersionedCopy

KEYS = st.sampled_from(["a", "b", "c"])


def history(keys: list[str]) -> list[StoredObject]:
    return [StoredObject(key, number, {"n": number}) for number, key in enumerate(keys, 1)]


class VersionedCopyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(KEYS, min_size=1, max_size=20),
        st.lists(st.tuples(st.integers(0, 20), st.integers(0, 20)), max_size=30),
    )
    def test_changes_in_any_order_never_lower_the_revision_or_leave_a_gap(
        self, keys: list[str], ranges: list[tuple[int, int]]
    ) -> None:
        events = history(keys)
        copy = VersionedCopy()
        for start, end in ranges:
            start, end = min(start, end, len(events)), min(max(start, end), len(events))
            latest: dict[str, StoredObject] = {}
            for item in events[start:end]:
                latest[item.key] = item
            before = copy.revision
            copy.merge(Changes(start, end, list(latest.values())))
            self.assertGreaterEqual(copy.revision, before)
            expected = {item.key: item for item in events[: copy.revision]}
            self.assertEqual(copy.objects, expected)

    def test_deleted_object_stays_deleted(self) -> None:
        copy = VersionedCopy()
        copy.merge(Changes(0, 2, [StoredObject("a", 2, None)]))
        copy.merge(Changes(0, 1, [StoredObject("a", 1, {"n": 1})]))
        self.assertIsNone(copy.value("a"))
