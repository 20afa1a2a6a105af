"""HTTP client of the platform's object API."""

from __future__ import annotations

import urllib.parse
from typing import Any

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from mimosahoist.core.json_text import DECODE_ERRORS
from mimosahoist.core.problem import Problem, ProblemKind
from mimosahoist.platform.curl_client import ClosableCurlClient
from mimosahoist.platform.store import (
    Changes,
    Collection,
    PlatformStore,
    StoredObject,
    collection_of,
)

REQUEST_TIMEOUT_SECONDS = 2.0
WATCH_MARGIN_SECONDS = 2.0
MAX_CLIENTS = 64
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class HttpPlatformStore(PlatformStore):
    """`PlatformStore` over HTTP, with the protocol described in docs/INTERFACES.md."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self.client: ClosableCurlClient | None = None

    async def start(self) -> None:
        """Create the HTTP client on the running event loop."""
        self.client = ClosableCurlClient(max_clients=MAX_CLIENTS, force_instance=True)

    async def close(self) -> None:
        """Close the HTTP client."""
        if self.client is not None:
            self.client.close()

    async def fetch(self, path: str, timeout: float, method: str, body: Any) -> HTTPResponse:
        """Send one request and return its response.

        Raises
        ------
        Problem
            Of kind ``store-unavailable`` if the request fails or its status is an error other
            than 404 and 409.
        """
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=msgspec.json.encode(body) if body is not None else None,
            request_timeout=timeout,
            connect_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            raise unavailable_problem(str(error)) from error
        if response.code in (STATUS_NOT_FOUND, STATUS_CONFLICT) or response.code < 300:
            return response
        raise unavailable_problem(f"status {response.code}")

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        path = object_path(key)
        response = await self.fetch(path, REQUEST_TIMEOUT_SECONDS, "GET", None)
        if response.code == STATUS_NOT_FOUND:
            return None
        return decode(response.body, StoredObject)

    async def put(self, key: str, value: dict[str, Any] | None, expected: int) -> StoredObject:
        """Write an object if its version is `expected`."""
        path = object_path(key)
        body = {"value": value, "expected": expected}
        response = await self.fetch(path, REQUEST_TIMEOUT_SECONDS, "PUT", body)
        if response.code == STATUS_CONFLICT:
            raise conflict_problem(key)
        return decode(response.body, StoredObject)

    async def changes(self, collection: Collection, since: int, wait: float) -> Changes:
        """Return changes after a revision, waiting up to `wait` seconds for the first."""
        path = f"/v1/changes/{collection}?since={since}&wait={wait:g}"
        response = await self.fetch(path, wait + WATCH_MARGIN_SECONDS, "GET", None)
        return decode(response.body, Changes)


def object_path(key: str) -> str:
    """Return the URL path of an object."""
    return f"/v1/{collection_of(key)}/{urllib.parse.quote(key, safe='')}"


def decode(body: bytes, kind: type) -> Any:
    """Decode a response body of the store."""
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise unavailable_problem(f"malformed response: {error}") from error


def unavailable_problem(reason: str) -> Problem:
    """Return the problem for a store request without a usable response."""
    return Problem(
        ProblemKind.STORE,
        f"platform store unavailable ({reason})",
        "retry; a write may have taken effect, so read the object first",
    )


def conflict_problem(key: str) -> Problem:
    """Return the problem for a write whose expected version is outdated."""
    return Problem(
        ProblemKind.CONFLICT,
        f"'{key}' was changed by another writer",
        "read the current version, review what changed, and apply again",
    )
