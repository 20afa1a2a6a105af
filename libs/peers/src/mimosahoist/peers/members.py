"""Facts about members."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

from mimosahoist.peers.facts import FactKind

MEMBER_PREFIX = "member/"
OBSERVED_PREFIX = "observed/"
GONE_RETENTION_SECONDS = 600.0


class MemberState(enum.IntEnum):
    """States of a member; of one incarnation the greater wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """A member as told by itself or by those who miss it.

    `since` is the Unix time at which a suspect, dead or left state was declared.
    """

    incarnation: int
    state: int
    peer_address: str
    http_address: str
    failure_domain: str
    since: float

    @property
    def reachable(self) -> bool:
        """Whether the member takes part in the exchange."""
        return self.state <= MemberState.SUSPECT


class MemberFacts(FactKind):
    """Joins member records: later incarnation first, then the worse state."""

    prefix = MEMBER_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        if not isinstance(value, list | tuple) or len(value) != len(Member._fields):
            return False
        incarnation, state, *strings, since = value
        numbers_valid = isinstance(incarnation, int) and state in iter(MemberState)
        return numbers_valid and all(isinstance(text, str) for text in strings) and since >= 0

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later record."""
        return max(held, received, key=lambda value: (value[0], value[1], -value[5]))

    def expired(self, value: Any, at: float) -> bool:
        """Forget members that are gone for long."""
        return value[1] >= MemberState.DEAD and at - value[5] > GONE_RETENTION_SECONDS


class ObservedFacts(FactKind):
    """Store revision that each member has in force: incarnation and revision, greater wins."""

    prefix = OBSERVED_PREFIX

    def valid(self, value: Any) -> bool:
        """Check the form of a record."""
        return (
            isinstance(value, list | tuple)
            and len(value) == 2
            and all(isinstance(item, int) for item in value)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Keep the later pair."""
        return max(list(held), list(received))
