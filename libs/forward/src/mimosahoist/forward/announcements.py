"""What an upstream announces about itself in its responses; does no I/O.

Answers the load on an upstream in need: it announces, in each response for as long as that applies,
the rate of requests that it accepts from all instances together. It also announces that it is
about to leave, which holds whatever the store says. Instances exchange what they learn, since one
that calls the upstream rarely would learn it late. An upstream that refuses a call may ask the
instance that made it to wait, which concerns no other instance.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from mimosahoist.core.decimal_text import parse_decimal
from mimosahoist.peers.facts import FactKind

ANNOUNCEMENT_PREFIX = "announced/"
# Upstreams that are gone leave their facts behind for this long.
ANNOUNCEMENT_TTL_SECONDS = 600.0
# No upstream serves this many requests per second, so a greater limit is an error of the upstream.
MAX_LIMIT_PER_SECOND = 1e6
# An upstream may compute its limit anew for each response, and every change is sent to all
# instances: small ones are ignored, and a limit that alternates is not followed upwards each time.
IGNORED_CHANGE_SHARE = 0.1
MIN_SECONDS_TO_RISE = 1.0
MAX_REMEMBERED_UPSTREAMS = 2000
# An upstream that needs longer is replaced by its operators, so a longer wait is an error.
MAX_WAIT_SECONDS = 300.0
# Instances that were asked to wait at the same time return over this share of the wait.
RETURN_SPREAD_SHARE = 0.2
MAX_RETURN_SPREAD_SECONDS = 2.0


class MalformedAnnouncement(ValueError):
    """The value of an announcement is not usable; correct the upstream's response header."""


class Announcement(NamedTuple):
    """What one start of an upstream last announced, in the form that instances exchange.

    Attributes
    ----------
    started_at_ms : int
        Unix time in milliseconds at which the upstream started.
    sequence : int
        Number of changes since then that an instance has seen in responses.
    limit : float or None
        Requests per second that it accepts from all instances together; None if unlimited.
    leaving : bool
        Whether it is about to leave, which it never takes back.
    """

    started_at_ms: int
    sequence: int = 0
    limit: float | None = None
    leaving: bool = False

    @property
    def rank(self) -> tuple[int, int, float]:
        """Order in which limits replace each other; of two changes the lower limit wins."""
        return self.started_at_ms, self.sequence, -(math.inf if self.limit is None else self.limit)

    def joined_with(self, other: Announcement) -> Announcement:
        """Combine what two instances learnt."""
        latest = max(self, other, key=lambda announcement: announcement.rank)
        same_start = [item for item in (self, other) if item.started_at_ms == latest.started_at_ms]
        return latest._replace(leaving=any(item.leaving for item in same_start))


class AnnouncementFacts(FactKind):
    """Announcements by name of the upstream, each with the Unix time at which it expires."""

    prefix = ANNOUNCEMENT_PREFIX

    def valid(self, value: Any) -> bool:
        """Whether a received value is well-formed."""
        if not isinstance(value, list | tuple) or len(value) != len(Announcement._fields) + 1:
            return False
        started_at_ms, sequence, limit, leaving, expires_at = value
        return (
            isinstance(started_at_ms, int)
            and isinstance(sequence, int)
            and (limit is None or is_limit(limit))
            and isinstance(leaving, bool)
            and isinstance(expires_at, int | float)
        )

    def join(self, held: Any, received: Any) -> Any:
        """Combine two announcements."""
        announcements = [Announcement(*value[:-1]) for value in (held, received)]
        return [*announcements[0].joined_with(announcements[1]), max(held[-1], received[-1])]

    def expired(self, value: Any, at: float) -> bool:
        """Whether an announcement has expired at a Unix time."""
        return at > value[-1]


class UpstreamAnnouncements:
    """What one upstream has announced, as far as this instance knows.

    Responses cross: one that was produced before a limit may arrive after it. A limit therefore
    ends or rises only by the response to a call that started after it was last confirmed.

    Attributes
    ----------
    confirmed_at : float
        Loop time in seconds at which the present announcement was last received.
    changed_at : float
        Loop time in seconds at which a response last changed the limit.
    malformed_values : int
        Number of values that were ignored.
    """

    def __init__(self, started_at_ms: int) -> None:
        self.current = Announcement(started_at_ms)
        self.confirmed_at = 0.0
        self.changed_at = -math.inf
        self.malformed_values = 0

    @property
    def limit(self) -> float | None:
        """Requests per second accepted from all instances together; None if unlimited."""
        return self.current.limit

    def record_limit(self, limit: float | None, call_started: float, at: float) -> bool:
        """Apply the limit that a response announced, None for no limit; return if it changed.

        Parameters
        ----------
        call_started, at : float
            Loop times in seconds of the call and of its response.
        """
        if is_similar_limit(limit, self.limit):
            self.confirmed_at = at
            return False
        is_lower = limit is not None and (self.limit is None or limit < self.limit)
        may_rise = call_started >= self.confirmed_at and at >= self.changed_at + MIN_SECONDS_TO_RISE
        if not is_lower and not may_rise:
            return False
        self.current = self.current._replace(sequence=self.current.sequence + 1, limit=limit)
        self.confirmed_at = at
        self.changed_at = at
        return True

    def record_leaving(self) -> bool:
        """Record that a response announced the departure; return whether that is new."""
        if self.current.leaving:
            return False
        self.current = self.current._replace(leaving=True)
        return True

    def merge(self, received: Announcement, at: float) -> bool:
        """Apply what another instance learnt; return whether anything changed."""
        if received.started_at_ms != self.current.started_at_ms:
            return False
        joined = self.current.joined_with(received)
        if joined == self.current:
            return False
        if joined.rank != self.current.rank:
            self.confirmed_at = at
        self.current = joined
        return True


class AnnouncedWait:
    """Time for which an upstream asked this instance to send nothing, and the return after it.

    After the wait one call at a time is allowed, then twice as many after each that is served,
    until the upstream has shown that it takes as many as it has slots.

    Attributes
    ----------
    phase : float
        Place of this instance among those that return, from 0 to 1.
    until : float
        Loop time in seconds before which nothing is sent.
    max_calls : int or None
        Maximum number of concurrent calls during the return; None if it is complete.
    """

    def __init__(self, phase: float = 0.0) -> None:
        self.phase = phase
        self.until = 0.0
        self.max_calls: int | None = None

    def record(self, seconds: float, at: float) -> bool:
        """Record that a response asked for a wait; return whether it lasts longer than before."""
        wait = min(seconds, MAX_WAIT_SECONDS)
        spread = min(MAX_RETURN_SPREAD_SECONDS, RETURN_SPREAD_SHARE * wait)
        until = at + wait + spread * self.phase
        if wait <= 0.0 or until <= self.until:
            return False
        self.until = until
        self.max_calls = 1
        return True

    def allows(self, at: float, calls: int) -> bool:
        """Whether another call may be sent besides the present ones."""
        return at >= self.until and (self.max_calls is None or calls < self.max_calls)

    def record_served(self, at: float, slots: int) -> None:
        """Allow more calls after one was answered; one from before the wait says nothing."""
        if self.max_calls is None or at < self.until:
            return
        self.max_calls *= 2
        if self.max_calls > slots:
            self.max_calls = None


class RememberedAnnouncements:
    """Announcements of upstreams that are not listed, by name.

    Another instance may learn of an upstream before it is listed here, and an entry may expire and
    return while its upstream runs on.
    """

    def __init__(self) -> None:
        self.announcements: dict[str, Announcement] = {}
        self.waits: dict[str, tuple[int, AnnouncedWait]] = {}

    def add(self, name: str, announcement: Announcement) -> None:
        """Remember what an upstream announced."""
        held = self.announcements.pop(name, announcement)
        self.announcements[name] = held.joined_with(announcement)
        remove_oldest(self.announcements)

    def add_wait(self, name: str, started_at_ms: int, wait: AnnouncedWait) -> None:
        """Remember for how long a start of an upstream asked this instance to wait."""
        self.waits.pop(name, None)
        self.waits[name] = (started_at_ms, wait)
        remove_oldest(self.waits)

    def take(self, name: str) -> Announcement | None:
        """Return and forget what an upstream announced."""
        return self.announcements.pop(name, None)

    def take_wait(self, name: str, started_at_ms: int) -> AnnouncedWait | None:
        """Return and forget the wait that a start of an upstream asked for."""
        started, wait = self.waits.pop(name, (None, None))
        return wait if started == started_at_ms else None


def remove_oldest(remembered: dict[str, Any]) -> None:
    """Bound the number of remembered upstreams."""
    if len(remembered) > MAX_REMEMBERED_UPSTREAMS:
        del remembered[next(iter(remembered))]


def is_limit(value: Any) -> bool:
    """Whether a value can be a limit in requests per second."""
    return isinstance(value, int | float) and 0.0 <= value <= MAX_LIMIT_PER_SECOND


def is_similar_limit(limit: float | None, other: float | None) -> bool:
    """Whether two limits differ so little that the difference is not worth a message."""
    if limit is None or other is None:
        return limit is other
    return abs(limit - other) <= IGNORED_CHANGE_SHARE * other


def parse_number(value: str) -> float:
    """Parse the value of an announcement, such as a limit in requests per second.

    Raises
    ------
    MalformedAnnouncement
        If the value is not a decimal number, or is negative or greater than any limit.
    """
    number = parse_decimal(value)
    if number is None:
        raise MalformedAnnouncement(f"not a number: '{value}'")
    if not 0.0 <= number <= MAX_LIMIT_PER_SECOND:
        raise MalformedAnnouncement(f"not between 0 and {MAX_LIMIT_PER_SECOND:.0f}: '{value}'")
    return number
