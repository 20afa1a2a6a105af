"""HTTP load generator for entry instances that verifies every answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from mimosahoist.core.metrics import Latency
from mimosahoist.lab.corpus import expected_hits
from mimosahoist.lab.deployment import caller_token

if TYPE_CHECKING:
    import random

CLIENT_MARGIN_SECONDS = 2.0
DISTINCT_QUERIES = 500


class SearchAnswer(NamedTuple):
    """A successful response to a search, with the parameters of the request."""

    service: str
    text: str
    limit: int
    body: dict[str, Any]
    seconds: float


class LoadResult:
    """Latencies, counts and answers collected by a load client."""

    def __init__(self) -> None:
        self.latency: dict[str, Latency] = {}
        self.counts: Counter[str] = Counter()
        self.answers: list[SearchAnswer] = []

    def record(self, service: str, seconds: float) -> None:
        """Record the latency of a request to a service."""
        self.latency.setdefault(service, Latency()).record(seconds)


class LoadClient:
    """A caller that distributes requests round-robin over ready instances, as a load balancer."""

    def __init__(
        self, organisation: str, caller: str, addresses: list[str], rng: random.Random
    ) -> None:
        self.organisation = organisation
        self.token = caller_token(organisation, caller)
        self.addresses = addresses
        self.rng = rng
        self.round_robin_counter = 0
        self.client = CurlAsyncHTTPClient(max_clients=400, force_instance=True)
        self.result = LoadResult()

    def close(self) -> None:
        """Close the HTTP client."""
        self.client.close()

    def next_address(self) -> str:
        """Return the address of the next entry instance in round-robin order."""
        self.round_robin_counter += 1
        return self.addresses[self.round_robin_counter % len(self.addresses)]

    async def post(
        self, path: str, body: Any, deadline_ms: int, key: str | None = None, address: str = ""
    ) -> tuple[int, Any]:
        """Send a request and return its status and body; status 0 means no response."""
        headers = {"Authorization": f"Bearer {self.token}", "Content-Type": "application/json"}
        if key is not None:
            headers["Idempotency-Key"] = key
        request = HTTPRequest(
            f"http://{address or self.next_address()}/v1/{self.organisation}/{path}",
            method="POST",
            headers=headers,
            body=msgspec.json.encode({**body, "deadline_ms": deadline_ms}),
            request_timeout=deadline_ms / 1000 + CLIENT_MARGIN_SECONDS,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return 0, None
        if response.code == 599:
            return 0, None
        return response.code, msgspec.json.decode(response.body)

    async def search(self, service: str, text: str, limit: int, deadline_ms: int) -> None:
        """Send a search and verify its answer."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        body = {"query": {"text": text}, "limit": limit}
        status, value = await self.post(f"{service}/search", body, deadline_ms)
        seconds = loop.time() - started
        self.result.counts[f"search_status_{status}"] += 1
        if status == 200:
            self.result.record(service, seconds)
            answer = SearchAnswer(service, text, limit, value, seconds)
            self.result.answers.append(answer)
            self.check_answer(answer)

    def check_answer(self, answer: SearchAnswer) -> None:
        """Compare hits with those of the corpus at one snapshot over exactly the covered shards."""
        coverage = answer.body["coverage"]
        missing = {item["shard"] for item in coverage["missing"]}
        covered = [shard for shard in range(coverage["shards"]) if shard not in missing]
        snapshot = answer.body["snapshot"]
        expected = expected_hits(answer.service, snapshot, covered, answer.text, answer.limit, 0)
        hits = [(hit["score"], hit["id"]) for hit in answer.body["hits"]]
        counts = self.result.counts
        counts["shards_asked"] += coverage["shards"]
        counts["shards_answered"] += coverage["answered"]
        if coverage["answered"] < coverage["shards"]:
            counts["partial"] += 1
        if hits != expected:
            counts["wrong_hits"] += 1
        if len(covered) != coverage["answered"]:
            counts["false_coverage"] += 1

    async def run(self, service: str, identifier: str, deadline_ms: int, key: str | None) -> Any:
        """Send an operation and return its status and body."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        body = {"operation": {"id": identifier}}
        status, value = await self.post(f"{service}/run", body, deadline_ms, key)
        self.result.counts[f"run_status_{status}"] += 1
        if status == 200:
            self.result.record(service, loop.time() - started)
        return status, value

    async def search_at_rate(
        self, services: list[str], rate: float, seconds: float, deadline_ms: int, limit: int = 10
    ) -> None:
        """Send searches at a constant rate, independent of responses (open loop)."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        pending: set[asyncio.Task[None]] = set()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - loop.time()))
            text = f"query {self.rng.randrange(DISTINCT_QUERIES)}"
            work = self.search(services[number % len(services)], text, limit, deadline_ms)
            task = loop.create_task(work)
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)


def count_false_coverage(answers: list[SearchAnswer], records: list[dict[str, Any]]) -> int:
    """Count answers that claim more shards than searchers recorded answering at that snapshot."""
    answered: dict[tuple[str, int], set[int]] = {}
    for record in records:
        for request, snapshot in record["answered"].items():
            if request.startswith("probe-"):
                continue
            base, group, _ = request.rsplit(".", 2)
            answered.setdefault((base, snapshot), set()).add(int(group))
    false_count = 0
    for answer in answers:
        key = (answer.body["request_id"], answer.body["snapshot"])
        if len(answered.get(key, ())) < answer.body["coverage"]["answered"]:
            false_count += 1
    return false_count
