"""Names of the headers used in forwarding, and removal of hop-by-hop headers."""

from __future__ import annotations

from typing import NamedTuple

from tornado.httputil import HTTPHeaders

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)


class HeaderNames(NamedTuple):
    """Header names of a deployment, which may differ from the defaults.

    Attributes
    ----------
    request_id : str
        ID of one attempt of a caller; upstreams echo it.
    time_left : str
        Milliseconds for which the caller still waits.
    wanted_upstream : str
        Name of the only upstream that may run the request.
    signature : str
        Signature by which an upstream proves that it answered this request.
    part_signatures : str
        Signatures of the parts of a gathered answer.
    missing_parts : str
        Number of shards missing from a gathered answer.
    not_run : str
        Present if the upstream did not run the request.
    load : str
        Number of running requests, queued requests and slots of an upstream.
    cold_left : str
        Milliseconds for which the upstream remains cold.
    limit : str
        Requests per second that the upstream accepts from all instances together.
    leaving : str
        A number other than 0 if the upstream is about to leave.
    organisation : str
        Name of the organisation that a caller's key belongs to.
    key_scheme : str
        Scheme of the ``Authorization`` header with which callers send their keys.
    """

    request_id: str = "X-Request-Id"
    time_left: str = "X-Time-Left"
    wanted_upstream: str = "X-Wanted-Upstream"
    signature: str = "X-Signature"
    part_signatures: str = "X-Part-Signatures"
    missing_parts: str = "X-Missing-Parts"
    not_run: str = "X-Not-Run"
    load: str = "X-Load"
    cold_left: str = "X-Cold-Left"
    limit: str = "X-Limit"
    leaving: str = "X-Leaving"
    organisation: str = "X-Organisation"
    key_scheme: str = "Bearer"


def end_to_end_headers(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    """Copy headers without hop-by-hop ones, those named in ``Connection`` and `dropped`.

    Parameters
    ----------
    dropped : frozenset of str
        Additional names to remove, in lower case.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named and lower not in dropped:
            kept.add(name, value)
    return kept
