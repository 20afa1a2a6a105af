"""Parses the announcements in the headers of an upstream's response; does no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from mimosahoist.forward.announcements import MalformedAnnouncement, parse_number

if TYPE_CHECKING:
    from collections.abc import Mapping

    from mimosahoist.forward.headers import HeaderNames

WAIT_HEADER = "Retry-After"
STATUS_UNAVAILABLE = 503


class ResponseAnnouncements(NamedTuple):
    """What one response announces.

    Attributes
    ----------
    limit : float or None
        Requests per second; None if the response announces no limit.
    has_usable_limit : bool
        Whether `limit` can be applied; if not, its header is malformed.
    leaving : bool
        Whether the upstream is about to leave.
    wait : float
        Seconds for which the instance should send nothing; 0 if none are asked for.
    errors : list of str
        Reasons why headers were ignored.
    """

    limit: float | None
    has_usable_limit: bool
    leaving: bool
    wait: float
    errors: list[str]


def parse_announcements(
    status: int, headers: Mapping[str, str], names: HeaderNames
) -> ResponseAnnouncements:
    """Parse the announcements of a response; a malformed header affects no other one."""
    errors: list[str] = []
    considered = [names.limit, names.leaving]
    if status == STATUS_UNAVAILABLE:
        considered.append(WAIT_HEADER)
    announced = {
        name: parse_header(name, headers, errors) for name in considered if name in headers
    }
    return ResponseAnnouncements(
        announced.get(names.limit),
        announced.get(names.limit, 0.0) is not None,
        bool(announced.get(names.leaving)),
        announced.get(WAIT_HEADER) or 0.0,
        errors,
    )


def parse_header(name: str, headers: Mapping[str, str], errors: list[str]) -> float | None:
    """Parse one header; append the reason to `errors` and return None if it is malformed."""
    try:
        return parse_number(headers[name])
    except MalformedAnnouncement as error:
        errors.append(f"{name}: {error}")
        return None
