"""Names of the headers that the forwarding core reads and sets, and hop-by-hop rules."""

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
    """Header names of the deployment, by what the headers hold.

    Attributes
    ----------
    request_id : str
        Identity of one attempt of a caller; upstreams echo it.
    time_left : str
        Milliseconds that the caller still waits.
    wanted_upstream : str
        Name of the only upstream that may run the request.
    signature : str
        Proof of an upstream that it answered this request.
    part_signatures : str
        Signatures of the parts in a gathered answer.
    missing_parts : str
        Number of shards that a gathered answer leaves out.
    not_run : str
        Present if an upstream did not run the request.
    load : str
        Running requests, waiting requests and slots of an upstream.
    cold_left : str
        Milliseconds for which an upstream stays cold.
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


def end_to_end(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    """Copy of headers without those that concern only one connection, and without `dropped`.

    Parameters
    ----------
    dropped : frozenset of str
        Further names in lower case.
    """
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named and lower not in dropped:
            kept.add(name, value)
    return kept
