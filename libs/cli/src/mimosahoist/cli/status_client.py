"""Client for the status that entry instances report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from mimosahoist.core.json_text import DECODE_ERRORS

if TYPE_CHECKING:
    from mimosahoist.platform.store import PlatformStore

STATUS_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.1


class InstanceReport(NamedTuple):
    """A listed entry instance and its reported status, None if it did not answer."""

    name: str
    failure_domain: str
    listed_state: str
    status: dict[str, Any] | None

    def in_force(self, revision: int) -> bool:
        """Return whether the instance reports a revision as applied."""
        return self.status is not None and self.status["revision"] >= revision


class StatusClient:
    """Requests the status of entry instances over HTTP."""

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.client: CurlAsyncHTTPClient | None = None

    async def start(self) -> None:
        """Open the HTTP client."""
        self.client = CurlAsyncHTTPClient(max_clients=64, force_instance=True)

    async def close(self) -> None:
        """Close the HTTP client."""
        self.client.close()

    async def fetch_reports(self) -> list[InstanceReport]:
        """Return the status of every entry instance in the platform's list."""
        collection = await self.store.changes("instances", 0, 0.0)
        entries = [
            item
            for item in collection.objects
            if item.value is not None and item.value["role"] == "entry"
        ]
        return list(
            await asyncio.gather(*(self.fetch_report(item.key, item.value) for item in entries))
        )

    async def fetch_report(self, name: str, record: dict[str, Any]) -> InstanceReport:
        """Request the status of one instance."""
        url = f"http://{record['admin_address']}/status"
        request = HTTPRequest(
            url, request_timeout=STATUS_TIMEOUT_SECONDS, connect_timeout=STATUS_TIMEOUT_SECONDS
        )
        status = None
        try:
            response = await self.client.fetch(request)
            status = msgspec.json.decode(response.body)
        except (HTTPClientError, OSError, *DECODE_ERRORS):
            status = None
        return InstanceReport(name, record["failure_domain"], record["state"], status)

    async def wait(self, revision: int, seconds: float) -> list[InstanceReport]:
        """Poll until all listed instances have applied a revision or the time is up."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            reports = await self.fetch_reports()
            if all(item.in_force(revision) for item in reports) or loop.time() >= deadline:
                return reports
            await asyncio.sleep(POLL_SECONDS)
