"""Membership records and the rules for merging them."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

from mimosahoist.peers.facts import FactKind

MEMBER_PREFIX = "member/"
OBSERVED_PREFIX = "observed/"
GONE_RETENTION_SECONDS = 600.0


class MemberState(enum.IntEnum):
    """State of a member; within one incarnation the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """Record of a member, published by itself or by members that cannot reach it.

    `since` is the Unix time at which the state was declared.
    """

    incarnation: int
    state: int
    peer_address: str
    http_address: str
    failure_domain: str
    since: float

    @property
    def reachable(self) -> bool:
        """Whether the member is alive or suspect, and so takes part in the exchange."""
        return self.state <= MemberState.SUSPECT


class MemberFacts(FactKind):
    """Member records; the later incarnation wins, then the greater state, then the earlier time."""

    prefix = MEMBER_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a record has the expected types and length."""
        if not isinstance(value, list | tuple) or len(value) != len(Member._fields):
            return False
        incarnation, state, *strings, since = value
        numbers_valid = isinstance(incarnation, int) and state in iter(MemberState)
        is_time = isinstance(since, int | float) and since >= 0
        return numbers_valid and is_time and all(isinstance(text, str) for text in strings)

    def join(self, held: Any, received: Any) -> Any:
        """Return the record that wins."""
        return max(held, received, key=lambda value: (value[0], value[1], -value[5]))

    def expired(self, value: Any, at: float) -> bool:
        """Return whether the member has been gone for longer than the retention period."""
        return value[1] >= MemberState.DEAD and at - value[5] > GONE_RETENTION_SECONDS


class ObservedFacts(FactKind):
    """Store revision that each member has applied: (incarnation, revision), the greater wins."""

    prefix = OBSERVED_PREFIX

    def valid(self, value: Any) -> bool:
        """Return whether a record has the expected types and length."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 2
            and all(isinstance(item, int) for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Return the greater pair."""
        return max(list(held), list(received))
